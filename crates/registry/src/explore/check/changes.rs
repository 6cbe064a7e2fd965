//! Every acknowledged write is among the changes exactly once, and every change was requested.

use crate::explore::history::{Call, CallResult, History, ListedChange, Operation};
use crate::explore::violation::Violation;
use lotusmoor_registry_client::Status;
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let acknowledged = check_acknowledged(history, violations);
    for change in history.changes.iter().filter(|c| !c.expired && !acknowledged.contains(&c.index)) {
        if !history.calls.iter().any(|call| may_have_caused(call, change)) {
            violations.push(Violation::UnrequestedChange { index: change.index, name: change.name.clone() });
        }
    }
}

/// Checks the acknowledged writes that changed the list, and returns their indexes.
fn check_acknowledged(history: &History, violations: &mut Vec<Violation>) -> BTreeSet<u64> {
    let by_index: BTreeMap<u64, &ListedChange> = history.changes.iter().map(|c| (c.index, c)).collect();
    let mut acknowledged = BTreeSet::new();
    for call in &history.calls {
        let Operation::Write { name, status, .. } = &call.operation else { continue };
        let Some(CallResult::Written { version, changed: true }) = call.result() else { continue };
        let index = version.index;
        if !acknowledged.insert(index) {
            violations.push(Violation::DuplicateIndex(index));
        }
        match by_index.get(&index) {
            Some(c) if c.name == *name && (c.status == *status || c.status == Status::Draining) => {}
            _ => violations.push(Violation::LostWrite { index, name: name.clone() }),
        }
    }
    acknowledged
}

/// Whether a call without a known result may have caused a change.
fn may_have_caused(call: &Call, change: &ListedChange) -> bool {
    let is_unknown = matches!(call.result(), None | Some(CallResult::Unknown));
    is_unknown && matches!(&call.operation, Operation::Write { name, .. } if *name == change.name)
}
