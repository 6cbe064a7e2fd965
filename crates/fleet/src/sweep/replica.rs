//! The scenario of a registry replica with its store: it bootstraps a list, acknowledges writes, is killed and started
//! again, acknowledges more writes, and is told to stop. All that it acknowledged must be listed at the end, and it
//! must recover from a fault by itself.

use super::{CallCounts, Case};
use crate::harness::registry_replicas::call;
use crate::harness::{Process, Programs, process_guard::ProcessGuard, until, unused_address};
use lotusmoor_faults::{Call, FaultTable};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

/// How long a call waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time within which a replica recovers from a fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// The delay before a call is made again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Servers that are registered before the replica is killed.
const SERVERS_BEFORE_KILL: std::ops::Range<usize> = 0..6;
/// Servers that are registered after that.
const SERVERS_AFTER_KILL: std::ops::Range<usize> = 6..9;

/// Why a run of the scenario failed.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// An I/O error of the test environment.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The replica did not do what it should.
    #[error("{what}\n{log}")]
    Failed {
        /// What was expected, or what happened instead.
        what: String,
        /// The last lines of the replica's log.
        log: String,
    },
}

struct Replica {
    programs: Programs,
    process_guard: ProcessGuard,
    listen: SocketAddr,
    folder: tempfile::TempDir,
    table: FaultTable,
    process: Process,
}

/// Runs the scenario, with the system calls of the case failing, if there is one. Returns the number of system calls.
pub fn run_replica_scenario(case: Option<&Case>) -> Result<CallCounts, ReplicaError> {
    let programs = Programs::find()?;
    let process_guard = ProcessGuard::start(&programs.lotusmoor)?;
    let folder = tempfile::tempdir()?;
    let to_io_error = |e: lotusmoor_faults::TableError| std::io::Error::other(e.to_string());
    let table = FaultTable::create(&folder.path().join("faults")).map_err(to_io_error)?;
    if let Some(case) = case {
        table.arm(case.rule()).map_err(to_io_error)?;
    }
    let listen = unused_address();
    let process = start(&programs, &process_guard, listen, &folder, &table)?;
    let mut replica = Replica { programs, process_guard, listen, folder, table, process };
    let mut acknowledged = BTreeSet::new();
    replica.write_all(SERVERS_BEFORE_KILL, &mut acknowledged)?;
    replica.write("DELETE", &server_name(0))?;
    acknowledged.remove(&server_name(0));
    replica.process.kill()?;
    replica.process =
        start(&replica.programs, &replica.process_guard, listen, &replica.folder, &replica.table)?;
    replica.check_list(&acknowledged, &server_name(0))?;
    replica.write_all(SERVERS_AFTER_KILL, &mut acknowledged)?;
    replica.check_list(&acknowledged, &server_name(0))?;
    replica.finish()
}

fn server_name(number: usize) -> String {
    format!("s-{number}")
}

fn start(
    programs: &Programs,
    process_guard: &ProcessGuard,
    listen: SocketAddr,
    folder: &tempfile::TempDir,
    table: &FaultTable,
) -> std::io::Result<Process> {
    let mut command = Command::new(&programs.lotusmoor);
    command.args([
        "--log",
        "info,openraft=error",
        "roster",
        "serve",
        "--listen",
        &listen.to_string(),
        "--folder",
    ]);
    command.arg(folder.path().join("store"));
    programs.preload(&mut command, table.path())?;
    Process::start(command, "replica", &log_of(folder), Some(process_guard))
}

fn log_of(folder: &tempfile::TempDir) -> PathBuf {
    folder.path().join("log")
}

impl Replica {
    fn failed(&self, what: String) -> ReplicaError {
        let log = self.process.log_text();
        let mut tail: Vec<&str> = log.lines().rev().take(30).collect();
        tail.reverse();
        ReplicaError::Failed { what, log: tail.join("\n") }
    }

    /// Waits until a condition holds, as long as the process runs.
    fn wait_until(&mut self, what: &str, condition: impl Fn(SocketAddr) -> bool) -> Result<(), ReplicaError> {
        let started_at = Instant::now();
        while !condition(self.listen) {
            if let Some(status) = self.process.exit_status() {
                return Err(self.failed(format!("the replica exited by itself ({status}) before {what}")));
            }
            if started_at.elapsed() > RECOVERY_TIMEOUT {
                return Err(self.failed(format!("timed out waiting until {what}")));
            }
            std::thread::sleep(RETRY_DELAY);
        }
        Ok(())
    }

    /// Makes a change to a server, repeatedly until it is acknowledged.
    fn write(&mut self, method: &str, server: &str) -> Result<(), ReplicaError> {
        let body = match method {
            "PUT" => json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string(),
            _ => String::new(),
        };
        let path = format!("/v1/servers/{server}");
        let is_acknowledged = |at: SocketAddr| {
            let answer = call(at, method, &path, &body, CALL_TIMEOUT);
            // An earlier attempt without an answer may have been applied: the server is gone then.
            answer.is_ok_and(|a| a.status == 200 || method == "DELETE" && a.status == 404)
        };
        self.wait_until(&format!("{method} {server} is acknowledged"), is_acknowledged)
    }

    fn write_all(
        &mut self,
        servers: std::ops::Range<usize>,
        acknowledged: &mut BTreeSet<String>,
    ) -> Result<(), ReplicaError> {
        for number in servers {
            self.write("PUT", &server_name(number))?;
            acknowledged.insert(server_name(number));
        }
        Ok(())
    }

    /// Checks that the list has all acknowledged servers, and not the removed one.
    fn check_list(&mut self, acknowledged: &BTreeSet<String>, removed: &str) -> Result<(), ReplicaError> {
        let listed_names = |at: SocketAddr| -> Option<BTreeSet<String>> {
            let answer = call(at, "GET", "/v1/list?consistent=true", "", CALL_TIMEOUT).ok()?;
            let list = answer.body["endpoints"].as_array().filter(|_| answer.status == 200)?.clone();
            Some(list.iter().filter_map(|e| Some(e["name"].as_str()?.to_owned())).collect())
        };
        self.wait_until("the replica returns its list", |at| listed_names(at).is_some())?;
        let listed = listed_names(self.listen);
        let is_complete =
            |listed: &BTreeSet<String>| acknowledged.is_subset(listed) && !listed.contains(removed);
        match listed {
            // Repeated, as the fault may have hit this call.
            None => self
                .wait_until("the list is complete", |at| listed_names(at).is_some_and(|n| is_complete(&n))),
            Some(listed) if is_complete(&listed) => Ok(()),
            Some(listed) => Err(self
                .failed(format!("expected {acknowledged:?} without {removed}, but the list is {listed:?}"))),
        }
    }

    /// Tells the replica to stop, and checks that it exits with success.
    fn finish(mut self) -> Result<CallCounts, ReplicaError> {
        let calls = Call::ALL.iter().map(|call| self.table.calls(*call).unwrap_or(0)).collect();
        self.process.terminate()?;
        let mut status = None;
        until(|| {
            status = self.process.exit_status();
            status.is_some()
        });
        match status {
            Some(status) if status.success() => Ok(CallCounts(calls)),
            status => {
                Err(self.failed(format!("told to stop, the replica did not exit with success: {status:?}")))
            }
        }
    }
}
