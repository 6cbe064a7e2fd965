//! The stand-in ledger server: answers requests as PROTOCOL has it, misbehaves as it is told, and writes down what it
//! saw. It runs as a process of its own, so that it can be held and killed.

use super::http::{Message, Reader, answer};
use super::now_micros;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// How it behaves; absent figures are as they were at the start.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Conduct {
    /// Time that a request takes once begun.
    pub work_us: u64,
    /// How much longer the first byte of an answer takes.
    pub first_byte_us: u64,
    /// Share of requests answered with 500.
    pub errors: f64,
    /// It turns all away.
    pub turns_away: bool,
    /// It takes requests and never answers.
    pub silent: bool,
    /// Share of requests under which it resets the connection.
    pub resets: f64,
    /// Share of answers of which only half is sent before the connection closes.
    pub halves: f64,
    /// Connections that have been idle for so long after an answer are closed; 0 for never.
    pub idle_us: u64,
}

impl Default for Conduct {
    fn default() -> Self {
        Self {
            work_us: 5_000,
            first_byte_us: 0,
            errors: 0.0,
            turns_away: false,
            silent: false,
            resets: 0.0,
            halves: 0.0,
            idle_us: 0,
        }
    }
}

/// What it saw of a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ReceivedRequest {
    /// The number of the request at this server.
    pub number: u64,
    /// The request's id.
    pub id: String,
    /// Its method.
    pub method: String,
    /// Its key, if it has one.
    pub key: Option<String>,
    /// When its first byte had come, and its last.
    #[serde(rename = "came")]
    pub received_at: (i64, i64),
    /// Its sidecar had given it up before it was read.
    pub stale: bool,
    /// How long its sidecar said that it waits, in microseconds.
    #[serde(default)]
    #[serde(rename = "told")]
    pub time_left: Option<i64>,
}

/// How a request ended there.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EndedRequest {
    /// The number of the request at this server.
    pub number: u64,
    /// When.
    pub at: i64,
    /// Whether it has run.
    #[serde(rename = "ran")]
    pub executed: bool,
    /// The status that was answered; none where the connection ended first.
    pub status: Option<u16>,
    /// The body that was answered.
    pub body: Option<String>,
}

/// A line of what it wrote down.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum BackendEvent {
    /// A request has come.
    #[serde(rename = "seen")]
    Received(ReceivedRequest),
    /// A request is over.
    #[serde(rename = "over")]
    Ended(EndedRequest),
}

/// Where operators of a stand-in tell it how to behave.
pub const CONDUCT_PATH: &str = "/stand-in/conduct";

/// Longer than any play.
const NEVER: Duration = Duration::from_secs(24 * 3600);

struct Backend {
    name: String,
    conduct: Mutex<Conduct>,
    notes: Option<Mutex<File>>,
    next: AtomicU64,
    cores: Semaphore,
    connections: AtomicU32,
}

impl Backend {
    fn note(&self, line: &BackendEvent) {
        let Some(file) = &self.notes else { return };
        if let Ok(mut text) = serde_json::to_vec(line) {
            text.push(b'\n');
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            // One write a line: a kill tears the last one at most.
            if file.write_all(&text).is_err() {
                tracing::error!("{}: what it saw can't be written down", self.name);
            }
        }
    }

