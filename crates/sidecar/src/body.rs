//! Bodies that are too large to be kept: how those of clients are framed, and how they and answers flow.

use crate::write_progress::WriteProgress;
use bytes::{Buf, Bytes, BytesMut};
use hyper::StatusCode;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Longest body, of requests and of answers.
pub const LONGEST_BODY: usize = 32 << 20;
/// As much of one is kept, so that a request can go out again and an answer is passed on whole or not at all.
pub const KEPT: usize = 64 << 10;
/// The memory of one that flows: what is kept, and the pieces that sockets and the channel hold.
pub const FLOWING: usize = 2 * KEPT;
/// Longest line with the size of a chunk, and longest trailers.
const LONGEST_LINE: usize = 4 << 10;
const LONGEST_TRAILERS: usize = 16 << 10;
const MOST_TRAILERS: usize = 64;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has that length.
    Sized(usize),
    /// It comes in chunks.
    Chunked,
}

impl Framing {
    /// The length, where it is known ahead.
    pub fn length(self) -> Option<usize> {
        match self {
            Self::Sized(length) => Some(length),
            Self::Chunked => None,
        }
    }
}

/// Where in a body its reader is.
enum At {
    ChunkSize,
    Data(usize),
    ChunkEnd,
    Trailers,
    End,
}

/// Takes a body apart as it comes.
pub struct Reader {
    framing: Framing,
    at: At,
    received: usize,
}

impl Reader {
    /// At the start of a body.
    pub fn new(framing: Framing) -> Self {
        let at = match framing {
            Framing::Sized(0) => At::End,
            Framing::Sized(length) => At::Data(length),
            Framing::Chunked => At::ChunkSize,
        };
        Self { framing, at, received: 0 }
    }

    /// All of it has been taken.
    pub fn ended(&self) -> bool {
        matches!(self.at, At::End)
    }

    /// Bytes of the body taken so far.
    pub fn received(&self) -> usize {
        self.received
    }

    /// The length of the whole, where it is known.
    pub fn length(&self) -> Option<usize> {
        self.framing.length()
    }

    /// How much more can be read from the client without going past the body, as far as that is known.
    pub fn wants(&self, most: usize) -> usize {
        match (self.framing, &self.at) {
            (Framing::Sized(_), At::Data(left)) => most.min(*left),
            _ => most,
        }
    }

    /// The next piece of the body out of what has come in; `None` where more has to come first, or at the end.
    pub fn take(&mut self, unread: &mut BytesMut) -> Result<Option<Bytes>, StatusCode> {
        loop {
            match self.at {
                // A line without digits would pass for a size of 0.
                At::ChunkSize if unread.first().is_some_and(|b| !b.is_ascii_hexdigit()) => {
                    return Err(StatusCode::BAD_REQUEST);
                }
                At::ChunkSize => match httparse::parse_chunk_size(unread) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        unread.advance(length);
                        let size = usize::try_from(size).map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
                        if size > LONGEST_BODY - self.received {
                            return Err(StatusCode::PAYLOAD_TOO_LARGE);
                        }
                        self.at = if size == 0 { At::Trailers } else { At::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if unread.len() <= LONGEST_LINE => return Ok(None),
                    _ => return Err(StatusCode::BAD_REQUEST),
                },
                At::Data(_) if unread.is_empty() => return Ok(None),
                At::Data(left) => {
                    let piece = unread.split_to(left.min(unread.len())).freeze();
                    self.received += piece.len();
                    self.at = match (left - piece.len(), self.framing) {
                        (0, Framing::Sized(_)) => At::End,
                        (0, Framing::Chunked) => At::ChunkEnd,
                        (left, _) => At::Data(left),
                    };
                    return Ok(Some(piece));
                }
                At::ChunkEnd if unread.len() < 2 => return Ok(None),
                At::ChunkEnd if unread.starts_with(b"\r\n") => {
                    unread.advance(2);
                    self.at = At::ChunkSize;
                }
                At::ChunkEnd => return Err(StatusCode::BAD_REQUEST),
                At::Trailers => {
                    let mut fields = [httparse::EMPTY_HEADER; MOST_TRAILERS];
                    match httparse::parse_headers(unread, &mut fields) {
                        // They belong to this connection's framing: nobody behind it has asked for them.
                        Ok(httparse::Status::Complete((length, _))) => {
                            unread.advance(length);
                            self.at = At::End;
                        }
                        Ok(httparse::Status::Partial) if unread.len() <= LONGEST_TRAILERS => return Ok(None),
                        _ => return Err(StatusCode::BAD_REQUEST),
                    }
                }
                At::End => return Ok(None),
            }
        }
    }
}

