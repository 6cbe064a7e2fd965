//! Requests as they leave a sidecar: read by the relay behind it, whatever the link then does to them and however late
//! their server reads them.

use super::http;

/// Most bytes of a head that has not ended. What is longer is no request of a sidecar's.
const LONGEST_HEAD: usize = 64 << 10;

/// A request that a sidecar has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentRequest {
    /// The request's id.
    pub id: String,
    /// When its first byte came out of the sidecar, on the shared clock.
    pub sent_at: i64,
    /// How long the sidecar says that it waits, in microseconds.
    pub time_left: Option<i64>,
}

/// Finds requests in what one connection carries.
#[derive(Debug, Default)]
pub struct SentRequestParser {
    /// What came of a head that has not ended, and when its first byte did.
    head: Vec<u8>,
    began: i64,
    /// What is still to come of a body.
    body_left: usize,
    /// What came is no HTTP: nothing behind it is looked at.
    unreadable: bool,
}

impl SentRequestParser {
    /// Takes what came at that time; gives the requests whose heads are whole by now. Those without an id are no
    /// client's.
    pub fn read(&mut self, mut bytes: &[u8], now: i64) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        while !bytes.is_empty() && !self.unreadable {
            let of_body = self.body_left.min(bytes.len());
            self.body_left -= of_body;
            bytes = &bytes[of_body..];
            if bytes.is_empty() {
                break;
            }
            if self.head.is_empty() {
                self.began = now;
            }
            let before = self.head.len();
            self.head.extend_from_slice(bytes);
            match http::head(&self.head, false) {
                Ok(Some((message, length, body))) => {
                    bytes = &bytes[length - before..];
                    (self.head, self.body_left) = (Vec::new(), body);
                    sent.extend(message.header("x-correlation-id").map(|id| SentRequest {
                        id: id.to_owned(),
                        sent_at: self.began,
                        time_left: message.time_left(),
                    }));
                }
                Ok(None) if self.head.len() <= LONGEST_HEAD => break,
                _ => self.unreadable = true,
            }
        }
        sent
    }
}

#[cfg(test)]
mod tests;
