//! Limits on the sizes of bodies.

/// Maximum length of a body, of requests and of responses, in bytes.
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// Maximum number of bytes of a body that are buffered, so that a request can be retried and a response is forwarded
/// completely or not at all.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Maximum length of a piece of a body, as it is read from a socket.
pub const MAX_PIECE_BYTES: usize = 16 << 10;
/// Memory for the pieces of a streamed body: those that were read, in the channel, being written and kept by the HTTP
/// client.
pub const STREAMED_PIECES_BYTES: usize = 4 * MAX_PIECE_BYTES;
/// Memory for a request whose body is streamed: its start, buffered up to the piece that exceeds the buffer, and pieces.
pub const STREAMED_REQUEST_BYTES: usize = MAX_BUFFERED_BYTES + MAX_PIECE_BYTES + STREAMED_PIECES_BYTES;
/// Size of the send buffer for a streamed response.
pub const STREAM_SEND_BUFFER_BYTES: usize = 2 * MAX_BUFFERED_BYTES;
