//! Finds the end of a request's body, and removes its chunked encoding (RFC 9112 section 7.1).

use super::limits::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use hyper::StatusCode;
use std::num::NonZeroUsize;

/// Maximum length of a chunk-size line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 << 10;
/// Maximum length of the trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 16 << 10;
/// Maximum number of trailers.
const MAX_TRAILERS: usize = 64;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has that length.
    Sized(usize),
    /// The body uses chunked encoding.
    Chunked,
}

impl Framing {
    /// The length, if it is known in advance.
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
    Data(NonZeroUsize),
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
            Framing::Sized(length) => NonZeroUsize::new(length).map_or(Expected::Nothing, Expected::Data),
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

    /// The length of the complete body, if it is known.
    pub fn length(&self) -> Option<usize> {
        self.framing.length()
    }

    /// How many bytes to read from the client without reading past the body, as far as its end is known; `max` at most.
    pub fn max_read_bytes(&self, max: NonZeroUsize) -> NonZeroUsize {
        match (self.framing, &self.expected) {
            (Framing::Sized(_), Expected::Data(left)) => max.min(*left),
            _ => max,
        }
    }

    /// Takes the next piece of the body out of `input`; `None` if more has to be received first, or at the end. Fails
    /// with the status to respond with.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, StatusCode> {
        loop {
            let advanced = match self.expected {
                Expected::ChunkSize => self.chunk_size(input)?,
                Expected::Data(left) => return Ok(self.data(left, input)),
                Expected::ChunkEnd => self.chunk_end(input)?,
                Expected::Trailers => self.trailers(input)?,
                Expected::Nothing => false,
            };
            if !advanced {
                return Ok(None);
            }
        }
    }

    /// Decodes the size of a chunk; returns whether it was complete.
    fn chunk_size(&mut self, input: &mut BytesMut) -> Result<bool, StatusCode> {
        // The parser reads a line without digits as a size of 0.
        if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(StatusCode::BAD_REQUEST);
        }
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((length, size))) => {
                input.advance(length);
                let size = usize::try_from(size).map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
                if size > MAX_BODY_BYTES - self.received {
                    return Err(StatusCode::PAYLOAD_TOO_LARGE);
                }
                self.expected = NonZeroUsize::new(size).map_or(Expected::Trailers, Expected::Data);
                Ok(true)
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_LINE_BYTES => Ok(false),
            _ => Err(StatusCode::BAD_REQUEST),
        }
    }

    fn data(&mut self, left: NonZeroUsize, input: &mut BytesMut) -> Option<Bytes> {
        if input.is_empty() {
            return None;
        }
        // Pieces are forwarded one at a time.
        let piece = input.split_to(left.get().min(input.len()).min(MAX_BUFFERED_BYTES)).freeze();
        self.received += piece.len();
        self.expected = match (NonZeroUsize::new(left.get() - piece.len()), self.framing) {
            (None, Framing::Sized(_)) => Expected::Nothing,
            (None, Framing::Chunked) => Expected::ChunkEnd,
            (Some(left), _) => Expected::Data(left),
        };
        Some(piece)
    }

    /// Decodes the line end after a chunk; returns whether it was complete.
    fn chunk_end(&mut self, input: &mut BytesMut) -> Result<bool, StatusCode> {
        const END: &[u8] = b"\r\n";
        if input.len() < END.len() {
            return Ok(false);
        }
        if !input.starts_with(END) {
            return Err(StatusCode::BAD_REQUEST);
        }
        input.advance(END.len());
        self.expected = Expected::ChunkSize;
        Ok(true)
    }

    /// Discards the trailers, which no receiver has asked for. Returns whether they were complete.
    fn trailers(&mut self, input: &mut BytesMut) -> Result<bool, StatusCode> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILERS];
        match httparse::parse_headers(input, &mut fields) {
            Ok(httparse::Status::Complete((length, _))) => {
                input.advance(length);
                self.expected = Expected::Nothing;
                Ok(true)
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_TRAILER_BYTES => Ok(false),
            _ => Err(StatusCode::BAD_REQUEST),
        }
    }
}

#[cfg(test)]
mod tests;
