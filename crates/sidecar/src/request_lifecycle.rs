//! The state of a request as far as sends depend on it.

use crate::client_liveness::ClientLiveness;
use crate::log::{self, log_line};
use crate::metrics::{RuleViolation, SendDenial};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A request's way from its client to its answer, as far as sends depend on it. Shared by the client's connection, the
/// engine and the request's attempts.
pub struct RequestLifecycle {
    /// The correlation id that the client gave it.
    id: Box<str>,
    /// It has its final answer, or needs none any more.
    completed: Cell<bool>,
    /// The client; none for health checks.
    client: Option<ClientLiveness>,
    /// The body is streamed and not complete: what lies unread on the client's connection belongs to it.
    streams_body: Cell<bool>,
    /// When the client may stop waiting at the earliest, by what is known of when its last byte came.
    earliest_deadline: Cell<Option<Instant>>,
    /// Attempts that have begun to be written and are not over.
    sends_in_flight: Cell<u32>,
    /// An attempt has begun to be written, whatever became of it.
    any_send_began: Cell<bool>,
}

impl RequestLifecycle {
    /// The state of a request that was just read.
    pub fn new(id: &[u8], client: Option<ClientLiveness>, streams_body: bool) -> Rc<Self> {
        Rc::new(Self {
            id: String::from_utf8_lossy(id).into(),
            completed: Cell::new(false),
            client,
            streams_body: Cell::new(streams_body),
            earliest_deadline: Cell::default(),
            sends_in_flight: Cell::default(),
            any_send_began: Cell::default(),
        })
    }

    /// How long an endpoint may be told that its answer is waited for, if it is until `until`. Endpoints count that
    /// from the last byte of a request, as its client does, so the time that a body takes is not theirs.
    pub fn advertised_wait(&self, until: Instant) -> Duration {
        let until = self.earliest_deadline.get().map_or(until, |deadline| deadline.min(until));
        until.saturating_duration_since(Instant::now())
    }

    /// Sets when the client stops waiting. With a streamed body that may be later; but the rest of the body may lie in
    /// the system's queue already, and the client have begun to wait.
    pub fn set_earliest_deadline(&self, deadline: Instant) {
        self.earliest_deadline.set(Some(deadline));
    }

    /// Records that it has its final answer, or needs none any more: no attempt may begin.
    pub fn complete(&self) {
        self.completed.set(true);
    }

    /// Whether it has its final answer, or needs none any more.
    pub fn is_completed(&self) -> bool {
        self.completed.get()
    }

    /// Whether an attempt may begin.
    pub fn check_sendable(&self) -> Result<(), SendDenial> {
        if self.is_completed() {
            return Err(SendDenial::Completed);
        }
        if self.earliest_deadline.get().is_some_and(|deadline| Instant::now() >= deadline) {
            return Err(SendDenial::DeadlineExceeded);
        }
        self.client.as_ref().map_or(Ok(()), |client| self.check_client(client))
    }

    fn check_client(&self, client: &ClientLiveness) -> Result<(), SendDenial> {
        // Bytes behind a complete request are answered with 400, if the client is still there at all.
        if client.is_closed() || !self.streams_body.get() && !client.is_quiet() {
            return Err(SendDenial::ClientClosed);
        }
        if client.is_surely_connected() { Ok(()) } else { Err(SendDenial::ClientUnverified) }
    }

    /// Waits until the connection of the client shows whether it is closed, which unread bytes of a body may hide.
    pub async fn client_verified(&self) {
        if let Some(client) = self.client.as_ref().filter(|_| self.streams_body.get()) {
            client.verified().await;
        }
    }

    /// Records that the last byte of a streamed body was received.
    pub fn body_received(&self) {
        self.streams_body.set(false);
        if let Some(client) = &self.client {
            client.verification_done();
        }
    }

    /// The time until the earliest deadline.
    pub fn time_left(&self) -> Option<Duration> {
        Some(self.earliest_deadline.get()?.saturating_duration_since(Instant::now()))
    }

    /// Attempts that have begun to be written and are not over.
    pub fn sends_in_flight(&self) -> u32 {
        self.sends_in_flight.get()
    }

    /// Whether an attempt has ever begun to be written.
    pub fn any_send_began(&self) -> bool {
        self.any_send_began.get()
    }

    /// Records that an attempt has begun to be written.
    pub fn send_began(&self) {
        self.any_send_began.set(true);
        self.sends_in_flight.set(self.sends_in_flight.get() + 1);
    }

    /// Records that an attempt that had begun is over.
    pub fn send_ended(&self) {
        self.sends_in_flight.set(self.sends_in_flight.get() - 1);
    }

    /// Logs an event of the request, where operators want that.
    pub fn trace(&self, event: fmt::Arguments<'_>) {
        if log::traces_requests() {
            log_line!("request {}: {event}", self.id);
        }
    }

    /// Counts and logs a broken rule. The process goes on.
    pub fn report_violation(&self, rule: RuleViolation) {
        rule.count();
        log_line!("rule broken: {}, request {}", rule.name(), self.id);
    }
}
