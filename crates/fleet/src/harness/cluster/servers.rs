//! Servers of a cluster, and the list by which sidecars are notified of them.

use super::super::backend::{BackendEvent, CONDUCT_PATH, Conduct};
use super::super::check::Outage;
use super::super::discovery::{DeliveredVersion, ENTRIES_PATH, SILENT_PATH, ServerEntry};
use super::super::process::Process;
use super::config::SLACK_US;
use super::fake_services::{post, read_records};
use super::{Cluster, ClusterError, now_micros};
use serde_json::json;
use std::io;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

impl Cluster {
    pub(super) fn start_server(&mut self, number: usize) -> Result<(), ClusterError> {
        let conduct = serde_json::to_string(&self.config.conduct).map_err(io::Error::from)?;
        let server = &mut self.servers[number];
        // The previous process holds the address until it has ended.
        drop(server.process.take());
        let mut command = Command::new(&self.programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", &server.name]);
        command.args(["--listen", &server.address.to_string(), "--conduct", &conduct]);
        command.args(["--cores", &self.config.cores.to_string()]).arg("--notes").arg(&server.records);
        let log = self.folder.path().join(format!("server-{number}.log"));
        server.process =
            Some(Process::start(command, &format!("server {number}"), &log, Some(&self.process_guard))?);
        let address = server.address;
        self.wait(&format!("server {number} is up"), || TcpStream::connect(address).is_ok())
    }

    /// Kills the process of a server; its connections are reset.
    pub fn kill_server(&mut self, number: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {number} killed"));
        let server = &mut self.servers[number];
        server.unavailable_since.get_or_insert_with(now_micros);
        if let Some(mut process) = server.process.take() {
            process.kill()?;
        }
        Ok(())
    }

    /// Starts a server again after a kill, and lists it as active with its new start time.
    pub fn restart_server(&mut self, number: usize) -> Result<(), ClusterError> {
        let started = now_micros();
        self.start_server(number)?;
        self.timeline.note(format!("server {number} restarted, warming up"));
        let server = &mut self.servers[number];
        server.started_ms = started / 1000;
        self.history.server_starts.push((number, started));
        if let Some(since) = server.unavailable_since.take() {
            self.history.server_outages.push(Outage { instance: number, span: (since, now_micros()) });
        }
        self.set_status(number, "active")
    }

    /// Pauses a server (SIGSTOP); its connections stay open.
    pub fn pause_server(&mut self, number: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {number} paused"));
        let server = &mut self.servers[number];
        server.unavailable_since.get_or_insert_with(now_micros);
        server.process.as_ref().map_or(Ok(()), Process::pause)?;
        Ok(())
    }

    /// Resumes a server (SIGCONT).
    pub fn resume_server(&mut self, number: usize) -> Result<(), ClusterError> {
        let server = &mut self.servers[number];
        server.process.as_ref().map_or(Ok(()), Process::resume)?;
        // Until it has fully resumed, the server may still record events late; `SLACK_US` allows for that.
        if let Some(since) = server.unavailable_since.take() {
            self.history
                .server_outages
                .push(Outage { instance: number, span: (since, now_micros() + SLACK_US) });
        }
        self.timeline.note(format!("server {number} resumed"));
        Ok(())
    }

    /// Changes how a server behaves.
    pub fn set_conduct(&self, number: usize, conduct: &Conduct) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {number} behaves as {conduct:?}"));
        post(self.servers[number].address, CONDUCT_PATH, conduct)?;
        Ok(())
    }

    /// The number of requests that a server has recorded as received so far.
    pub fn requests_received_by(&self, number: usize) -> Result<usize, ClusterError> {
        let events: Vec<BackendEvent> = read_records(&self.servers[number].records)?;
        Ok(events.iter().filter(|e| matches!(e, BackendEvent::Received(_))).count())
    }

    // ---- The endpoint list ----

