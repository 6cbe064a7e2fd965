//! The list as openraft applies its log to it, and its snapshots.

use super::log::{read_failed, write_failed};
use super::waiting::Waiting;
use super::{FormatError, SNAPSHOT, Store, StoreError, format};
use crate::core::{List, Outcome};
use crate::raft::{LogEntry, LogId, Membership, Replica, StorageError, Types};
use openraft::storage::RaftStateMachine;
use openraft::{EntryPayload, OptionalSend, RaftSnapshotBuilder, SnapshotMeta};
use serde::{Deserialize, Serialize};
use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The list with its place in the log.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// The last entry that it holds.
    pub applied: Option<LogId>,
    /// Who votes.
    pub membership: Membership,
    /// The list.
    pub list: List,
}

impl Snapshot {
    fn meta(&self) -> SnapshotMeta<u64, Replica> {
        let at = self.applied.map_or_else(|| "0".to_owned(), |l| format!("{}-{}", l.leader_id, l.index));
        SnapshotMeta { last_log_id: self.applied, last_membership: self.membership.clone(), snapshot_id: at }
    }

    /// Reads one, of any known form.
    pub fn read(bytes: &[u8]) -> Result<Self, FormatError> {
        Ok(serde_json::from_slice(&format::open(bytes)?)?)
    }
}

/// What the rest of a replica sees of its list.
#[derive(Default)]
pub struct Shared {
    state: Mutex<Snapshot>,
    applied: watch::Sender<u64>,
    version: watch::Sender<u64>,
    waiting: Waiting,
}

impl Shared {
    /// The list as it is now, with its place in the log. Hold it for no longer than a look.
    pub fn state(&self) -> MutexGuard<'_, Snapshot> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Up to where the log is applied, as it goes on.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// The list's index, as it goes on.
    pub fn version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Waits until one of these services has changed after that index.
    pub async fn changed_of(&self, after: u64, services: &Arc<[String]>) {
        // First it is known that somebody waits, then it is looked whether there is a need to: nothing falls between.
        let waiter = self.waiting.wait(after, services);
        if self.state().list.services_changed_index(services) <= after {
            waiter.woken().await;
        }
    }

    /// For whoever waits, once the list has gone on. It is locked meanwhile.
    fn tell(&self, state: &Snapshot) {
        self.waiting.tell(&state.list);
        let version = state.list.version().index;
        self.version.send_if_modified(|known| std::mem::replace(known, version) != version);
        let index = state.applied.map_or(0, |l| l.index);
        self.applied.send_replace(index);
    }
}

impl Store {
    /// The snapshot that is kept.
    pub fn snapshot(&self) -> Result<Option<Snapshot>, StoreError> {
        self.get(SNAPSHOT)
    }

    /// Keeps one in place of the one before.
    pub fn keep_snapshot(&self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.can_hold(SNAPSHOT, snapshot.list.has_services())?;
        self.put(SNAPSHOT, snapshot)
    }

    /// One as bytes, in this store's format.
    pub fn seal(&self, snapshot: &Snapshot) -> Result<Vec<u8>, StoreError> {
        self.can_hold(SNAPSHOT, snapshot.list.has_services())?;
        let json = |e: serde_json::Error| StoreError::Spoilt { what: SNAPSHOT.into(), error: e.into() };
        Ok(self.format.seal(&serde_json::to_vec(snapshot).map_err(json)?))
    }

    fn sealed(&self, snapshot: &Snapshot) -> Result<Box<Cursor<Vec<u8>>>, StoreError> {
        Ok(Box::new(Cursor::new(self.seal(snapshot)?)))
    }
}

/// openraft's view of the list.
#[derive(Clone)]
pub struct Machine {
    store: Store,
    shared: Arc<Shared>,
}

impl Machine {
    /// The list as of the snapshot that is kept; openraft brings it up to date from the log.
    pub fn open(store: Store) -> Result<(Self, Arc<Shared>), StoreError> {
        let shared = Arc::new(Shared::default());
        if let Some(snapshot) = store.snapshot()? {
            shared.tell(&snapshot);
            *shared.state() = snapshot;
        }
        Ok((Self { store, shared: Arc::clone(&shared) }, shared))
    }
}

impl RaftSnapshotBuilder<Types> for Machine {
    async fn build_snapshot(&mut self) -> Result<openraft::Snapshot<Types>, StorageError> {
        let state = self.shared.state().clone();
        self.store.keep_snapshot(&state).map_err(write_failed)?;
        let snapshot = self.store.sealed(&state).map_err(write_failed)?;
        Ok(openraft::Snapshot { meta: state.meta(), snapshot })
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Self;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError> {
        let state = self.shared.state();
        Ok((state.applied, state.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcome>, StorageError>
    where
        I: IntoIterator<Item = LogEntry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut state = self.shared.state();
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
        self.shared.tell(&state);
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
        let spoilt = |error| StoreError::Spoilt { what: "a snapshot that was sent here".into(), error };
        let new = Snapshot::read(snapshot.get_ref()).map_err(|e| read_failed(spoilt(e)))?;
        self.store.keep_snapshot(&new).map_err(write_failed)?;
        let mut state = self.shared.state();
        *state = new;
        self.shared.tell(&state);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<openraft::Snapshot<Types>>, StorageError> {
        let Some(kept) = self.store.snapshot().map_err(read_failed)? else { return Ok(None) };
        let snapshot = self.store.sealed(&kept).map_err(read_failed)?;
        Ok(Some(openraft::Snapshot { meta: kept.meta(), snapshot }))
    }
}
