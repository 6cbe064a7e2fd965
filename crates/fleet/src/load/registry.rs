//! Measurements of a registry of three real replicas with real sidecars: how soon a change reaches the sidecars, with
//! and without faults, how long no writes are possible, and what an unchanged list costs.

use super::used_cpu;
use crate::harness::{Cluster, ClusterConfig, ClusterError, Link};
use serde::Serialize;
use serde_json::json;
use std::io;
use std::time::{Duration, Instant};

/// The propagation times of a series of changes.
#[derive(Clone, Debug, Serialize)]
pub struct Propagation {
    /// The injected fault.
    pub fault: &'static str,
    /// The number of acknowledged changes.
    pub changes: usize,
    /// Time from a write to its acknowledgement, in milliseconds: median, 99th percentile, maximum.
    pub acknowledged_ms: [f64; 3],
    /// Time from the acknowledgement until the last sidecar has the change: the same quantiles.
    #[serde(rename = "last_told_ms")]
    pub propagation_ms: [f64; 3],
    /// The longest time without an acknowledged write, in milliseconds.
    #[serde(rename = "no_writes_ms")]
    pub write_outage_ms: f64,
}

/// The cost of an unchanged list, per sidecar and minute.
#[derive(Clone, Debug, Serialize)]
pub struct IdleCost {
    /// Bytes exchanged between the sidecar and the replicas.
    pub bytes: f64,
    /// Total processor time of the sidecar.
    pub sidecar_cpu_ms: f64,
    /// Processor time of the replicas, divided by the number of sidecars.
    pub replicas_cpu_ms: f64,
}

/// A fault that is injected during a series of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The leader is killed, and restarted at the end.
    LeaderKilled,
    /// A follower is paused (SIGSTOP) for 10 s.
    FollowerPaused,
    /// Nothing that one follower sends reaches a sidecar, for 10 s.
    CutOneWay,
}

impl Fault {
    /// All variants, in the order in which they are measured.
    pub const ALL: [Self; 4] = [Self::None, Self::LeaderKilled, Self::FollowerPaused, Self::CutOneWay];

    fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::LeaderKilled => "leader killed",
            Self::FollowerPaused => "replica held 10 s",
            Self::CutOneWay => "replica cut one way 10 s",
        }
    }
}

/// Starts a cluster of three replicas and the given number of sidecars.
pub fn start(sidecars: usize, seed: u64) -> Result<Cluster, ClusterError> {
    let mut cluster = Cluster::start(ClusterConfig::plain(sidecars, 2, 3, seed))?;
    cluster.registry.restart_with_proxies()?;
    cluster.wait_until_notified()?;
    Ok(cluster)
}

/// Makes changes one after the other, each after all sidecars have the previous one and a pause. Without a pause, a
/// change may come before the sidecars have sent their next poll.
pub fn measure_propagation(
    cluster: &mut Cluster,
    fault: Fault,
    changes: usize,
    pause: Option<Duration>,
) -> Result<Propagation, ClusterError> {
    let (mut acknowledged, mut propagation) = (Vec::new(), Vec::new());
    let mut write_outage = Duration::ZERO;
    let started = Instant::now();
    let mut last_write = Instant::now();
    let mut replica = 0;
    let leader = cluster.registry.leader().unwrap_or(0);
    let follower = (leader + 1) % 3;
    let pause = pause.unwrap_or(Duration::ZERO);
    for i in 0..changes {
        if i == changes / 4 {
            match fault {
                Fault::None => {}
                Fault::LeaderKilled => cluster.registry.kill(leader)?,
                Fault::FollowerPaused => cluster.registry.pause(follower)?,
                Fault::CutOneWay => {
                    let cut = Link { cut_down: true, ..Link::default() };
                    (0..cluster.sidecar_count())
                        .for_each(|s| cluster.set_registry_link(s, follower, cut.clone()));
                }
            }
        }
        let sent = Instant::now();
        let index = register_server(cluster, i, &mut replica)?;
        acknowledged.push(sent.elapsed());
        write_outage = write_outage.max(last_write.elapsed());
        let written = Instant::now();
        let wait = |s: usize| -> Option<Duration> {
            while cluster.list_version(s).is_none_or(|v| v < index) {
                if written.elapsed() > Duration::from_secs(60) {
                    return None;
                }
            }
            Some(written.elapsed())
        };
        // Each sidecar is polled by a thread of its own, without pauses.
        let delays: Vec<Option<Duration>> = std::thread::scope(|scope| {
            let wait = &wait;
            let threads: Vec<_> =
                (0..cluster.sidecar_count()).map(|s| scope.spawn(move || wait(s))).collect();
            threads.into_iter().map(|t| t.join().unwrap_or(None)).collect()
        });
        match delays.into_iter().collect::<Option<Vec<_>>>() {
            Some(delays) => propagation.extend(delays.into_iter().max()),
            None => return Err(cluster.failed("a sidecar did not receive a change within 60 s".into())),
        }
        std::thread::sleep(pause);
        last_write = Instant::now();
    }
    // The fault ends.
    let remaining = Duration::from_secs(10).saturating_sub(started.elapsed());
    match fault {
        Fault::None => {}
        Fault::LeaderKilled => cluster.registry.start_replica(leader)?,
        Fault::FollowerPaused => {
            std::thread::sleep(remaining);
            cluster.registry.resume(follower)?;
        }
        Fault::CutOneWay => {
            std::thread::sleep(remaining);
            (0..cluster.sidecar_count())
                .for_each(|s| cluster.set_registry_link(s, follower, Link::default()));
        }
    }
    let caught_up = || {
        let indexes: Vec<_> =
            (0..3).map(|replica| cluster.registry.status(replica).map(|s| s["index"].clone())).collect();
        indexes.iter().all(|v| v.is_some() && *v == indexes[0])
    };
    cluster.wait("all replicas have the same index", caught_up)?;
    Ok(Propagation {
        fault: fault.name(),
        changes,
        acknowledged_ms: quantiles(acknowledged),
        propagation_ms: quantiles(propagation),
        write_outage_ms: write_outage.as_secs_f64() * 1000.0,
    })
}

