//! The checker: reads the history of a run, as recorded by clients, servers, fault proxies and discovery, and reports
//! which rules of the protocol were violated. It is a pure function of that history: it opens no files and knows no
//! processes.

mod history;
mod slow_start;
mod slow_start_limit;
mod violation_injection;

pub use history::{
    Attempt, ClientRequest, Cordon, ForwardedRequest, History, Idempotency, MalformedClient, Outage, Outcome,
};
pub use slow_start::{peak_slow_start_load, slow_start_peaks};
pub use slow_start_limit::SlowStartLimit;
pub use violation_injection::inject_violation;

use slow_start::slow_start_overloads;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// The rules of the protocol that the checker verifies.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request that a sidecar accepts gets exactly one final answer.
    Answered,
    /// That answer arrives before the request's deadline.
    WithinDeadline,
    /// The body of a successful answer was produced by a server for that request.
    Genuine,
    /// Servers receive only requests that a client sent.
    RequestedByClient,
    /// A request never has two attempts in flight at once.
    OneAtATime,
    /// A request that may have been executed is retried only if its class allows that.
    NoUnsafeRetry,
    /// A request is rejected only if it has not been executed, or if the client can safely retry it.
    SafeRejection,
    /// No new request is sent to a server that is draining or removed.
    RespectsDrain,
    /// Sidecars that were notified of a server's start don't overload it while it is warming up.
    RespectsSlowStart,
    /// No attempt is sent more than 0.1 s after its client closed the connection.
    NotAfterDisconnect,
    /// The time left that an attempt announces to its server does not exceed what its client has left.
    DeadlineNotExtended,
    /// A connection that carries no valid request gets an error answer or is closed within 3 s.
    MalformedClientRejected,
}

/// Writes the rule's name as reports and recorded results have it, which differs from the variant's name.
impl fmt::Debug for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "Answered",
            Self::WithinDeadline => "InTime",
            Self::Genuine => "Genuine",
            Self::RequestedByClient => "Asked",
            Self::OneAtATime => "OneAtATime",
            Self::NoUnsafeRetry => "NoRepeat",
            Self::SafeRejection => "Harmless",
            Self::RespectsDrain => "Drained",
            Self::RespectsSlowStart => "Cold",
            Self::NotAfterDisconnect => "Left",
            Self::DeadlineNotExtended => "Deadline",
            Self::MalformedClientRejected => "TurnedAway",
        })
    }
}

impl Rule {
    /// All rules, in their order.
    pub const ALL: [Self; 12] = [
        Self::Answered,
        Self::WithinDeadline,
        Self::Genuine,
        Self::RequestedByClient,
        Self::OneAtATime,
        Self::NoUnsafeRetry,
        Self::SafeRejection,
        Self::RespectsDrain,
        Self::RespectsSlowStart,
        Self::NotAfterDisconnect,
        Self::DeadlineNotExtended,
        Self::MalformedClientRejected,
    ];
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// The id of the request, or `none` where it had none.
    pub id: String,
    /// What was observed.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {}: {}", self.rule, self.id, self.details)
    }
}

