//! Requests as they leave a sidecar. The fault proxy behind the sidecar parses them from the bytes that it reads, so
//! that the time of sending is known whatever the link then does to them and however late the server reads them.

use super::http;

/// Size limit for a head, in bytes; sidecars send no longer ones.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A request that a sidecar has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentRequest {
    /// The request's id.
    pub id: String,
    /// When its first byte left the sidecar, on the shared clock.
    pub sent_at: i64,
    /// The time left that the sidecar announces, in microseconds.
    pub time_left: Option<i64>,
}

/// Finds the requests in the bytes of one connection.
#[derive(Debug, Default)]
pub struct SentRequestParser {
    /// The part of an incomplete head that has been received.
    head: Vec<u8>,
    /// When the first byte of that head was received.
    head_started_at: i64,
    /// Bytes of a body that are still to come.
    body_left: usize,
    /// The bytes are not HTTP; the rest of the connection is ignored.
    unreadable: bool,
}

impl SentRequestParser {
    /// Takes bytes that were received at `now`, and returns the requests whose heads are now complete. Requests without
    /// an id are not from clients, and are skipped.
    pub fn read(&mut self, mut bytes: &[u8], now: i64) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        while !bytes.is_empty() && !self.unreadable {
            let body_bytes = self.body_left.min(bytes.len());
            self.body_left -= body_bytes;
            bytes = &bytes[body_bytes..];
            if bytes.is_empty() {
                break;
            }
            if self.head.is_empty() {
                self.head_started_at = now;
            }
            let buffered = self.head.len();
            self.head.extend_from_slice(bytes);
            match http::head(&self.head, false) {
                Ok(Some((message, length, body))) => {
                    bytes = &bytes[length - buffered..];
                    // Clients of this harness never end a body of unknown length.
                    let is_endless = message.header("transfer-encoding").is_some();
                    (self.head, self.body_left) = (Vec::new(), if is_endless { usize::MAX } else { body });
                    sent.extend(message.header("x-correlation-id").map(|id| SentRequest {
                        id: id.to_owned(),
                        sent_at: self.head_started_at,
                        time_left: message.time_left(),
                    }));
                }
                Ok(None) if self.head.len() <= MAX_HEAD_BYTES => break,
                _ => self.unreadable = true,
            }
        }
        sent
    }
}

#[cfg(test)]
mod tests;
