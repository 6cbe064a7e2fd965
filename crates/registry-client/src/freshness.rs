//! How old the list is, and when it counts as stale.

use crate::list::ListUpdate;
use crate::{Micros, Report};

const MICROS_PER_MILLISECOND: Micros = 1000;
/// Longer times in a response are taken for this one, so that sums with them can't overflow.
const MAX_MILLISECONDS: Micros = Micros::MAX / 2000;

/// Tracks the age of the list.
#[derive(Default)]
pub(crate) struct Freshness {
    started_at: Micros,
    /// The latest instant at which nothing newer than the list was acknowledged; `None` before any response.
    current_at: Option<Micros>,
    is_stale: bool,
}

impl Freshness {
    pub(crate) fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// Age of the list, counted from the start while there was no response.
    pub(crate) fn age(&self, now: Micros) -> Micros {
        now - self.reference()
    }

    /// Takes the age from a response to a poll that was sent at `sent_at`.
    ///
    /// The replica can't have received the poll before that, and held it for `waited_ms`; so its response was made
    /// at `sent_at + waited_ms` or later. The estimate errs towards an older list.
    pub(crate) fn observe(&mut self, now: Micros, sent_at: Micros, update: &ListUpdate) {
        let waited = millis(update.waited_ms);
        let age = millis(update.age_ms);
        let current_at = (sent_at + waited - age).min(now);
        self.current_at = Some(self.current_at.map_or(current_at, |at| at.max(current_at)));
    }

    /// When the list gets stale; `None` where it is.
    pub(crate) fn stale_at(&self, stale_after: Micros) -> Option<Micros> {
        (!self.is_stale).then(|| self.reference() + stale_after)
    }

    /// A report where the list has become stale, or fresh again, since the last call.
    pub(crate) fn change(&mut self, now: Micros, stale_after: Micros) -> Option<Report> {
        let age = self.age(now);
        let is_stale = age >= stale_after;
        if is_stale == self.is_stale {
            return None;
        }
        self.is_stale = is_stale;
        Some(if is_stale { Report::Stale(age) } else { Report::Fresh })
    }

    fn reference(&self) -> Micros {
        self.current_at.unwrap_or(self.started_at)
    }
}

fn millis(ms: u64) -> Micros {
    Micros::try_from(ms).unwrap_or(MAX_MILLISECONDS).min(MAX_MILLISECONDS) * MICROS_PER_MILLISECOND
}
