//! Client of the service registry.
//!
//! [`RegistryWatcher`] is a state machine without I/O: it takes `(now, event)` and returns actions. It decides which
//! replica is polled, when and for what, and which of the returned lists are used. A driver connects it to sockets and
//! a clock; the sidecar has one, and so has the simulation. The crate does not depend on the registry's implementation.

mod action;
pub mod cache_file;
mod confirmation;
mod event;
mod freshness;
pub mod list;
mod poll_error;
mod polls;
mod report;
mod save_schedule;
mod services;
mod settings;
mod watcher;

pub use action::{Action, AppliedList};
pub use event::Event;
pub use list::{EndpointList, Entry, ListUpdate, Status, StatusReason, UnreadableEntry, Version};
pub use poll_error::PollError;
pub use report::Report;
pub use settings::Settings;
pub use watcher::RegistryWatcher;

/// Microseconds on the caller's monotonic clock, from an arbitrary origin.
pub type Micros = i64;
