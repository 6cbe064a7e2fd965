//! A connection to an endpoint, in use or idle.

use crate::connection::{Connection, IdleSocket};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A connection, with the permit that counts it against the limit on connections.
pub(super) struct PooledConnection {
    pub(super) connection: Connection,
    pub(super) permit: OwnedSemaphorePermit,
}

/// A connection that carries no request.
pub(super) struct IdleConnection {
    pub(super) socket: IdleSocket,
    pub(super) permit: OwnedSemaphorePermit,
    pub(super) since: Instant,
}
