//! The state of an endpoint that its connections and attempts depend on.

use super::pooled_connection::IdleConnection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// An endpoint: its address, whether requests may be sent to it, and the idle connections to it.
#[derive(Default)]
pub struct Endpoint {
    pub(super) address: Cell<Option<SocketAddr>>,
    ready: Cell<bool>,
    cordoned: Cell<bool>,
    /// When its process last started, according to the endpoint list.
    started_ms: Cell<i64>,
    /// Incremented whenever all permissions to send to it are revoked.
    permission_epoch: Cell<u64>,
    /// The most recently used connection is last.
    pub(super) idle: RefCell<Vec<IdleConnection>>,
}

/// The permission to send to an endpoint, as of the decision to send.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct SendPermission {
    pub(super) address: SocketAddr,
    permission_epoch: u64,
}

impl Endpoint {
    /// Applies an entry of the endpoint list. If the endpoint is not ready, or has another address or another process
    /// than before, all permissions are revoked and the idle connections are closed.
    pub fn update(&self, address: Option<SocketAddr>, ready: bool, started_ms: i64) {
        if self.address.get() != address || !ready || self.started_ms.get() != started_ms {
            self.revoke();
        }
        self.address.set(address);
        self.started_ms.set(started_ms);
        self.ready.set(ready && address.is_some());
    }

    /// Applies an operator's cordon, which revokes all permissions, or its removal.
    pub fn set_cordoned(&self, cordoned: bool) {
        self.cordoned.set(cordoned);
        if cordoned {
            self.revoke();
        }
    }

    fn revoke(&self) {
        self.permission_epoch.set(self.permission_epoch.get() + 1);
        self.close_idle();
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// The permission to send to the endpoint; `None` if nothing may be sent to it now.
    pub fn permission(&self) -> Option<SendPermission> {
        let address = self.address.get().filter(|_| self.ready.get() && !self.cordoned.get())?;
        Some(SendPermission { address, permission_epoch: self.permission_epoch.get() })
    }

    /// Returns a check whether the permission still holds.
    pub(super) fn permission_check(
        self: &Rc<Self>,
        permission: Option<SendPermission>,
    ) -> Box<dyn Fn() -> bool> {
        let endpoint = Rc::clone(self);
        Box::new(move || permission.is_some() && endpoint.permission() == permission)
    }
}
