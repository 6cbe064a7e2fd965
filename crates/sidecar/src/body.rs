//! Bodies of requests and responses: how request bodies are framed, and how bodies that are too large to be buffered
//! are streamed.

mod buffer;
mod decoder;
mod limits;
mod stream;

pub use buffer::BodyBuffer;
pub use decoder::{BodyDecoder, Framing};
pub use limits::{
    MAX_BODY_BYTES, MAX_BUFFERED_BYTES, MAX_PIECE_BYTES, STREAM_SEND_BUFFER_BYTES, STREAMED_PIECES_BYTES,
    STREAMED_REQUEST_BYTES,
};
pub use stream::{BodySender, BodyStream, RequestBody, ResponseBody};
