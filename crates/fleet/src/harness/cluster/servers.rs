//! Servers of a cluster, and the list that tells sidecars of them.

use super::super::check::Away;
use super::super::ledger::{CONDUCT, Conduct, Noted};
use super::super::list::{LIST, Listed, SILENT, Told};
use super::super::process::Process;
use super::shape::SLACK;
use super::stand_in::{lines, post};
use super::{Cluster, ClusterError, clock};
use serde_json::json;
use std::io;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

impl Cluster {
    pub(super) fn start_server(&mut self, i: usize) -> Result<(), ClusterError> {
        let conduct = serde_json::to_string(&self.shape.conduct).map_err(io::Error::from)?;
        let server = &mut self.servers[i];
        // The process before it has the address until it has ended.
        drop(server.process.take());
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

    pub(super) fn list(&mut self, which: &[usize]) -> Result<(), ClusterError> {
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
}
