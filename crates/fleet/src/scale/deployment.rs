//! All processes of one step: replicas, servers behind the real sidecars, those, and the hollow ones.

use super::allow_files;
use super::hollow::{Activity, Assignment, ControlRequest, HollowSidecar, LeasedServer, Status};
use super::lines::Mode;
use super::plan::{Plan, Sizes};
use super::topology::{Topology, service};
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

/// Replicas.
pub const REPLICAS: usize = 3;
/// Servers that really answer; the list's entries share their addresses.
const BACKENDS: usize = 4;
/// Servers in one registration call.
const BATCH: usize = 1000;
/// Sockets of a hollow process that share a source address.
const PER_SOURCE: usize = 5000;
/// Anything that is waited for at the start comes within this.
pub const START_TIMEOUT: Duration = Duration::from_secs(120);

/// A real sidecar.
pub struct Sidecar {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where operators call it.
    pub management: SocketAddr,
    /// Where its list is kept.
    pub file: PathBuf,
    process: Process,
}

/// A process of hollow sidecars.
struct Hollows {
    zone: usize,
    /// The number of its first reader, and how many there are; readers of a process follow each other.
    first: usize,
    count: usize,
    assignment: PathBuf,
    control: SocketAddr,
    process: Mutex<Process>,
    log: PathBuf,
}

/// All processes of a step. They end when this is dropped.
pub struct Deployment {
    /// What was drawn.
    pub topology: Topology,
    /// What readers are told.
    pub mode: Mode,
    /// Replicas.
    pub registry: RegistryReplicas,
    /// Where requests go that pass the real sidecars by.
    pub backends: Vec<SocketAddr>,
    /// Real sidecars.
    pub sidecars: Vec<Sidecar>,
    hollows: Vec<Hollows>,
    backend_processes: Vec<Process>,
    /// The ways of a region's hollow ones to the replicas, where it can be cut.
    relays: BTreeMap<usize, Vec<FaultProxy>>,
    zones: Vec<String>,
    regions: Vec<String>,
    lease_ms: u64,
    leases: usize,
    programs: Programs,
    folder: tempfile::TempDir,
    _runtime: Runtime,
    // Last: it ends what the others leave.
    reaper: ProcessGuard,
}

