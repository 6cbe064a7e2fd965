//! Sidecars that watch a registry of three real replicas, under load and faults: the protocol's rules hold for every
//! request, and an unavailable registry does not lower the share of requests that are served.

use lotusmoor_fleet::harness::check::{History, Idempotency, Outcome};
use lotusmoor_fleet::harness::{Clients, Cluster, ClusterConfig, ClusterError, Link, Traffic};
use std::time::{Duration, Instant};

const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long servers drop requests that repeat an idempotency key, in milliseconds.
const DEDUP_WINDOW_MS: i64 = 7_500;

fn traffic(seed: u64) -> Traffic {
    let keyed = Idempotency::Keyed { window: DEDUP_WINDOW_MS * 1000 };
    let classes = vec![
        ("look".into(), Idempotency::Idempotent, CLIENT_TIMEOUT, 0.6),
        ("pay".into(), keyed, CLIENT_TIMEOUT, 0.4),
    ];
    Traffic { rate: 40.0, classes, disconnect_share: 0.0, body_share: 0.0, seed }
}

/// Runs a scenario under load and returns its history; on failure, panics with all that was recorded.
fn run_scenario(
    seed: u64,
    steps: impl FnOnce(&mut Cluster, &Clients) -> Result<(), ClusterError>,
) -> History {
    let run = || {
        let mut cluster = Cluster::start(ClusterConfig::plain(4, 6, 3, seed))?;
        cluster.registry.restart_with_proxies()?;
        cluster.wait_until_notified()?;
        let clients = cluster.start_clients(&traffic(seed));
        cluster.wait("200 requests are served", || clients.served_count(|_| true) > 200)?;
        steps(&mut cluster, &clients)?;
        cluster.finish(clients)
    };
    let history: Result<History, ClusterError> = run();
    history.unwrap_or_else(|failure| panic!("{failure}"))
}

fn wait_for_more_requests(cluster: &Cluster, clients: &Clients, count: usize) -> Result<(), ClusterError> {
    let before = clients.finished_count();
    cluster.wait("enough requests have finished", || clients.finished_count() >= before + count)
}

/// The share of the requests sent from `from` until before `to`, in microseconds, that were served.
fn served_share(history: &History, from: i64, to: i64) -> f64 {
    let sent = || history.requests.iter().filter(|r| (from..to).contains(&r.sent_at));
    let served = sent().filter(|r| matches!(r.outcome, Outcome::Answer { status: 200, .. })).count();
    served as f64 / sent().count().max(1) as f64
}

fn total_served_share(history: &History) -> f64 {
    served_share(history, 0, i64::MAX)
}

fn leader(cluster: &Cluster) -> Result<usize, ClusterError> {
    cluster.wait("there is a leader", || cluster.registry.leader().is_some())?;
    Ok(cluster.registry.leader().unwrap_or(0))
}

#[test]
fn requests_are_served_while_servers_drain_and_leaders_are_killed_and_paused() {
    let history = run_scenario(1, |cluster, clients| {
        let first = leader(cluster)?;
        cluster.registry.kill(first)?;
        cluster.set_status(2, "leaving")?;
        cluster.wait_until_notified()?;
        // The checker verifies that no sidecar sends to the server after the grace period.
        wait_for_more_requests(cluster, clients, 600)?;
        cluster.registry.start_replica(first)?;
        let second = leader(cluster)?;
        cluster.registry.pause(second)?;
        cluster.set_status(3, "left")?;
        cluster.wait_until_notified()?;
        wait_for_more_requests(cluster, clients, 500)?;
        cluster.registry.resume(second)?;
        cluster.set_status(2, "left")?;
        cluster.restart_server(2)?;
        cluster.wait_until_notified()?;
        let before = cluster.requests_received_by(2)?;
        cluster.wait("the server receives requests again", || {
            cluster.requests_received_by(2).is_ok_and(|n| n > before + 10)
        })
    });
    assert!(total_served_share(&history) > 0.99, "{}", total_served_share(&history));
}

