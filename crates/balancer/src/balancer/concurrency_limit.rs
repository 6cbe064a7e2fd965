//! Concurrency limits (bulkheads): an endpoint gets its fair share of what is in flight, up to a limit learnt
//! from its latency. Capacities are not known, and crowded servers collapse.

use super::*;

/// An endpoint may hold this multiple of its fair share of the attempts in flight.
const FAIR_SHARE_SLACK: f64 = 1.3;
/// First limit of a single sidecar.
const INITIAL_LIMIT: f64 = 2.0;
const LIMIT_STEP: f64 = 0.1;
const MIN_LIMIT: f64 = 0.05;
const MAX_LIMIT: f64 = 1000.0;
const MAX_STEPS_DOWN: f64 = 2.0;
/// Limits grow only when this share of them is in use.
const GROWTH_UTILIZATION: f64 = 0.6;

/// What the limits of all endpoints depend on.
pub(super) struct FleetLoad {
    in_flight: f64,
    /// Weights of the endpoints that share the load, and the part of them in the subset.
    total_weight: f64,
    subset_share: f64,
    all_full: bool,
    pub(super) subset_size: f64,
}

impl Balancer {
    pub(super) fn fleet_load(&self, class: ClassId, has_budget: impl Fn(&Endpoint) -> bool) -> FleetLoad {
        let serving = || self.endpoints.iter().filter(|e| e.serves(class));
        let (in_flight, limits) = load_and_limits(&self.endpoints);
        let subset_size = self.subset_size();
        FleetLoad {
            in_flight,
            total_weight: serving().filter(|e| has_budget(e)).map(|e| self.weight(e)).sum(),
            subset_share: (subset_size / serving().count() as f64).min(1.0),
            // Many sidecars have less than one in flight for each server: their limits bind as a sum. While
            // all is well it holds a few, or a quiet fleet would reject what comes in twos and threes.
            all_full: in_flight > limits.max(self.shedding.leeway(self.now)),
            subset_size,
        }
    }

    pub(super) fn is_at_limit(&self, endpoint: &Endpoint, request: &Request, fleet: &FleetLoad) -> bool {
        // The fair share does not hold up retries, which may be bound to few endpoints.
        let slack = if request.attempts.is_empty() { FAIR_SHARE_SLACK } else { f64::INFINITY };
        let weight = self.weight(endpoint);
        let share = slack * fleet.in_flight * weight / (fleet.total_weight * fleet.subset_share);
        fleet.all_full || endpoint.in_flight.load() + 1.0 > share.min(endpoint.concurrency_limit).ceil()
    }

    /// First limit, and the unit in which limits rise. Sidecars seldom fill all at once: hence the root.
    pub(super) fn initial_limit(&self) -> f64 {
        INITIAL_LIMIT / (self.settings.instances.max(1) as f64).sqrt()
    }

    /// Learns from an answer: the limit rises while latency is below its target and falls above it.
    pub(super) fn adjust_limit(&mut self, i: EndpointId, target_latency: f64) {
        let requests_wait = !self.queue.is_empty();
        let (in_flight, limits) = load_and_limits(&self.endpoints);
        let initial_limit = self.initial_limit();
        let endpoint = &mut self.endpoints[i];
        let spare = 1.0 - endpoint.latency_per_work / target_latency;
        let step = spare.clamp(-MAX_STEPS_DOWN, 1.0) * LIMIT_STEP;
        // It bears what it is sent: it may well be warmer than the least that is certain.
        let most = if requests_wait || step < 0.0 { 1.0 } else { endpoint.proven_capacity };
        endpoint.proven_capacity = (endpoint.proven_capacity + step).clamp(0.0, most);
        // Limits left at endpoints that can't be used are of no use: what waits here needs this one's.
        let in_use = in_flight + 1.0 > GROWTH_UTILIZATION * limits
            || requests_wait && endpoint.in_flight.load() + 1.0 >= endpoint.concurrency_limit;
        if step < 0.0 || in_use {
            // Additive increase, multiplicative decrease: sidecars that crowd each other even out.
            let unit = if step > 0.0 { initial_limit } else { endpoint.concurrency_limit };
            let limit = endpoint.concurrency_limit + step * unit;
            endpoint.concurrency_limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
        }
    }
}
