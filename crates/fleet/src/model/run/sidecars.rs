//! Sidecar processes, their events and the actions of their policy.

use super::*;

impl Run {
    /// Rounds up to the next tick; sidecars with ticks handle events only then.
    pub(super) fn round_up(&self, at: Micros) -> Micros {
        round_up_to_tick(at, self.world.tick)
    }

    /// A message arrives at a sidecar at `at`, and is handled after the sidecar's processing time.
    pub(super) fn deliver_message(&mut self, at: Micros, sidecar: u32, message: Message) {
        match self.world.processor {
            None => self.schedule_processed(at + self.world.sidecar_time, message),
            Some(_) => self.events.schedule(at, SimEvent::MessageArrived(sidecar, message)),
        }
    }

    /// Schedules the event of a message that a sidecar has processed.
    pub(super) fn schedule_processed(&mut self, at: Micros, message: Message) {
        let event = match message {
            Message::Try(id) => SimEvent::TryArrived(id),
            Message::Started(id) => SimEvent::StreamStarted(id),
            Message::Outcome(id, outcome) => SimEvent::AttemptEnded(id, outcome),
            Message::Malformed => return,
        };
        let at = self.round_up(at);
        self.events.schedule(at, event);
    }

    /// How long a sidecar takes to process a message, in or out, including the time in its processor's queue.
    pub(super) fn processing_delay(&mut self, now: Micros, sidecar: u32) -> Micros {
        let Some(spec) = self.world.processor else { return self.world.sidecar_time };
        let p = &mut self.sidecars[sidecar as usize].processor;
        if p.current_second != now / SECOND {
            (p.current_second, p.used_in_second) = (now / SECOND, 0.0);
        }
        p.used_in_second += spec.message;
        p.busy_until = p.busy_until.max(now) + spec.message as Micros;
        p.busy_until - now + self.world.sidecar_time
    }

    /// Whether a sidecar has used more processor time in this second than the site allows.
    pub(super) fn cpu_limit_exceeded(&self, now: Micros, sidecar: u32) -> bool {
        let p = &self.sidecars[sidecar as usize].processor;
        p.current_second == now / SECOND
            && self.world.processor.is_some_and(|spec| p.used_in_second > spec.limit_us_per_s)
    }

    pub(super) fn start_process(
        &mut self,
        now: Micros,
        sidecar: u32,
        first: bool,
    ) -> Result<(), SettingsError> {
        let state = &mut self.sidecars[sidecar as usize];
        state.starts += 1;
        let seed = chance::mix(self.world.seed ^ u64::from(sidecar) << 24 ^ state.starts << 56) >> 1;
        let id = self.processes.len() as u32;
        let (settings, world) = (self.settings[sidecar as usize].clone(), &self.world);
        let object = || world.settings_for(sidecar as usize);
        let decider = self.factory.start(u64::from(id), settings, &object, seed)?;
        state.process = Some(id);
        let version = state.known_version;
        self.processes.push(Process {
            sidecar,
            decider: Some(decider),
            registry_watch: None,
            stopping: false,
            watching: first,
            open: FxHashSet::default(),
            idle: FxHashMap::default(),
            unavailable: FxHashMap::default(),
            cordoned: FxHashMap::default(),
        });
        if self.registry.is_some() {
            self.start_watch(now, id, seed);
        } else {
            let list = self.list_at(version);
            self.record_unavailable(now, id, &list);
            self.dispatch(now, id, Event::EndpointList(EndpointListUpdate::Cached(list)));
        }
        // Operators' cordons survive restarts and upgrades.
        for server in self.cordoned.clone() {
            self.processes[id as usize].cordoned.insert(server as u32, now);
            self.dispatch(now, id, Event::Cordoned(server));
        }
        if !first && self.registry.is_none() {
            self.events.schedule(now + 1000, SimEvent::FetchList(id));
        }
        Ok(())
    }

