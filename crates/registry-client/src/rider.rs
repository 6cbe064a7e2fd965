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
use crate::list::{Entry, Known, Status, Update, Version, Why};
use std::collections::{BTreeMap, BTreeSet};

/// How a rider rides. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Replicas; at least one.
    pub rosters: usize,
    /// A watch waits so long for news.
    pub wait: Micros,
    /// An answer may take so much longer than that.
    pub patience: Micros,
    /// Least time from one call to the next.
    pub spacing: Micros,
    /// Pause after a first failure, before chance.
    pub first_pause: Micros,
    /// Longest pause.
    pub longest_pause: Micros,
    /// The first call after a failure is put to a second replica as well, where it has no answer for so long.
    pub hedge_after: Micros,
    /// A list that takes away more than this share of what takes requests is held back.
    pub hold_back: f64,
    /// With a single replica there is nobody to confirm such a list: it is believed where it still stands so much later.
    pub alone_hold: Micros,
    /// A list is reported stale once it is so old.
    pub stale_after: Micros,
    /// Least time between two writes of the file.
    pub save_every: Micros,
    /// The services whose servers are wanted, each one's name made of letters, digits and `.`, `_`, `:`, `-`; none for
    /// all servers.
    pub services: Vec<String>,
}

impl Settings {
    /// For so many replicas. With its patience a wait ends within 6 s, by when a sidecar counts as told of what a
    /// silent watch has missed; a list that hardly changes costs each reader fifteen calls a minute.
    pub fn new(rosters: usize) -> Self {
        Self {
            rosters,
            wait: 4_000_000,
            patience: 2_000_000,
            spacing: 50_000,
            first_pause: 250_000,
            longest_pause: 8_000_000,
            hedge_after: 300_000,
            hold_back: 0.5,
            alone_hold: 30_000_000,
            stale_after: 15_000_000,
            save_every: 1_000_000,
            services: Vec::new(),
        }
    }
}

/// What happens to a rider.
#[derive(Clone, Debug)]
pub enum Event {
    /// It starts, with the list of its file where there is one.
    Start(Option<Known>),
    /// A call was answered.
    Answer {
        /// The call.
        ask: u64,
        /// What was answered.
        update: Update,
    },
    /// A call failed.
    Failed {
        /// The call.
        ask: u64,
        /// The replica says when to come again.
        retry_after: Option<Micros>,
        /// What went wrong, in plain words.
        what: String,
    },
    /// The servers of these services are wanted from now on; none for all servers.
    Services(Vec<String>),
    /// The instant of [`Rider::next_wake`] has come.
    Wake,
}

/// What a rider wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call a replica.
    Ask {
        /// The call, for its answer to name.
        ask: u64,
        /// The replica, by its place among the addresses.
        roster: usize,
        /// What came after this version; `None` for the whole list.
        after: Option<Version>,
        /// The answer may wait so long for news.
        wait: Micros,
    },
    /// What that call would bring is not wanted any more.
    Forget(u64),
    /// The list is this from now on.
    Apply(Applied),
    /// The list is to be written to its file: [`Rider::known`].
    Save,
    /// Something that people should know.
    Report(Report),
}

/// A list to be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Its version.
    pub version: Version,
    /// Whether it is the whole list, or changes to the one before.
    pub full: bool,
    /// Its entries; among changes, some that have left.
    pub entries: Vec<Entry>,
}

