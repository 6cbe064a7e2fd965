//! Sidecars of a cluster: their configurations, their processes, and their links.

use super::super::check::Outage;
use super::super::fault_proxy::{FaultProxy, Link};
use super::super::process::Process;
use super::super::wait::until;
use super::fake_services::ready;
use super::{Cluster, ClusterError, hand_over, now_micros, unused_address};
use lotusmoor_faults::TABLE_VARIABLE;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

impl Cluster {
    /// The version of the list that a sidecar has, as it tells its operators; `None` where it does not answer.
    pub fn list_version(&self, sidecar: usize) -> Option<u64> {
        let line = self.manage(sidecar, "list")?;
        line.split_once("version=")?.1.split([' ', '/']).nth(1)?.parse().ok()
    }

    /// The link between a sidecar and a replica of the roster.
    pub fn set_registry_link(&self, sidecar: usize, replica: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to replica {}: {link:?}", replica + 1));
        self.sidecars[sidecar].registry_proxies[replica].set_link(link);
    }

    /// Bytes that a sidecar and the replicas have exchanged.
    pub fn registry_bytes(&self, sidecar: usize) -> u64 {
        self.sidecars[sidecar].registry_proxies.iter().map(FaultProxy::bytes_forwarded).sum()
    }

    /// How many sidecars there are.
    pub fn sidecar_count(&self) -> usize {
        self.sidecars.len()
    }

