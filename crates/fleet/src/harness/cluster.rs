//! A cluster of real processes: sidecars, servers, discovery, a relay on each link between them, and clients.

use super::check::{Ask, Attempt, Away, Broken, Cold, History, Send, Stranger, check};
use super::clients::{Clients, Traffic, counts};
use super::ledger::{CONDUCT, Conduct, Noted};
use super::list::{LIST, Listed, SILENT, Told};
use super::process::{Process, Programs};
use super::reaper::Reaper;
use super::relay::{Link, Relay};
use super::rosters::Rosters;
use super::wait::{LONG, Timeline, until};
use super::{clock, unused_address};
use lotusmoor_faults::{FaultTable, Rule, TABLE_VARIABLE};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::runtime::Runtime;

mod hand_over;
mod operators;
mod told;
mod troubles;

pub use operators::{OperatorCall, PendingCall};
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

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Sidecars.
    pub sidecars: usize,
    /// Servers.
    pub servers: usize,
    /// Names of the zones; sidecars and servers are dealt out to them in turn.
    pub zones: Vec<String>,
    /// How servers behave at first.
    pub conduct: Conduct,
    /// Requests that a server works on at a time.
    pub cores: usize,
    /// The settings object of the sidecars, without their own place in it.
    pub settings: Value,
    /// Replicas of a roster, which takes the stand-in discovery's place; 0 for none. With one, sidecars reach
    /// servers at their own addresses, as a roster has one for each server.
    pub rosters: usize,
    /// System calls of sidecars can be made to fail, and their wall clocks to step.
    pub faults: bool,
    /// Calls that fail from the start of each sidecar on, where they can.
    pub fails: Vec<Rule>,
    /// Sidecars listen on sockets that are passed on to them, so that new processes can take over.
    pub passed: bool,
    /// How much later than a rule's figure something may be, in microseconds: what the machine itself may add.
    pub slack: i64,
    /// Fixes ids, classes and everything else that is drawn.
    pub seed: u64,
}

impl Shape {
    /// Servers that answer at once, in three zones, with classes of each kind and the figures of the site's own rules.
    pub fn plain(sidecars: usize, servers: usize, rosters: usize, seed: u64) -> Self {
        let lane = |name: &str, effect: &str, aim: i64| {
            json!({"Name": name, "AimUs": aim, "DeadlineUs": 2_000_000, "Effect": effect, "DedupScope": "all",
                "KeyTtlUs": 7_500_000, "Worth": 1.0})
        };
        let lanes = [
            lane("look", "pure", 400_000),
            lane("pay", "token", 1_000_000),
            lane("book", "side_effect", 1_000_000),
        ];
        let settings = json!({
            "Discovery": "pushed", "WeightSource": "rough", "TickUs": 1000, "CountedBy": "request", "Lanes": lanes,
            "Limits": {"DialTimeoutUs": 150_000, "IdleCloseUs": 10_000_000, "MaxAttempts": 5,
                "MaxRetryAfterUs": 2_500_000, "MayCancel": true, "MayDuplicate": false, "Peers": false,
                "Probes": true, "RetryAfter": true},
            "Rules": {"AnswerSlackUs": 20_000, "AskWithinUs": 10_000_000, "ColdShare": 0.12,
                "DrainGraceUs": 2_000_000, "OverloadFactor": 3.0, "TipAfterUs": 3_000_000,
                "WarmWithinUs": 23_000_000},
        });
        let zones = ["a", "b", "c"].map(str::to_owned).to_vec();
        let conduct = Conduct::default();
        let (cores, faults, fails, passed, slack) = (64, false, Vec::new(), false, SLACK);
        Self {
            sidecars,
            servers,
            zones,
            conduct,
            cores,
            settings,
            rosters,
            faults,
            fails,
            passed,
            slack,
            seed,
        }
    }

