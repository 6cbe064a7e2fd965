//! The decisions of a client-side load balancer: which endpoint a request goes to, when it is retried,
//! delayed or rejected.
//!
//! [`Balancer`] is a state machine: [`Balancer::handle`] takes the time and an [`Event`] and returns
//! [`Action`]s. It does no I/O and reads no clock. The sidecar drives it with sockets, the simulator adapter
//! with a line protocol, and the fleet model with simulated time.

mod api;
mod attempt;
mod balancer;
mod circuit;
mod decaying_sum;
mod endpoint;
mod latency;
mod load_shedding;
mod log;
mod quota;
mod request;
pub mod settings;
mod timers;

pub use api::*;
pub use balancer::Balancer;
