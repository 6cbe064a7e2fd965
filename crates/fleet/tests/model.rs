//! Whole runs of the model: the same seed gives the same run, the rules hold, and every run ends.

use lotusmoor_fleet::model::{Figures, Policy, Run, World};
use lotusmoor_fleet::scenario::Scenario;
use std::path::Path;

fn scenario(text: &str) -> (Scenario, lotusmoor_fleet::site::Site) {
    Scenario::parse(Path::new("test"), text).expect("the scenario is read")
}

fn play(text: &str, seed: u64, policy: Policy) -> Figures {
    let (scenario, site) = scenario(text);
    Run::new(World::draw(&scenario, &site, seed), policy).and_then(Run::play).expect("it is played")
}

const FAULTS: &str = "
name = \"faults\"
length_s = 24
sidecars = 12
servers = 15
load = [0.4, 0.6]
site_troubles = 1
[[fault]]
kind = \"zone_lost\"
at_s = 5
for_s = 3
[[fault]]
kind = \"replace\"
at_s = 10
for_s = 4
part = 0.3
[[fault]]
kind = \"sidecars_killed\"
at_s = 12
for_s = [0.5, 2]
part = 0.5
[[fault]]
kind = \"sidecars_upgraded\"
at_s = 16
for_s = 2
part = 0.5
[[fault]]
kind = \"sidecars_restarted\"
at_s = 18
for_s = 3
part = 0.5
extra = 0.5
[[fault]]
kind = \"resets\"
at_s = 3
for_s = 15
size = 0.03
[[fault]]
kind = \"zone_cut_out\"
at_s = 17
for_s = 3
[[fault]]
kind = \"restart_by_hand\"
at_s = 4
for_s = 2
part = 0.2
extra = 0.5
[[fault]]
kind = \"discovery_down\"
at_s = 9
for_s = 4
";

#[test]
fn one_seed_gives_one_run_whatever_else_the_machine_does() {
    let alone = play(FAULTS, 7, Policy::Module);
    let threads: Vec<_> = (0..4).map(|_| std::thread::spawn(|| play(FAULTS, 7, Policy::Module))).collect();
    for thread in threads {
        let beside = thread.join().expect("it is played");
        assert_eq!((beside.digest, &beside), (alone.digest, &alone));
    }
    assert_ne!(play(FAULTS, 8, Policy::Module).digest, alone.digest);
    // Policies meet the same day: what clients first ask does not depend on what becomes of it.
    let other = play(FAULTS, 7, Policy::RoundRobin);
    assert_eq!(other.asked, alone.asked);
    assert_ne!(other.digest, alone.digest);
}

#[test]
fn every_policy_keeps_the_rules_through_all_kinds_of_fault() {
    for seed in 1..=6 {
        for policy in Policy::ALL {
            // Baselines know nothing of cold servers, and push them over.
            let cold = matches!(policy, Policy::RoundRobin | Policy::LeastInFlight);
            let name = policy.name();
            let mut figures = play(FAULTS, seed, policy);
            if cold {
                figures.broken.remove("a cold server pushed over");
            }
            assert!(figures.broken.is_empty(), "{name}, seed {seed}: {:?}", figures.broken);
            assert!(figures.asked > 500, "{name}, seed {seed}: {}", figures.asked);
        }
    }
}

#[test]
fn every_request_has_one_end() {
    for policy in Policy::ALL {
        let figures = play(FAULTS, 3, policy);
        let sum =
            |of: fn(&lotusmoor_fleet::model::Window) -> u64| figures.windows.iter().map(of).sum::<u64>();
        let ends = sum(|w| w.in_time) + sum(|w| w.late) + sum(|w| w.refused) + sum(|w| w.failed);
        assert_eq!(ends, sum(|w| w.asked));
    }
}

#[test]
fn a_load_that_can_not_be_served_ends_and_most_is_turned_down() {
    let text = "name = \"flood\"\nlength_s = 10\nsidecars = 6\nservers = 6\nload = 20\n";
    for policy in [Policy::Module, Policy::RoundRobin, Policy::TrueState] {
        let name = policy.name();
        let figures = play(text, 1, policy);
        assert!(figures.whole < 0.2 && figures.refused + figures.failed + figures.late > 0.8, "{name}");
        let last = figures.windows.iter().rposition(|w| w.attempts > 0).expect("something was sent");
        assert!(last < 10 + 4, "{name}: still sends at {last} s");
    }
}

#[test]
fn who_sees_the_true_state_serves_no_less_and_a_lost_zone_costs_something() {
    let calm = "name = \"calm\"\nlength_s = 20\nsidecars = 30\nservers = 30\nload = 0.6\n";
    let lost = format!("{calm}[[fault]]\nkind = \"zone_lost\"\nat_s = 6\nfor_s = 6\n");
    let (mut better, mut worse) = (0, 0);
    for seed in 1..=5 {
        let whole = |text: &str, policy| play(text, seed, policy).whole;
        better += u32::from(whole(calm, Policy::TrueState) >= whole(calm, Policy::Module) - 0.01);
        worse += u32::from(whole(&lost, Policy::Module) < whole(calm, Policy::Module));
    }
    assert_eq!((better, worse), (5, 5));
}

#[test]
fn rounds_of_sidecars_delay_and_break_nothing() {
    let text = FAULTS.replace("load =", "ticked = true\nload =");
    let figures = play(&text, 2, Policy::Module);
    assert!(figures.broken.is_empty(), "{:?}", figures.broken);
    let fast = play(FAULTS, 2, Policy::Module);
    assert!((figures.whole - fast.whole).abs() < 0.1, "{} and {}", figures.whole, fast.whole);
}

// Of what was on its way to a process that was killed meanwhile, nobody is left to answer: it was never taken.
#[test]
fn what_comes_to_a_sidecar_that_has_just_been_killed_was_never_taken() {
    let text = "name = \"kills\"\nlength_s = 12\nsidecars = 40\nservers = 30\nload = 0.6\nsidecar_us = 5000\n
[[fault]]\nkind = \"sidecars_killed\"\nat_s = 4\nfor_s = [0.5, 2]\n
[[fault]]\nkind = \"sidecars_upgraded\"\nat_s = 8\nfor_s = 1\n";
    for seed in 1..=4 {
        let figures = play(text, seed, Policy::Module);
        assert!(figures.broken.is_empty(), "seed {seed}: {:?}", figures.broken);
    }
}