/// Returns all violations in a history, ordered by rule.
pub fn check(history: &History) -> Vec<Violation> {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.request.id).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|all| all.sort_by_key(|a| a.request.received_at.1));
    let mut forwarded_requests: HashMap<&str, Vec<&ForwardedRequest>> = HashMap::new();
    for forwarded in &history.forwarded {
        forwarded_requests.entry(&forwarded.request.id).or_default().push(forwarded);
    }
    let mut violations = Vec::new();
    let client_ids: BTreeSet<&str> = history.requests.iter().map(|r| r.id.as_str()).collect();
    for attempt in history.attempts.iter().filter(|a| !client_ids.contains(a.request.id.as_str())) {
        let details = format!("server {} received it, but no client sent it", attempt.server);
        violations.push(Violation { rule: Rule::RequestedByClient, id: attempt.request.id.clone(), details });
    }
    for request in &history.requests {
        let attempts = attempts.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let forwarded_requests = forwarded_requests.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let mut report = |found: Option<(Rule, String)>| {
            violations.extend(found.map(|(rule, details)| Violation {
                rule,
                id: request.id.clone(),
                details,
            }));
        };
        report(check_answered(history, request));
        report(check_genuine(request, attempts));
        let relevant: Vec<&Attempt> =
            attempts.iter().copied().filter(|a| !sent_by_killed_process(history, request, a)).collect();
        report(check_one_at_a_time(history, &relevant));
        report(check_retries(history, request, &relevant));
        report(check_rejection(request, &relevant));
        report(check_drain(history, request, forwarded_requests));
        report(check_cordon(history, forwarded_requests));
        report(check_deadline(history, request, forwarded_requests));
    }
    violations.extend(slow_start_overloads(history));
    violations.extend(check_after_disconnect(history, &forwarded_requests));
    violations.extend(history.malformed_clients.iter().filter_map(|c| check_malformed_client(history, c)));
    violations.sort_by_key(|v| v.rule);
    violations
}

fn check_answered(history: &History, request: &ClientRequest) -> Option<(Rule, String)> {
    let deadline = request.sent_at + request.timeout;
    // Requests in flight at a sidecar that is killed are the client's to retry. A sidecar that was asked to stop, or that
    // was killed only later, owes an answer.
    let killed_before = |at: i64| history.sidecar_outages.iter().any(|a| a.overlaps(request.sidecar, at, at));
    if let Some(at) = request.closed_after_read.filter(|at| !killed_before(*at)) {
        let after = at - request.sent_at;
        let details = format!(
            "read, and its first connection closed without an answer, {after} us after it was sent again"
        );
        return Some((Rule::Answered, details));
    }
    if let Outcome::Closed { at } = request.outcome
        && !killed_before(at)
    {
        let after = at - request.sent_at;
        return Some((Rule::Answered, format!("connection closed without an answer after {after} us")));
    }
    if is_excused_by_outage(history, request) {
        return None;
    }
    match &request.outcome {
        Outcome::ConnectFailed | Outcome::Disconnected { .. } | Outcome::Closed { .. } => None,
        Outcome::TimedOut => Some((Rule::Answered, "no answer received".to_owned())),
        Outcome::Answer { at, status, .. } => (*at > deadline + history.slack).then(|| {
            (Rule::WithinDeadline, format!("answer {status} arrived {} us after the deadline", at - deadline))
        }),
    }
}

/// Whether the sidecar of a request was paused or down in its time.
fn is_excused_by_outage(history: &History, request: &ClientRequest) -> bool {
    let until = request.sent_at + request.timeout + history.slack;
    history.sidecar_outages.iter().any(|outage| outage.overlaps(request.sidecar, request.sent_at, until))
}

/// By how much the latest answer came after its client's time, in microseconds; negative if all came before. Answers of
/// sidecars that were paused or down in that time are left out.
pub fn latest_answer(history: &History) -> Option<i64> {
    let late_by = |request: &ClientRequest| match &request.outcome {
        Outcome::Answer { at, .. } => Some(at - request.sent_at - request.timeout),
        _ => None,
    };
    let requests = history.requests.iter().filter(|request| !is_excused_by_outage(history, request));
    requests.filter_map(late_by).max()
}

/// Whether an attempt was sent by a sidecar process that was killed before the client's last try. The client saw its
/// connection close and sent the request again, to a new process that knows nothing of the first attempt.
fn sent_by_killed_process(history: &History, request: &ClientRequest, attempt: &Attempt) -> bool {
    let sent_at = history.sent_at_of(attempt);
    sent_at < request.sent_at
        && history
            .sidecar_outages
            .iter()
            .any(|outage| outage.overlaps(request.sidecar, sent_at, request.sent_at))
}

