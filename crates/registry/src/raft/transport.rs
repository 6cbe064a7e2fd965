//! What carries calls between replicas.

use serde::{Deserialize, Serialize};
use std::future::Future;
use std::time::Duration;

/// The calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Rpc {
    /// Entries of the log, or a heartbeat.
    Append,
    /// A vote is wanted.
    Vote,
    /// A part of a snapshot.
    Snapshot,
    /// Up to where is the log committed? Asked of the leader.
    Committed,
    /// A command for the leader.
    Write,
    /// A server's renewal, for the leader.
    Renew,
}

impl Rpc {
    /// All of them.
    pub const ALL: [Self; 6] =
        [Self::Append, Self::Vote, Self::Snapshot, Self::Committed, Self::Write, Self::Renew];

    /// Its name in addresses.
    pub fn name(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::Vote => "vote",
            Self::Snapshot => "snapshot",
            Self::Committed => "committed",
            Self::Write => "write",
            Self::Renew => "renew",
        }
    }
}

/// A replica to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its number.
    pub id: u64,
    /// Its address.
    pub address: String,
}

/// Why a call failed.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum CallError {
    /// It never went out.
    #[error("not reached: {0}")]
    Unreached(String),
    /// It may have come there.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The other turned it down, whole.
    #[error("turned down: {0}")]
    TurnedDown(String),
}

/// Carries calls: bytes there, bytes back.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Makes a call, which has failed after `patience`.
    fn call(
        &self,
        to: &Target,
        rpc: Rpc,
        body: Vec<u8>,
        patience: Duration,
    ) -> impl Future<Output = Result<Vec<u8>, CallError>> + Send;
}

/// A call with who makes it and whom it is for.
#[derive(Debug, Deserialize, Serialize)]
pub struct Envelope<B> {
    /// The caller's number.
    pub from: u64,
    /// The caller's identity.
    pub identity: u64,
    /// The caller's address.
    pub address: String,
    /// Whom it is for.
    pub to: u64,
    /// What is said.
    pub body: B,
}
