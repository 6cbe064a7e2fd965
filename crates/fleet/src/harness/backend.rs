//! The fake backend server: it answers requests as the protocol describes, misbehaves as configured, and records the
//! requests that it receives. It runs as a process of its own (`lotusmoor fleet stand-in ledger`), so that it can be
//! paused and killed.

use super::http::{Message, Reader, encode_response};
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

/// How a fake backend behaves. In JSON, absent fields have their default.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Conduct {
    /// Time that a request takes once it is being worked on.
    pub work_us: u64,
    /// Additional time until the first byte of the answer.
    pub first_byte_us: u64,
    /// Fraction of requests answered with 500.
    pub errors: f64,
    /// Whether it rejects every request with 503, unprocessed.
    pub turns_away: bool,
    /// Whether it accepts requests and never answers them.
    pub silent: bool,
    /// Fraction of requests that it executes and then resets the connection instead of answering.
    pub resets: f64,
    /// Fraction of answers whose body is truncated to half before the connection closes.
    pub halves: f64,
    /// Connections that are idle for this long after an answer are closed; 0 for never.
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

/// A request that the backend received.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ReceivedRequest {
    /// The sequence number of the request at this server.
    pub number: u64,
    /// The request's id.
    pub id: String,
    /// The method.
    pub method: String,
    /// The idempotency key, if it has one.
    pub key: Option<String>,
    /// When the first and the last byte were received.
    #[serde(rename = "came")]
    pub received_at: (i64, i64),
    /// Whether its sidecar had already closed the connection when it was read.
    pub stale: bool,
    /// The time left that the sidecar announced, in microseconds.
    #[serde(default)]
    #[serde(rename = "told")]
    pub time_left: Option<i64>,
}

/// How a request ended at the backend.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EndedRequest {
    /// The sequence number of the request at this server.
    pub number: u64,
    /// When it ended.
    pub at: i64,
    /// Whether it was executed.
    #[serde(rename = "ran")]
    pub executed: bool,
    /// The status of the answer; `None` if the connection closed first.
    pub status: Option<u16>,
    /// The body of the answer.
    pub body: Option<String>,
}

/// A line of the file in which the backend records what it received and answered.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum BackendEvent {
    /// A request was received.
    #[serde(rename = "seen")]
    Received(ReceivedRequest),
    /// A request has ended.
    #[serde(rename = "over")]
    Ended(EndedRequest),
}

/// Path of the control call that sets a [`Conduct`].
pub const CONDUCT_PATH: &str = "/stand-in/conduct";

/// No time limit: longer than any run.
const NEVER: Duration = Duration::from_secs(24 * 3600);

struct Backend {
    name: String,
    conduct: Mutex<Conduct>,
    records: Option<Mutex<File>>,
    next_number: AtomicU64,
    cores: Semaphore,
    connections: AtomicU32,
}

impl Backend {
    fn record(&self, event: &BackendEvent) {
        let Some(file) = &self.records else { return };
        if let Ok(mut line) = serde_json::to_vec(event) {
            line.push(b'\n');
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            // Each line is one write, so that a kill truncates at most the last line.
            if file.write_all(&line).is_err() {
                tracing::error!("{}: cannot write to the record file", self.name);
            }
        }
    }

