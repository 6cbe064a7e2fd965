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
        (round_up_to_tick(7, 0), round_up_to_tick(7, 1), round_up_to_tick(10, 5), round_up_to_tick(-7, 5)),
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
