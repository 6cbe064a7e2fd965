//! The checker: reads what clients, servers and discovery each saw, and says which of the protocol's rules were broken.
//! It opens nothing and knows no process; a history is a value.

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

/// The rules.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request that is taken has one final answer.
    Answered,
    /// And in time.
    WithinDeadline,
    /// What is served was made by a server for that request.
    Genuine,
    /// Only what a client asked reaches a server.
    RequestedByClient,
    /// Never two attempts at a request out at once.
    OneAtATime,
    /// What may have run goes again only as its class allows.
    NoUnsafeRetry,
    /// A refusal says that nothing has run, or that a repeat does no harm.
    SafeRejection,
    /// Nothing new to a server that drains or is gone.
    RespectsDrain,
    /// No cold server pushed over by those who had been told of its start.
    RespectsSlowStart,
    /// No attempt begins over 0.1 s after its client closed its connection.
    NotAfterDisconnect,
    /// An attempt tells its server no more time than its client has left.
    DeadlineNotExtended,
    /// Who connects and is no client gets an error or a close within 3 s.
    MalformedClientRejected,
}

/// Writes the rule's name as it stands in reports and recorded results.
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
    /// All of them.
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

/// A rule that was broken, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The request.
    pub id: String,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {}: {}", self.rule, self.id, self.what)
    }
}

/// All rules that were broken, in the order of the rules.
pub fn check(history: &History) -> Vec<Violation> {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.request.id).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|all| all.sort_by_key(|a| a.request.received_at.1));
    let mut sends: HashMap<&str, Vec<&ForwardedRequest>> = HashMap::new();
    for send in &history.forwarded {
        sends.entry(&send.request.id).or_default().push(send);
    }
    let mut broken = Vec::new();
    let asked: BTreeSet<&str> = history.requests.iter().map(|a| a.id.as_str()).collect();
    for attempt in history.attempts.iter().filter(|a| !asked.contains(a.request.id.as_str())) {
        let what = format!("server {} got it, and no client sent it", attempt.server);
        broken.push(Violation { rule: Rule::RequestedByClient, id: attempt.request.id.clone(), what });
    }
    for ask in &history.requests {
        let attempts = attempts.get(ask.id.as_str()).map_or(&[][..], Vec::as_slice);
        let sends = sends.get(ask.id.as_str()).map_or(&[][..], Vec::as_slice);
        let mut note = |found: Option<(Rule, String)>| {
            broken.extend(found.map(|(rule, what)| Violation { rule, id: ask.id.clone(), what }));
        };
        note(answer(history, ask));
        note(genuine(ask, attempts));
        let own: Vec<&Attempt> = attempts.iter().copied().filter(|a| !of_killed(history, ask, a)).collect();
        note(two_at_once(history, &own));
        note(repeat(history, ask, &own));
        note(refusal(ask, &own));
        note(drained(history, ask, sends));
        note(cordoned(history, sends));
        note(deadline(history, ask, sends));
    }
    broken.extend(slow_start_overloads(history));
    broken.extend(left(history, &sends));
    broken.extend(history.malformed_clients.iter().filter_map(|s| stranger(history, s)));
    broken.sort_by_key(|b| b.rule);
    broken
}

fn answer(history: &History, ask: &ClientRequest) -> Option<(Rule, String)> {
    let end = ask.sent_at + ask.timeout;
    // What a sidecar had that was killed, or that stood still, is for the client to repeat.
    if history.sidecar_outages.iter().any(|a| a.overlaps(ask.sidecar, ask.sent_at, end + history.slack)) {
        return None;
    }
    match &ask.outcome {
        Outcome::ConnectFailed | Outcome::Disconnected { .. } => None,
        Outcome::Closed { at } => {
            Some((Rule::Answered, format!("its connection ended after {} us", at - ask.sent_at)))
        }
        Outcome::TimedOut => Some((Rule::Answered, "it had no answer".to_owned())),
        Outcome::Answer { at, status, .. } => (*at > end + history.slack).then(|| {
            (Rule::WithinDeadline, format!("its answer {status} came {} us after its time", at - end))
        }),
    }
}

