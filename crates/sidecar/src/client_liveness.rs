//! Whether a client is still connected, as far as its connection shows.
//!
//! While bytes are unread, a socket may not show that its client has closed: if the receive window is full, the rest of
//! what the client has sent stays in the client's kernel, and the FIN behind it. [`LastSeen`] then tells when the
//! client was last known to be connected, and more has to be read from the connection to know whether it still is. Where the
//! window has been full for a while, an empty socket shows nothing by itself: on a link with delay the rest may be under way.
//!
//! What asks for a client's liveness does not keep its socket open: attempts may run on for long after their client has
//! left, and the socket's descriptor and permit are then those of the next client.

mod last_seen;

pub use last_seen::LastSeen;

use crate::io_failure::IoFailure;
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// How often a connection is examined while it is not read from: no attempt may begin more than 0.1 s after its client
/// has closed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Peeks at up to one unread byte of a connection; 0 is the end of the stream. Interrupted calls are retried, so that
/// the result always tells something about the connection.
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

/// How long a client that was seen counts as connected. No attempt may begin more than 0.1 s after its client has
/// closed; the difference allows for the granularity of the kernel's receive times and for the write.
const MAX_LAST_SEEN_AGE: Duration = Duration::from_millis(60);

/// How long a socket has to stay empty after a read to show that the client has no data that waits for room in the receive
/// window, if the window was not full for long: such data would arrive within the round trip to a client on the same machine.
pub const QUIET_TIME: Duration = Duration::from_millis(4);

/// The liveness of a client, for code that only needs to know whether its connection is closed.
#[derive(Clone)]
pub struct ClientLiveness(Rc<State>);

struct State {
    /// Open for as long as the client's connection is served.
    stream: Weak<TcpStream>,
    last_seen: LastSeen,
    /// Notified when an attempt needs to know whether the client is connected.
    verification_wanted: Notify,
    /// Notified when more of the connection has been read.
    verification_done: Notify,
}

impl ClientLiveness {
    /// The liveness of the client at the other end of `stream`, which has not been seen yet.
    pub fn of(stream: &Rc<TcpStream>) -> Self {
        Self(Rc::new(State {
            stream: Rc::downgrade(stream),
            last_seen: LastSeen::default(),
            verification_wanted: Notify::new(),
            verification_done: Notify::new(),
        }))
    }

    /// When the client was last known to be connected.
    pub fn last_seen(&self) -> &LastSeen {
        &self.0.last_seen
    }

    /// Whether the connection is closed or reset, by its client or by this process. Checks the socket, as the runtime may
    /// not have polled the FIN yet, and the runtime's readiness, as the FIN may be behind unread bytes.
    pub fn is_closed(&self) -> bool {
        let Some(stream) = self.0.stream.upgrade() else { return true };
        let ended = match peek(&stream) {
            Ok(length) => length == 0,
            Err(failure) => !failure.is_transient(),
        };
        let polled = pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        ended || matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Whether the client is connected and nothing is unread: no bytes, no FIN, no reset. The socket shows that at
    /// once, whereas `is_closed` may notice a FIN behind unread bytes only after the runtime's next poll.
    pub fn has_nothing_unread(&self) -> bool {
        self.0.stream.upgrade().is_some_and(|stream| peek(&stream) == Err(IoFailure::NotReady))
    }

    /// Whether the client is connected for certain, or was a moment ago (`MAX_LAST_SEEN_AGE`): either nothing is unread
    /// or on its way that could hide a FIN, or the client was seen recently.
    pub fn is_known_connected(&self) -> bool {
        let nothing_hides_close = !self.0.last_seen.is_backlogged() && self.has_nothing_unread();
        !self.is_closed() && (nothing_hides_close || self.was_seen_recently())
    }

    /// Whether the client was seen within `MAX_LAST_SEEN_AGE`.
    pub fn was_seen_recently(&self) -> bool {
        self.0.last_seen.is_within(MAX_LAST_SEEN_AGE, Instant::now())
    }

    /// Waits until the client was seen recently or has closed its connection. While unread bytes hide that, the task
    /// that reads from the connection has to take part, see [`Self::wait_for_verification_request`].
    pub async fn wait_until_verified(&self) {
        while !self.is_closed() && !self.was_seen_recently() {
            if self.has_nothing_unread() {
                self.wait_for_quiet().await;
            } else {
                let done = self.0.verification_done.notified();
                self.0.verification_wanted.notify_one();
                done.await;
            }
        }
    }

    /// Waits for as long as the socket has to stay empty; if it did, records the client as seen.
    async fn wait_for_quiet(&self) {
        let bytes_read = self.0.last_seen.total_bytes_read();
        sleep(self.0.last_seen.quiet_time()).await;
        if self.has_nothing_unread() && self.0.last_seen.total_bytes_read() == bytes_read {
            self.0.last_seen.record_socket_quiet(Instant::now());
        }
    }

    /// Waits until an attempt needs to know whether the client is connected while unread bytes hide it.
    pub async fn wait_for_verification_request(&self) {
        self.0.verification_wanted.notified().await;
    }

    /// Notifies the waiting attempts that more of the connection has been read.
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
