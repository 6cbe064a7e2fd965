//! How the list's log is replicated: openraft's types, and its calls between replicas over a transport that the driver
//! brings (HTTP in a process, a drawn network in the explorer).

mod network;
pub mod runtime;
pub mod transport;

pub use network::Peers;
pub use transport::{CallError, Rpc, Target, Transport};

use crate::core::{Command, Outcome};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// Who a replica is, as all replicas know it. One with the same number and another identity, or at another address, is
/// another: a copy, or a mistake in somebody's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Replica {
    /// Where it is reached.
    pub address: String,
    /// Drawn when its folder was made.
    pub identity: u64,
}

openraft::declare_raft_types!(
    /// The types of the list's log.
    pub Types:
        D = Command,
        R = Outcome,
        NodeId = u64,
        Node = Replica,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = runtime::Seeded,
);

/// A replica's log.
pub type Raft = openraft::Raft<Types>;
/// A place in it.
pub type LogId = openraft::LogId<u64>;
/// An entry of it.
pub type LogEntry = openraft::Entry<Types>;
/// Who votes, and since which place.
pub type Membership = openraft::StoredMembership<u64, Replica>;
/// A vote.
pub type Vote = openraft::Vote<u64>;
/// What openraft takes for a failed store.
pub type StorageError = openraft::StorageError<u64>;
