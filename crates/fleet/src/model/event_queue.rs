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
mod tests {
    use super::*;

    #[test]
    fn events_at_the_same_time_keep_their_order() {
        let mut events = EventQueue::default();
        for (at, event) in [(5, 'c'), (3, 'a'), (5, 'd'), (3, 'b')] {
            events.schedule(at, event);
        }
        let all: Vec<_> = std::iter::from_fn(|| events.next()).collect();
        assert_eq!(all, [(3, 'a'), (3, 'b'), (5, 'c'), (5, 'd')]);
    }

    #[test]
    fn timers_rounded_up_do_not_drift() {
        // A 12 ms timer that is set again at each expiry, with 5 ms ticks, is late by less than a tick each time; a
        // 15 ms timer is never late.
        let (mut now, mut exact) = (0, 0);
        for _ in 0..10_000 {
            let next = round_up_to_tick(now + 12_000, 5_000);
            assert!((12_000..17_000).contains(&(next - now)));
            now = next;
            exact = round_up_to_tick(exact + 15_000, 5_000);
        }
        assert_eq!((now, exact), (150_000_000, 150_000_000));
        assert_eq!(
            (
                round_up_to_tick(7, 0),
                round_up_to_tick(7, 1),
                round_up_to_tick(10, 5),
                round_up_to_tick(-7, 5)
            ),
            (7, 7, 10, -5)
        );
    }

    #[test]
    fn events_scheduled_in_the_past_are_due_now() {
        let mut events = EventQueue::default();
        events.schedule(10, 'a');
        assert_eq!(events.next(), Some((10, 'a')));
        events.schedule(4, 'b');
        assert_eq!(events.next(), Some((10, 'b')));
    }
}
