//! How fast clients have to send their bodies and to take their answers.

use super::timing::REQUEST_TIME;
use std::time::Duration;
use tokio::time::Instant;

/// When a client that stops in the middle of a body has to be rejected, after it connected or began to send its request:
/// 3 s, less what a delayed process may add.
const MAX_BODY_PAUSE: Duration = Duration::from_millis(2800);
/// Bytes a second that clients have to send or take on average. They may send 64 kB; half of that allows for the network
/// and this process.
const MIN_BYTES_PER_SECOND: usize = 32_000;

/// How fast a body is received.
pub(super) struct Pace {
    began: Instant,
    last: Instant,
}

impl Pace {
    /// The pace of a request that began to come then.
    pub(super) fn since(began: Instant) -> Self {
        Self { began, last: Instant::now() }
    }

    /// By when the next byte has to come, after so many.
    pub(super) fn next_byte_by(&self, received: usize) -> Instant {
        let by_average = self.began + MAX_BODY_PAUSE + transfer_time(received);
        by_average.min(self.last + REQUEST_TIME)
    }

    /// Records that bytes were received.
    pub(super) fn record_progress(&mut self) {
        self.last = Instant::now();
    }

    /// Excludes a time in which nothing was read from the client.
    pub(super) fn exclude(&mut self, time: Duration) {
        self.began += time;
        self.last += time;
    }
}

/// The longest that a client may take to send or take so many bytes.
pub(super) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND as f64)
}
