//! Limits on the sizes of bodies.

/// Longest body, of requests and of answers.
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// As much of a body is buffered, so that a request can be retried and an answer is passed on completely or not at all.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The memory of a streamed body: its buffered start, and the pieces in sockets and the channel.
pub const STREAMING_BYTES: usize = 2 * MAX_BUFFERED_BYTES;
