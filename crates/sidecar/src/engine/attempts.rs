//! The engine's requests and attempts: their start, their end, and the one final answer.

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
    /// Opens a request.
    pub(super) fn open(&mut self, submission: Submission) {
        let Submission { request, outgoing, reply } = submission;
        self.requests.insert(request.id, OpenRequest { reply, outgoing, attempts: 0 });
        self.deliver(Event::RequestReceived(request));
    }

    /// Starts an attempt.
    pub(super) fn send(&mut self, decision: SendDecision) {
        let SendDecision { request, endpoint, timeout, idempotency_window } = decision;
        // The balancer has no request that is not open here: both learn of every end in the same turn.
        let Some(open) = self.requests.get_mut(&request) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        // The permission is taken now: what changes before the first byte is written revokes it.
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
    pub(super) fn cancel(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.remove(&key) {
            attempt.task.abort();
            let end = self.end_of(key, &attempt, Outcome::Cancelled, LoadReport::default());
            self.events.push_back(end);
        }
    }

    /// Handles the end of an attempt. A cancelled one has ended already, whatever its task still reports.
    pub(super) fn attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult { request, attempt, outcome, answer, load } = result;
        let key = (request, attempt);
        let Some(in_flight) = self.attempts.remove(&key) else { return };
        if let Some(answer) = answer {
            self.answer(request, answer);
        }
        let end = self.end_of(key, &in_flight, outcome, load);
        self.deliver(end);
    }

    /// The event for the end of an attempt, which is counted here.
    fn end_of(
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
        // The answer may have been sent at the same time.
        if let Some(open) = self.requests.remove(&id) {
            open.outgoing.lifecycle.complete();
            self.deliver(Event::RequestAbandoned(id));
        }
    }

    /// Handles the receipt of the last byte of a request whose body was streamed.
    pub(super) fn body_received(&mut self, request: RequestId, deadline: Micros) {
        // Until now its endpoint has waited for the client.
        let now = self.clock.now();
        for (key, attempt) in &mut self.attempts {
            if key.0 == request {
                attempt.started = now;
            }
        }
        self.deliver(Event::BodyReceived { request, deadline });
    }

    /// Gives a request its final answer. This is the only place that does; a second answer finds no open request.
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
        // The client may have closed its connection just now.
        let _ = open.reply.send(answer);
    }
}
