//! Circuit breakers.

mod common;
use common::*;
use lotusmoor_balancer::*;

// A network fault breaks all idle connections at once, and each is found to be broken only on its next use.
#[test]
fn broken_idle_connections_neither_open_circuit_nor_keep_it_open() {
    let mut harness = Harness::new(settings(), 1, 1);
    serve_requests(&mut harness, 20);
    for _ in 0..4 {
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let actions = harness.end_attempt(id, 0, Outcome::ReusedConnectionReset);
        assert!(is_failed(&actions, id), "it may have been executed, so it is neither retried nor rejected");
        assert!(!actions.iter().any(|a| matches!(a, Action::Log(_))), "a circuit opened");
    }
    for _ in 0..3 {
        let (id, _) = harness.request(NON_IDEMPOTENT);
        harness.end_attempt(id, 0, Outcome::Reset);
    }
    // The circuit is open now. A trial without a result is followed by another at once.
    harness.advance(1500 * MS);
    let (id, actions) = harness.request(IDEMPOTENT);
    assert_eq!(targets(&actions), [0]);
    harness.end_attempt(id, 0, Outcome::ReusedConnectionReset);
    harness.handle(Event::RequestAbandoned(id));
    assert_eq!(targets(&harness.request(IDEMPOTENT).1), [0]);
}

#[test]
fn request_that_takes_half_of_objective_does_not_open_circuit() {
    let mut harness = Harness::new(settings(), 4, 1);
    serve_requests(&mut harness, 40);
    let (_, actions) = harness.request(IDEMPOTENT);
    let endpoint = targets(&actions)[0];
    let logs = harness.advance(450 * MS);
    assert!(!logs.iter().any(|a| matches!(a, Action::Log(_))), "{endpoint} is within half of the objective");
}

#[test]
fn one_request_slower_than_objective_does_not_open_circuit() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 4, 1);
    serve_requests(&mut harness, 40);
    let (id, actions) = harness.request(NON_IDEMPOTENT);
    assert_eq!(targets(&actions).len(), 1);
    let actions = harness.advance(1150 * MS);
    assert!(!actions.iter().any(|a| matches!(a, Action::Log(_))), "{actions:?}");
    harness.end_attempt(id, 0, Outcome::Ok);
}

#[test]
fn trials_of_many_open_circuits_are_a_small_share_of_requests() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 8, 3);
    let fails = |e: EndpointId| e >= 3;
    let (mut trials, mut all) = (0, 0);
    for n in 0..240 {
        harness.request(NON_IDEMPOTENT);
        for ((id, attempt), sent) in harness.in_flight.clone() {
            trials += usize::from(n >= 120 && fails(sent.endpoint));
            all += usize::from(n >= 120);
            harness.end_attempt(id, attempt, if fails(sent.endpoint) { Outcome::Error } else { Outcome::Ok });
        }
        harness.advance(500 * MS);
    }
    assert!(trials >= 1 && trials * 12 <= all, "{trials} of {all}");
}

#[test]
fn weight_of_outcome_grows_with_time_since_previous_one() {
    for (pause, opens) in [(100 * MS, false), (10_000 * MS, true)] {
        let mut harness = Harness::new(settings(), 1, 1);
        serve_requests(&mut harness, 5);
        harness.advance(pause);
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let actions = harness.end_attempt(id, 0, Outcome::Error);
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Log(_))), opens, "after {pause}");
    }
}

// With little traffic an endpoint has a turn every few seconds, and three errors in a row would open its
// circuit long after every client has given up.
#[test]
fn one_error_opens_circuit_when_attempts_are_further_apart_than_deadlines() {
    for (deadline, opens) in [(4000 * MS, false), (1000 * MS, true)] {
        let mut settings = settings();
        settings
            .classes
            .iter_mut()
            .for_each(|c| (c.latency_objective, c.deadline) = (deadline / 4, deadline));
        let mut harness = Harness::new(settings, 1, 1);
        serve_requests(&mut harness, 5);
        harness.advance(1500 * MS);
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let actions = harness.end_attempt(id, 0, Outcome::Error);
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Log(_))), opens, "deadline {deadline}");
    }
}

// Successes of other classes keep the endpoint's own circuit closed: without a circuit per class, requests of
// a class that only this endpoint rejects would still be sent there.
#[test]
fn opens_circuit_for_class_that_fails_at_endpoint_and_closes_it_after_recovery() {
    let mut harness = Harness::new(settings(), 3, 1);
    let mut attempts_by_class = |fails: bool, failure: Outcome| {
        let mut attempts = [0; 2];
        for _ in 0..30 {
            for (class, attempts) in [IDEMPOTENT, NON_IDEMPOTENT].into_iter().zip(&mut attempts) {
                let (id, _) = harness.request(class);
                while let Some((&key, &sent)) = harness.in_flight.iter().find(|(key, _)| key.0 == id) {
                    *attempts += usize::from(sent.endpoint == 0);
                    harness.advance(20 * MS);
                    let failed = fails && class == NON_IDEMPOTENT && sent.endpoint == 0;
                    harness.end_attempt(id, key.1, if failed { failure } else { Outcome::Ok });
                    harness.advance(30 * MS);
                }
            }
        }
        attempts
    };
    for failure in [Outcome::Rejected, Outcome::Error] {
        attempts_by_class(false, failure);
        attempts_by_class(true, failure);
        let [other, failing] = attempts_by_class(true, failure);
        assert!(other >= 8, "the other class is still sent there: {other}");
        assert!(failing <= 4, "a few trials of 30 requests and no more: {failing}");
        attempts_by_class(false, failure);
        let [_, recovered] = attempts_by_class(false, failure);
        assert!(recovered >= 8, "it is sent there again: {recovered}");
    }
}

