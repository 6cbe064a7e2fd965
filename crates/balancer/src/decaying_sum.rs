//! Sums over recent time, whose older parts decay exponentially.

use crate::Micros;

/// A young sum counts as this part of its window old, so that its first event makes no huge rate.
const MIN_AGE_IN_WINDOWS: f64 = 0.125;

/// What remains at `now` of a value from `since` with the time constant `time`: 1 at first, then ever less.
pub(crate) fn decay(now: Micros, since: Micros, time: f64) -> f64 {
    (-(now.saturating_sub(since).max(0) as f64) / time.max(1.0)).exp()
}

/// An exponentially decaying sum.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    pub(crate) total: f64,
    updated_at: Micros,
    started_at: Option<Micros>,
}

impl DecayingSum {
    /// Adds to the sum; what is `window` old has decayed to about a third.
    pub(crate) fn add(&mut self, now: Micros, amount: f64, window: Micros) {
        self.total = self.value(now, window) + amount;
        self.updated_at = now;
        self.started_at.get_or_insert(now);
    }

    /// The sum as it has decayed by `now`.
    pub(crate) fn value(&self, now: Micros, window: Micros) -> f64 {
        self.total * decay(now, self.updated_at, window as f64)
    }

    /// Added per microsecond in recent time.
    pub(crate) fn rate(&self, now: Micros, window: Micros) -> f64 {
        let age = now.saturating_sub(self.started_at.unwrap_or(now)).max(0) as f64 / window.max(1) as f64;
        self.value(now, window) / (window.max(1) as f64 * (1.0 - (-age).exp()).max(MIN_AGE_IN_WINDOWS))
    }

    /// The rate of a sum that decays over `2 * time`. A sum younger than `time` counts as that old: too
    /// little is seen in less.
    pub(crate) fn cautious_rate(&self, now: Micros, time: Micros) -> f64 {
        self.rate(now, 2 * time).min(self.total / time.max(1) as f64)
    }

    /// What would remain of the time before the first addition, had the recent rate held then. The sum itself
    /// decays over `2 * window`.
    pub(crate) fn before_start(&self, now: Micros, window: Micros) -> f64 {
        let started_at = self.started_at.unwrap_or(now);
        self.rate(now, 2 * window) * window as f64 * decay(now, started_at, window as f64)
    }
}
