//! Tenants' usage of their quotas.

use crate::decaying_sum::DecayingSum;
use crate::{Micros, Settings, TenantId};

/// A tenant is over its quota if its requests relative to its quota exceed the average by this factor.
const OVER_QUOTA_FACTOR: f64 = 1.2;

pub(crate) struct QuotaUsage {
    requests: Vec<DecayingSum>,
}

impl QuotaUsage {
    pub(crate) fn new(tenants: usize) -> Self {
        Self { requests: vec![DecayingSum::default(); tenants] }
    }

    /// Counts a request and returns whether its tenant is over its quota.
    pub(crate) fn count(&mut self, now: Micros, tenant: Option<TenantId>, settings: &Settings) -> bool {
        let Some(tenant) = tenant.filter(|t| *t < settings.tenants.len()) else { return false };
        let window = 2 * settings.longest_latency_objective();
        self.requests.iter_mut().for_each(|r| r.add(now, 0.0, window));
        self.requests[tenant].total += 1.0;
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let requests: f64 = self.requests.iter().map(|r| r.total).sum();
        let quota = settings.tenants[tenant].quota_per_s;
        self.requests[tenant].total * quotas > OVER_QUOTA_FACTOR * requests * quota
    }
}
