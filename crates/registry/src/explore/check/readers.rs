//! Readers of services get all changes of these services and nothing else, and a version has one content for them.

use crate::explore::history::{History, ReaderUpdate};
use crate::explore::violation::Violation;
use std::collections::BTreeMap;

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let mut contents = BTreeMap::new();
    for update in &history.reader_updates {
        check_update(update, violations);
        let content = (update.digest, &update.replica_entries);
        let key = (update.version, update.services.as_slice());
        if *contents.entry(key).or_insert(content) != content {
            violations.push(Violation::ServiceContentsDiffer(update.version, update.services.clone()));
        }
    }
}

fn check_update(update: &ReaderUpdate, violations: &mut Vec<Violation>) {
    let version = update.version;
    let services = &update.services;
    let mut entries = update.entries.iter();
    let foreign = entries.find(|e| !e.service.as_ref().is_some_and(|s| services.contains(s)));
    if let Some(entry) = foreign {
        violations.push(Violation::ForeignEndpoint { version, name: entry.name.clone() });
    }
    if update.reader_entries != update.replica_entries {
        violations.push(Violation::ReaderOutOfSync(version, services.clone()));
    }
    if !update.snapshot && update.woken.is_some_and(|woken| woken == update.entries.is_empty()) {
        violations.push(Violation::WrongWakeup(version, services.clone()));
    }
}
