//! Concurrency limits, and the queue of requests that wait for capacity.

mod common;
use common::*;
use lotusmoor_balancer::*;

/// One warm endpoint among nine in slow start: how many of eight requests it is sent at once, after each
/// request was answered within 20 ms for a while.
fn concurrent_attempts_at_warm_endpoint(rounds: usize) -> usize {
    let mut harness = Harness::new(settings(), 10, 1);
    let mut to_warm = 0;
    for round in 0..=rounds {
        let started = Some(harness.now);
        (1..10).for_each(|e| {
            drop(update_entry(&mut harness, EndpointEntry { started_at: started, ..ready_entry(e) }))
        });
        let sends = (0..8).flat_map(|_| targets(&harness.request(IDEMPOTENT).1));
        to_warm = sends.filter(|e| *e == 0 && round == rounds).count();
        harness.answer_all(20 * MS);
        harness.advance(50 * MS);
    }
    to_warm
}

// Nine limits that can't be reached, as their endpoints are in slow start, don't mean that the tenth is high
// enough.
#[test]
fn full_limit_grows_while_requests_wait_whatever_others_have_left() {
    let to_warm = concurrent_attempts_at_warm_endpoint(100);
    assert!(to_warm >= 6, "{to_warm}");
}

// The fair share of what is in flight is small if most of it belongs to endpoints that get nothing now.
#[test]
fn fair_share_of_endpoints_without_slow_start_budget_goes_to_others() {
    let to_warm = concurrent_attempts_at_warm_endpoint(0);
    assert!(to_warm >= 2, "{to_warm}");
}

#[test]
fn tenants_over_quota_queue_behind_others() {
    let mut set = settings();
    set.tenants = vec![Tenant { quota_per_s: 10.0, capacity_share: 0.5 }; 2];
    let mut harness = Harness::new(set, 1, 1);
    let request =
        |harness: &mut Harness, tenant| harness.request_with(IDEMPOTENT, 3000 * MS, Some(tenant), None).0;
    let burst: Vec<_> = (0..12).map(|_| request(&mut harness, 0)).collect();
    let other = request(&mut harness, 1);
    harness.advance(50 * MS);
    harness.end_attempt(burst[0], 0, Outcome::Ok);
    assert!(harness.in_flight.contains_key(&(other, 0)), "it came last and goes first");
}

#[test]
fn queue_timeout_of_retry_begins_with_the_retry() {
    let mut harness = Harness::new(settings(), 1, 1);
    let ids: Vec<_> = (0..2).map(|_| harness.request(IDEMPOTENT).0).collect();
    harness.advance(200 * MS);
    harness.end_attempt(ids[0], 0, Outcome::Error);
    harness.request(IDEMPOTENT);
    let early = harness.advance(100 * MS);
    assert!(!is_rejected(&early, ids[0]), "its first wait is long over, this one is not");
    harness.end_attempt(ids[1], 0, Outcome::Ok);
    assert!(harness.in_flight.contains_key(&(ids[0], 1)));
}

#[test]
fn first_queue_timeout_does_not_end_second_wait() {
    let mut harness = Harness::new(settings(), 1, 1);
    let first: Vec<_> = (0..2).map(|_| harness.request(IDEMPOTENT).0).collect();
    let (id, _) = harness.request(IDEMPOTENT);
    harness.advance(90 * MS);
    harness.end_attempt(first[0], 0, Outcome::Ok);
    harness.request(IDEMPOTENT);
    harness.end_attempt(id, 0, Outcome::Error);
    let seen = harness.advance(100 * MS);
    assert!(!is_rejected(&seen, id), "its second wait began less than 0.15 of the objective ago");
    harness.end_attempt(first[1], 0, Outcome::Ok);
    assert!(harness.in_flight.contains_key(&(id, 1)));
}

#[test]
fn client_retries_queue_behind_first_attempts() {
    let mut harness = Harness::new(settings(), 1, 1);
    let first = harness.request(IDEMPOTENT).0;
    harness.request(IDEMPOTENT);
    let due = harness.now + 3000 * MS;
    let (id, class, repeat, coming) = (0, IDEMPOTENT, true, false);
    let repeat = NewRequest {
        id,
        class,
        tenant: None,
        partition_key: None,
        deadline: due,
        expected_work: None,
        is_client_retry: repeat,
        body_incomplete: coming,
    };
    harness.handle(Event::RequestReceived(repeat));
    let fresh = harness.request(IDEMPOTENT).0;
    harness.advance(50 * MS);
    let actions = harness.end_attempt(first, 0, Outcome::Ok);
    let of = |a: &Action| if let Action::Send { request, .. } = a { Some(*request) } else { None };
    assert_eq!(actions.iter().find_map(of), Some(fresh), "it came last and goes first");
}

