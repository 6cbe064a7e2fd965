//! As much HTTP/1.1 as stand-ins and clients of our own need: heads, and bodies of a told length.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest head and body that a stand-in takes.
const LONGEST_HEAD: usize = 16 << 10;
const LONGEST_BODY: usize = 1 << 20;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or the status.
    pub start: (String, String),
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When its first and its last byte had come, on the shared clock.
    pub received_at: (i64, i64),
}

impl Message {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// How long the sender says that it waits, in microseconds.
    pub fn time_left(&self) -> Option<i64> {
        self.header("x-time-left").and_then(microseconds)
    }

    /// The status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.start.1.parse().unwrap_or(0)
    }
}

/// An answer as bytes; `headers` are whole lines.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut all =
        format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    all.extend_from_slice(body);
    all
}

/// Reads messages from one connection.
#[derive(Default)]
pub struct Reader {
    held: Vec<u8>,
}

fn wrong(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl Reader {
    /// The next message; `None` where the connection ended before one began.
    pub async fn next(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
        answer: bool,
    ) -> io::Result<Option<Message>> {
        let mut first = if self.held.is_empty() { None } else { Some(super::now_micros()) };
        let (mut message, head, length) = loop {
            if let Some(found) = head(&self.held, answer)? {
                break found;
            }
            if self.held.len() > LONGEST_HEAD {
                return Err(wrong("the head is too long"));
            }
            if from.read_buf(&mut self.held).await? == 0 {
                return if self.held.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            first.get_or_insert_with(super::now_micros);
        };
        if length > LONGEST_BODY {
            return Err(wrong("the body is too long"));
        }
        while self.held.len() < head + length {
            if from.read_buf(&mut self.held).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.held[head..head + length].to_vec();
        self.held.drain(..head + length);
        let now = super::now_micros();
        message.received_at = (first.unwrap_or(now), now);
        Ok(Some(message))
    }

    /// Whether bytes of a further message are held already.
    pub fn holds_more(&self) -> bool {
        !self.held.is_empty()
    }
}

/// Reads a time such as `480m` (milliseconds) or `480000u` (microseconds).
fn microseconds(text: &str) -> Option<i64> {
    match text.strip_suffix('m') {
        Some(number) => number.parse::<i64>().ok()?.checked_mul(1000),
        None => text.strip_suffix('u')?.parse().ok(),
    }
}

/// A head, its length, and that of the body, once it is whole.
pub(super) fn head(held: &[u8], answer: bool) -> io::Result<Option<(Message, usize, usize)>> {
    let mut slots = [httparse::EMPTY_HEADER; 64];
    let (status, start, parsed) = if answer {
        let mut head = httparse::Response::new(&mut slots);
        let status = head.parse(held).map_err(|e| wrong(&e.to_string()))?;
        let start = (String::new(), head.code.unwrap_or(0).to_string());
        (status, start, headers(head.headers))
    } else {
        let mut head = httparse::Request::new(&mut slots);
        let status = head.parse(held).map_err(|e| wrong(&e.to_string()))?;
        let start = (head.method.unwrap_or("").to_owned(), head.path.unwrap_or("").to_owned());
        (status, start, headers(head.headers))
    };
    let httparse::Status::Complete(end) = status else { return Ok(None) };
    let message = Message { start, headers: parsed, ..Message::default() };
    let length = message.header("content-length").map_or(Ok(0), str::parse);
    Ok(Some((message, end, length.map_err(|_| wrong("the length is no number"))?)))
}

fn headers(all: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    all.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect()
}
