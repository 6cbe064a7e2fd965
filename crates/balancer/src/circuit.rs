//! State of a circuit breaker, and the error rate that opens it.

use crate::Micros;
use crate::decaying_sum::decay;

/// Least weight of the newest outcome in an error rate. The weight grows with the time since the previous
/// one, as with sparse traffic three errors in a row may take several times as long as any client waits.
const MIN_OUTCOME_GAIN: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Circuit {
    #[default]
    Closed,
    /// No attempts before this instant; after it one trial attempt at a time (half-open).
    Open(Micros),
}

impl Circuit {
    /// Open, and not yet time for a trial.
    pub(crate) fn is_open(self, now: Micros) -> bool {
        matches!(self, Self::Open(until) if now < until)
    }
}

/// Health of an endpoint, as a whole or for one request class.
#[derive(Default)]
pub(crate) struct Health {
    pub(crate) circuit: Circuit,
    pub(crate) consecutive_openings: u32,
    /// Moving average: 1 is an error, 0 a success.
    pub(crate) error_rate: f64,
    pub(crate) last_outcome_at: Micros,
}

impl Health {
    pub(crate) fn unknown(now: Micros) -> Self {
        Self { last_outcome_at: now, ..Self::default() }
    }

    /// Weight in the error rate of an outcome that is observed now.
    pub(crate) fn gain(&self, now: Micros, longest_deadline: f64) -> f64 {
        MIN_OUTCOME_GAIN.max(1.0 - decay(now, self.last_outcome_at, longest_deadline))
    }

    pub(crate) fn update_error_rate(&mut self, gain: f64, is_error: bool) {
        self.error_rate += gain * (f64::from(u8::from(is_error)) - self.error_rate);
    }
}
