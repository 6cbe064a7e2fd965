//! The list as a state machine that a replicated log feeds. A command either changes it, and then its index goes up
//! by one, or it does not: every replica that has applied the same commands has the same list, to the last digit.

use super::services::{self, Services};
use lotusmoor_registry_client::{Entry, ListUpdate, Status, StatusReason, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Indexes of an epoch begin at the epoch times two to the power of this: so they go on growing from epoch to epoch,
/// as long as a list changes fewer than a million times in each second between two foundings.
pub const EPOCH_SHIFT: u32 = 20;
/// Entries at most: the largest fleet that is planned has 21,000, and while servers are replaced both are listed. The
/// whole list still fits the 4 MiB that sidecars read, at usual lengths: 19,900 entries took 3.03 MB.
pub const MOST_ENTRIES: usize = 25_000;
/// What commands without services may fill: replicas of the version before decide so.
const MOST_BEFORE: usize = 20_000;
/// Longest name, and longest other word.
pub const LONGEST_NAME: usize = 128;
const LONGEST_WORD: usize = 64;
/// Servers that left and are still told of in changes. A reader that is further behind gets the whole list.
const MOST_LEFT: usize = 4096;
/// Changes that are kept for people to look at.
const MOST_HISTORY: usize = 1000;
/// Shortest and longest lease, in milliseconds; 0 is none.
const LEASES_MS: std::ops::RangeInclusive<u64> = 500..=3_600_000;

/// What can be done to a list. `expect` is the index at which the entry last changed, 0 for an entry that is not
/// there: the command is refused where that does not hold. `at_ms` is the Unix time of whoever asked, for the
/// history alone.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Command {
    /// Begins an epoch, which must be higher than the one before.
    Found {
        /// The epoch, as Unix time in seconds.
        epoch: u64,
        /// The list of a backup; its version is older than all of this epoch's.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        from: Option<Box<List>>,
    },
    /// Registers servers, all of them or none.
    Put {
        /// The servers.
        servers: Vec<Registration>,
        /// See above; of the first server.
        expect: Option<u64>,
        /// See above.
        at_ms: u64,
    },
    /// A server is to get nothing new.
    Drain {
        /// Its name.
        name: String,
        /// See above.
        expect: Option<u64>,
        /// See above.
        at_ms: u64,
    },
    /// A drained server may get requests again.
    Resume {
        /// Its name.
        name: String,
        /// See above.
        expect: Option<u64>,
        /// See above.
        at_ms: u64,
    },
    /// A server is gone.
    Remove {
        /// Its name.
        name: String,
        /// See above.
        expect: Option<u64>,
        /// See above.
        at_ms: u64,
    },
    /// Leases ran out.
    Expire {
        /// Those that did.
        due: Vec<Due>,
        /// See above.
        at_ms: u64,
    },
    /// A command with services in it. Replicas of the version before would read it without them: so it has a form that
    /// they turn down.
    Services(Box<Command>),
}

impl Command {
    /// In the form that it has to have in the log.
    pub fn in_form(self) -> Self {
        if !matches!(self, Self::Services(_)) && self.has_services() {
            return Self::Services(Box::new(self));
        }
        self
    }

    /// The command itself, whatever its form.
    pub fn plain(&self) -> &Self {
        if let Self::Services(command) = self { command } else { self }
    }

    /// Whether services are in it.
    pub fn has_services(&self) -> bool {
        match self {
            Self::Found { from, .. } => from.as_ref().is_some_and(|f| f.has_services()),
            Self::Put { servers, .. } => servers.iter().any(|s| s.entry.service.is_some()),
            Self::Services(_) => true,
            _ => false,
        }
    }
}

/// A server with its lease.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Registration {
    /// The server.
    pub entry: Entry,
    /// It has to be renewed so often, in milliseconds; 0: it stays until it is removed.
    pub lease_ms: u64,
}

