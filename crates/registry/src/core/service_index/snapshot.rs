//! The serialized form of the index, as part of the list's snapshots.

use super::{ServiceIndex, ServiceState};
use crate::core::record::EndpointRecord;
use lotusmoor_registry_client::Entry;
use serde::{Deserialize, Serialize};

/// A service in a snapshot. Its endpoints are derived from the list's records.
#[derive(Clone, Deserialize, Serialize)]
pub(in crate::core) struct ServiceSnapshot {
    name: String,
    #[serde(rename = "changed")]
    changed_index: u64,
    digest: u64,
    #[serde(rename = "floor")]
    update_floor: u64,
    #[serde(rename = "left")]
    tombstones: Vec<(u64, Vec<Entry>)>,
}

impl ServiceIndex {
    /// Rebuilds the index from a snapshot and the list's records.
    pub(in crate::core) fn from_snapshot<'a>(
        services: Vec<ServiceSnapshot>,
        dropped_index: u64,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) -> Self {
        let mut index = Self { dropped_index, ..Self::default() };
        for service in services {
            index.insert_service(service);
        }
        for record in records {
            let service = record.entry.service.as_ref();
            if let Some(state) = service.and_then(|s| index.services.get_mut(s)) {
                state.endpoints.insert((record.changed_index, record.entry.name.clone()));
            }
        }
        let empty = index.services.iter().filter(|(_, state)| state.endpoints.is_empty());
        index.empty = empty.map(|(name, state)| (state.changed_index, name.clone())).collect();
        index
    }

    fn insert_service(&mut self, service: ServiceSnapshot) {
        let ServiceSnapshot { name, changed_index, digest, update_floor, tombstones } = service;
        self.tombstones.extend(tombstones.iter().map(|(index, _)| (*index, name.clone())));
        self.tombstone_count += tombstones.iter().map(|(_, removed)| removed.len()).sum::<usize>();
        self.changes.insert((changed_index, name.clone()));
        let tombstones = tombstones.into_iter().collect();
        let state =
            ServiceState { changed_index, digest, update_floor, tombstones, ..ServiceState::default() };
        self.services.insert(name, state);
    }

    /// The services for a snapshot, and `dropped_index`.
    pub(in crate::core) fn into_snapshot(self) -> (Vec<ServiceSnapshot>, u64) {
        let services = self.services.into_iter().map(|(name, state)| ServiceSnapshot {
            name,
            changed_index: state.changed_index,
            digest: state.digest,
            update_floor: state.update_floor,
            tombstones: state.tombstones.into_iter().collect(),
        });
        (services.collect(), self.dropped_index)
    }
}
