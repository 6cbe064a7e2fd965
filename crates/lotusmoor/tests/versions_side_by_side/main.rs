//! Programs of an earlier commit together with the present ones: two processes of a sidecar that share a socket and a
//! folder, and replicas of one registry. `experiments/versions --programs` builds the earlier ones; the environment
//! variable `EARLIER_BUILD` names their folder.

mod process;
mod registry;
mod sidecars;
mod stage;

use registry::check_registry_with_replicas_of;
use sidecars::check_commands_to_either_apply_to_both;
use stage::Build;

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn commands_to_either_of_upgraded_and_earlier_sidecar_apply_to_both() {
    check_commands_to_either_apply_to_both(Build::Earlier, Build::Present);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn commands_to_either_of_rolled_back_and_present_sidecar_apply_to_both() {
    check_commands_to_either_apply_to_both(Build::Present, Build::Earlier);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn registry_of_two_earlier_replicas_and_a_present_one_stays_consistent() {
    check_registry_with_replicas_of([Build::Earlier, Build::Earlier, Build::Present]);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn registry_of_two_present_replicas_and_an_earlier_one_stays_consistent() {
    check_registry_with_replicas_of([Build::Present, Build::Present, Build::Earlier]);
}
