//! Slow start: an endpoint whose process has just started collapses under a load that it bears when warm.
//!
//! A budget of work bounds what it is sent over all turns, retries and trials. It grows with a part of what
//! warm endpoints of its size are seen to serve; each attempt takes its expected work.

use super::*;

/// Part of the overload factor at first; as much again once its answers show that it bears that.
const OVERLOAD_SHARE: f64 = 0.4;
/// The budget holds what it gains in this part of the time in which overload makes an endpoint collapse.
const MAX_BUDGET_COLLAPSE_TIME_DIVISOR: f64 = 4.0;

/// Recently served work.
#[derive(Default)]
pub(super) struct Throughput {
    all: DecayingSum,
    by_warm_endpoints: DecayingSum,
}

impl Balancer {
    /// Work that the endpoint may still be sent; unbounded once it is warm.
    pub(super) fn slow_start_budget(&self, endpoint: &Endpoint, warm_throughput: f64) -> f64 {
        let rules = &self.settings.rules;
        let warmth = endpoint.warmth(self.now, rules);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let collapse_after = (rules.overload_collapse_after as f64).max(1.0);
        // One request each of a thousand sidecars makes it collapse: the least is divided among all.
        let min_rate = self.latency.mean_work / (collapse_after * f64::from(self.settings.instances.max(1)));
        let share = OVERLOAD_SHARE * (1.0 + endpoint.proven_capacity);
        let rate = (warm_throughput * endpoint.size * rules.overload_factor * share * warmth).max(min_rate);
        let gained = rate * self.now.saturating_sub(endpoint.budget_updated_at).max(0) as f64;
        let max_budget = rate * collapse_after / MAX_BUDGET_COLLAPSE_TIME_DIVISOR;
        (endpoint.slow_start_budget + gained).min(max_budget.max(self.latency.mean_work))
    }

    /// Work per microsecond that an endpoint of size 1 is seen to serve when warm; slow ones count as little
    /// as their turns. Those in slow start are no measure: what they serve follows from it.
    pub(super) fn warm_throughput(&self) -> f64 {
        let rules = &self.settings.rules;
        let closed = || self.endpoints.iter().filter(|e| e.is_closed());
        let warmth = |e: &Endpoint| e.warmth(self.now, rules);
        let weight_from = |min| closed().filter(|e| warmth(e) >= min).map(|e| self.weight(e)).sum::<f64>();
        let warm_weight = weight_from(1.0);
        let any_warm = warm_weight > 0.0;
        let served = if any_warm { &self.throughput.by_warm_endpoints } else { &self.throughput.all };
        let weight = if any_warm { warm_weight } else { weight_from(0.0) };
        // It is served by the subset that this sidecar uses, not by all.
        let weight = weight * (self.subset_size() / closed().map(warmth).sum::<f64>()).min(1.0);
        let rate = served.cautious_rate(self.now, rules.overload_collapse_after);
        if weight > 0.0 { rate / weight } else { 0.0 }
    }

    pub(super) fn record_throughput(&mut self, i: EndpointId, work: f64) {
        let rules = &self.settings.rules;
        let window = 2 * rules.overload_collapse_after;
        let is_warm = self.endpoints[i].warmth(self.now, rules) >= 1.0;
        self.throughput.all.add(self.now, work, window);
        self.throughput.by_warm_endpoints.add(self.now, if is_warm { work } else { 0.0 }, window);
    }

    /// A process has just started. The budget begins at a random part of a request, to spread sidecars.
    pub(super) fn begin_slow_start(&mut self, i: EndpointId, started_at: Micros) {
        let budget = self.rng.f64() * self.latency.mean_work;
        let endpoint = &mut self.endpoints[i];
        endpoint.started_at = endpoint.started_at.max(Some(started_at));
        endpoint.slow_start_budget = budget;
        endpoint.budget_updated_at = self.now;
        endpoint.proven_capacity = 0.0;
    }
}
