//! What the list stores for each endpoint and each change. Both are part of snapshots, backups and responses to
//! operators, so their serialized names are fixed.

use lotusmoor_registry_client::{Entry, Status, StatusReason};
use serde::{Deserialize, Serialize};

/// An endpoint with its registration data.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EndpointRecord {
    /// The endpoint as clients see it.
    pub entry: Entry,
    /// Index of its last change.
    #[serde(rename = "changed")]
    pub changed_index: u64,
    /// Index of its last registration.
    #[serde(rename = "registered")]
    pub registered_index: u64,
    /// Lease duration in milliseconds; 0 for none.
    pub lease_ms: u64,
}

impl EndpointRecord {
    /// The same record with another status.
    pub(super) fn with_status(&self, status: Status, reason: StatusReason) -> Self {
        let entry = Entry { status, status_reason: reason, ..self.entry.clone() };
        Self { entry, ..self.clone() }
    }
}

/// A change of an endpoint, for the history that operators read.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Change {
    /// Index of the version that includes it.
    pub index: u64,
    /// The caller's Unix time in milliseconds.
    pub at_ms: u64,
    /// The endpoint's name.
    pub name: String,
    /// The endpoint's new status.
    pub status: Status,
    /// The reason for the status.
    #[serde(rename = "why")]
    pub reason: StatusReason,
}
