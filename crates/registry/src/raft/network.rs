//! The sending side of calls between replicas.

use super::transport::{CallError, Envelope, Rpc, Target, Transport};
use super::{Replica, TypeConfig};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::time::Duration;

/// Makes calls from this replica to the others.
#[derive(Clone)]
pub struct Peers<T> {
    /// The transport of the calls.
    pub transport: T,
    /// Id of this replica.
    pub id: u64,
    /// This replica as a member.
    pub own: Replica,
}

impl<T: Transport> Peers<T> {
    /// Makes a call and decodes its response.
    pub async fn call<B: Serialize, A: DeserializeOwned>(
        &self,
        to: &Target,
        rpc: Rpc,
        body: B,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let envelope = Envelope {
            from: self.id,
            identity: self.own.identity,
            address: self.own.address.clone(),
            to: to.id,
            body,
        };
        let bytes = serde_json::to_vec(&envelope).map_err(|e| CallError::NotSent(e.into()))?;
        let response = self.transport.call(to, rpc, bytes, timeout).await?;
        serde_json::from_slice(&response)
            .map_err(|e| CallError::NoValidResponse(format!("malformed: {e}").into()))
    }
}

/// Makes openraft's calls to another replica.
pub struct Peer<T> {
    peers: Peers<T>,
    to: Target,
}

impl<T: Transport> RaftNetworkFactory<TypeConfig> for Peers<T> {
    type Network = Peer<T>;

    async fn new_client(&mut self, id: u64, replica: &Replica) -> Peer<T> {
        Peer { peers: self.clone(), to: Target { id, address: replica.address.clone() } }
    }
}

impl<T: Transport> Peer<T> {
    async fn call<B, A, E>(
        &self,
        rpc: Rpc,
        body: B,
        option: &RPCOption,
    ) -> Result<A, RPCError<u64, Replica, RaftError<u64, E>>>
    where
        B: Serialize,
        A: DeserializeOwned,
        E: Error + DeserializeOwned,
    {
        let response: Result<Result<A, RaftError<u64, E>>, CallError> =
            self.peers.call(&self.to, rpc, body, option.hard_ttl()).await;
        match response {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(RPCError::RemoteError(RemoteError::new(self.to.id, error))),
            // openraft backs off from an unreachable replica.
            Err(error @ CallError::NotSent(_)) => Err(RPCError::Unreachable(Unreachable::new(&error))),
            Err(error) => Err(RPCError::Network(NetworkError::new(&error))),
        }
    }
}

impl<T: Transport> RaftNetwork<TypeConfig> for Peer<T> {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, Replica, RaftError<u64>>> {
        self.call(Rpc::Append, rpc, &option).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RPCError<u64, Replica, RaftError<u64, InstallSnapshotError>>>
    {
        self.call(Rpc::Snapshot, rpc, &option).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, Replica, RaftError<u64>>> {
        self.call(Rpc::Vote, rpc, &option).await
    }
}
