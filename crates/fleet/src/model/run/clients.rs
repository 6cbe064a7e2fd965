//! Clients: they send requests, wait for responses, time out and retry.

use super::*;

impl Run {
    pub(super) fn schedule_next_request(&mut self, now: Micros, sidecar: u32) {
        let spec = &self.world.sidecars[sidecar as usize];
        let (height, length) = self.world.wave;
        let wave = 1.0 + height * (std::f64::consts::TAU * now as f64 / length as f64).sin();
        let rate =
            spec.rate * self.traffic_factors.0 * self.traffic_factors.1[spec.zone] * wave / SECOND as f64;
        let unit: f64 = self.sidecars[sidecar as usize].rng.random();
        let at = now + (-(1.0 - unit).ln() / rate.max(1e-12)).min(1e12) as Micros + 1;
        if at < self.world.length {
            self.events.schedule(at, SimEvent::ClientRequest(sidecar));
        }
    }

    pub(super) fn new_request(&mut self, now: Micros, sidecar: u32) {
        let world = &self.world;
        let rng = &mut self.sidecars[sidecar as usize].rng;
        let mut pick: f64 = rng.random();
        let class = world.classes.iter().position(|c| {
            pick -= c.share;
            pick < 0.0
        });
        let class = class.unwrap_or(world.classes.len() - 1);
        let spec = &world.classes[class];
        let relative_work = if spec.lognormal {
            chance::log_normal_factor(rng.random(), spec.cv)
        } else {
            -(1.0 - rng.random::<f64>()).ln()
        };
        let position = rng.random::<f64>() * world.key_popularity.last().copied().unwrap_or(1.0);
        let key = world.key_popularity.partition_point(|sum| *sum < position) as u32;
        let clients = &world.clients;
        let retries = clients.retries * self.retry_surge.0;
        let extra_retry = u8::from(rng.random::<f64>() < retries.fract());
        let work = (spec.work * relative_work).max(1.0);
        // Derived from a key instead of the sidecar's random stream, so that sites without tenants keep their random
        // sequences.
        let random_key = chance::mix(world.seed ^ 0x7e4a ^ (self.requests.len() as u64) << 8);
        let mut pick = chance::unit(random_key);
        let tenant = world.tenants.iter().position(|t| {
            pick -= t.traffic;
            pick < 0.0
        });
        let within_quota = tenant.is_none_or(|t| {
            let (second, requests) = &mut self.tenant_usage[t];
            if *second != now / SECOND {
                (*second, *requests) = (now / SECOND, 0.0);
            }
            *requests += 1.0;
            *requests <= world.tenants[t].quota_per_s
        });
        let worth_share = if within_quota { 1.0 } else { world.over_quota_worth };
        let full = spec.worth * worth_share * if world.worth_by_work { work / spec.work } else { 1.0 };
        let tenant = tenant.map(|t| t as u8);
        let worth = Worth {
            class: class as u8,
            tenant: tenant.filter(|_| within_quota),
            full,
            late: full * spec.late_worth,
        };
        let request = Request {
            class: class as u8,
            sidecar,
            work: work as f32,
            key,
            first_try_at: now,
            tries: 0,
            retries: retries as u8 + extra_retry,
            honours_retry_after: rng.random::<f64>() < clients.honours_retry_after,
            leaves_early: rng.random::<f64>() < clients.leaves_early + self.retry_surge.1,
            worth,
            tenant,
            may_have_run_since: None,
            last_outcome: None,
            finished: false,
        };
        self.metrics.record_request(now, worth, f64::from(request.work));
        self.requests.push(request);
        self.send(now, self.requests.len() as u32 - 1);
        self.schedule_next_request(now, sidecar);
    }

    pub(super) fn send(&mut self, now: Micros, request: u32) {
        let r = &mut self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        r.tries += 1;
        self.metrics.window(now).tries += 1;
        let due = (now + (class.deadline as f64 * self.world.clients.try_timeout_share) as Micros)
            .min(r.first_try_at + class.deadline);
        let sidecar = r.sidecar as usize;
        let process = self.sidecars[sidecar].process.filter(|p| !self.processes[*p as usize].stopping);
        let id = self.tries.len() as u32;
        let path = self.world.links.client as Micros + 1;
        let disconnects_early = r.leaves_early && r.tries == 1;
        self.tries.push(Try {
            request,
            process: process.unwrap_or(u32::MAX),
            due,
            attempts: Vec::new(),
            finished: process.is_none(),
            client_gone: false,
            started: None,
        });
        if process.is_none() {
            return self
                .events
                .schedule(now + path, SimEvent::ResponseArrived(id, Response::ConnectionRefused));
        }
        self.deliver_message(now + path, sidecar as u32, Message::Try(id));
        let wait_share =
            if disconnects_early { chance::unit(self.world.seed ^ u64::from(id)) * 0.5 } else { 1.0 };
        self.events.schedule(now + ((due - now) as f64 * wait_share) as Micros, SimEvent::ClientTimeout(id));
    }

