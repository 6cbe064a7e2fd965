//! What must hold over a history of calls. The list's own index is the order that the service claims to have put
//! all changes into: the checker looks whether that order fits what callers saw, and when.

use super::net::Step;
use lotusmoor_registry_client::{Entry, Status, Version};
use std::collections::BTreeMap;
use std::fmt;

/// A call.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Makes a server of that name be so; `expect` as in the list's commands.
    Write {
        /// The server.
        name: String,
        /// What it is to be.
        status: Status,
        /// See there.
        expect: Option<u64>,
    },
    /// Reads with all that was acknowledged before.
    ReadLatest,
    /// Reads what a replica has.
    Read {
        /// The replica.
        replica: u64,
    },
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    /// A write holds.
    Wrote {
        /// Since that version.
        version: Version,
        /// Whether it changed anything.
        changed: bool,
    },
    /// A write was refused: the server last changed at another index (0: it is not listed).
    Expected(u64),
    /// A write was refused: there is no such server.
    Absent,
    /// A read, with how many steps old it said it could be.
    Saw {
        /// The version.
        version: Version,
        /// The list's digest.
        digest: u64,
        /// How old, in steps.
        age: Step,
    },
    /// It was not done.
    Failed,
    /// Nobody knows.
    Unknown,
}

/// A call with its times.
#[derive(Clone, Debug)]
pub struct Call {
    /// What.
    pub op: Op,
    /// When it was made.
    pub asked: Step,
    /// When its end was seen, and how it ended; `None`: never.
    pub done: Option<(Step, Done)>,
}

/// What a reader of services was told, and what it made of it.
#[derive(Clone, Debug)]
pub struct Told {
    /// The services, in order of their names.
    pub services: Vec<String>,
    /// The version.
    pub version: Version,
    /// The digest of these services.
    pub digest: u64,
    /// Whether it was the whole of them.
    pub snapshot: bool,
    /// The entries that it was told.
    pub entries: Vec<Entry>,
    /// Whether news woke it, or its wait ended without any; `None`: it did not wait.
    pub woken: Option<bool>,
    /// What it knows since.
    pub known: BTreeMap<String, Entry>,
    /// What the replica's list had in these services at that version.
    pub listed: BTreeMap<String, Entry>,
}

/// A change that the service says happened.
#[derive(Clone, Debug)]
pub struct Changed {
    /// Its index.
    pub index: u64,
    /// The server.
    pub name: String,
    /// What it became.
    pub status: Status,
    /// Whether a lease that ran out made it so.
    pub expired: bool,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Calls.
    pub calls: Vec<Call>,
    /// Changes, as the service lists them at the end.
    pub changes: Vec<Changed>,
    /// The first index, at which the list was founded empty.
    pub founded: u64,
    /// Version and digest at a replica at a step, whoever looked.
    pub seen: Vec<(u64, Step, Version, u64)>,
    /// What readers of services were told.
    pub told: Vec<Told>,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Broken {
    /// One version with two contents.
    TwoContents(Version),
    /// A replica's answers went back.
    WentBack(u64, Version, Version),
    /// A write that was acknowledged is not among the changes, or is there as something else.
    Lost(u64, String),
    /// Two acknowledged writes have one index.
    Twice(u64),
    /// The order of the changes is not one that callers could have seen.
    Order(String),
    /// A change that nobody asked for.
    FromNowhere(u64, String),
    /// A read is older than it says.
    OlderThanSaid(Version, Step),
    /// A reader of services was told of a server outside them.
    Foreign(Version, String),
    /// What a reader of services knows is not what the list has in them.
    Missed(Version, Vec<String>),
    /// A reader of services was woken without news of them, or was not woken by news.
    Woken(Version, Vec<String>),
    /// One version of a set of services with two contents.
    TwoContentsOf(Version, Vec<String>),
    /// All faults were over, and the service did not come to itself.
    Stuck(String),
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoContents(v) => write!(f, "two contents of version {v}"),
            Self::WentBack(r, a, b) => write!(f, "replica {r} went back from {a} to {b}"),
            Self::Lost(index, name) => write!(f, "the acknowledged change {index} of {name} is lost"),
            Self::Twice(index) => write!(f, "two writes were acknowledged at {index}"),
            Self::Order(what) => write!(f, "not in order: {what}"),
            Self::FromNowhere(index, name) => write!(f, "nobody asked for change {index} of {name}"),
            Self::OlderThanSaid(v, age) => {
                write!(f, "a read of {v} is older than the {age} steps that it says")
            }
            Self::Foreign(v, name) => write!(f, "{name} was told at {v} to a reader of other services"),
            Self::Missed(v, of) => write!(f, "a reader of {of:?} does not have the list's part of {v}"),
            Self::Woken(v, of) => {
                write!(f, "a reader of {of:?} was woken for nothing or not for news at {v}")
            }
            Self::TwoContentsOf(v, of) => write!(f, "two contents of version {v} for {of:?}"),
            Self::Stuck(what) => write!(f, "not well after all faults: {what}"),
        }
    }
}

