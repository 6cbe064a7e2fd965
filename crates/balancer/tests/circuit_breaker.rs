//! Circuit breakers.

mod common;
use common::*;
use lotusmoor_balancer::*;

// A network fault breaks all idle connections at once, and each shows it only when it is used.
#[test]
fn broken_idle_connections_neither_open_circuit_nor_keep_it_open() {
    let mut harness = Harness::new(settings(), 1, 1);
    serve_requests(&mut harness, 20);
    for _ in 0..4 {
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let actions = harness.end_attempt(id, 0, Outcome::ReusedConnectionReset);
        assert!(is_failed(&actions, id), "it may have run, so it is neither retried nor rejected");
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
fn slow_requests_of_others_do_not_open_circuit() {
    let mut harness = Harness::new(settings(), 4, 1);
    serve_requests(&mut harness, 40);
    let (_, actions) = harness.request(IDEMPOTENT);
    let held = targets(&actions)[0];
    let logs = harness.advance(450 * MS);
    assert!(!logs.iter().any(|a| matches!(a, Action::Log(_))), "{held} answers within half of the objective");
}

#[test]
fn one_heavy_request_does_not_open_circuit() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 4, 1);
    serve_requests(&mut harness, 40);
    let (id, actions) = harness.request(NON_IDEMPOTENT);
    assert_eq!(targets(&actions).len(), 1);
    let seen = harness.advance(1150 * MS);
    assert!(!seen.iter().any(|a| matches!(a, Action::Log(_))), "{seen:?}");
    harness.end_attempt(id, 0, Outcome::Ok);
}

#[test]
fn trials_of_many_open_circuits_are_a_small_share_of_requests() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 8, 3);
    let sick = |e: EndpointId| e >= 3;
    let (mut trials, mut all) = (0, 0);
    for n in 0..240 {
        harness.request(NON_IDEMPOTENT);
        for ((id, attempt), out) in harness.in_flight.clone() {
            trials += usize::from(n >= 120 && sick(out.endpoint));
            all += usize::from(n >= 120);
            harness.end_attempt(id, attempt, if sick(out.endpoint) { Outcome::Error } else { Outcome::Ok });
        }
        harness.advance(500 * MS);
    }
    assert!(trials >= 1 && trials * 12 <= all, "{trials} of {all}");
}

#[test]
fn outcome_long_after_the_last_weighs_more() {
    for (pause, opens) in [(100 * MS, false), (10_000 * MS, true)] {
        let mut harness = Harness::new(settings(), 1, 1);
        serve_requests(&mut harness, 5);
        harness.advance(pause);
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let actions = harness.end_attempt(id, 0, Outcome::Error);
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Log(_))), opens, "after {pause}");
    }
}

// A sidecar with little traffic has a turn for an endpoint every few seconds: with three errors in a row it
// would learn that the endpoint fails long after every client has given up.
#[test]
fn one_error_opens_circuit_when_turns_are_further_apart_than_deadlines() {
    for (deadline, opens) in [(4000 * MS, false), (1000 * MS, true)] {
        let mut set = settings();
        set.classes.iter_mut().for_each(|c| (c.latency_objective, c.deadline) = (deadline / 4, deadline));
        let mut harness = Harness::new(set, 1, 1);
        serve_requests(&mut harness, 5);
        harness.advance(1500 * MS);
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let actions = harness.end_attempt(id, 0, Outcome::Error);
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Log(_))), opens, "deadline {deadline}");
    }
}

// Between the successes of others the endpoint's own circuit stays closed, and a class that it alone rejects
// would go on to have its turns there.
#[test]
fn class_that_endpoint_fails_goes_elsewhere_until_it_is_served_again() {
    let mut harness = Harness::new(settings(), 3, 1);
    let mut round = |fails: bool, bad: Outcome| {
        let mut sends = [0; 2];
        for _ in 0..30 {
            for (class, sends) in [IDEMPOTENT, NON_IDEMPOTENT].into_iter().zip(&mut sends) {
                let (id, _) = harness.request(class);
                while let Some((&key, &out)) = harness.in_flight.iter().find(|(key, _)| key.0 == id) {
                    *sends += usize::from(out.endpoint == 0);
                    harness.advance(20 * MS);
                    let failed = fails && class == NON_IDEMPOTENT && out.endpoint == 0;
                    harness.end_attempt(id, key.1, if failed { bad } else { Outcome::Ok });
                    harness.advance(30 * MS);
                }
            }
        }
        sends
    };
    for bad in [Outcome::Rejected, Outcome::Error] {
        round(false, bad);
        round(true, bad);
        let [safe, failing] = round(true, bad);
        assert!(safe >= 8, "the others' turns go on: {safe}");
        assert!(failing <= 4, "a few trials of 30 requests and no more: {failing}");
        round(false, bad);
        let [_, served] = round(false, bad);
        assert!(served >= 8, "it has its turns again: {served}");
    }
}