fn check_genuine(request: &ClientRequest, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let Outcome::Answer { status: 200, body, .. } = &request.outcome else { return None };
    let produced = attempts.iter().filter_map(|a| a.end.as_ref()?.body.as_ref());
    let genuine = produced.into_iter().any(|produced| produced == body);
    (!genuine).then(|| (Rule::Genuine, format!("no server produced the body of its answer: {body}")))
}

/// From when to when an attempt was in flight at its server; `None` if the server was paused then, as it recorded the
/// end late, or if the sidecar had already abandoned the attempt when the server read it.
fn in_flight_span(history: &History, attempt: &Attempt) -> Option<(i64, i64)> {
    let end = attempt.end.as_ref()?;
    let (from, to) = (attempt.request.received_at.1, end.at);
    let late = history.server_outages.iter().any(|a| a.overlaps(attempt.server, from - history.slack, to));
    (!late && !attempt.request.stale).then_some((from, to))
}

fn check_one_at_a_time(history: &History, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let spans: Vec<_> =
        attempts.iter().filter_map(|a| Some((a.server, in_flight_span(history, a)?))).collect();
    spans.windows(2).find_map(|pair| {
        let [(a, (_, end)), (b, (begin, _))] = [pair[0], pair[1]];
        // Closing an abandoned attempt's connection takes time to reach its server: `slack` allows for it.
        let overlap = end - begin;
        (overlap > history.slack).then(|| {
            (
                Rule::OneAtATime,
                format!("server {b} received it {overlap} us before the attempt at server {a} ended"),
            )
        })
    })
}

fn check_retries(
    history: &History,
    request: &ClientRequest,
    attempts: &[&Attempt],
) -> Option<(Rule, String)> {
    let may_have_run = |a: &Attempt| a.end.as_ref().is_none_or(|end| end.executed);
    let first = attempts.iter().find(|a| may_have_run(a))?;
    let retries = attempts
        .iter()
        .filter(|a| a.request.received_at.1 > first.request.received_at.1)
        .filter(|a| !a.request.stale);
    match request.idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NonIdempotent => retries.into_iter().next().map(|a| {
            (
                Rule::NoUnsafeRetry,
                format!("server {} received it after server {} may have executed it", a.server, first.server),
            )
        }),
        // If the server was paused when it read the retry, the time of sending is unknown: it counts as in time.
        Idempotency::Keyed { window } => {
            retries.into_iter().filter(|a| !read_late(history, a)).find_map(|a| {
                let after = history.sent_at_of(a) - first.request.received_at.0;
                (after > window + history.slack).then(|| {
                    (
                        Rule::NoUnsafeRetry,
                        format!(
                            "sent to server {} {after} us after the first attempt was received",
                            a.server
                        ),
                    )
                })
            })
        }
    }
}

/// Whether a server was paused, or just resuming, when it read a request.
fn read_late(history: &History, attempt: &Attempt) -> bool {
    let received_at = attempt.request.received_at.0;
    history.server_outages.iter().any(|outage| outage.overlaps(attempt.server, received_at, received_at))
}

fn check_rejection(request: &ClientRequest, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let Outcome::Answer { status: status @ (429 | 503), at, .. } = &request.outcome else { return None };
    let executed = attempts.iter().find(|a| a.end.as_ref().is_some_and(|end| end.executed))?;
    let safe = match request.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed { window } => at - executed.request.received_at.0 < window,
        Idempotency::NonIdempotent => false,
    };
    (!safe).then(|| {
        (Rule::SafeRejection, format!("rejected with {status}, but server {} executed it", executed.server))
    })
}

fn check_drain(
    history: &History,
    request: &ClientRequest,
    forwarded_requests: &[&ForwardedRequest],
) -> Option<(Rule, String)> {
    let last = |notifications: &[(usize, usize, i64)], server: usize, before: i64| {
        let matching =
            notifications.iter().filter(|n| n.0 == request.sidecar && n.1 == server && n.2 <= before);
        matching.map(|n| n.2).max()
    };
    forwarded_requests.iter().find_map(|forwarded| {
        let (server, at) = (forwarded.server, forwarded.request.sent_at);
        let unavailable = last(&history.notified_unavailable, server, at)?;
        let available = last(&history.notified_available, server, at);
        let violated = available.is_none_or(|a| a < unavailable)
            && at > unavailable + history.drain_grace + history.slack;
        violated.then(|| {
            let after = at - unavailable;
            (
                Rule::RespectsDrain,
                format!("sent to server {server} {after} us after sidecar {} was notified", request.sidecar),
            )
        })
    })
}

