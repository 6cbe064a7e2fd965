//! The endpoint list, and operators' cordons.

mod common;
use common::*;
use lotusmoor_balancer::*;

#[test]
fn sends_nothing_to_draining_or_removed_endpoints() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut harness = Harness::new(settings(), 3, 1);
        update_entry(&mut harness, EndpointEntry { status, ..ready_entry(1) });
        assert!(!serve_requests(&mut harness, 12).contains(&1));
        update_entry(&mut harness, ready_entry(1));
        assert!(serve_requests(&mut harness, 12).contains(&1));
    }
}

// The id may be reused for another endpoint, which must not inherit the state of the released one.
#[test]
fn discards_state_of_endpoint_when_its_id_is_released() {
    for released in [false, true] {
        let mut harness = Harness::new(settings(), 1, 1);
        for _ in 0..6 {
            harness.request(NON_IDEMPOTENT);
            for (id, attempt) in harness.in_flight.keys().copied().collect::<Vec<_>>() {
                harness.end_attempt(id, attempt, Outcome::Error);
            }
        }
        update_entry(&mut harness, EndpointEntry { status: EndpointStatus::Removed, ..ready_entry(0) });
        if released {
            harness.handle(Event::EndpointReleased(0));
        }
        update_entry(&mut harness, ready_entry(0));
        // After so many errors some requests are shed, whatever the state of the endpoint.
        let sent = (0..50).any(|_| !targets(&harness.request(IDEMPOTENT).1).is_empty());
        assert_eq!(sent, released);
    }
}

#[test]
fn removes_endpoints_missing_from_full_list() {
    let mut harness = Harness::new(settings(), 3, 1);
    harness.handle(Event::EndpointList(EndpointListUpdate::Full(vec![ready_entry(0), ready_entry(2)])));
    assert!(!serve_requests(&mut harness, 12).contains(&1));
}

#[test]
fn rejects_at_once_without_endpoints() {
    let mut harness = Harness::new(settings(), 1, 1);
    harness.handle(Event::EndpointList(EndpointListUpdate::Full(Vec::new())));
    let (id, actions) = harness.request(NON_IDEMPOTENT);
    assert!(is_rejected(&actions, id));
}

#[test]
fn does_not_send_queued_request_to_draining_endpoint() {
    let mut harness = Harness::new(settings(), 1, 1);
    (0..5).for_each(|_| drop(harness.request(IDEMPOTENT)));
    update_entry(&mut harness, EndpointEntry { status: EndpointStatus::Draining, ..ready_entry(0) });
    harness.advance(10 * MS);
    assert!(targets(&harness.end_attempt(1, 0, Outcome::Ok)).is_empty());
}

#[test]
fn subscribes_at_start_and_after_failures_with_backoff() {
    let mut settings = settings();
    settings.discovery = DiscoveryMode::Polled;
    let mut balancer = Balancer::new(settings.clone(), 1).expect("valid settings");
    let mut actions = Vec::new();
    balancer.handle(
        START,
        Event::EndpointList(EndpointListUpdate::Cached(vec![ready_entry(0)])),
        &mut actions,
    );
    assert!(actions.contains(&Action::Subscribe(true)));
    let mut harness = Harness::new(settings, 1, 1);
    let mut backoffs = Vec::new();
    for _ in 0..12 {
        harness.handle(Event::EndpointList(EndpointListUpdate::Failed));
        let failed_at = harness.now;
        while harness.advance(10 * MS).iter().all(|a| *a != Action::Subscribe(true)) {
            assert!(
                harness.now - failed_at < harness.settings.rules.max_poll_interval,
                "subscribes again within the poll interval"
            );
        }
        backoffs.push(harness.now - failed_at);
    }
    assert!(backoffs[3] > backoffs[0], "{backoffs:?}");
    harness.handle(Event::EndpointList(EndpointListUpdate::Delta(Vec::new())));
    harness.handle(Event::EndpointList(EndpointListUpdate::Failed));
    assert!(harness.advance(1500 * MS).contains(&Action::Subscribe(true)), "a success resets the backoff");
}