/// Looks whether all rules hold.
pub fn check(h: &History) -> Vec<Broken> {
    let mut broken = Vec::new();
    contents(h, &mut broken);
    changes(h, &mut broken);
    order(h, &mut broken);
    told(h, &mut broken);
    broken
}

/// Readers of services are told of these alone, of all that happens to them, and of one version one thing.
fn told(h: &History, broken: &mut Vec<Broken>) {
    let mut contents = BTreeMap::new();
    for t in &h.told {
        let (version, services) = (t.version, || t.services.clone());
        let foreign = |e: &&Entry| !e.service.as_ref().is_some_and(|s| t.services.contains(s));
        if let Some(entry) = t.entries.iter().find(foreign) {
            broken.push(Broken::Foreign(version, entry.name.clone()));
        }
        if t.known != t.listed {
            broken.push(Broken::Missed(version, services()));
        }
        if !t.snapshot && t.woken.is_some_and(|woken| woken == t.entries.is_empty()) {
            broken.push(Broken::Woken(version, services()));
        }
        let content = (t.digest, &t.listed);
        if *contents.entry((version, t.services.as_slice())).or_insert(content) != content {
            broken.push(Broken::TwoContentsOf(version, services()));
        }
    }
}

/// One version has one content, and a replica's answers only go forward.
fn contents(h: &History, broken: &mut Vec<Broken>) {
    let mut digests: BTreeMap<Version, u64> = BTreeMap::new();
    let mut see = |version: Version, digest: u64, broken: &mut Vec<Broken>| {
        if *digests.entry(version).or_insert(digest) != digest {
            broken.push(Broken::TwoContents(version));
        }
    };
    for (_, _, version, digest) in &h.seen {
        see(*version, *digest, broken);
    }
    let mut newest: BTreeMap<u64, (Step, Version)> = BTreeMap::new();
    let mut reads: Vec<_> = h.calls.iter().collect();
    reads.sort_by_key(|c| c.done.as_ref().map_or(Step::MAX, |d| d.0));
    for call in reads {
        let Some((at, Done::Saw { version, digest, .. })) = &call.done else { continue };
        see(*version, *digest, broken);
        let Op::Read { replica } = call.op else { continue };
        let before = newest.entry(replica).or_insert((*at, *version));
        // Two that overlap may end in either order.
        if *version < before.1 && call.asked > before.0 {
            broken.push(Broken::WentBack(replica, before.1, *version));
        }
        if *version >= before.1 {
            *before = (*at, *version);
        }
    }
}

