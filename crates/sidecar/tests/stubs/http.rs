//! Reading of HTTP messages and of responses to operators' calls.

use super::*;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Duration;

/// An HTTP message, as received.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// How long the connection had been idle before this request; `None` for the first one on a connection.
    pub idle: Option<Duration>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// Reads one message; `None` if the peer has closed or reset the connection, or sent nothing for [`TEST_TIMEOUT`].
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let head = read_head(stream)?;
    read_body(head, stream)
}

/// Reads the head of a message.
pub fn read_head(stream: &mut TcpStream) -> Option<Message> {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout can be set");
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        // `read_exact` retries when a signal interrupts it.
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("heads are text");
    let mut lines = head.lines();
    let start = lines.next()?.to_owned();
    let pairs = lines.filter_map(|l| l.split_once(": "));
    let headers: Vec<_> = pairs.map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
    Some(Message { start, headers, body: Vec::new(), idle: None })
}

/// Reads the body that follows a head.
pub fn read_body(mut message: Message, stream: &mut TcpStream) -> Option<Message> {
    let mut byte = [0];
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                stream.read_exact(&mut byte).ok()?;
                line.push(byte[0]);
            }
            let size = std::str::from_utf8(&line).expect("a size is text").trim_end();
            let size = usize::from_str_radix(size, 16).expect("a size");
            let start = message.body.len();
            // Including the CRLF after the chunk.
            message.body.resize(start + size + 2, 0);
            stream.read_exact(&mut message.body[start..]).ok()?;
            message.body.truncate(start + size);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").map_or(0, |v| v.parse().expect("a length"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads the answer to an operator's call, without its line end; empty if there is none.
pub fn read_answer(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout can be set");
    let mut line = String::new();
    // A truncated answer, without its line end, counts as none.
    let _ = stream.read_to_string(&mut line);
    line.strip_suffix('\n').unwrap_or_default().to_owned()
}

/// Waits until the peer has closed or reset the connection; `false` if it has not within [`TEST_TIMEOUT`].
pub fn await_close(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout can be set");
    let mut rest = [0; 1024];
    loop {
        match stream.read(&mut rest) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}
