//! Retries: filter, budget, backoff, time-outs; and the final answer where none may be sent.

use super::*;

const MIN_BACKOFF_IN_OBJECTIVES: f64 = 1.0 / 64.0;
const MAX_BACKOFF_IN_OBJECTIVES: f64 = 1.0 / 8.0;
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Retry budget: what each request adds to it, and its maximum.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.1;
pub(super) const MAX_RETRY_BUDGET: f64 = 3.0;
/// Retries are planned only if each attempt gets at least this multiple of its expected latency.
const MIN_TIMEOUT_IN_EXPECTED_LATENCIES: f64 = 8.0;
const MAX_PLANNED_RETRIES: u32 = 9;

impl Balancer {
    /// Schedules a retry after an exponential backoff with jitter, or gives the final answer.
    pub(super) fn schedule_retry(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.failures += 1;
        let factor = f64::from(1u32 << request.failures.min(MAX_BACKOFF_DOUBLINGS));
        let min_backoff = request.latency_objective * MIN_BACKOFF_IN_OBJECTIVES;
        let max_backoff = request.latency_objective * MAX_BACKOFF_IN_OBJECTIVES;
        let backoff = min_backoff * factor / 2.0 * (0.5 + self.rng.f64());
        let at = after(self.now, backoff.clamp(min_backoff, max_backoff));
        if !self.may_retry(id, at) {
            return self.reject_or_fail(id);
        }
        self.requests.entry(id).and_modify(|r| r.state = RequestState::Backoff);
        self.timers.schedule(at, Timer::Retry(id));
    }

    pub(super) fn is_in_backoff(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| r.state == RequestState::Backoff)
    }

    fn may_retry(&self, id: RequestId, at: Micros) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.settings.classes[request.class];
        let late_has_value = class.late_value_share > 0.0;
        let objective_at = after(request.received_at, request.latency_objective);
        let useful_until = if late_has_value { request.deadline } else { objective_at };
        let attempts = request.failures.max(request.attempts.len() as u32);
        let may_have_run = request.attempts.iter().any(|a| a.may_have_run);
        // Without a budget, all requests would be retried several times in an outage, preventing recovery.
        self.endpoints.iter().any(Endpoint::is_ready)
            && attempts < self.settings.limits.max_attempts
            && !(may_have_run && class.idempotency == Idempotency::NonIdempotent)
            && self.retry_budget >= 1.0
            && at < useful_until.min(request.deadline)
    }

    /// Time-out of the next attempt: plans as many retries as leave each attempt its minimum, with
    /// (retries + 1) x time-out + retries x longest backoff within the time left.
    pub(super) fn attempt_timeout(&self, request: &Request, endpoint: EndpointId) -> Micros {
        let time_left = (request.deadline - self.now) as f64;
        let max_backoff = request.latency_objective * MAX_BACKOFF_IN_OBJECTIVES;
        let latency = self.endpoints[endpoint].latency_per_work.max(self.latency.per_work);
        let min_timeout = MIN_TIMEOUT_IN_EXPECTED_LATENCIES * request.expected_work * latency;
        let attempts = request.attempts.len() as u32 + 1;
        let max_retries = self.settings.limits.max_attempts.saturating_sub(attempts).min(MAX_PLANNED_RETRIES);
        let may_repeat = self.settings.classes[request.class].idempotency != Idempotency::NonIdempotent;
        let timeout = |retries: f64| (time_left - retries * max_backoff) / (retries + 1.0);
        let fits = |retries: &f64| may_repeat && timeout(*retries) >= min_timeout;
        let retries = (1..=max_retries).rev().map(f64::from).find(fits);
        timeout(retries.unwrap_or(0.0)).max(1.0) as Micros
    }

    /// Gives the final answer: rejected if a repeat at its `Retry-After` is provably safe, else failed.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let idempotency = self.settings.classes[request.class].idempotency;
        let first_execution = request.possible_executions().map(|a| a.sent_at).min();
        let retry_after = self.retry_after(request.latency_objective * QUEUE_TIMEOUT_SHARE);
        let may_repeat = match (first_execution, idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(sent_at), Idempotency::WithKey { scope: DedupScope::All, ttl }) => {
                self.now + retry_after - sent_at < ttl
            }
            _ => false,
        };
        let rejected = Action::Reject { request: id, retry_after };
        self.actions.push(if may_repeat { rejected } else { Action::Fail(id) });
        self.complete_request(id, Some(false));
    }

    /// Time to the first trial if all circuits are open, jittered as all clients are told it; else `default`.
    fn retry_after(&mut self, default: f64) -> Micros {
        let trial = first_trial_at(&self.endpoints);
        let delay = trial.map(|at| (at - self.now) as f64 * (0.75 + 0.5 * self.rng.f64()));
        let limits = &self.settings.limits;
        let max = if limits.sends_retry_after { limits.max_retry_after.max(0) } else { 0 };
        (delay.unwrap_or(default) as Micros).clamp(0, max)
    }

    /// Removes a completed request. Load shedding counts it as in time or not, or does not count it (`None`).
    pub(super) fn complete_request(&mut self, id: RequestId, in_time: Option<bool>) {
        let Some(request) = self.requests.remove(&id) else { return };
        // A request that was only queued says nothing about whether sent requests are answered in time.
        if let Some(in_time) = in_time.filter(|_| request.shed || !request.attempts.is_empty()) {
            self.shedding.record_completed(self.now, request.shed, in_time);
        }
        self.queue.remove(&request.queue_key(id));
        self.cancel(id, request.attempts_in_flight().collect());
    }

    pub(super) fn cancel(&mut self, request: RequestId, attempts: Vec<AttemptNumber>) {
        if self.settings.limits.may_cancel {
            let cancelled = attempts.into_iter().map(|attempt| Action::Cancel { request, attempt });
            self.actions.extend(cancelled);
        }
    }
}
