//! Result files: a line of JSON for each run. If an interruption left an incomplete last line, the lines before it
//! are still read.

use super::Point;
use crate::model::Figures;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The result of one run.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RunResult {
    /// The experiment.
    pub experiment: String,
    /// The commit of the sources, followed by `+` if files differed from it.
    pub commit: String,
    /// The scenario.
    pub scenario: String,
    /// The variant.
    pub variant: String,
    /// The point of the sweep.
    pub point: Point,
    /// The seed.
    pub seed: u64,
    /// The results of the run.
    pub figures: Figures,
}

impl RunResult {
    /// Whether both are results of the same run: experiment, scenario, variant, point and seed.
    pub fn is_same_run(&self, other: &Self) -> bool {
        let key = |l: &Self| (l.experiment.clone(), l.scenario.clone(), l.variant.clone(), l.seed);
        key(self) == key(other) && self.point == other.point
    }
}

/// Why a result file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// The file could not be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A line before the last one is invalid, which no interruption can cause.
    #[error("{path}: line {line}: {source}")]
    Line {
        /// The file.
        path: PathBuf,
        /// The line number, from 1.
        line: usize,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The file contains results of another commit; they must not be mixed in one file.
    #[error(
        "{path}: holds results of {found}, but the current commit is {now}: use another file, or remove this one"
    )]
    Commit {
        /// The file.
        path: PathBuf,
        /// The commit of the results in the file.
        found: String,
        /// The current commit.
        now: String,
    },
}

/// A result file, open for appending.
pub struct Results {
    path: PathBuf,
    file: File,
    /// The results that it contained when it was opened.
    pub lines: Vec<RunResult>,
    /// Whether an incomplete last line was removed.
    pub torn: bool,
}

impl Results {
    /// Reads a result file; returns the results, and whether an incomplete last line was skipped.
    pub fn read(path: &Path) -> Result<(Vec<RunResult>, bool), ResultsError> {
        let text =
            std::fs::read(path).map_err(|source| ResultsError::Io { path: path.to_owned(), source })?;
        let (complete, partial) = match text.iter().rposition(|b| *b == b'\n') {
            Some(end) => text.split_at(end + 1),
            None => (&[][..], &text[..]),
        };
        let mut lines = Vec::new();
        let count = complete.split(|b| *b == b'\n').count().saturating_sub(1);
        let mut torn = !partial.is_empty();
        for (i, line) in complete.split(|b| *b == b'\n').enumerate().filter(|(_, l)| !l.is_empty()) {
            match serde_json::from_slice(line) {
                Ok(line) => lines.push(line),
                // Blocks of a file may reach the disk out of order, so that the last line can be damaged even though
                // it ends with a newline.
                Err(_) if i + 1 == count => torn = true,
                Err(source) => return Err(ResultsError::Line { path: path.to_owned(), line: i + 1, source }),
            }
        }
        Ok((lines, torn))
    }

    /// Opens a result file to continue it, or creates one. An incomplete last line is removed first by replacing the
    /// file atomically, so that an interruption meanwhile loses nothing.
    pub fn open(path: &Path, commit: &str) -> Result<Self, ResultsError> {
        let io = |source| ResultsError::Io { path: path.to_owned(), source };
        let (lines, torn) = if path.exists() { Self::read(path)? } else { (Vec::new(), false) };
        if let Some(line) = lines.iter().find(|l| l.commit != commit) {
            let (found, now) = (line.commit.clone(), commit.to_owned());
            return Err(ResultsError::Commit { path: path.to_owned(), found, now });
        }
        if torn {
            let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
            let mut complete = tempfile::NamedTempFile::new_in(folder).map_err(io)?;
            for line in &lines {
                serde_json::to_writer(&mut complete, line).map_err(|e| io(e.into()))?;
                complete.write_all(b"\n").map_err(io)?;
            }
            complete.as_file().sync_all().map_err(io)?;
            complete.persist(path).map_err(|e| io(e.error))?;
        }
        let file = OpenOptions::new().create(true).append(true).open(path).map_err(io)?;
        Ok(Self { path: path.to_owned(), file, lines, torn })
    }

    /// Appends a result in a single write, so that after an interruption only the last line can be incomplete.
    pub fn add(&mut self, line: &RunResult) -> Result<(), ResultsError> {
        let io = |source| ResultsError::Io { path: self.path.clone(), source };
        let mut text = serde_json::to_vec(line).map_err(|e| io(e.into()))?;
        text.push(b'\n');
        self.file.write_all(&text).map_err(io)
    }
}

#[cfg(test)]
mod tests;