/// Once a cordon is acknowledged, the server counts as draining at that sidecar, whatever status discovery lists.
fn check_cordon(history: &History, forwarded_requests: &[&ForwardedRequest]) -> Option<(Rule, String)> {
    forwarded_requests.iter().find_map(|forwarded| {
        let at = forwarded.request.sent_at;
        let violated = |c: &&Cordon| {
            let from = c.span.0 + history.drain_grace + history.slack;
            (c.sidecar, c.server) == (forwarded.sidecar, forwarded.server) && at > from && at < c.span.1
        };
        let cordon = history.cordons.iter().find(violated)?;
        let after = at - cordon.span.0;
        Some((
            Rule::RespectsDrain,
            format!("sent to server {} {after} us after it was cordoned", forwarded.server),
        ))
    })
}

/// How long after its client closed the connection an attempt may still be sent, in microseconds.
const DISCONNECT_GRACE_US: i64 = 100_000;

/// By how much the announced time left may exceed what the client really has left, in microseconds.
const DEADLINE_SLACK_US: i64 = 150_000;

fn check_deadline(
    history: &History,
    request: &ClientRequest,
    forwarded_requests: &[&ForwardedRequest],
) -> Option<(Rule, String)> {
    forwarded_requests.iter().find_map(|forwarded| {
        let left = request.sent_at + request.timeout - forwarded.request.sent_at;
        let announced = forwarded.request.time_left?;
        (announced > left + DEADLINE_SLACK_US + history.max_link_delay).then(|| {
            (
                Rule::DeadlineNotExtended,
                format!(
                    "server {} was told that {announced} us were left, instead of {left}",
                    forwarded.server
                ),
            )
        })
    })
}

/// Time within which a malformed client gets an error or a close, in microseconds.
const REJECTED_WITHIN_US: i64 = 3_000_000;

fn check_malformed_client(history: &History, client: &MalformedClient) -> Option<Violation> {
    let deadline = client.connected_at + REJECTED_WITHIN_US + history.slack;
    let outage =
        history.sidecar_outages.iter().any(|a| a.overlaps(client.sidecar, client.connected_at, deadline));
    let late = client.rejected_at.is_none_or(|at| at > deadline) && !outage;
    (late || client.served).then(|| Violation {
        rule: Rule::MalformedClientRejected,
        id: "none".to_owned(),
        details: format!("{client:?}"),
    })
}

fn check_after_disconnect(
    history: &History,
    forwarded_requests: &HashMap<&str, Vec<&ForwardedRequest>>,
) -> Vec<Violation> {
    let late = |request: &ClientRequest| {
        let Outcome::Disconnected { at } = request.outcome else { return Vec::new() };
        let all = forwarded_requests.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let late = all.iter().filter(|forwarded| {
            forwarded.request.sent_at > at + DISCONNECT_GRACE_US + history.max_link_delay
        });
        late.map(|forwarded| {
            (forwarded.request.sent_at, forwarded.server, forwarded.request.sent_at - at, request.id.clone())
        })
        .collect()
    };
    let mut all: Vec<(i64, usize, i64, String)> = history.requests.iter().flat_map(late).collect();
    all.sort();
    let violations = all.into_iter().map(|(_, server, after, id)| Violation {
        rule: Rule::NotAfterDisconnect,
        id,
        details: format!("sent to server {server} {after} us after its client closed the connection"),
    });
    violations.collect()
}

/// Counts violations by rule, for failure messages.
pub fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    violations.iter().for_each(|v| *counts.entry(v.rule).or_default() += 1);
    counts
}

#[cfg(test)]
mod tests;
