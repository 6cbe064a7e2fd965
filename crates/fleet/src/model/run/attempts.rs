//! Attempts on their way to servers and back.

use super::*;

impl Run {
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        process: u32,
        id: u32,
        server: usize,
        timeout: Micros,
    ) {
        let p = &mut self.processes[process as usize];
        let limits = &self.settings[p.sidecar as usize].limits;
        let (zone, to) = (self.world.sidecars[p.sidecar as usize].zone, self.servers[server].spec.zone);
        let (max_attempts, may_hedge) = (limits.max_attempts, limits.may_hedge);
        let [listed, cordoned] =
            [&p.unavailable, &p.cordoned].map(|notified| notified.get(&(server as u32)).copied());
        let presumed = self.removal_versions[server].and_then(|version| self.presumed_known_at(version));
        let unavailable_since = listed.into_iter().chain(cordoned).chain(presumed).min();
        let t = &self.tries[id as usize];
        let r = &self.requests[t.request as usize];
        let earlier = self.sent_attempts(id);
        let spec = &self.servers[server].spec;
        let (cell, may_have_run) = (spec.cell, true);
        let check = SendCheck {
            idempotency: self.idempotency[usize::from(r.class)],
            earlier: &earlier,
            to: Sent { zone: to, cell, at: now, open: true, may_have_run },
            finished: t.finished,
            listed: !spec.starts_later || self.servers[server].incarnation > 0,
            unavailable_since,
            drain_grace: self.world.drain_grace,
            max_attempts,
            may_hedge,
        };
        let violation = rules::check_send(&check);
        self.violations.record(violation);
        if t.finished || earlier.len() as u32 >= max_attempts {
            return;
        }
        let class = &self.world.classes[usize::from(r.class)];
        let random_key = self.world.seed ^ chance::mix(u64::from(id) << 8 | earlier.len() as u64);
        let work = f64::from((f64::from(r.work) * chance::log_normal_factor(random_key, class.noise)) as f32);
        let number = self.attempts.len() as u32;
        let incarnation = self.servers[server].incarnation;
        let p = &mut self.processes[process as usize];
        let reusable = p.idle.get_mut(&(server as u32)).and_then(Vec::pop);
        self.tries[id as usize].attempts.push(number);
        self.events.add_to_digest(u64::from(number) << 32 | server as u64);
        let due = now + timeout.max(1);
        self.attempts.push(Attempt {
            try_id: id,
            number: earlier.len() as u32,
            server: server as u32,
            incarnation: reusable.map_or(incarnation, |k| k.1),
            sent: now,
            due,
            work: work as f32,
            open: true,
            reused: reusable.is_some(),
            connected: reusable.is_some(),
            may_have_run,
            started: false,
        });
        let window = self.metrics.window(now);
        window.attempts += 1;
        window.cross_zone += u64::from(zone != to);
        self.events.schedule(self.round_up(due), SimEvent::AttemptTimeout(number));
        let latency_factor = self.servers[server].spec.latency_factor;
        let sidecar = self.processes[process as usize].sidecar;
        let path = self.world.links.delay(zone, to, latency_factor) + self.processing_delay(now, sidecar);
        let s = &mut self.servers[server];
        if reusable.is_some() {
            s.in_transit += work;
            return self.events.schedule(now + path, SimEvent::AttemptArrived(number));
        }
        if s.machine == MachineState::Unresponsive || !self.world.links.bidirectional(zone, to) {
            let failed = self.round_up(now + self.world.dial_timeout);
            return self.events.schedule(failed, SimEvent::AttemptEnded(number, Outcome::ConnectFailed));
        }
        let (share, late) = self.late_connects;
        let late = if chance::unit(random_key ^ 0x1a7e) < share { late } else { 0 };
        if late >= self.world.dial_timeout && s.machine == MachineState::Up {
            let failed = self.round_up(now + self.world.dial_timeout);
            return self.events.schedule(failed, SimEvent::AttemptEnded(number, Outcome::ConnectFailed));
        }
        let streams = self.world.streams;
        if s.machine == MachineState::Down || s.connections >= s.spec.connections * streams {
            let refused = self.round_up(now + 2 * path);
            return self.events.schedule(refused, SimEvent::AttemptEnded(number, Outcome::ConnectFailed));
        }
        s.connections += streams;
        s.in_transit += work;
        // The connection's remaining streams are available to the next attempts.
        let remaining = (1..streams).map(|_| (now, incarnation));
        self.processes[process as usize].idle.entry(server as u32).or_default().extend(remaining);
        self.attempts[number as usize].connected = true;
        self.metrics.window(now).handshakes += 1;
        let handshake = (self.world.handshake.0 * 2.0 * path as f64) as Micros + late;
        self.events.schedule(now + handshake, SimEvent::ConnectionEstablished(number, path));
    }

    /// Handles an established connection. An attempt that was cancelled meanwhile, for example because the client
    /// disconnected, is not sent.
    pub(super) fn connection_established(&mut self, now: Micros, id: u32, path: Micros) {
        let a = &self.attempts[id as usize];
        if a.open && !self.tries[a.try_id as usize].finished {
            self.events.schedule(now + path, SimEvent::AttemptArrived(id));
        } else {
            self.servers[a.server as usize].in_transit -= f64::from(a.work);
        }
    }

    /// The time from which sidecars are presumed to know a list version, whether they received it or not; `None` if
    /// it can't be known yet. A registry's versions count from their acknowledgement.
    fn presumed_known_at(&self, version: usize) -> Option<Micros> {
        let since = match &self.registry {
            Some(registry) => registry.acknowledged_at(version as u64),
            None => self.discovery.reachable_since(version),
        };
        since.map(|at| at + PRESUMED_KNOWN_AFTER)
    }

    pub(super) fn zones_of(&self, a: &Attempt) -> (usize, usize) {
        let process = self.tries[a.try_id as usize].process as usize;
        let sidecar = self.processes[process].sidecar as usize;
        (self.world.sidecars[sidecar].zone, self.servers[a.server as usize].spec.zone)
    }

    /// Sends an attempt's outcome back to the sidecar, unless the link is cut.
    pub(super) fn reply(&mut self, now: Micros, id: u32, outcome: Outcome) {
        let a = &self.attempts[id as usize];
        let (zone, from) = self.zones_of(a);
        let latency_factor = self.servers[a.server as usize].spec.latency_factor;
        if self.world.links.is_open(from, zone) {
            let at = now + self.world.links.delay(from, zone, latency_factor);
            let sidecar = self.sidecar_of(id);
            self.deliver_message(at, sidecar, Message::Outcome(id, outcome));
        }
    }

    fn sidecar_of(&self, id: u32) -> u32 {
        let process = self.tries[self.attempts[id as usize].try_id as usize].process;
        self.processes[process as usize].sidecar
    }

    /// Starts a server's response stream, which ends with `outcome`.
    fn start_stream(&mut self, now: Micros, id: u32, length: Micros, outcome: Outcome) {
        let (zone, from) = self.zones_of(&self.attempts[id as usize]);
        let server = self.attempts[id as usize].server as usize;
        if self.world.links.is_open(from, zone) {
            let at = now + self.world.links.delay(from, zone, self.servers[server].spec.latency_factor);
            let sidecar = self.sidecar_of(id);
            self.deliver_message(at, sidecar, Message::Started(id));
        }
        let length = if outcome == Outcome::Ok { length } else { length / 2 };
        self.servers[server].streaming.push(id);
        self.events.schedule(now + length.max(1), SimEvent::StreamEnded(id, outcome));
    }

    pub(super) fn stream_ended(&mut self, now: Micros, id: u32, outcome: Outcome) {
        let streaming = &mut self.servers[self.attempts[id as usize].server as usize].streaming;
        // If the server stopped meanwhile, the stream has already been reset.
        if let Some(at) = streaming.iter().position(|s| *s == id) {
            streaming.swap_remove(at);
            self.reply(now, id, outcome);
        }
    }

    /// Handles the first byte of a response: the attempt is committed to the client, and timeouts no longer apply.
    pub(super) fn stream_started(&mut self, now: Micros, id: u32) {
        let a = &mut self.attempts[id as usize];
        let t = &mut self.tries[a.try_id as usize];
        if !a.open || t.finished {
            return;
        }
        a.started = true;
        t.started.get_or_insert(now);
        let (request, attempt) = (RequestId::from(a.try_id), a.number);
        let process = t.process;
        self.dispatch(now, process, Event::StreamStarted { request, attempt });
    }

    pub(super) fn attempt_arrived(&mut self, now: Micros, id: u32) {
        let a = &self.attempts[id as usize];
        let (zone, to) = self.zones_of(a);
        let (try_id, server, work, due, reused) = (a.try_id, a.server, f64::from(a.work), a.due, a.reused);
        let same_incarnation = a.incarnation == self.servers[server as usize].incarnation;
        self.servers[server as usize].in_transit -= work;
        if !self.world.links.is_open(zone, to) {
            return;
        }
        let s = &mut self.servers[server as usize];
        match s.machine {
            MachineState::Unresponsive => return,
            // A connection to a process that has ended is reset.
            MachineState::Down => return self.reply(now, id, reset(reused)),
            MachineState::Up if !same_incarnation => return self.reply(now, id, reset(reused)),
            MachineState::Up => {}
        }
        let t = &self.tries[try_id as usize];
        if s.rejected_class == Some(self.requests[t.request as usize].class) {
            return self.reply(now, id, Outcome::Rejected);
        }
        let key = u64::from(self.requests[t.request as usize].key);
        let sidecar = self.processes[t.process as usize].sidecar as usize;
        let gain = if s.spec.keys > 0 && s.touch_key(now, key) { self.world.key_gain } else { 0.0 };
        let handshake = if reused { 0.0 } else { self.world.handshake.1 };
        let work = work * (1.0 - gain) + handshake;
        let start = self.start_versions[server as usize];
        let notified = self.sidecars[sidecar].known_version >= start;
        let informed = notified || self.presumed_known_at(start).is_some_and(|at| now > at);
        let new = Arriving { attempt: id, work, due, informed };
        match self.servers[server as usize].arrive(
            now,
            new,
            self.world.overload_limit,
            self.world.drain_grace,
        ) {
            Arrival::Accepted => self.reschedule_completion(now, server),
            Arrival::Rejected => self.reply(now, id, Outcome::Rejected),
            Arrival::Overloaded(informed) => {
                self.metrics.overload_crashes += 1;
                let s = &self.servers[server as usize];
                tracing::debug!(
                    "{:.3} s: server {server} (kind {}, speed {:.2}) crashed from overload while warming up ({:.2} of its capacity), {:.0}% of its load from sidecars that knew about its restart",
                    now as f64 / SECOND as f64,
                    s.spec.kind,
                    s.spec.speed,
                    s.slow_start_factor(now),
                    100.0 * informed
                );
                self.violations.record(rules::check_overload(informed));
                self.end_server(now, server as usize);
                self.reply(now, id, reset(reused));
            }
        }
    }

    /// Schedules the server's next completion at its current rate and invalidates the one scheduled before.
    pub(super) fn reschedule_completion(&mut self, now: Micros, server: u32) {
        let s = &mut self.servers[server as usize];
        s.stamp += 1;
        if let Some(at) = s.next_completion(now) {
            self.events.schedule(at, SimEvent::ServerCompletion(server, s.stamp));
        }
    }

    pub(super) fn complete_requests(&mut self, now: Micros, server: u32) {
        let mut done = Vec::new();
        self.servers[server as usize].finish(now, &mut done);
        for id in done {
            let random_key = chance::mix(self.world.seed ^ 0xe770 ^ u64::from(id));
            let s = &self.servers[server as usize];
            if s.machine == MachineState::Unresponsive {
                continue;
            }
            let class =
                self.requests[self.tries[self.attempts[id as usize].try_id as usize].request as usize].class;
            let stream = self.world.classes[usize::from(class)].stream;
            let outcome = if chance::unit(random_key) < s.error_share {
                Outcome::Error
            } else if chance::unit(random_key ^ 0x5b01) < self.corrupt_share {
                // It may have been executed, but the response is corrupt.
                Outcome::Error
            } else if chance::unit(!random_key) < self.reset_share {
                reset(self.attempts[id as usize].reused)
            } else {
                Outcome::Ok
            };
            match outcome {
                Outcome::Error => self.reply(now, id, outcome),
                _ if stream > 0 => self.start_stream(now, id, stream, outcome),
                _ => self.reply(now, id, outcome),
            }
        }
        self.reschedule_completion(now, server);
    }

    pub(super) fn attempt_ended(&mut self, now: Micros, id: u32, outcome: Outcome) {
        let a = &mut self.attempts[id as usize];
        if !std::mem::replace(&mut a.open, false) {
            return;
        }
        a.may_have_run = !outcome.was_never_executed();
        let (try_id, server, incarnation, took, number) =
            (a.try_id, a.server, a.incarnation, now - a.sent, a.number);
        let work = f64::from(a.work);
        let t = &self.tries[try_id as usize];
        let (process, request, finished) = (t.process, t.request, t.finished);
        let reusable = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let p = &mut self.processes[process as usize];
        let reusable = reusable
            || (self.world.streams > 1
                && !matches!(outcome, Outcome::Reset | Outcome::ReusedConnectionReset));
        if reusable && p.decider.is_some() && std::mem::take(&mut self.attempts[id as usize].connected) {
            p.idle.entry(server).or_default().push((now, incarnation));
        }
        self.release_connection(id);
        if self.attempts[id as usize].may_have_run {
            let sent = self.attempts[id as usize].sent;
            self.requests[request as usize].may_have_run_since.get_or_insert(sent);
        }
        // The client has already received part of a stream that breaks, and sees that it is incomplete.
        let stream_broke = self.attempts[id as usize].started && outcome != Outcome::Ok;
        if stream_broke && !finished {
            self.respond(now, process, try_id, Response::Failed);
        }
        // The first successful response is forwarded without an action of the policy.
        if outcome == Outcome::Ok && !finished {
            self.metrics.work.1 += work;
            self.respond(now, process, try_id, Response::Served);
        }
        let load = self.load_report(now, server);
        let end = AttemptEnd {
            request: RequestId::from(try_id),
            attempt: number,
            endpoint: server as usize,
            outcome,
            duration: took,
            request_completed: finished || stream_broke || outcome == Outcome::Ok,
            body_consumed: false,
            load_report: if outcome == Outcome::Ok && self.world.report.as_ref().is_some_and(|r| r.on_answers)
            {
                load
            } else {
                LoadReport::default()
            },
        };
        self.dispatch(now, process, Event::AttemptEnded(end));
    }

    pub(super) fn load_report(&mut self, now: Micros, server: u32) -> LoadReport {
        let Some(report) = &self.world.report else { return LoadReport::default() };
        let s = &mut self.servers[server as usize];
        if now - s.report.1 >= report.period {
            let noise =
                chance::log_normal_factor(self.world.seed ^ now as u64 ^ u64::from(server), report.noise);
            s.report =
                ([s.queued() as f64, s.in_flight() as f64, s.utilization()].map(|value| value * noise), now);
        }
        let [waiting, active, cpu] = [0, 1, 2].map(|i| Some(s.report.0[i]).filter(|_| report.fields[i]));
        LoadReport { waiting, active, cpu, ..LoadReport::default() }
    }

    /// Releases an attempt's connection, if it has one.
    pub(super) fn release_connection(&mut self, id: u32) {
        let a = &mut self.attempts[id as usize];
        let s = &mut self.servers[a.server as usize];
        let still_open = s.incarnation == a.incarnation && s.machine != MachineState::Down;
        if std::mem::take(&mut a.connected) && still_open {
            s.connections = s.connections.saturating_sub(1);
        }
    }

    /// Cancels an attempt by closing its connection or stream, and notifies the server if the link is open.
    pub(super) fn cancel_attempt(&mut self, now: Micros, id: u32) {
        // With several streams on a connection, only the attempt's stream is closed.
        if self.world.streams == 1 {
            self.release_connection(id);
        }
        let (zone, to) = self.zones_of(&self.attempts[id as usize]);
        if self.world.links.is_open(zone, to) {
            let at = now + self.world.links.delay(zone, to, 1.0);
            self.events.schedule(at, SimEvent::CancelArrived(id));
        }
    }

    pub(super) fn attempt_timeout(&mut self, now: Micros, id: u32) {
        if self.attempts[id as usize].open && !self.attempts[id as usize].started {
            self.cancel_attempt(now, id);
            self.attempt_ended(now, id, Outcome::TimedOut);
        }
    }
}
