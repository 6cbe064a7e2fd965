//! What a watcher reports to operators.

use crate::list::{UnreadableEntry, Version};
use crate::{Micros, PollError};

/// Something to log.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A poll failed.
    PollFailed {
        /// The replica.
        replica: usize,
        /// What went wrong.
        error: PollError,
    },
    /// A replica has an older list than this watcher: it is not used.
    OlderVersion {
        /// The replica.
        replica: usize,
        /// Its version.
        version: Version,
    },
    /// Two replicas have different lists of one version, which is a fault of the registry: the new one is not used.
    DigestMismatch {
        /// The replica.
        replica: usize,
        /// The version.
        version: Version,
    },
    /// An entry can't be read and was left out.
    UnreadableEntry(UnreadableEntry),
    /// A list removes too many servers: it is withheld until it is confirmed.
    Withheld {
        /// The replica that has it.
        replica: usize,
        /// Its version.
        version: Version,
        /// How many active servers it removes.
        removed: usize,
        /// How many active servers there were.
        active_before: usize,
    },
    /// That replica confirmed the withheld list, which is used.
    Confirmed(usize),
    /// That replica does not confirm the withheld list: its own is used.
    Unconfirmed(usize),
    /// A watched service has no servers in the list that is used from now on. Reported again once it had some.
    NoServers(String),
    /// The list is this old, in microseconds, and nothing newer is known: it stays in use.
    Stale(Micros),
    /// It is up to date again.
    Fresh,
}
