//! Reads a request: its head, and its body as far as it is buffered.

use super::client::{Client, READ_BYTES, RequestError, release_if_empty};
use super::pace::ReceiveRate;
use super::shared::InboundContext;
use super::timing::REQUEST_READ_TIMEOUT;
use crate::body::{BodyBuffer, BodyDecoder, Framing, MAX_BUFFERED_BYTES, MAX_PIECE_BYTES, STREAMING_BYTES};
use crate::memory_budget::MemoryReservation;
use crate::request::{RequestHead, RequestMetadata};
use crate::resource_limits::MAX_HEAD_BYTES;
use bytes::{Buf, Bytes};
use hyper::StatusCode;
use lotusmoor_balancer::Micros;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

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
        let head = timeout_at(until, self.read_head()).await.map_err(late)??;
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
        let reservation = self.reserve_body(&head, metadata.time_left, began, context).await?;
        receive_rate.exclude(began.elapsed());
        let mut decoder = BodyDecoder::new(head.body);
        let body = self.read_body(&head, &mut decoder, &mut receive_rate).await?;
        release_if_empty(&mut self.unparsed);
        Ok(ReadRequest::Api(Box::new(ApiRequest {
            head,
            metadata,
            body,
            decoder,
            receive_rate,
            reservation,
        })))
    }

    /// Reserves memory for a body. The client may be waiting for its response already, so the wait for memory is
    /// limited by the client's remaining time.
    async fn reserve_body(
        &self,
        head: &RequestHead,
        time_left: Micros,
        began: Instant,
        context: &InboundContext,
    ) -> Result<MemoryReservation, RequestError> {
        let buffered = head.body.length().filter(|length| *length <= MAX_BUFFERED_BYTES);
        let time_left = Duration::from_micros(time_left.unsigned_abs());
        let until = (self.earliest_arrival + time_left).min(began + REQUEST_READ_TIMEOUT);
        let client = self.liveness.clone();
        tokio::select! {
            biased;
            reservation = timeout_at(until, context.memory.reserve(buffered.unwrap_or(STREAMING_BYTES))) => {
                reservation.map_err(|_| RequestError::Rejected(StatusCode::SERVICE_UNAVAILABLE))
            }
            () = client.closed() => Err(RequestError::ClientClosed),
        }
    }

    /// Reads a head. It is parsed again only once it has doubled in size or a blank line has been received: a head that
    /// arrives byte by byte would otherwise be parsed once for each byte.
    async fn read_head(&mut self) -> Result<RequestHead, RequestError> {
        let (mut searched, mut parse_at) = (0, 0);
        loop {
            let new = &self.unparsed[searched..];
            let ended = new.windows(3).any(|w| w == b"\n\r\n") || new.windows(2).any(|w| w == b"\n\n");
            if ended || self.unparsed.len() >= parse_at.min(MAX_HEAD_BYTES) {
                let parsed = RequestHead::parse(&self.unparsed).map_err(RequestError::Rejected)?;
                if let Some((head, length)) = parsed {
                    self.unparsed.advance(length);
                    return Ok(head);
                }
                parse_at = 2 * self.unparsed.len();
            }
            // The blank line may be split between two reads.
            searched = self.unparsed.len().saturating_sub(2);
            self.fill(READ_BYTES).await?;
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
        let max_bytes = decoder.max_read_bytes(MAX_PIECE_BYTES);
        match timeout_at(receive_rate.next_byte_deadline(decoder.received()), self.fill(max_bytes)).await {
            Ok(read) => read?,
            Err(_) => return Err(RequestError::Rejected(StatusCode::REQUEST_TIMEOUT)),
        }
        receive_rate.record_progress();
        Ok(())
    }
}
