//! Whole runs of the model: the same seed gives the same run, the rules hold, and every run ends.

use lotusmoor_fleet::model::{Figures, Policy, Run, World};
use lotusmoor_fleet::scenario::Scenario;
use std::path::Path;

fn scenario(text: &str) -> (Scenario, lotusmoor_fleet::site::Site) {
    Scenario::parse(Path::new("test"), text).expect("the scenario is read")
}

fn play(text: &str, seed: u64, policy: Policy) -> Figures {
    let (scenario, site) = scenario(text);
    Run::new(World::draw(&scenario, &site, seed), policy).and_then(Run::execute).expect("it is played")
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
    assert_eq!(other.requests, alone.requests);
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
                figures.violations.remove("a cold server pushed over");
            }
            assert!(figures.violations.is_empty(), "{name}, seed {seed}: {:?}", figures.violations);
            assert!(figures.requests > 500, "{name}, seed {seed}: {}", figures.requests);
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
        assert_eq!(ends, sum(|w| w.requests));
    }
}

#[test]
fn a_load_that_can_not_be_served_ends_and_most_is_turned_down() {
    let text = "name = \"flood\"\nlength_s = 10\nsidecars = 6\nservers = 6\nload = 20\n";
    for policy in [Policy::Module, Policy::RoundRobin, Policy::TrueState] {
        let name = policy.name();
        let figures = play(text, 1, policy);
        assert!(figures.whole_run < 0.2 && figures.refused + figures.failed + figures.late > 0.8, "{name}");
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
        let whole = |text: &str, policy| play(text, seed, policy).whole_run;
        better += u32::from(whole(calm, Policy::TrueState) >= whole(calm, Policy::Module) - 0.01);
        worse += u32::from(whole(&lost, Policy::Module) < whole(calm, Policy::Module));
    }
    assert_eq!((better, worse), (5, 5));
}

#[test]
fn rounds_of_sidecars_delay_and_break_nothing() {
    let text = FAULTS.replace("load =", "ticked = true\nload =");
    let figures = play(&text, 2, Policy::Module);
    assert!(figures.violations.is_empty(), "{:?}", figures.violations);
    let fast = play(FAULTS, 2, Policy::Module);
    assert!((figures.whole_run - fast.whole_run).abs() < 0.1, "{} and {}", figures.whole_run, fast.whole_run);
}

// Of what was on its way to a process that was killed meanwhile, nobody is left to answer: it was never taken.
#[test]
fn what_comes_to_a_sidecar_that_has_just_been_killed_was_never_taken() {
    let text = "name = \"kills\"\nlength_s = 12\nsidecars = 40\nservers = 30\nload = 0.6\nsidecar_us = 5000\n
[[fault]]\nkind = \"sidecars_killed\"\nat_s = 4\nfor_s = [0.5, 2]\n
[[fault]]\nkind = \"sidecars_upgraded\"\nat_s = 8\nfor_s = 1\n";
    for seed in 1..=4 {
        let figures = play(text, seed, Policy::Module);
        assert!(figures.violations.is_empty(), "seed {seed}: {:?}", figures.violations);
    }
}

/// The site that comes with the tool, with lines of it changed.
fn site_with(changes: &[(&str, &str)]) -> lotusmoor_fleet::site::Site {
    let mut text = include_str!("../scenarios/site.toml").to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    lotusmoor_fleet::site::Site::parse(Path::new("site"), &text).expect("the site is read")
}

fn play_at(site: &lotusmoor_fleet::site::Site, text: &str, seed: u64, policy: Policy) -> Figures {
    let (scenario, _) = scenario(text);
    let world = World::draw(&scenario, site, seed);
    Run::new(world, policy).and_then(Run::execute).expect("it is played")
}

const PLAIN: &str = "name = \"plain\"\nlength_s = 12\nsidecars = 8\nservers = 12\nload = 0.6\n";

fn with_fault(fault: &str) -> String {
    format!("{PLAIN}[[fault]]\nat_s = 2\nfor_s = 8\n{fault}")
}

