//! What a failed call on a socket or a file means. The one place that tells failures that pass from those that last:
//! whoever reads a failure as the end of something, or as nothing being there, asks here first.

use std::io;
use std::time::Duration;

/// Numbers of errors that the standard library has no kind for.
const EIO: i32 = 5;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;
const EDQUOT: i32 = 122;

/// Pause before a call is made again that failed for want of a resource.
pub const RESOURCE_PAUSE: Duration = Duration::from_millis(10);

/// What a failed call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoFailure {
    /// Nothing is there now; the system says when something is.
    NotReady,
    /// The call was interrupted: the same one may be made again at once.
    Interrupted,
    /// This machine is short of something. The same call may be made again after a pause.
    Shortage,
    /// What was called on is at its end.
    Final,
}

impl IoFailure {
    /// Of a call on a connection.
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::WouldBlock => Self::NotReady,
            io::ErrorKind::Interrupted => Self::Interrupted,
            io::ErrorKind::OutOfMemory => Self::Shortage,
            _ => match error.raw_os_error() {
                Some(ENFILE | EMFILE | ENOBUFS) => Self::Shortage,
                _ => Self::Final,
            },
        }
    }

    /// Of a call on a file, or on the way to one. A disk may fail for a while.
    pub fn of_file(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(EIO | ENOSPC | EDQUOT) => Self::Shortage,
            _ => Self::of(error),
        }
    }

    /// Of an accept. Whatever befell one connection, the next in the queue may be sound; only this process's own
    /// socket could be at fault for good, and then there is nothing better to do than to try again.
    pub fn of_accept(error: &io::Error) -> Self {
        match error.kind() {
            // The client has gone before it was accepted.
            io::ErrorKind::ConnectionAborted => Self::Interrupted,
            _ => match Self::of(error) {
                Self::Final => Self::Shortage,
                failure => failure,
            },
        }
    }

    /// Of the making of a connection. An address that this machine can't give is its own shortage, and says nothing
    /// of the peer.
    pub fn of_connect(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(EADDRNOTAVAIL) => Self::Shortage,
            _ => Self::of(error),
        }
    }

    /// Whether the same call may go well a moment later.
    pub fn passes(self) -> bool {
        self != Self::Final
    }
}

#[cfg(test)]
mod tests;
