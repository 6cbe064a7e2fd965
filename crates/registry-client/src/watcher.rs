//! Which replica is asked, when and for what, and which answers are believed.
//!
//! One call is out at a time: a watch, at the replica that answered last. When it fails, the next replica is asked
//! after a pause that grows with each failure and is drawn anew for each reader, so that thousands of them don't come
//! back as one. That first call after a failure is hedged: where no answer has come for a while, the replica after
//! the next is asked as well.
//!
//! A list is never taken for one of an older version or epoch. One that takes away more than a set part of what is
//! known, other than by drains and removals that name their servers, is held back until another replica says the
//! same: a service that was cut off from the servers must not empty the list of those who still reach them.
//!
//! A reader may ask for some services alone. Each of them is doubted on its own, and an answer of a replica that does
//! not know of services, or that tells of others, is none: whose servers those are nobody knows.

use crate::Micros;
use crate::list::{EndpointList, Entry, ListUpdate, Status, StatusReason, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Settings of a [`RegistryWatcher`]. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of replicas; at least one.
    pub replicas: usize,
    /// How long a replica may hold a watch open without a change.
    pub watch_wait: Micros,
    /// How much longer than that a response may take.
    pub response_timeout: Micros,
    /// Least time from one poll to the next.
    pub min_poll_interval: Micros,
    /// Backoff after a first failure, before jitter.
    pub initial_backoff: Micros,
    /// Longest backoff.
    pub max_backoff: Micros,
    /// Time without a response after which the first poll after a failure is hedged at a second replica.
    pub hedge_delay: Micros,
    /// A list that removes more than this share of the active servers needs confirmation.
    pub max_removed_share: f64,
    /// Time after which a single replica may confirm such a list itself.
    pub self_confirm_after: Micros,
    /// Age from which the list is reported stale.
    pub stale_after: Micros,
    /// Least time between two writes of the cache file.
    pub min_save_interval: Micros,
    /// Services whose servers are watched; names are made of letters, digits and `.`, `_`, `:`, `-`. Empty means all
    /// servers.
    pub services: Vec<String>,
}

impl Settings {
    /// Defaults for that many replicas. `watch_wait` and `response_timeout` together are 6 s: within that time after
    /// a watch falls silent a sidecar has to know what it missed.
    pub fn new(replicas: usize) -> Self {
        Self {
            replicas,
            watch_wait: 4_000_000,
            response_timeout: 2_000_000,
            min_poll_interval: 50_000,
            initial_backoff: 250_000,
            max_backoff: 8_000_000,
            hedge_delay: 300_000,
            max_removed_share: 0.5,
            self_confirm_after: 30_000_000,
            stale_after: 15_000_000,
            min_save_interval: 1_000_000,
            services: Vec::new(),
        }
    }
}

/// What happens to a watcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// It starts, with the list of its cache file if there is one.
    Start(Option<EndpointList>),
    /// A replica responded to a poll.
    Response {
        /// The poll.
        poll: u64,
        /// The response.
        update: ListUpdate,
    },
    /// A poll failed.
    PollFailed {
        /// The poll.
        poll: u64,
        /// The replica's `Retry-After`.
        retry_after: Option<Micros>,
        /// What went wrong, for the log.
        error: String,
    },
    /// Servers of these services are watched from now on; empty means all servers.
    ServicesChanged(Vec<String>),
    /// The instant of [`RegistryWatcher::next_timer`] has come.
    Timer,
}

/// What a watcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a replica.
    Poll {
        /// Number of the poll, for its [`Event`] to name.
        poll: u64,
        /// The replica, by its position among the addresses.
        replica: usize,
        /// Changes after this version are wanted; `None` for the complete list.
        after: Option<Version>,
        /// How long the replica may wait for a change.
        wait: Micros,
    },
    /// Cancel that poll.
    CancelPoll(u64),
    /// Use this list from now on.
    Apply(AppliedList),
    /// Write [`RegistryWatcher::list`] to the cache file.
    Save,
    /// Log this.
    Report(Report),
}

