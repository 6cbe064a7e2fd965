//! How many bytes a read from a socket requests, which is never none: the result of a read of no bytes, 0, would be taken
//! for the end of the stream.

use bytes::BytesMut;
use std::num::NonZeroUsize;

/// A read requests at least 1 / `MIN_READ_DIVISOR` of the bytes that it may request.
const MIN_READ_DIVISOR: usize = 4;

/// The maximum number of bytes that a read requests; at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReadSize(NonZeroUsize);

impl ReadSize {
    /// A size that is known when the program is built, where 0 is an error.
    pub(super) const fn new(bytes: usize) -> Self {
        Self(NonZeroUsize::new(bytes).expect("a read requests at least one byte"))
    }

    /// Makes room in a buffer for a read of up to this size; returns how many bytes to read. What is left in the
    /// allocation is used up first, as pieces that were split off keep all of it.
    pub(super) fn make_room(self, buffer: &mut BytesMut) -> NonZeroUsize {
        let spare = buffer.capacity() - buffer.len();
        let min = self.0.get().div_ceil(MIN_READ_DIVISOR);
        if let Some(spare) = NonZeroUsize::new(spare).filter(|spare| spare.get() >= min) {
            return spare.min(self.0);
        }
        buffer.reserve(self.0.get());
        self.0
    }
}

impl From<NonZeroUsize> for ReadSize {
    fn from(bytes: NonZeroUsize) -> Self {
        Self(bytes)
    }
}

#[cfg(test)]
mod tests;
