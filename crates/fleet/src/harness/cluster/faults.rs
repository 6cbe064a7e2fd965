//! Faults of sidecar processes: failing system calls, clock steps, signals, kills and reloads.

use super::super::fault_proxy::Link;
use super::super::process::Process;
use super::fake_services::is_ready;
use super::notification_deadline::{Interruption, InterruptionCause};
use super::{Cluster, ClusterError, now_micros};
use lotusmoor_faults::{Call, Rule};
use std::io;
use std::net::SocketAddr;
use tokio::runtime::Handle;

/// The exit code of a process that has stopped as requested.
const CLEAN_EXIT: Option<i32> = Some(0);

impl Cluster {
    fn table_error(error: &lotusmoor_faults::TableError) -> ClusterError {
        ClusterError::Io(io::Error::other(error.to_string()))
    }

    /// Makes system calls of a sidecar fail by this rule.
    pub fn fail_calls(&self, sidecar: usize, rule: Rule) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar}: {rule:?}"));
        let Some(table) = &self.sidecars[sidecar].faults else { return Ok(()) };
        table.arm(rule).map(drop).map_err(|e| Self::table_error(&e))
    }

    /// Ends all faults of system calls of a sidecar.
    pub fn clear_call_faults(&self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar}: system call faults cleared"));
        let Some(table) = &self.sidecars[sidecar].faults else { return Ok(()) };
        table.disarm_all().map_err(|e| Self::table_error(&e))
    }

    /// Sets the wall clock of a sidecar ahead by `ahead_us` microseconds.
    pub fn step_wall_clock(&self, sidecar: usize, ahead_us: i64) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar}: wall clock ahead by {ahead_us} us"));
        let Some(table) = &self.sidecars[sidecar].faults else { return Ok(()) };
        table.step_wall_clock(ahead_us).map_err(|e| Self::table_error(&e))
    }

    /// Pauses a sidecar (SIGSTOP).
    pub fn pause_sidecar(&self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} paused"));
        Ok(self.sidecars[sidecar].process.as_ref().map_or(Ok(()), Process::pause)?)
    }

    /// Resumes a sidecar (SIGCONT).
    pub fn resume_sidecar(&self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} resumed"));
        Ok(self.sidecars[sidecar].process.as_ref().map_or(Ok(()), Process::resume)?)
    }

    /// Asks a sidecar to stop (SIGTERM).
    pub fn terminate_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} asked to stop"));
        let sidecar = &mut self.sidecars[sidecar];
        sidecar.updates_interrupted_since.get_or_insert_with(now_micros);
        Ok(sidecar.process.as_ref().map_or(Ok(()), Process::terminate)?)
    }

    /// Interrupts a sidecar, as from a terminal (SIGINT).
    pub fn interrupt_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} interrupted"));
        let sidecar = &mut self.sidecars[sidecar];
        sidecar.updates_interrupted_since.get_or_insert_with(now_micros);
        Ok(sidecar.process.as_ref().map_or(Ok(()), Process::interrupt)?)
    }

    /// Called when the time that a sidecar has to stop is over: kills it if it is still running, and fails if it ended
    /// with an error.
    pub fn end_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if !self.config.inherited_sockets {
            self.end_cordons_of(sidecar);
        }
        let Some(mut process) = self.sidecars[sidecar].process.take() else { return Ok(()) };
        match process.exit_status() {
            None => {
                self.timeline.note(format!("sidecar {sidecar} killed, as it had not ended"));
                process.kill()?;
            }
            Some(status) if status.code() == CLEAN_EXIT => {
                self.timeline.note(format!("sidecar {sidecar} has ended"));
            }
            Some(status) => return Err(self.failed(format!("sidecar {sidecar} failed: {status}"))),
        }
        Ok(())
    }

    /// Kills a sidecar, which is to be started again with [`Self::begin_sidecar_start`]. Until it is ready again it is
    /// not expected to be notified of changes of the list.
    pub fn kill_sidecar_until_restart(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.sidecars[sidecar].updates_interrupted_since.get_or_insert_with(now_micros);
        self.kill_sidecar(sidecar)
    }

    /// Starts a sidecar without waiting; [`Self::sidecar_is_ready`] tells when it is ready.
    pub fn begin_sidecar_start(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} starts"));
        self.launch_sidecar(sidecar)
    }

    /// Whether a sidecar that was started is ready by now; if so, its outage ends.
    pub fn sidecar_is_ready(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        if let Some(status) = self.sidecars[sidecar].process.as_mut().and_then(Process::exit_status) {
            return Err(self.failed(format!("sidecar {sidecar} ended while starting: {status}")));
        }
        if !is_ready(self.sidecars[sidecar].address) {
            return Ok(false);
        }
        let now = now_micros();
        if let Some(since) = self.sidecars[sidecar].updates_interrupted_since.take() {
            self.interruptions.all.push(Interruption {
                sidecar,
                cause: InterruptionCause::ProcessDown,
                span: (since, now),
            });
        }
        self.record_sidecar_ready(sidecar, now);
        Ok(true)
    }

    /// Gives a sidecar a new configuration, with discovery at its other address, and asks it to reload. The old address
    /// accepts no more connections, and open ones are reset.
    pub fn reload_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} reloads"));
        let now = now_micros();
        let (old, new) = {
            let sidecar = &mut self.sidecars[sidecar];
            let old = sidecar.discovery_proxy_index;
            sidecar.discovery_proxy_index = 1 - old;
            (old, sidecar.discovery_proxy_index)
        };
        self.write_config(sidecar)?;
        let this_sidecar = &self.sidecars[sidecar];
        this_sidecar.discovery_proxies[new].set_link(Link::default());
        this_sidecar.process.as_ref().map_or(Ok(()), Process::reload)?;
        this_sidecar.discovery_proxies[old].set_link(Link::cut());
        this_sidecar.discovery_proxies[old].reset_connections();
        self.interruptions.all.push(Interruption {
            sidecar,
            cause: InterruptionCause::Reload,
            span: (now, now),
        });
        Ok(())
    }

    /// Records that discovery has been silent to all sidecars since that time.
    pub fn record_discovery_silence(&mut self, since: i64) {
        let now = now_micros();
        let silence =
            |sidecar| Interruption { sidecar, cause: InterruptionCause::DiscoverySilent, span: (since, now) };
        self.interruptions.all.extend((0..self.sidecars.len()).map(silence));
    }

    /// The runtime of the harness, and the address at which a sidecar listens.
    pub fn runtime_and_address(&self, sidecar: usize) -> (Handle, SocketAddr) {
        (self.runtime.handle().clone(), self.sidecars[sidecar].address)
    }

    /// Whether a sidecar has contacted discovery at the address that its configuration names.
    pub fn discovery_is_contacted(&self, sidecar: usize) -> bool {
        let sidecar = &self.sidecars[sidecar];
        sidecar.discovery_proxies[sidecar.discovery_proxy_index].bytes_forwarded() > 0
    }

    /// The number of system calls of a kind that a sidecar's processes have made.
    pub fn system_calls(&self, sidecar: usize, call: Call) -> u64 {
        self.sidecars[sidecar].faults.as_ref().and_then(|table| table.calls(call).ok()).unwrap_or(0)
    }

    /// The number of open file descriptors of a sidecar's process, and its resident memory in kilobytes.
    pub fn resource_usage(&self, sidecar: usize) -> Result<(usize, u64), ClusterError> {
        let Some(id) = self.sidecar_pid(sidecar) else { return Ok((0, 0)) };
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd"))?.count();
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = resident.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok((descriptors, kb.unwrap_or(0)))
    }

    /// Whether a sidecar that was asked to stop has ended; a failure if it ended with an error.
    pub fn sidecar_has_stopped(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        let ended = self.sidecars[sidecar].process.as_mut().and_then(Process::exit_status);
        if ended.is_some() {
            self.end_sidecar(sidecar)?;
        }
        Ok(self.sidecars[sidecar].process.is_none())
    }
}
