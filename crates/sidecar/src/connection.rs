//! HTTP/1.1 connections that carry one request at a time. No task drives a connection in the background; its user polls
//! it. Cancelling an attempt (dropping its future) therefore closes the connection, and nothing is written after that.
//! A connection at rest is a bare socket: the HTTP client on it, with its buffers, lives for one exchange.

mod gated_stream;

use crate::body::{MAX_PIECE_BYTES, RequestBody};
use crate::client_liveness::peek;
use crate::io_failure::IoFailure;
use crate::metrics::EndpointConnectionEnd;
use crate::write_progress::WriteProgress;
use gated_stream::GatedStream;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Parts};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lotusmoor_balancer::Outcome;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::net::{TcpSocket, TcpStream};

/// Maximum length of a response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = MAX_PIECE_BYTES;

/// Creates a socket to connect to that address. Fails if no descriptor is free.
pub fn socket_for(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }
}

/// The connection ended without a response.
#[derive(Debug)]
pub struct ConnectionLost;

impl fmt::Display for ConnectionLost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection lost")
    }
}

impl Error for ConnectionLost {}

/// A connection at rest, without the buffers of an exchange.
pub struct IdleSocket(TcpStream);

/// What the peer has done on a connection at rest.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing: a request may be written.
    Quiet,
    /// It has sent bytes that belong to no request.
    UnexpectedBytes,
    /// It has closed or reset the connection.
    Closed,
}

impl IdleSocket {
    fn new(stream: TcpStream) -> Option<Self> {
        // The socket still refers to the task that polled it last, and keeps its memory.
        let _ = stream.poll_read_ready(&mut Context::from_waker(Waker::noop()));
        let idle = Self(stream);
        match idle.state() {
            IdleState::Quiet => Some(idle),
            IdleState::UnexpectedBytes => {
                EndpointConnectionEnd::UnexpectedBytes.count();
                None
            }
            IdleState::Closed => None,
        }
    }

    /// Whether a request may be written.
    pub fn usable(&self) -> bool {
        self.state() == IdleState::Quiet
    }

    /// What the peer has done. Checks the socket itself, as the runtime may not have polled a close yet.
    pub fn state(&self) -> IdleState {
        match peek(&self.0) {
            Err(IoFailure::NotReady) => IdleState::Quiet,
            Ok(length) if length > 0 => IdleState::UnexpectedBytes,
            _ => IdleState::Closed,
        }
    }
}

/// An HTTP/1.1 connection for one exchange.
pub struct Connection {
    sender: http1::SendRequest<RequestBody>,
    driver: http1::Connection<TokioIo<GatedStream>, RequestBody>,
    ended: bool,
    stream: Rc<TcpStream>,
    progress: Rc<RefCell<WriteProgress>>,
    flushed: Rc<Cell<bool>>,
    broken: Rc<Cell<bool>>,
}

impl Connection {
    /// Connects; the caller limits the time.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::connect_with(socket_for(address)?, address).await
    }

    /// Connects with that socket; the caller limits the time.
    pub async fn connect_with(socket: TcpSocket, address: SocketAddr) -> io::Result<Self> {
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Self::on(stream).await
    }

    /// Prepares a connection at rest for an exchange.
    pub async fn resume(idle: IdleSocket) -> io::Result<Self> {
        Self::on(idle.0).await
    }

    async fn on(stream: TcpStream) -> io::Result<Self> {
        let stream = Rc::new(stream);
        let progress = Rc::new(RefCell::new(WriteProgress::default()));
        let flushed = Rc::new(Cell::new(true));
        let broken = Rc::new(Cell::new(false));
        let gated = GatedStream {
            stream: Rc::clone(&stream),
            progress: Rc::clone(&progress),
            flushed: Rc::clone(&flushed),
            broken: Rc::clone(&broken),
        };
        let handshake =
            http1::Builder::new().max_buf_size(MAX_RESPONSE_HEAD_BYTES).handshake(TokioIo::new(gated));
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        Ok(Self { sender, driver, ended: false, stream, progress, flushed, broken })
    }

    /// Ends the exchange. Returns the socket if it can carry another one: the request was written and the response
    /// read, both to their ends, and the peer has neither closed the connection nor sent anything else. An endpoint may
    /// respond before the request is complete; the rest of that request would then be written ahead of the next one.
    pub async fn into_idle(mut self) -> Option<IdleSocket> {
        // Polling the driver in the middle of a streamed body would take a piece that another attempt may need.
        if self.progress.borrow().is_partial() {
            return None;
        }
        self.poll_driver().await;
        if self.ended || !self.sender.is_ready() || !self.flushed.get() {
            return None;
        }
        let Self { driver, stream, .. } = self;
        let Parts { io, read_buf, .. } = driver.into_parts();
        drop(io);
        if !read_buf.is_empty() {
            EndpointConnectionEnd::UnexpectedBytes.count();
            return None;
        }
        IdleSocket::new(Rc::into_inner(stream)?)
    }

    /// The local port, which identifies the connection in log lines; 0 if it is not known.
    pub fn local_port(&self) -> u16 {
        self.stream.local_addr().map_or(0, |address| address.port())
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// The outcome of a request that was written and got no usable response: the connection was lost, or the response
    /// is invalid. An invalid response does not mean that the endpoint's process has ended.
    pub fn failure(&self) -> Outcome {
        if self.broken.get() { Outcome::Reset } else { Outcome::Error }
    }

    /// Waits until a request can be sent without a further wait, or the connection has ended.
    pub async fn ready(&mut self) {
        let Self { sender, driver, ended, .. } = self;
        // A connection that has ended fails the request.
        let _ = drive(driver, ended, sender.ready()).await;
    }

    /// Sends a request and waits for the head of its response.
    pub async fn request(
        &mut self,
        request: Request<RequestBody>,
        progress: WriteProgress,
    ) -> Result<Response<Incoming>, ConnectionLost> {
        *self.progress.borrow_mut() = progress;
        let Self { sender, driver, ended, .. } = self;
        let exchange = async {
            sender.ready().await?;
            sender.send_request(request).await
        };
        match drive(driver, ended, exchange).await {
            Some(Ok(response)) => Ok(response),
            _ => Err(ConnectionLost),
        }
    }

    /// Polls the driver once, so that it notices whether the last response announced the close of the connection.
    async fn poll_driver(&mut self) {
        poll_fn(|cx| {
            self.ended = self.ended || Pin::new(&mut self.driver).poll(cx).is_ready();
            Poll::Ready(())
        })
        .await;
    }

    /// Waits for a future that this connection completes; `None` once the connection has ended without that.
    pub async fn drive<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        drive(&mut self.driver, &mut self.ended, future).await
    }
}

async fn drive<T>(
    driver: &mut http1::Connection<TokioIo<GatedStream>, RequestBody>,
    ended: &mut bool,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|cx| {
        // Polled before and after the driver: the future passes the request to the driver first, and a response that
        // arrived together with the end of the connection still counts.
        if let Poll::Ready(value) = future.as_mut().poll(cx) {
            return Poll::Ready(Some(value));
        }
        if !*ended {
            *ended = Pin::new(&mut *driver).poll(cx).is_ready();
        }
        match future.as_mut().poll(cx) {
            Poll::Ready(value) => Poll::Ready(Some(value)),
            Poll::Pending if *ended => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

#[cfg(test)]
mod tests;
