//! A table of fixed size that holds hashes of ids, each until its expiry. An entry is never evicted: while all slots that
//! an id may take are in use, it can't be inserted.

use std::ops::Deref;
use std::sync::atomic::{AtomicU64, Ordering, fence};
use std::time::Duration;

/// Number of neighbouring slots in which an id may be stored. With half of the slots in use, the chance that a window
/// has no free slot is negligible.
const WINDOW: usize = 64;
/// Ticks in a second.
const TICKS_PER_SECOND: u32 = 16;
/// An entry holds a fingerprint in its upper half, and its expiry in the lower one.
const EXPIRY_BITS: u32 = 32;
/// The FNV-1a hash function for 64 bits: <http://www.isthe.com/chongo/tech/comp/fnv/>.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Multipliers of the finalizer of MurmurHash3, which spreads differences over all bits.
const MIX: [u64; 2] = [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53];

/// The hash of an id.
#[derive(Clone, Copy)]
pub(super) struct IdHash(u64);

impl IdHash {
    /// The hash of an id. It does not differ between builds.
    pub(super) fn of(id: &[u8]) -> Self {
        let fnv = id.iter().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
        let mixed = MIX.iter().fold(fnv, |hash, factor| (hash ^ hash >> 33).wrapping_mul(*factor));
        Self(mixed ^ mixed >> 33)
    }

    fn fingerprint(self) -> u32 {
        (self.0 >> EXPIRY_BITS) as u32
    }

    /// The first slot of its window in a table of `slots`.
    fn first_slot(self, slots: usize) -> usize {
        self.0 as u32 as usize % slots
    }
}

/// A point in time, in ticks since the epoch of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tick(u32);

impl Tick {
    /// The tick at that time after the epoch. It saturates after eight years.
    pub(super) fn after(time: Duration) -> Self {
        let ticks = time.as_millis() * u128::from(TICKS_PER_SECOND) / 1000;
        Self(u32::try_from(ticks).unwrap_or(u32::MAX))
    }
}

/// What a slot holds; 0 in a slot that was never used.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Entry(u64);

impl Entry {
    const EMPTY: Self = Self(0);

    fn new(hash: IdHash, expires: Tick) -> Self {
        Self(u64::from(hash.fingerprint()) << EXPIRY_BITS | u64::from(expires.0))
    }

    fn has_expired(self, now: Tick) -> bool {
        self.0 as u32 <= now.0
    }

    fn is_of(self, hash: IdHash) -> bool {
        (self.0 >> EXPIRY_BITS) as u32 == hash.fingerprint()
    }
}

/// The place of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Slot(usize);

/// Why an id can't be inserted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InsertError {
    /// The table holds it already.
    Known,
    /// All slots of its window are in use.
    Full,
}

/// Where the slots are kept.
enum Slots {
    /// In memory of this process.
    Private(Box<[AtomicU64]>),
    /// In memory that other processes use as well.
    Shared(&'static [AtomicU64]),
}

impl Deref for Slots {
    type Target = [AtomicU64];

    fn deref(&self) -> &[AtomicU64] {
        match self {
            Self::Private(slots) => slots,
            Self::Shared(slots) => slots,
        }
    }
}

/// The table.
pub(super) struct IdTable {
    slots: Slots,
}

impl IdTable {
    /// A table of that many slots.
    pub(super) fn new(slots: usize) -> Self {
        let slots = (0..slots.max(WINDOW)).map(|_| AtomicU64::new(Entry::EMPTY.0));
        Self { slots: Slots::Private(slots.collect()) }
    }

    /// A table in memory that other processes use as well. All of them use the same epoch.
    pub(super) fn shared(slots: &'static [AtomicU64]) -> Self {
        Self { slots: Slots::Shared(slots) }
    }

    fn load(&self, slot: usize) -> Entry {
        Entry(self.slots[slot].load(Ordering::Acquire))
    }

    fn window(&self, hash: IdHash) -> impl Iterator<Item = usize> {
        let (first, slots) = (hash.first_slot(self.slots.len()), self.slots.len());
        (first..first + WINDOW).map(move |slot| slot % slots)
    }

    /// Inserts an id, unless it is there already.
    pub(super) fn insert(&self, hash: IdHash, now: Tick, expires: Tick) -> Result<Slot, InsertError> {
        let is_known = |slot| {
            let entry = self.load(slot);
            entry.is_of(hash) && !entry.has_expired(now)
        };
        if self.window(hash).any(is_known) {
            return Err(InsertError::Known);
        }
        for slot in self.window(hash) {
            let (before, new) = (self.load(slot), Entry::new(hash, expires));
            if before.has_expired(now) && self.replace(slot, before, new) {
                return self.confirm(Slot(slot), hash, now);
            }
        }
        Err(InsertError::Full)
    }

    /// Confirms an id that was inserted, unless another process has inserted it at the same time. Then neither may use
    /// it, if each sees the other's entry.
    fn confirm(&self, own: Slot, hash: IdHash, now: Tick) -> Result<Slot, InsertError> {
        let is_other = |slot| {
            let entry = self.load(slot);
            slot != own.0 && entry.is_of(hash) && !entry.has_expired(now)
        };
        // With it, one of two processes that insert and then look sees the other's entry.
        fence(Ordering::SeqCst);
        if self.window(hash).any(is_other) {
            self.remove(own);
            return Err(InsertError::Known);
        }
        Ok(own)
    }

    /// Replaces an entry, unless another process has just done that; returns whether it was replaced.
    fn replace(&self, slot: usize, before: Entry, new: Entry) -> bool {
        let slot = &self.slots[slot];
        slot.compare_exchange(before.0, new.0, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Changes when an id that was inserted expires.
    pub(super) fn set_expiry(&self, slot: Slot, hash: IdHash, expires: Tick) {
        self.slots[slot.0].store(Entry::new(hash, expires).0, Ordering::Release);
    }

    /// Removes an id that was inserted.
    pub(super) fn remove(&self, slot: Slot) {
        self.slots[slot.0].store(Entry::EMPTY.0, Ordering::Release);
    }
}

#[cfg(test)]
mod tests;
