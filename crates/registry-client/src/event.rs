//! Input of a watcher.

use crate::list::{EndpointList, ListUpdate};
use crate::{Micros, PollError};

/// What happens to a watcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// It starts, with the list of its cache file if there is one.
    Start(Option<EndpointList>),
    /// A replica responded to a poll.
    Response {
        /// The poll.
        poll: u64,
        /// The response.
        update: ListUpdate,
    },
    /// A poll failed.
    PollFailed {
        /// The poll.
        poll: u64,
        /// The replica's `Retry-After`.
        retry_after: Option<Micros>,
        /// What went wrong.
        error: PollError,
    },
    /// Servers of these services are watched from now on; empty means all servers.
    ServicesChanged(Vec<String>),
    /// The instant of [`RegistryWatcher::next_timer`](crate::RegistryWatcher::next_timer) has come.
    Timer,
}
