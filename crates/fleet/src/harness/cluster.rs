//! A cluster of real processes: sidecars, servers, discovery, a relay on each link between them, and clients.

use super::check::History;
use super::process::{Process, Programs};
use super::reaper::Reaper;
use super::relay::Relay;
use super::rosters::Rosters;
use super::wait::{LONG, Timeline, until};
use super::{clock, unused_address};
use lotusmoor_faults::{FaultTable, Rule};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use tokio::runtime::Runtime;

mod finish;
mod hand_over;
mod logs;
mod operators;
mod servers;
mod shape;
mod sidecars;
mod stand_in;
mod told;
mod troubles;

pub use logs::LogReader;
pub use operators::{OperatorCall, PendingCall};
pub use shape::Shape;
use told::Obstacles;

/// Why a cluster can't be played with: what failed, with all that was seen.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// Something of the machine's.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A condition never came to hold, or a rule was broken.
    #[error("{what}\nseed {seed}\n{timeline}{logs}")]
    Failed {
        /// What.
        what: String,
        /// The seed of the run.
        seed: u64,
        /// What was done when.
        timeline: String,
        /// The log of each process.
        logs: String,
    },
}

/// A cluster. All of it ends when this is dropped.
pub struct Cluster {
    shape: Shape,
    programs: Programs,
    folder: tempfile::TempDir,
    /// What was done when.
    pub timeline: Timeline,
    runtime: Runtime,
    sidecars: Vec<Sidecar>,
    servers: Vec<Server>,
    discovery: Discovery,
    /// Replicas of a roster, where the shape has some.
    pub rosters: Rosters,
    /// When each sidecar was first seen to have a version, by version.
    told: BTreeMap<(usize, u64), i64>,
    /// What stood between discovery and sidecars.
    obstacles: Obstacles,
    history: History,
    // Last: it ends what the others leave.
    reaper: Reaper,
}

struct Sidecar {
    address: SocketAddr,
    /// The socket that is passed on to its processes, where the platform holds it.
    passed: Option<TcpListener>,
    process: Option<Process>,
    /// The process before that, until it has ended.
    before: Option<Process>,
    /// Two ways to discovery, and the one that its configuration names.
    to_discovery: [Relay; 2],
    discovery_way: usize,
    faults: Option<FaultTable>,
    untold_since: Option<i64>,
    to_rosters: Vec<Relay>,
    management: SocketAddr,
    to_servers: Vec<Relay>,
    away_since: Option<i64>,
    /// Holds the pipe that it logs to open, and reads nothing.
    log_reader: Option<File>,
}

struct Server {
    name: String,
    zone: usize,
    address: SocketAddr,
    process: Option<Process>,
    notes: PathBuf,
    status: &'static str,
    since_ms: i64,
    away_since: Option<i64>,
}

struct Discovery {
    process: Process,
    control: SocketAddr,
    notes: PathBuf,
    /// Servers whose status each version changed: version, when, server, whether it is gone from then on.
    changes: Vec<(u64, i64, usize, bool)>,
}

