//! Time limits used by several parts of serving a connection.

use std::time::Duration;

/// Maximum time from the first byte of a request to the end of its head; for the first request, from accepting the
/// connection. Also the maximum time that a body may make no progress. Clients may take 2 s to send a head; a
/// connection that is not used as clients do has to be rejected within 3 s.
pub(super) const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time allowed for the runtime to notice data or connections that a socket already holds.
pub(super) const SOCKET_POLL_TIME: Duration = Duration::from_millis(2);
