//! Load shedding.

mod common;
use common::*;
use lotusmoor_balancer::*;

// A new process knows of no open circuit. What it sends to failing endpoints is all that it has seen: it must
// not count as an overload in which nearly all is shed.
#[test]
fn new_sidecar_does_not_take_first_errors_for_overload() {
    let mut turned_away = 0;
    for seed in 1..=10 {
        let mut harness = Harness::new(settings(), 4, seed);
        for _ in 0..40 {
            for _ in 0..4 {
                let (id, actions) = harness.request(NON_IDEMPOTENT);
                turned_away += usize::from(is_rejected(&actions, id));
            }
            harness.advance(10 * MS);
            for ((id, n), out) in harness.in_flight.clone() {
                harness.end_attempt(id, n, if out.endpoint < 3 { Outcome::Error } else { Outcome::Ok });
            }
        }
    }
    assert!(turned_away <= 40, "{turned_away} of 1600");
}

/// Attempts sent for so many requests, each answered after `time`.
fn admitted(harness: &mut Harness, requests: usize, time: Micros) -> usize {
    let before = harness.attempts_sent.len();
    for _ in 0..requests {
        harness.request(NON_IDEMPOTENT);
        harness.advance(500 * MS);
        for ((id, n), out) in harness.in_flight.clone() {
            if harness.now - out.sent_at >= time {
                harness.end_attempt(id, n, Outcome::Ok);
            }
        }
    }
    harness.attempts_sent.len() - before
}

#[test]
fn sheds_most_late_work_but_not_all_and_recovers() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 12, 1);
    assert_eq!(admitted(&mut harness, 40, 500 * MS), 40);
    admitted(&mut harness, 40, 1500 * MS);
    let late = admitted(&mut harness, 60, 1500 * MS);
    assert!((6..=40).contains(&late), "{late} of 60 taken while all come late");
    admitted(&mut harness, 60, 500 * MS);
    let well = admitted(&mut harness, 40, 500 * MS);
    assert_eq!(well, 40, "taken once all come in time again");
}

// Else clients with deadlines of a second are rejected for what went wrong ten deadlines ago.
#[test]
fn shedding_window_follows_deadlines() {
    let mut set = Settings { instances: 1000, ..settings() };
    set.classes.iter_mut().for_each(|c| (c.latency_objective, c.deadline) = (250 * MS, 1000 * MS));
    let mut harness = Harness::new(set, 12, 1);
    let mut admitted = |requests: usize, time: Micros| {
        let before = harness.attempts_sent.len();
        for _ in 0..requests {
            harness.request_with(NON_IDEMPOTENT, 750 * MS, None, None);
            harness.answer_all(time);
            harness.advance(125 * MS - time % (125 * MS));
        }
        harness.attempts_sent.len() - before
    };
    admitted(40, 50 * MS);
    assert!(admitted(80, 300 * MS) < 60, "all come late");
    admitted(16, 50 * MS);
    assert_eq!(admitted(24, 50 * MS), 24, "two deadlines after all came in time again");
}
