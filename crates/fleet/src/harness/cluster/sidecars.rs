//! Sidecars of a cluster: their configurations, their processes, and their links.

use super::super::check::Outage;
use super::super::fault_proxy::{FaultProxy, Link};
use super::super::process::Process;
use super::super::wait::until;
use super::SMALL_BUFFER_BYTES;
use super::fake_services::is_ready;
use super::{Cluster, ClusterError, hand_over, now_micros, unused_address};
use lotusmoor_faults::{SEND_BUFFER_VARIABLE, TABLE_VARIABLE};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

impl Cluster {
    /// The version of the list that a sidecar has, from the management call `list`; `None` if it does not answer.
    pub fn list_version(&self, sidecar: usize) -> Option<u64> {
        let line = self.manage(sidecar, "list")?;
        line.split_once("version=")?.1.split([' ', '/']).nth(1)?.parse().ok()
    }

    /// Sets the conditions of the link between a sidecar and a registry replica.
    pub fn set_registry_link(&self, sidecar: usize, replica: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to replica {}: {link:?}", replica + 1));
        self.sidecars[sidecar].registry_proxies[replica].set_link(link);
    }

    /// Number of bytes that a sidecar and the registry replicas have exchanged.
    pub fn registry_bytes(&self, sidecar: usize) -> u64 {
        self.sidecars[sidecar].registry_proxies.iter().map(FaultProxy::bytes_forwarded).sum()
    }

    /// The number of sidecars.
    pub fn sidecar_count(&self) -> usize {
        self.sidecars.len()
    }

