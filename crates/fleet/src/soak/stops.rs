//! Plans around planned stops: short deadlines, series of signals, connections that clients use until the process is
//! killed, and crowds that take the memory for requests. They are drawn from a random stream of their own.

use super::extra_faults::{ProcessSignal, SeriesSignal};
use super::plan::{Fault, FaultWindow, Plan};
use crate::chance::stream;
use crate::harness::backend::Conduct;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// How long clients wait for an answer, in milliseconds: one of these.
const CLIENT_TIMEOUTS_MS: [u64; 4] = [250, 400, 400, 900];
/// Requests a second to each sidecar.
const RATE: std::ops::Range<u32> = 20..40;
/// Sidecars that are stopped, each at another time.
const STOPS: std::ops::RangeInclusive<usize> = 3..=5;
/// The time from one stop to the next, in milliseconds.
const STOP_INTERVAL_MS: std::ops::Range<u64> = 400..1_200;
/// The time within which the signals of a series are sent, in milliseconds.
const SIGNAL_SERIES_MS: u64 = 1_000;
/// The share of plans with crowds, and the memory of their sidecars in MB.
const CROWD_SHARE: f64 = 0.4;
const CROWDED_MEMORY_MB: u64 = 32;
/// The clients of a crowd, more than there is memory for.
const CROWD: std::ops::Range<usize> = 70..110;
/// How long before a stop a crowd connects, in milliseconds.
const CROWD_BEFORE_MS: u64 = 120;
/// Clients that are slow to send their requests, at each stop.
const SLOW_CLIENTS: std::ops::Range<usize> = 10..40;
/// The share of stops beside a server that answers nothing.
const SILENT_SERVER_SHARE: f64 = 0.5;

impl Plan {
    /// Draws a plan from a seed, with the faults of [`Self::draw_with_extra_faults`] and planned stops.
    pub fn draw_with_stops(seed: u64) -> Self {
        let mut plan = Self::draw_with_extra_faults(seed);
        let mut rng = stream(seed, "soak stops", 0);
        plan.client_timeout_ms = *CLIENT_TIMEOUTS_MS.choose(&mut rng).unwrap_or(&400);
        plan.rate = f64::from(rng.random_range(RATE));
        let crowded = rng.random_bool(CROWD_SHARE);
        if crowded {
            plan.memory_mb = CROWDED_MEMORY_MB;
        }
        let mut at_ms = plan.ends_ms() / 2;
        let first = rng.random_range(0..plan.sidecars);
        for number in 0..rng.random_range(STOPS) {
            let sidecar = (first + number) % plan.sidecars;
            plan.draw_stop(&mut rng, sidecar, at_ms, crowded);
            at_ms += rng.random_range(STOP_INTERVAL_MS);
        }
        plan.windows.sort_by_key(|window| window.at_ms);
        plan
    }

    /// Draws the stop of one sidecar, and what its clients and a server do then.
    fn draw_stop(&mut self, rng: &mut ChaCha8Rng, sidecar: usize, at_ms: u64, crowded: bool) {
        let mut window = |at_ms, lasts_ms, fault| self.windows.push(FaultWindow { at_ms, lasts_ms, fault });
        if crowded {
            let count = rng.random_range(CROWD);
            window(at_ms.saturating_sub(CROWD_BEFORE_MS), 0, Fault::UnfinishedUploads { sidecar, count });
        }
        if rng.random_bool(SILENT_SERVER_SHARE) {
            let conduct = Conduct { silent: true, work_us: self.work_us, ..Conduct::default() };
            let server = rng.random_range(0..self.servers);
            window(at_ms, 2 * self.client_timeout_ms, Fault::Misbehaves { server, conduct });
        }
        let stop = match rng.random_range(0..2) {
            _ if self.socket_passing => Fault::HandOver(sidecar),
            0 => Fault::StopSidecar(sidecar),
            _ => Fault::SignalSeries { sidecar, signals: draw_series(rng) },
        };
        window(at_ms, 0, stop);
        window(at_ms, 0, Fault::SlowClients { sidecar, count: rng.random_range(SLOW_CLIENTS) });
    }
}

/// Draws a stop that is followed by further signals to stop.
fn draw_series(rng: &mut ChaCha8Rng) -> Vec<SeriesSignal> {
    let stops = [ProcessSignal::Terminate, ProcessSignal::Interrupt];
    let mut draw =
        |after_ms| SeriesSignal { after_ms, signal: *stops.choose(rng).unwrap_or(&ProcessSignal::Terminate) };
    let mut signals = vec![draw(0)];
    signals.extend([1, 2, 3].map(|n| draw(n * SIGNAL_SERIES_MS / 3)));
    signals
}
