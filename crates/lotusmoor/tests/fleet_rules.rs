//! Rules for many real sidecars together: their combined load on servers that are warming up, no request forwarded
//! after its client has disconnected, and many sidecars that start at once.

use lotusmoor_fleet::harness::backend::Conduct;
use lotusmoor_fleet::harness::check::{Idempotency, Outcome, slow_start_peaks};
use lotusmoor_fleet::harness::{Clients, Cluster, ClusterConfig, ClusterError, Link, Traffic};
use std::time::Duration;

const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

fn traffic(rate: f64, seed: u64) -> Traffic {
    Traffic {
        rate,
        classes: vec![("look".into(), Idempotency::Idempotent, CLIENT_TIMEOUT, 1.0)],
        disconnect_share: 0.0,
        body_share: 0.0,
        seed,
    }
}

fn unwrap_or_panic<T>(result: Result<T, ClusterError>) -> T {
    result.unwrap_or_else(|failure| panic!("{failure}"))
}

fn wait_for_more_requests(cluster: &Cluster, clients: &Clients, count: usize) -> Result<(), ClusterError> {
    let before = clients.finished_count();
    cluster.wait("enough requests have finished", || clients.finished_count() >= before + count)
}

// ---- Servers that are warming up ----

const SIDECARS: usize = 30;
const SERVERS: usize = 12;
/// Servers that are killed, restarted, and then warm up.
const RESTARTED: [usize; 3] = [2, 5, 9];
/// Requests a second to each sidecar: together, half of the capacity of all servers.
const RATE: f64 = 8.0;
/// Requests a second to each sidecar that the burst adds, for three quarters of the capacity in total.
const BURST: f64 = 4.0;

/// Each sidecar handles a thirtieth of the requests; the sum of what all send to a server that is warming up must stay
/// within its slow-start limit. Such a server answers as fast as a warm one: only the endpoint list tells the sidecars
/// to limit what they send to it.
fn check_slow_start_under_burst(seed: u64) {
    let run = || {
        let mut config = ClusterConfig::plain(SIDECARS, SERVERS, 0, seed);
        // Each server can answer 40 requests a second. At its start the slow-start limit is 43 requests within 3 s;
        // with the checker's tolerance, the 59th is a violation.
        (config.cores, config.conduct) = (2, Conduct { work_us: 50_000, ..Conduct::default() });
        let mut cluster = Cluster::start(config)?;
        let clients = cluster.start_clients(&traffic(RATE, seed));
        wait_for_more_requests(&cluster, &clients, 1_000)?;
        for server in RESTARTED {
            cluster.kill_server(server)?;
        }
        wait_for_more_requests(&cluster, &clients, 250)?;
        for server in RESTARTED {
            cluster.restart_server(server)?;
        }
        let burst = cluster.start_clients(&traffic(BURST, !seed));
        // About 8 s, in which the servers get halfway through their slow start.
        wait_for_more_requests(&cluster, &clients, 2_000)?;
        let Some(burst_requests) = burst.finish() else {
            return Err(cluster.failed("the clients of the burst did not finish".into()));
        };
        cluster.finish_with(clients, burst_requests)
    };
    let history = unwrap_or_panic(run());
    let peaks = slow_start_peaks(&history);
    println!("seed {seed}: (server, most requests within 3 s, requests in total): {peaks:?}");
    assert_eq!(peaks.len(), RESTARTED.len());
    // The checker has verified the limits; this verifies that each of these servers received requests at all.
    assert!(peaks.iter().all(|(_, _, total)| *total > 20), "{peaks:?}");
}

#[test]
fn burst_from_thirty_sidecars_overloads_no_server_that_is_warming_up() {
    check_slow_start_under_burst(1);
}

#[test]
fn burst_with_another_seed_overloads_no_server_that_is_warming_up() {
    check_slow_start_under_burst(2);
}

// ---- Clients that disconnect ----

