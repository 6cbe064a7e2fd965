//! When servers started, as far as a list's own stamps and what this process has seen bear it out.
//!
//! A list stamps each server with the Unix time of its last start. This machine's wall clock is no measure for that:
//! it may be off when the process starts, and be stepped later; a server that has just started would pass for warm and
//! be pushed over, or stay cold for as long as the clock is behind. So stamps are compared with each other alone, and
//! with times on this process's monotonic clock at which they were first seen:
//!
//! - The latest stamp seen is no later than the moment in which it was seen. From then on the list's clock runs with
//!   this process's: it tells the least that the time can be, and so the least age of every other start.
//! - A start is no later than the moment in which its stamp was first seen.
//! - A stamp that replaces another, or a server that earlier lists did not name, started after the last list that said
//!   otherwise, whatever the stamp says: the clock of that server may have been stepped as well.
//!
//! - Where this machine's clock, as it was when the process started, agrees with the first lists, it tells the ages of the
//!   starts that they name, less ten seconds: the latest stamp lies behind it, by five minutes at most. A clock that was
//!   stepped by seconds can't be told from one that is right, hence the ten; one that was stepped by an hour does not agree.
//!
//! But for a clock that is ahead by more than those ten seconds and under five minutes, each bound errs on the cold side: a
//! server is given less for a while, never more than it bears.

use lotusmoor_balancer::Micros;
use std::collections::HashMap;

/// How far the latest stamp of a first list may lie behind this machine's clock for that to be believed. A list in
/// which nothing has started for longer says nothing of the clock.
const PLAUSIBLE: Micros = 300_000_000;

/// By how much a clock that agrees may be ahead all the same: what it tells of ages is less by that.
const DOUBT: Micros = 10_000_000;

/// What is known of one server's start.
#[derive(Clone, Copy, Debug)]
struct Start {
    stamp_ms: i64,
    at: Micros,
}

/// The starts of all servers that are listed, by number. Those of long ago are not kept.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The latest stamp, in microseconds, and when it was first seen.
    latest: Option<(Micros, Micros)>,
    /// When the last list came from discovery; none before the first.
    told: Option<Micros>,
    starts: HashMap<usize, Start>,
}

impl StartTimes {
    /// A list comes: `stamps_ms` are those of its servers, 0 for long ago.
    pub fn observe(&mut self, now: Micros, stamps_ms: impl Iterator<Item = i64>) {
        for stamp_ms in stamps_ms.filter(|stamp| *stamp > 0) {
            let stamp = stamp_ms.saturating_mul(1000);
            if self.list_time(now).is_none_or(|time| stamp > time) {
                self.latest = Some((stamp, now));
            }
        }
        // Now is Unix time, as this machine had it when the process started.
        let behind = self.list_time(now).map(|time| now.saturating_sub(time));
        if self.told.is_none() && behind.is_some_and(|behind| (DOUBT..=PLAUSIBLE).contains(&behind)) {
            self.latest = Some((now - DOUBT, now));
        }
    }

    /// The least that the time can be on the clock that stamps are taken from.
    fn list_time(&self, now: Micros) -> Option<Micros> {
        self.latest.map(|(stamp, seen)| stamp.saturating_add(now.saturating_sub(seen)))
    }

    /// When the server of that number started, on this process's clock; `None` is long ago. The list that says so has
    /// been observed.
    pub fn started(&mut self, now: Micros, server: usize, stamp_ms: i64) -> Option<Micros> {
        if stamp_ms <= 0 {
            self.starts.remove(&server);
            return None;
        }
        if let Some(known) = self.starts.get(&server).filter(|known| known.stamp_ms == stamp_ms) {
            return Some(known.at);
        }
        let age = self.list_time(now).unwrap_or(0).saturating_sub(stamp_ms.saturating_mul(1000)).max(0);
        let by_stamps = now.saturating_sub(age);
        // The first list tells of starts of any age.
        let at = self.told.map_or(by_stamps, |told| by_stamps.max(told));
        self.starts.insert(server, Start { stamp_ms, at });
        Some(at)
    }

    /// A list from discovery has been taken: what it did not say otherwise held until now.
    pub fn list_applied(&mut self, now: Micros) {
        self.told = Some(now);
    }

    /// A server is gone, and its number may be another's next.
    pub fn forget(&mut self, server: usize) {
        self.starts.remove(&server);
    }
}

#[cfg(test)]
mod tests;