/// A lease that ran out.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Due {
    /// The server.
    pub name: String,
    /// The registration that the lease belongs to: a later one is not touched.
    pub registered: u64,
    /// Whether it is gone, or leaving at first.
    pub left: bool,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Outcome {
    /// It was none: the log's own entries.
    Nothing,
    /// It holds.
    Done {
        /// The version from which on it does.
        version: Version,
        /// Whether it changed anything.
        changed: bool,
    },
    /// It was refused, and nothing changed.
    Refused(Refusal),
}

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, thiserror::Error)]
pub enum Refusal {
    /// The entry is not as expected.
    #[error("{name}: last changed at {found}, not as expected")]
    Expected {
        /// The entry.
        name: String,
        /// When it last changed; 0: it is not there.
        found: u64,
    },
    /// There is no such server.
    #[error("{0}: no such server")]
    Unknown(String),
    /// The list is full.
    #[error("the list is full: {MOST_ENTRIES} servers, {MOST_BEFORE} for one without a service")]
    Full,
    /// Something in it can't be meant.
    #[error("{0}")]
    Invalid(String),
    /// The list was not founded yet, or has that epoch or a later one.
    #[error("epoch {0} does not follow")]
    Epoch(u64),
}

/// A change, for people to look at.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Change {
    /// The version that has it.
    pub index: u64,
    /// Unix time in milliseconds of whoever asked.
    pub at_ms: u64,
    /// The server.
    pub name: String,
    /// What it is since.
    pub status: Status,
    /// Why.
    pub why: StatusReason,
}

/// An entry with what the service keeps about it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Kept {
    /// As it is told.
    pub entry: Entry,
    /// When it last changed.
    pub changed: u64,
    /// When it was last registered.
    pub registered: u64,
    /// Its lease in milliseconds; 0 for none.
    pub lease_ms: u64,
}

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct List {
    version: Version,
    digest: u64,
    entries: BTreeMap<String, Kept>,
    /// Servers that left, by the index at which they did.
    left: BTreeMap<u64, Vec<Entry>>,
    left_count: usize,
    /// Changes after this index can be told; before it, what left is forgotten.
    floor: u64,
    /// Entries by when they last changed.
    changes: BTreeSet<(u64, String)>,
    services: Services,
    history: VecDeque<Change>,
}

/// What a snapshot holds.
#[derive(Clone, Deserialize, Serialize)]
struct Stored {
    version: Version,
    digest: u64,
    entries: Vec<Kept>,
    left: Vec<(u64, Vec<Entry>)>,
    floor: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    services: Vec<services::Stored>,
    /// Absent: since the epoch began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    services_forgotten: Option<u64>,
    history: VecDeque<Change>,
}

impl From<Stored> for List {
    fn from(s: Stored) -> Self {
        let forgotten = s.services_forgotten.unwrap_or(s.version.epoch << EPOCH_SHIFT);
        Self {
            services: Services::read(s.services, forgotten, s.entries.iter()),
            version: s.version,
            digest: s.digest,
            changes: s.entries.iter().map(|k| (k.changed, k.entry.name.clone())).collect(),
            entries: s.entries.into_iter().map(|k| (k.entry.name.clone(), k)).collect(),
            left_count: s.left.iter().map(|(_, l)| l.len()).sum(),
            left: s.left.into_iter().collect(),
            floor: s.floor,
            history: s.history,
        }
    }
}

impl From<List> for Stored {
    fn from(l: List) -> Self {
        let (services, forgotten) = l.services.stored();
        Self {
            services,
            services_forgotten: Some(forgotten).filter(|f| *f != l.version.epoch << EPOCH_SHIFT),
            version: l.version,
            digest: l.digest,
            entries: l.entries.into_values().collect(),
            left: l.left.into_iter().collect(),
            floor: l.floor,
            history: l.history,
        }
    }
}

impl List {
    /// Its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Equal for equal histories.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Entries by name.
    pub fn entries(&self) -> &BTreeMap<String, Kept> {
        &self.entries
    }

