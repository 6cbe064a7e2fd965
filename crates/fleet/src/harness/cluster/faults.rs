//! Troubles of sidecars' processes: system calls that fail, clocks that step, signals.

use super::super::fault_proxy::Link;
use super::super::process::Process;
use super::fake_services::ready;
use super::notification_deadline::{Interruption, InterruptionCause};
use super::{Cluster, ClusterError, now_micros};
use lotusmoor_faults::{Call, Rule};
use std::io;
use std::net::SocketAddr;
use tokio::runtime::Handle;

/// A process that ended in one of these ways told to stop has done as it should.
const CLEAN_EXIT: Option<i32> = Some(0);

impl Cluster {
    fn table_error(error: &lotusmoor_faults::TableError) -> ClusterError {
        ClusterError::Io(io::Error::other(error.to_string()))
    }

    /// System calls of a sidecar fail by that rule from now on.
    pub fn fail_calls(&self, sidecar: usize, rule: Rule) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar}: {rule:?}"));
        let Some(table) = &self.sidecars[sidecar].faults else { return Ok(()) };
        table.arm(rule).map(drop).map_err(|e| Self::table_error(&e))
    }

    /// No system call of a sidecar fails any more.
    pub fn clear_call_faults(&self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar}: calls go well again"));
        let Some(table) = &self.sidecars[sidecar].faults else { return Ok(()) };
        table.disarm_all().map_err(|e| Self::table_error(&e))
    }

    /// The wall clock of a sidecar is ahead by so many microseconds from now on.
    pub fn step_wall_clock(&self, sidecar: usize, ahead_us: i64) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar}: wall clock ahead by {ahead_us} us"));
        let Some(table) = &self.sidecars[sidecar].faults else { return Ok(()) };
        table.step_wall_clock(ahead_us).map_err(|e| Self::table_error(&e))
    }

    /// A sidecar stands still.
    pub fn pause_sidecar(&self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} held"));
        Ok(self.sidecars[sidecar].process.as_ref().map_or(Ok(()), Process::pause)?)
    }

    /// It goes on.
    pub fn resume_sidecar(&self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} goes on"));
        Ok(self.sidecars[sidecar].process.as_ref().map_or(Ok(()), Process::resume)?)
    }

    /// A sidecar is told to stop.
    pub fn terminate_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} told to stop"));
        let sidecar = &mut self.sidecars[sidecar];
        sidecar.updates_interrupted_since.get_or_insert_with(now_micros);
        Ok(sidecar.process.as_ref().map_or(Ok(()), Process::terminate)?)
    }

    /// A sidecar is interrupted, as from a terminal.
    pub fn interrupt_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} interrupted"));
        let sidecar = &mut self.sidecars[sidecar];
        sidecar.updates_interrupted_since.get_or_insert_with(now_micros);
        Ok(sidecar.process.as_ref().map_or(Ok(()), Process::interrupt)?)
    }

    /// The time of a sidecar that was told to stop is over: one that still runs is killed.
    pub fn end_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if !self.config.inherited_sockets {
            self.end_cordons_of(sidecar);
        }
        let Some(mut process) = self.sidecars[sidecar].process.take() else { return Ok(()) };
        match process.exit_status() {
            None => {
                self.timeline.note(format!("sidecar {sidecar} killed, as it has not ended"));
                process.kill()?;
            }
            Some(status) if status.code() == CLEAN_EXIT => {
                self.timeline.note(format!("sidecar {sidecar} had ended"));
            }
            Some(status) => return Err(self.failed(format!("sidecar {sidecar} ended badly: {status}"))),
        }
        Ok(())
    }

    /// A sidecar whose process is killed, until it is started again.
    pub fn kill_sidecar_until_restart(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.sidecars[sidecar].updates_interrupted_since.get_or_insert_with(now_micros);
        self.kill_sidecar(sidecar)
    }

    /// A sidecar's process starts; whether it serves is asked with [`Self::came_up`].
    pub fn begin_sidecar_start(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} starts"));
        self.launch_sidecar(sidecar)
    }

    /// Whether a sidecar that was started serves by now.
    pub fn sidecar_is_ready(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        if let Some(status) = self.sidecars[sidecar].process.as_mut().and_then(Process::exit_status) {
            return Err(self.failed(format!("sidecar {sidecar} ended as it started: {status}")));
        }
        if !ready(self.sidecars[sidecar].address) {
            return Ok(false);
        }
        let now = now_micros();
        if let Some(since) = self.sidecars[sidecar].updates_interrupted_since.take() {
            self.interruptions.all.push(Interruption {
                sidecar,
                why: InterruptionCause::ProcessDown,
                span: (since, now),
            });
        }
        self.record_sidecar_serving(sidecar, now);
        Ok(true)
    }

    /// A sidecar gets a new configuration, with discovery at its other address, and is told so; the old address takes no
    /// more connections, and its open ones are reset.
    pub fn reload_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} reloads"));
        let now = now_micros();
        let (to_old, to_new) = {
            let sidecar = &mut self.sidecars[sidecar];
            let old = sidecar.discovery_proxy_index;
            sidecar.discovery_proxy_index = 1 - old;
            (old, sidecar.discovery_proxy_index)
        };
        self.write_config(sidecar)?;
        let sidecar_of = &self.sidecars[sidecar];
        sidecar_of.discovery_proxies[to_new].set_link(Link::default());
        sidecar_of.process.as_ref().map_or(Ok(()), Process::reload)?;
        sidecar_of.discovery_proxies[to_old].set_link(Link::cut());
        sidecar_of.discovery_proxies[to_old].reset_connections();
        self.interruptions.all.push(Interruption {
            sidecar,
            why: InterruptionCause::Reload,
            span: (now, now),
        });
        Ok(())
    }

    /// Nobody was told anything in that time.
    pub fn record_discovery_silence(&mut self, since: i64) {
        let now = now_micros();
        let silence =
            |sidecar| Interruption { sidecar, why: InterruptionCause::DiscoverySilent, span: (since, now) };
        self.interruptions.all.extend((0..self.sidecars.len()).map(silence));
    }

    /// Where a sidecar listens, and the runtime of the harness.
    pub fn runtime_and_address(&self, sidecar: usize) -> (Handle, SocketAddr) {
        (self.runtime.handle().clone(), self.sidecars[sidecar].address)
    }

    /// Whether discovery has been asked at the address that a sidecar's configuration names.
    pub fn discovery_is_contacted(&self, sidecar: usize) -> bool {
        let sidecar = &self.sidecars[sidecar];
        sidecar.discovery_proxies[sidecar.discovery_proxy_index].bytes_forwarded() > 0
    }

    /// System calls of that kind that a sidecar's processes have made.
    pub fn system_calls(&self, sidecar: usize, call: Call) -> u64 {
        self.sidecars[sidecar].faults.as_ref().and_then(|table| table.calls(call).ok()).unwrap_or(0)
    }

    /// Descriptors and kilobytes of memory that a sidecar's process holds.
    pub fn resource_usage(&self, sidecar: usize) -> Result<(usize, u64), ClusterError> {
        let Some(id) = self.sidecar_pid(sidecar) else { return Ok((0, 0)) };
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd"))?.count();
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = resident.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok((descriptors, kb.unwrap_or(0)))
    }

    /// Whether the process of a sidecar that was told to stop has ended; one that ended badly is a failure.
    pub fn sidecar_has_stopped(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        let ended = self.sidecars[sidecar].process.as_mut().and_then(Process::exit_status);
        if ended.is_some() {
            self.end_sidecar(sidecar)?;
        }
        Ok(self.sidecars[sidecar].process.is_none())
    }
}