    /// The log of a sidecar.
    pub fn sidecar_log(&self, number: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("sidecar-{number}.log"))).unwrap_or_default()
    }

    /// The process id of a sidecar.
    pub fn sidecar_pid(&self, number: usize) -> Option<u32> {
        self.sidecars[number].process.as_ref().map(Process::id)
    }

    /// Starts a sidecar and waits until it is ready.
    pub fn start_sidecar(&mut self, number: usize) -> Result<(), ClusterError> {
        self.launch_sidecar(number)?;
        let address = self.sidecars[number].address;
        self.wait(&format!("sidecar {number} is up"), || is_ready(address))?;
        self.record_sidecar_ready(number, now_micros());
        Ok(())
    }

    /// Kills sidecars and then starts them, all at once. Returns how long each took from its start until it was ready,
    /// in their order.
    pub fn restart_together(&mut self, which: &[usize]) -> Result<Vec<Duration>, ClusterError> {
        which.iter().try_for_each(|number| self.kill_sidecar(*number))?;
        let mut starts = Vec::new();
        for number in which {
            starts.push((now_micros(), self.sidecars[*number].address));
            self.launch_sidecar(*number)?;
        }
        let ready_at = |(_, address): (i64, SocketAddr)| move || until(|| is_ready(address)).then(now_micros);
        let ready: Vec<Option<i64>> = std::thread::scope(|scope| {
            let all: Vec<_> = starts.iter().map(|s| scope.spawn(ready_at(*s))).collect();
            all.into_iter().map(|one| one.join().ok().flatten()).collect()
        });
        let mut durations = Vec::new();
        for ((number, (started_at, _)), ready_at) in which.iter().zip(starts).zip(ready) {
            let ready_at =
                ready_at.ok_or_else(|| self.failed(format!("sidecar {number} never became ready")))?;
            self.record_sidecar_ready(*number, ready_at);
            durations.push(Duration::from_micros(u64::try_from(ready_at - started_at).unwrap_or(0)));
        }
        Ok(durations)
    }

    /// Records that a sidecar is ready since time `at`, which ends its outage.
    pub(super) fn record_sidecar_ready(&mut self, number: usize, at: i64) {
        if let Some(since) = self.sidecars[number].unavailable_since.take() {
            self.history.sidecar_outages.push(Outage { instance: number, span: (since, at) });
        }
        // Its configuration lists the active servers, also those that became active while discovery was silent.
        let active = self.servers.iter().enumerate().filter(|(_, server)| server.status == "active");
        let notified = active.map(|(server, _)| (number, server, at));
        self.history.notified_available.extend(notified);
        self.timeline.note(format!("sidecar {number} ready"));
    }

    /// Writes the present configuration of a sidecar to its file, and returns the path.
    pub(super) fn write_config(&self, number: usize) -> Result<PathBuf, ClusterError> {
        let sidecar = &self.sidecars[number];
        let with_registry = self.config.registry_replicas > 0;
        let known: Vec<Value> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, s)| s.status == "active")
            .map(|(k, s)| {
                let address = if with_registry { s.address } else { sidecar.server_proxies[k].address };
                json!({"name": s.name, "address": address, "zone": self.config.zones[s.zone],
                    "type": "m", "group": 1, "status": "active", "weight": 1.0, "since_ms": s.started_ms})
            })
            .collect();
        let mut settings = self.config.settings.clone();
        settings["Balancers"] = json!(self.config.sidecars);
        settings["Index"] = json!(number);
        settings["Zone"] = json!(self.config.zones[number % self.config.zones.len()]);
        settings["Zones"] = json!(self.config.zones);
        let seed = crate::chance::mix(self.config.seed ^ number as u64 ^ now_micros() as u64);
        let mut config = json!({"name": format!("n{number}"), "listen": sidecar.address,
            "discovery": sidecar.discovery_proxies[sidecar.discovery_proxy_index].address, "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": self.config.memory_mb, "sockets": 512},
            "known": {"index": 0, "snapshot": true, "endpoints": known}, "settings": settings});
        if with_registry {
            let addresses: Vec<SocketAddr> = sidecar.registry_proxies.iter().map(|r| r.address).collect();
            let file = self.folder.path().join(format!("sidecar-{number}.list"));
            config["roster"] = json!({"addresses": addresses, "file": file});
            // The sidecar starts with the list that is cached in its file.
            config["known"]["endpoints"] = json!([]);
        }
        if with_registry || self.config.fault_injection {
            config["management"] = json!(sidecar.management);
        }
        let path = self.folder.path().join(format!("sidecar-{number}.json"));
        std::fs::write(&path, config.to_string())?;
        Ok(path)
    }

    /// Starts the process of a sidecar without waiting for it.
    pub(super) fn launch_sidecar(&mut self, number: usize) -> Result<(), ClusterError> {
        if self.config.inherited_sockets {
            // The previous process may still be running and have its own management address.
            self.sidecars[number].management = unused_address();
        }
        let path = self.write_config(number)?;
        let sidecar = &self.sidecars[number];
        let library = sidecar.faults.as_ref().map(|_| self.programs.fault_library()).transpose()?;
        let (mut command, input) = match &sidecar.inherited_socket {
            Some(listener) => hand_over::command_with_socket(&self.programs.sidecar, listener, library)?,
            None => (Command::new(&self.programs.sidecar), Stdio::null()),
        };
        let environment: Vec<_> =
            command.get_envs().map(|(k, v)| (k.to_owned(), v.map(ToOwned::to_owned))).collect();
        command.env_clear().env("LB_CONFIG", &path).env("LB_NAME", format!("n{number}"));
        command.envs(environment.into_iter().filter_map(|(k, v)| Some((k, v?))));
        if let (Some(table), Some(library)) = (&sidecar.faults, library) {
            if sidecar.inherited_socket.is_none() {
                command.env("LD_PRELOAD", library);
            }
            command.env(TABLE_VARIABLE, table.path()).env("LB_LOG", "requests");
            if self.config.small_buffers {
                command.env(SEND_BUFFER_VARIABLE, SMALL_BUFFER_BYTES.to_string());
            }
        }
        if sidecar.inherited_socket.is_some() {
            let state_folder = self.folder.path().join(format!("sidecar-{number}.kept"));
            std::fs::create_dir_all(&state_folder)?;
            command.env("TMPDIR", state_folder);
        }
        let pipe = self.log_pipe(number)?;
        let file = || self.folder.path().join(format!("sidecar-{number}.log"));
        let log = pipe.as_ref().map_or_else(file, |pipe| pipe.path.clone());
        let process = Process::start_with_input(
            command,
            input,
            &format!("sidecar {number}"),
            &log,
            Some(&self.process_guard),
        )?;
        self.sidecars[number].process = Some(process);
        if let Some(pipe) = pipe {
            self.keep_log_reader(number, pipe);
        }
        Ok(())
    }

    /// Kills the process of a sidecar.
    pub fn kill_sidecar(&mut self, number: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {number} killed"));
        let sidecar = &mut self.sidecars[number];
        sidecar.unavailable_since.get_or_insert_with(now_micros);
        if let Some(mut process) = sidecar.process.take() {
            process.kill()?;
        }
        if !self.config.inherited_sockets {
            self.end_cordons_of(number);
        }
        Ok(())
    }

    /// Sets the conditions of the link between a sidecar and a server.
    pub fn set_link(&self, sidecar: usize, server: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to server {server}: {link:?}"));
        self.sidecars[sidecar].server_proxies[server].set_link(link);
    }

    /// Sets the conditions of the link between a sidecar and discovery.
    pub fn set_discovery_link(&self, sidecar: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to discovery: {link:?}"));
        self.sidecars[sidecar].discovery_proxies.iter().for_each(|proxy| proxy.set_link(link.clone()));
    }

    /// Resets all connections of a sidecar to a server.
    pub fn reset_connections(&self, sidecar: usize, server: usize) {
        self.sidecars[sidecar].server_proxies[server].reset_connections();
    }

    /// The process ids of all sidecars, servers and the discovery service.
    pub fn child_pids(&self) -> Vec<u32> {
        let sidecars = self.sidecars.iter().filter_map(|s| s.process.as_ref());
        let servers = self.servers.iter().filter_map(|s| s.process.as_ref());
        sidecars.chain(servers).chain([&self.discovery.process]).map(Process::id).collect()
    }
}
