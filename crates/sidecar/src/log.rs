//! Log lines on standard error, at a limited rate. A line that can't be written at once, because the disk is full or
//! the reader does not keep up, is dropped: the serving thread never waits for log output.

use std::cell::RefCell;
use std::fmt;
use std::time::{Duration, Instant};

/// Maximum number of lines in one [`WINDOW`]. Further ones are dropped, and their number is logged before the next
/// line.
const MAX_LINES: u32 = 100;
/// The interval over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Environment variable that lists additional topics to log, separated by commas: `requests`.
const VARIABLE: &str = "LB_LOG";

/// Limits the rate of lines.
#[derive(Default)]
struct RateLimit {
    window_start: Option<Instant>,
    written: u32,
    dropped: u64,
}

impl RateLimit {
    /// Admits a line or drops it; for an admitted line, returns how many were dropped just before it.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        if self.window_start.is_none_or(|start| now.saturating_duration_since(start) >= WINDOW) {
            (self.window_start, self.written) = (Some(now), 1);
        } else if self.written >= MAX_LINES {
            self.dropped += 1;
            return None;
        } else {
            self.written += 1;
        }
        Some(std::mem::take(&mut self.dropped))
    }

    /// Counts an admitted line as dropped, as it could not be written, and those dropped before it, as their number
    /// could not be written either.
    fn write_failed(&mut self, dropped_before: u64) {
        self.dropped += dropped_before + 1;
    }
}

thread_local! {
    static RATE_LIMIT: RefCell<RateLimit> = RefCell::default();
}

/// Whether the events of individual requests are logged.
pub fn traces_requests() -> bool {
    thread_local! {
        static WANTED: bool =
            std::env::var(VARIABLE).is_ok_and(|topics| topics.split(',').any(|topic| topic == "requests"));
    }
    WANTED.with(|wanted| *wanted)
}

/// Writes a line, or drops it if the rate limit is exceeded or the write would block.
pub fn line(text: fmt::Arguments<'_>) {
    let Some(dropped) = RATE_LIMIT.with_borrow_mut(|limit| limit.admit(Instant::now())) else { return };
    let mut output = String::new();
    if dropped > 0 {
        output.push_str(&format!("lotusmoor-sidecar: {dropped} lines left out\n"));
    }
    output.push_str(&format!("lotusmoor-sidecar: {text}\n"));
    if lotusmoor_log_output::write_line(output.as_bytes()).is_err() {
        RATE_LIMIT.with_borrow_mut(|limit| limit.write_failed(dropped));
    }
}

/// Writes a formatted line.
macro_rules! log_line {
    ($($text:tt)*) => { $crate::log::line(format_args!($($text)*)) };
}
pub(crate) use log_line;

/// Throttles log lines that may occur often: after each line, others are dropped for a while.
pub struct ThrottledLog {
    spacing: Duration,
    last: Option<Instant>,
}

impl ThrottledLog {
    /// Writes lines at least `spacing` apart.
    pub fn new(spacing: Duration) -> Self {
        Self { spacing, last: None }
    }

    /// Writes the line, unless the last one is too recent.
    pub fn line(&mut self, text: fmt::Arguments<'_>) {
        if self.last.is_none_or(|last| last.elapsed() >= self.spacing) {
            self.last = Some(Instant::now());
            line(text);
        }
    }
}

#[cfg(test)]
mod tests;
