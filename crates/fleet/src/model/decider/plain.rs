//! The baselines: a plain loop of picks and retries, with one of several ways to pick. They keep the rules, as the
//! module does, and have neither breakers nor bulkheads.

use super::{Decider, Sight};
use crate::Micros;
use lotusmoor_balancer::{
    Action, AttemptEnd, DedupScope, EndpointEntry, EndpointId, EndpointListUpdate, EndpointStatus, Event,
    Idempotency, NewRequest, Outcome, RequestId, Settings,
};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// How a server is picked.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// The next one in turn.
    Turn,
    /// The one with the least in flight from here.
    LeastInFlight,
    /// The one that will be done first, as things truly stand.
    TrueState,
}

pub struct Plain {
    set: Settings,
    pick: Pick,
    /// Servers by number, as listed; absent ones are of no concern.
    listed: Vec<Option<EndpointEntry>>,
    in_flight: Vec<u32>,
    /// Taken out by operators.
    cordoned: BTreeSet<EndpointId>,
    turn: usize,
    open: FxHashMap<RequestId, Open>,
}

struct Open {
    new: NewRequest,
    arrived: Micros,
    attempts: Vec<Sent>,
}

struct Sent {
    to: EndpointId,
    at: Micros,
    /// Until it is proven otherwise.
    may_have_run: bool,
}

impl Plain {
    pub fn new(set: Settings, pick: Pick, seed: u64) -> Self {
        // Sidecars that begin at one place in the list would go round in step.
        let turn = (seed >> 16) as usize;
        let (listed, in_flight, cordoned, open) = Default::default();
        Self { set, pick, listed, in_flight, cordoned, turn, open }
    }

    fn list(&mut self, update: EndpointListUpdate) {
        let entries = match update {
            EndpointListUpdate::Failed => return,
            EndpointListUpdate::Delta(entries) => entries,
            EndpointListUpdate::Full(entries) | EndpointListUpdate::Cached(entries) => {
                self.listed.iter_mut().for_each(|l| *l = None);
                entries
            }
        };
        for entry in entries {
            let i = entry.endpoint;
            if i >= self.listed.len() {
                self.listed.resize_with(i + 1, || None);
                self.in_flight.resize(i + 1, 0);
            }
            self.listed[i] = Some(entry);
        }
    }

    fn may_go(&self, now: Micros, open: &Open, to: &EndpointEntry) -> bool {
        let mut ran = open.attempts.iter().filter(|a| a.may_have_run);
        match self.set.classes[open.new.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::WithKey { scope, ttl } => ran.all(|a| {
                let from = self.listed.get(a.to).and_then(Option::as_ref);
                let alike = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => from.is_some_and(|f| f.zone == to.zone),
                    DedupScope::Cell => from.is_some_and(|f| f.cell == to.cell),
                };
                alike && now - a.at < ttl - self.set.tick
            }),
        }
    }

    fn choose(&mut self, now: Micros, id: RequestId, sight: &Sight) -> Option<EndpointId> {
        let open = &self.open[&id];
        let n = self.listed.len();
        let untried = |i: EndpointId| !open.attempts.iter().any(|a| a.to == i);
        let ready = |i: &EndpointId| {
            let entry = self.listed[*i].as_ref().filter(|l| l.status == EndpointStatus::Ready);
            let there = entry.is_some_and(|l| self.may_go(now, open, l)) && !self.cordoned.contains(i);
            there && untried(*i)
        };
        let class = &self.set.classes[open.new.class];
        match self.pick {
            Pick::Turn => {
                let found = (0..n).map(|k| (self.turn + k) % n).find(ready)?;
                self.turn = found + 1;
                Some(found)
            }
            Pick::LeastInFlight => {
                let found =
                    (0..n).map(|k| (self.turn + k) % n).filter(ready).min_by_key(|i| self.in_flight[*i])?;
                self.turn = found + 1;
                Some(found)
            }
            Pick::TrueState => {
                // Work of a request is not told; a quarter of the least aim is near what sites ask for on the mean.
                // Queues are held to half of that aim: what waits longer is late more often than not.
                let least = self
                    .set
                    .classes
                    .iter()
                    .map(|c| c.latency_objective)
                    .min()
                    .unwrap_or(class.latency_objective) as f64;
                let work = least / 4.0;
                let best = (0..n).filter(ready).filter_map(|i| Some((sight.wait(now, i, work)?, i)));
                let (wait, i) = best.min_by(|a, b| a.0.total_cmp(&b.0))?;
                let late = (now - open.arrived) as f64 + wait > class.latency_objective as f64;
                (wait < least / 2.0 + work && !late).then_some(i)
            }
        }
    }

    fn go(&mut self, now: Micros, id: RequestId, sight: &Sight, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let left = open.new.deadline - 2 * self.set.tick - now;
        let spent = open.attempts.len() as u32 >= self.set.limits.max_attempts;
        let to = if left <= 0 || spent { None } else { self.choose(now, id, sight) };
        let Some(open) = self.open.get_mut(&id) else { return };
        match to {
            Some(to) => {
                let aim = self.set.classes[open.new.class].latency_objective;
                let timeout = match self.pick {
                    // It knows what it waits for; past the aim that is worth nothing.
                    Pick::TrueState => left.min(open.arrived + aim - now),
                    // Half of the time for the first, so that a second has as much.
                    _ if open.attempts.is_empty() => left / 2,
                    _ => left,
                };
                open.attempts.push(Sent { to, at: now, may_have_run: true });
                self.in_flight[to] += 1;
                out.push(Action::Send {
                    request: id,
                    endpoint: to,
                    timeout: timeout.max(1),
                    idempotency_window: None,
                });
            }
            None => {
                let effect = self.set.classes[open.new.class].idempotency;
                let ran = open.attempts.iter().filter(|a| a.may_have_run).map(|a| a.at).min();
                let harmless = match (ran, effect) {
                    (None, _) | (_, Idempotency::Idempotent) => true,
                    (Some(at), Idempotency::WithKey { scope: DedupScope::All, ttl }) => now - at < ttl,
                    _ => false,
                };
                out.push(if harmless {
                    Action::Reject { request: id, retry_after: 0 }
                } else {
                    Action::Fail(id)
                });
                self.open.remove(&id);
            }
        }
    }

    fn ended(&mut self, now: Micros, end: AttemptEnd, sight: &Sight, out: &mut Vec<Action>) {
        self.in_flight[end.endpoint] = self.in_flight[end.endpoint].saturating_sub(1);
        if end.request_completed || end.outcome == Outcome::Ok {
            self.open.remove(&end.request);
            return;
        }
        if let Some(open) = self.open.get_mut(&end.request) {
            open.attempts[end.attempt as usize].may_have_run = !end.outcome.was_never_executed();
            self.go(now, end.request, sight, out);
        }
    }
}

impl Decider for Plain {
    fn handle(&mut self, now: Micros, event: Event, sight: &Sight, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList(update) => self.list(update),
            Event::RequestReceived(new) => {
                let id = new.id;
                self.open.insert(id, Open { new, arrived: now, attempts: Vec::new() });
                self.go(now, id, sight, out);
            }
            Event::Cordoned(server) => {
                self.cordoned.insert(server);
            }
            Event::Uncordoned(server) => {
                self.cordoned.remove(&server);
            }
            Event::AttemptEnded(end) => self.ended(now, end, sight, out),
            Event::RequestAbandoned(id) => {
                self.open.remove(&id);
            }
            _ => {}
        }
    }
}