    pub(super) fn try_arrived(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if t.finished {
            return;
        }
        // If the process has ended since the request was sent, the process that took over its socket handles it; if
        // there is none, the connection is reset and the request was never processed.
        if self.processes[t.process as usize].decider.is_none() {
            let sidecar = self.processes[t.process as usize].sidecar as usize;
            match self.sidecars[sidecar].process.filter(|p| !self.processes[*p as usize].stopping) {
                Some(process) => t.process = process,
                None => {
                    t.finished = true;
                    return self
                        .events
                        .schedule(now + 1, SimEvent::ResponseArrived(id, Response::ConnectionRefused));
                }
            }
        }
        let (process, due) = (t.process, t.due);
        // Above the limit on open requests, connections are refused before the policy sees them.
        if self.processes[process as usize].open.len() >= self.world.max_open_requests {
            t.finished = true;
            return self.events.schedule(now + 1, SimEvent::ResponseArrived(id, Response::ConnectionRefused));
        }
        let r = &self.requests[t.request as usize];
        let new = NewRequest {
            id: RequestId::from(id),
            class: usize::from(r.class),
            tenant: r.tenant.map(usize::from),
            partition_key: Some(u64::from(r.key)),
            deadline: due,
            expected_work: self.world.work_estimates.then(|| {
                let error = chance::log_normal_factor(self.world.seed ^ u64::from(t.request) << 16, 0.3);
                (f64::from(r.work) * error) as Micros
            }),
            is_client_retry: r.tries > 1,
            body_incomplete: false,
        };
        self.processes[process as usize].open.insert(id);
        self.dispatch(now, process, Event::RequestReceived(new));
    }

    pub(super) fn close_request(&mut self, process: u32, id: u32) {
        let p = &mut self.processes[process as usize];
        p.open.remove(&id);
        // After an upgrade the old process exits once all its requests are answered.
        if p.open.is_empty() && self.sidecars[p.sidecar as usize].process != Some(process) {
            self.end_process(process);
        }
    }

    /// Ends a process and closes its connections.
    pub(super) fn end_process(&mut self, process: u32) {
        let p = &mut self.processes[process as usize];
        p.decider = None;
        for (server, idle) in std::mem::take(&mut p.idle) {
            let s = &mut self.servers[server as usize];
            let open = idle.iter().filter(|(_, i)| *i == s.incarnation).count();
            s.connections = s.connections.saturating_sub(open as u32);
        }
    }

    /// Passes an event to a process's policy and performs the actions it returns.
    pub(super) fn dispatch(&mut self, now: Micros, process: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let p = &mut self.processes[process as usize];
        let Some(decider) = &mut p.decider else {
            self.actions = actions;
            return;
        };
        let view = TrueView {
            servers: &self.servers,
            links: &self.world.links,
            zone: self.world.sidecars[p.sidecar as usize].zone,
            overload_limit: self.world.overload_limit,
        };
        decider.handle(now, event, &view, &mut actions);
        for action in actions.drain(..) {
            self.perform(now, process, action);
        }
        self.actions = actions;
    }

