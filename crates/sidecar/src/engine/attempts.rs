//! The engine's requests and attempts: how they start and end, and the single final answer to each request.

use super::Engine;
use super::clock::to_duration;
use super::in_flight::{AttemptKey, InFlightAttempt, OpenRequest, SendDecision};
use crate::engine_input::{Answer, AttemptResult, Submission};
use crate::metrics::{AttemptOutcome, RequestOutcome};
use crate::upstream::AttemptTarget;
use lotusmoor_balancer::{AttemptEnd, Event, LoadReport, Micros, Outcome, RequestId};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl Engine {
    /// Opens a request and notifies the balancer.
    pub(super) fn open_request(&mut self, submission: Submission) {
        let Submission { request, outgoing, reply } = submission;
        self.requests.insert(request.id, OpenRequest { reply, outgoing, attempts: 0 });
        self.deliver(Event::RequestReceived(request));
    }

    /// Starts an attempt.
    pub(super) fn start_attempt(&mut self, decision: SendDecision) {
        let SendDecision { request, endpoint, timeout, idempotency_window } = decision;
        // Always open: engine and balancer drop a request while handling the same input, so the balancer sends only
        // requests that are open here.
        let Some(open) = self.requests.get_mut(&request) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        // Records the endpoint's present state. A change before the first byte is written revokes the permission.
        let (now, to) = (Instant::now(), self.upstream.endpoint(endpoint));
        let target = AttemptTarget {
            permission: to.permission(),
            endpoint: to,
            until: now + to_duration(timeout),
            write_by: idempotency_window.map(|window| now + to_duration(window)),
        };
        let attempting = Rc::clone(&self.upstream).attempt(
            (request, attempt),
            target,
            Rc::clone(&open.outgoing),
            self.sender.clone(),
        );
        let task = spawn_local(attempting).abort_handle();
        let started = self.clock.now();
        self.attempts.insert((request, attempt), InFlightAttempt { endpoint, started, task });
    }

    /// Cancels an attempt that is in flight.
    pub(super) fn cancel_attempt(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.remove(&key) {
            attempt.task.abort();
            let end = self.record_end(key, &attempt, Outcome::Cancelled, LoadReport::default());
            self.events.push_back(end);
        }
    }

    /// Handles the end of an attempt. Late results of cancelled attempts are ignored.
    pub(super) fn attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult { request, attempt, outcome, answer, load } = result;
        let key = (request, attempt);
        let Some(in_flight) = self.attempts.remove(&key) else { return };
        if let Some(answer) = answer {
            self.answer(request, answer);
        }
        let end = self.record_end(key, &in_flight, outcome, load);
        self.deliver(end);
    }

    /// Counts and traces the end of an attempt; returns the event for the balancer.
    fn record_end(
        &self,
        (request, attempt): AttemptKey,
        in_flight: &InFlightAttempt,
        outcome: Outcome,
        load_report: LoadReport,
    ) -> Event {
        let counted = AttemptOutcome::from(outcome);
        counted.count();
        let open = self.requests.get(&request);
        if let Some(open) = open {
            let (outcome, endpoint) = (counted.name(), self.endpoints.name(in_flight.endpoint));
            open.outgoing.lifecycle.trace(format_args!("attempt {attempt} at {endpoint}: {outcome}"));
        }
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint: in_flight.endpoint,
            outcome,
            duration: self.clock.now() - in_flight.started,
            request_completed: open.is_none(),
            body_consumed: open.is_some_and(|open| open.outgoing.body_consumed()),
            load_report,
        })
    }

    /// Handles a request whose client has closed its connection, or whose deadline has passed.
    pub(super) fn abandon(&mut self, id: RequestId) {
        // The request may have been answered in the meantime.
        if let Some(open) = self.requests.remove(&id) {
            open.outgoing.lifecycle.complete();
            self.deliver(Event::RequestAbandoned(id));
        }
    }

    /// Handles the receipt of the last byte of a request whose body was streamed.
    pub(super) fn body_received(&mut self, request: RequestId, deadline: Micros) {
        // Attempts are timed from here: before, the endpoint was waiting for the client's body.
        let now = self.clock.now();
        for (key, attempt) in &mut self.attempts {
            if key.0 == request {
                attempt.started = now;
            }
        }
        self.deliver(Event::BodyReceived { request, deadline });
    }

    /// Gives a request its final answer. This is the only place that does; a second answer finds no open request and is
    /// ignored.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.requests.remove(&id) else { return };
        let lifecycle = &open.outgoing.lifecycle;
        lifecycle.complete();
        let outcome = match &answer {
            Answer::Served(_) => RequestOutcome::Served,
            Answer::Shed(_) => RequestOutcome::Shed,
            Answer::ClientError(_) => RequestOutcome::ClientError,
            Answer::Failed => RequestOutcome::Failed,
        };
        outcome.count();
        lifecycle.trace(format_args!("{} after {} attempts", outcome.name(), open.attempts));
        // The receiver is gone if the client has closed its connection in the meantime.
        let _ = open.reply.send(answer);
    }
}
