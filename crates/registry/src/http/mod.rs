//! The service on sockets: HTTP/1.1 for sidecars, for servers and operators, and between replicas.

mod answer;
mod client;
mod discovery;
mod metrics;
mod operators;
mod peers;
mod rendered;
mod serve;
mod stall;
mod unavailable;

pub use client::{Client, ClientError, Http};
pub use metrics::Metrics;
pub use serve::{Limits, Service, serve};
pub use unavailable::unavailable;
