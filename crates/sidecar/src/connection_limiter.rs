//! Limits the number of clients' connections, and evicts idle ones when more than half of the permits are taken.
//!
//! Half, and not all: clients may be limited to fewer connections than there are permits. Were all of theirs idle, no
//! further one would come to show that a permit is wanted. It also keeps permits free for a sudden rush. A client that
//! keeps more idle connections than half of the permits loses some and has to connect again.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// A client sends its first request at once, so a new connection need not wait long for it.
const NEW_GRACE: Duration = Duration::from_millis(50);
/// The same for a connection between requests.
const IDLE_GRACE: Duration = Duration::from_millis(100);
/// The same for a connection whose request is being read.
const READING_GRACE: Duration = Duration::from_millis(500);

/// Why a connection has no request that could be answered.
#[derive(Clone, Copy)]
pub enum WaitState {
    /// It was just accepted.
    New,
    /// It has carried requests, and waits for the next one.
    Used,
    /// Its request is being read.
    ReadingRequest,
}

impl WaitState {
    /// How long the connection is safe from eviction.
    fn grace(self) -> Duration {
        match self {
            Self::New => NEW_GRACE,
            Self::Used => IDLE_GRACE,
            Self::ReadingRequest => READING_GRACE,
        }
    }
}

/// The permits for clients' connections.
pub struct ConnectionLimiter {
    permits: usize,
    taken: Cell<usize>,
    /// Connections that were asked to close and still hold their permits.
    closing: Cell<usize>,
    /// Connections that may be evicted, by the time from which on they may.
    evictable: RefCell<BTreeMap<(Instant, u64), Rc<Notify>>>,
    released: Notify,
    changed: Notify,
    last_number: Cell<u64>,
}

/// A permit for one connection, released when dropped.
pub struct ConnectionPermit {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
}

/// Marks a connection as evictable for as long as it is held.
pub struct EvictableConnection<'a> {
    permit: &'a ConnectionPermit,
    from: Instant,
    evict: Rc<Notify>,
}

impl ConnectionLimiter {
    /// Creates a limiter with that number of permits.
    pub fn new(permits: usize) -> Rc<Self> {
        Rc::new(Self {
            permits,
            taken: Cell::new(0),
            closing: Cell::new(0),
            evictable: RefCell::default(),
            released: Notify::new(),
            changed: Notify::new(),
            last_number: Cell::new(0),
        })
    }

    /// Waits for a permit.
    pub async fn acquire(self: &Rc<Self>) -> ConnectionPermit {
        while self.taken.get() >= self.permits {
            self.released.notified().await;
        }
        self.taken.set(self.taken.get() + 1);
        self.last_number.set(self.last_number.get() + 1);
        self.changed.notify_one();
        ConnectionPermit { limiter: Rc::clone(self), number: self.last_number.get() }
    }

    /// While more than half of the permits are taken, evicts connections whose grace has ended, the longest over it
    /// first, and no more than needed. Never returns.
    pub async fn evict_when_crowded(self: Rc<Self>) {
        loop {
            let crowded = self.taken.get() - self.closing.get() > self.permits / 2;
            let first = self.evictable.borrow().first_key_value().map(|((from, _), _)| *from);
            match first.filter(|_| crowded) {
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
    /// Marks the connection as evictable once the grace of its state has ended.
    pub fn evictable(&self, state: WaitState) -> EvictableConnection<'_> {
        let from = Instant::now() + state.grace();
        let evict = Rc::new(Notify::new());
        self.limiter.evictable.borrow_mut().insert((from, self.number), Rc::clone(&evict));
        self.limiter.changed.notify_one();
        EvictableConnection { permit: self, from, evict }
    }
}

impl EvictableConnection<'_> {
    /// Waits until the connection has to close.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for EvictableConnection<'_> {
    fn drop(&mut self) {
        let limiter = &self.permit.limiter;
        if limiter.evictable.borrow_mut().remove(&(self.from, self.permit.number)).is_none() {
            // Evicted, but its request has come after all: it stays, and another has to be evicted in its place.
            limiter.closing.set(limiter.closing.get() - 1);
        }
        limiter.changed.notify_one();
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.taken.set(self.limiter.taken.get() - 1);
        self.limiter.released.notify_one();
    }
}
