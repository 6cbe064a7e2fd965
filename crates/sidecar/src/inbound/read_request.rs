//! Reads a request: its head, and its body as far as it is buffered.

use super::client::{Client, READ_SIZE, RequestError, release_if_empty, release_spare};
use super::pace::ReceiveRate;
use super::read_size::ReadSize;
use super::shared::InboundContext;
use super::timing::REQUEST_READ_TIMEOUT;
use crate::body::{
    BodyBuffer, BodyDecoder, Framing, MAX_BUFFERED_BYTES, MAX_PIECE_BYTES, STREAMED_REQUEST_BYTES,
};
use crate::memory_budget::{MemoryReservation, request_bytes};
use crate::request::{RequestHead, RequestMetadata};
use crate::resource_limits::MAX_HEAD_BYTES;
use bytes::{Buf, Bytes};
use hyper::StatusCode;
use lotusmoor_balancer::Micros;
use std::num::NonZeroUsize;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Bytes requested by one read of a body.
const MAX_PIECE_READ: NonZeroUsize = NonZeroUsize::new(MAX_PIECE_BYTES).expect("pieces have content");
/// Heads up to this length are part of the memory that is counted for each connection.
const UNRESERVED_HEAD_BYTES: usize = 2 << 10;
/// Memory to read a longer head: the buffer doubles as it grows.
const HEAD_BUFFER_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// How long a client with a longer head waits for that memory.
const MAX_HEAD_WAIT: Duration = Duration::from_millis(400);

/// A request whose head has been read, with its body as far as it is buffered.
pub(super) enum ReadRequest {
    /// A health check of the sidecar: it asks whether the sidecar is in service.
    HealthCheck {
        /// Whether the connection may carry a further request.
        keep_alive: bool,
    },
    /// A request to forward to an endpoint.
    Api(Box<ApiRequest>),
}

/// A request to forward to an endpoint.
pub(super) struct ApiRequest {
    pub(super) head: RequestHead,
    pub(super) metadata: RequestMetadata,
    /// The body, or the buffered start of one that is streamed.
    pub(super) body: Bytes,
    pub(super) decoder: BodyDecoder,
    pub(super) receive_rate: ReceiveRate,
    pub(super) reservation: MemoryReservation,
}

impl Client {
    /// Reads a request whose head has to be complete by `until`. An invalid one is rejected as early as possible.
    pub(super) async fn read_request(
        &mut self,
        until: Instant,
        context: &InboundContext,
    ) -> Result<ReadRequest, RequestError> {
        let late = |_| RequestError::Rejected(StatusCode::REQUEST_TIMEOUT);
        let (head, head_bytes) = timeout_at(until, self.read_head(context)).await.map_err(late)??;
        match head.uri.path() {
            "/up" if head.body == Framing::Sized(0) => {
                return Ok(ReadRequest::HealthCheck { keep_alive: head.keep_alive });
            }
            path if path == "/api" || path.starts_with("/api/") => {}
            _ => return Err(RequestError::Rejected(StatusCode::NOT_FOUND)),
        }
        let metadata = RequestMetadata::parse(&context.traffic_classes, &head);
        let metadata = metadata.ok_or(RequestError::Rejected(StatusCode::BAD_REQUEST))?;
        let mut receive_rate = ReceiveRate::since(until - REQUEST_READ_TIMEOUT);
        let began = Instant::now();
        let buffered = head.body.length().filter(|length| *length <= MAX_BUFFERED_BYTES);
        let bytes = request_bytes(head_bytes, buffered.unwrap_or(STREAMED_REQUEST_BYTES));
        let mut reservation = self.reserve_memory(bytes, metadata.time_left, began, context).await?;
        receive_rate.exclude(began.elapsed());
        let mut decoder = BodyDecoder::new(head.body);
        let body = self.read_body(&head, &mut decoder, &mut receive_rate).await?;
        release_if_empty(&mut self.unparsed);
        if decoder.ended() {
            context.memory.shrink(&mut reservation, request_bytes(head_bytes, body.len()));
        }
        Ok(ReadRequest::Api(Box::new(ApiRequest {
            head,
            metadata,
            body,
            decoder,
            receive_rate,
            reservation,
        })))
    }

