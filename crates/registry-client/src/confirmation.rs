//! Decides which lists need the confirmation of a second replica.
//!
//! A replica that is cut off from the servers lets their leases expire, and must not empty the lists of clients that
//! can still reach them. So a list that removes more than a configured share of the active servers is withheld until
//! another replica has it as well. Explicit drains and removals, by an operator or by the server itself, are applied
//! without confirmation.

use crate::list::{EndpointList, Entry, ListUpdate, Status, StatusReason, Version};
use crate::{Micros, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// A list that is not used before it is confirmed.
pub(crate) struct WithheldList {
    pub(crate) replica: usize,
    pub(crate) version: Version,
    pub(crate) since: Micros,
}

impl WithheldList {
    /// Whether a list of this version from that replica confirms it. If there is only one replica, it confirms its own
    /// list after `self_confirm_after`, as no other replica could.
    pub(crate) fn is_confirmed_by(
        &self,
        replica: usize,
        version: Version,
        now: Micros,
        settings: &Settings,
    ) -> bool {
        let confirms_itself = settings.replicas == 1 && now - self.since >= settings.self_confirm_after;
        version >= self.version && (replica != self.replica || confirms_itself)
    }
}

/// How many active servers a list removes, and how many were active before.
#[derive(Clone, Copy)]
pub(crate) struct Removal {
    pub(crate) removed: usize,
    pub(crate) active_before: usize,
}

impl Removal {
    fn is_excessive(self, remaining: usize, max_share: f64) -> bool {
        remaining == 0 || self.removed as f64 > max_share * self.active_before as f64
    }
}

/// Returns what a list removes if that is more than `max_share` of the active servers, or all of them. Each watched
/// service is checked on its own; without a selection of services, all servers are checked together.
pub(crate) fn excessive_removal(
    known: &EndpointList,
    new: &EndpointList,
    update: &ListUpdate,
    max_share: f64,
) -> Option<Removal> {
    let removed = implicitly_removed(known, new, update);
    if new.services.is_empty() {
        let removal = Removal { removed: removed.len(), active_before: known.active_count() };
        return (!removed.is_empty() && removal.is_excessive(new.active_count(), max_share))
            .then_some(removal);
    }
    let mut removed_by_service: BTreeMap<&str, usize> = BTreeMap::new();
    for service in removed.iter().filter_map(|entry| entry.service.as_deref()) {
        *removed_by_service.entry(service).or_default() += 1;
    }
    removed_by_service
        .into_iter()
        .filter_map(|(service, removed)| {
            let removal = Removal { removed, active_before: active_count(known, service) };
            removal.is_excessive(active_count(new, service), max_share).then_some(removal)
        })
        .reduce(|sum, one| Removal {
            removed: sum.removed + one.removed,
            active_before: sum.active_before + one.active_before,
        })
}

/// Whether an entry says that its server was drained or removed by an operator or by the server itself.
pub(crate) fn is_explicit_removal(entry: &Entry) -> bool {
    matches!(entry.status_reason, StatusReason::Drained | StatusReason::Removed)
        && entry.status != Status::Active
}

/// Servers that are active in the known list but not in the new one, and were not explicitly drained or removed. A
/// server that moved to another watched service is still active.
fn implicitly_removed<'a>(
    known: &'a EndpointList,
    new: &EndpointList,
    update: &ListUpdate,
) -> Vec<&'a Entry> {
    let explicit: BTreeSet<&str> =
        update.endpoints.iter().filter(|e| is_explicit_removal(e)).map(|e| e.name.as_str()).collect();
    let is_removed = |entry: &&Entry| {
        let stays_active = new.entries.get(&entry.name).is_some_and(|now| now.status == Status::Active);
        !stays_active && !explicit.contains(entry.name.as_str())
    };
    known.entries.values().filter(|e| e.status == Status::Active).filter(is_removed).collect()
}

fn active_count(list: &EndpointList, service: &str) -> usize {
    let is_active = |e: &&Entry| e.status == Status::Active && e.service.as_deref() == Some(service);
    list.entries.values().filter(is_active).count()
}
