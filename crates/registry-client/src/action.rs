//! Output of a watcher: the actions that its driver carries out.

use crate::list::{Entry, Version};
use crate::{Micros, Report};

/// An action for the driver of a watcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a replica.
    Poll {
        /// Identifies the poll in the [`Event`](crate::Event) that completes it.
        poll: u64,
        /// Index of the replica among the configured addresses.
        replica: usize,
        /// Requests the changes after this version; `None` requests the complete list.
        after: Option<Version>,
        /// How long the replica may hold the poll until there is a change.
        wait: Micros,
    },
    /// Cancel that poll.
    CancelPoll(u64),
    /// Use this list, or these changes to the list in use, from now on.
    Apply(AppliedList),
    /// Write [`RegistryWatcher::list`](crate::RegistryWatcher::list) to the cache file.
    Save,
    /// Log this report.
    Report(Report),
}

/// A list to use, or changes to the list in use.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedList {
    /// Version of the list, with the changes applied.
    pub version: Version,
    /// Whether this is the complete list; otherwise it is changes to the previous list.
    pub full: bool,
    /// The entries; changes may include removed ones.
    pub entries: Vec<Entry>,
}
