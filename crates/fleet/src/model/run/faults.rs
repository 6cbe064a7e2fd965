//! Carries out the planned faults and operations.

use super::*;

impl Run {
    pub(super) fn pause(&mut self, now: Micros, server: u32, begin: bool) {
        let s = &mut self.servers[server as usize];
        s.pause(now, begin);
        let random_key = chance::mix(self.world.seed ^ now as u64 ^ u64::from(server) << 40);
        let at = if begin {
            now + (s.spec.pause as f64 * (1.0 + s.spec.pause_growth * s.utilization())) as Micros
        } else {
            now + (s.spec.pause_every as f64 * (0.5 + chance::unit(random_key))) as Micros
        };
        if now < self.world.length {
            self.events.schedule(at, SimEvent::Pause(server, !begin));
        }
        self.reschedule_completion(now, server);
    }

    pub(super) fn end_server(&mut self, now: Micros, server: usize) {
        let lost = self.servers[server].reset_all(now);
        self.servers[server].machine = MachineState::Down;
        for id in lost {
            let reused = self.attempts[id as usize].reused;
            self.reply(now, id, reset(reused));
        }
        // Idle connections to it are closed, which the sidecars notice.
        for process in &mut self.processes {
            process.idle.remove(&(server as u32));
        }
    }

    /// Schedules discovery's update for a server's new state, after its detection delay.
    pub(super) fn schedule_discovery_update(
        &mut self,
        now: Micros,
        server: usize,
        status: EndpointStatus,
        after: crate::site::Range,
    ) {
        if self.registry.is_some() {
            // A server that stops after a drain deregisters itself; for any other the lease expires.
            let must_write = status != EndpointStatus::Removed || self.servers[server].draining.is_some();
            return if must_write {
                self.report_to_registry(now, server, status)
            };
        }
        let entry = Entry { status, started: self.servers[server].started };
        let at = now + crate::seconds(after.draw(&mut self.list_rng));
        self.events.schedule(at, SimEvent::DiscoveryUpdate(Change { server, entry, since: now }));
    }

