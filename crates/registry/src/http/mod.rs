//! The HTTP/1.1 interface for sidecars, servers and operators, and for calls between replicas.

mod client;
mod connections;
mod discovery;
mod error_response;
mod metrics;
mod operators;
mod peers;
mod rendered;
mod replicas;
mod router;
mod serve;
mod servers;
mod state;
mod unavailable;
mod write_timeout;

pub use client::{Client, ClientError, HttpTransport};
pub use metrics::Metrics;
pub use serve::{Service, serve};
pub use state::Limits;
pub use unavailable::serve_unavailable;
