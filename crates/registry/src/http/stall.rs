//! A connection whose peer must go on: a write that waits for too long ends it, so that a reader that has stopped
//! reading holds no memory and no place.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

pub(super) struct Stall {
    stream: TcpStream,
    patience: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl Stall {
    pub(super) fn new(stream: TcpStream, patience: Duration) -> Self {
        Self { stream, patience, waiting: None }
    }

    /// What a write has come to, unless it has waited for too long.
    fn within<V>(&mut self, cx: &mut Context<'_>, poll: Poll<io::Result<V>>) -> Poll<io::Result<V>> {
        if poll.is_ready() {
            self.waiting = None;
            return poll;
        }
        let patience = self.patience;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(patience)));
        match waiting.as_mut().poll(cx) {
            Poll::Ready(()) => {
                waiting.as_mut().reset(Instant::now() + patience);
                Poll::Ready(Err(ErrorKind::TimedOut.into()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for Stall {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stall {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.within(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(cx);
        self.within(cx, poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.within(cx, poll)
    }
}
