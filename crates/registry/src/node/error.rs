//! Errors of a replica.

use crate::core::Micros;
use crate::core::Outcome;
use crate::raft::Replica;
use crate::store::StoreError;
use openraft::ConfigError;
use openraft::error::{ClientWriteError, RaftError};
use serde::{Deserialize, Serialize};
use std::error::Error;

/// Why a replica can't be started, or its cluster not be bootstrapped.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The store can't be used.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// openraft rejects the settings.
    #[error("{0}")]
    Settings(#[source] Box<ConfigError>),
    /// openraft has stopped, or one of its operations failed.
    #[error("{0}")]
    Raft(#[source] Box<dyn Error + Send + Sync>),
    /// The command that starts the first epoch failed.
    #[error("the list could not be bootstrapped: {0:?}")]
    Bootstrap(Result<Outcome, WriteError>),
}

impl NodeError {
    pub(super) fn raft(error: impl Error + Send + Sync + 'static) -> Self {
        Self::Raft(Box::new(error))
    }
}

/// Why a write is not known to be committed. Replicas send it to each other as JSON, so the serialized names are fixed,
/// and causes are sent as text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Deserialize, Serialize)]
pub enum WriteError {
    /// No leader is known here: nothing was written.
    #[error("no leader")]
    NoLeader,
    /// The outcome of the write is unknown: it may have been committed.
    #[error("it may have been written: {0}")]
    #[serde(rename = "Unknown")]
    OutcomeUnknown(String),
    /// The endpoint's changes exceed its rate limit: nothing was written. It may retry after this many microseconds.
    #[error("this server changes the list too often")]
    #[serde(rename = "TooOften")]
    RateLimited(Micros),
    /// The replica has stopped, for example because its disk failed.
    #[error("{0}")]
    Stopped(String),
}

/// Why a call of another replica is rejected. The text is sent to the caller.
#[derive(Debug, thiserror::Error)]
pub enum PeerCallError {
    /// The call can't be decoded, or the response can't be encoded.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A log entry has services, which this replica's store format does not support.
    #[error("a log entry has services, which this replica's store format does not support")]
    ServicesUnsupported,
    /// The call is addressed to another replica.
    #[error("this is replica {own}, not {addressed}")]
    WrongReplica {
        /// This replica.
        own: u64,
        /// The replica that is addressed.
        addressed: u64,
    },
    /// A member with the caller's id has another identity or address.
    #[error(
        "two replicas have the number {id}: the one at {} is not the one that belongs here, at {}",
        caller.address, member.address
    )]
    DuplicateId {
        /// The id.
        id: u64,
        /// The caller.
        caller: Replica,
        /// The member with that id.
        member: Replica,
    },
    /// The caller is not a member.
    #[error("replica {0} does not belong here")]
    NotAMember(u64),
}

/// Why the membership of a cluster was not changed.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// Another replica has that id. A joining replica recognizes this error by the end of its text.
    #[error("replica {id} is the one at {address}: a new one needs a number of its own")]
    IdTaken {
        /// The id.
        id: u64,
        /// Address of the member with that id.
        address: String,
    },
    /// A cluster needs a voter.
    #[error("the last replica can't be removed")]
    LastReplica,
    /// openraft did not commit the change.
    #[error("{0}")]
    Raft(#[from] RaftError<u64, ClientWriteError<u64, Replica>>),
}
