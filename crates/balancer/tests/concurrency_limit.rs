//! Concurrency limits, and the queue of requests that wait for capacity.

mod common;
use common::*;
use lotusmoor_balancer::*;

/// A fleet of one warm endpoint and nine in slow start: in each round, eight requests are sent at once and
/// answered after 20 ms. Returns how many of the eight in the last round the warm endpoint is sent.
fn concurrent_attempts_at_warm_endpoint(rounds: usize) -> usize {
    let mut harness = Harness::new(settings(), 10, 1);
    let mut to_warm = 0;
    for round in 0..=rounds {
        let started_at = Some(harness.now);
        (1..10)
            .for_each(|e| drop(update_entry(&mut harness, EndpointEntry { started_at, ..ready_entry(e) })));
        let targets = (0..8).flat_map(|_| targets(&harness.request(IDEMPOTENT).1));
        to_warm = targets.filter(|e| *e == 0 && round == rounds).count();
        harness.answer_all(20 * MS);
        harness.advance(50 * MS);
    }
    to_warm
}

// The unused limits of nine endpoints in slow start must not keep the limit of the tenth from growing.
#[test]
fn full_limit_grows_while_requests_wait_regardless_of_unused_limits() {
    let to_warm = concurrent_attempts_at_warm_endpoint(100);
    assert!(to_warm >= 6, "{to_warm}");
}

// A warm endpoint's fair share would be small if endpoints without slow-start budget kept theirs.
#[test]
fn fair_share_of_endpoints_without_slow_start_budget_goes_to_others() {
    let to_warm = concurrent_attempts_at_warm_endpoint(0);
    assert!(to_warm >= 2, "{to_warm}");
}

#[test]
fn tenants_over_quota_queue_behind_others() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 10.0, capacity_share: 0.5 }; 2];
    let mut harness = Harness::new(settings, 1, 1);
    let request =
        |harness: &mut Harness, tenant| harness.request_with(IDEMPOTENT, 3000 * MS, Some(tenant), None).0;
    let burst: Vec<_> = (0..12).map(|_| request(&mut harness, 0)).collect();
    let other = request(&mut harness, 1);
    harness.advance(50 * MS);
    harness.end_attempt(burst[0], 0, Outcome::Ok);
    assert!(harness.in_flight.contains_key(&(other, 0)), "the last to arrive is sent first");
}

#[test]
fn queue_timeout_of_retry_begins_with_the_retry() {
    let mut harness = Harness::new(settings(), 1, 1);
    let ids: Vec<_> = (0..2).map(|_| harness.request(IDEMPOTENT).0).collect();
    harness.advance(200 * MS);
    harness.end_attempt(ids[0], 0, Outcome::Error);
    harness.request(IDEMPOTENT);
    let early = harness.advance(100 * MS);
    assert!(!is_rejected(&early, ids[0]), "its first queue time-out has passed, the second has not");
    harness.end_attempt(ids[1], 0, Outcome::Ok);
    assert!(harness.in_flight.contains_key(&(ids[0], 1)));
}

#[test]
fn first_queue_timeout_does_not_end_second_time_in_queue() {
    let mut harness = Harness::new(settings(), 1, 1);
    let first: Vec<_> = (0..2).map(|_| harness.request(IDEMPOTENT).0).collect();
    let (id, _) = harness.request(IDEMPOTENT);
    harness.advance(90 * MS);
    harness.end_attempt(first[0], 0, Outcome::Ok);
    harness.request(IDEMPOTENT);
    harness.end_attempt(id, 0, Outcome::Error);
    let actions = harness.advance(100 * MS);
    assert!(!is_rejected(&actions, id), "queued again less than 0.15 of the objective ago");
    harness.end_attempt(first[1], 0, Outcome::Ok);
    assert!(harness.in_flight.contains_key(&(id, 1)));
}

