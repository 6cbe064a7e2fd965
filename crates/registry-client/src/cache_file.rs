//! Stores the last usable list in a file, for a client that starts while no replica can be reached.
//!
//! The file is replaced by a rename, so that a reader finds either the old list or the new one. A checksum detects
//! corruption on disk.

use crate::list::EndpointList;
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Format of a list of all servers.
const FORMAT_ALL_SERVERS: u32 = 1;
/// Format of a list of some services. Releases without support for services reject it, as they must not take it for a
/// complete list.
const FORMAT_SOME_SERVICES: u32 = 2;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Why a cache file can't be used, with its path.
#[derive(Debug)]
pub struct CacheFileError {
    /// Path of the file.
    pub path: PathBuf,
    /// The cause.
    pub fault: CacheFileFault,
}

/// Why a cache file can't be used.
#[derive(Debug)]
pub enum CacheFileFault {
    /// The file can't be read or written.
    Io(io::Error),
    /// The content is not the JSON of a list.
    Json(serde_json::Error),
    /// The file has a format that this release does not know.
    UnknownFormat(u32),
    /// The checksum does not match the list: the file was corrupted after it was written.
    ChecksumMismatch,
}

impl From<io::Error> for CacheFileFault {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<serde_json::Error> for CacheFileFault {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}

impl fmt::Display for CacheFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.fault)
    }
}

impl fmt::Display for CacheFileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Json(error) => error.fmt(f),
            Self::UnknownFormat(format) => {
                write!(f, "format {format} is neither {FORMAT_ALL_SERVERS} nor {FORMAT_SOME_SERVICES}")
            }
            Self::ChecksumMismatch => f.write_str("the checksum does not match the list"),
        }
    }
}

impl Error for CacheFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match &self.fault {
            CacheFileFault::Io(error) => Some(error),
            CacheFileFault::Json(error) => Some(error),
            CacheFileFault::UnknownFormat(_) | CacheFileFault::ChecksumMismatch => None,
        }
    }
}

/// The content of the file.
#[derive(Deserialize, Serialize)]
struct StoredList {
    format: u32,
    /// Checksum of the bytes of `list`.
    checksum: u64,
    /// Unix time in milliseconds at which the file was written. Informational: no decision depends on it.
    saved_ms: u64,
    /// The list as JSON.
    list: String,
}

/// Writes a list to the file.
pub fn save(path: &Path, list: &EndpointList) -> Result<(), CacheFileError> {
    write(path, list).map_err(|fault| CacheFileError { path: path.to_owned(), fault })
}

/// Reads the list from the file and returns it with its age by the system clock; `None` if there is no file.
pub fn load(path: &Path) -> Result<Option<(EndpointList, Duration)>, CacheFileError> {
    read(path).map_err(|fault| CacheFileError { path: path.to_owned(), fault })
}

fn write(path: &Path, list: &EndpointList) -> Result<(), CacheFileFault> {
    let format = if list.services.is_empty() { FORMAT_ALL_SERVERS } else { FORMAT_SOME_SERVICES };
    let list = serde_json::to_string(list)?;
    let stored = StoredList { format, checksum: checksum(list.as_bytes()), saved_ms: unix_millis(), list };
    let bytes = serde_json::to_vec(&stored)?;
    // In the same directory, as a rename works only within one file system. The name contains the process ID, as the
    // process of an earlier release may still be running.
    let temporary = path.with_extension(format!("new-{}", std::process::id()));
    write_synced(&temporary, &bytes).and_then(|()| std::fs::rename(&temporary, path)).map_err(|error| {
        let _ = std::fs::remove_file(&temporary);
        error.into()
    })
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn read(path: &Path) -> Result<Option<(EndpointList, Duration)>, CacheFileFault> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let stored: StoredList = serde_json::from_slice(&bytes)?;
    if ![FORMAT_ALL_SERVERS, FORMAT_SOME_SERVICES].contains(&stored.format) {
        return Err(CacheFileFault::UnknownFormat(stored.format));
    }
    if stored.checksum != checksum(stored.list.as_bytes()) {
        return Err(CacheFileFault::ChecksumMismatch);
    }
    let list = serde_json::from_str(&stored.list)?;
    let age = Duration::from_millis(unix_millis().saturating_sub(stored.saved_ms));
    Ok(Some((list, age)))
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// FNV-1a hash, which detects accidental changes but no deliberate ones.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

#[cfg(test)]
mod tests;
