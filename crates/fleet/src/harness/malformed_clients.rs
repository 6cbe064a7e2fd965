//! Malformed clients: they connect to a sidecar, send an invalid or incomplete request or nothing, and stay connected.
//! The sidecar has to answer each with an error or close the connection.

use super::check::MalformedClient;
use super::http::Reader;
use super::now_micros;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// What malformed clients send, and then nothing more.
const MALFORMED_REQUESTS: [&[u8]; 6] = [
    b"",
    b"GET /api HT",
    b"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
    b"GET /nowhere HTTP/1.1\r\n\r\nGET /nowhere HTTP/1.1\r\n\r\n",
];
/// Length of a body that a sidecar streams, for which it takes the most memory.
const UNFINISHED_BODY_BYTES: usize = 70_000;
/// How long they wait for a connection.
const CONNECT_TIME_LIMIT: Duration = Duration::from_secs(3);
/// How long they stay connected.
const STAY_CONNECTED: Duration = Duration::from_secs(5);

/// Running malformed clients, and the results of those that have finished.
#[derive(Default)]
pub struct MalformedClients {
    results: Arc<Mutex<Vec<MalformedClient>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl MalformedClients {
    /// Starts `count` clients that connect to a sidecar.
    pub fn connect(&mut self, runtime: &Handle, sidecar: usize, at: SocketAddr, count: usize) {
        for n in 0..count {
            let results = Arc::clone(&self.results);
            self.tasks.push(runtime.spawn(async move {
                if let Some(client) =
                    run_client(sidecar, at, MALFORMED_REQUESTS[n % MALFORMED_REQUESTS.len()]).await
                {
                    results.lock().unwrap_or_else(PoisonError::into_inner).push(client);
                }
            }));
        }
    }

    /// Starts `count` clients that begin an upload and send nothing more. Each takes memory for its request.
    pub fn connect_unfinished_uploads(
        &mut self,
        runtime: &Handle,
        sidecar: usize,
        at: SocketAddr,
        count: usize,
    ) {
        for n in 0..count {
            let results = Arc::clone(&self.results);
            let upload = format!(
                "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: unfinished-{sidecar}-{n}\r\n\
                 X-Service-Class: book\r\nX-Time-Left: 1000m\r\nContent-Length: {UNFINISHED_BODY_BYTES}\r\n\r\nstart"
            );
            self.tasks.push(runtime.spawn(async move {
                if let Some(client) = run_client(sidecar, at, upload.as_bytes()).await {
                    results.lock().unwrap_or_else(PoisonError::into_inner).push(client);
                }
            }));
        }
    }

    /// Waits until all clients have finished, and returns their results.
    pub fn finish(&mut self, runtime: &Handle) -> Vec<MalformedClient> {
        for task in self.tasks.drain(..) {
            // A task that was aborted has no result.
            let _ = runtime.block_on(task);
        }
        std::mem::take(&mut self.results.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Runs one client; returns `None` if it could not connect.
async fn run_client(sidecar: usize, at: SocketAddr, request: &[u8]) -> Option<MalformedClient> {
    let mut stream = timeout(CONNECT_TIME_LIMIT, TcpStream::connect(at)).await.ok()?.ok()?;
    let connected_at = now_micros();
    // The sidecar may close the connection before anything is written.
    let _ = stream.write_all(request).await;
    let answer = timeout(STAY_CONNECTED, Reader::default().next(&mut stream, true)).await;
    let (rejected_at, served) = match answer {
        Ok(Ok(Some(answer))) => (Some(answer.received_at.1), answer.status() < 400),
        Ok(_) => (Some(now_micros()), false),
        Err(_) => (None, false),
    };
    Some(MalformedClient { sidecar, connected_at, rejected_at, served })
}
