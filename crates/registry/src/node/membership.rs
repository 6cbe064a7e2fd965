//! Membership: bootstrap of a cluster, and the addition and removal of replicas.

use super::{MembershipError, Node, NodeError};
use crate::core::{Command, List, Outcome};
use crate::raft::{Replica, Transport};
use openraft::error::{InitializeError, RaftError};
use openraft::{ChangeMembers, ServerState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a replica that bootstraps a cluster waits to become its leader.
const BOOTSTRAP_ELECTION_TIMEOUT: Duration = Duration::from_secs(30);

impl<T: Transport> Node<T> {
    /// Bootstraps a cluster of this replica alone and starts an epoch of the list, from a backup if one is given,
    /// unless an epoch has started already. Returns whether an epoch was started.
    pub async fn bootstrap_cluster(&self, epoch: u64, backup: Option<Box<List>>) -> Result<bool, NodeError> {
        let raft = &self.inner.raft;
        let members = BTreeMap::from([(self.inner.settings.id, self.inner.own.clone())]);
        match raft.initialize(members).await {
            Ok(()) | Err(RaftError::APIError(InitializeError::NotAllowed(_))) => {}
            Err(error) => return Err(NodeError::raft(error)),
        }
        let wait = raft.wait(Some(BOOTSTRAP_ELECTION_TIMEOUT));
        wait.state(ServerState::Leader, "bootstrap").await.map_err(NodeError::raft)?;
        // An earlier attempt may have been committed and not applied: apply the complete log before checking the epoch.
        raft.ensure_linearizable().await.map_err(NodeError::raft)?;
        if self.inner.applied_state.state().list.version().epoch > 0 {
            return Ok(false);
        }
        match self.write_as_leader(Command::Bootstrap { epoch, backup }).await {
            Ok(Outcome::Applied { .. }) => Ok(true),
            other => Err(NodeError::Bootstrap(other)),
        }
    }

    /// Whether this replica belongs to a cluster.
    pub async fn is_initialized(&self) -> bool {
        self.inner.raft.is_initialized().await.unwrap_or(false)
    }

    /// Whether this replica is the only voter: it is bootstrapping a cluster, or no other replica has been added yet.
    pub fn is_sole_voter(&self) -> bool {
        let metrics = self.inner.raft.metrics();
        let membership = Arc::clone(&metrics.borrow().membership_config);
        let mut voters = membership.voter_ids();
        voters.next() == Some(self.inner.settings.id) && voters.next().is_none()
    }

    /// Adds a replica, at the leader: first as a learner, and as a voter once it has caught up with the log.
    pub async fn add_member(&self, id: u64, replica: Replica) -> Result<(), MembershipError> {
        let member = self.inner.applied_state.state().membership.membership().get_node(&id).cloned();
        if let Some(member) = member
            && member != replica
        {
            return Err(MembershipError::IdTaken { id, address: member.address });
        }
        let _guard = self.inner.membership_change.lock().await;
        self.inner.raft.add_learner(id, replica, true).await?;
        let voters = ChangeMembers::AddVoterIds(BTreeSet::from([id]));
        self.inner.raft.change_membership(voters, true).await?;
        Ok(())
    }

    /// Removes a replica permanently, at the leader.
    pub async fn remove_member(&self, id: u64) -> Result<(), MembershipError> {
        let metrics = self.inner.raft.metrics();
        let voters = metrics.borrow().membership_config.voter_ids().collect::<BTreeSet<_>>();
        if voters.len() < 2 && voters.contains(&id) {
            return Err(MembershipError::LastReplica);
        }
        let _guard = self.inner.membership_change.lock().await;
        let change = ChangeMembers::RemoveVoters(BTreeSet::from([id]));
        self.inner.raft.change_membership(change, false).await?;
        Ok(())
    }

    /// Completes a membership change that an earlier leader left in joint consensus. Until then a quorum of both the
    /// old and the new voters is needed, and the replica that was being added may be the one that is missing.
    pub(super) async fn finish_membership_change(&self) {
        let new_voters = {
            let metrics = self.inner.raft.metrics();
            let metrics = metrics.borrow();
            let joint = metrics.membership_config.membership().get_joint_config();
            joint.get(1).cloned()
        };
        let (Some(voters), Ok(_guard)) = (new_voters, self.inner.membership_change.try_lock()) else {
            return;
        };
        tracing::warn!("completing an interrupted membership change; new voters: {voters:?}");
        let change = ChangeMembers::ReplaceAllVoters(voters);
        let change = self.inner.raft.change_membership(change, true);
        let _ = timeout(self.inner.settings.request_timeout, change).await;
    }
}