/// A list to be used.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedList {
    /// Its version.
    pub version: Version,
    /// Whether it is the complete list, or changes to the one before.
    pub full: bool,
    /// Its entries; changes may hold removed ones.
    pub entries: Vec<Entry>,
}

/// Something to log.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A poll failed.
    PollFailed {
        /// The replica.
        replica: usize,
        /// What went wrong.
        error: String,
    },
    /// A replica has an older list than this watcher: it is not used.
    OlderVersion {
        /// The replica.
        replica: usize,
        /// Its version.
        version: Version,
    },
    /// Two replicas have different lists of one version, which is a fault of the registry: the new one is not used.
    DigestMismatch {
        /// The replica.
        replica: usize,
        /// The version.
        version: Version,
    },
    /// An entry can't be read and was left out.
    UnreadableEntry(String),
    /// A list removes too many servers: it is withheld until it is confirmed.
    Withheld {
        /// The replica that has it.
        replica: usize,
        /// Its version.
        version: Version,
        /// How many active servers it removes.
        removed: usize,
        /// How many active servers there were.
        of: usize,
    },
    /// That replica confirmed the withheld list, which is used.
    Confirmed(usize),
    /// That replica does not confirm the withheld list: its own is used.
    Unconfirmed(usize),
    /// A watched service has no servers in the list that is used from now on. Reported again once it had some.
    NoServers(String),
    /// The list is this old, in microseconds, and nothing newer is known: it stays in use.
    Stale(Micros),
    /// It is up to date again.
    Fresh,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    /// Waits for news.
    Watch,
    /// Asks for what there is.
    Look,
    /// Asks for the whole list, to compare it with what is held back.
    Confirm,
}

struct Call {
    poll: u64,
    replica: usize,
    after: Option<Version>,
    kind: Kind,
    sent: Micros,
    given_up: Micros,
}

struct Held {
    replica: usize,
    version: Version,
    since: Micros,
}

/// A reader of the list. See the module's page.
pub struct RegistryWatcher {
    set: Settings,
    rng: fastrand::Rng,
    known: Option<EndpointList>,
    calls: Vec<Call>,
    polls: u64,
    replica: usize,
    failures: u32,
    next: Option<Micros>,
    hedge: Option<Micros>,
    held: Option<Held>,
    /// What is known is what was left of a list of other services: only a whole list brings it on, its digest means
    /// nothing, and it is not for the file.
    rest: bool,
    /// Services that were told to have no servers.
    bare: BTreeSet<String>,
    save: Option<Micros>,
    saved: Micros,
    /// Nothing newer than the known list was acknowledged then.
    true_at: Option<Micros>,
    started: Micros,
    stale: bool,
}

impl RegistryWatcher {
    /// One that has not started. `seed` is for its pauses, and should differ between readers.
    pub fn new(set: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let replica = rng.usize(0..set.replicas.max(1));
        Self {
            rng,
            known: None,
            calls: Vec::new(),
            polls: 0,
            replica,
            failures: 0,
            next: None,
            hedge: None,
            held: None,
            rest: false,
            bare: BTreeSet::new(),
            save: None,
            saved: Micros::MIN / 2,
            true_at: None,
            started: 0,
            stale: false,
            set: Settings { replicas: set.replicas.max(1), services: in_order(set.services), ..set },
        }
    }

    /// The list in use. After a change of services, until a list of theirs has come, it is what was left of the one
    /// before.
    pub fn list(&self) -> Option<&EndpointList> {
        self.known.as_ref()
    }

    /// How old the list is: for so long something newer may have been acknowledged. Counted from the start of this
    /// reader where no replica has answered yet.
    pub fn age(&self, now: Micros) -> Micros {
        now - self.true_at.unwrap_or(self.started)
    }

