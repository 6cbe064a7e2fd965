//! One GET over a kept connection, as lists are asked for. The caller bounds the time.

use crate::body::Outbound;
use crate::connection::Connection;
use crate::write_progress::WriteProgress;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// How long a connection may take to come up. The system itself tries to make one again after 1, 3 and 7 s, so what is
/// asked of a peer that is back would go out seconds after that: a new connection goes out at once.
const DIAL_TIME: Duration = Duration::from_secs(1);
/// How long a list may take from the head of its answer to its end. One that never ends would else hold up the next call
/// for as long as a watch may wait.
const BODY_TIME: Duration = Duration::from_secs(2);
/// Longest list taken.
const LONGEST: usize = 4 << 20;

/// Asks, over the connection of the last call where that is still good; status, headers and body.
pub async fn get(
    at: SocketAddr,
    link: &mut Option<Connection>,
    path: &str,
) -> Result<(StatusCode, HeaderMap, Bytes), String> {
    let progress = WriteProgress::new(Some(0));
    let request = Request::get(path)
        .header(hyper::header::HOST, at.to_string())
        .body(Outbound::new(Bytes::new(), None, progress.clone()))
        .map_err(|e| e.to_string())?;
    let mut connection = match link.take().filter(Connection::usable) {
        Some(connection) => connection,
        None => match timeout(DIAL_TIME, Connection::open(at)).await {
            Ok(connection) => connection.map_err(|e| e.to_string())?,
            Err(_) => return Err("no connection".to_owned()),
        },
    };
    let response = connection.request(request, progress).await.map_err(|e| e.to_string())?;
    let (head, body) = response.into_parts();
    let body = timeout(BODY_TIME, connection.drive(Limited::new(body, LONGEST).collect())).await;
    let body = body
        .map_err(|_| "no end of the answer")?
        .ok_or("connection lost")?
        .map_err(|e| e.to_string())?
        .to_bytes();
    if head.status == StatusCode::OK {
        *link = Some(connection);
    }
    Ok((head.status, head.headers, body))
}
