//! The decision to make an attempt.

use super::endpoint::{Endpoint, SendPermission};
use std::rc::Rc;
use tokio::time::Instant;

/// The decision to make an attempt.
pub struct AttemptTarget {
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
    /// The permission to send there, if there was one.
    pub permission: Option<SendPermission>,
    /// No answer is waited for after this.
    pub until: Instant,
    /// Nothing may begin to be written after this, where there is such a bound.
    pub write_by: Option<Instant>,
}
