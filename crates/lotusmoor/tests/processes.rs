//! Several real processes with faults between them: the protocol's rules hold for every request, as the checker
//! verifies from what clients and servers recorded.

use lotusmoor_fleet::harness::backend::Conduct;
use lotusmoor_fleet::harness::check::{History, Idempotency, Rule, check, inject_violation};
use lotusmoor_fleet::harness::{Cluster, ClusterConfig, ClusterError, Link, Traffic, process_guard, until};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long servers drop requests that repeat an idempotency key, in milliseconds.
const DEDUP_WINDOW_MS: i64 = 7_500;

fn traffic(seed: u64) -> Traffic {
    let keyed = Idempotency::Keyed { window: DEDUP_WINDOW_MS * 1000 };
    let classes = vec![
        ("look".into(), Idempotency::Idempotent, CLIENT_TIMEOUT, 0.5),
        ("pay".into(), keyed, CLIENT_TIMEOUT, 0.3),
        ("book".into(), Idempotency::NonIdempotent, CLIENT_TIMEOUT, 0.2),
    ];
    Traffic { rate: 40.0, classes, disconnect_share: 0.0, body_share: 0.0, seed }
}

fn served_share(history: &History) -> f64 {
    use lotusmoor_fleet::harness::check::Outcome;
    let served =
        history.requests.iter().filter(|r| matches!(r.outcome, Outcome::Answer { status: 200, .. })).count();
    served as f64 / history.requests.len().max(1) as f64
}

/// Runs a scenario under load and returns its history; on failure, panics with all that was recorded.
fn run_scenario(
    seed: u64,
    steps: impl FnOnce(&mut Cluster, &lotusmoor_fleet::harness::Clients) -> Result<(), ClusterError>,
) -> History {
    let run = || {
        let mut cluster = Cluster::start(ClusterConfig::plain(6, 8, 0, seed))?;
        let clients = cluster.start_clients(&traffic(seed));
        cluster.wait("200 requests are served", || clients.served_count(|_| true) > 200)?;
        steps(&mut cluster, &clients)?;
        cluster.finish(clients)
    };
    let history: Result<History, ClusterError> = run();
    history.unwrap_or_else(|failure| panic!("{failure}"))
}

fn wait_for_more_requests(
    cluster: &Cluster,
    clients: &lotusmoor_fleet::harness::Clients,
    count: usize,
) -> Result<(), ClusterError> {
    let before = clients.finished_count();
    cluster.wait("enough requests have finished", || clients.finished_count() >= before + count)
}

#[test]
fn requests_are_served_while_a_server_is_paused_killed_and_restarted() {
    let history = run_scenario(1, |cluster, clients| {
        cluster.pause_server(3)?;
        // About 2 s of traffic.
        wait_for_more_requests(cluster, clients, 500)?;
        cluster.resume_server(3)?;
        wait_for_more_requests(cluster, clients, 200)?;
        cluster.kill_server(3)?;
        wait_for_more_requests(cluster, clients, 500)?;
        cluster.restart_server(3)?;
        let before = cluster.requests_received_by(3)?;
        cluster.wait("the server receives requests again", || {
            cluster.requests_received_by(3).is_ok_and(|n| n > before + 20)
        })
    });
    assert!(served_share(&history) > 0.9, "{}", served_share(&history));
}

#[test]
fn requests_are_served_while_a_server_leaves_and_discovery_is_cut_one_way() {
    let history = run_scenario(2, |cluster, clients| {
        for i in 0..3 {
            cluster.set_discovery_link(i, Link { cut_down: true, ..Link::default() });
        }
        cluster.set_status(5, "leaving")?;
        wait_for_more_requests(cluster, clients, 400)?;
        for i in 0..3 {
            cluster.set_discovery_link(i, Link::default());
        }
        cluster.wait_until_notified()?;
        // The checker verifies that no sidecar sends to the server after the grace period.
        wait_for_more_requests(cluster, clients, 800)?;
        cluster.set_status(5, "active")?;
        let before = cluster.requests_received_by(5)?;
        cluster.wait("the server receives requests again", || {
            cluster.requests_received_by(5).is_ok_and(|n| n > before + 20)
        })
    });
    assert!(served_share(&history) > 0.99, "{}", served_share(&history));
}

#[test]
fn other_sidecars_serve_while_one_is_killed_and_restarted() {
    let history = run_scenario(3, |cluster, clients| {
        for _ in 0..2 {
            cluster.kill_sidecar(2)?;
            wait_for_more_requests(cluster, clients, 200)?;
            cluster.start_sidecar(2)?;
            let before = clients.served_count(|r| r.sidecar == 2);
            cluster.wait("the sidecar serves again", || {
                clients.served_count(|r| r.sidecar == 2) > before + 50
            })?;
        }
        Ok(())
    });
    // Requests through the other sidecars are not affected.
    let others = History {
        requests: history.requests.iter().filter(|r| r.sidecar != 2).cloned().collect(),
        ..History::default()
    };
    assert!(served_share(&others) > 0.99, "{}", served_share(&others));
}

