//! What clients, servers, relays and discovery saw of a run.

use super::super::ledger::{Over, Seen};
use super::super::sends::Sent;
use super::cold_budget::Cold;
use std::collections::HashMap;

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing.
    Safe,
    /// Servers drop repeats of its key for so long, in microseconds.
    Keyed {
        /// For how long.
        window: i64,
    },
    /// Harm.
    Unsafe,
}

/// What came back to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Came {
    /// No connection came up: nothing was taken.
    Unreached,
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
    Nothing,
    /// The client closed its connection early.
    Left {
        /// When.
        at: i64,
    },
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id.
    pub id: String,
    /// The sidecar that it went to.
    pub sidecar: usize,
    /// What a repeat would do.
    pub kind: Kind,
    /// How long its client waits, in microseconds.
    pub wait: i64,
    /// When its last byte was written.
    pub sent: i64,
    /// What came back.
    pub came: Came,
}

impl Ask {
    /// Whether it was served.
    pub fn is_served(&self) -> bool {
        matches!(self.came, Came::Answer { status: 200, .. })
    }
}

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: usize,
    /// What came.
    pub seen: Seen,
    /// How it ended; none where the server was killed first.
    pub over: Option<Over>,
}

/// A request as it left its sidecar, whenever its server read it, if ever.
#[derive(Clone, Debug)]
pub struct Send {
    /// The sidecar.
    pub sidecar: usize,
    /// The server that it was for.
    pub server: usize,
    /// The request.
    pub sent: Sent,
}

/// A stretch of time in which a process stood still or was away.
#[derive(Clone, Copy, Debug)]
pub struct Away {
    /// Which sidecar, or which server.
    pub number: usize,
    /// From its beginning to its end.
    pub span: (i64, i64),
}

impl Away {
    pub(super) fn meets(&self, number: usize, from: i64, to: i64) -> bool {
        self.number == number && self.span.0 <= to && from <= self.span.1
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
    pub asks: Vec<Ask>,
    /// Attempts, as servers read them.
    pub attempts: Vec<Attempt>,
    /// The same as they left their sidecars. A link may hold one back, and a server that stands still reads it late.
    pub sends: Vec<Send>,
    /// When each sidecar (first) was told that a server (second) drains or is gone.
    pub told_gone: Vec<(usize, usize, i64)>,
    /// What operators have taken out, and been promised that it is.
    pub cordons: Vec<Cordon>,
    /// When it was told that the server is back.
    pub told_back: Vec<(usize, usize, i64)>,
    /// Stretches in which sidecars were away.
    pub sidecars_away: Vec<Away>,
    /// Stretches in which servers were away or stood still, when what they write down is late.
    pub servers_away: Vec<Away>,
    /// How much later than a rule's own figure is still in order: what the machine itself may add.
    pub slack: i64,
    /// Sends to a server that drains may go on for so long.
    pub grace: i64,
    /// When each server started anew, cold.
    pub starts: Vec<(usize, i64)>,
    /// What a cold one bears; absent, any number.
    pub cold: Option<Cold>,
    /// The most that links between sidecars and servers delay what is sent.
    pub links: i64,
    /// Peers that were no clients.
    pub strangers: Vec<Stranger>,
}

impl History {
    /// Takes for the sends what servers have read, where nobody stood behind the sidecars to see them leave. What a
    /// server read late, or as it was given up, is left out: when that was sent is not known.
    pub fn take_reads_for_sends(&mut self) {
        let sidecars: HashMap<&str, usize> = self.asks.iter().map(|a| (a.id.as_str(), a.sidecar)).collect();
        let in_time = |a: &&Attempt| {
            let (from, to) = a.seen.came;
            !a.seen.stale && !self.servers_away.iter().any(|away| away.meets(a.server, from, to))
        };
        let send = |a: &Attempt| {
            let sent = Sent { id: a.seen.id.clone(), at: a.seen.came.0, told: a.seen.told };
            Some(Send { sidecar: *sidecars.get(a.seen.id.as_str())?, server: a.server, sent })
        };
        self.sends = self.attempts.iter().filter(in_time).filter_map(send).collect();
    }

    /// When an attempt that a server has read left its sidecar, as far as that was seen: the last time that it did so
    /// before it was read.
    pub(super) fn left_at(&self, attempt: &Attempt) -> i64 {
        let came = attempt.seen.came.0;
        let of_it =
            |s: &&Send| s.server == attempt.server && s.sent.id == attempt.seen.id && s.sent.at <= came;
        self.sends.iter().filter(of_it).map(|s| s.sent.at).max().unwrap_or(came)
    }
}

/// A peer that connected to a sidecar and sent no proper request, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stranger {
    /// The sidecar.
    pub sidecar: usize,
    /// When its connection was up.
    pub came: i64,
    /// When it got an error or a close; none where it got neither for as long as it stayed.
    pub turned_away: Option<i64>,
    /// Its request was answered as if it had run.
    pub served: bool,
}
