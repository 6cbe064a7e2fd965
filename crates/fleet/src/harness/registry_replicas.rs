//! Registry replicas as real processes, with a fault proxy on the link from each replica to each other one.

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

/// The program of a replica. Older versions have another subcommand for the registry.
#[derive(Clone, Debug)]
pub struct RegistryProgram {
    /// The path of the command-line program.
    pub path: PathBuf,
    /// The subcommand for the registry.
    pub subcommand: String,
}

/// One replica, running or not.
struct Replica {
    id: u64,
    address: SocketAddr,
    folder: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Process>>,
    program: Mutex<RegistryProgram>,
    /// Its links to the other replicas, by their ids.
    proxies: BTreeMap<u64, FaultProxy>,
    /// Further command-line arguments.
    arguments: Mutex<Vec<String>>,
    /// The table of system-call faults that it is started with.
    faults: Mutex<Option<PathBuf>>,
}

/// The replicas of one registry. They are killed when this is dropped.
pub struct RegistryReplicas {
    programs: Programs,
    folder: PathBuf,
    runtime: Handle,
    process_guard: ProcessGuard,
    /// The timeline of the run.
    pub timeline: Timeline,
    replicas: Vec<Replica>,
}

/// An answer of a replica.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The head, as received.
    pub head: String,
    /// The body, `null` if it is not JSON.
    pub body: Value,
}

fn lock<V>(mutex: &Mutex<V>) -> MutexGuard<'_, V> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Answer {
    /// The value of the `Retry-After` header, in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        let line = self.head.lines().find(|l| l.to_ascii_lowercase().starts_with("retry-after:"))?;
        line.split_once(':')?.1.trim().parse().ok()
    }
}

impl RegistryReplicas {
    /// Creates the set, without replicas.
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

    /// Starts `count` replicas: the first bootstraps the registry, the others join it. Returns once all are voters.
    pub fn start(&mut self, count: usize, arguments: &[&str]) -> io::Result<()> {
        for _ in 0..count {
            self.add(arguments)?;
        }
        let all = until(|| self.status(0).is_some_and(|s| voter_count(&s) == count));
        if all {
            Ok(())
        } else {
            Err(io::Error::other(format!("not all replicas became voters\n{}", self.logs())))
        }
    }

    /// Starts another replica, with an id that no other had; returns its position.
    pub fn add(&mut self, arguments: &[&str]) -> io::Result<usize> {
        let program =
            RegistryProgram { path: self.programs.lotusmoor.clone(), subcommand: "registry".to_owned() };
        self.add_with_program(program, arguments)
    }

    /// Like [`Self::add`], with the given program.
    pub fn add_with_program(&mut self, program: RegistryProgram, arguments: &[&str]) -> io::Result<usize> {
        let (index, id) = (self.replicas.len(), self.replicas.len() as u64 + 1);
        let address = unused_address();
        let mut proxies = BTreeMap::new();
        for other in &mut self.replicas {
            proxies.insert(other.id, FaultProxy::start(&self.runtime, other.address)?);
        }
        let folder = self.folder.join(format!("roster-{id}"));
        let log = self.folder.join(format!("roster-{id}.log"));
        let arguments = Mutex::new(arguments.iter().map(|a| (*a).to_owned()).collect());
        let (process, program, faults) = (Mutex::default(), Mutex::new(program), Mutex::default());
        self.replicas.push(Replica {
            id,
            address,
            folder,
            log,
            process,
            program,
            proxies,
            arguments,
            faults,
        });
        // Earlier replicas reach it through a proxy only from their next start on, and directly until then.
        self.start_replica(index)?;
        let up = until(|| self.call(index, "GET", "/up", "").is_ok_and(|a| a.status == 200));
        if !up {
            return Err(io::Error::other(format!("replica {id} did not come up\n{}", self.logs())));
        }
        let member = until(|| self.status(index).is_some_and(|s| s["epoch"].as_u64() > Some(0)));
        if member {
            Ok(index)
        } else {
            Err(io::Error::other(format!("replica {id} did not join the registry\n{}", self.logs())))
        }
    }

    /// Restarts all replicas, one after the other, so that each reaches all others through proxies.
    pub fn restart_with_proxies(&mut self) -> io::Result<()> {
        for index in 0..self.replicas.len() {
            for other in 0..self.replicas.len() {
                let (id, address) = (self.replicas[other].id, self.replicas[other].address);
                if other != index && !self.replicas[index].proxies.contains_key(&id) {
                    let proxy = FaultProxy::start(&self.runtime, address)?;
                    self.replicas[index].proxies.insert(id, proxy);
                }
            }
            self.kill(index)?;
            self.start_replica(index)?;
            if !until(|| self.leader().is_some() && self.status(index).is_some_and(|s| s["leader"].is_u64()))
            {
                return Err(io::Error::other(format!("no leader was elected\n{}", self.logs())));
            }
        }
        Ok(())
    }

