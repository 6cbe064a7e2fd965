//! A short cut of the sweep: a few calls of each kind fail, one after the other.

use lotusmoor_fleet::sweep::{Case, cases, run_replica_scenario, run_sidecar_scenario};
use std::sync::Mutex;

/// Lives that are played at a time.
const AT_ONCE: usize = 6;
/// What requests and their order follow from.
const SEED: u64 = 1;

/// Plays all cases, some at a time; what fails is told with its case.
fn each(all: Vec<Case>, play: impl Fn(&Case) -> Result<(), String> + Sync) {
    let (cases, failures) = (Mutex::new(all.into_iter()), Mutex::new(Vec::new()));
    let next = || cases.lock().expect("the lock is not poisoned").next();
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                while let Some(case) = next() {
                    if let Err(failure) = play(&case) {
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
fn a_call_of_a_sidecar_that_fails_breaks_no_rule() {
    let counts = run_sidecar_scenario(None, SEED).unwrap_or_else(|failure| panic!("{failure}"));
    let all = cases(&counts, 2);
    assert!(all.len() > 60, "{}", all.len());
    each(all, |case| run_sidecar_scenario(Some(case), SEED).map(drop).map_err(|e| e.to_string()));
}

// The first syncs are those that make its file and found its list.
#[test]
fn a_replica_whose_file_fails_once_owes_what_it_has_acknowledged_and_is_of_use_again() {
    let counts = run_replica_scenario(None).unwrap_or_else(|failure| panic!("{failure}"));
    let all: Vec<Case> = cases(&counts, 24).into_iter().filter(Case::is_on_file).collect();
    assert!(all.len() > 60, "{}", all.len());
    each(all, |case| run_replica_scenario(Some(case)).map(drop).map_err(|e| e.to_string()));
}
