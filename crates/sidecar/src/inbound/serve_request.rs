//! Serves one request: reads it, submits it to the engine and waits for the response, streaming a body that is too
//! large to be buffered.

use super::client::{Client, READ_BYTES, RequestError};
use super::pace::{ReceiveRate, transfer_time};
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
use crate::service_state::{ServiceState, aborting};
use bytes::Bytes;
use hyper::StatusCode;
use lotusmoor_balancer::{Micros, NewRequest};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Time allowed for the balancer to reject a request that arrived after its deadline.
const LATE_REQUEST_REJECTION_TIMEOUT: Duration = Duration::from_millis(10);

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

/// The rest of a body that is forwarded as it arrives.
struct StreamingBody {
    decoder: BodyDecoder,
    receive_rate: ReceiveRate,
    sender: BodySender,
    read_ahead: ReadAhead,
}

impl Client {
    /// Reads one request, whose head has to be complete by `until`, and waits for its response.
    pub(super) async fn serve_request(
        &mut self,
        permit: &ConnectionPermit,
        until: Instant,
        context: &InboundContext,
    ) -> Result<ServedRequest, RequestError> {
        self.waits_for_memory = false;
        let evictable = permit.evictable(WaitState::ReadingRequest);
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
        let id = id.ok_or(RequestError::Rejected(StatusCode::CONFLICT))?;
        let (keep_alive, is_http_1_0) = (request.head.keep_alive, request.head.is_http_1_0);
        let mut submitted = self.submit(request, context);
        let answer = self.await_answer(&mut submitted, context).await?;
        self.body_unfinished = submitted.streaming.is_some();
        let mut reply = Reply::of(answer, id);
        // Without chunked encoding, the end of the connection marks the end of the body.
        reply.chunked = reply.body.length.is_none() && !is_http_1_0;
        let delimited = reply.chunked || reply.body.length.is_some();
        Ok(ServedRequest { keep_alive: keep_alive && delimited, reply })
    }

    /// The deadline of a request whose last byte was just read.
    fn deadline(&self, time_left: Micros, context: &InboundContext) -> Micros {
        context.engine.time_of(self.earliest_arrival).saturating_add(time_left)
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
            streaming =
                Some(StreamingBody { decoder, receive_rate, sender, read_ahead: ReadAhead::default() });
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
        streaming.sender.finish();
        submitted.lifecycle.body_received();
        submitted.deadline = self.deadline(submitted.time_left, context);
        submitted.lifecycle.set_earliest_deadline(context.engine.instant(submitted.deadline));
        submitted.response.body_received(submitted.deadline);
        Ok(())
    }

    /// Forwards the rest of a streamed body up to its end. Without a streamed body, waits for bytes after the request,
    /// which the caller rejects.
    async fn receive_rest(
        &mut self,
        streaming: &mut Option<StreamingBody>,
        lifecycle: &RequestLifecycle,
        context: &InboundContext,
    ) -> Result<(), RequestError> {
        let Some(streaming) = streaming else { return Ok(self.fill(READ_BYTES).await?) };
        loop {
            let piece = match streaming.read_ahead.pop() {
                Some(piece) => Some(piece),
                None => streaming.decoder.decode(&mut self.unparsed).map_err(RequestError::Rejected)?,
            };
            match piece {
                Some(piece) => self.forward_piece(piece, streaming, lifecycle, context).await?,
                None if streaming.decoder.ended() => break,
                None => self.fill_body(&streaming.decoder, &mut streaming.receive_rate).await?,
            }
        }
        // Bytes after the body are rejected, as clients send one request at a time.
        if self.unparsed.is_empty() { Ok(()) } else { Err(RequestError::Rejected(StatusCode::BAD_REQUEST)) }
    }

    /// Forwards a piece of a body once the endpoint accepts it. Meanwhile nothing is read from the client, unless an
    /// attempt needs to know whether the client is connected.
    async fn forward_piece(
        &mut self,
        piece: Bytes,
        streaming: &mut StreamingBody,
        lifecycle: &RequestLifecycle,
        context: &InboundContext,
    ) -> Result<(), RequestError> {
        let StreamingBody { decoder, receive_rate, sender, read_ahead } = streaming;
        let client = self.liveness.clone();
        let since = Instant::now();
        if self.unparsed.is_empty() && read_ahead.is_empty() && !decoder.ended() {
            // The bytes read next may arrive from now on, while this piece waits for the endpoint.
            self.earliest_arrival = since;
        }
        let mut sending = pin!(timeout(context.max_stall, sender.send(piece)));
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut sending => break sent,
                () = client.closed() => return Err(RequestError::ClientClosed),
                () = client.wait_for_verification_request() => self.read_ahead(read_ahead, decoder, lifecycle, context).await?,
            }
        };
        match sent {
            Ok(true) => {
                receive_rate.exclude(since.elapsed());
                Ok(())
            }
            // The request has ended; its response is about to be handled.
            Ok(false) => std::future::pending().await,
            Err(_) => Err(RequestError::Rejected(StatusCode::GATEWAY_TIMEOUT)),
        }
    }
}
