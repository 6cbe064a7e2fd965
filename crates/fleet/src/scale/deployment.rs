//! The processes of one step: registry replicas, backend servers, real sidecars, and hollow sidecars.

use super::hollow::{Activity, Assignment, ControlRequest, HollowSidecar, LeasedServer, Status};
use super::plan::{Plan, Sizes};
use super::raise_file_limit;
use super::results::Mode;
use super::topology::{Topology, service_name};
use crate::harness::backend::Conduct;
use crate::harness::process_guard::ProcessGuard;
use crate::harness::registry_replicas::{RegistryReplicas, call};
use crate::harness::{ClusterConfig, FaultProxy, Process, Programs, Timeline, unused_address};
use lotusmoor_registry_client::EndpointList;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// The number of registry replicas.
pub const REPLICAS: usize = 3;
/// The number of backend processes. All servers on the list have the address of one of them.
const BACKENDS: usize = 4;
/// Servers per registration request.
const SERVERS_PER_REQUEST: usize = 1000;
/// Hollow sidecars of a process that share a source address.
const SIDECARS_PER_SOURCE: usize = 5000;
/// Time limit of each wait while a step starts.
pub const START_TIMEOUT: Duration = Duration::from_secs(120);

/// A real sidecar.
pub struct Sidecar {
    /// The address for requests.
    pub address: SocketAddr,
    /// The management address.
    pub management: SocketAddr,
    /// The file with its copy of the endpoint list.
    pub file: PathBuf,
    process: Process,
}

/// A process of hollow sidecars.
struct HollowProcess {
    zone: usize,
    /// The number of the first sidecar, and the number of sidecars. Their numbers are contiguous.
    first: usize,
    count: usize,
    assignment: PathBuf,
    control: SocketAddr,
    process: Mutex<Process>,
    log: PathBuf,
}

/// The processes of a step. They are killed when this is dropped.
pub struct Deployment {
    /// The services of the servers and of the sidecars.
    pub topology: Topology,
    /// The part of the list that sidecars watch.
    pub mode: Mode,
    /// The registry replicas.
    pub registry: RegistryReplicas,
    /// The addresses of the backends, to which requests also go directly.
    pub backends: Vec<SocketAddr>,
    /// The real sidecars.
    pub sidecars: Vec<Sidecar>,
    hollow_processes: Vec<HollowProcess>,
    backend_processes: Vec<Process>,
    /// For each region that an event cuts off: the proxies between its hollow sidecars and the replicas.
    region_proxies: BTreeMap<usize, Vec<FaultProxy>>,
    zones: Vec<String>,
    regions: Vec<String>,
    lease_ms: u64,
    leases: usize,
    programs: Programs,
    folder: tempfile::TempDir,
    _runtime: Runtime,
    // Dropped last, so that it kills whatever is left.
    process_guard: ProcessGuard,
}

