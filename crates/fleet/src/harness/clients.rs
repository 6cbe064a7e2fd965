//! Clients of the sidecars: requests by a schedule, whatever became of earlier ones, and all that came back.

use super::check::{ClientRequest, Idempotency, Outcome};
use super::http::Reader;
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
use tokio::time::{Instant, sleep_until, timeout};

/// What clients ask for.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests a second to each sidecar.
    pub rate: f64,
    /// Classes: name, kind, time that the client waits, and share.
    pub classes: Vec<(String, Idempotency, Duration, f64)>,
    /// Share of clients that close their connection within a quarter of their time, if they have no answer by then.
    pub disconnect_share: f64,
    /// Share of requests that may have one that come with a body, some of them a long one, in pieces.
    pub body_share: f64,
    /// Fixes ids and the order of classes.
    pub seed: u64,
}

/// Clients at work. They stop when told, or when this is dropped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<ClientRequest>>>,
    open: Arc<AtomicU64>,
    /// Sidecars to which no new connection is made.
    barred: Arc<Vec<AtomicBool>>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Idle connections to one sidecar.
type Pool = Arc<Mutex<Vec<(TcpStream, Reader)>>>;

/// How much longer than its own time a client listens, to see what comes late.
const LISTENS: Duration = Duration::from_secs(3);