/// Registers a server at replica `at`, and then at the others in turn, without pauses, until one acknowledges it.
/// Leaves that replica in `at`, and returns the index of the list after the write.
fn register_server(cluster: &Cluster, i: usize, at: &mut usize) -> Result<u64, ClusterError> {
    let body = json!({"address": "127.0.0.1:9", "since_ms": i + 1, "lease_ms": 0}).to_string();
    // Few names, but enough that none changes so often that flap damping rejects it.
    let path = format!("/v1/servers/measured-{}", i % 50);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(60) {
        let timeout = Duration::from_secs(1);
        let answer = crate::harness::registry_replicas::call(
            cluster.registry.address(*at),
            "PUT",
            &path,
            &body,
            timeout,
        );
        if let Ok(answer) = answer
            && answer.status == 200
        {
            return Ok(answer.body["index"].as_u64().unwrap_or(0));
        }
        *at = (*at + 1) % 3;
    }
    Err(cluster.failed("no replica acknowledged a write within 60 s".into()))
}

/// Measures the cost of an unchanged list over a period.
pub fn measure_idle(cluster: &Cluster, period: Duration) -> io::Result<IdleCost> {
    let sidecars = cluster.sidecar_count();
    let not_running = || io::Error::other("a process is not running");
    let sample = || -> io::Result<(u64, Duration, Duration)> {
        let bytes = (0..sidecars).map(|s| cluster.registry_bytes(s)).sum();
        let cpu = |id: Option<u32>| id.and_then(used_cpu).ok_or_else(not_running);
        let sidecar_cpu: Duration =
            (0..sidecars).map(|s| cpu(cluster.sidecar_pid(s))).sum::<io::Result<_>>()?;
        let replica_cpu: Duration = (0..3).map(|r| cpu(cluster.registry.pid(r))).sum::<io::Result<_>>()?;
        Ok((bytes, sidecar_cpu, replica_cpu))
    };
    let before = sample()?;
    std::thread::sleep(period);
    let after = sample()?;
    let per_sidecar_minute = 60.0 / period.as_secs_f64() / sidecars as f64;
    let ms = |a: Duration, b: Duration| (a - b).as_secs_f64() * 1000.0 * per_sidecar_minute;
    Ok(IdleCost {
        bytes: (after.0 - before.0) as f64 * per_sidecar_minute,
        sidecar_cpu_ms: ms(after.1, before.1),
        replicas_cpu_ms: ms(after.2, before.2),
    })
}

/// Median, 99th percentile and maximum, in milliseconds.
fn quantiles(mut durations: Vec<Duration>) -> [f64; 3] {
    durations.sort_unstable();
    let at = |q: f64| durations.get(((durations.len() as f64 * q).ceil() as usize).max(1) - 1);
    [0.5, 0.99, 1.0].map(|q| at(q).map_or(f64::NAN, |d| d.as_secs_f64() * 1000.0))
}
