//! The operators' state, shared through a file by the old and the new process of an upgrade: they are one sidecar, and
//! each follows the calls that the other has received.

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
/// How long the other process may hold the lock. An operator's call has to be answered in 1 s.
const LOCK_TIME: Duration = Duration::from_millis(300);
/// How long a read of the file may last, and how long a change. An operator's call may have to wait for both.
const READ_TIME: Duration = Duration::from_millis(300);
const CHANGE_TIME: Duration = Duration::from_millis(500);
/// Pause between two tries to lock.
const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// What operators have set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorState {
    version: u32,
    /// Names of the cordoned endpoints.
    pub cordoned: BTreeSet<String>,
    /// The sidecar is drained.
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

/// Why a state file can't be decoded.
#[derive(Debug)]
enum DecodeError {
    Malformed(serde_json::Error),
    Version(u32),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => e.fmt(f),
            Self::Version(version) => write!(f, "version {version}"),
        }
    }
}

/// A change could not be stored, and was not made.
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

/// The operators' state, and the file that it is shared through.
pub struct StateFile {
    path: Option<PathBuf>,
    /// The file as last read or written.
    contents: Vec<u8>,
    state: OperatorState,
}

impl StateFile {
    /// A state that ends with this process.
    pub fn in_memory() -> Self {
        Self { path: None, contents: Vec::new(), state: OperatorState::default() }
    }

    /// A state in `$TMPDIR`, shared by the processes that listen at that address.
    pub fn shared(listen: SocketAddr) -> Self {
        let Some(directory) = std::env::var_os("TMPDIR") else {
            log_line!("without TMPDIR what operators say ends with this process");
            return Self::in_memory();
        };
        let path = PathBuf::from(directory).join(format!("tinflow-{listen}.json"));
        let mut file = Self { path: Some(path.clone()), ..Self::in_memory() };
        // The state has to be in effect from the first request on.
        let read = || file.adopt(&path, file_access::read_at_startup(&path, READ_TIME)).map(drop);
        if let Err(e) = retry_at_startup(read) {
            log_line!("{e}: what operators said is followed once it can be read");
        }
        file
    }

    /// The current state.
    pub fn state(&self) -> &OperatorState {
        &self.state
    }

    /// Whether the state outlives this process.
    pub fn is_shared(&self) -> bool {
        self.path.is_some()
    }

    /// Reads the file again; returns whether another process has changed the state. Contents that can't be decoded are
    /// logged and change nothing. A file that can't be read is an error, as its contents may be new.
    pub async fn refresh(&mut self) -> io::Result<bool> {
        let Some(path) = self.path.clone() else { return Ok(false) };
        let read = file_access::read(&path, READ_TIME).await;
        self.adopt(&path, read)
    }

    /// Takes on what was read from the file.
    fn adopt(&mut self, path: &Path, read: io::Result<Vec<u8>>) -> io::Result<bool> {
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

    /// Changes the latest state, of whichever process, and stores it.
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
            // Released when it is dropped, or its process ends.
            let _lock = lock(&path.with_extension("lock"))?;
            latest.adopt(&path, file_access::read_regular(&path))?;
            change(&mut latest.state);
            latest.contents = serde_json::to_vec(&latest.state)?;
            let new = path.with_extension("new");
            open_to_write(&new)?.write_all(&latest.contents)?;
            commit.begin()?;
            fs::rename(&new, &path)?;
            Ok(latest)
        };
        let Self { contents, state, .. } = file_access::run(CHANGE_TIME, changed).await?;
        (self.contents, self.state) = (contents, state);
        Ok(())
    }
}

/// Opens a file anew. Without the flag the open of a pipe waits for its reader.
fn open_to_write(path: &Path) -> io::Result<File> {
    OpenOptions::new().write(true).create(true).truncate(true).custom_flags(libc::O_NONBLOCK).open(path)
}

fn lock(path: &Path) -> io::Result<File> {
    let file = open_to_write(path)?;
    let until = Instant::now() + LOCK_TIME;
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
