//! Exponentially decaying sums over recent time.

use crate::Micros;

/// A rate takes a sum to be at least this share of its window old, or the first event would give a huge rate.
const MIN_AGE_IN_WINDOWS: f64 = 0.125;

/// Exponential decay factor at `now` of a value from `since`: 1 at first, falling towards 0.
pub(crate) fn decay(now: Micros, since: Micros, time_constant: f64) -> f64 {
    (-(now.saturating_sub(since).max(0) as f64) / time_constant.max(1.0)).exp()
}

/// An exponentially decaying sum.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    pub(crate) total: f64,
    updated_at: Micros,
    started_at: Option<Micros>,
}

impl DecayingSum {
    /// Adds to the sum; `window` is the time constant, after which an amount has decayed to about a third.
    pub(crate) fn add(&mut self, now: Micros, amount: f64, window: Micros) {
        self.total = self.value(now, window) + amount;
        self.updated_at = now;
        self.started_at.get_or_insert(now);
    }

    /// The sum, decayed until `now`.
    pub(crate) fn value(&self, now: Micros, window: Micros) -> f64 {
        self.total * decay(now, self.updated_at, window as f64)
    }

    /// Recent amount per microsecond.
    pub(crate) fn rate(&self, now: Micros, window: Micros) -> f64 {
        let age = now.saturating_sub(self.started_at.unwrap_or(now)).max(0) as f64 / window.max(1) as f64;
        self.value(now, window) / (window.max(1) as f64 * (1.0 - (-age).exp()).max(MIN_AGE_IN_WINDOWS))
    }

    /// The rate of a sum with a window of `2 * min_age`. A sum younger than `min_age` is treated as that old,
    /// as there are too few samples in a shorter time.
    pub(crate) fn rate_over_at_least(&self, now: Micros, min_age: Micros) -> f64 {
        self.rate(now, 2 * min_age).min(self.total / min_age.max(1) as f64)
    }

    /// What a sum with the window `window` would still hold from the time before the first addition, had the
    /// recent rate applied then. The recent rate is taken from this sum, whose own window is `2 * window`.
    pub(crate) fn extrapolated_before_start(&self, now: Micros, window: Micros) -> f64 {
        let started_at = self.started_at.unwrap_or(now);
        self.rate(now, 2 * window) * window as f64 * decay(now, started_at, window as f64)
    }
}