#[test]
fn client_retries_queue_behind_first_attempts() {
    let mut harness = Harness::new(settings(), 1, 1);
    let first = harness.request(IDEMPOTENT).0;
    harness.request(IDEMPOTENT);
    let deadline = harness.now + 3000 * MS;
    let (id, class, is_client_retry, body_incomplete) = (0, IDEMPOTENT, true, false);
    let client_retry = NewRequest {
        id,
        class,
        tenant: None,
        partition_key: None,
        deadline,
        expected_work: None,
        is_client_retry,
        body_incomplete,
    };
    harness.handle(Event::RequestReceived(client_retry));
    let new = harness.request(IDEMPOTENT).0;
    harness.advance(50 * MS);
    let actions = harness.end_attempt(first, 0, Outcome::Ok);
    let sent = |a: &Action| if let Action::Send { request, .. } = a { Some(*request) } else { None };
    assert_eq!(actions.iter().find_map(sent), Some(new), "the last to arrive is sent first");
}

#[test]
fn requests_with_short_objective_do_not_starve_behind_long_ones_in_queue() {
    let mut settings = settings();
    settings.classes[WITH_KEY].latency_objective = 300 * MS;
    let mut harness = Harness::new(settings, 1, 1);
    let first: Vec<_> = (0..8).map(|_| harness.request(IDEMPOTENT).0).collect();
    let urgent = harness.request(WITH_KEY).0;
    harness.advance(30 * MS);
    harness.end_attempt(first[0], 0, Outcome::Ok);
    assert!(harness.in_flight.contains_key(&(urgent, 0)));
}

#[test]
fn tiny_requests_do_not_lower_limits() {
    let mut harness = Harness::new(settings(), 2, 1);
    for n in 0..400 {
        (0..6).for_each(|i| {
            let work = if (n + i) % 2 == 0 { 200 } else { 60 * MS };
            harness.request_with(IDEMPOTENT, 3000 * MS, None, Some(work));
        });
        harness.answer_all(60 * MS);
    }
    (0..8).for_each(|_| drop(harness.request(IDEMPOTENT)));
    assert!(harness.in_flight.len() >= 6, "{}", harness.in_flight.len());
}

#[test]
fn limits_increase_additively_even_below_two() {
    // With steps in proportion to the limit, a sidecar with a low limit would never catch up with the others.
    // A limit below two must not count as unused while the one attempt that it allows is in flight.
    let mut harness = Harness::new(Settings { instances: 4, ..settings() }, 1, 1);
    serve_requests(&mut harness, 60);
    let mut in_flight = Vec::new();
    for _ in 0..12 {
        (0..100).for_each(|_| drop(harness.request(IDEMPOTENT)));
        in_flight.push(harness.in_flight.len());
        harness.answer_all(20 * MS);
    }
    assert!(in_flight[11] > 20 && in_flight[11] < 90, "{in_flight:?}");
}

#[test]
fn limits_fall_while_answers_take_half_of_objective() {
    // The mean is within the objective, but latencies vary as in a queue, and one in seven is late.
    let mut harness = Harness::new(settings(), 4, 1);
    (0..80).for_each(|_| {
        harness.request(IDEMPOTENT);
        harness.answer_all(180 * MS);
    });
    for _ in 0..40 {
        (0..12).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.answer_all(500 * MS);
    }
    (0..40).for_each(|_| drop(harness.request(IDEMPOTENT)));
    assert!(harness.in_flight.len() <= 6, "{}", harness.in_flight.len());
}

#[test]
fn initial_limits_are_divided_by_square_root_of_number_of_sidecars() {
    let mut harness = Harness::new(Settings { instances: 16, ..settings() }, 4, 1);
    let sent: usize = (0..12).map(|_| targets(&harness.request(IDEMPOTENT).1).len()).sum();
    assert_eq!(sent, 4, "an initial limit of 2 / sqrt(16) allows one attempt at a time");
}

