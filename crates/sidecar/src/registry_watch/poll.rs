//! A poll of a registry replica over HTTP.

use crate::connection::IdleSocket;
use crate::http_get;
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, StatusCode};
use lotusmoor_registry_client::{Event, ListUpdate, Micros, PollError};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Upper bound on the wait that a replica's `Retry-After` header requests.
const MAX_RETRY_AFTER_SECONDS: f64 = 60.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The open connection for the next poll of the same replica, if there is one.
pub(super) type IdleConnection = Rc<RefCell<Option<IdleSocket>>>;

/// Sends a poll and returns its result as an event. If the other poll of a hedged pair uses the idle connection, this
/// one opens its own.
pub(super) async fn send(poll: u64, address: SocketAddr, idle: IdleConnection, path: &str) -> Event {
    let mut connection = idle.borrow_mut().take();
    // No time limit is needed here, as the watcher times out its polls itself.
    let result = http_get::get(address, &mut connection, path, &Notify::new()).await;
    if connection.is_some() {
        *idle.borrow_mut() = connection;
    }
    let (status, headers, body) = match result {
        Ok(response) => response,
        Err(error) => {
            return Event::PollFailed { poll, retry_after: None, error: PollError::connection(error) };
        }
    };
    if status != StatusCode::OK {
        let error = PollError::Status(status.as_u16());
        return Event::PollFailed { poll, retry_after: retry_after(&headers), error };
    }
    match ListUpdate::from_json(&body) {
        Ok(update) => Event::Response { poll, update },
        Err(error) => Event::PollFailed { poll, retry_after: None, error: error.into() },
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| (seconds.min(MAX_RETRY_AFTER_SECONDS) * MICROS_PER_SECOND) as Micros)
}
