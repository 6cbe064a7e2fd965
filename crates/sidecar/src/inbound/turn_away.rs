//! Turns connections away that can't be served in time.

use super::reply::Reply;
use crate::io_failure::IoFailure;
use crate::metrics::{ConnectionEnd, RequestOutcome};
use hyper::StatusCode;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Bytes requested by one read.
const READ_BYTES: usize = 16 << 10;
/// Bytes that are read before the answer. A client with more to send has hardly sent its last byte yet.
const MAX_READ_BYTES: usize = 4 << 20;

/// Answers a connection that has sent something with 503, which promises that no request was processed. What it has sent is
/// read and discarded: closing a socket with unread bytes resets it, and the client may lose the answer. A connection
/// that has sent nothing can be closed without an answer. Does not wait; the caller closes the connection.
pub(super) fn turn_away(stream: &TcpStream) {
    ConnectionEnd::TurnedAway.count();
    // The runtime may not have polled the socket yet.
    let socket = SockRef::from(stream);
    if discard_received(&socket) > 0 {
        RequestOutcome::NoPermit.count();
        let head = Reply::without_body(StatusCode::SERVICE_UNAVAILABLE).head(false);
        // A new connection has room for it, unless its client has closed it.
        let _ = retry_if_interrupted(|| socket.send(&head));
    }
}

/// Reads and discards what was received; returns how many bytes.
fn discard_received(socket: &SockRef<'_>) -> usize {
    let mut buffer = [MaybeUninit::uninit(); READ_BYTES];
    let mut received = 0;
    while received < MAX_READ_BYTES {
        match retry_if_interrupted(|| socket.recv(&mut buffer)) {
            Ok(length) if length > 0 => received += length,
            _ => break,
        }
    }
    received
}

fn retry_if_interrupted(mut call: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    loop {
        match call() {
            Err(e) if IoFailure::of(&e) == IoFailure::Interrupted => {}
            result => return result,
        }
    }
}
