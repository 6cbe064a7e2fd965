//! Decisions without I/O: the replicated endpoint list, and the decisions that a leader or a replica makes on its
//! own. The registry process, the fleet simulation and the fault exploration ([`crate::explore`]) all run this code.
//!
//! [`List`] is a state machine that [`Command`]s change. [`lease`], [`flap`], [`admission`] and [`freshness`] are local
//! to a replica and not replicated.

pub mod admission;
mod apply;
mod command;
mod digest;
pub mod flap;
pub mod freshness;
pub mod lease;
mod list;
mod outcome;
mod record;
mod service_index;
mod validation;

pub use command::{Command, ExpiredLease, Registration};
pub use list::{EPOCH_SHIFT, List};
pub use outcome::{Outcome, Refusal};
pub use record::{Change, EndpointRecord};
pub use validation::{
    InvalidCommand, InvalidServices, MAX_ENTRIES, MAX_LABEL_BYTES, MAX_NAME_BYTES, MAX_SERVICES_PER_QUERY,
    check_registration, parse_services,
};

/// Microseconds on a monotonic clock of any origin.
pub type Micros = i64;

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
