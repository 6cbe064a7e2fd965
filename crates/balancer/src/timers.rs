//! Queue of timers, multiplexed onto a single timer of the caller.

use crate::{Action, Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Longest timer, and longest duration accepted from the caller: an hour.
pub(crate) const MAX_DURATION_US: Micros = 3_600_000_000;

/// Number of timers of completed requests that may be pending, besides as many as open requests have.
const MAX_COMPLETED: usize = 4096;

/// The instant `delay` from `now`, at least a microsecond and at most an hour later.
pub(crate) fn after(now: Micros, delay: f64) -> Micros {
    now.saturating_add((delay as Micros).clamp(1, MAX_DURATION_US))
}

/// Purpose of a timer. Timers that are due at the same instant fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The request's deadline.
    Deadline(RequestId),
    /// The end of the request's backoff.
    Retry(RequestId),
    /// The end of the request's wait for capacity.
    QueueTimeout(RequestId),
    /// The next subscription to the endpoint list after a failure.
    Resubscribe,
}

/// Pending timers, ordered by the time at which they are due.
pub(crate) struct Timers {
    pending: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// When the caller's timer fires; `Micros::MAX` if it is not set.
    armed_for: Micros,
    /// The number of pending timers from which on those of completed requests are discarded.
    discard_at: usize,
}

impl Default for Timers {
    fn default() -> Self {
        Self { pending: BinaryHeap::new(), armed_for: Micros::MAX, discard_at: MAX_COMPLETED }
    }
}

impl Timers {
    pub(crate) fn schedule(&mut self, at: Micros, timer: Timer) {
        self.pending.push(Reverse((at, timer)));
    }

    /// Discards the timers of completed requests once there may be many of them.
    pub(crate) fn discard_completed(&mut self, is_open: impl Fn(RequestId) -> bool) {
        if self.pending.len() < self.discard_at {
            return;
        }
        self.pending.retain(|Reverse((_, timer))| match timer {
            Timer::Deadline(id) | Timer::Retry(id) | Timer::QueueTimeout(id) => is_open(*id),
            Timer::Resubscribe => true,
        });
        self.discard_at = 2 * self.pending.len() + MAX_COMPLETED;
    }

    /// Sets the caller's timer if the earliest pending timer is due before it fires.
    pub(crate) fn arm(&mut self, now: Micros, out: &mut Vec<Action>) {
        if let Some(&Reverse((at, _))) = self.pending.peek()
            && at < self.armed_for
        {
            self.armed_for = at;
            let after = (at - now).clamp(0, MAX_DURATION_US);
            out.push(Action::SetTimer { after, token: at.unsigned_abs() });
        }
    }

    /// Takes the next expired timer, after the caller's timer with this token fired.
    pub(crate) fn pop_expired(&mut self, now: Micros, token: u64) -> Option<Timer> {
        if token == self.armed_for.unsigned_abs() {
            self.armed_for = Micros::MAX;
        }
        self.pending.peek().filter(|next| next.0.0 <= now)?;
        self.pending.pop().map(|next| next.0.1)
    }
}

#[cfg(test)]
mod tests;
