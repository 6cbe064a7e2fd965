//! Result files of scale runs: JSON Lines, one line for each role of each step.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What varies from step to step.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Sweep {
    /// The number of hollow sidecars.
    Hollow,
    /// The number of listed servers, in a fleet.
    Listed,
    /// Changes per second, in a fleet.
    Changes,
    /// One step for each event.
    Events,
    /// The number of listed servers, for a single real sidecar.
    SidecarListed,
    /// Changes per second, for a single real sidecar.
    SidecarChanges,
    /// The number of listed servers, for the decision module alone (the `Balancer` of crate `lotusmoor_balancer`).
    ModuleListed,
}

/// The part of the endpoint list that sidecars watch.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The full list.
    Whole,
    /// The servers of the services that they call.
    Services,
}

impl Mode {
    /// The name in files and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Services => "services",
        }
    }
}

/// The component that was measured.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The leader of the registry.
    Leader,
    /// The mean of the followers.
    Follower,
    /// The mean of the hollow sidecars.
    Hollow,
    /// The mean of the real sidecars.
    Sidecar,
    /// The decision module (the `Balancer` of crate `lotusmoor_balancer`) alone.
    Module,
    /// The fleet as a whole.
    Fleet,
}

/// The sizes of a step.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
pub struct StepSizes {
    /// The number of hollow sidecars.
    pub hollow: u32,
    /// The number of servers on the list.
    pub listed: u32,
    /// Changes of the list per second.
    pub changes_per_s: f64,
    /// The number of services that a sidecar calls; 0 if it watches the full list.
    pub services: u32,
}

/// The measurements of one role in one step.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Record {
    /// What varies.
    pub sweep: Sweep,
    /// The part of the list that sidecars watched.
    pub mode: Mode,
    /// The step of the sweep, counted from 1.
    pub step: u32,
    /// The sizes of the step.
    pub at: StepSizes,
    /// The component that was measured.
    pub role: Role,
    /// The event during the step, in sweep `events`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event: Option<String>,
    /// How long each figure was measured.
    pub seconds: f64,
    /// Figures by name, with the unit in the name. Figures that were not measured are absent.
    pub measured: BTreeMap<String, f64>,
    /// Why the step failed before everything was measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failed: Option<String>,
    /// The random seed of the run.
    pub seed: u64,
    /// The source version: the commit, with a `+` appended if files differed from it.
    pub commit: String,
}

impl Record {
    /// Adds a figure. A value that is not finite counts as not measured.
    pub fn set(&mut self, name: &str, value: f64) {
        if value.is_finite() {
            self.measured.insert(name.to_owned(), value);
        }
    }
}

/// An error of a result file.
#[derive(Debug, thiserror::Error)]
pub enum ResultFileError {
    /// The file cannot be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// A complete line is not a valid result.
    #[error("{}: line {line}: {source}", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The number of the line, counted from 1.
        line: usize,
        /// The error of the parser.
        source: serde_json::Error,
    },
}

/// A new result file, to which lines are appended during a run.
pub struct ResultFile {
    path: PathBuf,
    file: File,
}

impl ResultFile {
    /// Creates the file. Fails if it exists already, and leaves it as it is.
    pub fn create(path: &Path) -> Result<Self, ResultFileError> {
        let opened = OpenOptions::new().write(true).create_new(true).open(path);
        let file = opened.map_err(|source| ResultFileError::Io { path: path.to_owned(), source })?;
        Ok(Self { path: path.to_owned(), file })
    }

    /// Appends a line by a single write, so that an interrupted run truncates the last line at most.
    pub fn add(&mut self, line: &Record) -> Result<(), ResultFileError> {
        let text = serde_json::to_vec(line).map_err(io::Error::from);
        let written = text.and_then(|mut text| {
            text.push(b'\n');
            self.file.write_all(&text)
        });
        written.map_err(|source| ResultFileError::Io { path: self.path.clone(), source })
    }

    /// Reads a file. A last line without an end is skipped, as an interrupted run truncated it.
    pub fn read(path: &Path) -> Result<Vec<Record>, ResultFileError> {
        let text =
            std::fs::read(path).map_err(|source| ResultFileError::Io { path: path.to_owned(), source })?;
        let end = text.iter().rposition(|b| *b == b'\n').map_or(0, |last| last + 1);
        let lines = text[..end].split(|b| *b == b'\n').enumerate().filter(|(_, text)| !text.is_empty());
        let parse = |(i, text): (usize, &[u8])| {
            serde_json::from_slice(text).map_err(|source| ResultFileError::Line {
                path: path.to_owned(),
                line: i + 1,
                source,
            })
        };
        lines.map(parse).collect()
    }
}
