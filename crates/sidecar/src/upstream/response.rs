//! Receives the response of an endpoint: buffers a short one completely, and streams a longer one.

use super::Upstream;
use super::endpoint::{Endpoint, SendPermission};
use super::exchange_result::{ExchangeResult, ResponseStream};
use super::load_report::parse_load_report;
use super::pooled_connection::PooledConnection;
use super::timing::{FORWARDING_MARGIN, MIN_BUFFERING_TIME};
use crate::body::{BodyBuffer, MAX_BODY_BYTES, MAX_BUFFERED_BYTES, ResponseBody, STREAMED_PIECES_BYTES};
use crate::connection::Connection;
use crate::engine_input::{Answer, ServedAnswer};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use lotusmoor_balancer::{LoadReport, Outcome};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// Memory of a header besides its name and value.
const HEADER_BYTES: usize = 128;

/// The start of a response body.
enum Buffered {
    /// The body is complete.
    Complete(Bytes),
    /// The body goes on, and is streamed.
    Partial(Bytes),
    /// The connection was lost, or the body is invalid.
    Failed,
}

impl Upstream {
    /// Receives a response whose head has arrived; its request was sent at `sent`, and the wait for it ends at `until`.
    pub(super) async fn receive(
        &self,
        endpoint: &Endpoint,
        permission: SendPermission,
        mut pooled: PooledConnection,
        response: Response<Incoming>,
        (sent, until): (Instant, Instant),
    ) -> ExchangeResult {
        let (head, mut body) = response.into_parts();
        let load = head.headers.get(BACKEND_LOAD).map(parse_load_report).unwrap_or_default();
        let size = body.size_hint();
        let framed = is_framed(&head.headers, size.exact());
        // The request has run, but the response can't be used. Bytes that follow it could not be distinguished from it,
        // so the connection is closed. A body that is too long is not read to its end, which may never come.
        if !framed || head.status.is_informational() || size.lower() > MAX_BODY_BYTES as u64 {
            return without_answer(Outcome::Error, load);
        }
        let length = size.exact().map(|length| length as usize);
        // Only the headers of a response that is forwarded are kept.
        let head_bytes = if head.status == StatusCode::OK { headers_bytes(&head.headers) } else { 0 };
        let mut reservation = self.memory.reserve(head_bytes + body_bytes(length)).await;
        let buffering = Buffering::of(length, sent, until);
        let first = match buffer_start(&mut pooled.connection, &mut body, buffering).await {
            Buffered::Failed => return without_answer(pooled.connection.failure(), load),
            Buffered::Partial(_) if head.status != StatusCode::OK => {
                return without_answer(Outcome::Error, load);
            }
            Buffered::Partial(first) => {
                let (client, rest) = mpsc::channel(1);
                let received = first.len();
                let response_body = ResponseBody { first, rest: Some(rest), length };
                let served = ServedAnswer { headers: head.headers, body: response_body, reservation };
                let stream = ResponseStream { pooled, permission, body, received, client };
                return ExchangeResult {
                    outcome: Outcome::Ok,
                    answer: Some(Answer::Served(served)),
                    load,
                    stream: Some(Box::new(stream)),
                };
            }
            Buffered::Complete(body) => body,
        };
        self.memory.shrink(&mut reservation, head_bytes + first.len());
        self.return_to_pool(endpoint, permission, pooled).await;
        if head.status == StatusCode::OK {
            let body = ResponseBody::buffered(first);
            let served = ServedAnswer { headers: head.headers, body, reservation };
            let answer = Some(Answer::Served(served));
            return ExchangeResult { outcome: Outcome::Ok, answer, load, stream: None };
        }
        unsuccessful(head.status, &head.headers, load)
    }
}

fn without_answer(outcome: Outcome, load: LoadReport) -> ExchangeResult {
    ExchangeResult { outcome, answer: None, load, stream: None }
}

/// The result of a complete response with a status other than 200.
fn unsuccessful(status: StatusCode, headers: &HeaderMap, load: LoadReport) -> ExchangeResult {
    // Any endpoint would reject the request in the same way, so the status is forwarded.
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        let answer = Some(Answer::ClientError(status));
        return ExchangeResult { outcome: Outcome::BadRequest, answer, load, stream: None };
    }
    // Honoured only on a complete response: if the response is corrupt, the request has run.
    let unprocessed = headers.get(UNPROCESSED).is_some_and(|value| value == "1");
    let rejects = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    without_answer(if unprocessed && rejects { Outcome::Rejected } else { Outcome::Error }, load)
}