#[test]
fn requests_are_served_while_a_server_delays_each_first_byte() {
    let history = run_scenario(4, |cluster, clients| {
        // Longer than the time-out of any client.
        cluster.set_conduct(1, &Conduct { first_byte_us: 2_500_000, ..Conduct::default() })?;
        wait_for_more_requests(cluster, clients, 1_000)?;
        cluster.set_conduct(1, &Conduct::default())?;
        let before = cluster.requests_received_by(1)?;
        cluster.wait("the server receives requests again", || {
            cluster.requests_received_by(1).is_ok_and(|n| n > before + 20)
        })
    });
    assert!(served_share(&history) > 0.9, "{}", served_share(&history));
}

#[test]
fn requests_are_served_despite_lost_truncated_and_rejected_answers_and_bad_links() {
    let history = run_scenario(5, |cluster, clients| {
        cluster.set_conduct(0, &Conduct { resets: 0.2, halves: 0.2, errors: 0.2, ..Conduct::default() })?;
        cluster.set_conduct(2, &Conduct { turns_away: true, ..Conduct::default() })?;
        cluster.set_link(0, 4, Link { delay: Duration::from_millis(30), ..Link::default() });
        cluster.set_link(1, 4, Link::cut());
        cluster.set_link(2, 4, Link { cut_up: true, ..Link::default() });
        cluster.set_link(3, 4, Link { half_open: true, ..Link::default() });
        wait_for_more_requests(cluster, clients, 400)?;
        (0..6).for_each(|sidecar| cluster.reset_connections(sidecar, 6));
        wait_for_more_requests(cluster, clients, 400)?;
        (0..6).for_each(|sidecar| cluster.set_link(sidecar, 4, Link::default()));
        cluster.set_conduct(0, &Conduct::default())?;
        cluster.set_conduct(2, &Conduct::default())?;
        wait_for_more_requests(cluster, clients, 400)
    });
    assert!(served_share(&history) > 0.85, "{}", served_share(&history));
}

#[test]
fn checker_detects_an_injected_violation_of_each_rule() {
    let history = run_scenario(6, |cluster, clients| wait_for_more_requests(cluster, clients, 300));
    for rule in Rule::ALL {
        for seed in 0..5 {
            let with_violation =
                inject_violation(&history, rule, seed).expect("requests of each kind were served");
            let violations = check(&with_violation);
            assert!(
                violations.iter().any(|v| v.rule == rule),
                "{rule:?} not detected, seed {seed}: {violations:?}"
            );
        }
    }
}

// ---- No child process remains ----

/// The process that the tests below start: it starts a cluster, prints the ids of its child processes, then panics or
/// waits to be killed.
#[test]
#[ignore = "the tests below start it as a process of its own"]
fn helper_process_with_cluster() {
    let cluster = Cluster::start(ClusterConfig::plain(2, 2, 0, 7)).unwrap_or_else(|e| panic!("{e}"));
    for id in cluster.child_pids() {
        println!("child {id}");
    }
    println!("ready");
    if std::env::var_os("PANIC").is_some() {
        panic!("requested by the variable PANIC");
    }
    std::thread::sleep(Duration::from_secs(300));
}

fn check_no_child_remains(panics: bool) {
    let mut command = Command::new(std::env::current_exe().expect("the path of the test program"));
    command.args(["helper_process_with_cluster", "--ignored", "--nocapture", "--test-threads=1"]);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    if panics {
        command.env("PANIC", "1");
    }
    let mut helper = command.spawn().expect("the process starts");
    let mut children = Vec::new();
    let stdout = BufReader::new(helper.stdout.take().expect("stdout is piped"));
    for line in stdout.lines().map_while(Result::ok) {
        if let Some(id) = line.split("child ").nth(1) {
            children.push(id.trim().parse::<u32>().expect("an id"));
        }
        if line.contains("ready") {
            break;
        }
    }
    assert_eq!(children.len(), 5);
    if !panics {
        helper.kill().expect("the process is killed");
    }
    helper.wait().expect("the process exits");
    for id in children {
        assert!(until(|| process_guard::start_ticks(id).is_none()), "child {id} still runs");
    }
}

#[test]
fn no_child_remains_after_the_harness_panics() {
    check_no_child_remains(true);
}

#[test]
fn no_child_remains_after_the_harness_is_killed() {
    check_no_child_remains(false);
}
