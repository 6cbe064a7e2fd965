//! Faults that came to the soak later, drawn from chances of their own, so that a seed draws the same troubles as before
//! beside them: clients that leave with long bodies under way, signals in series, and logs that nobody reads.

use super::plan::{Fault, FaultWindow, Plan};
use crate::chance::stream;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Share of plans in which some sidecars log to pipes that nobody reads.
const UNREAD_LOGS: f64 = 0.3;
/// The signals of a series come within this.
const SERIES_MS: u64 = 100;
/// How long a sidecar is away or held while clients leave, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 400..1_000;
const HOLD_MS: u64 = 150;

/// A signal that a process is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessSignal {
    /// SIGHUP: it reads its configuration again.
    Hangup,
    /// SIGTERM: it stops.
    Terminate,
    /// SIGINT: it stops.
    Interrupt,
}

/// A signal of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeriesSignal {
    /// How long after the series began.
    pub after_ms: u64,
    /// The signal.
    pub signal: ProcessSignal,
}

impl Plan {
    /// Draws one, with the faults that came later.
    pub fn draw_with_extra_faults(seed: u64) -> Self {
        let mut plan = Self::draw(seed);
        let mut rng = stream(seed, "soak clients and signals", 0);
        let ends = plan.ends_ms();
        plan.draw_leaving_clients(&mut rng, ends);
        if !plan.socket_passing {
            plan.draw_signal_series(&mut rng, ends);
        }
        if rng.random_bool(UNREAD_LOGS) {
            plan.windows.push(window(0, 0, Fault::UnreadLog(rng.random_range(0..plan.sidecars))));
            plan.windows.push(window(0, 0, Fault::LostLog(rng.random_range(0..plan.sidecars))));
        }
        plan.windows.sort_by_key(|window| window.at_ms);
        plan
    }

    /// Clients leave while their sidecar is away, where the platform holds its socket, or held.
    fn draw_leaving_clients(&mut self, rng: &mut ChaCha8Rng, ends_ms: u64) {
        let sidecar = rng.random_range(0..self.sidecars);
        let at_ms = rng.random_range(ends_ms / 2..ends_ms + 1_000);
        let (away, lasts_ms) = if self.socket_passing {
            (Fault::KillSidecar(sidecar), rng.random_range(AWAY_MS))
        } else {
            (Fault::PauseSidecar(sidecar), HOLD_MS)
        };
        self.windows.push(window(at_ms, lasts_ms, away));
        let count = rng.random_range(4..=12);
        let leave = Fault::LeavingBodies { sidecar, count };
        self.windows.push(window(at_ms + rng.random_range(1..20), 0, leave));
    }

    fn draw_signal_series(&mut self, rng: &mut ChaCha8Rng, ends_ms: u64) {
        let sidecar = rng.random_range(0..self.sidecars);
        let all = [ProcessSignal::Hangup, ProcessSignal::Terminate, ProcessSignal::Interrupt];
        let mut signals: Vec<SeriesSignal> = (0..rng.random_range(2..=4))
            .map(|_| SeriesSignal {
                after_ms: rng.random_range(0..SERIES_MS),
                signal: *all.choose(rng).unwrap_or(&ProcessSignal::Terminate),
            })
            .collect();
        if self.registry_replicas > 0 {
            // Where lists come from a registry, no configuration moves discovery.
            signals.retain(|signal| signal.signal != ProcessSignal::Hangup);
        }
        signals.sort_by_key(|signal| signal.after_ms);
        let at_ms = rng.random_range(ends_ms / 2..ends_ms + 1_000);
        self.windows.push(window(at_ms, 0, Fault::SignalSeries { sidecar, signals }));
    }

    /// Sidecars whose log nobody reads, by a reader that stands still and by one that is gone.
    pub(super) fn unread_logs(&self) -> (Vec<usize>, Vec<usize>) {
        let (mut unread, mut lost) = (Vec::new(), Vec::new());
        for window in &self.windows {
            match window.fault {
                Fault::UnreadLog(sidecar) => unread.push(sidecar),
                Fault::LostLog(sidecar) => lost.push(sidecar),
                _ => {}
            }
        }
        (unread, lost)
    }
}

fn window(at_ms: u64, lasts_ms: u64, fault: Fault) -> FaultWindow {
    FaultWindow { at_ms, lasts_ms, fault }
}
