//! HTTP/1.1 connections that carry one request at a time. Whoever uses a connection drives it, so that cancelling an
//! attempt (dropping its future) closes the connection, and nothing is written after that.

use crate::body::RequestBody;
use crate::client_liveness::peek;
use crate::io_failure::IoFailure;
use crate::write_progress::WriteProgress;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lotusmoor_balancer::Outcome;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A socket that records the progress of a request, and that can be examined while hyper owns it.
struct GatedStream {
    stream: Rc<TcpStream>,
    progress: Rc<RefCell<WriteProgress>>,
    /// The peer has closed or reset it.
    broken: Rc<Cell<bool>>,
}

impl GatedStream {
    /// Ready if the call is to be retried now.
    fn poll_retry(&self, error: io::Error, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match IoFailure::of(&error) {
            IoFailure::NotReady | IoFailure::Interrupted => Poll::Ready(Ok(())),
            // Retried on the next turn of the runtime; the caller bounds the time.
            IoFailure::Shortage => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            IoFailure::Final => {
                self.broken.set(true);
                Poll::Ready(Err(error))
            }
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(length) => {
                    self.broken.set(length == 0);
                    // The end of the connection is not part of an answer.
                    if length > 0 {
                        self.progress.borrow().record_received();
                    }
                    buf.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(e) => ready!(self.poll_retry(e, cx))?,
            }
        }
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            // This is the only place where requests are written.
            if !self.progress.borrow().may_write() {
                return Poll::Ready(Err(io::Error::other("the send was denied")));
            }
            match self.stream.try_write(buf) {
                Ok(length) => {
                    self.progress.borrow().record_written(&buf[..length]);
                    return Poll::Ready(Ok(length));
                }
                Err(e) => ready!(self.poll_retry(e, cx))?,
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// A socket to connect with. Fails if no descriptor is free.
pub fn socket_for(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }
}

/// The connection ended without an answer.
#[derive(Debug)]
pub struct ConnectionLost;

impl fmt::Display for ConnectionLost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection lost")
    }
}

impl Error for ConnectionLost {}

/// An HTTP/1.1 connection for one request at a time.
pub struct Connection {
    sender: http1::SendRequest<RequestBody>,
    driver: http1::Connection<TokioIo<GatedStream>, RequestBody>,
    ended: bool,
    stream: Rc<TcpStream>,
    progress: Rc<RefCell<WriteProgress>>,
    broken: Rc<Cell<bool>>,
}

impl Connection {
    /// Connects; the caller bounds the time.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::over(socket_for(address)?, address).await
    }

    /// Connects over that socket; the caller bounds the time.
    pub async fn over(socket: TcpSocket, address: SocketAddr) -> io::Result<Self> {
        let stream = Rc::new(socket.connect(address).await?);
        stream.set_nodelay(true)?;
        let progress = Rc::new(RefCell::new(WriteProgress::default()));
        let broken = Rc::new(Cell::new(false));
        let gated = GatedStream {
            stream: Rc::clone(&stream),
            progress: Rc::clone(&progress),
            broken: Rc::clone(&broken),
        };
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(gated));
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        Ok(Self { sender, driver, ended: false, stream, progress, broken })
    }

    /// Whether a request may be written: the peer has neither closed it nor sent anything unasked. Asks the socket itself,
    /// as the runtime may not have polled its end yet.
    pub fn usable(&self) -> bool {
        !self.ended && peek(&self.stream) == Err(IoFailure::NotReady)
    }

    /// Whether the peer has closed or reset it.
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// The outcome of a request that was written and got no usable answer: the connection broke, or the answer is
    /// invalid. An endpoint that sends an invalid answer has not lost its process.
    pub fn failure(&self) -> Outcome {
        if self.broken.get() { Outcome::Reset } else { Outcome::Error }
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn request(
        &mut self,
        request: Request<RequestBody>,
        progress: WriteProgress,
    ) -> Result<Response<Incoming>, ConnectionLost> {
        *self.progress.borrow_mut() = progress;
        let Self { sender, driver, ended, .. } = self;
        let answer = async {
            sender.ready().await?;
            sender.send_request(request).await
        };
        match drive(driver, ended, answer).await {
            Some(Ok(response)) => Ok(response),
            _ => Err(ConnectionLost),
        }
    }

    /// Polls the driver once, so that it notices whether the last answer announced the end of the connection.
    pub async fn turn(&mut self) {
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
        // Polled before and after the driver: the future passes the request to the driver first, and an answer that
        // came with the end of the connection still counts.
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
