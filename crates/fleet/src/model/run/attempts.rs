//! Attempts on their way to servers and back.

use super::*;

impl Run {
    pub(super) fn attempt(&mut self, now: Micros, process: u32, id: u32, server: usize, timeout: Micros) {
        let p = &mut self.processes[process as usize];
        let limits = &self.settings[p.sidecar as usize].limits;
        let (zone, to) = (self.world.sidecars[p.sidecar as usize].zone, self.servers[server].spec.zone);
        let (most, copies) = (limits.max_attempts, limits.may_hedge);
        let [listed, cordoned] = [&p.gone, &p.cordoned].map(|told| told.get(&(server as u32)).copied());
        let leaving = self.leaving[server].and_then(|version| self.counts_as_told(version));
        let told_gone = listed.into_iter().chain(cordoned).chain(leaving).min();
        let t = &self.tries[id as usize];
        let r = &self.requests[t.request as usize];
        let earlier = self.sent(id);
        let spec = &self.servers[server].spec;
        let (cell, may_have_run) = (spec.cell, true);
        let check = SendCheck {
            effect: self.effects[usize::from(r.class)],
            earlier: &earlier,
            to: Sent { zone: to, cell, at: now, open: true, may_have_run },
            over: t.over,
            listed: !spec.later || self.servers[server].incarnation > 0,
            told_gone,
            grace: self.world.grace,
            most,
            copies,
        };
        let broken = rules::of_send(&check);
        self.broken.note(broken);
        if t.over || earlier.len() as u32 >= most {
            return;
        }
        let class = &self.world.classes[usize::from(r.class)];
        let name = self.world.seed ^ chance::mix(u64::from(id) << 8 | earlier.len() as u64);
        let work = f64::from((f64::from(r.work) * chance::factor(name, class.noise)) as f32);
        let number = self.attempts.len() as u32;
        let incarnation = self.servers[server].incarnation;
        let p = &mut self.processes[process as usize];
        let kept = p.idle.get_mut(&(server as u32)).and_then(Vec::pop);
        self.tries[id as usize].attempts.push(number);
        self.calendar.note(u64::from(number) << 32 | server as u64);
        let due = now + timeout.max(1);
        self.attempts.push(Attempt {
            of: id,
            number: earlier.len() as u32,
            server: server as u32,
            incarnation: kept.map_or(incarnation, |k| k.1),
            sent: now,
            due,
            work: work as f32,
            open: true,
            reused: kept.is_some(),
            connected: kept.is_some(),
            may_have_run,
            started: false,
        });
        let window = self.gauge.at(now);
        window.attempts += 1;
        window.cross_zone += u64::from(zone != to);
        self.calendar.at(self.round_up(due), Happens::TimeOut(number));
        let stretch = self.servers[server].spec.stretch;
        let sidecar = self.processes[process as usize].sidecar;
        let path = self.world.links.time(zone, to, stretch) + self.processed(now, sidecar);
        let s = &mut self.servers[server];
        if kept.is_some() {
            s.coming += work;
            return self.calendar.at(now + path, Happens::AtServer(number));
        }
        if s.machine == Machine::Silent || !self.world.links.both(zone, to) {
            let failed = self.round_up(now + self.world.dial_timeout);
            return self.calendar.at(failed, Happens::Outcome(number, Outcome::ConnectFailed));
        }
        let (share, late) = self.late_connects;
        let late = if chance::unit(name ^ 0x1a7e) < share { late } else { 0 };
        if late >= self.world.dial_timeout && s.machine == Machine::Up {
            let failed = self.round_up(now + self.world.dial_timeout);
            return self.calendar.at(failed, Happens::Outcome(number, Outcome::ConnectFailed));
        }
        let streams = self.world.streams;
        if s.machine == Machine::Down || s.connections >= s.spec.connections * streams {
            let refused = self.round_up(now + 2 * path);
            return self.calendar.at(refused, Happens::Outcome(number, Outcome::ConnectFailed));
        }
        s.connections += streams;
        s.coming += work;
        // What else the connection can carry stands ready for the next.
        let more = (1..streams).map(|_| (now, incarnation));
        self.processes[process as usize].idle.entry(server as u32).or_default().extend(more);
        self.attempts[number as usize].connected = true;
        self.gauge.at(now).handshakes += 1;
        let shake = (self.world.handshake.0 * 2.0 * path as f64) as Micros + late;
        self.calendar.at(now + shake, Happens::Connected(number, path));
    }