#[test]
fn changes_arrive_within_30_s_over_slow_and_one_way_links_to_replicas() {
    let history = run_scenario(2, |cluster, clients| {
        for sidecar in 0..4 {
            cluster.set_registry_link(sidecar, 0, Link { cut_down: true, ..Link::default() });
            cluster.set_registry_link(
                sidecar,
                1,
                Link { delay: Duration::from_millis(200), ..Link::default() },
            );
        }
        for (i, status) in [(1, "leaving"), (4, "leaving"), (1, "active")] {
            let started = Instant::now();
            cluster.set_status(i, status)?;
            cluster.wait_until_notified()?;
            let took = started.elapsed();
            if took > Duration::from_secs(30) {
                return Err(cluster.failed(format!("the change took {took:?} to reach all sidecars")));
            }
        }
        wait_for_more_requests(cluster, clients, 600)
    });
    assert!(total_served_share(&history) > 0.99, "{}", total_served_share(&history));
}

// All replicas are down for a minute; in that time a sidecar restarts with the list that it has cached in its file.
#[test]
fn requests_are_served_and_a_sidecar_restarts_while_the_registry_is_down_for_a_minute() {
    let mut outage = (0, 0);
    let history = run_scenario(3, |cluster, clients| {
        wait_for_more_requests(cluster, clients, 1500)?;
        let outage_start = lotusmoor_fleet::harness::now_micros();
        (0..3).try_for_each(|at| cluster.registry.kill(at))?;
        cluster.timeline.note("the registry is down");
        let started = Instant::now();
        wait_for_more_requests(cluster, clients, 1000)?;
        cluster.kill_sidecar(0)?;
        cluster.start_sidecar(0)?;
        let stale = |i: usize| cluster.sidecar_log(i).contains("and stays in use");
        cluster.wait("all sidecars log that their list is stale", || (0..4).all(stale))?;
        while started.elapsed() < Duration::from_secs(60) {
            wait_for_more_requests(cluster, clients, 50)?;
        }
        outage = (outage_start, lotusmoor_fleet::harness::now_micros());
        (0..3).try_for_each(|at| cluster.registry.start_replica(at))?;
        cluster.set_status(5, "leaving")?;
        cluster.wait_until_notified()?;
        let fresh = |i: usize| cluster.sidecar_log(i).contains("up to date again");
        cluster.wait("all sidecars log that their list is up to date", || (0..4).all(fresh))?;
        wait_for_more_requests(cluster, clients, 500)
    });
    let during_outage = served_share(&history, outage.0, outage.1);
    let before_outage = served_share(&history, 0, outage.0);
    println!("served share: {before_outage:.4} before the outage, {during_outage:.4} during it");
    assert!(
        during_outage > before_outage - 0.01,
        "{before_outage} before, {during_outage} during the outage"
    );
}

// A sidecar without a registry in its configuration has one thread, and no socket for the registry.
#[test]
fn sidecar_without_registry_has_no_thread_and_no_socket_for_it() {
    let cluster = Cluster::start(ClusterConfig::plain(1, 1, 0, 4)).unwrap_or_else(|e| panic!("{e}"));
    let pid = cluster.sidecar_pid(0).expect("the sidecar is running");
    // The number of network sockets among the descriptors of the process.
    let sockets = || {
        let tables = ["tcp", "tcp6", "udp", "udp6"]
            .map(|kind| std::fs::read_to_string(format!("/proc/{pid}/net/{kind}")).unwrap_or_default());
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the directory is listed");
        let inode = |f: std::fs::DirEntry| {
            let target = std::fs::read_link(f.path()).ok()?.to_string_lossy().into_owned();
            Some(target.strip_prefix("socket:[")?.trim_end_matches(']').to_owned())
        };
        let inodes: Vec<String> = descriptors.filter_map(Result::ok).filter_map(inode).collect();
        let on_network = |n: &&String| {
            tables.iter().flat_map(|l| l.lines()).any(|l| l.split_whitespace().nth(9) == Some(n.as_str()))
        };
        inodes.iter().filter(on_network).count()
    };
    // The listening socket and the connection to discovery remain; the connection of the readiness check closes.
    cluster.wait("two sockets remain", || sockets() == 2).unwrap_or_else(|e| panic!("{e}"));
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).expect("the directory is listed").count();
    assert_eq!(threads, 1);
    assert!(!cluster.sidecar_log(0).contains("roster"), "{}", cluster.sidecar_log(0));
}
