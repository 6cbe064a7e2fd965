//! The last good list in a file, for a reader that starts while no replica can be reached. It is put in place by
//! rename, so that a reader finds the old one or the new one whole; what a disk makes of it is seen by a checksum.

use crate::list::EndpointList;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The form of the file with a list of all servers.
const FORMAT: u32 = 1;
/// The form with a list of some services. A program that does not know of services would take it for the whole list.
const FORMAT_BY_SERVICE: u32 = 2;

/// Why a file can't be used.
#[derive(Debug)]
pub enum FileError {
    /// It can't be read or written.
    Io(PathBuf, io::Error),
    /// What stands in it is not what was written, or of another form.
    Corrupt(PathBuf, String),
}

impl std::fmt::Display for FileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Corrupt(path, what) => write!(f, "{}: {what}", path.display()),
        }
    }
}
impl std::error::Error for FileError {}

#[derive(Deserialize, Serialize)]
struct Written {
    format: u32,
    /// Of the text of the list.
    checksum: u64,
    /// Unix time in milliseconds at which it was written. It is shown to people; nothing is decided by it.
    saved_ms: u64,
    list: String,
}

/// Writes a list into the file.
pub fn save(path: &Path, known: &EndpointList) -> Result<(), FileError> {
    let failed = |e| FileError::Io(path.to_owned(), e);
    let list = serde_json::to_string(known).map_err(|e| failed(e.into()))?;
    let format = if known.services.is_empty() { FORMAT } else { FORMAT_BY_SERVICE };
    let written = Written { format, checksum: checksum(list.as_bytes()), saved_ms: unix_ms(), list };
    let text = serde_json::to_vec(&written).map_err(|e| failed(e.into()))?;
    // Beside it, as a rename works within one file system; by its own name, as an old process may still run.
    let beside = path.with_extension(format!("new-{}", std::process::id()));
    let put = || {
        let mut file = File::create(&beside)?;
        file.write_all(&text)?;
        file.sync_all()?;
        std::fs::rename(&beside, path)
    };
    put().map_err(|e| {
        let _ = std::fs::remove_file(&beside);
        failed(e)
    })
}

/// Reads the list of the file, and how long ago it was written by the machine's clock; `None` where there is none.
pub fn load(path: &Path) -> Result<Option<(EndpointList, Duration)>, FileError> {
    let corrupt = |what: String| FileError::Corrupt(path.to_owned(), what);
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(FileError::Io(path.to_owned(), e)),
    };
    let written: Written = serde_json::from_slice(&text).map_err(|e| corrupt(e.to_string()))?;
    if ![FORMAT, FORMAT_BY_SERVICE].contains(&written.format) {
        return Err(corrupt(format!(
            "format {} is neither {FORMAT} nor {FORMAT_BY_SERVICE}",
            written.format
        )));
    }
    if written.checksum != checksum(written.list.as_bytes()) {
        return Err(corrupt("the checksum is not that of the list".into()));
    }
    let known = serde_json::from_str(&written.list).map_err(|e| corrupt(e.to_string()))?;
    Ok(Some((known, Duration::from_millis(unix_ms().saturating_sub(written.saved_ms)))))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// FNV-1a over the bytes: against what a disk or a hand changes, not against an attacker.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

#[cfg(test)]
mod tests;
