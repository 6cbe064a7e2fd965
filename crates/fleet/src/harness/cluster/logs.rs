//! The logs of sidecars: a file, or a pipe whose reader has stalled or is gone.

use super::{Cluster, ClusterError};
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

/// Size of the smallest pipe buffer.
const PIPE_BYTES: usize = 4096;

/// The state of the reader of a sidecar's log pipe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogReader {
    /// The reader keeps the pipe open and does not read.
    Stalled,
    /// The reader has closed the pipe.
    Gone,
}

/// A named pipe that a process is about to log to.
pub(super) struct LogPipe {
    pub(super) path: PathBuf,
    reader: File,
}

impl LogPipe {
    fn open(path: &Path) -> Result<Self, ClusterError> {
        if !path.exists() {
            let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
            let kind = rustix::fs::FileType::Fifo;
            rustix::fs::mknodat(rustix::fs::CWD, path, kind, mode, 0).map_err(std::io::Error::from)?;
        }
        // Opening a named pipe for reading and writing does not wait for a peer.
        let reader = OpenOptions::new().read(true).write(true).open(path)?;
        rustix::pipe::fcntl_setpipe_size(&reader, PIPE_BYTES).map_err(std::io::Error::from)?;
        Ok(Self { path: path.to_owned(), reader })
    }
}

impl Cluster {
    /// Opens the pipe that a sidecar logs to; `None` if it logs to a file.
    pub(super) fn log_pipe(&self, sidecar: usize) -> Result<Option<LogPipe>, ClusterError> {
        if self.config.log_reader(sidecar).is_none() {
            return Ok(None);
        }
        LogPipe::open(&self.folder.path().join(format!("sidecar-{sidecar}.pipe"))).map(Some)
    }

    /// Called once the process that logs to the pipe has started: keeps the read end open without reading, or closes
    /// it.
    pub(super) fn keep_log_reader(&mut self, sidecar: usize, pipe: LogPipe) {
        let stalled = self.config.log_reader(sidecar) == Some(LogReader::Stalled);
        self.sidecars[sidecar].log_reader = stalled.then_some(pipe.reader);
    }

    /// The number of log lines that a sidecar's process has dropped; `None` if it does not answer.
    pub fn dropped_log_lines(&self, sidecar: usize) -> Option<u64> {
        let metrics = self.metrics(sidecar)?;
        let value =
            |line: &str| line.strip_prefix("lotusmoor_sidecar_log_lines_dropped_total ")?.parse().ok();
        metrics.lines().find_map(value)
    }
}
