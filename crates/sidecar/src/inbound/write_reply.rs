//! Writes responses to clients.

use super::client::Client;
use super::pace::transfer_time;
use super::reply::Reply;
use crate::body::STREAM_SEND_BUFFER_BYTES;
use crate::connection_limiter::WaitState;
use crate::service_state::{ServiceState, aborting};
use bytes::Buf;
use socket2::SockRef;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long a client may take to read a buffered response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a response may not go on before its connection may be given up.
const MIN_REST: Duration = Duration::from_secs(3);
/// The end of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

impl Client {
    /// Writes a response; returns whether all of it was written.
    pub(super) async fn write_reply(
        &mut self,
        mut reply: Reply,
        keep_alive: bool,
        service: &watch::Receiver<ServiceState>,
    ) -> bool {
        self.pending = None;
        let head = reply.head(keep_alive);
        let first = std::mem::take(&mut reply.body.first);
        let bytes = head.chain(reply.piece(first));
        let Some(mut rest) = reply.body.rest.take() else {
            return matches!(timeout(WRITE_TIMEOUT, self.write_all(bytes)).await, Ok(Ok(())));
        };
        // With a large send buffer, a slow client would seem to make no progress for a long time. The kernel holds up
        // to twice the size that it is given, and may accept more only once all of that is free.
        let _ = SockRef::from(&*self.stream).set_send_buffer_size(STREAM_SEND_BUFFER_BYTES);
        let max_stall = transfer_time(2 * STREAM_SEND_BUFFER_BYTES);
        if reply.ends_with_connection() {
            self.reset_on_close(true);
        }
        let mut written = self.write_with_progress(bytes, max_stall).await;
        while written {
            let next = tokio::select! {
                biased;
                piece = rest.recv() => piece,
                () = aborting(service) => None,
                () = self.given_up_at_rest() => None,
            };
            match next {
                Some(piece) if !piece.is_empty() => {
                    written = self.write_with_progress(reply.piece(piece), max_stall).await;
                }
                Some(_) => {
                    self.reset_on_close(false);
                    return !reply.chunked || self.write_with_progress(LAST_CHUNK, max_stall).await;
                }
                None => return false,
            }
        }
        false
    }

    /// Waits until the connection has to make room for others, or its client has left, after its response has not gone on for
    /// long.
    async fn given_up_at_rest(&self) {
        sleep(MIN_REST).await;
        let evictable = self.permit.evictable(WaitState::RestingResponse);
        tokio::select! {
            () = evictable.evicted() => {}
            () = self.liveness.closed() => {}
        }
    }

    /// Whether closing the connection resets it, also when the process ends. A client would take any other end for the
    /// end of a body that is marked by nothing else.
    fn reset_on_close(&self, reset: bool) {
        let _ = SockRef::from(&*self.stream).set_linger(reset.then_some(Duration::ZERO));
    }

    /// Writes all bytes, as long as the socket accepts some within each `max_stall`; returns whether it did.
    async fn write_with_progress(&mut self, mut bytes: impl Buf, max_stall: Duration) -> bool {
        while bytes.has_remaining() {
            if !matches!(timeout(max_stall, self.write(&mut bytes)).await, Ok(Ok(()))) {
                return false;
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;
