//! Peers that are no clients: they connect to a sidecar, send what is no proper request or stop in the midst of one, and
//! stay. Each is owed an error or a close.

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

/// What strangers send, and then nothing more.
const SAID: [&[u8]; 6] = [
    b"",
    b"GET /api HT",
    b"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
    b"GET /nowhere HTTP/1.1\r\n\r\nGET /nowhere HTTP/1.1\r\n\r\n",
];
/// For so long they stay.
const STAYS: Duration = Duration::from_secs(5);

/// Strangers at their sidecars, and what became of them.
#[derive(Default)]
pub struct MalformedClients {
    seen: Arc<Mutex<Vec<MalformedClient>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl MalformedClients {
    /// So many connect to a sidecar.
    pub fn connect(&mut self, runtime: &Handle, sidecar: usize, at: SocketAddr, count: usize) {
        for n in 0..count {
            let seen = Arc::clone(&self.seen);
            self.tasks.push(runtime.spawn(async move {
                if let Some(stranger) = visit(sidecar, at, SAID[n % SAID.len()]).await {
                    seen.lock().unwrap_or_else(PoisonError::into_inner).push(stranger);
                }
            }));
        }
    }

    /// Waits until all have gone, and gives what became of them.
    pub fn finish(&mut self, runtime: &Handle) -> Vec<MalformedClient> {
        for task in self.tasks.drain(..) {
            // One that was cut short saw nothing.
            let _ = runtime.block_on(task);
        }
        std::mem::take(&mut self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// One visit; none where no connection came up.
async fn visit(sidecar: usize, at: SocketAddr, says: &[u8]) -> Option<MalformedClient> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    let connected_at = now_micros();
    // It may be turned away before it has said anything.
    let _ = stream.write_all(says).await;
    let answer = timeout(STAYS, Reader::default().next(&mut stream, true)).await;
    let (rejected_at, served) = match answer {
        Ok(Ok(Some(answer))) => (Some(answer.received_at.1), answer.status() < 400),
        Ok(_) => (Some(now_micros()), false),
        Err(_) => (None, false),
    };
    Some(MalformedClient { sidecar, connected_at, rejected_at, served })
}
