//! What the sockets report to the engine, and the answers that it returns.

use crate::body::AnswerBody;
use crate::endpoint_list::ListMessage;
use crate::gossip::Datagram;
use crate::memory_budget::MemoryReservation;
use crate::outgoing_request::OutgoingRequest;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use lotusmoor_balancer::{AttemptNumber, LoadReport, Micros, NewRequest, Outcome, RequestId};
use std::collections::BTreeSet;
use std::error::Error;
use std::rc::Rc;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};

/// The one final answer to a request.
pub enum Answer {
    /// An endpoint's answer.
    Served(ServedAnswer),
    /// The request was shed. A retry is harmless, best after that time.
    Shed(Micros),
    /// An endpoint blames the request itself, by this status.
    ClientError(StatusCode),
    /// The request failed; it may have run.
    Failed,
}

/// An endpoint's answer with status 200.
pub struct ServedAnswer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: AnswerBody,
    /// The memory that the body takes.
    pub reservation: MemoryReservation,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to the client, where the endpoint has given one.
    pub answer: Option<Answer>,
    /// The load report that came along.
    pub load: LoadReport,
}

/// A client's request, as it is submitted.
pub struct Submission {
    /// The request.
    pub request: NewRequest,
    /// What is sent to endpoints.
    pub outgoing: Rc<OutgoingRequest>,
    /// Where its answer goes.
    pub reply: oneshot::Sender<Answer>,
}

/// How a health check ended.
pub struct HealthCheckResult {
    /// The number of the endpoint.
    pub endpoint: usize,
    /// The outcome.
    pub outcome: Outcome,
    /// How long it took.
    pub duration: Micros,
    /// The load report that came along.
    pub load: LoadReport,
}

/// A datagram from a peer that waits to be handled.
pub struct QueuedDatagram {
    /// The datagram.
    pub datagram: Datagram,
    /// Its place in the queue.
    pub _permit: OwnedSemaphorePermit,
}

/// What the sockets report to the engine.
pub enum Input {
    /// A client submits a request.
    Request(Submission),
    /// The client of a request has closed its connection, or the deadline has passed without an answer.
    Abandoned(RequestId),
    /// The last byte of a request with a streamed body was received.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// Its deadline, which counts from then.
        deadline: Micros,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A health check ended.
    HealthCheckEnded(HealthCheckResult),
    /// Discovery answered.
    ListReceived(ListMessage),
    /// A poll of discovery failed.
    ListFailed(Box<dyn Error>),
    /// Operators cordon these endpoints, and no others.
    SetCordoned {
        /// Their names.
        names: BTreeSet<String>,
        /// Notified once that is in effect.
        done: oneshot::Sender<()>,
    },
    /// Operators ask whether an endpoint is listed.
    IsKnown {
        /// Its name.
        name: String,
        /// Where the answer goes.
        answer: oneshot::Sender<bool>,
    },
    /// A datagram from a peer.
    Datagram(QueuedDatagram),
}

/// Sends inputs to the engine. The channel is unbounded: the connections, attempts, polls and datagrams that send are
/// bounded themselves, and that a client has closed its connection must never be lost.
#[derive(Clone)]
pub struct Inputs(mpsc::UnboundedSender<Input>);

impl Inputs {
    /// A channel for inputs.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, inputs) = mpsc::unbounded_channel();
        (Self(sender), inputs)
    }

    /// Sends an input.
    pub fn send(&self, input: Input) {
        // The engine ends only with the process.
        let _ = self.0.send(input);
    }
}