    /// Path and query of the request that an [`Action::Poll`] wants.
    pub fn poll_path(&self, after: Option<Version>, wait: Micros) -> String {
        let mut path = format!("/v1/watch?wait_ms={}", wait / 1000);
        if let Some(after) = after {
            path.push_str(&format!("&epoch={}&after={}", after.epoch, after.index));
        }
        if !self.set.services.is_empty() {
            path.push_str(&format!("&services={}", self.set.services.join(",")));
        }
        path
    }

    /// Whether a list is held back.
    pub fn withholds_list(&self) -> bool {
        self.held.is_some()
    }

    /// When [`Event::Timer`] is due, whatever else happens.
    pub fn next_timer(&self) -> Option<Micros> {
        let calls = self.calls.iter().map(|c| c.given_up).min();
        let stale = (!self.stale).then(|| self.true_at.unwrap_or(self.started) + self.set.stale_after);
        [calls, self.next, self.hedge, self.save, stale].into_iter().flatten().min()
    }

    /// Takes an event that happens at `now`, and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start(known) => {
                (self.started, self.next) = (now, Some(now));
                if let Some(mut known) = known {
                    self.rest = known.services != self.set.services;
                    if self.rest {
                        keep_services(&mut known, &self.set.services);
                    }
                    // Of a file of other services nothing may be left: then what the driver has is better than none.
                    if !self.rest || !known.entries.is_empty() {
                        let entries = known.entries.values().cloned().collect();
                        out.push(Action::Apply(AppliedList { version: known.version, full: true, entries }));
                    }
                    self.known = Some(known);
                    self.look_for_bare(out);
                }
            }
            Event::ServicesChanged(services) => self.change_services(now, in_order(services), out),
            Event::Response { poll, update } => {
                // One that was given up may still come.
                if let Some(at) = self.calls.iter().position(|c| c.poll == poll) {
                    let call = self.calls.swap_remove(at);
                    self.answered(now, call, update, out);
                }
            }
            Event::PollFailed { poll, retry_after, error } => {
                if let Some(at) = self.calls.iter().position(|c| c.poll == poll) {
                    let call = self.calls.swap_remove(at);
                    self.failed(now, &call, retry_after, error, out);
                }
            }
            Event::Timer => {}
        }
        self.due(now, out);
    }

    /// Asks for the servers of these services from now on. Those of services that stay are used until the whole list
    /// has come, those of others no more.
    fn change_services(&mut self, now: Micros, services: Vec<String>, out: &mut Vec<Action>) {
        if services == self.set.services {
            return;
        }
        self.set.services = services;
        self.bare.retain(|name| self.set.services.contains(name));
        let has_started = self.next.is_some() || !self.calls.is_empty();
        self.forget_calls(out);
        // What was doubted was another list.
        (self.held, self.save) = (None, None);
        if has_started {
            self.next = Some(now);
        }
        if let Some(known) = &mut self.known {
            self.rest = true;
            if keep_services(known, &self.set.services) {
                let entries = known.entries.values().cloned().collect();
                out.push(Action::Apply(AppliedList { version: known.version, full: true, entries }));
            }
        }
    }

    /// Tells of services that are asked for and have no servers, each once.
    fn look_for_bare(&mut self, out: &mut Vec<Action>) {
        let Some(known) = self.known.as_ref().filter(|_| !self.rest && !self.set.services.is_empty()) else {
            return;
        };
        let served: BTreeSet<&str> = known.entries.values().filter_map(|e| e.service.as_deref()).collect();
        for name in &self.set.services {
            if served.contains(name.as_str()) {
                self.bare.remove(name);
            } else if self.bare.insert(name.clone()) {
                out.push(Action::Report(Report::NoServers(name.clone())));
            }
        }
    }

    /// Does what is due by now.
    fn due(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(at) = self.calls.iter().position(|c| c.given_up <= now) {
            let call = self.calls.swap_remove(at);
            out.push(Action::CancelPoll(call.poll));
            self.failed(now, &call, None, "no answer".into(), out);
        }
        if self.hedge.take_if(|at| *at <= now).is_some()
            && let [only] = self.calls.as_slice()
        {
            let (replica, after, kind) = ((only.replica + 1) % self.set.replicas, only.after, only.kind);
            self.ask(now, replica, after, kind, out);
        }
        if self.next.take_if(|at| *at <= now).is_some() {
            self.ask_next(now, out);
        }
        if self.save.take_if(|at| *at <= now).is_some() {
            self.saved = now;
            out.push(Action::Save);
        }
        let stale = self.age(now) >= self.set.stale_after;
        if std::mem::replace(&mut self.stale, stale) != stale {
            out.push(Action::Report(if stale { Report::Stale(self.age(now)) } else { Report::Fresh }));
        }
    }

    fn ask_next(&mut self, now: Micros, out: &mut Vec<Action>) {
        let after = self.known.as_ref().filter(|_| !self.rest).map(|k| k.version);
        if self.held.is_some() {
            return self.ask(now, self.replica, None, Kind::Confirm, out);
        }
        let kind = if self.failures > 0 || after.is_none() { Kind::Look } else { Kind::Watch };
        self.ask(now, self.replica, after, kind, out);
        if self.failures > 0 && self.set.replicas > 1 {
            self.hedge = Some(now + self.set.hedge_delay);
        }
    }

    fn ask(
        &mut self,
        now: Micros,
        replica: usize,
        after: Option<Version>,
        kind: Kind,
        out: &mut Vec<Action>,
    ) {
        self.polls += 1;
        let (poll, wait) = (self.polls, if kind == Kind::Watch { self.set.watch_wait } else { 0 });
        let given_up = now + wait + self.set.response_timeout;
        self.calls.push(Call { poll, replica, after, kind, sent: now, given_up });
        out.push(Action::Poll { poll, replica, after, wait });
    }

    fn failed(
        &mut self,
        now: Micros,
        call: &Call,
        told: Option<Micros>,
        error: String,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Report(Report::PollFailed { replica: call.replica, error }));
        // The other of a hedged pair may still answer.
        if self.calls.is_empty() {
            self.go_on(now, call.replica, told);
        }
    }

    /// The next replica, after a pause.
    fn go_on(&mut self, now: Micros, from: usize, told: Option<Micros>) {
        self.hedge = None;
        self.replica = (from + 1) % self.set.replicas;
        let grown = self.set.initial_backoff << self.failures.min(16);
        self.failures += 1;
        let chance = self.rng.f64();
        let pause = (grown.min(self.set.max_backoff) as f64 * (0.5 + 0.5 * chance)) as Micros;
        // Those that were told the same time must not come at the same instant, and none before it.
        let told = told.map_or(0, |t| (t as f64 * (1.0 + 0.2 * chance)) as Micros);
        self.next = Some(now + pause.max(told));
    }

    fn answered(&mut self, now: Micros, call: Call, update: ListUpdate, out: &mut Vec<Action>) {
        if let Some(what) = self.of_others(&update) {
            return self.failed(now, &call, None, what.into(), out);
        }
        if let Some(first) = update.unreadable.first() {
            let name = first.name.as_deref().unwrap_or("one without a name");
            out.push(Action::Report(Report::UnreadableEntry(format!("{name}: {}", first.error))));
        }
        let (replica, version) = (call.replica, update.version);
        let empty = EndpointList::default();
        let known = self.known.as_ref().unwrap_or(&empty);
        let distrust = if version < known.version {
            Some(Report::OlderVersion { replica, version })
        } else if version == known.version
            && update.digest != known.digest
            && self.known.is_some()
            && !self.rest
        {
            Some(Report::DigestMismatch { replica, version })
        } else {
            None
        };
        if let Some(report) = distrust {
            out.push(Action::Report(report));
            if self.calls.is_empty() {
                self.go_on(now, replica, None);
            }
            return;
        }
        let Some(new) = known.updated(&update, call.after) else {
            // Changes to a list that this reader does not have: it asks for the whole.
            self.forget_calls(out);
            return self.ask(now, replica, None, Kind::Look, out);
        };
        let doubted = doubted(known, &new, &update, self.set.max_removed_share);
        let too_many = doubted.is_some();
        if let Some((lost, of)) = doubted
            && !self.confirmed(now, replica, version, out)
        {
            self.hold(now, replica, &update, lost, of, out);
            return;
        }
        // Another replica's list is used, also one that is not as far as what is doubted: where that was true after
        // all, it comes from this one too, and is doubted and confirmed then.
        if !too_many && self.held.take().is_some() {
            out.push(Action::Report(Report::Unconfirmed(replica)));
        }
        self.take(now, &call, update, new, out);
    }

    /// StatusReason an answer does not tell of the services that were asked for, and of those alone.
    fn of_others(&self, update: &ListUpdate) -> Option<&'static str> {
        let asked = &self.set.services;
        match &update.services {
            None if asked.is_empty() => return None,
            None => return Some("does not know services"),
            Some(told) if asked.is_empty() || told != asked => return Some("told of other services"),
            Some(_) => {}
        }
        // One that has left may be gone over to any service.
        let foreign = |e: &Entry| e.status != Status::Removed && !among(e, asked);
        update.endpoints.iter().any(foreign).then_some("told of other services")
    }

    /// Uses a list.
    fn take(
        &mut self,
        now: Micros,
        call: &Call,
        update: ListUpdate,
        new: EndpointList,
        out: &mut Vec<Action>,
    ) {
        self.forget_calls(out);
        (self.failures, self.replica) = (0, call.replica);
        self.next = Some((call.sent + self.set.min_poll_interval).max(now));
        let before = self.known.replace(new);
        let rest = std::mem::take(&mut self.rest);
        // What was held back in part may have been used in part.
        if rest
            || before.as_ref().is_none_or(|b| b.version < update.version || self.known.as_ref() != Some(b))
        {
            let full = update.snapshot || before.is_none();
            let entries = if full {
                self.known.iter().flat_map(|k| k.entries.values().cloned()).collect()
            } else {
                update.endpoints
            };
            out.push(Action::Apply(AppliedList { version: update.version, full, entries }));
            self.save.get_or_insert(now.max(self.saved + self.set.min_save_interval));
            self.look_for_bare(out);
        }
        let (age, waited) = (millis(update.age_ms), millis(update.waited_ms));
        let true_at = (call.sent + waited - age).min(now);
        self.true_at = Some(self.true_at.map_or(true_at, |at| at.max(true_at)));
    }

    fn forget_calls(&mut self, out: &mut Vec<Action>) {
        self.hedge = None;
        out.extend(self.calls.drain(..).map(|c| Action::CancelPoll(c.poll)));
    }

    /// Whether a list that takes too much away says what is held back, by another replica or, where there is none,
    /// after a while.
    fn confirmed(&mut self, now: Micros, replica: usize, version: Version, out: &mut Vec<Action>) -> bool {
        let Some(held) = &self.held else { return false };
        let alone = self.set.replicas == 1 && now - held.since >= self.set.self_confirm_after;
        if version >= held.version && (replica != held.replica || alone) {
            self.held = None;
            out.push(Action::Report(Report::Confirmed(replica)));
            return true;
        }
        false
    }

    /// Holds a list back, but for what it says of servers by name.
    fn hold(
        &mut self,
        now: Micros,
        replica: usize,
        update: &ListUpdate,
        lost: usize,
        of: usize,
        out: &mut Vec<Action>,
    ) {
        let version = update.version;
        self.forget_calls(out);
        match &mut self.held {
            // The same replica says so again, or another one that has not come as far.
            Some(held) if held.version >= version => {}
            Some(held) => held.version = version,
            None => {
                self.held = Some(Held { replica, version, since: now });
                out.push(Action::Report(Report::Withheld { replica, version, removed: lost, of }));
                // Another is asked at once.
                self.failures = 0;
            }
        }
        let named: Vec<Entry> = update.endpoints.iter().filter(|e| named(e)).cloned().collect();
        if let Some(known) = &mut self.known
            && !named.is_empty()
        {
            for entry in &named {
                if entry.status == Status::Removed {
                    known.entries.remove(&entry.name);
                } else {
                    known.entries.insert(entry.name.clone(), entry.clone());
                }
            }
            let version = known.version;
            out.push(Action::Apply(AppliedList { version, full: false, entries: named }));
            self.look_for_bare(out);
        }
        let first = self.failures == 0;
        self.go_on(now, replica, None);
        if first {
            self.next = Some(now + if self.set.replicas > 1 { 0 } else { self.set.min_poll_interval });
        }
        // The one that is doubted can't confirm itself.
        if let Some(held) = &self.held
            && self.set.replicas > 1
            && self.replica == held.replica
        {
            self.replica = (self.replica + 1) % self.set.replicas;
        }
    }
}

