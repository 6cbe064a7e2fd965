//! Output actions of the balancer.

use crate::ids::{AttemptNumber, EndpointId, Micros, RequestId};

/// An action that the balancer asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its time-out.
        timeout: Micros,
        /// Time within which a retry with an idempotency key must begin to be written, however long it takes
        /// to connect: endpoints deduplicate the key no longer than that. `None` if there is no such limit.
        idempotency_window: Option<Micros>,
    },
    /// Final answer: rejected, and the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// `Retry-After` for the client; 0 sends none.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have been executed.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Set a timer.
    SetTimer {
        /// Time from now.
        after: Micros,
        /// Returned in [`Event::Timer`](crate::Event::Timer).
        token: u64,
    },
    /// Subscribe to changes of the endpoint list (true), or unsubscribe (false).
    Subscribe(bool),
    /// Poll discovery once for the complete endpoint list.
    FetchEndpointList,
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send a message of at most 256 bytes to a peer, or to all.
    SendPeerMessage {
        /// The peer's index, or `None` for all peers.
        to: Option<u32>,
        /// The content.
        bytes: Vec<u8>,
    },
    /// A log line.
    Log(String),
}
