//! Forwards the rest of a request's body as it arrives. A client's time counts from the last byte of its request, which may
//! be written long before it is read: while bytes are unread, the client may be waiting for its answer.

use super::client::{Client, READ_SIZE, RequestError};
use super::pace::ReceiveRate;
use super::read_ahead::{Purpose, READ_AHEAD_SIZE, ReadAhead};
use super::shared::InboundContext;
use crate::body::{BodyDecoder, BodySender};
use crate::metrics::WaitingUploadEvent;
use crate::request_lifecycle::RequestLifecycle;
use bytes::Bytes;
use hyper::StatusCode;
use lotusmoor_balancer::Micros;
use std::io;
use std::pin::pin;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// How long a body may wait unread for its endpoint. Shorter waits are part of forwarding a body.
const READ_ON_AFTER: Duration = Duration::from_millis(10);
/// How often a body that waits for its endpoint is reviewed: whether there is memory to read on, and whether its client still
/// writes.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// The rest of a body that is forwarded as it arrives.
pub(super) struct StreamingBody {
    decoder: BodyDecoder,
    receive_rate: ReceiveRate,
    sender: BodySender,
    read_ahead: ReadAhead,
    /// There was no memory to read on.
    reading_suspended: bool,
    /// How long the client waits for the answer, from the last byte on.
    time_left: Duration,
}

impl StreamingBody {
    /// A body of which `decoder` has decoded the start, and whose rest goes to `sender`.
    pub(super) fn new(
        decoder: BodyDecoder,
        receive_rate: ReceiveRate,
        sender: BodySender,
        time_left: Micros,
    ) -> Self {
        let time_left = Duration::from_micros(time_left.max(0).unsigned_abs());
        let read_ahead = ReadAhead::default();
        Self { decoder, receive_rate, sender, read_ahead, reading_suspended: false, time_left }
    }

    /// Marks the body as complete.
    pub(super) fn finish(self) {
        self.sender.finish();
    }
}

impl Client {
    /// Forwards the rest of a streamed body up to its end. Without a streamed body, waits for bytes after the request,
    /// which the caller rejects.
    pub(super) async fn receive_rest(
        &mut self,
        streaming: &mut Option<StreamingBody>,
        lifecycle: &RequestLifecycle,
        context: &InboundContext,
    ) -> Result<(), RequestError> {
        let Some(streaming) = streaming else { return Ok(self.fill(READ_SIZE).await?) };
        loop {
            let piece = match streaming.read_ahead.pop() {
                Some(piece) => Some(piece),
                None => streaming.decoder.decode(&mut self.unparsed).map_err(RequestError::Rejected)?,
            };
            match piece {
                Some(piece) => self.forward_piece(piece, streaming, lifecycle, context).await?,
                None if streaming.decoder.ended() => {
                    self.arrival.record_last_byte();
                    break;
                }
                None => {
                    self.record_suspension(&mut streaming.reading_suspended, false, lifecycle);
                    self.fill_body(&streaming.decoder, &mut streaming.receive_rate).await?;
                }
            }
        }
        // Bytes after the body are rejected, as clients send one request at a time.
        if self.unparsed.is_empty() { Ok(()) } else { Err(RequestError::Rejected(StatusCode::BAD_REQUEST)) }
    }

    /// Forwards a piece of a body once the endpoint accepts it, as long as the client may still be writing or its time is
    /// not over. Meanwhile the body is read on, as far as there is memory: what stays unread hides how long its client has
    /// been waiting.
    async fn forward_piece(
        &mut self,
        piece: Bytes,
        streaming: &mut StreamingBody,
        lifecycle: &RequestLifecycle,
        context: &InboundContext,
    ) -> Result<(), RequestError> {
        let StreamingBody { decoder, receive_rate, sender, read_ahead, time_left, reading_suspended } =
            streaming;
        let client = self.liveness.clone();
        let mut sending = pin!(sender.send(piece));
        loop {
            let answer_by = self.arrival.earliest() + *time_left;
            lifecycle.set_earliest_deadline(answer_by);
            let now = Instant::now();
            let read_on_at = self.arrival.empty_until() + READ_ON_AFTER;
            let is_due = now >= read_on_at && !decoder.ended();
            let reads = is_due && read_ahead.reserve(Purpose::ObserveArrival, context);
            self.record_suspension(reading_suspended, is_due && !reads, lifecycle);
            let review_at = if now < read_on_at { read_on_at } else { now + REVIEW_INTERVAL };
            let event = tokio::select! {
                biased;
                sent = &mut sending => WaitEvent::Sent(sent),
                () = client.closed() => return Err(RequestError::ClientClosed),
                () = client.wait_for_verification_request() => WaitEvent::VerificationRequested,
                read = self.fill(READ_AHEAD_SIZE), if reads => WaitEvent::Read(read),
                () = sleep_until(review_at.min(answer_by)) => WaitEvent::Review,
            };
            if !reads {
                receive_rate.exclude(now.elapsed());
            }
            match event {
                WaitEvent::Sent(true) => return Ok(()),
                // The request has ended; its response is about to be handled.
                WaitEvent::Sent(false) => std::future::pending().await,
                WaitEvent::VerificationRequested => {
                    self.read_ahead(read_ahead, decoder, lifecycle, context).await?;
                }
                WaitEvent::Read(read) => {
                    read?;
                    receive_rate.record_progress();
                    self.keep_read_ahead(read_ahead, decoder)?;
                    // A long body must not starve other tasks.
                    yield_now().await;
                }
                WaitEvent::Review => {
                    let is_silent = Instant::now() >= receive_rate.next_byte_deadline(decoder.received());
                    if reads && is_silent {
                        return Err(RequestError::Rejected(StatusCode::REQUEST_TIMEOUT));
                    }
                }
            }
            if Instant::now() >= self.arrival.earliest() + *time_left {
                return Err(self.time_over(decoder, lifecycle));
            }
        }
    }

    /// Records whether reading on is suspended for want of memory, if that has changed.
    fn record_suspension(&mut self, suspended: &mut bool, is_suspended: bool, lifecycle: &RequestLifecycle) {
        if std::mem::replace(suspended, is_suspended) == is_suspended {
            return;
        }
        if is_suspended {
            WaitingUploadEvent::ReadingSuspended.count();
            lifecycle.trace(format_args!("not read on, for want of memory"));
        } else {
            self.arrival.record_wait(Instant::now());
            lifecycle.trace(format_args!("read on"));
        }
    }

    /// The client's time is over while its upload waits.
    fn time_over(&self, decoder: &BodyDecoder, lifecycle: &RequestLifecycle) -> RequestError {
        WaitingUploadEvent::DeadlineExceeded.count();
        lifecycle.trace(format_args!(
            "its time is over after {} bytes of its body, complete: {}, {} ms of which may have been waiting unread",
            decoder.received(),
            decoder.ended(),
            self.arrival.backlog().as_millis()
        ));
        RequestError::DeadlineExceeded
    }
}

/// What happens first while a piece of a body waits for its endpoint.
enum WaitEvent {
    /// The endpoint has accepted it, or the request has ended.
    Sent(bool),
    /// An attempt needs to know whether the client is connected.
    VerificationRequested,
    /// More of the body was read, or its end.
    Read(io::Result<()>),
    /// It is time to look again whether to read on, and whether the client's time is over.
    Review,
}