    /// What a cold server bears, by the settings and what a warm one does; none where a request takes no time.
    fn cold(&self) -> Option<Cold> {
        let rules = &self.settings["Rules"];
        Some(Cold {
            per_s: (self.conduct.work_us > 0)
                .then(|| self.cores as f64 * 1e6 / self.conduct.work_us as f64)?,
            factor: rules["OverloadFactor"].as_f64()?,
            window: rules["TipAfterUs"].as_i64()?,
            share: rules["ColdShare"].as_f64()?,
            warm: rules["WarmWithinUs"].as_i64()?,
        })
    }
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

/// How much later than a rule's figure something may be on a slow machine.
const SLACK: i64 = 1_000_000;

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

    // ---- Servers ----

    fn start_server(&mut self, i: usize) -> Result<(), ClusterError> {
        let conduct = serde_json::to_string(&self.shape.conduct).map_err(io::Error::from)?;
        let server = &mut self.servers[i];
        let mut command = Command::new(&self.programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", &server.name]);
        command.args(["--listen", &server.address.to_string(), "--conduct", &conduct]);
        command.args(["--cores", &self.shape.cores.to_string()]).arg("--notes").arg(&server.notes);
        let log = self.folder.path().join(format!("server-{i}.log"));
        server.process = Some(Process::start(command, &format!("server {i}"), &log, Some(&self.reaper))?);
        let address = server.address;
        self.wait(&format!("server {i} is up"), || TcpStream::connect(address).is_ok())
    }

    /// A server's process is killed: its connections are reset.
    pub fn kill_server(&mut self, i: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {i} killed"));
        let server = &mut self.servers[i];
        server.away_since.get_or_insert_with(clock);
        if let Some(mut process) = server.process.take() {
            process.kill()?;
        }
        Ok(())
    }

    /// It starts again, and the list says so.
    pub fn restart_server(&mut self, i: usize) -> Result<(), ClusterError> {
        let started = clock();
        self.start_server(i)?;
        self.timeline.note(format!("server {i} back, cold"));
        let server = &mut self.servers[i];
        server.since_ms = started / 1000;
        self.history.starts.push((i, started));
        if let Some(since) = server.away_since.take() {
            self.history.servers_away.push(Away { number: i, span: (since, clock()) });
        }
        self.set_status(i, "active")
    }

    /// A server stands still, with its connections open.
    pub fn hold_server(&mut self, i: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {i} held"));
        let server = &mut self.servers[i];
        server.away_since.get_or_insert_with(clock);
        server.process.as_ref().map_or(Ok(()), Process::hold)?;
        Ok(())
    }

    /// It goes on.
    pub fn let_server_go_on(&mut self, i: usize) -> Result<(), ClusterError> {
        let server = &mut self.servers[i];
        server.process.as_ref().map_or(Ok(()), Process::go_on)?;
        // What it wrote down late is late by no more than what it takes to come to itself.
        if let Some(since) = server.away_since.take() {
            self.history.servers_away.push(Away { number: i, span: (since, clock() + SLACK) });
        }
        self.timeline.note(format!("server {i} goes on"));
        Ok(())
    }

    /// A server behaves like this from now on.
    pub fn set_conduct(&self, i: usize, conduct: &Conduct) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {i} behaves as {conduct:?}"));
        post(self.servers[i].address, CONDUCT, conduct)?;
        Ok(())
    }

    /// What a server has been seen to get so far.
    pub fn seen_by(&self, i: usize) -> Result<usize, ClusterError> {
        let notes: Vec<Noted> = lines(&self.servers[i].notes)?;
        Ok(notes.iter().filter(|n| matches!(n, Noted::Seen(_))).count())
    }

    // ---- The list ----

    /// The list says this of a server from now on: `active`, `leaving` or `left`.
    pub fn set_status(&mut self, i: usize, status: &'static str) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {i} listed {status}"));
        self.servers[i].status = status;
        self.list(&[i])
    }

