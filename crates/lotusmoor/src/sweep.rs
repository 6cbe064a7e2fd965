//! `lotusmoor fleet sweep`: runs a scripted scenario of a sidecar or of a registry replica again and again, each time
//! with a fault at another of its system calls.

use crate::Failure;
use indicatif::{ProgressBar, ProgressStyle};
use lotusmoor_fleet::sweep::{CallCounts, Case, cases, run_replica_scenario, run_sidecar_scenario};
use serde_json::json;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

#[derive(clap::Args)]
pub struct Arguments {
    /// Maximum number of calls of each kind that are made to fail, evenly spaced over the scenario
    #[arg(long = "most", default_value_t = 40)]
    max_per_kind: u64,
    /// Only kinds of calls whose name begins with this: accept, connect, receive, write, ...
    #[arg(long, default_value = "")]
    call: String,
    /// Run the scenario of a registry replica, with faults at its calls on files, instead of a sidecar's
    #[arg(long)]
    replica: bool,
    /// Random seed of the requests and their order
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of cases in parallel; each has some seven processes
    #[arg(long, default_value_t = 8)]
    at_once: usize,
    /// Path of the results: a line of JSON for each case
    #[arg(long)]
    out: Option<PathBuf>,
    /// Run only this case, as printed for a failed one
    #[arg(long)]
    case: Option<String>,
    /// Start no further case after this many seconds
    #[arg(long, default_value_t = 3600)]
    seconds: u64,
}

/// State shared by the worker threads.
struct Sweep {
    cases: Mutex<std::vec::IntoIter<Case>>,
    out: Option<Mutex<File>>,
    failures: Mutex<Vec<String>>,
    completed: AtomicU64,
    bar: ProgressBar,
    began: Instant,
    seconds: u64,
    replica: bool,
    seed: u64,
}

/// Runs the scenario once, with the fault of a case if there is one. Returns the number of calls by kind, or why it
/// failed.
fn run_scenario(replica: bool, case: Option<&Case>, seed: u64) -> Result<CallCounts, String> {
    if replica {
        run_replica_scenario(case).map_err(|e| e.to_string())
    } else {
        run_sidecar_scenario(case, seed).map_err(|e| e.to_string())
    }
}

pub fn run(arguments: Arguments) -> Result<(), Failure> {
    let to_failure = |e: std::io::Error| Failure::Message(e.to_string());
    let all = match &arguments.case {
        Some(text) => vec![serde_json::from_str(text).map_err(|e| Failure::Message(format!("--case: {e}")))?],
        None => {
            let counts = run_scenario(arguments.replica, None, arguments.seed).map_err(Failure::Message)?;
            let mut all = cases(&counts, arguments.max_per_kind);
            all.retain(|case| case.call().to_string().starts_with(&arguments.call));
            all.retain(|case| !arguments.replica || case.is_on_file());
            println!("calls: {:?}, cases: {}", counts.0, all.len());
            all
        }
    };
    let bar = ProgressBar::new(all.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    let sweep = Sweep {
        cases: Mutex::new(all.into_iter()),
        out: arguments.out.as_ref().map(File::create).transpose().map_err(to_failure)?.map(Mutex::new),
        failures: Mutex::default(),
        completed: AtomicU64::default(),
        bar,
        began: Instant::now(),
        seconds: arguments.seconds,
        replica: arguments.replica,
        seed: arguments.seed,
    };
    std::thread::scope(|scope| {
        for _ in 0..arguments.at_once.max(1) {
            scope.spawn(|| sweep.work());
        }
    });
    sweep.bar.finish_and_clear();
    let failures = sweep.failures.into_inner().unwrap_or_default();
    println!("{} cases completed, {} failed", sweep.completed.into_inner(), failures.len());
    if failures.is_empty() {
        Ok(())
    } else {
        Err(Failure::Message(format!("failed:\n{}", failures.join("\n"))))
    }
}

impl Sweep {
    /// Runs one case after the other until none is left or the time limit is reached.
    fn work(&self) {
        while self.began.elapsed().as_secs() < self.seconds
            && let Some(case) = self.cases.lock().ok().and_then(|mut cases| cases.next())
        {
            let failure = run_scenario(self.replica, Some(&case), self.seed).err();
            self.write_result(&json!({"case": case, "passed": failure.is_none(), "failure": failure}));
            if let Some(failure) = failure {
                let case_json = serde_json::to_string(&case).unwrap_or_default();
                self.bar.suspend(|| println!("{case} failed\ncase {case_json}\n{failure}"));
                if let Ok(mut failures) = self.failures.lock() {
                    failures.push(case.to_string());
                    self.bar.set_message(format!("{} failed", failures.len()));
                }
            }
            self.completed.fetch_add(1, Ordering::Relaxed);
            self.bar.inc(1);
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
