//! When a client was last known to be connected, derived from the reads on its connection.
//!
//! If a socket stays empty for a moment after a read, everything that the client has sent has been received: the
//! client's kernel has no data left that waits for room in the receive window, so a FIN would have been received as
//! well. A socket that is empty just after a read proves less, as the read makes room for more data.

use super::QUIET_TIME;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// A socket that was empty for this long had no data waiting for room in the receive window. It is a multiple of the
/// round trip to a client on the same machine, and of the granularity of the kernel's receive times.
const MIN_QUIET_SPAN: Duration = Duration::from_millis(10);
/// Fewer bytes than this, received within [`MIN_QUIET_SPAN`], were not waiting for room in the receive window: a client
/// with waiting data sends as much as the window has room for.
const MIN_WINDOW_LIMITED_BYTES: usize = 32 << 10;

/// How long a socket has to stay empty if the receive window was full for a while: longer than a window of a link with delay
/// is on its way, and short enough that an attempt can still begin after it.
const QUIET_TIME_AFTER_BACKLOG: Duration = Duration::from_millis(40);

/// When a client was last known to be connected.
pub struct LastSeen {
    last_seen_at: Cell<Option<Instant>>,
    /// The start of the current span of observation, when the socket was empty. `None` at the start of a request,
    /// before which no data was waiting for room in the receive window.
    span_start: Cell<Option<Instant>>,
    /// Bytes read since the start of the span.
    read_in_span: Cell<usize>,
    /// Whether the socket was empty at the last read.
    is_empty: Cell<bool>,
    /// All bytes read from the connection.
    total_bytes_read: Cell<u64>,
    /// The receive window was full for a while, and what waited behind it may still be on its way, with the client's FIN.
    is_backlogged: Cell<bool>,
}

impl Default for LastSeen {
    /// The state for a connection that was just accepted, whenever it was established.
    fn default() -> Self {
        Self {
            last_seen_at: Cell::default(),
            span_start: Cell::default(),
            read_in_span: Cell::default(),
            is_empty: Cell::new(true),
            total_bytes_read: Cell::default(),
            is_backlogged: Cell::default(),
        }
    }
}

impl LastSeen {
    /// Whether the client is known to have been connected at some time within the last `span`.
    pub fn is_within(&self, span: Duration, now: Instant) -> bool {
        self.last_seen_at.get().is_some_and(|at| now.saturating_duration_since(at) <= span)
    }

    /// The number of all bytes read from the connection.
    pub fn total_bytes_read(&self) -> u64 {
        self.total_bytes_read.get()
    }

    /// Whether bytes that waited for room in the receive window may still be on their way.
    pub fn is_backlogged(&self) -> bool {
        self.is_backlogged.get()
    }

    /// How long the socket has to stay empty after a read to show that nothing is on its way.
    pub fn quiet_time(&self) -> Duration {
        if self.is_backlogged() { QUIET_TIME_AFTER_BACKLOG } else { QUIET_TIME }
    }

    /// Records that the receive window may have been full for a while.
    pub fn record_backlog(&self) {
        self.is_backlogged.set(true);
    }

    /// Records that the response was sent to the client, which may send its next request from now on.
    pub fn record_response_sent(&self, now: Instant) {
        self.is_backlogged.set(false);
        self.last_seen_at.set(Some(now));
        self.span_start.set(None);
        self.read_in_span.set(0);
        self.is_empty.set(true);
    }

    /// Records that the socket is empty.
    pub fn record_socket_empty(&self, now: Instant) {
        self.is_empty.set(true);
        let span_is_over = self.span_start.get().is_none_or(|since| now >= since + MIN_QUIET_SPAN);
        if !span_is_over {
            return;
        }
        if self.read_in_span.get() < MIN_WINDOW_LIMITED_BYTES && !self.is_backlogged() {
            self.last_seen_at.set(Some(now));
        }
        self.span_start.set(Some(now));
        self.read_in_span.set(0);
    }

    /// Records that the socket stayed empty for [`Self::quiet_time`], which shows that no data was waiting for room in the
    /// receive window. A FIN that was sent since then may still be on its way.
    pub fn record_socket_quiet(&self, now: Instant) {
        let seen_at =
            if self.is_backlogged.replace(false) { now.checked_sub(QUIET_TIME_AFTER_BACKLOG) } else { None };
        self.last_seen_at.set(Some(seen_at.unwrap_or(now)));
        self.span_start.set(Some(now));
        self.read_in_span.set(0);
        self.is_empty.set(true);
    }

    /// Records that `length` bytes were read. If more may be unread, `age` tells how long ago the last ones were
    /// received.
    pub fn record_bytes_read(&self, length: usize, age: impl FnOnce() -> Option<Duration>, now: Instant) {
        self.total_bytes_read.set(self.total_bytes_read.get() + length as u64);
        let was_empty = self.is_empty.replace(false);
        let read_before = self.read_in_span.replace(self.read_in_span.get() + length);
        // Data received after a quiet span was not waiting for room before, so the client was connected when it
        // arrived.
        if !was_empty || read_before >= MIN_WINDOW_LIMITED_BYTES || self.is_backlogged() {
            return;
        }
        let received_at = age().and_then(|age| now.checked_sub(age));
        let is_after_quiet = |received_at: &Instant| {
            self.span_start.get().is_none_or(|since| *received_at >= since + MIN_QUIET_SPAN)
        };
        if let Some(received_at) = received_at.filter(is_after_quiet) {
            self.last_seen_at
                .set(Some(self.last_seen_at.get().map_or(received_at, |at| at.max(received_at))));
        }
    }
}

#[cfg(test)]
mod tests;
