//! A budget for the memory of bodies. Thousands of connections, each with a large body, would exceed what the process
//! is allowed.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The unit in which memory is counted.
const UNIT_BYTES: usize = 1 << 10;

/// A bounded amount of memory.
pub struct MemoryBudget {
    units: Arc<Semaphore>,
    total_units: usize,
}

/// A part of the budget, released when dropped.
pub struct MemoryReservation {
    _units: Option<OwnedSemaphorePermit>,
}

impl MemoryBudget {
    /// Creates a budget of that many bytes.
    pub fn new(bytes: usize) -> Self {
        let total_units = (bytes / UNIT_BYTES).clamp(1, Semaphore::MAX_PERMITS >> 1);
        Self { units: Arc::new(Semaphore::new(total_units)), total_units }
    }

    /// Waits for that many bytes, first come, first served. The caller limits the time.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let units = bytes.div_ceil(UNIT_BYTES).min(self.total_units);
        MemoryReservation { _units: Arc::clone(&self.units).acquire_many_owned(units as u32).await.ok() }
    }

    /// Reserves that many bytes if they are free now.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        let units = Arc::clone(&self.units).try_acquire_many_owned(units).ok()?;
        Some(MemoryReservation { _units: Some(units) })
    }

    /// The size of the budget in bytes.
    pub fn total_bytes(&self) -> usize {
        self.total_units * UNIT_BYTES
    }
}