fn lock<V>(of: &Mutex<V>) -> MutexGuard<'_, V> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until something holds.
pub fn within(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > limit {
            let said = format!("it never came within {} s that {what}", limit.as_secs());
            return Err(io::Error::new(io::ErrorKind::TimedOut, said));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

impl Deployment {
    /// Starts all but the hollow ones, and lists the servers. `cut` are the regions that are to be cut at some time.
    pub fn start(plan: &Plan, sizes: &Sizes, mode: Mode, cut: &[usize]) -> io::Result<Self> {
        // Two replicas must bear all readers, and each of those may be moving from one connection to the next.
        let each = (sizes.hollow + plan.sidecars) as u64 * 3 / 4 + 600;
        allow_files(each)?;
        let programs = Programs::find()?;
        let reaper = ProcessGuard::start(&programs.lotusmoor)?;
        let folder = tempfile::tempdir()?;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let config = folder.path().join("roster.toml");
        let text = format!(
            "[limits]\nconnections = {}\nwatchers = {each}\nwhole_lists_per_s = {:.1}\n",
            each - 100,
            plan.whole_lists_per_s
        );
        std::fs::write(&config, text)?;
        let mut registry = RegistryReplicas::new(
            programs.clone(),
            folder.path(),
            runtime.handle().clone(),
            reaper.clone(),
            Timeline::default(),
        );
        registry.start(REPLICAS, &["--config", &config.to_string_lossy()])?;
        let mut relays = BTreeMap::new();
        for region in cut {
            let ways = (0..REPLICAS).map(|at| FaultProxy::start(runtime.handle(), registry.address(at)));
            relays.insert(*region, ways.collect::<io::Result<_>>()?);
        }
        let mut deployment = Self {
            topology: Topology::new(plan, sizes),
            mode,
            registry,
            backends: Vec::new(),
            sidecars: Vec::new(),
            hollows: Vec::new(),
            backend_processes: Vec::new(),
            relays,
            zones: plan.zones.clone(),
            regions: plan.regions.clone(),
            lease_ms: plan.lease_ms,
            leases: plan.leases.min(sizes.hollow).min(sizes.listed),
            programs,
            folder,
            _runtime: runtime,
            reaper,
        };
        deployment.start_backends()?;
        deployment.list()?;
        for number in 0..plan.sidecars {
            deployment.start_sidecar(number, plan)?;
        }
        Ok(deployment)
    }

    fn start_backends(&mut self) -> io::Result<()> {
        let conduct = serde_json::to_string(&Conduct { work_us: 0, ..Conduct::default() })?;
        for number in 0..BACKENDS {
            let (name, at) = (format!("ledger-{number}"), unused_address());
            let mut command = Command::new(&self.programs.lotusmoor);
            command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", &name]);
            command.args(["--listen", &at.to_string(), "--conduct", &conduct]);
            let log = self.folder.path().join(format!("{name}.log"));
            self.backend_processes.push(Process::start(command, &name, &log, Some(&self.reaper))?);
            self.backends.push(at);
        }
        within(START_TIMEOUT, "the servers answer", || {
            self.backends.iter().all(|at| TcpStream::connect(at).is_ok())
        })
    }

    /// What a server registers with; `since_ms` tells one registration from the next.
    pub fn registration(&self, server: usize, since_ms: usize) -> serde_json::Value {
        let zone = server % self.zones.len();
        let mut body = json!({"address": self.backends[server % BACKENDS], "zone": self.zones[zone],
            "region": self.regions[zone % self.regions.len()], "type": "m", "group": 1, "since_ms": since_ms,
            "lease_ms": if server < self.leases { self.lease_ms } else { 0 }});
        // A replica that knows of no services would turn the whole registration down.
        if self.mode == Mode::Services {
            body["service"] = json!(service(self.topology.service_of_server[server]));
        }
        body
    }

    fn list(&self) -> io::Result<()> {
        let all: Vec<usize> = (0..self.topology.service_of_server.len()).collect();
        for batch in all.chunks(BATCH) {
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

    /// A write, at the replica that took the last one or else the next; gives the index from it on.
    pub fn write(
        &self,
        method: &str,
        path: &str,
        body: &str,
        at: &mut usize,
        limit: Duration,
    ) -> io::Result<u64> {
        let began = Instant::now();
        loop {
            let answer = call(self.registry.address(*at), method, path, body, Duration::from_secs(3));
            let said = match answer {
                Ok(answer) if answer.status == 200 => return Ok(answer.body["index"].as_u64().unwrap_or(0)),
                Ok(answer) => format!("{} {}", answer.status, answer.body),
                Err(error) => error.to_string(),
            };
            if began.elapsed() > limit {
                return Err(io::Error::other(format!("the roster does not take {method} {path}: {said}")));
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
        let replicas: Vec<SocketAddr> = (0..REPLICAS).map(|at| self.registry.address(at)).collect();
        let mut config = json!({"name": format!("n{number}"), "listen": address, "discovery": unused_address(),
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": {"index": 0, "snapshot": true, "endpoints": []}, "settings": settings,
            "roster": {"addresses": replicas, "file": file}, "management": management});
        if self.mode == Mode::Services {
            config["roster"]["services"] = json!(names(&self.topology.sidecar_calls[number]));
        }
        let path = self.folder.path().join(format!("sidecar-{number}.json"));
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&self.programs.sidecar);
        command.env_clear().env("LB_CONFIG", &path).env("LB_NAME", format!("n{number}"));
        let log = self.folder.path().join(format!("sidecar-{number}.log"));
        let process = Process::start(command, &format!("sidecar {number}"), &log, Some(&self.reaper))?;
        self.sidecars.push(Sidecar { address, management, file, process });
        Ok(())
    }

    /// Starts the hollow ones; none of them need have a list yet when this returns.
    pub fn start_hollow_sidecars(&mut self, plan: &Plan) -> io::Result<()> {
        let count = self.topology.hollow_calls.len();
        let zones = self.zones.len();
        for zone in 0..zones {
            // Readers of a zone follow each other.
            let (from, to) = (count * zone / zones, count * (zone + 1) / zones);
            let mut first = from;
            while first < to {
                let last = to.min(first + plan.per_process);
                self.start_hollow(zone, first, last - first, plan.seed)?;
                first = last;
            }
        }
        Ok(())
    }

    fn start_hollow(&mut self, zone: usize, first: usize, count: usize, seed: u64) -> io::Result<()> {
        let number = self.hollows.len();
        let region = zone % self.regions.len();
        let replicas = match self.relays.get(&region) {
            Some(ways) => ways.iter().map(|way| way.address).collect(),
            None => (0..REPLICAS).map(|at| self.registry.address(at)).collect(),
        };
        let hollow = |reader: usize| HollowSidecar {
            seed: crate::chance::mix(seed ^ reader as u64),
            services: if self.mode == Mode::Services {
                names(&self.topology.hollow_calls[reader])
            } else {
                Vec::new()
            },
            lease: (reader < self.leases).then(|| LeasedServer {
                name: server_name(reader),
                lease_ms: self.lease_ms,
                body: self.registration(reader, 0).to_string(),
            }),
        };
        // Hosts that no address of the harness has: those end with 1 to 250.
        let sources = (0..count.div_ceil(PER_SOURCE)).map(|source| {
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
        let process = Mutex::new(self.spawn_hollow(&path, &log)?);
        self.hollows.push(Hollows { zone, first, count, assignment: path, control, process, log });
        Ok(())
    }

    fn spawn_hollow(&self, assignment: &Path, log: &Path) -> io::Result<Process> {
        let mut command = Command::new(&self.programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "hollow", "--assignment"]).arg(assignment);
        Process::start(command, "hollow sidecars", log, Some(&self.reaper))
    }

    fn ask<V: DeserializeOwned>(&self, hollows: &Hollows, what: ControlRequest) -> io::Result<V> {
        let mut stream = TcpStream::connect(hollows.control)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let mut text = serde_json::to_string(&what)?;
        text.push('\n');
        stream.write_all(text.as_bytes())?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(serde_json::from_str(&line)?)
    }

    /// How all hollow readers stand.
    pub fn hollow_status(&self) -> io::Result<Status> {
        let first = Status { oldest_outcome: i64::MAX, lowest_index: u64::MAX, ..Status::default() };
        self.hollows.iter().try_fold(first, |all, hollows| {
            let one: Status = self.ask(hollows, ControlRequest::Status)?;
            Ok(Status {
                sidecars: all.sidecars + one.sidecars,
                with_list: all.with_list + one.with_list,
                failing: all.failing + one.failing,
                oldest_outcome: all.oldest_outcome.min(one.oldest_outcome),
                lowest_index: all.lowest_index.min(one.lowest_index),
                polling: all.polling + one.polling,
            })
        })
    }

    /// What happened at all hollow readers since this was asked last; readers by their numbers in the draw.
    pub fn take_activity(&self) -> io::Result<Vec<Activity>> {
        let numbered = |hollows: &Hollows| -> io::Result<Activity> {
            let mut activity: Activity = self.ask(hollows, ControlRequest::TakeActivity)?;
            activity.applied.iter_mut().for_each(|applied| applied.0 += hollows.first as u32);
            Ok(activity)
        };
        self.hollows.iter().map(numbered).collect()
    }

    /// The list of one hollow reader.
    pub fn hollow_list(&self, reader: usize) -> io::Result<Option<EndpointList>> {
        let of = self.hollows.iter().find(|h| (h.first..h.first + h.count).contains(&reader));
        let of = of.ok_or(io::ErrorKind::NotFound)?;
        self.ask(of, ControlRequest::List(reader - of.first))
    }

    /// All connections of hollow readers are reset.
    pub fn reset(&self) -> io::Result<()> {
        self.hollows
            .iter()
            .try_for_each(|h| self.ask::<Option<()>>(h, ControlRequest::ResetConnections).map(|_| ()))
    }

    fn of_zone(&self, zone: usize) -> impl Iterator<Item = &Hollows> {
        self.hollows.iter().filter(move |h| h.zone == zone)
    }

    /// The hollow ones of a zone stand still.
    pub fn hold_zone(&self, zone: usize) -> io::Result<()> {
        self.of_zone(zone).try_for_each(|h| lock(&h.process).pause())
    }

    /// They go on.
    pub fn let_zone_go_on(&self, zone: usize) -> io::Result<()> {
        self.of_zone(zone).try_for_each(|h| lock(&h.process).resume())
    }

    /// They are killed.
    pub fn kill_zone(&self, zone: usize) -> io::Result<()> {
        self.of_zone(zone).try_for_each(|h| lock(&h.process).kill().map(|_| ()))
    }

    /// They start anew.
    pub fn start_zone(&self, zone: usize) -> io::Result<()> {
        for h in self.of_zone(zone) {
            *lock(&h.process) = self.spawn_hollow(&h.assignment, &h.log)?;
        }
        Ok(())
    }

    /// The ways of a region's hollow ones to the replicas.
    pub fn ways(&self, region: usize) -> &[FaultProxy] {
        self.relays.get(&region).map_or(&[], Vec::as_slice)
    }

    /// Process ids of the hollow ones.
    pub fn hollow_pids(&self) -> Vec<u32> {
        self.hollows.iter().map(|h| lock(&h.process).id()).collect()
    }

    /// Process ids of the real sidecars.
    pub fn sidecar_pids(&self) -> Vec<u32> {
        self.sidecars.iter().map(|s| s.process.id()).collect()
    }

    /// A process that ended by itself, with what it wrote.
    pub fn ended(&mut self) -> Option<String> {
        let sidecars = self.sidecars.iter_mut().map(|s| &mut s.process);
        let hollows =
            self.hollows.iter_mut().map(|h| h.process.get_mut().unwrap_or_else(PoisonError::into_inner));
        let mut all = sidecars.chain(hollows).chain(&mut self.backend_processes);
        let ended = all.find_map(|p| {
            p.exit_status().map(|status| format!("{} ended: {status}\n{}", p.name, p.log_text()))
        });
        let replica = (0..REPLICAS).any(|at| self.registry.has_exited(at));
        ended.or_else(|| replica.then(|| format!("a replica ended by itself\n{}", self.registry.logs())))
    }

    /// A figure of a replica's metrics.
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
    /// The index of its list, as it tells its operators.
    pub fn index(&self) -> Option<u64> {
        let mut stream = TcpStream::connect(self.management).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(b"list\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        answer.split_once("version=")?.1.split([' ', '/']).nth(1)?.parse().ok()
    }
}

/// The name of a server.
pub fn server_name(server: usize) -> String {
    format!("server-{server:05}")
}

fn names(services: &[usize]) -> Vec<String> {
    services.iter().map(|s| service(*s)).collect()
}
