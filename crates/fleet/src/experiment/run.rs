//! Executes the runs of an experiment that have no result yet, several at a time.

use super::results::{Results, ResultsError, RunResult};
use super::{Loaded, Point};
use crate::model::{Policy, Run, RunError, World};
use crate::scenario::{RegistryOptions, Scenario};
use crate::site::Site;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Why an experiment was aborted.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// Its results could not be read or written.
    #[error("{0}")]
    Results(#[from] ResultsError),
    /// A run could not be executed.
    #[error("{0}")]
    Run(#[from] RunError),
}

struct Task<'a> {
    scenario: &'a Scenario,
    site: &'a Site,
    variant: &'a str,
    policy: &'a Policy,
    registry: &'a Option<RegistryOptions>,
    point: Point,
    seed: u64,
}

/// Executes the runs that have no result yet, on this number of cores (0 for all). Returns how many runs were
/// executed and how many already had results.
pub fn run_experiment(loaded: &Loaded, file: &Path, cores: usize) -> Result<(usize, usize), ExperimentError> {
    let commit = commit();
    let results = Results::open(file, &commit)?;
    if results.torn {
        tracing::warn!(
            "{}: the last line was incomplete and has been removed; that run is executed again",
            file.display()
        );
    }
    let experiment = &loaded.experiment;
    let mut tasks = Vec::new();
    for (scenario, site) in &loaded.scenarios {
        for point in experiment.sweep.points() {
            for seed in experiment.seeds.list() {
                for (variant, (policy, registry)) in &loaded.variants {
                    tasks.push(Task { scenario, site, variant, policy, registry, point, seed });
                }
            }
        }
    }
    let line = |task: &Task, figures| RunResult {
        experiment: experiment.name.clone(),
        commit: commit.clone(),
        scenario: task.scenario.name.clone(),
        variant: task.variant.to_owned(),
        point: task.point,
        seed: task.seed,
        figures,
    };
    let all = tasks.len();
    tasks.retain(|task| {
        let expected = line(task, Default::default());
        !results.lines.iter().any(|stored| stored.is_same_run(&expected))
    });
    let bar = ProgressBar::new(tasks.len() as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {elapsed} elapsed, {eta} left");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let results = Mutex::new(results);
    let run_all = || {
        tasks.par_iter().try_for_each(|task| -> Result<(), ExperimentError> {
            let mut scenario = task.point.apply_to(task.scenario);
            scenario.registry = task.registry.clone().or(scenario.registry);
            let world = World::draw(&scenario, task.site, task.seed);
            let figures = Run::new(world, task.policy.clone())?.execute()?;
            results.lock().unwrap_or_else(PoisonError::into_inner).add(&line(task, figures))?;
            bar.inc(1);
            Ok(())
        })
    };
    match rayon::ThreadPoolBuilder::new().num_threads(cores).build() {
        Ok(pool) => pool.install(run_all)?,
        Err(_) => run_all()?,
    }
    bar.finish();
    Ok((tasks.len(), all - tasks.len()))
}

/// The commit of the working directory's repository, followed by `+` if sources differ from it.
pub(crate) fn commit() -> String {
    let git = |args: &[&str]| {
        let out = Command::new("git").args(args).output().ok().filter(|o| o.status.success())?;
        Some(String::from_utf8_lossy(&out.stdout).trim().to_owned())
    };
    let Some(head) = git(&["rev-parse", "--short=12", "HEAD"]) else { return "unknown".into() };
    let changed = git(&["status", "--porcelain", "--", "*.rs", "*.toml"]).is_none_or(|s| !s.is_empty());
    if changed { format!("{head}+") } else { head }
}