    /// Changes after that index, the oldest first.
    pub fn history(&self, after: u64) -> impl Iterator<Item = &Change> {
        self.history.iter().filter(move |c| c.index > after)
    }

    /// Entries that changed after that index, and the names of those that left.
    pub fn changed_after(&self, index: u64) -> (impl Iterator<Item = &Kept>, impl Iterator<Item = &str>) {
        let changed = self.changes.range((index + 1, String::new())..);
        let left = self.left.range(index + 1..).flat_map(|(_, left)| left.iter().map(|e| e.name.as_str()));
        (changed.map(|(_, name)| &self.entries[name]), left.filter(|n| !self.entries.contains_key(*n)))
    }

    /// Servers that take requests.
    pub fn active(&self) -> usize {
        self.entries.values().filter(|k| k.entry.status == Status::Active).count()
    }

    /// What a reader is told that has the list as of that index; `None`: the whole list. So is one that is too far
    /// behind, ahead of this list, or of another epoch. Age and waiting are the caller's to fill in.
    pub fn update(&self, after: Option<u64>) -> ListUpdate {
        let first = self.version.epoch << EPOCH_SHIFT;
        let reach = self.floor.max(first)..=self.version.index;
        let mut update = ListUpdate { version: self.version, digest: self.digest, ..ListUpdate::default() };
        match after.filter(|after| reach.contains(after)) {
            Some(after) => {
                let changed = self.changes.range((after + 1, String::new())..);
                update.endpoints = changed.map(|(_, name)| self.entries[name].entry.clone()).collect();
                // Of one that left and came back only what it is now is told.
                let gone = self.left.range(after + 1..).flat_map(|(_, left)| left);
                update.endpoints.extend(gone.filter(|e| !self.entries.contains_key(&e.name)).cloned());
            }
            None => {
                update.snapshot = true;
                update.endpoints = self.entries.values().map(|k| k.entry.clone()).collect();
            }
        }
        update
    }

    /// What a reader of these services alone is told, which stand in order of their names: servers that are in them
    /// and changed after that index, and tombstones of those that left them and are in none of them now. Otherwise
    /// as [`List::update`].
    pub fn update_of(&self, after: Option<u64>, services: &[String]) -> ListUpdate {
        let mut update = ListUpdate {
            version: self.version,
            digest: self.services.digest(services),
            services: Some(services.to_vec()),
            ..ListUpdate::default()
        };
        let known = after.filter(|after| self.reach_of(services).contains(after));
        update.snapshot = known.is_none();
        let names = services.iter().flat_map(|s| self.services.entries_after(s, known.unwrap_or(0)));
        update.endpoints = names.map(|name| self.entries[name].entry.clone()).collect();
        if let Some(after) = known {
            let inside = |name| {
                let service = self.entries.get(name).and_then(|k: &Kept| k.entry.service.as_ref());
                service.is_some_and(|s| services.binary_search(s).is_ok())
            };
            let gone = self.services.left_after(services, after);
            update.endpoints.extend(gone.filter(|e| !inside(e.name.as_str())).cloned());
        }
        update
    }

    fn reach_of(&self, services: &[String]) -> std::ops::RangeInclusive<u64> {
        self.services.floor(services).max(self.version.epoch << EPOCH_SHIFT)..=self.version.index
    }

    /// The lowest index whose readers are told the same of these services as those of `after`; `None`: the whole.
    pub fn alike(&self, after: Option<u64>, services: &[String]) -> Option<u64> {
        let after = after.filter(|after| self.reach_of(services).contains(after))?;
        Some(self.services.alike(after, services).max(self.version.epoch << EPOCH_SHIFT))
    }

    /// The index at which any of these services last changed.
    pub fn changed_of(&self, services: &[String]) -> u64 {
        self.services.changed(services).max(self.version.epoch << EPOCH_SHIFT)
    }

