//! The checker: reads what clients, servers and discovery each saw, and says which of the protocol's rules were broken.
//! It opens nothing and knows no process; a history is a value.

mod cold;
mod cold_budget;
mod history;
mod spoil;

pub use cold::{cold_load, cold_peaks};
pub use cold_budget::Cold;
pub use history::{Ask, Attempt, Away, Came, Cordon, History, Kind, Send, Stranger};
pub use spoil::spoil;

use cold::cold;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request that is taken has one final answer.
    Answered,
    /// And in time.
    InTime,
    /// What is served was made by a server for that request.
    Genuine,
    /// Only what a client asked reaches a server.
    Asked,
    /// Never two attempts at a request out at once.
    OneAtATime,
    /// What may have run goes again only as its class allows.
    NoRepeat,
    /// A refusal says that nothing has run, or that a repeat does no harm.
    Harmless,
    /// Nothing new to a server that drains or is gone.
    Drained,
    /// No cold server pushed over by those who had been told of its start.
    Cold,
    /// No attempt begins over 0.1 s after its client closed its connection.
    Left,
    /// An attempt tells its server no more time than its client has left.
    Deadline,
    /// Who connects and is no client gets an error or a close within 3 s.
    TurnedAway,
}

impl Rule {
    /// All of them.
    pub const ALL: [Self; 12] = [
        Self::Answered,
        Self::InTime,
        Self::Genuine,
        Self::Asked,
        Self::OneAtATime,
        Self::NoRepeat,
        Self::Harmless,
        Self::Drained,
        Self::Cold,
        Self::Left,
        Self::Deadline,
        Self::TurnedAway,
    ];
}

/// A rule that was broken, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// The rule.
    pub rule: Rule,
    /// The request.
    pub id: String,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {}: {}", self.rule, self.id, self.what)
    }
}