    /// Reserves memory for a request. The client may be waiting for its response already, so the wait for memory is
    /// limited by the client's remaining time.
    async fn reserve_memory(
        &mut self,
        bytes: usize,
        time_left: Micros,
        began: Instant,
        context: &InboundContext,
    ) -> Result<MemoryReservation, RequestError> {
        let time_left = Duration::from_micros(time_left.unsigned_abs());
        let until = (self.arrival.earliest() + time_left).min(began + REQUEST_READ_TIMEOUT);
        let client = self.liveness.clone();
        self.waits_for_memory = true;
        let reserved = tokio::select! {
            biased;
            reservation = timeout_at(until, context.memory.reserve(bytes)) => reservation.map_err(|_| RequestError::NoMemory),
            () = client.closed() => Err(RequestError::ClientClosed),
        };
        self.waits_for_memory = false;
        self.arrival.record_wait(Instant::now());
        reserved
    }

    /// Reserves memory to read a long head. How long its client waits is not known before the head is read.
    async fn reserve_long_head(
        &mut self,
        context: &InboundContext,
    ) -> Result<MemoryReservation, RequestError> {
        self.waits_for_memory = true;
        let reserved = timeout(MAX_HEAD_WAIT, context.memory.reserve(HEAD_BUFFER_BYTES)).await;
        self.waits_for_memory = false;
        self.arrival.record_wait(Instant::now());
        reserved.map_err(|_| RequestError::NoMemory)
    }

    /// Reads a head, and returns it with its length. It is parsed again only once it has doubled in size or a blank line
    /// has been received: a head that arrives byte by byte would otherwise be parsed once for each byte.
    async fn read_head(&mut self, context: &InboundContext) -> Result<(RequestHead, usize), RequestError> {
        let (mut searched, mut parse_at) = (0, 0);
        let mut reservation = None;
        loop {
            let new = &self.unparsed[searched..];
            let ended = new.windows(3).any(|w| w == b"\n\r\n") || new.windows(2).any(|w| w == b"\n\n");
            if ended || self.unparsed.len() >= parse_at.min(MAX_HEAD_BYTES) {
                let parsed = RequestHead::parse(&self.unparsed).map_err(RequestError::Rejected)?;
                if let Some((head, length)) = parsed {
                    self.unparsed.advance(length);
                    release_spare(&mut self.unparsed);
                    return Ok((head, length));
                }
                parse_at = 2 * self.unparsed.len();
            }
            if reservation.is_none() && self.unparsed.len() > UNRESERVED_HEAD_BYTES {
                reservation = Some(self.reserve_long_head(context).await?);
            }
            // The blank line may be split between two reads.
            searched = self.unparsed.len().saturating_sub(2);
            self.fill(READ_SIZE).await?;
        }
    }

    /// Reads the body that follows a head, or as much of it as is buffered.
    async fn read_body(
        &mut self,
        head: &RequestHead,
        decoder: &mut BodyDecoder,
        receive_rate: &mut ReceiveRate,
    ) -> Result<Bytes, RequestError> {
        let incomplete = head.body.length().is_none_or(|length| self.unparsed.len() < length);
        if head.expects_continue && incomplete {
            self.write_all(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await?;
        }
        let length = head.body.length().unwrap_or(0).min(MAX_BUFFERED_BYTES);
        let mut buffer = BodyBuffer::with_capacity(length);
        while !decoder.ended() && buffer.len() < MAX_BUFFERED_BYTES {
            match decoder.decode(&mut self.unparsed).map_err(RequestError::Rejected)? {
                Some(piece) => buffer.append(&piece),
                None if decoder.ended() => {}
                None => self.fill_body(decoder, receive_rate).await?,
            }
        }
        Ok(buffer.into_bytes())
    }

    /// Reads more of a body, as long as the client is fast enough.
    pub(super) async fn fill_body(
        &mut self,
        decoder: &BodyDecoder,
        receive_rate: &mut ReceiveRate,
    ) -> Result<(), RequestError> {
        let max = ReadSize::from(decoder.max_read_bytes(MAX_PIECE_READ));
        match timeout_at(receive_rate.next_byte_deadline(decoder.received()), self.fill(max)).await {
            Ok(read) => read?,
            Err(_) => return Err(RequestError::Rejected(StatusCode::REQUEST_TIMEOUT)),
        }
        receive_rate.record_progress();
        self.pause_if_due().await;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
