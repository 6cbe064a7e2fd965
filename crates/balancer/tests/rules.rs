//! The protocol's rules 1 to 3 over random event sequences with fixed seeds, checked by an implementation apart.

mod common;
use common::*;
use lotusmoor_balancer::*;
use std::collections::{BTreeMap, BTreeSet};

struct Sent {
    endpoint: EndpointId,
    at: Micros,
    outcome: Option<Outcome>,
}

struct Open {
    class: ClassId,
    due: Micros,
    attempts: Vec<Sent>,
    /// The attempt whose answer has begun.
    streaming: Option<AttemptNumber>,
}

/// What the protocol's rules allow, implemented apart from the crate under test.
struct RuleChecker {
    set: Settings,
    open: BTreeMap<RequestId, Open>,
    ended: BTreeSet<RequestId>,
    status: Vec<EndpointEntry>,
    cordoned: BTreeSet<EndpointId>,
    answered: usize,
}

impl RuleChecker {
    fn ran(open: &Open) -> impl Iterator<Item = &Sent> {
        open.attempts.iter().filter(|a| a.outcome.is_none_or(|o| !o.was_never_executed()))
    }

    fn check(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, endpoint, timeout, .. } => {
                    let open = self.open.get_mut(&request).expect("a send for an open request");
                    let to = &self.status[endpoint];
                    assert_eq!(to.status, EndpointStatus::Ready, "no attempt at a draining endpoint");
                    assert!(!self.cordoned.contains(&endpoint), "no attempt at a cordoned endpoint");
                    assert!(timeout > 0 && now < open.due && open.streaming.is_none());
                    assert!((open.attempts.len() as u32) < self.set.limits.max_attempts);
                    let live = open.attempts.iter().filter(|a| a.outcome.is_none()).count();
                    assert!(live == 0 || self.set.limits.may_hedge, "one attempt at a time");
                    for earlier in Self::ran(open) {
                        match self.set.classes[open.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => {
                                panic!("a request that is not idempotent sent twice")
                            }
                            Idempotency::WithKey { scope, ttl } => {
                                let from = &self.status[earlier.endpoint];
                                let same = match scope {
                                    DedupScope::All => true,
                                    DedupScope::Zone => from.zone == to.zone,
                                    DedupScope::Cell => from.cell == to.cell,
                                };
                                assert!(same && now - earlier.at < ttl, "inside the group and its time");
                            }
                        }
                    }
                    open.attempts.push(Sent { endpoint, at: now, outcome: None });
                }
                Action::Reject { request, .. } => {
                    let open = self.open.remove(&request).expect("a refusal of an open request");
                    let harmless = match self.set.classes[open.class].idempotency {
                        Idempotency::Idempotent | Idempotency::WithKey { scope: DedupScope::All, .. } => true,
                        _ => Self::ran(&open).next().is_none(),
                    };
                    assert!(harmless, "rejected though it may have run");
                    self.close(request);
                }
                Action::Fail(request) => {
                    self.open.remove(&request).expect("a failure of an open request");
                    self.close(request);
                }
                Action::Cancel { .. } => assert!(self.set.limits.may_cancel),
                Action::HealthCheck(_) => assert!(self.set.limits.may_health_check),
                Action::SendPeerMessage { .. } => assert!(self.set.limits.may_gossip),
                Action::SetTimer { after, .. } => assert!((0..=71 * 60_000 * MS).contains(&after)),
                _ => {}
            }
        }
        for (id, open) in &self.open {
            let end = open.due + self.set.rules.answer_grace;
            assert!(open.streaming.is_some() || now <= end, "request {id} is unanswered after its deadline");
        }
    }

    fn close(&mut self, request: RequestId) {
        assert!(self.ended.insert(request), "a second final answer");
        self.answered += 1;
    }
}

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut set = settings();
    let scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Cell];
    set.classes[WITH_KEY].idempotency =
        Idempotency::WithKey { scope: *rng.choice(&scopes).expect("three"), ttl: rng.i64(50..2000) * MS };
    set.classes[IDEMPOTENT].streaming = rng.bool();
    set.classes.iter_mut().for_each(|c| c.latency_objective = rng.i64(100..1500) * MS);
    set.classes.iter_mut().for_each(|c| c.late_value_share = if rng.bool() { 0.3 } else { 0.0 });
    set.limits.may_hedge = rng.bool();
    set.limits.may_cancel = rng.bool();
    set.limits.max_attempts = rng.u32(1..6);
    set.instances = rng.u32(1..20);
    set.discovery = if rng.bool() { DiscoveryMode::Polled } else { DiscoveryMode::Pushed };
    set.tenants = vec![Tenant { quota_per_s: 10.0, capacity_share: 0.5 }; rng.usize(0..3)];
    set
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

