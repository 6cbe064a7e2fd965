//! What this process counts, by reason: ends of clients' connections, answers, ends of attempts, denied sends, and
//! breaches of the protocol's rules. Operators get them as text in Prometheus' form.
//!
//! The sidecar has one thread, so counts are plain cells of that thread.

use lotusmoor_balancer::Outcome;
use std::cell::Cell;
use std::fmt::Write;

/// A family of counters: an enum of reasons, and a cell for each.
macro_rules! family {
    ($(#[$doc:meta])* $name:ident, $metric:literal, $label:literal, $help:literal,
     { $($(#[$variant_doc:meta])* $variant:ident = $value:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)+
        }

        impl $name {
            const ALL: &[Self] = &[$(Self::$variant,)+];

            fn cells<T>(with: impl FnOnce(&[Cell<u64>]) -> T) -> T {
                thread_local! {
                    static CELLS: Vec<Cell<u64>> = vec![Cell::new(0); $name::ALL.len()];
                }
                CELLS.with(|cells| with(cells))
            }

            /// Its value in logs and metrics.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $value,)+
                }
            }

            /// Counts one.
            pub fn count(self) {
                Self::cells(|cells| cells[self as usize].set(cells[self as usize].get() + 1));
            }

            /// How many were counted.
            pub fn total(self) -> u64 {
                Self::cells(|cells| cells[self as usize].get())
            }

            fn write(to: &mut String) {
                // Writing to a string does not fail.
                let _ = write!(to, "# HELP {} {}\n# TYPE {} counter\n", $metric, $help, $metric);
                for one in Self::ALL {
                    let _ = writeln!(to, "{}_total{{{}=\"{}\"}} {}", $metric, $label, one.name(), one.total());
                }
            }
        }
    };
}

family! {
    /// Why a client's connection ended.
    Closed, "lotusmoor_sidecar_connections_closed", "reason", "Ends of clients' connections.",
    {
        /// It rested for too long, was not used, or was wanted for another client.
        Resting = "resting",
        /// The sidecar is out of service.
        OutOfService = "out_of_service",
        /// Its answer said so.
        Answered = "answered",
        /// Its client has closed or reset it.
        ClientLeft = "client_left",
        /// Its client did not take its answer, or the answer broke off.
        AnswerBrokeOff = "answer_broke_off",
    }
}

family! {
    /// How a request was answered.
    Answered, "lotusmoor_sidecar_requests_answered", "how", "Final answers to requests.",
    {
        /// With an endpoint's answer.
        Served = "served",
        /// With a promise that it has not run.
        Refused = "refused",
        /// With an endpoint's judgement of it.
        Barred = "barred",
        /// Failed by the decision module.
        Failed = "failed",
        /// Failed as its time was over and the module had not answered.
        Overdue = "overdue",
        /// Failed as the process is about to end.
        Stopped = "stopped",
        /// Turned away before it came to the module.
        TurnedAway = "turned_away",
    }
}

family! {
    /// Why a send was denied at the moment of writing.
    Denied, "lotusmoor_sidecar_sends_denied", "reason", "Attempts that were denied their first byte.",
    {
        /// The endpoint drains, is gone, has moved, was taken out or is a new process.
        Revoked = "permission_revoked",
        /// The request has its answer, or was withdrawn.
        Settled = "settled",
        /// The client has closed its connection, or sent what does not belong to the request.
        ClientLeft = "client_left",
        /// The time for an answer is over.
        TimeOver = "time_over",
        /// The endpoint might not know the request's key any more.
        RepeatWindowOver = "repeat_window_over",
    }
}

family! {
    /// How an attempt ended, as the decision module was told.
    Attempted, "lotusmoor_sidecar_attempts_ended", "outcome", "Ends of attempts.",
    {
        /// With an answer.
        Ok = "ok",
        /// With an error, or what can't be read.
        Error = "error",
        /// Turned away, surely not run.
        Rejected = "rejected",
        /// No connection, or none to the last byte.
        ConnectFailed = "connect_failed",
        /// The connection broke after that.
        Reset = "reset",
        /// No answer in time.
        TimedOut = "timed_out",
        /// Called back.
        Cancelled = "cancelled",
        /// Never sent.
        NotSent = "not_sent",
    }
}

impl Attempted {
    /// Of an outcome.
    pub fn of(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Ok | Outcome::BadRequest => Self::Ok,
            Outcome::Error => Self::Error,
            Outcome::Rejected => Self::Rejected,
            Outcome::ConnectFailed => Self::ConnectFailed,
            Outcome::Reset | Outcome::ReusedConnectionReset => Self::Reset,
            Outcome::TimedOut => Self::TimedOut,
            Outcome::Cancelled => Self::Cancelled,
            Outcome::NotSent => Self::NotSent,
        }
    }
}

family! {
    /// A rule of the protocol that was seen to be broken at run time; each count is a fault of this program.
    Violation, "lotusmoor_sidecar_rule_violations", "rule", "Breaches of the protocol's rules, which are faults of the sidecar.",
    {
        /// A request that was read ended without an answer, though its client was there.
        Lost = "lost",
        /// An attempt began while another of its request was out.
        Duplicate = "duplicate",
        /// An attempt began after its request had its answer, or its client had gone.
        Withdrawn = "withdrawn",
        /// An attempt began at an endpoint without permission.
        Drain = "drain",
        /// An attempt was told more time than its client had left.
        Deadline = "deadline",
    }
}

/// All counts as text in Prometheus' form.
pub fn text() -> String {
    let mut text = String::new();
    Closed::write(&mut text);
    Answered::write(&mut text);
    Denied::write(&mut text);
    Attempted::write(&mut text);
    Violation::write(&mut text);
    text
}

#[cfg(test)]
mod tests;
