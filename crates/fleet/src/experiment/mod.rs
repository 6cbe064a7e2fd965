//! Experiments: scenarios, variants and parameter sweeps, run over a set of seeds; their results as JSON lines;
//! paired comparisons and a report.

mod compare;
mod measure;
mod report;
mod results;
mod run;

pub use compare::{Comparison, compare};
pub use measure::{measure, measures};
pub use report::{ReportError, report};
pub use results::{Results, ResultsError, RunResult};
pub(crate) use run::commit;
pub use run::{ExperimentError, run_experiment};

use crate::model::Policy;
use crate::scenario::{RegistryOptions, Scenario};
use crate::site::{FileError, Range, Site, read_text};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// An experiment file; unknown keys are errors.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Scenarios: names of built-in ones, or files relative to this one.
    pub scenarios: Vec<String>,
    /// The number of seeds, from 1, or a list of seeds.
    pub seeds: Seeds,
    /// The measures that the report shows.
    #[serde(default = "default_measures")]
    pub measures: Vec<String>,
    /// The variants to compare.
    pub variant: Vec<Variant>,
    /// Parameters of the scenario that are varied, in all combinations.
    #[serde(default)]
    pub sweep: Sweep,
}

/// The number of seeds, from 1, or a list of seeds.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, expecting = "a number of seeds, or a list of them")]
pub enum Seeds {
    /// The seeds from 1 up to this number.
    Count(u64),
    /// These seeds.
    List(Vec<u64>),
}

impl Seeds {
    /// All seeds.
    pub fn list(&self) -> Vec<u64> {
        match self {
            Self::Count(n) => (1..=*n).collect(),
            Self::List(seeds) => seeds.clone(),
        }
    }
}

/// A variant: the load-balancing policy and, optionally, the registry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name in results and reports.
    pub name: String,
    /// A policy, or `adapter:PROGRAM` with a path relative to this file's folder.
    pub policy: String,
    /// The project's own registry in place of discovery; the scenario's if absent.
    #[serde(default)]
    #[serde(rename = "roster")]
    pub registry: Option<RegistryOptions>,
}

/// Parameters that are varied; an empty list leaves the scenario's value.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sweep {
    /// Load as a share of the capacity of all servers.
    pub load: Vec<f64>,
    /// Number of sidecars.
    pub sidecars: Vec<usize>,
    /// Number of servers.
    pub servers: Vec<usize>,
}

/// One point of a sweep; absent parameters are the scenario's.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Point {
    /// Load as a share of the capacity of all servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<f64>,
    /// Number of sidecars.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sidecars: Option<usize>,
    /// Number of servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers: Option<usize>,
}

impl Point {
    /// The scenario with this point's parameters.
    pub fn apply_to(&self, scenario: &Scenario) -> Scenario {
        let mut scenario = scenario.clone();
        scenario.load = self.load.map_or(scenario.load, |l| Range::new(l, l));
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
        let parts: Vec<_> = figures.into_iter().flatten().collect();
        f.write_str(&parts.join(", "))
    }
}

impl Sweep {
    /// All combinations of the values.
    pub fn points(&self) -> Vec<Point> {
        fn values<T: Copy>(all: &[T]) -> Vec<Option<T>> {
            if all.is_empty() { vec![None] } else { all.iter().copied().map(Some).collect() }
        }
        let mut points = Vec::new();
        for load in values(&self.load) {
            for sidecars in values(&self.sidecars) {
                points.extend(values(&self.servers).into_iter().map(|servers| Point {
                    load,
                    sidecars,
                    servers,
                }));
            }
        }
        points
    }
}

fn default_measures() -> Vec<String> {
    ["g", "refused", "attempts", "p99_ms"].map(str::to_owned).to_vec()
}

/// An experiment with the scenarios and variants that it names.
#[derive(Debug)]
pub struct Loaded {
    /// The experiment.
    pub experiment: Experiment,
    /// Its scenarios and their sites.
    pub scenarios: Vec<(Scenario, Site)>,
    /// Its variants by name: the policy, and the registry if the variant has its own.
    pub variants: Vec<(String, (Policy, Option<RegistryOptions>))>,
}

impl Experiment {
    /// Reads an experiment and the scenarios that it names.
    pub fn load(path: &Path) -> Result<Loaded, FileError> {
        let text = read_text(path)?;
        let experiment: Self = toml::from_str(&text)
            .map_err(|source| FileError::Parse { path: path.to_owned(), source: Box::new(source) })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let invalid =
            |key: String, what: String| FileError::InvalidValue { path: path.to_owned(), key, what };
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
            let policy = policy.ok_or_else(|| invalid(key, format!("unknown policy {}", variant.policy)))?;
            variants.push((variant.name.clone(), (policy, variant.registry.clone())));
        }
        if scenarios.is_empty() || variants.is_empty() || experiment.seeds.list().is_empty() {
            let what = "at least one of each is required".into();
            return Err(invalid("scenarios, variant, seeds".into(), what));
        }
        for (key, valid) in [
            ("sweep.load", experiment.sweep.load.iter().all(|l| *l > 0.0 && *l < 100.0)),
            ("sweep.sidecars", experiment.sweep.sidecars.iter().all(|n| *n > 0)),
            ("sweep.servers", experiment.sweep.servers.iter().all(|n| *n > 0)),
        ] {
            if !valid {
                return Err(invalid(key.into(), "is out of range".into()));
            }
        }
        for name in &experiment.measures {
            if !measures().any(|m| m == name) {
                let all: Vec<_> = measures().collect();
                return Err(invalid("measures".into(), format!("{name} is none of {}", all.join(", "))));
            }
        }
        let mut names: Vec<_> = variants.iter().map(|v| &v.0).collect();
        names.sort();
        if names.windows(2).any(|w| w[0] == w[1]) {
            return Err(invalid("variant".into(), "two variants have the same name".into()));
        }
        Ok(Loaded { experiment, scenarios, variants })
    }
}

#[cfg(test)]
mod tests;
