//! `lotusmoor fleet scale`: hollow sidecars by the thousand beside real ones.

use crate::Failure;
use indicatif::ProgressBar;
use lotusmoor_fleet::scale::results::Role;
use lotusmoor_fleet::scale::{Plan, StepResult, run_plan};
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
pub struct Arguments {
    /// The plan's file
    plan: PathBuf,
    /// The new file where results go: a line of JSON for each role of each step
    #[arg(long)]
    out: PathBuf,
    /// Hollow sidecars, instead of the plan's; a sweep over them is of this one step
    #[arg(long)]
    hollow: Option<usize>,
    /// How long each step is measured, instead of the plan's
    #[arg(long)]
    seconds: Option<f64>,
    /// What all is drawn from, instead of the plan's
    #[arg(long)]
    seed: Option<u64>,
    /// What readers are told, instead of the plan's: whole, services or both
    #[arg(long, value_delimiter = ',', value_parser = ["whole", "services"])]
    modes: Vec<String>,
    /// What the results name as the text that was run; absent: what git says
    #[arg(long)]
    commit: Option<String>,
}

pub fn run(arguments: Arguments) -> Result<(), Failure> {
    let Arguments { plan: path, out, hollow, seconds, seed, modes, commit } = arguments;
    let mut plan = Plan::load(&path)?;
    plan.apply_overrides(hollow, seconds, seed, &modes);
    plan.check(Path::new("arguments"))?;
    let commit = commit.unwrap_or_else(of_git);
    let bar = ProgressBar::new(0);
    bar.enable_steady_tick(std::time::Duration::from_millis(500));
    let steps = run_plan(&plan, Some(&out), &commit, &bar).map_err(|e| Failure::Said(e.to_string()))?;
    for step in &steps {
        show(step);
    }
    println!("{} steps: {}", steps.len(), out.display());
    match steps.iter().map(|s| s.regressions).sum::<u64>() {
        0 => Ok(()),
        n => Err(Failure::Said(format!("{n} times a reader's list went back"))),
    }
}

fn of_git() -> String {
    let said = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let said = said
        .ok()
        .filter(|o| o.status.success())
        .map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned());
    said.unwrap_or_else(|| "unknown".to_owned())
}

fn show(step: &StepResult) {
    let of = |role: Role, key: &str| {
        let line = step.lines.iter().find(|l| l.role == role);
        line.and_then(|l| l.measured.get(key)).map_or_else(|| "-".to_owned(), |v| format!("{v:.1}"))
    };
    println!(
        "{} {} hollow {} listed {} changes a second{}: cpu us/s leader {} follower {} hollow {} sidecar {}; told ms p50 {} \
         p99 {} max {}; in force ms p99 {}; added us p50 {} p99 {}; back ms {}; untold {} away {}",
        step.mode.name(),
        step.sizes.hollow,
        step.sizes.listed,
        step.sizes.changes_per_s,
        step.event.map_or_else(String::new, |e| format!(" {e}")),
        of(Role::Leader, "cpu_us_per_s"),
        of(Role::Follower, "cpu_us_per_s"),
        of(Role::Hollow, "cpu_us_per_s"),
        of(Role::Sidecar, "cpu_us_per_s"),
        of(Role::Fleet, "told_ms_p50"),
        of(Role::Fleet, "told_ms_p99"),
        of(Role::Fleet, "told_ms_max"),
        of(Role::Sidecar, "in_force_ms_p99"),
        of(Role::Sidecar, "added_us_p50"),
        of(Role::Sidecar, "added_us_p99"),
        of(Role::Fleet, "back_ms"),
        step.undelivered,
        step.failing
    );
}
