//! Polls of discovery: single ones, and several for the same news of which the first answer counts.

use crate::connection::Connection;
use crate::endpoint_list::ListMessage;
use crate::http_get::{self, GetError};
use hyper::StatusCode;
use std::error::Error;
use std::fmt;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How long discovery may hold a poll until there is news. A poll whose answer never comes looks like one without news,
/// and until it is given up draining endpoints are still sent to, so the time is short. It bounds the load from below as
/// well: without news, each sidecar polls this often.
const MAX_WATCH_TIME: Duration = Duration::from_secs(4);
/// How much longer than that an answer may take before another poll is started beside it: the first one may never be
/// answered.
const SECOND_POLL_DELAY: Duration = Duration::from_secs(2);
/// How much longer it may take at the most. A slow or crowded discovery still answers the polls that wait for it, and
/// none if each is given up too soon.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(6);

/// Why a poll brought no list.
#[derive(Debug)]
pub(super) enum PollError {
    /// No answer in time.
    NoAnswer,
    /// The answer has begun and takes long to come. It may still come.
    SlowAnswer,
    /// The exchange failed.
    Get(GetError),
    /// Discovery answered with a status other than 200.
    Status(StatusCode),
    /// The answer is no list.
    Unreadable(serde_json::Error),
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer => f.write_str("no answer"),
            Self::SlowAnswer => f.write_str("no end of the answer yet"),
            Self::Get(e) => e.fmt(f),
            Self::Status(status) => write!(f, "status {}", status.as_u16()),
            Self::Unreadable(e) => write!(f, "unreadable list: {e}"),
        }
    }
}

impl Error for PollError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Get(e) => e.source(),
            Self::Unreadable(e) => Some(e),
            Self::NoAnswer | Self::SlowAnswer | Self::Status(_) => None,
        }
    }
}

/// What a poll ends with.
pub(super) struct Polled {
    /// The list, or why there is none.
    pub(super) answer: Result<ListMessage, PollError>,
    /// The connection, if it can carry another poll.
    reusable: Option<Connection>,
}

/// The number of a poll of a watch.
type PollNumber = u64;

/// Polls for the same news: the one that was started last, and earlier ones that may still be answered. The first
/// answer ends them all.
#[derive(Default)]
pub(super) struct Polls {
    in_flight: JoinSet<(PollNumber, Polled)>,
    last: PollNumber,
    /// Notified where the answer to the last one takes long to come.
    slow: Rc<Notify>,
    reusable: Option<Connection>,
}

impl Polls {
    /// Starts a poll for what follows the version `after`.
    pub(super) fn start(&mut self, address: SocketAddr, after: Option<u64>) {
        self.last += 1;
        self.slow = Rc::default();
        let (number, reusable, slow) = (self.last, self.reusable.take(), Rc::clone(&self.slow));
        self.in_flight.spawn_local(async move { (number, poll(address, reusable, after, &slow).await) });
    }

    /// Waits for an answer to any of them or the failure of the last one, until another poll is due: after a while, or
    /// as the answer takes long to come.
    pub(super) async fn answer(&mut self, after: Option<u64>) -> Result<ListMessage, PollError> {
        let patience = watch_time(after) + SECOND_POLL_DELAY;
        let last = self.last;
        let ended = async {
            while let Some(ended) = self.in_flight.join_next().await {
                match ended {
                    Ok((_, Polled { answer: Ok(list), reusable })) => return Ok((list, reusable)),
                    Ok((number, Polled { answer: Err(error), .. })) if number == last => return Err(error),
                    _ => {}
                }
            }
            Err(PollError::NoAnswer)
        };
        let slow = Rc::clone(&self.slow);
        let ended = async {
            tokio::select! {
                biased;
                ended = ended => ended,
                () = slow.notified() => Err(PollError::SlowAnswer),
            }
        };
        let (list, reusable) = timeout(patience, ended).await.unwrap_or(Err(PollError::NoAnswer))?;
        self.finish(reusable);
        Ok(list)
    }

    /// Waits for an answer to any of them, however long that takes.
    pub(super) async fn late_answer(&mut self) -> ListMessage {
        loop {
            match self.in_flight.join_next().await {
                Some(Ok((_, Polled { answer: Ok(list), reusable }))) => {
                    self.finish(reusable);
                    return list;
                }
                Some(_) => {}
                None => pending().await,
            }
        }
    }

    fn finish(&mut self, reusable: Option<Connection>) {
        self.in_flight.abort_all();
        self.reusable = reusable;
    }
}

/// How long discovery may hold a poll for what follows the version `after`.
fn watch_time(after: Option<u64>) -> Duration {
    if after.is_some() { MAX_WATCH_TIME } else { Duration::ZERO }
}

/// Polls once, over the connection of the last poll where that is usable. Bounded in time and size, as a discovery that
/// is cut off never answers.
pub(super) async fn poll(
    address: SocketAddr,
    mut reusable: Option<Connection>,
    after: Option<u64>,
    slow: &Notify,
) -> Polled {
    let path = match after {
        Some(index) => {
            format!("/discovery/hosts?after={index}&wait_ms={}", MAX_WATCH_TIME.as_millis())
        }
        None => "/discovery/hosts".to_owned(),
    };
    match timeout(watch_time(after) + MAX_ANSWER_TIME, get_list(address, &mut reusable, &path, slow)).await {
        Ok(answer) => Polled { answer, reusable },
        Err(_) => Polled { answer: Err(PollError::NoAnswer), reusable: None },
    }
}

async fn get_list(
    address: SocketAddr,
    reusable: &mut Option<Connection>,
    path: &str,
    slow: &Notify,
) -> Result<ListMessage, PollError> {
    let (status, _, body) = http_get::get(address, reusable, path, slow).await.map_err(PollError::Get)?;
    if status != StatusCode::OK {
        return Err(PollError::Status(status));
    }
    serde_json::from_slice(&body).map_err(PollError::Unreadable)
}
