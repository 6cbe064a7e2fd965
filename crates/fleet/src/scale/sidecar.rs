//! The cost of a single real sidecar, and of the decision module in it, by the length of the endpoint list and by the
//! rate of its changes. There are three registry replicas, one sidecar that watches them, and one fake backend, whose
//! address all listed servers have.

use super::decision_cost;
use super::results::{Mode, Record, ResultFile, ResultFileError, Role, StepSizes, Sweep};
use super::usage::{CpuMeter, written_bytes};
use crate::experiment::commit;
use crate::harness::backend::Conduct;
use crate::harness::process_guard::ProcessGuard;
use crate::harness::registry_replicas::{RegistryReplicas, call};
use crate::harness::{
    FaultProxy, Process, Programs, Timeline, WAIT_TIMEOUT, now_micros, until, unused_address,
};
use crate::load::{self, Route, open_loop};
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// The number of registry replicas.
const REPLICAS: usize = 3;
/// The number of servers of each service.
const SERVERS_PER_SERVICE: u32 = 10;
/// The number of services that the sidecar watches in mode `services`.
const WATCHED_SERVICES: u32 = 3;
/// Servers per registration request.
const SERVERS_PER_REQUEST: u32 = 500;
/// Changes per second while the length of the list varies.
const STEADY_CHANGES_PER_S: f64 = 1.0;
/// Pause after the sidecar has the list, before anything is measured.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Interval at which the index of the sidecar's list is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What is measured, at which sizes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The sweeps to run: [`Sweep::ModuleListed`], [`Sweep::SidecarListed`], [`Sweep::SidecarChanges`]. Any others are
    /// skipped.
    pub sweeps: Vec<Sweep>,
    /// The number of servers on the list, with one step each.
    pub listed: Vec<u32>,
    /// Changes per second, with one step each.
    pub changes: Vec<f64>,
    /// The number of servers on the list while the rate of changes varies.
    pub listed_for_changes: u32,
    /// How long each figure is measured.
    pub length: Duration,
    /// The part of the list that the sidecar watches. The decision module has no modes, and is measured in `whole`
    /// only.
    pub mode: Mode,
    /// Requests per second through the sidecar. As many go directly to the backend.
    pub rate: f64,
    /// The random seed.
    pub seed: u64,
}

impl Plan {
    fn steps(&self, sweep: Sweep) -> usize {
        match sweep {
            Sweep::ModuleListed if self.mode == Mode::Services => 0,
            Sweep::ModuleListed | Sweep::SidecarListed => self.listed.len(),
            Sweep::SidecarChanges => self.changes.len(),
            _ => 0,
        }
    }

    fn services(&self) -> u32 {
        if self.mode == Mode::Services { WATCHED_SERVICES } else { 0 }
    }

    /// How many of the listed servers the sidecar watches.
    fn watched_servers(&self, listed: u32) -> u32 {
        if self.mode == Mode::Services { listed.min(WATCHED_SERVICES * SERVERS_PER_SERVICE) } else { listed }
    }
}

