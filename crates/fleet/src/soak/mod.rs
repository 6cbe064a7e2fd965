//! The randomized fault soak: runs real sidecars, servers and a discovery on loopback, injects groups of two or three
//! faults that overlap in time, and checks the protocol's rules over the history. A seed determines the fleet, its
//! settings and the faults; a failing plan can be run again, and be shrunk to the faults that it needs to fail.

mod extra_faults;
mod overload;
mod plan;
mod run;
mod stops;

pub use extra_faults::{ProcessSignal, SeriesSignal};
pub use plan::{Fault, FaultWindow, LinkKind, Plan};
pub use run::{RunSummary, run_plan};

use crate::harness::ClusterError;

/// Drops faults one after the other for as long as the run still fails; returns the remaining plan with the last
/// failure. A fault is kept if the plan without it passes `attempts` times.
pub fn shrink(plan: &Plan, failure: ClusterError, attempts: usize) -> (Plan, ClusterError) {
    let (mut smallest, mut failure) = (plan.clone(), failure);
    let mut at = 0;
    while at < smallest.windows.len() {
        let mut candidate = smallest.clone();
        candidate.windows.remove(at);
        match (0..attempts).find_map(|_| run_plan(&candidate).err()) {
            Some(error) => (smallest, failure) = (candidate, error),
            None => at += 1,
        }
    }
    (smallest, failure)
}
