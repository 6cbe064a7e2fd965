//! Complete runs of the fleet simulation: they are reproducible, violate no rule of the checker, and end.

use lotusmoor_fleet::model::{Figures, Policy, Run, World};
use lotusmoor_fleet::scenario::Scenario;
use std::path::Path;

fn scenario(text: &str) -> (Scenario, lotusmoor_fleet::site::Site) {
    Scenario::parse(Path::new("test"), text).expect("the scenario is read")
}

fn simulate(text: &str, seed: u64, policy: Policy) -> Figures {
    let (scenario, site) = scenario(text);
    Run::new(World::draw(&scenario, &site, seed), policy).and_then(Run::execute).expect("the simulation runs")
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
fn run_depends_on_its_seed_and_not_on_concurrent_runs() {
    let alone = simulate(FAULTS, 7, Policy::Balancer);
    let threads: Vec<_> =
        (0..4).map(|_| std::thread::spawn(|| simulate(FAULTS, 7, Policy::Balancer))).collect();
    for thread in threads {
        let concurrent = thread.join().expect("the simulation runs");
        assert_eq!((concurrent.digest, &concurrent), (alone.digest, &alone));
    }
    assert_ne!(simulate(FAULTS, 8, Policy::Balancer).digest, alone.digest);
    // All policies get the same requests: clients' first attempts do not depend on the results of earlier ones.
    let other = simulate(FAULTS, 7, Policy::RoundRobin);
    assert_eq!(other.requests, alone.requests);
    assert_ne!(other.digest, alone.digest);
}

#[test]
fn no_policy_violates_the_rules_under_faults() {
    for seed in 1..=6 {
        for policy in Policy::ALL {
            // The baselines ignore slow start and overload servers that are warming up.
            let ignores_slow_start = matches!(policy, Policy::RoundRobin | Policy::LeastInFlight);
            let name = policy.name();
            let mut figures = simulate(FAULTS, seed, policy);
            if ignores_slow_start {
                figures.violations.remove("a cold server pushed over");
            }
            assert!(figures.violations.is_empty(), "{name}, seed {seed}: {:?}", figures.violations);
            assert!(figures.requests > 500, "{name}, seed {seed}: {}", figures.requests);
        }
    }
}

#[test]
fn every_request_has_exactly_one_outcome() {
    for policy in Policy::ALL {
        let figures = simulate(FAULTS, 3, policy);
        let sum = |field: fn(&lotusmoor_fleet::model::Window) -> u64| {
            figures.windows.iter().map(field).sum::<u64>()
        };
        let outcomes = sum(|w| w.in_time) + sum(|w| w.late) + sum(|w| w.refused) + sum(|w| w.failed);
        assert_eq!(outcomes, sum(|w| w.requests));
    }
}

#[test]
fn excessive_load_is_mostly_rejected_and_the_run_ends() {
    let text = "name = \"flood\"\nlength_s = 10\nsidecars = 6\nservers = 6\nload = 20\n";
    for policy in [Policy::Balancer, Policy::RoundRobin, Policy::TrueState] {
        let name = policy.name();
        let figures = simulate(text, 1, policy);
        assert!(figures.whole_run < 0.2 && figures.refused + figures.failed + figures.late > 0.8, "{name}");
        let last = figures.windows.iter().rposition(|w| w.attempts > 0).expect("something was sent");
        assert!(last < 10 + 4, "{name}: still sends attempts at {last} s");
    }
}

#[test]
fn true_state_policy_serves_no_less_and_losing_a_zone_lowers_the_score() {
    let calm = "name = \"calm\"\nlength_s = 20\nsidecars = 30\nservers = 30\nload = 0.6\n";
    let lost = format!("{calm}[[fault]]\nkind = \"zone_lost\"\nat_s = 6\nfor_s = 6\n");
    let (mut better, mut worse) = (0, 0);
    for seed in 1..=5 {
        let whole_run = |text: &str, policy| simulate(text, seed, policy).whole_run;
        better += u32::from(whole_run(calm, Policy::TrueState) >= whole_run(calm, Policy::Balancer) - 0.01);
        worse += u32::from(whole_run(&lost, Policy::Balancer) < whole_run(calm, Policy::Balancer));
    }
    assert_eq!((better, worse), (5, 5));
}

#[test]
fn sidecars_that_act_only_at_ticks_violate_no_rule_and_serve_about_as_much() {
    let text = FAULTS.replace("load =", "ticked = true\nload =");
    let figures = simulate(&text, 2, Policy::Balancer);
    assert!(figures.violations.is_empty(), "{:?}", figures.violations);
    let unticked = simulate(FAULTS, 2, Policy::Balancer);
    assert!(
        (figures.whole_run - unticked.whole_run).abs() < 0.1,
        "{} and {}",
        figures.whole_run,
        unticked.whole_run
    );
}

// A request on its way to a sidecar whose process is killed gets no response: it must count as never accepted.
#[test]
fn request_to_a_sidecar_that_was_just_killed_is_not_accepted() {
    let text = "name = \"kills\"\nlength_s = 12\nsidecars = 40\nservers = 30\nload = 0.6\nsidecar_us = 5000\n
[[fault]]\nkind = \"sidecars_killed\"\nat_s = 4\nfor_s = [0.5, 2]\n
[[fault]]\nkind = \"sidecars_upgraded\"\nat_s = 8\nfor_s = 1\n";
    for seed in 1..=4 {
        let figures = simulate(text, seed, Policy::Balancer);
        assert!(figures.violations.is_empty(), "seed {seed}: {:?}", figures.violations);
    }
}

/// The built-in site, with these replacements in its text.
fn site_with(changes: &[(&str, &str)]) -> lotusmoor_fleet::site::Site {
    let mut text = include_str!("../scenarios/site.toml").to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    lotusmoor_fleet::site::Site::parse(Path::new("site"), &text).expect("the site is read")
}

fn simulate_at(site: &lotusmoor_fleet::site::Site, text: &str, seed: u64, policy: Policy) -> Figures {
    let (scenario, _) = scenario(text);
    let world = World::draw(&scenario, site, seed);
    Run::new(world, policy).and_then(Run::execute).expect("the simulation runs")
}

const PLAIN: &str = "name = \"plain\"\nlength_s = 12\nsidecars = 8\nservers = 12\nload = 0.6\n";

fn with_fault(fault: &str) -> String {
    format!("{PLAIN}[[fault]]\nat_s = 2\nfor_s = 8\n{fault}")
}

#[test]
fn requests_beyond_a_tenants_share_are_worth_less_and_the_worst_tenant_is_measured() {
    let tenants = "[[tenant]]\nname = \"big\"\nshare = 0.2\ntraffic = 0.8\n
[[tenant]]\nname = \"small\"\nshare = 0.8\ntraffic = 0.2\n[prices]";
    let site = site_with(&[
        ("[prices]", tenants),
        ("[net]", "over_share_worth = 0.1\n[net]"),
        ("worst_class = 0.2", "worst_class = 0.1\nworst_tenant = 0.1"),
    ]);
    let worth = |f: &Figures| f.windows.iter().map(|w| w.worth).sum::<f64>();
    let (shared, plain) =
        (simulate_at(&site, PLAIN, 1, Policy::Balancer), simulate(PLAIN, 1, Policy::Balancer));
    assert_eq!(shared.requests, plain.requests);
    assert!(worth(&shared) < 0.8 * worth(&plain), "{} of {}", worth(&shared), worth(&plain));
    assert!(shared.worst_tenant > 0.0 && shared.worst_tenant < 1.0 && plain.worst_tenant == 1.0);
    assert!(shared.violations.is_empty(), "{:?}", shared.violations);
}

#[test]
fn worth_by_work_gives_long_requests_more_weight() {
    let site = site_with(&[("[net]", "worth_by = \"work\"\n[net]")]);
    let (by_work, by_request) =
        (simulate_at(&site, PLAIN, 1, Policy::RoundRobin), simulate(PLAIN, 1, Policy::RoundRobin));
    assert_eq!((by_work.digest, by_work.in_time()), (by_request.digest, by_request.in_time()));
    // Requests with much work are more often late.
    assert!(by_work.whole_run < by_request.whole_run, "{} and {}", by_work.whole_run, by_request.whole_run);
}

#[test]
fn streamed_response_is_in_time_by_its_first_byte_and_has_no_deadline_after_it() {
    let site = site_with(&[("aim_ms = 400", "aim_ms = 400\nstream_ms = 5000")]);
    for policy in Policy::ALL {
        let name = policy.name();
        let figures = simulate_at(&site, PLAIN, 1, policy);
        assert!(figures.violations.is_empty(), "{name}: {:?}", figures.violations);
        // Streams take far longer than their class's deadline of 2 s.
        if name == "true_state" {
            assert!(figures.classes[0].in_time > 0.9, "{}", figures.classes[0].in_time);
        }
    }
    // A crashing server breaks its streams. A sidecar can't retry what it has begun to forward: the requests fail.
    let broken = with_fault("kind = \"crash\"\npart = 0.5\n");
    let figures = simulate_at(&site, &broken, 1, Policy::Balancer);
    assert!(figures.violations.is_empty(), "{:?}", figures.violations);
    assert!(figures.failed > simulate_at(&site, PLAIN, 1, Policy::Balancer).failed);
}

#[test]
fn cpu_shortage_makes_requests_late_and_malformed_clients_use_up_cpu() {
    let with_cpu_cost = |message_us: u32| format!("message_us = {message_us}\nsidecar_cores = 0.1\n{PLAIN}");
    let whole_run = |text: &str| simulate(text, 1, Policy::Balancer).whole_run;
    let (unlimited, sufficient, scarce) =
        (whole_run(PLAIN), whole_run(&with_cpu_cost(20)), whole_run(&with_cpu_cost(4000)));
    assert!(
        (unlimited - sufficient).abs() < 0.1 && scarce < 0.5 * unlimited,
        "{unlimited} {sufficient} {scarce}"
    );
    let malformed =
        format!("{}[[fault]]\nkind = \"bad_clients\"\nat_s = 2\nfor_s = 8\nsize = 2000\n", with_cpu_cost(60));
    assert!(
        whole_run(&malformed) < whole_run(&with_cpu_cost(60)) - 0.2,
        "{} {}",
        whole_run(&malformed),
        whole_run(&with_cpu_cost(60))
    );
}

#[test]
fn sidecar_above_its_cpu_limit_makes_requests_late_with_ticks() {
    let low_limit = site_with(&[("max_attempts = 5", "max_attempts = 5\ncpu_ms_per_s = 1")]);
    let text = format!("ticked = true\nmessage_us = 100\n{PLAIN}");
    let high_limit = site_with(&[("max_attempts = 5", "max_attempts = 5\ncpu_ms_per_s = 1000")]);
    let (low, high) = (
        simulate_at(&low_limit, &text, 1, Policy::Balancer),
        simulate_at(&high_limit, &text, 1, Policy::Balancer),
    );
    assert!(low.late > high.late + 0.3, "{} and {}", low.late, high.late);
}

#[test]
fn requests_above_the_limit_of_open_requests_fail() {
    let site = site_with(&[("max_attempts = 5", "max_attempts = 5\nmost_held = 1")]);
    let (limited, unlimited) =
        (simulate_at(&site, PLAIN, 1, Policy::Balancer), simulate(PLAIN, 1, Policy::Balancer));
    assert!(limited.failed > unlimited.failed + 0.1, "{} and {}", limited.failed, unlimited.failed);
    assert!(limited.violations.is_empty(), "{:?}", limited.violations);
}

#[test]
fn multiplexed_connections_need_fewer_handshakes() {
    let site = site_with(&[("idle_s = 10", "idle_s = 10\nstreams = 8")]);
    let (multiplexed, exclusive) =
        (simulate_at(&site, PLAIN, 1, Policy::Balancer), simulate(PLAIN, 1, Policy::Balancer));
    assert!(
        multiplexed.handshakes < 0.9 * exclusive.handshakes,
        "{} {}",
        multiplexed.handshakes,
        exclusive.handshakes
    );
}

#[test]
fn prices_for_handshakes_connections_and_list_entries_lower_the_score() {
    let replaced = with_fault("kind = \"replace\"\npart = 0.3\n");
    let plain = simulate(&replaced, 1, Policy::Balancer);
    for price in ["handshake = 0.1", "connection = 10", "discovery = 10"] {
        let site = site_with(&[("late_fail = 0.033", &format!("late_fail = 0.033\n{price}"))]);
        let priced = simulate_at(&site, &replaced, 1, Policy::RoundRobin);
        let free = simulate(&replaced, 1, Policy::RoundRobin);
        assert_eq!(priced.digest, free.digest, "{price}");
        assert!(priced.score < free.score, "{price}: {} and {}", priced.score, free.score);
    }
    assert!(plain.score > 0.0);
}

#[test]
fn live_weights_follow_the_load_and_reports_have_the_sites_fields() {
    let live = site_with(&[("weights = \"rough\"", "weights = \"live\"")]);
    let reports = site_with(&[("how = \"answers\"", "how = \"answers\"\nfields = [\"inflight\", \"util\"]")]);
    let replaced = with_fault(
        "kind = \"replace\"\npart = 0.5\n[[fault]]\nkind = \"sidecars_killed\"\nat_s = 4\nfor_s = 0.5\npart = 0.5\n",
    );
    let usual = simulate(&replaced, 1, Policy::Balancer);
    for site in [&live, &reports] {
        let figures = simulate_at(site, &replaced, 1, Policy::Balancer);
        assert_eq!(figures.requests, usual.requests);
        assert!(figures.violations.is_empty(), "{:?}", figures.violations);
    }
    // Under overload, the in-flight limit of a sidecar is divided among the servers by weight.
    let overload = replaced.replace("load = 0.6", "load = 1.3");
    assert_ne!(
        simulate_at(&live, &overload, 1, Policy::Balancer).digest,
        simulate(&overload, 1, Policy::Balancer).digest
    );
}

#[test]
fn corrupt_responses_late_connections_and_retry_surges_degrade_service_and_violate_no_rule() {
    let calm = simulate(PLAIN, 1, Policy::Balancer);
    let figures_with = |fault: &str| {
        let figures = simulate(&with_fault(fault), 1, Policy::Balancer);
        assert!(figures.violations.is_empty(), "{fault}: {:?}", figures.violations);
        figures
    };
    assert!(figures_with("kind = \"spoilt\"\nsize = 0.3\n").tries > 1.1 * calm.tries);
    let late = "kind = \"late_connects\"\nsize = 0.9\nextra = 1\n[[fault]]\nkind = \"sidecars_killed\"\nat_s = 3\nfor_s = 0.2\n";
    assert!(figures_with(late).score < calm.score - 0.1);
    assert!(figures_with("kind = \"eager\"\nsize = 3\nextra = 0.9\n").failed > calm.failed + 0.05);
}

// A sidecar may go on sending to a removed server for 2 s after it learned of it. It is presumed to have learned
// of a change 6 s after discovery could serve it, even if it never fetched it.
#[test]
fn undelivered_change_counts_as_known_six_seconds_after_discovery_has_it() {
    let text = |calls: f64, length: u32| {
        format!(
            "name = \"untold\"\nlength_s = {length}\nsidecars = 8\nservers = 12\nload = 0.6\n
[discovery]\ncalls_per_s = {calls}\n
[[fault]]\nkind = \"sidecars_killed\"\nat_s = 2\nfor_s = 0.2\n
[[fault]]\nkind = \"replace\"\nat_s = 4\nfor_s = 1\npart = 0.5\n"
        )
    };
    let rule = "a send to a server that drains or is gone";
    let violations =
        |calls: f64, length: u32| simulate(&text(calls, length), 1, Policy::RoundRobin).violations;
    // At 0.001 calls per second a fetch takes 1,000 s: within the run, a restarted sidecar receives no list after its
    // first.
    assert!(violations(0.001, 30).contains_key(rule), "{:?}", violations(0.001, 30));
    assert!(!violations(0.001, 9).contains_key(rule), "{:?}", violations(0.001, 9));
    assert!(!violations(20.0, 30).contains_key(rule), "{:?}", violations(20.0, 30));
}

#[test]
fn request_abandoned_while_its_connection_opens_is_never_sent() {
    // Clients disconnect within half of the timeout of a try, which is at most the deadline of 180 or 270 ms: after at
    // most 90 or 135 ms. Connections open after 140 ms.
    let text = format!(
        "pace = 0.09\n{PLAIN}[[fault]]\nkind = \"late_connects\"\nat_s = 0\nfor_s = 30\nsize = 1\nextra = 0.14\n
[[fault]]\nkind = \"eager\"\nat_s = 0\nfor_s = 30\nsize = 1\nextra = 1\n"
    );
    // Clients that retry do not disconnect.
    let site = site_with(&[("retries = [1, 2.99]", "retries = 0")]);
    for policy in [Policy::Balancer, Policy::RoundRobin, Policy::TrueState] {
        let name = policy.name();
        let figures = simulate_at(&site, &text, 1, policy);
        assert!(figures.violations.is_empty(), "{name}: {:?}", figures.violations);
        assert!(figures.attempts > 0.0, "{name}: {}", figures.attempts);
        assert_eq!((figures.in_time(), figures.wasted), (0, 0.0), "{name}");
    }
}

const REGISTRY: &str = "[roster]\nreplicas = 3\n";

#[test]
fn sidecars_with_a_registry_violate_no_rule_and_learn_of_changes_sooner() {
    // The registry's table is last: keys after its header would belong to it.
    let with_registry = format!("{FAULTS}{REGISTRY}");
    for seed in 1..=4 {
        for policy in [Policy::Balancer, Policy::TrueState] {
            let name = policy.name();
            let figures = simulate(&with_registry, seed, policy);
            assert!(figures.violations.is_empty(), "{name}, seed {seed}: {:?}", figures.violations);
        }
        let (with, without) =
            (simulate(&with_registry, seed, Policy::Balancer), simulate(FAULTS, seed, Policy::Balancer));
        assert_eq!(with.requests, without.requests);
        assert!(
            with.staleness_ms[0] < without.staleness_ms[0],
            "{:?} {:?}",
            with.staleness_ms,
            without.staleness_ms
        );
        assert_eq!(simulate(&with_registry, seed, Policy::Balancer).digest, with.digest);
    }
}

#[test]
fn killed_registry_leader_or_paused_replica_delays_updates_within_a_bound() {
    let replaced = with_fault("kind = \"replace\"\npart = 0.5\n");
    let calm = simulate(&format!("{replaced}{REGISTRY}"), 1, Policy::Balancer);
    assert!(
        calm.last_notified_ms[2] > 0.0 && calm.last_notified_ms[2] < 200.0,
        "{:?}",
        calm.last_notified_ms
    );
    for (kind, extra, bound) in [("roster_killed", 0, 1000.0), ("roster_held", 1, 7000.0)] {
        let fault = format!("[[fault]]\nkind = \"{kind}\"\nat_s = 4\nfor_s = 5\nextra = {extra}\n");
        let figures = simulate(&format!("{replaced}{fault}{REGISTRY}"), 1, Policy::Balancer);
        assert!(figures.violations.is_empty(), "{kind}: {:?}", figures.violations);
        assert!(figures.last_notified_ms[2] < bound, "{kind}: {:?}", figures.last_notified_ms);
        // A killed leader delays the acknowledgement of a change, a paused replica the notification.
        let (delayed, usual) = match kind {
            "roster_killed" => (figures.staleness_ms[2], calm.staleness_ms[2]),
            _ => (figures.last_notified_ms[2], calm.last_notified_ms[2]),
        };
        assert!(delayed > usual + 300.0, "{kind}: {delayed}, usually {usual}");
    }
}

// A sidecar writes the list of its first start to its cache file, even if no change follows.
#[test]
fn sidecar_restarted_during_a_registry_outage_serves_from_its_cache_file() {
    let text = format!(
        "{PLAIN}[[fault]]\nkind = \"discovery_down\"\nat_s = 3\nfor_s = 6\n
[[fault]]\nkind = \"sidecars_killed\"\nat_s = 4\nfor_s = 0.2\n{REGISTRY}"
    );
    let figures = simulate(&text, 1, Policy::Balancer);
    let outage = &figures.windows[5..9];
    let count =
        |field: fn(&lotusmoor_fleet::model::Window) -> u64| outage.iter().map(field).sum::<u64>() as f64;
    let served = count(|w| w.in_time + w.late) / count(|w| w.requests);
    assert!(served > 0.9, "{served}");
}
