//! Selection of an endpoint: weighted round robin over a subset of the endpoints.

use super::*;

/// Longest round over the subset, in deadlines: errors must be seen before clients give up.
const ROUND_IN_DEADLINES: f64 = 0.5;
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Subset places that an endpoint with an open circuit takes; at 0 the subset could grow to the whole fleet.
const OPEN_CIRCUIT_SUBSET_SHARE: f64 = 0.5;

#[derive(Default)]
pub(super) struct RoundRobin {
    /// Virtual time of the latest turn.
    pub(super) virtual_time: f64,
    /// The endpoints in an order random to each sidecar; the subset is at the beginning.
    pub(super) order: Vec<EndpointId>,
}

pub(super) enum Choice {
    Endpoint(EndpointId),
    AtLimits,
    NoneAvailable,
}

impl Balancer {
    /// Picks an endpoint for the request: of those not yet tried, if any, the one with the next turn.
    pub(super) fn choose(&self, request: &Request) -> Choice {
        let warm_throughput = self.warm_throughput();
        // Endpoints in slow start without budget get no fair share, or the others' would be too small.
        let has_budget = |e: &Endpoint| self.slow_start_budget(e, warm_throughput) >= self.latency.mean_work;
        let load = self.fleet_load(request.class, has_budget);
        let (mut best, mut at_limits, mut subset_places) = (None, false, 0.0);
        for i in self.round_robin.order.iter().copied().filter(|i| self.may_send(request, *i)) {
            let e = &self.endpoints[i];
            if subset_places >= load.subset_size && best.is_some() {
                break;
            }
            let place = if e.serves(request.class) { 1.0 } else { OPEN_CIRCUIT_SUBSET_SHARE };
            subset_places += e.capacity_share(self.now, &self.settings.rules) * place;
            if self.circuit_blocks(e, request.class) {
                continue;
            }
            // No limit for a trial of the endpoint's circuit: unlike a class's trial, it is the only attempt.
            let is_full = e.is_available() && self.is_at_limit(e, request, &load);
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
        let none = if at_limits { Choice::AtLimits } else { Choice::NoneAvailable };
        best.map_or(none, |(.., i)| Choice::Endpoint(i))
    }

    /// Number of endpoints in the subset. With little traffic, a thousand sidecars that used all would fill
    /// every endpoint's connection table, and learn too slowly to notice that an endpoint changes.
    pub(super) fn subset_size(&self) -> f64 {
        let turns = self.shedding.request_rate(self.now) * self.longest_deadline * ROUND_IN_DEADLINES;
        turns.max(MIN_SUBSET_SIZE).min(self.endpoints.len() as f64)
    }

    /// Round-robin weight: the endpoint's size, reduced in slow start and if it is slower than the fleet.
    pub(super) fn weight(&self, endpoint: &Endpoint) -> f64 {
        let capacity_share = endpoint.capacity_share(self.now, &self.settings.rules);
        endpoint.size * capacity_share * self.latency.weight(self.now, endpoint)
    }
}
