//! Unit tests of the checker.

use super::*;
use crate::harness::backend::{EndedRequest, ReceivedRequest};
use crate::harness::sent_requests::SentRequest;

fn attempt(id: &str, server: usize, received_at: i64, ended_at: i64, status: Option<u16>) -> Attempt {
    let (number, executed) = (received_at.unsigned_abs(), status != Some(503));
    let body = (status == Some(200)).then(|| format!("{id} by {server}"));
    let request = ReceivedRequest {
        number,
        id: id.into(),
        method: "GET".into(),
        key: None,
        received_at: (received_at - 10, received_at),
        stale: false,
        time_left: None,
    };
    Attempt { server, request, end: Some(EndedRequest { number, at: ended_at, executed, status, body }) }
}

fn request(id: &str, idempotency: Idempotency, server: usize) -> ClientRequest {
    let outcome = Outcome::Answer { status: 200, at: 30_000, body: format!("{id} by {server}") };
    ClientRequest {
        id: id.into(),
        sidecar: 0,
        idempotency,
        timeout: 100_000,
        sent_at: 0,
        closed_after_read: None,
        outcome,
    }
}

fn valid_history() -> History {
    let keyed = Idempotency::Keyed { window: 50_000 };
    History {
        requests: vec![
            request("a", Idempotency::Idempotent, 1),
            request("b", Idempotency::NonIdempotent, 0),
            request("c", keyed, 2),
        ],
        attempts: vec![
            // Abandoned, then served by another server; rejected, then served; answered with 500, then served.
            attempt("a", 0, 1_000, 9_000, None),
            attempt("a", 1, 9_500, 20_000, Some(200)),
            attempt("b", 2, 1_000, 1_100, Some(503)),
            attempt("b", 0, 2_000, 20_000, Some(200)),
            attempt("c", 1, 1_000, 5_000, Some(500)),
            attempt("c", 2, 6_000, 20_000, Some(200)),
        ],
        slack: 1_000,
        drain_grace: 2_000_000,
        // At its start the limit is 3.0 x 10 requests/s x 0.1 x 3 s = 9 requests; the tolerance 3 x sqrt(9) + 3 makes
        // 21.
        slow_start_limit: Some(SlowStartLimit {
            requests_per_s: 10.0,
            overload_factor: 3.0,
            window: 3_000_000,
            initial_share: 0.1,
            warm_up_time: 30_000_000,
        }),
        ..History::default()
    }
}

/// The violations when the time of sending is known only from the records of servers.
fn violations(history: &History) -> Vec<Violation> {
    check(&with_sends_from_attempts(history))
}

fn with_sends_from_attempts(history: &History) -> History {
    let mut history = history.clone();
    history.use_attempts_as_forwarded();
    history
}

fn violated_rules(history: &History) -> Vec<Rule> {
    rules_of(&violations(history))
}

fn rules_of(violations: &[Violation]) -> Vec<Rule> {
    violations.iter().map(|v| v.rule).collect()
}

#[test]
fn permitted_retries_violate_no_rule() {
    assert_eq!(violations(&valid_history()), []);
}

#[test]
fn detects_each_injected_violation_and_no_other() {
    let mut history = valid_history();
    history
        .requests
        .extend([request("d", Idempotency::Idempotent, 0), request("e", Idempotency::NonIdempotent, 1)]);
    history.attempts.push(attempt("d", 0, 1_000, 20_000, Some(200)));
    history.attempts.push(attempt("e", 1, 1_000, 20_000, Some(200)));
    assert_eq!(violations(&history), []);
    for rule in Rule::ALL {
        for seed in 0..4 {
            let changed = inject_violation(&with_sends_from_attempts(&history), rule, seed)
                .expect("the history has such requests");
            let found = rules_of(&check(&changed));
            assert!(found.contains(&rule), "{rule:?}: {found:?}");
            // A concurrent attempt at a non-idempotent request is an unsafe retry as well, and after an id was replaced
            // no server has produced the body of that request's answer.
            let expected = |r: &Rule| {
                *r == rule
                    || (rule == Rule::OneAtATime && *r == Rule::NoUnsafeRetry)
                    || (rule == Rule::RequestedByClient && *r == Rule::Genuine)
            };
            assert!(found.iter().all(expected), "{rule:?}: {found:?}");
        }
    }
}

#[test]
fn detects_retry_and_rejection_after_key_window() {
    let mut history = valid_history();
    history.attempts[5].request.received_at = (60_000, 60_010);
    assert_eq!(violated_rules(&history), [Rule::NoUnsafeRetry]);
    // Read late by a paused server, the retry may have been sent in time; a non-idempotent request may not be retried
    // at all.
    history.server_outages = vec![Outage { instance: 2, span: (8_000, 60_500) }];
    assert_eq!(violations(&history), []);
    history.requests[2].idempotency = Idempotency::NonIdempotent;
    assert_eq!(violated_rules(&history), [Rule::NoUnsafeRetry]);
    let mut history = valid_history();
    history.requests[2].outcome = Outcome::Answer { status: 429, at: 70_000, body: String::new() };
    assert_eq!(violated_rules(&history), [Rule::SafeRejection]);
}