    pub(super) fn perform(&mut self, now: Micros, process: u32, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout, .. } => {
                self.send_attempt(now, process, request as u32, endpoint, timeout)
            }
            Action::Reject { request, retry_after } => {
                let id = request as u32;
                if !self.tries[id as usize].finished {
                    let sent = self.sent_attempts(id);
                    let idempotency = self.idempotency
                        [usize::from(self.requests[self.tries[id as usize].request as usize].class)];
                    self.violations.record(rules::check_rejection(now, idempotency, &sent));
                    self.metrics.window(now).refusals += 1;
                    self.respond(now, process, id, Response::Rejected(retry_after));
                }
            }
            Action::Fail(request) if !self.tries[request as usize].finished => {
                self.respond(now, process, request as u32, Response::Failed)
            }
            Action::Cancel { request, attempt } => {
                let id = self.tries[request as usize].attempts.get(attempt as usize).copied();
                let cancellable =
                    |id: &u32| self.attempts[*id as usize].open && !self.attempts[*id as usize].started;
                if let Some(id) = id.filter(cancellable) {
                    // The attempt is cancelled now; the policy is notified at the next tick.
                    self.cancel_attempt(now, id);
                    self.events
                        .schedule(self.round_up(now + 1), SimEvent::AttemptEnded(id, Outcome::Cancelled));
                }
            }
            Action::SetTimer { after, token } => {
                let at = self.round_up(now + after.max(1));
                self.events.schedule(at, SimEvent::Timer(process, token));
            }
            Action::Subscribe(true) | Action::FetchEndpointList
                if self.world.discovery.on_request && self.registry.is_none() =>
            {
                self.events.schedule(now + 1000, SimEvent::FetchList(process));
            }
            Action::CloseIdleConnections(endpoint) => {
                let idle =
                    self.processes[process as usize].idle.remove(&(endpoint as u32)).unwrap_or_default();
                let s = &mut self.servers[endpoint];
                let open = idle.iter().filter(|(_, i)| *i == s.incarnation).count();
                s.connections = s.connections.saturating_sub(open as u32);
            }
            Action::HealthCheck(endpoint) => self.send_probe(now, process, endpoint),
            // Messages to peers, which the simulation doesn't support, and actions that no longer apply.
            _ => {}
        }
    }

    /// Sends a health check. Its work is taken from the server's capacity for requests, and it is rejected while the
    /// server is handling too many others.
    pub(super) fn send_probe(&mut self, now: Micros, process: u32, server: usize) {
        self.metrics.probes += 1;
        let (work, queued, timeout) = self.world.probe;
        let zone = self.world.sidecars[self.processes[process as usize].sidecar as usize].zone;
        let s = &self.servers[server];
        let (to, latency_factor) = (s.spec.zone, s.spec.latency_factor);
        let path = self.world.links.delay(zone, to, latency_factor)
            + self.world.links.delay(to, zone, latency_factor);
        let queueing = if queued { s.backlog() / s.spec.cores } else { 0.0 };
        let core = (s.capacity(now) / s.spec.cores).max(1e-9);
        let took = path + ((queueing + work) / core).min(1e12) as Micros;
        let at_capacity = f64::from(s.probes) >= (self.world.probe_cap * s.spec.cores).max(1.0);
        let (took, outcome) = match s.machine {
            MachineState::Down => (path, Outcome::ConnectFailed),
            MachineState::Up if at_capacity && self.world.links.bidirectional(zone, to) => {
                (path, Outcome::Rejected)
            }
            MachineState::Up if took <= timeout && self.world.links.bidirectional(zone, to) => {
                (took, Outcome::Ok)
            }
            _ => (timeout, Outcome::TimedOut),
        };
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            self.servers[server].probes += 1;
        }
        if outcome == Outcome::Ok {
            self.servers[server].consume_capacity(now, work);
            self.reschedule_completion(now, server as u32);
        }
        self.events
            .schedule(self.round_up(now + took), SimEvent::ProbeEnded(process, server as u32, now, outcome));
    }

    pub(super) fn respond(&mut self, now: Micros, process: u32, id: u32, response: Response) {
        self.events.add_to_digest(u64::from(id));
        self.tries[id as usize].finished = true;
        self.close_request(process, id);
        let path = self.world.links.client as Micros + 1;
        let sidecar = self.processes[process as usize].sidecar;
        let processing = self.processing_delay(now, sidecar);
        self.events.schedule(now + path + processing, SimEvent::ResponseArrived(id, response));
    }

    pub(super) fn sent_attempts(&self, id: u32) -> Vec<Sent> {
        let to_sent = |a: &u32| {
            let a = &self.attempts[*a as usize];
            let spec = &self.servers[a.server as usize].spec;
            Sent { zone: spec.zone, cell: spec.cell, at: a.sent, open: a.open, may_have_run: a.may_have_run }
        };
        self.tries[id as usize].attempts.iter().map(to_sent).collect()
    }
}
