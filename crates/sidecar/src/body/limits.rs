//! Limits on the sizes of bodies.

/// Maximum length of a body, of requests and of responses, in bytes.
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// Maximum number of bytes of a body that are buffered, so that a request can be retried and a response is forwarded
/// completely or not at all.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Maximum length of a piece of a body, as it is read from a socket.
pub const MAX_PIECE_BYTES: usize = 16 << 10;
/// Memory for a streamed body: its buffered start, and the pieces in sockets and the channel.
pub const STREAMING_BYTES: usize = 2 * MAX_BUFFERED_BYTES;
