//! The receiving side of calls between replicas.

use super::{Node, PeerCallError};
use crate::core::Command;
use crate::core::lease::Renewal;
use crate::raft::transport::Envelope;
use crate::raft::{LogEntry, Replica, Rpc, Transport, TypeConfig};
use openraft::EntryPayload;
use openraft::raft::{AppendEntriesRequest, InstallSnapshotRequest, VoteRequest};
use serde::de::DeserializeOwned;

/// Who may make a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Callers {
    /// Any replica. One that is being added is not a member yet when it receives its leader's first calls.
    Any,
    /// Members only, unless this replica knows no members.
    Members,
}

impl<T: Transport> Node<T> {
    /// Handles a call of another replica and returns the encoded response.
    pub async fn handle_peer_call(&self, rpc: Rpc, bytes: &[u8]) -> Result<Vec<u8>, PeerCallError> {
        let response = match rpc {
            Rpc::Append => {
                let request: AppendEntriesRequest<TypeConfig> = self.open_envelope(bytes, Callers::Any)?;
                self.check_services(&request.entries)?;
                serde_json::to_vec(&self.inner.raft.append_entries(request).await)
            }
            Rpc::Vote => {
                let request: VoteRequest<_> = self.open_envelope(bytes, Callers::Members)?;
                serde_json::to_vec(&self.inner.raft.vote(request).await)
            }
            Rpc::Snapshot => {
                let request: InstallSnapshotRequest<_> = self.open_envelope(bytes, Callers::Any)?;
                serde_json::to_vec(&self.inner.raft.install_snapshot(request).await)
            }
            Rpc::ReadIndex => {
                let () = self.open_envelope(bytes, Callers::Members)?;
                serde_json::to_vec(&self.read_index_as_leader().await)
            }
            Rpc::Write => {
                let command: Command = self.open_envelope(bytes, Callers::Members)?;
                serde_json::to_vec(&self.write_as_leader(command).await)
            }
            Rpc::Renew => {
                let name: String = self.open_envelope(bytes, Callers::Members)?;
                serde_json::to_vec(&self.renew_as_leader(&name).map(|renewal| renewal == Renewal::Renewed))
            }
        };
        Ok(response?)
    }

    /// Rejects entries with services if this replica's store format does not support them.
    fn check_services(&self, entries: &[LogEntry]) -> Result<(), PeerCallError> {
        let has_services =
            |e: &LogEntry| matches!(&e.payload, EntryPayload::Normal(command) if command.has_services());
        if !self.inner.store.format().has_services() && entries.iter().any(has_services) {
            return Err(PeerCallError::ServicesUnsupported);
        }
        Ok(())
    }

    /// Decodes a call, and checks that it is addressed to this replica and that its caller is who it claims to be.
    fn open_envelope<B: DeserializeOwned>(&self, bytes: &[u8], callers: Callers) -> Result<B, PeerCallError> {
        let envelope: Envelope<B> = serde_json::from_slice(bytes)?;
        let own = self.inner.settings.id;
        if envelope.to != own {
            return Err(PeerCallError::WrongReplica { own, addressed: envelope.to });
        }
        let state = self.inner.applied_state.state();
        let membership = state.membership.membership();
        let caller = Replica { address: envelope.address, identity: envelope.identity };
        match membership.get_node(&envelope.from) {
            Some(member) if *member != caller => {
                let error = PeerCallError::DuplicateId { id: envelope.from, caller, member: member.clone() };
                tracing::error!("{error}");
                Err(error)
            }
            // A removed replica may not know of its removal. A replica that was just created knows no members.
            None if callers == Callers::Members && membership.nodes().next().is_some() => {
                Err(PeerCallError::NotAMember(envelope.from))
            }
            _ => Ok(envelope.body),
        }
    }
}
