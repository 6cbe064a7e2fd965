//! The life of a replica of the roster with its file: it founds a list, takes writes, is killed and started again, takes
//! more, and is told to stop. What it has acknowledged is there in the end, and it is of use again by itself.

use super::{CallCounts, Case};
use crate::harness::rosters::call;
use crate::harness::{Process, Programs, reaper::Reaper, until, unused_address};
use lotusmoor_faults::{Call, FaultTable};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// A replica whose fault has passed is of use again within this.
const OF_USE_WITHIN: Duration = Duration::from_secs(20);
/// From one try of a call to the next.
const PAUSE: Duration = Duration::from_millis(20);
/// Servers that are written before it is killed, and after that.
const BEFORE: std::ops::Range<usize> = 0..6;
const AFTER: std::ops::Range<usize> = 6..9;

/// Why a play failed.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// Something of the machine's.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// What it owed was not had.
    #[error("{what}\n{log}")]
    Failed {
        /// What.
        what: String,
        /// The last lines of its log.
        log: String,
    },
}

struct Replica {
    programs: Programs,
    reaper: Reaper,
    listen: SocketAddr,
    folder: tempfile::TempDir,
    table: FaultTable,
    process: Process,
}

/// Plays the life; with a case, that call fails. Gives the calls that were made.
pub fn run_replica_scenario(case: Option<&Case>) -> Result<CallCounts, ReplicaError> {
    let programs = Programs::find()?;
    let reaper = Reaper::start(&programs.lotusmoor)?;
    let folder = tempfile::tempdir()?;
    let other = |e: lotusmoor_faults::TableError| std::io::Error::other(e.to_string());
    let table = FaultTable::create(&folder.path().join("faults")).map_err(other)?;
    if let Some(case) = case {
        table.arm(case.rule()).map_err(other)?;
    }
    let listen = unused_address();
    let process = start(&programs, &reaper, listen, &folder, &table)?;
    let mut replica = Replica { programs, reaper, listen, folder, table, process };
    let mut owed = BTreeSet::new();
    replica.writes(BEFORE, &mut owed)?;
    replica.does("DELETE", &name(0))?;
    owed.remove(&name(0));
    replica.process.kill()?;
    replica.process = start(&replica.programs, &replica.reaper, listen, &replica.folder, &replica.table)?;
    replica.holds(&owed, &name(0))?;
    replica.writes(AFTER, &mut owed)?;
    replica.holds(&owed, &name(0))?;
    replica.end()
}

fn name(number: usize) -> String {
    format!("s-{number}")
}

fn start(
    programs: &Programs,
    reaper: &Reaper,
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
    Process::start(command, "replica", &log_of(folder), Some(reaper))
}

fn log_of(folder: &tempfile::TempDir) -> PathBuf {
    folder.path().join("log")
}

impl Replica {
    fn failed(&self, what: String) -> ReplicaError {
        let said = self.process.said();
        let mut tail: Vec<&str> = said.lines().rev().take(30).collect();
        tail.reverse();
        ReplicaError::Failed { what, log: tail.join("\n") }
    }

    /// Makes a call until it holds, while the process lives.
    fn comes(&mut self, what: &str, holds: impl Fn(SocketAddr) -> bool) -> Result<(), ReplicaError> {
        let began = Instant::now();
        while !holds(self.listen) {
            if let Some(status) = self.process.ended() {
                return Err(self.failed(format!("it ended by itself, {status}, before {what}")));
            }
            if began.elapsed() > OF_USE_WITHIN {
                return Err(self.failed(format!("it never came that {what}")));
            }
            std::thread::sleep(PAUSE);
        }
        Ok(())
    }

    /// A change of a server is acknowledged.
    fn does(&mut self, method: &str, server: &str) -> Result<(), ReplicaError> {
        let body = match method {
            "PUT" => json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string(),
            _ => String::new(),
        };
        let path = format!("/v1/servers/{server}");
        let done = |at: SocketAddr| {
            let answer = call(at, method, &path, &body, PATIENCE);
            // A change that was not answered may have been made all the same.
            answer.is_ok_and(|a| a.status == 200 || method == "DELETE" && a.status == 404)
        };
        self.comes(&format!("{method} {server} is taken"), done)
    }

    fn writes(
        &mut self,
        servers: std::ops::Range<usize>,
        owed: &mut BTreeSet<String>,
    ) -> Result<(), ReplicaError> {
        for number in servers {
            self.does("PUT", &name(number))?;
            owed.insert(name(number));
        }
        Ok(())
    }

    /// It lists all that it owes, and not what was taken out.
    fn holds(&mut self, owed: &BTreeSet<String>, gone: &str) -> Result<(), ReplicaError> {
        let names = |at: SocketAddr| -> Option<BTreeSet<String>> {
            let answer = call(at, "GET", "/v1/list?consistent=true", "", PATIENCE).ok()?;
            let list = answer.body["endpoints"].as_array().filter(|_| answer.status == 200)?.clone();
            Some(list.iter().filter_map(|e| Some(e["name"].as_str()?.to_owned())).collect())
        };
        self.comes("it lists its servers", |at| names(at).is_some())?;
        let listed = names(self.listen);
        let whole = |listed: &BTreeSet<String>| owed.is_subset(listed) && !listed.contains(gone);
        match listed {
            // The fault may begin with this very call.
            None => self.comes("it lists what it owes", |at| names(at).is_some_and(|n| whole(&n))),
            Some(listed) if whole(&listed) => Ok(()),
            Some(listed) => {
                Err(self.failed(format!("it owes {owed:?} without {gone}, and lists {listed:?}")))
            }
        }
    }

    /// It ends as it is told.
    fn end(mut self) -> Result<CallCounts, ReplicaError> {
        let calls = Call::ALL.iter().map(|call| self.table.calls(*call).unwrap_or(0)).collect();
        self.process.tell_to_stop()?;
        let mut status = None;
        until(|| {
            status = self.process.ended();
            status.is_some()
        });
        match status {
            Some(status) if status.success() => Ok(CallCounts(calls)),
            other => Err(self.failed(format!("told to stop, it ended as {other:?}"))),
        }
    }
}
