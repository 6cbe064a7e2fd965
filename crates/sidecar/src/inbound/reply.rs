//! The response to a client and its encoding.

use crate::body::ResponseBody;
use crate::engine_input::{Answer, ServedAnswer};
use crate::memory_budget::MemoryReservation;
use crate::request::end_to_end;
use crate::request_ids::OpenRequestId;
use bytes::{Buf, Bytes};
use hyper::StatusCode;
use hyper::header::{HeaderMap, RETRY_AFTER};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// A response as it is sent to a client: the form that a request's final [`Answer`] takes on the wire.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    /// Seconds until a retry may succeed.
    pub(super) retry_after: Option<f64>,
    pub(super) body: ResponseBody,
    /// The body is sent with chunked encoding.
    pub(super) chunked: bool,
    /// The memory of the body, reserved until the response is written.
    pub(super) _reservation: Option<MemoryReservation>,
    /// The id of the request, open until the response is written.
    pub(super) _id: Option<OpenRequestId>,
}

impl Reply {
    /// A response with a status and no body.
    pub(super) fn without_body(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            retry_after: None,
            body: ResponseBody::buffered(Bytes::new()),
            chunked: false,
            _reservation: None,
            _id: None,
        }
    }

    /// The response to the request with that id.
    pub(super) fn of(answer: Answer, id: OpenRequestId) -> Self {
        let mut reply = match answer {
            Answer::Served(ServedAnswer { headers, body, reservation }) => Self {
                headers: end_to_end(headers),
                body,
                _reservation: Some(reservation),
                ..Self::without_body(StatusCode::OK)
            },
            Answer::Shed(retry_after) => Self {
                retry_after: Some(retry_after).filter(|us| *us > 0).map(|us| us as f64 / MICROS_PER_SECOND),
                ..Self::without_body(StatusCode::SERVICE_UNAVAILABLE)
            },
            Answer::ClientError(status) => Self::without_body(status),
            // Neither 429 nor 503, which would promise that a retry is harmless.
            Answer::Failed => Self::without_body(StatusCode::BAD_GATEWAY),
        };
        reply._id = Some(id);
        reply
    }

    /// Whether the end of the body is marked by the end of the connection alone.
    pub(super) fn ends_with_connection(&self) -> bool {
        !self.chunked && self.body.length.is_none()
    }

    /// Encodes a piece of the body.
    pub(super) fn piece(&self, piece: Bytes) -> impl Buf + use<> {
        let (size, end) = match self.chunked && !piece.is_empty() {
            true => (format!("{:x}\r\n", piece.len()), &b"\r\n"[..]),
            false => (String::new(), &b""[..]),
        };
        Bytes::from(size).chain(piece).chain(end)
    }

    /// Encodes the head.
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