    /// A new connection has come up. What was given up meanwhile, as its client has left say, is not written.
    pub(super) fn connected(&mut self, now: Micros, id: u32, path: Micros) {
        let a = &self.attempts[id as usize];
        if a.open && !self.tries[a.of as usize].over {
            self.calendar.at(now + path, Happens::AtServer(id));
        } else {
            self.servers[a.server as usize].coming -= f64::from(a.work);
        }
    }

    /// From when on a version of the list counts as told, whether it came or not; `None`: not yet. A roster's versions
    /// count from their acknowledgement.
    fn counts_as_told(&self, version: usize) -> Option<Micros> {
        let since = match &self.roster {
            Some(roster) => roster.acknowledged_at(version as u64),
            None => self.discovery.reachable_since(version),
        };
        since.map(|at| at + TOLD_WITHIN)
    }

    pub(super) fn zones_of(&self, a: &Attempt) -> (usize, usize) {
        let process = self.tries[a.of as usize].process as usize;
        let sidecar = self.processes[process].sidecar as usize;
        (self.world.sidecars[sidecar].zone, self.servers[a.server as usize].spec.zone)
    }

    /// Something goes back to the sidecar, unless the link is cut.
    pub(super) fn reply(&mut self, now: Micros, id: u32, how: Outcome) {
        let a = &self.attempts[id as usize];
        let (zone, from) = self.zones_of(a);
        let stretch = self.servers[a.server as usize].spec.stretch;
        if self.world.links.open(from, zone) {
            let at = now + self.world.links.time(from, zone, stretch);
            let sidecar = self.sidecar_of(id);
            self.comes(at, sidecar, Message::Outcome(id, how));
        }
    }

    fn sidecar_of(&self, id: u32) -> u32 {
        let process = self.tries[self.attempts[id as usize].of as usize].process;
        self.processes[process as usize].sidecar
    }

    /// A server's answer begins, and streams until it ends so.
    fn stream(&mut self, now: Micros, id: u32, length: Micros, how: Outcome) {
        let (zone, from) = self.zones_of(&self.attempts[id as usize]);
        let server = self.attempts[id as usize].server as usize;
        if self.world.links.open(from, zone) {
            let at = now + self.world.links.time(from, zone, self.servers[server].spec.stretch);
            let sidecar = self.sidecar_of(id);
            self.comes(at, sidecar, Message::Started(id));
        }
        let length = if how == Outcome::Ok { length } else { length / 2 };
        self.servers[server].streaming.push(id);
        self.calendar.at(now + length.max(1), Happens::Streamed(id, how));
    }

    pub(super) fn streamed(&mut self, now: Micros, id: u32, how: Outcome) {
        let streaming = &mut self.servers[self.attempts[id as usize].server as usize].streaming;
        // One whose server ended meanwhile broke with it.
        if let Some(at) = streaming.iter().position(|s| *s == id) {
            streaming.swap_remove(at);
            self.reply(now, id, how);
        }
    }

    /// The first byte has come: the attempt is the client's, and no time runs any more.
    pub(super) fn stream_started(&mut self, now: Micros, id: u32) {
        let a = &mut self.attempts[id as usize];
        let t = &mut self.tries[a.of as usize];
        if !a.open || t.over {
            return;
        }
        a.started = true;
        t.started.get_or_insert(now);
        let (request, attempt) = (RequestId::from(a.of), a.number);
        let process = t.process;
        self.tell(now, process, Event::StreamStarted { request, attempt });
    }

