//! Backoff between attempts to reopen a store.

use rand::RngExt;
use std::time::Duration;

/// Upper bound of the first pause.
const INITIAL: Duration = Duration::from_millis(100);
/// Upper bound of every pause.
const MAX: Duration = Duration::from_secs(5);

/// Randomized exponential backoff.
pub(super) struct Backoff {
    upper_bound: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { upper_bound: INITIAL }
    }
}

impl Backoff {
    /// The next pause, drawn from the upper half of its range, so that replicas on one disk do not retry together.
    pub(super) fn next(&mut self) -> Duration {
        let upper_bound = self.upper_bound;
        self.upper_bound = (2 * upper_bound).min(MAX);
        upper_bound.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}
