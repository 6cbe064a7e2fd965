//! Several real processes with faults between them: the protocol's rules hold on every request, as the checker reads
//! them from what clients and servers each saw.

use lotusmoor_fleet::harness::backend::Conduct;
use lotusmoor_fleet::harness::check::{History, Idempotency, Rule, check, inject_violation};
use lotusmoor_fleet::harness::{Cluster, ClusterConfig, ClusterError, Link, Traffic, process_guard, until};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(2);
const WINDOW_MS: i64 = 7_500;

fn traffic(seed: u64) -> Traffic {
    let keyed = Idempotency::Keyed { window: WINDOW_MS * 1000 };
    let classes = vec![
        ("look".into(), Idempotency::Idempotent, WAIT, 0.5),
        ("pay".into(), keyed, WAIT, 0.3),
        ("book".into(), Idempotency::NonIdempotent, WAIT, 0.2),
    ];
    Traffic { rate: 40.0, classes, disconnect_share: 0.0, body_share: 0.0, seed }
}

fn served(history: &History) -> f64 {
    use lotusmoor_fleet::harness::check::Outcome;
    let served =
        history.requests.iter().filter(|a| matches!(a.outcome, Outcome::Answer { status: 200, .. })).count();
    served as f64 / history.requests.len().max(1) as f64
}

/// Plays something, and shows what was seen if it fails.
fn play(
    seed: u64,
    part: impl FnOnce(&mut Cluster, &lotusmoor_fleet::harness::Clients) -> Result<(), ClusterError>,
) -> History {
    let whole = || {
        let mut cluster = Cluster::start(ClusterConfig::plain(6, 8, 0, seed))?;
        let clients = cluster.start_clients(&traffic(seed));
        cluster.wait("all are served", || clients.served_count(|_| true) > 200)?;
        part(&mut cluster, &clients)?;
        cluster.finish(clients)
    };
    let history: Result<History, ClusterError> = whole();
    history.unwrap_or_else(|failure| panic!("{failure}"))
}

fn more(
    cluster: &Cluster,
    clients: &lotusmoor_fleet::harness::Clients,
    n: usize,
) -> Result<(), ClusterError> {
    let before = clients.finished_count();
    cluster.wait("more is asked", || clients.finished_count() >= before + n)
}

#[test]
fn a_server_is_held_then_killed_then_back_cold() {
    let history = play(1, |cluster, clients| {
        cluster.pause_server(3)?;
        // Some two seconds of traffic.
        more(cluster, clients, 500)?;
        cluster.resume_server(3)?;
        more(cluster, clients, 200)?;
        cluster.kill_server(3)?;
        more(cluster, clients, 500)?;
        cluster.restart_server(3)?;
        let before = cluster.requests_received_by(3)?;
        cluster.wait("the server is used again", || {
            cluster.requests_received_by(3).is_ok_and(|n| n > before + 20)
        })
    });
    assert!(served(&history) > 0.9, "{}", served(&history));
}

#[test]
fn discovery_is_cut_one_way_while_a_server_leaves() {
    let history = play(2, |cluster, clients| {
        for i in 0..3 {
            cluster.set_discovery_link(i, Link { cut_down: true, ..Link::default() });
        }
        cluster.set_status(5, "leaving")?;
        more(cluster, clients, 400)?;
        for i in 0..3 {
            cluster.set_discovery_link(i, Link::default());
        }
        cluster.wait_until_notified()?;
        // Past the grace nobody sends there: the checker sees to that.
        more(cluster, clients, 800)?;
        cluster.set_status(5, "active")?;
        let before = cluster.requests_received_by(5)?;
        cluster.wait("the server is used again", || {
            cluster.requests_received_by(5).is_ok_and(|n| n > before + 20)
        })
    });
    assert!(served(&history) > 0.99, "{}", served(&history));
}

#[test]
fn a_sidecar_is_killed_and_started_again_under_load() {
    let history = play(3, |cluster, clients| {
        for _ in 0..2 {
            cluster.kill_sidecar(2)?;
            more(cluster, clients, 200)?;
            cluster.start_sidecar(2)?;
            let before = clients.served_count(|a| a.sidecar == 2);
            cluster.wait("it serves again", || clients.served_count(|a| a.sidecar == 2) > before + 50)?;
        }
        Ok(())
    });
    // Nobody else notices.
    let others = History {
        requests: history.requests.iter().filter(|a| a.sidecar != 2).cloned().collect(),
        ..History::default()
    };
    assert!(served(&others) > 0.99, "{}", served(&others));
}

