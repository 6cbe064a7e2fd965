//! Log lines, limited in rate.

use crate::{Action, Micros};

const MIN_INTERVAL_US: Micros = 1_000_000;

/// Passes at most one line a second, so that the first sign of a fault is not drowned by what follows.
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
