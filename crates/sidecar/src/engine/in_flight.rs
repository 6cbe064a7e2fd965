//! Requests without a final answer, and their attempts in flight.

use crate::engine_input::Answer;
use crate::outgoing_request::OutgoingRequest;
use lotusmoor_balancer::{AttemptNumber, Micros, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Identifies an attempt.
pub(super) type AttemptKey = (RequestId, AttemptNumber);

/// A request that has no final answer yet.
pub(super) struct OpenRequest {
    pub(super) reply: oneshot::Sender<Answer>,
    pub(super) outgoing: Rc<OutgoingRequest>,
    /// Number of attempts started so far.
    pub(super) attempts: AttemptNumber,
}

/// An attempt whose end has not been reported to the balancer yet.
pub(super) struct InFlightAttempt {
    pub(super) endpoint: usize,
    pub(super) started: Micros,
    pub(super) task: AbortHandle,
}

/// The balancer's decision to send a request to an endpoint.
pub(super) struct SendDecision {
    pub(super) request: RequestId,
    pub(super) endpoint: usize,
    pub(super) timeout: Micros,
    /// How long from now the endpoint remembers the request's idempotency key.
    pub(super) idempotency_window: Option<Micros>,
}
