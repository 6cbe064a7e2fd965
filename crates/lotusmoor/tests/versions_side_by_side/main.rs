//! Programs of an earlier commit together with the current ones: two processes of a sidecar that share a socket and a
//! folder, and replicas of one registry. `experiments/versions --programs` builds the earlier ones; the environment
//! variable `EARLIER_BUILD` names their folder.

mod process;
mod registry;
mod sidecars;
mod stage;

use registry::check_registry_with_replicas_of;
use sidecars::check_command_to_either_process_applies_to_both;
use stage::Build;

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn command_to_either_process_applies_to_both_after_upgrade() {
    check_command_to_either_process_applies_to_both(Build::Earlier, Build::Current);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn command_to_either_process_applies_to_both_after_rollback() {
    check_command_to_either_process_applies_to_both(Build::Current, Build::Earlier);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn registry_of_two_earlier_replicas_and_a_current_one_stays_consistent() {
    check_registry_with_replicas_of([Build::Earlier, Build::Earlier, Build::Current]);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn registry_of_two_current_replicas_and_an_earlier_one_stays_consistent() {
    check_registry_with_replicas_of([Build::Current, Build::Current, Build::Earlier]);
}
