//! Endpoint list updates, and operators' cordons.

use super::*;

/// Endpoint ids are dense: one beyond this is an error of the caller, and is ignored.
const MAX_ENDPOINTS: EndpointId = 1 << 20;
/// The longest backoff is the longest time between polls divided by this.
const MAX_BACKOFF_POLL_DIVISOR: f64 = 2.0;
/// The shortest backoff is the longest one divided by this.
const MIN_BACKOFF_DIVISOR: f64 = 16.0;
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
const MIN_SIZE: f64 = 1e-3;
const MAX_SIZE: f64 = 1e6;
/// Initial slow-start budget of an uncordoned endpoint, in requests of mean work from all sidecars together.
const UNCORDONED_FLEET_BUDGET_REQUESTS: f64 = 2.0;

impl Balancer {
    /// Endpoints that drain, are removed or missing get no attempts from now on.
    pub(super) fn apply_endpoint_list(&mut self, update: EndpointListUpdate) {
        let entries = match update {
            EndpointListUpdate::Failed => return self.schedule_resubscribe(),
            EndpointListUpdate::Delta(entries) => entries,
            EndpointListUpdate::Full(entries) | EndpointListUpdate::Cached(entries) => {
                self.endpoints.iter_mut().for_each(|e| e.listed_ready = false);
                entries
            }
        };
        self.discovery_failures = 0;
        for entry in entries.into_iter().filter(|entry| entry.endpoint < MAX_ENDPOINTS) {
            self.apply_entry(entry);
        }
    }

    fn apply_entry(&mut self, entry: EndpointEntry) {
        self.ensure_endpoint(entry.endpoint);
        let e = &mut self.endpoints[entry.endpoint];
        e.listed_ready = entry.status == EndpointStatus::Ready;
        (e.zone, e.cell, e.machine_type) = (entry.zone, entry.cell, entry.machine_type);
        e.size = if entry.size > 0.0 { entry.size.clamp(MIN_SIZE, MAX_SIZE) } else { 1.0 };
        if entry.started_at > e.started_at {
            // A new process: the old one's state is discarded, but an open circuit closes only by a trial.
            e.reset_for_new_process(self.latency.per_work);
            if e.health.circuit != Circuit::Closed {
                e.health.circuit = Circuit::Open(self.now);
            }
            self.begin_slow_start(entry.endpoint, entry.started_at.unwrap_or(self.now));
        }
    }

    fn schedule_resubscribe(&mut self) {
        self.discovery_failures += 1;
        let max = self.settings.rules.max_poll_interval as f64 / MAX_BACKOFF_POLL_DIVISOR;
        let factor = f64::from(1u32 << self.discovery_failures.min(MAX_BACKOFF_DOUBLINGS));
        let full_backoff = (max / MIN_BACKOFF_DIVISOR * factor).min(max);
        let backoff = full_backoff * (0.5 + 0.5 * self.rng.f64());
        self.timers.schedule(after(self.now, backoff), Timer::Resubscribe);
    }

    /// An uncordoned endpoint is taken to be healthy and restarted: it gets the next turn, in slow start.
    /// All sidecars are called at once: a few of them send to it now, the others as their budgets grow.
    pub(super) fn set_cordoned(&mut self, i: EndpointId, cordoned: bool) {
        if i >= MAX_ENDPOINTS {
            return;
        }
        self.ensure_endpoint(i);
        let was_cordoned = std::mem::replace(&mut self.endpoints[i].cordoned, cordoned);
        if was_cordoned && !cordoned {
            self.begin_slow_start(i, self.now);
            let endpoint = &mut self.endpoints[i];
            endpoint.reset_for_new_process(self.latency.per_work);
            endpoint.health = Health::unknown(endpoint.health.last_outcome_at);
            endpoint.next_turn = self.round_robin.virtual_time;
            let share = UNCORDONED_FLEET_BUDGET_REQUESTS / f64::from(self.settings.instances.max(1));
            endpoint.slow_start_budget += share * self.latency.mean_work;
        }
    }

    /// Discards the state of an endpoint, as its id may be reused for another.
    pub(super) fn release_endpoint(&mut self, i: EndpointId) {
        if i < self.endpoints.len() {
            self.endpoints[i] = self.unknown_endpoint();
        }
    }

    /// Creates endpoints up to that id, each at a random position in the round-robin order.
    fn ensure_endpoint(&mut self, i: EndpointId) {
        while self.endpoints.len() <= i {
            let order = &mut self.round_robin.order;
            order.insert(self.rng.usize(..=order.len()), self.endpoints.len());
            let unknown = self.unknown_endpoint();
            self.endpoints.push(unknown);
        }
    }

    fn unknown_endpoint(&mut self) -> Endpoint {
        Endpoint {
            latency_per_work: self.latency.per_work,
            health: Health::unknown(self.now),
            next_turn: self.round_robin.virtual_time + self.rng.f64(),
            concurrency_limit: self.initial_limit(),
            ..Endpoint::default()
        }
    }
}
