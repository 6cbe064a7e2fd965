//! Rules 1 to 3 of the sidecar protocol (its rules are numbered by the operators, who define it) over random
//! event sequences with fixed seeds: which attempts may be sent, no unsafe second execution, and one final
//! answer in time. The checker is independent of the code under test.

mod common;
use common::*;
use lotusmoor_balancer::*;
use std::collections::{BTreeMap, BTreeSet};

struct AttemptRecord {
    endpoint: EndpointId,
    sent_at: Micros,
    outcome: Option<Outcome>,
}

struct OpenRequest {
    class: ClassId,
    deadline: Micros,
    attempts: Vec<AttemptRecord>,
    /// The attempt whose answer has begun to stream.
    streaming: Option<AttemptNumber>,
}

/// Checks actions against the protocol's rules, independently of the crate under test.
struct RuleChecker {
    settings: Settings,
    open: BTreeMap<RequestId, OpenRequest>,
    completed: BTreeSet<RequestId>,
    listed: Vec<EndpointEntry>,
    cordoned: BTreeSet<EndpointId>,
    answered: usize,
}

impl RuleChecker {
    /// Attempts of a request that may have been executed.
    fn possible_executions(request: &OpenRequest) -> impl Iterator<Item = &AttemptRecord> {
        request.attempts.iter().filter(|a| a.outcome.is_none_or(|o| !o.was_never_executed()))
    }

    fn check(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, endpoint, timeout, .. } => {
                    let open = self.open.get_mut(&request).expect("a send for an open request");
                    let to = &self.listed[endpoint];
                    assert_eq!(to.status, EndpointStatus::Ready, "no attempt at a draining endpoint");
                    assert!(!self.cordoned.contains(&endpoint), "no attempt at a cordoned endpoint");
                    assert!(timeout > 0 && now < open.deadline && open.streaming.is_none());
                    assert!((open.attempts.len() as u32) < self.settings.limits.max_attempts);
                    let in_flight = open.attempts.iter().filter(|a| a.outcome.is_none()).count();
                    assert!(in_flight == 0 || self.settings.limits.may_hedge, "one attempt at a time");
                    for earlier in Self::possible_executions(open) {
                        match self.settings.classes[open.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => {
                                panic!("a request that is not idempotent sent twice")
                            }
                            Idempotency::WithKey { scope, ttl } => {
                                let from = &self.listed[earlier.endpoint];
                                let in_scope = match scope {
                                    DedupScope::All => true,
                                    DedupScope::Zone => from.zone == to.zone,
                                    DedupScope::Cell => from.cell == to.cell,
                                };
                                assert!(in_scope && now - earlier.sent_at < ttl, "key not deduplicated");
                            }
                        }
                    }
                    open.attempts.push(AttemptRecord { endpoint, sent_at: now, outcome: None });
                }
                Action::Reject { request, .. } => {
                    let open = self.open.remove(&request).expect("a rejection of an open request");
                    let is_safe = match self.settings.classes[open.class].idempotency {
                        Idempotency::Idempotent | Idempotency::WithKey { scope: DedupScope::All, .. } => true,
                        _ => Self::possible_executions(&open).next().is_none(),
                    };
                    assert!(is_safe, "rejected though it may have been executed");
                    self.complete(request);
                }
                Action::Fail(request) => {
                    self.open.remove(&request).expect("a failure of an open request");
                    self.complete(request);
                }
                Action::Cancel { .. } => assert!(self.settings.limits.may_cancel),
                Action::HealthCheck(_) => assert!(self.settings.limits.may_health_check),
                Action::SendPeerMessage { .. } => assert!(self.settings.limits.may_gossip),
                Action::SetTimer { after, .. } => assert!((0..=71 * 60_000 * MS).contains(&after)),
                _ => {}
            }
        }
        for (id, open) in &self.open {
            let latest = open.deadline + self.settings.rules.answer_grace;
            assert!(open.streaming.is_some() || now <= latest, "request {id} has no answer in time");
        }
    }

    fn complete(&mut self, request: RequestId) {
        assert!(self.completed.insert(request), "a second final answer");
        self.answered += 1;
    }
}

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut settings = settings();
    let scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Cell];
    settings.classes[WITH_KEY].idempotency =
        Idempotency::WithKey { scope: *rng.choice(&scopes).expect("three"), ttl: rng.i64(50..2000) * MS };
    settings.classes[IDEMPOTENT].streaming = rng.bool();
    settings.classes.iter_mut().for_each(|c| c.latency_objective = rng.i64(100..1500) * MS);
    settings.classes.iter_mut().for_each(|c| c.late_value_share = if rng.bool() { 0.3 } else { 0.0 });
    settings.limits.may_hedge = rng.bool();
    settings.limits.may_cancel = rng.bool();
    settings.limits.max_attempts = rng.u32(1..6);
    settings.instances = rng.u32(1..20);
    settings.discovery = if rng.bool() { DiscoveryMode::Polled } else { DiscoveryMode::Pushed };
    settings.tenants = vec![Tenant { quota_per_s: 10.0, capacity_share: 0.5 }; rng.usize(0..3)];
    settings
}