#[test]
fn what_a_tenant_asks_beyond_its_share_is_worth_little_and_the_worst_tenant_counts() {
    let tenants = "[[tenant]]\nname = \"big\"\nshare = 0.2\ntraffic = 0.8\n
[[tenant]]\nname = \"small\"\nshare = 0.8\ntraffic = 0.2\n[prices]";
    let site = site_with(&[
        ("[prices]", tenants),
        ("[net]", "over_share_worth = 0.1\n[net]"),
        ("worst_class = 0.2", "worst_class = 0.1\nworst_tenant = 0.1"),
    ]);
    let worth = |f: &Figures| f.windows.iter().map(|w| w.worth).sum::<f64>();
    let (shared, plain) = (play_at(&site, PLAIN, 1, Policy::Module), play(PLAIN, 1, Policy::Module));
    assert_eq!(shared.requests, plain.requests);
    assert!(worth(&shared) < 0.8 * worth(&plain), "{} of {}", worth(&shared), worth(&plain));
    assert!(shared.worst_tenant > 0.0 && shared.worst_tenant < 1.0 && plain.worst_tenant == 1.0);
    assert!(shared.violations.is_empty(), "{:?}", shared.violations);
}

#[test]
fn worth_by_work_weighs_long_requests_more() {
    let site = site_with(&[("[net]", "worth_by = \"work\"\n[net]")]);
    let (by_work, by_request) =
        (play_at(&site, PLAIN, 1, Policy::RoundRobin), play(PLAIN, 1, Policy::RoundRobin));
    assert_eq!((by_work.digest, by_work.in_time()), (by_request.digest, by_request.in_time()));
    // Those that take long are the ones that are late.
    assert!(by_work.whole_run < by_request.whole_run, "{} and {}", by_work.whole_run, by_request.whole_run);
}

#[test]
fn a_streamed_answer_counts_by_its_first_byte_and_no_time_runs_after_it() {
    let site = site_with(&[("aim_ms = 400", "aim_ms = 400\nstream_ms = 5000")]);
    for policy in Policy::ALL {
        let name = policy.name();
        let figures = play_at(&site, PLAIN, 1, policy);
        assert!(figures.violations.is_empty(), "{name}: {:?}", figures.violations);
        // The stream takes far longer than its class's deadline of 2 s.
        if name == "true_state" {
            assert!(figures.classes[0].in_time > 0.9, "{}", figures.classes[0].in_time);
        }
    }
    // A server that ends breaks the streams that it has, which are the client's.
    let broken = with_fault("kind = \"crash\"\npart = 0.5\n");
    let figures = play_at(&site, &broken, 1, Policy::Module);
    assert!(figures.violations.is_empty(), "{:?}", figures.violations);
    assert!(figures.failed > play_at(&site, PLAIN, 1, Policy::Module).failed);
}

#[test]
fn a_processor_that_is_short_makes_requests_late_and_bad_clients_use_it_up() {
    let slow = |message: u32| format!("message_us = {message}\nsidecar_cores = 0.1\n{PLAIN}");
    let whole = |text: &str| play(text, 1, Policy::Module).whole_run;
    let (free, tight, short) = (whole(PLAIN), whole(&slow(20)), whole(&slow(4000)));
    assert!((free - tight).abs() < 0.1 && short < 0.5 * free, "{free} {tight} {short}");
    let bad = format!("{}[[fault]]\nkind = \"bad_clients\"\nat_s = 2\nfor_s = 8\nsize = 2000\n", slow(60));
    assert!(whole(&bad) < whole(&slow(60)) - 0.2, "{} {}", whole(&bad), whole(&slow(60)));
}

#[test]
fn a_second_in_which_a_sidecar_uses_more_than_it_may_is_late_in_the_simulators_rounds() {
    let site = site_with(&[("max_attempts = 5", "max_attempts = 5\ncpu_ms_per_s = 1")]);
    let text = format!("ticked = true\nmessage_us = 100\n{PLAIN}");
    let open = site_with(&[("max_attempts = 5", "max_attempts = 5\ncpu_ms_per_s = 1000")]);
    let (tight, wide) = (play_at(&site, &text, 1, Policy::Module), play_at(&open, &text, 1, Policy::Module));
    assert!(tight.late > wide.late + 0.3, "{} and {}", tight.late, wide.late);
}

#[test]
fn seats_that_are_taken_turn_requests_away_before_the_sidecar() {
    let site = site_with(&[("max_attempts = 5", "max_attempts = 5\nmost_held = 1")]);
    let (few, many) = (play_at(&site, PLAIN, 1, Policy::Module), play(PLAIN, 1, Policy::Module));
    assert!(few.failed > many.failed + 0.1, "{} and {}", few.failed, many.failed);
    assert!(few.violations.is_empty(), "{:?}", few.violations);
}

