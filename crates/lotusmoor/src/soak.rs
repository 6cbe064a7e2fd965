//! `lotusmoor fleet soak`: randomized overlapping faults on clusters of real processes.

use crate::Failure;
use indicatif::{ProgressBar, ProgressStyle};
use lotusmoor_fleet::harness::ClusterError;
use lotusmoor_fleet::soak::{Plan, RunSummary, run_plan, shrink};
use serde_json::json;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// How often a plan is run without one of its faults; if it passes each time, the fault is needed for the failure
/// and is kept.
const SHRINK_ATTEMPTS: usize = 3;

#[derive(clap::Args)]
pub struct Arguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds, from the first one on
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Number of runs in parallel; each has some thirty processes
    #[arg(long, default_value_t = 4)]
    at_once: usize,
    /// Path of the results: a line of JSON for each run
    #[arg(long)]
    out: Option<PathBuf>,
    /// Run this plan, as printed for a failed run, `--seeds` times, instead of the plans of the seeds
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Minimise the plan of a failed run: drop its faults one by one for as long as it still fails
    #[arg(long)]
    shrink: bool,
    /// Plans around planned stops, with short deadlines, slow clients, series of signals and crowds
    #[arg(long)]
    stops: bool,
    /// The same, with clients and servers that take more of a sidecar than their share
    #[arg(long, conflicts_with = "stops")]
    overload: bool,
    /// Start no further run after this many seconds
    #[arg(long, default_value_t = 3600)]
    seconds: u64,
}

/// State shared by the worker threads.
struct Soak {
    plans: Mutex<Box<dyn Iterator<Item = Plan> + Send>>,
    out: Option<Mutex<File>>,
    failures: Mutex<Vec<u64>>,
    completed: AtomicU64,
    requests: AtomicU64,
    bar: ProgressBar,
    began: Instant,
    seconds: u64,
    shrink: bool,
}

pub fn run(arguments: Arguments) -> Result<(), Failure> {
    let to_failure = |e: std::io::Error| Failure::Message(e.to_string());
    let (first, seeds) = (arguments.first, arguments.seeds);
    let (plans, count): (Box<dyn Iterator<Item = Plan> + Send>, u64) = match &arguments.plan {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(to_failure)?;
            let plan: Plan = serde_json::from_str(&text)
                .map_err(|e| Failure::Message(format!("{}: {e}", path.display())))?;
            (Box::new(std::iter::repeat_n(plan, usize::try_from(seeds).unwrap_or(1))), seeds)
        }
        None => {
            let draw = match (arguments.overload, arguments.stops) {
                (true, _) => Plan::draw_with_overload,
                (false, true) => Plan::draw_with_stops,
                (false, false) => Plan::draw_with_extra_faults,
            };
            (Box::new((first..first + seeds).map(draw)), seeds)
        }
    };
    let bar = ProgressBar::new(count);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    let out = arguments.out.as_ref().map(File::create).transpose().map_err(to_failure)?.map(Mutex::new);
    let soak = Soak {
        plans: Mutex::new(plans),
        out,
        failures: Mutex::default(),
        completed: AtomicU64::default(),
        requests: AtomicU64::default(),
        bar,
        began: Instant::now(),
        seconds: arguments.seconds,
        shrink: arguments.shrink,
    };
    std::thread::scope(|scope| {
        for _ in 0..arguments.at_once.max(1) {
            scope.spawn(|| soak.work());
        }
    });
    soak.bar.finish_and_clear();
    let failures = soak.failures.into_inner().unwrap_or_default();
    let (completed, requests) = (soak.completed.into_inner(), soak.requests.into_inner());
    println!("{completed} runs completed, {requests} requests, {} failed", failures.len());
    if failures.is_empty() { Ok(()) } else { Err(Failure::Message(format!("failed: seeds {failures:?}"))) }
}

impl Soak {
    /// Runs one plan after the other until none is left or the time limit is reached.
    fn work(&self) {
        while self.began.elapsed().as_secs() < self.seconds
            && let Some(plan) = self.plans.lock().ok().and_then(|mut plans| plans.next())
        {
            match run_plan(&plan) {
                Ok(summary) => self.record_pass(&plan, summary),
                Err(failure) => self.record_failure(&plan, failure),
            }
            self.completed.fetch_add(1, Ordering::Relaxed);
            self.bar.inc(1);
        }
    }

    fn record_pass(&self, plan: &Plan, summary: RunSummary) {
        self.requests.fetch_add(summary.requests as u64, Ordering::Relaxed);
        self.write_result(
            &json!({"seed": plan.seed, "passed": true, "requests": summary.requests, "served": summary.served,
            "attempts": summary.attempts, "strangers": summary.malformed_clients, "cold_load": summary.cold_load,
            "left_with_bodies": summary.aborted_uploads, "series_signals": summary.series_signals,
            "dropped_log_lines": summary.dropped_log_lines, "slow_clients": summary.slow_clients,
            "overload_requests": summary.overload_requests, "peak_memory_kb": summary.peak_memory_kb,
            "latest_answer_us": summary.latest_answer_us, "plan": plan}),
        );
    }

    fn record_failure(&self, plan: &Plan, failure: ClusterError) {
        let (plan, failure) =
            if self.shrink { shrink(plan, failure, SHRINK_ATTEMPTS) } else { (plan.clone(), failure) };
        let plan_json = serde_json::to_string(&plan).unwrap_or_default();
        self.bar.suspend(|| println!("seed {} failed\nplan {plan_json}\n{failure}", plan.seed));
        self.write_result(
            &json!({"seed": plan.seed, "passed": false, "failure": failure.to_string(), "plan": plan}),
        );
        if let Ok(mut failures) = self.failures.lock() {
            failures.push(plan.seed);
            self.bar.set_message(format!("{} failed", failures.len()));
        }
    }

    fn write_result(&self, line: &serde_json::Value) {
        if let Some(mut out) = self.out.as_ref().and_then(|out| out.lock().ok())
            && let Err(error) = writeln!(out, "{line}")
        {
            tracing::warn!("cannot write a result: {error}");
        }
    }
}
