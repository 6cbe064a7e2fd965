//! An index of the list by service. Each service has its own change index, digest and tombstones, so that readers of
//! some services get only changes of these.

mod queries;
mod snapshot;

use super::digest;
use super::record::EndpointRecord;
use lotusmoor_registry_client::{Entry, Status, StatusReason};
pub(super) use snapshot::ServiceSnapshot;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of tombstones that are retained, of all services together.
const MAX_TOMBSTONES: usize = 4096;
/// Maximum number of services without endpoints whose state is retained.
const MAX_EMPTY_SERVICES: usize = 4096;

/// The state of one service.
#[derive(Clone, Debug, Default, PartialEq)]
struct ServiceState {
    changed_index: u64,
    digest: u64,
    /// Incremental updates are possible from this index on.
    update_floor: u64,
    /// The service's endpoints by the index of their last change.
    endpoints: BTreeSet<(u64, String)>,
    /// Endpoints that left the service, by the index at which they did.
    tombstones: BTreeMap<u64, Vec<Entry>>,
}

/// The state of all services. Endpoints are referred to by name; their records are in the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ServiceIndex {
    services: BTreeMap<String, ServiceState>,
    /// Services by the index of their last change.
    changes: BTreeSet<(u64, String)>,
    /// The entries of `changes` whose service has no endpoints.
    empty: BTreeSet<(u64, String)>,
    /// Services with tombstones, by the tombstones' indexes.
    tombstones: BTreeSet<(u64, String)>,
    tombstone_count: usize,
    /// The latest index at which a service may have changed that is not in `services`, as it never had endpoints or its
    /// state was dropped: initially the start of the epoch.
    dropped_index: u64,
}

impl ServiceIndex {
    /// Whether there is no state of any service, not even of one without endpoints.
    pub(super) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Starts an epoch at an index. Its readers start from snapshots, so tombstones are dropped.
    pub(super) fn start_epoch(&mut self, index: u64) {
        self.services.retain(|_, state| !state.endpoints.is_empty());
        for state in self.services.values_mut() {
            state.tombstones.clear();
            state.changed_index = index;
            state.update_floor = index;
            state.digest = digest::extend(state.digest, index, digest::BOOTSTRAP_TEXT);
        }
        self.changes = self.services.keys().map(|name| (index, name.clone())).collect();
        self.empty.clear();
        self.tombstones.clear();
        self.tombstone_count = 0;
        self.dropped_index = index;
    }

    /// Records that an endpoint was registered, changed or removed; `text` extends the digests.
    pub(super) fn record_change(
        &mut self,
        index: u64,
        previous: Option<&EndpointRecord>,
        current: &EndpointRecord,
        text: &str,
    ) {
        let old_service = previous.and_then(|record| record.entry.service.as_ref());
        let is_removed = current.entry.status == Status::Removed;
        let new_service = current.entry.service.as_ref().filter(|_| !is_removed);
        if let (Some(service), Some(previous)) = (old_service, previous) {
            let state = self.mark_changed(service, index, text);
            state.endpoints.remove(&(previous.changed_index, previous.entry.name.clone()));
            if new_service != Some(service) {
                self.add_tombstone(service, index, previous, current);
            }
        }
        if let Some(service) = new_service {
            if old_service != new_service {
                self.mark_changed(service, index, text);
            }
            if let Some(state) = self.services.get_mut(service) {
                state.endpoints.insert((index, current.entry.name.clone()));
            }
        }
        for service in [old_service, new_service].into_iter().flatten() {
            self.update_empty(service, index);
        }
    }

    fn add_tombstone(
        &mut self,
        service: &str,
        index: u64,
        previous: &EndpointRecord,
        current: &EndpointRecord,
    ) {
        let tombstone = match current.entry.status {
            Status::Removed => current.entry.clone(),
            // A registration moved it to another service. Unlike the expiry of a lease, this leaves no doubt that it
            // left this one, so the reason is `Removed`.
            _ => previous.with_status(Status::Removed, StatusReason::Removed).entry,
        };
        if let Some(state) = self.services.get_mut(service) {
            state.tombstones.entry(index).or_default().push(tombstone);
        }
        self.tombstones.insert((index, service.to_owned()));
        self.tombstone_count += 1;
    }

    /// Marks a service as changed at an index.
    fn mark_changed(&mut self, service: &str, index: u64, text: &str) -> &mut ServiceState {
        let update_floor = self.dropped_index;
        let state = self
            .services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceState { update_floor, ..ServiceState::default() });
        let previous = (state.changed_index, service.to_owned());
        self.changes.remove(&previous);
        self.empty.remove(&previous);
        self.changes.insert((index, service.to_owned()));
        state.changed_index = index;
        state.digest = digest::extend(state.digest, index, text);
        state
    }

    fn update_empty(&mut self, service: &str, index: u64) {
        let key = (index, service.to_owned());
        if self.services.get(service).is_some_and(|state| state.endpoints.is_empty()) {
            self.empty.insert(key);
        } else {
            self.empty.remove(&key);
        }
    }

    /// Drops the oldest tombstones and empty services beyond their limits.
    pub(super) fn drop_excess(&mut self) {
        while self.tombstone_count > MAX_TOMBSTONES
            && let Some((index, service)) = self.tombstones.pop_first()
        {
            if let Some(state) = self.services.get_mut(&service) {
                self.tombstone_count -= state.tombstones.remove(&index).map_or(0, |dropped| dropped.len());
                state.update_floor = state.update_floor.max(index);
            }
        }
        while self.empty.len() > MAX_EMPTY_SERVICES
            && let Some((changed_index, service)) = self.empty.pop_first()
        {
            self.drop_service(changed_index, service);
        }
    }

    fn drop_service(&mut self, changed_index: u64, service: String) {
        self.changes.remove(&(changed_index, service.clone()));
        if let Some(state) = self.services.remove(&service) {
            for (index, dropped) in state.tombstones {
                self.tombstone_count -= dropped.len();
                self.tombstones.remove(&(index, service.clone()));
            }
        }
        self.dropped_index = self.dropped_index.max(changed_index);
    }
}

#[cfg(test)]
mod tests;