    /// Puts servers on the roster, as they are now; gives the version that has it.
    fn put_on_roster(&self, i: usize) -> Result<u64, ClusterError> {
        let server = &self.servers[i];
        let zone = &self.shape.zones[server.zone];
        let path = format!("/v1/servers/{}", server.name);
        let (method, path, body) = match server.status {
            "leaving" => ("POST", format!("{path}/drain"), String::new()),
            "left" => ("DELETE", path, String::new()),
            _ => {
                let body = json!({"address": server.address, "zone": zone, "type": "m", "group": 1,
                    "since_ms": server.since_ms, "lease_ms": 0});
                ("PUT", path, body.to_string())
            }
        };
        let mut said = String::new();
        for turn in 0..200 {
            let at = turn % self.rosters.count();
            match self.rosters.call(at, method, &path, &body) {
                Ok(answer) if answer.status == 200 => {
                    return Ok(answer.body["index"].as_u64().unwrap_or(0));
                }
                Ok(answer) => said = format!("{} {}", answer.status, answer.body),
                Err(error) => said = error.to_string(),
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(self.failed(format!("the roster does not take {path}: {said}")))
    }

    /// The version of the list that a sidecar has, as it tells its operators; `None` where it does not answer.
    pub fn version_of(&self, sidecar: usize) -> Option<u64> {
        let line = self.manage(sidecar, "list")?;
        line.split_once("version=")?.1.split([' ', '/']).nth(1)?.parse().ok()
    }

    /// The link between a sidecar and a replica of the roster.
    pub fn roster_link(&self, sidecar: usize, replica: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to replica {}: {link:?}", replica + 1));
        self.sidecars[sidecar].to_rosters[replica].set(link);
    }

    /// Bytes that a sidecar and the replicas have exchanged.
    pub fn roster_bytes(&self, sidecar: usize) -> u64 {
        self.sidecars[sidecar].to_rosters.iter().map(Relay::bytes).sum()
    }

    /// How many sidecars there are.
    pub fn sidecars(&self) -> usize {
        self.sidecars.len()
    }

    /// What a sidecar wrote.
    pub fn sidecar_said(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("sidecar-{i}.log"))).unwrap_or_default()
    }

    /// The process id of a sidecar.
    pub fn sidecar_pid(&self, i: usize) -> Option<u32> {
        self.sidecars[i].process.as_ref().map(Process::id)
    }

    fn list(&mut self, which: &[usize]) -> Result<(), ClusterError> {
        if self.shape.rosters > 0 {
            for i in which {
                let index = self.put_on_roster(*i)?;
                self.discovery.changes.push((index, clock(), *i, self.servers[*i].status != "active"));
            }
            return Ok(());
        }
        let entry = |i: &usize| {
            let server = &self.servers[*i];
            Listed {
                name: server.name.clone(),
                zone: self.shape.zones[server.zone].clone(),
                status: server.status.to_owned(),
                since_ms: server.since_ms,
                addresses: self.sidecars.iter().map(|s| s.to_servers[*i].address).collect(),
            }
        };
        let entries: Vec<Listed> = which.iter().map(entry).collect();
        let control = self.discovery.control;
        self.wait("discovery is up", || TcpStream::connect(control).is_ok())?;
        let index: u64 = post(control, LIST, &entries)?
            .trim()
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let now = clock();
        let gone = |i: &usize| (index, now, *i, self.servers[*i].status != "active");
        self.discovery.changes.extend(which.iter().map(gone));
        Ok(())
    }

    /// Discovery answers nobody, or does again.
    pub fn silence_discovery(&self, silent: bool) -> Result<(), ClusterError> {
        self.timeline.note(format!("discovery silent: {silent}"));
        post(self.discovery.control, SILENT, &silent)?;
        Ok(())
    }

