//! Scale runs: what each component costs by the length of the endpoint list, the size of the fleet, and the rate of
//! changes.
//!
//! To run as large a fleet as one machine can hold, a scale run has three real registry replicas, some real sidecars
//! under a steady load (ten in the recorded runs), and thousands of hollow sidecars. A hollow sidecar is a sidecar
//! without the data path: it has the real registry watcher with its connection, versions and timers, but forwards no
//! requests. The cost of each component is measured at each step of a sweep, or during each of a series of events. A
//! real sidecar and the decision module (the `Balancer` of crate `lotusmoor_balancer`) are also measured alone.

pub mod decision_cost;
pub mod deployment;
pub mod hollow;
mod plan;
mod propagation;
pub mod results;
mod run;
pub mod sidecar;
mod topology;
mod usage;

pub use plan::{EventSpec, KilledReplica, Plan, Sizes, Sweep, SweepVariable};
pub use results::{Mode, Record, ResultFile};
pub use run::{StepResult, run_plan};
pub use topology::Topology;

use rustix::time::{ClockId, clock_gettime};

/// Microseconds of `CLOCK_MONOTONIC`, which all processes of the machine share and which is never set.
pub fn monotonic() -> i64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

/// Raises this process's soft limit of open files, which its children inherit. Fails if the hard limit is too low.
pub fn raise_file_limit(wanted: u64) -> std::io::Result<()> {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    let enough = |limit: Option<u64>| limit.is_none_or(|n| n >= wanted);
    if enough(limit.current) {
        return Ok(());
    }
    if !enough(limit.maximum) {
        let maximum = limit.maximum.unwrap_or(0);
        let message = format!("a process needs {wanted} open files, but the hard limit is {maximum}");
        return Err(std::io::Error::other(message));
    }
    Ok(setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum: limit.maximum })?)
}
