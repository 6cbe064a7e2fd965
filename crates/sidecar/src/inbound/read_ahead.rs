//! Reads the body of a waiting request on, to find out whether its client is still connected: its end may lie behind
//! bytes for which the receive window has no room.

use super::client::{Client, RequestError};
use super::shared::Shared;
use crate::client_liveness::QUIET_TIME;
use crate::memory_budget::MemoryReservation;
use crate::request_lifecycle::RequestLifecycle;
use hyper::StatusCode;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

/// Bytes that are read at once.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// One request may take this part of the memory for bodies.
const MEMORY_PART: usize = 2;
/// The memory of what was read ahead of a body, held until its end has been passed on.
#[derive(Default)]
pub(super) struct ReadAhead {
    reservations: Vec<MemoryReservation>,
    reserved_bytes: usize,
    read_bytes: usize,
}

impl ReadAhead {
    /// Makes sure that there is memory for one read; whether there is.
    fn reserve(&mut self, shared: &Shared) -> bool {
        if self.read_bytes + READ_AHEAD_BYTES <= self.reserved_bytes {
            return true;
        }
        if self.reserved_bytes + READ_AHEAD_BYTES > shared.memory.total_bytes() / MEMORY_PART {
            return false;
        }
        let Some(reservation) = shared.memory.try_reserve(READ_AHEAD_BYTES) else { return false };
        self.reservations.push(reservation);
        self.reserved_bytes += READ_AHEAD_BYTES;
        true
    }
}

impl Client {
    /// Reads on until the socket shows whether the client is connected. Where memory ends first, the request is shed: it
    /// may not be sent for a client that may be gone.
    pub(super) async fn read_ahead(
        &mut self,
        read_ahead: &mut ReadAhead,
        lifecycle: &RequestLifecycle,
        shared: &Shared,
    ) -> Result<(), RequestError> {
        while !self.liveness.was_seen_recently() {
            if !read_ahead.reserve(shared) {
                return Err(RequestError::Rejected(unverified_status(lifecycle)));
            }
            let unread = self.unread.len();
            match timeout(QUIET_TIME, self.fill(READ_AHEAD_BYTES)).await {
                Ok(read) => read?,
                Err(_) => self.liveness.last_seen().socket_quiet(Instant::now()),
            }
            read_ahead.read_bytes += self.unread.len() - unread;
            // A long body must not keep the others waiting.
            yield_now().await;
        }
        self.liveness.verification_done();
        Ok(())
    }
}

/// The answer to a request whose client can't be verified. Only one that never began to be sent is surely not run.
fn unverified_status(lifecycle: &RequestLifecycle) -> StatusCode {
    if lifecycle.any_send_began() { StatusCode::BAD_GATEWAY } else { StatusCode::SERVICE_UNAVAILABLE }
}
