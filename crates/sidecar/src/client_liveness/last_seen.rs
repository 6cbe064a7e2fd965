//! When a client was surely connected, by what was read from its connection.
//!
//! All that a client has sent is here once its socket stays empty for a moment after a read: its system has nothing left
//! that waits for room in the receive window, so an end would be here as well. An empty socket alone tells less, as a
//! read that makes room lets more come.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// A socket that was empty for so long held nothing back: a multiple of the round trip to a client on the same machine,
/// and of the unit in which the system tells when data came.
const MIN_QUIET_SPAN: Duration = Duration::from_millis(10);
/// Fewer bytes than this in [`MIN_QUIET_SPAN`] are not what was held back: that would be as much as the window has room for.
const QUIET_BYTES: usize = 32 << 10;

/// When a client was surely connected.
pub struct LastSeen {
    at: Cell<Option<Instant>>,
    /// Since when it is known what came; none at the start of a request, before which nothing was held back.
    empty_since: Cell<Option<Instant>>,
    /// Bytes that were read since.
    read_since: Cell<usize>,
    /// The socket was empty when it was last read.
    is_empty: Cell<bool>,
    /// Bytes that were ever read.
    bytes_read: Cell<u64>,
}

impl Default for LastSeen {
    /// A client whose connection was just accepted, at whatever time it was made.
    fn default() -> Self {
        Self {
            at: Cell::default(),
            empty_since: Cell::default(),
            read_since: Cell::default(),
            is_empty: Cell::new(true),
            bytes_read: Cell::default(),
        }
    }
}

impl LastSeen {
    /// Whether the client was connected at some time within the last `span`.
    pub fn is_within(&self, span: Duration, now: Instant) -> bool {
        self.at.get().is_some_and(|at| now.saturating_duration_since(at) <= span)
    }

    /// How many bytes were ever read.
    pub fn bytes_read_in_all(&self) -> u64 {
        self.bytes_read.get()
    }

    /// Records that the client was sent its answer: it sends the next request from now on.
    pub fn request_begins(&self, now: Instant) {
        self.at.set(Some(now));
        self.empty_since.set(None);
        self.read_since.set(0);
        self.is_empty.set(true);
    }

    /// Records that the socket is empty.
    pub fn socket_empty(&self, now: Instant) {
        self.is_empty.set(true);
        let is_quiet = self.empty_since.get().is_none_or(|since| now >= since + MIN_QUIET_SPAN);
        if !is_quiet {
            return;
        }
        if self.read_since.get() < QUIET_BYTES {
            self.at.set(Some(now));
        }
        self.empty_since.set(Some(now));
        self.read_since.set(0);
    }

    /// Records that the socket stayed empty for long enough to hold nothing back.
    pub fn socket_quiet(&self, now: Instant) {
        self.at.set(Some(now));
        self.empty_since.set(Some(now));
        self.read_since.set(0);
        self.is_empty.set(true);
    }

    /// Records that so many bytes were read. Where more may be unread, `age` tells how long ago the last ones came.
    pub fn bytes_read(&self, length: usize, age: impl FnOnce() -> Option<Duration>, now: Instant) {
        self.bytes_read.set(self.bytes_read.get() + length as u64);
        let was_empty = self.is_empty.replace(false);
        let before = self.read_since.replace(self.read_since.get() + length);
        // What came after a quiet time was not held back before.
        if !was_empty || before >= QUIET_BYTES {
            return;
        }
        let came = age().and_then(|age| now.checked_sub(age));
        let is_after_quiet =
            |came: &Instant| self.empty_since.get().is_none_or(|since| *came >= since + MIN_QUIET_SPAN);
        if let Some(came) = came.filter(is_after_quiet) {
            self.at.set(Some(self.at.get().map_or(came, |at| at.max(came))));
        }
    }
}

#[cfg(test)]
mod tests;
