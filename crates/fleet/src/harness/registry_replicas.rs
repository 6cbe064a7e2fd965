//! Replicas of a roster as real processes, with a relay on each way from one to another.

use super::fault_proxy::{FaultProxy, Link};
use super::process::{Process, Programs};
use super::process_guard::ProcessGuard;
use super::unused_address;
use super::wait::{Timeline, until};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;

/// The program of a replica. Versions differ in the command that serves.
#[derive(Clone, Debug)]
pub struct RegistryProgram {
    /// The command line.
    pub path: PathBuf,
    /// Its subcommand for the registry.
    pub subcommand: String,
}

/// A replica.
struct Replica {
    id: u64,
    listen: SocketAddr,
    folder: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Process>>,
    program: Mutex<RegistryProgram>,
    /// Its way to each other replica, by number.
    proxies: BTreeMap<u64, FaultProxy>,
    /// What it is started with beside that.
    arguments: Mutex<Vec<String>>,
    /// The fault table that it is started with.
    faults: Mutex<Option<PathBuf>>,
}

/// Replicas of a roster. They end when this is dropped.
pub struct RegistryReplicas {
    programs: Programs,
    folder: PathBuf,
    runtime: Handle,
    process_guard: ProcessGuard,
    /// What was done when.
    pub timeline: Timeline,
    replicas: Vec<Replica>,
}

/// An answer: its status, its headers as they came, and its body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub head: String,
    /// The body, `null` where it is no JSON.
    pub body: Value,
}

fn lock<V>(of: &Mutex<V>) -> MutexGuard<'_, V> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Answer {
    /// The time to come again, in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        let line = self.head.lines().find(|l| l.to_ascii_lowercase().starts_with("retry-after:"))?;
        line.split_once(':')?.1.trim().parse().ok()
    }
}

impl RegistryReplicas {
    /// None yet.
    pub fn new(
        programs: Programs,
        folder: &Path,
        runtime: Handle,
        process_guard: ProcessGuard,
        timeline: Timeline,
    ) -> Self {
        let folder = folder.to_owned();
        Self { programs, folder, runtime, process_guard, timeline, replicas: Vec::new() }
    }

    /// Starts so many: the first founds a list, the others are taken in. Returns once all vote.
    pub fn start(&mut self, count: usize, arguments: &[&str]) -> io::Result<()> {
        for _ in 0..count {
            self.add(arguments)?;
        }
        let all = until(|| self.status(0).is_some_and(|s| voter_count(&s) == count));
        if all { Ok(()) } else { Err(io::Error::other(format!("not all vote\n{}", self.logs()))) }
    }

    /// Starts a further one, with a number that no other had.
    pub fn add(&mut self, arguments: &[&str]) -> io::Result<usize> {
        let program =
            RegistryProgram { path: self.programs.lotusmoor.clone(), subcommand: "registry".to_owned() };
        self.add_with_program(program, arguments)
    }

    /// The same with a program of the caller's.
    pub fn add_with_program(&mut self, program: RegistryProgram, arguments: &[&str]) -> io::Result<usize> {
        let (at, id) = (self.replicas.len(), self.replicas.len() as u64 + 1);
        let listen = unused_address();
        let mut proxies = BTreeMap::new();
        for other in &mut self.replicas {
            proxies.insert(other.id, FaultProxy::start(&self.runtime, other.listen)?);
        }
        let folder = self.folder.join(format!("roster-{id}"));
        let log = self.folder.join(format!("roster-{id}.log"));
        let arguments = Mutex::new(arguments.iter().map(|a| (*a).to_owned()).collect());
        let (process, program, faults) = (Mutex::default(), Mutex::new(program), Mutex::default());
        self.replicas.push(Replica { id, listen, folder, log, process, program, proxies, arguments, faults });
        // Those who were there before learn the way to it at their next start; until then they go straight there.
        self.start_replica(at)?;
        let up = until(|| self.call(at, "GET", "/up", "").is_ok_and(|a| a.status == 200));
        if !up {
            return Err(io::Error::other(format!("replica {id} is not up\n{}", self.logs())));
        }
        let member = until(|| self.status(at).is_some_and(|s| s["epoch"].as_u64() > Some(0)));
        if member {
            Ok(at)
        } else {
            Err(io::Error::other(format!("replica {id} has no list\n{}", self.logs())))
        }
    }

    /// Starts all anew, one after the other, so that each goes through relays to all others.
    pub fn restart_with_proxies(&mut self) -> io::Result<()> {
        for at in 0..self.replicas.len() {
            for other in 0..self.replicas.len() {
                let (id, listen) = (self.replicas[other].id, self.replicas[other].listen);
                if other != at && !self.replicas[at].proxies.contains_key(&id) {
                    let relay = FaultProxy::start(&self.runtime, listen)?;
                    self.replicas[at].proxies.insert(id, relay);
                }
            }
            self.kill(at)?;
            self.start_replica(at)?;
            if !until(|| self.leader().is_some() && self.status(at).is_some_and(|s| s["leader"].is_u64())) {
                return Err(io::Error::other(format!("nobody leads\n{}", self.logs())));
            }
        }
        Ok(())
    }

