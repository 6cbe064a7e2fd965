//! Serves client connections: accepts them, reads one request at a time from each, submits it to the engine and writes
//! the response. Every wait for a client has a time limit, so that no client can hold a connection permit for long.

mod accept;
mod arrival_time;
mod await_request;
mod client;
mod connection;
mod pace;
mod read_ahead;
mod read_request;
mod read_size;
mod reply;
mod serve_request;
mod shared;
mod streaming_body;
mod timing;
mod turn_away;
mod write_reply;

pub use accept::{accept, bind};
pub use shared::InboundContext;