/// How attempts end; most succeed.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::NotSent,
];
const STATUSES: [EndpointStatus; 4] =
    [EndpointStatus::Ready, EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Removed];

/// Runs a random event sequence under the checker and returns all actions.
fn run_random_events(seed: u64, steps: usize) -> Vec<String> {
    let mut run = RandomRun::new(seed);
    for _ in 0..steps {
        run.step();
    }
    run.complete_requests();
    assert!(run.checker.open.is_empty(), "every request is answered");
    assert_eq!(run.checker.answered, run.requests);
    run.log
}

struct RandomRun {
    rng: fastrand::Rng,
    settings: Settings,
    harness: Harness,
    checker: RuleChecker,
    endpoints: usize,
    requests: usize,
    log: Vec<String>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let endpoints = rng.usize(1..9);
        let harness = Harness::new(settings.clone(), endpoints, seed);
        let listed = (0..endpoints).map(ready_entry).collect();
        let (open, completed, cordoned) = Default::default();
        let checker =
            RuleChecker { settings: settings.clone(), open, completed, listed, cordoned, answered: 0 };
        Self { rng, settings, harness, checker, endpoints, requests: 0, log: Vec::new() }
    }

    fn step(&mut self) {
        match self.rng.u32(0..100) {
            0..40 => self.request(),
            40..70 => self.end_any_attempt(),
            70..72 => self.start_stream(),
            72..74 => self.abandon(),
            74..80 => self.update_list(),
            80 => self.handle(Event::EndpointList(EndpointListUpdate::Failed)),
            81..84 => self.cordon(),
            _ => {
                let time = self.rng.i64(1..120) * MS;
                self.advance(time);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.harness.handle(event);
        self.checker.check(self.harness.now, &actions);
    }

    fn request(&mut self) {
        let rng = &mut self.rng;
        let class = rng.usize(0..3);
        let time_left = rng.i64(-20..2500) * MS;
        let tenants = self.settings.tenants.len();
        let tenant = (tenants > 0).then(|| rng.usize(0..tenants));
        let expected_work = rng.bool().then(|| rng.i64(0..400) * MS);
        let id = self.harness.next_request;
        let deadline = self.harness.now + time_left.max(0);
        self.checker.open.insert(id, OpenRequest { class, deadline, attempts: Vec::new(), streaming: None });
        self.requests += 1;
        let (_, actions) = self.harness.request_with(class, time_left.max(0), tenant, expected_work);
        self.checker.check(self.harness.now, &actions);
        self.log.push(format!("{actions:?}"));
    }

    fn any_attempt(&mut self) -> Option<(RequestId, AttemptNumber)> {
        let keys: Vec<_> = self.harness.in_flight.keys().copied().collect();
        self.rng.choice(&keys).copied()
    }

    fn end_any_attempt(&mut self) {
        let Some(key) = self.any_attempt() else { return };
        let outcome = *self.rng.choice(&OUTCOMES).expect("some");
        self.end_attempt(key, outcome);
    }

    fn start_stream(&mut self) {
        let Some((id, attempt)) = self.any_attempt() else { return };
        let Some(open) = self.checker.open.get_mut(&id) else { return };
        if self.settings.classes[open.class].streaming && open.streaming.is_none() {
            open.streaming = Some(attempt);
            self.handle(Event::StreamStarted { request: id, attempt });
        }
    }

    fn abandon(&mut self) {
        let keys: Vec<_> = self.checker.open.keys().copied().collect();
        let Some(&id) = self.rng.choice(&keys) else { return };
        self.checker.open.remove(&id);
        self.checker.complete(id);
        self.handle(Event::RequestAbandoned(id));
    }

    fn update_list(&mut self) {
        let entry = &mut self.checker.listed[self.rng.usize(0..self.endpoints)];
        entry.status = *self.rng.choice(&STATUSES).expect("some");
        entry.started_at = self.rng.bool().then_some(self.harness.now - self.rng.i64(0..8000) * MS);
        let list = if self.rng.bool() {
            EndpointListUpdate::Delta(vec![entry.clone()])
        } else {
            let listed = self.checker.listed.iter().filter(|l| l.status != EndpointStatus::Removed);
            EndpointListUpdate::Full(listed.cloned().collect())
        };
        self.handle(Event::EndpointList(list));
    }

    fn cordon(&mut self) {
        let endpoint = self.rng.usize(0..self.endpoints);
        if self.rng.bool() {
            self.checker.cordoned.insert(endpoint);
            self.handle(Event::Cordoned(endpoint));
        } else {
            self.checker.cordoned.remove(&endpoint);
            self.handle(Event::Uncordoned(endpoint));
        }
    }

    /// Advances the time until every request has its final answer, and completes streams.
    fn complete_requests(&mut self) {
        for _ in 0..80 {
            self.advance(50 * MS);
            let streams: Vec<_> =
                self.checker.open.iter().filter(|(_, o)| o.streaming.is_some()).map(|(id, _)| *id).collect();
            let attempts = self.harness.in_flight.keys().copied().filter(|key| streams.contains(&key.0));
            for key in attempts.collect::<Vec<_>>() {
                self.end_attempt(key, Outcome::Ok);
            }
        }
    }

    /// Ends an attempt as the simulator would: the first OK completes its request, as does a broken stream.
    fn end_attempt(&mut self, key: (RequestId, AttemptNumber), outcome: Outcome) {
        let sent = self.harness.in_flight.remove(&key).expect("an attempt in flight");
        let (request, attempt) = key;
        let mut request_completed = true;
        if let Some(open) = self.checker.open.get_mut(&request) {
            open.attempts[attempt as usize].outcome = Some(outcome);
            request_completed = outcome == Outcome::Ok || open.streaming == Some(attempt);
            if request_completed {
                self.checker.open.remove(&request);
                self.checker.complete(request);
            }
        }
        let actions = self.harness.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint: sent.endpoint,
            outcome,
            duration: self.harness.now - sent.sent_at,
            request_completed,
            body_consumed: false,
            load_report: LoadReport::default(),
        }));
        self.checker.check(self.harness.now, &actions);
        self.log.push(format!("{actions:?}"));
    }

    /// Advances the time tick by tick, with the timers and time-outs that are due.
    fn advance(&mut self, time: Micros) {
        let to = self.harness.now + time;
        while self.harness.now < to {
            self.harness.now += 5 * MS;
            let now = self.harness.now;
            let streaming =
                |id| self.checker.open.get(id).is_some_and(|r: &OpenRequest| r.streaming.is_some());
            let timed_out = self
                .harness
                .in_flight
                .iter()
                .filter(|(k, a)| a.sent_at + a.timeout <= now && !streaming(&k.0));
            for key in timed_out.map(|(k, _)| *k).collect::<Vec<_>>() {
                self.end_attempt(key, Outcome::TimedOut);
            }
            let due: Vec<_> = self.harness.timers.iter().filter(|t| t.0 <= now).copied().collect();
            self.harness.timers.retain(|t| t.0 > now);
            for (_, token) in due {
                let actions = self.harness.handle(Event::Timer(token));
                self.checker.check(now, &actions);
                self.log.push(format!("{actions:?}"));
            }
            self.checker.check(now, &[]);
        }
    }
}

#[test]
fn protocol_rules_hold_over_random_sequences() {
    for seed in 0..300 {
        assert!(!run_random_events(seed, 400).is_empty());
    }
}

#[test]
fn same_events_give_same_actions() {
    for seed in 0..20 {
        assert_eq!(run_random_events(seed, 200), run_random_events(seed, 200));
    }
}
