//! The checker by itself.

use super::*;
use crate::harness::backend::{EndedRequest, ReceivedRequest};
use crate::harness::sent_requests::SentRequest;

fn attempt(id: &str, server: usize, came: i64, over: i64, status: Option<u16>) -> Attempt {
    let (number, executed) = (came.unsigned_abs(), status != Some(503));
    let body = (status == Some(200)).then(|| format!("{id} by {server}"));
    let request = ReceivedRequest {
        number,
        id: id.into(),
        method: "GET".into(),
        key: None,
        received_at: (came - 10, came),
        stale: false,
        time_left: None,
    };
    Attempt { server, request, end: Some(EndedRequest { number, at: over, executed, status, body }) }
}

fn ask(id: &str, idempotency: Idempotency, server: usize) -> ClientRequest {
    let outcome = Outcome::Answer { status: 200, at: 30_000, body: format!("{id} by {server}") };
    ClientRequest { id: id.into(), sidecar: 0, idempotency, timeout: 100_000, sent_at: 0, outcome }
}

fn good() -> History {
    let keyed = Idempotency::Keyed { window: 50_000 };
    History {
        requests: vec![
            ask("a", Idempotency::Idempotent, 1),
            ask("b", Idempotency::NonIdempotent, 0),
            ask("c", keyed, 2),
        ],
        attempts: vec![
            // Given up by its sidecar, then served elsewhere; turned away, then served; dropped, then served.
            attempt("a", 0, 1_000, 9_000, None),
            attempt("a", 1, 9_500, 20_000, Some(200)),
            attempt("b", 2, 1_000, 1_100, Some(503)),
            attempt("b", 0, 2_000, 20_000, Some(200)),
            attempt("c", 1, 1_000, 5_000, Some(500)),
            attempt("c", 2, 6_000, 20_000, Some(200)),
        ],
        slack: 1_000,
        drain_grace: 2_000_000,
        // Of 10 a second a cold one bears 3 x 0.1 x 3 s, so 9 at first, and 9 + 3 x 3 + 3 with the slack.
        slow_start_limit: Some(SlowStartLimit {
            per_s: 10.0,
            factor: 3.0,
            window: 3_000_000,
            share: 0.1,
            warm: 30_000_000,
        }),
        ..History::default()
    }
}

/// What is broken where servers' own reads alone tell when something was sent.
fn broken(history: &History) -> Vec<Violation> {
    check(&read(history))
}

fn read(history: &History) -> History {
    let mut history = history.clone();
    history.use_attempts_as_forwarded();
    history
}

fn rules(history: &History) -> Vec<Rule> {
    names(&broken(history))
}

fn names(broken: &[Violation]) -> Vec<Rule> {
    broken.iter().map(|b| b.rule).collect()
}

#[test]
fn retries_as_the_rules_allow_them_break_none() {
    assert_eq!(broken(&good()), []);
}

#[test]
fn each_rule_is_seen_broken_and_no_other_with_it() {
    let mut history = good();
    history.requests.extend([ask("d", Idempotency::Idempotent, 0), ask("e", Idempotency::NonIdempotent, 1)]);
    history.attempts.push(attempt("d", 0, 1_000, 20_000, Some(200)));
    history.attempts.push(attempt("e", 1, 1_000, 20_000, Some(200)));
    assert_eq!(broken(&history), []);
    for rule in Rule::ALL {
        for seed in 0..4 {
            let spoilt = inject_violation(&read(&history), rule, seed).expect("it has such requests");
            let seen = names(&check(&spoilt));
            assert!(seen.contains(&rule), "{rule:?}: {seen:?}");
            // A second attempt at what may not be repeated breaks two, and a lost id leaves its answer unmade.
            let with = |r: &Rule| {
                *r == rule
                    || (rule == Rule::OneAtATime && *r == Rule::NoUnsafeRetry)
                    || (rule == Rule::RequestedByClient && *r == Rule::Genuine)
            };
            assert!(seen.iter().all(with), "{rule:?}: {seen:?}");
        }
    }
}

