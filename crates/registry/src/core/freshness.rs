//! The age of a replica's list. A replica requests the committed index from the leader. Once it has applied the log up
//! to that index, its list includes everything that was acknowledged before the request was sent. All times are of the
//! replica's own monotonic clock.

use super::{Micros, SECOND};

/// The default age from which a list is marked as stale.
const DEFAULT_STALE_AFTER: Micros = 3 * SECOND;
/// The default age from which a list is not served.
const DEFAULT_REFUSE_AFTER: Micros = 30 * SECOND;

/// Whether this replica can serve reads, and how old its list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConsistency {
    /// The list is at most this old.
    Fresh(Micros),
    /// The list is at most this old and marked as stale.
    Stale(Micros),
    /// The list may be too old to be served.
    Unavailable,
}

/// Tracks the age of a replica's list.
pub struct Freshness {
    stale_after: Micros,
    refuse_after: Micros,
    /// The latest time as of which the list is known to be complete.
    complete_as_of: Option<Micros>,
    pending_confirmation: Option<Confirmation>,
    applied_index: u64,
}

/// A response of the leader with an index that this replica has not applied yet.
struct Confirmation {
    requested_at: Micros,
    committed_index: u64,
}

impl Default for Freshness {
    fn default() -> Self {
        Self::new(DEFAULT_STALE_AFTER, DEFAULT_REFUSE_AFTER)
    }
}

impl Freshness {
    /// Lists older than `stale_after` are marked as stale, those older than `refuse_after` are not served.
    pub fn new(stale_after: Micros, refuse_after: Micros) -> Self {
        Self { stale_after, refuse_after, complete_as_of: None, pending_confirmation: None, applied_index: 0 }
    }

    /// Records that this replica has applied the log up to an index.
    pub fn record_applied(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
        let reached = self.pending_confirmation.take_if(|c| c.committed_index <= self.applied_index);
        if let Some(confirmation) = reached {
            self.confirm(confirmation.requested_at);
        }
    }

    /// Records the leader's response to a request that was sent at `requested_at`: it still leads, and this is the
    /// committed index.
    pub fn record_committed(&mut self, requested_at: Micros, committed_index: u64) {
        if committed_index <= self.applied_index {
            self.confirm(requested_at);
        } else if self.pending_confirmation.is_none() {
            // A later response must not replace a pending one, or a replica that always lags would not reach the index
            // of any.
            self.pending_confirmation = Some(Confirmation { requested_at, committed_index });
        }
    }

    fn confirm(&mut self, requested_at: Micros) {
        self.complete_as_of = Some(self.complete_as_of.map_or(requested_at, |at| at.max(requested_at)));
    }

    /// Upper bound of the list's age; `None` before the first confirmation.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.complete_as_of.map(|at| now - at)
    }

    /// The consistency of a read now.
    pub fn consistency(&self, now: Micros) -> ReadConsistency {
        match self.age(now) {
            Some(age) if age <= self.stale_after => ReadConsistency::Fresh(age),
            Some(age) if age <= self.refuse_after => ReadConsistency::Stale(age),
            _ => ReadConsistency::Unavailable,
        }
    }
}

#[cfg(test)]
mod tests;
