//! Results of applying a command. They are sent between replicas, so their serialized names are fixed.

use super::validation::{InvalidCommand, MAX_ENTRIES, MAX_ENTRIES_WITHOUT_SERVICES};
use lotusmoor_registry_client::Version;
use serde::{Deserialize, Serialize};

/// The result of applying a log entry.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Outcome {
    /// The entry held no command, only Raft's own data.
    #[serde(rename = "Nothing")]
    NoCommand,
    /// The command was applied.
    #[serde(rename = "Done")]
    Applied {
        /// The first version that includes its effect.
        version: Version,
        /// Whether it changed the list.
        changed: bool,
    },
    /// The command was refused and the list is unchanged.
    Refused(Refusal),
}

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, thiserror::Error)]
pub enum Refusal {
    /// The endpoint last changed at another index than the command expects.
    #[error("{name}: last changed at {found}, not as expected")]
    #[serde(rename = "Expected")]
    IndexMismatch {
        /// The endpoint's name.
        name: String,
        /// The index at which it last changed; 0 if it is not listed.
        found: u64,
    },
    /// The endpoint is not listed.
    #[error("{0}: no such server")]
    #[serde(rename = "Unknown")]
    UnknownEndpoint(String),
    /// The list has no capacity left.
    #[error(
        "the list is full: {MAX_ENTRIES} endpoints, or {MAX_ENTRIES_WITHOUT_SERVICES} for a command without services"
    )]
    #[serde(rename = "Full")]
    ListFull,
    /// The command is malformed. The error is kept as text, as it may come from a replica of another version, which may
    /// have other errors.
    #[error("{0}")]
    Invalid(String),
    /// A bootstrap's epoch is out of range or not newer than the list's; or another command came before the first
    /// bootstrap, with 0 as the epoch. Both are the same value on the wire.
    #[error("epoch {0} is out of range or not newer than the list's, or the list is not bootstrapped")]
    #[serde(rename = "Epoch")]
    StaleEpoch(u64),
}

impl From<InvalidCommand> for Refusal {
    fn from(error: InvalidCommand) -> Self {
        Self::Invalid(error.to_string())
    }
}
