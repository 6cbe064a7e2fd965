//! Attempts of requests and health checks, from the decision to send to their end.

use super::Upstream;
use super::attempt_target::AttemptTarget;
use super::endpoint::Endpoint;
use super::exchange_result::{ExchangeResult, ExchangeTarget, ResponseStream};
use super::timing::{MAX_REST, MIN_REST};
use crate::body::{BodyStream, MAX_BODY_BYTES};
use crate::engine_input::{AttemptResult, HealthCheckResult, Input, InputSender};
use crate::metrics::StreamedResponseEnd;
use crate::outgoing_request::OutgoingRequest;
use crate::request_lifecycle::RequestLifecycle;
use crate::send_gate::{GatedSend, SendGuard, SendPermit};
use crate::write_progress::WriteProgress;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use lotusmoor_balancer::{AttemptNumber, LoadReport, Micros, Outcome, RequestId};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time limit for a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl Upstream {
    /// Makes an attempt, and reports how it ended.
    pub async fn attempt(
        self: Rc<Self>,
        (request, attempt): (RequestId, AttemptNumber),
        attempt_target: AttemptTarget,
        outgoing: Rc<OutgoingRequest>,
        inputs: InputSender,
    ) {
        let AttemptTarget { endpoint, permission, until, write_by } = attempt_target;
        let length = outgoing.rest.as_ref().map_or(Some(outgoing.body.len()), BodyStream::length);
        let streams_body = outgoing.rest.is_some();
        let send = GatedSend::new(SendPermit {
            lifecycle: Rc::clone(&outgoing.lifecycle),
            endpoint_permits: endpoint.permission_check(permission),
            // The time of a streamed body depends on its client, so the send has no deadline of its own here.
            attempt_deadline: (!streams_body).then_some(until),
            write_by,
        });
        // Ends the send when dropped, also when this attempt is cancelled.
        let _guard = SendGuard(Rc::clone(&send));
        let progress = WriteProgress::for_gated_send(length, send);
        let target = ExchangeTarget { endpoint: &endpoint, permission, until };
        let exchange = self.exchange(target, &outgoing, &progress);
        let result = match &outgoing.rest {
            Some(rest) => exchange_of_stream(exchange, rest, &outgoing.lifecycle).await,
            None => timeout_at(until, exchange).await.map_err(|_| AttemptEnd::TimedOut),
        };
        let result = result.unwrap_or_else(|end| ExchangeResult::without_answer(end.outcome(&progress)));
        let ExchangeResult { outcome, answer, load, stream } = result;
        inputs.send(Input::AttemptEnded(AttemptResult { request, attempt, outcome, answer, load }));
        if let Some(stream) = stream {
            let lifecycle = Rc::clone(&outgoing.lifecycle);
            let received = stream.received;
            lifecycle.trace(format_args!("response forwarded from its first {received} bytes on"));
            let end = self.stream_response(&endpoint, *stream).await;
            end.count();
            lifecycle.trace(format_args!("streamed response ended: {}", end.name()));
        }
    }

    /// Forwards the rest of a response as fast as its client reads it; returns how that ended. If it is interrupted, the
    /// client does not get the end of the body.
    async fn stream_response(&self, endpoint: &Endpoint, stream: ResponseStream) -> StreamedResponseEnd {
        let ResponseStream { mut pooled, permission, mut body, mut received, client } = stream;
        loop {
            let frame = tokio::select! {
                biased;
                frame = pooled.connection.drive(body.frame()) => frame,
                () = client.closed() => return StreamedResponseEnd::ClientGone,
                () = self.rest_is_over() => return StreamedResponseEnd::EndpointStalled,
            };
            let piece = match frame {
                Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Some(None) => break,
                _ => return StreamedResponseEnd::EndpointFailed,
            };
            received += piece.len();
            if received > MAX_BODY_BYTES {
                return StreamedResponseEnd::TooLong;
            }
            // Trailers are not forwarded.
            if !piece.is_empty() && client.send(piece).await.is_err() {
                return StreamedResponseEnd::ClientGone;
            }
        }
        if client.send(Bytes::new()).await.is_err() {
            return StreamedResponseEnd::ClientGone;
        }
        self.return_to_pool(endpoint, permission, pooled).await;
        StreamedResponseEnd::Complete
    }

    /// Waits until an endpoint that sends nothing of a streamed response from now on is given up.
    async fn rest_is_over(&self) {
        sleep(MIN_REST).await;
        // The time is over, or others wait for memory.
        let _ = timeout(MAX_REST - MIN_REST, self.memory.contended()).await;
    }

    /// Checks an endpoint's health, and reports the outcome.
    pub async fn health_check(self: Rc<Self>, id: usize, inputs: InputSender) {
        let (start, endpoint) = (Instant::now(), self.endpoint(id));
        let outgoing = health_check_request();
        let (until, permission) = (start + HEALTH_CHECK_TIMEOUT, endpoint.permission());
        let send = GatedSend::new(SendPermit {
            lifecycle: Rc::clone(&outgoing.lifecycle),
            endpoint_permits: endpoint.permission_check(permission),
            attempt_deadline: Some(until),
            write_by: None,
        });
        let _guard = SendGuard(Rc::clone(&send));
        let progress = WriteProgress::for_gated_send(Some(0), send);
        let target = ExchangeTarget { endpoint: &endpoint, permission, until };
        let exchange = self.exchange(target, &outgoing, &progress);
        let (outcome, load) = match timeout_at(until, exchange).await {
            Ok(result) => (result.outcome, result.load),
            Err(_) => (Outcome::TimedOut, LoadReport::default()),
        };
        let duration = Micros::try_from(start.elapsed().as_micros()).unwrap_or(Micros::MAX);
        let result = HealthCheckResult { endpoint: id, outcome, duration, load };
        inputs.send(Input::HealthCheckEnded(result));
    }
}

/// Why an attempt ended before its exchange did.
enum AttemptEnd {
    /// Its time was over.
    TimedOut,
    /// The client's side gave up the body before its end.
    BodyAbandoned,
}

impl AttemptEnd {
    fn outcome(self, progress: &WriteProgress) -> Outcome {
        match self {
            // An endpoint runs a request only after its last byte, so one that was not completely written has not run,
            // even if this side timed out.
            Self::TimedOut if !progress.is_complete() => Outcome::ConnectFailed,
            Self::TimedOut => Outcome::TimedOut,
            // The endpoint is not at fault.
            Self::BodyAbandoned => Outcome::NotSent,
        }
    }
}

/// Runs the exchange of a request with a streamed body, until the body is given up, or it is complete and its client's
/// time is over. An endpoint that reads nothing would hold it for longer.
async fn exchange_of_stream(
    exchange: impl Future<Output = ExchangeResult>,
    body: &BodyStream,
    lifecycle: &RequestLifecycle,
) -> Result<ExchangeResult, AttemptEnd> {
    tokio::select! {
        biased;
        result = exchange => Ok(result),
        () = body.abandoned() => Err(AttemptEnd::BodyAbandoned),
        () = lifecycle.client_time_over() => Err(AttemptEnd::TimedOut),
    }
}

fn health_check_request() -> OutgoingRequest {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("endpoint"));
    OutgoingRequest {
        method: Method::GET,
        uri: Uri::from_static("/alive"),
        headers,
        body: Bytes::new(),
        rest: None,
        lifecycle: RequestLifecycle::new(b"probe", None, false),
        _reservation: None,
    }
}
