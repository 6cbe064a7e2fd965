//! A client's connection: reading, writing and closing.

use super::arrival_time::ArrivalTime;
use super::read_size::ReadSize;
use super::timing::REQUEST_READ_TIMEOUT;
use crate::body::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::client_liveness::{ClientLiveness, peek};
use crate::connection_age::age_of_received_data;
use crate::connection_limiter::ConnectionPermit;
use crate::io_failure::{IoFailure, RESOURCE_PAUSE};
use crate::log::{self, log_line};
use crate::metrics::RuleViolation;
use crate::request_lifecycle::RequestLifecycle;
use bytes::{Buf, BufMut, BytesMut};
use hyper::StatusCode;
use socket2::SockRef;
use std::fmt;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Bytes requested by one read, except for streamed bodies.
pub(super) const READ_SIZE: ReadSize = ReadSize::new(2 << 10);
/// How long the next bytes of a body are waited for at a time, so that it shows if this process was held up meanwhile.
const BODY_WAIT_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes requested by one read whose data is discarded.
const DISCARD_READ_SIZE: ReadSize = ReadSize::new(8 << 10);
/// Bytes that are read from a client before other tasks can run. A client that writes as fast as it is read is never
/// waited for. The start of a body that is buffered is read at once, as a connection may be evicted between two reads.
const MAX_READ_WITHOUT_PAUSE: usize = 2 * MAX_BUFFERED_BYTES;
/// Maximum number of buffers in one vectored write: the head of a response, and a chunk between its size line and its
/// line end.
const MAX_WRITE_BUFFERS: usize = 4;
/// How long a connection is still read after its write side is shut down: closing a socket with unread bytes resets the
/// connection, and the client may lose a response that it has not read yet.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// How many bytes are read and discarded in that time.
const LINGER_BYTES: usize = 256 << 10;

/// Why a request failed. Its connection carries no further request.
pub(super) enum RequestError {
    /// The request is rejected with this status, and bytes after it are ignored.
    Rejected(StatusCode),
    /// There was no memory for the request in time. It was not forwarded, and may be sent again.
    NoMemory,
    /// The client's time was over before an endpoint had accepted the whole request.
    DeadlineExceeded,
    /// The process is about to exit. The request was not forwarded, and may be sent again.
    ShutDown,
    /// The client has closed its connection, or does not read its response.
    ClientClosed,
}

impl From<io::Error> for RequestError {
    fn from(_: io::Error) -> Self {
        Self::ClientClosed
    }
}

/// A client's connection, and the received bytes that have not been parsed yet.
pub(super) struct Client {
    /// The only reference that keeps the socket open.
    pub(super) stream: Rc<TcpStream>,
    /// The permit for the socket. Declared after it, and so released only once the socket is closed.
    pub(super) permit: ConnectionPermit,
    /// Whether the client is still connected.
    pub(super) liveness: ClientLiveness,
    pub(super) unparsed: BytesMut,
    /// Bytes read since other tasks could last run.
    read_without_pause: usize,
    /// When the bytes of the request arrived. Deadlines count from there, so that they include the time that a request
    /// waited in the socket.
    pub(super) arrival: ArrivalTime,
    /// The request that is being read waits for memory, not for its client.
    pub(super) waits_for_memory: bool,
    /// The body of the last request was not read to its end.
    pub(super) body_unfinished: bool,
    /// A request that was read completely or whose body is being streamed, and whose response has not begun.
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
    /// A connection on which no data arrived before `not_before`.
    pub(super) fn new(stream: TcpStream, permit: ConnectionPermit, not_before: Instant) -> Self {
        let stream = Rc::new(stream);
        let mut arrival = ArrivalTime::new(not_before);
        arrival.record_wait(Instant::now());
        Self {
            liveness: ClientLiveness::of(&stream),
            stream,
            permit,
            unparsed: BytesMut::new(),
            read_without_pause: 0,
            arrival,
            waits_for_memory: false,
            body_unfinished: false,
            pending: None,
        }
    }

