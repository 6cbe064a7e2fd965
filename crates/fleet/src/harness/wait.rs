//! Waiting for conditions, and the timeline that is printed when a wait times out.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time limit for a wait: longer than any awaited condition takes on a slow machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds; returns `false` if it did not within [`WAIT_TIMEOUT`].
pub fn until(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

/// A timeline of the actions of a run, for failure messages.
#[derive(Clone)]
pub struct Timeline {
    start: Instant,
    /// The same instant in microseconds on the clock that all processes share.
    started_at: i64,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Default for Timeline {
    fn default() -> Self {
        Self { start: Instant::now(), started_at: super::now_micros(), lines: Arc::default() }
    }
}

impl Timeline {
    /// When the timeline started, in microseconds on the clock that all processes share.
    pub fn started_at(&self) -> i64 {
        self.started_at
    }

    /// Adds an action that happens now.
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
