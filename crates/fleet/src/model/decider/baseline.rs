//! The baseline policies: selection and retries with one of several selection methods. They keep the rules, as the
//! balancer does, and have neither circuit breakers nor bulkheads.

use super::{Decider, TrueView};
use crate::Micros;
use lotusmoor_balancer::{
    Action, AttemptEnd, DedupScope, EndpointEntry, EndpointId, EndpointListUpdate, EndpointStatus, Event,
    Idempotency, NewRequest, Outcome, RequestId, Settings,
};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// How a server is selected.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// The next server in turn.
    RoundRobin,
    /// The server with the fewest attempts in flight from this sidecar.
    LeastInFlight,
    /// The server that will complete the request first, by its current state.
    TrueState,
}

/// A baseline policy in one sidecar process.
pub struct Baseline {
    settings: Settings,
    selection: Selection,
    /// Listed servers by number; `None` for those that are not listed.
    endpoints: Vec<Option<EndpointEntry>>,
    in_flight: Vec<u32>,
    /// Servers cordoned by operators.
    cordoned: BTreeSet<EndpointId>,
    next_index: usize,
    open: FxHashMap<RequestId, Open>,
}

/// An open request.
struct Open {
    new: NewRequest,
    arrived: Micros,
    attempts: Vec<Sent>,
}

/// An attempt that was sent.
struct Sent {
    to: EndpointId,
    at: Micros,
    /// True until the outcome shows that it was not executed.
    may_have_run: bool,
}

impl Baseline {
    pub fn new(settings: Settings, selection: Selection, seed: u64) -> Self {
        // A start that depends on the seed keeps sidecars from going through the list in step.
        let next_index = (seed >> 16) as usize;
        let (endpoints, in_flight, cordoned, open) = Default::default();
        Self { settings, selection, endpoints, in_flight, cordoned, next_index, open }
    }

    fn apply_list(&mut self, update: EndpointListUpdate) {
        let entries = match update {
            EndpointListUpdate::Failed => return,
            EndpointListUpdate::Delta(entries) => entries,
            EndpointListUpdate::Full(entries) | EndpointListUpdate::Cached(entries) => {
                self.endpoints.iter_mut().for_each(|l| *l = None);
                entries
            }
        };
        for entry in entries {
            let i = entry.endpoint;
            if i >= self.endpoints.len() {
                self.endpoints.resize_with(i + 1, || None);
                self.in_flight.resize(i + 1, 0);
            }
            self.endpoints[i] = Some(entry);
        }
    }