/// All rules that were broken, in the order of the rules.
pub fn check(history: &History) -> Vec<Broken> {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.seen.id).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|all| all.sort_by_key(|a| a.seen.came.1));
    let mut sends: HashMap<&str, Vec<&Send>> = HashMap::new();
    for send in &history.sends {
        sends.entry(&send.sent.id).or_default().push(send);
    }
    let mut broken = Vec::new();
    let asked: BTreeSet<&str> = history.asks.iter().map(|a| a.id.as_str()).collect();
    for attempt in history.attempts.iter().filter(|a| !asked.contains(a.seen.id.as_str())) {
        let what = format!("server {} got it, and no client sent it", attempt.server);
        broken.push(Broken { rule: Rule::Asked, id: attempt.seen.id.clone(), what });
    }
    for ask in &history.asks {
        let attempts = attempts.get(ask.id.as_str()).map_or(&[][..], Vec::as_slice);
        let sends = sends.get(ask.id.as_str()).map_or(&[][..], Vec::as_slice);
        let mut note = |found: Option<(Rule, String)>| {
            broken.extend(found.map(|(rule, what)| Broken { rule, id: ask.id.clone(), what }));
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
    broken.extend(cold(history));
    broken.extend(left(history, &sends));
    broken.extend(history.strangers.iter().filter_map(|s| stranger(history, s)));
    broken.sort_by_key(|b| b.rule);
    broken
}

fn answer(history: &History, ask: &Ask) -> Option<(Rule, String)> {
    let end = ask.sent + ask.wait;
    // What a sidecar had that was killed, or that stood still, is for the client to repeat.
    if history.sidecars_away.iter().any(|a| a.meets(ask.sidecar, ask.sent, end + history.slack)) {
        return None;
    }
    match &ask.came {
        Came::Unreached | Came::Left { .. } => None,
        Came::Closed { at } => {
            Some((Rule::Answered, format!("its connection ended after {} us", at - ask.sent)))
        }
        Came::Nothing => Some((Rule::Answered, "it had no answer".to_owned())),
        Came::Answer { at, status, .. } => (*at > end + history.slack)
            .then(|| (Rule::InTime, format!("its answer {status} came {} us after its time", at - end))),
    }
}

/// Whether an attempt is that of a process that was killed. A client whose connection ended with that has sent its request
/// once more, to a process that knows nothing of the first.
fn of_killed(history: &History, ask: &Ask, attempt: &Attempt) -> bool {
    let sent = history.left_at(attempt);
    sent < ask.sent && history.sidecars_away.iter().any(|away| away.meets(ask.sidecar, sent, ask.sent))
}

fn genuine(ask: &Ask, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let Came::Answer { status: 200, body, .. } = &ask.came else { return None };
    let made = attempts.iter().filter_map(|a| a.over.as_ref()?.body.as_ref());
    let genuine = made.into_iter().any(|made| made == body);
    (!genuine).then(|| (Rule::Genuine, format!("no server made what it was served: {body}")))
}

/// Until when an attempt was out. A server that stood still wrote that down late, and is believed in nothing.
fn out(history: &History, attempt: &Attempt) -> Option<(i64, i64)> {
    let over = attempt.over.as_ref()?;
    let (from, to) = (attempt.seen.came.1, over.at);
    let late = history.servers_away.iter().any(|a| a.meets(attempt.server, from - history.slack, to));
    (!late && !attempt.seen.stale).then_some((from, to))
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

fn repeat(history: &History, ask: &Ask, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let ran = |a: &Attempt| a.over.as_ref().is_none_or(|o| o.ran);
    let first = attempts.iter().find(|a| ran(a))?;
    let next = attempts.iter().filter(|a| a.seen.came.1 > first.seen.came.1).filter(|a| !a.seen.stale);
    match ask.kind {
        Kind::Safe => None,
        Kind::Unsafe => next.into_iter().next().map(|a| {
            (
                Rule::NoRepeat,
                format!("server {} got it after it may have run at server {}", a.server, first.server),
            )
        }),
        // One that its server read late, as it stood still, was sent in time for all that is known.
        Kind::Keyed { window } => next.into_iter().filter(|a| !read_late(history, a)).find_map(|a| {
            let after = history.left_at(a) - first.seen.came.0;
            (after > window + history.slack).then(|| {
                (
                    Rule::NoRepeat,
                    format!("it was sent to server {} {after} us after the first came", a.server),
                )
            })
        }),
    }
}

/// Whether a server stood still, or came to itself, as it read a request.
fn read_late(history: &History, attempt: &Attempt) -> bool {
    let came = attempt.seen.came.0;
    history.servers_away.iter().any(|away| away.meets(attempt.server, came, came))
}

fn refusal(ask: &Ask, attempts: &[&Attempt]) -> Option<(Rule, String)> {
    let Came::Answer { status: status @ (429 | 503), at, .. } = &ask.came else { return None };
    let ran = attempts.iter().find(|a| a.over.as_ref().is_some_and(|o| o.ran))?;
    let harmless = match ask.kind {
        Kind::Safe => true,
        Kind::Keyed { window } => at - ran.seen.came.0 < window,
        Kind::Unsafe => false,
    };
    (!harmless)
        .then(|| (Rule::Harmless, format!("it was refused with {status}, and server {} ran it", ran.server)))
}

fn drained(history: &History, ask: &Ask, sends: &[&Send]) -> Option<(Rule, String)> {
    let last = |told: &[(usize, usize, i64)], server: usize, before: i64| {
        let of = told.iter().filter(|t| t.0 == ask.sidecar && t.1 == server && t.2 <= before);
        of.map(|t| t.2).max()
    };
    sends.iter().find_map(|send| {
        let (server, at) = (send.server, send.sent.at);
        let gone = last(&history.told_gone, server, at)?;
        let back = last(&history.told_back, server, at);
        let broken = back.is_none_or(|b| b < gone) && at > gone + history.grace + history.slack;
        broken.then(|| {
            let after = at - gone;
            (
                Rule::Drained,
                format!("it was sent to server {server} {after} us after sidecar {} was told", ask.sidecar),
            )
        })
    })
}

/// From an operator's yes on the server counts as draining, whatever discovery lists.
fn cordoned(history: &History, sends: &[&Send]) -> Option<(Rule, String)> {
    sends.iter().find_map(|send| {
        let at = send.sent.at;
        let broken = |c: &&Cordon| {
            let from = c.span.0 + history.grace + history.slack;
            (c.sidecar, c.server) == (send.sidecar, send.server) && at > from && at < c.span.1
        };
        let cordon = history.cordons.iter().find(broken)?;
        let after = at - cordon.span.0;
        Some((
            Rule::Drained,
            format!("it was sent to server {} {after} us after it was taken out", send.server),
        ))
    })
}

/// An attempt that begins later than this after its client closed is one too late.
const LEFT_GRACE: i64 = 100_000;

/// By how much the time that is told may be over what is left.
const DEADLINE_SLACK: i64 = 150_000;

fn deadline(history: &History, ask: &Ask, sends: &[&Send]) -> Option<(Rule, String)> {
    sends.iter().find_map(|send| {
        let left = ask.sent + ask.wait - send.sent.at;
        let told = send.sent.told?;
        (told > left + DEADLINE_SLACK + history.links).then(|| {
            (Rule::Deadline, format!("server {} was told {told} us, where {left} were left", send.server))
        })
    })
}

/// What peers that are no clients are owed comes within this time.
const TURNED_AWAY_WITHIN: i64 = 3_000_000;

fn stranger(history: &History, stranger: &Stranger) -> Option<Broken> {
    let until = stranger.came + TURNED_AWAY_WITHIN + history.slack;
    let away = history.sidecars_away.iter().any(|a| a.meets(stranger.sidecar, stranger.came, until));
    let late = stranger.turned_away.is_none_or(|at| at > until) && !away;
    (late || stranger.served).then(|| Broken {
        rule: Rule::TurnedAway,
        id: "none".to_owned(),
        what: format!("{stranger:?}"),
    })
}

fn left(history: &History, sends: &HashMap<&str, Vec<&Send>>) -> Vec<Broken> {
    let late = |ask: &Ask| {
        let Came::Left { at } = ask.came else { return Vec::new() };
        let all = sends.get(ask.id.as_str()).map_or(&[][..], Vec::as_slice);
        let late = all.iter().filter(|send| send.sent.at > at + LEFT_GRACE + history.links);
        late.map(|send| (send.sent.at, send.server, send.sent.at - at, ask.id.clone())).collect()
    };
    let mut all: Vec<(i64, usize, i64, String)> = history.asks.iter().flat_map(late).collect();
    all.sort();
    let broken = all.into_iter().map(|(_, server, after, id)| Broken {
        rule: Rule::Left,
        id,
        what: format!("it was sent to server {server} {after} us after its client had closed"),
    });
    broken.collect()
}

/// Broken rules by count, for the reader of a failure.
pub fn counts(broken: &[Broken]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    broken.iter().for_each(|b| *counts.entry(b.rule).or_default() += 1);
    counts
}

#[cfg(test)]
mod tests;
