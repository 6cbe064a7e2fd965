//! Clients and endpoints that take more of a sidecar than their share: each request still gets its answer in its client's
//! time, and none of them makes others pay.

mod abandoned_requests;
mod answers_in_time;
mod busy_clients;
mod repeated_ids;

use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// By how much an answer may come after its client's time.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// A request whose client waits for that long.
fn timed_request(class: &str, headers: &str, body: &str, wait: Duration) -> String {
    let time_left = format!("X-Time-Left: {}m", wait.as_millis());
    request(class, headers, body).replace("X-Time-Left: 19000m", &time_left)
}

/// Writes all bytes in pieces, with a pause after each; returns when the last byte was written, or the write failed.
fn write_in_pieces(client: &mut TcpStream, bytes: &[u8], piece_bytes: usize, pause: Duration) -> Instant {
    for piece in bytes.chunks(piece_bytes) {
        if client.write_all(piece).is_err() {
            break;
        }
        thread::sleep(pause);
    }
    Instant::now() - pause
}