#[test]
fn ignores_out_of_range_endpoint_id() {
    let mut harness = Harness::new(settings(), 2, 1);
    update_entry(&mut harness, ready_entry(EndpointId::MAX));
    assert!(serve_requests(&mut harness, 8).iter().all(|e| *e < 2));
}

#[test]
fn sends_nothing_to_cordoned_endpoint_even_if_listed_as_ready() {
    let mut harness = Harness::new(settings(), 2, 1);
    harness.handle(Event::Cordoned(0));
    harness.handle(Event::Cordoned(0));
    let restarted = EndpointEntry { started_at: Some(harness.now), ..ready_entry(0) };
    for list in [
        EndpointListUpdate::Delta(vec![ready_entry(0)]),
        EndpointListUpdate::Full(vec![restarted, ready_entry(1)]),
    ] {
        harness.handle(Event::EndpointList(list));
        for outcome in [Outcome::Ok, Outcome::Rejected, Outcome::Ok] {
            let (id, actions) = harness.request(IDEMPOTENT);
            assert_eq!(targets(&actions), [1]);
            harness.advance(100 * MS);
            harness.end_attempt(id, 0, outcome);
            assert!(!targets(&harness.advance(300 * MS)).contains(&0), "no retry to a cordoned endpoint");
            harness.answer_all(100 * MS);
        }
    }
    // The id is reused for another endpoint, which is not cordoned.
    harness.handle(Event::EndpointReleased(0));
    harness.handle(Event::EndpointList(EndpointListUpdate::Delta(vec![ready_entry(0)])));
    assert!((0..4).any(|_| targets(&harness.request(IDEMPOTENT).1) == [0]));
}

#[test]
fn rejects_at_once_when_all_endpoints_are_cordoned() {
    let mut harness = Harness::new(settings(), 2, 1);
    let (in_flight, _) = harness.request(IDEMPOTENT);
    let busy = harness.in_flight[&(in_flight, 0)].endpoint;
    harness.handle(Event::Cordoned(1 - busy));
    harness.handle(Event::Cordoned(busy));
    let (id, actions) = harness.request(NON_IDEMPOTENT);
    assert!(is_rejected(&actions, id) && targets(&actions).is_empty());
    // Attempts in flight may complete.
    assert!(harness.in_flight.contains_key(&(in_flight, 0)));
    let actions = harness.end_attempt(in_flight, 0, Outcome::Error);
    assert!(is_rejected(&actions, in_flight), "{actions:?}");
}

// An uncordoned endpoint is taken to be restarted: it gets the next attempt, but is then in slow start.
#[test]
fn uses_uncordoned_endpoint_at_once_within_its_slow_start_budget() {
    let mut harness = Harness::new(settings(), 4, 1);
    let serve = |harness: &mut Harness, requests: usize| {
        let mut attempts = [0; 4];
        for _ in 0..requests {
            let (_, actions) = harness.request(IDEMPOTENT);
            targets(&actions).iter().for_each(|e| attempts[*e] += 1);
            harness.answer_all(100 * MS);
        }
        attempts
    };
    assert!(serve(&mut harness, 40)[0] > 5);
    // Its circuit opens before it is cordoned.
    for _ in 0..40 {
        let (id, actions) = harness.request(NON_IDEMPOTENT);
        let outcome = if targets(&actions) == [0] { Outcome::ConnectFailed } else { Outcome::Ok };
        harness.end_attempt(id, 0, outcome);
        harness.advance(100 * MS);
        harness.answer_all(100 * MS);
    }
    harness.handle(Event::Cordoned(0));
    assert_eq!(serve(&mut harness, 40)[0], 0);
    harness.handle(Event::Uncordoned(0));
    assert_eq!(serve(&mut harness, 1), [1, 0, 0, 0]);
    let later = serve(&mut harness, 20);
    assert!(later[0] < later[1] && later[0] < 5, "{later:?}");
}
