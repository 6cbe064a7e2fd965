//! Requests without a final answer, and their attempts in flight.

use crate::engine_input::Answer;
use crate::outgoing_request::OutgoingRequest;
use lotusmoor_balancer::{AttemptNumber, Micros, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Identifies an attempt.
pub(super) type AttemptKey = (RequestId, AttemptNumber);

/// A request without its final answer.
pub(super) struct OpenRequest {
    pub(super) reply: oneshot::Sender<Answer>,
    pub(super) outgoing: Rc<OutgoingRequest>,
    pub(super) attempts: AttemptNumber,
}

/// An attempt whose end the balancer has not been notified of.
pub(super) struct InFlightAttempt {
    pub(super) endpoint: usize,
    pub(super) started: Micros,
    pub(super) task: AbortHandle,
}

/// A send as the balancer has decided it.
pub(super) struct SendDecision {
    pub(super) request: RequestId,
    pub(super) endpoint: usize,
    pub(super) timeout: Micros,
    /// The endpoint remembers the request's idempotency key for this long from now.
    pub(super) idempotency_window: Option<Micros>,
}
