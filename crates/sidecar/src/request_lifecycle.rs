//! The state of a request that decides whether it may be sent.

use crate::client_liveness::ClientLiveness;
use crate::log::{self, log_line};
use crate::metrics::{RuleViolation, SendDenial};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The state of a request that decides whether its attempts may be sent. Shared by the client's connection, the
/// engine and the attempts.
pub struct RequestLifecycle {
    /// The correlation id that the client gave it.
    id: Box<str>,
    /// The request has its final answer, or no longer needs one.
    completed: Cell<bool>,
    /// The client's connection; none for health checks.
    client: Option<ClientLiveness>,
    /// The body is or was streamed in.
    was_streamed: bool,
    /// The body is still being streamed in, so unread bytes on the client's connection belong to it.
    streams_body: Cell<bool>,
    /// Notified when the body was received to its end.
    body_complete: Notify,
    /// The earliest time at which the client may stop waiting, given what is known about the arrival of its last byte.
    earliest_deadline: Cell<Option<Instant>>,
    /// Attempts whose first byte is written and that have not ended.
    sends_in_flight: Cell<u32>,
    /// The first byte of some attempt was written, however that attempt ended.
    any_send_began: Cell<bool>,
}

impl RequestLifecycle {
    /// The state of a request that was just read.
    pub fn new(id: &[u8], client: Option<ClientLiveness>, streams_body: bool) -> Rc<Self> {
        Rc::new(Self {
            id: String::from_utf8_lossy(id).into(),
            completed: Cell::new(false),
            client,
            was_streamed: streams_body,
            streams_body: Cell::new(streams_body),
            body_complete: Notify::new(),
            earliest_deadline: Cell::default(),
            sends_in_flight: Cell::default(),
            any_send_began: Cell::default(),
        })
    }

    /// The wait to advertise to an endpoint for an attempt that waits until `until`. It ends no later than the
    /// earliest deadline. Endpoints count it from the last byte of the request, as clients do, so the time that the
    /// body takes to arrive is not part of it.
    pub fn advertised_wait(&self, until: Instant) -> Duration {
        let until = self.earliest_deadline.get().map_or(until, |deadline| deadline.min(until));
        until.saturating_duration_since(Instant::now())
    }

    /// When the wait for the response to an attempt ends that waits until `until`. A streamed body is not complete before
    /// its client has written it, so its attempts wait for as long as the client does.
    pub fn response_deadline(&self, until: Instant) -> Instant {
        match (self.earliest_deadline.get(), self.was_streamed) {
            (Some(deadline), true) => deadline,
            (Some(deadline), false) => deadline.min(until),
            (None, _) => until,
        }
    }

    /// Sets the earliest time at which the client may stop waiting. The client's deadline counts from the last byte of
    /// its request. While a body is streamed in, that byte may be still to come, or be in the kernel's receive queue
    /// already while the client is waiting. This is the deadline in the latter case.
    pub fn set_earliest_deadline(&self, deadline: Instant) {
        self.earliest_deadline.set(Some(deadline));
    }

    /// Records that the request has its final answer, or no longer needs one. No attempt may begin after that.
    pub fn complete(&self) {
        self.completed.set(true);
    }

    /// Whether the request has its final answer, or no longer needs one.
    pub fn is_completed(&self) -> bool {
        self.completed.get()
    }

    /// Whether an attempt may begin now.
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
        // Bytes that follow a complete request are answered with 400, if the client is still connected at all.
        if client.is_closed() || !self.streams_body.get() && !client.has_nothing_unread() {
            return Err(SendDenial::ClientClosed);
        }
        if !self.streams_body.get() || client.is_known_connected() {
            return Ok(());
        }
        Err(SendDenial::ClientUnverified)
    }

    /// Waits until it is known whether the client is still connected, which unread bytes of a streamed body may hide.
    pub async fn client_verified(&self) {
        if let Some(client) = self.client.as_ref().filter(|_| self.streams_body.get()) {
            client.wait_until_verified().await;
        }
    }

    /// Waits until the body was received to its end and the client's time is over.
    pub async fn client_time_over(&self) {
        while self.streams_body.get() {
            self.body_complete.notified().await;
        }
        if let Some(deadline) = self.earliest_deadline.get() {
            sleep_until(deadline).await;
        }
    }

    /// Records that the last byte of a streamed body was received, and the deadline that follows from that.
    pub fn body_received(&self, deadline: Instant) {
        self.set_earliest_deadline(deadline);
        self.streams_body.set(false);
        self.body_complete.notify_waiters();
        if let Some(client) = &self.client {
            client.notify_verification_done();
        }
    }

    /// The time until the earliest deadline.
    pub fn time_left(&self) -> Option<Duration> {
        Some(self.earliest_deadline.get()?.saturating_duration_since(Instant::now()))
    }

    /// Number of attempts whose first byte is written and that have not ended.
    pub fn sends_in_flight(&self) -> u32 {
        self.sends_in_flight.get()
    }

    /// Whether the first byte of any attempt was written.
    pub fn any_send_began(&self) -> bool {
        self.any_send_began.get()
    }

    /// Records that the first byte of an attempt was written.
    pub fn send_began(&self) {
        self.any_send_began.set(true);
        self.sends_in_flight.set(self.sends_in_flight.get() + 1);
    }

    /// Records the end of an attempt whose first byte was written.
    pub fn send_ended(&self) {
        self.sends_in_flight.set(self.sends_in_flight.get() - 1);
    }

    /// Logs an event of the request, if the tracing of requests is switched on.
    pub fn trace(&self, event: fmt::Arguments<'_>) {
        if log::traces_requests() {
            log_line!("request {}: {event}", self.id);
        }
    }

    /// Counts and logs a violation of the protocol's rules. The process keeps running.
    pub fn report_violation(&self, rule: RuleViolation) {
        rule.count();
        log_line!("rule broken: {}, request {}", rule.name(), self.id);
    }
}