/// Runs all steps, and appends a line for each as it ends. If a step fails, its line says why, and the run continues.
pub fn run(plan: &Plan, lines: &mut ResultFile) -> Result<(), ResultFileError> {
    let commit = commit();
    let step_count: usize = plan.sweeps.iter().map(|s| plan.steps(*s)).sum();
    let bar = ProgressBar::new(step_count as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} steps, {elapsed} elapsed, {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let line = |sweep, step: usize, role, listed, changes_per_s| Record {
        sweep,
        mode: plan.mode,
        step: step as u32 + 1,
        at: StepSizes { hollow: 0, listed, changes_per_s, services: plan.services() },
        role,
        event: None,
        seconds: plan.length.as_secs_f64(),
        measured: Default::default(),
        failed: None,
        seed: plan.seed,
        commit: commit.clone(),
    };
    let mut finish_step = |mut line: Record, outcome: io::Result<()>| {
        line.failed = outcome.err().map(|e| e.to_string());
        if let Some(error) = &line.failed {
            tracing::warn!("{:?}, step {}: {error}", line.sweep, line.step);
        }
        bar.inc(1);
        lines.add(&line)
    };
    for sweep in plan.sweeps.iter().copied().filter(|s| plan.steps(*s) > 0) {
        match sweep {
            Sweep::ModuleListed => {
                for (step, listed) in plan.listed.iter().enumerate() {
                    bar.set_message(format!("module, {listed} listed"));
                    let mut line = line(sweep, step, Role::Module, *listed, 0.0);
                    let outcome = measure_module(plan, &mut line);
                    finish_step(line, outcome)?;
                }
            }
            Sweep::SidecarListed => {
                for (step, listed) in plan.listed.iter().enumerate() {
                    bar.set_message(format!("sidecar, {listed} listed"));
                    let mut line = line(sweep, step, Role::Sidecar, *listed, STEADY_CHANGES_PER_S);
                    // Each step has new processes, as a process does not return memory to the system.
                    let outcome = Testbed::start(plan, *listed)
                        .and_then(|testbed| testbed.measure_listed(plan, &mut line));
                    finish_step(line, outcome)?;
                }
            }
            _ => {
                let mut testbed = None;
                for (step, changes) in plan.changes.iter().enumerate() {
                    bar.set_message(format!("sidecar, {changes} changes per second"));
                    let mut line = line(sweep, step, Role::Sidecar, plan.listed_for_changes, *changes);
                    let started =
                        testbed.take().map_or_else(|| Testbed::start(plan, plan.listed_for_changes), Ok);
                    let outcome = started.and_then(|started| {
                        started.measure_changes(plan, *changes, &mut line)?;
                        // A testbed whose step failed is not used again.
                        testbed = Some(started);
                        Ok(())
                    });
                    finish_step(line, outcome)?;
                }
            }
        }
    }
    bar.finish();
    Ok(())
}

fn measure_module(plan: &Plan, line: &mut Record) -> io::Result<()> {
    let cost = decision_cost::measure(line.at.listed as usize, plan.rate, plan.length, plan.seed)?;
    line.set("decision_ns", cost.decision.mean());
    line.set("decision_ns_p99", cost.decision.value_at_quantile(0.99) as f64);
    line.set("end_ns", cost.end_ns);
    line.set("list_ns", cost.list_ns);
    line.set("change_ns", cost.change_ns);
    line.set("decisions", cost.decision.len() as f64);
    if cost.answered == cost.requests {
        Ok(())
    } else {
        Err(io::Error::other(format!("{} of {} requests were answered", cost.answered, cost.requests)))
    }
}

/// The processes of a step. They are killed when this is dropped.
struct Testbed {
    listed: u32,
    watched: u32,
    registry: RegistryReplicas,
    sidecar: Process,
    _backend: Process,
    registry_proxies: Vec<FaultProxy>,
    /// The address of the sidecar.
    through: SocketAddr,
    /// The address of the backend.
    direct: SocketAddr,
    management: SocketAddr,
    _folder: tempfile::TempDir,
    _runtime: Runtime,
    // Kills all of them if this process is killed.
    _process_guard: ProcessGuard,
}

/// The registration of a server.
fn registration(plan: &Plan, number: u32, address: SocketAddr, since_ms: i64) -> Value {
    let mut server = json!({"name": format!("s-{number}"), "address": address, "zone": "a", "type": "m", "group": 1,
        "since_ms": since_ms, "lease_ms": 0});
    if plan.mode == Mode::Services {
        server["service"] = json!(format!("svc-{}", number / SERVERS_PER_SERVICE));
    }
    server
}

impl Testbed {
    /// Starts all processes, and waits until the sidecar has the list.
    fn start(plan: &Plan, listed: u32) -> io::Result<Self> {
        let programs = Programs::find()?;
        let process_guard = ProcessGuard::start(&programs.lotusmoor)?;
        let folder = tempfile::tempdir()?;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let mut registry = RegistryReplicas::new(
            programs.clone(),
            folder.path(),
            runtime.handle().clone(),
            process_guard.clone(),
            Timeline::default(),
        );
        registry.start(REPLICAS, &[])?;
        let (through, direct, management) = (unused_address(), unused_address(), unused_address());
        let mut replica = 0;
        for first in (0..listed).step_by(SERVERS_PER_REQUEST as usize) {
            let batch = first..listed.min(first + SERVERS_PER_REQUEST);
            let servers: Vec<Value> = batch.map(|number| registration(plan, number, direct, 0)).collect();
            write(&registry, &mut replica, "POST", "/v1/servers", &json!({"servers": servers}).to_string())?;
        }

        let conduct = serde_json::to_string(&Conduct { work_us: 0, ..Conduct::default() })?;
        let mut command = Command::new(&programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", "s"]);
        command.args(["--listen", &direct.to_string(), "--conduct", &conduct]);
        let log = folder.path().join("server.log");
        let backend = Process::start(command, "server", &log, Some(&process_guard))?;

        let proxies = (0..REPLICAS).map(|r| FaultProxy::start(runtime.handle(), registry.address(r)));
        let registry_proxies = proxies.collect::<io::Result<Vec<FaultProxy>>>()?;
        let addresses: Vec<SocketAddr> = registry_proxies.iter().map(|p| p.address).collect();
        let mut registry_config = json!({"addresses": addresses, "file": folder.path().join("sidecar.list")});
        if plan.mode == Mode::Services {
            let services: Vec<String> = (0..WATCHED_SERVICES).map(|s| format!("svc-{s}")).collect();
            registry_config["services"] = json!(services);
        }
        // The limits are high enough to have no effect on the measurement.
        let config = json!({"name": "n0", "listen": through, "discovery": unused_address(),
            "management": management, "seed": format!("{:016x}", crate::chance::mix(plan.seed)),
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 4096},
            "known": {"index": 0, "snapshot": true, "endpoints": []}, "roster": registry_config,
            "settings": load::settings()});
        let path = folder.path().join("sidecar.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&programs.sidecar);
        command.env_clear().env("LB_CONFIG", &path).env("LB_NAME", "n0");
        let log = folder.path().join("sidecar.log");
        let sidecar = Process::start(command, "sidecar", &log, Some(&process_guard))?;

        let watched = plan.watched_servers(listed);
        let mut testbed = Self {
            listed,
            watched,
            registry,
            sidecar,
            _backend: backend,
            registry_proxies,
            through,
            direct,
            management,
            _folder: folder,
            _runtime: runtime,
            _process_guard: process_guard,
        };
        let mut exited = None;
        let has_list = until(|| {
            exited = testbed.sidecar.exit_status();
            exited.is_some() || testbed.list().is_some_and(|(_, servers)| servers == watched)
        });
        if let Some(status) = exited {
            return Err(testbed.failed(&format!("the sidecar has ended: {status}")));
        }
        if !has_list {
            let received =
                testbed.list().map_or_else(|| "nothing".to_owned(), |(_, n)| format!("{n} servers"));
            return Err(testbed.failed(&format!("the sidecar has {received} of {watched}")));
        }
        let is_up = |address: SocketAddr, path: &str| {
            load::get_status(address, path).is_ok_and(|status| status == 200)
        };
        if !until(|| is_up(direct, "/alive") && is_up(through, "/up")) {
            return Err(testbed.failed("the sidecar or the backend is not ready"));
        }
        std::thread::sleep(SETTLE_TIME);
        Ok(testbed)
    }

    /// An error with the last line of the log of the sidecar.
    fn failed(&self, message: &str) -> io::Error {
        let log = self.sidecar.log_text();
        io::Error::other(format!(
            "{message}; last line of the sidecar's log: {}",
            log.lines().last().unwrap_or("none")
        ))
    }

    /// The index and the length of the sidecar's list, as reported on the management address.
    fn list(&self) -> Option<(u64, u32)> {
        let mut stream = TcpStream::connect(self.management).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(b"list\n").ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        let value = |key: &str| {
            let rest = response.split_once(key)?.1;
            rest.split_whitespace().next()
        };
        let index = value("version=")?.rsplit('/').next()?.parse().ok()?;
        Some((index, value("servers=")?.parse().ok()?))
    }

    /// Bytes exchanged between the sidecar and the replicas.
    fn wire_bytes(&self) -> u64 {
        self.registry_proxies.iter().map(FaultProxy::bytes_forwarded).sum()
    }

    /// Changes `rate` servers per second, in turn among the first `servers`. Calls `changed` with the list index of
    /// each change and the time of its acknowledgement. Returns the number of changes.
    fn change(
        &self,
        plan: &Plan,
        rate: f64,
        servers: u32,
        mut changed: impl FnMut(u64, Instant),
    ) -> io::Result<u32> {
        let (started, mut made, mut replica) = (Instant::now(), 0, 0);
        loop {
            let due = Duration::from_secs_f64(f64::from(made) / rate);
            if due >= plan.length {
                return Ok(made);
            }
            std::thread::sleep(due.saturating_sub(started.elapsed()));
            // A new start time, as if the process of the server had been restarted.
            let server = registration(plan, made % servers.max(1), self.direct, now_micros() / 1000);
            let path = format!("/v1/servers/s-{}", made % servers.max(1));
            let index = write(&self.registry, &mut replica, "PUT", &path, &server.to_string())?;
            changed(index, Instant::now());
            made += 1;
        }
    }

    /// Measures the cost of changes at a constant rate. The sidecar's list is not polled meanwhile, as that would cost
    /// processor time.
    fn measure_change_cost(&self, plan: &Plan, rate: f64, line: &mut Record) -> io::Result<()> {
        let id = self.sidecar.id();
        let (wire, file, started) = (self.wire_bytes(), written_bytes(id)?, Instant::now());
        let (cpu, made) = std::thread::scope(|scope| {
            let changes = scope.spawn(|| self.change(plan, rate, self.listed, |_, _| {}));
            let cpu = CpuMeter::measure(id, plan.length);
            (
                cpu,
                changes
                    .join()
                    .unwrap_or_else(|_| Err(io::Error::other("the thread that changes the list panicked"))),
            )
        });
        let per_second = 1.0 / started.elapsed().as_secs_f64();
        let (cpu, made) = (cpu?, made?);
        line.set("cpu_us_per_s", cpu.as_secs_f64() * 1e6 / plan.length.as_secs_f64());
        line.set("wire_bytes_per_s", (self.wire_bytes() - wire) as f64 * per_second);
        line.set("file_bytes_per_s", written_bytes(id)?.saturating_sub(file) as f64 * per_second);
        line.set("writes_per_s", f64::from(made) * per_second);
        Ok(())
    }

    /// Measures a step of [`Sweep::SidecarListed`].
    fn measure_listed(&self, plan: &Plan, line: &mut Record) -> io::Result<()> {
        let id = self.sidecar.id();
        line.set("entries", f64::from(self.watched));
        for (name, kb) in [("rss_bytes", load::resident_kb(id)), ("rss_bytes_max", load::peak_kb(id))] {
            line.set(name, kb.map_or(f64::NAN, |kb| kb as f64 * 1024.0));
        }
        let idle = CpuMeter::measure(id, plan.length)?;
        line.set("idle_cpu_us_per_s", idle.as_secs_f64() * 1e6 / plan.length.as_secs_f64());
        self.measure_change_cost(plan, STEADY_CHANGES_PER_S, line)?;
        let routes = [Route { to: self.direct }, Route { to: self.through }];
        let answered = open_loop(&routes, 2.0 * plan.rate, plan.length, plan.seed)?;
        let [direct, through] = &answered[..] else { return Err(io::ErrorKind::InvalidData.into()) };
        let added = |q: f64| {
            through.latencies.value_at_quantile(q) as f64 - direct.latencies.value_at_quantile(q) as f64
        };
        line.set("added_us_p50", added(0.5));
        line.set("added_us_p99", added(0.99));
        line.set("served", through.latencies.len() as f64);
        line.set("not_served", through.not_served as f64);
        Ok(())
    }

    /// Measures a step of [`Sweep::SidecarChanges`]: first the cost of the changes, then how soon they are applied.
    fn measure_changes(&self, plan: &Plan, rate: f64, line: &mut Record) -> io::Result<()> {
        line.set("entries", f64::from(self.watched));
        self.measure_change_cost(plan, rate, line)?;
        let delays = self.apply_delays(plan, rate)?;
        for (name, q) in [("in_force_ms_p50", 0.5), ("in_force_ms_p99", 0.99), ("in_force_ms_max", 1.0)] {
            line.set(name, delays.value_at_quantile(q) as f64 / 1000.0);
        }
        Ok(())
    }

    /// Measures the time from the acknowledgement of a change until the sidecar's list has it, in microseconds. Only
    /// servers that the sidecar watches are changed.
    fn apply_delays(&self, plan: &Plan, rate: f64) -> io::Result<Histogram<u64>> {
        let mut delays =
            Histogram::new_with_bounds(1, WAIT_TIMEOUT.as_micros() as u64, 3).map_err(io::Error::other)?;
        let pending: Mutex<Vec<(u64, Instant)>> = Mutex::default();
        let lock = || pending.lock().unwrap_or_else(PoisonError::into_inner);
        let finished = AtomicBool::new(false);
        let changed = std::thread::scope(|scope| {
            let changes = scope.spawn(|| {
                let changed = self.change(plan, rate, self.watched, |index, at| lock().push((index, at)));
                finished.store(true, Ordering::Release);
                changed
            });
            let mut last_empty = Instant::now();
            while last_empty.elapsed() < WAIT_TIMEOUT {
                let (was_finished, list) = (finished.load(Ordering::Acquire), self.list());
                let now = Instant::now();
                let mut pending = lock();
                if let Some((index, _)) = list {
                    pending.retain(|(wanted, at)| {
                        let is_pending = *wanted > index;
                        if !is_pending {
                            delays.saturating_record((now - *at).as_micros() as u64);
                        }
                        is_pending
                    });
                }
                if pending.is_empty() {
                    last_empty = now;
                    if was_finished {
                        break;
                    }
                }
                drop(pending);
                std::thread::sleep(POLL_INTERVAL);
            }
            changes
                .join()
                .unwrap_or_else(|_| Err(io::Error::other("the thread that changes the list panicked")))
        })?;
        if delays.len() == u64::from(changed) {
            Ok(delays)
        } else {
            Err(self.failed(&format!("the sidecar has applied {} of {changed} changes", delays.len())))
        }
    }
}

/// Sends a write to replica `at` of the registry, and then to the others in turn until one acknowledges it. Leaves that
/// replica in `at`, and returns the index of the list after the write.
fn write(
    registry: &RegistryReplicas,
    at: &mut usize,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<u64> {
    let (started, mut failure) = (Instant::now(), String::new());
    while started.elapsed() < WAIT_TIMEOUT {
        match call(registry.address(*at), method, path, body, Duration::from_secs(5)) {
            Ok(answer) if answer.status == 200 => return Ok(answer.body["index"].as_u64().unwrap_or(0)),
            // A retry would have the same result.
            Ok(answer) if (400..500).contains(&answer.status) && answer.status != 429 => {
                failure = format!("{} {}", answer.status, answer.body);
                break;
            }
            Ok(answer) => failure = format!("{} {}", answer.status, answer.body),
            Err(error) => failure = error.to_string(),
        }
        *at = (*at + 1) % registry.count();
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other(format!("the registry did not accept {method} {path}: {failure}")))
}
