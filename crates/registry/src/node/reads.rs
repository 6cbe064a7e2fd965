//! Reads: from the local list with a bound on its age, or linearizable with the leader's read index.

use super::{Node, WriteError, lock};
use crate::core::Micros;
use crate::core::freshness::ReadConsistency;
use crate::raft::{CallError, Rpc, Transport};
use lotusmoor_registry_client::ListUpdate;
use openraft::error::{CheckIsLeaderError, RaftError};
use tokio::time::timeout;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: Micros = 1000;

/// The result of a read from the local list.
pub struct Read {
    /// Whether the list may be served, and its age.
    pub consistency: ReadConsistency,
    /// The list, or its changes.
    pub update: ListUpdate,
}

impl<T: Transport> Node<T> {
    /// The list of this replica, or its changes after an index, with its age.
    pub fn read(&self, after: Option<u64>) -> Read {
        // The age is determined first: entries applied in between only make the list newer.
        let consistency = self.read_consistency();
        let update = self.inner.applied_state.state().list.update(after);
        self.with_age(consistency, update)
    }

    /// Like [`Self::read`] for some services only, which must be sorted by name.
    pub fn read_services(&self, after: Option<u64>, services: &[String]) -> Read {
        let consistency = self.read_consistency();
        let update = self.inner.applied_state.state().list.update_for_services(after, services);
        self.with_age(consistency, update)
    }

    fn with_age(&self, consistency: ReadConsistency, mut update: ListUpdate) -> Read {
        update.replica = self.inner.settings.id;
        if let ReadConsistency::Fresh(age) | ReadConsistency::Stale(age) = consistency {
            update.age_ms = millis(age);
        }
        Read { consistency, update }
    }

    /// Whether the list may be served now, and its age.
    pub fn read_consistency(&self) -> ReadConsistency {
        lock(&self.inner.freshness).consistency(self.now())
    }

    /// Upper bound of the list's age; `None` until the log is applied up to the first read index.
    pub fn age(&self) -> Option<Micros> {
        lock(&self.inner.freshness).age(self.now())
    }

    /// A linearizable read: the list with everything that was acknowledged before this call.
    pub async fn read_latest(&self) -> Result<ListUpdate, WriteError> {
        self.read_latest_services(None).await
    }

    /// Like [`Self::read_latest`] for some services only, which must be sorted by name.
    pub async fn read_latest_services(&self, services: Option<&[String]>) -> Result<ListUpdate, WriteError> {
        let requested_at = self.now();
        let index = self.read_index().await?;
        let mut applied = self.inner.applied_state.applied_index();
        let caught_up = applied.wait_for(|applied| *applied >= index);
        if !matches!(timeout(self.inner.settings.request_timeout, caught_up).await, Ok(Ok(_))) {
            return Err(WriteError::NoLeader);
        }
        lock(&self.inner.freshness).record_committed(requested_at, index);
        let mut update = {
            let list = &self.inner.applied_state.state().list;
            services.map_or_else(|| list.update(None), |services| list.update_for_services(None, services))
        };
        update.replica = self.inner.settings.id;
        update.age_ms = millis(self.now() - requested_at);
        Ok(update)
    }

    /// The committed index of a leader that has confirmed its leadership with a quorum.
    async fn read_index(&self) -> Result<u64, WriteError> {
        let leader = self.leader_target().ok_or(WriteError::NoLeader)?;
        if leader.id == self.inner.settings.id {
            return self.read_index_as_leader().await;
        }
        let response: Result<Result<u64, WriteError>, CallError> =
            self.inner.peers.call(&leader, Rpc::ReadIndex, (), self.inner.settings.request_timeout).await;
        response.map_err(|_| WriteError::NoLeader)?
    }

    pub(super) async fn read_index_as_leader(&self) -> Result<u64, WriteError> {
        let log_id = self.inner.raft.get_read_log_id();
        match timeout(self.inner.settings.request_timeout, log_id).await {
            Ok(Ok((read, _))) => Ok(read.map_or(0, |log_id| log_id.index)),
            Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(_)))) => Err(WriteError::NoLeader),
            Ok(Err(RaftError::Fatal(fatal))) => Err(WriteError::Stopped(fatal.to_string())),
            Ok(Err(_)) | Err(_) => Err(WriteError::NoLeader),
        }
    }

    /// Requests the read index, which bounds the age of the list once it is applied.
    pub(super) async fn refresh_freshness(&self) {
        let requested_at = self.now();
        if let Ok(index) = self.read_index().await {
            lock(&self.inner.freshness).record_committed(requested_at, index);
        }
    }
}

fn millis(age: Micros) -> u64 {
    u64::try_from(age / MICROS_PER_MILLI).unwrap_or(0)
}
