//! The adapter between the simulator's line protocol and the balancer: it decodes events, passes each to its instance
//! of the balancer, and encodes the resulting actions. It makes no decisions of its own.

mod decode;
mod encode;
mod error;
mod host;
mod line;
mod names;
#[cfg(test)]
mod tests;

pub use error::{FieldError, LineError, WireError};
pub use host::serve;
