//! The list of servers, and how sidecars are told of it.

use super::*;

impl Run {
    pub(super) fn listing(&self, server: usize, entry: Entry) -> EndpointEntry {
        let spec = &self.servers[server].spec;
        EndpointEntry {
            endpoint: server,
            zone: Some(spec.zone),
            cell: spec.cell,
            machine_type: Some(spec.kind),
            status: entry.status,
            size: if self.world.live_weights {
                spec.weight / (1.0 + self.servers[server].seen)
            } else {
                spec.weight
            },
            started_at: entry.started,
        }
    }

    /// The list as that version has it.
    pub(super) fn list_at(&self, version: usize) -> Vec<EndpointEntry> {
        let first = |i: usize| Entry {
            status: if self.servers[i].spec.later { EndpointStatus::Removed } else { EndpointStatus::Ready },
            started: None,
        };
        let mut entries: Vec<Entry> = (0..self.servers.len()).map(first).collect();
        for change in self.discovery.until(version) {
            entries[change.server] = change.entry;
        }
        let listed = entries.into_iter().enumerate().filter(|(_, e)| e.status != EndpointStatus::Removed);
        listed.map(|(i, e)| self.listing(i, e)).collect()
    }

    pub(super) fn round(&mut self, now: Micros) {
        for s in &mut self.servers {
            s.seen = s.held() as f64 / s.spec.cores;
        }
        let news = self.discovery.publish(now);
        if news && !self.discovery.down {
            for sidecar in 0..self.sidecars.len() as u32 {
                let after = (self.lists.random::<f64>() * self.world.discovery.spread as f64) as Micros;
                self.calendar.at(self.round_up(now + after), Happens::Told(sidecar));
            }
        }
        if now < self.world.length {
            self.calendar.at(now + self.world.discovery.period, Happens::Round);
        }
    }

    pub(super) fn told(&mut self, now: Micros, sidecar: u32) {
        let Some(process) = self.sidecars[sidecar as usize].process else { return };
        if self.roster.is_some() || !self.processes[process as usize].watching || self.discovery.down {
            return;
        }
        let from = self.sidecars[sidecar as usize].told;
        let changes: Vec<Change> = self.discovery.since(from).to_vec();
        if !changes.is_empty() {
            let list: Vec<EndpointEntry> = changes.iter().map(|c| self.listing(c.server, c.entry)).collect();
            changes.iter().for_each(|c| self.gauge.told(now, now - c.since));
            self.gauge.lines += list.len() as u64;
            self.sidecars[sidecar as usize].told = self.discovery.version();
            self.note_gone(now, process, &list);
            self.tell(now, process, Event::EndpointList(EndpointListUpdate::Delta(list)));
        }
    }

    /// What a process was told of servers that it must not send to any more.
    pub(super) fn note_gone(&mut self, now: Micros, process: u32, list: &[EndpointEntry]) {
        let gone = &mut self.processes[process as usize].gone;
        for l in list {
            if l.status == EndpointStatus::Ready {
                gone.remove(&(l.endpoint as u32));
            } else {
                gone.entry(l.endpoint as u32).or_insert(now);
            }
        }
    }

    pub(super) fn call(&mut self, now: Micros, process: u32) {
        if self.processes[process as usize].decider.is_some() {
            let d = &self.world.discovery;
            let answered = self.discovery.call(now, d.call, d.call_timeout);
            let (at, fine) = answered.map_or_else(|at| (at, false), |at| (at, true));
            self.calendar.at(self.round_up(at), Happens::Called(process, fine));
        }
    }

    pub(super) fn called(&mut self, now: Micros, process: u32, fine: bool) {
        if self.processes[process as usize].decider.is_none() {
            return;
        }
        if !fine || self.discovery.down {
            if self.world.discovery.on_request {
                return self.tell(now, process, Event::EndpointList(EndpointListUpdate::Failed));
            }
            return self.calendar.at(now + self.world.discovery.retry, Happens::Call(process));
        }
        let (sidecar, version) = (self.processes[process as usize].sidecar, self.discovery.version());
        let from = self.sidecars[sidecar as usize].told;
        let ages: Vec<Micros> = self.discovery.since(from).iter().map(|c| now - c.since).collect();
        ages.into_iter().for_each(|age| self.gauge.told(now, age));
        self.processes[process as usize].watching = true;
        self.sidecars[sidecar as usize].told = version;
        let list = self.list_at(version);
        self.gauge.lines += list.len() as u64;
        self.note_gone(now, process, &list);
        self.tell(now, process, Event::EndpointList(EndpointListUpdate::Full(list)));
    }

    pub(super) fn sweep(&mut self, now: Micros) {
        let idle = self.world.idle;
        for process in &mut self.processes {
            process.idle.retain(|server, kept| {
                let s = &mut self.servers[*server as usize];
                kept.retain(|(since, incarnation)| {
                    let stays = now - since < idle;
                    if !stays && *incarnation == s.incarnation {
                        s.connections = s.connections.saturating_sub(1);
                    }
                    stays
                });
                !kept.is_empty()
            });
        }
        let held = self.servers.iter().map(|s| u64::from(s.connections)).sum();
        self.gauge.at(now - 1).connections = held;
        if now < self.world.length {
            self.calendar.at(now + SECOND, Happens::Sweep);
        }
    }
}
