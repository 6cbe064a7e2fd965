//! A connection to an endpoint, in use or idle.

use crate::connection::Connection;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A connection, with its permit to exist.
pub(super) struct PooledConnection {
    pub(super) connection: Connection,
    pub(super) _permit: OwnedSemaphorePermit,
}

/// A connection that carries no request.
pub(super) struct IdleConnection {
    pub(super) pooled: PooledConnection,
    pub(super) since: Instant,
}
