//! Waits for the first byte of a request.

use super::client::{Client, READ_SIZE};
use super::shared::InboundContext;
use super::timing::SOCKET_POLL_TIME;
use crate::connection_limiter::{EvictableConnection, WaitState};
use crate::service_state::{ServiceState, aborting};
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// How long to wait for the first request of a new connection while out of service.
const OUT_OF_SERVICE_WAIT: Duration = Duration::from_millis(500);

/// How a wait for a request ended.
pub(super) enum WaitOutcome {
    /// The request's first byte was received.
    RequestBegun,
    /// The client has closed its connection.
    ClientClosed,
    /// No request was received, and the connection has to be closed. While the contained value is held, the connection
    /// stays marked as evictable, and no other one is evicted in its place.
    Close(EvictableConnection),
}

impl Client {
    /// Waits for the first byte of a request. Before a connection is closed, for whatever reason, it is read once more
    /// in case a request has just arrived. While out of service, idle connections are closed at once; a new connection
    /// still gets the response to its first request.
    pub(super) async fn await_request(
        &mut self,
        is_new: bool,
        mut until: Instant,
        context: &InboundContext,
    ) -> WaitOutcome {
        if !self.unparsed.is_empty() {
            return WaitOutcome::RequestBegun;
        }
        let evictable = self.permit.evictable(if is_new { WaitState::New } else { WaitState::Used });
        let mut service = context.service.clone();
        let mut serving = *service.borrow_and_update() == ServiceState::Serving;
        if !serving {
            until = until.min(Instant::now() + OUT_OF_SERVICE_WAIT);
        }
        let read = loop {
            tokio::select! {
                biased;
                read = self.fill(READ_SIZE) => break Some(read),
                () = evictable.evicted() => break None,
                () = sleep_until(until) => break None,
                () = aborting(&context.service) => break None,
                _ = service.changed(), if serving => {
                    if !is_new {
                        break None;
                    }
                    serving = false;
                    until = until.min(Instant::now() + OUT_OF_SERVICE_WAIT);
                }
            }
        };
        let read = match read {
            Some(read) => Ok(read),
            None => timeout(SOCKET_POLL_TIME, self.fill(READ_SIZE)).await,
        };
        match read {
            Ok(Ok(())) => WaitOutcome::RequestBegun,
            Ok(Err(_)) => WaitOutcome::ClientClosed,
            Err(_) => WaitOutcome::Close(evictable),
        }
    }
}
