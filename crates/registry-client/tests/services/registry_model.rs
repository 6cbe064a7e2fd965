//! A model of the registry: the list with its history, and the responses of a replica.

use crate::support::{entry, is_watched};
use lotusmoor_registry_client::{Entry, ListUpdate, Status, StatusReason, Version};
use std::collections::{BTreeMap, BTreeSet};

/// One change of an entry; the entry is `None` before its registration and after its removal.
#[derive(Clone)]
pub struct Change {
    pub index: u64,
    pub name: String,
    before: Option<Entry>,
    after: Option<Entry>,
    reason: StatusReason,
}

impl Change {
    /// Whether a server was explicitly removed, or moved to another service.
    pub fn is_explicit_removal(&self) -> bool {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => before.service != after.service,
            (_, None) => self.reason == StatusReason::Removed,
            (None, Some(_)) => false,
        }
    }
}

/// A list with its history, and the responses that a replica with that list gives.
#[derive(Clone, Default)]
pub struct RegistryModel {
    pub version: Version,
    /// Changes up to this index are compacted: a client with an older list gets the complete list.
    pub compacted_index: u64,
    pub entries: BTreeMap<String, Entry>,
    pub changes: Vec<Change>,
    /// Digests of the history of each service.
    pub service_digests: BTreeMap<String, u64>,
    /// Digest of the history of the complete list.
    pub digest: u64,
}

fn extend_digest(digest: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(digest ^ 0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

impl RegistryModel {
    pub fn bootstrapped(epoch: u64) -> Self {
        let index = epoch << 20;
        Self { version: Version { epoch, index }, compacted_index: index, ..Self::default() }
    }

    /// Changes an entry; returns `false` if that changes nothing.
    fn change(&mut self, name: &str, after: Option<Entry>, reason: StatusReason) -> bool {
        let before = self.entries.get(name).cloned();
        if before == after {
            return false;
        }
        self.version.index += 1;
        let index = self.version.index;
        match &after {
            Some(entry) => drop(self.entries.insert(name.to_owned(), entry.clone())),
            None => drop(self.entries.remove(name)),
        }
        let text = format!("{index} {name} {after:?}");
        self.digest = extend_digest(self.digest, text.as_bytes());
        let touched: BTreeSet<String> =
            [&before, &after].into_iter().flatten().filter_map(|e| e.service.clone()).collect();
        for service in touched {
            let digest = self.service_digests.entry(service).or_default();
            *digest = extend_digest(*digest, text.as_bytes());
        }
        self.changes.push(Change { index, name: name.to_owned(), before, after, reason });
        true
    }

    pub fn register(&mut self, name: &str, service: &str) -> bool {
        self.change(name, Some(entry(name, service)), StatusReason::Registered)
    }

    pub fn drain(&mut self, name: &str, reason: StatusReason) -> bool {
        let Some(entry) = self.entries.get(name).cloned() else { return false };
        self.change(name, Some(Entry { status: Status::Draining, status_reason: reason, ..entry }), reason)
    }

    pub fn remove(&mut self, name: &str, reason: StatusReason) -> bool {
        self.change(name, None, reason)
    }

    pub fn update(&self, services: &[String], after: Option<Version>) -> ListUpdate {
        let digest = if services.is_empty() {
            self.digest
        } else {
            services.iter().fold(0, |sum, name| {
                let service = self.service_digests.get(name).copied().unwrap_or_default();
                extend_digest(extend_digest(sum, name.as_bytes()), &service.to_le_bytes())
            })
        };
        let fits = |v: &Version| {
            v.epoch == self.version.epoch && v.index >= self.compacted_index && v.index <= self.version.index
        };
        let after = after.filter(fits);
        let endpoints = match after {
            None => self.entries.values().filter(|e| is_watched(e, services)).cloned().collect(),
            Some(after) => self.changes_since(services, after.index),
        };
        let services = (!services.is_empty()).then(|| services.to_vec());
        let (version, snapshot) = (self.version, after.is_none());
        ListUpdate { version, snapshot, digest, services, endpoints, ..ListUpdate::default() }
    }

    fn changes_since(&self, services: &[String], index: u64) -> Vec<Entry> {
        // For each changed entry, its last removal from the watched services, if there was one.
        let mut touched: BTreeMap<&str, Option<Entry>> = BTreeMap::new();
        for change in self.changes.iter().filter(|c| c.index > index) {
            let removal = touched.entry(&change.name).or_default();
            if let Some(before) = change.before.as_ref().filter(|e| is_watched(e, services)) {
                let reason = if change.after.is_some() { StatusReason::Removed } else { change.reason };
                *removal = Some(Entry { status: Status::Removed, status_reason: reason, ..before.clone() });
            }
        }
        let now = |name: &str| self.entries.get(name).filter(|e| is_watched(e, services)).cloned();
        touched.into_iter().filter_map(|(name, removal)| now(name).or(removal)).collect()
    }
}
