//! The little of HTTP/1.1 that the stand-ins need: heads, bodies by length or in chunks, and one answer.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, its headers in lower case, its body's length and a hash of the body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub length: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn line(input: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut bytes = Vec::new();
    input.by_ref().take(1 << 16).read_until(b'\n', &mut bytes)?;
    if bytes.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    String::from_utf8(bytes).map_err(|_| bad("not UTF-8"))
}

/// Reads the head of a message; `None` if the peer closed before its first byte.
pub fn read_head(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    if input.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first = line(input)?;
    let mut headers = Vec::new();
    loop {
        let text = line(input)?;
        if text.is_empty() {
            return Ok(Some(Message { first, headers, body: Vec::new(), length: 0 }));
        }
        let (name, value) = text.split_once(':').ok_or_else(|| bad("no colon"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body that follows a head, up to 64 KiB of which are kept. `pause` is waited after each 16 KiB.
pub fn read_body(input: &mut BufReader<TcpStream>, message: &mut Message, pause: Duration) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = line(input)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| bad("no chunk size"))?;
            if size == 0 {
                while !line(input)?.is_empty() {}
                return Ok(());
            }
            read_sized(input, message, size, pause)?;
            line(input)?;
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    if length.is_none() && message.first.starts_with("HTTP/") {
        // The end of the connection is the end of the body.
        let mut rest = Vec::new();
        input.read_to_end(&mut rest)?;
        message.length = rest.len();
        rest.truncate(64 << 10);
        message.body = rest;
        return Ok(());
    }
    read_sized(input, message, length.unwrap_or(0), pause)
}

fn read_sized(
    input: &mut BufReader<TcpStream>,
    message: &mut Message,
    length: usize,
    pause: Duration,
) -> io::Result<()> {
    let mut left = length;
    let mut buffer = [0; 16 << 10];
    while left > 0 {
        let room = left.min(buffer.len());
        let read = input.read(&mut buffer[..room])?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if message.body.len() < 64 << 10 {
            message.body.extend_from_slice(&buffer[..read]);
        }
        message.length += read;
        left -= read;
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
    Ok(())
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A client's connection.
pub struct Connection {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        let input = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, input })
    }

    /// Reads a whole answer, waiting until `until`.
    pub fn read_answer(&mut self, until: Instant) -> io::Result<Message> {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left))?;
        loop {
            let head = read_head(&mut self.input)?;
            let mut message = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            if message.status() == 100 {
                continue;
            }
            read_body(&mut self.input, &mut message, Duration::ZERO)?;
            return Ok(message);
        }
    }
}

/// One GET on a new connection.
pub fn get(address: SocketAddr, path: &str, limit: Duration) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut connection = Connection::open(address, limit)?;
    connection.stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: api.internal\r\n\r\n").as_bytes())?;
    connection.read_answer(until)
}

/// How a wait for an answer ended without one.
pub fn why(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "no answer",
        io::ErrorKind::UnexpectedEof => "closed without an answer",
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => "reset",
        io::ErrorKind::ConnectionRefused => "refused",
        _ => "error",
    }
}
