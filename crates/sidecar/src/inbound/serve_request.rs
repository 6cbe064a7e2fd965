//! Serves one request: reads it, submits it to the engine and waits for its answer, while a body that is too large to be
//! buffered is streamed.

use super::client::{Client, READ_BYTES, RequestError};
use super::pace::{Pace, transfer_time};
use super::read_ahead::ReadAhead;
use super::read_request::{ApiRequest, ReadRequest};
use super::reply::Reply;
use super::shared::InboundContext;
use crate::body::{BodyDecoder, BodySender, BodyStream, MAX_BODY_BYTES};
use crate::connection_limiter::{ConnectionPermit, WaitState};
use crate::engine::PendingResponse;
use crate::engine_input::Answer;
use crate::metrics::RequestOutcome;
use crate::outgoing_request::OutgoingRequest;
use crate::request::end_to_end;
use crate::request_lifecycle::RequestLifecycle;
use crate::service_state::ServiceState;
use bytes::Bytes;
use hyper::StatusCode;
use lotusmoor_balancer::{Micros, NewRequest};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Time in which the balancer decides on a request that has come after its deadline.
const LATE_DECISION_TIME: Duration = Duration::from_millis(10);

/// What a request ends with, as far as its client's connection is concerned.
pub(super) struct ServedRequest {
    /// The connection may carry a further request.
    pub(super) keep_alive: bool,
    /// The answer.
    pub(super) reply: Reply,
}

/// A request that was submitted to the engine.
struct Submitted {
    response: PendingResponse,
    lifecycle: Rc<RequestLifecycle>,
    /// The rest of the body, until it has come.
    streaming: Option<StreamingBody>,
    time_left: Micros,
    deadline: Micros,
}

/// The rest of a body that is passed on as it comes.
struct StreamingBody {
    decoder: BodyDecoder,
    pace: Pace,
    sender: BodySender,
    read_ahead: ReadAhead,
}

impl Client {
    /// Reads one request, whose head has to be complete by `until`, and gets its answer.
    pub(super) async fn serve_request(
        &mut self,
        permit: &ConnectionPermit,
        until: Instant,
        context: &InboundContext,
    ) -> Result<ServedRequest, RequestError> {
        let evictable = permit.evictable(WaitState::ReadingRequest);
        let request = tokio::select! {
            biased;
            request = self.read_request(until, context) => request?,
            () = evictable.evicted() => return Err(RequestError::Rejected(StatusCode::REQUEST_TIMEOUT)),
        };
        drop(evictable);
        match request {
            ReadRequest::Up { keep_alive } => {
                let serving = *context.service.borrow() == ServiceState::Serving;
                let status = if serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                Ok(ServedRequest { keep_alive, reply: Reply::without_body(status) })
            }
            ReadRequest::Api(request) => self.serve_api(*request, context).await,
        }
    }

    async fn serve_api(
        &mut self,
        request: ApiRequest,
        context: &InboundContext,
    ) -> Result<ServedRequest, RequestError> {
        // Clients send one request at a time. What follows one without an answer is not a request of our client, or
        // belongs to a body that is longer than announced.
        if request.decoder.ended() && !self.unread.is_empty() {
            return Err(RequestError::Rejected(StatusCode::BAD_REQUEST));
        }
        // Held until the answer is written, as an endpoint can't tell two requests of one id apart.
        let id = context.ids.open(&request.metadata.id, Instant::now());
        let id = id.ok_or(RequestError::Rejected(StatusCode::CONFLICT))?;
        let (keep_alive, is_http_1_0) = (request.head.keep_alive, request.head.is_http_1_0);
        let mut submitted = self.submit(request, context);
        let answer = self.await_answer(&mut submitted, context).await?;
        self.body_unfinished = submitted.streaming.is_some();
        let mut reply = Reply::of(answer, id);
        // Without chunks, the end of the connection marks the end of the body.
        reply.chunked = reply.body.length.is_none() && !is_http_1_0;
        let delimited = reply.chunked || reply.body.length.is_some();
        Ok(ServedRequest { keep_alive: keep_alive && delimited, reply })
    }

    /// The deadline of a request whose last byte was just read.
    fn deadline(&self, time_left: Micros, context: &InboundContext) -> Micros {
        context.engine.time_of(self.arrived).saturating_add(time_left)
    }

