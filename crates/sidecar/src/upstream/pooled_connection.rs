//! A connection to an endpoint, in use or idle.

use crate::connection::Connection;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A connection, with the permit that counts it against the limit on connections.
pub(super) struct PooledConnection {
    pub(super) connection: Connection,
    pub(super) _permit: OwnedSemaphorePermit,
}

/// A connection that carries no request.
pub(super) struct IdleConnection {
    pub(super) pooled: PooledConnection,
    pub(super) since: Instant,
}