#[test]
fn a_keyed_request_outside_its_window_and_a_refusal_after_it_are_seen() {
    let mut history = good();
    history.attempts[5].request.received_at = (60_000, 60_010);
    assert_eq!(rules(&history), [Rule::NoUnsafeRetry]);
    // Read late by a server that stood still, it may have been sent in time; unsafe, it was not to be sent at all.
    history.server_outages = vec![Outage { instance: 2, span: (8_000, 60_500) }];
    assert_eq!(broken(&history), []);
    history.requests[2].idempotency = Idempotency::NonIdempotent;
    assert_eq!(rules(&history), [Rule::NoUnsafeRetry]);
    let mut history = good();
    history.requests[2].outcome = Outcome::Answer { status: 429, at: 70_000, body: String::new() };
    assert_eq!(rules(&history), [Rule::SafeRejection]);
}

#[test]
fn what_a_killed_sidecar_had_and_what_a_held_server_wrote_down_late_is_excused() {
    let mut history = good();
    history.requests[0].outcome = Outcome::Closed { at: 5_000 };
    assert_eq!(rules(&history), [Rule::Answered]);
    history.sidecar_outages = vec![Outage { instance: 0, span: (4_000, 6_000) }];
    assert_eq!(broken(&history), []);
    let mut history = good();
    history.attempts[0].end.iter_mut().for_each(|o| o.at = 50_000);
    assert_eq!(rules(&history), [Rule::OneAtATime]);
    history.server_outages = vec![Outage { instance: 0, span: (2_000, 49_000) }];
    assert_eq!(broken(&history), []);
}

#[test]
fn an_attempt_that_begins_after_its_client_closed_is_seen() {
    let left = |n: usize, begun: i64| {
        let mut history = good();
        for i in 0..n {
            let id = format!("l{i}");
            history.requests.push(ClientRequest {
                outcome: Outcome::Disconnected { at: 2_000 },
                ..ask(&id, Idempotency::Idempotent, 1)
            });
            // It may begin and end as it likes before, and so may one that was read late.
            history.attempts.push(attempt(&id, 0, 1_500, 9_000, None));
            history.attempts.push(attempt(&id, 1, begun, begun + 5_000, None));
        }
        history
    };
    // 100 ms after the close, and its first byte comes 10 us before its last.
    assert_eq!(broken(&left(5, 102_010)), []);
    assert_eq!(rules(&left(1, 102_011)), [Rule::NotAfterDisconnect]);
    assert_eq!(rules(&left(5, 102_011)), [Rule::NotAfterDisconnect; 5]);
    let mut held = left(5, 102_011);
    held.server_outages = vec![Outage { instance: 1, span: (2_000, 102_001) }];
    assert_eq!(broken(&held), []);
    held.server_outages[0].span.1 = 102_000;
    assert_eq!(rules(&held), [Rule::NotAfterDisconnect; 5]);
    // What a link adds is no fault of the sidecar's.
    held.max_link_delay = 1;
    assert_eq!(broken(&held), []);
}

// A cut link holds it back, and its server reads it when its client has long been answered.
#[test]
fn what_was_held_back_on_its_way_counts_from_when_it_left_its_sidecar() {
    let (wait, told, sent) = (100_000, 40_000, 1_000);
    let mut history = good();
    history.attempts[0].request.time_left = Some(told);
    history.attempts[4].request.time_left = Some(told);
    history = read(&history);
    assert_eq!(check(&history), []);
    let late = |attempt: &mut Attempt| {
        attempt.request.received_at = (5 * wait, 5 * wait + 10);
        attempt.end.iter_mut().for_each(|o| o.at = 5 * wait + 60);
    };
    late(&mut history.attempts[0]);
    // In servers' reads it would be told far more than is left.
    assert_eq!(rules(&history), [Rule::DeadlineNotExtended]);
    assert_eq!(check(&history), []);
    // Its client had closed by then, and its server drained.
    history.requests[0].outcome = Outcome::Disconnected { at: sent + 10 };
    history.notified_unavailable = vec![(0, 0, 2 * wait)];
    assert_eq!(check(&history), []);
    // The window for its repeat was over by then.
    late(&mut history.attempts[5]);
    assert_eq!(check(&history), []);
    assert!(rules(&history).contains(&Rule::NoUnsafeRetry));
}

// Nobody but the relay has seen it.
#[test]
fn what_no_server_ever_read_counts_as_well() {
    let mut history = read(&good());
    history.requests[0].outcome = Outcome::Disconnected { at: 2_000 };
    let mut send = history.forwarded[0].clone();
    send.request.sent_at = 102_000;
    history.forwarded.push(send.clone());
    assert_eq!(check(&history), []);
    history.forwarded.last_mut().expect("one").request.sent_at = 102_001;
    assert_eq!(names(&check(&history)), [Rule::NotAfterDisconnect]);
    history.forwarded.last_mut().expect("one").request =
        SentRequest { time_left: Some(249_001), sent_at: 1_000, ..send.request };
    assert_eq!(names(&check(&history)), [Rule::DeadlineNotExtended]);
}

