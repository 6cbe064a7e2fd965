//! The roster: a list service with versions, watches and leases, durable and replicated. See `docs/roster.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core;
