//! The list as of the last applied log entry, for the rest of the replica to read and to wait for its changes.

use super::service_waiters::ServiceWaiters;
use super::{FormatError, format};
use crate::core::List;
use crate::raft::{LogId, Membership, Replica};
use openraft::SnapshotMeta;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// What the state machine consists of: the list with its place in the log. Snapshots are copies of it, stored and sent
/// as JSON.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StateMachineData {
    /// The last log entry that is applied to it.
    pub applied: Option<LogId>,
    /// The members of the cluster.
    pub membership: Membership,
    /// The list.
    pub list: List,
}

impl StateMachineData {
    pub(super) fn meta(&self) -> SnapshotMeta<u64, Replica> {
        let snapshot_id =
            self.applied.map_or_else(|| "0".to_owned(), |l| format!("{}-{}", l.leader_id, l.index));
        SnapshotMeta { last_log_id: self.applied, last_membership: self.membership.clone(), snapshot_id }
    }

    /// Decodes a snapshot in any known format.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        Ok(serde_json::from_slice(&format::decode(bytes)?)?)
    }
}

/// The list as of the last applied entry, with notification of its changes.
#[derive(Default)]
pub struct AppliedState {
    state: Mutex<StateMachineData>,
    applied_index: watch::Sender<u64>,
    list_index: watch::Sender<u64>,
    service_waiters: ServiceWaiters,
}

impl AppliedState {
    /// Locks the state. No log entry is applied meanwhile, so the lock must be released soon.
    pub fn state(&self) -> MutexGuard<'_, StateMachineData> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to the index of the last applied log entry.
    pub fn applied_index(&self) -> watch::Receiver<u64> {
        self.applied_index.subscribe()
    }

    /// Subscribes to the list's index.
    pub fn list_index(&self) -> watch::Receiver<u64> {
        self.list_index.subscribe()
    }

    /// Waits until one of these services has changed after the index `after`.
    pub async fn services_changed(&self, after: u64, services: &Arc<[String]>) {
        // Registered before the list is read, so that no change in between is missed.
        let waiter = self.service_waiters.register(after, services);
        if self.state().list.services_changed_index(services) <= after {
            waiter.notified().await;
        }
    }

    /// Notifies waiters and subscribers of a new state, which the caller has locked.
    pub(super) fn notify(&self, state: &StateMachineData) {
        self.service_waiters.notify(&state.list);
        let list_index = state.list.version().index;
        self.list_index.send_if_modified(|known| std::mem::replace(known, list_index) != list_index);
        let applied_index = state.applied.map_or(0, |log_id| log_id.index);
        self.applied_index.send_replace(applied_index);
    }
}