    fn conduct(&self) -> Conduct {
        self.conduct.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Serves at that address for good. What it sees goes to `notes`, if there is such a file; `cores` requests are
/// worked on at a time.
pub async fn serve(
    name: String,
    at: SocketAddr,
    notes: Option<&Path>,
    conduct: Conduct,
    cores: usize,
) -> io::Result<()> {
    let open = |path: &Path| File::options().create(true).append(true).open(path);
    let notes = notes.map(open).transpose()?.map(Mutex::new);
    let backend = Arc::new(Backend {
        name,
        conduct: Mutex::new(conduct),
        notes,
        next: AtomicU64::new(now_micros().unsigned_abs()),
        cores: Semaphore::new(cores.max(1)),
        connections: AtomicU32::new(0),
    });
    let listener = TcpListener::bind(at).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let backend = backend.clone();
        tokio::spawn(async move {
            backend.connections.fetch_add(1, Ordering::Relaxed);
            // A connection that breaks is its sidecar's affair.
            let _ = connection(&backend, stream).await;
            backend.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn connection(backend: &Backend, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = Reader::default();
    let mut answered = false;
    loop {
        let idle = backend.conduct().idle_us;
        let bound = if idle > 0 && answered { Duration::from_micros(idle) } else { NEVER };
        // A request that comes as its time runs out crosses the close, and is reset.
        let next = tokio::time::timeout(bound, reader.next(&mut stream, false)).await;
        let Some(message) = next.unwrap_or(Ok(None))? else { return Ok(()) };
        answered = true;
        let closes = message.header("connection") == Some("close");
        let reply = match (message.start.0.as_str(), message.start.1.as_str()) {
            ("POST", CONDUCT_PATH) => match serde_json::from_slice(&message.body) {
                Ok(told) => {
                    *backend.conduct.lock().unwrap_or_else(PoisonError::into_inner) = told;
                    answer(200, "", b"")
                }
                Err(error) => answer(400, "", error.to_string().as_bytes()),
            },
            ("GET", "/alive" | "/metrics/load") => answer(200, "", b""),
            _ => match message.header("x-correlation-id") {
                Some(id) => {
                    let id = id.to_owned();
                    match request(backend, &mut stream, message, id).await? {
                        Some(reply) => reply,
                        None => return Ok(()),
                    }
                }
                None => answer(404, "", b""),
            },
        };
        stream.write_all(&reply).await?;
        if closes {
            return Ok(());
        }
    }
}

/// Works on a request; gives the answer, or nothing where the connection has ended.
async fn request(
    backend: &Backend,
    stream: &mut TcpStream,
    message: Message,
    id: String,
) -> io::Result<Option<Vec<u8>>> {
    let conduct = backend.conduct();
    let number = backend.next.fetch_add(1, Ordering::Relaxed);
    // One that was held finds what its sidecars have long given up: that is not out any more.
    let stale = matches!(stream.try_read(&mut [0]), Ok(0)) || stream.take_error()?.is_some();
    let key = message.header("idempotency-key").map(str::to_owned);
    let time_left = message.time_left();
    let (method, received_at) = (message.start.0, message.received_at);
    backend.note(&BackendEvent::Received(ReceivedRequest {
        number,
        id: id.clone(),
        method,
        key,
        received_at,
        stale,
        time_left,
    }));
    let over = |executed: bool, status: Option<u16>, body: Option<String>| {
        backend.note(&BackendEvent::Ended(EndedRequest { number, at: now_micros(), executed, status, body }));
    };
    if stale {
        over(false, None, None);
        return Ok(None);
    }
    if conduct.turns_away {
        over(false, Some(503), None);
        return Ok(Some(answer(503, "X-Unprocessed: 1\r\n", b"")));
    }
    let chance = |of: u64| super::super::chance::unit(number ^ of << 32);
    let work = async {
        if conduct.silent {
            std::future::pending::<()>().await;
        }
        let _core = backend.cores.acquire().await;
        // The runtime's timers round up to a whole millisecond, also from nothing.
        let takes = Duration::from_micros(conduct.work_us + conduct.first_byte_us);
        if !takes.is_zero() {
            sleep(takes).await;
        }
    };
    let mut byte = [0];
    tokio::select! {
        () = work => {}
        // Its sidecar gives up, or says something out of turn; either way nobody waits.
        _ = stream.read(&mut byte) => {
            over(true, None, None);
            return Ok(None);
        }
    }
    if chance(1) < conduct.resets {
        // Closed with no time to linger, a connection is reset.
        socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
        over(true, None, None);
        return Ok(None);
    }
    if chance(2) < conduct.errors {
        over(true, Some(500), None);
        return Ok(Some(answer(500, "", b"")));
    }
    let body = format!("{{\"id\":\"{id}\",\"server\":\"{}\",\"number\":{number}}}", backend.name);
    let load = backend.connections.load(Ordering::Relaxed);
    let whole = answer(200, &format!("X-Backend-Load: queue={load}\r\n"), body.as_bytes());
    if chance(3) < conduct.halves {
        over(true, None, None);
        stream.write_all(&whole[..whole.len() - body.len() / 2]).await?;
        return Ok(None);
    }
    over(true, Some(200), Some(body));
    Ok(Some(whole))
}
