//! A cluster of real processes: sidecars, servers and discovery, with a fault proxy on each link between them, and
//! clients.

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

use config::SMALL_BUFFER_BYTES;
pub use config::{ClusterConfig, DEFAULT_MEMORY_MB};
pub use logs::LogReader;
use notification_deadline::Interruptions;
pub use operators::{OperatorCall, PendingCall};

/// An error of a run on a cluster, with everything that was recorded.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// An I/O error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A wait timed out, or a rule was violated.
    #[error("{what}\nseed {seed}\n{timeline}{logs}")]
    Failed {
        /// What failed.
        what: String,
        /// The seed of the run.
        seed: u64,
        /// The timeline of the run.
        timeline: String,
        /// The last lines of the log of each process.
        logs: String,
    },
}

/// A running cluster. All of its processes are killed when this is dropped.
pub struct Cluster {
    config: ClusterConfig,
    programs: Programs,
    folder: tempfile::TempDir,
    /// The timeline of the run.
    pub timeline: Timeline,
    runtime: Runtime,
    sidecars: Vec<Sidecar>,
    servers: Vec<Server>,
    discovery: Discovery,
    /// The registry replicas, if the configuration has any.
    pub registry: RegistryReplicas,
    /// When a sidecar (first) was first observed to have a version of the list (second).
    notified: BTreeMap<(usize, u64), i64>,
    /// Periods in which sidecars could not be notified of changes of the list.
    interruptions: Interruptions,
    history: History,
    // Dropped last: it kills the processes that are left.
    process_guard: ProcessGuard,
}

struct Sidecar {
    address: SocketAddr,
    /// The listening socket that the harness holds and passes on to each process, if the configuration says so.
    inherited_socket: Option<TcpListener>,
    process: Option<Process>,
    /// The previous process during a hand-over, until it has ended.
    previous_process: Option<Process>,
    /// Two proxies to discovery, between which a reload switches.
    discovery_proxies: [FaultProxy; 2],
    /// The proxy that the sidecar's configuration names.
    discovery_proxy_index: usize,
    faults: Option<FaultTable>,
    /// Since when its process, being stopped or killed, has not been notified of changes of the list.
    updates_interrupted_since: Option<i64>,
    registry_proxies: Vec<FaultProxy>,
    management: SocketAddr,
    server_proxies: Vec<FaultProxy>,
    unavailable_since: Option<i64>,
    /// Keeps the read end of its log pipe open without reading from it.
    log_reader: Option<File>,
}

struct Server {
    name: String,
    zone: usize,
    address: SocketAddr,
    process: Option<Process>,
    /// The file in which it records what it received.
    records: PathBuf,
    status: &'static str,
    started_ms: i64,
    unavailable_since: Option<i64>,
}

struct Discovery {
    process: Process,
    control: SocketAddr,
    /// The file in which it records the versions that it delivered.
    records: PathBuf,
    /// Changes of status: the version of the list, the time, the server, and whether it is unavailable from then on.
    changes: Vec<(u64, i64, usize, bool)>,
}

impl Cluster {
    /// Starts all processes, and waits until each sidecar is ready.
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
                started_ms: 0,
                unavailable_since: None,
            });
        }
        let discovery_addresses: Vec<SocketAddr> = (0..config.sidecars).map(|_| unused_address()).collect();
        let control = unused_address();
        let records = folder.path().join("discovery.notes");
        let mut command = Command::new(&programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "discovery", "--control", &control.to_string()]);
        command.arg("--notes").arg(&records);
        discovery_addresses.iter().for_each(|at| {
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
        for (number, at) in discovery_addresses.into_iter().enumerate() {
            let receive_buffer = config.small_buffers.then_some(SMALL_BUFFER_BYTES);
            let server_proxies = servers
                .iter()
                .map(|s| FaultProxy::start_with_receive_buffer(runtime.handle(), s.address, receive_buffer));
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
                    .then(|| create_fault_table(folder.path(), number, &config.initial_faults))
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

    /// Waits until a condition holds; if it times out, fails with everything that was recorded.
    pub fn wait(&self, what: &str, condition: impl FnMut() -> bool) -> Result<(), ClusterError> {
        if until(condition) { Ok(()) } else { Err(self.failed(format!("timed out waiting until {what}"))) }
    }

    /// An error with the timeline and the logs of all processes.
    pub fn failed(&self, what: String) -> ClusterError {
        let sidecars = self.sidecars.iter().filter_map(|s| s.process.as_ref());
        let servers = self.servers.iter().filter_map(|s| s.process.as_ref());
        let mut logs = String::new();
        for process in sidecars.chain(servers).chain([&self.discovery.process]) {
            let log = process.log_text();
            let tail: Vec<&str> = log.lines().rev().take(40).collect();
            logs.push_str(&format!("--- {}, last lines first\n{}\n", process.name, tail.join("\n")));
        }
        logs.push_str(&self.registry.logs());
        let timeline = self.timeline.to_string();
        ClusterError::Failed { what, seed: self.config.seed, timeline, logs }
    }
}

fn create_fault_table(folder: &Path, sidecar: usize, faults: &[Rule]) -> io::Result<FaultTable> {
    let path = folder.join(format!("sidecar-{sidecar}.faults"));
    let to_io = |e: lotusmoor_faults::TableError| io::Error::other(e.to_string());
    let table = FaultTable::create(&path).map_err(to_io)?;
    faults.iter().try_for_each(|rule| table.arm(*rule).map(drop).map_err(to_io))?;
    Ok(table)
}
