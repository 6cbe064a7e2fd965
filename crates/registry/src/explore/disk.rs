//! A disk in memory that can be full, and that loses what was not synced when its replica crashes: any part of it, as
//! real ones write in any order.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A write since the last sync, with what was there before.
#[derive(Debug)]
struct Pending {
    at: usize,
    before: Vec<u8>,
    after: Vec<u8>,
    /// The length before.
    length: usize,
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    pending: Vec<Pending>,
    full: bool,
    /// Syncs that do nothing: a disk that lies.
    lies: bool,
    /// Counts crashes; what an earlier process writes is void.
    life: u64,
}

/// A disk, which outlives the processes that use it.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What a process that starts now works with.
    pub fn open(&self) -> OpenDisk {
        OpenDisk { life: self.state().life, disk: self.clone() }
    }

    /// Whether it takes no more, and whether its syncs do nothing.
    pub fn set(&self, full: bool, lies: bool) {
        let mut state = self.state();
        (state.full, state.lies) = (full, lies);
    }

    /// Its process is gone, and some of what was not synced.
    pub fn crash(&self, rng: &mut ChaCha8Rng) {
        let mut state = self.state();
        state.life += 1;
        let pending = std::mem::take(&mut state.pending);
        for p in pending.iter().rev() {
            state.bytes.truncate(p.length);
            state.bytes.resize(p.length, 0);
            if p.at < p.length {
                let end = (p.at + p.before.len()).min(p.length);
                state.bytes[p.at..end].copy_from_slice(&p.before[..end - p.at]);
            }
        }
        for p in &pending {
            if rng.random_bool(0.5) {
                continue;
            }
            // The last one may be torn.
            let length =
                if rng.random_bool(0.2) { rng.random_range(0..=p.after.len()) } else { p.after.len() };
            let end = p.at + length;
            if state.bytes.len() < end {
                state.bytes.resize(end, 0);
            }
            state.bytes[p.at..end].copy_from_slice(&p.after[..length]);
        }
    }
}

/// A disk as one process has it open.
#[derive(Debug)]
pub struct OpenDisk {
    disk: Disk,
    life: u64,
}

impl OpenDisk {
    fn state(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = self.disk.state();
        if state.life == self.life { Ok(state) } else { Err(io::Error::other("the process is gone")) }
    }
}

impl StorageBackend for OpenDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state()?.bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state()?;
        let at = offset as usize;
        let bytes = state.bytes.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        let mut state = self.state()?;
        let (length, now) = (length as usize, state.bytes.len());
        if length > now && state.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if length < now {
            let before = state.bytes[length..].to_vec();
            state.pending.push(Pending { at: length, before, after: Vec::new(), length: now });
        }
        state.bytes.resize(length, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state()?;
        if !state.lies {
            state.pending.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state()?;
        if state.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let (at, length) = (offset as usize, state.bytes.len());
        let end = at + data.len();
        if end > length {
            state.bytes.resize(end, 0);
        }
        let before = state.bytes[at..end].to_vec();
        state.bytes[at..end].copy_from_slice(data);
        state.pending.push(Pending { at, before, after: data.to_vec(), length });
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn what_was_synced_outlives_a_crash_and_what_was_not_may_go_in_part() {
        let mut kept = 0;
        for seed in 0..50 {
            let disk = Disk::default();
            let open = disk.open();
            open.write(0, b"synced").expect("it is written");
            open.sync_data().expect("it is synced");
            open.write(2, b"XXXX").expect("it is written");
            open.write(6, b"more").expect("it is written");
            disk.crash(&mut ChaCha8Rng::seed_from_u64(seed));
            assert!(open.write(0, b"late").is_err(), "the process is gone");
            let bytes = disk.state().bytes.clone();
            assert_eq!(&bytes[..2], b"sy");
            assert!(bytes.len() >= 6 && (&bytes[2..6] == b"nced" || bytes[2] == b'X'), "{bytes:?}");
            kept += u32::from(bytes.len() == 10);
        }
        assert!(kept > 5 && kept < 45, "{kept}");
    }
}