/// Every acknowledged change is there once, and every change was asked for.
fn changes(h: &History, broken: &mut Vec<Broken>) {
    let by_index: BTreeMap<u64, &Changed> = h.changes.iter().map(|c| (c.index, c)).collect();
    let mut acknowledged: BTreeMap<u64, &Call> = BTreeMap::new();
    for call in &h.calls {
        let (Op::Write { name, status, .. }, Some((_, Done::Wrote { version, changed: true }))) =
            (&call.op, &call.done)
        else {
            continue;
        };
        if acknowledged.insert(version.index, call).is_some() {
            broken.push(Broken::Twice(version.index));
        }
        match by_index.get(&version.index) {
            Some(c) if c.name == *name && (c.status == *status || c.status == Status::Draining) => {}
            _ => broken.push(Broken::Lost(version.index, name.clone())),
        }
    }
    for change in h.changes.iter().filter(|c| !c.expired && !acknowledged.contains_key(&c.index)) {
        let may_be = |c: &&Call| {
            let unknown = matches!(c.done, None | Some((_, Done::Unknown)));
            unknown && matches!(&c.op, Op::Write { name, .. } if *name == change.name)
        };
        if !h.calls.iter().any(|c| may_be(&c)) {
            broken.push(Broken::FromNowhere(change.index, change.name.clone()));
        }
    }
}

/// Each call fits into the order of changes at a point between its start and its end.
fn order(h: &History, broken: &mut Vec<Broken>) {
    // What was certain to hold before a step, and what could not hold yet by then.
    let certain = |call: &Call| match call.done {
        Some((at, Done::Wrote { version, .. })) => Some((at, version.index)),
        Some((at, Done::Saw { version, .. })) if call.op == Op::ReadLatest => Some((at, version.index)),
        _ => None,
    };
    let known: Vec<(Step, u64)> = h.calls.iter().filter_map(certain).collect();
    let before =
        |step: Step| known.iter().filter(|(at, _)| *at < step).map(|k| k.1).max().unwrap_or(h.founded);
    let made: Vec<(Step, u64)> = h
        .calls
        .iter()
        .filter_map(|c| match c.done {
            Some((_, Done::Wrote { version, changed: true })) => Some((c.asked, version.index)),
            _ => None,
        })
        .collect();
    let after =
        |step: Step| made.iter().filter(|(asked, _)| *asked > step).map(|m| m.1).min().unwrap_or(u64::MAX);
    for call in &h.calls {
        let Some((at, done)) = &call.done else { continue };
        let (least, most) = (before(call.asked), after(*at));
        match (&call.op, done) {
            (Op::Write { name, expect, .. }, Done::Wrote { version, changed }) => {
                if version.index < least || version.index >= most && *changed || version.index > most {
                    broken.push(Broken::Order(format!(
                        "write of {name} at {} in {least} to {most}",
                        version.index
                    )));
                }
                if let Some(expect) = expect.filter(|_| *changed) {
                    let found = last(h, name, version.index - 1);
                    if found != expect {
                        let what = format!("{name} was expected at {expect} and was at {found}");
                        broken.push(Broken::Order(what));
                    }
                }
            }
            (Op::Write { name, .. }, Done::Expected(found)) => out_of_order(
                broken,
                !was(h, name, least, most, *found),
                format!("{name} was not at {found} in {least} to {most}"),
            ),
            (Op::Write { name, .. }, Done::Absent) => out_of_order(
                broken,
                !was(h, name, least, most, 0),
                format!("{name} was always there in {least} to {most}"),
            ),
            (Op::ReadLatest, Done::Saw { version, .. }) => out_of_order(
                broken,
                version.index < least || version.index >= most,
                format!("read of {} in {least} to {most}", version.index),
            ),
            (Op::Read { .. }, Done::Saw { version, age, .. }) => {
                // The age holds for the instant at which the answer was made, which is no later than its end.
                let since = call.asked.saturating_sub(*age + 2);
                if version.index < before(since) {
                    broken.push(Broken::OlderThanSaid(*version, *age));
                }
                if version.index >= most {
                    broken.push(Broken::Order(format!(
                        "read of {} before {most} was asked for",
                        version.index
                    )));
                }
            }
            _ => {}
        }
    }
}

fn out_of_order(broken: &mut Vec<Broken>, wrong: bool, what: String) {
    if wrong {
        broken.push(Broken::Order(what));
    }
}

/// When a server last changed, as of that index; 0 where it was not listed.
fn last(h: &History, name: &str, index: u64) -> u64 {
    let of = |c: &&Changed| c.name == name && c.index <= index;
    let last = h.changes.iter().filter(of).max_by_key(|c| c.index);
    last.filter(|c| c.status != Status::Removed).map_or(0, |c| c.index)
}

