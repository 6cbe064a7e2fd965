//! What goes between the sockets and the engine: requests, attempts' ends, answers, lists.

use crate::body::{Inbound, Outbound, Rest};
use crate::endpoint_list::ListMessage;
use crate::memory_budget::MemoryReservation;
use crate::request_lifecycle::RequestLifecycle;
use crate::write_progress::WriteProgress;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use lotusmoor_balancer::{AttemptNumber, LoadReport, Micros, NewRequest, Outcome, RequestId};
use std::collections::BTreeSet;
use std::error::Error;
use std::rc::Rc;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::Instant;

/// Header of a request to endpoints: how long the answer is waited for.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// What is sent to an endpoint, the same at each attempt but for the time left.
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// The body, or the first of one that flows.
    pub body: Bytes,
    /// The rest of that.
    pub rest: Option<Rest>,
    /// Where the request is on its way to its answer.
    pub lifecycle: Rc<RequestLifecycle>,
    /// The memory that the body takes.
    pub _share: Option<MemoryReservation>,
}

/// An endpoint's 200 answer.
pub struct Served {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Inbound,
    /// The memory that the body takes.
    pub share: MemoryReservation,
}

impl Outgoing {
    /// Some of a streamed body was sent already, and can't be sent again.
    pub fn body_consumed(&self) -> bool {
        self.rest.as_ref().is_some_and(Rest::spent)
    }

    /// The request as it goes out now; it must be answered by then.
    pub fn request(&self, until: Instant, progress: &WriteProgress) -> Option<Request<Outbound>> {
        let mut request = Request::new(Outbound::new(self.body.clone(), self.rest.clone(), progress.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = self.lifecycle.advertised_wait(until);
        progress.advertise_wait(left);
        let left = left.as_micros();
        request.headers_mut().insert(TIME_LEFT, HeaderValue::from_str(&format!("{left}u")).ok()?);
        Some(request)
    }
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

/// What the sockets report to the engine.
pub enum Input {
    /// A client's request, what is sent to endpoints, and where its answer goes.
    Request(NewRequest, Rc<Outgoing>, oneshot::Sender<Answer>),
    /// The client of a request has closed its connection, or the deadline has passed without an answer.
    Abandoned(RequestId),
    /// The last byte of a request with a streamed body was received; its deadline.
    BodyReceived(RequestId, Micros),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A health check of an endpoint ended, after that time.
    HealthCheckEnded(usize, Outcome, Micros, LoadReport),
    /// Discovery answered.
    ListReceived(ListMessage),
    /// A poll of discovery failed.
    ListFailed(Box<dyn Error>),
    /// Operators cordon these endpoints, and no others; notified once that is in effect.
    SetCordoned(BTreeSet<String>, oneshot::Sender<()>),
    /// Whether an endpoint of that name is listed.
    IsKnown(String, oneshot::Sender<bool>),
    /// A datagram from a peer.
    Datagram(u32, Vec<u8>, OwnedSemaphorePermit),
}

/// The one final answer to a request.
pub enum Answer {
    /// An endpoint's answer.
    Served(Served),
    /// Trying again is harmless, best after that time.
    Shed(Micros),
    /// An endpoint says that the request itself is at fault.
    ClientError(StatusCode),
    /// Nothing is promised.
    Failed,
}

/// Where inputs go. The channel has no bound of its own: bounded are the connections, attempts, calls and
/// datagrams whose news it carries, and a client's leaving must never be lost.
#[derive(Clone)]
pub struct Inputs(mpsc::UnboundedSender<Input>);

impl Inputs {
    /// Where they go, and where they come out.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, inputs) = mpsc::unbounded_channel();
        (Self(sender), inputs)
    }

    /// Hands over an input.
    pub fn send(&self, input: Input) {
        // The engine ends only with the process.
        let _ = self.0.send(input);
    }
}
