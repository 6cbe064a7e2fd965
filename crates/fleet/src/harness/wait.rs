//! Waiting for conditions, and the timeline that is told when one never comes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Longer than anything that is waited for takes on a slow machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until something holds; `false` where it did not come to hold in [`LONG`].
pub fn until(mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

/// What was done when, for the reader of a failure.
#[derive(Clone)]
pub struct Timeline {
    start: Instant,
    /// The same on the clock that all processes share.
    started_at: i64,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Default for Timeline {
    fn default() -> Self {
        Self { start: Instant::now(), started_at: super::now_micros(), lines: Arc::default() }
    }
}

impl Timeline {
    /// When it began, on the clock that all processes share.
    pub fn started_at(&self) -> i64 {
        self.started_at
    }

    /// Notes something that happens now.
    pub fn note(&self, what: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((self.start.elapsed(), what.into()));
    }
}

impl std::fmt::Display for Timeline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().try_for_each(|(at, what)| writeln!(f, "{:9.3} s  {what}", at.as_secs_f64()))
    }
}