impl Cluster {
    /// Starts all of it, and waits until each sidecar serves.
    pub fn start(shape: Shape) -> Result<Self, ClusterError> {
        let programs = Programs::find()?;
        let reaper = Reaper::start(&programs.lotusmoor)?;
        let folder = tempfile::tempdir()?;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let mut servers = Vec::new();
        for i in 0..shape.servers {
            servers.push(Server {
                name: format!("s-{i}"),
                zone: i % shape.zones.len(),
                address: unused_address(),
                process: None,
                notes: folder.path().join(format!("server-{i}.notes")),
                status: "active",
                since_ms: 0,
                away_since: None,
            });
        }
        let told: Vec<SocketAddr> = (0..shape.sidecars).map(|_| unused_address()).collect();
        let control = unused_address();
        let notes = folder.path().join("discovery.notes");
        let mut command = Command::new(&programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "discovery", "--control", &control.to_string()]);
        command.arg("--notes").arg(&notes);
        told.iter().for_each(|at| {
            command.args(["--sidecar", &at.to_string()]);
        });
        let log = folder.path().join("discovery.log");
        let process = Process::start(command, "discovery", &log, Some(&reaper))?;
        let discovery = Discovery { process, control, notes, changes: Vec::new() };
        let timeline = Timeline::default();
        let mut rosters = Rosters::new(
            programs.clone(),
            folder.path(),
            runtime.handle().clone(),
            reaper.clone(),
            timeline.clone(),
        );
        if shape.rosters > 0 {
            rosters.start(shape.rosters, &[])?;
        }
        let mut sidecars = Vec::new();
        for (n, at) in told.into_iter().enumerate() {
            let to_servers = servers.iter().map(|s| Relay::start(runtime.handle(), s.address));
            let address = unused_address();
            sidecars.push(Sidecar {
                address,
                passed: shape.passed.then(|| TcpListener::bind(address)).transpose()?,
                process: None,
                before: None,
                to_discovery: [Relay::start(runtime.handle(), at)?, Relay::start(runtime.handle(), at)?],
                discovery_way: 0,
                faults: shape.faults.then(|| table(folder.path(), n, &shape.fails)).transpose()?,
                untold_since: None,
                to_rosters: (0..shape.rosters)
                    .map(|r| Relay::start(runtime.handle(), rosters.address(r)))
                    .collect::<Result<_, _>>()?,
                management: unused_address(),
                to_servers: to_servers.collect::<Result<_, _>>()?,
                away_since: None,
                log_reader: None,
            });
        }
        let history =
            History { slack: shape.slack, grace: 2_000_000, cold: shape.cold(), ..History::default() };
        let pushed = shape.rosters == 0 && shape.settings["Discovery"] == "pushed";
        let obstacles = Obstacles { pushed, all: Vec::new() };
        let mut cluster = Self {
            shape,
            programs,
            folder,
            timeline,
            runtime,
            sidecars,
            servers,
            discovery,
            rosters,
            told: BTreeMap::new(),
            obstacles,
            history,
            reaper,
        };
        for i in 0..cluster.servers.len() {
            cluster.start_server(i)?;
        }
        let all: Vec<usize> = (0..cluster.servers.len()).collect();
        cluster.list(&all)?;
        for i in 0..cluster.sidecars.len() {
            cluster.start_sidecar(i)?;
        }
        Ok(cluster)
    }

    /// Waits until something holds, or fails with all that was seen.
    pub fn wait(&self, what: &str, holds: impl FnMut() -> bool) -> Result<(), ClusterError> {
        if until(holds) { Ok(()) } else { Err(self.failed(format!("it never came that {what}"))) }
    }

    /// A failure with all that was seen.
    pub fn failed(&self, what: String) -> ClusterError {
        let sidecars = self.sidecars.iter().filter_map(|s| s.process.as_ref());
        let servers = self.servers.iter().filter_map(|s| s.process.as_ref());
        let mut logs = String::new();
        for process in sidecars.chain(servers).chain([&self.discovery.process]) {
            let said = process.said();
            let tail: Vec<&str> = said.lines().rev().take(40).collect();
            logs.push_str(&format!("--- {}, last lines first\n{}\n", process.name, tail.join("\n")));
        }
        logs.push_str(&self.rosters.logs());
        let timeline = self.timeline.to_string();
        ClusterError::Failed { what, seed: self.shape.seed, timeline, logs }
    }
}

fn table(folder: &Path, sidecar: usize, fails: &[Rule]) -> io::Result<FaultTable> {
    let path = folder.join(format!("sidecar-{sidecar}.faults"));
    let other = |e: lotusmoor_faults::TableError| io::Error::other(e.to_string());
    let table = FaultTable::create(&path).map_err(other)?;
    fails.iter().try_for_each(|rule| table.arm(*rule).map(drop).map_err(other))?;
    Ok(table)
}
