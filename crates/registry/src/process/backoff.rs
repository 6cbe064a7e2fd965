//! Backoff between attempts to reopen a store.

use rand::RngExt;
use std::time::Duration;

/// Maximum of the first pause.
const INITIAL_MAX_PAUSE: Duration = Duration::from_millis(100);
/// Maximum of every pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Randomized exponential backoff.
pub(super) struct Backoff {
    upper_bound: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { upper_bound: INITIAL_MAX_PAUSE }
    }
}

impl Backoff {
    /// Returns the next pause, drawn from the upper half of its range, so that replicas that share a disk do not retry
    /// at the same instant.
    pub(super) fn next(&mut self) -> Duration {
        let upper_bound = self.upper_bound;
        self.upper_bound = (2 * upper_bound).min(MAX_PAUSE);
        upper_bound.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}