    /// Waits until every sidecar that is there has been told the newest version.
    pub fn wait_told(&mut self) -> Result<(), ClusterError> {
        let newest = self.discovery.changes.last().map_or(0, |c| c.0);
        let here = |i: &usize| self.sidecars[*i].process.is_some();
        let wanted: Vec<usize> = (0..self.sidecars.len()).filter(here).collect();
        if self.shape.rosters > 0 {
            let mut told = std::mem::take(&mut self.told);
            let all = self.wait("all sidecars are told", || {
                wanted.iter().all(|s| {
                    let version = self.version_of(*s).unwrap_or(0);
                    // It was told no later than it was asked.
                    told.entry((*s, version)).or_insert_with(clock);
                    version >= newest
                })
            });
            self.told = told;
            return all;
        }
        self.wait("all sidecars are told", || {
            let told: Vec<Told> = lines(&self.discovery.notes).unwrap_or_default();
            wanted.iter().all(|s| told.iter().any(|t| t.sidecar == *s && t.index >= newest))
        })
    }

    // ---- Sidecars ----

    /// A sidecar's process starts; it serves when this returns.
    pub fn start_sidecar(&mut self, i: usize) -> Result<(), ClusterError> {
        self.launch_sidecar(i)?;
        let address = self.sidecars[i].address;
        self.wait(&format!("sidecar {i} is up"), || ready(address))?;
        self.sidecar_serves(i, clock());
        Ok(())
    }

    /// Sidecars' processes are killed, and then started, all at once. Gives how long each took from its start to being
    /// ready, in their order.
    pub fn restart_together(&mut self, which: &[usize]) -> Result<Vec<Duration>, ClusterError> {
        which.iter().try_for_each(|i| self.kill_sidecar(*i))?;
        let mut begun = Vec::new();
        for i in which {
            begun.push((clock(), self.sidecars[*i].address));
            self.launch_sidecar(*i)?;
        }
        let when = |(_, address): (i64, SocketAddr)| move || until(|| ready(address)).then(clock);
        let up: Vec<Option<i64>> = std::thread::scope(|scope| {
            let all: Vec<_> = begun.iter().map(|b| scope.spawn(when(*b))).collect();
            all.into_iter().map(|one| one.join().ok().flatten()).collect()
        });
        let mut took = Vec::new();
        for ((i, (begun, _)), up) in which.iter().zip(begun).zip(up) {
            let up = up.ok_or_else(|| self.failed(format!("sidecar {i} never came up")))?;
            self.sidecar_serves(*i, up);
            took.push(Duration::from_micros(u64::try_from(up - begun).unwrap_or(0)));
        }
        Ok(took)
    }

    fn sidecar_serves(&mut self, i: usize, at: i64) {
        if let Some(since) = self.sidecars[i].away_since.take() {
            self.history.sidecars_away.push(Away { number: i, span: (since, at) });
        }
        self.timeline.note(format!("sidecar {i} serves"));
    }

