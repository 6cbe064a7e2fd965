//! Sidecars that ride a roster of three real replicas, under load and faults: the protocol's rules hold on every
//! request, and a roster that is away costs nothing.

use lotusmoor_fleet::harness::check::{History, Idempotency, Outcome};
use lotusmoor_fleet::harness::{Clients, Cluster, ClusterConfig, ClusterError, Link, Traffic};
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(2);
const WINDOW_MS: i64 = 7_500;

fn traffic(seed: u64) -> Traffic {
    let keyed = Idempotency::Keyed { window: WINDOW_MS * 1000 };
    let classes = vec![("look".into(), Idempotency::Idempotent, WAIT, 0.6), ("pay".into(), keyed, WAIT, 0.4)];
    Traffic { rate: 40.0, classes, disconnect_share: 0.0, body_share: 0.0, seed }
}

fn play(seed: u64, part: impl FnOnce(&mut Cluster, &Clients) -> Result<(), ClusterError>) -> History {
    let whole = || {
        let mut cluster = Cluster::start(ClusterConfig::plain(4, 6, 3, seed))?;
        cluster.registry.restart_with_proxies()?;
        cluster.wait_until_notified()?;
        let clients = cluster.start_clients(&traffic(seed));
        cluster.wait("200 requests are served", || clients.served_count(|_| true) > 200)?;
        part(&mut cluster, &clients)?;
        cluster.finish(clients)
    };
    let history: Result<History, ClusterError> = whole();
    history.unwrap_or_else(|failure| panic!("{failure}"))
}

fn more(cluster: &Cluster, clients: &Clients, n: usize) -> Result<(), ClusterError> {
    let before = clients.finished_count();
    cluster.wait("enough requests have finished", || clients.finished_count() >= before + n)
}

fn served(history: &History, from: i64, to: i64) -> f64 {
    let asked = || history.requests.iter().filter(|a| (from..to).contains(&a.sent_at));
    let served = asked().filter(|a| matches!(a.outcome, Outcome::Answer { status: 200, .. })).count();
    served as f64 / asked().count().max(1) as f64
}

fn all(history: &History) -> f64 {
    served(history, 0, i64::MAX)
}

fn leader(cluster: &Cluster) -> Result<usize, ClusterError> {
    cluster.wait("there is a leader", || cluster.registry.leader().is_some())?;
    Ok(cluster.registry.leader().unwrap_or(0))
}

#[test]
fn servers_drain_and_come_back_while_the_leader_is_killed_and_a_replica_is_held() {
    let history = play(1, |cluster, clients| {
        let first = leader(cluster)?;
        cluster.registry.kill(first)?;
        cluster.set_status(2, "leaving")?;
        cluster.wait_until_notified()?;
        // Past the grace nobody sends there: the checker sees to that.
        more(cluster, clients, 600)?;
        cluster.registry.start_replica(first)?;
        let second = leader(cluster)?;
        cluster.registry.pause(second)?;
        cluster.set_status(3, "left")?;
        cluster.wait_until_notified()?;
        more(cluster, clients, 500)?;
        cluster.registry.resume(second)?;
        cluster.set_status(2, "left")?;
        cluster.restart_server(2)?;
        cluster.wait_until_notified()?;
        let before = cluster.requests_received_by(2)?;
        cluster.wait("the server receives requests again", || {
            cluster.requests_received_by(2).is_ok_and(|n| n > before + 10)
        })
    });
    assert!(all(&history) > 0.99, "{}", all(&history));
}

#[test]
fn links_to_replicas_that_are_cut_one_way_slow_or_reset_delay_the_news_by_seconds_at_most() {
    let history = play(2, |cluster, clients| {
        for sidecar in 0..4 {
            cluster.set_registry_link(sidecar, 0, Link { cut_down: true, ..Link::default() });
            cluster.set_registry_link(
                sidecar,
                1,
                Link { delay: Duration::from_millis(200), ..Link::default() },
            );
        }
        for (i, status) in [(1, "leaving"), (4, "leaving"), (1, "active")] {
            let began = Instant::now();
            cluster.set_status(i, status)?;
            cluster.wait_until_notified()?;
            let took = began.elapsed();
            if took > Duration::from_secs(30) {
                return Err(cluster.failed(format!("the news took {took:?}")));
            }
        }
        more(cluster, clients, 600)
    });
    assert!(all(&history) > 0.99, "{}", all(&history));
}

// The roster is away for a minute, all of it; in that time a sidecar starts anew, with the list of its file.
#[test]
fn a_roster_that_is_away_for_a_minute_costs_nothing_and_a_sidecar_starts_without_it() {
    let mut span = (0, 0);
    let history = play(3, |cluster, clients| {
        more(cluster, clients, 1500)?;
        let before = lotusmoor_fleet::harness::now_micros();
        (0..3).try_for_each(|at| cluster.registry.kill(at))?;
        cluster.timeline.note("the roster is away");
        let began = Instant::now();
        more(cluster, clients, 1000)?;
        cluster.kill_sidecar(0)?;
        cluster.start_sidecar(0)?;
        let stale = |i: usize| cluster.sidecar_log(i).contains("and stays in use");
        cluster.wait("all say that their list is stale", || (0..4).all(stale))?;
        while began.elapsed() < Duration::from_secs(60) {
            more(cluster, clients, 50)?;
        }
        span = (before, lotusmoor_fleet::harness::now_micros());
        (0..3).try_for_each(|at| cluster.registry.start_replica(at))?;
        cluster.set_status(5, "leaving")?;
        cluster.wait_until_notified()?;
        let fresh = |i: usize| cluster.sidecar_log(i).contains("up to date again");
        cluster.wait("all say that it is up to date", || (0..4).all(fresh))?;
        more(cluster, clients, 500)
    });
    let from_file = served(&history, span.0, span.1);
    let with = served(&history, 0, span.0);
    println!("served with the roster {with:.4}, without it {from_file:.4}");
    assert!(from_file > with - 0.01, "{with} with, {from_file} without");
}

// Without a roster in its configuration a sidecar is what it was: one thread, and no socket beside those that it had.
#[test]
fn a_sidecar_without_a_roster_has_no_thread_and_no_socket_for_one() {
    let cluster = Cluster::start(ClusterConfig::plain(1, 1, 0, 4)).unwrap_or_else(|e| panic!("{e}"));
    let pid = cluster.sidecar_pid(0).expect("the sidecar is running");
    // Sockets of the network among the process's descriptors, by their numbers.
    let sockets = || {
        let listed = ["tcp", "tcp6", "udp", "udp6"]
            .map(|kind| std::fs::read_to_string(format!("/proc/{pid}/net/{kind}")).unwrap_or_default());
        let open = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the directory is listed");
        let number = |f: std::fs::DirEntry| {
            let target = std::fs::read_link(f.path()).ok()?.to_string_lossy().into_owned();
            Some(target.strip_prefix("socket:[")?.trim_end_matches(']').to_owned())
        };
        let numbers: Vec<String> = open.filter_map(Result::ok).filter_map(number).collect();
        let on_network = |n: &&String| {
            listed.iter().flat_map(|l| l.lines()).any(|l| l.split_whitespace().nth(9) == Some(n.as_str()))
        };
        numbers.iter().filter(on_network).count()
    };
    // The one where it listens, and the one to discovery; the one that asked whether it is up goes.
    cluster.wait("two sockets are left", || sockets() == 2).unwrap_or_else(|e| panic!("{e}"));
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).expect("the directory is listed").count();
    assert_eq!(threads, 1);
    assert!(!cluster.sidecar_log(0).contains("roster"), "{}", cluster.sidecar_log(0));
}
