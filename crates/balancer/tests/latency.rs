//! Latency estimates.

mod common;
use common::*;
use lotusmoor_balancer::*;

#[test]
fn slow_endpoint_without_errors_gets_less_traffic() {
    let mut harness = Harness::new(settings(), 4, 1);
    serve_requests(&mut harness, 80);
    let (mut slow, mut all) = (0, 0);
    for round in 0..1200 {
        let (_, actions) = harness.request(IDEMPOTENT);
        if round > 600 {
            slow += targets(&actions).iter().filter(|e| **e == 3).count();
            all += targets(&actions).len();
        }
        harness.advance(50 * MS);
        for ((id, attempt), sent) in harness.in_flight.clone() {
            if harness.now - sent.sent_at >= if sent.endpoint == 3 { 700 * MS } else { 90 * MS } {
                harness.end_attempt(id, attempt, Outcome::Ok);
            }
        }
    }
    assert!(slow * 12 < all, "{slow} of {all}");
}

#[test]
fn lasting_change_of_latency_becomes_the_unloaded_latency() {
    // If the fleet becomes eight times slower, within the objective, requests must not be rejected forever.
    let mut harness = Harness::new(Settings { instances: 4, ..settings() }, 2, 1);
    let request =
        |harness: &mut Harness| drop(harness.request_with(IDEMPOTENT, 3000 * MS, None, Some(10 * MS)));
    (0..80).for_each(|_| {
        request(&mut harness);
        harness.answer_all(10 * MS);
    });
    let in_flight_after = |harness: &mut Harness, rounds: usize| {
        for _ in 0..rounds {
            (0..12).for_each(|_| request(harness));
            harness.answer_all(80 * MS);
        }
        (0..12).for_each(|_| request(harness));
        harness.in_flight.len()
    };
    let (early, late) = (in_flight_after(&mut harness, 30), in_flight_after(&mut harness, 15_000));
    assert!(early <= 2 && late >= 6, "{early} {late}");
}

#[test]
fn slower_endpoint_has_fewer_turns_at_low_load() {
    let mut harness = Harness::new(settings(), 4, 1);
    let mut slow = 0;
    for _ in 0..200 {
        let is_slow = targets(&harness.request(IDEMPOTENT).1)[0] == 0;
        slow += usize::from(is_slow);
        harness.answer_all(if is_slow { 80 * MS } else { 20 * MS });
    }
    assert!((15..40).contains(&slow), "{slow}");
}

#[test]
fn fleet_slower_than_expected_work_is_not_treated_as_overloaded() {
    let mut harness = Harness::new(settings(), 4, 1);
    for _ in 0..150 {
        (0..3).for_each(|_| drop(harness.request_with(IDEMPOTENT, 3000 * MS, None, Some(60 * MS))));
        harness.answer_all(270 * MS);
    }
    (0..12).for_each(|_| drop(harness.request_with(IDEMPOTENT, 3000 * MS, None, Some(60 * MS))));
    assert!(harness.in_flight.len() >= 6, "{}", harness.in_flight.len());
}

#[test]
fn overload_does_not_become_the_unloaded_latency() {
    let mut harness = Harness::new(settings(), 4, 1);
    serve_requests(&mut harness, 300);
    for _ in 0..60 {
        (0..8).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.answer_all(400 * MS);
    }
    (0..40).for_each(|_| drop(harness.request(IDEMPOTENT)));
    assert!(harness.in_flight.len() <= 8, "limits fell and stay low: {}", harness.in_flight.len());
}

#[test]
fn long_stream_counts_neither_as_timeout_nor_as_latency() {
    let mut harness = Harness::new(settings(), 2, 1);
    let (id, actions) = harness.request(IDEMPOTENT);
    harness.advance(800 * MS);
    let endpoint = targets(&actions)[0];
    harness.handle(Event::StreamStarted { request: id, attempt: 0 });
    harness.in_flight.remove(&(id, 0)).expect("sent");
    let end = |attempt, outcome, request_completed| {
        let (endpoint, duration, load_report) = (endpoint, 1000 * MS, LoadReport::default());
        Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            endpoint,
            outcome,
            duration,
            request_completed,
            body_consumed: false,
            load_report,
        })
    };
    let actions = harness.advance(60_000 * MS);
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Log(_) | Action::Fail(_) | Action::Reject { .. })),
        "{actions:?}"
    );
    assert!(harness.handle(end(0, Outcome::Ok, true)).iter().all(|a| matches!(a, Action::SetTimer { .. })));
    assert!(serve_requests(&mut harness, 8).contains(&endpoint));
}

