//! The balancer's clock.

use lotusmoor_balancer::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The balancer's clock: Unix time as of the start of the process, advanced by the monotonic clock, so that setting the
/// system's clock has no effect. No timestamp from outside is compared with it: see `start_times`.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_us: Micros,
}

impl Clock {
    /// Starts the clock at the system's time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_us: Micros::try_from(unix.as_micros()).unwrap_or(0) }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.time_of(Instant::now())
    }

    /// The time of an instant. It may lie before the start: a request on an inherited socket may have come earlier.
    pub fn time_of(&self, instant: Instant) -> Micros {
        match instant.checked_duration_since(self.start) {
            Some(since) => self.start_us.saturating_add(to_micros(since)),
            None => self.start_us.saturating_sub(to_micros(self.start.duration_since(instant))),
        }
    }

    /// The instant of a time.
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

fn to_micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

/// The span of a count of microseconds; negative ones are zero.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0).unsigned_abs())
}
