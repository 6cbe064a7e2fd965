//! The socket of a connection to an endpoint, as the HTTP client sees it.

use crate::io_failure::IoFailure;
use crate::write_progress::WriteProgress;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that writes a request only while the send is permitted, and records the request's progress. It can be
/// examined while hyper owns it.
pub(super) struct GatedStream {
    pub(super) stream: Rc<TcpStream>,
    pub(super) progress: Rc<RefCell<WriteProgress>>,
    /// Whether the socket has accepted all that hyper has buffered.
    pub(super) flushed: Rc<Cell<bool>>,
    /// Whether the peer has closed or reset the connection.
    pub(super) broken: Rc<Cell<bool>>,
}

impl GatedStream {
    /// Records that the socket has accepted the first `length` bytes of the buffers.
    fn record_written(&self, bufs: &[IoSlice<'_>], mut length: usize) {
        let progress = self.progress.borrow();
        for buf in bufs {
            let written = length.min(buf.len());
            if written > 0 {
                progress.record_written(&buf[..written]);
            }
            length -= written;
        }
    }

    /// Ready if the call is to be retried now, or has failed with a final error.
    fn poll_retry(&self, error: io::Error, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match IoFailure::of(&error) {
            IoFailure::NotReady | IoFailure::Interrupted => Poll::Ready(Ok(())),
            // Retried at the task's next poll; the caller limits the time.
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
        // The result of a read into no room, 0, would be taken for the end of the stream.
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(length) => {
                    self.broken.set(length == 0);
                    // The end of the stream is not part of a response.
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
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.flushed.set(false);
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            // This is the only place where requests are written.
            if !self.progress.borrow().may_write() {
                return Poll::Ready(Err(io::Error::other("the send is not permitted any more")));
            }
            match self.stream.try_write_vectored(bufs) {
                Ok(length) => {
                    self.record_written(bufs, length);
                    return Poll::Ready(Ok(length));
                }
                Err(e) => ready!(self.poll_retry(e, cx))?,
            }
        }
    }

    /// With vectored writes hyper keeps a reference to a body, instead of a copy.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called by hyper once its write buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.flushed.set(true);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
