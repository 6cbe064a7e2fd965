//! Queries of the index, for updates to readers of some services.

use super::{ServiceIndex, ServiceState};
use crate::core::digest;
use lotusmoor_registry_client::Entry;
use std::collections::BTreeMap;

impl ServiceIndex {
    /// The latest index at which a service that is not in the index, or no longer, may have changed.
    pub(in crate::core) fn dropped_index(&self) -> u64 {
        self.dropped_index
    }

    /// Services that changed after an index.
    pub(in crate::core) fn changed_after(&self, index: u64) -> impl Iterator<Item = &str> {
        self.changes.range((index + 1, String::new())..).map(|(_, service)| service.as_str())
    }

    /// The index of the last change of any of these services.
    pub(in crate::core) fn changed_index(&self, services: &[String]) -> u64 {
        self.max_of(services, |state| state.changed_index)
    }

    /// The index from which on readers of these services can be updated incrementally.
    pub(in crate::core) fn update_floor(&self, services: &[String]) -> u64 {
        self.max_of(services, |state| state.update_floor)
    }

    /// The largest value among these services, with `dropped_index` as the value of one that is not in the index.
    fn max_of(&self, services: &[String], value: impl Fn(&ServiceState) -> u64) -> u64 {
        let values = services.iter().map(|s| self.services.get(s).map_or(self.dropped_index, &value));
        values.max().unwrap_or(0)
    }

    /// A digest of the history of these services. One that is not in the index counts as 0.
    pub(in crate::core) fn digest(&self, services: &[String]) -> u64 {
        services.iter().fold(0, |combined, service| {
            let digest = self.services.get(service).map_or(0, |state| state.digest);
            digest::extend(combined, digest, service)
        })
    }

    /// The lowest index from which the update for these services is the same as from `after`.
    pub(in crate::core) fn equivalent_index(&self, after: u64, services: &[String]) -> u64 {
        let states = services.iter().filter_map(|service| self.services.get(service));
        let last_changes = states.filter_map(|state| state.last_change_up_to(after));
        last_changes.max().unwrap_or(0).max(self.update_floor(services))
    }

    /// Names of a service's endpoints that changed after an index.
    pub(in crate::core) fn endpoints_after(&self, service: &str, after: u64) -> impl Iterator<Item = &str> {
        let states = self.services.get(service).into_iter();
        let endpoints = states.flat_map(move |state| state.endpoints.range((after + 1, String::new())..));
        endpoints.map(|(_, name)| name.as_str())
    }

    /// Tombstones of these services after an index: the last one of each endpoint, by name.
    pub(in crate::core) fn tombstones_after(
        &self,
        services: &[String],
        after: u64,
    ) -> impl Iterator<Item = &Entry> {
        let mut last: BTreeMap<&str, (u64, &Entry)> = BTreeMap::new();
        let states = services.iter().filter_map(|service| self.services.get(service));
        let groups = states.flat_map(|state| state.tombstones.range(after + 1..));
        for (index, entry) in groups.flat_map(|(index, group)| group.iter().map(|entry| (*index, entry))) {
            let known = last.entry(&entry.name).or_insert((index, entry));
            if index > known.0 {
                *known = (index, entry);
            }
        }
        last.into_values().map(|(_, entry)| entry)
    }
}

impl ServiceState {
    /// The index of the last change of the service's endpoints up to an index; `None` if no such change is retained.
    fn last_change_up_to(&self, index: u64) -> Option<u64> {
        let endpoint = self.endpoints.range(..(index + 1, String::new())).next_back();
        let tombstone = self.tombstones.range(..=index).next_back();
        endpoint
            .map(|(changed_index, _)| *changed_index)
            .max(tombstone.map(|(removed_index, _)| *removed_index))
    }
}
