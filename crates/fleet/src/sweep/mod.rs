//! The sweep: one scripted life of a sidecar is played once to count its system calls of each kind, and then again and
//! again with one of those calls failing, or all from one on for half a second, by each error that Linux documents for
//! it. After each play the protocol's rules hold, what was acknowledged is still owed, and the process lives.
//!
//! A call that is interrupted is so by a signal, and made again at once: of those that are interrupted for a while it is
//! every second one. Were it all of them, the process would stand still in the standard library's own loops.

mod replica;
mod sidecar;

pub use replica::run_replica_scenario;
pub use sidecar::{CallCounts, run_sidecar_scenario};

use lotusmoor_faults::{Call, CallFault, Rule, Span, errno};
use serde::{Deserialize, Serialize};
use std::fmt;

/// For how long calls fail that fail for a while, in microseconds.
const WHILE_US: u64 = 500_000;

/// How many calls fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Extent {
    /// One.
    Once,
    /// All of that kind for half a second.
    ForAWhile,
}

/// One fault of the sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// The kind of call, by its place in [`Call::ALL`].
    call: usize,
    /// The error.
    errno: i32,
    /// The number of the first call of that kind that fails, from 1 on.
    number: u64,
    /// How many fail.
    extent: Extent,
}

impl Case {
    /// The kind of call.
    pub fn call(&self) -> Call {
        Call::ALL[self.call % Call::ALL.len()]
    }

    /// The rule that makes the calls fail.
    pub fn rule(&self) -> Rule {
        let span = match self.extent {
            Extent::Once => Span::Calls(1),
            Extent::ForAWhile => Span::Lasts(WHILE_US),
        };
        let every = if self.errno == errno::EINTR { 2 } else { 1 };
        Rule { call: self.call(), fault: CallFault::Errno(self.errno), skip: self.number - 1, every, span }
    }

    /// Whether the calls that fail are those on files.
    pub fn is_on_file(&self) -> bool {
        matches!(self.call(), Call::Open | Call::Read | Call::Write | Call::Sync | Call::Rename)
    }

    /// Whether the error ends the connections that it meets, as a network would that lost them.
    pub fn ends_connections(&self) -> bool {
        let on_connection = matches!(self.call(), Call::Receive | Call::Peek | Call::Send);
        on_connection && errno::ENDS_CONNECTION.contains(&self.errno)
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let extent = match self.extent {
            Extent::Once => "",
            Extent::ForAWhile => " and all after it for 500 ms",
        };
        write!(f, "{} number {}{extent}: error {}", self.call(), self.number, self.errno)
    }
}

/// Cases over calls that were counted: for each kind of call, error and extent at most `most` of them, evenly spaced.
pub fn cases(counts: &CallCounts, most: u64) -> Vec<Case> {
    let of_call = |(call, count): (usize, u64)| {
        let step = count.div_ceil(most.max(1)).max(1);
        let numbers = (1..=count).step_by(usize::try_from(step).unwrap_or(usize::MAX));
        let of_number = move |number: u64| {
            let errors = Call::ALL[call].documented().iter();
            errors.flat_map(move |errno| {
                [Extent::Once, Extent::ForAWhile].map(|extent| Case { call, errno: *errno, number, extent })
            })
        };
        numbers.flat_map(of_number)
    };
    counts.0.iter().copied().enumerate().flat_map(of_call).collect()
}