/// Memory for the headers of a response.
fn headers_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| HEADER_BYTES + name.as_str().len() + value.len()).sum()
}

/// Memory for the body of a response, whose length may be known.
fn body_bytes(length: Option<usize>) -> usize {
    match length {
        Some(length) if length <= MAX_BUFFERED_BYTES => length,
        Some(_) => STREAMED_PIECES_BYTES,
        None => MAX_BUFFERED_BYTES + STREAMED_PIECES_BYTES,
    }
}

/// Whether the end of a body can be found; `length` is its length, where that is known.
fn is_framed(headers: &HeaderMap, length: Option<u64>) -> bool {
    let chunked = last_value_is(headers, TRANSFER_ENCODING, "chunked");
    match (headers.contains_key(CONTENT_LENGTH), chunked) {
        (true, None) | (false, Some(true)) => true,
        // The body ends with the connection. Unless the close was announced, the body may have been truncated.
        (false, None) => last_value_is(headers, CONNECTION, "close") == Some(true) || length == Some(0),
        _ => false,
    }
}

/// Whether the last value of a header is that word; `None` without the header.
fn last_value_is(headers: &HeaderMap, name: HeaderName, word: &str) -> Option<bool> {
    let values = headers.get_all(name);
    let mut matches = values.iter().filter_map(|value| Some(value.to_str().ok()?.eq_ignore_ascii_case(word)));
    matches.next_back()
}

/// Until when the start of a body is buffered while it is incomplete.
#[derive(Clone, Copy)]
struct Buffering {
    /// What was received by then is forwarded. `None` for a body that is forwarded completely or not at all.
    until: Option<Instant>,
    /// Then it is forwarded even if nothing of the body was received yet, if it is certain to be long.
    nothing_until: Option<Instant>,
}

impl Buffering {
    /// A body that is known to be longer than the buffer is forwarded from its first byte. One of unknown length may be the
    /// start of a long one that arrives slowly: it is buffered for half as long as it took to begin, plus
    /// [`MIN_BUFFERING_TIME`]. Both are forwarded before the wait for the response ends: a response that has begun belongs to
    /// its client.
    fn of(length: Option<usize>, sent: Instant, until: Instant) -> Self {
        let now = Instant::now();
        let forward_by = until - FORWARDING_MARGIN.min(until.saturating_duration_since(now) / 2);
        match length {
            None => {
                let buffered = now + (now - sent) / 2 + MIN_BUFFERING_TIME;
                Self { until: Some(buffered.min(forward_by)), nothing_until: None }
            }
            Some(length) if length > MAX_BUFFERED_BYTES => {
                Self { until: Some(now), nothing_until: Some(forward_by) }
            }
            Some(_) => Self { until: None, nothing_until: None },
        }
    }
}

/// Buffers the start of a body until it is complete, too long, or to be forwarded.
async fn buffer_start(connection: &mut Connection, body: &mut Incoming, buffering: Buffering) -> Buffered {
    let length = body.size_hint().exact().filter(|length| *length <= MAX_BUFFERED_BYTES as u64);
    let mut buffer = BodyBuffer::with_capacity(length.unwrap_or(0) as usize);
    loop {
        let until = if buffer.is_empty() { buffering.nothing_until } else { buffering.until };
        let time_is_over = until.is_some_and(|until| Instant::now() >= until);
        if buffer.len() > MAX_BUFFERED_BYTES || time_is_over {
            return Buffered::Partial(buffer.into_bytes());
        }
        let frame = connection.drive(body.frame());
        let frame = match until {
            Some(until) => timeout_at(until, frame).await,
            None => Ok(frame.await),
        };
        let Ok(frame) = frame else { continue };
        match frame {
            Some(Some(Ok(frame))) => buffer.append(&frame.into_data().unwrap_or_default()),
            Some(None) => return Buffered::Complete(buffer.into_bytes()),
            _ => return Buffered::Failed,
        }
    }
}
