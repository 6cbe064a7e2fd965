//! The start and the end of each fault of a plan.

use super::{KILL_GRACE, NEW_CONNECTIONS_AFTER_STOP, OVERLOAD_SEED, Run, SLOW_CLIENTS_SEED};
use crate::chance::mix;
use crate::harness::{ClusterError, Link, OperatorCall, OverloadGroup, OverloadKind, SlowGroup, now_micros};
use crate::soak::plan::{Fault, LinkKind, SLOW_LINK_DELAY_MS};
use lotusmoor_faults::{Call, CallFault, Rule, Span, errno};
use std::time::{Duration, Instant};

impl Run<'_> {
    pub(super) fn begin(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        match fault {
            Fault::KillSidecar(sidecar) => self.kill_sidecar(*sidecar)?,
            Fault::StopSidecar(sidecar) => self.stop_sidecar(*sidecar)?,
            Fault::StopSidecars(sidecars) => {
                sidecars.iter().try_for_each(|sidecar| self.stop_sidecar(*sidecar))?
            }
            Fault::ReloadSidecar { sidecar, twice, unreadable_ms } => {
                self.reload(*sidecar, *twice, *unreadable_ms)?;
            }
            Fault::HandOver(sidecar) => self.begin_hand_over(*sidecar)?,
            Fault::Cordon { sidecar, server } => self.cordon(*sidecar, *server),
            Fault::DrainSidecar(sidecar) => self.drain(*sidecar),
            Fault::PauseSidecar(sidecar) => self.cluster.pause_sidecar(*sidecar)?,
            Fault::FailSystemCalls { sidecar, call, errno, every } => {
                self.fail_calls(*sidecar, *call, *errno, *every)?;
            }
            Fault::StepWallClock { sidecar, ahead_us } => {
                self.cluster.step_wall_clock(*sidecar, *ahead_us)?
            }
            Fault::DrainServer(server) => self.cluster.set_status(*server, "leaving")?,
            Fault::KillServer(server) => {
                self.unavailable_servers.push(*server);
                self.cluster.kill_server(*server)?;
            }
            Fault::PauseServer(server) => {
                self.unavailable_servers.push(*server);
                self.cluster.pause_server(*server)?;
            }
            Fault::Misbehaves { server, conduct } => self.cluster.set_conduct(*server, conduct)?,
            Fault::DiscoveryOutage => {
                self.discovery_down_since.get_or_insert_with(now_micros);
                self.cluster.set_discovery_silent(true)?;
            }
            Fault::Link { sidecar, server, kind } => self.cluster.set_link(*sidecar, *server, link(*kind)),
            Fault::ResetConnections(sidecar) => {
                (0..self.plan.servers).for_each(|server| self.cluster.reset_connections(*sidecar, server));
            }
            Fault::AbortUploads { sidecar, count } => self.abort_uploads(*sidecar, *count),
            Fault::SignalSeries { sidecar, signals } => self.begin_series(*sidecar, signals),
            // The fleet was started with these log pipes.
            Fault::StalledLogReader(_) | Fault::ClosedLogPipe(_) => {}
            Fault::UnfinishedUploads { sidecar, count } => self.begin_unfinished_uploads(*sidecar, *count),
            Fault::SlowClients { sidecar, count } => self.connect_slow_clients(*sidecar, *count),
            Fault::Overload { sidecar, count, kind, lasts_ms } => {
                self.begin_overload(*sidecar, *count, *kind, *lasts_ms);
            }
            Fault::MalformedClients { sidecar, count } => self.connect_malformed_clients(*sidecar, *count),
        }
        Ok(())
    }

    pub(super) fn end(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        match fault {
            Fault::KillSidecar(sidecar) => match self.cluster.sidecar_pid(*sidecar) {
                Some(_) => Ok(()),
                None => self.start_sidecar(*sidecar),
            },
            Fault::PauseSidecar(sidecar) => self.cluster.resume_sidecar(*sidecar),
            Fault::FailSystemCalls { sidecar, .. } => self.cluster.clear_call_faults(*sidecar),
            Fault::StepWallClock { sidecar, .. } => self.cluster.step_wall_clock(*sidecar, 0),
            Fault::DrainServer(server) => self.cluster.set_status(*server, "active"),
            Fault::KillServer(server) => {
                self.mark_available(*server);
                self.cluster.restart_server(*server)
            }
            Fault::PauseServer(server) => {
                self.mark_available(*server);
                self.cluster.resume_server(*server)
            }
            Fault::Misbehaves { server, .. } => {
                self.cluster.set_conduct(*server, &self.plan.normal_conduct())
            }
            Fault::DiscoveryOutage => {
                if let Some(since) = self.discovery_down_since.take() {
                    self.cluster.record_discovery_silence(since);
                }
                self.cluster.set_discovery_silent(false)
            }
            Fault::Link { sidecar, server, .. } => {
                self.cluster.set_link(*sidecar, *server, Link::default());
                Ok(())
            }
            Fault::Cordon { sidecar, server } => {
                self.schedule_call(*sidecar, OperatorCall::Uncordon(*server));
                Ok(())
            }
            Fault::DrainSidecar(sidecar) => {
                self.resume(*sidecar);
                Ok(())
            }
            Fault::StopSidecar(_)
            | Fault::HandOver(_)
            | Fault::StopSidecars(_)
            | Fault::ReloadSidecar { .. }
            | Fault::ResetConnections(_)
            | Fault::AbortUploads { .. }
            | Fault::SignalSeries { .. }
            | Fault::StalledLogReader(_)
            | Fault::ClosedLogPipe(_)
            | Fault::UnfinishedUploads { .. }
            | Fault::SlowClients { .. }
            | Fault::Overload { .. }
            | Fault::MalformedClients { .. } => Ok(()),
        }
    }

    fn kill_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if self.is_up(sidecar) { self.cluster.kill_sidecar_until_restart(sidecar) } else { Ok(()) }
    }

    fn reload(&mut self, sidecar: usize, twice: bool, unreadable_ms: u64) -> Result<(), ClusterError> {
        if !self.is_up(sidecar) {
            return Ok(());
        }
        if unreadable_ms > 0 {
            let rule = Rule::lasting(1000 * unreadable_ms, Call::Read, errno::EIO);
            self.cluster.fail_calls(sidecar, rule)?;
        }
        (0..=usize::from(twice)).try_for_each(|_| self.cluster.reload_sidecar(sidecar))
    }

    fn begin_hand_over(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if self.is_up(sidecar) {
            self.cluster.begin_hand_over(sidecar)?;
            self.handing_over.push((sidecar, Instant::now()));
        }
        Ok(())
    }

    /// Lets operators cordon a server. A sidecar that is down is skipped, here and in [`Self::drain`].
    fn cordon(&mut self, sidecar: usize, server: usize) {
        if self.is_up(sidecar) {
            self.schedule_call(sidecar, OperatorCall::Cordon(server));
        }
    }

    fn drain(&mut self, sidecar: usize) {
        if self.is_up(sidecar) {
            self.drained_sidecars.push(sidecar);
            self.schedule_call(sidecar, OperatorCall::Quiesce);
        }
    }

    fn resume(&mut self, sidecar: usize) {
        if let Some(at) = self.drained_sidecars.iter().position(|drained| *drained == sidecar) {
            self.drained_sidecars.swap_remove(at);
            self.schedule_call(sidecar, OperatorCall::Resume);
        }
    }

    fn fail_calls(
        &mut self,
        sidecar: usize,
        call: usize,
        errno: i32,
        every: u64,
    ) -> Result<(), ClusterError> {
        let fault = if errno == 0 { CallFault::Short } else { CallFault::Errno(errno) };
        let call = Call::ALL[call % Call::ALL.len()];
        let span = Span::Calls(u64::MAX);
        self.cluster.fail_calls(sidecar, Rule { call, fault, skip: 0, every, span })
    }

    fn begin_unfinished_uploads(&mut self, sidecar: usize, count: usize) {
        let (runtime, at) = self.cluster.runtime_and_address(sidecar);
        self.malformed_clients.connect_unfinished_uploads(&runtime, sidecar, at, count);
    }

    /// Starts slow clients, unless their sidecar is down: they make no further connection in place of one that fails.
    fn connect_slow_clients(&mut self, sidecar: usize, count: usize) {
        let (runtime, at) = self.cluster.runtime_and_address(sidecar);
        let seed = mix(self.plan.seed ^ mix(SLOW_CLIENTS_SEED ^ sidecar as u64));
        self.slow_clients.connect(
            &runtime,
            SlowGroup {
                sidecar,
                at,
                count,
                wait: Duration::from_millis(self.plan.client_timeout_ms),
                connect_within: NEW_CONNECTIONS_AFTER_STOP,
                sent_within: self.longest_wait() + KILL_GRACE,
                seed,
            },
        );
    }

    fn begin_overload(&mut self, sidecar: usize, count: usize, kind: OverloadKind, lasts_ms: u64) {
        let (runtime, at) = self.cluster.runtime_and_address(sidecar);
        let seed = mix(self.plan.seed ^ mix(OVERLOAD_SEED ^ (sidecar as u64) << 8 ^ kind as u64));
        let wait = Duration::from_millis(self.plan.client_timeout_ms);
        let lasts = Duration::from_millis(lasts_ms);
        let group = OverloadGroup { kind, sidecar, at, count, wait, lasts, seed };
        self.overload_clients.connect(&runtime, group);
    }

    fn connect_malformed_clients(&mut self, sidecar: usize, count: usize) {
        let (runtime, at) = self.cluster.runtime_and_address(sidecar);
        self.malformed_clients.connect(&runtime, sidecar, at, count);
    }
}

fn link(kind: LinkKind) -> Link {
    match kind {
        LinkKind::Cut => Link::cut(),
        LinkKind::CutResponses => Link { cut_down: true, ..Link::default() },
        LinkKind::Slow => Link { delay: Duration::from_millis(SLOW_LINK_DELAY_MS), ..Link::default() },
        LinkKind::Narrow => Link { bandwidth: 20_000, ..Link::default() },
        LinkKind::HalfOpen => Link { half_open: true, ..Link::default() },
        LinkKind::Stalls => Link { stall_after: 40, ..Link::default() },
        LinkKind::StopsReading => Link { reads_up_to: 12_000, ..Link::default() },
        LinkKind::ReadsSlowly => Link { read_rate: 88_000, ..Link::default() },
    }
}
