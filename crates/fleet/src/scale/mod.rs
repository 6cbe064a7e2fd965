//! What sizes cost: of the list, of the fleet, and of the rate of changes.
//!
//! How far a fleet goes on one machine is played with three real replicas, ten real sidecars under a steady load, and
//! thousands of hollow sidecars beside them. A hollow one has the real reader of the list with its connection, versions
//! and timers, and carries no request. What each part costs is measured at each step of a sweep, or through each of some
//! events; a sidecar and the decision module are measured alone as well.

pub mod decision_cost;
pub mod deployment;
pub mod hollow;
pub mod lines;
mod plan;
mod propagation;
mod run;
pub mod sidecar;
mod topology;
mod usage;

pub use lines::{Line, Lines, Mode};
pub use plan::{EventSpec, KilledReplica, Plan, Sizes, Sweep, SweepVariable};
pub use run::{StepResult, run_plan};
pub use topology::Topology;

use rustix::time::{ClockId, clock_gettime};

/// Microseconds on the clock that all processes of this machine share and that nobody sets.
pub fn monotonic() -> i64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

/// Raises this process's soft limit of open files, which its children start with; says what is missing where the
/// machine does not give as many.
pub fn allow_files(wanted: u64) -> std::io::Result<()> {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    let enough = |of: Option<u64>| of.is_none_or(|n| n >= wanted);
    if enough(limit.current) {
        return Ok(());
    }
    if !enough(limit.maximum) {
        let most = limit.maximum.unwrap_or(0);
        let said = format!("{wanted} open files are needed in a process, and the system allows {most}");
        return Err(std::io::Error::other(said));
    }
    Ok(setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum: limit.maximum })?)
}