    /// Logs an event of the connection, if the tracing of requests is switched on.
    pub(super) fn trace(&self, event: fmt::Arguments<'_>) {
        if !log::traces_requests() {
            return;
        }
        match self.stream.peer_addr() {
            Ok(address) => log_line!("client at {address}: {event}"),
            Err(_) => log_line!("client that has left: {event}"),
        }
    }

    /// Lets other tasks run if much was read since they last could.
    pub(super) async fn pause_if_due(&mut self) {
        if self.read_without_pause > MAX_READ_WITHOUT_PAUSE {
            self.read_without_pause = 0;
            yield_now().await;
        }
    }

    /// Waits for data and reads up to `max` bytes of it. The end of the stream is an error.
    pub(super) async fn fill(&mut self, max: ReadSize) -> io::Result<()> {
        let last_seen = self.liveness.last_seen();
        loop {
            let room = max.make_room(&mut self.unparsed).get();
            match self.stream.try_read_buf(&mut (&mut self.unparsed).limit(room)) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    // A read that filled the buffer may have left more bytes in the socket.
                    let age = || (length == room).then(|| age_of_received_data(&self.stream)).flatten();
                    let now = Instant::now();
                    last_seen.record_bytes_read(length, age, now);
                    self.arrival.record_read(length, now);
                    if self.arrival.may_hide_close() {
                        last_seen.record_backlog();
                    }
                    self.read_without_pause += length;
                    return Ok(());
                }
                Err(e) if IoFailure::of(&e) == IoFailure::NotReady => {
                    self.read_without_pause = 0;
                    last_seen.record_socket_empty(Instant::now());
                    // A connection that waits for a request holds no buffer. Pieces of a body share what is left of one.
                    if max == READ_SIZE {
                        release_if_empty(&mut self.unparsed);
                    }
                    // The runtime may not have polled the socket since it was accepted, or since this process was held up.
                    if self.arrival.has_paused() && peek(&self.stream) != Err(IoFailure::NotReady) {
                        self.stream.readable().await?;
                        continue;
                    }
                    self.arrival.record_empty(Instant::now());
                    // Between requests the next bytes may come at any time.
                    let until = (max != READ_SIZE).then(|| Instant::now() + BODY_WAIT_INTERVAL);
                    let _waiting = self.arrival.wait_while_empty(until);
                    let readable = self.stream.readable();
                    match until {
                        Some(until) => timeout_at(until, readable).await.unwrap_or(Ok(()))?,
                        None => readable.await?,
                    }
                }
                Err(e) => wait_to_retry(e).await?,
            }
        }
    }

    /// Writes as many bytes as the socket accepts.
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

    /// Closes an idle connection. Bytes that arrive after the write side is shut down may be a request. They are left
    /// unread, so that closing resets the connection and the client knows that it may send the request again. The reset
    /// loses no response, as clients send a request only after they have received the previous response.
    pub(super) async fn close_idle(self) {
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
        // The connection is dropped whatever the result.
        let _ = timeout(LINGER_TIME, closed).await;
    }

    /// Closes a connection after a response that announced the close. Shuts down the write side and keeps reading for a
    /// while, as a reset could make the client lose the response. The bytes read are discarded: after the announcement,
    /// the client does not expect them to be handled as a request.
    pub(super) async fn close_after_response(mut self) {
        let (time, max_bytes) = if self.body_unfinished {
            (REQUEST_READ_TIMEOUT, MAX_BODY_BYTES)
        } else {
            (LINGER_TIME, LINGER_BYTES)
        };
        let closed = async {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            self.unparsed = BytesMut::new();
            let mut discarded = 0;
            while discarded < max_bytes {
                self.fill(DISCARD_READ_SIZE).await?;
                discarded += self.unparsed.len();
                self.unparsed.clear();
                self.pause_if_due().await;
            }
            io::Result::Ok(())
        };
        // The connection is dropped whatever the result.
        let _ = timeout(time, closed).await;
    }
}

/// Frees a buffer without content: a connection that waits has no use for it.
pub(super) fn release_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() {
        *buffer = BytesMut::new();
    }
}

/// Frees what a buffer has room for beyond its content.
pub(super) fn release_spare(buffer: &mut BytesMut) {
    *buffer = BytesMut::from(&buffer[..]);
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
