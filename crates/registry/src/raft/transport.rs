//! Calls between replicas, and the interface of the transport that carries them.

use serde::{Deserialize, Serialize};
use std::error::Error;
use std::future::Future;
use std::time::Duration;

/// The calls between replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Rpc {
    /// Appends log entries; without entries it is a heartbeat.
    Append,
    /// Requests a vote.
    Vote,
    /// Installs a chunk of a snapshot.
    Snapshot,
    /// Requests the leader's read index.
    #[serde(rename = "committed")]
    ReadIndex,
    /// Forwards a command to the leader.
    Write,
    /// Forwards the renewal of a lease to the leader.
    Renew,
}

impl Rpc {
    /// All calls.
    pub const ALL: [Self; 6] =
        [Self::Append, Self::Vote, Self::Snapshot, Self::ReadIndex, Self::Write, Self::Renew];

    /// The name of the call in the path of a request.
    pub fn name(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::Vote => "vote",
            Self::Snapshot => "snapshot",
            Self::ReadIndex => "committed",
            Self::Write => "write",
            Self::Renew => "renew",
        }
    }
}

/// A replica to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub id: u64,
    /// Its address.
    pub address: String,
}

/// The cause of a failed call.
type Cause = Box<dyn Error + Send + Sync>;

/// Why a call failed, by whether it may have taken effect. The texts contain their cause, which is therefore not a
/// `source`: openraft would append it a second time.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call was not sent.
    #[error("not reached: {0}")]
    NotSent(Cause),
    /// The call may have been received, but there was no valid response.
    #[error("no valid response: {0}")]
    NoValidResponse(Cause),
    /// The other replica rejected the call; it had no effect.
    #[error("rejected: {0}")]
    Rejected(Cause),
}

/// Carries the bytes of calls and responses.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Makes a call, which fails after `timeout`.
    fn call(
        &self,
        to: &Target,
        rpc: Rpc,
        body: Vec<u8>,
        timeout: Duration,
    ) -> impl Future<Output = Result<Vec<u8>, CallError>> + Send;
}

/// A call with its caller and its receiver, as it is sent.
#[derive(Debug, Deserialize, Serialize)]
pub struct Envelope<B> {
    /// The caller's id.
    pub from: u64,
    /// The caller's identity.
    pub identity: u64,
    /// The caller's address.
    pub address: String,
    /// The receiver's id.
    pub to: u64,
    /// The parameters of the call.
    pub body: B,
}
