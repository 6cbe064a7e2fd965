//! Recorded runs: one line of JSON for each role in each step of a sweep.

use super::{Mode, Point, Role, Slope};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// What was measured of one role in one step. Unknown keys, such as the seed, are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// Name of the sweep.
    pub sweep: String,
    /// Which part of the endpoint list sidecars watch.
    pub mode: Mode,
    /// Number of the step.
    pub step: u64,
    /// Sizes of the deployment in this step.
    #[serde(rename = "at")]
    pub sizes: BTreeMap<String, f64>,
    /// The measured component.
    pub role: Role,
    /// The injected event, in the sweep `events`.
    #[serde(default)]
    pub event: Option<String>,
    /// The measured values; the unit is part of the name.
    pub measured: BTreeMap<String, f64>,
    /// Why the step ended before all values were measured. A failed step gives no point.
    #[serde(default)]
    pub failed: Option<String>,
}

impl Step {
    /// The measured value of that name, or else the size of that name.
    pub fn value(&self, key: &str) -> Option<f64> {
        self.measured.get(key).or_else(|| self.sizes.get(key)).copied()
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
        /// The system's error.
        source: std::io::Error,
    },
    /// A line is not valid JSON of a step.
    #[error("{path}: line {line}: {source}")]
    Line {
        /// The file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// Recorded steps by file name.
#[derive(Clone, Debug, Default)]
pub struct Runs(BTreeMap<String, Vec<Step>>);

impl Runs {
    /// Reads all `*.jsonl` files of a folder. A folder that does not exist counts as empty.
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

    /// All steps of a slope's sweep, mode and role, including failed ones.
    fn steps<'a>(&'a self, slope: &'a Slope) -> impl Iterator<Item = &'a Step> {
        let steps = self.0.get(&slope.file).map(Vec::as_slice).unwrap_or_default();
        let matches = |s: &&Step| s.sweep == slope.sweep && s.mode == slope.mode && s.role == slope.role;
        steps.iter().filter(matches)
    }

    /// The completed steps of a slope that have both its x and its y.
    pub fn completed_steps<'a>(&'a self, slope: &'a Slope) -> impl Iterator<Item = &'a Step> {
        let has_point = |s: &&Step| s.value(&slope.x).is_some() && s.value(&slope.y).is_some();
        self.steps(slope).filter(|s| s.failed.is_none()).filter(has_point)
    }

    /// The number of failed steps of a slope.
    pub fn failed(&self, slope: &Slope) -> usize {
        self.steps(slope).filter(|s| s.failed.is_some()).count()
    }

    /// The completed steps of a slope as points.
    pub fn points(&self, slope: &Slope) -> Vec<Point> {
        let point = |s: &Step| Some(Point { step: s.step, x: s.value(&slope.x)?, y: s.value(&slope.y)? });
        self.completed_steps(slope).filter_map(point).collect()
    }

    /// The steps with an injected event, each with the name of its file.
    pub fn events(&self) -> impl Iterator<Item = (&str, &Step)> {
        let all = self.0.iter().flat_map(|(file, steps)| steps.iter().map(move |s| (file.as_str(), s)));
        all.filter(|(_, s)| s.event.is_some())
    }
}
