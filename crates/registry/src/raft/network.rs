//! openraft's calls, put into envelopes.

use super::transport::{CallError, Envelope, Rpc, Target, Transport};
use super::{Replica, Types};
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

/// Makes the calls of one replica to the others.
#[derive(Clone)]
pub struct Peers<T> {
    /// What carries them.
    pub transport: T,
    /// The replica's number.
    pub id: u64,
    /// The replica as others know it.
    pub own: Replica,
}

impl<T: Transport> Peers<T> {
    /// Makes a call, and reads what it is answered.
    pub async fn call<B: Serialize, A: DeserializeOwned>(
        &self,
        to: &Target,
        rpc: Rpc,
        body: B,
        patience: Duration,
    ) -> Result<A, CallError> {
        let envelope = Envelope {
            from: self.id,
            identity: self.own.identity,
            address: self.own.address.clone(),
            to: to.id,
            body,
        };
        let bytes = serde_json::to_vec(&envelope).map_err(|e| CallError::Unreached(e.to_string()))?;
        let answer = self.transport.call(to, rpc, bytes, patience).await?;
        serde_json::from_slice(&answer).map_err(|e| CallError::Unanswered(format!("unreadable: {e}")))
    }
}

/// The way to one other replica.
pub struct Peer<T> {
    peers: Peers<T>,
    to: Target,
}

impl<T: Transport> RaftNetworkFactory<Types> for Peers<T> {
    type Network = Peer<T>;

    async fn new_client(&mut self, id: u64, replica: &Replica) -> Peer<T> {
        Peer { peers: self.clone(), to: Target { id, address: replica.address.clone() } }
    }
}

impl<T: Transport> Peer<T> {
    async fn ask<B, A, E>(
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
        let answer: Result<Result<A, RaftError<u64, E>>, CallError> =
            self.peers.call(&self.to, rpc, body, option.hard_ttl()).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(RPCError::RemoteError(RemoteError::new(self.to.id, error))),
            // Where nobody is there, openraft waits a little before it tries again.
            Err(error @ CallError::Unreached(_)) => Err(RPCError::Unreachable(Unreachable::new(&error))),
            Err(error) => Err(RPCError::Network(NetworkError::new(&error))),
        }
    }
}

impl<T: Transport> RaftNetwork<Types> for Peer<T> {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, Replica, RaftError<u64>>> {
        self.ask(Rpc::Append, rpc, &option).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RPCError<u64, Replica, RaftError<u64, InstallSnapshotError>>>
    {
        self.ask(Rpc::Snapshot, rpc, &option).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, Replica, RaftError<u64>>> {
        self.ask(Rpc::Vote, rpc, &option).await
    }
}
