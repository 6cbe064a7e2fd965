//! A client's connection: reading, writing and closing.

use super::timing::REQUEST_TIME;
use crate::body::MAX_BODY_BYTES;
use crate::client_liveness::ClientLiveness;
use crate::connection_age::age_of_received_data;
use crate::io_failure::{IoFailure, RESOURCE_PAUSE};
use crate::metrics::RuleViolation;
use crate::request_lifecycle::RequestLifecycle;
use bytes::{Buf, BufMut, BytesMut};
use hyper::StatusCode;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Bytes that are read at once, but for streamed bodies.
pub(super) const READ_BYTES: usize = 2 << 10;
/// Bytes that are read at once to be dropped.
const DROPPED_READ_BYTES: usize = 4 * READ_BYTES;
/// Most buffers that are written at once: the head of an answer, and a chunk between its size and its end.
const MAX_WRITE_BUFFERS: usize = 4;
/// After the end of what is written, how long a connection is still read: closing it with unread bytes resets it, and
/// the client may lose an answer that it has not read yet.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// How many bytes are still read then.
const LINGER_BYTES: usize = 256 << 10;

/// Why a connection carries no further request.
pub(super) enum RequestError {
    /// The request is rejected with this status, and nothing behind it is looked at.
    Rejected(StatusCode),
    /// The client has closed its connection, or does not read an answer.
    ClientClosed,
}

impl From<io::Error> for RequestError {
    fn from(_: io::Error) -> Self {
        Self::ClientClosed
    }
}

/// A client's connection, and the bytes that were received and not looked at yet.
pub(super) struct Client {
    pub(super) stream: Rc<TcpStream>,
    /// Whether the client is still connected.
    pub(super) liveness: ClientLiveness,
    pub(super) unread: BytesMut,
    /// The last byte read so far came no earlier than this, as the socket was empty then. The time that a request waited
    /// in the socket is part of its client's time.
    pub(super) arrived: Instant,
    /// The end of a body was not read.
    pub(super) body_unfinished: bool,
    /// A request that was read completely, or whose body is being streamed, and whose answer has not begun.
    pub(super) pending: Option<Rc<RequestLifecycle>>,
}

impl Drop for Client {
    fn drop(&mut self) {
        if let Some(lifecycle) = self.pending.take()
            && !self.liveness.is_closed()
        {
            lifecycle.report_violation(RuleViolation::Unanswered);
        }
    }
}

impl Client {
    /// A connection on which nothing came before `not_before`.
    pub(super) fn new(stream: TcpStream, not_before: Instant) -> Self {
        let stream = Rc::new(stream);
        Self {
            liveness: ClientLiveness::of(&stream),
            stream,
            unread: BytesMut::new(),
            arrived: not_before,
            body_unfinished: false,
            pending: None,
        }
    }

    /// Reads what comes, `most` bytes of it. The end of the connection is an error.
    pub(super) async fn fill(&mut self, most: usize) -> io::Result<()> {
        self.unread.reserve(most);
        let last_seen = self.liveness.last_seen();
        loop {
            match self.stream.try_read_buf(&mut (&mut self.unread).limit(most)) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    // More may be unread where it took all of the room.
                    let age = || (length == most).then(|| age_of_received_data(&self.stream)).flatten();
                    last_seen.bytes_read(length, age, Instant::now());
                    return Ok(());
                }
                Err(e) if IoFailure::of(&e) == IoFailure::NotReady => {
                    last_seen.socket_empty(Instant::now());
                    self.stream.readable().await?;
                    self.arrived = Instant::now();
                }
                Err(e) => wait_to_retry(e).await?,
            }
        }
    }

    /// Writes some bytes.
    pub(super) async fn write(&self, bytes: &mut impl Buf) -> io::Result<()> {
        loop {
            self.stream.writable().await?;
            let mut buffers = [IoSlice::new(&[]); MAX_WRITE_BUFFERS];
            let filled = bytes.chunks_vectored(&mut buffers);
            match self.stream.try_write_vectored(&buffers[..filled]) {
                Ok(length) => {
                    bytes.advance(length);
                    return Ok(());
                }
                Err(e) => wait_to_retry(e).await?,
            }
        }
    }

    /// Writes all bytes.
    pub(super) async fn write_all(&self, mut bytes: impl Buf) -> io::Result<()> {
        while bytes.has_remaining() {
            self.write(&mut bytes).await?;
        }
        Ok(())
    }

    /// Closes an idle connection. What comes after the end of what is written may be a request: it is left unread, and
    /// closing resets the connection, so that the client knows and sends it again. Nothing else is lost by that, as
    /// clients send a request only once they have the answer before it.
    pub(super) async fn close_unread(self) {
        let closed = async {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            loop {
                match self.stream.peek(&mut [0]).await {
                    Err(e) => wait_to_retry(e).await?,
                    // The client has closed as well, or has sent something.
                    Ok(_) => return io::Result::Ok(()),
                }
            }
        };
        // However it ends, there is nothing left to do.
        let _ = timeout(LINGER_TIME, closed).await;
    }

    /// Closes a connection after an answer that announced it. Ends what is written and lets the client read it: a reset
    /// could take the answer with it. What comes meanwhile is no request, as the client knows.
    pub(super) async fn close_answered(mut self) {
        let (time, most) =
            if self.body_unfinished { (REQUEST_TIME, MAX_BODY_BYTES) } else { (LINGER_TIME, LINGER_BYTES) };
        let closed = async {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            self.unread = BytesMut::new();
            let mut dropped = 0;
            while dropped < most {
                self.fill(DROPPED_READ_BYTES).await?;
                dropped += self.unread.len();
                self.unread.clear();
            }
            io::Result::Ok(())
        };
        // However it ends, there is nothing left to do.
        let _ = timeout(time, closed).await;
    }
}

/// Waits until a failed call may be retried, or returns a final error.
async fn wait_to_retry(error: io::Error) -> io::Result<()> {
    match IoFailure::of(&error) {
        IoFailure::NotReady | IoFailure::Interrupted => Ok(()),
        IoFailure::Shortage => {
            sleep(RESOURCE_PAUSE).await;
            Ok(())
        }
        IoFailure::Final => Err(error),
    }
}
