//! Plays what of an experiment has no result yet, several runs at a time.

use super::results::{Line, Results, ResultsError};
use super::{Loaded, Point};
use crate::model::{Policy, Run, RunError, World};
use crate::scenario::{RosterRoom, Scenario};
use crate::site::Site;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Why an experiment ended early.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// Its results can't be kept.
    #[error("{0}")]
    Results(#[from] ResultsError),
    /// A run can't be played.
    #[error("{0}")]
    Run(#[from] RunError),
}

struct Task<'a> {
    scenario: &'a Scenario,
    site: &'a Site,
    variant: &'a str,
    policy: &'a Policy,
    roster: &'a Option<RosterRoom>,
    point: Point,
    seed: u64,
}

/// Plays all of it, on so many cores (0: all there are); gives how many runs were played now, and how many had
/// results.
pub fn run_experiment(loaded: &Loaded, file: &Path, cores: usize) -> Result<(usize, usize), ExperimentError> {
    let commit = commit();
    let results = Results::open(file, &commit)?;
    if results.torn {
        tracing::warn!("{}: its last line was torn, and that run is played again", file.display());
    }
    let experiment = &loaded.experiment;
    let mut tasks = Vec::new();
    for (scenario, site) in &loaded.scenarios {
        for point in experiment.sweep.points() {
            for seed in experiment.seeds.list() {
                for (variant, (policy, roster)) in &loaded.variants {
                    tasks.push(Task { scenario, site, variant, policy, roster, point, seed });
                }
            }
        }
    }
    let line = |task: &Task, figures| Line {
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
        let wanted = line(task, Default::default());
        !results.lines.iter().any(|had| had.is(&wanted))
    });
    let bar = ProgressBar::new(tasks.len() as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {elapsed} gone, {eta} to go");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let results = Mutex::new(results);
    let played = || {
        tasks.par_iter().try_for_each(|task| -> Result<(), ExperimentError> {
            let mut scenario = task.point.of(task.scenario);
            scenario.roster = task.roster.clone().or(scenario.roster);
            let world = World::draw(&scenario, task.site, task.seed);
            let figures = Run::new(world, task.policy.clone())?.execute()?;
            results.lock().unwrap_or_else(PoisonError::into_inner).add(&line(task, figures))?;
            bar.inc(1);
            Ok(())
        })
    };
    match rayon::ThreadPoolBuilder::new().num_threads(cores).build() {
        Ok(pool) => pool.install(played)?,
        Err(_) => played()?,
    }
    bar.finish();
    Ok((tasks.len(), all - tasks.len()))
}

/// The commit of this folder's repository, with `+` behind it where sources differ from it.
pub(crate) fn commit() -> String {
    let git = |args: &[&str]| {
        let out = Command::new("git").args(args).output().ok().filter(|o| o.status.success())?;
        Some(String::from_utf8_lossy(&out.stdout).trim().to_owned())
    };
    let Some(head) = git(&["rev-parse", "--short=12", "HEAD"]) else { return "unknown".into() };
    let changed = git(&["status", "--porcelain", "--", "*.rs", "*.toml"]).is_none_or(|s| !s.is_empty());
    if changed { format!("{head}+") } else { head }
}