#[test]
fn a_connection_that_carries_several_attempts_is_opened_less_often() {
    let site = site_with(&[("idle_s = 10", "idle_s = 10\nstreams = 8")]);
    let (shared, single) = (play_at(&site, PLAIN, 1, Policy::Module), play(PLAIN, 1, Policy::Module));
    assert!(shared.handshakes < 0.9 * single.handshakes, "{} {}", shared.handshakes, single.handshakes);
}

#[test]
fn prices_for_handshakes_connections_and_list_lines_come_off() {
    let replaced = with_fault("kind = \"replace\"\npart = 0.3\n");
    let plain = play(&replaced, 1, Policy::Module);
    for price in ["handshake = 0.1", "connection = 10", "discovery = 10"] {
        let site = site_with(&[("late_fail = 0.033", &format!("late_fail = 0.033\n{price}"))]);
        let priced = play_at(&site, &replaced, 1, Policy::RoundRobin);
        let free = play(&replaced, 1, Policy::RoundRobin);
        assert_eq!(priced.digest, free.digest, "{price}");
        assert!(priced.score < free.score, "{price}: {} and {}", priced.score, free.score);
    }
    assert!(plain.score > 0.0);
}

#[test]
fn live_weights_follow_the_load_and_reports_tell_the_fields_of_the_site() {
    let live = site_with(&[("weights = \"rough\"", "weights = \"live\"")]);
    let reports = site_with(&[("how = \"answers\"", "how = \"answers\"\nfields = [\"inflight\", \"util\"]")]);
    let replaced = with_fault(
        "kind = \"replace\"\npart = 0.5\n[[fault]]\nkind = \"sidecars_killed\"\nat_s = 4\nfor_s = 0.5\npart = 0.5\n",
    );
    let usual = play(&replaced, 1, Policy::Module);
    for site in [&live, &reports] {
        let figures = play_at(site, &replaced, 1, Policy::Module);
        assert_eq!(figures.requests, usual.requests);
        assert!(figures.violations.is_empty(), "{:?}", figures.violations);
    }
    // Shares of what a sidecar may have in flight go by weight where there is too much for all.
    let crowded = replaced.replace("load = 0.6", "load = 1.3");
    assert_ne!(play_at(&live, &crowded, 1, Policy::Module).digest, play(&crowded, 1, Policy::Module).digest);
}

#[test]
fn spoilt_answers_late_connections_and_eager_clients_cost_tries_and_break_no_rule() {
    let calm = play(PLAIN, 1, Policy::Module);
    let faulty = |fault: &str| {
        let figures = play(&with_fault(fault), 1, Policy::Module);
        assert!(figures.violations.is_empty(), "{fault}: {:?}", figures.violations);
        figures
    };
    assert!(faulty("kind = \"spoilt\"\nsize = 0.3\n").tries > 1.1 * calm.tries);
    let late = "kind = \"late_connects\"\nsize = 0.9\nextra = 1\n[[fault]]\nkind = \"sidecars_killed\"\nat_s = 3\nfor_s = 0.2\n";
    assert!(faulty(late).score < calm.score - 0.1);
    assert!(faulty("kind = \"eager\"\nsize = 3\nextra = 0.9\n").failed > calm.failed + 0.05);
}

// A sidecar has 2 s after the word, and what discovery has counts as told 6 s after it could be asked for.
#[test]
fn a_change_that_never_came_counts_as_told_six_seconds_after_discovery_had_it() {
    let text = |calls: f64, length: u32| {
        format!(
            "name = \"untold\"\nlength_s = {length}\nsidecars = 8\nservers = 12\nload = 0.6\n
[discovery]\ncalls_per_s = {calls}\n
[[fault]]\nkind = \"sidecars_killed\"\nat_s = 2\nfor_s = 0.2\n
[[fault]]\nkind = \"replace\"\nat_s = 4\nfor_s = 1\npart = 0.5\n"
        )
    };
    let rule = "a send to a server that drains or is gone";
    let broken = |calls: f64, length: u32| play(&text(calls, length), 1, Policy::RoundRobin).violations;
    // A call takes 1,000 s there: none of the new processes ever has a list but that of its start.
    assert!(broken(0.001, 30).contains_key(rule), "{:?}", broken(0.001, 30));
    assert!(!broken(0.001, 9).contains_key(rule), "{:?}", broken(0.001, 9));
    assert!(!broken(20.0, 30).contains_key(rule), "{:?}", broken(20.0, 30));
}

