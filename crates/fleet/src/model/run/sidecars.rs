//! Sidecars' processes, and what they ask for.

use super::*;

impl Run {
    /// Sidecars that work in rounds hear of things at the next one.
    pub(super) fn round_up(&self, at: Micros) -> Micros {
        round_at(at, self.world.tick)
    }

    /// A message comes to a sidecar, whose own time for it follows.
    pub(super) fn comes(&mut self, at: Micros, sidecar: u32, message: Message) {
        match self.world.processor {
            None => self.handled(at + self.world.sidecar_time, message),
            Some(_) => self.calendar.at(at, Happens::Comes(sidecar, message)),
        }
    }

    /// A sidecar is done with a message then.
    pub(super) fn handled(&mut self, at: Micros, message: Message) {
        let what = match message {
            Message::Try(id) => Happens::Arrives(id),
            Message::Started(id) => Happens::Started(id),
            Message::Outcome(id, how) => Happens::Outcome(id, how),
            Message::Bad => return,
        };
        let at = self.round_up(at);
        self.calendar.at(at, what);
    }

    /// How long a sidecar takes for a message, in or out, what its processor has in hand included.
    pub(super) fn processed(&mut self, now: Micros, sidecar: u32) -> Micros {
        let Some(spec) = self.world.processor else { return self.world.sidecar_time };
        let p = &mut self.sidecars[sidecar as usize].processor;
        if p.second != now / SECOND {
            (p.second, p.used) = (now / SECOND, 0.0);
        }
        p.used += spec.message;
        p.busy_until = p.busy_until.max(now) + spec.message as Micros;
        p.busy_until - now + self.world.sidecar_time
    }

    /// Whether a sidecar has used more of its processor in this second than the site allows.
    pub(super) fn overused(&self, now: Micros, sidecar: u32) -> bool {
        let p = &self.sidecars[sidecar as usize].processor;
        p.second == now / SECOND && self.world.processor.is_some_and(|spec| p.used > spec.most_per_s)
    }

    pub(super) fn start_process(
        &mut self,
        now: Micros,
        sidecar: u32,
        first: bool,
    ) -> Result<(), SettingsError> {
        let place = &mut self.sidecars[sidecar as usize];
        place.starts += 1;
        let seed = chance::mix(self.world.seed ^ u64::from(sidecar) << 24 ^ place.starts << 56) >> 1;
        let id = self.processes.len() as u32;
        let (set, world) = (self.settings[sidecar as usize].clone(), &self.world);
        let object = || world.settings_for(sidecar as usize);
        let decider = self.source.start(u64::from(id), set, &object, seed)?;
        place.process = Some(id);
        let version = place.told;
        self.processes.push(Process {
            sidecar,
            decider: Some(decider),
            riding: None,
            stopping: false,
            watching: first,
            open: FxHashSet::default(),
            idle: FxHashMap::default(),
            gone: FxHashMap::default(),
            cordoned: FxHashMap::default(),
        });
        if self.roster.is_some() {
            self.start_riding(now, id, seed);
        } else {
            let list = self.list_at(version);
            self.note_gone(now, id, &list);
            self.tell(now, id, Event::EndpointList(EndpointListUpdate::Cached(list)));
        }
        // What operators told outlives an upgrade.
        for server in self.cordoned.clone() {
            self.processes[id as usize].cordoned.insert(server as u32, now);
            self.tell(now, id, Event::Cordoned(server));
        }
        if !first && self.roster.is_none() {
            self.calendar.at(now + 1000, Happens::Call(id));
        }
        Ok(())
    }

    pub(super) fn arrives(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if t.over {
            return;
        }
        // What was on its way to a process that has ended since comes to the one that has its socket, or is reset
        // and was never taken.
        if self.processes[t.process as usize].decider.is_none() {
            let sidecar = self.processes[t.process as usize].sidecar as usize;
            match self.sidecars[sidecar].process.filter(|p| !self.processes[*p as usize].stopping) {
                Some(process) => t.process = process,
                None => {
                    t.over = true;
                    return self.calendar.at(now + 1, Happens::Answer(id, Answer::Unreached));
                }
            }
        }
        let (process, due) = (t.process, t.due);
        // Those that it has no seat for are turned away before it.
        if self.processes[process as usize].open.len() >= self.world.seats {
            t.over = true;
            return self.calendar.at(now + 1, Happens::Answer(id, Answer::Unreached));
        }
        let r = &self.requests[t.request as usize];
        let new = NewRequest {
            id: RequestId::from(id),
            class: usize::from(r.class),
            tenant: r.tenant.map(usize::from),
            partition_key: Some(u64::from(r.key)),
            deadline: due,
            expected_work: self.world.hints.then(|| {
                let rough = chance::factor(self.world.seed ^ u64::from(t.request) << 16, 0.3);
                (f64::from(r.work) * rough) as Micros
            }),
            is_client_retry: r.tries > 1,
            body_incomplete: false,
        };
        self.processes[process as usize].open.insert(id);
        self.tell(now, process, Event::RequestReceived(new));
    }

    pub(super) fn close(&mut self, process: u32, id: u32) {
        let p = &mut self.processes[process as usize];
        p.open.remove(&id);
        // The old process of an upgrade ends once all it had is answered.
        if p.open.is_empty() && self.sidecars[p.sidecar as usize].process != Some(process) {
            self.end_process(process);
        }
    }