    /// Writes the configuration of a sidecar as it is now.
    fn write_config(&self, i: usize) -> Result<PathBuf, ClusterError> {
        let sidecar = &self.sidecars[i];
        let with_roster = self.shape.rosters > 0;
        let known: Vec<Value> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, s)| s.status == "active")
            .map(|(k, s)| {
                let address = if with_roster { s.address } else { sidecar.to_servers[k].address };
                json!({"name": s.name, "address": address, "zone": self.shape.zones[s.zone],
                    "type": "m", "group": 1, "status": "active", "weight": 1.0, "since_ms": s.since_ms})
            })
            .collect();
        let mut settings = self.shape.settings.clone();
        settings["Balancers"] = json!(self.shape.sidecars);
        settings["Index"] = json!(i);
        settings["Zone"] = json!(self.shape.zones[i % self.shape.zones.len()]);
        settings["Zones"] = json!(self.shape.zones);
        let seed = crate::chance::mix(self.shape.seed ^ i as u64 ^ clock() as u64);
        let mut config = json!({"name": format!("n{i}"), "listen": sidecar.address,
            "discovery": sidecar.to_discovery[sidecar.discovery_way].address, "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": {"index": 0, "snapshot": true, "endpoints": known}, "settings": settings});
        if with_roster {
            let addresses: Vec<SocketAddr> = sidecar.to_rosters.iter().map(|r| r.address).collect();
            let file = self.folder.path().join(format!("sidecar-{i}.list"));
            config["roster"] = json!({"addresses": addresses, "file": file});
            // What it starts with is its file.
            config["known"]["endpoints"] = json!([]);
        }
        if with_roster || self.shape.faults {
            config["management"] = json!(sidecar.management);
        }
        let path = self.folder.path().join(format!("sidecar-{i}.json"));
        std::fs::write(&path, config.to_string())?;
        Ok(path)
    }

    fn launch_sidecar(&mut self, i: usize) -> Result<(), ClusterError> {
        if self.shape.passed {
            // Beside the process before it, which may still run.
            self.sidecars[i].management = unused_address();
        }
        let path = self.write_config(i)?;
        let sidecar = &self.sidecars[i];
        let library = sidecar.faults.as_ref().map(|_| self.programs.fault_library()).transpose()?;
        let (mut command, input) = match &sidecar.passed {
            Some(listener) => hand_over::on_passed_socket(&self.programs.tinflow, listener, library)?,
            None => (Command::new(&self.programs.tinflow), Stdio::null()),
        };
        let passed: Vec<_> =
            command.get_envs().map(|(k, v)| (k.to_owned(), v.map(ToOwned::to_owned))).collect();
        command.env_clear().env("LB_CONFIG", &path).env("LB_NAME", format!("n{i}"));
        command.envs(passed.into_iter().filter_map(|(k, v)| Some((k, v?))));
        if let (Some(table), Some(library)) = (&sidecar.faults, library) {
            if sidecar.passed.is_none() {
                command.env("LD_PRELOAD", library);
            }
            command.env(TABLE_VARIABLE, table.path()).env("LB_LOG", "requests");
        }
        if sidecar.passed.is_some() {
            let kept = self.folder.path().join(format!("sidecar-{i}.kept"));
            std::fs::create_dir_all(&kept)?;
            command.env("TMPDIR", kept);
        }
        let log = self.folder.path().join(format!("sidecar-{i}.log"));
        let process = Process::start_with(command, input, &format!("sidecar {i}"), &log, Some(&self.reaper))?;
        self.sidecars[i].process = Some(process);
        Ok(())
    }

    /// A sidecar's process is killed.
    pub fn kill_sidecar(&mut self, i: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {i} killed"));
        let sidecar = &mut self.sidecars[i];
        sidecar.away_since.get_or_insert_with(clock);
        if let Some(mut process) = sidecar.process.take() {
            process.kill()?;
        }
        if !self.shape.passed {
            self.forget_cordons(i);
        }
        Ok(())
    }

    /// The link between a sidecar and a server is like this from now on.
    pub fn link(&self, sidecar: usize, server: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to server {server}: {link:?}"));
        self.sidecars[sidecar].to_servers[server].set(link);
    }

    /// The link between a sidecar and discovery.
    pub fn discovery_link(&self, sidecar: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to discovery: {link:?}"));
        self.sidecars[sidecar].to_discovery.iter().for_each(|way| way.set(link.clone()));
    }

    /// Resets the connections of a sidecar to a server.
    pub fn reset(&self, sidecar: usize, server: usize) {
        self.sidecars[sidecar].to_servers[server].reset();
    }

    /// Process ids of all children.
    pub fn children(&self) -> Vec<u32> {
        let sidecars = self.sidecars.iter().filter_map(|s| s.process.as_ref());
        let servers = self.servers.iter().filter_map(|s| s.process.as_ref());
        sidecars.chain(servers).chain([&self.discovery.process]).map(Process::id).collect()
    }

    // ---- Clients, and the end ----

    /// Clients begin to ask.
    pub fn ask(&self, traffic: &Traffic) -> Clients {
        let sidecars: Vec<SocketAddr> = self.sidecars.iter().map(|s| s.address).collect();
        self.timeline.note(format!("clients ask {} a second of each sidecar", traffic.rate));
        Clients::start(self.runtime.handle(), &sidecars, traffic)
    }

    /// Clients stop; what everyone saw is read, and checked. Fails if a rule was broken or a sidecar ended by itself.
    pub fn finish(self, clients: Clients) -> Result<History, ClusterError> {
        self.finish_with(clients, Vec::new())
    }

    /// The same, with what strangers saw, over links that were slow by up to so many microseconds.
    pub fn finish_soak(
        mut self,
        clients: Clients,
        strangers: Vec<Stranger>,
        links: i64,
    ) -> Result<History, ClusterError> {
        (self.history.strangers, self.history.links) = (strangers, links);
        self.finish(clients)
    }

    /// The same, with what other clients saw that have stopped already.
    pub fn finish_with(self, clients: Clients, others: Vec<Ask>) -> Result<History, ClusterError> {
        self.timeline.note("clients stop");
        let Some(mut asks) = clients.finish() else {
            return Err(self.failed("clients' requests never ended".into()));
        };
        asks.extend(others);
        self.finish_asked(asks)
    }

    /// The same, with all that clients saw.
    pub fn finish_asked(mut self, asks: Vec<Ask>) -> Result<History, ClusterError> {
        let mut history = std::mem::take(&mut self.history);
        history.asks = asks;
        let open = self.sidecars.iter().enumerate().filter_map(|(i, s)| Some((i, s.away_since?)));
        history
            .sidecars_away
            .extend(open.map(|(number, since)| Away { number, span: (since, i64::MAX / 2) }));
        let open = self.servers.iter().enumerate().filter_map(|(i, s)| Some((i, s.away_since?)));
        history.servers_away.extend(open.map(|(number, since)| Away { number, span: (since, i64::MAX / 2) }));
        // Servers may still be writing down what ended last.
        for i in 0..self.servers.len() {
            if self.servers[i].away_since.is_none() {
                let notes = self.servers[i].notes.clone();
                self.wait(&format!("server {i} is done"), || {
                    lines::<Noted>(&notes)
                        .is_ok_and(|n| pair(i, n).iter().all(|a| a.over.is_some() || dead(&history, a)))
                })?;
            }
            history.attempts.extend(pair(i, lines(&self.servers[i].notes)?));
        }
        if self.shape.rosters > 0 {
            history.take_reads_for_sends();
        } else {
            history.sends = self.sends();
        }
        let told: Vec<Told> = lines(&self.discovery.notes)?;
        let by_roster =
            self.told.iter().map(|((sidecar, index), at)| Told { sidecar: *sidecar, index: *index, at: *at });
        let told: Vec<Told> = told.into_iter().chain(by_roster).collect();
        for (index, at, server, gone) in &self.discovery.changes {
            for sidecar in 0..self.sidecars.len() {
                let first =
                    told.iter().filter(|t| t.sidecar == sidecar && t.index >= *index).map(|t| t.at).min();
                let latest = self.shape.faults.then(|| self.obstacles.told_at_the_latest(sidecar, *at));
                let first = first.into_iter().chain(latest).min();
                let list = if *gone { &mut history.told_gone } else { &mut history.told_back };
                list.extend(first.map(|at| (sidecar, *server, at)));
            }
        }
        for i in 0..self.sidecars.len() {
            let ended = self.sidecars[i].process.as_mut().and_then(Process::ended);
            if let Some(status) = ended {
                return Err(self.failed(format!("sidecar {i} ended by itself: {status}")));
            }
        }
        let broken: Vec<Broken> = check(&history);
        if !broken.is_empty() {
            let first: Vec<String> =
                broken.iter().take(12).map(|b| format!("{b}\n{}", self.path_of(&history, &b.id))).collect();
            let all = super::check::counts(&broken);
            return Err(self.failed(format!(
                "rules broken: {all:?}\n{}\n{:?}",
                first.join("\n"),
                counts(&history.asks)
            )));
        }
        Ok(history)
    }
}

