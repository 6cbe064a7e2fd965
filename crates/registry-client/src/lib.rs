//! The client of a list service that rides out its failures.
//!
//! [`Rider`] is a state machine without I/O: it takes `(now, event)` and gives actions. What it decides is which
//! replica is asked, when and for what, and which of the answers are believed. A driver puts it on sockets (the
//! sidecar does), another one on the clock of a model. It knows nothing of who serves the list.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod file;
pub mod list;
mod rider;

pub use list::{Entry, Known, Status, Update, Version, Why};
pub use rider::{Action, Applied, Event, Report, Rider, Settings};

/// Microseconds on the caller's own monotonic clock, from any origin.
pub type Micros = i64;