    /// Submits a request to the engine.
    fn submit(&mut self, request: ApiRequest, context: &InboundContext) -> Submitted {
        let ApiRequest { head, metadata, body, decoder, pace, reservation } = request;
        let time_left = metadata.time_left;
        let earliest_deadline = self.deadline(time_left, context);
        let mut deadline = earliest_deadline;
        let (mut streaming, mut rest) = (None, None);
        if !decoder.ended() {
            // The client's time counts from its last byte, which is some way off.
            let length = decoder.length();
            let outstanding = length.unwrap_or(MAX_BODY_BYTES).saturating_sub(decoder.received());
            let transfer = Micros::try_from(transfer_time(outstanding).as_micros());
            deadline = deadline.saturating_add(transfer.unwrap_or(Micros::MAX));
            let (sender, stream) = BodyStream::new(length);
            streaming = Some(StreamingBody { decoder, pace, sender, read_ahead: ReadAhead::default() });
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

    /// Waits for the answer. The balancer answers in time by itself; the deadline and the shutdown are bounds from
    /// outside. Dropping the pending response, as they do and a client that closes or sends too much, abandons the
    /// request.
    async fn await_answer(
        &mut self,
        submitted: &mut Submitted,
        context: &InboundContext,
    ) -> Result<Answer, RequestError> {
        // A request that has come too late is shed by the balancer, with the promise that it has not run.
        let decision_by = Instant::now() + LATE_DECISION_TIME;
        let mut service = context.service.clone();
        loop {
            let deadline = context.engine.instant(submitted.deadline).max(decision_by);
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
                _ = service.wait_for(|state| *state == ServiceState::Aborting) => {
                    RequestOutcome::ShutDown.count();
                    return Ok(Answer::Failed);
                }
            }
        }
    }

    /// Handles the end of a streamed body. Without one, bytes behind the request were received.
    fn body_received(&self, submitted: &mut Submitted, context: &InboundContext) -> Result<(), RequestError> {
        let Some(streaming) = submitted.streaming.take() else {
            return Err(RequestError::Rejected(StatusCode::BAD_REQUEST));
        };
        streaming.sender.finish();
        submitted.lifecycle.body_received();
        submitted.deadline = self.deadline(submitted.time_left, context);
        submitted.lifecycle.set_earliest_deadline(context.engine.instant(submitted.deadline));
        submitted.response.body_received(submitted.deadline);
        Ok(())
    }

    /// Passes on the rest of a body up to its end. Without one, waits for bytes that must not come.
    async fn receive_rest(
        &mut self,
        streaming: &mut Option<StreamingBody>,
        lifecycle: &RequestLifecycle,
        context: &InboundContext,
    ) -> Result<(), RequestError> {
        let Some(streaming) = streaming else { return Ok(self.fill(READ_BYTES).await?) };
        while !streaming.decoder.ended() {
            match streaming.decoder.decode(&mut self.unread).map_err(RequestError::Rejected)? {
                Some(piece) => self.pass_on(piece, streaming, lifecycle, context).await?,
                None if streaming.decoder.ended() => {}
                None => self.fill_body(&streaming.decoder, &mut streaming.pace).await?,
            }
        }
        // Bytes behind the body are no request of our client.
        if self.unread.is_empty() { Ok(()) } else { Err(RequestError::Rejected(StatusCode::BAD_REQUEST)) }
    }

    /// Passes on a piece of a body, once the endpoint takes it. The client is not read from meanwhile, unless an attempt
    /// needs to know whether it is connected.
    async fn pass_on(
        &mut self,
        piece: Bytes,
        streaming: &mut StreamingBody,
        lifecycle: &RequestLifecycle,
        context: &InboundContext,
    ) -> Result<(), RequestError> {
        let StreamingBody { decoder, pace, sender, read_ahead } = streaming;
        let client = self.liveness.clone();
        let since = Instant::now();
        if self.unread.is_empty() && !decoder.ended() {
            // What is read next may have come since, while this piece waits for the endpoint.
            self.arrived = since;
        }
        let mut sending = pin!(timeout(context.max_stall, sender.send(piece)));
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut sending => break sent,
                () = client.closed() => return Err(RequestError::ClientClosed),
                () = client.wait_for_verification_request() => self.read_ahead(read_ahead, lifecycle, context).await?,
            }
        };
        match sent {
            Ok(true) => {
                pace.exclude(since.elapsed());
                Ok(())
            }
            // The request is over; its answer is about to be handled.
            Ok(false) => std::future::pending().await,
            Err(_) => Err(RequestError::Rejected(StatusCode::GATEWAY_TIMEOUT)),
        }
    }
}
