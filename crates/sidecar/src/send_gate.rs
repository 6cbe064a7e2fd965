//! The one place that says whether an attempt may be sent now, and that checks, as its bytes leave, that the
//! protocol's rules hold. What was decided some turns of the runtime or a late connection ago may not hold any more,
//! so it is asked at the moment in which the first byte is written.

use crate::client_liveness::Presence;
use crate::log::{self, log_line};
use crate::metrics::{Denied, Violation};
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
    Settled,
}

/// A request's life, as far as sends depend on it. Shared by its client's connection, the engine and its attempts.
pub struct RequestLife {
    /// The id that the client gave it.
    id: Box<str>,
    stage: Cell<Stage>,
    /// The client, where there is one.
    client: Option<Presence>,
    /// More of its body is to come: what lies unread belongs to it.
    body_flows: bool,
    /// When its client may stop waiting at the soonest, by what is known of when its last byte came; absent where it has
    /// no client.
    soonest_due: Cell<Option<Instant>>,
    /// Attempts that have begun to be written and are not over.
    out: Cell<u32>,
}

impl RequestLife {
    /// Of a request that was just read.
    pub fn new(id: &[u8], client: Option<Presence>, body_flows: bool) -> Rc<Self> {
        let id = String::from_utf8_lossy(id).into();
        let (stage, soonest_due, out) = (Cell::new(Stage::Open), Cell::default(), Cell::default());
        Rc::new(Self { id, stage, client, body_flows, soonest_due, out })
    }

    /// How long an endpoint may be told that its answer is waited for, where it is until then. Endpoints count that
    /// from the last byte of a request, as its client does: the time that a body takes to come is not theirs.
    pub fn time_to_tell(&self, until: Instant) -> Duration {
        let until = self.soonest_due.get().map_or(until, |due| due.min(until));
        until.saturating_duration_since(Instant::now())
    }

    /// The client stops waiting then, or later where its body flows on: the rest of that may lie in the system's queue
    /// already, and the client have begun to wait.
    pub fn set_soonest_due(&self, due: Instant) {
        self.soonest_due.set(Some(due));
    }

    /// It has its final answer, or needs none any more.
    pub fn settle(&self) {
        self.stage.set(Stage::Settled);
    }

    /// Whether a send for it may begin.
    fn check(&self) -> Result<(), Denied> {
        if self.stage.get() == Stage::Settled {
            return Err(Denied::Settled);
        }
        if self.soonest_due.get().is_some_and(|due| Instant::now() >= due) {
            return Err(Denied::TimeOver);
        }
        let there = self.client.as_ref().is_none_or(|client| match self.body_flows {
            // Who sends anything behind a whole request is told 400, if it is there at all.
            false => client.quiet(),
            true => !client.left(),
        });
        if there { Ok(()) } else { Err(Denied::ClientLeft) }
    }

    /// Logs an event of its life, where operators want that.
    pub fn trace(&self, what: fmt::Arguments<'_>) {
        if log::traces_requests() {
            log_line!("request {}: {what}", self.id);
        }
    }

    /// A rule was broken: that is counted and logged, and the process goes on.
    pub fn violated(&self, rule: Violation) {
        rule.count();
        log_line!("rule broken: {}, request {}", rule.name(), self.id);
    }
}

/// Why a send may begin: what was decided, and what has to hold still when its first byte is written.
pub struct SendPermit {
    /// The request.
    pub life: Rc<RequestLife>,
    /// Whether the endpoint may still be sent to as was decided.
    pub endpoint: Box<dyn Fn() -> bool>,
    /// No answer is waited for after this, where the attempt has a bound of its own.
    pub until: Option<Instant>,
    /// Nothing may begin to be written after this, where there is such a bound.
    pub write_by: Option<Instant>,
}

impl SendPermit {
    /// Whether the send may begin now.
    pub fn check(&self) -> Result<(), Denied> {
        let now = Instant::now();
        if !(self.endpoint)() {
            return Err(Denied::Revoked);
        }
        self.life.check()?;
        if self.until.is_some_and(|until| now >= until) {
            return Err(Denied::TimeOver);
        }
        if self.write_by.is_some_and(|by| now >= by) {
            return Err(Denied::RepeatWindowOver);
        }
        Ok(())
    }
}

/// One send, from its permit to the end of its attempt. From its first byte on it counts as out.
pub struct GatedSend {
    /// Dropped as it begins or ends: it holds what the request needs.
    permit: RefCell<Option<SendPermit>>,
    /// Dropped as it ends: the connection that carries it may be kept for long.
    life: RefCell<Option<Rc<RequestLife>>>,
    denied: Cell<Option<Denied>>,
    begun: Cell<bool>,
    /// How long the endpoint is told that the answer is waited for.
    promised: Cell<Option<Duration>>,
}

impl GatedSend {
    /// With that permit.
    pub fn new(permit: SendPermit) -> Rc<Self> {
        let life = RefCell::new(Some(Rc::clone(&permit.life)));
        let permit = RefCell::new(Some(permit));
        let (denied, begun, promised) = (Cell::default(), Cell::default(), Cell::default());
        Rc::new(Self { permit, life, denied, begun, promised })
    }

    /// Whether its next byte may be written. Asked at that moment; once it has begun, it may go on.
    pub fn may_write(&self) -> bool {
        if self.begun.get() {
            return true;
        }
        // One that has ended without a byte is over.
        let checked = self.permit.borrow().as_ref().map_or(Err(Denied::Settled), SendPermit::check);
        if let Err(why) = checked
            && self.denied.get().is_none()
        {
            why.count();
            if let Some(life) = &*self.life.borrow() {
                life.trace(format_args!("a send was denied: {}", why.name()));
            }
        }
        self.denied.set(checked.err());
        checked.is_ok()
    }

    /// Why it was denied, if it was.
    pub fn denied(&self) -> Option<Denied> {
        self.denied.get()
    }

    /// The endpoint is told that its answer is waited for so long from now on.
    pub fn promise(&self, wait: Duration) {
        self.promised.set(Some(wait));
    }

    /// The system has taken its first byte: what must hold then is looked at once more.
    pub fn begin(&self) {
        if self.begun.replace(true) {
            return;
        }
        let permit = self.permit.borrow_mut().take();
        let life = self.life.borrow();
        let Some(life) = life.as_deref() else { return };
        if life.stage.get() == Stage::Settled {
            life.violated(Violation::Withdrawn);
        }
        if permit.is_some_and(|permit| !(permit.endpoint)()) {
            life.violated(Violation::Drain);
        }
        if life.out.get() > 0 {
            life.violated(Violation::Duplicate);
        }
        let due = life.soonest_due.get();
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
        let past_due = |told: Duration| left.is_some_and(|left| told > left + DEADLINE_SLACK);
        if self.promised.get().is_some_and(past_due) {
            life.violated(Violation::Deadline);
        }
        life.out.set(life.out.get() + 1);
    }

    /// Its attempt is over: its connection is closed, or has brought the answer.
    pub fn end(&self) {
        self.permit.borrow_mut().take();
        if let Some(life) = self.life.borrow_mut().take()
            && self.begun.get()
        {
            life.out.set(life.out.get() - 1);
        }
    }
}

/// Ends a send when dropped, as at the end of its attempt or when that is called back.
pub struct EndsSend(pub Rc<GatedSend>);

impl Drop for EndsSend {
    fn drop(&mut self) {
        self.0.end();
    }
}

#[cfg(test)]
mod tests;
