//! Clients of the sidecars: an open-loop load generator, which sends requests on a fixed schedule and records how each
//! one ended.

use super::check::{ClientRequest, Idempotency, Outcome};
use super::http::{Message, Reader};
use super::now_micros;
use crate::chance::{mix, unit};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The load that clients generate.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests a second to each sidecar.
    pub rate: f64,
    /// Request classes: name, idempotency, timeout of the client, and relative share of the requests.
    pub classes: Vec<(String, Idempotency, Duration, f64)>,
    /// Fraction of requests whose client disconnects within the first quarter of its timeout, if it has no answer by
    /// then.
    pub disconnect_share: f64,
    /// Fraction of requests other than GET that carry a body; some bodies are long, and they are sent in pieces.
    pub body_share: f64,
    /// Seed of request ids and of the order of classes.
    pub seed: u64,
}

/// Running clients. They stop on request, or when this is dropped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<ClientRequest>>>,
    in_flight: Arc<AtomicU64>,
    /// For each sidecar, whether clients make no new connections to it.
    blocked: Arc<Vec<AtomicBool>>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Idle connections to one sidecar.
type Pool = Arc<Mutex<Vec<(TcpStream, Reader)>>>;

/// How long after its timeout a client still waits, to record late answers.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(3);

impl Clients {
    /// Starts sending requests to these sidecars, given in the order of their numbers.
    pub fn start(runtime: &Handle, sidecars: &[SocketAddr], traffic: &Traffic) -> Self {
        let blocked = Arc::new(sidecars.iter().map(|_| AtomicBool::default()).collect());
        let clients =
            Self { stop: Arc::default(), requests: Arc::default(), in_flight: Arc::default(), blocked };
        for (sidecar, at) in sidecars.iter().copied().enumerate() {
            let (traffic, stop) = (traffic.clone(), clients.stop.clone());
            let (requests, in_flight, handle) =
                (clients.requests.clone(), clients.in_flight.clone(), runtime.clone());
            let blocked = clients.blocked.clone();
            runtime.spawn(async move {
                let (started, pool) = (Instant::now(), Pool::default());
                for n in 0u64.. {
                    // Evenly spaced, with a phase of its own for each sidecar.
                    let shift = unit(traffic.seed ^ sidecar as u64);
                    sleep_until(started + Duration::from_secs_f64((n as f64 + shift) / traffic.rate)).await;
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let raw_id = mix(traffic.seed ^ mix((sidecar as u64) << 40 | n));
                    let (requests, in_flight, pool) = (requests.clone(), in_flight.clone(), pool.clone());
                    let blocked = blocked.clone();
                    let traffic = traffic.clone();
                    in_flight.fetch_add(1, Ordering::SeqCst);
                    handle.spawn(async move {
                        let request =
                            send_request(sidecar, at, &traffic, raw_id, &pool, &blocked[sidecar]).await;
                        requests.lock().unwrap_or_else(PoisonError::into_inner).push(request);
                        in_flight.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            });
        }
        clients
    }

    /// Stops or allows new connections to a sidecar; they are stopped while it is about to end.
    pub fn block_connections(&self, sidecar: usize, blocked: bool) {
        self.blocked[sidecar].store(blocked, Ordering::SeqCst);
    }

    /// How many requests have ended.
    pub fn finished_count(&self) -> usize {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// How many of the requests that satisfy the predicate have been answered with 200 so far.
    pub fn served_count(&self, predicate: impl Fn(&ClientRequest) -> bool) -> usize {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests
            .iter()
            .filter(|r| predicate(r) && matches!(r.outcome, Outcome::Answer { status: 200, .. }))
            .count()
    }

    /// Stops the clients and returns the requests that have ended so far.
    pub fn into_requests(self) -> Vec<ClientRequest> {
        std::mem::take(&mut self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sends no more requests and waits for those in flight; returns whether all of them ended.
    pub fn stop_and_wait(&self) -> bool {
        self.stop.store(true, Ordering::SeqCst);
        super::until(|| self.in_flight.load(Ordering::SeqCst) == 0)
    }

    /// Sends no more requests, waits for those in flight, and returns all requests; `None` if some never ended.
    pub fn finish(self) -> Option<Vec<ClientRequest>> {
        if !self.stop_and_wait() {
            return None;
        }
        Some(std::mem::take(&mut self.requests.lock().unwrap_or_else(PoisonError::into_inner)))
    }
}

/// Sends one request and waits until it has ended.
async fn send_request(
    sidecar: usize,
    at: SocketAddr,
    traffic: &Traffic,
    raw_id: u64,
    pool: &Pool,
    blocked: &AtomicBool,
) -> ClientRequest {
    let mut pick = unit(raw_id) * traffic.classes.iter().map(|c| c.3).sum::<f64>();
    let found = traffic.classes.iter().find(|c| {
        pick -= c.3;
        pick <= 0.0
    });
    let (class, idempotency, client_timeout, _) = found.unwrap_or(&traffic.classes[0]);
    let id = format!("{raw_id:016x}");
    let (method, key) = match idempotency {
        Idempotency::Idempotent => ("GET", String::new()),
        Idempotency::Keyed { .. } => ("POST", format!("Idempotency-Key: k{id}\r\n")),
        Idempotency::NonIdempotent => ("POST", String::new()),
    };
    let body = body(raw_id, method, traffic.body_share);
    let text = format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Time-Left: {}m\r\n{key}Content-Length: {}\r\n\r\n",
        client_timeout.as_millis(),
        body.len()
    );
    let mut request = ClientRequest {
        id,
        sidecar,
        idempotency: *idempotency,
        timeout: client_timeout.as_micros() as i64,
        sent_at: now_micros(),
        closed_after_read: None,
        outcome: Outcome::ConnectFailed,
    };
    let pooled = pool.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let reused = pooled.is_some();
    let mut next = pooled;
    loop {
        let connection = match next.take() {
            Some(connection) => Some(connection),
            // The pooled connection closed before the request was read, and no new connection may be made.
            None if blocked.load(Ordering::SeqCst) => {
                request.outcome = Outcome::ConnectFailed;
                return request;
            }
            None => match timeout(*client_timeout, TcpStream::connect(at)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    Some((stream, Reader::default()))
                }
                _ => None,
            },
        };
        let Some((mut stream, mut reader)) = connection else { return request };
        request.sent_at = now_micros();
        if write(&mut stream, text.as_bytes(), &body, raw_id).await.is_err() {
            if reused && request.outcome == Outcome::ConnectFailed {
                request.outcome = Outcome::Closed { at: now_micros() };
                continue;
            }
            request.outcome = Outcome::Closed { at: now_micros() };
            return request;
        }
        request.sent_at = now_micros();
        let disconnects = unit(mix(raw_id)) < traffic.disconnect_share;
        let read_timeout = if disconnects {
            client_timeout.mul_f64(0.25 * unit(!raw_id))
        } else {
            *client_timeout + LATE_ANSWER_WAIT
        };
        let answer = timeout(read_timeout, reader.next(&mut stream, true)).await;
        match answer {
            Ok(Ok(Some(m))) => {
                let body = String::from_utf8_lossy(&m.body).into_owned();
                let closes = m.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                request.outcome = Outcome::Answer { status: m.status(), at: m.received_at.1, body };
                if !closes && !reader.has_buffered() {
                    pool.lock().unwrap_or_else(PoisonError::into_inner).push((stream, reader));
                }
                return request;
            }
            // A pooled connection closed while the request was being sent: send it again on a new one.
            Ok(end) if reused && request.outcome == Outcome::ConnectFailed => {
                let at = now_micros();
                if was_read(&stream, &reader, &end).await {
                    request.closed_after_read = Some(at);
                }
                request.outcome = Outcome::Closed { at }
            }
            Ok(_) => {
                request.outcome = Outcome::Closed { at: now_micros() };
                return request;
            }
            Err(_) if disconnects => {
                drop(stream);
                request.outcome = Outcome::Disconnected { at: now_micros() };
                return request;
            }
            Err(_) => {
                request.outcome = Outcome::TimedOut;
                return request;
            }
        }
    }
}

/// How long a sidecar may take to reset a connection that it has closed, over a request that it has left unread.
const RESET_TIME: Duration = Duration::from_millis(400);
/// How often a connection is looked at for a reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the sidecar had read a request when its connection ended without a whole answer. Closing a socket with unread
/// bytes resets the connection.
async fn was_read(stream: &TcpStream, reader: &Reader, end: &std::io::Result<Option<Message>>) -> bool {
    if reader.has_buffered() {
        return true;
    }
    if end.is_err() {
        return false;
    }
    let until = Instant::now() + RESET_TIME;
    while Instant::now() < until {
        if matches!(stream.take_error(), Ok(Some(_)) | Err(_)) {
            return false;
        }
        sleep(RESET_POLL_INTERVAL).await;
    }
    true
}

/// Lengths of bodies in bytes: some that a sidecar buffers whole, and some that it streams.
const BODY_LENGTHS: [usize; 4] = [200, 20_000, 64 << 10, 200_000];

/// The body of a request, derived from its id.
fn body(raw_id: u64, method: &str, share: f64) -> Vec<u8> {
    if method == "GET" || unit(raw_id ^ 0xb0d1) >= share {
        return Vec::new();
    }
    let length = BODY_LENGTHS[mix(raw_id ^ 0x1e47) as usize % BODY_LENGTHS.len()];
    (0..length).map(|at| (mix(raw_id ^ at as u64) & 0xff) as u8).collect()
}

/// Writes a request. One with a body is written in pieces, with short pauses between them.
async fn write(stream: &mut TcpStream, head: &[u8], body: &[u8], raw_id: u64) -> std::io::Result<()> {
    if body.is_empty() {
        return stream.write_all(head).await;
    }
    let message: Vec<u8> = head.iter().chain(body).copied().collect();
    let pieces = 1 + mix(raw_id) as usize % 5;
    for piece in message.chunks(message.len().div_ceil(pieces)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(Duration::from_millis(mix(raw_id ^ 7) % 4)).await;
    }
    Ok(())
}

/// Counts requests by outcome, for failure messages.
pub fn count_by_outcome(requests: &[ClientRequest]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for request in requests {
        let outcome = match &request.outcome {
            Outcome::Answer { status, .. } => status.to_string(),
            other => format!("{other:?}").split([' ', '{']).next().unwrap_or_default().to_owned(),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}
