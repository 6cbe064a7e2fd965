//! When the bytes of a request arrived, as far as the reads from its connection tell.
//!
//! A client's time counts from the last byte of its request. While a connection is read without a pause, its bytes are read
//! as they arrive, and an empty socket shows that the last byte is still to come. While nothing is read, bytes wait in the
//! socket, and behind a full receive window in the client's kernel or on the way. Nothing that the socket shows afterwards
//! tells how long they have waited: on a link with delay, a silence may be the way of the next window. So the time in which
//! nothing was read is deducted, unless what was read after it fits into the window.

use std::time::Duration;
use tokio::time::Instant;

/// Fewer bytes than this, read until the socket was empty, were not waiting for room in the receive window.
const MIN_WINDOW_LIMITED_BYTES: usize = 32 << 10;
/// A shorter time between two reads is taken for the time that reading takes: by the protocol, a process may be held up for
/// so long.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// No attempt may begin more than 0.1 s after its client has closed; the difference allows for the way of the close.
const MIN_HIDING_PAUSE: Duration = Duration::from_millis(40);

/// When the bytes of a request arrived at the earliest.
pub(super) struct ArrivalTime {
    /// The bytes read since the socket was last empty arrived after this time, or before it while nothing was read.
    burst_began: Instant,
    /// Bytes read since the socket was last empty.
    read_in_burst: usize,
    /// Time since `burst_began` in which nothing was read.
    paused_in_burst: Duration,
    /// When the connection was last read, or its socket last known to be empty.
    read_until: Instant,
    /// Time in which nothing was read and the receive window may have been full.
    backlog: Duration,
    /// The result for a request whose last byte was read.
    of_last_byte: Option<Instant>,
}

impl ArrivalTime {
    /// For a request of which no byte arrived before `not_before`.
    pub(super) fn new(not_before: Instant) -> Self {
        Self {
            burst_began: not_before,
            read_in_burst: 0,
            paused_in_burst: Duration::ZERO,
            read_until: not_before,
            backlog: Duration::ZERO,
            of_last_byte: None,
        }
    }

    /// The earliest time at which the last byte of the request may have arrived, whether it was read or is still to come.
    pub(super) fn earliest(&self) -> Instant {
        self.of_last_byte.unwrap_or_else(|| match self.read_in_burst < MIN_WINDOW_LIMITED_BYTES {
            true => self.without_backlog(self.burst_began),
            // The socket can't have held all of it at once.
            false => self.without_backlog(self.last_read()),
        })
    }

    /// When the last bytes that were read arrived, if none of them waited but in pauses.
    fn last_read(&self) -> Instant {
        self.burst_began.max(self.read_until - self.paused_in_burst)
    }

    fn without_backlog(&self, time: Instant) -> Instant {
        time.checked_sub(self.backlog).unwrap_or(time)
    }

    /// Until when nothing is known to wait in the socket.
    pub(super) fn empty_until(&self) -> Instant {
        self.burst_began
    }

    /// Whether nothing was read for a while since the socket was last empty.
    pub(super) fn has_paused(&self) -> bool {
        self.paused_in_burst > Duration::ZERO
    }

    /// Whether the receive window may have been full for so long that a client's close behind it would be noticed too late.
    pub(super) fn may_hide_close(&self) -> bool {
        self.read_in_burst >= MIN_WINDOW_LIMITED_BYTES && self.paused_in_burst >= MIN_HIDING_PAUSE
    }

    /// The time that is deducted because bytes may have waited behind a full receive window.
    pub(super) fn backlog(&self) -> Duration {
        self.backlog + self.paused_in_burst
    }

    /// Records that bytes were read.
    pub(super) fn record_read(&mut self, length: usize, now: Instant) {
        self.record_pause(MIN_PAUSE, now);
        self.read_in_burst += length;
    }

    /// Records the end of a wait in which the connection was not to be read.
    pub(super) fn record_wait(&mut self, now: Instant) {
        self.record_pause(Duration::ZERO, now);
    }

    /// Records that the socket was found empty.
    pub(super) fn record_empty(&mut self, now: Instant) {
        self.record_pause(MIN_PAUSE, now);
        if self.read_in_burst >= MIN_WINDOW_LIMITED_BYTES {
            self.backlog += self.paused_in_burst;
        }
        self.begin_burst(now);
    }

    /// Records that the socket stays empty while its next bytes are waited for, until the result is dropped. If that
    /// should happen by `until` and happens much later, this process was held up and did not see the bytes.
    pub(super) fn wait_while_empty(&mut self, until: Option<Instant>) -> WaitWhileEmpty<'_> {
        WaitWhileEmpty { arrival: self, until }
    }

    /// Records that the last byte of a body was read that was read as it arrived, but for pauses.
    pub(super) fn record_last_byte(&mut self) {
        self.of_last_byte.get_or_insert(self.without_backlog(self.last_read()));
    }

    fn record_pause(&mut self, min: Duration, now: Instant) {
        let pause = now.saturating_duration_since(self.read_until);
        if pause >= min {
            self.paused_in_burst += pause;
        }
        self.read_until = now;
    }

    fn begin_burst(&mut self, now: Instant) {
        self.burst_began = now;
        self.read_in_burst = 0;
        self.paused_in_burst = Duration::ZERO;
        self.read_until = now;
    }
}

/// The wait for the next bytes of a connection whose socket is empty, until this is dropped.
pub(super) struct WaitWhileEmpty<'a> {
    arrival: &'a mut ArrivalTime,
    until: Option<Instant>,
}

impl Drop for WaitWhileEmpty<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let held_up = self.until.filter(|until| now >= *until + MIN_PAUSE);
        self.arrival.begin_burst(held_up.unwrap_or(now));
        self.arrival.record_pause(MIN_PAUSE, now);
    }
}

#[cfg(test)]
mod tests;
