//! What operators have told the sidecar, kept over an upgrade: the old process and the new one are one sidecar, and
//! each heeds what the other was told.

use crate::log::log_line;
use crate::retry::retry_at_startup;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Of the file's form.
const VERSION: u32 = 1;
/// How long the other process may hold the lock, and how often it is tried. Calls are owed an answer in 1 s.
const LOCK_TIME: Duration = Duration::from_millis(300);
const LOCK_PAUSE: Duration = Duration::from_millis(5);

/// What holds until operators say otherwise.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct State {
    version: u32,
    /// Names of the endpoints that are taken out.
    pub cordoned: BTreeSet<String>,
    /// The sidecar is drained.
    pub drained: bool,
}

impl Default for State {
    fn default() -> Self {
        Self { version: VERSION, cordoned: BTreeSet::new(), drained: false }
    }
}

impl State {
    fn read(bytes: &[u8]) -> Result<Self, String> {
        let told: Self = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
        if told.version == VERSION { Ok(told) } else { Err(format!("version {}", told.version)) }
    }
}

/// What was told, and the file that it is kept in.
pub struct StateFile {
    file: Option<PathBuf>,
    /// The file as last seen.
    seen: Vec<u8>,
    state: State,
}

impl StateFile {
    /// Kept by this process alone.
    pub fn alone() -> Self {
        Self { file: None, seen: Vec::new(), state: State::default() }
    }

    /// Kept in `$TMPDIR`, for the sidecar that listens there.
    pub fn shared(listen: SocketAddr) -> Self {
        let Some(folder) = std::env::var_os("TMPDIR") else {
            log_line!("without TMPDIR what operators say ends with this process");
            return Self::alone();
        };
        let file = PathBuf::from(folder).join(format!("tinflow-{listen}.json"));
        let mut kept = Self { file: Some(file), ..Self::alone() };
        // What operators have said holds from the first request on.
        if let Err(e) = retry_at_startup(|| kept.refresh().map(drop)) {
            log_line!("{e}: what operators said is followed once it can be read");
        }
        kept
    }

    /// As it stands.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether another process of this sidecar heeds it.
    pub fn outlives(&self) -> bool {
        self.file.is_some()
    }

    /// Looks at the file again; whether another process has been told something new. What can't be used is one log
    /// line, and changes nothing. A file that can't be read is an error: it may hold what this process does not know.
    pub fn refresh(&mut self) -> io::Result<bool> {
        let Some(file) = &self.file else { return Ok(false) };
        let bytes = match fs::read(file) {
            Ok(bytes) if bytes != self.seen => bytes,
            Ok(_) => return Ok(false),
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(false),
            Err(e) => return Err(e),
        };
        let read = State::read(&bytes);
        self.seen = bytes;
        match read {
            Ok(told) => Ok(std::mem::replace(&mut self.state, told) != self.state),
            Err(what) => {
                log_line!("{} can't be used: {what}", file.display());
                Ok(false)
            }
        }
    }

    /// Changes what was told last, by whichever process, and keeps it.
    pub async fn change(&mut self, change: impl FnOnce(&mut State)) -> Result<(), String> {
        let Some(file) = self.file.clone() else {
            change(&mut self.state);
            return Ok(());
        };
        let failed = |e: io::Error| format!("cannot keep it in {}: {e}", file.display());
        // Released when it is dropped, or its process ends.
        let _lock = lock(file.with_extension("lock")).await.map_err(failed)?;
        self.refresh().map_err(failed)?;
        let mut told = self.state.clone();
        change(&mut told);
        let bytes = serde_json::to_vec(&told).map_err(|e| failed(e.into()))?;
        let new = file.with_extension("new");
        fs::write(&new, &bytes).and_then(|()| fs::rename(&new, &file)).map_err(failed)?;
        (self.seen, self.state) = (bytes, told);
        Ok(())
    }
}

async fn lock(path: PathBuf) -> io::Result<File> {
    let (file, until) = (File::create(path)?, Instant::now() + LOCK_TIME);
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() < until => sleep(LOCK_PAUSE).await,
            Err(e) => return Err(e.into()),
        }
    }
}
