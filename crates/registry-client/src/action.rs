//! Output of a watcher.

use crate::list::{Entry, Version};
use crate::{Micros, Report};

/// What a watcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a replica.
    Poll {
        /// Number of the poll, for its [`Event`](crate::Event) to name.
        poll: u64,
        /// The replica, by its position among the addresses.
        replica: usize,
        /// Changes after this version are wanted; `None` for the complete list.
        after: Option<Version>,
        /// How long the replica may wait for a change.
        wait: Micros,
    },
    /// Cancel that poll.
    CancelPoll(u64),
    /// Use this list from now on.
    Apply(AppliedList),
    /// Write [`RegistryWatcher::list`](crate::RegistryWatcher::list) to the cache file.
    Save,
    /// Log this.
    Report(Report),
}

/// A list to be used.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedList {
    /// Its version.
    pub version: Version,
    /// Whether it is the complete list, or changes to the one before.
    pub full: bool,
    /// Its entries; changes may hold removed ones.
    pub entries: Vec<Entry>,
}
