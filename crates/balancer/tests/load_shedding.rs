//! Load shedding.

mod common;
use common::*;
use lotusmoor_balancer::*;

// In a new process all circuits are closed, and its first outcomes may all be from failing endpoints. They
// must not be treated as an overload, in which nearly all requests are shed.
#[test]
fn new_sidecar_does_not_treat_first_errors_as_overload() {
    let mut rejected = 0;
    for seed in 1..=10 {
        let mut harness = Harness::new(settings(), 4, seed);
        for _ in 0..40 {
            for _ in 0..4 {
                let (id, actions) = harness.request(NON_IDEMPOTENT);
                rejected += usize::from(is_rejected(&actions, id));
            }
            harness.advance(10 * MS);
            for ((id, n), sent) in harness.in_flight.clone() {
                harness.end_attempt(id, n, if sent.endpoint < 3 { Outcome::Error } else { Outcome::Ok });
            }
        }
    }
    assert!(rejected <= 40, "{rejected} of 1600");
}

/// Sends this many requests, each answered after `time`, and returns how many were not shed.
fn admitted(harness: &mut Harness, requests: usize, time: Micros) -> usize {
    let before = harness.attempts_sent.len();
    for _ in 0..requests {
        harness.request(NON_IDEMPOTENT);
        harness.advance(500 * MS);
        for ((id, attempt), sent) in harness.in_flight.clone() {
            if harness.now - sent.sent_at >= time {
                harness.end_attempt(id, attempt, Outcome::Ok);
            }
        }
    }
    harness.attempts_sent.len() - before
}

#[test]
fn sheds_most_requests_while_answers_are_late_and_recovers() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 12, 1);
    assert_eq!(admitted(&mut harness, 40, 500 * MS), 40);
    admitted(&mut harness, 40, 1500 * MS);
    let late = admitted(&mut harness, 60, 1500 * MS);
    assert!((6..=40).contains(&late), "{late} of 60 admitted while all answers are late");
    admitted(&mut harness, 60, 500 * MS);
    let recovered = admitted(&mut harness, 40, 500 * MS);
    assert_eq!(recovered, 40, "admitted once all answers are in time again");
}

// Otherwise clients with deadlines of a second are rejected because of late answers ten deadlines ago.
#[test]
fn shedding_window_follows_deadlines() {
    let mut settings = Settings { instances: 1000, ..settings() };
    settings.classes.iter_mut().for_each(|c| (c.latency_objective, c.deadline) = (250 * MS, 1000 * MS));
    let mut harness = Harness::new(settings, 12, 1);
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
    assert!(admitted(80, 300 * MS) < 60, "all answers are late");
    admitted(16, 50 * MS);
    assert_eq!(admitted(24, 50 * MS), 24, "two deadlines after answers are in time again");
}
