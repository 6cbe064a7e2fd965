//! Whether a client is still there, as far as its connection tells.

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

/// From one look to the next while nothing is read: no attempt may begin more than 0.1 s after its client has left.
const LOOK: Duration = Duration::from_millis(50);

/// Looks at a byte that lies unread on a connection, if there is one: 0 at its end. One place, as the call may be
/// interrupted, and who asks wants to know of the connection.
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

/// A client's connection, looked at for its end by those that only want to know that.
#[derive(Clone)]
pub struct ClientLiveness(Rc<TcpStream>);

impl ClientLiveness {
    /// At the other end of that.
    pub fn of(stream: &Rc<TcpStream>) -> Self {
        Self(Rc::clone(stream))
    }

    /// Whether the client has closed or reset its connection. Asks the socket itself, as the news may not have been
    /// polled yet, and what was polled, as the end may lie behind bytes that nobody has read.
    pub fn left(&self) -> bool {
        let ended = match self.peek() {
            Ok(length) => length == 0,
            Err(failure) => !failure.is_transient(),
        };
        let polled = pin!(self.0.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        ended || matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Whether nothing at all has come that nobody has read: no bytes, no end, no reset. The socket itself tells, at
    /// once, where `left` may have to wait for the next poll to learn of an end that lies behind bytes.
    pub fn quiet(&self) -> bool {
        self.peek() == Err(IoFailure::NotReady)
    }

    fn peek(&self) -> Result<usize, IoFailure> {
        peek(&self.0)
    }

    /// Waits until the client has left, while nobody reads what it sends.
    pub async fn gone(&self) {
        while !self.left() {
            sleep(LOOK).await;
        }
    }
}

#[cfg(test)]
mod tests;
