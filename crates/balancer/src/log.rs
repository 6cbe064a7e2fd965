//! Rate-limited log.

use crate::{Action, Micros};

const MIN_INTERVAL_US: Micros = 1_000_000;

/// Writes at most one line a second, so that the first line about a fault is not lost among its consequences.
#[derive(Default)]
pub(crate) struct RateLimitedLog {
    last_line_at: Option<Micros>,
}

impl RateLimitedLog {
    /// Writes a line, or drops it if the last one was written less than a second ago.
    pub(crate) fn write(&mut self, now: Micros, text: String, out: &mut Vec<Action>) {
        if self.last_line_at.is_none_or(|last| now - last >= MIN_INTERVAL_US) {
            self.last_line_at = Some(now);
            out.push(Action::Log(text));
        }
    }
}
