//! What readers of the list get: the full list, or what changed since the version they have.

use super::List;
use crate::core::record::EndpointRecord;
use lotusmoor_registry_client::{Entry, ListUpdate};
use std::ops::RangeInclusive;

impl List {
    /// Records that changed after an index, and the names of endpoints that were removed since.
    pub fn changed_after(
        &self,
        index: u64,
    ) -> (impl Iterator<Item = &EndpointRecord>, impl Iterator<Item = &str>) {
        let removed = self.removed_after(index).map(|entry| entry.name.as_str());
        (self.records_changed_after(index), removed)
    }

    /// The update for a reader that has the list as of `after`. The reader gets a full snapshot if it has no list, is
    /// too far behind, or has a version that is not of this epoch. The caller fills in age and waiting time.
    pub fn update(&self, after: Option<u64>) -> ListUpdate {
        let known_range = self.update_floor.max(self.epoch_start())..=self.version.index;
        let mut update = ListUpdate { version: self.version, digest: self.digest, ..ListUpdate::default() };
        match after.filter(|index| known_range.contains(index)) {
            Some(after) => {
                update.endpoints = self.records_changed_after(after).map(|r| r.entry.clone()).collect();
                update.endpoints.extend(self.removed_after(after).cloned());
            }
            None => {
                update.snapshot = true;
                update.endpoints = self.entries.values().map(|record| record.entry.clone()).collect();
            }
        }
        update
    }

    /// Like [`List::update`] for a reader of some services, which are sorted by name. An endpoint that moved out of all
    /// of these services is reported by a tombstone.
    pub fn update_for_services(&self, after: Option<u64>, services: &[String]) -> ListUpdate {
        let mut update = ListUpdate {
            version: self.version,
            digest: self.services.digest(services),
            services: Some(services.to_vec()),
            ..ListUpdate::default()
        };
        let known = after.filter(|index| self.known_range(services).contains(index));
        update.snapshot = known.is_none();
        let names = services.iter().flat_map(|s| self.services.endpoints_after(s, known.unwrap_or(0)));
        update.endpoints = names.map(|name| self.entries[name].entry.clone()).collect();
        if let Some(after) = known {
            let removed = self.services.tombstones_after(services, after);
            let removed = removed.filter(|entry| !self.is_in_services(&entry.name, services));
            update.endpoints.extend(removed.cloned());
        }
        update
    }

    /// The lowest index whose readers get the same update for these services as readers of `after`; `None` for a
    /// full snapshot. It lets callers share rendered updates.
    pub fn equivalent_index(&self, after: Option<u64>, services: &[String]) -> Option<u64> {
        let after = after.filter(|index| self.known_range(services).contains(index))?;
        Some(self.services.equivalent_index(after, services).max(self.epoch_start()))
    }

    /// The index at which any of these services last changed.
    pub fn services_changed_index(&self, services: &[String]) -> u64 {
        self.services.changed_index(services).max(self.epoch_start())
    }

    /// A digest of the history of these services: equal histories have equal digests.
    pub fn services_digest(&self, services: &[String]) -> u64 {
        self.services.digest(services)
    }

    /// Services that changed after an index, except those whose state was dropped.
    pub fn services_changed_after(&self, index: u64) -> impl Iterator<Item = &str> {
        self.services.changed_after(index)
    }

    /// The latest index at which a service whose state was dropped may have changed.
    pub fn services_dropped_index(&self) -> u64 {
        self.services.dropped_index()
    }

    fn records_changed_after(&self, index: u64) -> impl Iterator<Item = &EndpointRecord> {
        let changed = self.changes.range((index + 1, String::new())..);
        changed.map(|(_, name)| &self.entries[name])
    }

    /// Tombstones after an index, except of endpoints that were registered again.
    fn removed_after(&self, index: u64) -> impl Iterator<Item = &Entry> {
        let tombstones = self.tombstones.range(index + 1..).flat_map(|(_, removed)| removed);
        tombstones.filter(|entry| !self.entries.contains_key(&entry.name))
    }

    /// Indexes from which readers of these services can be updated incrementally.
    fn known_range(&self, services: &[String]) -> RangeInclusive<u64> {
        self.services.update_floor(services).max(self.epoch_start())..=self.version.index
    }

    fn is_in_services(&self, name: &str, services: &[String]) -> bool {
        let record = self.entries.get(name);
        let service = record.and_then(|record| record.entry.service.as_ref());
        service.is_some_and(|service| services.binary_search(service).is_ok())
    }
}
