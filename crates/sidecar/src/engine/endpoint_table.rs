//! Maps endpoint names to integer ids, and translates endpoint lists and cordons for the balancer and the connections.

use crate::endpoint_list::{ListMessage, ListedEndpoint, ListedStatus};
use crate::start_times::StartTimes;
use crate::upstream::Upstream;
use lotusmoor_balancer::Interner;
use lotusmoor_balancer::{EndpointEntry, EndpointStatus, Event, Micros};
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;

/// The known endpoints, with the ids that stand for their names.
pub(super) struct EndpointTable {
    names: Interner,
    /// Names of cordoned endpoints, listed or not.
    cordoned: BTreeSet<String>,
    /// Removed endpoints whose ids are not released yet.
    removed: HashSet<usize>,
    zones: Interner,
    machine_types: Interner,
    start_times: StartTimes,
    upstream: Rc<Upstream>,
}

/// An endpoint list as the balancer receives it.
pub(super) struct AppliedList {
    /// Its entries.
    pub(super) entries: Vec<EndpointEntry>,
    /// Events that the balancer has to handle before the entries.
    pub(super) events_before: Vec<Event>,
}

/// An endpoint that operators cordoned or uncordoned.
pub(super) struct CordonChange {
    /// Its id.
    pub(super) endpoint: usize,
    /// Whether it is cordoned now.
    pub(super) cordoned: bool,
}

impl EndpointTable {
    /// An empty table. `zones` holds the zone ids that the settings use.
    pub(super) fn new(zones: Interner, cordoned: BTreeSet<String>, upstream: Rc<Upstream>) -> Self {
        Self {
            names: Interner::default(),
            cordoned,
            removed: HashSet::new(),
            zones,
            machine_types: Interner::default(),
            start_times: StartTimes::default(),
            upstream,
        }
    }

    /// Whether an endpoint of that name has an id.
    pub(super) fn is_known(&self, name: &str) -> bool {
        self.names.find(name).is_some()
    }

    /// The name of an endpoint.
    pub(super) fn name(&self, id: usize) -> &str {
        self.names.name(id)
    }

    /// Applies a list to the table and the connections, before the balancer can send anything more.
    pub(super) fn apply(&mut self, now: Micros, list: ListMessage, full: bool) -> AppliedList {
        self.start_times.observe(now, list.endpoints.iter().map(|endpoint| endpoint.started_ms));
        let mut applied =
            AppliedList { entries: Vec::with_capacity(list.endpoints.len()), events_before: Vec::new() };
        for endpoint in list.endpoints {
            self.apply_endpoint(now, endpoint, &mut applied);
        }
        if full {
            self.remove_unlisted(&applied.entries);
        }
        for entry in &applied.entries {
            if entry.status == EndpointStatus::Removed {
                self.removed.insert(entry.endpoint);
            } else {
                self.removed.remove(&entry.endpoint);
            }
        }
        applied
    }

    fn apply_endpoint(&mut self, now: Micros, listed: ListedEndpoint, applied: &mut AppliedList) {
        // A removed endpoint that was never listed needs no id.
        if listed.status == ListedStatus::Removed && !self.is_known(&listed.name) {
            return;
        }
        let id = self.names.intern(&listed.name);
        let status = match (listed.status, listed.address) {
            (ListedStatus::Active, Some(_)) => EndpointStatus::Ready,
            // An endpoint without an address can't be reached.
            (ListedStatus::Active, None) | (ListedStatus::Draining, _) => EndpointStatus::Draining,
            (ListedStatus::Removed, _) => EndpointStatus::Removed,
        };
        let endpoint = self.upstream.endpoint(id);
        // The id may be new to the balancer, which has to learn of the cordon before the endpoint.
        if self.cordoned.contains(&listed.name) {
            endpoint.set_cordoned(true);
            applied.events_before.push(Event::Cordoned(id));
        }
        endpoint.update(listed.address, status == EndpointStatus::Ready, listed.started_ms);
        applied.entries.push(EndpointEntry {
            endpoint: id,
            zone: listed.zone.map(|zone| self.zones.intern(&zone)),
            cell: listed.cell,
            machine_type: listed.machine_type.map(|name| self.machine_types.intern(&name)),
            status,
            size: listed.weight,
            started_at: self.start_times.started(now, id, listed.started_ms),
        });
    }

    fn remove_unlisted(&mut self, entries: &[EndpointEntry]) {
        let listed: HashSet<usize> = entries.iter().map(|entry| entry.endpoint).collect();
        self.upstream.remove_unlisted(&listed);
        self.removed.extend(self.names.ids().filter(|id| !listed.contains(id)));
    }

    /// Records that a list from discovery has been applied.
    pub(super) fn list_applied(&mut self, now: Micros) {
        self.start_times.list_applied(now);
    }

    /// Removed endpoints whose ids can be released. Ids are reused, as a fleet that keeps replacing its machines never
    /// stops adding names. Endpoints with attempts in flight keep their ids for now; otherwise the results of those
    /// attempts would be attributed to the next endpoint with the same id.
    pub(super) fn take_releasable(&mut self, busy: &HashSet<usize>) -> Vec<usize> {
        self.removed.extract_if(|id| !busy.contains(id)).collect()
    }

    /// Releases the id of a removed endpoint.
    pub(super) fn release(&mut self, id: usize) {
        self.start_times.forget(id);
        self.names.release(id);
        self.upstream.forget(id);
    }

    /// Replaces the set of cordoned names; returns the known endpoints whose state changes. An endpoint that is not
    /// listed yet is cordoned as soon as a list names it.
    pub(super) fn set_cordoned(&mut self, names: BTreeSet<String>) -> Vec<CordonChange> {
        let before = std::mem::replace(&mut self.cordoned, names);
        let changed = before.symmetric_difference(&self.cordoned);
        changed
            .filter_map(|name| {
                let endpoint = self.names.find(name)?;
                Some(CordonChange { endpoint, cordoned: self.cordoned.contains(name) })
            })
            .collect()
    }
}
