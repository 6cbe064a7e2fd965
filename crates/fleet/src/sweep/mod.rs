//! The sweep of system calls: a scripted scenario of a sidecar, or of a registry replica, runs once to count the system
//! calls of each kind, and then once for each fault: one of those calls fails, or all from one on for half a second,
//! with each transient error that Linux documents for it. After each run the protocol's rules must hold, everything
//! that was acknowledged must be in effect, and the process must still run.
//!
//! EINTR stands for a signal, after which the caller makes the call again at once. While EINTR is injected for half a
//! second, only every second call fails: if all failed, the process would hang in the retry loops of the standard
//! library.

mod replica;
mod sidecar;

pub use replica::run_replica_scenario;
pub use sidecar::{CallCounts, run_sidecar_scenario};

use lotusmoor_faults::{Call, CallFault, Rule, Span, errno};
use serde::{Deserialize, Serialize};
use std::fmt;

/// How long calls fail in a [`CallExtent::Outage`], in microseconds.
const OUTAGE_US: u64 = 500_000;

/// Which calls fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallExtent {
    /// A single call.
    Once,
    /// All calls of the kind for half a second.
    #[serde(rename = "for_a_while")]
    Outage,
}

/// One fault of the sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// The kind of call, as its index in [`Call::ALL`].
    call: usize,
    /// The error number.
    errno: i32,
    /// The number of the first call of that kind that fails, counted from 1.
    number: u64,
    /// Which calls fail from that one on.
    extent: CallExtent,
}

impl Case {
    /// The kind of call.
    pub fn call(&self) -> Call {
        Call::ALL[self.call % Call::ALL.len()]
    }

    /// The fault table's rule that makes the calls fail.
    pub fn rule(&self) -> Rule {
        let span = match self.extent {
            CallExtent::Once => Span::Calls(1),
            CallExtent::Outage => Span::Lasts(OUTAGE_US),
        };
        let every = if self.errno == errno::EINTR { 2 } else { 1 };
        Rule { call: self.call(), fault: CallFault::Errno(self.errno), skip: self.number - 1, every, span }
    }

    /// Whether the kind of call is one on files.
    pub fn is_on_file(&self) -> bool {
        matches!(self.call(), Call::Open | Call::Read | Call::Write | Call::Sync | Call::Rename)
    }

    /// Whether the error ends the connections that it hits, like a network that loses them.
    pub fn ends_connections(&self) -> bool {
        let on_connection = matches!(self.call(), Call::Receive | Call::Peek | Call::Send);
        on_connection && errno::ENDS_CONNECTION.contains(&self.errno)
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let extent = match self.extent {
            CallExtent::Once => "",
            CallExtent::Outage => " and all after it for 500 ms",
        };
        write!(f, "{} number {}{extent}: error {}", self.call(), self.number, self.errno)
    }
}

/// Cases over the counted calls: for each kind of call, error and extent at most `max_per_error` of them, evenly
/// spaced.
pub fn cases(counts: &CallCounts, max_per_error: u64) -> Vec<Case> {
    let of_call = |(call, count): (usize, u64)| {
        let step = count.div_ceil(max_per_error.max(1)).max(1);
        let numbers = (1..=count).step_by(usize::try_from(step).unwrap_or(usize::MAX));
        let of_number = move |number: u64| {
            let errors = Call::ALL[call].transient_errors().iter();
            errors.flat_map(move |errno| {
                [CallExtent::Once, CallExtent::Outage].map(|extent| Case {
                    call,
                    errno: *errno,
                    number,
                    extent,
                })
            })
        };
        numbers.flat_map(of_number)
    };
    counts.0.iter().copied().enumerate().flat_map(of_call).collect()
}
