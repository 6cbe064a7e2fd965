//! Reads more of the body of an upload than its endpoint accepts for now. Bytes that stay unread hide two things: whether the
//! client is still connected, as its FIN is not received while it is queued behind bytes for which the receive window has no
//! room; and when they were written, from which the client's time counts.

use super::client::{Client, RequestError, release_spare};
use super::read_size::ReadSize;
use super::shared::InboundContext;
use crate::body::{BodyDecoder, MAX_PIECE_BYTES};
use crate::memory_budget::MemoryReservation;
use crate::metrics::WaitingUploadEvent;
use crate::request_lifecycle::RequestLifecycle;
use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use std::collections::VecDeque;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

/// Bytes requested by one read.
const READ_AHEAD_BYTES: usize = 64 << 10;
pub(super) const READ_AHEAD_SIZE: ReadSize = ReadSize::new(READ_AHEAD_BYTES);
/// One request may read ahead up to this fraction, 1 / `MEMORY_DIVISOR`, of the memory for bodies.
const MEMORY_DIVISOR: usize = 2;
/// What is read ahead only to know when it arrives leaves 1 / `OTHERS_DIVISOR` of that memory to other requests.
const OTHERS_DIVISOR: usize = 4;
/// Reads whose bytes may still be held by the channel and the HTTP client after they were forwarded.
const READS_IN_FLIGHT: usize = 2;

/// Length up to which pieces are joined. Each piece takes memory besides its bytes, and a body may be sent in chunks of a
/// single byte.
const JOINED_BYTES: usize = MAX_PIECE_BYTES;

/// The part of a body that was read ahead, and the memory for it.
#[derive(Default)]
pub(super) struct ReadAhead {
    /// Separate pieces: a buffer that grows would be copied, and take twice its memory meanwhile.
    pieces: VecDeque<Bytes>,
    /// The memory of all pieces, in parts of [`READ_AHEAD_BYTES`].
    reservations: Vec<MemoryReservation>,
    held_bytes: usize,
}

/// What a part of a body is read ahead for.
#[derive(Clone, Copy)]
pub(super) enum Purpose {
    /// To know whether the client is connected, without which its request can't be sent.
    VerifyClient,
    /// To know when bytes arrive.
    ObserveArrival,
}

impl ReadAhead {
    /// Reserves memory for one read; returns whether there is enough.
    pub(super) fn reserve(&mut self, purpose: Purpose, context: &InboundContext) -> bool {
        let reserved_bytes = self.reservations.len() * READ_AHEAD_BYTES;
        if self.held_bytes + READ_AHEAD_BYTES <= reserved_bytes {
            return true;
        }
        let (memory, total) = (&context.memory, context.memory.total_bytes());
        if reserved_bytes + READ_AHEAD_BYTES > total / MEMORY_DIVISOR {
            return false;
        }
        let reserved = match purpose {
            Purpose::VerifyClient => memory.try_reserve(READ_AHEAD_BYTES),
            Purpose::ObserveArrival => memory.try_reserve_leaving(READ_AHEAD_BYTES, total / OTHERS_DIVISOR),
        };
        let reserves = reserved.is_some();
        self.reservations.extend(reserved);
        reserves
    }

    /// Takes the next piece, and releases the memory of those that were forwarded before.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        self.held_bytes -= piece.len() + size_of::<Bytes>();
        self.reservations.truncate(self.held_bytes.div_ceil(READ_AHEAD_BYTES) + READS_IN_FLIGHT);
        Some(piece)
    }

    /// Decodes what was received by one read, and keeps it.
    pub(super) fn keep(
        &mut self,
        decoder: &mut BodyDecoder,
        received: &mut BytesMut,
    ) -> Result<(), RequestError> {
        let mut joined = BytesMut::new();
        while let Some(piece) = decoder.decode(received).map_err(RequestError::Rejected)? {
            if joined.len() + piece.len() > JOINED_BYTES {
                self.push(joined.split().freeze());
            }
            if piece.len() > JOINED_BYTES {
                self.push(piece);
            } else {
                joined.extend_from_slice(&piece);
            }
        }
        self.push(joined.freeze());
        // What is left is the start of a chunk's size: its buffer has room for a whole read.
        release_spare(received);
        Ok(())
    }

    fn push(&mut self, piece: Bytes) {
        if !piece.is_empty() {
            self.held_bytes += piece.len() + size_of::<Bytes>();
            self.pieces.push_back(piece);
        }
    }
}

impl Client {
    /// Reads until the socket shows whether the client is connected. If memory runs out first, the request is shed: it
    /// must not be sent on behalf of a client that may have disconnected.
    pub(super) async fn read_ahead(
        &mut self,
        read_ahead: &mut ReadAhead,
        decoder: &mut BodyDecoder,
        lifecycle: &RequestLifecycle,
        context: &InboundContext,
    ) -> Result<(), RequestError> {
        // Nothing was read since the last look.
        self.arrival.record_wait(Instant::now());
        while !self.liveness.was_seen_recently() {
            if decoder.ended() {
                // Bytes after the body are rejected, as clients send one request at a time.
                if !self.liveness.is_closed() && !self.liveness.has_nothing_unread() {
                    return Err(RequestError::Rejected(StatusCode::BAD_REQUEST));
                }
                break;
            }
            if !read_ahead.reserve(Purpose::VerifyClient, context) {
                WaitingUploadEvent::ReadingSuspended.count();
                return Err(RequestError::Rejected(unverified_status(lifecycle)));
            }
            let quiet_time = self.liveness.last_seen().quiet_time();
            match timeout(quiet_time, self.fill(READ_AHEAD_SIZE)).await {
                Ok(read) => read?,
                Err(_) => self.liveness.last_seen().record_socket_quiet(Instant::now()),
            }
            self.keep_read_ahead(read_ahead, decoder)?;
            // A long body must not starve other tasks.
            yield_now().await;
        }
        self.liveness.notify_verification_done();
        Ok(())
    }

    /// Keeps what was read ahead.
    pub(super) fn keep_read_ahead(
        &mut self,
        read_ahead: &mut ReadAhead,
        decoder: &mut BodyDecoder,
    ) -> Result<(), RequestError> {
        read_ahead.keep(decoder, &mut self.unparsed)?;
        if decoder.ended() {
            self.arrival.record_last_byte();
        }
        Ok(())
    }
}

/// The status for a request whose client could not be verified as connected. 503 promises that the request was not
/// processed, which is certain only if no attempt has begun to be written.
fn unverified_status(lifecycle: &RequestLifecycle) -> StatusCode {
    if lifecycle.any_send_began() { StatusCode::BAD_GATEWAY } else { StatusCode::SERVICE_UNAVAILABLE }
}
