//! Where sidecars log to: a file, or a pipe whose reader stands still or is gone.

use super::{Cluster, ClusterError};
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

/// Bytes of the smallest pipe.
const PIPE_BYTES: usize = 4096;

/// Who reads a sidecar's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogReader {
    /// A reader that stands still.
    Stalled,
    /// Nobody any more.
    Gone,
}

/// A pipe that a process is about to log to.
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
        // Open for both, it waits for no other end.
        let reader = OpenOptions::new().read(true).write(true).open(path)?;
        rustix::pipe::fcntl_setpipe_size(&reader, PIPE_BYTES).map_err(std::io::Error::from)?;
        Ok(Self { path: path.to_owned(), reader })
    }
}

impl Cluster {
    /// The pipe that a sidecar logs to; none where it has a file.
    pub(super) fn log_pipe(&self, sidecar: usize) -> Result<Option<LogPipe>, ClusterError> {
        if self.config.log_reader(sidecar).is_none() {
            return Ok(None);
        }
        LogPipe::open(&self.folder.path().join(format!("sidecar-{sidecar}.pipe"))).map(Some)
    }

    /// The process that logs to that pipe has started: its reader stands still from now on, or goes.
    pub(super) fn keep_log_reader(&mut self, sidecar: usize, pipe: LogPipe) {
        let stalls = self.config.log_reader(sidecar) == Some(LogReader::Stalled);
        self.sidecars[sidecar].log_reader = stalls.then_some(pipe.reader);
    }

    /// Log lines that a sidecar's process has dropped; `None` where it does not answer.
    pub fn dropped_log_lines(&self, sidecar: usize) -> Option<u64> {
        let metrics = self.metrics(sidecar)?;
        let value =
            |line: &str| line.strip_prefix("lotusmoor_sidecar_log_lines_dropped_total ")?.parse().ok();
        metrics.lines().find_map(value)
    }
}
