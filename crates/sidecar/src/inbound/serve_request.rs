//! Serves one request: reads it, submits it to the engine and waits for the response, streaming a body that is too
//! large to be buffered.

use super::client::{Client, RequestError};
use super::pace::transfer_time;
use super::read_request::{ApiRequest, ReadRequest};
use super::reply::Reply;
use super::shared::InboundContext;
use super::streaming_body::StreamingBody;
use crate::body::{BodyStream, MAX_BODY_BYTES};
use crate::connection_limiter::WaitState;
use crate::engine::PendingResponse;
use crate::engine_input::Answer;
use crate::metrics::RequestOutcome;
use crate::outgoing_request::OutgoingRequest;
use crate::request::end_to_end;
use crate::request_ids::OpenIdError;
use crate::request_lifecycle::RequestLifecycle;
use crate::service_state::{ServiceState, aborting};
use hyper::StatusCode;
use lotusmoor_balancer::{Micros, NewRequest};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time allowed for the balancer to reject a request that arrived after its deadline.
const LATE_REQUEST_REJECTION_TIMEOUT: Duration = Duration::from_millis(10);
/// Time allowed for the balancer to end a request at its deadline: it knows whether a repeat is safe.
const BALANCER_DECISION_TIME: Duration = Duration::from_millis(5);

/// The response to a request, and whether its client's connection stays open.
pub(super) struct ServedRequest {
    /// Whether the connection may carry a further request.
    pub(super) keep_alive: bool,
    /// The response.
    pub(super) reply: Reply,
}

/// A request that was submitted to the engine.
struct Submitted {
    response: PendingResponse,
    lifecycle: Rc<RequestLifecycle>,
    /// The rest of the body, until it has been received.
    streaming: Option<StreamingBody>,
    time_left: Micros,
    deadline: Micros,
}

impl Client {
    /// Reads one request, whose head has to be complete by `until`, and waits for its response.
    pub(super) async fn serve_request(
        &mut self,
        until: Instant,
        context: &InboundContext,
    ) -> Result<ServedRequest, RequestError> {
        self.waits_for_memory = false;
        let evictable = self.permit.evictable(WaitState::ReadingRequest);
        let request = tokio::select! {
            biased;
            () = aborting(&context.service) => return Err(RequestError::ShutDown),
            request = self.read_request(until, context) => request?,
            () = evictable.evicted() => return Err(self.eviction_error()),
        };
        drop(evictable);
        match request {
            ReadRequest::HealthCheck { keep_alive } => {
                let serving = *context.service.borrow() == ServiceState::Serving;
                let status = if serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                Ok(ServedRequest { keep_alive, reply: Reply::without_body(status) })
            }
            ReadRequest::Api(request) => self.serve_api(*request, context).await,
        }
    }

    /// How a request fails that makes room for another before it is read.
    fn eviction_error(&self) -> RequestError {
        match self.waits_for_memory {
            true => RequestError::NoMemory,
            false => RequestError::Rejected(StatusCode::REQUEST_TIMEOUT),
        }
    }

    async fn serve_api(
        &mut self,
        request: ApiRequest,
        context: &InboundContext,
    ) -> Result<ServedRequest, RequestError> {
        // Clients send one request at a time. Bytes that follow a request before its response were not sent by a
        // conforming client, or belong to a body that is longer than announced.
        if request.decoder.ended() && !self.unparsed.is_empty() {
            return Err(RequestError::Rejected(StatusCode::BAD_REQUEST));
        }
        // The id stays open until the response is written, as an endpoint can't distinguish two requests with the same
        // id.
        let id = context.ids.open(&request.metadata.id, Instant::now());
        let id = id.map_err(|e| match e {
            OpenIdError::Known => RequestError::Rejected(StatusCode::CONFLICT),
            OpenIdError::Full => RequestError::NoMemory,
        })?;
        let (keep_alive, is_http_1_0) = (request.head.keep_alive, request.head.is_http_1_0);
        let mut submitted = self.submit(request, context);
        let answer = self.await_answer(&mut submitted, context).await;
        id.set_may_have_run(submitted.lifecycle.any_send_began());
        self.body_unfinished = submitted.streaming.is_some();
        let mut reply = Reply::of(answer?, id);
        // Without chunked encoding, the end of the connection marks the end of the body.
        reply.chunked = reply.body.length.is_none() && !is_http_1_0;
        let delimited = reply.chunked || reply.body.length.is_some();
        Ok(ServedRequest { keep_alive: keep_alive && delimited, reply })
    }

