//! Clients that disconnect in the middle of a long request body: they write as much of it as the system accepts, and
//! close.

use super::check::{ClientRequest, Idempotency, Outcome};
use super::client_tasks::ClientTasks;
use super::now_micros;
use crate::chance::mix;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::timeout;

/// Lengths of the bodies in bytes, all of them larger than a receive window.
const BODY_LENGTHS: [usize; 4] = [200_000, 400_000, 1_000_000, 4_000_000];
/// Size of a chunk of a chunked body, in bytes.
const CHUNK_BYTES: usize = 10_000;
/// How long a client keeps writing its body.
const WRITE_TIME_LIMIT: Duration = Duration::from_millis(20);

/// A group of clients that connect to one sidecar.
#[derive(Clone, Copy, Debug)]
pub struct DisconnectingGroup {
    /// The number of the sidecar.
    pub sidecar: usize,
    /// The address at which it listens.
    pub at: SocketAddr,
    /// The number of clients.
    pub count: usize,
    /// The time left that they announce to the sidecar.
    pub wait: Duration,
    /// Seed of their request ids.
    pub seed: u64,
}

/// Running clients, and the requests of those that have disconnected.
#[derive(Default)]
pub struct DisconnectingClients(ClientTasks);

impl DisconnectingClients {
    /// Starts a group of clients, which connect, write and disconnect.
    pub fn connect(&mut self, runtime: &Handle, group: DisconnectingGroup) {
        (0..group.count).for_each(|number| self.0.spawn_one(runtime, run_client(group, number)));
    }

    /// Waits until all clients have disconnected, and returns their requests.
    pub fn finish(&mut self, runtime: &Handle) -> Vec<ClientRequest> {
        self.0.finish(runtime)
    }
}

/// Runs one client; returns `None` if it could not connect.
async fn run_client(group: DisconnectingGroup, number: usize) -> Option<ClientRequest> {
    let id = format!("{:016x}", mix(group.seed ^ mix(number as u64)));
    let request = encode_request(
        &id,
        BODY_LENGTHS[number % BODY_LENGTHS.len()],
        (number / BODY_LENGTHS.len()).is_multiple_of(2),
        group.wait,
    );
    let mut stream = timeout(group.wait, TcpStream::connect(group.at)).await.ok()?.ok()?;
    let sent_at = now_micros();
    // The remainder stays in the client's socket buffer or is not written at all.
    let _ = timeout(WRITE_TIME_LIMIT, stream.write_all(&request)).await;
    drop(stream);
    let timeout = i64::try_from(group.wait.as_micros()).ok()?;
    let outcome = Outcome::Disconnected { at: now_micros() };
    Some(ClientRequest {
        id,
        sidecar: group.sidecar,
        idempotency: Idempotency::NonIdempotent,
        timeout,
        sent_at,
        closed_after_read: None,
        outcome,
    })
}

fn encode_request(id: &str, length: usize, chunked: bool, wait: Duration) -> Vec<u8> {
    let framing =
        if chunked { "Transfer-Encoding: chunked".to_owned() } else { format!("Content-Length: {length}") };
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: book\r\n\
         X-Time-Left: {}m\r\n{framing}\r\n\r\n",
        wait.as_millis()
    );
    if !chunked {
        return [head.into_bytes(), vec![b'b'; length]].concat();
    }
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
    format!("{head}{}0\r\n\r\n", chunk.repeat(length / CHUNK_BYTES)).into_bytes()
}
