//! The randomized fault soak: real sidecars, servers and a discovery on loopback, with two or three troubles that meet
//! in time, and the protocol's rules checked over all that was seen. A seed draws the fleet, its settings and the
//! troubles; a failing one can be played again, and be shrunk to the troubles that it needs.

mod extra_faults;
mod plan;
mod run;

pub use extra_faults::{ProcessSignal, SeriesSignal};
pub use plan::{Fault, FaultWindow, LinkKind, Plan};
pub use run::{RunSummary, run_plan};

use crate::harness::ClusterError;

/// Drops troubles one after the other for as long as the run still fails; gives what is left, with the last failure.
/// Each trouble is left out `plays` times before it counts as not needed to fail.
pub fn shrink(plan: &Plan, failure: ClusterError, plays: usize) -> (Plan, ClusterError) {
    let (mut least, mut failure) = (plan.clone(), failure);
    let mut at = 0;
    while at < least.windows.len() {
        let mut without = least.clone();
        without.windows.remove(at);
        match (0..plays).find_map(|_| run_plan(&without).err()) {
            Some(error) => (least, failure) = (without, error),
            None => at += 1,
        }
    }
    (least, failure)
}
