//! The list by service: for each service its own last change, digest, floor, servers and tombstones, so that readers
//! of a few services are told of these alone, and of nothing that happens to others.

use super::list::{Kept, chain};
use lotusmoor_registry_client::{Entry, Status, StatusReason};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Services that one reader may ask for.
pub const MOST_ASKED: usize = 256;
/// Longest name of a service.
pub const LONGEST_SERVICE: usize = 64;
/// Tombstones of all services together.
const MOST_LEFT: usize = 4096;
/// Services without a server whose records are kept.
const MOST_EMPTY: usize = 4096;

/// The services that a reader asks for, in order of their names; the text of an error names what is wrong.
pub fn parse(text: &str) -> Result<Vec<String>, String> {
    let mut services = BTreeSet::new();
    for name in text.split(',') {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"._:-".contains(&b);
        if name.is_empty() || name.len() > LONGEST_SERVICE || !name.bytes().all(plain) {
            let shown: String = name.chars().take(40).collect();
            return Err(format!(
                "services: {shown:?} must be 1 to {LONGEST_SERVICE} letters, digits or one of . _ : -"
            ));
        }
        services.insert(name.to_owned());
        if services.len() > MOST_ASKED {
            return Err(format!("services: {MOST_ASKED} at most in a call"));
        }
    }
    Ok(services.into_iter().collect())
}

/// What is kept of a service.
#[derive(Clone, Debug, Default, PartialEq)]
struct Record {
    changed: u64,
    digest: u64,
    /// Changes after this index can be told.
    floor: u64,
    /// Its servers, by when they last changed.
    entries: BTreeSet<(u64, String)>,
    /// Servers that left it, by the index at which they did.
    left: BTreeMap<u64, Vec<Entry>>,
}

/// The records of all services. The list itself is not in here: where an entry is told, it is taken from the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Services {
    records: BTreeMap<String, Record>,
    /// Services by when they last changed.
    changes: BTreeSet<(u64, String)>,
    /// Of these, the ones without a server.
    empty: BTreeSet<(u64, String)>,
    /// Which services have tombstones, by their indexes.
    left: BTreeSet<(u64, String)>,
    left_count: usize,
    /// When the last of the services without a record may have changed: at first when the epoch began.
    forgotten: u64,
}

/// A service in a snapshot; its servers are in the list.
#[derive(Clone, Deserialize, Serialize)]
pub(super) struct Stored {
    name: String,
    changed: u64,
    digest: u64,
    floor: u64,
    left: Vec<(u64, Vec<Entry>)>,
}