fn lock<V>(mutex: &Mutex<V>) -> MutexGuard<'_, V> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until a condition holds; `what` names it in the error message.
pub fn wait_until(limit: Duration, what: &str, mut condition: impl FnMut() -> bool) -> io::Result<()> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > limit {
            let message = format!("timed out after {} s waiting until {what}", limit.as_secs());
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

impl Deployment {
    /// Starts all processes but the hollow sidecars, and registers the servers. `cut` are the regions that an event
    /// cuts off.
    pub fn start(plan: &Plan, sizes: &Sizes, mode: Mode, cut: &[usize]) -> io::Result<Self> {
        // Two replicas must be able to serve all sidecars, and each sidecar may have two connections for a moment while
        // it changes the replica.
        let connections = (sizes.hollow + plan.sidecars) as u64 * 3 / 4 + 600;
        raise_file_limit(connections)?;
        let programs = Programs::find()?;
        let process_guard = ProcessGuard::start(&programs.lotusmoor)?;
        let folder = tempfile::tempdir()?;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let config = folder.path().join("roster.toml");
        let limits = format!(
            "[limits]\nconnections = {}\nwatchers = {connections}\nwhole_lists_per_s = {:.1}\n",
            connections - 100,
            plan.whole_lists_per_s
        );
        std::fs::write(&config, limits)?;
        let mut registry = RegistryReplicas::new(
            programs.clone(),
            folder.path(),
            runtime.handle().clone(),
            process_guard.clone(),
            Timeline::default(),
        );
        registry.start(REPLICAS, &["--config", &config.to_string_lossy()])?;
        let mut region_proxies = BTreeMap::new();
        for region in cut {
            let proxies =
                (0..REPLICAS).map(|replica| FaultProxy::start(runtime.handle(), registry.address(replica)));
            region_proxies.insert(*region, proxies.collect::<io::Result<_>>()?);
        }
        let mut deployment = Self {
            topology: Topology::new(plan, sizes),
            mode,
            registry,
            backends: Vec::new(),
            sidecars: Vec::new(),
            hollow_processes: Vec::new(),
            backend_processes: Vec::new(),
            region_proxies,
            zones: plan.zones.clone(),
            regions: plan.regions.clone(),
            lease_ms: plan.lease_ms,
            leases: plan.leases.min(sizes.hollow).min(sizes.listed),
            programs,
            folder,
            _runtime: runtime,
            process_guard,
        };
        deployment.start_backends()?;
        deployment.register_servers()?;
        for number in 0..plan.sidecars {
            deployment.start_sidecar(number, plan)?;
        }
        Ok(deployment)
    }

    fn start_backends(&mut self) -> io::Result<()> {
        let conduct = serde_json::to_string(&Conduct { work_us: 0, ..Conduct::default() })?;
        for number in 0..BACKENDS {
            let (name, address) = (format!("ledger-{number}"), unused_address());
            let mut command = Command::new(&self.programs.lotusmoor);
            command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", &name]);
            command.args(["--listen", &address.to_string(), "--conduct", &conduct]);
            let log = self.folder.path().join(format!("{name}.log"));
            self.backend_processes.push(Process::start(command, &name, &log, Some(&self.process_guard))?);
            self.backends.push(address);
        }
        wait_until(START_TIMEOUT, "all backends accept connections", || {
            self.backends.iter().all(|address| TcpStream::connect(address).is_ok())
        })
    }

    /// The body of a registration of a server; `since_ms` distinguishes it from the previous one.
    pub fn registration(&self, server: usize, since_ms: usize) -> serde_json::Value {
        let zone = server % self.zones.len();
        let mut body = json!({"address": self.backends[server % BACKENDS], "zone": self.zones[zone],
            "region": self.regions[zone % self.regions.len()], "type": "m", "group": 1, "since_ms": since_ms,
            "lease_ms": if server < self.leases { self.lease_ms } else { 0 }});
        // Only where it is needed, as a replica of a version without services rejects a registration with this key.
        if self.mode == Mode::Services {
            body["service"] = json!(service_name(self.topology.service_of_server[server]));
        }
        body
    }

    fn register_servers(&self) -> io::Result<()> {
        let servers: Vec<usize> = (0..self.topology.service_of_server.len()).collect();
        for batch in servers.chunks(SERVERS_PER_REQUEST) {
            let servers: Vec<_> = batch
                .iter()
                .map(|server| {
                    let mut body = self.registration(*server, 0);
                    body["name"] = json!(server_name(*server));
                    body
                })
                .collect();
            self.write(
                "POST",
                "/v1/servers",
                &json!({ "servers": servers }).to_string(),
                &mut 0,
                START_TIMEOUT,
            )?;
        }
        Ok(())
    }

    /// Sends a write to replica `at`, and then to the others in turn until one acknowledges it. Leaves that replica in
    /// `at`, and returns the index of the list after the write.
    pub fn write(
        &self,
        method: &str,
        path: &str,
        body: &str,
        at: &mut usize,
        limit: Duration,
    ) -> io::Result<u64> {
        let started = Instant::now();
        loop {
            let result = call(self.registry.address(*at), method, path, body, Duration::from_secs(3));
            let failure = match result {
                Ok(answer) if answer.status == 200 => return Ok(answer.body["index"].as_u64().unwrap_or(0)),
                Ok(answer) => format!("{} {}", answer.status, answer.body),
                Err(error) => error.to_string(),
            };
            if started.elapsed() > limit {
                return Err(io::Error::other(format!(
                    "the registry did not accept {method} {path}: {failure}"
                )));
            }
            *at = (*at + 1) % REPLICAS;
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn start_sidecar(&mut self, number: usize, plan: &Plan) -> io::Result<()> {
        let (address, management) = (unused_address(), unused_address());
        let file = self.folder.path().join(format!("sidecar-{number}.list"));
        let mut settings = ClusterConfig::plain(plan.sidecars, 0, 0, plan.seed).settings;
        settings["Balancers"] = json!(plan.sidecars);
        settings["Index"] = json!(number);
        settings["Zone"] = json!(self.zones[number % self.zones.len()]);
        settings["Zones"] = json!(self.zones);
        let seed = crate::chance::mix(plan.seed ^ (1 << 40) ^ number as u64);
        let replicas: Vec<SocketAddr> = (0..REPLICAS).map(|replica| self.registry.address(replica)).collect();
        let mut config = json!({"name": format!("n{number}"), "listen": address, "discovery": unused_address(),
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": {"index": 0, "snapshot": true, "endpoints": []}, "settings": settings,
            "roster": {"addresses": replicas, "file": file}, "management": management});
        if self.mode == Mode::Services {
            config["roster"]["services"] = json!(service_names(&self.topology.sidecar_calls[number]));
        }
        let path = self.folder.path().join(format!("sidecar-{number}.json"));
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&self.programs.sidecar);
        command.env_clear().env("LB_CONFIG", &path).env("LB_NAME", format!("n{number}"));
        let log = self.folder.path().join(format!("sidecar-{number}.log"));
        let process = Process::start(command, &format!("sidecar {number}"), &log, Some(&self.process_guard))?;
        self.sidecars.push(Sidecar { address, management, file, process });
        Ok(())
    }

    /// Starts the hollow sidecars, without waiting until they have a list.
    pub fn start_hollow_sidecars(&mut self, plan: &Plan) -> io::Result<()> {
        let count = self.topology.hollow_calls.len();
        let zones = self.zones.len();
        for zone in 0..zones {
            // The sidecars of a zone have contiguous numbers.
            let (start, end) = (count * zone / zones, count * (zone + 1) / zones);
            let mut first = start;
            while first < end {
                let next = end.min(first + plan.per_process);
                self.start_hollow_process(zone, first, next - first, plan.seed)?;
                first = next;
            }
        }
        Ok(())
    }

    fn start_hollow_process(&mut self, zone: usize, first: usize, count: usize, seed: u64) -> io::Result<()> {
        let number = self.hollow_processes.len();
        let region = zone % self.regions.len();
        let replicas = match self.region_proxies.get(&region) {
            Some(proxies) => proxies.iter().map(|proxy| proxy.address).collect(),
            None => (0..REPLICAS).map(|replica| self.registry.address(replica)).collect(),
        };
        let hollow = |sidecar: usize| HollowSidecar {
            seed: crate::chance::mix(seed ^ sidecar as u64),
            services: if self.mode == Mode::Services {
                service_names(&self.topology.hollow_calls[sidecar])
            } else {
                Vec::new()
            },
            lease: (sidecar < self.leases).then(|| LeasedServer {
                name: server_name(sidecar),
                lease_ms: self.lease_ms,
                body: self.registration(sidecar, 0).to_string(),
            }),
        };
        // Addresses that `unused_address` never returns: their third octet is above 250.
        let sources = (0..count.div_ceil(SIDECARS_PER_SOURCE)).map(|source| {
            let SocketAddr::V4(own) = unused_address() else { return Ipv4Addr::LOCALHOST };
            let [_, process, _, _] = own.ip().octets();
            Ipv4Addr::new(127, process, 251 + (source % 4) as u8, (1 + number % 250) as u8)
        });
        let control = unused_address();
        let assignment = Assignment {
            replicas,
            sources: sources.collect(),
            control,
            sidecars: (first..first + count).map(hollow).collect(),
        };
        let path = self.folder.path().join(format!("hollow-{number}.json"));
        std::fs::write(&path, serde_json::to_vec(&assignment)?)?;
        let log = self.folder.path().join(format!("hollow-{number}.log"));
        let process = Mutex::new(self.spawn_hollow_process(&path, &log)?);
        self.hollow_processes.push(HollowProcess {
            zone,
            first,
            count,
            assignment: path,
            control,
            process,
            log,
        });
        Ok(())
    }

    fn spawn_hollow_process(&self, assignment: &Path, log: &Path) -> io::Result<Process> {
        let mut command = Command::new(&self.programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "hollow", "--assignment"]).arg(assignment);
        Process::start(command, "hollow sidecars", log, Some(&self.process_guard))
    }

    fn send_control_request<V: DeserializeOwned>(
        &self,
        process: &HollowProcess,
        request: ControlRequest,
    ) -> io::Result<V> {
        let mut stream = TcpStream::connect(process.control)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let mut text = serde_json::to_string(&request)?;
        text.push('\n');
        stream.write_all(text.as_bytes())?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(serde_json::from_str(&line)?)
    }

    /// The state of all hollow sidecars, summed up.
    pub fn hollow_status(&self) -> io::Result<Status> {
        let empty = Status { oldest_outcome: i64::MAX, lowest_index: u64::MAX, ..Status::default() };
        self.hollow_processes.iter().try_fold(empty, |sum, process| {
            let status: Status = self.send_control_request(process, ControlRequest::Status)?;
            Ok(Status {
                sidecars: sum.sidecars + status.sidecars,
                with_list: sum.with_list + status.with_list,
                failing: sum.failing + status.failing,
                oldest_outcome: sum.oldest_outcome.min(status.oldest_outcome),
                lowest_index: sum.lowest_index.min(status.lowest_index),
                polling: sum.polling + status.polling,
            })
        })
    }

    /// What the hollow sidecars of each process did, see [`Activity`]. Sidecars have their numbers in the topology.
    pub fn take_activity(&self) -> io::Result<Vec<Activity>> {
        let take = |process: &HollowProcess| -> io::Result<Activity> {
            let mut activity: Activity = self.send_control_request(process, ControlRequest::TakeActivity)?;
            activity.applied.iter_mut().for_each(|applied| applied.0 += process.first as u32);
            Ok(activity)
        };
        self.hollow_processes.iter().map(take).collect()
    }

    /// The endpoint list of one hollow sidecar, if it has one.
    pub fn hollow_list(&self, sidecar: usize) -> io::Result<Option<EndpointList>> {
        let process = self.hollow_processes.iter().find(|p| (p.first..p.first + p.count).contains(&sidecar));
        let process = process.ok_or(io::ErrorKind::NotFound)?;
        self.send_control_request(process, ControlRequest::List(sidecar - process.first))
    }

    /// Resets all connections of the hollow sidecars.
    pub fn reset_connections(&self) -> io::Result<()> {
        self.hollow_processes.iter().try_for_each(|p| {
            self.send_control_request::<Option<()>>(p, ControlRequest::ResetConnections).map(|_| ())
        })
    }

    fn processes_of_zone(&self, zone: usize) -> impl Iterator<Item = &HollowProcess> {
        self.hollow_processes.iter().filter(move |p| p.zone == zone)
    }

    /// Pauses the hollow sidecars of a zone.
    pub fn pause_zone(&self, zone: usize) -> io::Result<()> {
        self.processes_of_zone(zone).try_for_each(|p| lock(&p.process).pause())
    }

    /// Resumes the hollow sidecars of a zone.
    pub fn resume_zone(&self, zone: usize) -> io::Result<()> {
        self.processes_of_zone(zone).try_for_each(|p| lock(&p.process).resume())
    }

    /// Kills the hollow sidecars of a zone.
    pub fn kill_zone(&self, zone: usize) -> io::Result<()> {
        self.processes_of_zone(zone).try_for_each(|p| lock(&p.process).kill().map(|_| ()))
    }

    /// Restarts the hollow sidecars of a zone, which were killed.
    pub fn start_zone(&self, zone: usize) -> io::Result<()> {
        for p in self.processes_of_zone(zone) {
            *lock(&p.process) = self.spawn_hollow_process(&p.assignment, &p.log)?;
        }
        Ok(())
    }

    /// The proxies between the hollow sidecars of a region and the replicas; empty unless an event cuts it off.
    pub fn region_proxies(&self, region: usize) -> &[FaultProxy] {
        self.region_proxies.get(&region).map_or(&[], Vec::as_slice)
    }

    /// The process ids of the hollow sidecars.
    pub fn hollow_pids(&self) -> Vec<u32> {
        self.hollow_processes.iter().map(|p| lock(&p.process).id()).collect()
    }

    /// The process ids of the real sidecars.
    pub fn sidecar_pids(&self) -> Vec<u32> {
        self.sidecars.iter().map(|s| s.process.id()).collect()
    }

    /// The name, status and log of a process that exited unexpectedly, if any.
    pub fn unexpected_exit(&mut self) -> Option<String> {
        let sidecars = self.sidecars.iter_mut().map(|s| &mut s.process);
        let hollow_processes = self
            .hollow_processes
            .iter_mut()
            .map(|p| p.process.get_mut().unwrap_or_else(PoisonError::into_inner));
        let mut processes = sidecars.chain(hollow_processes).chain(&mut self.backend_processes);
        let exited = processes.find_map(|p| {
            p.exit_status().map(|status| format!("{} exited: {status}\n{}", p.name, p.log_text()))
        });
        let replica_exited = (0..REPLICAS).any(|replica| self.registry.has_exited(replica));
        exited.or_else(|| replica_exited.then(|| format!("a replica exited\n{}", self.registry.logs())))
    }

    /// The value of a metric of a replica.
    pub fn metric(&self, replica: usize, name: &str) -> Option<f64> {
        let mut stream = TcpStream::connect(self.registry.address(replica)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '))?;
        line.trim().parse().ok()
    }
}

impl Sidecar {
    /// The index of its endpoint list, as reported on the management address.
    pub fn index(&self) -> Option<u64> {
        let mut stream = TcpStream::connect(self.management).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(b"list\n").ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        response.split_once("version=")?.1.split([' ', '/']).nth(1)?.parse().ok()
    }
}

/// The name of a server.
pub fn server_name(server: usize) -> String {
    format!("server-{server:05}")
}

fn service_names(services: &[usize]) -> Vec<String> {
    services.iter().map(|s| service_name(*s)).collect()
}
