//! A buffer for a body, or the start of one, that takes little more memory than its content.

use super::limits::{MAX_BUFFERED_BYTES, MAX_PIECE_BYTES};
use bytes::Bytes;

/// Maximum capacity: a body is buffered up to the piece that exceeds [`MAX_BUFFERED_BYTES`].
const MAX_CAPACITY: usize = MAX_BUFFERED_BYTES + MAX_PIECE_BYTES;

/// A buffer that grows by doubling, but to no more than a buffered body can take.
pub struct BodyBuffer(Vec<u8>);

impl BodyBuffer {
    /// Creates a buffer with room for that many bytes.
    pub fn with_capacity(bytes: usize) -> Self {
        Self(Vec::with_capacity(bytes))
    }

    /// Appends a piece.
    pub fn append(&mut self, piece: &[u8]) {
        let needed = self.0.len() + piece.len();
        if needed > self.0.capacity() {
            let capacity = (2 * self.0.capacity()).min(MAX_CAPACITY).max(needed);
            self.0.reserve_exact(capacity - self.0.len());
        }
        self.0.extend_from_slice(piece);
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the buffer has no content.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The content.
    pub fn into_bytes(self) -> Bytes {
        self.0.into()
    }
}

#[cfg(test)]
mod tests;
