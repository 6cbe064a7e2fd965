//! Connections to endpoints: dialled, reused while they are idle, and retired in time.

use super::Upstream;
use super::endpoint::{Endpoint, SendPermission};
use super::pooled_connection::{IdleConnection, PooledConnection};
use super::timing::SETTLE_TIME;
use crate::connection::{Connection, socket_for};
use crate::io_failure::IoFailure;
use lotusmoor_balancer::Outcome;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

impl Upstream {
    /// The most recently used idle connection that has settled and is still usable, and how long it was idle. The others
    /// may then grow old and be closed.
    pub(super) fn reuse(&self, endpoint: &Endpoint) -> Option<(PooledConnection, Duration)> {
        let bound = self.idle_bound.borrow_mut().get(Instant::now());
        let mut idle = endpoint.idle.borrow_mut();
        loop {
            let settled = idle.iter().rposition(|idle| idle.since.elapsed() >= SETTLE_TIME)?;
            let IdleConnection { pooled, since } = idle.remove(settled);
            if since.elapsed() < bound && pooled.connection.usable() {
                return Some((pooled, since.elapsed()));
            }
        }
    }

    /// Records whether a connection was lost before any byte of an answer; `idle` is for how long it had been idle, if
    /// it was not new.
    pub(super) fn record_use(&self, idle: Option<Duration>, lost: bool) {
        let mut bound = self.idle_bound.borrow_mut();
        match idle {
            None => bound.record_new(lost),
            Some(idle) => bound.record_reused(Instant::now(), idle, lost),
        }
    }

    /// Connects to an address. A shortage of this machine is no fault of the endpoint's.
    pub(super) async fn dial(&self, address: SocketAddr) -> Result<PooledConnection, Outcome> {
        let permit = self.permits.clone().try_acquire_owned().or_else(|full| {
            self.close_oldest_idle();
            self.permits.clone().try_acquire_owned().map_err(|_| full)
        });
        // Before the dial, as a connection without a permit must not cost the endpoint a handshake.
        let permit = permit.map_err(|_| Outcome::NotSent)?;
        let socket = socket_for(address).map_err(|_| Outcome::NotSent)?;
        match timeout(self.dial_timeout, Connection::over(socket, address)).await {
            Ok(Ok(connection)) => Ok(PooledConnection { connection, _permit: permit }),
            Ok(Err(e)) if IoFailure::of_connect(&e) == IoFailure::Shortage => Err(Outcome::NotSent),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    fn close_oldest_idle(&self) {
        let endpoints = self.endpoints.borrow();
        let oldest = endpoints
            .iter()
            .filter_map(|endpoint| Some((endpoint.idle.borrow().first()?.since, endpoint)))
            .min_by_key(|(since, _)| *since);
        if let Some((_, endpoint)) = oldest {
            endpoint.idle.borrow_mut().remove(0);
        }
    }

    /// Keeps a connection for the next request, unless either side wants it closed.
    pub(super) async fn park(
        &self,
        endpoint: &Endpoint,
        permission: SendPermission,
        mut pooled: PooledConnection,
    ) {
        pooled.connection.turn().await;
        if endpoint.permission() == Some(permission) && pooled.connection.usable() {
            endpoint.idle.borrow_mut().push(IdleConnection { pooled, since: Instant::now() });
            self.parked.notify_one();
        }
    }

    /// Closes idle connections as their time comes. Never returns.
    pub async fn retire_idle(self: Rc<Self>) {
        loop {
            let first = |endpoint: &Rc<Endpoint>| endpoint.idle.borrow().first().map(|idle| idle.since);
            let oldest = self.endpoints.borrow().iter().filter_map(first).min();
            let bound = self.idle_bound.borrow_mut().get(Instant::now());
            match oldest {
                None => self.parked.notified().await,
                Some(since) => sleep_until(since + bound).await,
            }
            for endpoint in self.endpoints.borrow().iter() {
                endpoint.idle.borrow_mut().retain(|idle| idle.since.elapsed() < bound);
            }
        }
    }
}