/// Whether an attempt is that of a process that was killed. A client whose connection ended with that has sent its request
/// once more, to a process that knows nothing of the first.
fn of_killed(history: &History, ask: &ClientRequest, attempt: &Attempt) -> bool {
    let sent = history.sent_at_of(attempt);
    sent < ask.sent_at
        && history.sidecar_outages.iter().any(|away| away.overlaps(ask.sidecar, sent, ask.sent_at))
}

fn genuine(ask: &ClientRequest, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let Outcome::Answer { status: 200, body, .. } = &ask.outcome else { return None };
    let made = attempts.iter().filter_map(|a| a.end.as_ref()?.body.as_ref());
    let genuine = made.into_iter().any(|made| made == body);
    (!genuine).then(|| (Rule::Genuine, format!("no server made what it was served: {body}")))
}

/// Until when an attempt was out. A server that stood still wrote that down late, and is believed in nothing.
fn out(history: &History, attempt: &Attempt) -> Option<(i64, i64)> {
    let over = attempt.end.as_ref()?;
    let (from, to) = (attempt.request.received_at.1, over.at);
    let late = history.server_outages.iter().any(|a| a.overlaps(attempt.server, from - history.slack, to));
    (!late && !attempt.request.stale).then_some((from, to))
}

fn two_at_once(history: &History, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let spans: Vec<_> = attempts.iter().filter_map(|a| Some((a.server, out(history, a)?))).collect();
    spans.windows(2).find_map(|pair| {
        let [(a, (_, end)), (b, (begin, _))] = [pair[0], pair[1]];
        // The news of a closed connection takes its way as well.
        let over = end - begin;
        (over > history.slack).then(|| {
            (Rule::OneAtATime, format!("server {b} got it while it was out at server {a} for {over} us more"))
        })
    })
}

fn repeat(history: &History, ask: &ClientRequest, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let ran = |a: &Attempt| a.end.as_ref().is_none_or(|o| o.executed);
    let first = attempts.iter().find(|a| ran(a))?;
    let next = attempts
        .iter()
        .filter(|a| a.request.received_at.1 > first.request.received_at.1)
        .filter(|a| !a.request.stale);
    match ask.idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NonIdempotent => next.into_iter().next().map(|a| {
            (
                Rule::NoUnsafeRetry,
                format!("server {} got it after it may have run at server {}", a.server, first.server),
            )
        }),
        // One that its server read late, as it stood still, was sent in time for all that is known.
        Idempotency::Keyed { window } => next.into_iter().filter(|a| !read_late(history, a)).find_map(|a| {
            let after = history.sent_at_of(a) - first.request.received_at.0;
            (after > window + history.slack).then(|| {
                (
                    Rule::NoUnsafeRetry,
                    format!("it was sent to server {} {after} us after the first came", a.server),
                )
            })
        }),
    }
}

/// Whether a server stood still, or came to itself, as it read a request.
fn read_late(history: &History, attempt: &Attempt) -> bool {
    let came = attempt.request.received_at.0;
    history.server_outages.iter().any(|away| away.overlaps(attempt.server, came, came))
}

fn refusal(ask: &ClientRequest, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let Outcome::Answer { status: status @ (429 | 503), at, .. } = &ask.outcome else { return None };
    let ran = attempts.iter().find(|a| a.end.as_ref().is_some_and(|o| o.executed))?;
    let harmless = match ask.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed { window } => at - ran.request.received_at.0 < window,
        Idempotency::NonIdempotent => false,
    };
    (!harmless).then(|| {
        (Rule::SafeRejection, format!("it was refused with {status}, and server {} ran it", ran.server))
    })
}

