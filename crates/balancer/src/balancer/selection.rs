//! Selection of an endpoint: weighted round robin over a subset of the endpoints.

use super::*;

/// Own traffic must reach each endpoint in this time, or its errors are seen after clients gave up.
const ROUND_IN_DEADLINES: f64 = 0.5;
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Place of an endpoint with an open circuit: who replaced each by the next would try the whole fleet.
const OPEN_CIRCUIT_SUBSET_SHARE: f64 = 0.5;

#[derive(Default)]
pub(super) struct RoundRobin {
    /// Of the latest turn.
    pub(super) virtual_time: f64,
    /// The endpoints in an order of this sidecar's own; the subset is at its beginning.
    pub(super) order: Vec<EndpointId>,
}

pub(super) enum Choice {
    Endpoint(EndpointId),
    AtLimits,
    AllOpen,
}

impl Balancer {
    /// Picks among the endpoints that may take the request: one not yet tried, then the next turn.
    pub(super) fn choose(&self, request: &Request) -> Choice {
        let pace = self.warm_throughput();
        // An endpoint in slow start without budget takes no part, or the others would be kept idle with it.
        let has_budget = |e: &Endpoint| self.slow_start_budget(e, pace) >= self.latency.mean_work;
        let load = self.fleet_load(request.class, has_budget);
        let (mut best, mut at_limits, mut subset_places) = (None, false, 0.0);
        for i in self.round_robin.order.iter().copied().filter(|i| self.may_send(request, *i)) {
            let e = &self.endpoints[i];
            if subset_places >= load.subset_size && best.is_some() {
                break;
            }
            let place = if e.serves(request.class) { 1.0 } else { OPEN_CIRCUIT_SUBSET_SHARE };
            subset_places += e.warmth(self.now, &self.settings.rules) * place;
            if self.circuit_blocks(e, request.class) {
                continue;
            }
            // A trial of the endpoint's circuit has nothing else in flight there; one of a class may have.
            let is_full = e.is_closed() && self.is_at_limit(e, request, &load);
            if is_full || !has_budget(e) {
                at_limits = true;
                continue;
            }
            let tried = request.attempts.iter().any(|a| a.endpoint == i);
            let rank = (tried, e.next_turn.max(self.round_robin.virtual_time), e.last_sent_at, i);
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        let none = if at_limits { Choice::AtLimits } else { Choice::AllOpen };
        best.map_or(none, |(.., i)| Choice::Endpoint(i))
    }

    /// Endpoints in the subset. With little traffic a thousand sidecars that used all would fill every
    /// server's connection table, and learn nothing of a server before it changes.
    pub(super) fn subset_size(&self) -> f64 {
        let turns = self.shedding.request_rate(self.now) * self.longest_deadline * ROUND_IN_DEADLINES;
        turns.max(MIN_SUBSET_SIZE).min(self.endpoints.len() as f64)
    }

    /// An endpoint's share of the turns: its size, less in slow start or if it is slower than the fleet.
    pub(super) fn weight(&self, endpoint: &Endpoint) -> f64 {
        let warmth = endpoint.warmth(self.now, &self.settings.rules);
        endpoint.size * warmth * self.latency.weight(self.now, endpoint)
    }
}