    pub(super) fn apply_planned(&mut self, now: Micros, event: PlannedEvent) -> Result<(), SettingsError> {
        let d = self.world.discovery.clone();
        match event {
            PlannedEvent::Drain(s) if self.servers[s].machine == MachineState::Up => {
                self.servers[s].draining = Some(now);
                self.schedule_discovery_update(now, s, EndpointStatus::Draining, d.end_detection_delay);
            }
            PlannedEvent::Stop(s) if self.servers[s].machine != MachineState::Down => {
                self.end_server(now, s);
                self.schedule_discovery_update(now, s, EndpointStatus::Removed, d.end_detection_delay);
            }
            PlannedEvent::Start(s) if !self.servers[s].crashed_by_overload => {
                if self.servers[s].machine == MachineState::Unresponsive {
                    self.servers[s].reset_all(now);
                }
                self.servers[s].start(now);
                self.start_versions[s] = usize::MAX;
                self.schedule_discovery_update(now, s, EndpointStatus::Ready, d.start_detection_delay);
            }
            PlannedEvent::Unresponsive(s) if self.servers[s].machine == MachineState::Up => {
                self.servers[s].advance(now);
                self.servers[s].machine = MachineState::Unresponsive;
                self.schedule_discovery_update(now, s, EndpointStatus::Removed, d.failure_detection_delay);
            }
            PlannedEvent::Pause(s, begin) => {
                self.servers[s].pause(now, begin);
                self.reschedule_completion(now, s as u32);
            }
            PlannedEvent::Slow(s, factor) => {
                self.servers[s].advance(now);
                self.servers[s].slowdown *= factor;
                self.reschedule_completion(now, s as u32);
            }
            PlannedEvent::Errors(s, share) => self.servers[s].error_share = share,
            PlannedEvent::Cordon(s, out) => {
                if out {
                    self.cordoned.insert(s)
                } else {
                    self.cordoned.remove(&s)
                };
                for id in 0..self.processes.len() as u32 {
                    let cordoned = &mut self.processes[id as usize].cordoned;
                    if out {
                        cordoned.insert(s as u32, now)
                    } else {
                        cordoned.remove(&(s as u32))
                    };
                    self.dispatch(now, id, if out { Event::Cordoned(s) } else { Event::Uncordoned(s) });
                }
            }
            PlannedEvent::RejectClass(s, class) => self.servers[s].rejected_class = class,
            PlannedEvent::Cut(zone, both, begin) => self.world.links.cut(zone, both, begin),
            PlannedEvent::Traffic(None, factor) => self.traffic_factors.0 *= factor,
            PlannedEvent::Traffic(Some(zone), factor) => self.traffic_factors.1[zone] *= factor,
            PlannedEvent::KillSidecar(s) => self.kill_process(now, s as u32),
            PlannedEvent::StopSidecar(s, restart_delay) => {
                if let Some(p) = self.sidecars[s].process {
                    self.processes[p as usize].stopping = true;
                    self.events.schedule(now + MIN_STOP_TIME, SimEvent::StopCheck(p, restart_delay));
                }
            }
            PlannedEvent::StartSidecar(s) if self.sidecars[s].process.is_none() => {
                self.start_process(now, s as u32, false)?
            }
            PlannedEvent::UpgradeSidecar(s) => {
                if let Some(old) = self.sidecars[s].process {
                    self.start_process(now, s as u32, false)?;
                    if self.processes[old as usize].open.is_empty() {
                        self.end_process(old);
                    }
                }
            }
            PlannedEvent::Discovery(up) => {
                self.discovery.set_down(now, !up);
                self.registry_outage(now, !up);
            }
            PlannedEvent::RegistryReplica(position, pause, begin) => {
                self.registry_fault(now, position, pause, begin)
            }
            PlannedEvent::Resets(share) => self.reset_share = share,
            PlannedEvent::CorruptResponses(share) => self.corrupt_share = share,
            PlannedEvent::LateConnects(share, late) => self.late_connects = (share, late),
            PlannedEvent::RetrySurge(retry_factor, leave_share) => {
                self.retry_surge = (retry_factor, leave_share)
            }
            PlannedEvent::MalformedClients(s, every) => {
                let before = std::mem::replace(&mut self.sidecars[s].malformed_interval, every);
                // Only one recurring event for each sidecar at a time.
                if before == 0 {
                    self.events.schedule(now, SimEvent::MalformedMessage(s as u32));
                }
            }
            _ => {}
        }
        Ok(())
    }

    pub(super) fn stop_if_idle(&mut self, now: Micros, process: u32, restart_delay: Micros) {
        let p = &self.processes[process as usize];
        let sidecar = p.sidecar;
        if self.sidecars[sidecar as usize].process != Some(process) {
            return;
        }
        if !p.open.is_empty() {
            return self
                .events
                .schedule(now + MIN_STOP_TIME / 8, SimEvent::StopCheck(process, restart_delay));
        }
        self.sidecars[sidecar as usize].process = None;
        self.end_process(process);
        self.events.schedule(now + restart_delay, SimEvent::StartProcess(sidecar));
    }

    pub(super) fn kill_process(&mut self, now: Micros, sidecar: u32) {
        let Some(process) = self.sidecars[sidecar as usize].process.take() else { return };
        let mut open: Vec<u32> = self.processes[process as usize].open.drain().collect();
        open.sort_unstable();
        let path = self.world.links.client as Micros + 1;
        for id in open {
            self.tries[id as usize].finished = true;
            for attempt in self.tries[id as usize].attempts.clone() {
                if std::mem::take(&mut self.attempts[attempt as usize].open) {
                    self.cancel_attempt(now, attempt);
                }
                let sent = self.attempts[attempt as usize].sent;
                self.requests[self.tries[id as usize].request as usize]
                    .may_have_run_since
                    .get_or_insert(sent);
            }
            self.events.schedule(now + path, SimEvent::ResponseArrived(id, Response::Failed));
        }
        self.end_process(process);
    }
}
