//! Slow start.

mod common;
use common::*;
use lotusmoor_balancer::*;

/// Attempts at one of two endpoints over 4 s of traffic, after its attempts have ended in these ways.
fn attempts_after(ends: &[Outcome]) -> usize {
    let mut harness = Harness::new(settings(), 2, 1);
    serve_requests(&mut harness, 100);
    let mut left = ends.iter();
    let mut count = 0;
    for _ in 0..200 {
        harness.request(IDEMPOTENT);
        harness.advance(20 * MS);
        for (key, out) in harness.in_flight.iter().map(|(k, o)| (*k, *o)).collect::<Vec<_>>() {
            let end = if out.endpoint == 0 { left.next() } else { None };
            count += usize::from(out.endpoint == 0 && end.is_none());
            harness.end_attempt(key.0, key.1, end.copied().unwrap_or(Outcome::Ok));
        }
    }
    assert_eq!(left.next(), None, "some were never tried");
    count
}

// Connections that a network resets say nothing about the process behind them, nor does one that could not be
// made: slow start in error sends an endpoint next to nothing for seconds. Several failed connections without
// an answer indicate a restart.
#[test]
fn broken_connections_alone_do_not_begin_slow_start() {
    use Outcome::{ConnectFailed, Reset};
    let cold = attempts_after(&[ConnectFailed; 3]);
    for ends in [[Reset; 3], [Reset, ConnectFailed, Reset], [Reset, Reset, ConnectFailed]] {
        let kept = attempts_after(&ends);
        assert!(2 * kept > 3 * cold, "{ends:?}: {kept} {cold}");
    }
}

// Whatever broke the connections, a process that answers an earlier request was not restarted.
#[test]
fn answer_to_earlier_attempt_proves_that_process_did_not_restart() {
    for lives in [false, true] {
        let mut harness = Harness::new(settings(), 1, 1);
        serve_requests(&mut harness, 100);
        let (long, _) = harness.request(IDEMPOTENT);
        for _ in 0..3 {
            let (id, _) = harness.request(NON_IDEMPOTENT);
            harness.end_attempt(id, 0, Outcome::ConnectFailed);
            harness.handle(Event::RequestAbandoned(id));
        }
        if lives {
            harness.end_attempt(long, 0, Outcome::Ok);
        } else {
            harness.handle(Event::RequestAbandoned(long));
            harness.advance(4000 * MS);
            let (trial, _) = harness.request(IDEMPOTENT);
            harness.end_attempt(trial, 0, Outcome::Ok);
        }
        let sent: usize = (0..10).map(|_| targets(&harness.request(IDEMPOTENT).1).len()).sum();
        assert_eq!(sent > 2, lives, "{sent}");
    }
}

#[test]
fn endpoint_in_slow_start_gets_a_small_share_that_grows() {
    let mut harness = Harness::new(settings(), 4, 1);
    serve_requests(&mut harness, 200);
    let now = harness.now;
    update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(3) });
    let part = |harness: &mut Harness| serve_requests(harness, 60).iter().filter(|e| **e == 3).count();
    let cold = part(&mut harness);
    harness.advance(3000 * MS);
    serve_requests(&mut harness, 60);
    let mid = part(&mut harness);
    harness.advance(9000 * MS);
    let warm = part(&mut harness);
    assert!(cold <= 6 && cold < mid && mid <= warm && warm >= 13, "{cold} {mid} {warm}");
}

#[test]
fn burst_does_not_overload_only_endpoint_in_slow_start() {
    let mut harness = Harness::new(settings(), 4, 1);
    serve_requests(&mut harness, 60);
    for _ in 0..12 {
        (0..100).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.answer_all(20 * MS);
    }
    harness.advance(9000 * MS);
    let now = harness.now;
    let full = EndpointEntry { started_at: Some(now), ..ready_entry(0) };
    harness.handle(Event::EndpointList(EndpointListUpdate::Full(vec![full])));
    let burst: usize = (0..50).map(|_| targets(&harness.request(IDEMPOTENT).1).len()).sum();
    assert!(burst <= 2, "{burst}");
}

