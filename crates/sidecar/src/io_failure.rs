//! Classifies failed calls on sockets and files into transient and final failures. All code that treats a failure as
//! the end of a connection or the absence of a file uses this classification.

use std::io;
use std::time::Duration;

// Error numbers for which the standard library has no stable `ErrorKind`; see errno(3).
const EIO: i32 = 5;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;
const EDQUOT: i32 = 122;

/// Pause before a call that failed for lack of a resource is retried.
pub const RESOURCE_PAUSE: Duration = Duration::from_millis(10);

/// What a failed call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoFailure {
    /// The call would block; the runtime notifies when it would not.
    NotReady,
    /// The call was interrupted, and may be retried at once.
    Interrupted,
    /// This machine is short of a resource. The call may be retried after a pause.
    Shortage,
    /// The connection or file can't be used any more.
    Final,
}

impl IoFailure {
    /// Classifies the failure of a call on a connection.
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

    /// Classifies the failure of a call on a file or its directory. A disk may fail or hang for a while.
    pub fn of_file(error: &io::Error) -> Self {
        if error.kind() == io::ErrorKind::TimedOut {
            return Self::Shortage;
        }
        match error.raw_os_error() {
            Some(EIO | ENOSPC | EDQUOT) => Self::Shortage,
            _ => Self::of(error),
        }
    }

    /// Classifies the failure of an accept, which is never final: it concerns one connection, and the next one in the
    /// queue may be good. If the listener itself is broken, there is nothing better to do than to retry.
    pub fn of_accept(error: &io::Error) -> Self {
        match error.kind() {
            // The client closed the connection before it was accepted.
            io::ErrorKind::ConnectionAborted => Self::Interrupted,
            _ => match Self::of(error) {
                Self::Final => Self::Shortage,
                failure => failure,
            },
        }
    }

    /// Classifies the failure of a connect. Having no free local address is a resource shortage of this machine, not a
    /// fault of the peer.
    pub fn of_connect(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(EADDRNOTAVAIL) => Self::Shortage,
            _ => Self::of(error),
        }
    }

    /// Whether the same call may succeed a moment later.
    pub fn is_transient(self) -> bool {
        self != Self::Final
    }
}

#[cfg(test)]
mod tests;
