//! Simulation of a fleet of sidecars, experiments on it, and a harness that runs real processes with fault injection.
//! See `docs/fleet.md`.

pub mod capacity;
pub mod chance;
pub mod experiment;
pub mod harness;
pub mod load;
pub mod model;
pub mod scale;
pub mod scenario;
pub mod site;
pub mod soak;
pub mod sweep;

/// Microseconds: an instant on the simulated clock, or a duration. The balancer uses the same unit.
pub use lotusmoor_balancer::Micros;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Converts seconds, as in files, to microseconds.
pub fn seconds(s: f64) -> Micros {
    (s * SECOND as f64).round() as Micros
}

/// Converts milliseconds, as in files, to microseconds.
pub fn millis(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}
