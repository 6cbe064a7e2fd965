//! The end of a schedule: all faults end, and the cluster has to recover.

use super::{REPLICAS, Schedule};
use crate::core::Change;
use crate::explore::clock::Step;
use crate::explore::history::{CallResult, ListedChange, Observation};
use crate::explore::violation::{ClusterFailure, Violation};
use lotusmoor_registry_client::StatusReason;
use std::sync::PoisonError;

/// Steps with calls but without faults.
const RECOVERY_STEPS: Step = 1200;
/// Steps between two calls during the recovery.
const CALL_STEPS: Step = 40;
/// Steps after the last call.
const FINAL_STEPS: Step = 600;
/// Steps before the last call in which at least one write must be answered.
const ANSWERED_STEPS: Step = 500;
/// The replica that all readers read at the end.
const LAST_READ_REPLICA: u64 = 1;

impl Schedule {
    /// Ends all faults and checks that the cluster recovers.
    pub(super) fn recover(&mut self) {
        if !self.violations.is_empty() {
            return;
        }
        self.note("all faults end".into());
        self.network.state().heal();
        for id in REPLICAS {
            self.repair(id);
        }
        for _ in 0..RECOVERY_STEPS {
            if self.now.is_multiple_of(CALL_STEPS) {
                self.start_call();
            }
            self.start_reader_call();
            self.step();
        }
        let last_call_at = self.now;
        for _ in 0..FINAL_STEPS {
            self.step();
        }
        if !self.is_write_answered_after(last_call_at - ANSWERED_STEPS) {
            self.violations.push(Violation::ClusterFailed(ClusterFailure::NoWriteAnswered));
        }
        self.compare_replicas();
        if let Some(running) = self.replicas.get(&LAST_READ_REPLICA).and_then(|r| r.running.as_ref()) {
            let _clock = running.runtime.enter();
            self.readers.read_all(&running.node, self.defect);
        }
        self.observe();
    }

    /// Ends a replica's faults, and restarts it if its Raft core has stopped.
    fn repair(&mut self, id: u64) {
        if let Some(replica) = self.replicas.get(&id) {
            replica.disk.configure(false, self.disks_ignore_syncs());
        }
        self.bring_back(id);
        let has_stopped = self
            .running(id)
            .is_some_and(|running| running.node.raft().metrics().borrow().running_state.is_err());
        if has_stopped {
            self.crash(id);
            self.bring_back(id);
        }
    }

    fn is_write_answered_after(&self, step: Step) -> bool {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.iter().filter(|call| call.started_at > step).any(|call| {
            matches!(
                call.result(),
                Some(CallResult::Written { .. } | CallResult::IndexMismatch(_) | CallResult::NotListed)
            )
        })
    }

    /// Checks that all replicas have the same list, and takes the changes from the first.
    fn compare_replicas(&mut self) {
        let mut last = Vec::new();
        for (id, replica) in &self.replicas {
            let Some(running) = &replica.running else { continue };
            let list = &running.node.applied_state().state().list;
            let (version, digest) = (list.version(), list.digest());
            last.push(Observation { replica: *id, at: self.now, version, digest });
            if self.history.changes.is_empty() {
                self.history.changes = list.history(0).map(listed_change).collect();
            }
        }
        let is_same = |o: &Observation| (o.version, o.digest) == (last[0].version, last[0].digest);
        if last.len() != REPLICAS.count() || !last.iter().all(is_same) {
            self.violations.push(Violation::ClusterFailed(ClusterFailure::ReplicasDiffer(last)));
        }
    }
}

fn listed_change(change: &Change) -> ListedChange {
    ListedChange {
        index: change.index,
        name: change.name.clone(),
        status: change.status,
        expired: change.reason == StatusReason::Expired,
    }
}