impl Clients {
    /// Begins to ask these sidecars, in the order of their numbers.
    pub fn start(runtime: &Handle, sidecars: &[SocketAddr], traffic: &Traffic) -> Self {
        let barred = Arc::new(sidecars.iter().map(|_| AtomicBool::default()).collect());
        let clients = Self { stop: Arc::default(), requests: Arc::default(), open: Arc::default(), barred };
        for (sidecar, at) in sidecars.iter().copied().enumerate() {
            let (traffic, stop) = (traffic.clone(), clients.stop.clone());
            let (asks, open, handle) = (clients.requests.clone(), clients.open.clone(), runtime.clone());
            let barred = clients.barred.clone();
            runtime.spawn(async move {
                let (begun, pool) = (Instant::now(), Pool::default());
                for n in 0u64.. {
                    // Evenly spaced, each sidecar's at instants of its own.
                    let shift = unit(traffic.seed ^ sidecar as u64);
                    sleep_until(begun + Duration::from_secs_f64((n as f64 + shift) / traffic.rate)).await;
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let name = mix(traffic.seed ^ mix((sidecar as u64) << 40 | n));
                    let (asks, open, pool) = (asks.clone(), open.clone(), pool.clone());
                    let barred = barred.clone();
                    let traffic = traffic.clone();
                    open.fetch_add(1, Ordering::SeqCst);
                    handle.spawn(async move {
                        let ask = one(sidecar, at, &traffic, name, &pool, &barred[sidecar]).await;
                        asks.lock().unwrap_or_else(PoisonError::into_inner).push(ask);
                        open.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            });
        }
        clients
    }

    /// Makes no new connections to a sidecar, as it is about to end, or does again.
    pub fn block_connections(&self, sidecar: usize, barred: bool) {
        self.barred[sidecar].store(barred, Ordering::SeqCst);
    }

    /// How many requests are over.
    pub fn finished_count(&self) -> usize {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// How many were served so far, of those that hold.
    pub fn served_count(&self, of: impl Fn(&ClientRequest) -> bool) -> usize {
        let asks = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        asks.iter().filter(|a| of(a) && matches!(a.outcome, Outcome::Answer { status: 200, .. })).count()
    }

    /// All that was asked so far.
    pub fn into_requests(self) -> Vec<ClientRequest> {
        std::mem::take(&mut self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Asks nothing more and waits for what is open; whether that ended.
    pub fn stop_and_wait(&self) -> bool {
        self.stop.store(true, Ordering::SeqCst);
        super::until(|| self.open.load(Ordering::SeqCst) == 0)
    }

    /// Asks nothing more, waits for what is open, and gives all of it; `None` if that does not end.
    pub fn finish(self) -> Option<Vec<ClientRequest>> {
        if !self.stop_and_wait() {
            return None;
        }
        Some(std::mem::take(&mut self.requests.lock().unwrap_or_else(PoisonError::into_inner)))
    }
}

/// One request, from its writing to all that comes of it.
async fn one(
    sidecar: usize,
    at: SocketAddr,
    traffic: &Traffic,
    name: u64,
    pool: &Pool,
    barred: &AtomicBool,
) -> ClientRequest {
    let mut pick = unit(name) * traffic.classes.iter().map(|c| c.3).sum::<f64>();
    let found = traffic.classes.iter().find(|c| {
        pick -= c.3;
        pick <= 0.0
    });
    let (class, kind, wait, _) = found.unwrap_or(&traffic.classes[0]);
    let id = format!("{name:016x}");
    let (method, key) = match kind {
        Idempotency::Idempotent => ("GET", String::new()),
        Idempotency::Keyed { .. } => ("POST", format!("Idempotency-Key: k{id}\r\n")),
        Idempotency::NonIdempotent => ("POST", String::new()),
    };
    let body = body(name, method, traffic.body_share);
    let text = format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Time-Left: {}m\r\n{key}Content-Length: {}\r\n\r\n",
        wait.as_millis(),
        body.len()
    );
    let mut ask = ClientRequest {
        id,
        sidecar,
        idempotency: *kind,
        timeout: wait.as_micros() as i64,
        sent_at: now_micros(),
        outcome: Outcome::ConnectFailed,
    };
    let kept = pool.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let reused = kept.is_some();
    let mut next = kept;
    loop {
        let connection = match next.take() {
            Some(connection) => Some(connection),
            // What it had kept has closed under its request, unread: there is nowhere to send it again.
            None if barred.load(Ordering::SeqCst) => {
                ask.outcome = Outcome::ConnectFailed;
                return ask;
            }
            None => match timeout(*wait, TcpStream::connect(at)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    Some((stream, Reader::default()))
                }
                _ => None,
            },
        };
        let Some((mut stream, mut reader)) = connection else { return ask };
        ask.sent_at = now_micros();
        if write(&mut stream, text.as_bytes(), &body, name).await.is_err() {
            if reused && ask.outcome == Outcome::ConnectFailed {
                ask.outcome = Outcome::Closed { at: now_micros() };
                continue;
            }
            ask.outcome = Outcome::Closed { at: now_micros() };
            return ask;
        }
        ask.sent_at = now_micros();
        let leaves = unit(mix(name)) < traffic.disconnect_share;
        let listens = if leaves { wait.mul_f64(0.25 * unit(!name)) } else { *wait + LISTENS };
        let answer = timeout(listens, reader.next(&mut stream, true)).await;
        match answer {
            Ok(Ok(Some(m))) => {
                let body = String::from_utf8_lossy(&m.body).into_owned();
                let closes = m.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                ask.outcome = Outcome::Answer { status: m.status(), at: m.received_at.1, body };
                if !closes && !reader.holds_more() {
                    pool.lock().unwrap_or_else(PoisonError::into_inner).push((stream, reader));
                }
                return ask;
            }
            // A kept connection that closes as it is written to: once more, on a new one.
            Ok(_) if reused && ask.outcome == Outcome::ConnectFailed => {
                ask.outcome = Outcome::Closed { at: now_micros() }
            }
            Ok(_) => {
                ask.outcome = Outcome::Closed { at: now_micros() };
                return ask;
            }
            Err(_) if leaves => {
                drop(stream);
                ask.outcome = Outcome::Disconnected { at: now_micros() };
                return ask;
            }
            Err(_) => {
                ask.outcome = Outcome::TimedOut;
                return ask;
            }
        }
    }
}

/// Lengths of bodies: what is kept whole, and what flows on while it comes.
const LENGTHS: [usize; 4] = [200, 20_000, 64 << 10, 200_000];

/// The body of a request, by its name.
fn body(name: u64, method: &str, share: f64) -> Vec<u8> {
    if method == "GET" || unit(name ^ 0xb0d1) >= share {
        return Vec::new();
    }
    let length = LENGTHS[mix(name ^ 0x1e47) as usize % LENGTHS.len()];
    (0..length).map(|at| (mix(name ^ at as u64) & 0xff) as u8).collect()
}

/// Writes a request; one with a body in pieces, with short pauses between them.
async fn write(stream: &mut TcpStream, head: &[u8], body: &[u8], name: u64) -> std::io::Result<()> {
    if body.is_empty() {
        return stream.write_all(head).await;
    }
    let whole: Vec<u8> = head.iter().chain(body).copied().collect();
    let pieces = 1 + mix(name) as usize % 5;
    for piece in whole.chunks(whole.len().div_ceil(pieces)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(Duration::from_millis(mix(name ^ 7) % 4)).await;
    }
    Ok(())
}

/// Counts by what came, for the reader of a failure.
pub fn counts(asks: &[ClientRequest]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for ask in asks {
        let what = match &ask.outcome {
            Outcome::Answer { status, .. } => status.to_string(),
            other => format!("{other:?}").split([' ', '{']).next().unwrap_or_default().to_owned(),
        };
        *counts.entry(what).or_default() += 1;
    }
    counts
}
