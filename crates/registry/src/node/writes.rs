//! Writes: commands are forwarded to the leader, which appends them to the log.

use super::{Node, WriteError, lock};
use crate::core::{Command, Outcome, Refusal};
use crate::raft::{CallError, Replica, Rpc, Transport};
use openraft::error::{ClientWriteError, RaftError};
use tokio::time::timeout;

type ClientWriteFailure = RaftError<u64, ClientWriteError<u64, Replica>>;

impl<T: Transport> Node<T> {
    /// Executes a command at the leader, which may be this replica.
    pub async fn write(&self, command: Command) -> Result<Outcome, WriteError> {
        let command = command.into_log_form();
        let leader = self.leader_target().ok_or(WriteError::NoLeader)?;
        if leader.id == self.inner.settings.id {
            return self.write_as_leader(command).await;
        }
        // Twice the leader's own timeout, so that its response arrives even if the write takes all of that.
        let call_timeout = 2 * self.inner.settings.request_timeout;
        let response: Result<Result<Outcome, WriteError>, CallError> =
            self.inner.peers.call(&leader, Rpc::Write, command, call_timeout).await;
        match response {
            Ok(outcome) => outcome,
            Err(CallError::NotSent(_) | CallError::Rejected(_)) => Err(WriteError::NoLeader),
            Err(error) => Err(WriteError::OutcomeUnknown(error.to_string())),
        }
    }

    pub(super) async fn write_as_leader(&self, command: Command) -> Result<Outcome, WriteError> {
        let command = command.into_log_form();
        if command.has_services() && !self.inner.store.format().has_services() {
            let reason =
                "services require store format 3: first restart all replicas without an older format setting";
            return Ok(Outcome::Refused(Refusal::Invalid(reason.into())));
        }
        if let Some(name) = single_endpoint(&command) {
            lock(&self.inner.flap_damping).try_change(self.now(), name).map_err(WriteError::RateLimited)?;
        }
        let registered = registered_endpoints(&command);
        let write = self.inner.raft.client_write(command);
        match timeout(self.inner.settings.request_timeout, write).await {
            Ok(Ok(response)) => {
                if matches!(response.data, Outcome::Applied { .. }) {
                    self.renew_registered(&registered);
                }
                Ok(response.data)
            }
            Ok(Err(error)) => Err(write_error(error)),
            Err(_) => Err(WriteError::OutcomeUnknown("not acknowledged by a quorum in time".into())),
        }
    }

    /// Renews the leases of the endpoints of a registration, including those that it did not change.
    fn renew_registered(&self, names: &[String]) {
        let mut leader_state = lock(&self.inner.leader_state);
        let now = self.now();
        for name in names {
            leader_state.leases.renew(now, name);
        }
    }
}

/// The endpoint that a command changes, if it changes only one: such changes are rate-limited.
fn single_endpoint(command: &Command) -> Option<&str> {
    match command.unwrapped() {
        Command::Drain { name, .. } | Command::Resume { name, .. } | Command::Remove { name, .. } => {
            Some(name)
        }
        Command::Register { servers, .. } if servers.len() == 1 => {
            servers.first().map(|s| s.entry.name.as_str())
        }
        _ => None,
    }
}

fn registered_endpoints(command: &Command) -> Vec<String> {
    match command.unwrapped() {
        Command::Register { servers, .. } => servers.iter().map(|s| s.entry.name.clone()).collect(),
        _ => Vec::new(),
    }
}

fn write_error(error: ClientWriteFailure) -> WriteError {
    match error {
        // openraft also returns this for a command that was proposed before this replica lost leadership.
        RaftError::APIError(ClientWriteError::ForwardToLeader(_)) => {
            WriteError::OutcomeUnknown("the lead was lost".into())
        }
        RaftError::APIError(error) => WriteError::OutcomeUnknown(error.to_string()),
        RaftError::Fatal(fatal) => WriteError::Stopped(fatal.to_string()),
    }
}
