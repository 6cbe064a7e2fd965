//! State of a request that has no final answer yet.

use crate::attempt::Attempt;
use crate::{AttemptNumber, ClassId, Micros};

/// What a request waits for.
#[derive(PartialEq)]
pub(crate) enum RequestState {
    /// The end of an attempt.
    Sent,
    /// The time of its retry.
    Backoff,
    /// An endpoint below its limits.
    Queued,
    /// The end of its answer.
    Streaming,
}

/// A request that has no final answer yet.
pub(crate) struct Request {
    pub(crate) class: ClassId,
    pub(crate) latency_objective: f64,
    /// When it arrived, or when its body was complete.
    pub(crate) received_at: Micros,
    /// When it must have its final answer.
    pub(crate) deadline: Micros,
    /// When it stops waiting for capacity.
    pub(crate) queued_until: Micros,
    pub(crate) expected_work: f64,
    /// Its tenant is over its quota, or it is a client's retry.
    pub(crate) low_priority: bool,
    pub(crate) shed: bool,
    pub(crate) body_incomplete: bool,
    /// Failed attempts, plus the times that no endpoint was available.
    pub(crate) failures: u32,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) state: RequestState,
}

impl Request {
    /// Attempts that were or may yet be executed.
    pub(crate) fn possible_executions(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.in_flight || a.may_have_run)
    }

    /// Numbers of the attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptNumber> {
        (0..).zip(&self.attempts).filter(|(_, a)| a.in_flight).map(|(attempt, _)| attempt)
    }
}
