//! openraft's state machine: applies the log to the list, and builds and installs snapshots.

use super::log::{read_failed, write_failed};
use super::{AppliedState, SNAPSHOT, StateMachineData, Store, StoreError};
use crate::core::Outcome;
use crate::raft::{LogEntry, LogId, Membership, Replica, StorageError, TypeConfig};
use openraft::storage::RaftStateMachine;
use openraft::{EntryPayload, OptionalSend, RaftSnapshotBuilder, SnapshotMeta};
use std::io::Cursor;
use std::sync::Arc;

impl Store {
    /// The stored snapshot.
    pub fn load_snapshot(&self) -> Result<Option<StateMachineData>, StoreError> {
        self.get(SNAPSHOT)
    }

    /// Stores a snapshot, replacing the previous one.
    pub fn save_snapshot(&self, snapshot: &StateMachineData) -> Result<(), StoreError> {
        self.check_services(SNAPSHOT, snapshot.list.has_services())?;
        self.put(SNAPSHOT, snapshot)
    }

    /// Encodes a snapshot in this store's format.
    pub fn encode_snapshot(&self, snapshot: &StateMachineData) -> Result<Vec<u8>, StoreError> {
        self.check_services(SNAPSHOT, snapshot.list.has_services())?;
        self.encode(SNAPSHOT, snapshot)
    }

    fn snapshot_reader(&self, snapshot: &StateMachineData) -> Result<Box<Cursor<Vec<u8>>>, StoreError> {
        Ok(Box::new(Cursor::new(self.encode_snapshot(snapshot)?)))
    }
}

/// openraft's handle to the list and to its stored snapshot.
#[derive(Clone)]
pub struct StateMachine {
    store: Store,
    applied_state: Arc<AppliedState>,
}

impl StateMachine {
    /// Restores the list from the stored snapshot; openraft then applies the log after it.
    pub fn open(store: Store) -> Result<(Self, Arc<AppliedState>), StoreError> {
        let applied_state = Arc::new(AppliedState::default());
        if let Some(snapshot) = store.load_snapshot()? {
            applied_state.notify(&snapshot);
            *applied_state.state() = snapshot;
        }
        Ok((Self { store, applied_state: Arc::clone(&applied_state) }, applied_state))
    }
}

impl RaftSnapshotBuilder<TypeConfig> for StateMachine {
    async fn build_snapshot(&mut self) -> Result<openraft::Snapshot<TypeConfig>, StorageError> {
        let state = self.applied_state.state().clone();
        self.store.save_snapshot(&state).map_err(write_failed)?;
        let snapshot = self.store.snapshot_reader(&state).map_err(write_failed)?;
        Ok(openraft::Snapshot { meta: state.meta(), snapshot })
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = Self;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError> {
        let state = self.applied_state.state();
        Ok((state.applied, state.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcome>, StorageError>
    where
        I: IntoIterator<Item = LogEntry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut state = self.applied_state.state();
        let mut outcomes = Vec::new();
        for entry in entries {
            state.applied = Some(entry.log_id);
            outcomes.push(match entry.payload {
                EntryPayload::Blank => Outcome::NoCommand,
                EntryPayload::Normal(command) => state.list.apply(&command),
                EntryPayload::Membership(membership) => {
                    state.membership = Membership::new(Some(entry.log_id), membership);
                    Outcome::NoCommand
                }
            });
        }
        self.applied_state.notify(&state);
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> Self {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        _meta: &SnapshotMeta<u64, Replica>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError> {
        let corrupt = |error| StoreError::Corrupt { what: "received snapshot".into(), error };
        let new = StateMachineData::decode(snapshot.get_ref()).map_err(|e| read_failed(corrupt(e)))?;
        self.store.save_snapshot(&new).map_err(write_failed)?;
        let mut state = self.applied_state.state();
        *state = new;
        self.applied_state.notify(&state);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<openraft::Snapshot<TypeConfig>>, StorageError> {
        let Some(stored) = self.store.load_snapshot().map_err(read_failed)? else { return Ok(None) };
        let snapshot = self.store.snapshot_reader(&stored).map_err(read_failed)?;
        Ok(Some(openraft::Snapshot { meta: stored.meta(), snapshot }))
    }
}