    /// What a sidecar wrote.
    pub fn sidecar_log(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("sidecar-{i}.log"))).unwrap_or_default()
    }

    /// The process id of a sidecar.
    pub fn sidecar_pid(&self, i: usize) -> Option<u32> {
        self.sidecars[i].process.as_ref().map(Process::id)
    }

    /// A sidecar's process starts; it serves when this returns.
    pub fn start_sidecar(&mut self, i: usize) -> Result<(), ClusterError> {
        self.launch_sidecar(i)?;
        let address = self.sidecars[i].address;
        self.wait(&format!("sidecar {i} is up"), || ready(address))?;
        self.record_sidecar_serving(i, now_micros());
        Ok(())
    }

    /// Sidecars' processes are killed, and then started, all at once. Gives how long each took from its start to being
    /// ready, in their order.
    pub fn restart_together(&mut self, which: &[usize]) -> Result<Vec<Duration>, ClusterError> {
        which.iter().try_for_each(|i| self.kill_sidecar(*i))?;
        let mut begun = Vec::new();
        for i in which {
            begun.push((now_micros(), self.sidecars[*i].address));
            self.launch_sidecar(*i)?;
        }
        let when = |(_, address): (i64, SocketAddr)| move || until(|| ready(address)).then(now_micros);
        let up: Vec<Option<i64>> = std::thread::scope(|scope| {
            let all: Vec<_> = begun.iter().map(|b| scope.spawn(when(*b))).collect();
            all.into_iter().map(|one| one.join().ok().flatten()).collect()
        });
        let mut took = Vec::new();
        for ((i, (begun, _)), up) in which.iter().zip(begun).zip(up) {
            let up = up.ok_or_else(|| self.failed(format!("sidecar {i} never came up")))?;
            self.record_sidecar_serving(*i, up);
            took.push(Duration::from_micros(u64::try_from(up - begun).unwrap_or(0)));
        }
        Ok(took)
    }

    pub(super) fn record_sidecar_serving(&mut self, i: usize, at: i64) {
        if let Some(since) = self.sidecars[i].unavailable_since.take() {
            self.history.sidecar_outages.push(Outage { instance: i, span: (since, at) });
        }
        self.timeline.note(format!("sidecar {i} serves"));
    }

    /// Writes the configuration of a sidecar as it is now.
    pub(super) fn write_config(&self, i: usize) -> Result<PathBuf, ClusterError> {
        let sidecar = &self.sidecars[i];
        let with_roster = self.config.registry_replicas > 0;
        let known: Vec<Value> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, s)| s.status == "active")
            .map(|(k, s)| {
                let address = if with_roster { s.address } else { sidecar.server_proxies[k].address };
                json!({"name": s.name, "address": address, "zone": self.config.zones[s.zone],
                    "type": "m", "group": 1, "status": "active", "weight": 1.0, "since_ms": s.since_ms})
            })
            .collect();
        let mut settings = self.config.settings.clone();
        settings["Balancers"] = json!(self.config.sidecars);
        settings["Index"] = json!(i);
        settings["Zone"] = json!(self.config.zones[i % self.config.zones.len()]);
        settings["Zones"] = json!(self.config.zones);
        let seed = crate::chance::mix(self.config.seed ^ i as u64 ^ now_micros() as u64);
        let mut config = json!({"name": format!("n{i}"), "listen": sidecar.address,
            "discovery": sidecar.discovery_proxies[sidecar.discovery_proxy_index].address, "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": {"index": 0, "snapshot": true, "endpoints": known}, "settings": settings});
        if with_roster {
            let addresses: Vec<SocketAddr> = sidecar.registry_proxies.iter().map(|r| r.address).collect();
            let file = self.folder.path().join(format!("sidecar-{i}.list"));
            config["roster"] = json!({"addresses": addresses, "file": file});
            // What it starts with is its file.
            config["known"]["endpoints"] = json!([]);
        }
        if with_roster || self.config.fault_injection {
            config["management"] = json!(sidecar.management);
        }
        let path = self.folder.path().join(format!("sidecar-{i}.json"));
        std::fs::write(&path, config.to_string())?;
        Ok(path)
    }

    pub(super) fn launch_sidecar(&mut self, i: usize) -> Result<(), ClusterError> {
        if self.config.inherited_sockets {
            // Beside the process before it, which may still run.
            self.sidecars[i].management = unused_address();
        }
        let path = self.write_config(i)?;
        let sidecar = &self.sidecars[i];
        let library = sidecar.faults.as_ref().map(|_| self.programs.fault_library()).transpose()?;
        let (mut command, input) = match &sidecar.inherited_socket {
            Some(listener) => hand_over::on_passed_socket(&self.programs.sidecar, listener, library)?,
            None => (Command::new(&self.programs.sidecar), Stdio::null()),
        };
        let passed: Vec<_> =
            command.get_envs().map(|(k, v)| (k.to_owned(), v.map(ToOwned::to_owned))).collect();
        command.env_clear().env("LB_CONFIG", &path).env("LB_NAME", format!("n{i}"));
        command.envs(passed.into_iter().filter_map(|(k, v)| Some((k, v?))));
        if let (Some(table), Some(library)) = (&sidecar.faults, library) {
            if sidecar.inherited_socket.is_none() {
                command.env("LD_PRELOAD", library);
            }
            command.env(TABLE_VARIABLE, table.path()).env("LB_LOG", "requests");
        }
        if sidecar.inherited_socket.is_some() {
            let kept = self.folder.path().join(format!("sidecar-{i}.kept"));
            std::fs::create_dir_all(&kept)?;
            command.env("TMPDIR", kept);
        }
        let pipe = self.log_pipe(i)?;
        let file = || self.folder.path().join(format!("sidecar-{i}.log"));
        let log = pipe.as_ref().map_or_else(file, |pipe| pipe.path.clone());
        let process = Process::start_with_input(
            command,
            input,
            &format!("sidecar {i}"),
            &log,
            Some(&self.process_guard),
        )?;
        self.sidecars[i].process = Some(process);
        if let Some(pipe) = pipe {
            self.keep_log_reader(i, pipe);
        }
        Ok(())
    }

    /// A sidecar's process is killed.
    pub fn kill_sidecar(&mut self, i: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {i} killed"));
        let sidecar = &mut self.sidecars[i];
        sidecar.unavailable_since.get_or_insert_with(now_micros);
        if let Some(mut process) = sidecar.process.take() {
            process.kill()?;
        }
        if !self.config.inherited_sockets {
            self.end_cordons_of(i);
        }
        Ok(())
    }

    /// The link between a sidecar and a server is like this from now on.
    pub fn set_link(&self, sidecar: usize, server: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to server {server}: {link:?}"));
        self.sidecars[sidecar].server_proxies[server].set_link(link);
    }

    /// The link between a sidecar and discovery.
    pub fn set_discovery_link(&self, sidecar: usize, link: Link) {
        self.timeline.note(format!("link of sidecar {sidecar} to discovery: {link:?}"));
        self.sidecars[sidecar].discovery_proxies.iter().for_each(|way| way.set_link(link.clone()));
    }

    /// Resets the connections of a sidecar to a server.
    pub fn reset_connections(&self, sidecar: usize, server: usize) {
        self.sidecars[sidecar].server_proxies[server].reset_connections();
    }

    /// Process ids of all children.
    pub fn child_pids(&self) -> Vec<u32> {
        let sidecars = self.sidecars.iter().filter_map(|s| s.process.as_ref());
        let servers = self.servers.iter().filter_map(|s| s.process.as_ref());
        sidecars.chain(servers).chain([&self.discovery.process]).map(Process::id).collect()
    }
}
