//! What clients, servers, relays and discovery saw of a run.

use super::super::backend::{EndedRequest, ReceivedRequest};
use super::super::sent_requests::SentRequest;
use super::slow_start_limit::SlowStartLimit;
use std::collections::HashMap;

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing.
    Idempotent,
    /// Servers drop repeats of its key for so long, in microseconds.
    Keyed {
        /// For how long.
        window: i64,
    },
    /// Harm.
    NonIdempotent,
}

/// What came back to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// No connection came up: nothing was taken.
    ConnectFailed,
    /// The connection ended without an answer.
    Closed {
        /// When.
        at: i64,
    },
    /// A whole answer.
    Answer {
        /// Its status.
        status: u16,
        /// When its last byte came.
        at: i64,
        /// Its body.
        body: String,
    },
    /// Nothing at all, long past its time.
    TimedOut,
    /// The client closed its connection early.
    Disconnected {
        /// When.
        at: i64,
    },
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its id.
    pub id: String,
    /// The sidecar that it went to.
    pub sidecar: usize,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// How long its client waits, in microseconds.
    pub timeout: i64,
    /// When its last byte was written.
    pub sent_at: i64,
    /// What came back.
    pub outcome: Outcome,
}

impl ClientRequest {
    /// Whether it was served.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answer { status: 200, .. })
    }
}

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: usize,
    /// What came.
    pub request: ReceivedRequest,
    /// How it ended; none where the server was killed first.
    pub end: Option<EndedRequest>,
}

/// A request as it left its sidecar, whenever its server read it, if ever.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The sidecar.
    pub sidecar: usize,
    /// The server that it was for.
    pub server: usize,
    /// The request.
    pub request: SentRequest,
}

/// A stretch of time in which a process stood still or was away.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Which sidecar, or which server.
    pub instance: usize,
    /// From its beginning to its end.
    pub span: (i64, i64),
}

impl Outage {
    pub(super) fn overlaps(&self, instance: usize, from: i64, to: i64) -> bool {
        self.instance == instance && self.span.0 <= to && from <= self.span.1
    }
}

/// A server that operators have taken out at a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cordon {
    /// The sidecar.
    pub sidecar: usize,
    /// The server.
    pub server: usize,
    /// From the sidecar's yes to the call that gives it back.
    pub span: (i64, i64),
}

/// All that was seen of a run. Times are microseconds on one clock.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub requests: Vec<ClientRequest>,
    /// Attempts, as servers read them.
    pub attempts: Vec<Attempt>,
    /// The same as they left their sidecars. A link may hold one back, and a server that stands still reads it late.
    pub forwarded: Vec<ForwardedRequest>,
    /// When each sidecar (first) was told that a server (second) drains or is gone.
    pub notified_unavailable: Vec<(usize, usize, i64)>,
    /// What operators have taken out, and been promised that it is.
    pub cordons: Vec<Cordon>,
    /// When it was told that the server is back.
    pub notified_available: Vec<(usize, usize, i64)>,
    /// Stretches in which sidecars were away.
    pub sidecar_outages: Vec<Outage>,
    /// Stretches in which servers were away or stood still, when what they write down is late.
    pub server_outages: Vec<Outage>,
    /// How much later than a rule's own figure is still in order: what the machine itself may add.
    pub slack: i64,
    /// Sends to a server that drains may go on for so long.
    pub drain_grace: i64,
    /// When each server started anew, cold.
    pub server_starts: Vec<(usize, i64)>,
    /// What a cold one bears; absent, any number.
    pub slow_start_limit: Option<SlowStartLimit>,
    /// The most that links between sidecars and servers delay what is sent.
    pub max_link_delay: i64,
    /// Peers that were no clients.
    pub malformed_clients: Vec<MalformedClient>,
}

impl History {
    /// Takes for the sends what servers have read, where nobody stood behind the sidecars to see them leave. What a
    /// server read late, or as it was given up, is left out: when that was sent is not known.
    pub fn use_attempts_as_forwarded(&mut self) {
        let sidecars: HashMap<&str, usize> =
            self.requests.iter().map(|a| (a.id.as_str(), a.sidecar)).collect();
        let in_time = |a: &&Attempt| {
            let (from, to) = a.request.received_at;
            !a.request.stale && !self.server_outages.iter().any(|away| away.overlaps(a.server, from, to))
        };
        let send = |a: &Attempt| {
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
        self.forwarded = self.attempts.iter().filter(in_time).filter_map(send).collect();
    }

    /// When an attempt that a server has read left its sidecar, as far as that was seen: the last time that it did so
    /// before it was read.
    pub(super) fn sent_at_of(&self, attempt: &Attempt) -> i64 {
        let came = attempt.request.received_at.0;
        let of_it = |s: &&ForwardedRequest| {
            s.server == attempt.server && s.request.id == attempt.request.id && s.request.sent_at <= came
        };
        self.forwarded.iter().filter(of_it).map(|s| s.request.sent_at).max().unwrap_or(came)
    }
}

/// A peer that connected to a sidecar and sent no proper request, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedClient {
    /// The sidecar.
    pub sidecar: usize,
    /// When its connection was up.
    pub connected_at: i64,
    /// When it got an error or a close; none where it got neither for as long as it stayed.
    pub rejected_at: Option<i64>,
    /// Its request was answered as if it had run.
    pub served: bool,
}
