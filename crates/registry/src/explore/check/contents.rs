//! A version has one content, and the versions that a replica answers with never decrease.

use crate::explore::clock::Step;
use crate::explore::history::{Call, CallResult, Completion, History, Operation};
use crate::explore::violation::Violation;
use lotusmoor_registry_client::Version;
use std::collections::BTreeMap;

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let mut digests = BTreeMap::new();
    for seen in &history.observations {
        check_digest(&mut digests, seen.version, seen.digest, violations);
    }
    let mut newest: BTreeMap<u64, (Step, Version)> = BTreeMap::new();
    let mut calls: Vec<&Call> = history.calls.iter().collect();
    calls.sort_by_key(|call| call.completion.as_ref().map_or(Step::MAX, |completion| completion.at));
    for call in calls {
        let Some(Completion { at, result: CallResult::Read { version, digest, .. } }) = &call.completion
        else {
            continue;
        };
        check_digest(&mut digests, *version, *digest, violations);
        let Operation::LocalRead { replica } = call.operation else { continue };
        let (newest_at, newest_version) = newest.entry(replica).or_insert((*at, *version));
        // Concurrent reads may end in either order.
        if *version < *newest_version && call.started_at > *newest_at {
            violations.push(Violation::ReadsWentBack { replica, from: *newest_version, to: *version });
        }
        if *version >= *newest_version {
            (*newest_at, *newest_version) = (*at, *version);
        }
    }
}

fn check_digest(
    digests: &mut BTreeMap<Version, u64>,
    version: Version,
    digest: u64,
    violations: &mut Vec<Violation>,
) {
    if *digests.entry(version).or_insert(digest) != digest {
        violations.push(Violation::ContentsDiffer(version));
    }
}
