//! Turns connections away that can't be served in time.

use super::reply::Reply;
use super::timing::SOCKET_POLL_TIME;
use crate::io_failure::IoFailure;
use crate::metrics::{ConnectionEnd, RequestOutcome};
use crate::request::{RequestHead, RequestMetadata, TrafficClasses};
use hyper::StatusCode;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes requested by one read.
const READ_BYTES: usize = 16 << 10;
/// Bytes that are read before the answer. A client with more to send has hardly sent its last byte yet.
const MAX_READ_BYTES: usize = 4 << 20;

/// How long the client of a connection waits for its answer, if the head of its request was received, and is not too long.
/// Reads nothing.
pub(super) async fn announced_wait(stream: &TcpStream, classes: &TrafficClasses) -> Option<Duration> {
    let mut received = [0; READ_BYTES];
    let length = timeout(SOCKET_POLL_TIME, stream.peek(&mut received)).await.ok()?.ok()?;
    let (head, _) = RequestHead::parse(&received[..length]).ok()??;
    let metadata = RequestMetadata::parse(classes, &head)?;
    Some(Duration::from_micros(metadata.time_left.max(0).unsigned_abs()))
}

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
