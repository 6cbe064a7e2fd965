//! The history of a schedule: what callers and readers observed.

use super::clock::Step;
use lotusmoor_registry_client::{Entry, Status, Version};
use std::collections::BTreeMap;

/// An operation that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Gives an endpoint a status; `expect` is the index at which it must last have changed.
    Write {
        /// The endpoint's name.
        name: String,
        /// Its new status.
        status: Status,
        /// The expected index, if any.
        expect: Option<u64>,
    },
    /// Reads a list that includes everything acknowledged before.
    LinearizableRead,
    /// Reads a replica's local list.
    LocalRead {
        /// The replica's id.
        replica: u64,
    },
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The write was acknowledged.
    Written {
        /// The first version that includes it.
        version: Version,
        /// Whether it changed the list.
        changed: bool,
    },
    /// The write was refused since the endpoint last changed at this index; 0: it is not listed.
    IndexMismatch(u64),
    /// The write was refused since the endpoint is not listed.
    NotListed,
    /// A list was read.
    Read {
        /// Its version.
        version: Version,
        /// Its digest.
        digest: u64,
        /// Its reported maximum age in steps.
        age: Step,
    },
    /// The operation had no effect.
    Failed,
    /// The operation may have had an effect.
    Unknown,
}

/// The end of a call, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The time.
    pub at: Step,
    /// The result.
    pub result: CallResult,
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The requested operation.
    pub operation: Operation,
    /// When it was requested.
    pub started_at: Step,
    /// Its end; `None` if the caller saw none.
    pub completion: Option<Completion>,
}

impl Call {
    /// The result, if the caller saw one.
    pub(super) fn result(&self) -> Option<&CallResult> {
        self.completion.as_ref().map(|completion| &completion.result)
    }
}

/// An update that a reader of some services got, with the reader's list after it.
#[derive(Clone, Debug)]
pub struct ReaderUpdate {
    /// The reader's services, sorted by name.
    pub services: Vec<String>,
    /// The list's version.
    pub version: Version,
    /// The digest of these services.
    pub digest: u64,
    /// Whether the update was a full snapshot.
    pub snapshot: bool,
    /// The update's entries.
    pub entries: Vec<Entry>,
    /// Whether the reader was woken by a change or its wait timed out; `None` if it did not wait.
    pub woken: Option<bool>,
    /// The reader's list after the update.
    pub reader_entries: BTreeMap<String, Entry>,
    /// The replica's entries of these services at that version.
    pub replica_entries: BTreeMap<String, Entry>,
}

/// A change in the history that the registry itself reports.
#[derive(Clone, Debug)]
pub struct ListedChange {
    /// Its index.
    pub index: u64,
    /// The endpoint's name.
    pub name: String,
    /// The endpoint's new status.
    pub status: Status,
    /// Whether an expired lease caused it.
    pub expired: bool,
}

/// A replica's version and digest, as the explorer saw them inside the replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The replica's id.
    pub replica: u64,
    /// The time.
    pub at: Step,
    /// The list's version.
    pub version: Version,
    /// The list's digest.
    pub digest: u64,
}

/// Everything that was observed in a schedule.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All calls.
    pub calls: Vec<Call>,
    /// All changes, as the registry reports them at the end.
    pub changes: Vec<ListedChange>,
    /// The list's first index, at which it was empty.
    pub first_index: u64,
    /// Regular observations of all replicas.
    pub observations: Vec<Observation>,
    /// Updates of readers of services.
    pub reader_updates: Vec<ReaderUpdate>,
}
