//! Admission of new requests.

use super::*;

impl Balancer {
    /// Sheds a new request at once, or dispatches it.
    pub(super) fn admit(&mut self, new: NewRequest) {
        if self.requests.contains_key(&new.id) || new.class >= self.settings.classes.len() {
            return;
        }
        let default_work = self.latency.class_work[new.class];
        let own_work = new.expected_work.map_or(default_work, |w| w.clamp(1, MAX_DURATION_US) as f64);
        let class = &self.settings.classes[new.class];
        let scaled_objective = class.latency_objective as f64 + class.objective_per_work * own_work;
        let latency_objective = scaled_objective.min(class.deadline.max(class.latency_objective) as f64);
        self.shedding.record_received(self.now);
        self.trial_budget = (self.trial_budget + TRIALS_PER_REQUEST).min(MAX_TRIAL_BUDGET);
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        let expected_work = self.latency.record_request(own_work, latency_objective);
        // A client's retry has already used part of its latency objective.
        let low_priority = self.quotas.count(self.now, new.tenant, &self.settings) || new.is_client_retry;
        let shed = self.shedding.should_shed(self.now, low_priority, self.rng.f64());
        let request = Request {
            class: new.class,
            latency_objective,
            received_at: self.now,
            queued_until: self.now,
            deadline: self.answer_by(new.deadline),
            expected_work,
            low_priority,
            shed,
            body_incomplete: new.body_incomplete,
            failures: 0,
            attempts: Vec::new(),
            state: RequestState::Sent,
        };
        self.timers.schedule(request.deadline, Timer::Deadline(new.id));
        self.requests.insert(new.id, request);
        if shed { self.reject_or_fail(new.id) } else { self.dispatch(new.id) }
    }

    /// The time that a client takes to send its body counts neither as latency nor against the objective.
    pub(super) fn body_received(&mut self, id: RequestId, deadline: Micros) {
        // Without the margin: it counts from the earliest time at which the last byte may have arrived.
        let deadline = deadline.clamp(self.now, self.now + MAX_DURATION_US);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.received_at = self.now;
        request.body_incomplete = false;
        request.deadline = deadline;
        self.timers.schedule(deadline, Timer::Deadline(id));
        self.endpoints.iter_mut().for_each(|e| e.in_flight.body_received(id));
    }

    /// Completes a request that its client gave up. Load shedding counts it only if its answer was late: a
    /// client that leaves early, or never sends all of its request, shows no overload of endpoints.
    pub(super) fn abandon(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let age = (self.now - request.received_at) as f64;
        let was_late = !request.body_incomplete && age > request.latency_objective;
        self.complete_request(id, was_late.then_some(false));
    }

    /// A client's deadline minus two ticks: a timer may be handled one tick late, and the other is a margin.
    fn answer_by(&self, deadline: Micros) -> Micros {
        deadline.clamp(self.now, self.now + MAX_DURATION_US) - 2 * self.settings.tick
    }
}
