//! Answers to clients, as they are written.

use crate::body::Inbound;
use crate::exchange::{Answer, Served};
use crate::memory_budget::MemoryReservation;
use crate::request::end_to_end;
use crate::request_ids::OpenRequestId;
use bytes::{Buf, Bytes};
use hyper::StatusCode;
use hyper::header::{HeaderMap, RETRY_AFTER};

/// An answer to a client.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) retry_after: Option<f64>,
    pub(super) body: Inbound,
    /// The body goes out in chunks.
    pub(super) chunked: bool,
    /// Held until the answer is out.
    pub(super) _held: (Option<MemoryReservation>, Option<OpenRequestId>),
}

impl Reply {
    pub(super) fn plain(status: StatusCode) -> Self {
        let body = Inbound::whole(Bytes::new());
        let headers = HeaderMap::new();
        Self { status, headers, retry_after: None, body, chunked: false, _held: (None, None) }
    }

    pub(super) fn of(answer: Answer, id: OpenRequestId) -> Self {
        let mut reply = match answer {
            Answer::Served(Served { headers, body, share }) => Self {
                headers: end_to_end(headers),
                body,
                _held: (Some(share), None),
                ..Self::plain(StatusCode::OK)
            },
            Answer::Shed(retry_after) => Self {
                retry_after: Some(retry_after).filter(|us| *us > 0).map(|us| us as f64 / 1e6),
                ..Self::plain(StatusCode::SERVICE_UNAVAILABLE)
            },
            Answer::ClientError(status) => Self::plain(status),
            // Neither 429 nor 503, which would promise that trying again is harmless.
            Answer::Failed => Self::plain(StatusCode::BAD_GATEWAY),
        };
        reply._held.1 = Some(id);
        reply
    }

    /// A piece of the body as it goes out.
    pub(super) fn piece(&self, piece: Bytes) -> impl Buf + use<> {
        let (size, end) = match self.chunked && !piece.is_empty() {
            true => (format!("{:x}\r\n", piece.len()), &b"\r\n"[..]),
            false => (String::new(), &b""[..]),
        };
        Bytes::from(size).chain(piece).chain(end)
    }

    pub(super) fn head(&self, keep_alive: bool) -> Bytes {
        let reason = self.status.canonical_reason().unwrap_or("");
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", self.status.as_u16()).into_bytes();
        let mut line = |name: &[u8], value: &[u8]| {
            for part in [name, b": ", value, b"\r\n"] {
                head.extend_from_slice(part);
            }
        };
        for (name, value) in &self.headers {
            line(name.as_ref(), value.as_bytes());
        }
        if let Some(seconds) = self.retry_after {
            line(RETRY_AFTER.as_ref(), format!("{seconds:.3}").as_bytes());
        }
        if !keep_alive {
            line(b"connection", b"close");
        }
        match self.body.length {
            Some(length) => line(b"content-length", length.to_string().as_bytes()),
            None if self.chunked => line(b"transfer-encoding", b"chunked"),
            None => {}
        }
        head.extend_from_slice(b"\r\n");
        head.into()
    }
}