    fn conduct(&self) -> Conduct {
        self.conduct.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Serves at `at` until the process ends. Requests are recorded in the file `records`, if one is given; up to `cores`
/// requests are worked on at a time.
pub async fn serve(
    name: String,
    at: SocketAddr,
    records: Option<&Path>,
    conduct: Conduct,
    cores: usize,
) -> io::Result<()> {
    let open = |path: &Path| File::options().create(true).append(true).open(path);
    let records = records.map(open).transpose()?.map(Mutex::new);
    let backend = Arc::new(Backend {
        name,
        conduct: Mutex::new(conduct),
        records,
        next_number: AtomicU64::new(now_micros().unsigned_abs()),
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
            // Errors on a connection are for its sidecar to handle.
            let _ = serve_connection(&backend, stream).await;
            backend.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(backend: &Backend, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = Reader::default();
    let mut answered = false;
    loop {
        let idle = backend.conduct().idle_us;
        let limit = if idle > 0 && answered { Duration::from_micros(idle) } else { NEVER };
        // A request that arrives just as the idle time ends races with the close, and its connection is reset.
        let next = tokio::time::timeout(limit, reader.next(&mut stream, false)).await;
        let Some(message) = next.unwrap_or(Ok(None))? else { return Ok(()) };
        answered = true;
        let closes = message.header("connection") == Some("close");
        let reply = match (message.start_line.0.as_str(), message.start_line.1.as_str()) {
            ("POST", CONDUCT_PATH) => match serde_json::from_slice(&message.body) {
                Ok(conduct) => {
                    *backend.conduct.lock().unwrap_or_else(PoisonError::into_inner) = conduct;
                    encode_response(200, "", b"")
                }
                Err(error) => encode_response(400, "", error.to_string().as_bytes()),
            },
            ("GET", "/alive" | "/metrics/load") => encode_response(200, "", b""),
            _ => match message.header("x-correlation-id") {
                Some(id) => {
                    let id = id.to_owned();
                    match handle_request(backend, &mut stream, message, id).await? {
                        Some(reply) => reply,
                        None => return Ok(()),
                    }
                }
                None => encode_response(404, "", b""),
            },
        };
        stream.write_all(&reply).await?;
        if closes {
            return Ok(());
        }
    }
}

/// Works on a request; returns the answer, or `None` if the connection has ended.
async fn handle_request(
    backend: &Backend,
    stream: &mut TcpStream,
    message: Message,
    id: String,
) -> io::Result<Option<Vec<u8>>> {
    let conduct = backend.conduct();
    let number = backend.next_number.fetch_add(1, Ordering::Relaxed);
    // After a pause the server reads requests that sidecars have long abandoned: those are no longer in flight.
    let stale = matches!(stream.try_read(&mut [0]), Ok(0)) || stream.take_error()?.is_some();
    let key = message.header("idempotency-key").map(str::to_owned);
    let time_left = message.time_left();
    let (method, received_at) = (message.start_line.0, message.received_at);
    backend.record(&BackendEvent::Received(ReceivedRequest {
        number,
        id: id.clone(),
        method,
        key,
        received_at,
        stale,
        time_left,
    }));
    let record_end = |executed: bool, status: Option<u16>, body: Option<String>| {
        backend.record(&BackendEvent::Ended(EndedRequest {
            number,
            at: now_micros(),
            executed,
            status,
            body,
        }));
    };
    if stale {
        record_end(false, None, None);
        return Ok(None);
    }
    if conduct.turns_away {
        record_end(false, Some(503), None);
        return Ok(Some(encode_response(503, "X-Unprocessed: 1\r\n", b"")));
    }
    let chance = |of: u64| super::super::chance::unit(number ^ of << 32);
    let work = async {
        if conduct.silent {
            std::future::pending::<()>().await;
        }
        let _core = backend.cores.acquire().await;
        // The runtime's timers round up to a whole millisecond, also a duration of zero.
        let duration = Duration::from_micros(conduct.work_us + conduct.first_byte_us);
        if !duration.is_zero() {
            sleep(duration).await;
        }
    };
    let mut byte = [0];
    tokio::select! {
        () = work => {}
        // The sidecar closed the connection or sent unexpected bytes; either way it no longer waits for this answer.
        _ = stream.read(&mut byte) => {
            record_end(true, None, None);
            return Ok(None);
        }
    }
    if chance(1) < conduct.resets {
        // With a linger time of zero, closing the connection resets it.
        socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
        record_end(true, None, None);
        return Ok(None);
    }
    if chance(2) < conduct.errors {
        record_end(true, Some(500), None);
        return Ok(Some(encode_response(500, "", b"")));
    }
    let body = format!("{{\"id\":\"{id}\",\"server\":\"{}\",\"number\":{number}}}", backend.name);
    let load = backend.connections.load(Ordering::Relaxed);
    let response = encode_response(200, &format!("X-Backend-Load: queue={load}\r\n"), body.as_bytes());
    if chance(3) < conduct.halves {
        record_end(true, None, None);
        stream.write_all(&response[..response.len() - body.len() / 2]).await?;
        return Ok(None);
    }
    record_end(true, Some(200), Some(body));
    Ok(Some(response))
}