    pub(super) fn response_arrived(&mut self, now: Micros, id: u32, response: Response) {
        let t = &mut self.tries[id as usize];
        if std::mem::replace(&mut t.client_gone, true) {
            return;
        }
        let request = t.request;
        let r = &self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        match response {
            Response::Served => {
                let answered_at = self.tries[id as usize].started.unwrap_or(now);
                let in_time = answered_at - r.first_try_at <= class.latency_objective
                    && !self.cpu_limit_exceeded(now, r.sidecar);
                let outcome = if in_time { RequestOutcome::InTime } else { RequestOutcome::Late };
                self.finish(answered_at, request, outcome);
            }
            Response::Rejected(retry_after) => {
                self.retry_or_finish(now, request, RequestOutcome::Rejected, retry_after, true)
            }
            Response::ConnectionRefused => {
                self.retry_or_finish(now, request, RequestOutcome::Failed, 0, true)
            }
            Response::Failed => self.retry_or_finish(now, request, RequestOutcome::Failed, 0, false),
        }
    }

    pub(super) fn client_timeout(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if t.started.is_some() || std::mem::replace(&mut t.client_gone, true) {
            return;
        }
        let (request, process, due, finished) = (t.request, t.process, t.due, t.finished);
        let answer_grace = self.settings[self.requests[request as usize].sidecar as usize].rules.answer_grace;
        if now < due && !finished {
            // The client disconnected early; open attempts are cancelled.
            self.tries[id as usize].finished = true;
            self.close_request(process, id);
            self.dispatch(now, process, Event::RequestAbandoned(RequestId::from(id)));
            return self.finish(now, request, RequestOutcome::Failed);
        }
        if !finished {
            self.events.schedule(now + answer_grace, SimEvent::ResponseOverdue(id));
        }
        self.retry_or_finish(now, request, RequestOutcome::Failed, 0, false);
    }

    pub(super) fn response_overdue(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if t.started.is_some() || std::mem::replace(&mut t.finished, true) {
            return;
        }
        let process = t.process;
        self.close_request(process, id);
        self.violations.record(Some("no final answer in time"));
        self.dispatch(now, process, Event::RequestAbandoned(RequestId::from(id)));
    }

    /// Schedules a client's retry if the class, the number of retries and the deadline allow it; otherwise finishes
    /// the request.
    pub(super) fn retry_or_finish(
        &mut self,
        now: Micros,
        request: u32,
        outcome: RequestOutcome,
        retry_after: Micros,
        safe_to_retry: bool,
    ) {
        let clients = &self.world.clients;
        let r = &mut self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        let within_retry_window = r.may_have_run_since.is_none_or(|at| now - at < class.retry_window);
        let random_key = self.world.seed ^ (u64::from(request) << 8) ^ u64::from(r.tries);
        let backoff =
            clients.backoff * if clients.doubling { f64::from(1u32 << (r.tries - 1).min(16)) } else { 1.0 };
        let wait = (backoff * (0.5 + chance::unit(random_key))) as Micros;
        let wait =
            if r.honours_retry_after { wait.max(retry_after.min(clients.max_retry_after)) } else { wait };
        let may_retry = (safe_to_retry || within_retry_window)
            && r.tries <= r.retries
            && now + wait < r.first_try_at + class.deadline;
        r.last_outcome = Some(outcome);
        if may_retry {
            self.events.schedule(now + wait, SimEvent::ClientSend(request));
        } else {
            self.finish(now, request, outcome);
        }
    }

    pub(super) fn finish(&mut self, now: Micros, request: u32, outcome: RequestOutcome) {
        let r = &mut self.requests[request as usize];
        if !std::mem::replace(&mut r.finished, true) {
            let latency_objective = self.world.classes[usize::from(r.class)].latency_objective;
            self.metrics.record_outcome(now, r.first_try_at, r.worth, latency_objective, outcome);
        }
    }
}
