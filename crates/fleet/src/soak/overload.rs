//! Plans in which clients and servers take more of a sidecar than their share, around planned stops: busy connections, long
//! uploads to servers that read slowly or stop, crowds, and requests that come again after their client has left. They are
//! drawn from a random stream of their own.

use super::plan::{Fault, FaultWindow, LinkKind, Plan};
use crate::chance::stream;
use crate::harness::OverloadKind;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// How long clients wait for an answer, in milliseconds: one of these.
const CLIENT_TIMEOUTS_MS: [u64; 3] = [400, 600, 1_000];
/// The memory of sidecars in MB: one of these.
const MEMORY_MB: [u64; 3] = [32, 32, 48];
/// How long each kind of clients goes on, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 1_000..2_500;
/// Clients of each kind.
const BUSY_CLIENTS: std::ops::RangeInclusive<usize> = 1..=3;
const UPLOADS: std::ops::Range<usize> = 2..6;
const CROWD: std::ops::Range<usize> = 100..250;
const RETURNING_CLIENTS: std::ops::Range<usize> = 5..15;
/// Servers that read slowly or stop reading, each at the link to one sidecar.
const SLOW_READERS: std::ops::RangeInclusive<usize> = 1..=2;

impl Plan {
    /// Draws a plan from a seed, with the planned stops of [`Self::draw_with_stops`] and overload.
    pub fn draw_with_overload(seed: u64) -> Self {
        let mut plan = Self::draw_with_stops(seed);
        let mut rng = stream(seed, "soak overload", 0);
        plan.client_timeout_ms = *CLIENT_TIMEOUTS_MS.choose(&mut rng).unwrap_or(&600);
        plan.memory_mb = *MEMORY_MB.choose(&mut rng).unwrap_or(&32);
        plan.small_buffers = true;
        let stops: Vec<(u64, usize)> = plan.windows.iter().filter_map(stopped_sidecar).collect();
        let ends_ms = plan.ends_ms();
        for kind in
            [OverloadKind::Busy, OverloadKind::LongUploads, OverloadKind::Crowd, OverloadKind::RepeatedIds]
        {
            // Half of them at a stop, so that connections of the old process are used while the new one starts.
            let (at_ms, sidecar) = match stops.choose(&mut rng) {
                Some(stop) if rng.random_bool(0.5) => *stop,
                _ => (rng.random_range(0..ends_ms.max(1)), rng.random_range(0..plan.sidecars)),
            };
            plan.draw_overload(&mut rng, kind, sidecar, at_ms);
        }
        plan.draw_delayed_uploads(seed);
        plan.windows.sort_by_key(|window| window.at_ms);
        plan
    }

    /// Uploads over links with delay in half of the plans, while a server reads slowly or stops reading. They are drawn from a
    /// random stream of their own, so that the other faults of a seed stay as they are.
    fn draw_delayed_uploads(&mut self, seed: u64) {
        let mut rng = stream(seed, "soak delayed uploads", 0);
        if rng.random_bool(0.5) {
            let sidecar = rng.random_range(0..self.sidecars);
            let at_ms = rng.random_range(0..self.ends_ms().max(1));
            self.draw_overload(&mut rng, OverloadKind::DelayedUploads, sidecar, at_ms);
        }
    }

    fn draw_overload(&mut self, rng: &mut ChaCha8Rng, kind: OverloadKind, sidecar: usize, at_ms: u64) {
        let lasts_ms = rng.random_range(LASTS_MS);
        let count = match kind {
            OverloadKind::Busy => rng.random_range(BUSY_CLIENTS),
            OverloadKind::LongUploads | OverloadKind::DelayedUploads => rng.random_range(UPLOADS),
            OverloadKind::Crowd => rng.random_range(CROWD),
            OverloadKind::RepeatedIds => rng.random_range(RETURNING_CLIENTS),
        };
        let fault = Fault::Overload { sidecar, count, kind, lasts_ms };
        self.windows.push(FaultWindow { at_ms, lasts_ms, fault });
        let uploads = matches!(kind, OverloadKind::LongUploads | OverloadKind::DelayedUploads);
        if !uploads || self.registry_replicas > 0 {
            return;
        }
        for _ in 0..rng.random_range(SLOW_READERS) {
            let server = rng.random_range(0..self.servers);
            let kind =
                *[LinkKind::StopsReading, LinkKind::ReadsSlowly].choose(rng).unwrap_or(&LinkKind::Slow);
            let fault = Fault::Link { sidecar, server, kind };
            self.windows.push(FaultWindow { at_ms, lasts_ms: lasts_ms + self.client_timeout_ms, fault });
        }
    }
}

/// When a sidecar is stopped or handed over by a window, and which.
fn stopped_sidecar(window: &FaultWindow) -> Option<(u64, usize)> {
    match window.fault {
        Fault::StopSidecar(sidecar) | Fault::HandOver(sidecar) => Some((window.at_ms, sidecar)),
        _ => None,
    }
}
