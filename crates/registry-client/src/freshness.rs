//! Age of the list, and when it counts as stale.

use crate::list::ListUpdate;
use crate::{Micros, Report};

const MICROS_PER_MILLISECOND: Micros = 1000;
/// Times in a response are capped at this value, so that sums with them can't overflow.
const MAX_MILLISECONDS: Micros = Micros::MAX / 2000;

/// Tracks the age of the list.
#[derive(Default)]
pub(crate) struct Freshness {
    started_at: Micros,
    /// Latest instant at which the list is known to have had every acknowledged change; `None` before any response.
    up_to_date_at: Option<Micros>,
    is_stale: bool,
}

impl Freshness {
    pub(crate) fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// Age of the list; counted from the start of the watcher before any response.
    pub(crate) fn age(&self, now: Micros) -> Micros {
        now - self.age_reference()
    }

    /// Updates the age from the response to a poll that was sent at `sent_at`.
    ///
    /// The replica received the poll at `sent_at` or later and held it for `waited_ms`, so it responded at
    /// `sent_at + waited_ms` or later. The estimate errs towards an older list.
    pub(crate) fn observe(&mut self, now: Micros, sent_at: Micros, update: &ListUpdate) {
        let waited = millis(update.waited_ms);
        let age = millis(update.age_ms);
        let up_to_date_at = (sent_at + waited - age).min(now);
        self.up_to_date_at = Some(self.up_to_date_at.map_or(up_to_date_at, |at| at.max(up_to_date_at)));
    }

    /// When the list becomes stale; `None` if it already is.
    pub(crate) fn stale_at(&self, stale_after: Micros) -> Option<Micros> {
        (!self.is_stale).then(|| self.age_reference() + stale_after)
    }

    /// Returns a report if the list has become stale, or fresh again, since the last call.
    pub(crate) fn change(&mut self, now: Micros, stale_after: Micros) -> Option<Report> {
        let age = self.age(now);
        let is_stale = age >= stale_after;
        if is_stale == self.is_stale {
            return None;
        }
        self.is_stale = is_stale;
        Some(if is_stale { Report::Stale(age) } else { Report::Fresh })
    }

    /// Instant from which the age is counted.
    fn age_reference(&self) -> Micros {
        self.up_to_date_at.unwrap_or(self.started_at)
    }
}

fn millis(ms: u64) -> Micros {
    Micros::try_from(ms).unwrap_or(MAX_MILLISECONDS).min(MAX_MILLISECONDS) * MICROS_PER_MILLISECOND
}