/// Whether an entry says that its server leaves or is gone because somebody named it.
fn named(e: &Entry) -> bool {
    matches!(e.status_reason, StatusReason::Drained | StatusReason::Removed) && e.status != Status::Active
}

/// How many servers a list takes away, and of how many, where that is too many: of a service that was asked for, or of
/// all servers where none was.
fn doubted(
    known: &EndpointList,
    new: &EndpointList,
    update: &ListUpdate,
    hold_back: f64,
) -> Option<(usize, usize)> {
    let lost = lost(known, new, update);
    let too_many = |lost: usize, of: usize, left: usize| left == 0 || lost as f64 > hold_back * of as f64;
    if new.services.is_empty() {
        let of = known.active_count();
        return (!lost.is_empty() && too_many(lost.len(), of, new.active_count()))
            .then_some((lost.len(), of));
    }
    let mut lost_of: BTreeMap<&str, usize> = BTreeMap::new();
    for service in lost.iter().filter_map(|e| e.service.as_deref()) {
        *lost_of.entry(service).or_default() += 1;
    }
    let active = |list: &EndpointList, service: &str| {
        let of = |e: &&Entry| e.status == Status::Active && e.service.as_deref() == Some(service);
        list.entries.values().filter(of).count()
    };
    let doubted = lost_of.into_iter().filter_map(|(service, lost)| {
        let of = active(known, service);
        too_many(lost, of, active(new, service)).then_some((lost, of))
    });
    doubted.reduce(|sum, one| (sum.0 + one.0, sum.1 + one.1))
}

