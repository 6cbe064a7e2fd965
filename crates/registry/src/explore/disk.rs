//! A simulated disk. It can be full, and in a crash it loses any part of the unsynced writes, as real disks write in
//! any order.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The probability that a crash loses an unsynced write.
const LOSS_PROBABILITY: f64 = 0.5;
/// The probability that a crash truncates (tears) an unsynced write that is not lost.
const TEAR_PROBABILITY: f64 = 0.2;

/// A write since the last sync.
#[derive(Debug)]
struct UnsyncedWrite {
    offset: usize,
    old_bytes: Vec<u8>,
    new_bytes: Vec<u8>,
    old_length: usize,
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    unsynced: Vec<UnsyncedWrite>,
    full: bool,
    /// Whether syncs do nothing, as on a defective disk.
    ignores_syncs: bool,
    /// The number of crashes. A process of an earlier incarnation has no access to the disk any more.
    incarnation: u64,
}

/// A disk that outlives the processes that use it.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the disk for a new process.
    pub fn open(&self) -> OpenDisk {
        OpenDisk { incarnation: self.state().incarnation, disk: self.clone() }
    }

    /// Sets whether the disk is full and whether it ignores syncs.
    pub fn configure(&self, full: bool, ignores_syncs: bool) {
        let mut state = self.state();
        state.full = full;
        state.ignores_syncs = ignores_syncs;
    }

    /// Ends the process that uses the disk and loses some of what it did not sync.
    pub fn crash(&self, rng: &mut ChaCha8Rng) {
        let mut state = self.state();
        state.incarnation += 1;
        let unsynced = std::mem::take(&mut state.unsynced);
        for write in unsynced.iter().rev() {
            state.undo(write);
        }
        for write in &unsynced {
            if rng.random_bool(LOSS_PROBABILITY) {
                continue;
            }
            let all = write.new_bytes.len();
            let torn = rng.random_bool(TEAR_PROBABILITY);
            let written = if torn { rng.random_range(0..=all) } else { all };
            state.write_bytes(write.offset, &write.new_bytes[..written]);
        }
    }
}

impl State {
    fn undo(&mut self, write: &UnsyncedWrite) {
        let length = write.old_length;
        self.bytes.truncate(length);
        self.bytes.resize(length, 0);
        if write.offset < length {
            let end = (write.offset + write.old_bytes.len()).min(length);
            self.bytes[write.offset..end].copy_from_slice(&write.old_bytes[..end - write.offset]);
        }
    }

    fn write_bytes(&mut self, offset: usize, bytes: &[u8]) {
        let end = offset + bytes.len();
        if self.bytes.len() < end {
            self.bytes.resize(end, 0);
        }
        self.bytes[offset..end].copy_from_slice(bytes);
    }
}

/// A disk that a process has open.
#[derive(Debug)]
pub struct OpenDisk {
    disk: Disk,
    incarnation: u64,
}

impl OpenDisk {
    fn state(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = self.disk.state();
        if state.incarnation != self.incarnation {
            return Err(io::Error::other("the process has crashed"));
        }
        Ok(state)
    }
}

impl StorageBackend for OpenDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state()?.bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state()?;
        let offset = offset as usize;
        let bytes = state.bytes.get(offset..offset + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        let mut state = self.state()?;
        let length = length as usize;
        let old_length = state.bytes.len();
        if length > old_length && state.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if length < old_length {
            let old_bytes = state.bytes[length..].to_vec();
            let new_bytes = Vec::new();
            state.unsynced.push(UnsyncedWrite { offset: length, old_bytes, new_bytes, old_length });
        }
        state.bytes.resize(length, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state()?;
        if !state.ignores_syncs {
            state.unsynced.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state()?;
        if state.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let offset = offset as usize;
        let old_length = state.bytes.len();
        let end = offset + data.len();
        if end > old_length {
            state.bytes.resize(end, 0);
        }
        let old_bytes = state.bytes[offset..end].to_vec();
        state.write_bytes(offset, data);
        let new_bytes = data.to_vec();
        state.unsynced.push(UnsyncedWrite { offset, old_bytes, new_bytes, old_length });
        Ok(())
    }
}

#[cfg(test)]
mod tests;
