//! The roster: a list service with versions, watches and leases, durable and replicated. See `docs/roster.md`.

pub mod config;
pub mod core;
pub mod explore;
pub mod http;
pub mod node;
pub mod process;
pub mod raft;
pub mod store;