impl Services {
    /// As a snapshot has them, with the list's entries.
    pub(super) fn read<'a>(
        stored: Vec<Stored>,
        forgotten: u64,
        entries: impl Iterator<Item = &'a Kept>,
    ) -> Self {
        let mut services = Self { forgotten, ..Self::default() };
        for s in stored {
            services.left.extend(s.left.iter().map(|(index, _)| (*index, s.name.clone())));
            services.left_count += s.left.iter().map(|(_, l)| l.len()).sum::<usize>();
            services.changes.insert((s.changed, s.name.clone()));
            let left = s.left.into_iter().collect();
            let record =
                Record { changed: s.changed, digest: s.digest, floor: s.floor, left, ..Record::default() };
            services.records.insert(s.name, record);
        }
        for kept in entries {
            if let Some(record) = kept.entry.service.as_ref().and_then(|s| services.records.get_mut(s)) {
                record.entries.insert((kept.changed, kept.entry.name.clone()));
            }
        }
        let empty = services.records.iter().filter(|(_, r)| r.entries.is_empty());
        services.empty = empty.map(|(name, r)| (r.changed, name.clone())).collect();
        services
    }

    /// For a snapshot.
    pub(super) fn stored(self) -> (Vec<Stored>, u64) {
        let stored = self.records.into_iter().map(|(name, r)| Stored {
            name,
            changed: r.changed,
            digest: r.digest,
            floor: r.floor,
            left: r.left.into_iter().collect(),
        });
        (stored.collect(), self.forgotten)
    }

    /// Whether there is, or was and is remembered, any.
    pub(super) fn any(&self) -> bool {
        !self.records.is_empty()
    }

    /// An epoch begins: of what was told before nothing is known to its readers.
    pub(super) fn found(&mut self, index: u64) {
        self.records.retain(|_, r| !r.entries.is_empty());
        for record in self.records.values_mut() {
            record.left.clear();
            (record.changed, record.floor) = (index, index);
            record.digest = chain(record.digest, index, "founded");
        }
        self.changes = self.records.keys().map(|name| (index, name.clone())).collect();
        self.empty.clear();
        self.left.clear();
        (self.left_count, self.forgotten) = (0, index);
    }

    /// An entry has changed, been registered or left; `text` is what its digest takes in.
    pub(super) fn change(&mut self, index: u64, before: Option<&Kept>, now: &Kept, text: &str) {
        let old = before.and_then(|b| b.entry.service.as_ref().map(|s| (s, b)));
        let new = now.entry.service.as_ref().filter(|_| now.entry.status != Status::Removed);
        if let Some((service, before)) = old {
            let record = self.touch(service, index, text);
            record.entries.remove(&(before.changed, before.entry.name.clone()));
            if new != Some(service) {
                let gone = match now.entry.status {
                    Status::Removed => now.entry.clone(),
                    // Handed over, by name: nobody doubts it.
                    _ => Entry {
                        status: Status::Removed,
                        status_reason: StatusReason::Removed,
                        ..before.entry.clone()
                    },
                };
                record.left.entry(index).or_default().push(gone);
                self.left.insert((index, service.clone()));
                self.left_count += 1;
            }
        }
        if let Some(service) = new {
            let touched = old.is_some_and(|(s, _)| s == service);
            if !touched {
                self.touch(service, index, text);
            }
            if let Some(record) = self.records.get_mut(service) {
                record.entries.insert((index, now.entry.name.clone()));
            }
        }
        for service in [old.map(|(s, _)| s), new].into_iter().flatten() {
            let empty = self.records.get(service).is_some_and(|r| r.entries.is_empty());
            let place = (index, service.clone());
            if empty {
                self.empty.insert(place)
            } else {
                self.empty.remove(&place)
            };
        }
    }

    /// A change at that index touches a service.
    fn touch(&mut self, service: &str, index: u64, text: &str) -> &mut Record {
        let floor = self.forgotten;
        let record =
            self.records.entry(service.to_owned()).or_insert_with(|| Record { floor, ..Record::default() });
        let before = (record.changed, service.to_owned());
        self.changes.remove(&before);
        self.empty.remove(&before);
        self.changes.insert((index, service.to_owned()));
        record.changed = index;
        record.digest = chain(record.digest, index, text);
        record
    }

    /// Forgets what is beyond the bounds, the oldest first.
    pub(super) fn forget(&mut self) {
        while self.left_count > MOST_LEFT
            && let Some((index, service)) = self.left.pop_first()
        {
            if let Some(record) = self.records.get_mut(&service) {
                self.left_count -= record.left.remove(&index).map_or(0, |l| l.len());
                record.floor = record.floor.max(index);
            }
        }
        while self.empty.len() > MOST_EMPTY
            && let Some((changed, service)) = self.empty.pop_first()
        {
            self.changes.remove(&(changed, service.clone()));
            if let Some(record) = self.records.remove(&service) {
                for (index, left) in record.left {
                    self.left_count -= left.len();
                    self.left.remove(&(index, service.clone()));
                }
            }
            self.forgotten = self.forgotten.max(changed);
        }
    }

    /// When the last of the services without a record may have changed.
    pub(super) fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Services that changed after that index.
    pub(super) fn changed_after(&self, index: u64) -> impl Iterator<Item = &str> {
        self.changes.range((index + 1, String::new())..).map(|(_, service)| service.as_str())
    }

    /// The last change of any of these services.
    pub(super) fn changed(&self, services: &[String]) -> u64 {
        let changed = |s| self.records.get(s).map_or(self.forgotten, |r| r.changed);
        services.iter().map(changed).max().unwrap_or(0)
    }

    /// Changes of these services after this index can be told.
    pub(super) fn floor(&self, services: &[String]) -> u64 {
        let floor = |s| self.records.get(s).map_or(self.forgotten, |r| r.floor);
        services.iter().map(floor).max().unwrap_or(0)
    }

    /// Equal for equal histories of these services. One that never was counts as 0.
    pub(super) fn digest(&self, services: &[String]) -> u64 {
        let digest = |s| self.records.get(s).map_or(0, |r| r.digest);
        services.iter().fold(0, |h, s| chain(h, digest(s), s))
    }

    /// The lowest index whose readers lack the same of these services as those of `after`.
    pub(super) fn alike(&self, after: u64, services: &[String]) -> u64 {
        let last = |s| {
            let record: &Record = self.records.get(s)?;
            let entry = record.entries.range(..(after + 1, String::new())).next_back().map(|(i, _)| *i);
            entry.max(record.left.range(..=after).next_back().map(|(i, _)| *i))
        };
        services.iter().filter_map(last).max().unwrap_or(0).max(self.floor(services))
    }

    /// Names of a service's servers that changed after that index.
    pub(super) fn entries_after(&self, service: &str, after: u64) -> impl Iterator<Item = &str> {
        let record = self.records.get(service);
        record
            .into_iter()
            .flat_map(move |r| r.entries.range((after + 1, String::new())..))
            .map(|e| e.1.as_str())
    }

    /// Tombstones of these services after that index: of each name the last.
    pub(super) fn left_after(&self, services: &[String], after: u64) -> impl Iterator<Item = &Entry> {
        let mut last: BTreeMap<&str, (u64, &Entry)> = BTreeMap::new();
        for record in services.iter().filter_map(|s| self.records.get(s)) {
            for (index, entry) in record.left.range(after + 1..).flat_map(|(i, l)| l.iter().map(|e| (*i, e)))
            {
                let known = last.entry(&entry.name).or_insert((index, entry));
                if index > known.0 {
                    *known = (index, entry);
                }
            }
        }
        last.into_values().map(|(_, entry)| entry)
    }
}

#[cfg(test)]
mod tests;
