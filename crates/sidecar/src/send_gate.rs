//! The last check before an attempt is written, and the verification of the sidecar protocol's rules at its first byte.
//! Conditions may have changed since the balancer decided to send, as other tasks have run in between or the connect
//! was slow.

use crate::metrics::{RuleViolation, SendDenial};
use crate::request_lifecycle::RequestLifecycle;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// By how much the wait advertised to an endpoint may exceed the client's remaining time, by the protocol.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// By how much it may before the first byte is written; the difference allows for the time that the write takes.
const MAX_HEAD_AGE: Duration = Duration::from_millis(75);

/// The conditions that have to hold when the first byte of a send is written.
pub struct SendPermit {
    /// The state of the request.
    pub lifecycle: Rc<RequestLifecycle>,
    /// Whether the endpoint still permits the send.
    pub endpoint_permits: Box<dyn Fn() -> bool>,
    /// The attempt's own deadline, if it has one.
    pub attempt_deadline: Option<Instant>,
    /// The first byte must be written before this.
    pub write_by: Option<Instant>,
}

impl SendPermit {
    /// Whether the send may begin now.
    fn check(&self) -> Result<(), SendDenial> {
        let now = Instant::now();
        if !(self.endpoint_permits)() {
            return Err(SendDenial::PermissionRevoked);
        }
        self.lifecycle.check_sendable()?;
        if self.attempt_deadline.is_some_and(|deadline| now >= deadline) {
            return Err(SendDenial::DeadlineExceeded);
        }
        if self.write_by.is_some_and(|write_by| now >= write_by) {
            return Err(SendDenial::IdempotencyWindowExpired);
        }
        Ok(())
    }
}

/// One send, from its permit to the end of its attempt. It counts as in flight once its first byte is written.
pub struct GatedSend {
    /// Dropped when the send begins or ends, as it keeps the request's state alive.
    permit: RefCell<Option<SendPermit>>,
    /// Dropped when the send ends, as the connection that carried it may stay open for long.
    lifecycle: RefCell<Option<Rc<RequestLifecycle>>>,
    denial: Cell<Option<SendDenial>>,
    begun: Cell<bool>,
    /// How long the client waits for the answer, as advertised to the endpoint.
    advertised_wait: Cell<Option<Duration>>,
}

impl GatedSend {
    /// A send that may begin while `permit` holds.
    pub fn new(permit: SendPermit) -> Rc<Self> {
        Rc::new(Self {
            lifecycle: RefCell::new(Some(Rc::clone(&permit.lifecycle))),
            permit: RefCell::new(Some(permit)),
            denial: Cell::default(),
            begun: Cell::default(),
            advertised_wait: Cell::default(),
        })
    }

    /// Whether the next byte may be written now. A send that has begun may always continue.
    pub fn may_write(&self) -> bool {
        if self.begun.get() {
            return true;
        }
        // Without a permit, the send ended before its first byte.
        let checked = self.permit.borrow().as_ref().map_or(Err(SendDenial::Completed), |permit| {
            permit.check()?;
            self.check_advertised_wait(&permit.lifecycle)
        });
        if let Err(reason) = checked
            && self.denial.get().is_none()
        {
            reason.count();
            if let Some(lifecycle) = &*self.lifecycle.borrow() {
                lifecycle.trace(format_args!("send denied: {}", reason.name()));
            }
        }
        self.denial.set(checked.err());
        checked.is_ok()
    }

    /// Whether the head that is about to be written still says how long the client waits. It was made before the socket
    /// was ready to be written to, and this process may have been held up since.
    fn check_advertised_wait(&self, lifecycle: &RequestLifecycle) -> Result<(), SendDenial> {
        match (self.advertised_wait.get(), lifecycle.time_left()) {
            (Some(wait), Some(left)) if wait > left + MAX_HEAD_AGE => Err(SendDenial::WaitOutOfDate),
            _ => Ok(()),
        }
    }

    /// Why the send was denied, if it was.
    pub fn denial(&self) -> Option<SendDenial> {
        self.denial.get()
    }

    /// Records the wait that is advertised to the endpoint.
    pub fn advertise_wait(&self, wait: Duration) {
        self.advertised_wait.set(Some(wait));
    }

    /// Records that the kernel has accepted the first byte, and verifies the protocol's rules.
    pub fn begin(&self) {
        if self.begun.replace(true) {
            return;
        }
        let permit = self.permit.borrow_mut().take();
        let lifecycle = self.lifecycle.borrow();
        let Some(lifecycle) = lifecycle.as_deref() else { return };
        if lifecycle.is_completed() {
            lifecycle.report_violation(RuleViolation::AfterCompletion);
        }
        if permit.is_some_and(|permit| !(permit.endpoint_permits)()) {
            lifecycle.report_violation(RuleViolation::NotPermitted);
        }
        if lifecycle.sends_in_flight() > 0 {
            lifecycle.report_violation(RuleViolation::Duplicate);
        }
        if let (Some(wait), Some(left)) = (self.advertised_wait.get(), lifecycle.time_left())
            && wait > left + DEADLINE_SLACK
        {
            lifecycle.report_violation(RuleViolation::Deadline);
        }
        lifecycle.send_began();
    }

    /// Records that the attempt is over: its connection is closed, or the answer has been received.
    pub fn end(&self) {
        self.permit.borrow_mut().take();
        if let Some(lifecycle) = self.lifecycle.borrow_mut().take()
            && self.begun.get()
        {
            lifecycle.send_ended();
        }
    }
}

/// Ends a send when dropped, at the end of its attempt or when the attempt is cancelled.
pub struct SendGuard(pub Rc<GatedSend>);

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

#[cfg(test)]
mod tests;
