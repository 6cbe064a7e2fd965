//! Leases: the leader renews them in memory and proposes the expiry of those that were not renewed in time.

use super::{Node, WriteError, lock, unix_ms};
use crate::core::lease::{LeaseTracker, Renewal};
use crate::core::{Command, ExpiredLease};
use crate::raft::{CallError, Rpc, Transport};
use openraft::ServerState;

/// What a replica tracks while it leads.
pub(super) struct LeaderState {
    pub(super) leases: LeaseTracker,
    /// The term in which this replica leads; `None` while it does not lead.
    term: Option<u64>,
    /// Index of the list up to which changes were passed to the lease tracker.
    observed_index: u64,
}

impl LeaderState {
    pub(super) fn new(leases: LeaseTracker) -> Self {
        Self { leases, term: None, observed_index: 0 }
    }
}

impl<T: Transport> Node<T> {
    /// The number of endpoints with an expired lease that stay active because the expiry limit is reached.
    pub fn deferred_expiries(&self) -> usize {
        lock(&self.inner.leader_state).leases.deferred_expiries()
    }

    /// Brings the leases up to date with the list and proposes the expiry of those that are due.
    pub(super) async fn check_leases(&self) {
        let Some(expired) = self.expired_leases() else { return };
        self.finish_membership_change().await;
        if !expired.is_empty() {
            tracing::info!("proposing the expiry of {} leases", expired.len());
            // An expiry that is not committed is proposed again at a later check.
            let _ = self.write_as_leader(Command::Expire { leases: expired, at_ms: unix_ms() }).await;
        }
    }

    /// The leases whose expiry is to be proposed; `None` while this replica does not lead.
    fn expired_leases(&self) -> Option<Vec<ExpiredLease>> {
        let (server_state, term, leader) = {
            let metrics = self.inner.raft.metrics();
            let metrics = metrics.borrow();
            (metrics.state, metrics.current_term, metrics.current_leader)
        };
        let leads = server_state == ServerState::Leader && leader == Some(self.inner.settings.id);
        let now = self.now();
        let state = self.inner.applied_state.state();
        let mut leader_state = lock(&self.inner.leader_state);
        if !leads {
            if leader_state.term.take().is_some() {
                leader_state.leases.stop_leading();
            }
            return None;
        }
        if leader_state.term != Some(term) {
            leader_state.term = Some(term);
            leader_state.leases.start_leading(now, state.list.entries().values());
        } else {
            let (changed, removed) = state.list.changed_after(leader_state.observed_index);
            let removed: Vec<String> = removed.map(str::to_owned).collect();
            changed.for_each(|record| leader_state.leases.update(now, record));
            removed.iter().for_each(|name| leader_state.leases.remove(name));
        }
        leader_state.observed_index = state.list.version().index;
        Some(leader_state.leases.take_expired(now, state.list.active()))
    }

    /// Renews the lease of an endpoint, at the leader.
    pub async fn renew(&self, name: &str) -> Result<Renewal, WriteError> {
        let leader = self.leader_target().ok_or(WriteError::NoLeader)?;
        if leader.id == self.inner.settings.id {
            return self.renew_as_leader(name);
        }
        let response: Result<Result<bool, WriteError>, CallError> =
            self.inner.peers.call(&leader, Rpc::Renew, name, self.inner.settings.request_timeout).await;
        let renewed = response.map_err(|e| WriteError::OutcomeUnknown(e.to_string()))??;
        Ok(if renewed { Renewal::Renewed } else { Renewal::Unknown })
    }

    pub(super) fn renew_as_leader(&self, name: &str) -> Result<Renewal, WriteError> {
        // Lock order: the list before the leases.
        let is_permanent = self
            .inner
            .applied_state
            .state()
            .list
            .entries()
            .get(name)
            .is_some_and(|record| record.lease_ms == 0);
        let mut leader_state = lock(&self.inner.leader_state);
        if leader_state.term.is_none() {
            return Err(WriteError::NoLeader);
        }
        let renewal = leader_state.leases.renew(self.now(), name);
        Ok(if is_permanent { Renewal::Renewed } else { renewal })
    }
}
