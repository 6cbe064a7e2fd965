//! A model of a fleet of sidecars in simulated time, experiments on it, and a harness that plays real processes
//! with faults between them. Pages: `docs/fleet.md`.

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

/// Microseconds: an instant on the model's clock, or a duration; the decision module's own unit.
pub use lotusmoor_balancer::Micros;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// A time of the clock from seconds, as files give it.
pub fn seconds(s: f64) -> Micros {
    (s * SECOND as f64).round() as Micros
}

/// A time of the clock from milliseconds, as files give it.
pub fn millis(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}
