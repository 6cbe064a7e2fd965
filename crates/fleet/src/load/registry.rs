//! What a roster of three real replicas does for real sidecars: how soon they are told of a change, calm and under
//! faults, how long nothing can be written, and what a list costs that does not change.

use super::used_cpu;
use crate::harness::{Cluster, ClusterConfig, ClusterError, Link};
use serde::Serialize;
use serde_json::json;
use std::io;
use std::time::{Duration, Instant};

/// How soon changes were told.
#[derive(Clone, Debug, Serialize)]
pub struct Propagation {
    /// What went on meanwhile.
    pub fault: &'static str,
    /// Changes that were acknowledged.
    pub changes: usize,
    /// From a call to its acknowledgement, in milliseconds: median, 99th percentile, most.
    pub acknowledged_ms: [f64; 3],
    /// From the acknowledgement to the last sidecar that was told.
    #[serde(rename = "last_told_ms")]
    pub propagation_ms: [f64; 3],
    /// Longest time in which nothing was acknowledged.
    #[serde(rename = "no_writes_ms")]
    pub write_outage_ms: f64,
}

/// What a list costs a sidecar that does not change, in a minute.
#[derive(Clone, Debug, Serialize)]
pub struct IdleCost {
    /// Bytes that it exchanges with the replicas.
    pub bytes: f64,
    /// Processor time that it takes, all that it does included.
    pub sidecar_cpu_ms: f64,
    /// Processor time that the replicas take, for each sidecar.
    pub replicas_cpu_ms: f64,
}

/// What goes on while changes are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The leader is killed, and started again.
    LeaderKilled,
    /// A replica that does not lead stands still for 10 s.
    FollowerPaused,
    /// Nothing comes from one replica to any sidecar, for 10 s.
    CutOneWay,
}

