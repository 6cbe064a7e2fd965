//! Log lines on standard error: one plain line each, so many a second at most. A line that can't be written, as the
//! disk behind it is full say, is lost, and nothing else is.

use std::cell::RefCell;
use std::fmt;
use std::io::{self, Write};
use std::time::{Duration, Instant};

/// Lines in one [`WINDOW`]; further ones are counted, and the count is told with the next line after it.
const MOST: u32 = 100;
const WINDOW: Duration = Duration::from_secs(1);

/// Bounds the rate of lines.
#[derive(Default)]
struct Rate {
    began: Option<Instant>,
    written: u32,
    left_out: u64,
}

impl Rate {
    /// Whether a line may be written now; and how many were left out before it, where it is the first since.
    fn ask(&mut self, now: Instant) -> Option<u64> {
        if self.began.is_none_or(|began| now.saturating_duration_since(began) >= WINDOW) {
            (self.began, self.written) = (Some(now), 1);
            return Some(std::mem::take(&mut self.left_out));
        }
        if self.written >= MOST {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(0)
    }
}

/// Environment variable that names what is logged beside the rest: `requests`.
const VARIABLE: &str = "LB_LOG";

/// Whether events of single requests are logged.
pub fn traces_requests() -> bool {
    thread_local! {
        static WANTED: bool = std::env::var(VARIABLE).is_ok_and(|what| what.split(',').any(|w| w == "requests"));
    }
    WANTED.with(|wanted| *wanted)
}

thread_local! {
    static RATE: RefCell<Rate> = RefCell::default();
}

/// Writes a line.
pub fn line(text: fmt::Arguments<'_>) {
    let Some(left_out) = RATE.with_borrow_mut(|rate| rate.ask(Instant::now())) else { return };
    let mut whole = String::new();
    if left_out > 0 {
        whole.push_str(&format!("lotusmoor-sidecar: {left_out} lines left out\n"));
    }
    whole.push_str(&format!("lotusmoor-sidecar: {text}\n"));
    // Whoever reads the log has lost it, or its disk is full: requests go on.
    let _ = io::stderr().write_all(whole.as_bytes());
}

/// Writes a formatted line.
macro_rules! log_line {
    ($($text:tt)*) => { $crate::log::line(format_args!($($text)*)) };
}
pub(crate) use log_line;

#[cfg(test)]
mod tests;
