//! What clients do: they ask, wait, give up and try again.

use super::*;

impl Run {
    pub(super) fn next_ask(&mut self, now: Micros, sidecar: u32) {
        let spec = &self.world.sidecars[sidecar as usize];
        let (height, length) = self.world.wave;
        let wave = 1.0 + height * (std::f64::consts::TAU * now as f64 / length as f64).sin();
        let rate = spec.rate * self.traffic.0 * self.traffic.1[spec.zone] * wave / SECOND as f64;
        let unit: f64 = self.sidecars[sidecar as usize].rng.random();
        let at = now + (-(1.0 - unit).ln() / rate.max(1e-12)).min(1e12) as Micros + 1;
        if at < self.world.length {
            self.calendar.at(at, Happens::Ask(sidecar));
        }
    }

    pub(super) fn ask(&mut self, now: Micros, sidecar: u32) {
        let world = &self.world;
        let rng = &mut self.sidecars[sidecar as usize].rng;
        let mut pick: f64 = rng.random();
        let class = world.classes.iter().position(|c| {
            pick -= c.share;
            pick < 0.0
        });
        let class = class.unwrap_or(world.classes.len() - 1);
        let spec = &world.classes[class];
        let spread = if spec.lognormal {
            chance::factor(rng.random(), spec.cv)
        } else {
            -(1.0 - rng.random::<f64>()).ln()
        };
        let popular = rng.random::<f64>() * world.keys.last().copied().unwrap_or(1.0);
        let key = world.keys.partition_point(|sum| *sum < popular) as u32;
        let clients = &world.clients;
        let retries = clients.retries * self.eager.0;
        let more = u8::from(rng.random::<f64>() < retries.fract());
        let work = (spec.work * spread).max(1.0);
        // By name: sites without tenants must meet the days that they met before.
        let name = chance::mix(world.seed ^ 0x7e4a ^ (self.requests.len() as u64) << 8);
        let mut pick = chance::unit(name);
        let tenant = world.tenants.iter().position(|t| {
            pick -= t.traffic;
            pick < 0.0
        });
        let within = tenant.is_none_or(|t| {
            let (second, asked) = &mut self.quotas[t];
            if *second != now / SECOND {
                (*second, *asked) = (now / SECOND, 0.0);
            }
            *asked += 1.0;
            *asked <= world.tenants[t].quota_per_s
        });
        let part = if within { 1.0 } else { world.over_share_worth };
        let full = spec.worth * part * if world.worth_by_work { work / spec.work } else { 1.0 };
        let tenant = tenant.map(|t| t as u8);
        let worth = Worth {
            class: class as u8,
            tenant: tenant.filter(|_| within),
            full,
            late: full * spec.late_worth,
        };
        let request = Request {
            class: class as u8,
            sidecar,
            work: work as f32,
            key,
            first: now,
            tries: 0,
            retries: retries as u8 + more,
            honours: rng.random::<f64>() < clients.honour,
            impatient: rng.random::<f64>() < clients.impatient + self.eager.1,
            worth,
            tenant,
            ran: None,
            last: None,
            over: false,
        };
        self.gauge.ask(now, worth, f64::from(request.work));
        self.requests.push(request);
        self.send(now, self.requests.len() as u32 - 1);
        self.next_ask(now, sidecar);
    }

    pub(super) fn send(&mut self, now: Micros, request: u32) {
        let r = &mut self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        r.tries += 1;
        self.gauge.at(now).tries += 1;
        let due = (now + (class.deadline as f64 * self.world.clients.try_share) as Micros)
            .min(r.first + class.deadline);
        let sidecar = r.sidecar as usize;
        let process = self.sidecars[sidecar].process.filter(|p| !self.processes[*p as usize].stopping);
        let id = self.tries.len() as u32;
        let path = self.world.links.client as Micros + 1;
        let leaves = r.impatient && r.tries == 1;
        self.tries.push(Try {
            request,
            process: process.unwrap_or(u32::MAX),
            due,
            attempts: Vec::new(),
            over: process.is_none(),
            client_gone: false,
            started: None,
        });
        if process.is_none() {
            return self.calendar.at(now + path, Happens::Answer(id, Answer::Unreached));
        }
        self.comes(now + path, sidecar as u32, Message::Try(id));
        let early = if leaves { chance::unit(self.world.seed ^ u64::from(id)) * 0.5 } else { 1.0 };
        self.calendar.at(now + ((due - now) as f64 * early) as Micros, Happens::GivesUp(id));
    }

    pub(super) fn answered(&mut self, now: Micros, id: u32, answer: Answer) {
        let t = &mut self.tries[id as usize];
        if std::mem::replace(&mut t.client_gone, true) {
            return;
        }
        let request = t.request;
        let r = &self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        match answer {
            Answer::Served => {
                let came = self.tries[id as usize].started.unwrap_or(now);
                let in_time = came - r.first <= class.aim && !self.overused(now, r.sidecar);
                let end = if in_time { End::InTime } else { End::Late };
                self.finish(came, request, end);
            }
            Answer::Refused(retry_after) => self.try_again(now, request, End::Refused, retry_after, true),
            Answer::Unreached => self.try_again(now, request, End::Failed, 0, true),
            Answer::Failed => self.try_again(now, request, End::Failed, 0, false),
        }
    }

    pub(super) fn gives_up(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if t.started.is_some() || std::mem::replace(&mut t.client_gone, true) {
            return;
        }
        let (request, process, due, over) = (t.request, t.process, t.due, t.over);
        let slack = self.settings[self.requests[request as usize].sidecar as usize].rules.answer_grace;
        if now < due && !over {
            // It left early; what is open is called off.
            self.tries[id as usize].over = true;
            self.close(process, id);
            self.tell(now, process, Event::RequestAbandoned(RequestId::from(id)));
            return self.finish(now, request, End::Failed);
        }
        if !over {
            self.calendar.at(now + slack, Happens::Overdue(id));
        }
        self.try_again(now, request, End::Failed, 0, false);
    }

    pub(super) fn overdue(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if t.started.is_some() || std::mem::replace(&mut t.over, true) {
            return;
        }
        let process = t.process;
        self.close(process, id);
        self.broken.note(Some("no final answer in time"));
        self.tell(now, process, Event::RequestAbandoned(RequestId::from(id)));
    }

    /// A client tries again, if its class, its patience and its time allow.
    pub(super) fn try_again(
        &mut self,
        now: Micros,
        request: u32,
        end: End,
        retry_after: Micros,
        harmless: bool,
    ) {
        let clients = &self.world.clients;
        let r = &mut self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        let fresh = r.ran.is_none_or(|at| now - at < class.repeat_for);
        let name = self.world.seed ^ (u64::from(request) << 8) ^ u64::from(r.tries);
        let grown =
            clients.backoff * if clients.doubling { f64::from(1u32 << (r.tries - 1).min(16)) } else { 1.0 };
        let wait = (grown * (0.5 + chance::unit(name))) as Micros;
        let wait = if r.honours { wait.max(retry_after.min(clients.max_hold_off)) } else { wait };
        let may = (harmless || fresh) && r.tries <= r.retries && now + wait < r.first + class.deadline;
        r.last = Some(end);
        if may {
            self.calendar.at(now + wait, Happens::Send(request));
        } else {
            self.finish(now, request, end);
        }
    }

    pub(super) fn finish(&mut self, now: Micros, request: u32, end: End) {
        let r = &mut self.requests[request as usize];
        if !std::mem::replace(&mut r.over, true) {
            let aim = self.world.classes[usize::from(r.class)].aim;
            self.gauge.end(now, r.first, r.worth, aim, end);
        }
    }
}
