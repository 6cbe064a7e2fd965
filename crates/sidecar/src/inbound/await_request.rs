//! Waits for the first byte of a request.

use super::client::{Client, READ_BYTES};
use super::shared::InboundContext;
use super::timing::SOCKET_POLL_TIME;
use crate::connection_limiter::{ConnectionPermit, EvictableConnection, WaitState};
use crate::service_state::ServiceState;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// While out of service, how long the first request of a new connection is waited for.
const OUT_OF_SERVICE_WAIT: Duration = Duration::from_millis(500);

/// How a wait for a request ends.
pub(super) enum Awaited<'a> {
    /// The request's first byte was received.
    Begun,
    /// The client has closed its connection.
    ClientClosed,
    /// There is none, and the connection has to close. Its permit counts as given up for as long as this is held.
    Close(EvictableConnection<'a>),
}

impl Client {
    /// Waits for the first byte of a request. A connection that has to close, for whatever reason, is read once more, as
    /// a request may have come. Out of service, idle connections close at once; a client that has just connected still
    /// gets the answer to its first request.
    pub(super) async fn await_request<'a>(
        &mut self,
        permit: &'a ConnectionPermit,
        new: bool,
        mut until: Instant,
        context: &InboundContext,
    ) -> Awaited<'a> {
        if !self.unread.is_empty() {
            return Awaited::Begun;
        }
        let evictable = permit.evictable(if new { WaitState::New } else { WaitState::Used });
        let mut service = context.service.clone();
        let mut serving = *service.borrow_and_update() == ServiceState::Serving;
        if !serving {
            until = until.min(Instant::now() + OUT_OF_SERVICE_WAIT);
        }
        let read = loop {
            tokio::select! {
                biased;
                read = self.fill(READ_BYTES) => break Some(read),
                () = evictable.evicted() => break None,
                () = sleep_until(until) => break None,
                _ = service.changed(), if serving => {
                    if !new {
                        break None;
                    }
                    serving = false;
                    until = until.min(Instant::now() + OUT_OF_SERVICE_WAIT);
                }
            }
        };
        let read = match read {
            Some(read) => Ok(read),
            None => timeout(SOCKET_POLL_TIME, self.fill(READ_BYTES)).await,
        };
        match read {
            Ok(Ok(())) => Awaited::Begun,
            Ok(Err(_)) => Awaited::ClientClosed,
            Err(_) => Awaited::Close(evictable),
        }
    }
}