/// Servers that took requests and would not any more, other than by drains and removals that name them. One that goes
/// over to another service that is asked for is not among them.
fn lost<'a>(known: &'a EndpointList, new: &EndpointList, update: &ListUpdate) -> Vec<&'a Entry> {
    let by_name: BTreeSet<&str> =
        update.endpoints.iter().filter(|e| named(e)).map(|e| e.name.as_str()).collect();
    let gone = |e: &&Entry| {
        let stays = new.entries.get(&e.name).is_some_and(|now| now.status == Status::Active);
        !stays && !by_name.contains(e.name.as_str())
    };
    known.entries.values().filter(|e| e.status == Status::Active).filter(gone).collect()
}

/// Names of services as they are asked for.
fn in_order(mut services: Vec<String>) -> Vec<String> {
    services.sort_unstable();
    services.dedup();
    services
}

/// Whether an entry is one of a service among these, which are in order.
fn among(e: &Entry, services: &[String]) -> bool {
    e.service.as_ref().is_some_and(|name| services.binary_search(name).is_ok())
}

/// Leaves the entries of these services, or all where there are none of them, and tells whether any went.
fn keep_services(known: &mut EndpointList, services: &[String]) -> bool {
    let before = known.entries.len();
    if !services.is_empty() {
        known.entries.retain(|_, e| among(e, services));
    }
    known.services = services.to_vec();
    known.entries.len() < before
}

fn millis(ms: u64) -> Micros {
    Micros::try_from(ms).unwrap_or(Micros::MAX / 2000).min(Micros::MAX / 2000) * 1000
}
