//! The serialized form of the list, as in snapshots and backups.

use super::{EPOCH_SHIFT, List};
use crate::core::record::{Change, EndpointRecord};
use crate::core::service_index::{ServiceIndex, ServiceSnapshot};
use lotusmoor_registry_client::{Entry, Version};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The list without the fields that can be derived from others.
#[derive(Clone, Deserialize, Serialize)]
pub(super) struct Snapshot {
    version: Version,
    digest: u64,
    entries: Vec<EndpointRecord>,
    #[serde(rename = "left")]
    tombstones: Vec<(u64, Vec<Entry>)>,
    #[serde(rename = "floor")]
    update_floor: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    services: Vec<ServiceSnapshot>,
    /// Absent if no service's state was dropped in this epoch.
    #[serde(default, rename = "services_forgotten", skip_serializing_if = "Option::is_none")]
    services_dropped_index: Option<u64>,
    history: VecDeque<Change>,
}

impl From<Snapshot> for List {
    fn from(snapshot: Snapshot) -> Self {
        let epoch_start = snapshot.version.epoch << EPOCH_SHIFT;
        let dropped_index = snapshot.services_dropped_index.unwrap_or(epoch_start);
        let records = snapshot.entries;
        Self {
            services: ServiceIndex::from_snapshot(snapshot.services, dropped_index, records.iter()),
            version: snapshot.version,
            digest: snapshot.digest,
            changes: records.iter().map(|r| (r.changed_index, r.entry.name.clone())).collect(),
            entries: records.into_iter().map(|r| (r.entry.name.clone(), r)).collect(),
            tombstone_count: snapshot.tombstones.iter().map(|(_, removed)| removed.len()).sum(),
            tombstones: snapshot.tombstones.into_iter().collect(),
            update_floor: snapshot.update_floor,
            history: snapshot.history,
        }
    }
}

impl From<List> for Snapshot {
    fn from(list: List) -> Self {
        let epoch_start = list.epoch_start();
        let (services, dropped_index) = list.services.into_snapshot();
        Self {
            services,
            services_dropped_index: Some(dropped_index).filter(|index| *index != epoch_start),
            version: list.version,
            digest: list.digest,
            entries: list.entries.into_values().collect(),
            tombstones: list.tombstones.into_iter().collect(),
            update_floor: list.update_floor,
            history: list.history,
        }
    }
}
