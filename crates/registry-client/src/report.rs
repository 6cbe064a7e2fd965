//! Reports of a watcher to operators.

use crate::list::{UnreadableEntry, Version};
use crate::{Micros, PollError};

/// An observation of a watcher, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A poll failed.
    PollFailed {
        /// The replica.
        replica: usize,
        /// Why the poll failed.
        error: PollError,
    },
    /// A replica has an older list than this watcher; it is not used.
    OlderVersion {
        /// The replica.
        replica: usize,
        /// Version of its list.
        version: Version,
    },
    /// A replica has a different list of the same version, which is a fault of the registry; it is not used.
    DigestMismatch {
        /// The replica.
        replica: usize,
        /// The version.
        version: Version,
    },
    /// An entry could not be decoded and is ignored.
    UnreadableEntry(UnreadableEntry),
    /// A list removes too many servers; it is withheld until it is confirmed.
    Withheld {
        /// The replica that sent the list.
        replica: usize,
        /// Version of that list.
        version: Version,
        /// Number of active servers that the list removes.
        removed: usize,
        /// Number of active servers before.
        active_before: usize,
    },
    /// That replica confirmed the withheld list, which is used now.
    Confirmed(usize),
    /// That replica did not confirm the withheld list; its own list is used instead.
    Unconfirmed(usize),
    /// A watched service has no servers in the list. Reported again only after it has had servers in between.
    NoServers(String),
    /// The list became stale and has this age in microseconds; it stays in use.
    Stale(Micros),
    /// The list is up to date again.
    Fresh,
}
