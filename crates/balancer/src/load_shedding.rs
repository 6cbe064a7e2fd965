//! Load shedding: admits at most a multiple, the admission factor, of the requests recently answered in time.
//!
//! Concurrency limits alone are not enough: in a large fleet one request in flight per sidecar is too much.

use crate::decaying_sum::DecayingSum;
use crate::{Micros, Settings};

/// Added to an admission factor of 1 when all requests sent were answered in time.
const MAX_EXTRA_ADMISSION_FACTOR: f64 = 4.0;
/// Share of the admission factor for client retries and tenants over their quota.
const LOW_PRIORITY_SHARE: f64 = 0.75;
const WINDOW_IN_DEADLINES: f64 = 4.0 / 3.0;
/// Added to each sum (additive smoothing), so that a few requests hardly change the ratio of two sums.
const PSEUDO_COUNT: f64 = 1.0;

/// Recent requests and how they ended.
#[derive(Default)]
pub(crate) struct LoadShedding {
    window: Micros,
    received: DecayingSum,
    completed: DecayingSum,
    sent: DecayingSum,
    answered_in_time: DecayingSum,
}

impl LoadShedding {
    pub(crate) fn new(settings: &Settings) -> Self {
        let window = (settings.longest_deadline() as f64 * WINDOW_IN_DEADLINES) as Micros;
        Self { window, ..Self::default() }
    }

    /// Requests received per microsecond.
    pub(crate) fn request_rate(&self, now: Micros) -> f64 {
        self.received.rate(now, 2 * self.window)
    }

    pub(crate) fn record_received(&mut self, now: Micros) {
        self.received.add(now, 1.0, 2 * self.window);
    }

    pub(crate) fn record_completed(&mut self, now: Micros, shed: bool, in_time: bool) {
        self.completed.add(now, 1.0, self.window);
        self.sent.add(now, f64::from(u8::from(!shed)), self.window);
        self.answered_in_time.add(now, f64::from(u8::from(in_time)), self.window);
    }

    /// Whether to reject a new request at once; `sample` is uniform in 0 to 1.
    pub(crate) fn should_shed(&self, now: Micros, low_priority: bool, sample: f64) -> bool {
        let [completed, in_time] = [&self.completed, &self.answered_in_time].map(|s| self.recent(now, s));
        let priority_share = if low_priority { LOW_PRIORITY_SHARE } else { 1.0 };
        sample * completed > in_time * self.admission_factor(now) * priority_share
    }

    /// From 1 to 5: high while requests sent are answered in time, low while they are late or fail.
    pub(crate) fn admission_factor(&self, now: Micros) -> f64 {
        let [sent, in_time] = [&self.sent, &self.answered_in_time].map(|s| self.recent(now, s));
        1.0 + MAX_EXTRA_ADMISSION_FACTOR * (in_time / sent).powi(4)
    }

    /// Assumes that requests before the start were in time, or the first errors would look like overload.
    fn recent(&self, now: Micros, sum: &DecayingSum) -> f64 {
        PSEUDO_COUNT + self.received.extrapolated_before_start(now, self.window) + sum.value(now, self.window)
    }
}