#[test]
fn outages_excuse_lost_answers_and_late_records() {
    let mut history = valid_history();
    history.requests[0].outcome = Outcome::Closed { at: 5_000 };
    assert_eq!(violated_rules(&history), [Rule::Answered]);
    history.sidecar_outages = vec![Outage { instance: 0, span: (4_000, 6_000) }];
    assert_eq!(violations(&history), []);
    // The connection was closed before the process was killed.
    history.sidecar_outages = vec![Outage { instance: 0, span: (5_001, 6_000) }];
    assert_eq!(violated_rules(&history), [Rule::Answered]);
    let mut history = valid_history();
    history.requests[0].closed_after_read = Some(5_000);
    assert_eq!(violated_rules(&history), [Rule::Answered]);
    history.sidecar_outages = vec![Outage { instance: 0, span: (4_000, 6_000) }];
    assert_eq!(violations(&history), []);
    let mut history = valid_history();
    history.attempts[0].end.iter_mut().for_each(|end| end.at = 50_000);
    assert_eq!(violated_rules(&history), [Rule::OneAtATime]);
    history.server_outages = vec![Outage { instance: 0, span: (2_000, 49_000) }];
    assert_eq!(violations(&history), []);
}

#[test]
fn detects_attempt_after_client_disconnected() {
    let history_with = |n: usize, sent_at: i64| {
        let mut history = valid_history();
        for i in 0..n {
            let id = format!("l{i}");
            history.requests.push(ClientRequest {
                outcome: Outcome::Disconnected { at: 2_000 },
                ..request(&id, Idempotency::Idempotent, 1)
            });
            // An attempt that began before the close may end at any time, and so may one that a paused server read
            // late.
            history.attempts.push(attempt(&id, 0, 1_500, 9_000, None));
            history.attempts.push(attempt(&id, 1, sent_at, sent_at + 5_000, None));
        }
        history
    };
    // The client closes at 2 ms, 100 ms are allowed, and the first byte is received 10 us before the last.
    assert_eq!(violations(&history_with(5, 102_010)), []);
    assert_eq!(violated_rules(&history_with(1, 102_011)), [Rule::NotAfterDisconnect]);
    assert_eq!(violated_rules(&history_with(5, 102_011)), [Rule::NotAfterDisconnect; 5]);
    let mut paused = history_with(5, 102_011);
    paused.server_outages = vec![Outage { instance: 1, span: (2_000, 102_001) }];
    assert_eq!(violations(&paused), []);
    paused.server_outages[0].span.1 = 102_000;
    assert_eq!(violated_rules(&paused), [Rule::NotAfterDisconnect; 5]);
    // The delay of the link is allowed for.
    paused.max_link_delay = 1;
    assert_eq!(violations(&paused), []);
}

// A cut link delays an attempt, and the server reads it long after the client got its answer from another server.
#[test]
fn delayed_attempt_is_judged_by_its_time_of_sending() {
    let (timeout, time_left, sent_at) = (100_000, 40_000, 1_000);
    let mut history = valid_history();
    history.attempts[0].request.time_left = Some(time_left);
    history.attempts[4].request.time_left = Some(time_left);
    history = with_sends_from_attempts(&history);
    assert_eq!(check(&history), []);
    let late = |attempt: &mut Attempt| {
        attempt.request.received_at = (5 * timeout, 5 * timeout + 10);
        attempt.end.iter_mut().for_each(|end| end.at = 5 * timeout + 60);
    };
    late(&mut history.attempts[0]);
    // By its time of reading, it announced far more time than was left.
    assert_eq!(violated_rules(&history), [Rule::DeadlineNotExtended]);
    assert_eq!(check(&history), []);
    // By its time of reading, the client had disconnected and the server was draining.
    history.requests[0].outcome = Outcome::Disconnected { at: sent_at + 10 };
    history.notified_unavailable = vec![(0, 0, 2 * timeout)];
    assert_eq!(check(&history), []);
    // By its time of reading, the window of the idempotency key was over.
    late(&mut history.attempts[5]);
    assert_eq!(check(&history), []);
    assert!(violated_rules(&history).contains(&Rule::NoUnsafeRetry));
}

// Only the fault proxy recorded it.
#[test]
fn checks_attempt_that_no_server_read() {
    let mut history = with_sends_from_attempts(&valid_history());
    history.requests[0].outcome = Outcome::Disconnected { at: 2_000 };
    let mut forwarded = history.forwarded[0].clone();
    forwarded.request.sent_at = 102_000;
    history.forwarded.push(forwarded.clone());
    assert_eq!(check(&history), []);
    history.forwarded.last_mut().expect("an attempt was forwarded").request.sent_at = 102_001;
    assert_eq!(rules_of(&check(&history)), [Rule::NotAfterDisconnect]);
    history.forwarded.last_mut().expect("an attempt was forwarded").request =
        SentRequest { time_left: Some(249_001), sent_at: 1_000, ..forwarded.request };
    assert_eq!(rules_of(&check(&history)), [Rule::DeadlineNotExtended]);
}

