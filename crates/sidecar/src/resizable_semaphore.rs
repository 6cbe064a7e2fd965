//! A semaphore whose number of permits changes while some are in use.

use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// A semaphore, and how many permits it has, in use or not.
pub struct ResizableSemaphore {
    semaphore: Arc<Semaphore>,
    total: Cell<usize>,
}

impl ResizableSemaphore {
    /// Creates a semaphore with that many permits.
    pub fn new(permits: usize) -> Self {
        Self { semaphore: Arc::new(Semaphore::new(permits)), total: Cell::new(permits) }
    }

    /// The semaphore, to acquire permits.
    pub fn semaphore(&self) -> Arc<Semaphore> {
        Arc::clone(&self.semaphore)
    }

    /// Number of permits, in use or not.
    pub fn total(&self) -> usize {
        self.total.get()
    }

    /// Changes the number of permits. Those in use are not taken away: the caller tries again once some are free.
    pub fn resize(&self, permits: usize) {
        let total = self.total.get();
        if permits > total {
            self.semaphore.add_permits(permits - total);
            self.total.set(permits);
        } else {
            self.total.set(total - self.semaphore.forget_permits(total - permits));
        }
    }
}

#[cfg(test)]
mod tests;
