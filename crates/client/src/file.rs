//! The last good list in a file, for a reader that starts while no replica can be reached. It is put in place by
//! rename, so that a reader finds the old one or the new one whole; what a disk makes of it is seen by a checksum.

use crate::list::Known;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The form of the file with a list of all servers.
const FORMAT: u32 = 1;
/// The form with a list of some services. A program that does not know of services would take it for the whole list.
const OF_SERVICES: u32 = 2;

/// Why a file can't be used.
#[derive(Debug)]
pub enum FileError {
    /// It can't be read or written.
    Io(PathBuf, io::Error),
    /// What stands in it is not what was written, or of another form.
    Spoilt(PathBuf, String),
}

impl std::fmt::Display for FileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Spoilt(path, what) => write!(f, "{}: {what}", path.display()),
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
pub fn save(path: &Path, known: &Known) -> Result<(), FileError> {
    let failed = |e| FileError::Io(path.to_owned(), e);
    let list = serde_json::to_string(known).map_err(|e| failed(e.into()))?;
    let format = if known.services.is_empty() { FORMAT } else { OF_SERVICES };
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
pub fn load(path: &Path) -> Result<Option<(Known, Duration)>, FileError> {
    let spoilt = |what: String| FileError::Spoilt(path.to_owned(), what);
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(FileError::Io(path.to_owned(), e)),
    };
    let written: Written = serde_json::from_slice(&text).map_err(|e| spoilt(e.to_string()))?;
    if ![FORMAT, OF_SERVICES].contains(&written.format) {
        return Err(spoilt(format!("format {} is neither {FORMAT} nor {OF_SERVICES}", written.format)));
    }
    if written.checksum != checksum(written.list.as_bytes()) {
        return Err(spoilt("the checksum is not that of the list".into()));
    }
    let known = serde_json::from_str(&written.list).map_err(|e| spoilt(e.to_string()))?;
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
mod tests {
    use super::*;
    use crate::list::Version;

    fn known() -> Known {
        Known { version: Version { epoch: 3, index: 70 }, digest: 9, ..Known::default() }
    }

    #[test]
    fn what_was_saved_is_loaded_and_no_other_file_is_left() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("list.json");
        assert!(load(&path).expect("it is not there").is_none());
        for index in 70..73 {
            let known = Known { version: Version { epoch: 3, index }, ..known() };
            save(&path, &known).expect("it is written");
            assert_eq!(load(&path).expect("it is read").map(|(k, _)| k), Some(known));
        }
        assert_eq!(std::fs::read_dir(folder.path()).expect("it is listed").count(), 1);
    }

    #[test]
    fn an_older_program_refuses_a_list_of_services_and_no_other() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("list.json");
        let format = || {
            let text = std::fs::read_to_string(&path).expect("it is read");
            serde_json::from_str::<Written>(&text).expect("it is text").format
        };
        save(&path, &known()).expect("it is written");
        assert_eq!(format(), 1);
        let of_services = Known { services: vec!["a".into()], ..known() };
        save(&path, &of_services).expect("it is written");
        assert_eq!(format(), 2);
        assert_eq!(load(&path).expect("it is read").map(|(k, _)| k), Some(of_services));
    }

    // Word for word as a program wrote it that knew of no services.
    #[test]
    fn an_older_file_is_of_all_servers() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("list.json");
        let list = r#"{"version":{"epoch":3,"index":70},"digest":9,"entries":{}}"#;
        let written =
            Written { format: 1, checksum: checksum(list.as_bytes()), saved_ms: 5, list: list.into() };
        std::fs::write(&path, serde_json::to_vec(&written).expect("text")).expect("it is written");
        assert_eq!(load(&path).expect("it is read").map(|(k, _)| k), Some(known()));
        save(&path, &known()).expect("it is written");
        let text = std::fs::read_to_string(&path).expect("it is read");
        assert_eq!(serde_json::from_str::<Written>(&text).expect("it is text").list, list);
    }

    #[test]
    fn one_flipped_byte_or_a_torn_end_is_seen() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("list.json");
        save(&path, &known()).expect("it is written");
        let whole = std::fs::read(&path).expect("it is read");
        for at in 0..whole.len() {
            let mut flipped = whole.clone();
            flipped[at] ^= 1;
            std::fs::write(&path, &flipped).expect("it is written");
            // A flip in the time of writing alone may pass: nothing is decided by it.
            if let Ok(loaded) = load(&path) {
                assert_eq!(loaded.map(|(k, _)| k), Some(known()), "byte {at}");
            }
            std::fs::write(&path, &whole[..at]).expect("it is written");
            assert!(load(&path).is_err(), "torn at {at}");
        }
    }

    #[test]
    fn a_folder_that_is_not_there_is_an_error_that_names_the_file() {
        let error = save(Path::new("/nowhere/at/all/list.json"), &known()).expect_err("no folder");
        assert!(error.to_string().starts_with("/nowhere/at/all/list.json: "), "{error}");
    }
}
