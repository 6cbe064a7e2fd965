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

/// Sends that many requests whose clients leave after `time`, and returns how many of the requests after them are not shed.
fn admitted_after_departures(departures: usize, time: Micros, body_incomplete: bool) -> usize {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 12, 1);
    assert_eq!(admitted(&mut harness, 40, 500 * MS), 40);
    for _ in 0..departures {
        let (id, _) = harness.begin_request(NON_IDEMPOTENT, body_incomplete);
        harness.advance(time);
        harness.handle(Event::RequestAbandoned(id));
        for (id, attempt) in harness.in_flight.keys().copied().collect::<Vec<_>>() {
            harness.end_attempt(id, attempt, Outcome::Cancelled);
        }
    }
    admitted(&mut harness, 40, 500 * MS)
}

// Requests of clients that leave early, or write half of a body, say nothing about endpoints.
#[test]
fn early_departures_of_clients_do_not_count_as_overload() {
    assert_eq!(admitted_after_departures(200, 20 * MS, false), 40, "clients that left early");
    assert_eq!(admitted_after_departures(200, 1500 * MS, true), 40, "clients that never wrote all of a body");
}

// A client that leaves because its answer is late shows the same as the late answer would.
#[test]
fn departures_after_latency_objective_count_as_overload() {
    let admitted = admitted_after_departures(200, 1500 * MS, false);
    assert!(admitted < 30, "{admitted} of 40 admitted though no answer came in time");
}
