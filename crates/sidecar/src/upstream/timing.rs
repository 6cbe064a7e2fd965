//! Time limits used by several parts of an exchange.

use std::time::Duration;

/// Minimum time between a response and the next request on the same connection. A duplicate of the response that comes
/// some milliseconds later has arrived by then; otherwise it would be taken for the response to the next request.
pub(super) const MIN_REUSE_DELAY: Duration = Duration::from_millis(20);
/// Minimum time for which the start of a body of unknown length is buffered.
pub(super) const MIN_BUFFERING_TIME: Duration = Duration::from_millis(5);
/// How long before the end of the wait for a response its start is forwarded, if it has begun. By the protocol, this process
/// may be held up for a while; half of the time that is left, if that is shorter.
pub(super) const FORWARDING_MARGIN: Duration = Duration::from_millis(50);
/// How long an endpoint may send nothing of a streamed response, in any case. By the protocol no deadline applies to a response
/// that has begun, and one that its endpoint goes on with must not be cut off.
pub(super) const MIN_REST: Duration = Duration::from_secs(3);
/// How long it may send nothing while nobody else needs the memory that the response holds.
pub(super) const MAX_REST: Duration = Duration::from_secs(10);