/// Half of the clients disconnect within half a second, while servers are slow, unreachable or reject every request, so
/// that requests wait for their first attempt and for retries. The checker verifies that none is forwarded afterwards.
#[test]
fn request_is_not_forwarded_after_its_client_disconnects() {
    let run = || {
        let cluster = Cluster::start(ClusterConfig::plain(6, 8, 0, 5))?;
        let clients = cluster.start_clients(&Traffic { disconnect_share: 0.5, ..traffic(40.0, 5) });
        cluster.wait("200 requests are served", || clients.served_count(|_| true) > 200)?;
        let slow = Conduct { first_byte_us: 700_000, ..Conduct::default() };
        for server in 0..4 {
            cluster.set_conduct(server, &slow)?;
        }
        cluster.set_conduct(4, &Conduct { turns_away: true, ..Conduct::default() })?;
        cluster.set_conduct(5, &Conduct { errors: 0.5, ..Conduct::default() })?;
        (0..6).for_each(|sidecar| cluster.set_link(sidecar, 6, Link::cut()));
        wait_for_more_requests(&cluster, &clients, 1_000)?;
        (0..6).for_each(|sidecar| cluster.set_link(sidecar, 6, Link::default()));
        wait_for_more_requests(&cluster, &clients, 400)?;
        cluster.finish(clients)
    };
    let history = unwrap_or_panic(run());
    let disconnected =
        history.requests.iter().filter(|r| matches!(r.outcome, Outcome::Disconnected { .. })).count();
    println!("{disconnected} clients disconnected");
    assert!(disconnected > 50, "{disconnected}");
}

// ---- Many sidecars that start at once ----

const START_SIDECARS: usize = 20;

/// Restarts nine in ten of the sidecars at once, while discovery has the fault that `inject_fault` injects. The
/// operators require that nine in ten of the restarted sidecars are ready within 10 s.
fn check_simultaneous_start(seed: u64, inject_fault: impl FnOnce(&Cluster) -> Result<(), ClusterError>) {
    let run = || {
        let mut cluster = Cluster::start(ClusterConfig::plain(START_SIDECARS, 8, 0, seed))?;
        let clients = cluster.start_clients(&traffic(10.0, seed));
        cluster.wait("200 requests are served", || clients.served_count(|_| true) > 200)?;
        inject_fault(&cluster)?;
        let restarted: Vec<usize> = (0..START_SIDECARS * 9 / 10).collect();
        let times_to_ready = cluster.restart_together(&restarted)?;
        // They serve from the endpoint list in their configuration.
        let is_restarted =
            |r: &lotusmoor_fleet::harness::check::ClientRequest| r.sidecar < START_SIDECARS * 9 / 10;
        let before = clients.served_count(is_restarted);
        cluster.wait("the restarted sidecars serve", || clients.served_count(is_restarted) > before + 500)?;
        cluster.finish(clients)?;
        Ok(times_to_ready)
    };
    let mut times_to_ready = unwrap_or_panic(run());
    times_to_ready.sort();
    let nine_in_ten = times_to_ready[(times_to_ready.len() * 9).div_ceil(10) - 1];
    println!("seed {seed}: ready after {times_to_ready:?}");
    assert!(nine_in_ten <= Duration::from_secs(10), "{times_to_ready:?}");
}

#[test]
fn sidecars_that_start_at_once_while_discovery_is_silent_are_ready_in_time() {
    check_simultaneous_start(3, |cluster| cluster.set_discovery_silent(true));
}

#[test]
fn sidecars_that_start_at_once_while_discovery_is_slow_are_ready_in_time() {
    check_simultaneous_start(4, |cluster| {
        // With 6 s in each direction, no endpoint list arrives in less than 12 s.
        let slow = Link { delay: Duration::from_secs(6), ..Link::default() };
        (0..START_SIDECARS).for_each(|sidecar| cluster.set_discovery_link(sidecar, slow.clone()));
        Ok(())
    });
}
