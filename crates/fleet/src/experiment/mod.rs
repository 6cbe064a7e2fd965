//! Experiments: scenarios, variants and sweeps, played over seeds; their results as JSON lines; comparisons in pairs
//! and a report.

mod compare;
mod measure;
mod play;
mod report;
mod results;

pub use compare::{Comparison, compare};
pub use measure::{measure, measures};
pub(crate) use play::commit;
pub use play::{ExperimentError, run_experiment};
pub use report::{ReportError, report};
pub use results::{Line, Results, ResultsError};

use crate::model::Policy;
use crate::scenario::{RosterRoom, Scenario};
use crate::site::{FileError, Range, Site, read_text};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// An experiment as its file has it; unknown keys are refused.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Scenarios: names of those that come with the tool, or files beside this one.
    pub scenarios: Vec<String>,
    /// How many seeds, from 1; or the seeds themselves.
    pub seeds: Seeds,
    /// What the report shows of each run.
    #[serde(default = "usual")]
    pub measures: Vec<String>,
    /// What is compared.
    pub variant: Vec<Variant>,
    /// Figures of the scenario that are varied, each value with each of the others.
    #[serde(default)]
    pub sweep: Sweep,
}

/// How many seeds, from 1; or the seeds themselves.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, expecting = "a number of seeds, or a list of them")]
pub enum Seeds {
    /// So many, from 1.
    Count(u64),
    /// These.
    These(Vec<u64>),
}

impl Seeds {
    /// All of them.
    pub fn list(&self) -> Vec<u64> {
        match self {
            Self::Count(n) => (1..=*n).collect(),
            Self::These(seeds) => seeds.clone(),
        }
    }
}

/// What decides in the sidecars.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name in results and reports.
    pub name: String,
    /// A policy, or `adapter:PROGRAM` with a path from this file's folder.
    pub policy: String,
    /// A roster in discovery's place; absent: the scenario's.
    #[serde(default)]
    pub roster: Option<RosterRoom>,
}

/// Figures that are varied; an empty list leaves the scenario's.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sweep {
    /// Traffic as a share of what all servers can do.
    pub load: Vec<f64>,
    /// Sidecars.
    pub sidecars: Vec<usize>,
    /// Servers.
    pub servers: Vec<usize>,
}

/// One point of a sweep; absent figures are the scenario's own.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Point {
    /// Traffic as a share of what all servers can do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<f64>,
    /// Sidecars.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sidecars: Option<usize>,
    /// Servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers: Option<usize>,
}

impl Point {
    /// The scenario at this point.
    pub fn of(&self, scenario: &Scenario) -> Scenario {
        let mut scenario = scenario.clone();
        scenario.load = self.load.map_or(scenario.load, |l| Range::of(l, l));
        scenario.sidecars = self.sidecars.unwrap_or(scenario.sidecars);
        scenario.servers = self.servers.unwrap_or(scenario.servers);
        scenario
    }
}

impl std::fmt::Display for Point {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let figures = [
            self.load.map(|x| format!("load {x}")),
            self.sidecars.map(|x| format!("{x} sidecars")),
            self.servers.map(|x| format!("{x} servers")),
        ];
        let said: Vec<_> = figures.into_iter().flatten().collect();
        f.write_str(&said.join(", "))
    }
}

impl Sweep {
    /// Every value with each of the others.
    pub fn points(&self) -> Vec<Point> {
        fn each<T: Copy>(all: &[T]) -> Vec<Option<T>> {
            if all.is_empty() { vec![None] } else { all.iter().copied().map(Some).collect() }
        }
        let mut points = Vec::new();
        for load in each(&self.load) {
            for sidecars in each(&self.sidecars) {
                points.extend(each(&self.servers).into_iter().map(|servers| Point {
                    load,
                    sidecars,
                    servers,
                }));
            }
        }
        points
    }
}

fn usual() -> Vec<String> {
    ["g", "refused", "attempts", "p99_ms"].map(str::to_owned).to_vec()
}

/// An experiment with all that it names.
#[derive(Debug)]
pub struct Loaded {
    /// The experiment.
    pub experiment: Experiment,
    /// Its scenarios and their sites.
    pub scenarios: Vec<(Scenario, Site)>,
    /// Its variants by name: who decides, and the roster where it is the variant's own.
    pub variants: Vec<(String, (Policy, Option<RosterRoom>))>,
}

impl Experiment {
    /// Reads an experiment and what it names.
    pub fn load(path: &Path) -> Result<Loaded, FileError> {
        let text = read_text(path)?;
        let experiment: Self = toml::from_str(&text)
            .map_err(|source| FileError::Parse { path: path.to_owned(), source: Box::new(source) })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let wrong = |key: String, what: String| FileError::InvalidValue { path: path.to_owned(), key, what };
        let mut scenarios = Vec::new();
        for name in &experiment.scenarios {
            let known = Scenario::names().any(|n| n == name);
            let at = if known { name.clone() } else { folder.join(name).to_string_lossy().into_owned() };
            scenarios.push(Scenario::load(&at)?);
        }
        let mut variants = Vec::new();
        for variant in &experiment.variant {
            let policy = match variant.policy.strip_prefix("adapter:") {
                Some(program) => Some(Policy::Adapter(folder.join(program))),
                None => Policy::from_name(&variant.policy),
            };
            let key = format!("variant {}: policy", variant.name);
            let policy =
                policy.ok_or_else(|| wrong(key, format!("there is no policy {}", variant.policy)))?;
            variants.push((variant.name.clone(), (policy, variant.roster.clone())));
        }
        if scenarios.is_empty() || variants.is_empty() || experiment.seeds.list().is_empty() {
            let what = "at least one of each is wanted".into();
            return Err(wrong("scenarios, variant, seeds".into(), what));
        }
        for (key, fine) in [
            ("sweep.load", experiment.sweep.load.iter().all(|l| *l > 0.0 && *l < 100.0)),
            ("sweep.sidecars", experiment.sweep.sidecars.iter().all(|n| *n > 0)),
            ("sweep.servers", experiment.sweep.servers.iter().all(|n| *n > 0)),
        ] {
            if !fine {
                return Err(wrong(key.into(), "is out of range".into()));
            }
        }
        for name in &experiment.measures {
            if !measures().any(|m| m == name) {
                let all: Vec<_> = measures().collect();
                return Err(wrong("measures".into(), format!("{name} is none of {}", all.join(", "))));
            }
        }
        let mut names: Vec<_> = variants.iter().map(|v| &v.0).collect();
        names.sort();
        if names.windows(2).any(|w| w[0] == w[1]) {
            return Err(wrong("variant".into(), "two have one name".into()));
        }
        Ok(Loaded { experiment, scenarios, variants })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_sweep_goes_through_each_value_with_each_of_the_others() {
        let sweep = Sweep { load: vec![0.5, 0.9], sidecars: vec![3, 30], servers: vec![] };
        let said: Vec<_> = sweep.points().iter().map(Point::to_string).collect();
        assert_eq!(
            said,
            [
                "load 0.5, 3 sidecars",
                "load 0.5, 30 sidecars",
                "load 0.9, 3 sidecars",
                "load 0.9, 30 sidecars"
            ]
        );
        assert_eq!(Sweep::default().points(), [Point::default()]);
    }
}
