//! The decisions of a client-side load balancer: which endpoint a request goes to, when it is retried, delayed or
//! rejected.
//!
//! [`Balancer`] is a state machine: [`Balancer::handle`] takes the time and an [`Event`] and returns [`Action`]s.
//! It does no I/O and reads no clock. The sidecar drives it with sockets, the simulator adapter with a line
//! protocol, and the fleet model with simulated time.

pub mod api;
pub mod choice;
mod endpoint_list;
pub mod settings;
mod state;

pub use api::*;
pub use choice::Balancer;
