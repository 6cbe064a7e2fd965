//! A queue of future events in a deterministic order, and a digest of processed events.

use crate::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The first tick at or after an instant. Ticks are multiples of `tick` on the simulated clock, never counted from
/// the previous one, so timers can't drift.
pub fn round_up_to_tick(at: Micros, tick: Micros) -> Micros {
    if tick <= 1 { at } else { (at + tick - 1).div_euclid(tick) * tick }
}

/// Events ordered by time; events at the same time keep the order in which they were scheduled.
pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    scheduled: u64,
    processed: u64,
    digest: u64,
    now: Micros,
}

struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), scheduled: 0, processed: 0, digest: 0xcbf2_9ce4_8422_2325, now: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event. An event in the past is due now, after the events that are already due now.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.scheduled += 1;
        self.heap.push(Entry { at: at.max(self.now), number: self.scheduled, event });
    }

    /// Removes the next event and returns it with its time.
    pub fn next(&mut self) -> Option<(Micros, E)> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        self.processed += 1;
        self.add_to_digest(entry.at as u64);
        self.add_to_digest(entry.number);
        Some((entry.at, entry.event))
    }

    /// Adds a value to the digest, so that it covers decisions as well as times.
    pub fn add_to_digest(&mut self, value: u64) {
        self.digest = (self.digest ^ value).wrapping_mul(0x100_0000_01b3).rotate_left(17);
    }

    /// The digest of all events so far; identical runs have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of events processed so far.
    pub fn processed(&self) -> u64 {
        self.processed
    }
}

#[cfg(test)]
mod tests;