#[test]
fn short_objectives_do_not_starve_behind_long_ones_in_queue() {
    let mut set = settings();
    set.classes[WITH_KEY].latency_objective = 300 * MS;
    let mut harness = Harness::new(set, 1, 1);
    let first: Vec<_> = (0..8).map(|_| harness.request(IDEMPOTENT).0).collect();
    let urgent = harness.request(WITH_KEY).0;
    harness.advance(30 * MS);
    harness.end_attempt(first[0], 0, Outcome::Ok);
    assert!(harness.in_flight.contains_key(&(urgent, 0)));
}

#[test]
fn tiny_requests_do_not_make_fleet_look_crowded() {
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
fn limits_rise_by_even_steps_from_the_smallest() {
    // Steps in proportion to the limit would keep sidecars apart once one has fallen behind; and a limit
    // under two must not count as unused while the one attempt that it allows is in flight.
    let mut harness = Harness::new(Settings { instances: 4, ..settings() }, 1, 1);
    serve_requests(&mut harness, 60);
    let mut held = Vec::new();
    for _ in 0..12 {
        (0..100).for_each(|_| drop(harness.request(IDEMPOTENT)));
        held.push(harness.in_flight.len());
        harness.answer_all(20 * MS);
    }
    assert!(held[11] > 20 && held[11] < 90, "{held:?}");
}

#[test]
fn limits_fall_while_calls_take_half_of_their_objective() {
    // The mean is inside the objective, but latencies spread as in a queue, and one in seven is late.
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
fn initial_limits_are_divided_by_root_of_number_of_sidecars() {
    let mut harness = Harness::new(Settings { instances: 16, ..settings() }, 4, 1);
    let sent: usize = (0..12).map(|_| targets(&harness.request(IDEMPOTENT).1).len()).sum();
    assert_eq!(sent, 4, "half a request each is one at a time, where one sidecar alone has two");
}

#[test]
fn quiet_sidecar_among_many_is_not_rejected_bursts_of_three() {
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
    let waiting: Vec<_> = ids.iter().filter(|(_, a)| targets(a).is_empty()).map(|(id, _)| *id).collect();
    assert_eq!(waiting.len(), 1, "limits of two at two endpoints");
    harness.advance(50 * MS);
    let after = harness.end_attempt(ids[0].0, 0, Outcome::Ok);
    assert_eq!(targets(&after).len(), 1);
    assert!(harness.in_flight.contains_key(&(waiting[0], 0)));
}

#[test]
fn rejects_request_that_is_queued_too_long() {
    let mut harness = Harness::new(settings(), 2, 4);
    let last = (0..9).map(|_| harness.request(NON_IDEMPOTENT).0).last().expect("nine requests");
    assert!(is_rejected(&harness.advance(450 * MS), last));
}

#[test]
fn limits_grow_with_answers_in_time_and_shrink_with_late_ones() {
    let most = |time: Micros| {
        let mut harness = Harness::new(settings(), 2, 4);
        for _ in 0..30 {
            (0..12).for_each(|_| drop(harness.request(IDEMPOTENT)));
            harness.answer_all(time);
            harness.advance(500 * MS);
        }
        (0..40).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.in_flight.len()
    };
    let (quick, slow) = (most(30 * MS), most(900 * MS));
    assert!(quick > 8 && slow < 8, "{quick} {slow}");
}

// Slow clients would else fill every limit while the endpoints wait for them, and all others be rejected.
#[test]
fn request_with_incomplete_body_takes_no_capacity() {
    let mut harness = Harness::new(settings(), 2, 1);
    let request = |harness: &mut Harness, coming| {
        let id = harness.next_request;
        harness.next_request += 1;
        let (class, due, tenant, key, work, repeat) =
            (WITH_KEY, harness.now + 60_000 * MS, None, None, None, false);
        let new = NewRequest {
            id,
            class,
            tenant,
            partition_key: key,
            deadline: due,
            expected_work: work,
            is_client_retry: repeat,
            body_incomplete: coming,
        };
        (id, targets(&harness.handle(Event::RequestReceived(new))).len())
    };
    let slow: Vec<_> = (0..60).map(|_| request(&mut harness, true)).collect();
    assert!(slow.iter().all(|(_, sent)| *sent == 1));
    assert_eq!(request(&mut harness, false).1, 1);
    harness.answer_all(50 * MS);
    // Its objective counts from the end of its body, and so does its duration.
    let (id, _) = request(&mut harness, true);
    harness.advance(3000 * MS);
    let due = harness.now + 4000 * MS;
    harness.handle(Event::BodyReceived { request: id, deadline: due });
    assert!(!is_failed(&harness.advance(3900 * MS), id));
    assert!(is_failed(&harness.advance(200 * MS), id) || !harness.in_flight.contains_key(&(id, 0)));
    // Complete requests count.
    let slow: Vec<_> = (0..60).map(|_| request(&mut harness, true)).collect();
    for (request, _) in slow {
        harness.handle(Event::BodyReceived { request, deadline: harness.now + 4000 * MS });
    }
    assert_eq!(request(&mut harness, false).1, 0);
}