impl Cluster {
    /// Requests as they left sidecars, by the relays behind them.
    fn sends(&self) -> Vec<Send> {
        let of_relay = |sidecar: usize, server: usize, relay: &Relay| {
            relay.sent().into_iter().map(move |sent| Send { sidecar, server, sent })
        };
        let of_sidecar = |(sidecar, s): (usize, &Sidecar)| {
            let relays = s.to_servers.iter().enumerate();
            relays.flat_map(|(server, relay)| of_relay(sidecar, server, relay)).collect::<Vec<_>>()
        };
        self.sidecars.iter().enumerate().flat_map(of_sidecar).collect()
    }

    /// All that was seen of a request: its client's view, its attempts, and the lines of logs that name it.
    fn path_of(&self, history: &History, id: &str) -> String {
        let mut path = String::new();
        let began = self.timeline.began();
        for ask in history.asks.iter().filter(|a| a.id == id) {
            path.push_str(&format!("  at {:.3} s: {ask:?}\n", (ask.sent - began) as f64 / 1e6));
        }
        for send in history.sends.iter().filter(|s| s.sent.id == id) {
            path.push_str(&format!("  {send:?}\n"));
        }
        for attempt in history.attempts.iter().filter(|a| a.seen.id == id) {
            path.push_str(&format!("  {attempt:?}\n"));
        }
        for sidecar in 0..self.sidecars.len() {
            let said = self.sidecar_said(sidecar);
            for line in said.lines().filter(|line| line.contains(id)) {
                path.push_str(&format!("  sidecar {sidecar}: {line}\n"));
            }
        }
        path
    }
}

