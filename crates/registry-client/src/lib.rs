//! The client of the service registry.
//!
//! [`RegistryWatcher`] is a state machine without I/O: it takes `(now, event)` and returns actions. It decides which
//! replica is polled, when and for what, and which of the lists that come back are used. A driver puts it on sockets
//! (the sidecar does), another one on the clock of a model. It knows nothing about how the registry works.

pub mod cache_file;
pub mod list;
mod watcher;

pub use list::{EndpointList, Entry, ListUpdate, Status, StatusReason, UnreadableEntry, Version};
pub use watcher::{Action, AppliedList, Event, RegistryWatcher, Report, Settings};

/// Microseconds on the caller's own monotonic clock, from any origin.
pub type Micros = i64;
