//! Writes: commands are forwarded to the leader, which appends them to the log.

use super::{Node, WriteError, lock};
use crate::core::{Command, Outcome, Refusal};
use crate::raft::{CallError, Replica, Rpc, Transport};
use openraft::error::{ClientWriteError, RaftError};
use tokio::time::timeout;

type ClientWriteFailure = RaftError<u64, ClientWriteError<u64, Replica>>;

impl<T: Transport> Node<T> {
    /// Carries a command out at the leader.
    pub async fn write(&self, command: Command) -> Result<Outcome, WriteError> {
        let command = command.into_log_form();
        let leader = self.leader_target().ok_or(WriteError::NoLeader)?;
        if leader.id == self.inner.settings.id {
            return self.write_as_leader(command).await;
        }
        // Twice the leader's own timeout, so that its answer arrives even when the write takes the whole of it.
        let call_timeout = 2 * self.inner.settings.request_timeout;
        let answer: Result<Result<Outcome, WriteError>, CallError> =
            self.inner.peers.call(&leader, Rpc::Write, command, call_timeout).await;
        match answer {
            Ok(outcome) => outcome,
            Err(CallError::NotSent(_) | CallError::Rejected(_)) => Err(WriteError::NoLeader),
            Err(error) => Err(WriteError::OutcomeUnknown(error.to_string())),
        }
    }

    pub(super) async fn write_as_leader(&self, command: Command) -> Result<Outcome, WriteError> {
        let command = command.into_log_form();
        if command.has_services() && !self.inner.store.format().has_services() {
            let reason = "services can't be written with this format: start all replicas without it first";
            return Ok(Outcome::Refused(Refusal::Invalid(reason.into())));
        }
        if let Some(name) = single_server(&command) {
            lock(&self.inner.flaps).try_change(self.now(), name).map_err(WriteError::RateLimited)?;
        }
        let registered = registered_servers(&command);
        let write = self.inner.raft.client_write(command);
        match timeout(self.inner.settings.request_timeout, write).await {
            Ok(Ok(response)) => {
                if matches!(response.data, Outcome::Applied { .. }) {
                    self.renew_registered(&registered);
                }
                Ok(response.data)
            }
            Ok(Err(error)) => Err(write_error(error)),
            Err(_) => Err(WriteError::OutcomeUnknown("not at a majority in time".into())),
        }
    }

    /// A registration renews the leases of its servers, also of those that it leaves as they are.
    fn renew_registered(&self, names: &[String]) {
        let mut leader_state = lock(&self.inner.leader_state);
        let now = self.now();
        for name in names {
            leader_state.leases.renew(now, name);
        }
    }
}

/// The server that a command changes, where it changes a single one: such changes are rate-limited.
fn single_server(command: &Command) -> Option<&str> {
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

fn registered_servers(command: &Command) -> Vec<String> {
    match command.unwrapped() {
        Command::Register { servers, .. } => servers.iter().map(|s| s.entry.name.clone()).collect(),
        _ => Vec::new(),
    }
}

fn write_error(error: ClientWriteFailure) -> WriteError {
    match error {
        // openraft also says so of a command that was proposed before this replica lost the lead.
        RaftError::APIError(ClientWriteError::ForwardToLeader(_)) => {
            WriteError::OutcomeUnknown("the lead was lost".into())
        }
        RaftError::APIError(error) => WriteError::OutcomeUnknown(error.to_string()),
        RaftError::Fatal(fatal) => WriteError::Stopped(fatal.to_string()),
    }
}