/// Plays a random sequence and returns all actions.
fn play(seed: u64, steps: usize) -> Vec<String> {
    let mut play = RandomPlay::new(seed);
    for _ in 0..steps {
        play.step();
    }
    play.answer_everything();
    assert!(play.checker.open.is_empty(), "every request is answered");
    assert_eq!(play.checker.answered, play.requests);
    play.log
}

struct RandomPlay {
    rng: fastrand::Rng,
    settings: Settings,
    harness: Harness,
    checker: RuleChecker,
    endpoints: usize,
    requests: usize,
    log: Vec<String>,
}

impl RandomPlay {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let endpoints = rng.usize(1..9);
        let harness = Harness::new(settings.clone(), endpoints, seed);
        let status = (0..endpoints).map(ready_entry).collect();
        let (open, ended, cordoned) = Default::default();
        let checker = RuleChecker { set: settings.clone(), open, ended, status, cordoned, answered: 0 };
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
                self.pass(time);
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
        let left = rng.i64(-20..2500) * MS;
        let tenants = self.settings.tenants.len();
        let tenant = (tenants > 0).then(|| rng.usize(0..tenants));
        let work = rng.bool().then(|| rng.i64(0..400) * MS);
        let id = self.harness.next_request;
        let due = self.harness.now + left.max(0);
        self.checker.open.insert(id, Open { class, due, attempts: Vec::new(), streaming: None });
        self.requests += 1;
        let (_, actions) = self.harness.request_with(class, left.max(0), tenant, work);
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
        self.checker.close(id);
        self.handle(Event::RequestAbandoned(id));
    }

    fn update_list(&mut self) {
        let entry = &mut self.checker.status[self.rng.usize(0..self.endpoints)];
        entry.status = *self.rng.choice(&STATUSES).expect("some");
        entry.started_at = self.rng.bool().then_some(self.harness.now - self.rng.i64(0..8000) * MS);
        let list = if self.rng.bool() {
            EndpointListUpdate::Delta(vec![entry.clone()])
        } else {
            let listed = self.checker.status.iter().filter(|l| l.status != EndpointStatus::Removed);
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

    /// Lets time pass until every request has its answer, and ends streams.
    fn answer_everything(&mut self) {
        for _ in 0..80 {
            self.pass(50 * MS);
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
                self.checker.close(request);
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

    /// Lets time pass a tick at a time, with timers and time-outs as they come.
    fn pass(&mut self, time: Micros) {
        let to = self.harness.now + time;
        while self.harness.now < to {
            self.harness.now += 5 * MS;
            let now = self.harness.now;
            let streaming = |id| self.checker.open.get(id).is_some_and(|o: &Open| o.streaming.is_some());
            let over = self
                .harness
                .in_flight
                .iter()
                .filter(|(k, o)| o.sent_at + o.timeout <= now && !streaming(&k.0));
            for key in over.map(|(k, _)| *k).collect::<Vec<_>>() {
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
        assert!(!play(seed, 400).is_empty());
    }
}

#[test]
fn same_events_give_same_actions() {
    for seed in 0..20 {
        assert_eq!(play(seed, 200), play(seed, 200));
    }
}
