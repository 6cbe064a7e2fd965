//! A counter of commits in a file beside the database: sixteen bytes, written after each commit and not synced. A
//! database with fewer commits than counted was rolled back to an earlier one. A power failure may lose the counter's
//! last writes; it is then too low, which does no harm.

use super::StoreError;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Length of the file in bytes: eight of the count, four of its checksum, four unused.
const LENGTH: usize = 16;
/// Length of the count in bytes.
const COUNT_LENGTH: usize = 8;
/// Offset of the end of the checksum.
const CHECKSUM_END: usize = 12;

pub struct CommitCounter {
    file: File,
    count_when_opened: u64,
}

impl CommitCounter {
    /// Opens the counter at `path`, or creates it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let io = |e: std::io::Error| StoreError::Database(redb::Error::Io(e));
        let file =
            File::options().read(true).write(true).create(true).truncate(false).open(path).map_err(io)?;
        let mut bytes = [0; LENGTH];
        let count_when_opened = match file.read_exact_at(&mut bytes, 0) {
            Ok(()) => decode(&bytes),
            // The file was just created, or its first write was incomplete.
            Err(e) if e.kind() == std::io::ErrorKind::UnexpectedEof => 0,
            Err(e) => return Err(io(e)),
        };
        Ok(Self { file, count_when_opened })
    }

    /// The count that was stored when the counter was opened.
    pub fn count_when_opened(&self) -> u64 {
        self.count_when_opened
    }

    /// Stores the count. Errors are ignored: the next commit stores it again.
    pub fn store(&self, count: u64) {
        let count = count.to_le_bytes();
        let mut bytes = [0; LENGTH];
        bytes[..COUNT_LENGTH].copy_from_slice(&count);
        bytes[COUNT_LENGTH..CHECKSUM_END].copy_from_slice(&crc32fast::hash(&count).to_le_bytes());
        let _ = self.file.write_all_at(&bytes, 0);
    }
}

/// The stored count, or 0 if the checksum does not match, which disables the check for a rollback.
fn decode(bytes: &[u8; LENGTH]) -> u64 {
    let (count, rest) = bytes.split_at(COUNT_LENGTH);
    let checksum = &rest[..CHECKSUM_END - COUNT_LENGTH];
    if crc32fast::hash(count).to_le_bytes() != checksum {
        return 0;
    }
    count.try_into().map_or(0, u64::from_le_bytes)
}

#[cfg(test)]
mod tests;
