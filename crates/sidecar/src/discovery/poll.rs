//! Polls of discovery: single polls, and hedged polls of which the first answer counts.

use crate::connection::IdleSocket;
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

/// How long discovery may hold a poll while nothing changes. A poll that is never answered looks like one without
/// changes, and until it times out draining endpoints are still sent requests, so the time is short. It also sets the
/// minimum load on discovery: without changes, each sidecar polls this often.
const MAX_HOLD_TIME: Duration = Duration::from_secs(4);
/// Delay of a hedged poll, counted from the end of the hold time: the first poll may never be answered.
const HEDGE_DELAY: Duration = Duration::from_secs(2);
/// Time limit for the answer to a poll, counted from the end of the hold time. It is long: a slow or overloaded
/// discovery still answers polls that wait for it, but none if each of them times out too soon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Why a poll returned no list.
#[derive(Debug)]
pub(super) enum PollError {
    /// No answer within the time limit.
    NoAnswer,
    /// The answer has begun but is slow. It may still arrive.
    SlowAnswer,
    /// The exchange failed.
    Get(GetError),
    /// Discovery answered with a status other than 200.
    Status(StatusCode),
    /// The answer is not a valid list.
    Unreadable(serde_json::Error),
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer => f.write_str("no answer"),
            Self::SlowAnswer => f.write_str("slow answer, its body is not complete yet"),
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

/// The result of a poll.
pub(super) struct Polled {
    /// The list, or why there is none.
    pub(super) answer: Result<ListMessage, PollError>,
    /// The connection, if it can be reused for another poll.
    reusable: Option<IdleSocket>,
}

/// The number of a poll of a watch.
type PollNumber = u64;

/// The polls of a watch in flight: the one that was started last, and earlier ones that may still be answered. The
/// first answer cancels the others.
#[derive(Default)]
pub(super) struct Polls {
    in_flight: JoinSet<(PollNumber, Polled)>,
    last: PollNumber,
    /// Notified if the answer to the last poll is slow.
    slow: Rc<Notify>,
    reusable: Option<IdleSocket>,
}

impl Polls {
    /// Starts a poll for the changes since the version `after`.
    pub(super) fn start(&mut self, address: SocketAddr, after: Option<u64>) {
        self.last += 1;
        self.slow = Rc::default();
        let (number, reusable, slow) = (self.last, self.reusable.take(), Rc::clone(&self.slow));
        self.in_flight.spawn_local(async move { (number, poll(address, reusable, after, &slow).await) });
    }

    /// Waits for an answer to any of the polls or the failure of the last one, until a hedged poll is due:
    /// [`HEDGE_DELAY`] after the end of the hold time, or as soon as the answer is slow.
    pub(super) async fn answer(&mut self, after: Option<u64>) -> Result<ListMessage, PollError> {
        let hedge_after = hold_time(after) + HEDGE_DELAY;
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
        let (list, reusable) = timeout(hedge_after, ended).await.unwrap_or(Err(PollError::NoAnswer))?;
        self.finish(reusable);
        Ok(list)
    }

    /// Waits for an answer to any of the polls, without a time limit.
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

    fn finish(&mut self, reusable: Option<IdleSocket>) {
        self.in_flight.abort_all();
        self.reusable = reusable;
    }
}

/// How long discovery may hold a poll for the changes since the version `after`. A poll for the complete list is
/// answered at once.
fn hold_time(after: Option<u64>) -> Duration {
    if after.is_some() { MAX_HOLD_TIME } else { Duration::ZERO }
}

/// Polls once, over the connection of the last poll if that is usable. Time and size are bounded, as a discovery that
/// is unreachable never answers.
pub(super) async fn poll(
    address: SocketAddr,
    mut reusable: Option<IdleSocket>,
    after: Option<u64>,
    slow: &Notify,
) -> Polled {
    let path = match after {
        Some(index) => {
            format!("/discovery/hosts?after={index}&wait_ms={}", MAX_HOLD_TIME.as_millis())
        }
        None => "/discovery/hosts".to_owned(),
    };
    match timeout(hold_time(after) + ANSWER_TIMEOUT, get_list(address, &mut reusable, &path, slow)).await {
        Ok(answer) => Polled { answer, reusable },
        Err(_) => Polled { answer: Err(PollError::NoAnswer), reusable: None },
    }
}

async fn get_list(
    address: SocketAddr,
    reusable: &mut Option<IdleSocket>,
    path: &str,
    slow: &Notify,
) -> Result<ListMessage, PollError> {
    let (status, _, body) = http_get::get(address, reusable, path, slow).await.map_err(PollError::Get)?;
    if status != StatusCode::OK {
        return Err(PollError::Status(status));
    }
    serde_json::from_slice(&body).map_err(PollError::Unreadable)
}
