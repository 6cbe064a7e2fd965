//! Counters of this process, by reason: ends of connections, answers, ends of attempts, denied sends and violations of
//! the protocol's rules. Operators read them in Prometheus' text format.
//!
//! Only the serving thread counts, so a counter is a plain thread-local cell.

use crate::held_resources;
use lotusmoor_balancer::Outcome;
use std::cell::Cell;
use std::fmt::Write;

/// Declares a family of counters: an enum of label values, with one counter for each.
macro_rules! counter_family {
    ($(#[$doc:meta])* $name:ident, $metric:literal, $label:literal, $help:literal,
     { $($(#[$variant_doc:meta])* $variant:ident = $value:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)+
        }

        impl $name {
            const ALL: &[Self] = &[$(Self::$variant,)+];

            fn with_counters<T>(read: impl FnOnce(&[Cell<u64>]) -> T) -> T {
                thread_local! {
                    static COUNTERS: Vec<Cell<u64>> = vec![Cell::new(0); $name::ALL.len()];
                }
                COUNTERS.with(|counters| read(counters))
            }

            /// The label value, as it appears in metrics and logs.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $value,)+
                }
            }

            /// Increments the counter.
            pub fn count(self) {
                Self::with_counters(|counters| {
                    let counter = &counters[self as usize];
                    counter.set(counter.get() + 1);
                });
            }

            /// The counter's value.
            pub fn total(self) -> u64 {
                Self::with_counters(|counters| counters[self as usize].get())
            }

            fn write_all(text: &mut String) {
                // Writing to a string does not fail.
                let _ = writeln!(text, "# HELP {} {}", $metric, $help);
                let _ = writeln!(text, "# TYPE {} counter", $metric);
                for value in Self::ALL {
                    let (name, total) = (value.name(), value.total());
                    let _ = writeln!(text, "{}_total{{{}=\"{name}\"}} {total}", $metric, $label);
                }
            }
        }
    };
}

counter_family! {
    /// Why a client's connection ended.
    ConnectionEnd, "lotusmoor_sidecar_connections_closed", "reason", "Ends of clients' connections.",
    {
        /// It was idle for too long, was never used, or was closed to make room for another client.
        Idle = "idle",
        /// The sidecar is out of service.
        OutOfService = "out_of_service",
        /// Its last answer announced the close.
        AfterAnswer = "after_answer",
        /// The client closed or reset it.
        ClientClosed = "client_closed",
        /// The client did not read its answer, or the answer was truncated.
        AnswerIncomplete = "answer_incomplete",
        /// There was no permit for it in time.
        TurnedAway = "turned_away",
    }
}

counter_family! {
    /// How a request was answered.
    RequestOutcome, "lotusmoor_sidecar_requests_answered", "outcome", "Final answers to requests.",
    {
        /// With an endpoint's response.
        Served = "served",
        /// Shed by the balancer; it is certain that the request did not run.
        Shed = "shed",
        /// With an endpoint's client error status.
        ClientError = "client_error",
        /// Failed by the balancer.
        Failed = "failed",
        /// Failed because its deadline passed without an answer by the balancer.
        DeadlineExceeded = "deadline_exceeded",
        /// Failed because the process is about to exit.
        ShutDown = "shut_down",
        /// Shed before it reached the balancer, as memory did not become free in time.
        NoMemory = "no_memory",
        /// Shed before it was read, as there was no permit for its connection in time.
        NoPermit = "no_permit",
        /// Rejected before it reached the balancer.
        Rejected = "rejected",
    }
}

counter_family! {
    /// Why a send was denied just before its first byte was written.
    SendDenial, "lotusmoor_sidecar_sends_denied", "reason", "Attempts stopped before their first byte was written.",
    {
        /// The endpoint is draining, removed, cordoned, restarted or at another address.
        PermissionRevoked = "permission_revoked",
        /// The request has its final answer, or was abandoned.
        Completed = "request_completed",
        /// The client closed its connection, or sent bytes that do not belong to the request.
        ClientClosed = "client_closed",
        /// Unread bytes of its body hide whether the client is still connected.
        ClientUnverified = "client_unverified",
        /// The deadline of the attempt or of the request has passed.
        DeadlineExceeded = "deadline_exceeded",
        /// The head of the attempt tells the endpoint to wait for longer than the client.
        WaitOutOfDate = "wait_out_of_date",
        /// The endpoint may have forgotten the request's idempotency key.
        IdempotencyWindowExpired = "idempotency_window_expired",
    }
}

counter_family! {
    /// How an attempt ended, as reported to the balancer.
    AttemptOutcome, "lotusmoor_sidecar_attempts_ended", "outcome", "Ends of attempts.",
    {
        /// With a response, including one with a client error status.
        Ok = "ok",
        /// With an error, or an unreadable response.
        Error = "error",
        /// Rejected by the endpoint; it is certain that the request did not run.
        Rejected = "rejected",
        /// There was no connection, or it was lost before the last byte was written.
        ConnectFailed = "connect_failed",
        /// The connection was lost after the last byte was written.
        Reset = "reset",
        /// There was no response within the time limit.
        TimedOut = "timed_out",
        /// Cancelled by the balancer.
        Cancelled = "cancelled",
        /// Never sent.
        NotSent = "not_sent",
    }
}

counter_family! {
    /// Why a connection to an endpoint was not kept for another request, other than by age or number.
    EndpointConnectionEnd, "lotusmoor_sidecar_endpoint_connections_closed", "reason", "Connections to endpoints that could not be reused.",
    {
        /// The endpoint sent bytes that belong to no request, such as a second response.
        UnexpectedBytes = "unexpected_bytes",
        /// The endpoint closed or reset it while it was idle.
        ClosedByEndpoint = "closed_by_endpoint",
    }
}

counter_family! {
    /// How a response ended that was forwarded before all of it was received.
    StreamedResponseEnd, "lotusmoor_sidecar_streamed_responses_ended", "reason", "Ends of responses that were forwarded as they arrived.",
    {
        /// The endpoint has sent all of it.
        Complete = "complete",
        /// The endpoint sent nothing for too long.
        EndpointStalled = "endpoint_stalled",
        /// The connection to the endpoint was lost, or the rest of the body is invalid.
        EndpointFailed = "endpoint_failed",
        /// It is longer than a response may be.
        TooLong = "too_long",
        /// The client has closed its connection or reads too slowly, or the process is about to exit.
        ClientGone = "client_gone",
    }
}

counter_family! {
    /// What happened to uploads while their endpoint accepted nothing more for the moment.
    WaitingUploadEvent, "lotusmoor_sidecar_waiting_uploads", "event", "Events of uploads that wait for their endpoint.",
    {
        /// There was no memory to read on, so it is not known from here on when bytes arrive.
        ReadingSuspended = "reading_suspended",
        /// The client's time was over.
        DeadlineExceeded = "deadline_exceeded",
    }
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> Self {
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

counter_family! {
    /// A violation of the sidecar protocol's rules (see the head of `main.rs`), detected at run time: each one is a bug
    /// in this program.
    RuleViolation, "lotusmoor_sidecar_rule_violations", "rule", "Violations of the protocol's rules, which are bugs in the sidecar.",
    {
        /// A request that was read ended without an answer, although its client was still connected.
        Unanswered = "unanswered",
        /// An attempt began while another of the same request was in flight.
        Duplicate = "duplicate",
        /// An attempt began after its request had its final answer, or was abandoned.
        AfterCompletion = "after_completion",
        /// An attempt began at an endpoint that did not permit it.
        NotPermitted = "not_permitted",
        /// An attempt advertised a longer wait than its client had left.
        Deadline = "deadline",
    }
}

fn write_dropped_lines(text: &mut String) {
    const METRIC: &str = "lotusmoor_sidecar_log_lines_dropped";
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "# HELP {METRIC} Log lines dropped because standard error did not accept them at once."
    );
    let _ = writeln!(text, "# TYPE {METRIC} counter");
    let _ = writeln!(text, "{METRIC}_total {}", lotusmoor_log_output::dropped_lines());
}

/// All counters and gauges in Prometheus' text format.
pub fn to_prometheus_text() -> String {
    let mut text = String::new();
    ConnectionEnd::write_all(&mut text);
    RequestOutcome::write_all(&mut text);
    SendDenial::write_all(&mut text);
    AttemptOutcome::write_all(&mut text);
    EndpointConnectionEnd::write_all(&mut text);
    StreamedResponseEnd::write_all(&mut text);
    WaitingUploadEvent::write_all(&mut text);
    RuleViolation::write_all(&mut text);
    write_dropped_lines(&mut text);
    held_resources::write_all(&mut text);
    text
}

#[cfg(test)]
mod tests;
