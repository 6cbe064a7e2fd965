//! A minimal HTTP/1.1 implementation for the harness's fake services and clients: heads, and bodies with a
//! `Content-Length`.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Limits on the size of a message, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 1 << 20;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target of a request; nothing and the status code of a response.
    pub start_line: (String, String),
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When the first and the last byte were received, on the shared clock.
    pub received_at: (i64, i64),
}

impl Message {
    /// The value of the header with this name, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The time left until the deadline that the sender announces, in microseconds.
    pub fn time_left(&self) -> Option<i64> {
        self.header("x-time-left").and_then(microseconds)
    }

    /// The status of a response, or 0 if it is not a number.
    pub fn status(&self) -> u16 {
        self.start_line.1.parse().unwrap_or(0)
    }
}

/// Encodes a response; `headers` are complete lines.
pub fn encode_response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut encoded =
        format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    encoded.extend_from_slice(body);
    encoded
}

/// Reads messages from one connection.
#[derive(Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

impl Reader {
    /// Reads the next message, a response if `is_response`; `None` if the connection ended before one began.
    pub async fn next(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
        is_response: bool,
    ) -> io::Result<Option<Message>> {
        let mut first = if self.buffer.is_empty() { None } else { Some(super::now_micros()) };
        let (mut message, head, length) = loop {
            if let Some(found) = head(&self.buffer, is_response)? {
                break found;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("message head too long"));
            }
            if from.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            first.get_or_insert_with(super::now_micros);
        };
        if message.header("transfer-encoding").is_some() {
            // Clients of this harness never end a body of unknown length, so it ends with its connection.
            self.buffer.clear();
            while from.read_buf(&mut self.buffer).await? > 0 {
                self.buffer.clear();
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if length > MAX_BODY_BYTES {
            return Err(invalid_data("message body too long"));
        }
        while self.buffer.len() < head + length {
            if from.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[head..head + length].to_vec();
        self.buffer.drain(..head + length);
        let now = super::now_micros();
        message.received_at = (first.unwrap_or(now), now);
        Ok(Some(message))
    }

    /// Whether bytes of a further message have been received already.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Parses a duration such as `480m` (milliseconds) or `480000u` (microseconds).
fn microseconds(text: &str) -> Option<i64> {
    match text.strip_suffix('m') {
        Some(number) => number.parse::<i64>().ok()?.checked_mul(1000),
        None => text.strip_suffix('u')?.parse().ok(),
    }
}

/// Parses a head; returns it with its length and that of the body, or `None` while it is incomplete.
pub(super) fn head(buffer: &[u8], is_response: bool) -> io::Result<Option<(Message, usize, usize)>> {
    let mut slots = [httparse::EMPTY_HEADER; 64];
    let (status, start_line, parsed) = if is_response {
        let mut head = httparse::Response::new(&mut slots);
        let status = head.parse(buffer).map_err(|e| invalid_data(&e.to_string()))?;
        let start_line = (String::new(), head.code.unwrap_or(0).to_string());
        (status, start_line, headers(head.headers))
    } else {
        let mut head = httparse::Request::new(&mut slots);
        let status = head.parse(buffer).map_err(|e| invalid_data(&e.to_string()))?;
        let start_line = (head.method.unwrap_or("").to_owned(), head.path.unwrap_or("").to_owned());
        (status, start_line, headers(head.headers))
    };
    let httparse::Status::Complete(end) = status else { return Ok(None) };
    let message = Message { start_line, headers: parsed, ..Message::default() };
    let length = message.header("content-length").map_or(Ok(0), str::parse);
    Ok(Some((message, end, length.map_err(|_| invalid_data("invalid Content-Length"))?)))
}

fn headers(all: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    all.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect()
}
