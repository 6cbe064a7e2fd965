//! The one place that says whether an attempt may be sent now, and that checks, as its bytes leave, that the
//! protocol's rules hold. What was decided some turns of the runtime or a late connection ago may not hold any more,
//! so it is asked at the moment in which the first byte is written.

use crate::client_liveness::ClientLiveness;
use crate::log::{self, log_line};
use crate::metrics::{RuleViolation, SendDenial};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// By how much the time that an attempt tells its endpoint may be over what is left, by the protocol.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Where a request is on its way from its client to its answer. It only goes forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It is read; attempts may begin.
    Open,
    /// It has its final answer, or needs none any more: no attempt may begin.
    Completed,
}

/// A request's life, as far as sends depend on it. Shared by its client's connection, the engine and its attempts.
pub struct RequestLifecycle {
    /// The id that the client gave it.
    id: Box<str>,
    stage: Cell<Stage>,
    /// The client, where there is one.
    client: Option<ClientLiveness>,
    /// More of its body is to come: what lies unread belongs to it.
    body_flows: bool,
    /// When its client may stop waiting at the soonest, by what is known of when its last byte came; absent where it has
    /// no client.
    earliest_deadline: Cell<Option<Instant>>,
    /// Attempts that have begun to be written and are not over.
    out: Cell<u32>,
}

impl RequestLifecycle {
    /// Of a request that was just read.
    pub fn new(id: &[u8], client: Option<ClientLiveness>, body_flows: bool) -> Rc<Self> {
        let id = String::from_utf8_lossy(id).into();
        let (stage, earliest_deadline, out) = (Cell::new(Stage::Open), Cell::default(), Cell::default());
        Rc::new(Self { id, stage, client, body_flows, earliest_deadline, out })
    }

    /// How long an endpoint may be told that its answer is waited for, where it is until then. Endpoints count that
    /// from the last byte of a request, as its client does: the time that a body takes to come is not theirs.
    pub fn advertised_wait(&self, until: Instant) -> Duration {
        let until = self.earliest_deadline.get().map_or(until, |due| due.min(until));
        until.saturating_duration_since(Instant::now())
    }

    /// The client stops waiting then, or later where its body flows on: the rest of that may lie in the system's queue
    /// already, and the client have begun to wait.
    pub fn set_earliest_deadline(&self, due: Instant) {
        self.earliest_deadline.set(Some(due));
    }

    /// It has its final answer, or needs none any more.
    pub fn complete(&self) {
        self.stage.set(Stage::Completed);
    }

    /// Whether a send for it may begin.
    fn check(&self) -> Result<(), SendDenial> {
        if self.stage.get() == Stage::Completed {
            return Err(SendDenial::Completed);
        }
        if self.earliest_deadline.get().is_some_and(|due| Instant::now() >= due) {
            return Err(SendDenial::DeadlineExceeded);
        }
        let there = self.client.as_ref().is_none_or(|client| match self.body_flows {
            // Who sends anything behind a whole request is told 400, if it is there at all.
            false => client.quiet(),
            true => !client.left(),
        });
        if there { Ok(()) } else { Err(SendDenial::ClientClosed) }
    }

    /// Logs an event of its life, where operators want that.
    pub fn trace(&self, what: fmt::Arguments<'_>) {
        if log::traces_requests() {
            log_line!("request {}: {what}", self.id);
        }
    }

    /// A rule was broken: that is counted and logged, and the process goes on.
    pub fn report_violation(&self, rule: RuleViolation) {
        rule.count();
        log_line!("rule broken: {}, request {}", rule.name(), self.id);
    }
}

/// Why a send may begin: what was decided, and what has to hold still when its first byte is written.
pub struct SendPermit {
    /// The request.
    pub lifecycle: Rc<RequestLifecycle>,
    /// Whether the endpoint may still be sent to as was decided.
    pub endpoint: Box<dyn Fn() -> bool>,
    /// No answer is waited for after this, where the attempt has a bound of its own.
    pub until: Option<Instant>,
    /// Nothing may begin to be written after this, where there is such a bound.
    pub write_by: Option<Instant>,
}

