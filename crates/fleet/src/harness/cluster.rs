//! A cluster of real processes: sidecars, servers, discovery, a relay on each link between them, and clients.

use super::check::History;
use super::fault_proxy::FaultProxy;
use super::process::{Process, Programs};
use super::process_guard::ProcessGuard;
use super::registry_replicas::RegistryReplicas;
use super::wait::{Timeline, WAIT_TIMEOUT, until};
use super::{now_micros, unused_address};
use lotusmoor_faults::{FaultTable, Rule};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use tokio::runtime::Runtime;

mod config;
mod fake_services;
mod faults;
mod finish;
mod hand_over;
mod logs;
mod notification_deadline;
mod operators;
mod servers;
mod sidecars;

pub use config::ClusterConfig;
pub use logs::LogReader;
use notification_deadline::Interruptions;
pub use operators::{OperatorCall, PendingCall};

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
    config: ClusterConfig,
    programs: Programs,
    folder: tempfile::TempDir,
    /// What was done when.
    pub timeline: Timeline,
    runtime: Runtime,
    sidecars: Vec<Sidecar>,
    servers: Vec<Server>,
    discovery: Discovery,
    /// Replicas of a roster, where the shape has some.
    pub registry: RegistryReplicas,
    /// When each sidecar was first seen to have a version, by version.
    notified: BTreeMap<(usize, u64), i64>,
    /// What stood between discovery and sidecars.
    interruptions: Interruptions,
    history: History,
    // Last: it ends what the others leave.
    process_guard: ProcessGuard,
}

struct Sidecar {
    address: SocketAddr,
    /// The socket that is passed on to its processes, where the platform holds it.
    inherited_socket: Option<TcpListener>,
    process: Option<Process>,
    /// The process before that, until it has ended.
    previous_process: Option<Process>,
    /// Two ways to discovery, and the one that its configuration names.
    discovery_proxies: [FaultProxy; 2],
    discovery_proxy_index: usize,
    faults: Option<FaultTable>,
    updates_interrupted_since: Option<i64>,
    registry_proxies: Vec<FaultProxy>,
    management: SocketAddr,
    server_proxies: Vec<FaultProxy>,
    unavailable_since: Option<i64>,
    /// Holds the pipe that it logs to open, and reads nothing.
    log_reader: Option<File>,
}

struct Server {
    name: String,
    zone: usize,
    address: SocketAddr,
    process: Option<Process>,
    records: PathBuf,
    status: &'static str,
    since_ms: i64,
    unavailable_since: Option<i64>,
}

struct Discovery {
    process: Process,
    control: SocketAddr,
    records: PathBuf,
    /// Servers whose status each version changed: version, when, server, whether it is gone from then on.
    changes: Vec<(u64, i64, usize, bool)>,
}

impl Cluster {
    /// Starts all of it, and waits until each sidecar serves.
    pub fn start(config: ClusterConfig) -> Result<Self, ClusterError> {
        let programs = Programs::find()?;
        let process_guard = ProcessGuard::start(&programs.lotusmoor)?;
        let folder = tempfile::tempdir()?;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let mut servers = Vec::new();
        for i in 0..config.servers {
            servers.push(Server {
                name: format!("s-{i}"),
                zone: i % config.zones.len(),
                address: unused_address(),
                process: None,
                records: folder.path().join(format!("server-{i}.notes")),
                status: "active",
                since_ms: 0,
                unavailable_since: None,
            });
        }
        let told: Vec<SocketAddr> = (0..config.sidecars).map(|_| unused_address()).collect();
        let control = unused_address();
        let records = folder.path().join("discovery.notes");
        let mut command = Command::new(&programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "discovery", "--control", &control.to_string()]);
        command.arg("--notes").arg(&records);
        told.iter().for_each(|at| {
            command.args(["--sidecar", &at.to_string()]);
        });
        let log = folder.path().join("discovery.log");
        let process = Process::start(command, "discovery", &log, Some(&process_guard))?;
        let discovery = Discovery { process, control, records, changes: Vec::new() };
        let timeline = Timeline::default();
        let mut registry = RegistryReplicas::new(
            programs.clone(),
            folder.path(),
            runtime.handle().clone(),
            process_guard.clone(),
            timeline.clone(),
        );
        if config.registry_replicas > 0 {
            registry.start(config.registry_replicas, &[])?;
        }
        let mut sidecars = Vec::new();
        for (n, at) in told.into_iter().enumerate() {
            let server_proxies = servers.iter().map(|s| FaultProxy::start(runtime.handle(), s.address));
            let address = unused_address();
            sidecars.push(Sidecar {
                address,
                inherited_socket: config.inherited_sockets.then(|| TcpListener::bind(address)).transpose()?,
                process: None,
                previous_process: None,
                discovery_proxies: [
                    FaultProxy::start(runtime.handle(), at)?,
                    FaultProxy::start(runtime.handle(), at)?,
                ],
                discovery_proxy_index: 0,
                faults: config
                    .fault_injection
                    .then(|| create_fault_table(folder.path(), n, &config.initial_faults))
                    .transpose()?,
                updates_interrupted_since: None,
                registry_proxies: (0..config.registry_replicas)
                    .map(|r| FaultProxy::start(runtime.handle(), registry.address(r)))
                    .collect::<Result<_, _>>()?,
                management: unused_address(),
                server_proxies: server_proxies.collect::<Result<_, _>>()?,
                unavailable_since: None,
                log_reader: None,
            });
        }
        let history = History {
            slack: config.slack,
            drain_grace: 2_000_000,
            slow_start_limit: config.slow_start_limit(),
            ..History::default()
        };
        let pushed = config.registry_replicas == 0 && config.settings["Discovery"] == "pushed";
        let interruptions = Interruptions { pushed, all: Vec::new() };
        let mut cluster = Self {
            config,
            programs,
            folder,
            timeline,
            runtime,
            sidecars,
            servers,
            discovery,
            registry,
            notified: BTreeMap::new(),
            interruptions,
            history,
            process_guard,
        };
        for i in 0..cluster.servers.len() {
            cluster.start_server(i)?;
        }
        let all: Vec<usize> = (0..cluster.servers.len()).collect();
        cluster.publish(&all)?;
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
            let said = process.log_text();
            let tail: Vec<&str> = said.lines().rev().take(40).collect();
            logs.push_str(&format!("--- {}, last lines first\n{}\n", process.name, tail.join("\n")));
        }
        logs.push_str(&self.registry.logs());
        let timeline = self.timeline.to_string();
        ClusterError::Failed { what, seed: self.config.seed, timeline, logs }
    }
}

fn create_fault_table(folder: &Path, sidecar: usize, fails: &[Rule]) -> io::Result<FaultTable> {
    let path = folder.join(format!("sidecar-{sidecar}.faults"));
    let other = |e: lotusmoor_faults::TableError| io::Error::other(e.to_string());
    let table = FaultTable::create(&path).map_err(other)?;
    fails.iter().try_for_each(|rule| table.arm(*rule).map(drop).map_err(other))?;
    Ok(table)
}
