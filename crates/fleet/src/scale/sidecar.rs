//! What the length of the list and the rate of its changes cost a real sidecar, and the decision module in it: three
//! real replicas, one sidecar that rides them, and one stand-in server at whose address all listed servers are.

use super::decision_cost;
use super::lines::{Line, Lines, LinesError, Mode, Role, StepSizes, Sweep};
use super::usage::{Cpu, written};
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

/// Replicas of the roster.
const REPLICAS: usize = 3;
/// Servers of one service.
const OF_SERVICE: u32 = 10;
/// Services that a sidecar asks for in mode `services`.
const SERVICES: u32 = 3;
/// Servers that are registered by one call.
const BATCH: u32 = 500;
/// Changes a second while the list's length varies.
const STEADY: f64 = 1.0;
/// After the list has come, before anything is measured.
const SETTLE: Duration = Duration::from_secs(1);
/// Between two looks at a sidecar's own list.
const LOOK: Duration = Duration::from_millis(1);

/// What is measured, and at which sizes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The sweeps, of those that this part has.
    pub sweeps: Vec<Sweep>,
    /// Servers on the list, a step each.
    pub listed: Vec<u32>,
    /// Changes a second, a step each.
    pub changes: Vec<f64>,
    /// Servers on the list while the changes vary.
    pub at_listed: u32,
    /// For how long each figure is taken.
    pub length: Duration,
    /// What the sidecar is told. The decision module has no modes: it is measured in `whole` alone.
    pub mode: Mode,
    /// Requests a second through the sidecar; as many go past it.
    pub rate: f64,
    /// What is drawn is drawn from this.
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
        if self.mode == Mode::Services { SERVICES } else { 0 }
    }

    /// How many of so many listed servers the sidecar is told of.
    fn told(&self, listed: u32) -> u32 {
        if self.mode == Mode::Services { listed.min(SERVICES * OF_SERVICE) } else { listed }
    }
}

/// Runs all steps, and adds a line for each as it is done. One that fails has a line that says so, and the run goes on.
pub fn run(plan: &Plan, lines: &mut Lines) -> Result<(), LinesError> {
    let commit = commit();
    let all: usize = plan.sweeps.iter().map(|s| plan.steps(*s)).sum();
    let bar = ProgressBar::new(all as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} steps, {elapsed} gone, {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let line = |sweep, step: usize, role, listed, changes_per_s| Line {
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
    let mut done = |mut line: Line, outcome: io::Result<()>| {
        line.failed = outcome.err().map(|e| e.to_string());
        if let Some(what) = &line.failed {
            tracing::warn!("{:?}, step {}: {what}", line.sweep, line.step);
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
                    let outcome = module_step(plan, &mut line);
                    done(line, outcome)?;
                }
            }
            Sweep::SidecarListed => {
                for (step, listed) in plan.listed.iter().enumerate() {
                    bar.set_message(format!("sidecar, {listed} listed"));
                    let mut line = line(sweep, step, Role::Sidecar, *listed, STEADY);
                    // New processes for each, as memory that was once used is not given back.
                    let outcome = Rig::start(plan, *listed).and_then(|rig| rig.listed(plan, &mut line));
                    done(line, outcome)?;
                }
            }
            _ => {
                let mut rig = None;
                for (step, changes) in plan.changes.iter().enumerate() {
                    bar.set_message(format!("sidecar, {changes} changes a second"));
                    let mut line = line(sweep, step, Role::Sidecar, plan.at_listed, *changes);
                    let had = rig.take().map_or_else(|| Rig::start(plan, plan.at_listed), Ok);
                    let outcome = had.and_then(|had| {
                        had.changes(plan, *changes, &mut line)?;
                        // One that failed is not used again.
                        rig = Some(had);
                        Ok(())
                    });
                    done(line, outcome)?;
                }
            }
        }
    }
    bar.finish();
    Ok(())
}

