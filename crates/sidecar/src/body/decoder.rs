//! Finds the end of a request's body, and removes its chunked encoding (RFC 9112 section 7.1).

use super::limits::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use hyper::StatusCode;

/// Longest line with the size of a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 4 << 10;
/// Longest trailers.
const MAX_TRAILER_BYTES: usize = 16 << 10;
/// Most trailers.
const MAX_TRAILERS: usize = 64;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has that length.
    Sized(usize),
    /// It is in chunks.
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

/// What the decoder expects next.
enum Expected {
    ChunkSize,
    Data(usize),
    ChunkEnd,
    Trailers,
    Nothing,
}

/// Decodes a body as it is received.
pub struct BodyDecoder {
    framing: Framing,
    expected: Expected,
    received: usize,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let expected = match framing {
            Framing::Sized(0) => Expected::Nothing,
            Framing::Sized(length) => Expected::Data(length),
            Framing::Chunked => Expected::ChunkSize,
        };
        Self { framing, expected, received: 0 }
    }

    /// Whether the body has ended.
    pub fn ended(&self) -> bool {
        matches!(self.expected, Expected::Nothing)
    }

    /// Bytes of the body decoded so far.
    pub fn received(&self) -> usize {
        self.received
    }

    /// The length of the complete body, where it is known.
    pub fn length(&self) -> Option<usize> {
        self.framing.length()
    }

    /// How much can be read from the client without going past the body, as far as that is known; `most` at the most.
    pub fn wanted(&self, most: usize) -> usize {
        match (self.framing, &self.expected) {
            (Framing::Sized(_), Expected::Data(left)) => most.min(*left),
            _ => most,
        }
    }

    /// Takes the next piece of the body out of `unread`; `None` where more has to be received first, or at the end. Fails
    /// with the status to answer with.
    pub fn decode(&mut self, unread: &mut BytesMut) -> Result<Option<Bytes>, StatusCode> {
        loop {
            let advanced = match self.expected {
                Expected::ChunkSize => self.chunk_size(unread)?,
                Expected::Data(left) => return Ok(self.data(left, unread)),
                Expected::ChunkEnd => self.chunk_end(unread)?,
                Expected::Trailers => self.trailers(unread)?,
                Expected::Nothing => false,
            };
            if !advanced {
                return Ok(None);
            }
        }
    }

    /// Returns whether the size was complete.
    fn chunk_size(&mut self, unread: &mut BytesMut) -> Result<bool, StatusCode> {
        // The parser would take a line without digits for a size of 0.
        if unread.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(StatusCode::BAD_REQUEST);
        }
        match httparse::parse_chunk_size(unread) {
            Ok(httparse::Status::Complete((length, size))) => {
                unread.advance(length);
                let size = usize::try_from(size).map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
                if size > MAX_BODY_BYTES - self.received {
                    return Err(StatusCode::PAYLOAD_TOO_LARGE);
                }
                self.expected = if size == 0 { Expected::Trailers } else { Expected::Data(size) };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if unread.len() <= MAX_CHUNK_LINE_BYTES => Ok(false),
            _ => Err(StatusCode::BAD_REQUEST),
        }
    }

    fn data(&mut self, left: usize, unread: &mut BytesMut) -> Option<Bytes> {
        if unread.is_empty() {
            return None;
        }
        // A larger piece would take a slow endpoint longer than a piece may take.
        let piece = unread.split_to(left.min(unread.len()).min(MAX_BUFFERED_BYTES)).freeze();
        self.received += piece.len();
        self.expected = match (left - piece.len(), self.framing) {
            (0, Framing::Sized(_)) => Expected::Nothing,
            (0, Framing::Chunked) => Expected::ChunkEnd,
            (left, _) => Expected::Data(left),
        };
        Some(piece)
    }

    /// Returns whether the end of the chunk was complete.
    fn chunk_end(&mut self, unread: &mut BytesMut) -> Result<bool, StatusCode> {
        const END: &[u8] = b"\r\n";
        if unread.len() < END.len() {
            return Ok(false);
        }
        if !unread.starts_with(END) {
            return Err(StatusCode::BAD_REQUEST);
        }
        unread.advance(END.len());
        self.expected = Expected::ChunkSize;
        Ok(true)
    }

    /// Drops the trailers, which no receiver has asked for. Returns whether they were complete.
    fn trailers(&mut self, unread: &mut BytesMut) -> Result<bool, StatusCode> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILERS];
        match httparse::parse_headers(unread, &mut fields) {
            Ok(httparse::Status::Complete((length, _))) => {
                unread.advance(length);
                self.expected = Expected::Nothing;
                Ok(true)
            }
            Ok(httparse::Status::Partial) if unread.len() <= MAX_TRAILER_BYTES => Ok(false),
            _ => Err(StatusCode::BAD_REQUEST),
        }
    }
}

#[cfg(test)]
mod tests;
