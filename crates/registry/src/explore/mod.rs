//! Fault exploration: replicas run the registry's own code, including its log and store, under random faults on
//! simulated clocks, and their history is checked.
//!
//! Each replica has its own runtime with a paused clock; all are stepped in turn on one thread. A suspended replica is
//! not stepped, and its clock jumps when it resumes, like that of a stopped process. Disks lose any part of what was
//! not synced when a replica crashes. A seed determines faults, calls, delays and elections.

mod check;
mod clock;
mod defect;
mod disk;
mod history;
mod network;
mod readers;
mod schedule;
mod violation;

pub use clock::Step;
pub use defect::Defect;
pub use history::{
    Call, CallResult, Completion, History, ListedChange, Observation, Operation, ReaderUpdate,
};
pub use schedule::{ScheduleResult, run_schedule};
pub use violation::Violation;

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of the events of one or several schedules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Calls with a known result.
    pub answered_calls: u64,
    /// Calls that failed or whose result is unknown.
    pub unanswered_calls: u64,
    /// Injected faults.
    pub faults: u64,
    /// Updates that readers of services received.
    pub reader_updates: u64,
    /// Updates for which a waiting reader was woken.
    pub woken_readers: u64,
}

impl Totals {
    fn add(&mut self, other: Self) {
        self.answered_calls += other.answered_calls;
        self.unanswered_calls += other.unanswered_calls;
        self.faults += other.faults;
        self.reader_updates += other.reader_updates;
        self.woken_readers += other.woken_readers;
    }
}

/// The result of exploring many schedules.
#[derive(Debug, Default)]
pub struct Exploration {
    /// The number of schedules that were run.
    pub schedules: u64,
    /// Counts over all of them.
    pub totals: Totals,
    /// Violations, by seed.
    pub violations: Vec<SeedViolation>,
}

/// A violation in the schedule of a seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeedViolation {
    /// The seed.
    pub seed: u64,
    /// The violation as text.
    pub description: String,
}

impl Exploration {
    fn add_schedule(&mut self, seed: u64, result: ScheduleResult) {
        self.schedules += 1;
        self.totals.add(result.totals);
        let violations = result.violations.iter();
        self.violations.extend(violations.map(|v| SeedViolation { seed, description: v.to_string() }));
    }

    fn merge(&mut self, other: Self) {
        self.schedules += other.schedules;
        self.totals.add(other.totals);
        self.violations.extend(other.violations);
    }
}

/// Runs the schedules of consecutive seeds on several threads.
pub fn explore(first_seed: u64, schedules: u64, threads: usize, defect: Option<Defect>) -> Exploration {
    let next_seed = AtomicU64::new(first_seed);
    let run_some = || {
        let mut exploration = Exploration::default();
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= first_seed + schedules {
                return exploration;
            }
            exploration.add_schedule(seed, run_schedule(seed, defect));
        }
    };
    let mut all = Exploration::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(run_some)).collect();
        for thread in threads {
            match thread.join() {
                Ok(exploration) => all.merge(exploration),
                Err(_) => all
                    .violations
                    .push(SeedViolation { seed: first_seed, description: "a schedule panicked".into() }),
            }
        }
    });
    all.violations.sort();
    all
}
