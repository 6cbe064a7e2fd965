//! The inputs that socket tasks send to the engine, and the answers that it returns.

use crate::body::ResponseBody;
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

/// The single final answer to a request, as the engine hands it to the client's connection.
pub enum Answer {
    /// An endpoint answered with status 200.
    Served(ServedAnswer),
    /// The request was shed and did not run. A retry is safe, best after this delay.
    Shed(Micros),
    /// An endpoint answered with this client error status.
    ClientError(StatusCode),
    /// The request failed; it may have run.
    Failed,
}

/// An endpoint's response with status 200.
pub struct ServedAnswer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
    /// The memory reserved for the body.
    pub reservation: MemoryReservation,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, counted per request.
    pub attempt: AttemptNumber,
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to the client, if the endpoint gave one.
    pub answer: Option<Answer>,
    /// The load report in the endpoint's response.
    pub load: LoadReport,
}

/// A client's request as submitted to the engine.
pub struct Submission {
    /// The request.
    pub request: NewRequest,
    /// The request as sent to endpoints.
    pub outgoing: Rc<OutgoingRequest>,
    /// Receives the answer.
    pub reply: oneshot::Sender<Answer>,
}

/// How a health check ended.
pub struct HealthCheckResult {
    /// The id of the endpoint.
    pub endpoint: usize,
    /// The outcome.
    pub outcome: Outcome,
    /// How long it took.
    pub duration: Micros,
    /// The load report in the endpoint's response.
    pub load: LoadReport,
}

/// A datagram from a peer that waits to be handled.
pub struct QueuedDatagram {
    /// The datagram.
    pub datagram: Datagram,
    /// Its slot in the bounded queue, released on drop.
    pub _permit: OwnedSemaphorePermit,
}

/// An input to the engine.
pub enum Input {
    /// A client submits a request.
    Request(Submission),
    /// A request whose client has closed its connection, or whose deadline has passed without an answer.
    Abandoned(RequestId),
    /// The last byte of a request with a streamed body was received.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// Its deadline, which is counted from the last byte.
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
    /// Operators cordon exactly these endpoints.
    SetCordoned {
        /// The names of the endpoints.
        names: BTreeSet<String>,
        /// Notified once the change is in effect.
        done: oneshot::Sender<()>,
    },
    /// Operators ask whether an endpoint is known.
    IsKnown {
        /// Its name.
        name: String,
        /// Receives the answer.
        answer: oneshot::Sender<bool>,
    },
    /// A datagram from a peer.
    Datagram(QueuedDatagram),
}

/// Sends inputs to the engine. The channel is unbounded, as the report that a client has closed its connection must
/// never be lost. Its length is bounded by the limits on the senders: connections, attempts, polls and datagrams.
#[derive(Clone)]
pub struct InputSender(mpsc::UnboundedSender<Input>);

impl InputSender {
    /// Creates the channel for inputs.
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
