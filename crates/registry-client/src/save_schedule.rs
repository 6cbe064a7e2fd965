//! When the list is written to the cache file.

use crate::Micros;

/// Spaces the writes of the cache file, so that a list that changes often does not keep the disk busy.
pub(crate) struct SaveSchedule {
    due_at: Option<Micros>,
    saved_at: Micros,
}

impl SaveSchedule {
    pub(crate) fn new() -> Self {
        // Long ago, and far enough from the limits of the type for an interval to be added.
        Self { due_at: None, saved_at: Micros::MIN / 2 }
    }

    /// When the next write is due.
    pub(crate) fn due_at(&self) -> Option<Micros> {
        self.due_at
    }

    /// The list has changed.
    pub(crate) fn request(&mut self, now: Micros, min_interval: Micros) {
        self.due_at.get_or_insert(now.max(self.saved_at + min_interval));
    }

    /// Drops a write that is not done yet.
    pub(crate) fn cancel(&mut self) {
        self.due_at = None;
    }

    /// Whether the list is to be written now.
    pub(crate) fn take_due(&mut self, now: Micros) -> bool {
        let is_due = self.due_at.take_if(|at| *at <= now).is_some();
        if is_due {
            self.saved_at = now;
        }
        is_due
    }
}
