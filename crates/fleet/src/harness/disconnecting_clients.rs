//! Clients that write a long body as far as the system takes it, and close.

use super::check::{ClientRequest, Idempotency, Outcome};
use super::now_micros;
use crate::chance::mix;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Lengths of their bodies, all of them beyond what a receive window takes.
const LENGTHS: [usize; 4] = [200_000, 400_000, 1_000_000, 4_000_000];
/// Bytes of a chunk.
const CHUNK_BYTES: usize = 10_000;
/// For so long the system may take more of a body.
const WRITE_TIME: Duration = Duration::from_millis(20);

/// What a group of such clients does.
#[derive(Clone, Copy, Debug)]
pub struct DisconnectingGroup {
    /// The sidecar that they connect to.
    pub sidecar: usize,
    /// Where it listens.
    pub at: SocketAddr,
    /// How many they are.
    pub count: usize,
    /// How long they say that they wait.
    pub wait: Duration,
    /// Fixes their ids.
    pub seed: u64,
}

/// Clients at work, and those that have closed.
#[derive(Default)]
pub struct DisconnectingClients {
    requests: Arc<Mutex<Vec<ClientRequest>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl DisconnectingClients {
    /// A group connects, writes and closes.
    pub fn connect(&mut self, runtime: &Handle, group: DisconnectingGroup) {
        for number in 0..group.count {
            let asks = Arc::clone(&self.requests);
            self.tasks.push(runtime.spawn(async move {
                if let Some(ask) = visit(group, number).await {
                    asks.lock().unwrap_or_else(PoisonError::into_inner).push(ask);
                }
            }));
        }
    }

    /// Waits until all have closed, and gives what they asked.
    pub fn finish(&mut self, runtime: &Handle) -> Vec<ClientRequest> {
        for task in self.tasks.drain(..) {
            // One that was cut short asked nothing that is known.
            let _ = runtime.block_on(task);
        }
        std::mem::take(&mut self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// One client; none where no connection came up.
async fn visit(group: DisconnectingGroup, number: usize) -> Option<ClientRequest> {
    let id = format!("{:016x}", mix(group.seed ^ mix(number as u64)));
    let request =
        request(&id, LENGTHS[number % LENGTHS.len()], (number / LENGTHS.len()).is_multiple_of(2), group.wait);
    let mut stream = timeout(group.wait, TcpStream::connect(group.at)).await.ok()?.ok()?;
    let sent_at = now_micros();
    // The rest stays in the client's system, or is not written at all.
    let _ = timeout(WRITE_TIME, stream.write_all(&request)).await;
    drop(stream);
    let timeout = i64::try_from(group.wait.as_micros()).ok()?;
    let outcome = Outcome::Disconnected { at: now_micros() };
    Some(ClientRequest {
        id,
        sidecar: group.sidecar,
        idempotency: Idempotency::NonIdempotent,
        timeout,
        sent_at,
        outcome,
    })
}

fn request(id: &str, length: usize, in_chunks: bool, wait: Duration) -> Vec<u8> {
    let framing =
        if in_chunks { "Transfer-Encoding: chunked".to_owned() } else { format!("Content-Length: {length}") };
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: book\r\n\
         X-Time-Left: {}m\r\n{framing}\r\n\r\n",
        wait.as_millis()
    );
    if !in_chunks {
        return [head.into_bytes(), vec![b'b'; length]].concat();
    }
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
    format!("{head}{}0\r\n\r\n", chunk.repeat(length / CHUNK_BYTES)).into_bytes()
}
