//! Estimates when endpoints started, from the stamps of endpoint lists and from what this process has observed.
//!
//! A list stamps each endpoint with the Unix time of its last start. Stamps can't be compared with this machine's wall
//! clock, which may be wrong when the process starts, or be stepped later: an endpoint that has just started would
//! count as warmed up and be overloaded, or would stay in slow start for as long as the clock is behind. So stamps are
//! only compared with each other, and with the times on this process's monotonic clock at which they were first
//! observed:
//!
//! - The latest stamp is no later than the moment at which it was first observed. From then on, the list's clock is
//!   assumed to advance with this process's clock. That gives a lower bound of the list's current time, and so of the
//!   age of every other start.
//! - A start is no later than the moment at which its stamp was first observed.
//! - A stamp that replaces another, or an endpoint that earlier lists did not name, means a start after the previous
//!   list, whatever the stamp says: that endpoint's clock may have been stepped as well.
//! - If this machine's clock, as read at the start of the process, agrees with the first lists, it gives the ages of
//!   the starts in them, minus ten seconds. It agrees if the latest stamp lies behind it, by at most five minutes. A
//!   clock that was stepped by seconds can't be told from a correct one, hence the ten seconds; one that was stepped
//!   by an hour does not agree.
//!
//! Unless the clock is ahead by more than those ten seconds and less than five minutes, each estimate errs towards a
//! later start: an endpoint gets less load for a while, never more than it can handle.

use lotusmoor_balancer::Micros;
use std::collections::HashMap;

/// How far the latest stamp of a first list may lie behind this machine's clock for the clock to be trusted. If the
/// latest start is longer ago than this, the list can't show whether the clock is right.
const MAX_PLAUSIBLE_AGE_US: Micros = 300_000_000;
/// By how much a clock that agrees may still be ahead; ages are reduced by it.
const CLOCK_TOLERANCE_US: Micros = 10_000_000;
/// Microseconds in a millisecond, the unit of stamps.
const MICROS_PER_MILLI: Micros = 1000;

/// The estimated start of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Start {
    stamp_ms: i64,
    at: Micros,
}

/// The latest stamp of all lists.
#[derive(Clone, Copy, Debug)]
struct LatestStamp {
    stamp: Micros,
    observed: Micros,
}

/// The estimated starts of listed endpoints, by id. Endpoints that started long ago are not stored.
#[derive(Debug, Default)]
pub struct StartTimes {
    latest: Option<LatestStamp>,
    /// When the last list from discovery was applied; none before the first.
    last_list: Option<Micros>,
    starts: HashMap<usize, Start>,
}

impl StartTimes {
    /// Observes the stamps of a list; 0 stands for a start long ago.
    pub fn observe(&mut self, now: Micros, stamps_ms: impl Iterator<Item = i64>) {
        for stamp_ms in stamps_ms.filter(|stamp| *stamp > 0) {
            let stamp = stamp_ms.saturating_mul(MICROS_PER_MILLI);
            if self.list_time(now).is_none_or(|time| stamp > time) {
                self.latest = Some(LatestStamp { stamp, observed: now });
            }
        }
        // `now` is Unix time according to this machine's clock at the start of the process.
        let behind = self.list_time(now).map(|time| now.saturating_sub(time));
        let agrees =
            behind.is_some_and(|behind| (CLOCK_TOLERANCE_US..=MAX_PLAUSIBLE_AGE_US).contains(&behind));
        if self.last_list.is_none() && agrees {
            self.latest = Some(LatestStamp { stamp: now - CLOCK_TOLERANCE_US, observed: now });
        }
    }

    /// Lower bound of the current time on the clock that stamps are taken from.
    fn list_time(&self, now: Micros) -> Option<Micros> {
        let LatestStamp { stamp, observed } = self.latest?;
        Some(stamp.saturating_add(now.saturating_sub(observed)))
    }

    /// When an endpoint started, on this process's clock; `None` means long ago. The list with this stamp must have
    /// been observed before.
    pub fn started(&mut self, now: Micros, endpoint: usize, stamp_ms: i64) -> Option<Micros> {
        if stamp_ms <= 0 {
            self.starts.remove(&endpoint);
            return None;
        }
        if let Some(known) = self.starts.get(&endpoint).filter(|known| known.stamp_ms == stamp_ms) {
            return Some(known.at);
        }
        let stamp = stamp_ms.saturating_mul(MICROS_PER_MILLI);
        let age = self.list_time(now).unwrap_or(0).saturating_sub(stamp).max(0);
        let by_stamps = now.saturating_sub(age);
        // Without an earlier list, nothing else limits the age of a start.
        let at = self.last_list.map_or(by_stamps, |last_list| by_stamps.max(last_list));
        self.starts.insert(endpoint, Start { stamp_ms, at });
        Some(at)
    }

    /// Records that a list from discovery was applied: the starts that it did not change were still current then.
    pub fn list_applied(&mut self, now: Micros) {
        self.last_list = Some(now);
    }

    /// Forgets a removed endpoint, whose id may be reused.
    pub fn forget(&mut self, endpoint: usize) {
        self.starts.remove(&endpoint);
    }
}

#[cfg(test)]
mod tests;