// Its client saw its connection end and sent it once more, to the next process on the same socket.
#[test]
fn what_a_killed_process_has_sent_is_no_attempt_of_the_next_one() {
    let mut history = good();
    history.attempts.push(attempt("b", 1, 1_000, 5_000, None));
    assert!(rules(&history).contains(&Rule::NoUnsafeRetry));
    history.requests[1].sent_at = 1_500;
    assert!(rules(&history).contains(&Rule::NoUnsafeRetry), "no process was killed");
    history.sidecar_outages = vec![Outage { instance: 0, span: (1_200, 1_400) }];
    assert_eq!(broken(&history), []);
    // What the next one sends twice is its own.
    history.attempts.push(attempt("b", 1, 30_000, 40_000, Some(200)));
    assert_eq!(rules(&history), [Rule::NoUnsafeRetry]);
}

#[test]
fn a_server_that_is_told_more_time_than_is_left_is_seen() {
    let told = |us: i64| {
        let mut history = good();
        history.attempts[0].request.time_left = Some(us);
        history
    };
    // 100 ms, less 990 us, and 150 ms of slack.
    assert_eq!(broken(&told(249_010)), []);
    assert_eq!(rules(&told(249_011)), [Rule::DeadlineNotExtended]);
}

#[test]
fn a_stranger_that_is_kept_or_served_is_seen() {
    let with = |rejected_at: Option<i64>, served: bool| {
        let mut history = good();
        history.malformed_clients =
            vec![MalformedClient { sidecar: 0, connected_at: 500, rejected_at, served }];
        history
    };
    assert_eq!(broken(&with(Some(3_001_500), false)), []);
    assert_eq!(rules(&with(Some(3_001_501), false)), [Rule::MalformedClientRejected]);
    assert_eq!(rules(&with(None, false)), [Rule::MalformedClientRejected]);
    assert_eq!(rules(&with(Some(1_000), true)), [Rule::MalformedClientRejected]);
    let mut killed = with(None, false);
    killed.sidecar_outages = vec![Outage { instance: 0, span: (2_000_000, 2_100_000) }];
    assert_eq!(broken(&killed), []);
}

/// A start of server 3, and so many requests right after it, each of a client of its own.
fn started(requests: i64, told: i64) -> History {
    let mut history = good();
    history.server_starts = vec![(3, 0)];
    for n in 0..requests {
        let id = format!("c{n}");
        history.requests.push(ask(&id, Idempotency::Idempotent, 3));
        history.attempts.push(attempt(&id, 3, 1_000 + n, 20_000, Some(200)));
    }
    history.notified_available = vec![(0, 3, told)];
    history
}

#[test]
fn a_cold_server_bears_what_the_settings_allow_it_and_the_slack() {
    assert_eq!(broken(&started(21, 500)), []);
    assert_eq!(rules(&started(22, 500)), [Rule::RespectsSlowStart]);
    // One that had not been told of the start doesn't count, and one that was told in the midst does from then on.
    assert_eq!(broken(&started(22, 2_000)), []);
    // 14 of 22 are under two thirds, 15 are more.
    assert_eq!(broken(&started(22, 1_008)), []);
    assert_eq!(rules(&started(22, 1_007)), [Rule::RespectsSlowStart]);
    // Warm, it may have any number.
    let mut warm = started(100, 500);
    warm.server_starts = vec![(3, -30_000_000)];
    assert_eq!(broken(&warm), []);
    // Halfway it bears 49.5, and 14 and two more: 65 in all.
    warm.server_starts = vec![(3, -15_000_000)];
    assert_eq!(rules(&warm), [Rule::RespectsSlowStart]);
    assert_eq!(broken(&History { server_starts: vec![(3, -15_000_000)], ..started(65, 500) }), []);
    assert_eq!(slow_start_peaks(&started(17, 500)), [(3, 17, 17)]);
    let load = peak_slow_start_load(&started(17, 500)).expect("one was cold");
    assert!((load - 17.0 / 21.0).abs() < 0.001, "{load}");
    assert_eq!(peak_slow_start_load(&good()), None);
}