/// Something that people should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A call failed.
    Failed {
        /// The replica.
        roster: usize,
        /// What went wrong.
        what: String,
    },
    /// A replica has an older list than this reader: it is not used.
    Older {
        /// The replica.
        roster: usize,
        /// Its version.
        told: Version,
    },
    /// Two replicas have different lists of one version, which is a fault of the service: the new one is not used.
    Differs {
        /// The replica.
        roster: usize,
        /// The version.
        told: Version,
    },
    /// An entry was left out, as it can't be read.
    Unreadable(String),
    /// A list takes too much away: it is held back until it is confirmed.
    Held {
        /// The replica that has it.
        roster: usize,
        /// Its version.
        told: Version,
        /// How many servers it takes away.
        lost: usize,
        /// Of how many.
        of: usize,
    },
    /// What was held back is confirmed, by that replica, and used.
    Confirmed(usize),
    /// What was held back is not what that replica says, whose list is used.
    Released(usize),
    /// A service that is asked for has no servers in the list that is used from now on. Told again once it had some.
    NoServers(String),
    /// The list is so old, in microseconds: nothing newer is known, and it stays in use.
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
    ask: u64,
    roster: usize,
    after: Option<Version>,
    kind: Kind,
    sent: Micros,
    given_up: Micros,
}

struct Held {
    roster: usize,
    version: Version,
    since: Micros,
}

/// A reader of the list. See the module's page.
pub struct Rider {
    set: Settings,
    rng: fastrand::Rng,
    known: Option<Known>,
    calls: Vec<Call>,
    asks: u64,
    roster: usize,
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

impl Rider {
    /// One that has not started. `seed` is for its pauses, and should differ between readers.
    pub fn new(set: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let roster = rng.usize(0..set.rosters.max(1));
        Self {
            rng,
            known: None,
            calls: Vec::new(),
            asks: 0,
            roster,
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
            set: Settings { rosters: set.rosters.max(1), services: in_order(set.services), ..set },
        }
    }

    /// The list in use. After a change of services, until a list of theirs has come, it is what was left of the one
    /// before.
    pub fn known(&self) -> Option<&Known> {
        self.known.as_ref()
    }

    /// How old the list is: for so long something newer may have been acknowledged. Counted from the start of this
    /// reader where no replica has answered yet.
    pub fn age(&self, now: Micros) -> Micros {
        now - self.true_at.unwrap_or(self.started)
    }