    /// Its connections end with it.
    pub(super) fn end_process(&mut self, process: u32) {
        let p = &mut self.processes[process as usize];
        p.decider = None;
        for (server, idle) in std::mem::take(&mut p.idle) {
            let s = &mut self.servers[server as usize];
            let held = idle.iter().filter(|(_, i)| *i == s.incarnation).count();
            s.connections = s.connections.saturating_sub(held as u32);
        }
    }

    /// Hands an event to a process, and does what it asks for.
    pub(super) fn tell(&mut self, now: Micros, process: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let p = &mut self.processes[process as usize];
        let Some(decider) = &mut p.decider else {
            self.actions = actions;
            return;
        };
        let sight = Sight {
            servers: &self.servers,
            links: &self.world.links,
            zone: self.world.sidecars[p.sidecar as usize].zone,
            fall: self.world.fall,
        };
        decider.handle(now, event, &sight, &mut actions);
        for action in actions.drain(..) {
            self.act(now, process, action);
        }
        self.actions = actions;
    }

    pub(super) fn act(&mut self, now: Micros, process: u32, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout, .. } => {
                self.attempt(now, process, request as u32, endpoint, timeout)
            }
            Action::Reject { request, retry_after } => {
                let id = request as u32;
                if !self.tries[id as usize].over {
                    let sent = self.sent(id);
                    let effect = self.effects
                        [usize::from(self.requests[self.tries[id as usize].request as usize].class)];
                    self.broken.note(rules::of_refusal(now, effect, &sent));
                    self.gauge.at(now).refusals += 1;
                    self.answer(now, process, id, Answer::Refused(retry_after));
                }
            }
            Action::Fail(request) if !self.tries[request as usize].over => {
                self.answer(now, process, request as u32, Answer::Failed)
            }
            Action::Cancel { request, attempt } => {
                let id = self.tries[request as usize].attempts.get(attempt as usize).copied();
                let ends =
                    |id: &u32| self.attempts[*id as usize].open && !self.attempts[*id as usize].started;
                if let Some(id) = id.filter(ends) {
                    // It is given up now, and that is told at the next turn.
                    self.give_up(now, id);
                    self.calendar.at(self.round_up(now + 1), Happens::Outcome(id, Outcome::Cancelled));
                }
            }
            Action::SetTimer { after, token } => {
                let at = self.round_up(now + after.max(1));
                self.calendar.at(at, Happens::Timer(process, token));
            }
            Action::Subscribe(true) | Action::FetchEndpointList
                if self.world.discovery.on_request && self.roster.is_none() =>
            {
                self.calendar.at(now + 1000, Happens::Call(process));
            }
            Action::CloseIdleConnections(endpoint) => {
                let idle =
                    self.processes[process as usize].idle.remove(&(endpoint as u32)).unwrap_or_default();
                let s = &mut self.servers[endpoint];
                let held = idle.iter().filter(|(_, i)| *i == s.incarnation).count();
                s.connections = s.connections.saturating_sub(held as u32);
            }
            Action::HealthCheck(endpoint) => self.probe(now, process, endpoint),
            // Messages to peers, which the site does not allow.
            _ => {}
        }
    }

    /// A probe: its work is taken off what the server does for requests, and it is turned away beside too many others.
    pub(super) fn probe(&mut self, now: Micros, process: u32, server: usize) {
        self.gauge.probes += 1;
        let (work, deep, patience) = self.world.probe;
        let zone = self.world.sidecars[self.processes[process as usize].sidecar as usize].zone;
        let s = &self.servers[server];
        let (to, stretch) = (s.spec.zone, s.spec.stretch);
        let path = self.world.links.time(zone, to, stretch) + self.world.links.time(to, zone, stretch);
        let waits = if deep { s.backlog() / s.spec.cores } else { 0.0 };
        let core = (s.capacity(now) / s.spec.cores).max(1e-9);
        let took = path + ((waits + work) / core).min(1e12) as Micros;
        let full = f64::from(s.probes) >= (self.world.probe_cap * s.spec.cores).max(1.0);
        let (took, outcome) = match s.machine {
            Machine::Down => (path, Outcome::ConnectFailed),
            Machine::Up if full && self.world.links.both(zone, to) => (path, Outcome::Rejected),
            Machine::Up if took <= patience && self.world.links.both(zone, to) => (took, Outcome::Ok),
            _ => (patience, Outcome::TimedOut),
        };
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            self.servers[server].probes += 1;
        }
        if outcome == Outcome::Ok {
            self.servers[server].steal(now, work);
            self.look_again(now, server as u32);
        }
        self.calendar.at(self.round_up(now + took), Happens::Probed(process, server as u32, now, outcome));
    }

    pub(super) fn answer(&mut self, now: Micros, process: u32, id: u32, answer: Answer) {
        self.calendar.note(u64::from(id));
        self.tries[id as usize].over = true;
        self.close(process, id);
        let path = self.world.links.client as Micros + 1;
        let sidecar = self.processes[process as usize].sidecar;
        let own = self.processed(now, sidecar);
        self.calendar.at(now + path + own, Happens::Answer(id, answer));
    }

    pub(super) fn sent(&self, id: u32) -> Vec<Sent> {
        let of = |a: &u32| {
            let a = &self.attempts[*a as usize];
            let spec = &self.servers[a.server as usize].spec;
            Sent { zone: spec.zone, cell: spec.cell, at: a.sent, open: a.open, may_have_run: a.may_have_run }
        };
        self.tries[id as usize].attempts.iter().map(of).collect()
    }
}