    pub(super) fn at_server(&mut self, now: Micros, id: u32) {
        let a = &self.attempts[id as usize];
        let (zone, to) = self.zones_of(a);
        let (of, server, work, due, reused) = (a.of, a.server, f64::from(a.work), a.due, a.reused);
        let current = a.incarnation == self.servers[server as usize].incarnation;
        self.servers[server as usize].coming -= work;
        if !self.world.links.open(zone, to) {
            return;
        }
        let s = &mut self.servers[server as usize];
        match s.machine {
            Machine::Silent => return,
            // What was written to a process that is no more is reset.
            Machine::Down => return self.reply(now, id, reset(reused)),
            Machine::Up if !current => return self.reply(now, id, reset(reused)),
            Machine::Up => {}
        }
        let t = &self.tries[of as usize];
        if s.turns_away == Some(self.requests[t.request as usize].class) {
            return self.reply(now, id, Outcome::Rejected);
        }
        let key = u64::from(self.requests[t.request as usize].key);
        let sidecar = self.processes[t.process as usize].sidecar as usize;
        let gain = if s.spec.keys > 0 && s.knows(now, key) { self.world.key_gain } else { 0.0 };
        let shake = if reused { 0.0 } else { self.world.handshake.1 };
        let work = work * (1.0 - gain) + shake;
        let start = self.starts[server as usize];
        let told = self.sidecars[sidecar].told >= start;
        let informed = told || self.counts_as_told(start).is_some_and(|at| now > at);
        let new = Arriving { attempt: id, work, due, informed };
        match self.servers[server as usize].arrive(now, new, self.world.fall, self.world.grace) {
            Arrival::Taken => self.look_again(now, server),
            Arrival::TurnedAway => self.reply(now, id, Outcome::Rejected),
            Arrival::Tipped(informed) => {
                self.gauge.overload_crashes += 1;
                let s = &self.servers[server as usize];
                tracing::debug!(
                    "{:.3} s: server {server} (kind {}, speed {:.2}) falls over, {:.2} warm, {:.0}% by those who knew",
                    now as f64 / SECOND as f64,
                    s.spec.kind,
                    s.spec.speed,
                    s.warmth(now),
                    100.0 * informed
                );
                self.broken.note(rules::of_fall(informed));
                self.end_server(now, server as usize);
                self.reply(now, id, reset(reused));
            }
        }
    }

    /// A server's next completion, as things stand now.
    pub(super) fn look_again(&mut self, now: Micros, server: u32) {
        let s = &mut self.servers[server as usize];
        s.stamp += 1;
        if let Some(at) = s.next_done(now) {
            self.calendar.at(at, Happens::Done(server, s.stamp));
        }
    }

    pub(super) fn done(&mut self, now: Micros, server: u32) {
        let mut done = Vec::new();
        self.servers[server as usize].finish(now, &mut done);
        for id in done {
            let name = chance::mix(self.world.seed ^ 0xe770 ^ u64::from(id));
            let s = &self.servers[server as usize];
            if s.machine == Machine::Silent {
                continue;
            }
            let class =
                self.requests[self.tries[self.attempts[id as usize].of as usize].request as usize].class;
            let stream = self.world.classes[usize::from(class)].stream;
            let how = if chance::unit(name) < s.errors {
                Outcome::Error
            } else if chance::unit(name ^ 0x5b01) < self.spoilt {
                // It may have run, and nothing can be made of its answer.
                Outcome::Error
            } else if chance::unit(!name) < self.resets {
                reset(self.attempts[id as usize].reused)
            } else {
                Outcome::Ok
            };
            match how {
                Outcome::Error => self.reply(now, id, how),
                _ if stream > 0 => self.stream(now, id, stream, how),
                _ => self.reply(now, id, how),
            }
        }
        self.look_again(now, server);
    }

