//! Admission of calls under overload: a token bucket that spreads retries. Each rejected caller gets a later retry time
//! than the one before, so that callers that were rejected together do not return together.

use super::{Micros, SECOND};

/// The shortest retry time in microseconds.
const MIN_RETRY_AFTER: Micros = 1000;
/// Tokens that a call costs.
const CALL_COST: f64 = 1.0;

/// Whether a call is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call may proceed.
    Admit,
    /// The caller has to retry after this time.
    RetryAfter(Micros),
}

/// A token bucket for calls, with a count of the retries that it scheduled.
pub struct Admission {
    calls_per_second: f64,
    burst: f64,
    tokens: f64,
    /// Rejected calls whose retry time has not come.
    scheduled_retries: f64,
    max_retry_after: Micros,
    updated_at: Option<Micros>,
}

impl Admission {
    /// Admits `calls_per_second` calls a second, and up to `burst` calls at once. No retry time exceeds
    /// `max_retry_after`.
    pub fn new(calls_per_second: f64, burst: f64, max_retry_after: Micros) -> Self {
        let tokens = burst;
        Self { calls_per_second, burst, tokens, scheduled_retries: 0.0, max_retry_after, updated_at: None }
    }

    /// Decides whether a call that arrives at `now` is admitted.
    pub fn admit(&mut self, now: Micros) -> AdmissionDecision {
        let elapsed = now - self.updated_at.replace(now).unwrap_or(now);
        let gained = elapsed.max(0) as f64 / SECOND as f64 * self.calls_per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.scheduled_retries = (self.scheduled_retries - gained).max(0.0);
        if self.tokens >= CALL_COST {
            self.tokens -= CALL_COST;
            return AdmissionDecision::Admit;
        }
        self.scheduled_retries += CALL_COST;
        let retry_after = (self.scheduled_retries / self.calls_per_second * SECOND as f64) as Micros;
        AdmissionDecision::RetryAfter(retry_after.clamp(MIN_RETRY_AFTER, self.max_retry_after))
    }
}

#[cfg(test)]
mod tests;
