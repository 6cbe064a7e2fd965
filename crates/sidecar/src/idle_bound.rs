//! An adaptive idle timeout: determines how long an idle connection may be reused, from the settings and from
//! connections that were lost when they were reused.
//!
//! Endpoints, and devices on the path to them, may silently drop idle connections sooner than the settings say; the
//! next request then ends with a reset, after which it may have run. The adaptive timeout covers anything that forgets
//! idle connections early (address translation, a proxy, changed settings of an endpoint). It does harm if a single
//! endpoint drops them early: connections to all endpoints are then dialled more often, and each dial costs a
//! handshake.

use std::time::Duration;
use tokio::time::Instant;

/// The end of the first range of idle ages, in seconds.
const FIRST_RANGE_SECONDS: f64 = 0.005;
/// Factor between the ends of one range and the next.
const RANGE_FACTOR: f64 = 1.25;
/// The number of ranges.
const RANGES: usize = 48;
/// Approximate number of recent uses that a range remembers.
const MAX_USES: u32 = 32;
/// Minimum number of lost connections for an age to count as too old: networks break connections of any age.
const MIN_LOST: u32 = 4;
/// More than one in this many used connections has to be lost, as several in a row may break by chance.
const LOST_DIVISOR: u32 = 4;
/// The share of lost connections has to exceed that among new connections by this factor.
const MIN_RATIO_TO_NEW: u32 = 2;
/// If no connection is lost for this long, the timeout rises by one range, as the cause of the losses may be gone.
const RAISE_INTERVAL: Duration = Duration::from_secs(10);

/// How many connections of similar idle age were used recently, and how many of them were lost.
#[derive(Clone, Copy, Default)]
struct UseCounts {
    used: u32,
    lost: u32,
}

impl UseCounts {
    fn add(&mut self, lost: bool) {
        if self.used >= MAX_USES {
            *self = Self { used: self.used / 2, lost: self.lost / 2 };
        }
        *self = Self { used: self.used + 1, lost: self.lost + u32::from(lost) };
    }

    fn many_lost(self) -> bool {
        self.lost >= MIN_LOST && self.lost * LOST_DIVISOR > self.used
    }
}

/// The idle age up to which connections are reused.
pub struct AdaptiveIdleTimeout {
    configured: Duration,
    uses: [UseCounts; RANGES],
    new_connections: UseCounts,
    /// Index of the first range that is too old to be reused; `RANGES` if none is.
    first_too_old: usize,
    /// When `first_too_old` was last set.
    first_too_old_at: Instant,
}

impl AdaptiveIdleTimeout {
    /// Starts with the configured time, until the use of connections shows that it is too long.
    pub fn new(configured: Duration, now: Instant) -> Self {
        Self {
            configured,
            uses: [UseCounts::default(); RANGES],
            new_connections: UseCounts::default(),
            first_too_old: RANGES,
            first_too_old_at: now,
        }
    }

    /// The current timeout.
    pub fn get(&mut self, now: Instant) -> Duration {
        if self.first_too_old < RANGES
            && now.saturating_duration_since(self.first_too_old_at) >= RAISE_INTERVAL
        {
            (self.first_too_old, self.first_too_old_at) = (self.first_too_old + 1, now);
        }
        if self.first_too_old == RANGES {
            return self.configured;
        }
        let timeout = FIRST_RANGE_SECONDS * RANGE_FACTOR.powi(self.first_too_old as i32 - 1);
        Duration::from_secs_f64(timeout).min(self.configured)
    }

    /// Records whether a new connection was lost before any byte of a response.
    pub fn record_new(&mut self, lost: bool) {
        self.new_connections.add(lost);
    }

    /// Records the same for a connection that had been idle for that time.
    pub fn record_reused(&mut self, now: Instant, idle: Duration, lost: bool) {
        let range = range_of(idle);
        self.uses[range].add(lost);
        // Whatever drops connections of this age drops all older ones as well.
        let older = self.uses[range..].iter().fold(UseCounts::default(), |sum, uses| UseCounts {
            used: sum.used + uses.used,
            lost: sum.lost + uses.lost,
        });
        // If new connections are lost as well, age is not the cause.
        let lost_of_older = older.lost * self.new_connections.used.max(1);
        let lost_of_new = self.new_connections.lost * older.used;
        let by_age = lost_of_older > MIN_RATIO_TO_NEW * lost_of_new;
        if lost && self.uses[range].many_lost() && older.many_lost() && by_age {
            (self.first_too_old, self.first_too_old_at) = (range.min(self.first_too_old), now);
            self.uses[range..].fill(UseCounts::default());
        }
    }
}

fn range_of(idle: Duration) -> usize {
    let ends_after =
        |range: &usize| idle.as_secs_f64() < FIRST_RANGE_SECONDS * RANGE_FACTOR.powi(*range as i32);
    (0..RANGES - 1).find(ends_after).unwrap_or(RANGES - 1)
}

#[cfg(test)]
mod tests;
