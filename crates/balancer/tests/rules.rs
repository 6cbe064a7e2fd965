//! Rules 1 to 3 over random event sequences with fixed seeds, judged by a model of their own.

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

/// What the rules allow, kept apart from the module under test.
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
                    assert_eq!(to.status, EndpointStatus::Ready, "drains are kept");
                    assert!(!self.cordoned.contains(&endpoint), "cordons are kept");
                    assert!(timeout > 0 && now < open.due && open.streaming.is_none());
                    assert!((open.attempts.len() as u32) < self.set.limits.max_attempts);
                    let live = open.attempts.iter().filter(|a| a.outcome.is_none()).count();
                    assert!(live == 0 || self.set.limits.may_hedge, "one attempt at a time");
                    for earlier in Self::ran(open) {
                        match self.set.classes[open.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => panic!("an unsafe request sent twice"),
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
                    assert!(harmless, "refused though it may have run");
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

/// Plays a random sequence and returns all that the module did.
fn play(seed: u64, steps: usize) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let set = random_settings(&mut rng);
    let endpoints = rng.usize(1..9);
    let mut harness = Harness::new(set.clone(), endpoints, seed);
    let status = (0..endpoints).map(ready_entry).collect();
    let (open, ended, cordoned) = Default::default();
    let mut checker = RuleChecker { set: set.clone(), open, ended, status, cordoned, answered: 0 };
    let mut log = Vec::new();
    let outcomes = [
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::NotSent,
    ];
    let mut asked = 0;
    for _ in 0..steps {
        match rng.u32(0..100) {
            0..40 => {
                let class = rng.usize(0..3);
                let left = rng.i64(-20..2500) * MS;
                let tenant = (!set.tenants.is_empty()).then(|| rng.usize(0..set.tenants.len()));
                let work = rng.bool().then(|| rng.i64(0..400) * MS);
                let id = harness.next_request;
                let due = harness.now + left.max(0);
                checker.open.insert(id, Open { class, due, attempts: Vec::new(), streaming: None });
                asked += 1;
                let (_, actions) = harness.request_with(class, left.max(0), tenant, work);
                checker.check(harness.now, &actions);
                log.push(format!("{actions:?}"));
            }
            40..70 => {
                let keys: Vec<_> = harness.in_flight.keys().copied().collect();
                let Some(&(id, n)) = rng.choice(&keys) else { continue };
                finish(&mut harness, &mut checker, &mut log, (id, n), *rng.choice(&outcomes).expect("some"));
            }
            70..72 => {
                let keys: Vec<_> = harness.in_flight.keys().copied().collect();
                let Some(&(id, n)) = rng.choice(&keys) else { continue };
                let Some(open) = checker.open.get_mut(&id).filter(|o| set.classes[o.class].streaming) else {
                    continue;
                };
                if open.streaming.is_none() {
                    open.streaming = Some(n);
                    let actions = harness.handle(Event::StreamStarted { request: id, attempt: n });
                    checker.check(harness.now, &actions);
                }
            }
            72..74 => {
                let keys: Vec<_> = checker.open.keys().copied().collect();
                let Some(&id) = rng.choice(&keys) else { continue };
                checker.open.remove(&id);
                checker.close(id);
                let actions = harness.handle(Event::RequestAbandoned(id));
                checker.check(harness.now, &actions);
            }
            74..80 => {
                let one = rng.usize(0..endpoints);
                let states = [
                    EndpointStatus::Ready,
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Removed,
                ];
                checker.status[one].status = *rng.choice(&states).expect("some");
                checker.status[one].started_at = rng.bool().then_some(harness.now - rng.i64(0..8000) * MS);
                let list = if rng.bool() {
                    EndpointListUpdate::Delta(vec![checker.status[one].clone()])
                } else {
                    let listed = checker.status.iter().filter(|l| l.status != EndpointStatus::Removed);
                    EndpointListUpdate::Full(listed.cloned().collect())
                };
                let actions = harness.handle(Event::EndpointList(list));
                checker.check(harness.now, &actions);
            }
            80 => {
                let actions = harness.handle(Event::EndpointList(EndpointListUpdate::Failed));
                checker.check(harness.now, &actions);
            }
            81..84 => {
                let one = rng.usize(0..endpoints);
                let event = if rng.bool() {
                    checker.cordoned.insert(one);
                    Event::Cordoned(one)
                } else {
                    checker.cordoned.remove(&one);
                    Event::Uncordoned(one)
                };
                let actions = harness.handle(event);
                checker.check(harness.now, &actions);
            }
            _ => pass(&mut harness, &mut checker, &mut log, rng.i64(1..120) * MS),
        }
    }
    for _ in 0..80 {
        pass(&mut harness, &mut checker, &mut log, 50 * MS);
        let streams: Vec<_> =
            checker.open.iter().filter(|(_, o)| o.streaming.is_some()).map(|(id, _)| *id).collect();
        for (id, n) in
            harness.in_flight.keys().copied().filter(|k| streams.contains(&k.0)).collect::<Vec<_>>()
        {
            finish(&mut harness, &mut checker, &mut log, (id, n), Outcome::Ok);
        }
    }
    assert!(checker.open.is_empty(), "every request is answered");
    assert_eq!(checker.answered, asked);
    log
}

/// Ends an attempt as the world would: the first OK settles its request, as does a broken stream.
fn finish(
    harness: &mut Harness,
    checker: &mut RuleChecker,
    log: &mut Vec<String>,
    key: (RequestId, AttemptNumber),
    outcome: Outcome,
) {
    let out = harness.in_flight.remove(&key).expect("an attempt in flight");
    let (request, attempt) = key;
    let mut settled = true;
    if let Some(open) = checker.open.get_mut(&request) {
        open.attempts[attempt as usize].outcome = Some(outcome);
        settled = outcome == Outcome::Ok || open.streaming == Some(attempt);
        if settled {
            checker.open.remove(&request);
            checker.close(request);
        }
    }
    let (endpoint, took) = (out.endpoint, harness.now - out.sent_at);
    let load = LoadReport::default();
    let end = AttemptEnd {
        request,
        attempt,
        endpoint,
        outcome,
        duration: took,
        request_completed: settled,
        body_consumed: false,
        load_report: load,
    };
    let actions = harness.handle(Event::AttemptEnded(end));
    checker.check(harness.now, &actions);
    log.push(format!("{actions:?}"));
}

/// Lets time pass a tick at a time, with timers and time-outs as they come.
fn pass(harness: &mut Harness, checker: &mut RuleChecker, log: &mut Vec<String>, time: Micros) {
    let to = harness.now + time;
    while harness.now < to {
        harness.now += 5 * MS;
        let streaming = |id| checker.open.get(id).is_some_and(|o: &Open| o.streaming.is_some());
        let over = harness
            .in_flight
            .iter()
            .filter(|(k, o)| o.sent_at + o.timeout <= harness.now && !streaming(&k.0));
        for key in over.map(|(k, _)| *k).collect::<Vec<_>>() {
            finish(harness, checker, log, key, Outcome::TimedOut);
        }
        let due: Vec<_> = harness.timers.iter().filter(|t| t.0 <= harness.now).copied().collect();
        harness.timers.retain(|t| t.0 > harness.now);
        for (_, token) in due {
            let actions = harness.handle(Event::Timer(token));
            checker.check(harness.now, &actions);
            log.push(format!("{actions:?}"));
        }
        checker.check(harness.now, &[]);
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
