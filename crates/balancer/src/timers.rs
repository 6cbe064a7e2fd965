//! Queue of timers, multiplexed onto a single timer of the caller.

use crate::{Action, Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Longest timer, and longest duration accepted from the caller: an hour.
pub(crate) const MAX_DURATION_US: Micros = 3_600_000_000;

/// The instant `delay` from `now`, at least a microsecond and at most an hour later.
pub(crate) fn after(now: Micros, delay: f64) -> Micros {
    now.saturating_add((delay as Micros).clamp(1, MAX_DURATION_US))
}

/// Purpose of a timer. Timers that are due at the same instant fire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
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
}

impl Default for Timers {
    fn default() -> Self {
        Self { pending: BinaryHeap::new(), armed_for: Micros::MAX }
    }
}

impl Timers {
    pub(crate) fn schedule(&mut self, at: Micros, timer: Timer) {
        self.pending.push(Reverse((at, timer)));
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