fn table(folder: &Path, sidecar: usize, fails: &[Rule]) -> io::Result<FaultTable> {
    let path = folder.join(format!("sidecar-{sidecar}.faults"));
    let other = |e: lotusmoor_faults::TableError| io::Error::other(e.to_string());
    let table = FaultTable::create(&path).map_err(other)?;
    fails.iter().try_for_each(|rule| table.arm(*rule).map(drop).map_err(other))?;
    Ok(table)
}

/// Whether an attempt belongs to a process of its server that is no more.
fn dead(history: &History, attempt: &Attempt) -> bool {
    let away = |a: &Away| a.number == attempt.server && attempt.seen.came.1 <= a.span.1;
    history.servers_away.iter().any(away)
}

/// What a server wrote down, each request with its end.
fn pair(server: usize, notes: Vec<Noted>) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut at = std::collections::HashMap::new();
    for note in notes {
        match note {
            Noted::Seen(seen) => {
                at.insert(seen.number, attempts.len());
                attempts.push(Attempt { server, seen, over: None });
            }
            Noted::Over(over) => {
                if let Some(i) = at.get(&over.number) {
                    attempts[*i].over = Some(over);
                }
            }
        }
    }
    attempts
}

/// Lines of JSON; one that a kill has torn is left out.
fn lines<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(error) => return Err(error),
    };
    Ok(text.split(|b| *b == b'\n').filter_map(|line| serde_json::from_slice(line).ok()).collect())
}

fn call(at: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(5))?;
    stream.set_read_timeout(Some(LONG))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

fn status_of(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

fn get(at: SocketAddr, path: &str) -> io::Result<u16> {
    let answer = call(at, &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))?;
    Ok(status_of(&answer))
}

/// Whether a sidecar says that it is ready.
fn ready(at: SocketAddr) -> bool {
    get(at, "/up").is_ok_and(|status| status == 200)
}

fn post(at: SocketAddr, path: &str, value: &impl Serialize) -> io::Result<String> {
    let body = serde_json::to_string(value)?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let answer = call(at, &(head + &body))?;
    if status_of(&answer) != 200 {
        return Err(io::Error::new(io::ErrorKind::InvalidData, answer));
    }
    Ok(answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned())
}
