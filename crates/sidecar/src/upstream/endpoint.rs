//! One endpoint as the connections see it.

use super::pooled_connection::IdleConnection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// An endpoint: its address, whether it may be sent anything, and the idle connections to it.
#[derive(Default)]
pub struct Endpoint {
    pub(super) address: Cell<Option<SocketAddr>>,
    ready: Cell<bool>,
    cordoned: Cell<bool>,
    /// When its process last started, as listed.
    started: Cell<i64>,
    /// Incremented whenever all permissions to send to it are revoked.
    term: Cell<u64>,
    /// The most recently used connection is last.
    pub(super) idle: RefCell<Vec<IdleConnection>>,
}

/// The permission to send to an endpoint, as of the decision to send.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct SendPermission {
    pub(super) address: SocketAddr,
    term: u64,
}

impl Endpoint {
    /// Follows the list. Draining, another address or another process revoke all permissions, and close the idle
    /// connections.
    pub fn update(&self, address: Option<SocketAddr>, ready: bool, started: i64) {
        if self.address.get() != address || !ready || self.started.get() != started {
            self.revoke();
        }
        self.address.set(address);
        self.started.set(started);
        self.ready.set(ready && address.is_some());
    }

    /// Follows operators.
    pub fn set_cordoned(&self, cordoned: bool) {
        self.cordoned.set(cordoned);
        if cordoned {
            self.revoke();
        }
    }

    fn revoke(&self) {
        self.term.set(self.term.get() + 1);
        self.close_idle();
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// The permission to send, if anything may be sent at all.
    pub fn permission(&self) -> Option<SendPermission> {
        let address = self.address.get().filter(|_| self.ready.get() && !self.cordoned.get())?;
        Some(SendPermission { address, term: self.term.get() })
    }

    /// A check whether the permission still holds.
    pub(super) fn permission_check(
        self: &Rc<Self>,
        permission: Option<SendPermission>,
    ) -> Box<dyn Fn() -> bool> {
        let endpoint = Rc::clone(self);
        Box::new(move || permission.is_some() && endpoint.permission() == permission)
    }
}