// After a release most of the fleet is in slow start. What warm endpoints serve is the measure for the
// others: divided among those in slow start as well, it leaves them idle while the warm ones are overloaded.
#[test]
fn many_endpoints_in_slow_start_each_get_their_capacity() {
    let mut harness = Harness::new(settings(), 12, 1);
    let mut to = [0; 12];
    for step in 0..80 {
        for _ in 0..6 {
            targets(&harness.request(NON_IDEMPOTENT).1)
                .into_iter()
                .for_each(|e| to[e] += u32::from(step >= 40));
        }
        harness.answer_all(50 * MS);
        harness.advance(50 * MS);
        if step == 20 {
            let started = Some(harness.now);
            (2..12).for_each(|e| {
                drop(update_entry(&mut harness, EndpointEntry { started_at: started, ..ready_entry(e) }))
            });
        }
    }
    let (warm, cold) = (to[..2].iter().sum::<u32>(), to[2..].iter().sum::<u32>());
    // Ten at 0.4 to 0.8 of their capacity.
    assert!(2 * cold > 5 * warm, "{to:?}");
}

// An endpoint that fails all its attempts serves nothing: it is no measure for those in slow start.
#[test]
fn slow_start_budget_follows_endpoints_that_serve() {
    let mut harness = Harness::new(settings(), 6, 1);
    let mut to_cold = 0;
    for step in 0..200 {
        if step == 100 {
            let now = harness.now;
            update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(5) });
        }
        (0..4).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.advance(20 * MS);
        for ((id, n), out) in harness.in_flight.clone() {
            to_cold += usize::from(out.endpoint == 5 && step >= 100);
            let how = if (1..5).contains(&out.endpoint) { Outcome::Error } else { Outcome::Ok };
            harness.end_attempt(id, n, how);
        }
        harness.advance(10 * MS);
    }
    assert!(to_cold >= 75, "{to_cold} of 400");
}

// What endpoints in slow start serve follows from their budgets: measured by it, a process that starts when
// most are in slow start takes seconds to find out what they can do.
#[test]
fn slow_start_budget_soon_follows_warm_endpoints_when_most_are_in_slow_start() {
    let mut harness = Harness::new(settings(), 10, 1);
    let started = Some(harness.now);
    (1..10).for_each(|e| {
        drop(update_entry(&mut harness, EndpointEntry { started_at: started, ..ready_entry(e) }))
    });
    let mut to = [0; 10];
    // Twice the time in which an endpoint collapses under overload.
    for _ in 0..100 {
        (0..20).for_each(|_| targets(&harness.request(IDEMPOTENT).1).into_iter().for_each(|e| to[e] += 1));
        harness.answer_all(20 * MS);
        harness.advance(10 * MS);
    }
    // Nine at 0.3 to 0.5 of their capacity.
    assert!(2 * to[1..].iter().sum::<u32>() > 5 * to[0], "{to:?}");
}

// Slow endpoints are warm, and yet no measure of what another can do.
#[test]
fn slow_start_budget_does_not_follow_slow_endpoints() {
    let mut harness = Harness::new(settings(), 5, 1);
    let mut to_cold = 0;
    for step in 0..300 {
        if step == 100 {
            let now = harness.now;
            update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(4) });
        }
        (0..4).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.advance(20 * MS);
        for ((id, n), out) in harness.in_flight.clone() {
            let slow = (1..4).contains(&out.endpoint);
            if !slow || harness.now - out.sent_at >= 400 * MS {
                to_cold += usize::from(out.endpoint == 4 && step >= 100);
                harness.end_attempt(id, n, Outcome::Ok);
            }
        }
    }
    assert!(to_cold >= 150, "{to_cold} of 800");
}

/// Attempts at an endpoint in slow start beside a warm one in a second, with more requests than both can
/// serve and answers that take `time`.
fn attempts_at_endpoint_in_slow_start(time: Micros) -> usize {
    let mut harness = Harness::new(settings(), 2, 1);
    let mut to_cold = 0;
    for step in 0..160 {
        if step == 60 {
            let now = harness.now;
            update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(1) });
        }
        (0..8).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.advance(10 * MS);
        for ((id, n), out) in harness.in_flight.clone() {
            if harness.now - out.sent_at >= time {
                to_cold += usize::from(out.endpoint == 1 && step >= 60);
                harness.end_attempt(id, n, Outcome::Ok);
            }
        }
    }
    to_cold
}

