//! Clients that connect to a sidecar, send the start of a request, and the rest of it only later. They use their
//! connections for as long as these stay open.

use super::check::{ClientRequest, Idempotency, Outcome};
use super::client_tasks::ClientTasks;
use super::http::Reader;
use super::now_micros;
use crate::chance::{mix, unit};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Lengths of the bodies in bytes; a request without one is a GET.
const BODY_LENGTHS: [usize; 4] = [0, 0, 3_000, 60_000];
/// How many bytes the start of a request has at least.
const MIN_START_BYTES: usize = 20;
/// The shortest time between the start of a request and the rest.
const MIN_PAUSE: Duration = Duration::from_millis(30);
/// How long the system may take to connect, and to accept a part of a request.
const SYSTEM_TIME_LIMIT: Duration = Duration::from_secs(3);
/// How long after its time a client still waits, to record late answers.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(3);

/// A group of clients that connect to one sidecar.
#[derive(Clone, Copy, Debug)]
pub struct SlowGroup {
    /// The number of the sidecar.
    pub sidecar: usize,
    /// The address at which it listens.
    pub at: SocketAddr,
    /// The number of clients.
    pub count: usize,
    /// How long each of them waits for its answer.
    pub wait: Duration,
    /// The time within which they connect.
    pub connect_within: Duration,
    /// The time within which they have sent all of their requests.
    pub sent_within: Duration,
    /// Seed of their request ids and times.
    pub seed: u64,
}

/// Running clients, and their requests.
#[derive(Default)]
pub struct SlowClients(ClientTasks);

impl SlowClients {
    /// Starts a group of clients.
    pub fn connect(&mut self, runtime: &Handle, group: SlowGroup) {
        let began = Instant::now();
        (0..group.count).for_each(|number| self.0.spawn_one(runtime, run_client(group, began, number)));
    }

    /// Waits until all clients have finished, and returns their requests.
    pub fn finish(&mut self, runtime: &Handle) -> Vec<ClientRequest> {
        self.0.finish(runtime)
    }
}

/// The bytes of a request.
fn encode_request(id: &str, raw_id: u64, wait: Duration) -> (Idempotency, Vec<u8>) {
    let length = BODY_LENGTHS[mix(raw_id ^ 1) as usize % BODY_LENGTHS.len()];
    let (idempotency, method, class) = match length {
        0 => (Idempotency::Idempotent, "GET", "look"),
        _ => (Idempotency::NonIdempotent, "POST", "book"),
    };
    let head = format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Time-Left: {}m\r\nContent-Length: {length}\r\n\r\n",
        wait.as_millis()
    );
    (idempotency, [head.into_bytes(), vec![b's'; length]].concat())
}

/// Runs one client; returns `None` if the connection ended before its request was complete, as the sidecar had not taken
/// it then.
async fn run_client(group: SlowGroup, began: Instant, number: usize) -> Option<ClientRequest> {
    let raw_id = mix(group.seed ^ mix(number as u64));
    let id = format!("{raw_id:016x}");
    let (idempotency, bytes) = encode_request(&id, raw_id, group.wait);
    let connect_at = began + group.connect_within.mul_f64(unit(raw_id ^ 2));
    sleep_until(connect_at).await;
    let mut stream = timeout(SYSTEM_TIME_LIMIT, TcpStream::connect(group.at)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let start = MIN_START_BYTES + (unit(raw_id ^ 3) * (bytes.len() - MIN_START_BYTES - 1) as f64) as usize;
    timeout(SYSTEM_TIME_LIMIT, stream.write_all(&bytes[..start])).await.ok()?.ok()?;
    let earliest = Instant::now() + MIN_PAUSE;
    let latest = (began + group.sent_within).max(earliest);
    let send_at = earliest + (latest - earliest).mul_f64(unit(raw_id ^ 4));
    let mut reader = Reader::default();
    let timeout_us = i64::try_from(group.wait.as_micros()).ok()?;
    let request = |sent_at, outcome| ClientRequest {
        id,
        sidecar: group.sidecar,
        idempotency,
        timeout: timeout_us,
        sent_at,
        closed_after_read: None,
        outcome,
    };
    // An answer may come before the request is complete, where the sidecar gives up on it.
    if let Ok(early) = timeout_at(send_at, reader.next(&mut stream, true)).await {
        let answer = early.ok()??;
        return Some(request(now_micros(), answered(&answer)));
    }
    // A request that the system does not accept to its last byte was not taken.
    let written = timeout(SYSTEM_TIME_LIMIT, stream.write_all(&bytes[start..])).await.ok()?;
    let sent_at = now_micros();
    let answer = timeout(group.wait + LATE_ANSWER_WAIT, reader.next(&mut stream, true)).await;
    let outcome = match answer {
        Ok(Ok(Some(answer))) => answered(&answer),
        // The connection had ended before the last byte was written.
        Ok(_) if written.is_err() => return None,
        Ok(_) => Outcome::Closed { at: now_micros() },
        Err(_) => Outcome::TimedOut,
    };
    Some(request(sent_at, outcome))
}

fn answered(answer: &super::Message) -> Outcome {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Outcome::Answer { status: answer.status(), at: answer.received_at.1, body }
}
