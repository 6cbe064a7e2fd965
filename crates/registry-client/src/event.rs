//! Input of a watcher: the events that its driver passes to it.

use crate::list::{EndpointList, ListUpdate};
use crate::{Micros, PollError};

/// An event that a watcher handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The watcher starts, with the list from its cache file if there is one.
    Start(Option<EndpointList>),
    /// A replica responded to a poll.
    Response {
        /// ID of the poll.
        poll: u64,
        /// The response.
        update: ListUpdate,
    },
    /// A poll failed.
    PollFailed {
        /// ID of the poll.
        poll: u64,
        /// `Retry-After` of the replica's response, if any.
        retry_after: Option<Micros>,
        /// Why the poll failed.
        error: PollError,
    },
    /// Only servers of these services are watched from now on; empty means all servers.
    ServicesChanged(Vec<String>),
    /// The instant returned by [`RegistryWatcher::next_timer`](crate::RegistryWatcher::next_timer) was reached.
    Timer,
}
