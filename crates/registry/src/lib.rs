//! Service registry: a replicated, durable list of endpoints with versions, leases and watches. See `docs/roster.md`.

#![deny(missing_docs)]

pub mod config;
pub mod core;
pub mod explore;
pub mod http;
pub mod node;
pub mod process;
pub mod raft;
pub mod store;
