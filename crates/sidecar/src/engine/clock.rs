//! The balancer's clock.

use lotusmoor_balancer::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The balancer's clock: Unix time read once at process start, advanced by the monotonic clock, so that later steps
/// of the system clock have no effect. No timestamp from outside is compared with it: see `start_times`.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_us: Micros,
}

impl Clock {
    /// Starts the clock at the system time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_us: Micros::try_from(unix.as_micros()).unwrap_or(0) }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.time_of(Instant::now())
    }

    /// Converts an instant to time on this clock. The instant may precede the start, as a request on an inherited
    /// socket may have arrived earlier.
    pub fn time_of(&self, instant: Instant) -> Micros {
        match instant.checked_duration_since(self.start) {
            Some(elapsed) => self.start_us.saturating_add(to_micros(elapsed)),
            None => self.start_us.saturating_sub(to_micros(self.start.duration_since(instant))),
        }
    }

    /// Converts a time on this clock to an instant.
    pub fn instant(&self, time: Micros) -> Instant {
        let offset = Duration::from_micros(time.abs_diff(self.start_us));
        let instant = if time >= self.start_us {
            self.start.checked_add(offset)
        } else {
            self.start.checked_sub(offset)
        };
        instant.unwrap_or(self.start)
    }
}

fn to_micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Converts microseconds to a duration; negative values become zero.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0).unsigned_abs())
}
