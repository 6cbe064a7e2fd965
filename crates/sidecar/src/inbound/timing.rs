//! Times that several parts of a connection's service depend on.

use std::time::Duration;

/// How long a request's head may take after its first byte, the first one after the connection was made, and a body
/// may make no progress. Clients may take 2 s for a head, and whoever is no client has to be rejected after 3 s.
pub(super) const REQUEST_TIME: Duration = Duration::from_millis(2500);
/// Time in which the runtime notices what the system's socket holds already.
pub(super) const SOCKET_POLL_TIME: Duration = Duration::from_millis(2);