    /// Sets the status of a server in the list: `active`, `leaving` or `left`.
    pub fn set_status(&mut self, number: usize, status: &'static str) -> Result<(), ClusterError> {
        self.timeline.note(format!("server {number} listed {status}"));
        self.servers[number].status = status;
        self.publish(&[number])
    }

    /// Writes the present state of a server to the registry; returns the version of the list that has it.
    fn update_registry(&self, number: usize) -> Result<u64, ClusterError> {
        let server = &self.servers[number];
        let zone = &self.config.zones[server.zone];
        let path = format!("/v1/servers/{}", server.name);
        let (method, path, body) = match server.status {
            "leaving" => ("POST", format!("{path}/drain"), String::new()),
            "left" => ("DELETE", path, String::new()),
            _ => {
                let body = json!({"address": server.address, "zone": zone, "type": "m", "group": 1,
                    "since_ms": server.started_ms, "lease_ms": 0});
                ("PUT", path, body.to_string())
            }
        };
        let mut last_error = String::new();
        for attempt in 0..200 {
            let replica = attempt % self.registry.count();
            match self.registry.call(replica, method, &path, &body) {
                Ok(answer) if answer.status == 200 => {
                    return Ok(answer.body["index"].as_u64().unwrap_or(0));
                }
                Ok(answer) => last_error = format!("{} {}", answer.status, answer.body),
                Err(error) => last_error = error.to_string(),
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(self.failed(format!("the registry does not accept {path}: {last_error}")))
    }

    /// Publishes the present state of servers in the list, and records the version that has it.
    pub(super) fn publish(&mut self, which: &[usize]) -> Result<(), ClusterError> {
        if self.config.registry_replicas > 0 {
            for number in which {
                let index = self.update_registry(*number)?;
                self.discovery.changes.push((
                    index,
                    now_micros(),
                    *number,
                    self.servers[*number].status != "active",
                ));
            }
            return Ok(());
        }
        let entry = |number: &usize| {
            let server = &self.servers[*number];
            ServerEntry {
                name: server.name.clone(),
                zone: self.config.zones[server.zone].clone(),
                status: server.status.to_owned(),
                since_ms: server.started_ms,
                addresses: self.sidecars.iter().map(|s| s.server_proxies[*number].address).collect(),
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
        let change = |number: &usize| (index, now, *number, self.servers[*number].status != "active");
        self.discovery.changes.extend(which.iter().map(change));
        Ok(())
    }

    /// Makes discovery stop answering, or answer again.
    pub fn set_discovery_silent(&self, silent: bool) -> Result<(), ClusterError> {
        self.timeline.note(format!("discovery silent: {silent}"));
        post(self.discovery.control, SILENT_PATH, &silent)?;
        Ok(())
    }

    /// Waits until every running sidecar has been notified of the newest version of the list.
    pub fn wait_until_notified(&mut self) -> Result<(), ClusterError> {
        let newest = self.discovery.changes.last().map_or(0, |c| c.0);
        let running = |number: &usize| self.sidecars[*number].process.is_some();
        let wanted: Vec<usize> = (0..self.sidecars.len()).filter(running).collect();
        if self.config.registry_replicas > 0 {
            let mut notified = std::mem::take(&mut self.notified);
            let result = self.wait("all sidecars are notified", || {
                wanted.iter().all(|s| {
                    let version = self.list_version(*s).unwrap_or(0);
                    // An upper bound: the sidecar was notified at some time before it answered this call.
                    notified.entry((*s, version)).or_insert_with(now_micros);
                    version >= newest
                })
            });
            self.notified = notified;
            return result;
        }
        self.wait("all sidecars are notified", || {
            let delivered: Vec<DeliveredVersion> = read_records(&self.discovery.records).unwrap_or_default();
            wanted.iter().all(|s| delivered.iter().any(|d| d.sidecar == *s && d.index >= newest))
        })
    }
}
