//! Slow start: an endpoint whose process has just started collapses under a load that it can serve when warm.
//!
//! A budget of work (token bucket) limits all attempts sent to it, with retries and trials. It grows at a
//! share of the measured throughput of warm endpoints of its size; each attempt takes its expected work.

use super::*;

/// Budget rate at first, as a share of the overload factor; it doubles as `spare_capacity_score` rises to 1.
const OVERLOAD_SHARE: f64 = 0.4;
/// The maximum budget is what the rate adds in `overload_collapse_after`, divided by this.
const MAX_BUDGET_COLLAPSE_TIME_DIVISOR: f64 = 4.0;

/// Work served recently.
#[derive(Default)]
pub(super) struct Throughput {
    all: DecayingSum,
    by_warm_endpoints: DecayingSum,
}

impl Balancer {
    /// Work that the endpoint may still be sent; unbounded once it is warm.
    pub(super) fn slow_start_budget(&self, endpoint: &Endpoint, warm_throughput: f64) -> f64 {
        let rules = &self.settings.rules;
        let capacity = endpoint.capacity_share(self.now, rules);
        if capacity >= 1.0 {
            return f64::INFINITY;
        }
        let collapse_after = (rules.overload_collapse_after as f64).max(1.0);
        // A request from each of a thousand sidecars would make it collapse: they share the minimum.
        let min_rate = self.latency.mean_work / (collapse_after * f64::from(self.settings.instances.max(1)));
        let share = OVERLOAD_SHARE * (1.0 + endpoint.spare_capacity_score);
        let rate = (warm_throughput * endpoint.size * rules.overload_factor * share * capacity).max(min_rate);
        let gained = rate * self.now.saturating_sub(endpoint.budget_updated_at).max(0) as f64;
        let max_budget = rate * collapse_after / MAX_BUDGET_COLLAPSE_TIME_DIVISOR;
        (endpoint.slow_start_budget + gained).min(max_budget.max(self.latency.mean_work))
    }

    /// Measured work per microsecond of a warm endpoint of size 1, where slow ones count by their weight.
    /// Endpoints in slow start are left out if any is warm, since their throughput follows from this.
    pub(super) fn warm_throughput(&self) -> f64 {
        let rules = &self.settings.rules;
        let available = || self.endpoints.iter().filter(|e| e.is_available());
        let share = |e: &Endpoint| e.capacity_share(self.now, rules);
        let weight_from = |min| available().filter(|e| share(e) >= min).map(|e| self.weight(e)).sum::<f64>();
        let warm_weight = weight_from(1.0);
        let any_warm = warm_weight > 0.0;
        let served = if any_warm { &self.throughput.by_warm_endpoints } else { &self.throughput.all };
        let weight = if any_warm { warm_weight } else { weight_from(0.0) };
        // The throughput is that of this sidecar's subset, not of all endpoints.
        let weight = weight * (self.subset_size() / available().map(share).sum::<f64>()).min(1.0);
        let rate = served.rate_over_at_least(self.now, rules.overload_collapse_after);
        if weight > 0.0 { rate / weight } else { 0.0 }
    }

    pub(super) fn record_throughput(&mut self, i: EndpointId, work: f64) {
        let rules = &self.settings.rules;
        let window = 2 * rules.overload_collapse_after;
        let is_warm = self.endpoints[i].capacity_share(self.now, rules) >= 1.0;
        self.throughput.all.add(self.now, work, window);
        self.throughput.by_warm_endpoints.add(self.now, if is_warm { work } else { 0.0 }, window);
    }

    /// Begins a slow start; its budget is a random part of the mean work, or all sidecars would send at once.
    pub(super) fn begin_slow_start(&mut self, i: EndpointId, started_at: Micros) {
        let budget = self.rng.f64() * self.latency.mean_work;
        let endpoint = &mut self.endpoints[i];
        endpoint.started_at = endpoint.started_at.max(Some(started_at));
        endpoint.slow_start_budget = budget;
        endpoint.budget_updated_at = self.now;
        endpoint.spare_capacity_score = 0.0;
    }
}
