//! Additional faults: clients that abort long uploads, series of signals, and logs that nobody reads. They are drawn
//! from a random stream of their own, so that the other faults of a seed do not depend on them.

use super::plan::{Fault, FaultWindow, Plan};
use crate::chance::stream;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Share of plans in which some sidecars log to pipes that nobody reads.
const UNREAD_LOGS_SHARE: f64 = 0.3;
/// The time within which the signals of a series are sent, in milliseconds.
const SIGNAL_SERIES_MS: u64 = 100;
/// How long a sidecar is down while clients abort uploads, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 400..1_000;
/// How long a sidecar is paused while clients abort uploads, in milliseconds.
const PAUSE_MS: u64 = 150;

/// A signal that is sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessSignal {
    /// SIGHUP: the process reloads its configuration.
    Hangup,
    /// SIGTERM: the process stops.
    Terminate,
    /// SIGINT: the process stops.
    Interrupt,
}

/// A signal of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeriesSignal {
    /// The time after the start of the series, in milliseconds.
    pub after_ms: u64,
    /// The signal.
    pub signal: ProcessSignal,
}

impl Plan {
    /// Draws a plan from a seed, including the additional faults.
    pub fn draw_with_extra_faults(seed: u64) -> Self {
        let mut plan = Self::draw(seed);
        let mut rng = stream(seed, "soak clients and signals", 0);
        let ends = plan.ends_ms();
        plan.draw_aborted_uploads(&mut rng, ends);
        if !plan.socket_passing {
            plan.draw_signal_series(&mut rng, ends);
        }
        if rng.random_bool(UNREAD_LOGS_SHARE) {
            plan.windows.push(window(0, 0, Fault::StalledLogReader(rng.random_range(0..plan.sidecars))));
            plan.windows.push(window(0, 0, Fault::ClosedLogPipe(rng.random_range(0..plan.sidecars))));
        }
        plan.windows.sort_by_key(|window| window.at_ms);
        plan
    }

    /// Draws clients that abort uploads to a sidecar that is down if sockets are passed between processes, and paused
    /// otherwise.
    fn draw_aborted_uploads(&mut self, rng: &mut ChaCha8Rng, ends_ms: u64) {
        let sidecar = rng.random_range(0..self.sidecars);
        let at_ms = rng.random_range(ends_ms / 2..ends_ms + 1_000);
        let (outage, lasts_ms) = if self.socket_passing {
            (Fault::KillSidecar(sidecar), rng.random_range(DOWNTIME_MS))
        } else {
            (Fault::PauseSidecar(sidecar), PAUSE_MS)
        };
        self.windows.push(window(at_ms, lasts_ms, outage));
        let count = rng.random_range(4..=12);
        let uploads = Fault::AbortUploads { sidecar, count };
        self.windows.push(window(at_ms + rng.random_range(1..20), 0, uploads));
    }

    fn draw_signal_series(&mut self, rng: &mut ChaCha8Rng, ends_ms: u64) {
        let sidecar = rng.random_range(0..self.sidecars);
        let all = [ProcessSignal::Hangup, ProcessSignal::Terminate, ProcessSignal::Interrupt];
        let mut signals: Vec<SeriesSignal> = (0..rng.random_range(2..=4))
            .map(|_| SeriesSignal {
                after_ms: rng.random_range(0..SIGNAL_SERIES_MS),
                signal: *all.choose(rng).unwrap_or(&ProcessSignal::Terminate),
            })
            .collect();
        if self.registry_replicas > 0 {
            // With a registry there is no discovery whose address a reload could change.
            signals.retain(|signal| signal.signal != ProcessSignal::Hangup);
        }
        signals.sort_by_key(|signal| signal.after_ms);
        let at_ms = rng.random_range(ends_ms / 2..ends_ms + 1_000);
        self.windows.push(window(at_ms, 0, Fault::SignalSeries { sidecar, signals }));
    }

    /// The sidecars whose log nobody reads: those with a stalled reader, and those whose pipe has no reader.
    pub(super) fn unread_logs(&self) -> (Vec<usize>, Vec<usize>) {
        let (mut stalled, mut closed) = (Vec::new(), Vec::new());
        for window in &self.windows {
            match window.fault {
                Fault::StalledLogReader(sidecar) => stalled.push(sidecar),
                Fault::ClosedLogPipe(sidecar) => closed.push(sidecar),
                _ => {}
            }
        }
        (stalled, closed)
    }
}

fn window(at_ms: u64, lasts_ms: u64, fault: Fault) -> FaultWindow {
    FaultWindow { at_ms, lasts_ms, fault }
}
