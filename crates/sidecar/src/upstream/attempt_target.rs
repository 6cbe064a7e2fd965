//! Where an attempt is sent, and its time limits.

use super::endpoint::{Endpoint, SendPermission};
use std::rc::Rc;
use tokio::time::Instant;

/// Where an attempt is sent, and its time limits.
pub struct AttemptTarget {
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
    /// The permission to send to it, as of the decision to make the attempt; `None` if there was none.
    pub permission: Option<SendPermission>,
    /// Deadline for the response.
    pub until: Instant,
    /// The request may not begin to be written after this time, if there is one.
    pub write_by: Option<Instant>,
}