#[test]
fn what_its_client_left_while_its_connection_came_up_is_never_written() {
    // Clients leave within half of 180 or 270 ms, connections come up after 140 ms.
    let text = format!(
        "pace = 0.09\n{PLAIN}[[fault]]\nkind = \"late_connects\"\nat_s = 0\nfor_s = 30\nsize = 1\nextra = 0.14\n
[[fault]]\nkind = \"eager\"\nat_s = 0\nfor_s = 30\nsize = 1\nextra = 1\n"
    );
    // One that comes again doesn't leave.
    let site = site_with(&[("retries = [1, 2.99]", "retries = 0")]);
    for policy in [Policy::Module, Policy::RoundRobin, Policy::TrueState] {
        let name = policy.name();
        let figures = play_at(&site, &text, 1, policy);
        assert!(figures.violations.is_empty(), "{name}: {:?}", figures.violations);
        assert!(figures.attempts > 0.0, "{name}: {}", figures.attempts);
        assert_eq!((figures.in_time(), figures.wasted), (0, 0.0), "{name}");
    }
}

const ROSTER: &str = "[roster]\nreplicas = 3\n";

#[test]
fn sidecars_that_ride_a_roster_keep_the_rules_and_hear_of_changes_sooner() {
    // A roster's own table stands last in the file.
    let ridden = format!("{FAULTS}{ROSTER}");
    for seed in 1..=4 {
        for policy in [Policy::Module, Policy::TrueState] {
            let name = policy.name();
            let figures = play(&ridden, seed, policy);
            assert!(figures.violations.is_empty(), "{name}, seed {seed}: {:?}", figures.violations);
        }
        let (with, without) = (play(&ridden, seed, Policy::Module), play(FAULTS, seed, Policy::Module));
        assert_eq!(with.requests, without.requests);
        assert!(
            with.staleness_ms[0] < without.staleness_ms[0],
            "{:?} {:?}",
            with.staleness_ms,
            without.staleness_ms
        );
        assert_eq!(play(&ridden, seed, Policy::Module).digest, with.digest);
    }
}

#[test]
fn a_roster_whose_leader_is_killed_or_whose_replica_is_held_delays_news_within_its_bound() {
    let replaced = with_fault("kind = \"replace\"\npart = 0.5\n");
    let calm = play(&format!("{replaced}{ROSTER}"), 1, Policy::Module);
    assert!(
        calm.last_notified_ms[2] > 0.0 && calm.last_notified_ms[2] < 200.0,
        "{:?}",
        calm.last_notified_ms
    );
    for (kind, extra, bound) in [("roster_killed", 0, 1000.0), ("roster_held", 1, 7000.0)] {
        let fault = format!("[[fault]]\nkind = \"{kind}\"\nat_s = 4\nfor_s = 5\nextra = {extra}\n");
        let figures = play(&format!("{replaced}{fault}{ROSTER}"), 1, Policy::Module);
        assert!(figures.violations.is_empty(), "{kind}: {:?}", figures.violations);
        assert!(figures.last_notified_ms[2] < bound, "{kind}: {:?}", figures.last_notified_ms);
        // A killed leader delays the acknowledgement, a held replica the news of it.
        let (delayed, usual) = match kind {
            "roster_killed" => (figures.staleness_ms[2], calm.staleness_ms[2]),
            _ => (figures.last_notified_ms[2], calm.last_notified_ms[2]),
        };
        assert!(delayed > usual + 300.0, "{kind}: {delayed} after {usual}");
    }
}

// The list of its start is in its file, also where no change has come since.
#[test]
fn a_sidecar_that_starts_anew_while_the_roster_is_away_serves_by_its_file() {
    let text = format!(
        "{PLAIN}[[fault]]\nkind = \"discovery_down\"\nat_s = 3\nfor_s = 6\n
[[fault]]\nkind = \"sidecars_killed\"\nat_s = 4\nfor_s = 0.2\n{ROSTER}"
    );
    let figures = play(&text, 1, Policy::Module);
    let away = &figures.windows[5..9];
    let share = |of: fn(&lotusmoor_fleet::model::Window) -> u64| away.iter().map(of).sum::<u64>() as f64;
    let served = share(|w| w.in_time + w.late) / share(|w| w.requests);
    assert!(served > 0.9, "{served}");
}