    /// Equal for equal histories of these services.
    pub fn digest_of(&self, services: &[String]) -> u64 {
        self.services.digest(services)
    }

    /// Services that changed after that index, as far as they are remembered.
    pub fn services_changed_after(&self, index: u64) -> impl Iterator<Item = &str> {
        self.services.changed_after(index)
    }

    /// When the last of the services that are not remembered may have changed.
    pub fn services_forgotten(&self) -> u64 {
        self.services.forgotten()
    }

    /// Whether it has, or remembers, any service.
    pub fn has_services(&self) -> bool {
        self.services.any()
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let before = self.version;
        let (newer, command) = (matches!(command, Command::Services(_)), command.plain());
        if !newer && command.has_services() {
            return Outcome::Refused(Refusal::Invalid("services need a form of their own".into()));
        }
        match self.carry_out(command, newer) {
            Ok(()) => Outcome::Done { version: self.version, changed: self.version != before },
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    /// Changes nothing where it fails. One that is not of the newer form does what it did in the version before.
    fn carry_out(&mut self, command: &Command, newer: bool) -> Result<(), Refusal> {
        if let Command::Found { epoch, from } = command {
            let known = self.version.epoch.max(from.as_ref().map_or(0, |f| f.version.epoch));
            if *epoch <= known || epoch >> (53 - EPOCH_SHIFT) != 0 {
                return Err(Refusal::Epoch(*epoch));
            }
            let last = self.version.index.max(from.as_ref().map_or(0, |f| f.version.index));
            if let Some(from) = from {
                *self = (**from).clone();
            }
            self.version = Version { epoch: *epoch, index: (epoch << EPOCH_SHIFT).max(last + 1) };
            // Of what was told before nothing is known to this epoch's readers.
            (self.floor, self.left_count) = (self.version.index, 0);
            self.left.clear();
            self.note_digest("founded");
            self.services.found(self.version.index);
            return Ok(());
        }
        if self.version.epoch == 0 {
            return Err(Refusal::Epoch(0));
        }
        match command {
            Command::Found { .. } => Ok(()),
            Command::Services(_) => Err(Refusal::Invalid("a form within a form".into())),
            Command::Put { servers, expect, at_ms } => {
                let most = if newer { MOST_ENTRIES } else { MOST_BEFORE };
                self.put(servers, *expect, *at_ms, most)
            }
            Command::Drain { name, expect, at_ms } => {
                let kept = self.expected(name, *expect)?;
                if kept.entry.status == Status::Active || kept.entry.status_reason != StatusReason::Drained {
                    let entry = Entry {
                        status: Status::Draining,
                        status_reason: StatusReason::Drained,
                        ..kept.entry.clone()
                    };
                    self.change([Kept { entry, ..kept.clone() }].into(), *at_ms);
                }
                Ok(())
            }
            Command::Resume { name, expect, at_ms } => {
                let kept = self.expected(name, *expect)?;
                if kept.entry.status != Status::Active {
                    let entry = Entry {
                        status: Status::Active,
                        status_reason: StatusReason::Registered,
                        ..kept.entry.clone()
                    };
                    self.change([Kept { entry, ..kept.clone() }].into(), *at_ms);
                }
                Ok(())
            }
            Command::Remove { name, expect, at_ms } => {
                let kept = self.expected(name, *expect)?;
                let entry = Entry {
                    status: Status::Removed,
                    status_reason: StatusReason::Removed,
                    ..kept.entry.clone()
                };
                self.change([Kept { entry, ..kept.clone() }].into(), *at_ms);
                Ok(())
            }
            Command::Expire { due, at_ms } => {
                let changed = due.iter().filter_map(|d| self.expired(d)).collect();
                self.change(changed, *at_ms);
                Ok(())
            }
        }
    }

    fn expected(&self, name: &str, expect: Option<u64>) -> Result<&Kept, Refusal> {
        let kept = self.entries.get(name).ok_or_else(|| Refusal::Unknown(name.to_owned()))?;
        if expect.is_some_and(|e| e != kept.changed) {
            return Err(Refusal::Expected { name: name.to_owned(), found: kept.changed });
        }
        Ok(kept)
    }

    fn put(
        &mut self,
        servers: &[Registration],
        expect: Option<u64>,
        at_ms: u64,
        most: usize,
    ) -> Result<(), Refusal> {
        let Some(first) = servers.first() else {
            return Err(Refusal::Invalid("no server is named".into()));
        };
        let found = self.entries.get(&first.entry.name).map_or(0, |k| k.changed);
        if expect.is_some_and(|e| e != found) {
            return Err(Refusal::Expected { name: first.entry.name.clone(), found });
        }
        let mut names = BTreeSet::new();
        for server in servers {
            check(server)?;
            if !names.insert(server.entry.name.as_str()) {
                return Err(Refusal::Invalid(format!("{}: named twice", server.entry.name)));
            }
        }
        let new = names.iter().filter(|n| !self.entries.contains_key(**n)).count();
        if new > 0 && self.entries.len() + new > most {
            return Err(Refusal::Full);
        }
        let next = self.version.index + 1;
        let mut changed = Vec::new();
        for server in servers {
            let mut entry = Entry {
                status: Status::Active,
                status_reason: StatusReason::Registered,
                ..server.entry.clone()
            };
            let before = self.entries.get(&entry.name);
            // A server that says again that it is there does not undo its operators' drain; a new process does.
            if let Some(b) = before
                && (b.entry.status_reason, b.entry.started_ms) == (StatusReason::Drained, entry.started_ms)
            {
                (entry.status, entry.status_reason) = (b.entry.status, b.entry.status_reason);
            }
            if before.is_none_or(|b| b.entry != entry || b.lease_ms != server.lease_ms) {
                changed.push(Kept { entry, changed: next, registered: next, lease_ms: server.lease_ms });
            }
        }
        self.change(changed, at_ms);
        Ok(())
    }

    /// What a lease that ran out makes of its entry; nothing where it was registered again meanwhile.
    fn expired(&self, due: &Due) -> Option<Kept> {
        let kept = self.entries.get(&due.name).filter(|k| k.registered == due.registered)?;
        let status = if due.left { Status::Removed } else { Status::Draining };
        // One that was drained by name leaves by that name.
        let why = if kept.entry.status_reason == StatusReason::Drained {
            StatusReason::Drained
        } else {
            StatusReason::Expired
        };
        let entry = Entry { status, status_reason: why, ..kept.entry.clone() };
        (entry != kept.entry).then_some(Kept { entry, ..kept.clone() })
    }

    /// Makes these entries what they are from now on.
    fn change(&mut self, changed: Vec<Kept>, at_ms: u64) {
        if changed.is_empty() {
            return;
        }
        self.version.index += 1;
        let index = self.version.index;
        for mut kept in changed {
            kept.changed = index;
            let (name, entry) = (kept.entry.name.clone(), kept.entry.clone());
            let before = self.entries.remove(&name);
            if let Some(before) = &before {
                self.changes.remove(&(before.changed, name.clone()));
            }
            let text = serde_json::to_string(&kept).unwrap_or_default();
            self.note_digest(&text);
            self.services.change(index, before.as_ref(), &kept, &text);
            self.history.push_back(Change {
                index,
                at_ms,
                name: name.clone(),
                status: entry.status,
                why: entry.status_reason,
            });
            if entry.status == Status::Removed {
                self.left.entry(index).or_default().push(entry);
                self.left_count += 1;
            } else {
                self.changes.insert((index, name.clone()));
                self.entries.insert(name, kept);
            }
        }
        self.services.forget();
        while self.history.len() > MOST_HISTORY {
            self.history.pop_front();
        }
        while self.left_count > MOST_LEFT
            && let Some((index, forgotten)) = self.left.pop_first()
        {
            self.left_count -= forgotten.len();
            self.floor = index;
        }
    }

    fn note_digest(&mut self, text: &str) {
        self.digest = chain(self.digest, self.version.index, text);
    }
}

/// FNV-1a, on from what a digest was.
pub(super) fn chain(digest: u64, number: u64, text: &str) -> u64 {
    let bytes = number.to_le_bytes();
    let all = bytes.iter().copied().chain(text.bytes());
    let basis = digest ^ 0xcbf2_9ce4_8422_2325;
    all.fold(basis, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

/// Whether a server can be registered; the text names what is wrong.
pub fn check(server: &Registration) -> Result<(), Refusal> {
    let wrong = |what: String| Err(Refusal::Invalid(what));
    let Registration { entry, lease_ms } = server;
    let plain = |word: &str| word.bytes().all(|b| b.is_ascii_alphanumeric() || b"._:-".contains(&b));
    if entry.name.is_empty() || entry.name.len() > LONGEST_NAME || !plain(&entry.name) {
        let shown: String = entry.name.chars().take(40).collect();
        return wrong(format!(
            "name {shown:?}: must be 1 to {LONGEST_NAME} letters, digits or one of . _ : -"
        ));
    }
    let words = [
        ("service", &entry.service),
        ("zone", &entry.zone),
        ("region", &entry.region),
        ("type", &entry.machine_type),
    ];
    for (key, word) in words {
        if word.as_ref().is_some_and(|w| w.is_empty() || w.len() > LONGEST_WORD || !plain(w)) {
            return wrong(format!(
                "{}: {key} must be 1 to {LONGEST_WORD} letters, digits or one of . _ : -",
                entry.name
            ));
        }
    }
    if !(entry.weight > 0.0 && entry.weight <= 1e6) {
        return wrong(format!("{}: weight must be above 0 and up to 1000000", entry.name));
    }
    if entry.started_ms < 0 || entry.started_ms >> 53 != 0 || entry.cell >> 53 != 0 {
        return wrong(format!("{}: since_ms and group must be 0 or more, and below 2^53", entry.name));
    }
    if *lease_ms != 0 && !LEASES_MS.contains(lease_ms) {
        return wrong(format!("{}: lease_ms must be 0, or 500 to 3600000", entry.name));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use lotusmoor_registry_client::EndpointList;
    use proptest::prelude::*;

    fn entry(name: &str, since_ms: i64) -> Entry {
        let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80","since_ms":{since_ms}}}"#);
        serde_json::from_str(&text).expect("it is read")
    }

    fn put(name: &str, since_ms: i64) -> Command {
        let servers = vec![Registration { entry: entry(name, since_ms), lease_ms: 5000 }];
        Command::Put { servers, expect: None, at_ms: 0 }
    }

    fn founded() -> List {
        let mut list = List::default();
        assert_eq!(list.apply(&put("a", 0)), Outcome::Refused(Refusal::Epoch(0)));
        assert!(matches!(list.apply(&Command::Found { epoch: 100, from: None }), Outcome::Done { .. }));
        list
    }

    fn drain(name: &str, expect: Option<u64>) -> Command {
        Command::Drain { name: name.into(), expect, at_ms: 0 }
    }

    fn remove(name: &str) -> Command {
        Command::Remove { name: name.into(), expect: None, at_ms: 0 }
    }

    #[test]
    fn what_changes_nothing_keeps_the_version_and_what_does_raises_it_by_one() {
        let mut list = founded();
        let first = list.version().index;
        assert_eq!(first, 100 << EPOCH_SHIFT);
        list.apply(&put("a", 1));
        list.apply(&put("a", 1));
        assert_eq!(list.version().index, first + 1);
        list.apply(&drain("a", None));
        list.apply(&drain("a", None));
        assert_eq!(list.version().index, first + 2);
        assert_eq!(list.apply(&drain("b", None)), Outcome::Refused(Refusal::Unknown("b".into())));
    }

    #[test]
    fn compare_and_set_is_refused_with_what_was_found() {
        let mut list = founded();
        list.apply(&put("a", 1));
        let changed = list.entries()["a"].changed;
        let refused = Outcome::Refused(Refusal::Expected { name: "a".into(), found: changed });
        assert_eq!(list.apply(&drain("a", Some(changed - 1))), refused);
        let Command::Put { servers, .. } = put("a", 2) else { unreachable!() };
        let only_new = Command::Put { servers, expect: Some(0), at_ms: 0 };
        assert_eq!(list.apply(&only_new), refused);
        assert!(matches!(list.apply(&drain("a", Some(changed))), Outcome::Done { changed: true, .. }));
    }

    #[test]
    fn a_drain_outlives_registrations_of_the_same_process_and_not_a_new_one() {
        let mut list = founded();
        list.apply(&put("a", 5));
        list.apply(&drain("a", None));
        list.apply(&put("a", 5));
        assert_eq!(list.entries()["a"].entry.status, Status::Draining);
        list.apply(&put("a", 6));
        assert_eq!(list.entries()["a"].entry.status, Status::Active);
    }

    #[test]
    fn register_and_expiry_race_and_a_lease_of_an_earlier_registration_takes_nothing() {
        let mut list = founded();
        list.apply(&put("a", 5));
        let registered = list.entries()["a"].registered;
        let expire = |registered, left| Command::Expire {
            due: vec![Due { name: "a".into(), registered, left }],
            at_ms: 0,
        };
        list.apply(&put("a", 6));
        let before = list.clone();
        assert!(matches!(list.apply(&expire(registered, false)), Outcome::Done { changed: false, .. }));
        assert_eq!(list, before);
        let registered = list.entries()["a"].registered;
        list.apply(&expire(registered, false));
        assert_eq!(
            (list.entries()["a"].entry.status, list.entries()["a"].entry.status_reason),
            (Status::Draining, StatusReason::Expired)
        );
        // It is heard of again before it is gone.
        list.apply(&put("a", 6));
        assert_eq!(list.entries()["a"].entry.status, Status::Active);
    }

    #[test]
    fn a_batch_with_one_wrong_server_changes_nothing() {
        let mut list = founded();
        let good = Registration { entry: entry("a", 0), lease_ms: 5000 };
        let bad = |change: fn(&mut Registration)| {
            let mut server = Registration { entry: entry("b", 0), lease_ms: 5000 };
            change(&mut server);
            server
        };
        let wrong: [fn(&mut Registration); 7] = [
            |s| s.entry.name = "x".repeat(129),
            |s| s.entry.name = "a b".into(),
            |s| s.entry.name = String::new(),
            |s| s.entry.weight = f64::NAN,
            |s| s.entry.zone = Some("z".repeat(65)),
            |s| s.lease_ms = 10,
            |s| s.entry.name = "a".into(),
        ];
        for change in wrong {
            let servers = vec![good.clone(), bad(change)];
            let before = list.clone();
            let outcome = list.apply(&Command::Put { servers, expect: None, at_ms: 0 });
            assert!(matches!(outcome, Outcome::Refused(Refusal::Invalid(_))), "{outcome:?}");
            assert_eq!(list, before);
        }
        let many =
            (0..=MOST_ENTRIES).map(|i| Registration { entry: entry(&format!("s{i}"), 0), lease_ms: 0 });
        let all = Command::Put { servers: many.collect(), expect: None, at_ms: 0 };
        assert_eq!(list.apply(&all), Outcome::Refused(Refusal::Full));
        // In neither form.
        let Command::Put { mut servers, .. } = all else { unreachable!() };
        servers[0].entry.service = Some("a".into());
        let all = Command::Put { servers, expect: None, at_ms: 0 }.in_form();
        assert_eq!(list.apply(&all), Outcome::Refused(Refusal::Full));
        assert!(list.entries().is_empty());
    }

    #[test]
    fn an_epoch_only_goes_forward_and_so_does_the_index() {
        let mut list = founded();
        list.apply(&put("a", 0));
        let before = list.version();
        assert_eq!(
            list.apply(&Command::Found { epoch: 100, from: None }),
            Outcome::Refused(Refusal::Epoch(100))
        );
        list.apply(&Command::Found { epoch: 101, from: None });
        assert!(list.version() > before && list.version().index > before.index);
        // A reader of the epoch before gets the whole list.
        assert!(list.update(Some(before.index)).snapshot);
    }

    #[test]
    fn a_list_of_an_old_backup_begins_an_epoch_that_all_readers_follow() {
        let mut list = founded();
        list.apply(&put("a", 0));
        let backup = list.clone();
        list.apply(&put("b", 0));
        list.apply(&remove("a"));
        let reader = EndpointList::default().updated(&list.update(None), None).expect("the whole");
        let mut restored = List::default();
        let from = Some(Box::new(backup.clone()));
        assert_eq!(
            restored.apply(&Command::Found { epoch: 100, from: from.clone() }),
            Outcome::Refused(Refusal::Epoch(100))
        );
        restored.apply(&Command::Found { epoch: 200, from });
        assert_eq!(restored.entries().keys().collect::<Vec<_>>(), ["a"]);
        let update = restored.update(Some(reader.version.index));
        assert!(
            update.snapshot && update.version > reader.version && update.version.index > reader.version.index
        );
    }

    #[test]
    fn a_reader_ahead_of_the_list_or_too_far_behind_gets_the_whole() {
        let mut list = founded();
        let first = list.version().index;
        for i in 0..MOST_LEFT + 10 {
            let name = format!("s{i}");
            list.apply(&put(&name, 0));
            list.apply(&remove(&name));
        }
        assert!(list.left_count <= MOST_LEFT && list.history.len() <= MOST_HISTORY);
        assert!(list.update(Some(first)).snapshot);
        assert!(list.update(Some(list.version().index + 1)).snapshot);
        let update = list.update(Some(list.version().index - 1));
        assert!(!update.snapshot && update.endpoints.len() == 1);
    }

    fn commands() -> impl Strategy<Value = Vec<Command>> {
        let name = (0..6u8).prop_map(|i| format!("s{i}"));
        let one = (name, 0..6u8, 0..3i64, any::<bool>()).prop_map(|(name, what, since, left)| match what {
            0 | 1 => put(&name, since),
            2 => drain(&name, None),
            3 => remove(&name),
            4 => Command::Resume { name, expect: None, at_ms: 0 },
            _ => Command::Expire {
                due: vec![Due { name, registered: (100 << EPOCH_SHIFT) + 1, left }],
                at_ms: 0,
            },
        });
        prop::collection::vec(one, 0..60)
    }

    proptest! {
        // Changes after any version bring a reader of that version to the very list that the whole would.
        #[test]
        fn changes_and_the_whole_list_agree(commands in commands(), at in 0usize..60) {
            let mut list = founded();
            let mut reader = EndpointList::default();
            for (i, command) in commands.iter().enumerate() {
                if i == at {
                    reader = reader.updated(&list.update(None), None).expect("the whole");
                }
                list.apply(command);
            }
            let after = (reader.version.epoch > 0).then_some(reader.version.index);
            let changes = list.update(after);
            let known = reader.updated(&changes, Some(reader.version)).expect("they fit");
            let whole = EndpointList::default().updated(&list.update(None), None).expect("the whole");
            prop_assert_eq!(known, whole);
        }

        // A snapshot holds all of it.
        #[test]
        fn a_snapshot_is_read_as_it_was(commands in commands()) {
            let mut list = founded();
            commands.iter().for_each(|c| drop(list.apply(c)));
            let text = serde_json::to_string(&list).expect("it is written");
            let read: List = serde_json::from_str(&text).expect("it is read");
            prop_assert_eq!(read, list);
        }
    }
}
