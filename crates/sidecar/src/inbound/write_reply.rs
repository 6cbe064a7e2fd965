//! Writes answers to clients.

use super::client::Client;
use super::pace::transfer_time;
use super::reply::Reply;
use crate::body::STREAMING_BYTES;
use crate::service_state::ServiceState;
use bytes::Buf;
use socket2::SockRef;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// How long a client may take to read a buffered answer.
const WRITE_TIME: Duration = Duration::from_secs(2);
/// The end of a body in chunks.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

impl Client {
    /// Writes an answer; returns whether the client has taken it completely.
    pub(super) async fn write_reply(
        &mut self,
        mut reply: Reply,
        keep_alive: bool,
        service: &mut watch::Receiver<ServiceState>,
    ) -> bool {
        self.pending = None;
        let head = reply.head(keep_alive);
        let first = std::mem::take(&mut reply.body.first);
        let bytes = head.chain(reply.piece(first));
        let Some(mut rest) = reply.body.rest.take() else {
            return matches!(timeout(WRITE_TIME, self.write_all(bytes)).await, Ok(Ok(())));
        };
        // With much of it in the system's buffer, a slow client would seem to take nothing for a long time. The system
        // holds up to twice as much as it is told, and may want room for all of that before it takes more.
        let _ = SockRef::from(&*self.stream).set_send_buffer_size(STREAMING_BYTES);
        let stall = transfer_time(2 * STREAMING_BYTES);
        let mut taken = self.write_with_progress(bytes, stall).await;
        while taken {
            let next = tokio::select! {
                biased;
                piece = rest.recv() => piece,
                _ = service.wait_for(|state| *state == ServiceState::Aborting) => None,
            };
            match next {
                Some(piece) if !piece.is_empty() => {
                    taken = self.write_with_progress(reply.piece(piece), stall).await;
                }
                Some(_) => return !reply.chunked || self.write_with_progress(LAST_CHUNK, stall).await,
                None => {
                    self.mark_incomplete(&reply);
                    return false;
                }
            }
        }
        false
    }

    /// A client that knows the end of a body only by that of the connection must see a reset.
    fn mark_incomplete(&self, reply: &Reply) {
        if !reply.chunked && reply.body.length.is_none() {
            let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Writes all bytes, as long as the client takes some within each `stall`; returns whether it did.
    async fn write_with_progress(&mut self, mut bytes: impl Buf, stall: Duration) -> bool {
        while bytes.has_remaining() {
            if !matches!(timeout(stall, self.write(&mut bytes)).await, Ok(Ok(()))) {
                return false;
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;