fn module_step(plan: &Plan, line: &mut Line) -> io::Result<()> {
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

/// The processes of a step. All of them end when this is dropped.
struct Rig {
    listed: u32,
    told: u32,
    rosters: RegistryReplicas,
    sidecar: Process,
    _server: Process,
    to_rosters: Vec<FaultProxy>,
    through: SocketAddr,
    direct: SocketAddr,
    management: SocketAddr,
    _folder: tempfile::TempDir,
    _runtime: Runtime,
    // Ends all of them where this process is killed.
    _reaper: ProcessGuard,
}

/// A server as it registers.
fn server(plan: &Plan, i: u32, at: SocketAddr, since_ms: i64) -> Value {
    let mut server = json!({"name": format!("s-{i}"), "address": at, "zone": "a", "type": "m", "group": 1,
        "since_ms": since_ms, "lease_ms": 0});
    if plan.mode == Mode::Services {
        server["service"] = json!(format!("svc-{}", i / OF_SERVICE));
    }
    server
}

impl Rig {
    /// Starts all, and waits until the sidecar has the list.
    fn start(plan: &Plan, listed: u32) -> io::Result<Self> {
        let programs = Programs::find()?;
        let reaper = ProcessGuard::start(&programs.lotusmoor)?;
        let folder = tempfile::tempdir()?;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let mut rosters = RegistryReplicas::new(
            programs.clone(),
            folder.path(),
            runtime.handle().clone(),
            reaper.clone(),
            Timeline::default(),
        );
        rosters.start(REPLICAS, &[])?;
        let (through, direct, management) = (unused_address(), unused_address(), unused_address());
        let mut at = 0;
        for first in (0..listed).step_by(BATCH as usize) {
            let batch = first..listed.min(first + BATCH);
            let servers: Vec<Value> = batch.map(|i| server(plan, i, direct, 0)).collect();
            write(&rosters, &mut at, "POST", "/v1/servers", &json!({"servers": servers}).to_string())?;
        }

        let conduct = serde_json::to_string(&Conduct { work_us: 0, ..Conduct::default() })?;
        let mut command = Command::new(&programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", "s"]);
        command.args(["--listen", &direct.to_string(), "--conduct", &conduct]);
        let log = folder.path().join("server.log");
        let server = Process::start(command, "server", &log, Some(&reaper))?;

        let relays = (0..REPLICAS).map(|r| FaultProxy::start(runtime.handle(), rosters.address(r)));
        let to_rosters = relays.collect::<io::Result<Vec<FaultProxy>>>()?;
        let addresses: Vec<SocketAddr> = to_rosters.iter().map(|r| r.address).collect();
        let mut roster = json!({"addresses": addresses, "file": folder.path().join("sidecar.list")});
        if plan.mode == Mode::Services {
            let services: Vec<String> = (0..SERVICES).map(|s| format!("svc-{s}")).collect();
            roster["services"] = json!(services);
        }
        // Bounds that cut nothing off of what is measured.
        let config = json!({"name": "n0", "listen": through, "discovery": unused_address(),
            "management": management, "seed": format!("{:016x}", crate::chance::mix(plan.seed)),
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 4096},
            "known": {"index": 0, "snapshot": true, "endpoints": []}, "roster": roster,
            "settings": load::settings()});
        let path = folder.path().join("sidecar.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&programs.sidecar);
        command.env_clear().env("LB_CONFIG", &path).env("LB_NAME", "n0");
        let log = folder.path().join("sidecar.log");
        let sidecar = Process::start(command, "sidecar", &log, Some(&reaper))?;

        let told = plan.told(listed);
        let mut rig = Self {
            listed,
            told,
            rosters,
            sidecar,
            _server: server,
            to_rosters,
            through,
            direct,
            management,
            _folder: folder,
            _runtime: runtime,
            _reaper: reaper,
        };
        let mut ended = None;
        let has_list = until(|| {
            ended = rig.sidecar.exit_status();
            ended.is_some() || rig.list().is_some_and(|(_, servers)| servers == told)
        });
        if let Some(status) = ended {
            return Err(rig.failed(&format!("the sidecar has ended: {status}")));
        }
        if !has_list {
            let has = rig.list().map_or_else(|| "nothing".to_owned(), |(_, n)| format!("{n} servers"));
            return Err(rig.failed(&format!("the sidecar has {has} of {told}")));
        }
        let up = |at: SocketAddr, path: &str| load::once(at, path).is_ok_and(|status| status == 200);
        if !until(|| up(direct, "/alive") && up(through, "/up")) {
            return Err(rig.failed("the sidecar or its server is not up"));
        }
        std::thread::sleep(SETTLE);
        Ok(rig)
    }

    fn failed(&self, what: &str) -> io::Error {
        let said = self.sidecar.log_text();
        io::Error::other(format!("{what}; its last line: {}", said.lines().last().unwrap_or("none")))
    }

    /// Index and length of the sidecar's list, as it tells its operators.
    fn list(&self) -> Option<(u64, u32)> {
        let mut stream = TcpStream::connect(self.management).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(b"list\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let value = |key: &str| {
            let rest = answer.split_once(key)?.1;
            rest.split_whitespace().next()
        };
        let index = value("version=")?.rsplit('/').next()?.parse().ok()?;
        Some((index, value("servers=")?.parse().ok()?))
    }

    /// Bytes that the sidecar and the replicas have exchanged.
    fn wire_bytes(&self) -> u64 {
        self.to_rosters.iter().map(FaultProxy::bytes_forwarded).sum()
    }

    /// Changes so many servers a second, of the first `of` in turn; `changed` hears the index of each and when it was
    /// acknowledged. Gives how many were changed.
    fn change(
        &self,
        plan: &Plan,
        rate: f64,
        of: u32,
        mut changed: impl FnMut(u64, Instant),
    ) -> io::Result<u32> {
        let (begun, mut made, mut at) = (Instant::now(), 0, 0);
        loop {
            let due = Duration::from_secs_f64(f64::from(made) / rate);
            if due >= plan.length {
                return Ok(made);
            }
            std::thread::sleep(due.saturating_sub(begun.elapsed()));
            // As if its process had started anew.
            let server = server(plan, made % of.max(1), self.direct, now_micros() / 1000);
            let path = format!("/v1/servers/s-{}", made % of.max(1));
            let index = write(&self.rosters, &mut at, "PUT", &path, &server.to_string())?;
            changed(index, Instant::now());
            made += 1;
        }
    }

    /// What steady changes cost, for as long as the plan says. Nobody looks at the sidecar's list meanwhile.
    fn steady(&self, plan: &Plan, rate: f64, line: &mut Line) -> io::Result<()> {
        let id = self.sidecar.id();
        let (wire, file, begun) = (self.wire_bytes(), written(id)?, Instant::now());
        let (cpu, made) = std::thread::scope(|scope| {
            let changes = scope.spawn(|| self.change(plan, rate, self.listed, |_, _| {}));
            let cpu = Cpu::over(id, plan.length);
            (cpu, changes.join().unwrap_or_else(|_| Err(io::Error::other("the changing thread failed"))))
        });
        let each = 1.0 / begun.elapsed().as_secs_f64();
        let (cpu, made) = (cpu?, made?);
        line.set("cpu_us_per_s", cpu.as_secs_f64() * 1e6 / plan.length.as_secs_f64());
        line.set("wire_bytes_per_s", (self.wire_bytes() - wire) as f64 * each);
        line.set("file_bytes_per_s", written(id)?.saturating_sub(file) as f64 * each);
        line.set("writes_per_s", f64::from(made) * each);
        Ok(())
    }

    /// A step of the list's length.
    fn listed(&self, plan: &Plan, line: &mut Line) -> io::Result<()> {
        let id = self.sidecar.id();
        line.set("entries", f64::from(self.told));
        for (name, kb) in [("rss_bytes", load::resident_kb(id)), ("rss_bytes_max", load::peak_kb(id))] {
            line.set(name, kb.map_or(f64::NAN, |kb| kb as f64 * 1024.0));
        }
        let idle = Cpu::over(id, plan.length)?;
        line.set("idle_cpu_us_per_s", idle.as_secs_f64() * 1e6 / plan.length.as_secs_f64());
        self.steady(plan, STEADY, line)?;
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

    /// A step of the rate of changes: first what it costs, then how soon a change is in force.
    fn changes(&self, plan: &Plan, rate: f64, line: &mut Line) -> io::Result<()> {
        line.set("entries", f64::from(self.told));
        self.steady(plan, rate, line)?;
        let in_force = self.in_force(plan, rate)?;
        for (name, q) in [("in_force_ms_p50", 0.5), ("in_force_ms_p99", 0.99), ("in_force_ms_max", 1.0)] {
            line.set(name, in_force.value_at_quantile(q) as f64 / 1000.0);
        }
        Ok(())
    }

    /// From a change's acknowledgement until the sidecar's own list has it, in microseconds. Only servers that it is
    /// told of are changed.
    fn in_force(&self, plan: &Plan, rate: f64) -> io::Result<Histogram<u64>> {
        let mut all =
            Histogram::new_with_bounds(1, WAIT_TIMEOUT.as_micros() as u64, 3).map_err(io::Error::other)?;
        let waiting: Mutex<Vec<(u64, Instant)>> = Mutex::default();
        let lock = || waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let over = AtomicBool::new(false);
        let changed = std::thread::scope(|scope| {
            let changes = scope.spawn(|| {
                let changed = self.change(plan, rate, self.told, |index, at| lock().push((index, at)));
                over.store(true, Ordering::Release);
                changed
            });
            let mut told = Instant::now();
            while told.elapsed() < WAIT_TIMEOUT {
                let (was_over, seen) = (over.load(Ordering::Acquire), self.list());
                let now = Instant::now();
                let mut waiting = lock();
                if let Some((index, _)) = seen {
                    waiting.retain(|(wanted, at)| {
                        let waits = *wanted > index;
                        if !waits {
                            all.saturating_record((now - *at).as_micros() as u64);
                        }
                        waits
                    });
                }
                if waiting.is_empty() {
                    told = now;
                    if was_over {
                        break;
                    }
                }
                drop(waiting);
                std::thread::sleep(LOOK);
            }
            changes.join().unwrap_or_else(|_| Err(io::Error::other("the changing thread failed")))
        })?;
        if all.len() == u64::from(changed) {
            Ok(all)
        } else {
            Err(self.failed(&format!("the sidecar has heard of {} of {changed} changes", all.len())))
        }
    }
}

/// Writes to the roster, at the replica that took the last write or else the next; gives the list's index then.
fn write(
    rosters: &RegistryReplicas,
    at: &mut usize,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<u64> {
    let (begun, mut said) = (Instant::now(), String::new());
    while begun.elapsed() < WAIT_TIMEOUT {
        match call(rosters.address(*at), method, path, body, Duration::from_secs(5)) {
            Ok(answer) if answer.status == 200 => return Ok(answer.body["index"].as_u64().unwrap_or(0)),
            // Nothing will change about that.
            Ok(answer) if (400..500).contains(&answer.status) && answer.status != 429 => {
                said = format!("{} {}", answer.status, answer.body);
                break;
            }
            Ok(answer) => said = format!("{} {}", answer.status, answer.body),
            Err(error) => said = error.to_string(),
        }
        *at = (*at + 1) % rosters.count();
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other(format!("the roster does not take {method} {path}: {said}")))
}