    /// The deadline of a request whose last byte was just read.
    fn deadline(&self, time_left: Micros, context: &InboundContext) -> Micros {
        context.engine.time_of(self.arrival.earliest()).saturating_add(time_left)
    }

    /// Submits a request to the engine.
    fn submit(&mut self, request: ApiRequest, context: &InboundContext) -> Submitted {
        let ApiRequest { head, metadata, body, decoder, receive_rate, reservation } = request;
        let time_left = metadata.time_left;
        let earliest_deadline = self.deadline(time_left, context);
        let mut deadline = earliest_deadline;
        let (mut streaming, mut rest) = (None, None);
        if !decoder.ended() {
            // The client's time limit counts from the last byte of its request, which is still to be received.
            let length = decoder.length();
            let outstanding = length.unwrap_or(MAX_BODY_BYTES).saturating_sub(decoder.received());
            let transfer = Micros::try_from(transfer_time(outstanding).as_micros());
            deadline = deadline.saturating_add(transfer.unwrap_or(Micros::MAX));
            let (sender, stream) = BodyStream::new(length);
            streaming = Some(StreamingBody::new(decoder, receive_rate, sender, time_left));
            rest = Some(stream);
        }
        let lifecycle = RequestLifecycle::new(&metadata.id, Some(self.liveness.clone()), streaming.is_some());
        lifecycle.set_earliest_deadline(context.engine.instant(earliest_deadline));
        self.pending = Some(Rc::clone(&lifecycle));
        let outgoing = OutgoingRequest {
            method: head.method,
            uri: head.uri,
            headers: end_to_end(head.headers),
            body,
            rest,
            lifecycle: Rc::clone(&lifecycle),
            _reservation: Some(reservation),
        };
        let request = NewRequest {
            id: 0,
            class: metadata.class,
            tenant: metadata.tenant,
            partition_key: metadata.partition_key,
            deadline,
            expected_work: metadata.expected_work,
            is_client_retry: metadata.is_client_retry,
            body_incomplete: streaming.is_some(),
        };
        let response = context.engine.submit(request, outgoing);
        Submitted { response, lifecycle, streaming, time_left, deadline }
    }

    /// Waits for the response. The balancer normally ends a request in time; the deadline and the shutdown are enforced
    /// here as a safeguard. The request is abandoned when its pending response is dropped: at the deadline, at the
    /// shutdown, and when the client closes its connection or sends unexpected bytes.
    async fn await_answer(
        &mut self,
        submitted: &mut Submitted,
        context: &InboundContext,
    ) -> Result<Answer, RequestError> {
        // A request that arrived after its deadline is shed by the balancer, with a status that promises that it was
        // not processed.
        let decision_by = Instant::now() + LATE_REQUEST_REJECTION_TIMEOUT;
        loop {
            let deadline =
                context.engine.instant(submitted.deadline).max(decision_by) + BALANCER_DECISION_TIME;
            tokio::select! {
                biased;
                answer = submitted.response.answer() => return Ok(answer),
                received = self.receive_rest(&mut submitted.streaming, &submitted.lifecycle, context) => {
                    received?;
                    self.body_received(submitted, context)?;
                }
                () = sleep_until(deadline) => {
                    RequestOutcome::DeadlineExceeded.count();
                    return Ok(Answer::Failed);
                }
                () = aborting(&context.service) => {
                    RequestOutcome::ShutDown.count();
                    return Ok(Answer::Failed);
                }
            }
        }
    }

    /// Handles the end of a streamed body. Without a streamed body, bytes were received after a complete request, which
    /// are rejected.
    fn body_received(&self, submitted: &mut Submitted, context: &InboundContext) -> Result<(), RequestError> {
        let Some(streaming) = submitted.streaming.take() else {
            return Err(RequestError::Rejected(StatusCode::BAD_REQUEST));
        };
        streaming.finish();
        submitted.deadline = self.deadline(submitted.time_left, context);
        submitted.lifecycle.body_received(context.engine.instant(submitted.deadline));
        submitted.response.body_received(submitted.deadline);
        Ok(())
    }
}