/// Sends two requests a second, answered after `time` of their endpoint. Returns the targets of the second
/// half of the requests.
fn targets_of_sparse_traffic(
    harness: &mut Harness,
    requests: usize,
    time: impl Fn(EndpointId) -> Micros,
) -> Vec<EndpointId> {
    let mut sent_to = Vec::new();
    for n in 0..requests {
        let (_, actions) = harness.request(IDEMPOTENT);
        if n >= requests / 2 {
            sent_to.extend(targets(&actions));
        }
        let until = harness.now + 500 * MS;
        while let Some((at, key)) =
            harness.in_flight.iter().map(|(k, a)| (a.sent_at + time(a.endpoint), *k)).min()
        {
            if at > until {
                break;
            }
            harness.advance_to(at);
            if harness.in_flight.contains_key(&key) {
                harness.end_attempt(key.0, key.1, Outcome::Ok);
            }
        }
        harness.advance_to(until);
    }
    sent_to
}

#[test]
fn endpoints_without_samples_get_latency_of_their_machine_type() {
    let mut slow = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 0, seed);
        let entry = |endpoint| EndpointEntry { machine_type: Some(endpoint % 2), ..ready_entry(endpoint) };
        harness.handle(Event::EndpointList(EndpointListUpdate::Full((0..40).map(entry).collect())));
        let to = targets_of_sparse_traffic(&mut harness, 48, |e| if e % 2 == 1 { 900 * MS } else { 90 * MS });
        slow += to.iter().filter(|e| **e % 2 == 1).count();
    }
    assert!(slow <= 160, "{slow} of 480 to the slow machine type");
}

// With deadlines of a second, a new sidecar must learn in less than four seconds which machine type is slow.
#[test]
fn learns_latency_of_machine_type_within_deadlines() {
    let mut slow = 0;
    for seed in 0..20 {
        let mut settings = Settings { instances: 1000, ..settings() };
        settings.classes.iter_mut().for_each(|c| (c.latency_objective, c.deadline) = (250 * MS, 1000 * MS));
        let mut harness = Harness::new(settings, 0, seed);
        let entry = |endpoint| EndpointEntry { machine_type: Some(endpoint % 2), ..ready_entry(endpoint) };
        harness.handle(Event::EndpointList(EndpointListUpdate::Full((0..40).map(entry).collect())));
        for n in 0..24 {
            let (id, actions) = harness.request_with(IDEMPOTENT, 800 * MS, None, None);
            for endpoint in targets(&actions) {
                slow += usize::from(n >= 12 && endpoint % 2 == 1);
                harness.advance(if endpoint % 2 == 1 { 150 * MS } else { 15 * MS });
                harness.end_attempt(id, 0, Outcome::Ok);
            }
            harness.advance(100 * MS);
        }
    }
    assert!(slow <= 92, "{slow} of 240 to the slow machine type");
}

// An endpoint may answer before a slow client has written its request to the end.
#[test]
fn time_of_answer_to_unfinished_request_counts_neither_as_latency_nor_as_overload() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 4, 1);
    let (mut to_first, mut shed) = (0, 0);
    for _ in 0..200 {
        let (id, actions) = harness.begin_request(NON_IDEMPOTENT, true);
        let is_first = targets(&actions).first() == Some(&0);
        to_first += usize::from(is_first);
        shed += usize::from(is_rejected(&actions, id));
        harness.answer_all(if is_first { 1500 * MS } else { 1100 * MS });
    }
    assert_eq!(shed, 0, "requests shed though no endpoint was slow");
    assert!((45..=55).contains(&to_first), "{to_first} of 200 went to one of four endpoints");
}