#[test]
fn a_server_answers_each_first_byte_late() {
    let history = play(4, |cluster, clients| {
        // Longer than any client waits.
        cluster.set_conduct(1, &Conduct { first_byte_us: 2_500_000, ..Conduct::default() })?;
        more(cluster, clients, 1_000)?;
        cluster.set_conduct(1, &Conduct::default())?;
        let before = cluster.requests_received_by(1)?;
        cluster.wait("the server is used again", || {
            cluster.requests_received_by(1).is_ok_and(|n| n > before + 20)
        })
    });
    assert!(served(&history) > 0.9, "{}", served(&history));
}

#[test]
fn answers_are_lost_halved_and_refused_and_links_are_slow_and_cut() {
    let history = play(5, |cluster, clients| {
        cluster.set_conduct(0, &Conduct { resets: 0.2, halves: 0.2, errors: 0.2, ..Conduct::default() })?;
        cluster.set_conduct(2, &Conduct { turns_away: true, ..Conduct::default() })?;
        cluster.set_link(0, 4, Link { delay: Duration::from_millis(30), ..Link::default() });
        cluster.set_link(1, 4, Link::cut());
        cluster.set_link(2, 4, Link { cut_up: true, ..Link::default() });
        cluster.set_link(3, 4, Link { half_open: true, ..Link::default() });
        more(cluster, clients, 400)?;
        (0..6).for_each(|sidecar| cluster.reset_connections(sidecar, 6));
        more(cluster, clients, 400)?;
        (0..6).for_each(|sidecar| cluster.set_link(sidecar, 4, Link::default()));
        cluster.set_conduct(0, &Conduct::default())?;
        cluster.set_conduct(2, &Conduct::default())?;
        more(cluster, clients, 400)
    });
    assert!(served(&history) > 0.85, "{}", served(&history));
}

#[test]
fn the_checker_sees_each_rule_broken_in_a_history_of_real_processes() {
    let history = play(6, |cluster, clients| more(cluster, clients, 300));
    for rule in Rule::ALL {
        for seed in 0..5 {
            let spoilt = inject_violation(&history, rule, seed).expect("requests of each kind were served");
            let seen = check(&spoilt);
            assert!(seen.iter().any(|b| b.rule == rule), "{rule:?} broken unseen, seed {seed}: {seen:?}");
        }
    }
}

// ---- No child is left ----

/// Plays the harness that ends badly, for the tests below: prints its children, then panics or waits to be killed.
#[test]
#[ignore = "a part of the tests below, which start it"]
fn part_of_others_a_harness_that_ends_badly() {
    let cluster = Cluster::start(ClusterConfig::plain(2, 2, 0, 7)).unwrap_or_else(|e| panic!("{e}"));
    for id in cluster.child_pids() {
        println!("child {id}");
    }
    println!("ready");
    if std::env::var_os("PANIC").is_some() {
        panic!("as told");
    }
    std::thread::sleep(Duration::from_secs(300));
}

fn children_of_a_bad_end(panics: bool) {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["part_of_others", "--ignored", "--nocapture", "--test-threads=1"]);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    if panics {
        command.env("PANIC", "1");
    }
    let mut harness = command.spawn().expect("it starts");
    let mut children = Vec::new();
    let out = BufReader::new(harness.stdout.take().expect("it is piped"));
    for line in out.lines().map_while(Result::ok) {
        if let Some(id) = line.split("child ").nth(1) {
            children.push(id.trim().parse::<u32>().expect("an id"));
        }
        if line.contains("ready") {
            break;
        }
    }
    assert_eq!(children.len(), 5);
    if !panics {
        harness.kill().expect("it is killed");
    }
    harness.wait().expect("it ends");
    for id in children {
        assert!(until(|| process_guard::start_ticks(id).is_none()), "child {id} is left");
    }
}

#[test]
fn no_child_is_left_by_a_harness_that_panics() {
    children_of_a_bad_end(true);
}

#[test]
fn no_child_is_left_by_a_harness_that_is_killed() {
    children_of_a_bad_end(false);
}
