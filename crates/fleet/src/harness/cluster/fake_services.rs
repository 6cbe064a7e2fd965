//! HTTP calls to fake services and sidecars, and the record files of fake services.

use super::WAIT_TIMEOUT;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Reads the records of a file, one JSON value a line. A line that a kill has truncated is skipped.
pub(super) fn read_records<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(error) => return Err(error),
    };
    Ok(text.split(|b| *b == b'\n').filter_map(|line| serde_json::from_slice(line).ok()).collect())
}

fn call(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

fn status_of(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

fn get(address: SocketAddr, path: &str) -> io::Result<u16> {
    let answer = call(address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))?;
    Ok(status_of(&answer))
}

/// Whether a sidecar reports that it is ready.
pub(super) fn is_ready(address: SocketAddr) -> bool {
    get(address, "/up").is_ok_and(|status| status == 200)
}

/// Posts a JSON value; returns the body of the answer, or an error unless its status is 200.
pub(super) fn post(address: SocketAddr, path: &str, value: &impl Serialize) -> io::Result<String> {
    let body = serde_json::to_string(value)?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let answer = call(address, &(head + &body))?;
    if status_of(&answer) != 200 {
        return Err(io::Error::new(io::ErrorKind::InvalidData, answer));
    }
    Ok(answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned())
}
