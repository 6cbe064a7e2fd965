//! The state that operators have set, shared through a file by the old and the new process of an upgrade: both are one
//! sidecar, so each applies the calls that the other has received.

use crate::file_access::{self, Commit};
use crate::log::log_line;
use crate::retry::retry_at_startup;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::error::Error;
use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The version of the file's format.
const FORMAT_VERSION: u32 = 1;
/// How long to wait for a lock that the other process holds. An operator's call has to be answered within 1 s.
const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limits for a read of the file and for a change. An operator's call may have to wait for both.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
const CHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two attempts to take the lock.
const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// The state that operators have set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorState {
    version: u32,
    /// Names of the cordoned endpoints.
    pub cordoned: BTreeSet<String>,
    /// Whether the sidecar is drained.
    pub drained: bool,
}

impl Default for OperatorState {
    fn default() -> Self {
        Self { version: FORMAT_VERSION, cordoned: BTreeSet::new(), drained: false }
    }
}

impl OperatorState {
    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let state: Self = serde_json::from_slice(bytes).map_err(DecodeError::Malformed)?;
        if state.version != FORMAT_VERSION {
            return Err(DecodeError::Version(state.version));
        }
        Ok(state)
    }
}

/// Why the contents of a state file can't be decoded.
#[derive(Debug)]
enum DecodeError {
    Malformed(serde_json::Error),
    Version(u32),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => e.fmt(f),
            Self::Version(version) => write!(f, "unsupported format version {version}"),
        }
    }
}

/// A change could not be stored, so it was not made.
#[derive(Debug)]
pub struct StoreError {
    path: PathBuf,
    source: io::Error,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot keep it in {}: {}", self.path.display(), self.source)
    }
}

impl Error for StoreError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.source)
    }
}

/// The operators' state and the file through which it is shared.
pub struct StateFile {
    path: Option<PathBuf>,
    /// The file's contents as last read or written.
    contents: Vec<u8>,
    state: OperatorState,
}

impl StateFile {
    /// A state that is not stored and ends with this process.
    pub fn in_memory() -> Self {
        Self { path: None, contents: Vec::new(), state: OperatorState::default() }
    }

    /// A state stored in `$TMPDIR`, shared by the processes that listen on that address.
    pub fn shared(listen: SocketAddr) -> Self {
        let Some(directory) = std::env::var_os("TMPDIR") else {
            log_line!("TMPDIR is not set: what operators set is lost when this process ends");
            return Self::in_memory();
        };
        // The name is part of the stored format, as the other process of an upgrade may be of an earlier version.
        let path = PathBuf::from(directory).join(format!("tinflow-{listen}.json"));
        let mut file = Self { path: Some(path.clone()), ..Self::in_memory() };
        // The state has to be in effect before the first request.
        let read = || file.apply_contents(&path, file_access::read_at_startup(&path, READ_TIMEOUT)).map(drop);
        if let Err(e) = retry_at_startup(read) {
            log_line!("{e}: the operators' state is applied once its file can be read");
        }
        file
    }

    /// The current state.
    pub fn state(&self) -> &OperatorState {
        &self.state
    }

    /// Whether the state is stored, so that it outlives this process.
    pub fn is_shared(&self) -> bool {
        self.path.is_some()
    }

    /// Reads the file again; returns whether another process has changed the state. Contents that can't be decoded are
    /// logged and ignored. A file that can't be read is an error, as its contents may have changed.
    pub async fn refresh(&mut self) -> io::Result<bool> {
        let Some(path) = self.path.clone() else { return Ok(false) };
        let read = file_access::read(&path, READ_TIMEOUT).await;
        self.apply_contents(&path, read)
    }

    /// Applies the result of reading the file; returns whether the state has changed.
    fn apply_contents(&mut self, path: &Path, read: io::Result<Vec<u8>>) -> io::Result<bool> {
        let contents = match read {
            Ok(contents) if contents != self.contents => contents,
            Ok(_) => return Ok(false),
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(false),
            Err(e) => return Err(e),
        };
        let decoded = OperatorState::decode(&contents);
        self.contents = contents;
        match decoded {
            Ok(state) => Ok(std::mem::replace(&mut self.state, state) != self.state),
            Err(e) => {
                log_line!("{} can't be used: {e}", path.display());
                Ok(false)
            }
        }
    }

    /// Changes the latest state, whichever process has stored it, and stores the result.
    pub async fn change(
        &mut self,
        change: impl FnOnce(&mut OperatorState) + Send + 'static,
    ) -> Result<(), StoreError> {
        let Some(path) = self.path.clone() else {
            change(&mut self.state);
            return Ok(());
        };
        let changed = self.change_file(path.clone(), change).await;
        changed.map_err(|source| StoreError { path, source })
    }

    async fn change_file(
        &mut self,
        path: PathBuf,
        change: impl FnOnce(&mut OperatorState) + Send + 'static,
    ) -> io::Result<()> {
        let mut latest = Self { path: None, contents: self.contents.clone(), state: self.state.clone() };
        let changed = move |commit: &Commit| {
            // Released when dropped, or when the process ends.
            let _lock = lock(&path.with_extension("lock"))?;
            latest.apply_contents(&path, file_access::read_regular(&path))?;
            change(&mut latest.state);
            latest.contents = serde_json::to_vec(&latest.state)?;
            let new = path.with_extension("new");
            open_to_write(&new)?.write_all(&latest.contents)?;
            commit.begin()?;
            fs::rename(&new, &path)?;
            Ok(latest)
        };
        let Self { contents, state, .. } = file_access::run(CHANGE_TIMEOUT, changed).await?;
        (self.contents, self.state) = (contents, state);
        Ok(())
    }
}

/// Creates or truncates a file. Without `O_NONBLOCK`, opening a named pipe would wait for a reader.
fn open_to_write(path: &Path) -> io::Result<File> {
    OpenOptions::new().write(true).create(true).truncate(true).custom_flags(libc::O_NONBLOCK).open(path)
}

fn lock(path: &Path) -> io::Result<File> {
    let file = open_to_write(path)?;
    let until = Instant::now() + LOCK_TIMEOUT;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() < until => sleep(LOCK_RETRY_PAUSE),
            Err(e) => return Err(e.into()),
        }
    }
}

#[cfg(test)]
mod tests;