    /// Path and query of the call that an [`Action::Ask`] wants.
    pub fn path(&self, after: Option<Version>, wait: Micros) -> String {
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
    pub fn holds(&self) -> bool {
        self.held.is_some()
    }

    /// When [`Event::Wake`] is due, whatever else happens.
    pub fn next_wake(&self) -> Option<Micros> {
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
                        out.push(Action::Apply(Applied { version: known.version, full: true, entries }));
                    }
                    self.known = Some(known);
                    self.look_for_bare(out);
                }
            }
            Event::Services(services) => self.change_services(now, in_order(services), out),
            Event::Answer { ask, update } => {
                // One that was given up may still come.
                if let Some(at) = self.calls.iter().position(|c| c.ask == ask) {
                    let call = self.calls.swap_remove(at);
                    self.answered(now, call, update, out);
                }
            }
            Event::Failed { ask, retry_after, what } => {
                if let Some(at) = self.calls.iter().position(|c| c.ask == ask) {
                    let call = self.calls.swap_remove(at);
                    self.failed(now, &call, retry_after, what, out);
                }
            }
            Event::Wake => {}
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
                out.push(Action::Apply(Applied { version: known.version, full: true, entries }));
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
            out.push(Action::Forget(call.ask));
            self.failed(now, &call, None, "no answer".into(), out);
        }
        if self.hedge.take_if(|at| *at <= now).is_some()
            && let [only] = self.calls.as_slice()
        {
            let (roster, after, kind) = ((only.roster + 1) % self.set.rosters, only.after, only.kind);
            self.ask(now, roster, after, kind, out);
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
            return self.ask(now, self.roster, None, Kind::Confirm, out);
        }
        let kind = if self.failures > 0 || after.is_none() { Kind::Look } else { Kind::Watch };
        self.ask(now, self.roster, after, kind, out);
        if self.failures > 0 && self.set.rosters > 1 {
            self.hedge = Some(now + self.set.hedge_after);
        }
    }

    fn ask(&mut self, now: Micros, roster: usize, after: Option<Version>, kind: Kind, out: &mut Vec<Action>) {
        self.asks += 1;
        let (ask, wait) = (self.asks, if kind == Kind::Watch { self.set.wait } else { 0 });
        let given_up = now + wait + self.set.patience;
        self.calls.push(Call { ask, roster, after, kind, sent: now, given_up });
        out.push(Action::Ask { ask, roster, after, wait });
    }

    fn failed(
        &mut self,
        now: Micros,
        call: &Call,
        told: Option<Micros>,
        what: String,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Report(Report::Failed { roster: call.roster, what }));
        // The other of a hedged pair may still answer.
        if self.calls.is_empty() {
            self.go_on(now, call.roster, told);
        }
    }

    /// The next replica, after a pause.
    fn go_on(&mut self, now: Micros, from: usize, told: Option<Micros>) {
        self.hedge = None;
        self.roster = (from + 1) % self.set.rosters;
        let grown = self.set.first_pause << self.failures.min(16);
        self.failures += 1;
        let chance = self.rng.f64();
        let pause = (grown.min(self.set.longest_pause) as f64 * (0.5 + 0.5 * chance)) as Micros;
        // Those that were told the same time must not come at the same instant, and none before it.
        let told = told.map_or(0, |t| (t as f64 * (1.0 + 0.2 * chance)) as Micros);
        self.next = Some(now + pause.max(told));
    }

    fn answered(&mut self, now: Micros, call: Call, update: Update, out: &mut Vec<Action>) {
        if let Some(what) = self.of_others(&update) {
            return self.failed(now, &call, None, what.into(), out);
        }
        if let Some(first) = update.unreadable.first() {
            let name = first.name.as_deref().unwrap_or("one without a name");
            out.push(Action::Report(Report::Unreadable(format!("{name}: {}", first.what))));
        }
        let (roster, told) = (call.roster, update.version);
        let empty = Known::default();
        let known = self.known.as_ref().unwrap_or(&empty);
        let distrust = if told < known.version {
            Some(Report::Older { roster, told })
        } else if told == known.version && update.digest != known.digest && self.known.is_some() && !self.rest
        {
            Some(Report::Differs { roster, told })
        } else {
            None
        };
        if let Some(report) = distrust {
            out.push(Action::Report(report));
            if self.calls.is_empty() {
                self.go_on(now, roster, None);
            }
            return;
        }
        let Some(new) = known.after(&update, call.after) else {
            // Changes to a list that this reader does not have: it asks for the whole.
            self.forget_calls(out);
            return self.ask(now, roster, None, Kind::Look, out);
        };
        let doubted = doubted(known, &new, &update, self.set.hold_back);
        let too_many = doubted.is_some();
        if let Some((lost, of)) = doubted
            && !self.confirmed(now, roster, told, out)
        {
            self.hold(now, roster, &update, lost, of, out);
            return;
        }
        // Another replica's list is used, also one that is not as far as what is doubted: where that was true after
        // all, it comes from this one too, and is doubted and confirmed then.
        if !too_many && self.held.take().is_some() {
            out.push(Action::Report(Report::Released(roster)));
        }
        self.take(now, &call, update, new, out);
    }

    /// Why an answer does not tell of the services that were asked for, and of those alone.
    fn of_others(&self, update: &Update) -> Option<&'static str> {
        let asked = &self.set.services;
        match &update.services {
            None if asked.is_empty() => return None,
            None => return Some("does not know services"),
            Some(told) if asked.is_empty() || told != asked => return Some("told of other services"),
            Some(_) => {}
        }
        // One that has left may be gone over to any service.
        let foreign = |e: &Entry| e.status != Status::Left && !among(e, asked);
        update.endpoints.iter().any(foreign).then_some("told of other services")
    }

    /// Uses a list.
    fn take(&mut self, now: Micros, call: &Call, update: Update, new: Known, out: &mut Vec<Action>) {
        self.forget_calls(out);
        (self.failures, self.roster) = (0, call.roster);
        self.next = Some((call.sent + self.set.spacing).max(now));
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
            out.push(Action::Apply(Applied { version: update.version, full, entries }));
            self.save.get_or_insert(now.max(self.saved + self.set.save_every));
            self.look_for_bare(out);
        }
        let (age, waited) = (millis(update.age_ms), millis(update.waited_ms));
        let true_at = (call.sent + waited - age).min(now);
        self.true_at = Some(self.true_at.map_or(true_at, |at| at.max(true_at)));
    }

    fn forget_calls(&mut self, out: &mut Vec<Action>) {
        self.hedge = None;
        out.extend(self.calls.drain(..).map(|c| Action::Forget(c.ask)));
    }

    /// Whether a list that takes too much away says what is held back, by another replica or, where there is none,
    /// after a while.
    fn confirmed(&mut self, now: Micros, roster: usize, told: Version, out: &mut Vec<Action>) -> bool {
        let Some(held) = &self.held else { return false };
        let alone = self.set.rosters == 1 && now - held.since >= self.set.alone_hold;
        if told >= held.version && (roster != held.roster || alone) {
            self.held = None;
            out.push(Action::Report(Report::Confirmed(roster)));
            return true;
        }
        false
    }

    /// Holds a list back, but for what it says of servers by name.
    fn hold(
        &mut self,
        now: Micros,
        roster: usize,
        update: &Update,
        lost: usize,
        of: usize,
        out: &mut Vec<Action>,
    ) {
        let told = update.version;
        self.forget_calls(out);
        match &mut self.held {
            // The same replica says so again, or another one that has not come as far.
            Some(held) if held.version >= told => {}
            Some(held) => held.version = told,
            None => {
                self.held = Some(Held { roster, version: told, since: now });
                out.push(Action::Report(Report::Held { roster, told, lost, of }));
                // Another is asked at once.
                self.failures = 0;
            }
        }
        let named: Vec<Entry> = update.endpoints.iter().filter(|e| named(e)).cloned().collect();
        if let Some(known) = &mut self.known
            && !named.is_empty()
        {
            for entry in &named {
                if entry.status == Status::Left {
                    known.entries.remove(&entry.name);
                } else {
                    known.entries.insert(entry.name.clone(), entry.clone());
                }
            }
            let version = known.version;
            out.push(Action::Apply(Applied { version, full: false, entries: named }));
            self.look_for_bare(out);
        }
        let first = self.failures == 0;
        self.go_on(now, roster, None);
        if first {
            self.next = Some(now + if self.set.rosters > 1 { 0 } else { self.set.spacing });
        }
        // The one that is doubted can't confirm itself.
        if let Some(held) = &self.held
            && self.set.rosters > 1
            && self.roster == held.roster
        {
            self.roster = (self.roster + 1) % self.set.rosters;
        }
    }
}

/// Whether an entry says that its server leaves or is gone because somebody named it.
fn named(e: &Entry) -> bool {
    matches!(e.why, Why::Drained | Why::Removed) && e.status != Status::Active
}

/// How many servers a list takes away, and of how many, where that is too many: of a service that was asked for, or of
/// all servers where none was.
fn doubted(known: &Known, new: &Known, update: &Update, hold_back: f64) -> Option<(usize, usize)> {
    let lost = lost(known, new, update);
    let too_many = |lost: usize, of: usize, left: usize| left == 0 || lost as f64 > hold_back * of as f64;
    if new.services.is_empty() {
        let of = known.active();
        return (!lost.is_empty() && too_many(lost.len(), of, new.active())).then_some((lost.len(), of));
    }
    let mut lost_of: BTreeMap<&str, usize> = BTreeMap::new();
    for service in lost.iter().filter_map(|e| e.service.as_deref()) {
        *lost_of.entry(service).or_default() += 1;
    }
    let active = |list: &Known, service: &str| {
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
fn lost<'a>(known: &'a Known, new: &Known, update: &Update) -> Vec<&'a Entry> {
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
fn keep_services(known: &mut Known, services: &[String]) -> bool {
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