    /// Starts one that does not run, with the folder that it had.
    pub fn start_replica(&self, at: usize) -> io::Result<()> {
        let join = self.replicas.iter().enumerate().find(|(i, _)| *i != at).map(|(_, r)| r.listen);
        let first = at == 0;
        let r = &self.replicas[at];
        self.timeline.note(format!("replica {} starts", r.id));
        let program = lock(&r.program).clone();
        let mut command = Command::new(&program.path);
        command.args(["--log", "info,openraft=error", &program.subcommand, "serve"]);
        command.args(["--id", &r.id.to_string()]);
        command.args(["--listen", &r.listen.to_string(), "--folder"]).arg(&r.folder);
        for (id, relay) in &r.proxies {
            command.args(["--via", &format!("{id}={}", relay.address)]);
        }
        // The first founds the list, once; from then on nobody does.
        if let Some(join) = join.filter(|_| !first || r.folder.exists()) {
            command.args(["--join", &join.to_string()]);
        }
        command.args(&*lock(&r.arguments));
        if let Some(table) = &*lock(&r.faults) {
            self.programs.preload(&mut command, table)?;
        }
        *lock(&r.process) =
            Some(Process::start(command, &format!("roster {}", r.id), &r.log, Some(&self.process_guard))?);
        Ok(())
    }

    /// Which program one runs from its next start on.
    pub fn set_program(&self, at: usize, program: RegistryProgram) {
        *lock(&self.replicas[at].program) = program;
    }

    /// What one is started with from its next start on.
    pub fn set_arguments(&self, at: usize, arguments: &[&str]) {
        *lock(&self.replicas[at].arguments) = arguments.iter().map(|a| (*a).to_owned()).collect();
    }

    /// From its next start on, one's system calls fail as that table says.
    pub fn set_faults(&self, at: usize, table: &Path) {
        *lock(&self.replicas[at].faults) = Some(table.to_owned());
    }

    /// Kills one.
    pub fn kill(&self, at: usize) -> io::Result<()> {
        let r = &self.replicas[at];
        self.timeline.note(format!("replica {} killed", r.id));
        if let Some(mut process) = lock(&r.process).take() {
            process.kill()?;
        }
        Ok(())
    }

    /// One stands still.
    pub fn pause(&self, at: usize) -> io::Result<()> {
        self.timeline.note(format!("replica {} held", self.replicas[at].id));
        lock(&self.replicas[at].process).as_ref().map_or(Ok(()), Process::pause)
    }

    /// It goes on.
    pub fn resume(&self, at: usize) -> io::Result<()> {
        self.timeline.note(format!("replica {} goes on", self.replicas[at].id));
        lock(&self.replicas[at].process).as_ref().map_or(Ok(()), Process::resume)
    }

    /// Whether one has ended by itself.
    pub fn has_exited(&self, at: usize) -> bool {
        lock(&self.replicas[at].process).as_mut().is_some_and(|p| p.exit_status().is_some())
    }

    /// The process id of one.
    pub fn pid(&self, at: usize) -> Option<u32> {
        lock(&self.replicas[at].process).as_ref().map(Process::id)
    }

    /// The way from one replica to another is like this from now on.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        let (id, other) = (self.replicas[from].id, self.replicas[to].id);
        self.timeline.note(format!("way of replica {id} to {other}: {link:?}"));
        if let Some(relay) = self.replicas[from].proxies.get(&other) {
            relay.set_link(link);
        }
    }

    /// Nothing passes between one replica and the others, or all does again.
    pub fn set_isolated(&self, at: usize, cut: bool) {
        for other in (0..self.replicas.len()).filter(|o| *o != at) {
            for (from, to) in [(at, other), (other, at)] {
                self.set_link(from, to, if cut { Link::cut() } else { Link::default() });
            }
        }
    }

    /// Where one listens.
    pub fn address(&self, at: usize) -> SocketAddr {
        self.replicas[at].listen
    }

    /// Where one's file lies.
    pub fn database_file(&self, at: usize) -> PathBuf {
        self.replicas[at].folder.join("roster.redb")
    }

    /// How many there are, running or not.
    pub fn count(&self) -> usize {
        self.replicas.len()
    }

    /// What one wrote.
    pub fn log_text(&self, at: usize) -> String {
        std::fs::read_to_string(&self.replicas[at].log).unwrap_or_default()
    }

    /// What all wrote, the last lines.
    pub fn logs(&self) -> String {
        let mut all = String::new();
        for at in 0..self.replicas.len() {
            let said = self.log_text(at);
            let tail: Vec<&str> = said.lines().rev().take(25).collect();
            all.push_str(&format!("--- replica {}, last lines first\n{}\n", at + 1, tail.join("\n")));
        }
        all
    }

    /// One's own view of things.
    pub fn status(&self, at: usize) -> Option<Value> {
        let answer = self.call(at, "GET", "/v1/status", "").ok()?;
        (answer.status == 200).then_some(answer.body)
    }

    /// The one that leads, as it says itself.
    pub fn leader(&self) -> Option<usize> {
        let running = (0..self.replicas.len()).filter(|at| lock(&self.replicas[*at].process).is_some());
        running.into_iter().find(|at| {
            self.status(*at).is_some_and(|s| {
                s["leader"].is_u64() && s["leader"] == s["id"] && s["age_ms"].as_i64() < Some(2000)
            })
        })
    }

    /// Calls one. The connection is closed after the answer.
    pub fn call(&self, at: usize, method: &str, path: &str, body: &str) -> io::Result<Answer> {
        call(self.replicas[at].listen, method, path, body, Duration::from_secs(10))
    }
}

/// Voters, as a status has them; 0 while who belongs is being changed.
pub fn voter_count(status: &Value) -> usize {
    if status["joint"] == true {
        return 0;
    }
    status["replicas"].as_array().map_or(0, |all| all.iter().filter(|r| r["votes"] == true).count())
}

/// One HTTP call.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str, patience: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(patience))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let text = String::from_utf8_lossy(&answer);
    let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = serde_json::from_str(body).unwrap_or(Value::Null);
    Ok(Answer { status, head: head.to_owned(), body })
}