#[test]
fn bursts_of_three_are_not_rejected_at_idle_sidecar_among_many() {
    let mut harness = Harness::new(Settings { instances: 150, ..settings() }, 10, 1);
    serve_requests(&mut harness, 30);
    for _ in 0..20 {
        (0..3).for_each(|_| assert_eq!(targets(&harness.request(NON_IDEMPOTENT).1).len(), 1));
        harness.answer_all(300 * MS);
        harness.advance(1000 * MS);
    }
}

#[test]
fn queues_requests_only_while_all_endpoints_are_at_their_limits() {
    let mut harness = Harness::new(settings(), 2, 4);
    let ids: Vec<_> = (0..5).map(|_| harness.request(IDEMPOTENT)).collect();
    let queued: Vec<_> = ids.iter().filter(|(_, a)| targets(a).is_empty()).map(|(id, _)| *id).collect();
    assert_eq!(queued.len(), 1, "two endpoints with limits of two");
    harness.advance(50 * MS);
    let actions = harness.end_attempt(ids[0].0, 0, Outcome::Ok);
    assert_eq!(targets(&actions).len(), 1);
    assert!(harness.in_flight.contains_key(&(queued[0], 0)));
}

#[test]
fn rejects_request_that_is_queued_too_long() {
    let mut harness = Harness::new(settings(), 2, 4);
    let last = (0..9).map(|_| harness.request(NON_IDEMPOTENT).0).last().expect("nine requests");
    assert!(is_rejected(&harness.advance(450 * MS), last));
}

#[test]
fn limits_grow_with_fast_answers_and_shrink_with_slow_ones() {
    let in_flight_after = |time: Micros| {
        let mut harness = Harness::new(settings(), 2, 4);
        for _ in 0..30 {
            (0..12).for_each(|_| drop(harness.request(IDEMPOTENT)));
            harness.answer_all(time);
            harness.advance(500 * MS);
        }
        (0..40).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.in_flight.len()
    };
    let (fast, slow) = (in_flight_after(30 * MS), in_flight_after(900 * MS));
    assert!(fast > 8 && slow < 8, "{fast} {slow}");
}

// Otherwise slow clients would use up all limits while the endpoints wait for them, and others be rejected.
#[test]
fn request_with_incomplete_body_takes_no_capacity() {
    let mut harness = Harness::new(settings(), 2, 1);
    let request = |harness: &mut Harness, body_incomplete| {
        let id = harness.next_request;
        harness.next_request += 1;
        let (class, deadline, tenant, partition_key, expected_work, is_client_retry) =
            (WITH_KEY, harness.now + 60_000 * MS, None, None, None, false);
        let new = NewRequest {
            id,
            class,
            tenant,
            partition_key,
            deadline,
            expected_work,
            is_client_retry,
            body_incomplete,
        };
        (id, targets(&harness.handle(Event::RequestReceived(new))).len())
    };
    let slow: Vec<_> = (0..60).map(|_| request(&mut harness, true)).collect();
    assert!(slow.iter().all(|(_, sent)| *sent == 1));
    assert_eq!(request(&mut harness, false).1, 1);
    harness.answer_all(50 * MS);
    // Both its objective and its latency count from the end of its body.
    let (id, _) = request(&mut harness, true);
    harness.advance(3000 * MS);
    let deadline = harness.now + 4000 * MS;
    harness.handle(Event::BodyReceived { request: id, deadline });
    assert!(!is_failed(&harness.advance(3900 * MS), id));
    assert!(is_failed(&harness.advance(200 * MS), id) || !harness.in_flight.contains_key(&(id, 0)));
    // Requests with a complete body take capacity.
    let slow: Vec<_> = (0..60).map(|_| request(&mut harness, true)).collect();
    for (request, _) in slow {
        harness.handle(Event::BodyReceived { request, deadline: harness.now + 4000 * MS });
    }
    assert_eq!(request(&mut harness, false).1, 0);
}
