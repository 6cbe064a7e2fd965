//! Input events of the balancer.

use crate::ids::{AttemptNumber, ClassId, EndpointId, MachineTypeId, Micros, RequestId, TenantId, ZoneId};

/// Status of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Accepts requests.
    Ready,
    /// Completes its requests in flight and gets no new attempts.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell: endpoints of one cell share the idempotency keys that they have seen.
    pub cell: u64,
    /// Its machine type: the latency of one endpoint is the estimate for others of its type.
    pub machine_type: Option<MachineTypeId>,
    /// Its status.
    pub status: EndpointStatus,
    /// Its size; see [`WeightSource`](crate::WeightSource).
    pub size: f64,
    /// When its process started, or `None` if that is long ago.
    pub started_at: Option<Micros>,
}

/// Content of an endpoint list event.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// Entries that changed.
    Delta(Vec<EndpointEntry>),
    /// The complete list; endpoints that are missing are removed.
    Full(Vec<EndpointEntry>),
    /// The complete list as cached before a restart, possibly out of date.
    Cached(Vec<EndpointEntry>),
    /// A call to discovery failed or the subscription broke; the current list stays in use.
    Failed,
}

/// A new request.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Its partition key, if any.
    pub partition_key: Option<u64>,
    /// When the client gives up on this request.
    pub deadline: Micros,
    /// Expected work, where known: the processing time on one standard core, the unit of endpoint sizes.
    pub expected_work: Option<Micros>,
    /// The client marked it as a retry.
    pub is_client_retry: bool,
    /// Its body is still being received; no endpoint begins to execute it before it is complete.
    pub body_incomplete: bool,
}

/// How an attempt or health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered successfully.
    Ok,
    /// The endpoint answered with an error; it may have been executed.
    Error,
    /// Rejected by the endpoint before execution.
    Rejected,
    /// No answer within its time-out; it may have been executed.
    TimedOut,
    /// No connection in time; it was never executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// A reused connection broke before any byte of the answer. It may have been executed. The connection may
    /// have been dead for long, so this says nothing about the endpoint's health.
    ReusedConnectionReset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// The endpoint answered that the request is invalid. The answer goes to the client, and says nothing
    /// about the endpoint's health.
    BadRequest,
    /// Never sent: the request had completed, its deadline had passed, its attempts were used up, or the
    /// sidecar had no capacity for a connection.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was never executed.
    pub fn was_never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// A load report of an endpoint; absent values were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress.
    pub active: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// CPU utilization.
    pub cpu: Option<f64>,
    /// Recent service time in milliseconds.
    pub avg_ms: Option<f64>,
    /// Requests served a second.
    pub rps: Option<f64>,
    /// Errors a second.
    pub err_rps: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub duration: Micros,
    /// The request already has its final answer.
    pub request_completed: bool,
    /// The request can't be sent again: its body was forwarded while it was being received.
    pub body_consumed: bool,
    /// Load report of the endpoint, piggybacked on the answer.
    pub load_report: LoadReport,
}

/// An event that the caller passes to the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed.
    EndpointList(EndpointListUpdate),
    /// The endpoint was removed and has nothing in flight; its id may be reused for another from now on.
    EndpointReleased(EndpointId),
    /// Operators cordoned the endpoint: it counts as draining, whatever the list says.
    Cordoned(EndpointId),
    /// Operators uncordoned the endpoint: it gets attempts again, in slow start, if it is listed as ready.
    Uncordoned(EndpointId),
    /// A client's request; it gets exactly one final answer.
    RequestReceived(NewRequest),
    /// The answer to an attempt has begun to stream to the client; the request can't be retried any more.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// The body of a request that was forwarded while being received is complete: its latency counts from
    /// now.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// When the client gives up on this request.
        deadline: Micros,
    },
    /// An attempt ended; one for each [`Action::Send`](crate::Action::Send).
    AttemptEnded(AttemptEnd),
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the health check was sent.
        duration: Micros,
        /// Load report of the endpoint.
        load_report: LoadReport,
    },
    /// The client disconnected, or its answer is overdue: no final answer is needed any more.
    RequestAbandoned(RequestId),
    /// A message from another instance.
    PeerMessage {
        /// The sender's index.
        from: u32,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// A timer set with [`Action::SetTimer`](crate::Action::SetTimer) fired.
    Timer(u64),
}