/// The rest of a request's body, which flows on from its client.
#[derive(Clone)]
pub struct Rest {
    pieces: Rc<RefCell<mpsc::Receiver<Bytes>>>,
    length: Option<usize>,
    /// The client has sent all of it.
    whole: Rc<Cell<bool>>,
    /// Some of it is gone to an endpoint, and can't go to another.
    taken: Rc<Cell<bool>>,
}

/// Where the client's side puts it.
pub struct Feed {
    pieces: mpsc::Sender<Bytes>,
    whole: Rc<Cell<bool>>,
}

impl Feed {
    /// Waits until the endpoint's side has room for a further piece; whether it is still there.
    pub async fn put(&self, piece: Bytes) -> bool {
        self.pieces.send(piece).await.is_ok()
    }

    /// That was all of it.
    pub fn end(self) {
        self.whole.set(true);
    }
}

impl Rest {
    /// Of a body that is so long as a whole, where that is known; and what it is fed by.
    pub fn new(length: Option<usize>) -> (Feed, Self) {
        let (sender, receiver) = mpsc::channel(1);
        let whole = Rc::new(Cell::new(false));
        let pieces = Rc::new(RefCell::new(receiver));
        let feed = Feed { pieces: sender, whole: Rc::clone(&whole) };
        (feed, Self { pieces, length, whole, taken: Rc::default() })
    }

    /// Whether the body can't go out again.
    pub fn spent(&self) -> bool {
        self.taken.get()
    }

    /// The length of the whole body, where it is known.
    pub fn length(&self) -> Option<usize> {
        self.length
    }
}

/// The body of one attempt.
pub struct Outbound {
    kept: Bytes,
    rest: Option<Rest>,
    progress: WriteProgress,
}

impl Outbound {
    /// What is kept of a body, and the rest that flows behind it.
    pub fn new(kept: Bytes, rest: Option<Rest>, progress: WriteProgress) -> Self {
        Self { kept, rest, progress }
    }
}

/// The client broke off.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body broke off")
    }
}
impl std::error::Error for Broken {}

impl Body for Outbound {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if !self.kept.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.kept)))));
        }
        let Some(rest) = &self.rest else { return Poll::Ready(None) };
        let next = ready!(rest.pieces.borrow_mut().poll_recv(cx));
        Poll::Ready(match next {
            Some(piece) => {
                rest.taken.set(true);
                Some(Ok(Frame::data(piece)))
            }
            None if rest.whole.get() => {
                // Where its length was not known, this is where it ends.
                self.progress.ends();
                None
            }
            None => Some(Err(Broken)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.kept.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            None => SizeHint::with_exact(self.kept.len() as u64),
            Some(rest) => {
                rest.length.map_or_else(SizeHint::new, |length| SizeHint::with_exact(length as u64))
            }
        }
    }
}

/// A body on its way to a client: what is there of it, and the rest where it flows.
pub struct Inbound {
    /// The first of it, or all.
    pub first: Bytes,
    /// The pieces that follow. An empty one says that it was whole; without that it broke off.
    pub rest: Option<mpsc::Receiver<Bytes>>,
    /// The length of the whole, where it is known.
    pub length: Option<usize>,
}

impl Inbound {
    /// One that is all there.
    pub fn whole(body: Bytes) -> Self {
        Self { length: Some(body.len()), first: body, rest: None }
    }
}

#[cfg(test)]
mod tests;
