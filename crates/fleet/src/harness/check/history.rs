//! The history of a run, as recorded by clients, servers, fault proxies and discovery.

use super::super::backend::{EndedRequest, ReceivedRequest};
use super::super::sent_requests::SentRequest;
use super::slow_start_limit::SlowStartLimit;
use std::collections::HashMap;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it has no further effect.
    Idempotent,
    /// It carries an idempotency key, by which servers drop repeats for a while.
    Keyed {
        /// How long servers remember the key, in microseconds.
        window: i64,
    },
    /// Repeating it does harm.
    NonIdempotent,
}

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// No connection could be established, so no request was accepted.
    ConnectFailed,
    /// The sidecar closed the connection without an answer.
    Closed {
        /// When it was closed.
        at: i64,
    },
    /// A complete answer.
    Answer {
        /// Its status.
        status: u16,
        /// When its last byte arrived.
        at: i64,
        /// Its body.
        body: String,
    },
    /// Nothing was received until well after the deadline.
    TimedOut,
    /// The client closed its connection before it had an answer.
    Disconnected {
        /// When it closed it.
        at: i64,
    },
}

/// A request, as its client recorded it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its id.
    pub id: String,
    /// The sidecar that it was sent to.
    pub sidecar: usize,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// How long its client waits for the answer, in microseconds.
    pub timeout: i64,
    /// When its last byte was written, on the last connection that it was sent on.
    pub sent_at: i64,
    /// When its first connection, which it had reused, closed without an answer, if the sidecar had read the request by
    /// then. Its client sent it again on another connection.
    pub closed_after_read: Option<i64>,
    /// How it ended.
    pub outcome: Outcome,
}

impl ClientRequest {
    /// Whether it was answered with 200.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answer { status: 200, .. })
    }
}

/// An attempt at a request, as its server recorded it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: usize,
    /// The request, as received.
    pub request: ReceivedRequest,
    /// How it ended; `None` if the server was killed first.
    pub end: Option<EndedRequest>,
}

/// A request as it left a sidecar, recorded by the fault proxy, whether or not a server ever read it.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The sidecar.
    pub sidecar: usize,
    /// The server that it was sent to.
    pub server: usize,
    /// The request.
    pub request: SentRequest,
}

/// A period in which a process was paused or not running.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The number of the sidecar or server.
    pub instance: usize,
    /// Start and end.
    pub span: (i64, i64),
}

impl Outage {
    pub(super) fn overlaps(&self, instance: usize, from: i64, to: i64) -> bool {
        self.instance == instance && self.span.0 <= to && from <= self.span.1
    }
}

/// A server that operators have cordoned at a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cordon {
    /// The sidecar.
    pub sidecar: usize,
    /// The server.
    pub server: usize,
    /// From the sidecar's acknowledgement of the cordon to the uncordon call.
    pub span: (i64, i64),
}

/// Everything that was recorded of a run. Times are microseconds on one clock.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests, as clients recorded them.
    pub requests: Vec<ClientRequest>,
    /// Attempts, as servers recorded them.
    pub attempts: Vec<Attempt>,
    /// The same attempts as they left the sidecars. A link may delay an attempt, and a paused server reads it late.
    pub forwarded: Vec<ForwardedRequest>,
    /// When a sidecar (first) was notified that a server (second) is draining or removed.
    pub notified_unavailable: Vec<(usize, usize, i64)>,
    /// Cordons that sidecars have acknowledged.
    pub cordons: Vec<Cordon>,
    /// When a sidecar (first) was notified that a server (second) is active again.
    pub notified_available: Vec<(usize, usize, i64)>,
    /// Periods in which sidecars were not running.
    pub sidecar_outages: Vec<Outage>,
    /// Periods in which servers were not running or paused; a paused server records events late.
    pub server_outages: Vec<Outage>,
    /// Tolerance added to the time limits of rules, for delays of the test machine itself.
    pub slack: i64,
    /// How long requests may still be sent to a server that has begun to drain.
    pub drain_grace: i64,
    /// When servers were restarted, and began to warm up.
    pub server_starts: Vec<(usize, i64)>,
    /// How many requests a server that is warming up can take; `None` for no limit.
    pub slow_start_limit: Option<SlowStartLimit>,
    /// The longest delay that links between sidecars and servers add.
    pub max_link_delay: i64,
    /// Connections that carried no valid request.
    pub malformed_clients: Vec<MalformedClient>,
}

impl History {
    /// Derives the forwarded requests from the attempts that servers recorded, for runs without fault proxies behind
    /// the sidecars. Attempts that a paused server read late, or that were already abandoned when it read them, are
    /// left out: when they were sent is not known.
    pub fn use_attempts_as_forwarded(&mut self) {
        let sidecars: HashMap<&str, usize> =
            self.requests.iter().map(|r| (r.id.as_str(), r.sidecar)).collect();
        let read_in_time = |a: &&Attempt| {
            let (from, to) = a.request.received_at;
            !a.request.stale && !self.server_outages.iter().any(|outage| outage.overlaps(a.server, from, to))
        };
        let forwarded = |a: &Attempt| {
            let request = SentRequest {
                id: a.request.id.clone(),
                sent_at: a.request.received_at.0,
                time_left: a.request.time_left,
            };
            Some(ForwardedRequest {
                sidecar: *sidecars.get(a.request.id.as_str())?,
                server: a.server,
                request,
            })
        };
        self.forwarded = self.attempts.iter().filter(read_in_time).filter_map(forwarded).collect();
    }

    /// When the attempt that a server received had left its sidecar: the last time that the request was forwarded to
    /// this server before it was read, or else the time when it was read.
    pub(super) fn sent_at_of(&self, attempt: &Attempt) -> i64 {
        let received_at = attempt.request.received_at.0;
        let matching = |f: &&ForwardedRequest| {
            f.server == attempt.server
                && f.request.id == attempt.request.id
                && f.request.sent_at <= received_at
        };
        self.forwarded.iter().filter(matching).map(|f| f.request.sent_at).max().unwrap_or(received_at)
    }
}

/// A connection to a sidecar that carried an invalid or incomplete request, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedClient {
    /// The sidecar.
    pub sidecar: usize,
    /// When the connection was established.
    pub connected_at: i64,
    /// When the sidecar answered or closed the connection; `None` if it did neither while the client stayed connected.
    pub rejected_at: Option<i64>,
    /// Whether the sidecar answered with a status below 400, as if the request were valid.
    pub served: bool,
}
