//! Results of scale runs: a line of JSON for each role of each step.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What varies from step to step.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Sweep {
    /// Hollow readers.
    Hollow,
    /// Listed servers, for a fleet.
    Listed,
    /// Changes a second, for a fleet.
    Changes,
    /// A step for each event.
    Events,
    /// Listed servers, for one real sidecar.
    SidecarListed,
    /// Changes a second, for one real sidecar.
    SidecarChanges,
    /// Listed servers, for the decision module alone.
    ModuleListed,
}

/// What readers of the list are told.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The whole list.
    Whole,
    /// The servers of the services that they ask for.
    Services,
}

impl Mode {
    /// As files have it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Services => "services",
        }
    }
}

/// Who was measured.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The replica that leads.
    Leader,
    /// Mean of the replicas that do not.
    Follower,
    /// Mean of the hollow readers.
    Hollow,
    /// Mean of the real sidecars.
    Sidecar,
    /// The decision module alone.
    Module,
    /// What concerns all of them.
    Fleet,
}

/// The sizes of a step.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
pub struct StepSizes {
    /// Hollow readers.
    pub hollow: u32,
    /// Servers on the list.
    pub listed: u32,
    /// Changes of the list, a second.
    pub changes_per_s: f64,
    /// Services that a reader calls; 0 for all.
    pub services: u32,
}

/// What was measured of one role in one step.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Line {
    /// What varies.
    pub sweep: Sweep,
    /// What readers are told.
    pub mode: Mode,
    /// The step of the sweep, from 1.
    pub step: u32,
    /// Its sizes.
    pub at: StepSizes,
    /// Who was measured.
    pub role: Role,
    /// What happened meanwhile, in sweep `events`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event: Option<String>,
    /// For how long each figure was taken.
    pub seconds: f64,
    /// Figures, with their unit in the name; absent where not measured.
    pub measured: BTreeMap<String, f64>,
    /// Why the step ended before all was measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failed: Option<String>,
    /// What the run was drawn from.
    pub seed: u64,
    /// The text that was run: the commit, with `+` behind it where files differed from it.
    pub commit: String,
}

impl Line {
    /// Adds a figure. One that is no number was not measured.
    pub fn set(&mut self, name: &str, value: f64) {
        if value.is_finite() {
            self.measured.insert(name.to_owned(), value);
        }
    }
}

/// Why a file of lines can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LinesError {
    /// It can't be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A whole line is no result.
    #[error("{}: line {line}: {source}", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// From 1.
        line: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// A new file that lines are added to as they come.
pub struct Lines {
    path: PathBuf,
    file: File,
}

impl Lines {
    /// Makes the file. One that is there already is left as it is, and refused.
    pub fn create(path: &Path) -> Result<Self, LinesError> {
        let opened = OpenOptions::new().write(true).create_new(true).open(path);
        let file = opened.map_err(|source| LinesError::Io { path: path.to_owned(), source })?;
        Ok(Self { path: path.to_owned(), file })
    }

    /// Adds a line, by one write: an interrupt tears the last one at most.
    pub fn add(&mut self, line: &Line) -> Result<(), LinesError> {
        let text = serde_json::to_vec(line).map_err(io::Error::from);
        let written = text.and_then(|mut text| {
            text.push(b'\n');
            self.file.write_all(&text)
        });
        written.map_err(|source| LinesError::Io { path: self.path.clone(), source })
    }

    /// Reads a file. A last line that does not end is left out, as an interrupt tore it.
    pub fn read(path: &Path) -> Result<Vec<Line>, LinesError> {
        let text = std::fs::read(path).map_err(|source| LinesError::Io { path: path.to_owned(), source })?;
        let whole = text.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        let lines = text[..whole].split(|b| *b == b'\n').enumerate().filter(|(_, text)| !text.is_empty());
        let of = |(i, text): (usize, &[u8])| {
            serde_json::from_slice(text).map_err(|source| LinesError::Line {
                path: path.to_owned(),
                line: i + 1,
                source,
            })
        };
        lines.map(of).collect()
    }
}
