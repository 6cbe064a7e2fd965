//! Recorded runs: a line of JSON for each role of each step of a sweep.

use super::{Mode, Point, Role, Slope};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// One role at one step. Keys that are of no use here, such as the seed, are let through.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// What varies.
    pub sweep: String,
    /// What readers are told.
    pub mode: Mode,
    /// The step of the sweep.
    pub step: u64,
    /// Its sizes.
    pub at: BTreeMap<String, f64>,
    /// Whose figures.
    pub role: Role,
    /// The event, in the sweep of events.
    #[serde(default)]
    pub event: Option<String>,
    /// What was measured; the name has the unit.
    pub measured: BTreeMap<String, f64>,
    /// Why the step ended before all was measured; it then gives no point.
    #[serde(default)]
    pub failed: Option<String>,
}

impl Step {
    /// A measured value or a size of the step.
    pub fn value(&self, key: &str) -> Option<f64> {
        self.measured.get(key).or_else(|| self.at.get(key)).copied()
    }
}

/// Why recorded runs can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RunsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A line is no result.
    #[error("{path}: line {line}: {source}")]
    Line {
        /// The file.
        path: PathBuf,
        /// From 1.
        line: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// Recorded runs by the name of their file.
#[derive(Clone, Debug, Default)]
pub struct Runs(BTreeMap<String, Vec<Step>>);

impl Runs {
    /// All files `*.jsonl` of a folder; none where there is no such folder.
    pub fn read(folder: &Path) -> Result<Self, RunsError> {
        let failed = |path: &Path, source| RunsError::Read { path: path.to_owned(), source };
        let listed = match std::fs::read_dir(folder) {
            Ok(listed) => listed,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(e) => return Err(failed(folder, e)),
        };
        let mut runs = Self::default();
        for entry in listed {
            let path = entry.map_err(|e| failed(folder, e))?.path();
            let Some(name) = path.file_name().and_then(|n| n.to_str()).filter(|n| n.ends_with(".jsonl"))
            else {
                continue;
            };
            let text = std::fs::read_to_string(&path).map_err(|e| failed(&path, e))?;
            let mut steps = Vec::new();
            for (i, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
                let step = serde_json::from_str(line).map_err(|source| RunsError::Line {
                    path: path.clone(),
                    line: i + 1,
                    source,
                })?;
                steps.push(step);
            }
            runs.0.insert(name.to_owned(), steps);
        }
        Ok(runs)
    }

    /// The steps that a slope is of, with those that failed.
    fn all<'a>(&'a self, slope: &'a Slope) -> impl Iterator<Item = &'a Step> {
        let steps = self.0.get(&slope.file).map(Vec::as_slice).unwrap_or_default();
        let same = |s: &&Step| s.sweep == slope.sweep && s.mode == slope.mode && s.role == slope.role;
        steps.iter().filter(same)
    }

    /// The whole steps that a slope is of, with a value of both its x and its y.
    pub fn of<'a>(&'a self, slope: &'a Slope) -> impl Iterator<Item = &'a Step> {
        let has = |s: &&Step| s.value(&slope.x).is_some() && s.value(&slope.y).is_some();
        self.all(slope).filter(|s| s.failed.is_none()).filter(has)
    }

    /// How many of its steps failed.
    pub fn failed(&self, slope: &Slope) -> usize {
        self.all(slope).filter(|s| s.failed.is_some()).count()
    }

    /// Those steps as points.
    pub fn points(&self, slope: &Slope) -> Vec<Point> {
        let point = |s: &Step| Some(Point { step: s.step, x: s.value(&slope.x)?, y: s.value(&slope.y)? });
        self.of(slope).filter_map(point).collect()
    }

    /// Played events: the file and the step.
    pub fn events(&self) -> impl Iterator<Item = (&str, &Step)> {
        let all = self.0.iter().flat_map(|(file, steps)| steps.iter().map(move |s| (file.as_str(), s)));
        all.filter(|(_, s)| s.event.is_some())
    }
}
