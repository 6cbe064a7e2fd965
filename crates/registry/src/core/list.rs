//! The endpoint list: a deterministic state machine that the replicated log drives.
//!
//! A command that changes the list raises its index by one; any other command leaves the version as it is. Replicas
//! that have applied the same commands have equal lists and digests.

mod snapshot;
mod updates;

use super::digest;
use super::record::{Change, EndpointRecord};
use super::service_index::ServiceIndex;
use lotusmoor_registry_client::{Entry, Status, Version};
use serde::{Deserialize, Serialize};
use snapshot::Snapshot;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An epoch's first index is the epoch, a Unix time in seconds, shifted left by this many bits. Indexes therefore keep
/// growing across epochs as long as a list changes less than a million times a second between two bootstraps.
pub const EPOCH_SHIFT: u32 = 20;
/// Maximum number of tombstones of removed endpoints that are retained for incremental updates.
const MAX_TOMBSTONES: usize = 4096;
/// Maximum number of changes that are retained for operators.
const MAX_HISTORY: usize = 1000;

/// The list of all endpoints.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(from = "Snapshot", into = "Snapshot")]
pub struct List {
    version: Version,
    digest: u64,
    entries: BTreeMap<String, EndpointRecord>,
    /// Removed endpoints by the index of their removal.
    tombstones: BTreeMap<u64, Vec<Entry>>,
    tombstone_count: usize,
    /// Incremental updates are possible from this index on; older tombstones are dropped.
    update_floor: u64,
    /// Endpoints by the index of their last change.
    changes: BTreeSet<(u64, String)>,
    services: ServiceIndex,
    history: VecDeque<Change>,
}

impl List {
    /// The current version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// A digest of the list's history: equal histories have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All endpoints by name.
    pub fn entries(&self) -> &BTreeMap<String, EndpointRecord> {
        &self.entries
    }

    /// Changes after an index, oldest first.
    pub fn history(&self, after: u64) -> impl Iterator<Item = &Change> {
        self.history.iter().filter(move |change| change.index > after)
    }

    /// The number of endpoints that accept requests.
    pub fn active(&self) -> usize {
        self.entries.values().filter(|record| record.entry.status == Status::Active).count()
    }

    /// Whether the list has endpoints with services, or state of services that no endpoint has any more.
    pub fn has_services(&self) -> bool {
        !self.services.is_empty()
    }

    /// The first index of the current epoch.
    fn epoch_start(&self) -> u64 {
        self.version.epoch << EPOCH_SHIFT
    }

    /// Starts an epoch. Its readers start from full lists, so earlier tombstones are dropped.
    pub(super) fn start_epoch(&mut self, version: Version) {
        self.version = version;
        self.update_floor = version.index;
        self.tombstone_count = 0;
        self.tombstones.clear();
        self.extend_digest(digest::BOOTSTRAP_TEXT);
        self.services.start_epoch(version.index);
    }

    /// Replaces records as one new version; a record with status `Removed` becomes a tombstone.
    pub(super) fn commit(&mut self, changed: Vec<EndpointRecord>, at_ms: u64) {
        if changed.is_empty() {
            return;
        }
        self.version.index += 1;
        for record in changed {
            self.replace(record, at_ms);
        }
        self.services.drop_excess();
        self.drop_excess();
    }

    fn replace(&mut self, mut record: EndpointRecord, at_ms: u64) {
        let index = self.version.index;
        record.changed_index = index;
        let entry = record.entry.clone();
        let name = entry.name.clone();
        let previous = self.entries.remove(&name);
        if let Some(previous) = &previous {
            self.changes.remove(&(previous.changed_index, name.clone()));
        }
        let text = serde_json::to_string(&record).unwrap_or_default();
        self.extend_digest(&text);
        self.services.record_change(index, previous.as_ref(), &record, &text);
        self.history.push_back(Change {
            index,
            at_ms,
            name: name.clone(),
            status: entry.status,
            reason: entry.status_reason,
        });
        if entry.status == Status::Removed {
            self.tombstones.entry(index).or_default().push(entry);
            self.tombstone_count += 1;
        } else {
            self.changes.insert((index, name.clone()));
            self.entries.insert(name, record);
        }
    }

    /// Drops the oldest history and tombstones beyond their limits.
    fn drop_excess(&mut self) {
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        while self.tombstone_count > MAX_TOMBSTONES
            && let Some((index, dropped)) = self.tombstones.pop_first()
        {
            self.tombstone_count -= dropped.len();
            self.update_floor = index;
        }
    }

    fn extend_digest(&mut self, text: &str) {
        self.digest = digest::extend(self.digest, self.version.index, text);
    }
}

#[cfg(test)]
mod tests;
