//! Limits the number of client connections, and evicts idle ones while more than half of the permits are in use.
//!
//! The threshold is half and not all: clients may be limited to fewer connections than there are permits. If all of
//! theirs were idle, no further connection would arrive to show that a permit is needed. The threshold also keeps
//! permits free for a sudden burst. A client that keeps more idle connections than half of the permits loses some and
//! has to connect again.

use crate::held_resources::Held;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// How long a new connection is safe from eviction. It need not be long, as a client sends its first request at once.
const NEW_GRACE_PERIOD: Duration = Duration::from_millis(50);
/// How long a connection between requests is safe from eviction.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(100);
/// How long a connection whose request is being read is safe from eviction.
const READING_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// What a connection that makes no progress is waiting for.
#[derive(Clone, Copy)]
pub enum WaitState {
    /// The connection was just accepted, and waits for its first request.
    New,
    /// The connection has carried requests, and waits for the next one.
    Used,
    /// The request is being read.
    ReadingRequest,
    /// Part of its response was written, and the endpoint has sent nothing more for long.
    RestingResponse,
}

impl WaitState {
    /// How long the connection is safe from eviction.
    fn grace_period(self) -> Duration {
        match self {
            Self::New => NEW_GRACE_PERIOD,
            Self::Used => IDLE_GRACE_PERIOD,
            Self::ReadingRequest => READING_GRACE_PERIOD,
            Self::RestingResponse => Duration::ZERO,
        }
    }
}

/// The permits for client connections.
pub struct ConnectionLimiter {
    permits: Cell<usize>,
    in_use: Cell<usize>,
    /// Connections that were asked to close and still hold their permits.
    closing: Cell<usize>,
    /// Connections that may be evicted, ordered by the time from which they may be.
    evictable: RefCell<BTreeMap<(Instant, u64), Rc<Notify>>>,
    released: Notify,
    /// Notified when [`Self::evict_above_threshold`] has to look again.
    changed: Notify,
    last_number: Cell<u64>,
}

/// A permit for one connection, released when dropped.
pub struct ConnectionPermit {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
}

/// Marks a connection as evictable until this is dropped.
pub struct EvictableConnection {
    limiter: Rc<ConnectionLimiter>,
    /// The connection's number.
    number: u64,
    from: Instant,
    evict: Rc<Notify>,
}

impl ConnectionLimiter {
    /// Creates a limiter with that number of permits.
    pub fn new(permits: usize) -> Rc<Self> {
        Rc::new(Self {
            permits: Cell::new(permits),
            in_use: Cell::new(0),
            closing: Cell::new(0),
            evictable: RefCell::default(),
            released: Notify::new(),
            changed: Notify::new(),
            last_number: Cell::new(0),
        })
    }

    /// Changes the number of permits. Those in use above it stay in use, and are not granted again.
    pub fn set_permits(&self, permits: usize) {
        if self.permits.replace(permits) != permits {
            self.released.notify_one();
            self.changed.notify_one();
        }
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Waits until a permit is free.
    pub async fn wait_for_free(&self) {
        while self.in_use.get() >= self.permits.get() {
            self.released.notified().await;
        }
    }

    /// Waits for a permit.
    pub async fn acquire(self: &Rc<Self>) -> ConnectionPermit {
        self.wait_for_free().await;
        self.exceed()
    }

    /// A permit beyond the limit.
    pub fn exceed(self: &Rc<Self>) -> ConnectionPermit {
        self.in_use.set(self.in_use.get() + 1);
        Held::ClientConnections.add(1);
        self.last_number.set(self.last_number.get() + 1);
        self.changed.notify_one();
        ConnectionPermit { limiter: Rc::clone(self), number: self.last_number.get() }
    }

    /// While more than half of the permits are in use, evicts connections whose grace period has ended, those whose
    /// period ended first before others, and no more than needed. Never returns.
    pub async fn evict_above_threshold(self: Rc<Self>) {
        loop {
            let above_threshold = self.in_use.get() - self.closing.get() > self.permits.get() / 2;
            let first = self.evictable.borrow().first_key_value().map(|((from, _), _)| *from);
            match first.filter(|_| above_threshold) {
                Some(from) if from <= Instant::now() => self.evict_first(),
                Some(from) => drop(timeout_at(from, self.changed.notified()).await),
                None => self.changed.notified().await,
            }
        }
    }

    fn evict_first(&self) {
        if let Some((_, evict)) = self.evictable.borrow_mut().pop_first() {
            self.closing.set(self.closing.get() + 1);
            evict.notify_one();
        }
    }
}

impl ConnectionPermit {
    /// Marks the connection as evictable once the grace period of its state has ended.
    pub fn evictable(&self, state: WaitState) -> EvictableConnection {
        let from = Instant::now() + state.grace_period();
        let evict = Rc::new(Notify::new());
        self.limiter.evictable.borrow_mut().insert((from, self.number), Rc::clone(&evict));
        self.limiter.changed.notify_one();
        EvictableConnection { limiter: Rc::clone(&self.limiter), number: self.number, from, evict }
    }
}

impl EvictableConnection {
    /// Waits until the connection has to close.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for EvictableConnection {
    fn drop(&mut self) {
        let limiter = &self.limiter;
        if limiter.evictable.borrow_mut().remove(&(self.from, self.number)).is_none() {
            // Evicted, but its request has arrived after all: the connection stays, and another has to be evicted in
            // its place.
            limiter.closing.set(limiter.closing.get() - 1);
        }
        limiter.changed.notify_one();
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.in_use.set(self.limiter.in_use.get() - 1);
        Held::ClientConnections.subtract(1);
        self.limiter.released.notify_one();
    }
}
