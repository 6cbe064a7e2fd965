//! `lotusmoor fleet scale`: measures the registry and real sidecars beside thousands of hollow sidecars, which read the
//! registry as real ones do but serve no requests.

use crate::Failure;
use indicatif::ProgressBar;
use lotusmoor_fleet::scale::results::Role;
use lotusmoor_fleet::scale::{Plan, StepResult, run_plan};
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
pub struct Arguments {
    /// The plan's file
    plan: PathBuf,
    /// Path of the results, which must not exist yet: a line of JSON for each role of each step
    #[arg(long)]
    out: PathBuf,
    /// Number of hollow sidecars, instead of the plan's; if the plan varies this number from step to step, only this
    /// value is measured
    #[arg(long)]
    hollow: Option<usize>,
    /// Measuring time of each step in seconds, instead of the plan's
    #[arg(long)]
    seconds: Option<f64>,
    /// Random seed, instead of the plan's
    #[arg(long)]
    seed: Option<u64>,
    /// Which lists sidecars watch, instead of the plan's: whole, services (only the servers of the
    /// services that they call) or both
    #[arg(long, value_delimiter = ',', value_parser = ["whole", "services"])]
    modes: Vec<String>,
    /// Commit that is recorded in the results; by default that of the git work tree
    #[arg(long)]
    commit: Option<String>,
}

pub fn run(arguments: Arguments) -> Result<(), Failure> {
    let Arguments { plan: path, out, hollow, seconds, seed, modes, commit } = arguments;
    let mut plan = Plan::load(&path)?;
    plan.apply_overrides(hollow, seconds, seed, &modes);
    plan.check(Path::new("arguments"))?;
    let commit = commit.unwrap_or_else(git_commit);
    let bar = ProgressBar::new(0);
    bar.enable_steady_tick(std::time::Duration::from_millis(500));
    let steps = run_plan(&plan, Some(&out), &commit, &bar).map_err(|e| Failure::Message(e.to_string()))?;
    for step in &steps {
        print_summary(step);
    }
    println!("{} steps: {}", steps.len(), out.display());
    match steps.iter().map(|s| s.regressions).sum::<u64>() {
        0 => Ok(()),
        n => Err(Failure::Message(format!(
            "{n} times a reader applied a list that was older than its previous one"
        ))),
    }
}

fn git_commit() -> String {
    let output = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let commit = output
        .ok()
        .filter(|o| o.status.success())
        .map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned());
    commit.unwrap_or_else(|| "unknown".to_owned())
}

fn print_summary(step: &StepResult) {
    let figure = |role: Role, key: &str| {
        let line = step.lines.iter().find(|l| l.role == role);
        line.and_then(|l| l.measured.get(key)).map_or_else(|| "-".to_owned(), |v| format!("{v:.1}"))
    };
    println!(
        "{} {} hollow {} listed {} changes per second{}: cpu us/s leader {} follower {} hollow {} sidecar {}; notified ms p50 {} \
         p99 {} max {}; applied ms p99 {}; added latency us p50 {} p99 {}; recovery ms {}; not notified {} disconnected {}",
        step.mode.name(),
        step.sizes.hollow,
        step.sizes.listed,
        step.sizes.changes_per_s,
        step.event.map_or_else(String::new, |e| format!(" {e}")),
        figure(Role::Leader, "cpu_us_per_s"),
        figure(Role::Follower, "cpu_us_per_s"),
        figure(Role::Hollow, "cpu_us_per_s"),
        figure(Role::Sidecar, "cpu_us_per_s"),
        figure(Role::Fleet, "told_ms_p50"),
        figure(Role::Fleet, "told_ms_p99"),
        figure(Role::Fleet, "told_ms_max"),
        figure(Role::Sidecar, "in_force_ms_p99"),
        figure(Role::Sidecar, "added_us_p50"),
        figure(Role::Sidecar, "added_us_p99"),
        figure(Role::Fleet, "back_ms"),
        step.undelivered,
        step.failing
    );
}