/// Whether a server was last changed then at some point in between.
fn was(h: &History, name: &str, least: u64, most: u64, found: u64) -> bool {
    let within = |c: &&Changed| c.name == name && c.index > least && c.index < most;
    let points = h.changes.iter().filter(within).map(|c| c.index);
    std::iter::once(least).chain(points).any(|at| last(h, name, at) == found)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn v(index: u64) -> Version {
        Version { epoch: 1, index }
    }

    fn write(name: &str, asked: Step, at: Step, done: Done) -> Call {
        let op = Op::Write { name: name.into(), status: Status::Active, expect: None };
        Call { op, asked, done: Some((at, done)) }
    }

    fn wrote(name: &str, asked: Step, at: Step, index: u64) -> Call {
        write(name, asked, at, Done::Wrote { version: v(index), changed: true })
    }

    fn saw(op: Op, asked: Step, at: Step, index: u64, age: Step) -> Call {
        Call { op, asked, done: Some((at, Done::Saw { version: v(index), digest: index, age })) }
    }

    fn change(index: u64, name: &str) -> Changed {
        Changed { index, name: name.into(), status: Status::Active, expired: false }
    }

    fn good() -> History {
        History {
            calls: vec![
                wrote("a", 1, 5, 101),
                wrote("b", 6, 9, 102),
                saw(Op::ReadLatest, 10, 11, 102, 0),
                saw(Op::Read { replica: 2 }, 12, 13, 101, 5),
                saw(Op::Read { replica: 2 }, 14, 15, 102, 1),
            ],
            changes: vec![change(101, "a"), change(102, "b")],
            founded: 100,
            seen: vec![(1, 20, v(102), 102)],
            told: Vec::new(),
        }
    }

    #[test]
    fn a_good_history_breaks_nothing_and_each_spoilt_one_breaks_its_rule() {
        assert_eq!(check(&good()), []);
        let spoilt = |change: fn(&mut History)| {
            let mut history = good();
            change(&mut history);
            check(&history)
        };
        assert_eq!(spoilt(|h| h.seen.push((3, 21, v(102), 7))), [Broken::TwoContents(v(102))]);
        assert_eq!(spoilt(|h| drop(h.changes.pop())), [Broken::Lost(102, "b".into())]);
        assert_eq!(spoilt(|h| h.changes.push(change(103, "c"))), [Broken::FromNowhere(103, "c".into())]);
        assert_eq!(
            spoilt(|h| h.calls.push(saw(Op::Read { replica: 2 }, 30, 31, 101, 25))),
            [Broken::WentBack(2, v(102), v(101))]
        );
        assert_eq!(
            spoilt(|h| h.calls.push(saw(Op::Read { replica: 3 }, 30, 31, 101, 5))),
            [Broken::OlderThanSaid(v(101), 5)]
        );
        let stale = spoilt(|h| h.calls.push(saw(Op::ReadLatest, 30, 31, 101, 0)));
        assert!(matches!(&stale[..], [Broken::Order(_)]), "{stale:?}");
        let twice = spoilt(|h| h.calls.push(wrote("b", 6, 9, 102)));
        assert!(twice.contains(&Broken::Twice(102)), "{twice:?}");
        // A write that was asked for after another had ended can't come before it.
        let order = spoilt(|h| {
            h.calls[0] = wrote("a", 10, 12, 101);
            h.calls[1] = wrote("b", 1, 3, 102);
        });
        assert!(order.iter().any(|b| matches!(b, Broken::Order(_))), "{order:?}");
        let expected = spoilt(|h| h.calls.push(write("a", 20, 21, Done::Expected(99))));
        assert!(matches!(&expected[..], [Broken::Order(_)]), "{expected:?}");
        let absent = spoilt(|h| h.calls.push(write("a", 20, 21, Done::Absent)));
        assert!(matches!(&absent[..], [Broken::Order(_)]), "{absent:?}");
        // What was true while the call was under way is fine.
        assert_eq!(spoilt(|h| h.calls.push(write("a", 0, 2, Done::Absent))), []);
    }
}
