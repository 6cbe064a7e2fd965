use super::*;
use std::collections::BTreeSet;

const SECOND: Micros = 1_000_000;

// Requests that are answered at once leave the timers of their deadlines behind, thousands in a second.
#[test]
fn timers_of_completed_requests_are_discarded() {
    let (mut timers, mut open) = (Timers::default(), BTreeSet::new());
    for id in 0..100_000 {
        timers.schedule(id as Micros + 20 * SECOND, Timer::Deadline(id));
        if id % 1000 == 0 {
            open.insert(id);
        }
        timers.discard_completed(|id| open.contains(&id));
        assert!(timers.pending.len() <= 2 * MAX_COMPLETED, "{} timers are pending", timers.pending.len());
    }
    let (mut actions, mut fired) = (Vec::new(), Vec::new());
    timers.arm(0, &mut actions);
    while let Some(timer) = timers.pop_expired(100 * SECOND, 0) {
        fired.push(timer);
    }
    assert!(
        open.iter().all(|id| fired.contains(&Timer::Deadline(*id))),
        "a timer of an open request is gone"
    );
}
