//! Servers of a cluster, and the list that tells sidecars of them.

use super::super::backend::{BackendEvent, CONDUCT_PATH, Conduct};
use super::super::check::Outage;
use super::super::discovery::{DeliveredVersion, ENTRIES_PATH, SILENT_PATH, ServerEntry};
use super::super::process::Process;
use super::config::SLACK;
use super::fake_services::{lines, post};
use super::{Cluster, ClusterError, now_micros};
use serde_json::json;
use std::io;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

impl Cluster {
    pub(super) fn start_server(&mut self, i: usize) -> Result<(), ClusterError> {
        let conduct = serde_json::to_string(&self.config.conduct).map_err(io::Error::from)?;
        let server = &mut self.servers[i];
        // The process before it has the address until it has ended.
        drop(server.process.take());
        let mut command = Command::new(&self.programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", &server.name]);
        command.args(["--listen", &server.address.to_string(), "--conduct", &conduct]);
        command.args(["--cores", &self.config.cores.to_string()]).arg("--notes").arg(&server.records);
        let log = self.folder.path().join(format!("server-{i}.log"));
        server.process =
            Some(Process::start(command, &format!("server {i}"), &log, Some(&self.process_guard))?);
        let address = server.address;
        self.wait(&format!("server {i} is up"), || TcpStream::connect(address).is_ok())
    }

    /// A server's process is killed: its connections are reset.
    pub fn kill_server(&mut self, i: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {i} killed"));
        let server = &mut self.servers[i];
        server.unavailable_since.get_or_insert_with(now_micros);
        if let Some(mut process) = server.process.take() {
            process.kill()?;
        }
        Ok(())
    }

    /// It starts again, and the list says so.
    pub fn restart_server(&mut self, i: usize) -> Result<(), ClusterError> {
        let started = now_micros();
        self.start_server(i)?;
        self.timeline.note(format!("server {i} back, cold"));
        let server = &mut self.servers[i];
        server.since_ms = started / 1000;
        self.history.server_starts.push((i, started));
        if let Some(since) = server.unavailable_since.take() {
            self.history.server_outages.push(Outage { instance: i, span: (since, now_micros()) });
        }
        self.set_status(i, "active")
    }

    /// A server stands still, with its connections open.
    pub fn pause_server(&mut self, i: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {i} held"));
        let server = &mut self.servers[i];
        server.unavailable_since.get_or_insert_with(now_micros);
        server.process.as_ref().map_or(Ok(()), Process::pause)?;
        Ok(())
    }

    /// It goes on.
    pub fn resume_server(&mut self, i: usize) -> Result<(), ClusterError> {
        let server = &mut self.servers[i];
        server.process.as_ref().map_or(Ok(()), Process::resume)?;
        // What it wrote down late is late by no more than what it takes to come to itself.
        if let Some(since) = server.unavailable_since.take() {
            self.history.server_outages.push(Outage { instance: i, span: (since, now_micros() + SLACK) });
        }
        self.timeline.note(format!("server {i} goes on"));
        Ok(())
    }

    /// A server behaves like this from now on.
    pub fn set_conduct(&self, i: usize, conduct: &Conduct) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {i} behaves as {conduct:?}"));
        post(self.servers[i].address, CONDUCT_PATH, conduct)?;
        Ok(())
    }

    /// What a server has been seen to get so far.
    pub fn requests_received_by(&self, i: usize) -> Result<usize, ClusterError> {
        let notes: Vec<BackendEvent> = lines(&self.servers[i].records)?;
        Ok(notes.iter().filter(|n| matches!(n, BackendEvent::Received(_))).count())
    }

    // ---- The list ----

    /// The list says this of a server from now on: `active`, `leaving` or `left`.
    pub fn set_status(&mut self, i: usize, status: &'static str) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {i} listed {status}"));
        self.servers[i].status = status;
        self.publish(&[i])
    }

    /// Puts servers on the roster, as they are now; gives the version that has it.
    fn update_registry(&self, i: usize) -> Result<u64, ClusterError> {
        let server = &self.servers[i];
        let zone = &self.config.zones[server.zone];
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
            let at = turn % self.registry.count();
            match self.registry.call(at, method, &path, &body) {
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

    pub(super) fn publish(&mut self, which: &[usize]) -> Result<(), ClusterError> {
        if self.config.registry_replicas > 0 {
            for i in which {
                let index = self.update_registry(*i)?;
                self.discovery.changes.push((index, now_micros(), *i, self.servers[*i].status != "active"));
            }
            return Ok(());
        }
        let entry = |i: &usize| {
            let server = &self.servers[*i];
            ServerEntry {
                name: server.name.clone(),
                zone: self.config.zones[server.zone].clone(),
                status: server.status.to_owned(),
                since_ms: server.since_ms,
                addresses: self.sidecars.iter().map(|s| s.server_proxies[*i].address).collect(),
            }
        };
        let entries: Vec<ServerEntry> = which.iter().map(entry).collect();
        let control = self.discovery.control;
        self.wait("discovery is up", || TcpStream::connect(control).is_ok())?;
        let index: u64 = post(control, ENTRIES_PATH, &entries)?
            .trim()
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let now = now_micros();
        let gone = |i: &usize| (index, now, *i, self.servers[*i].status != "active");
        self.discovery.changes.extend(which.iter().map(gone));
        Ok(())
    }

    /// Discovery answers nobody, or does again.
    pub fn set_discovery_silent(&self, silent: bool) -> Result<(), ClusterError> {
        self.timeline.note(format!("discovery silent: {silent}"));
        post(self.discovery.control, SILENT_PATH, &silent)?;
        Ok(())
    }

    /// Waits until every sidecar that is there has been told the newest version.
    pub fn wait_until_notified(&mut self) -> Result<(), ClusterError> {
        let newest = self.discovery.changes.last().map_or(0, |c| c.0);
        let here = |i: &usize| self.sidecars[*i].process.is_some();
        let wanted: Vec<usize> = (0..self.sidecars.len()).filter(here).collect();
        if self.config.registry_replicas > 0 {
            let mut told = std::mem::take(&mut self.notified);
            let all = self.wait("all sidecars are told", || {
                wanted.iter().all(|s| {
                    let version = self.list_version(*s).unwrap_or(0);
                    // It was told no later than it was asked.
                    told.entry((*s, version)).or_insert_with(now_micros);
                    version >= newest
                })
            });
            self.notified = told;
            return all;
        }
        self.wait("all sidecars are told", || {
            let told: Vec<DeliveredVersion> = lines(&self.discovery.records).unwrap_or_default();
            wanted.iter().all(|s| told.iter().any(|t| t.sidecar == *s && t.index >= newest))
        })
    }
}
