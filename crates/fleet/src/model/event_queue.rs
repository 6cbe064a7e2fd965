//! What is still to happen, in a defined order, and a digest of what has.

use crate::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The first round of a sidecar at or after an instant; what is a round already stays. Rounds are multiples of `tick`
/// on the model's clock, never counted on from the last one, so that they can't drift from what was asked for.
pub fn round_up_to_tick(at: Micros, tick: Micros) -> Micros {
    if tick <= 1 { at } else { (at + tick - 1).div_euclid(tick) * tick }
}

/// Events by instant; those of one instant in the order in which they were made.
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
    /// Notes an event; one in the past happens now, after what is due now already.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.scheduled += 1;
        self.heap.push(Entry { at: at.max(self.now), number: self.scheduled, event });
    }

    /// The next event and its instant.
    pub fn next(&mut self) -> Option<(Micros, E)> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        self.processed += 1;
        self.add_to_digest(entry.at as u64);
        self.add_to_digest(entry.number);
        Some((entry.at, entry.event))
    }

    /// Adds to the digest: what was decided, beside when.
    pub fn add_to_digest(&mut self, value: u64) {
        self.digest = (self.digest ^ value).wrapping_mul(0x100_0000_01b3).rotate_left(17);
    }

    /// The digest of all events so far: equal for runs that went alike.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Events taken so far.
    pub fn processed(&self) -> u64 {
        self.processed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_of_one_instant_come_in_the_order_in_which_they_were_made() {
        let mut events = EventQueue::default();
        for (at, event) in [(5, 'c'), (3, 'a'), (5, 'd'), (3, 'b')] {
            events.schedule(at, event);
        }
        let all: Vec<_> = std::iter::from_fn(|| events.next()).collect();
        assert_eq!(all, [(3, 'a'), (3, 'b'), (5, 'c'), (5, 'd')]);
    }

    #[test]
    fn timers_rounded_up_do_not_drift() {
        // A timer of 12 ms set at each of its own rounds of 5 ms: late by less than a round each time, and one of
        // whole rounds never.
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
    fn what_is_noted_for_the_past_happens_now_and_not_before() {
        let mut events = EventQueue::default();
        events.schedule(10, 'a');
        assert_eq!(events.next(), Some((10, 'a')));
        events.schedule(4, 'b');
        assert_eq!(events.next(), Some((10, 'b')));
    }
}
