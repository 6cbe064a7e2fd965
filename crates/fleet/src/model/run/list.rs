//! The endpoint list and its distribution to sidecars.

use super::*;

impl Run {
    pub(super) fn endpoint_entry(&self, server: usize, entry: Entry) -> EndpointEntry {
        let spec = &self.servers[server].spec;
        EndpointEntry {
            endpoint: server,
            zone: Some(spec.zone),
            cell: spec.cell,
            machine_type: Some(spec.kind),
            status: entry.status,
            size: if self.world.live_weights {
                spec.weight / (1.0 + self.servers[server].published_load)
            } else {
                spec.weight
            },
            started_at: entry.started,
        }
    }

    /// The list at that version.
    pub(super) fn list_at(&self, version: usize) -> Vec<EndpointEntry> {
        let first = |i: usize| Entry {
            status: if self.servers[i].spec.starts_later {
                EndpointStatus::Removed
            } else {
                EndpointStatus::Ready
            },
            started: None,
        };
        let mut entries: Vec<Entry> = (0..self.servers.len()).map(first).collect();
        for change in self.discovery.changes_until(version) {
            entries[change.server] = change.entry;
        }
        let listed = entries.into_iter().enumerate().filter(|(_, e)| e.status != EndpointStatus::Removed);
        listed.map(|(i, e)| self.endpoint_entry(i, e)).collect()
    }

    pub(super) fn publish_round(&mut self, now: Micros) {
        for s in &mut self.servers {
            s.published_load = s.in_flight() as f64 / s.spec.cores;
        }
        let changed = self.discovery.publish(now);
        if changed && !self.discovery.down {
            for sidecar in 0..self.sidecars.len() as u32 {
                let after = (self.list_rng.random::<f64>() * self.world.discovery.spread as f64) as Micros;
                self.events.schedule(self.round_up(now + after), SimEvent::ListPushed(sidecar));
            }
        }
        if now < self.world.length {
            self.events.schedule(now + self.world.discovery.period, SimEvent::PublishRound);
        }
    }

    pub(super) fn list_pushed(&mut self, now: Micros, sidecar: u32) {
        let Some(process) = self.sidecars[sidecar as usize].process else { return };
        if self.registry.is_some() || !self.processes[process as usize].watching || self.discovery.down {
            return;
        }
        let from = self.sidecars[sidecar as usize].known_version;
        let changes: Vec<Change> = self.discovery.changes_after(from).to_vec();
        if !changes.is_empty() {
            let list: Vec<EndpointEntry> =
                changes.iter().map(|c| self.endpoint_entry(c.server, c.entry)).collect();
            changes.iter().for_each(|c| self.metrics.record_staleness(now, now - c.since));
            self.metrics.list_entries += list.len() as u64;
            self.sidecars[sidecar as usize].known_version = self.discovery.version();
            self.record_unavailable(now, process, &list);
            self.dispatch(now, process, Event::EndpointList(EndpointListUpdate::Delta(list)));
        }
    }

    /// Records which servers a process now knows to be draining or removed.
    pub(super) fn record_unavailable(&mut self, now: Micros, process: u32, list: &[EndpointEntry]) {
        let unavailable = &mut self.processes[process as usize].unavailable;
        for l in list {
            if l.status == EndpointStatus::Ready {
                unavailable.remove(&(l.endpoint as u32));
            } else {
                unavailable.entry(l.endpoint as u32).or_insert(now);
            }
        }
    }

    pub(super) fn fetch_list(&mut self, now: Micros, process: u32) {
        if self.processes[process as usize].decider.is_some() {
            let d = &self.world.discovery;
            let answered = self.discovery.fetch(now, d.fetch_time, d.fetch_timeout);
            let (at, succeeded) = answered.map_or_else(|at| (at, false), |at| (at, true));
            self.events.schedule(self.round_up(at), SimEvent::FetchEnded(process, succeeded));
        }
    }

    pub(super) fn fetch_ended(&mut self, now: Micros, process: u32, succeeded: bool) {
        if self.processes[process as usize].decider.is_none() {
            return;
        }
        if !succeeded || self.discovery.down {
            if self.world.discovery.on_request {
                return self.dispatch(now, process, Event::EndpointList(EndpointListUpdate::Failed));
            }
            return self.events.schedule(now + self.world.discovery.retry, SimEvent::FetchList(process));
        }
        let (sidecar, version) = (self.processes[process as usize].sidecar, self.discovery.version());
        let from = self.sidecars[sidecar as usize].known_version;
        let ages: Vec<Micros> = self.discovery.changes_after(from).iter().map(|c| now - c.since).collect();
        ages.into_iter().for_each(|age| self.metrics.record_staleness(now, age));
        self.processes[process as usize].watching = true;
        self.sidecars[sidecar as usize].known_version = version;
        let list = self.list_at(version);
        self.metrics.list_entries += list.len() as u64;
        self.record_unavailable(now, process, &list);
        self.dispatch(now, process, Event::EndpointList(EndpointListUpdate::Full(list)));
    }

    pub(super) fn close_idle_connections(&mut self, now: Micros) {
        let idle = self.world.idle_timeout;
        for process in &mut self.processes {
            process.idle.retain(|server, connections| {
                let s = &mut self.servers[*server as usize];
                connections.retain(|(since, incarnation)| {
                    let keep = now - since < idle;
                    if !keep && *incarnation == s.incarnation {
                        s.connections = s.connections.saturating_sub(1);
                    }
                    keep
                });
                !connections.is_empty()
            });
        }
        let open = self.servers.iter().map(|s| u64::from(s.connections)).sum();
        self.metrics.window(now - 1).connections = open;
        if now < self.world.length {
            self.events.schedule(now + SECOND, SimEvent::IdleSweep);
        }
    }
}