    fn may_send(&self, now: Micros, open: &Open, to: &EndpointEntry) -> bool {
        let mut executed = open.attempts.iter().filter(|a| a.may_have_run);
        match self.settings.classes[open.new.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => executed.next().is_none(),
            Idempotency::WithKey { scope, ttl } => executed.all(|a| {
                let from = self.endpoints.get(a.to).and_then(Option::as_ref);
                let same_scope = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => from.is_some_and(|f| f.zone == to.zone),
                    DedupScope::Cell => from.is_some_and(|f| f.cell == to.cell),
                };
                same_scope && now - a.at < ttl - self.settings.tick
            }),
        }
    }

    fn select(&mut self, now: Micros, id: RequestId, view: &TrueView) -> Option<EndpointId> {
        let open = &self.open[&id];
        let n = self.endpoints.len();
        let untried = |i: EndpointId| !open.attempts.iter().any(|a| a.to == i);
        let ready = |i: &EndpointId| {
            let entry = self.endpoints[*i].as_ref().filter(|l| l.status == EndpointStatus::Ready);
            let usable = entry.is_some_and(|l| self.may_send(now, open, l)) && !self.cordoned.contains(i);
            usable && untried(*i)
        };
        let class = &self.settings.classes[open.new.class];
        match self.selection {
            Selection::RoundRobin => {
                let found = (0..n).map(|k| (self.next_index + k) % n).find(ready)?;
                self.next_index = found + 1;
                Some(found)
            }
            Selection::LeastInFlight => {
                let found = (0..n)
                    .map(|k| (self.next_index + k) % n)
                    .filter(ready)
                    .min_by_key(|i| self.in_flight[*i])?;
                self.next_index = found + 1;
                Some(found)
            }
            Selection::TrueState => {
                // A request's work is unknown; a quarter of the shortest latency objective is close to the mean work
                // at typical sites. Queueing is limited to half of that objective, because requests that wait longer
                // are mostly late.
                let least = self
                    .settings
                    .classes
                    .iter()
                    .map(|c| c.latency_objective)
                    .min()
                    .unwrap_or(class.latency_objective) as f64;
                let work = least / 4.0;
                let best =
                    (0..n).filter(ready).filter_map(|i| Some((view.expected_completion(now, i, work)?, i)));
                let (completion, i) = best.min_by(|a, b| a.0.total_cmp(&b.0))?;
                let late = (now - open.arrived) as f64 + completion > class.latency_objective as f64;
                (completion < least / 2.0 + work && !late).then_some(i)
            }
        }
    }

    fn send_or_finish(&mut self, now: Micros, id: RequestId, view: &TrueView, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let time_left = open.new.deadline - 2 * self.settings.tick - now;
        let out_of_attempts = open.attempts.len() as u32 >= self.settings.limits.max_attempts;
        let to = if time_left <= 0 || out_of_attempts { None } else { self.select(now, id, view) };
        let Some(open) = self.open.get_mut(&id) else { return };
        match to {
            Some(to) => {
                let latency_objective = self.settings.classes[open.new.class].latency_objective;
                let timeout = match self.selection {
                    // It knows the expected completion time; past the latency objective a response earns nothing.
                    Selection::TrueState => time_left.min(open.arrived + latency_objective - now),
                    // Half of the time for the first attempt, so that a second one has as much.
                    _ if open.attempts.is_empty() => time_left / 2,
                    _ => time_left,
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
                let idempotency = self.settings.classes[open.new.class].idempotency;
                let executed = open.attempts.iter().filter(|a| a.may_have_run).map(|a| a.at).min();
                let safe_to_retry = match (executed, idempotency) {
                    (None, _) | (_, Idempotency::Idempotent) => true,
                    (Some(at), Idempotency::WithKey { scope: DedupScope::All, ttl }) => now - at < ttl,
                    _ => false,
                };
                out.push(if safe_to_retry {
                    Action::Reject { request: id, retry_after: 0 }
                } else {
                    Action::Fail(id)
                });
                self.open.remove(&id);
            }
        }
    }

    fn attempt_ended(&mut self, now: Micros, end: AttemptEnd, view: &TrueView, out: &mut Vec<Action>) {
        self.in_flight[end.endpoint] = self.in_flight[end.endpoint].saturating_sub(1);
        if end.request_completed || end.outcome == Outcome::Ok {
            self.open.remove(&end.request);
            return;
        }
        if let Some(open) = self.open.get_mut(&end.request) {
            open.attempts[end.attempt as usize].may_have_run = !end.outcome.was_never_executed();
            self.send_or_finish(now, end.request, view, out);
        }
    }
}

impl Decider for Baseline {
    fn handle(&mut self, now: Micros, event: Event, view: &TrueView, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList(update) => self.apply_list(update),
            Event::RequestReceived(new) => {
                let id = new.id;
                self.open.insert(id, Open { new, arrived: now, attempts: Vec::new() });
                self.send_or_finish(now, id, view, out);
            }
            Event::Cordoned(server) => {
                self.cordoned.insert(server);
            }
            Event::Uncordoned(server) => {
                self.cordoned.remove(&server);
            }
            Event::AttemptEnded(end) => self.attempt_ended(now, end, view, out),
            Event::RequestAbandoned(id) => {
                self.open.remove(&id);
            }
            _ => {}
        }
    }
}
