//! Programs of an earlier commit beside those of the present one: two processes of a sidecar on one socket and one
//! folder, and replicas of one registry. `experiments/versions --programs` builds the earlier ones; the environment
//! variable `EARLIER_BUILD` names their folder.

mod process;
mod registry;
mod sidecars;
mod stage;

use registry::holds_with_replicas_of;
use sidecars::follows_operators_of_both;
use stage::Build;

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn upgraded_sidecar_and_earlier_one_follow_each_others_operators() {
    follows_operators_of_both(Build::Earlier, Build::Present);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn rolled_back_sidecar_and_present_one_follow_each_others_operators() {
    follows_operators_of_both(Build::Present, Build::Earlier);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn registry_of_two_earlier_replicas_and_a_present_one_holds() {
    holds_with_replicas_of([Build::Earlier, Build::Earlier, Build::Present]);
}

#[test]
#[ignore = "needs programs of an earlier commit: see docs/fleet.md"]
fn registry_of_two_present_replicas_and_an_earlier_one_holds() {
    holds_with_replicas_of([Build::Present, Build::Present, Build::Earlier]);
}
