//! The explorer's clock, which advances in steps.

use std::time::Duration;

/// A number of steps, or a time in steps since the start of a schedule.
pub type Step = u64;

/// The duration of a step.
pub(super) const STEP: Duration = Duration::from_millis(10);

/// The duration of a number of steps.
pub(super) fn duration_of(steps: Step) -> Duration {
    STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}
