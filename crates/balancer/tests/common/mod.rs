//! Test harness that drives a balancer with simulated time: fires timers and records attempts in flight.
#![allow(dead_code)]

use lotusmoor_balancer::*;
use std::collections::BTreeMap;

pub const IDEMPOTENT: ClassId = 0;
pub const WITH_KEY: ClassId = 1;
pub const NON_IDEMPOTENT: ClassId = 2;
pub const MS: Micros = 1000;
pub const START: Micros = 50_000 * MS;

pub fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: 1000 * MS,
        objective_per_work: 0.0,
        deadline: 4000 * MS,
        late_value_share: 0.0,
        priority_weight: 1.0,
        idempotency,
        streaming: false,
    };
    let keyed = Idempotency::WithKey { scope: DedupScope::Cell, ttl: 1200 * MS };
    Settings {
        classes: vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NonIdempotent)],
        tenants: Vec::new(),
        instances: 1,
        index: 0,
        zone: Some(0),
        discovery: DiscoveryMode::Pushed,
        weights: WeightSource::Nominal,
        load_reports: LoadReportSource::Unavailable,
        limits: Limits {
            max_attempts: 3,
            max_retry_after: 2000 * MS,
            sends_retry_after: true,
            may_cancel: true,
            may_hedge: true,
            may_health_check: false,
            may_gossip: false,
            connect_timeout: 250 * MS,
        },
        rules: Rules {
            answer_grace: 20 * MS,
            max_poll_interval: 10_000 * MS,
            initial_capacity_share: 0.3,
            slow_start_duration: 9000 * MS,
            overload_factor: 3.0,
            overload_collapse_after: 1500 * MS,
        },
        prices: Prices::default(),
        goal: ScoreWeights::default(),
        over_quota_weight: 0.1,
        priority_by_work: false,
        clients_mark_retries: false,
        tick: 5 * MS,
    }
}

/// The entry of a ready endpoint. Endpoints 2n and 2n + 1 share a cell and a zone.
pub fn ready_entry(endpoint: EndpointId) -> EndpointEntry {
    let (zone, cell) = (Some(endpoint / 2), endpoint as u64 / 2);
    EndpointEntry {
        endpoint,
        zone,
        cell,
        machine_type: None,
        status: EndpointStatus::Ready,
        size: 1.0,
        started_at: None,
    }
}

#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub endpoint: EndpointId,
    pub sent_at: Micros,
    pub timeout: Micros,
}

pub struct Harness {
    pub balancer: Balancer,
    pub now: Micros,
    pub settings: Settings,
    pub timers: Vec<(Micros, u64)>,
    pub in_flight: BTreeMap<(RequestId, AttemptNumber), SentAttempt>,
    pub attempts_sent: BTreeMap<RequestId, AttemptNumber>,
    pub next_request: RequestId,
}

