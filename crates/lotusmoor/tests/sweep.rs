//! A reduced sweep of system calls: a few calls of each kind fail, each in a run of its own.

use lotusmoor_fleet::sweep::{Case, cases, run_replica_scenario, run_sidecar_scenario};
use std::sync::Mutex;

/// The number of runs at a time.
const PARALLEL_RUNS: usize = 6;
/// The seed of the requests and their order.
const SEED: u64 = 1;

/// Runs all cases, several at a time, and panics with the cases that failed.
fn run_all(all: Vec<Case>, run: impl Fn(&Case) -> Result<(), String> + Sync) {
    let (cases, failures) = (Mutex::new(all.into_iter()), Mutex::new(Vec::new()));
    let next = || cases.lock().expect("the lock is not poisoned").next();
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                while let Some(case) = next() {
                    if let Err(failure) = run(&case) {
                        failures.lock().expect("the lock is not poisoned").push(format!("{case}: {failure}"));
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().expect("the lock is not poisoned");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn failed_system_call_of_a_sidecar_violates_no_rule() {
    let counts = run_sidecar_scenario(None, SEED).unwrap_or_else(|failure| panic!("{failure}"));
    let all = cases(&counts, 2);
    assert!(all.len() > 60, "{}", all.len());
    run_all(all, |case| run_sidecar_scenario(Some(case), SEED).map(drop).map_err(|e| e.to_string()));
}

// The cases begin with the first call of each kind, so they include the first syncs, which create the database file and
// bootstrap the registry.
#[test]
fn replica_keeps_acknowledged_writes_and_recovers_after_a_failed_file_call() {
    let counts = run_replica_scenario(None).unwrap_or_else(|failure| panic!("{failure}"));
    let all: Vec<Case> = cases(&counts, 24).into_iter().filter(Case::is_on_file).collect();
    assert!(all.len() > 60, "{}", all.len());
    run_all(all, |case| run_replica_scenario(Some(case)).map(drop).map_err(|e| e.to_string()));
}
