//! What goes wrong, as planned.

use super::*;

impl Run {
    pub(super) fn pause(&mut self, now: Micros, server: u32, begin: bool) {
        let s = &mut self.servers[server as usize];
        s.pause(now, begin);
        let name = chance::mix(self.world.seed ^ now as u64 ^ u64::from(server) << 40);
        let at = if begin {
            now + (s.spec.pause as f64 * (1.0 + s.spec.pause_grow * s.use_now())) as Micros
        } else {
            now + (s.spec.pause_every as f64 * (0.5 + chance::unit(name))) as Micros
        };
        if now < self.world.length {
            self.calendar.at(at, Happens::Pause(server, !begin));
        }
        self.look_again(now, server);
    }

    pub(super) fn end_server(&mut self, now: Micros, server: usize) {
        let lost = self.servers[server].lose_all(now);
        self.servers[server].machine = Machine::Down;
        for id in lost {
            let reused = self.attempts[id as usize].reused;
            self.reply(now, id, reset(reused));
        }
        // What was kept open is closed, and the sidecars see that.
        for process in &mut self.processes {
            process.idle.remove(&(server as u32));
        }
    }

    /// Discovery learns of a server's state after a while.
    pub(super) fn learns(
        &mut self,
        now: Micros,
        server: usize,
        status: EndpointStatus,
        after: crate::site::Range,
    ) {
        if self.roster.is_some() {
            // A server that ends by plan takes itself off; of one that does not, its lease tells.
            let told = status != EndpointStatus::Removed || self.servers[server].draining.is_some();
            return if told {
                self.tell_roster(now, server, status)
            };
        }
        let entry = Entry { status, started: self.servers[server].started };
        let at = now + crate::seconds(after.draw(&mut self.lists));
        self.calendar.at(at, Happens::Learns(Change { server, entry, since: now }));
    }

    pub(super) fn planned(&mut self, now: Micros, what: Happening) -> Result<(), SettingsError> {
        let d = self.world.discovery.clone();
        match what {
            Happening::Drain(s) if self.servers[s].machine == Machine::Up => {
                self.servers[s].draining = Some(now);
                self.learns(now, s, EndpointStatus::Draining, d.notice);
            }
            Happening::End(s) if self.servers[s].machine != Machine::Down => {
                self.end_server(now, s);
                self.learns(now, s, EndpointStatus::Removed, d.notice);
            }
            Happening::Start(s) if !self.servers[s].tipped => {
                if self.servers[s].machine == Machine::Silent {
                    self.servers[s].lose_all(now);
                }
                self.servers[s].start(now);
                self.starts[s] = usize::MAX;
                self.learns(now, s, EndpointStatus::Ready, d.add);
            }
            Happening::Silent(s) if self.servers[s].machine == Machine::Up => {
                self.servers[s].advance(now);
                self.servers[s].machine = Machine::Silent;
                self.learns(now, s, EndpointStatus::Removed, d.silent_notice);
            }
            Happening::Pause(s, begin) => {
                self.servers[s].pause(now, begin);
                self.look_again(now, s as u32);
            }
            Happening::Slow(s, factor) => {
                self.servers[s].advance(now);
                self.servers[s].slow *= factor;
                self.look_again(now, s as u32);
            }
            Happening::Errors(s, share) => self.servers[s].errors = share,
            Happening::Cordon(s, out) => {
                if out {
                    self.cordoned.insert(s)
                } else {
                    self.cordoned.remove(&s)
                };
                for id in 0..self.processes.len() as u32 {
                    let told = &mut self.processes[id as usize].cordoned;
                    if out {
                        told.insert(s as u32, now)
                    } else {
                        told.remove(&(s as u32))
                    };
                    self.tell(now, id, if out { Event::Cordoned(s) } else { Event::Uncordoned(s) });
                }
            }
            Happening::TurnAway(s, class) => self.servers[s].turns_away = class,
            Happening::Cut(zone, both, begin) => self.world.links.cut(zone, both, begin),
            Happening::Traffic(None, factor) => self.traffic.0 *= factor,
            Happening::Traffic(Some(zone), factor) => self.traffic.1[zone] *= factor,
            Happening::KillSidecar(s) => self.kill(now, s as u32),
            Happening::StopSidecar(s, away) => {
                if let Some(p) = self.sidecars[s].process {
                    self.processes[p as usize].stopping = true;
                    self.calendar.at(now + LINGER, Happens::Leaves(p, away));
                }
            }
            Happening::StartSidecar(s) if self.sidecars[s].process.is_none() => {
                self.start_process(now, s as u32, false)?
            }
            Happening::UpgradeSidecar(s) => {
                if let Some(old) = self.sidecars[s].process {
                    self.start_process(now, s as u32, false)?;
                    if self.processes[old as usize].open.is_empty() {
                        self.end_process(old);
                    }
                }
            }
            Happening::Discovery(up) => {
                self.discovery.away(now, !up);
                self.roster_away(now, !up);
            }
            Happening::Roster(place, silent, begin) => self.roster_fault(now, place, silent, begin),
            Happening::Resets(share) => self.resets = share,
            Happening::Spoilt(share) => self.spoilt = share,
            Happening::LateConnects(share, late) => self.late_connects = (share, late),
            Happening::Eager(times, leave) => self.eager = (times, leave),
            Happening::BadClients(s, every) => {
                let before = std::mem::replace(&mut self.sidecars[s].bad, every);
                // One stream of them at a time.
                if before == 0 {
                    self.calendar.at(now, Happens::Bad(s as u32));
                }
            }
            _ => {}
        }
        Ok(())
    }

    pub(super) fn leaves(&mut self, now: Micros, process: u32, away: Micros) {
        let p = &self.processes[process as usize];
        let sidecar = p.sidecar;
        if self.sidecars[sidecar as usize].process != Some(process) {
            return;
        }
        if !p.open.is_empty() {
            return self.calendar.at(now + LINGER / 8, Happens::Leaves(process, away));
        }
        self.sidecars[sidecar as usize].process = None;
        self.end_process(process);
        self.calendar.at(now + away, Happens::Starts(sidecar));
    }

    pub(super) fn kill(&mut self, now: Micros, sidecar: u32) {
        let Some(process) = self.sidecars[sidecar as usize].process.take() else { return };
        let mut open: Vec<u32> = self.processes[process as usize].open.drain().collect();
        open.sort_unstable();
        let path = self.world.links.client as Micros + 1;
        for id in open {
            self.tries[id as usize].over = true;
            for attempt in self.tries[id as usize].attempts.clone() {
                if std::mem::take(&mut self.attempts[attempt as usize].open) {
                    self.give_up(now, attempt);
                }
                let sent = self.attempts[attempt as usize].sent;
                self.requests[self.tries[id as usize].request as usize].ran.get_or_insert(sent);
            }
            self.calendar.at(now + path, Happens::Answer(id, Answer::Failed));
        }
        self.end_process(process);
    }
}
