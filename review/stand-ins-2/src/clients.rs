//! Clients, by the protocol page: one request at a time on a connection.

use crate::http::{self, Connection};
use crate::platform::{Record, body_for};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long after its time an answer may come: half a second, and the 50 ms by which limits on sockets are longer.
pub const LATE: Duration = Duration::from_millis(550);

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A new correlation id.
pub fn new_id() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// No connection came up.
    NotConnected,
    /// A whole answer with this status, so long after the last byte of the request.
    Answered(u16, Duration),
    /// The body is not the one that a ledger server makes for this request.
    Foreign,
    /// The sidecar closed or reset the connection without a whole answer, so long after the last byte.
    Closed(Duration),
    /// No whole answer in the client's time and half a second.
    Unanswered,
}

impl End {
    /// Whether it was served.
    pub fn served(self) -> bool {
        matches!(self, Self::Answered(200, _))
    }

    /// Whether the time for a final answer is over without one.
    pub fn overdue(self, time: Duration) -> bool {
        match self {
            Self::Answered(_, after) => after > time + LATE,
            Self::Unanswered => true,
            _ => false,
        }
    }
}

/// The head of a request. A class that is safe to repeat has no body.
pub fn head(class: &str, id: &str, time: Duration, body: Option<usize>) -> String {
    let (method, rest) = match body {
        None => ("GET", String::new()),
        Some(length) => ("POST", format!("Idempotency-Key: k{id}\r\nContent-Length: {length}\r\n")),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         Cookie: obj=7f3a9c21e0b4d655\r\nX-Time-Left: {}m\r\n{rest}\r\n",
        time.as_millis()
    )
}

/// Waits for the answer to a request whose last byte was written at `written`.
pub fn finish(connection: &mut Connection, id: &str, written: Instant, time: Duration) -> End {
    match connection.read_answer(written + time + LATE) {
        Ok(answer) if answer.status() == 200 && !is_own(&answer, id) => End::Foreign,
        Ok(answer) => End::Answered(answer.status(), written.elapsed()),
        Err(e) if http::why(&e) == "no answer" => End::Unanswered,
        Err(_) => End::Closed(written.elapsed()),
    }
}

/// Whether the body of an answer is what a ledger server makes for that request.
pub fn is_own(answer: &http::Message, id: &str) -> bool {
    answer.body == body_for(id, answer.length)[..answer.body.len().min(answer.length)]
}

/// A read on a new connection. The client leaves once its time and half a second are over.
pub fn read(address: SocketAddr, time: Duration, record: &Record) -> (String, End) {
    let id = new_id();
    let end = || -> io::Result<End> {
        let mut connection = Connection::open(address, Duration::from_secs(3))?;
        connection.stream.write_all(head("ledger-read", &id, time, None).as_bytes())?;
        let written = Instant::now();
        record.line(format_args!("client sent {id}: ledger-read, {} ms", time.as_millis()));
        Ok(finish(&mut connection, &id, written, time))
    };
    let end = end().unwrap_or(End::NotConnected);
    record.line(format_args!("client has {id}: {end:?}"));
    (id, end)
}

/// A post with a long body: `at_once` bytes, and the rest at `per_second`.
pub fn upload(
    address: SocketAddr,
    length: usize,
    at_once: usize,
    per_second: usize,
    record: &Record,
) -> (String, End) {
    let id = new_id();
    let time = Duration::from_secs(3);
    let end = || -> io::Result<End> {
        let mut connection = Connection::open(address, Duration::from_secs(3))?;
        connection.stream.write_all(head("entry-post", &id, time, Some(length)).as_bytes())?;
        let body = vec![b'x'; length];
        connection.stream.write_all(&body[..at_once])?;
        record.line(format_args!("client sends {id}: entry-post, {length} bytes at {per_second} a second"));
        let began = Instant::now();
        let mut sent = at_once;
        while sent < length {
            thread::sleep(Duration::from_millis(50));
            let due = at_once + (began.elapsed().as_secs_f64() * per_second as f64) as usize;
            let next = due.min(length);
            connection.stream.write_all(&body[sent..next])?;
            sent = next;
        }
        let written = Instant::now();
        record.line(format_args!("client sent {id} whole"));
        Ok(finish(&mut connection, &id, written, time))
    };
    let end = end().unwrap_or(End::NotConnected);
    record.line(format_args!("client has {id}: {end:?}"));
    (id, end)
}