#[test]
fn logs_what_the_on_call_page_quotes() {
    let page = include_str!("../../../README.md");
    let mut harness = Harness::new(settings(), 1, 1);
    serve_requests(&mut harness, 5);
    let (mut seen, mut logs) = (Vec::new(), Vec::new());
    for n in 0..12 {
        let (id, _) = harness.request(NON_IDEMPOTENT);
        let outcome = if n < 2 { Outcome::Error } else { Outcome::Ok };
        if harness.in_flight.contains_key(&(id, 0)) {
            seen.extend(harness.end_attempt(id, 0, outcome));
        }
        seen.extend(harness.advance(10_000 * MS));
    }
    for action in seen {
        if let Action::Log(text) = action {
            logs.push(text.replace('0', "N"));
        }
    }
    assert_eq!(logs, ["circuit of endpoint N open", "circuit of endpoint N closed"]);
    assert!(logs.iter().all(|l| page.contains(&format!("`{l}`"))), "{logs:?}");
}

#[test]
fn open_circuit_admits_one_trial_and_closes() {
    let mut harness = Harness::new(settings(), 2, 4);
    let mut opened = false;
    for _ in 0..12 {
        let (id, actions) = harness.request(IDEMPOTENT);
        let bad = targets(&actions)[0] == 0;
        harness.advance(10 * MS);
        let after = harness.end_attempt(id, 0, if bad { Outcome::Reset } else { Outcome::Ok });
        opened |= after.iter().any(|a| matches!(a, Action::Log(t) if t.contains("open")));
        harness.answer_all(150 * MS);
    }
    assert!(opened);
    let to_zero = (0..6).filter(|_| targets(&harness.request(IDEMPOTENT).1) == [0]).count();
    assert_eq!(to_zero, 0, "an open circuit gets nothing");
    harness.answer_all(20 * MS);
    harness.advance(9000 * MS);
    let tries: Vec<_> = (0..4).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
    assert_eq!(tries.iter().filter(|e| **e == 0).count(), 1, "half open: one trial at a time");
    harness.answer_all(20 * MS);
    harness.advance(9000 * MS);
    let again: Vec<_> = (0..4).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
    assert!(again.iter().filter(|e| **e == 0).count() > 1, "closed again: {again:?}");
}

#[test]
fn failed_trial_opens_circuit_again() {
    let mut harness = Harness::new(settings(), 2, 4);
    for _ in 0..60 {
        let (id, actions) = harness.request(IDEMPOTENT);
        harness.advance(10 * MS);
        for (n, e) in (0..).zip(targets(&actions)) {
            harness.end_attempt(id, n, if e == 0 { Outcome::ConnectFailed } else { Outcome::Ok });
        }
        harness.answer_all(200 * MS);
    }
    harness.advance(9000 * MS);
    let first: Vec<_> = (0..3).map(|_| harness.request(IDEMPOTENT)).collect();
    let trial = first.iter().find(|(_, a)| targets(a) == [0]).expect("a trial").0;
    harness.end_attempt(trial, 0, Outcome::ConnectFailed);
    harness.answer_all(20 * MS);
    let later: Vec<_> = (0..4).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
    assert!(!later.contains(&0), "{later:?}");
}

#[test]
fn one_bad_request_does_not_open_circuit() {
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
fn backs_off_then_rejects_when_every_circuit_is_open() {
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
    assert!(is_rejected(&harness.advance(1000 * MS), id), "it never ran, so trying again is harmless");
}
