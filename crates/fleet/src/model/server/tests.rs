//! Tests of a single server.

use super::*;

const NO_LIMIT: OverloadLimit = OverloadLimit { multiple: 1e9, window: SECOND, mean_work: 1000.0 };

fn server(change: impl Fn(&mut ServerSpec)) -> Server {
    let mut spec = ServerSpec::plain(0);
    change(&mut spec);
    Server::new(spec)
}

fn send(s: &mut Server, attempt: u32, work: f64, overload_limit: OverloadLimit) -> Arrival {
    s.arrive(
        0,
        Arriving { attempt, work, due: SECOND, informed: !attempt.is_multiple_of(4) },
        overload_limit,
        0,
    )
}

fn done_at(server: &mut Server, now: Micros) -> Vec<u32> {
    let mut done = Vec::new();
    server.finish(now, &mut done);
    done
}

#[test]
fn two_requests_share_a_core_and_a_third_waits_for_a_slot() {
    let mut s = server(|s| (s.cores, s.slots, s.queue) = (1.0, 2, 1));
    for attempt in 0..3 {
        assert_eq!(send(&mut s, attempt, 1000.0, NO_LIMIT), Arrival::Accepted);
    }
    assert_eq!(send(&mut s, 3, 1000.0, NO_LIMIT), Arrival::Rejected);
    assert_eq!(s.next_completion(0), Some(2000));
    assert_eq!(done_at(&mut s, 2000), [0, 1]);
    assert_eq!((s.next_completion(2000), s.queued()), (Some(3000), 0));
}

#[test]
fn overlapping_pauses_stop_work_until_the_last_one_ends() {
    let mut s = server(|_| {});
    send(&mut s, 0, 1000.0, NO_LIMIT);
    s.pause(500, true);
    s.pause(600, true);
    s.pause(700, false);
    assert_eq!(s.next_completion(700), None);
    s.pause(900, false);
    assert_eq!(s.next_completion(900), Some(1400));
}

#[test]
fn only_a_server_that_is_warming_up_crashes_from_overload() {
    let overload_limit = OverloadLimit { multiple: 3.0, window: SECOND, mean_work: 10_000.0 };
    let overload =
        |s: &mut Server| (0..400).map(|i| send(s, i, 10_000.0, overload_limit)).collect::<Vec<_>>();
    let mut warm = server(|s| s.queue = 1000);
    assert!(overload(&mut warm).iter().all(|a| *a == Arrival::Accepted));
    let mut restarted = server(|s| (s.queue, s.initial_capacity, s.warm_up_time) = (1000, 0.1, 10 * SECOND));
    restarted.start(0);
    // 3 x 0.1 x 1 s of work.
    let all = overload(&mut restarted);
    let crashed_by_overload = all.iter().position(|a| matches!(a, Arrival::Overloaded(_)));
    // The nominal limit is 30 requests of mean work; with the tolerance of 2 √30 + 2 it is 42.95.
    assert_eq!(crashed_by_overload, Some(42));
    assert_eq!(all[42], Arrival::Overloaded(32.0 / 43.0));
}

#[test]
fn overload_limit_counts_work_in_requests_of_mean_work() {
    let overload_limit = OverloadLimit { multiple: 3.0, window: SECOND, mean_work: 10_000.0 };
    // (30 + 2 x 5.477 + 2) x 10 ms of work, as many small requests or as one large one.
    let most = overload_limit.max_work(300_000.0);
    assert!((most - 429_544.5).abs() < 0.1, "{most}");
    // Under 30, (16 + 3 x 4 + 3) x 10 ms.
    assert!((overload_limit.max_work(160_000.0) - 310_000.0).abs() < 0.1);
    for (work, accepted) in [(1_000.0, 429), (50_000.0, 8), (429_000.0, 1), (430_000.0, 0)] {
        let mut restarted =
            server(|s| (s.queue, s.initial_capacity, s.warm_up_time) = (1000, 0.1, 10 * SECOND));
        restarted.start(0);
        let first =
            (0..1000).position(|i| send(&mut restarted, i, work, overload_limit) != Arrival::Accepted);
        assert_eq!(first, Some(accepted), "{work}");
    }
}

#[test]
fn slow_start_by_work_is_never_slower_than_by_time() {
    let mut s =
        server(|s| (s.initial_capacity, s.warm_up_time, s.warms_up_by_work) = (0.2, 10 * SECOND, true));
    s.start(0);
    assert!((s.slow_start_factor(5 * SECOND) - 0.6).abs() < 1e-9);
    s.done += 4.0 * SECOND as f64;
    assert!((s.slow_start_factor(5 * SECOND) - 0.84).abs() < 1e-9);
    assert_eq!(s.slow_start_factor(10 * SECOND), 1.0);
}

#[test]
fn cancellation_ends_running_requests_only_if_configured() {
    for (all, in_flight) in [(false, 1), (true, 0)] {
        let mut s = server(|s| (s.slots, s.queue, s.cancels_running) = (1, 5, all));
        send(&mut s, 0, 1000.0, NO_LIMIT);
        send(&mut s, 1, 1000.0, NO_LIMIT);
        s.cancel(10, 1);
        s.cancel(10, 0);
        assert_eq!(s.in_flight(), in_flight);
    }
}

#[test]
fn keys_expire_and_are_evicted() {
    let mut s = server(|s| (s.keys, s.key_retention) = (2, SECOND));
    assert!(!s.touch_key(0, 1) && s.touch_key(10, 1) && !s.touch_key(20, 2) && !s.touch_key(30, 3));
    assert!(!s.touch_key(40, 1), "evicted by two other keys");
    assert!(!s.touch_key(2 * SECOND, 3), "expired");
}
