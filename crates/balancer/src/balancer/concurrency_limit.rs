//! Concurrency limits (bulkheads): an endpoint gets its fair share of the attempts in flight, up to a limit
//! adapted to its latency, as capacities are unknown and overloaded endpoints collapse.

use super::*;

/// An endpoint may hold this multiple of its fair share of the attempts in flight.
const FAIR_SHARE_SLACK: f64 = 1.3;
/// Initial limit if there is only one sidecar.
const INITIAL_LIMIT: f64 = 2.0;
const LIMIT_STEP: f64 = 0.1;
const MIN_LIMIT: f64 = 0.05;
const MAX_LIMIT: f64 = 1000.0;
const MAX_DECREASE_STEPS: f64 = 2.0;
/// Limits grow only when this share of them is in use.
const GROWTH_UTILIZATION: f64 = 0.6;

/// Load of the fleet, on which the limits of all endpoints depend.
pub(super) struct FleetLoad {
    in_flight: f64,
    /// Total weight of the endpoints that share the load, and the share of endpoints in the subset.
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
            // With many sidecars each limit is below one, so they bind only as a sum, taken as no less than
            // the admission factor (5 without overload), or a quiet fleet would reject bursts of 2 or 3.
            all_full: in_flight > limits.max(self.shedding.admission_factor(self.now)),
            subset_size,
        }
    }

    pub(super) fn is_at_limit(&self, endpoint: &Endpoint, request: &Request, fleet: &FleetLoad) -> bool {
        // Retries are exempt from the fair share, as idempotency may restrict them to a few endpoints.
        let slack = if request.attempts.is_empty() { FAIR_SHARE_SLACK } else { f64::INFINITY };
        let weight = self.weight(endpoint);
        let share = slack * fleet.in_flight * weight / (fleet.total_weight * fleet.subset_share);
        fleet.all_full || endpoint.in_flight.load() + 1.0 > share.min(endpoint.concurrency_limit).ceil()
    }

    /// Initial limit and unit of increases. Sidecars rarely all peak at once: hence the square root.
    pub(super) fn initial_limit(&self) -> f64 {
        INITIAL_LIMIT / (self.settings.instances.max(1) as f64).sqrt()
    }

    /// Adapts the limit after an answer: it rises while latency is below its target and falls while above.
    pub(super) fn adjust_limit(&mut self, i: EndpointId, target_latency: f64) {
        let requests_wait = !self.queue.is_empty();
        let (in_flight, limits) = load_and_limits(&self.endpoints);
        let initial_limit = self.initial_limit();
        let endpoint = &mut self.endpoints[i];
        let latency_headroom = 1.0 - endpoint.latency_per_work / target_latency;
        let step = latency_headroom.clamp(-MAX_DECREASE_STEPS, 1.0) * LIMIT_STEP;
        // Answers in time while requests wait show that it can serve more than its guaranteed capacity.
        let max_proven = if requests_wait || step < 0.0 { 1.0 } else { endpoint.spare_capacity_score };
        endpoint.spare_capacity_score = (endpoint.spare_capacity_score + step).clamp(0.0, max_proven);
        // Unused limits of endpoints that can't be sent to must not keep a full one from growing.
        let in_use = in_flight + 1.0 > GROWTH_UTILIZATION * limits
            || requests_wait && endpoint.in_flight.load() + 1.0 >= endpoint.concurrency_limit;
        if step < 0.0 || in_use {
            // Additive increase, multiplicative decrease: competing sidecars converge to equal limits.
            let unit = if step > 0.0 { initial_limit } else { endpoint.concurrency_limit };
            let limit = endpoint.concurrency_limit + step * unit;
            endpoint.concurrency_limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
        }
    }
}