impl Harness {
    pub fn new(settings: Settings, endpoints: usize, seed: u64) -> Self {
        let balancer = Balancer::new(settings.clone(), seed).expect("usable settings");
        let mut harness = Self {
            balancer,
            now: START,
            settings,
            timers: Vec::new(),
            in_flight: BTreeMap::new(),
            attempts_sent: BTreeMap::new(),
            next_request: 1,
        };
        harness.handle(Event::EndpointList(EndpointListUpdate::Cached(
            (0..endpoints).map(ready_entry).collect(),
        )));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match *action {
                Action::Send { request, endpoint, timeout, .. } => {
                    let attempt = self.attempts_sent.entry(request).or_default();
                    self.in_flight
                        .insert((request, *attempt), SentAttempt { endpoint, sent_at: self.now, timeout });
                    *attempt += 1;
                }
                Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
                _ => {}
            }
        }
        actions
    }

    /// Advances the clock, firing the timers and time-outs that are due on the way.
    pub fn advance_to(&mut self, to: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let timer = (0..self.timers.len()).min_by_key(|i| self.timers[*i].0);
            let timer = timer.map(|i| (self.timers[i].0, i)).filter(|(at, _)| *at <= to);
            let timeout = self.in_flight.iter().map(|(key, a)| (a.sent_at + a.timeout, *key)).min();
            if let Some((at, (id, attempt))) = timeout.filter(|(at, _)| *at <= timer.map_or(to, |t| t.0)) {
                self.now = self.now.max(at);
                actions.extend(self.end_attempt(id, attempt, Outcome::TimedOut));
            } else if let Some((at, i)) = timer {
                self.now = self.now.max(at);
                let (_, token) = self.timers.swap_remove(i);
                actions.extend(self.handle(Event::Timer(token)));
            } else {
                self.now = to;
                return actions;
            }
        }
    }

    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        self.advance_to(self.now + time)
    }

    pub fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_with(class, 3000 * MS, None, None)
    }

    /// A request whose body may not have been received to its end.
    pub fn begin_request(&mut self, class: ClassId, body_incomplete: bool) -> (RequestId, Vec<Action>) {
        let new = NewRequest { body_incomplete, ..self.new_request(class, 3000 * MS) };
        (new.id, self.handle(Event::RequestReceived(new)))
    }

    fn new_request(&mut self, class: ClassId, time_left: Micros) -> NewRequest {
        let id = self.next_request;
        self.next_request += 1;
        NewRequest {
            id,
            class,
            tenant: None,
            partition_key: Some(7),
            deadline: self.now + time_left,
            expected_work: None,
            is_client_retry: false,
            body_incomplete: false,
        }
    }

    pub fn request_with(
        &mut self,
        class: ClassId,
        time_left: Micros,
        tenant: Option<TenantId>,
        expected_work: Option<Micros>,
    ) -> (RequestId, Vec<Action>) {
        let new = NewRequest { tenant, expected_work, ..self.new_request(class, time_left) };
        (new.id, self.handle(Event::RequestReceived(new)))
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        outcome: Outcome,
    ) -> Vec<Action> {
        let sent = self.in_flight.remove(&(request, attempt)).expect("an attempt in flight");
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint: sent.endpoint,
            outcome,
            duration: self.now - sent.sent_at,
            request_completed: outcome == Outcome::Ok,
            body_consumed: false,
            load_report: LoadReport::default(),
        }))
    }

    /// Answers all attempts in flight after `time`, and so on until no attempts follow.
    pub fn answer_all(&mut self, time: Micros) {
        while !self.in_flight.is_empty() {
            self.advance(time);
            for (request, attempt) in self.in_flight.keys().copied().collect::<Vec<_>>() {
                self.end_attempt(request, attempt, Outcome::Ok);
            }
        }
    }
}

/// The endpoints to which attempts are sent.
pub fn targets(actions: &[Action]) -> Vec<EndpointId> {
    let target = |a: &Action| if let Action::Send { endpoint, .. } = a { Some(*endpoint) } else { None };
    actions.iter().filter_map(target).collect()
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

pub fn update_entry(harness: &mut Harness, entry: EndpointEntry) -> Vec<Action> {
    harness.handle(Event::EndpointList(EndpointListUpdate::Delta(vec![entry])))
}

/// Answers requests one after the other within 20 ms each, and returns the targets of their attempts.
pub fn serve_requests(harness: &mut Harness, requests: usize) -> Vec<EndpointId> {
    let mut all = Vec::new();
    for _ in 0..requests {
        all.extend(targets(&harness.request(IDEMPOTENT).1));
        harness.answer_all(20 * MS);
    }
    all
}

/// Targets of each of 100 sidecars that have 64 endpoints, deadlines of a second and 16 requests a second, in
/// the last of five seconds. The first `in_slow_start` endpoints begin slow start after two seconds.
pub fn targets_of_many_sidecars(in_slow_start: usize) -> Vec<Vec<EndpointId>> {
    let sidecar = |seed| {
        let mut settings = Settings { instances: 100, ..settings() };
        settings.classes.iter_mut().for_each(|c| (c.latency_objective, c.deadline) = (250 * MS, 1000 * MS));
        let mut harness = Harness::new(settings, 64, seed);
        let mut last_targets = Vec::new();
        for n in 0..80 {
            if n == 32 {
                let started_at = Some(harness.now);
                let restarted = (0..in_slow_start).map(|e| EndpointEntry { started_at, ..ready_entry(e) });
                harness.handle(Event::EndpointList(EndpointListUpdate::Delta(restarted.collect())));
            }
            let (_, actions) = harness.request_with(IDEMPOTENT, 800 * MS, None, None);
            last_targets.extend(targets(&actions).into_iter().filter(|_| n >= 64));
            harness.answer_all(20 * MS);
            harness.advance(42 * MS);
        }
        last_targets
    };
    (0..100).map(sidecar).collect()
}
