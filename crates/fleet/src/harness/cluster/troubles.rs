//! Troubles of sidecars' processes: system calls that fail, clocks that step, signals.

use super::super::process::Process;
use super::super::relay::Link;
use super::stand_in::ready;
use super::told::{Obstacle, Obstructed};
use super::{Cluster, ClusterError, clock};
use lotusmoor_faults::{Call, Rule};
use std::io;
use std::net::SocketAddr;
use tokio::runtime::Handle;

/// A process that ended in one of these ways told to stop has done as it should.
const STOPPED_WELL: Option<i32> = Some(0);

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
    pub fn mend_calls(&self, sidecar: usize) -> Result<(), ClusterError> {
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
    pub fn hold_sidecar(&self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} held"));
        Ok(self.sidecars[sidecar].process.as_ref().map_or(Ok(()), Process::hold)?)
    }

    /// It goes on.
    pub fn let_sidecar_go_on(&self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} goes on"));
        Ok(self.sidecars[sidecar].process.as_ref().map_or(Ok(()), Process::go_on)?)
    }

    /// A sidecar is told to stop.
    pub fn tell_sidecar_to_stop(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} told to stop"));
        let sidecar = &mut self.sidecars[sidecar];
        sidecar.untold_since.get_or_insert_with(clock);
        Ok(sidecar.process.as_ref().map_or(Ok(()), Process::tell_to_stop)?)
    }

    /// A sidecar is interrupted, as from a terminal.
    pub fn interrupt_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} interrupted"));
        let sidecar = &mut self.sidecars[sidecar];
        sidecar.untold_since.get_or_insert_with(clock);
        Ok(sidecar.process.as_ref().map_or(Ok(()), Process::interrupt)?)
    }

    /// The time of a sidecar that was told to stop is over: one that still runs is killed.
    pub fn end_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if !self.shape.passed {
            self.forget_cordons(sidecar);
        }
        let Some(mut process) = self.sidecars[sidecar].process.take() else { return Ok(()) };
        match process.ended() {
            None => {
                self.timeline.note(format!("sidecar {sidecar} killed, as it has not ended"));
                process.kill()?;
            }
            Some(status) if status.code() == STOPPED_WELL => {
                self.timeline.note(format!("sidecar {sidecar} had ended"));
            }
            Some(status) => return Err(self.failed(format!("sidecar {sidecar} ended badly: {status}"))),
        }
        Ok(())
    }

    /// A sidecar whose process is killed, until it is started again.
    pub fn kill_sidecar_for_now(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.sidecars[sidecar].untold_since.get_or_insert_with(clock);
        self.kill_sidecar(sidecar)
    }

    /// A sidecar's process starts; whether it serves is asked with [`Self::came_up`].
    pub fn start_sidecar_for_now(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} starts"));
        self.launch_sidecar(sidecar)
    }

    /// Whether a sidecar that was started serves by now.
    pub fn came_up(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        if let Some(status) = self.sidecars[sidecar].process.as_mut().and_then(Process::ended) {
            return Err(self.failed(format!("sidecar {sidecar} ended as it started: {status}")));
        }
        if !ready(self.sidecars[sidecar].address) {
            return Ok(false);
        }
        let now = clock();
        if let Some(since) = self.sidecars[sidecar].untold_since.take() {
            self.obstacles.all.push(Obstructed { sidecar, why: Obstacle::Away, span: (since, now) });
        }
        self.sidecar_serves(sidecar, now);
        Ok(true)
    }

    /// A sidecar gets a new configuration, with discovery at its other address, and is told so; the old address takes no
    /// more connections, and its open ones are reset.
    pub fn reload_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar} reloads"));
        let now = clock();
        let (to_old, to_new) = {
            let sidecar = &mut self.sidecars[sidecar];
            let old = sidecar.discovery_way;
            sidecar.discovery_way = 1 - old;
            (old, sidecar.discovery_way)
        };
        self.write_config(sidecar)?;
        let sidecar_of = &self.sidecars[sidecar];
        sidecar_of.to_discovery[to_new].set(Link::default());
        sidecar_of.process.as_ref().map_or(Ok(()), Process::tell_to_reload)?;
        sidecar_of.to_discovery[to_old].set(Link::cut());
        sidecar_of.to_discovery[to_old].reset();
        self.obstacles.all.push(Obstructed { sidecar, why: Obstacle::Reload, span: (now, now) });
        Ok(())
    }

    /// Nobody was told anything in that time.
    pub fn note_silence(&mut self, since: i64) {
        let now = clock();
        let silence = |sidecar| Obstructed { sidecar, why: Obstacle::Silence, span: (since, now) };
        self.obstacles.all.extend((0..self.sidecars.len()).map(silence));
    }

    /// Where a sidecar listens, and the runtime of the harness.
    pub fn way_to(&self, sidecar: usize) -> (Handle, SocketAddr) {
        (self.runtime.handle().clone(), self.sidecars[sidecar].address)
    }

    /// Whether discovery has been asked at the address that a sidecar's configuration names.
    pub fn discovery_is_asked(&self, sidecar: usize) -> bool {
        let sidecar = &self.sidecars[sidecar];
        sidecar.to_discovery[sidecar.discovery_way].bytes() > 0
    }

    /// System calls of that kind that a sidecar's processes have made.
    pub fn calls(&self, sidecar: usize, call: Call) -> u64 {
        self.sidecars[sidecar].faults.as_ref().and_then(|table| table.calls(call).ok()).unwrap_or(0)
    }

    /// Descriptors and kilobytes of memory that a sidecar's process holds.
    pub fn held_by(&self, sidecar: usize) -> Result<(usize, u64), ClusterError> {
        let Some(id) = self.sidecar_pid(sidecar) else { return Ok((0, 0)) };
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd"))?.count();
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = resident.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok((descriptors, kb.unwrap_or(0)))
    }

    /// Whether the process of a sidecar that was told to stop has ended; one that ended badly is a failure.
    pub fn sidecar_ended_well(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        let ended = self.sidecars[sidecar].process.as_mut().and_then(Process::ended);
        if ended.is_some() {
            self.end_sidecar(sidecar)?;
        }
        Ok(self.sidecars[sidecar].process.is_none())
    }
}
