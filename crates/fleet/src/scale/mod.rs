//! What sizes cost: of the list, of the fleet, and of the rate of changes.

pub mod lines;
pub mod module;
pub mod sidecar;
mod usage;
