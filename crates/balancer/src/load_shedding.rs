//! Load shedding: when little of the recent work was answered in time, sidecars admit little more than that.
//!
//! Concurrency limits alone do not help: in a large fleet even one request in flight for each is too much.

use crate::decaying_sum::DecayingSum;
use crate::{Micros, Settings};

/// Leeway beyond 1 when all that was sent was answered in time.
const MAX_EXTRA_LEEWAY: f64 = 4.0;
/// Part of the leeway left to client retries and tenants over their quota.
const LOW_PRIORITY_LEEWAY_SHARE: f64 = 0.75;
const WINDOW_IN_DEADLINES: f64 = 4.0 / 3.0;
/// Requests counted into each sum in any case.
const MIN_REQUESTS: f64 = 1.0;

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

    /// Requests received in a microsecond.
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
        let leeway_share = if low_priority { LOW_PRIORITY_LEEWAY_SHARE } else { 1.0 };
        sample * completed > in_time * self.leeway(now) * leeway_share
    }

    /// From 1 to 5: high while what was sent is answered in time, low while it fails.
    pub(crate) fn leeway(&self, now: Micros) -> f64 {
        let [sent, in_time] = [&self.sent, &self.answered_in_time].map(|s| self.recent(now, s));
        1.0 + MAX_EXTRA_LEEWAY * (in_time / sent).powi(4)
    }

    /// Before the process began all counts as answered in time: else the first few errors were an overload.
    fn recent(&self, now: Micros, sum: &DecayingSum) -> f64 {
        MIN_REQUESTS + self.received.before_start(now, self.window) + sum.value(now, self.window)
    }
}
