//! Bodies that are sent between a client and an endpoint, and the channels through which they are streamed.

use crate::write_progress::WriteProgress;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::{Notify, mpsc};

/// The rest of a request's body, streamed from its client. The body of the latest attempt is its only reader.
#[derive(Clone)]
pub struct BodyStream {
    pieces: Rc<RefCell<mpsc::Receiver<Bytes>>>,
    length: Option<usize>,
    /// Whether the client has sent all of it.
    complete: Rc<Cell<bool>>,
    /// Whether some of it was sent to an endpoint, so that it can't be sent to another.
    consumed: Rc<Cell<bool>>,
    /// Number of readers so far; the last one may read.
    readers: Rc<Cell<usize>>,
    /// Notified when the sender is dropped.
    sender_dropped: Rc<Notify>,
}

/// The sending end of a [`BodyStream`], on the side of the client.
pub struct BodySender {
    pieces: mpsc::Sender<Bytes>,
    complete: Rc<Cell<bool>>,
    dropped: Rc<Notify>,
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.dropped.notify_waiters();
    }
}

impl BodySender {
    /// Waits until the endpoint accepts a further piece; returns false if the endpoint's side is gone.
    pub async fn send(&self, piece: Bytes) -> bool {
        self.pieces.send(piece).await.is_ok()
    }

    /// Marks the body as complete, which ends the stream.
    pub fn finish(self) {
        self.complete.set(true);
    }
}

impl BodyStream {
    /// Creates a stream for the rest of a body, and its sender. `length` is that of the complete body, if it is known.
    pub fn new(length: Option<usize>) -> (BodySender, Self) {
        // The channel holds one piece, so that the client's body is read no faster than the endpoint accepts it.
        let (sender, receiver) = mpsc::channel(1);
        let complete = Rc::new(Cell::new(false));
        let pieces = Rc::new(RefCell::new(receiver));
        let sender_dropped = Rc::new(Notify::new());
        let (body_complete, dropped) = (Rc::clone(&complete), Rc::clone(&sender_dropped));
        let body_sender = BodySender { pieces: sender, complete: body_complete, dropped };
        let (consumed, readers) = Default::default();
        (body_sender, Self { pieces, length, complete, consumed, readers, sender_dropped })
    }

    /// Whether the client's side gave the body up before its end.
    pub fn is_abandoned(&self) -> bool {
        self.pieces.borrow().is_closed() && !self.complete.get()
    }

    /// Waits until the client's side gives the body up; never returns for a complete body.
    pub async fn abandoned(&self) {
        while !self.is_abandoned() {
            self.sender_dropped.notified().await;
        }
    }

    /// Makes the caller the only reader. Fails if some was sent already: the rest does not follow a body's start then.
    fn new_reader(self) -> Result<BodyStreamReader, BodyConsumed> {
        if self.is_consumed() {
            return Err(BodyConsumed);
        }
        let number = self.readers.get() + 1;
        self.readers.set(number);
        Ok(BodyStreamReader { stream: self, number })
    }

    /// Whether some of it was sent, so that the request can't be retried.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// The length of the complete body, if it is known.
    pub fn length(&self) -> Option<usize> {
        self.length
    }
}

/// The reading end of a [`BodyStream`], for one attempt.
struct BodyStreamReader {
    stream: BodyStream,
    number: usize,
}

impl BodyStreamReader {
    /// Takes the next piece; `None` at the end of the body.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyIncomplete>> {
        if self.number != self.stream.readers.get() {
            return Poll::Ready(Err(BodyIncomplete));
        }
        let next = ready!(self.stream.pieces.borrow_mut().poll_recv(cx));
        Poll::Ready(match next {
            Some(piece) => {
                self.stream.consumed.set(true);
                Ok(Some(piece))
            }
            None if self.stream.complete.get() => Ok(None),
            None => Err(BodyIncomplete),
        })
    }
}

/// The request body of one attempt.
pub struct RequestBody {
    buffered: Bytes,
    rest: Option<BodyStreamReader>,
    progress: WriteProgress,
}

impl RequestBody {
    /// An empty body.
    pub fn empty() -> Self {
        Self { buffered: Bytes::new(), rest: None, progress: WriteProgress::default() }
    }

    /// Creates a body from its buffered start, and the rest if it is streamed. Bodies of earlier attempts can't read the
    /// rest any more.
    pub fn new(
        buffered: Bytes,
        rest: Option<BodyStream>,
        progress: WriteProgress,
    ) -> Result<Self, BodyConsumed> {
        let rest = rest.map(BodyStream::new_reader).transpose()?;
        Ok(Self { buffered, rest, progress })
    }
}

/// Some of a streamed body was sent already, so it can't be sent again.
#[derive(Debug)]
pub struct BodyConsumed;

/// The client stopped sending in the middle of its body, or a later attempt reads it.
#[derive(Debug)]
pub struct BodyIncomplete;

impl fmt::Display for BodyIncomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the complete body is not available")
    }
}

impl Error for BodyIncomplete {}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyIncomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyIncomplete>>> {
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.buffered)))));
        }
        let Some(rest) = &self.rest else { return Poll::Ready(None) };
        let next = ready!(rest.poll_next(cx));
        if let Ok(None) = next {
            // For a body of unknown length, the terminating chunk is written next: the request may run from now on.
            self.progress.record_body_end();
        }
        Poll::Ready(next.transpose().map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            None => SizeHint::with_exact(self.buffered.len() as u64),
            Some(rest) => {
                rest.stream.length.map_or_else(SizeHint::new, |length| SizeHint::with_exact(length as u64))
            }
        }
    }
}

/// The body of a response to a client: its buffered start, and the rest if it is streamed.
pub struct ResponseBody {
    /// The start, or all of it.
    pub first: Bytes,
    /// The pieces that follow. An empty piece marks the end; if the channel closes without one, the body is incomplete.
    pub rest: Option<mpsc::Receiver<Bytes>>,
    /// The length of the complete body, if it is known.
    pub length: Option<usize>,
}

impl ResponseBody {
    /// A body that is completely buffered.
    pub fn buffered(body: Bytes) -> Self {
        Self { length: Some(body.len()), first: body, rest: None }
    }
}

#[cfg(test)]
mod tests;
