//! A connection with a write timeout, so that a client that stops reading does not occupy a connection and memory for
//! ever.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// A connection whose writes fail when they block for too long.
pub(super) struct WriteTimeout {
    stream: TcpStream,
    timeout: Duration,
    deadline: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeout {
    pub(super) fn new(stream: TcpStream, timeout: Duration) -> Self {
        Self { stream, timeout, deadline: None }
    }

    /// Returns the result of a write, or an error if writes have been pending for longer than the timeout.
    fn or_timeout<V>(&mut self, cx: &mut Context<'_>, poll: Poll<io::Result<V>>) -> Poll<io::Result<V>> {
        if poll.is_ready() {
            self.deadline = None;
            return poll;
        }
        let timeout = self.timeout;
        let deadline = self.deadline.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match deadline.as_mut().poll(cx) {
            Poll::Ready(()) => {
                deadline.as_mut().reset(Instant::now() + timeout);
                Poll::Ready(Err(ErrorKind::TimedOut.into()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.or_timeout(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(cx);
        self.or_timeout(cx, poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.or_timeout(cx, poll)
    }
}