    pub(super) fn outcome(&mut self, now: Micros, id: u32, how: Outcome) {
        let a = &mut self.attempts[id as usize];
        if !std::mem::replace(&mut a.open, false) {
            return;
        }
        a.may_have_run = !how.was_never_executed();
        let (of, server, incarnation, took, number) = (a.of, a.server, a.incarnation, now - a.sent, a.number);
        let work = f64::from(a.work);
        let t = &self.tries[of as usize];
        let (process, request, over) = (t.process, t.request, t.over);
        let kept = matches!(how, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let p = &mut self.processes[process as usize];
        let kept = kept
            || (self.world.streams > 1 && !matches!(how, Outcome::Reset | Outcome::ReusedConnectionReset));
        if kept && p.decider.is_some() && std::mem::take(&mut self.attempts[id as usize].connected) {
            p.idle.entry(server).or_default().push((now, incarnation));
        }
        self.drop_connection(id);
        if self.attempts[id as usize].may_have_run {
            let sent = self.attempts[id as usize].sent;
            self.requests[request as usize].ran.get_or_insert(sent);
        }
        // A stream that breaks has reached its client, who sees that it is not whole.
        let broke = self.attempts[id as usize].started && how != Outcome::Ok;
        if broke && !over {
            self.answer(now, process, of, Answer::Failed);
        }
        // The first answer goes to the client by itself.
        if how == Outcome::Ok && !over {
            self.gauge.work.1 += work;
            self.answer(now, process, of, Answer::Served);
        }
        let load = self.load(now, server);
        let end = AttemptEnd {
            request: RequestId::from(of),
            attempt: number,
            endpoint: server as usize,
            outcome: how,
            duration: took,
            request_completed: over || broke || how == Outcome::Ok,
            body_consumed: false,
            load_report: if how == Outcome::Ok && self.world.report.as_ref().is_some_and(|r| r.on_answers) {
                load
            } else {
                LoadReport::default()
            },
        };
        self.tell(now, process, Event::AttemptEnded(end));
    }

    pub(super) fn load(&mut self, now: Micros, server: u32) -> LoadReport {
        let Some(report) = &self.world.report else { return LoadReport::default() };
        let s = &mut self.servers[server as usize];
        if now - s.report.1 >= report.period {
            let noise = chance::factor(self.world.seed ^ now as u64 ^ u64::from(server), report.noise);
            s.report = ([s.queued() as f64, s.held() as f64, s.use_now()].map(|read| read * noise), now);
        }
        let [waiting, active, cpu] = [0, 1, 2].map(|i| Some(s.report.0[i]).filter(|_| report.tells[i]));
        LoadReport { waiting, active, cpu, ..LoadReport::default() }
    }

    /// An attempt's connection ends, if it has one.
    pub(super) fn drop_connection(&mut self, id: u32) {
        let a = &mut self.attempts[id as usize];
        let s = &mut self.servers[a.server as usize];
        let lives = s.incarnation == a.incarnation && s.machine != Machine::Down;
        if std::mem::take(&mut a.connected) && lives {
            s.connections = s.connections.saturating_sub(1);
        }
    }

    /// A sidecar closes an attempt's connection, of which the server hears.
    pub(super) fn give_up(&mut self, now: Micros, id: u32) {
        // One of several on a connection ends without it.
        if self.world.streams == 1 {
            self.drop_connection(id);
        }
        let (zone, to) = self.zones_of(&self.attempts[id as usize]);
        if self.world.links.open(zone, to) {
            let at = now + self.world.links.time(zone, to, 1.0);
            self.calendar.at(at, Happens::Cancel(id));
        }
    }

    pub(super) fn time_out(&mut self, now: Micros, id: u32) {
        if self.attempts[id as usize].open && !self.attempts[id as usize].started {
            self.give_up(now, id);
            self.outcome(now, id, Outcome::TimedOut);
        }
    }
}
