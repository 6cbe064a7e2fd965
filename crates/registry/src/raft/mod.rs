//! Replication of the list's log: openraft's types, and its calls between replicas over a [`Transport`], which is HTTP
//! in the registry process and a simulated network in the fault exploration ([`crate::explore`]).

mod network;
pub mod runtime;
pub mod transport;

pub use network::Peers;
pub use transport::{CallError, Rpc, Target, Transport};

use crate::core::{Command, Outcome};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// A member of the cluster. A replica with the same id and another identity or address is a different one: a copy, or a
/// mistake in a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Replica {
    /// Address at which other replicas reach it.
    pub address: String,
    /// Random number, drawn when its store was created.
    pub identity: u64,
}

openraft::declare_raft_types!(
    /// The types with which openraft is instantiated.
    pub TypeConfig:
        D = Command,
        R = Outcome,
        NodeId = u64,
        Node = Replica,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = runtime::SeededRuntime,
);

/// A replica's Raft instance.
pub type Raft = openraft::Raft<TypeConfig>;
/// The position of a log entry.
pub type LogId = openraft::LogId<u64>;
/// A log entry.
pub type LogEntry = openraft::Entry<TypeConfig>;
/// The members, with the position of the log entry that set them.
pub type Membership = openraft::StoredMembership<u64, Replica>;
/// A vote in an election.
pub type Vote = openraft::Vote<u64>;
/// The error with which a store stops openraft.
pub type StorageError = openraft::StorageError<u64>;
