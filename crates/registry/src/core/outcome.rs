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
        "the list is full: {MAX_ENTRIES} servers, {MAX_ENTRIES_WITHOUT_SERVICES} for one without a service"
    )]
    #[serde(rename = "Full")]
    ListFull,
    /// The command is malformed. A text, since a replica of another version may have found the fault.
    #[error("{0}")]
    Invalid(String),
    /// The list is not bootstrapped, or its epoch is not older than this one.
    #[error("epoch {0} does not follow")]
    #[serde(rename = "Epoch")]
    StaleEpoch(u64),
}

impl From<InvalidCommand> for Refusal {
    fn from(error: InvalidCommand) -> Self {
        Self::Invalid(error.to_string())
    }
}
