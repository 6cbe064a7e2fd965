//! One HTTP GET over a reusable connection, for endpoint lists. The caller limits the total time.

use crate::body::RequestBody;
use crate::connection::{Connection, ConnectionLost, IdleSocket};
use crate::write_progress::WriteProgress;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Request, StatusCode};
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time limit for connecting. The kernel retransmits a lost SYN after 1, 3 and 7 s, so a server that is back would be
/// reached seconds late; a new connection sends its SYN at once.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A body that is not complete this long after the response head is reported as slow. It may be a long list over a slow
/// link, or one that never ends, so the next poll must not wait for it.
const SLOW_BODY_TIME: Duration = Duration::from_secs(2);
/// Time limit for receiving the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum size of the body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Why a GET got no response.
#[derive(Debug)]
pub enum GetError {
    /// The request can't be expressed in HTTP.
    InvalidRequest(hyper::http::Error),
    /// There was no connection within the time limit.
    ConnectTimeout,
    /// The connection could not be opened.
    Connect(io::Error),
    /// The body was not complete within the time limit.
    BodyTimeout,
    /// The connection was lost before the end of the response.
    ConnectionLost,
    /// The body is unreadable or too long.
    Body(Box<dyn Error + Send + Sync>),
}

impl fmt::Display for GetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidRequest(e) => e.fmt(f),
            Self::ConnectTimeout => f.write_str("connect timed out"),
            Self::Connect(e) => e.fmt(f),
            Self::BodyTimeout => f.write_str("response body timed out"),
            Self::ConnectionLost => f.write_str("connection lost"),
            Self::Body(e) => e.fmt(f),
        }
    }
}

impl Error for GetError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::InvalidRequest(e) => e.source(),
            Self::Connect(e) => e.source(),
            Self::Body(e) => e.source(),
            Self::ConnectTimeout | Self::BodyTimeout | Self::ConnectionLost => None,
        }
    }
}

/// Gets `path` from `address`, over the connection of the last call if that is still usable. Returns the status,
/// headers and body, and leaves the connection in `reusable` if the status is 200. A slow body is reported to `slow`,
/// and still read.
pub async fn get(
    address: SocketAddr,
    reusable: &mut Option<IdleSocket>,
    path: &str,
    slow: &Notify,
) -> Result<(StatusCode, HeaderMap, Bytes), GetError> {
    let progress = WriteProgress::new(Some(0));
    let request = Request::get(path)
        .header(hyper::header::HOST, address.to_string())
        .body(RequestBody::empty())
        .map_err(GetError::InvalidRequest)?;
    let mut connection = match reusable.take().filter(IdleSocket::usable) {
        Some(idle) => Connection::resume(idle).await.map_err(GetError::Connect)?,
        None => connect(address).await?,
    };
    let response =
        connection.request(request, progress).await.map_err(|ConnectionLost| GetError::ConnectionLost)?;
    let (head, body) = response.into_parts();
    let collected = connection.drive(Limited::new(body, MAX_BODY_BYTES).collect());
    let body = read_body(collected, slow).await?.ok_or(GetError::ConnectionLost)?;
    let body = body.map_err(GetError::Body)?.to_bytes();
    if head.status == StatusCode::OK {
        *reusable = connection.into_idle().await;
    }
    Ok((head.status, head.headers, body))
}

/// Waits for the end of a body, and reports a slow one.
async fn read_body<T>(collected: impl Future<Output = T>, slow: &Notify) -> Result<T, GetError> {
    let mut collected = pin!(collected);
    if let Ok(body) = timeout(SLOW_BODY_TIME, &mut collected).await {
        return Ok(body);
    }
    slow.notify_one();
    let rest = timeout(BODY_TIMEOUT - SLOW_BODY_TIME, collected).await;
    rest.map_err(|_| GetError::BodyTimeout)
}

async fn connect(address: SocketAddr) -> Result<Connection, GetError> {
    match timeout(CONNECT_TIMEOUT, Connection::open(address)).await {
        Ok(connection) => connection.map_err(GetError::Connect),
        Err(_) => Err(GetError::ConnectTimeout),
    }
}