fn drained(history: &History, ask: &ClientRequest, sends: &[&ForwardedRequest]) -> Option<(Rule, String)> {
    let last = |told: &[(usize, usize, i64)], server: usize, before: i64| {
        let of = told.iter().filter(|t| t.0 == ask.sidecar && t.1 == server && t.2 <= before);
        of.map(|t| t.2).max()
    };
    sends.iter().find_map(|send| {
        let (server, at) = (send.server, send.request.sent_at);
        let gone = last(&history.notified_unavailable, server, at)?;
        let back = last(&history.notified_available, server, at);
        let broken = back.is_none_or(|b| b < gone) && at > gone + history.drain_grace + history.slack;
        broken.then(|| {
            let after = at - gone;
            (
                Rule::RespectsDrain,
                format!("it was sent to server {server} {after} us after sidecar {} was told", ask.sidecar),
            )
        })
    })
}

/// From an operator's yes on the server counts as draining, whatever discovery lists.
fn cordoned(history: &History, sends: &[&ForwardedRequest]) -> Option<(Rule, String)> {
    sends.iter().find_map(|send| {
        let at = send.request.sent_at;
        let broken = |c: &&Cordon| {
            let from = c.span.0 + history.drain_grace + history.slack;
            (c.sidecar, c.server) == (send.sidecar, send.server) && at > from && at < c.span.1
        };
        let cordon = history.cordons.iter().find(broken)?;
        let after = at - cordon.span.0;
        Some((
            Rule::RespectsDrain,
            format!("it was sent to server {} {after} us after it was taken out", send.server),
        ))
    })
}

/// An attempt that begins later than this after its client closed is one too late.
const LEFT_GRACE: i64 = 100_000;

/// By how much the time that is told may be over what is left.
const DEADLINE_SLACK: i64 = 150_000;

fn deadline(history: &History, ask: &ClientRequest, sends: &[&ForwardedRequest]) -> Option<(Rule, String)> {
    sends.iter().find_map(|send| {
        let left = ask.sent_at + ask.timeout - send.request.sent_at;
        let told = send.request.time_left?;
        (told > left + DEADLINE_SLACK + history.max_link_delay).then(|| {
            (
                Rule::DeadlineNotExtended,
                format!("server {} was told {told} us, where {left} were left", send.server),
            )
        })
    })
}

/// What peers that are no clients are owed comes within this time.
const TURNED_AWAY_WITHIN: i64 = 3_000_000;

fn stranger(history: &History, stranger: &MalformedClient) -> Option<Violation> {
    let until = stranger.connected_at + TURNED_AWAY_WITHIN + history.slack;
    let away =
        history.sidecar_outages.iter().any(|a| a.overlaps(stranger.sidecar, stranger.connected_at, until));
    let late = stranger.rejected_at.is_none_or(|at| at > until) && !away;
    (late || stranger.served).then(|| Violation {
        rule: Rule::MalformedClientRejected,
        id: "none".to_owned(),
        what: format!("{stranger:?}"),
    })
}

fn left(history: &History, sends: &HashMap<&str, Vec<&ForwardedRequest>>) -> Vec<Violation> {
    let late = |ask: &ClientRequest| {
        let Outcome::Disconnected { at } = ask.outcome else { return Vec::new() };
        let all = sends.get(ask.id.as_str()).map_or(&[][..], Vec::as_slice);
        let late = all.iter().filter(|send| send.request.sent_at > at + LEFT_GRACE + history.max_link_delay);
        late.map(|send| (send.request.sent_at, send.server, send.request.sent_at - at, ask.id.clone()))
            .collect()
    };
    let mut all: Vec<(i64, usize, i64, String)> = history.requests.iter().flat_map(late).collect();
    all.sort();
    let broken = all.into_iter().map(|(_, server, after, id)| Violation {
        rule: Rule::NotAfterDisconnect,
        id,
        what: format!("it was sent to server {server} {after} us after its client had closed"),
    });
    broken.collect()
}

/// Broken rules by count, for the reader of a failure.
pub fn count_by_rule(broken: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    broken.iter().for_each(|b| *counts.entry(b.rule).or_default() += 1);
    counts
}

#[cfg(test)]
mod tests;