impl SendPermit {
    /// Whether the send may begin now.
    pub fn check(&self) -> Result<(), SendDenial> {
        let now = Instant::now();
        if !(self.endpoint)() {
            return Err(SendDenial::PermissionRevoked);
        }
        self.lifecycle.check()?;
        if self.until.is_some_and(|until| now >= until) {
            return Err(SendDenial::DeadlineExceeded);
        }
        if self.write_by.is_some_and(|by| now >= by) {
            return Err(SendDenial::IdempotencyWindowExpired);
        }
        Ok(())
    }
}

/// One send, from its permit to the end of its attempt. From its first byte on it counts as out.
pub struct GatedSend {
    /// Dropped as it begins or ends: it holds what the request needs.
    permit: RefCell<Option<SendPermit>>,
    /// Dropped as it ends: the connection that carries it may be kept for long.
    lifecycle: RefCell<Option<Rc<RequestLifecycle>>>,
    denied: Cell<Option<SendDenial>>,
    begun: Cell<bool>,
    /// How long the endpoint is told that the answer is waited for.
    advertised: Cell<Option<Duration>>,
}

impl GatedSend {
    /// With that permit.
    pub fn new(permit: SendPermit) -> Rc<Self> {
        let lifecycle = RefCell::new(Some(Rc::clone(&permit.lifecycle)));
        let permit = RefCell::new(Some(permit));
        let (denied, begun, advertised) = (Cell::default(), Cell::default(), Cell::default());
        Rc::new(Self { permit, lifecycle, denied, begun, advertised })
    }

    /// Whether its next byte may be written. Asked at that moment; once it has begun, it may go on.
    pub fn may_write(&self) -> bool {
        if self.begun.get() {
            return true;
        }
        // One that has ended without a byte is over.
        let checked = self.permit.borrow().as_ref().map_or(Err(SendDenial::Completed), SendPermit::check);
        if let Err(why) = checked
            && self.denied.get().is_none()
        {
            why.count();
            if let Some(lifecycle) = &*self.lifecycle.borrow() {
                lifecycle.trace(format_args!("a send was denied: {}", why.name()));
            }
        }
        self.denied.set(checked.err());
        checked.is_ok()
    }

    /// Why it was denied, if it was.
    pub fn denied(&self) -> Option<SendDenial> {
        self.denied.get()
    }

    /// The endpoint is told that its answer is waited for so long from now on.
    pub fn advertise_wait(&self, wait: Duration) {
        self.advertised.set(Some(wait));
    }

    /// The system has taken its first byte: what must hold then is looked at once more.
    pub fn begin(&self) {
        if self.begun.replace(true) {
            return;
        }
        let permit = self.permit.borrow_mut().take();
        let lifecycle = self.lifecycle.borrow();
        let Some(lifecycle) = lifecycle.as_deref() else { return };
        if lifecycle.stage.get() == Stage::Completed {
            lifecycle.report_violation(RuleViolation::AfterCompletion);
        }
        if permit.is_some_and(|permit| !(permit.endpoint)()) {
            lifecycle.report_violation(RuleViolation::NotPermitted);
        }
        if lifecycle.out.get() > 0 {
            lifecycle.report_violation(RuleViolation::Duplicate);
        }
        let due = lifecycle.earliest_deadline.get();
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
        let past_due = |told: Duration| left.is_some_and(|left| told > left + DEADLINE_SLACK);
        if self.advertised.get().is_some_and(past_due) {
            lifecycle.report_violation(RuleViolation::Deadline);
        }
        lifecycle.out.set(lifecycle.out.get() + 1);
    }

    /// Its attempt is over: its connection is closed, or has brought the answer.
    pub fn end(&self) {
        self.permit.borrow_mut().take();
        if let Some(lifecycle) = self.lifecycle.borrow_mut().take()
            && self.begun.get()
        {
            lifecycle.out.set(lifecycle.out.get() - 1);
        }
    }
}

/// Ends a send when dropped, as at the end of its attempt or when that is called back.
pub struct SendGuard(pub Rc<GatedSend>);

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

#[cfg(test)]
mod tests;
