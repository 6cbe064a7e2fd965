//! A request as it is sent to endpoints.

use crate::body::{BodyStream, RequestBody};
use crate::memory_budget::MemoryReservation;
use crate::request_lifecycle::RequestLifecycle;
use crate::write_progress::WriteProgress;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use tokio::time::Instant;

/// Header of requests, from clients and to endpoints: for how long the sender waits for the response.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// A request as it is sent to endpoints, the same in each attempt except for the time left.
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body, or the buffered start of a streamed one.
    pub body: Bytes,
    /// The rest of a streamed body.
    pub rest: Option<BodyStream>,
    /// What decides whether an attempt may begin: whether the request is open, its deadline, and attempts in flight.
    pub lifecycle: Rc<RequestLifecycle>,
    /// The memory reserved for the body.
    pub _reservation: Option<MemoryReservation>,
}

impl OutgoingRequest {
    /// Whether some of a streamed body was sent already, so that the request can't be sent again.
    pub fn body_consumed(&self) -> bool {
        self.rest.as_ref().is_some_and(BodyStream::is_consumed)
    }

    /// The request to send now, whose response has to arrive by `until`; `None` if its body can't be sent again.
    pub fn to_http_request(&self, until: Instant, progress: &WriteProgress) -> Option<Request<RequestBody>> {
        let body = RequestBody::new(self.body.clone(), self.rest.clone(), progress.clone()).ok()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let wait = self.lifecycle.advertised_wait(until);
        progress.advertise_wait(wait);
        let value = HeaderValue::from_str(&format!("{}u", wait.as_micros())).ok()?;
        request.headers_mut().insert(TIME_LEFT, value);
        Some(request)
    }
}
