//! Idempotency: keeps requests from taking effect twice.

use super::*;

impl Balancer {
    /// Whether a request may run at an endpoint: idempotent, not executed yet, or its key deduplicated there.
    pub(super) fn may_execute(&self, request: &Request, endpoint: EndpointId) -> bool {
        let mut executions = request.possible_executions();
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => executions.next().is_none(),
            Idempotency::WithKey { scope, .. } => {
                executions.all(|a| self.endpoints[endpoint].deduplicates(a, scope))
                    && self.idempotency_window(request).is_none_or(|left| left > 0)
            }
        }
    }

    /// How long endpoints still deduplicate a request that may have been executed.
    pub(super) fn idempotency_window(&self, request: &Request) -> Option<Micros> {
        let Idempotency::WithKey { ttl, .. } = self.settings.classes[request.class].idempotency else {
            return None;
        };
        request.possible_executions().map(|a| a.sent_at + ttl - self.settings.tick - self.now).min()
    }
}