// The client saw its connection close and sent the request again, to the next process on the same socket.
#[test]
fn attempts_of_killed_process_do_not_count_as_retries_of_the_next() {
    let mut history = valid_history();
    history.attempts.push(attempt("b", 1, 1_000, 5_000, None));
    assert!(violated_rules(&history).contains(&Rule::NoUnsafeRetry));
    history.requests[1].sent_at = 1_500;
    assert!(violated_rules(&history).contains(&Rule::NoUnsafeRetry), "no process was killed");
    history.sidecar_outages = vec![Outage { instance: 0, span: (1_200, 1_400) }];
    assert_eq!(violations(&history), []);
    // A repeated attempt of the next process does count.
    history.attempts.push(attempt("b", 1, 30_000, 40_000, Some(200)));
    assert_eq!(violated_rules(&history), [Rule::NoUnsafeRetry]);
}

#[test]
fn detects_announced_time_beyond_deadline() {
    let announcing = |us: i64| {
        let mut history = valid_history();
        history.attempts[0].request.time_left = Some(us);
        history
    };
    // The client has 100 ms, of which 990 us have passed; 150 ms more are tolerated.
    assert_eq!(violations(&announcing(249_010)), []);
    assert_eq!(violated_rules(&announcing(249_011)), [Rule::DeadlineNotExtended]);
}

#[test]
fn detects_malformed_client_left_open_or_served() {
    let with = |rejected_at: Option<i64>, served: bool| {
        let mut history = valid_history();
        history.malformed_clients =
            vec![MalformedClient { sidecar: 0, connected_at: 500, rejected_at, served }];
        history
    };
    assert_eq!(violations(&with(Some(3_001_500), false)), []);
    assert_eq!(violated_rules(&with(Some(3_001_501), false)), [Rule::MalformedClientRejected]);
    assert_eq!(violated_rules(&with(None, false)), [Rule::MalformedClientRejected]);
    assert_eq!(violated_rules(&with(Some(1_000), true)), [Rule::MalformedClientRejected]);
    let mut killed = with(None, false);
    killed.sidecar_outages = vec![Outage { instance: 0, span: (2_000_000, 2_100_000) }];
    assert_eq!(violations(&killed), []);
}

/// A history with a start of server 3 and `requests` requests right after it, each from a client of its own. The
/// sidecar is notified of the start at `notified_at`.
fn with_server_start(requests: i64, notified_at: i64) -> History {
    let mut history = valid_history();
    history.server_starts = vec![(3, 0)];
    for n in 0..requests {
        let id = format!("c{n}");
        history.requests.push(request(&id, Idempotency::Idempotent, 3));
        history.attempts.push(attempt(&id, 3, 1_000 + n, 20_000, Some(200)));
    }
    history.notified_available = vec![(0, 3, notified_at)];
    history
}

#[test]
fn warming_up_server_may_get_the_limit_and_its_tolerance() {
    assert_eq!(violations(&with_server_start(21, 500)), []);
    assert_eq!(violated_rules(&with_server_start(22, 500)), [Rule::RespectsSlowStart]);
    // Requests count only once their sidecar was notified of the start.
    assert_eq!(violations(&with_server_start(22, 2_000)), []);
    // 14 of 22 requests are less than two thirds, 15 are more.
    assert_eq!(violations(&with_server_start(22, 1_008)), []);
    assert_eq!(violated_rules(&with_server_start(22, 1_007)), [Rule::RespectsSlowStart]);
    // A warm server may get any number.
    let mut warm = with_server_start(100, 500);
    warm.server_starts = vec![(3, -30_000_000)];
    assert_eq!(violations(&warm), []);
    // Half warm, the limit is 3.0 x 10 x 0.55 x 3 = 49.5; with the tolerance of 2 x sqrt(49.5) + 2, 65 are allowed.
    warm.server_starts = vec![(3, -15_000_000)];
    assert_eq!(violated_rules(&warm), [Rule::RespectsSlowStart]);
    assert_eq!(
        violations(&History { server_starts: vec![(3, -15_000_000)], ..with_server_start(65, 500) }),
        []
    );
    assert_eq!(slow_start_peaks(&with_server_start(17, 500)), [(3, 17, 17)]);
    let load = peak_slow_start_load(&with_server_start(17, 500)).expect("a server was warming up");
    assert!((load - 17.0 / 21.0).abs() < 0.001, "{load}");
    assert_eq!(peak_slow_start_load(&valid_history()), None);
}
