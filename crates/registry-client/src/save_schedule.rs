//! Schedules the writes of the list to the cache file.

use crate::Micros;

/// Keeps a minimum interval between writes of the cache file, so that a list that changes often does not load the disk.
pub(crate) struct SaveSchedule {
    due_at: Option<Micros>,
    saved_at: Micros,
}

impl SaveSchedule {
    pub(crate) fn new() -> Self {
        // Long ago, so that the first write is due at once, but far enough from the type's limits to add an interval.
        Self { due_at: None, saved_at: Micros::MIN / 2 }
    }

    /// When the next write is due.
    pub(crate) fn due_at(&self) -> Option<Micros> {
        self.due_at
    }

    /// Schedules a write, as the list has changed.
    pub(crate) fn request(&mut self, now: Micros, min_interval: Micros) {
        self.due_at.get_or_insert(now.max(self.saved_at + min_interval));
    }

    /// Cancels a pending write.
    pub(crate) fn cancel(&mut self) {
        self.due_at = None;
    }

    /// Whether a write is due; returns `true` once for each write.
    pub(crate) fn take_due(&mut self, now: Micros) -> bool {
        let is_due = self.due_at.take_if(|at| *at <= now).is_some();
        if is_due {
            self.saved_at = now;
        }
        is_due
    }
}
