//! Whether a client is still connected, as far as its connection shows.

use crate::io_failure::IoFailure;
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How often a connection is examined while it is not read from: no attempt may begin more than 0.1 s after its client
/// has closed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Peeks at the unread bytes of a connection, up to one; 0 is the end. Retries interrupted calls, so that the result
/// tells something about the connection.
pub fn peek(stream: &TcpStream) -> Result<usize, IoFailure> {
    loop {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(length) => return Ok(length),
            Err(e) => match IoFailure::of(&e) {
                IoFailure::Interrupted => {}
                failure => return Err(failure),
            },
        }
    }
}

/// A client's connection, for those that only need to know whether it is closed.
#[derive(Clone)]
pub struct ClientLiveness(Rc<TcpStream>);

impl ClientLiveness {
    /// The liveness of the client at the other end of `stream`.
    pub fn of(stream: &Rc<TcpStream>) -> Self {
        Self(Rc::clone(stream))
    }

    /// Whether the client has closed or reset its connection. Asks the socket, as the runtime may not have polled the end
    /// yet, and the runtime, as the end may lie behind unread bytes.
    pub fn is_closed(&self) -> bool {
        let ended = match peek(&self.0) {
            Ok(length) => length == 0,
            Err(failure) => !failure.is_transient(),
        };
        let polled = pin!(self.0.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        ended || matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Whether the client is connected and nothing is unread: no bytes, no end, no reset. The socket shows that at once,
    /// where `is_closed` may have to wait for the next poll to notice an end behind unread bytes.
    pub fn is_quiet(&self) -> bool {
        peek(&self.0) == Err(IoFailure::NotReady)
    }

    /// Waits until the client has closed its connection, while nobody reads from it.
    pub async fn closed(&self) {
        while !self.is_closed() {
            sleep(POLL_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests;