#[test]
fn logs_lines_quoted_in_readme() {
    let readme = include_str!("../../../README.md");
    let mut harness = Harness::new(settings(), 1, 1);
    serve_requests(&mut harness, 5);
    let (mut actions, mut logs) = (Vec::new(), Vec::new());
    for n in 0..12 {
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let outcome = if n < 2 { Outcome::Error } else { Outcome::Ok };
        if harness.in_flight.contains_key(&(id, 0)) {
            actions.extend(harness.end_attempt(id, 0, outcome));
        }
        actions.extend(harness.advance(10_000 * MS));
    }
    for action in actions {
        if let Action::Log(text) = action {
            logs.push(text.replace('0', "N"));
        }
    }
    assert_eq!(logs, ["circuit of endpoint N open", "circuit of endpoint N closed"]);
    assert!(logs.iter().all(|l| readme.contains(&format!("`{l}`"))), "{logs:?}");
}

#[test]
fn open_circuit_admits_one_trial_and_closes() {
    let mut harness = Harness::new(settings(), 2, 4);
    let mut opened = false;
    for _ in 0..12 {
        let (id, actions) = harness.request(IDEMPOTENT);
        let fails = targets(&actions)[0] == 0;
        harness.advance(10 * MS);
        let after = harness.end_attempt(id, 0, if fails { Outcome::Reset } else { Outcome::Ok });
        opened |= after.iter().any(|a| matches!(a, Action::Log(t) if t.contains("open")));
        harness.answer_all(150 * MS);
    }
    assert!(opened);
    let to_zero = (0..6).filter(|_| targets(&harness.request(IDEMPOTENT).1) == [0]).count();
    assert_eq!(to_zero, 0, "an endpoint with an open circuit gets nothing");
    harness.answer_all(20 * MS);
    harness.advance(9000 * MS);
    let in_half_open: Vec<_> = (0..4).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
    assert_eq!(in_half_open.iter().filter(|e| **e == 0).count(), 1, "half-open: one trial at a time");
    harness.answer_all(20 * MS);
    harness.advance(9000 * MS);
    let after_trial: Vec<_> = (0..4).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
    assert!(after_trial.iter().filter(|e| **e == 0).count() > 1, "closed again: {after_trial:?}");
}

#[test]
fn failed_trial_opens_circuit_again() {
    let mut harness = Harness::new(settings(), 2, 4);
    for _ in 0..60 {
        let (id, actions) = harness.request(IDEMPOTENT);
        harness.advance(10 * MS);
        for (attempt, e) in (0..).zip(targets(&actions)) {
            harness.end_attempt(id, attempt, if e == 0 { Outcome::ConnectFailed } else { Outcome::Ok });
        }
        harness.answer_all(200 * MS);
    }
    harness.advance(9000 * MS);
    let requests: Vec<_> = (0..3).map(|_| harness.request(IDEMPOTENT)).collect();
    let trial = requests.iter().find(|(_, a)| targets(a) == [0]).expect("a trial").0;
    harness.end_attempt(trial, 0, Outcome::ConnectFailed);
    harness.answer_all(20 * MS);
    let after_trial: Vec<_> = (0..4).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
    assert!(!after_trial.contains(&0), "{after_trial:?}");
}

#[test]
fn request_that_fails_everywhere_does_not_open_circuits() {
    let mut harness = Harness::new(settings(), 3, 4);
    for _ in 0..9 {
        harness.request(IDEMPOTENT);
        harness.answer_all(20 * MS);
    }
    let (id, _) = harness.request(IDEMPOTENT);
    for n in 0..3 {
        harness.end_attempt(id, n, Outcome::Error);
        harness.advance(200 * MS);
    }
    let mut used: Vec<_> = (0..3).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
    used.sort_unstable();
    assert_eq!(used, [0, 1, 2]);
}

#[test]
fn backs_off_then_rejects_when_all_circuits_are_open() {
    let mut harness = Harness::new(settings(), 2, 4);
    for _ in 0..14 {
        let (id, actions) = harness.request(IDEMPOTENT);
        for n in 0..targets(&actions).len() {
            harness.end_attempt(id, n as AttemptNumber, Outcome::Reset);
        }
        harness.advance(10 * MS);
    }
    for (request, attempt) in harness.in_flight.keys().copied().collect::<Vec<_>>() {
        harness.end_attempt(request, attempt, Outcome::Reset);
    }
    let (id, actions) = harness.request(NON_IDEMPOTENT);
    assert!(targets(&actions).is_empty() && !is_rejected(&actions, id));
    assert!(is_rejected(&harness.advance(1000 * MS), id), "it was never executed, so a retry is safe");
}