    /// Starts a replica that is not running, with the data folder that it had.
    pub fn start_replica(&self, index: usize) -> io::Result<()> {
        let join = self.replicas.iter().enumerate().find(|(i, _)| *i != index).map(|(_, r)| r.address);
        let first = index == 0;
        let r = &self.replicas[index];
        self.timeline.note(format!("replica {} starts", r.id));
        let program = lock(&r.program).clone();
        let mut command = Command::new(&program.path);
        command.args(["--log", "info,openraft=error", &program.subcommand, "serve"]);
        command.args(["--id", &r.id.to_string()]);
        command.args(["--listen", &r.address.to_string(), "--folder"]).arg(&r.folder);
        for (id, proxy) in &r.proxies {
            command.args(["--via", &format!("{id}={}", proxy.address)]);
        }
        // Only the first start of the first replica bootstraps the registry; all others join it.
        if let Some(join) = join.filter(|_| !first || r.folder.exists()) {
            command.args(["--join", &join.to_string()]);
        }
        command.args(&*lock(&r.arguments));
        if let Some(table) = &*lock(&r.faults) {
            self.programs.preload(&mut command, table)?;
        }
        *lock(&r.process) =
            Some(Process::start(command, &format!("replica {}", r.id), &r.log, Some(&self.process_guard))?);
        Ok(())
    }

    /// Sets the program that a replica runs from its next start on.
    pub fn set_program(&self, index: usize, program: RegistryProgram) {
        *lock(&self.replicas[index].program) = program;
    }

    /// Sets the further command-line arguments of a replica from its next start on.
    pub fn set_arguments(&self, index: usize, arguments: &[&str]) {
        *lock(&self.replicas[index].arguments) = arguments.iter().map(|a| (*a).to_owned()).collect();
    }

    /// Makes the system calls of a replica fail as the table says, from its next start on.
    pub fn set_faults(&self, index: usize, table: &Path) {
        *lock(&self.replicas[index].faults) = Some(table.to_owned());
    }

    /// Kills a replica.
    pub fn kill(&self, index: usize) -> io::Result<()> {
        let r = &self.replicas[index];
        self.timeline.note(format!("replica {} killed", r.id));
        if let Some(mut process) = lock(&r.process).take() {
            process.kill()?;
        }
        Ok(())
    }

    /// Pauses a replica (SIGSTOP).
    pub fn pause(&self, index: usize) -> io::Result<()> {
        self.timeline.note(format!("replica {} paused", self.replicas[index].id));
        lock(&self.replicas[index].process).as_ref().map_or(Ok(()), Process::pause)
    }

    /// Resumes a replica (SIGCONT).
    pub fn resume(&self, index: usize) -> io::Result<()> {
        self.timeline.note(format!("replica {} resumed", self.replicas[index].id));
        lock(&self.replicas[index].process).as_ref().map_or(Ok(()), Process::resume)
    }

    /// Whether a replica has ended by itself.
    pub fn has_exited(&self, index: usize) -> bool {
        lock(&self.replicas[index].process).as_mut().is_some_and(|p| p.exit_status().is_some())
    }

    /// The process id of a replica, if it is running.
    pub fn pid(&self, index: usize) -> Option<u32> {
        lock(&self.replicas[index].process).as_ref().map(Process::id)
    }

    /// Sets the conditions of the link from one replica to another.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        let (id, other) = (self.replicas[from].id, self.replicas[to].id);
        self.timeline.note(format!("link of replica {id} to {other}: {link:?}"));
        if let Some(proxy) = self.replicas[from].proxies.get(&other) {
            proxy.set_link(link);
        }
    }

    /// Cuts a replica off from the others in both directions, or restores its links.
    pub fn set_isolated(&self, index: usize, cut: bool) {
        for other in (0..self.replicas.len()).filter(|o| *o != index) {
            for (from, to) in [(index, other), (other, index)] {
                self.set_link(from, to, if cut { Link::cut() } else { Link::default() });
            }
        }
    }

    /// The address at which a replica listens.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.replicas[index].address
    }

    /// The path of the database file of a replica.
    pub fn database_file(&self, index: usize) -> PathBuf {
        self.replicas[index].folder.join("roster.redb")
    }

    /// The number of replicas, running or not.
    pub fn count(&self) -> usize {
        self.replicas.len()
    }

    /// The log of a replica.
    pub fn log_text(&self, index: usize) -> String {
        std::fs::read_to_string(&self.replicas[index].log).unwrap_or_default()
    }

    /// The last lines of the logs of all replicas.
    pub fn logs(&self) -> String {
        let mut all = String::new();
        for index in 0..self.replicas.len() {
            let log = self.log_text(index);
            let tail: Vec<&str> = log.lines().rev().take(25).collect();
            all.push_str(&format!("--- replica {}, last lines first\n{}\n", index + 1, tail.join("\n")));
        }
        all
    }

    /// The answer of a replica to `/v1/status`.
    pub fn status(&self, index: usize) -> Option<Value> {
        let answer = self.call(index, "GET", "/v1/status", "").ok()?;
        (answer.status == 200).then_some(answer.body)
    }

    /// The running replica that reports itself as leader.
    pub fn leader(&self) -> Option<usize> {
        let running = (0..self.replicas.len()).filter(|index| lock(&self.replicas[*index].process).is_some());
        running.into_iter().find(|index| {
            self.status(*index).is_some_and(|s| {
                s["leader"].is_u64() && s["leader"] == s["id"] && s["age_ms"].as_i64() < Some(2000)
            })
        })
    }

    /// Calls a replica. The connection is closed after the answer.
    pub fn call(&self, index: usize, method: &str, path: &str, body: &str) -> io::Result<Answer> {
        call(self.replicas[index].address, method, path, body, Duration::from_secs(10))
    }
}

/// The number of voters in a status; 0 during a membership change.
pub fn voter_count(status: &Value) -> usize {
    if status["joint"] == true {
        return 0;
    }
    status["replicas"].as_array().map_or(0, |all| all.iter().filter(|r| r["votes"] == true).count())
}

/// Makes one HTTP call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(timeout))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
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
