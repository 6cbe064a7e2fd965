//! Whether a client is still connected, as far as its connection shows.
//!
//! A socket with unread bytes may not show it: where the receive window is full, the rest of what the client has sent
//! stays in the client's system, and the end of the connection behind it. Then [`LastSeen`] tells when the client was
//! surely connected, and its connection has to be read on to know more.

mod last_seen;

pub use last_seen::LastSeen;

use crate::io_failure::IoFailure;
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

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

/// For how long a client that was seen passes for connected. No attempt may begin more than 0.1 s after its client has
/// closed; the rest is for the system's clock of received data and for the write.
const RECENT: Duration = Duration::from_millis(60);

/// After the last bytes, how long a socket has to stay empty. What waits for room in the window comes within the round
/// trip to a client on the same machine.
pub const QUIET_TIME: Duration = Duration::from_millis(4);

/// A client's connection, for those that only need to know whether it is closed.
#[derive(Clone)]
pub struct ClientLiveness(Rc<State>);

struct State {
    stream: Rc<TcpStream>,
    last_seen: LastSeen,
    /// Somebody needs to know whether the client is connected.
    verification_wanted: Notify,
    /// The connection was read on.
    verification_done: Notify,
}

impl ClientLiveness {
    /// The liveness of the client at the other end of `stream`, which was not seen yet.
    pub fn of(stream: &Rc<TcpStream>) -> Self {
        Self(Rc::new(State {
            stream: Rc::clone(stream),
            last_seen: LastSeen::default(),
            verification_wanted: Notify::new(),
            verification_done: Notify::new(),
        }))
    }

    /// When the client was last seen.
    pub fn last_seen(&self) -> &LastSeen {
        &self.0.last_seen
    }

    /// Whether the client has closed or reset its connection. Asks the socket, as the runtime may not have polled the end
    /// yet, and the runtime, as the end may lie behind unread bytes.
    pub fn is_closed(&self) -> bool {
        let ended = match peek(&self.0.stream) {
            Ok(length) => length == 0,
            Err(failure) => !failure.is_transient(),
        };
        let polled =
            pin!(self.0.stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        ended || matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Whether the client is connected and nothing is unread: no bytes, no end, no reset. The socket shows that at once,
    /// where `is_closed` may have to wait for the next poll to notice an end behind unread bytes.
    pub fn has_nothing_unread(&self) -> bool {
        peek(&self.0.stream) == Err(IoFailure::NotReady)
    }

    /// Whether the client is surely connected, or was within the last moment: nothing is unread that could hide its end,
    /// or it was seen since.
    pub fn is_known_connected(&self) -> bool {
        !self.is_closed() && (self.has_nothing_unread() || self.was_seen_recently())
    }

    /// Whether the client was seen within the last moment.
    pub fn was_seen_recently(&self) -> bool {
        self.0.last_seen.is_within(RECENT, Instant::now())
    }

    /// Waits until the client was seen just now, or has closed its connection. Where unread bytes hide that, whoever
    /// reads from the connection has to take part, see [`Self::wait_for_verification_request`].
    pub async fn wait_until_verified(&self) {
        while !self.is_closed() && !self.was_seen_recently() {
            if self.has_nothing_unread() {
                self.observe_quiet().await;
            } else {
                let done = self.0.verification_done.notified();
                self.0.verification_wanted.notify_one();
                done.await;
            }
        }
    }

    /// Waits for as long as an empty socket has to stay so to show that its client is connected.
    async fn observe_quiet(&self) {
        let bytes_read = self.0.last_seen.bytes_read_in_all();
        sleep(QUIET_TIME).await;
        if self.has_nothing_unread() && self.0.last_seen.bytes_read_in_all() == bytes_read {
            self.0.last_seen.socket_quiet(Instant::now());
        }
    }

    /// Waits until somebody needs to know whether the client is connected, and unread bytes hide it.
    pub async fn wait_for_verification_request(&self) {
        self.0.verification_wanted.notified().await;
    }

    /// Notifies those who wait that the connection was read on.
    pub fn notify_verification_done(&self) {
        self.0.verification_done.notify_waiters();
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
