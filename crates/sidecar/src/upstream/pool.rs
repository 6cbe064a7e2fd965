//! The pool of connections to endpoints: dials them, reuses idle ones, and closes those that have been idle for too
//! long.

use super::Upstream;
use super::endpoint::{Endpoint, SendPermission};
use super::pooled_connection::{IdleConnection, PooledConnection};
use super::timing::MIN_REUSE_DELAY;
use crate::connection::{Connection, IdleState, socket_for};
use crate::io_failure::IoFailure;
use crate::metrics::EndpointConnectionEnd;
use lotusmoor_balancer::Outcome;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

impl Upstream {
    /// A connection to an endpoint, and for how long it was idle if it is reused.
    pub(super) async fn connection(
        &self,
        endpoint: &Endpoint,
        permission: SendPermission,
    ) -> Result<(PooledConnection, Option<Duration>), Outcome> {
        if let Some(IdleConnection { socket, permit, since }) = self.take_idle(endpoint) {
            let idle = since.elapsed();
            let connection = Connection::resume(socket).await.map_err(|_| Outcome::ConnectFailed)?;
            return Ok((PooledConnection { connection, permit }, Some(idle)));
        }
        Ok((self.dial(permission.address).await?, None))
    }

    /// Takes the most recently used idle connection that has been idle for at least [`MIN_REUSE_DELAY`] and is still
    /// usable. The connections used less recently may then expire.
    pub(super) fn take_idle(&self, endpoint: &Endpoint) -> Option<IdleConnection> {
        let max_idle = self.idle_timeout.borrow_mut().get(Instant::now());
        let mut idle = endpoint.idle.borrow_mut();
        loop {
            let position = idle.iter().rposition(|idle| idle.since.elapsed() >= MIN_REUSE_DELAY)?;
            let connection = idle.remove(position);
            let idle_for = connection.since.elapsed();
            if idle_for >= max_idle {
                continue;
            }
            match connection.socket.state() {
                IdleState::Quiet => return Some(connection),
                IdleState::UnexpectedBytes => self.record_unexpected_bytes(endpoint, idle_for),
                IdleState::Closed => EndpointConnectionEnd::ClosedByEndpoint.count(),
            }
        }
    }

    /// Records that an endpoint sent bytes on a connection at rest.
    fn record_unexpected_bytes(&self, endpoint: &Endpoint, idle_for: Duration) {
        EndpointConnectionEnd::UnexpectedBytes.count();
        if let Some(address) = endpoint.address.get() {
            let idle_ms = idle_for.as_millis();
            self.unexpected_bytes_log.borrow_mut().line(format_args!(
                "endpoint at {address} sent bytes that belong to no request, seen {idle_ms} ms after its response"
            ));
        }
    }

    /// Records whether a connection was lost before any byte of a response; `idle` is for how long it had been idle, or
    /// `None` for a new one.
    pub(super) fn record_use(&self, idle: Option<Duration>, lost: bool) {
        let mut idle_timeout = self.idle_timeout.borrow_mut();
        match idle {
            None => idle_timeout.record_new(lost),
            Some(idle) => idle_timeout.record_reused(Instant::now(), idle, lost),
        }
    }

    /// Connects to an address. A resource shortage of this machine does not count as a failure of the endpoint.
    pub(super) async fn dial(&self, address: SocketAddr) -> Result<PooledConnection, Outcome> {
        let permit = self.connections.semaphore().try_acquire_owned().or_else(|full| {
            self.close_oldest_idle();
            self.connections.semaphore().try_acquire_owned().map_err(|_| full)
        });
        // Acquired before dialling, so that a connection over the limit does not cost the endpoint a handshake.
        let permit = permit.map_err(|_| Outcome::NotSent)?;
        let socket = socket_for(address).map_err(|_| Outcome::NotSent)?;
        match timeout(self.dial_timeout, Connection::connect_with(socket, address)).await {
            Ok(Ok(connection)) => Ok(PooledConnection { connection, permit }),
            Ok(Err(e)) if IoFailure::of_connect(&e) == IoFailure::Shortage => Err(Outcome::NotSent),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    /// Closes the connection that has been idle for the longest time; returns whether there was one.
    pub(super) fn close_oldest_idle(&self) -> bool {
        let endpoints = self.endpoints.borrow();
        let oldest = endpoints
            .iter()
            .filter_map(|endpoint| Some((endpoint.idle.borrow().first()?.since, endpoint)))
            .min_by_key(|(since, _)| *since);
        let Some((_, endpoint)) = oldest else { return false };
        endpoint.idle.borrow_mut().remove(0);
        true
    }

    /// Returns a connection to the pool for the next request, unless either side wants it closed or it is still busy with
    /// the last one.
    pub(super) async fn return_to_pool(
        &self,
        endpoint: &Endpoint,
        permission: SendPermission,
        pooled: PooledConnection,
    ) {
        let PooledConnection { connection, permit } = pooled;
        let Some(socket) = connection.into_idle().await else { return };
        if endpoint.permission() == Some(permission) {
            endpoint.idle.borrow_mut().push(IdleConnection { socket, permit, since: Instant::now() });
            self.connection_pooled.notify_one();
        }
    }

    /// Closes connections that have been idle for too long. Never returns.
    pub async fn retire_idle(self: Rc<Self>) {
        loop {
            let first = |endpoint: &Rc<Endpoint>| endpoint.idle.borrow().first().map(|idle| idle.since);
            let oldest = self.endpoints.borrow().iter().filter_map(first).min();
            let max_idle = self.idle_timeout.borrow_mut().get(Instant::now());
            match oldest {
                None => self.connection_pooled.notified().await,
                Some(since) => sleep_until(since + max_idle).await,
            }
            for endpoint in self.endpoints.borrow().iter() {
                endpoint.idle.borrow_mut().retain(|idle| idle.since.elapsed() < max_idle);
            }
        }
    }
}
