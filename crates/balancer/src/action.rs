//! What a balancer wants done.

use crate::ids::{AttemptNumber, EndpointId, Micros, RequestId};

/// What a balancer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out.
        timeout: Micros,
        /// A retry of what may have been executed must begin to be written within this time, however long its
        /// connection takes: endpoints deduplicate its idempotency key no longer than that.
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
    /// Call back in `after` with `token`.
    SetTimer {
        /// Time from now.
        after: Micros,
        /// Returned in [`Event::Timer`](crate::Event::Timer).
        token: u64,
    },
    /// Subscribe to list changes, or end that.
    Subscribe(bool),
    /// Poll discovery once for the complete list.
    FetchEndpointList,
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send a message of at most 256 bytes to a peer, or to all.
    SendPeerMessage {
        /// The peer's index; `None` is everyone.
        to: Option<u32>,
        /// The content.
        bytes: Vec<u8>,
    },
    /// A log line.
    Log(String),
}
