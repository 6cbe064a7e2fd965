//! A budget for the memory of requests or responses. Thousands of them, each with a large body, would exceed what the
//! process is allowed.

use crate::held_resources::Held;
use crate::resizable_semaphore::ResizableSemaphore;
use std::cell::Cell;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// The unit in which memory is counted.
const UNIT_BYTES: usize = 1 << 10;

/// Memory of an exchange with an endpoint besides the body and the text of the head: the attempt's task, and the HTTP
/// client with its buffers.
const EXCHANGE_BYTES: usize = 40 << 10;
/// How often the text of a head is held during an exchange: as received or parsed, with the headers of an attempt, and
/// in a write buffer, which may be half empty.
const HEAD_COPIES: usize = 4;

/// The memory to reserve for a request with a head of that length, and that many bytes for its body.
pub fn request_bytes(head_bytes: usize, body_bytes: usize) -> usize {
    EXCHANGE_BYTES + HEAD_COPIES * head_bytes + body_bytes
}

fn units_of(bytes: usize) -> usize {
    (bytes / UNIT_BYTES).clamp(1, Semaphore::MAX_PERMITS >> 1)
}

/// A bounded amount of memory.
pub struct MemoryBudget {
    units: ResizableSemaphore,
    gauge: Held,
    waiting: WaitingReservations,
}

/// The reservations that wait for memory to become free.
#[derive(Default)]
struct WaitingReservations {
    count: Cell<usize>,
    /// Notified when one begins to wait.
    began: Notify,
}

/// A reservation that waits, until this is dropped.
struct WaitingReservation<'a>(&'a WaitingReservations);

impl WaitingReservations {
    fn begin(&self) -> WaitingReservation<'_> {
        self.count.set(self.count.get() + 1);
        self.began.notify_waiters();
        WaitingReservation(self)
    }
}

impl Drop for WaitingReservation<'_> {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
    }
}

/// A part of the budget, released when dropped.
pub struct MemoryReservation {
    units: Option<OwnedSemaphorePermit>,
    gauge: Held,
}

impl MemoryReservation {
    fn new(units: Option<OwnedSemaphorePermit>, gauge: Held) -> Self {
        let reservation = Self { units, gauge };
        gauge.add(reservation.units());
        reservation
    }

    fn units(&self) -> usize {
        self.units.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.gauge.subtract(self.units());
    }
}

impl MemoryBudget {
    /// Creates a budget of that many bytes, whose use `gauge` shows in [`UNIT_BYTES`].
    pub fn new(bytes: usize, gauge: Held) -> Self {
        Self {
            units: ResizableSemaphore::new(units_of(bytes)),
            gauge,
            waiting: WaitingReservations::default(),
        }
    }

    /// Changes the size of the budget. What is reserved beyond it stays reserved, and is not granted again.
    pub fn resize(&self, bytes: usize) {
        self.units.resize(units_of(bytes));
    }

    /// Waits for that many bytes, first come, first served. The caller limits the time.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let units = bytes.div_ceil(UNIT_BYTES).min(self.units.total());
        if let Ok(units) = self.units.semaphore().try_acquire_many_owned(units as u32) {
            return MemoryReservation::new(Some(units), self.gauge);
        }
        let _waiting = self.waiting.begin();
        let units = self.units.semaphore().acquire_many_owned(units as u32).await;
        MemoryReservation::new(units.ok(), self.gauge)
    }

    /// Waits until a reservation waits for memory to become free.
    pub async fn contended(&self) {
        while self.waiting.count.get() == 0 {
            self.waiting.began.notified().await;
        }
    }

    /// Gives back what a reservation holds beyond that many bytes.
    pub fn shrink(&self, reservation: &mut MemoryReservation, bytes: usize) {
        if let Some(units) = &mut reservation.units {
            let surplus = units.num_permits().saturating_sub(bytes.div_ceil(UNIT_BYTES));
            if units.split(surplus).is_some() {
                self.gauge.subtract(surplus);
            }
        }
    }

    /// Reserves that many bytes if they are free now.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        let units = self.units.semaphore().try_acquire_many_owned(units).ok()?;
        Some(MemoryReservation::new(Some(units), self.gauge))
    }

    /// Reserves that many bytes if they are free now, and `left` more for others.
    pub fn try_reserve_leaving(&self, bytes: usize, left: usize) -> Option<MemoryReservation> {
        let free = self.units.semaphore().available_permits() * UNIT_BYTES;
        if free < bytes + left { None } else { self.try_reserve(bytes) }
    }

    /// The size of the budget in bytes.
    pub fn total_bytes(&self) -> usize {
        self.units.total() * UNIT_BYTES
    }
}
