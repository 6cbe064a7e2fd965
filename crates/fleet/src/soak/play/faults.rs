//! How each fault of a plan begins and ends.

use super::Play;
use crate::harness::{ClusterError, Link, OperatorCall, now_micros};
use crate::soak::plan::{LinkKind, SLOW_MS, Trouble};
use lotusmoor_faults::{Call, Fault, Rule, Span, errno};
use std::time::{Duration, Instant};

impl Play<'_> {
    pub(super) fn begin(&mut self, trouble: &Trouble) -> Result<(), ClusterError> {
        match trouble {
            Trouble::KillSidecar(sidecar) => self.kill_sidecar(*sidecar)?,
            Trouble::StopSidecar(sidecar) => self.stop(*sidecar)?,
            Trouble::RollSidecars(sidecars) => sidecars.iter().try_for_each(|sidecar| self.stop(*sidecar))?,
            Trouble::ReloadSidecar { sidecar, twice, unreadable_ms } => {
                self.reload(*sidecar, *twice, *unreadable_ms)?;
            }
            Trouble::HandOver(sidecar) => self.begin_hand_over(*sidecar)?,
            Trouble::Cordon { sidecar, server } => self.cordon(*sidecar, *server),
            Trouble::Quiesce(sidecar) => self.quiesce(*sidecar),
            Trouble::HoldSidecar(sidecar) => self.cluster.pause_sidecar(*sidecar)?,
            Trouble::Calls { sidecar, call, errno, every } => {
                self.fail_calls(*sidecar, *call, *errno, *every)?;
            }
            Trouble::WallClock { sidecar, ahead_us } => self.cluster.step_wall_clock(*sidecar, *ahead_us)?,
            Trouble::Drain(server) => self.cluster.set_status(*server, "leaving")?,
            Trouble::KillServer(server) => {
                self.away.push(*server);
                self.cluster.kill_server(*server)?;
            }
            Trouble::HoldServer(server) => {
                self.away.push(*server);
                self.cluster.pause_server(*server)?;
            }
            Trouble::Misbehaves { server, conduct } => self.cluster.set_conduct(*server, conduct)?,
            Trouble::Silence => {
                self.silent_since.get_or_insert_with(now_micros);
                self.cluster.set_discovery_silent(true)?;
            }
            Trouble::Link { sidecar, server, kind } => self.cluster.set_link(*sidecar, *server, link(*kind)),
            Trouble::Resets(sidecar) => {
                (0..self.plan.servers).for_each(|server| self.cluster.reset_connections(*sidecar, server));
            }
            Trouble::LeavingBodies { sidecar, count } => self.leave(*sidecar, *count),
            Trouble::SignalSeries { sidecar, signals } => self.begin_series(*sidecar, signals),
            // The fleet was started so.
            Trouble::UnreadLog(_) | Trouble::LostLog(_) => {}
            Trouble::Strangers { sidecar, count } => self.visit(*sidecar, *count),
        }
        Ok(())
    }

    pub(super) fn end(&mut self, trouble: &Trouble) -> Result<(), ClusterError> {
        match trouble {
            Trouble::KillSidecar(sidecar) => match self.cluster.sidecar_pid(*sidecar) {
                Some(_) => Ok(()),
                None => self.start(*sidecar),
            },
            Trouble::HoldSidecar(sidecar) => self.cluster.resume_sidecar(*sidecar),
            Trouble::Calls { sidecar, .. } => self.cluster.clear_call_faults(*sidecar),
            Trouble::WallClock { sidecar, .. } => self.cluster.step_wall_clock(*sidecar, 0),
            Trouble::Drain(server) => self.cluster.set_status(*server, "active"),
            Trouble::KillServer(server) => {
                self.is_back(*server);
                self.cluster.restart_server(*server)
            }
            Trouble::HoldServer(server) => {
                self.is_back(*server);
                self.cluster.resume_server(*server)
            }
            Trouble::Misbehaves { server, .. } => self.cluster.set_conduct(*server, &self.plan.conduct()),
            Trouble::Silence => {
                if let Some(since) = self.silent_since.take() {
                    self.cluster.record_discovery_silence(since);
                }
                self.cluster.set_discovery_silent(false)
            }
            Trouble::Link { sidecar, server, .. } => {
                self.cluster.set_link(*sidecar, *server, Link::default());
                Ok(())
            }
            Trouble::Cordon { sidecar, server } => {
                self.tell(*sidecar, OperatorCall::Uncordon(*server));
                Ok(())
            }
            Trouble::Quiesce(sidecar) => {
                self.resume(*sidecar);
                Ok(())
            }
            Trouble::StopSidecar(_)
            | Trouble::HandOver(_)
            | Trouble::RollSidecars(_)
            | Trouble::ReloadSidecar { .. }
            | Trouble::Resets(_)
            | Trouble::LeavingBodies { .. }
            | Trouble::SignalSeries { .. }
            | Trouble::UnreadLog(_)
            | Trouble::LostLog(_)
            | Trouble::Strangers { .. } => Ok(()),
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

    /// A sidecar that is away is promised nothing, here and in [`Self::quiesce`].
    fn cordon(&mut self, sidecar: usize, server: usize) {
        if self.is_up(sidecar) {
            self.tell(sidecar, OperatorCall::Cordon(server));
        }
    }

    fn quiesce(&mut self, sidecar: usize) {
        if self.is_up(sidecar) {
            self.drained.push(sidecar);
            self.tell(sidecar, OperatorCall::Quiesce);
        }
    }

    fn resume(&mut self, sidecar: usize) {
        if let Some(at) = self.drained.iter().position(|drained| *drained == sidecar) {
            self.drained.swap_remove(at);
            self.tell(sidecar, OperatorCall::Resume);
        }
    }

    fn fail_calls(
        &mut self,
        sidecar: usize,
        call: usize,
        errno: i32,
        every: u64,
    ) -> Result<(), ClusterError> {
        let fault = if errno == 0 { Fault::Short } else { Fault::Errno(errno) };
        let call = Call::ALL[call % Call::ALL.len()];
        let span = Span::Calls(u64::MAX);
        self.cluster.fail_calls(sidecar, Rule { call, fault, skip: 0, every, span })
    }

    fn visit(&mut self, sidecar: usize, count: usize) {
        let (runtime, at) = self.cluster.runtime_and_address(sidecar);
        self.strangers.connect(&runtime, sidecar, at, count);
    }
}

fn link(kind: LinkKind) -> Link {
    match kind {
        LinkKind::Cut => Link::cut(),
        LinkKind::CutBack => Link { cut_down: true, ..Link::default() },
        LinkKind::Slow => Link { delay: Duration::from_millis(SLOW_MS), ..Link::default() },
        LinkKind::Narrow => Link { bandwidth: 20_000, ..Link::default() },
        LinkKind::HalfOpen => Link { half_open: true, ..Link::default() },
        LinkKind::Stalls => Link { stall_after: 40, ..Link::default() },
    }
}
