//! Minimum rates at which clients have to send request bodies and read responses.

use super::timing::REQUEST_READ_TIMEOUT;
use std::time::Duration;
use tokio::time::Instant;

/// How long a client may take for a body in addition to the time at the minimum rate. A client that stops in the middle
/// of a body has to be rejected within 3 s of connecting or of beginning its request; the difference allows for
/// scheduling delays of this process.
const BODY_GRACE_TIME: Duration = Duration::from_millis(2800);
/// Minimum average rate at which clients have to send or read. Clients are permitted to send at 64 kB/s; half of that
/// allows for delays of the network and of this process.
const MIN_BYTES_PER_SECOND: usize = 32_000;

/// Tracks how fast a body is received, and yields the deadline that the minimum rate sets for its next byte.
pub(super) struct ReceiveRate {
    began: Instant,
    last_progress: Instant,
}

impl ReceiveRate {
    /// For a request that began to arrive at `began`.
    pub(super) fn since(began: Instant) -> Self {
        Self { began, last_progress: Instant::now() }
    }

    /// The deadline for the next byte after `received` bytes of the body.
    pub(super) fn next_byte_deadline(&self, received: usize) -> Instant {
        let by_average = self.began + BODY_GRACE_TIME + transfer_time(received);
        by_average.min(self.last_progress + REQUEST_READ_TIMEOUT)
    }

    /// Records that bytes were received.
    pub(super) fn record_progress(&mut self) {
        self.last_progress = Instant::now();
    }

    /// Excludes a period in which nothing was read from the client.
    pub(super) fn exclude(&mut self, time: Duration) {
        self.began += time;
        self.last_progress += time;
    }
}

/// The maximum time that a client may take to send or read that many bytes.
pub(super) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND as f64)
}
