//! What is decided, without I/O: the replicated list, and what the leader and each replica decide beside it. The
//! process, the model of a fleet and the explorer run this very code.

pub mod admission;
pub mod flap;
pub mod freshness;
pub mod lease;
pub mod list;
pub mod services;

/// Microseconds on a monotonic clock, from any origin.
pub type Micros = i64;

/// A second.
pub const SECOND: Micros = 1_000_000;
