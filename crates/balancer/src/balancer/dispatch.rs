//! Sending of attempts, handling of their ends, and the queue of requests that wait for capacity.

use super::*;
use std::ops::Bound;

/// Longest wait for capacity, as a share of the latency objective.
pub(super) const QUEUE_TIMEOUT_SHARE: f64 = 0.15;

impl Request {
    /// Position in the queue: low priority comes last; within a priority, the earliest to expire comes first.
    pub(super) fn queue_key(&self, id: RequestId) -> (bool, Micros, RequestId) {
        (self.low_priority, self.queued_until, id)
    }
}

impl Balancer {
    /// Whether the request's deadline or its time-out in the queue has passed.
    pub(super) fn has_expired(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| match r.state {
            RequestState::Streaming => false,
            RequestState::Queued => r.queued_until.min(r.deadline) <= self.now,
            RequestState::Sent | RequestState::Backoff => r.deadline <= self.now,
        })
    }

    /// Sends the request to the chosen endpoint, or queues it if all are at their limits.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        match self.choose(request) {
            Choice::Endpoint(endpoint) => self.send(id, endpoint),
            Choice::NoneAvailable => self.schedule_retry(id),
            Choice::AtLimits => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                request.queued_until = after(self.now, request.latency_objective * QUEUE_TIMEOUT_SHARE);
                request.state = RequestState::Queued;
                self.timers.schedule(request.queued_until, Timer::QueueTimeout(id));
                self.queue.insert(request.queue_key(id));
            }
        }
    }

    /// Whether the protocol's rules allow sending the request to the endpoint now.
    pub(super) fn may_send(&self, request: &Request, endpoint: EndpointId) -> bool {
        let limits = &self.settings.limits;
        self.endpoints[endpoint].is_ready()
            && self.now < request.deadline
            && request.state != RequestState::Streaming
            && (request.attempts.len() as u32) < limits.max_attempts
            && (limits.may_hedge || request.attempts_in_flight().next().is_none())
            && self.may_execute(request, endpoint)
    }

    /// Sends an attempt if the protocol's rules allow it. All attempts are sent here.
    pub(super) fn send(&mut self, id: RequestId, endpoint: EndpointId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !self.may_send(request, endpoint) {
            return;
        }
        let timeout = self.attempt_timeout(request, endpoint);
        let budget = self.slow_start_budget(&self.endpoints[endpoint], self.warm_throughput());
        let weight = self.weight(&self.endpoints[endpoint]);
        let idempotency_window = self.idempotency_window(request);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let e = &mut self.endpoints[endpoint];
        let attempt = request.attempts.len() as AttemptNumber;
        let Request { class, expected_work, body_incomplete, .. } = *request;
        let streaming = false;
        let sent = InFlightAttempt { request: id, attempt, class, expected_work, streaming, body_incomplete };
        e.in_flight.push(sent);
        self.round_robin.virtual_time = self.round_robin.virtual_time.max(e.next_turn);
        e.next_turn = self.round_robin.virtual_time + 1.0 / weight;
        e.last_sent_at = self.now;
        e.budget_updated_at = self.now;
        e.slow_start_budget = budget - expected_work;
        self.retry_budget -= f64::from(u8::from(attempt > 0));
        self.trial_budget -= f64::from(u8::from(e.circuit_for(class) != Circuit::Closed));
        let (zone, cell, sent_at) = (e.zone, e.cell, self.now);
        request.attempts.push(Attempt { endpoint, zone, cell, sent_at, in_flight: true, may_have_run: true });
        request.state = RequestState::Sent;
        self.actions.push(Action::Send { request: id, endpoint, timeout, idempotency_window });
    }

    pub(super) fn attempt_ended(&mut self, end: AttemptEnd) {
        let id = end.request;
        let Some(e) = self.endpoints.get_mut(end.endpoint) else { return };
        let Some(attempt) = e.in_flight.complete(id, end.attempt) else { return };
        self.record_outcome(end, &attempt);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let ended = &mut request.attempts[end.attempt as usize];
        ended.in_flight = false;
        ended.may_have_run = !end.outcome.was_never_executed();
        if end.request_completed || matches!(end.outcome, Outcome::Ok | Outcome::BadRequest) {
            let age = (self.now - request.received_at) as f64;
            let in_time = end.outcome == Outcome::Ok && age <= request.latency_objective;
            // Clients that send slowly, or invalid requests, must not cause others' requests to be shed.
            let counts = end.outcome != Outcome::BadRequest && !request.body_incomplete;
            self.complete_request(id, counts.then_some(in_time));
        } else if request.state == RequestState::Sent && request.attempts_in_flight().next().is_none() {
            if end.body_consumed { self.reject_or_fail(id) } else { self.schedule_retry(id) }
        }
    }

    /// The answer has begun to stream: the deadline no longer applies, and other attempts are cancelled.
    pub(super) fn stream_started(&mut self, id: RequestId, attempt: AttemptNumber) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = RequestState::Streaming;
        self.endpoints.iter_mut().for_each(|e| e.in_flight.stream_started(id, attempt));
        self.queue.remove(&request.queue_key(id));
        let others = request.attempts_in_flight().filter(|a| *a != attempt).collect();
        self.cancel(id, others);
    }

    /// Sends the queued requests for which there is capacity now.
    pub(super) fn serve_queue(&mut self) {
        let mut next = self.queue.first().copied();
        while let Some(key) = next {
            let Some(request) = self.requests.get(&key.2) else { return };
            match self.choose(request) {
                // A first attempt may go to any endpoint: without capacity for it there is none for others.
                Choice::AtLimits if request.attempts.is_empty() => return,
                Choice::AtLimits => {}
                Choice::Endpoint(endpoint) => {
                    self.queue.remove(&key);
                    self.send(key.2, endpoint);
                }
                Choice::NoneAvailable => {
                    self.queue.remove(&key);
                    self.schedule_retry(key.2);
                }
            }
            next = self.queue.range((Bound::Excluded(key), Bound::Unbounded)).next().copied();
        }
    }
}
