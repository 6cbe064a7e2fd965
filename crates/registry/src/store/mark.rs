//! How many commits a file has seen, beside it: sixteen bytes, written after each commit and not waited for. It is
//! lost with the machine's power, and then says too little, which does no harm; what it is for is a file that came
//! back with less than it had.

use super::StoreError;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::Path;

pub struct Mark(File, u64);

impl Mark {
    /// Opens or makes it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let io = |e: std::io::Error| StoreError::Database(redb::Error::Io(e));
        let file =
            File::options().read(true).write(true).create(true).truncate(false).open(path).map_err(io)?;
        let mut bytes = [0; 16];
        let count = match file.read_exact_at(&mut bytes, 0) {
            Ok(()) => {
                let (count, sum) = bytes.split_at(8);
                let read: [u8; 8] = count.try_into().unwrap_or_default();
                // One that can't be read marks nothing.
                if crc32fast::hash(count).to_le_bytes() == sum[..4] { u64::from_le_bytes(read) } else { 0 }
            }
            // It was just made, or its first writing was cut off.
            Err(e) if e.kind() == std::io::ErrorKind::UnexpectedEof => 0,
            // What can't be read now may mark much.
            Err(e) => return Err(io(e)),
        };
        Ok(Self(file, count))
    }

    /// What it said when it was opened.
    pub fn get(&self) -> u64 {
        self.1
    }

    /// Marks a commit. One that fails is made up for by the next.
    pub fn set(&self, count: u64) {
        let count = count.to_le_bytes();
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&count);
        bytes[8..12].copy_from_slice(&crc32fast::hash(&count).to_le_bytes());
        let _ = self.0.write_all_at(&bytes, 0);
    }
}

#[cfg(test)]
mod tests;