impl Fault {
    /// All of them.
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

/// Three replicas and so many sidecars.
pub fn start(sidecars: usize, seed: u64) -> Result<Cluster, ClusterError> {
    let mut cluster = Cluster::start(ClusterConfig::plain(sidecars, 2, 3, seed))?;
    cluster.registry.restart_with_proxies()?;
    cluster.wait_until_notified()?;
    Ok(cluster)
}

/// Makes changes one after the other, each so long after all sidecars have been told of the last; without a pause
/// a change finds them between two watches.
pub fn measure_propagation(
    cluster: &mut Cluster,
    fault: Fault,
    changes: usize,
    pause: Option<Duration>,
) -> Result<Propagation, ClusterError> {
    let (mut acknowledged, mut propagation) = (Vec::new(), Vec::new());
    let mut write_outage = Duration::ZERO;
    let began = Instant::now();
    let mut last_write = Instant::now();
    let mut at = 0;
    let leader = cluster.registry.leader().unwrap_or(0);
    let other = (leader + 1) % 3;
    let pause = pause.unwrap_or(Duration::ZERO);
    for i in 0..changes {
        if i == changes / 4 {
            match fault {
                Fault::None => {}
                Fault::LeaderKilled => cluster.registry.kill(leader)?,
                Fault::FollowerPaused => cluster.registry.pause(other)?,
                Fault::CutOneWay => {
                    let cut = Link { cut_down: true, ..Link::default() };
                    (0..cluster.sidecar_count())
                        .for_each(|s| cluster.set_registry_link(s, other, cut.clone()));
                }
            }
        }
        let called = Instant::now();
        let index = put(cluster, i, &mut at)?;
        acknowledged.push(called.elapsed());
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
        // Each is asked by a thread of its own, without a pause.
        let told: Vec<Option<Duration>> = std::thread::scope(|scope| {
            let wait = &wait;
            let all: Vec<_> = (0..cluster.sidecar_count()).map(|s| scope.spawn(move || wait(s))).collect();
            all.into_iter().map(|t| t.join().unwrap_or(None)).collect()
        });
        match told.into_iter().collect::<Option<Vec<_>>>() {
            Some(all) => propagation.extend(all.into_iter().max()),
            None => return Err(cluster.failed("a sidecar was never told of a change".into())),
        }
        std::thread::sleep(pause);
        last_write = Instant::now();
    }
    // Until all is as it was.
    let left = Duration::from_secs(10).saturating_sub(began.elapsed());
    match fault {
        Fault::None => {}
        Fault::LeaderKilled => cluster.registry.start_replica(leader)?,
        Fault::FollowerPaused => {
            std::thread::sleep(left);
            cluster.registry.resume(other)?;
        }
        Fault::CutOneWay => {
            std::thread::sleep(left);
            (0..cluster.sidecar_count()).for_each(|s| cluster.set_registry_link(s, other, Link::default()));
        }
    }
    let all_well = || {
        let views: Vec<_> =
            (0..3).map(|at| cluster.registry.status(at).map(|s| s["index"].clone())).collect();
        views.iter().all(|v| v.is_some() && *v == views[0])
    };
    cluster.wait("all replicas are well", all_well)?;
    Ok(Propagation {
        fault: fault.name(),
        changes,
        acknowledged_ms: quantiles(acknowledged),
        propagation_ms: quantiles(propagation),
        write_outage_ms: write_outage.as_secs_f64() * 1000.0,
    })
}

/// Registers something new, without a pause between tries, at the replica that took the last one or else the next.
fn put(cluster: &Cluster, i: usize, at: &mut usize) -> Result<u64, ClusterError> {
    let body = json!({"address": "127.0.0.1:9", "since_ms": i + 1, "lease_ms": 0}).to_string();
    // Few names, and none that changes so often that it is held back.
    let path = format!("/v1/servers/measured-{}", i % 50);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(60) {
        let patience = Duration::from_secs(1);
        let answer = crate::harness::registry_replicas::call(
            cluster.registry.address(*at),
            "PUT",
            &path,
            &body,
            patience,
        );
        if let Ok(answer) = answer
            && answer.status == 200
        {
            return Ok(answer.body["index"].as_u64().unwrap_or(0));
        }
        *at = (*at + 1) % 3;
    }
    Err(cluster.failed("nothing is written".into()))
}

/// What it costs that nothing changes, over so long.
pub fn measure_idle(cluster: &Cluster, over: Duration) -> io::Result<IdleCost> {
    let sidecars = cluster.sidecar_count();
    let gone = || io::Error::other("a process is gone");
    let look = || -> io::Result<(u64, Duration, Duration)> {
        let bytes = (0..sidecars).map(|s| cluster.registry_bytes(s)).sum();
        let cpu = |id: Option<u32>| id.and_then(used_cpu).ok_or_else(gone);
        let own: Duration = (0..sidecars).map(|s| cpu(cluster.sidecar_pid(s))).sum::<io::Result<_>>()?;
        let theirs: Duration = (0..3).map(|r| cpu(cluster.registry.pid(r))).sum::<io::Result<_>>()?;
        Ok((bytes, own, theirs))
    };
    let before = look()?;
    std::thread::sleep(over);
    let after = look()?;
    let each = 60.0 / over.as_secs_f64() / sidecars as f64;
    let ms = |a: Duration, b: Duration| (a - b).as_secs_f64() * 1000.0 * each;
    Ok(IdleCost {
        bytes: (after.0 - before.0) as f64 * each,
        sidecar_cpu_ms: ms(after.1, before.1),
        replicas_cpu_ms: ms(after.2, before.2),
    })
}

fn quantiles(mut all: Vec<Duration>) -> [f64; 3] {
    all.sort_unstable();
    let at = |q: f64| all.get(((all.len() as f64 * q).ceil() as usize).max(1) - 1);
    [0.5, 0.99, 1.0].map(|q| at(q).map_or(f64::NAN, |d| d.as_secs_f64() * 1000.0))
}
