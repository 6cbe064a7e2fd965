//! Rules that hold over the sum of many real sidecars: cold servers under all of them together, and a herd of them that
//! starts at once.

use lotusmoor_fleet::harness::backend::Conduct;
use lotusmoor_fleet::harness::check::{Idempotency, Outcome, slow_start_peaks};
use lotusmoor_fleet::harness::{Clients, Cluster, ClusterConfig, ClusterError, Link, Traffic};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(2);

fn traffic(rate: f64, seed: u64) -> Traffic {
    Traffic {
        rate,
        classes: vec![("look".into(), Idempotency::Idempotent, WAIT, 1.0)],
        disconnect_share: 0.0,
        body_share: 0.0,
        seed,
    }
}

fn or_all_that_was_seen<T>(played: Result<T, ClusterError>) -> T {
    played.unwrap_or_else(|failure| panic!("{failure}"))
}

fn more(cluster: &Cluster, clients: &Clients, n: usize) -> Result<(), ClusterError> {
    let before = clients.finished_count();
    cluster.wait("more is asked", || clients.finished_count() >= before + n)
}

// ---- Cold servers ----

const SIDECARS: usize = 30;
const SERVERS: usize = 12;
/// Servers that come back cold.
const COLD: [usize; 3] = [2, 5, 9];
/// Requests a second to each sidecar, and what the burst adds: half of what all servers can do, then three quarters.
const RATE: f64 = 8.0;
const BURST: f64 = 4.0;

/// Each sidecar sees a thirtieth of what comes, and no cold server more than the settings allow it in all. The servers
/// answer as fast as warm ones: nothing but the list tells the sidecars to hold back.
fn cold_under_a_burst(seed: u64) {
    let played = || {
        let mut shape = ClusterConfig::plain(SIDECARS, SERVERS, 0, seed);
        // 40 requests a second for each server. N is 43 at its start, and with the slack the 59th is its fall.
        (shape.cores, shape.conduct) = (2, Conduct { work_us: 50_000, ..Conduct::default() });
        let mut cluster = Cluster::start(shape)?;
        let usual = cluster.start_clients(&traffic(RATE, seed));
        more(&cluster, &usual, 1_000)?;
        for server in COLD {
            cluster.kill_server(server)?;
        }
        more(&cluster, &usual, 250)?;
        for server in COLD {
            cluster.restart_server(server)?;
        }
        let burst = cluster.start_clients(&traffic(BURST, !seed));
        // Some eight seconds, in which they become half warm.
        more(&cluster, &usual, 2_000)?;
        let Some(asks) = burst.finish() else { return Err(cluster.failed("the burst never ended".into())) };
        cluster.finish_with(usual, asks)
    };
    let history = or_all_that_was_seen(played());
    let peaks = slow_start_peaks(&history);
    println!("seed {seed}: server, most in 3 s, in all: {peaks:?}");
    assert_eq!(peaks.len(), COLD.len());
    // They are used, each of them, if within what they bear: the checker saw to that.
    assert!(peaks.iter().all(|(_, _, all)| *all > 20), "{peaks:?}");
}

#[test]
fn no_cold_server_gets_more_than_it_bears_from_thirty_sidecars_under_a_burst() {
    cold_under_a_burst(1);
}

#[test]
fn nor_with_other_ids() {
    cold_under_a_burst(2);
}

// ---- Clients that leave ----

/// Half of the clients leave within half a second, while servers are slow, out of reach or turn all away, so that
/// requests wait for their first attempt and for further ones. The checker sees that none is sent on.
#[test]
fn what_a_client_left_is_not_sent_on() {
    let played = || {
        let cluster = Cluster::start(ClusterConfig::plain(6, 8, 0, 5))?;
        let clients = cluster.start_clients(&Traffic { disconnect_share: 0.5, ..traffic(40.0, 5) });
        cluster.wait("all are served", || clients.served_count(|_| true) > 200)?;
        let slow = Conduct { first_byte_us: 700_000, ..Conduct::default() };
        for server in 0..4 {
            cluster.set_conduct(server, &slow)?;
        }
        cluster.set_conduct(4, &Conduct { turns_away: true, ..Conduct::default() })?;
        cluster.set_conduct(5, &Conduct { errors: 0.5, ..Conduct::default() })?;
        (0..6).for_each(|sidecar| cluster.set_link(sidecar, 6, Link::cut()));
        more(&cluster, &clients, 1_000)?;
        (0..6).for_each(|sidecar| cluster.set_link(sidecar, 6, Link::default()));
        more(&cluster, &clients, 400)?;
        cluster.finish(clients)
    };
    let history = or_all_that_was_seen(played());
    let left = history.requests.iter().filter(|a| matches!(a.outcome, Outcome::Disconnected { .. })).count();
    println!("{left} left");
    assert!(left > 50, "{left}");
}

// ---- A herd ----

const HERD: usize = 20;

/// Nine in ten of the sidecars start at once while discovery is as `trouble` leaves it. By the operators' letter nine in
/// ten of those that start are ready within 10 s.
fn herd(seed: u64, trouble: impl FnOnce(&Cluster) -> Result<(), ClusterError>) {
    let played = || {
        let mut cluster = Cluster::start(ClusterConfig::plain(HERD, 8, 0, seed))?;
        let clients = cluster.start_clients(&traffic(10.0, seed));
        cluster.wait("all are served", || clients.served_count(|_| true) > 200)?;
        trouble(&cluster)?;
        let restarted: Vec<usize> = (0..HERD * 9 / 10).collect();
        let took = cluster.restart_together(&restarted)?;
        // They serve by the list that they were given.
        let of_them = |a: &lotusmoor_fleet::harness::check::ClientRequest| a.sidecar < HERD * 9 / 10;
        let before = clients.served_count(of_them);
        cluster.wait("they serve", || clients.served_count(of_them) > before + 500)?;
        cluster.finish(clients)?;
        Ok(took)
    };
    let mut took = or_all_that_was_seen(played());
    took.sort();
    let nine_in_ten = took[(took.len() * 9).div_ceil(10) - 1];
    println!("seed {seed}: ready after {took:?}");
    assert!(nine_in_ten <= Duration::from_secs(10), "{took:?}");
}

#[test]
fn a_herd_that_starts_while_discovery_is_away_is_ready_in_time() {
    herd(3, |cluster| cluster.set_discovery_silent(true));
}

#[test]
fn a_herd_that_starts_while_discovery_is_slow_to_answer_is_ready_in_time() {
    herd(4, |cluster| {
        // No list comes in less than 12 s.
        let slow = Link { delay: Duration::from_secs(6), ..Link::default() };
        (0..HERD).for_each(|sidecar| cluster.set_discovery_link(sidecar, slow.clone()));
        Ok(())
    });
}
