//! Flap damping: limits how often one endpoint may change the list, since every change is sent to all sidecars.

use super::{Micros, SECOND};
use std::collections::BTreeMap;

/// Changes that an endpoint may make at once.
const BURST: f64 = 5.0;
/// Changes per second after a burst.
const CHANGES_PER_SECOND: f64 = 0.5;
/// Tokens that a change costs.
const CHANGE_COST: f64 = 1.0;
/// Maximum number of endpoints that are tracked at once.
const MAX_TRACKED: usize = 8192;

/// A token bucket per endpoint.
#[derive(Default)]
pub struct FlapDamping {
    buckets: BTreeMap<String, Bucket>,
}

struct Bucket {
    tokens: f64,
    updated_at: Micros,
}

impl FlapDamping {
    /// Takes a token for a change by an endpoint; the error is the time until it may change again.
    pub fn try_change(&mut self, now: Micros, name: &str) -> Result<(), Micros> {
        if self.buckets.len() >= MAX_TRACKED {
            self.drop_full_buckets(now);
        }
        let bucket = self.buckets.entry(name.to_owned()).or_insert(Bucket { tokens: BURST, updated_at: now });
        bucket.tokens = bucket.tokens_at(now).min(BURST);
        bucket.updated_at = now;
        if bucket.tokens >= CHANGE_COST {
            bucket.tokens -= CHANGE_COST;
            return Ok(());
        }
        let missing = CHANGE_COST - bucket.tokens;
        Err((missing / CHANGES_PER_SECOND * SECOND as f64).ceil() as Micros + 1)
    }

    /// Drops buckets that have refilled, which are equivalent to new ones. If the map is still at its limit, clears it.
    fn drop_full_buckets(&mut self, now: Micros) {
        self.buckets.retain(|_, bucket| bucket.tokens_at(now) < BURST);
        if self.buckets.len() >= MAX_TRACKED {
            self.buckets.clear();
        }
    }
}

impl Bucket {
    /// The tokens at `now`, not capped at the burst.
    fn tokens_at(&self, now: Micros) -> f64 {
        let elapsed = (now - self.updated_at).max(0);
        self.tokens + elapsed as f64 / SECOND as f64 * CHANGES_PER_SECOND
    }
}

#[cfg(test)]
mod tests;