// The rules state the least that an endpoint in slow start can do, and most can do more: while requests wait
// it is sent more, as long as its answers come in time.
#[test]
fn endpoint_in_slow_start_that_answers_in_time_gets_more_while_requests_wait() {
    let (in_time, late) =
        (attempts_at_endpoint_in_slow_start(50 * MS), attempts_at_endpoint_in_slow_start(400 * MS));
    assert!(in_time >= 125 && late <= 6, "{in_time} {late}");
}

#[test]
fn many_quiet_sidecars_do_not_overload_endpoint_in_slow_start() {
    let mut to_cold = 0;
    for index in 0..200 {
        let set = Settings { instances: 200, index, ..settings() };
        let mut harness = Harness::new(set, 4, u64::from(index));
        serve_requests(&mut harness, 8);
        let now = harness.now;
        update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(3) });
        harness.advance(50 * MS);
        to_cold += serve_requests(&mut harness, 4).iter().filter(|e| **e == 3).count();
    }
    assert!(to_cold <= 20, "{to_cold} of 800 requests to one that started a moment ago");
}

#[test]
fn fleet_in_slow_start_gets_little_and_is_fully_used_once_warm() {
    let mut harness = Harness::new(Settings { instances: 200, ..settings() }, 0, 3);
    let cold = |endpoint| EndpointEntry { started_at: Some(START), ..ready_entry(endpoint) };
    harness.handle(Event::EndpointList(EndpointListUpdate::Full((0..50).map(cold).collect())));
    let served = |harness: &mut Harness, until: Micros| {
        let before = harness.attempts_sent.len();
        let mut asked = 0;
        while harness.now < until {
            harness.request(IDEMPOTENT);
            harness.answer_all(20 * MS);
            harness.advance(80 * MS);
            asked += 1;
        }
        (harness.attempts_sent.len() - before, asked)
    };
    let (cold, _) = served(&mut harness, START + 8000 * MS);
    assert!((1..=45).contains(&cold), "{cold}");
    let (warm, asked) = {
        harness.advance(1500 * MS);
        let until = harness.now + 2000 * MS;
        served(&mut harness, until)
    };
    assert_eq!(warm, asked);
}

#[test]
fn endpoint_back_after_lost_connections_begins_slow_start_before_it_is_listed() {
    let mut harness = Harness::new(settings(), 4, 1);
    for _ in 0..40 {
        let (id, actions) = harness.request(IDEMPOTENT);
        let died = targets(&actions)[0] == 2;
        harness.advance(10 * MS);
        harness.end_attempt(id, 0, if died { Outcome::ConnectFailed } else { Outcome::Ok });
        harness.answer_all(20 * MS);
    }
    harness.advance(9000 * MS);
    let back = serve_requests(&mut harness, 60).iter().filter(|e| **e == 2).count();
    assert!((1..=8).contains(&back), "{back}");
}

// The few sidecars whose subsets hold an endpoint in slow start have to send it all that it can do.
#[test]
fn sidecars_with_subsets_send_endpoints_in_slow_start_their_full_share() {
    let to: Vec<_> = targets_of_many_sidecars(32).concat();
    let cold = to.iter().filter(|e| **e < 32).count();
    // At about half of their capacity they have a third of the whole.
    assert!(4 * cold > to.len() && 2 * cold < to.len(), "{cold} of {}", to.len());
}

// A sidecar that has just started may find most of its endpoints in slow start: what it serves in its first
// moments is no small part of what they can do.
#[test]
fn new_sidecar_sends_endpoint_in_slow_start_its_share_from_the_start() {
    let to_cold: usize = (1..=10)
        .map(|seed| {
            let mut harness = Harness::new(settings(), 4, seed);
            let cold = EndpointEntry { started_at: Some(harness.now), ..ready_entry(0) };
            harness.handle(Event::EndpointList(EndpointListUpdate::Delta(vec![cold])));
            let mut to_cold = 0;
            // A third of the time over which throughput is summed up.
            for _ in 0..10 {
                let sends: Vec<_> = (0..4).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
                to_cold += sends.iter().filter(|e| **e == 0).count();
                harness.answer_all(100 * MS);
            }
            to_cold
        })
        .sum();
    assert!(to_cold >= 15, "{to_cold} of 400");
}
