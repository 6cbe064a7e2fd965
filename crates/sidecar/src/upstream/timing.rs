//! Times that several parts of an exchange depend on.

use std::time::Duration;

/// How long a connection settles after an answer before it carries the next request. Bytes right behind an answer, a second
/// copy of it say, have arrived by then, and would otherwise pass for the answer to that request.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(5);
/// How long an endpoint may send nothing of a streamed answer, or take nothing of a streamed body. Slow progress is
/// allowed; the protocol counts no client as waiting for longer than this.
pub const MAX_STALL: Duration = Duration::from_secs(3);
