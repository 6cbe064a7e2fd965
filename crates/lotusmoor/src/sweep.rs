//! `lotusmoor fleet sweep`: system calls of a sidecar's life fail one after the other.

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
    /// Calls of each kind that are made to fail, at the most, evenly spaced over the life
    #[arg(long, default_value_t = 40)]
    most: u64,
    /// Only kinds of calls whose name begins so: accept, connect, receive, write, ...
    #[arg(long, default_value = "")]
    call: String,
    /// Play the life of a replica of the roster, whose calls on files fail
    #[arg(long)]
    replica: bool,
    /// Fixes requests and their order
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many lives are played at a time; each has some seven processes
    #[arg(long, default_value_t = 8)]
    at_once: usize,
    /// Where results go, a line of JSON for each case
    #[arg(long)]
    out: Option<PathBuf>,
    /// Play this case, as a failure has printed it, instead of all
    #[arg(long)]
    case: Option<String>,
    /// Begin no further case after so many seconds
    #[arg(long, default_value_t = 3600)]
    seconds: u64,
}

/// What all plays share.
struct Sweep {
    cases: Mutex<std::vec::IntoIter<Case>>,
    out: Option<Mutex<File>>,
    failures: Mutex<Vec<String>>,
    played: AtomicU64,
    bar: ProgressBar,
    began: Instant,
    seconds: u64,
    replica: bool,
    seed: u64,
}

/// Plays a life once; gives the calls that were made, or what went wrong.
fn one(replica: bool, case: Option<&Case>, seed: u64) -> Result<CallCounts, String> {
    if replica {
        run_replica_scenario(case).map_err(|e| e.to_string())
    } else {
        run_sidecar_scenario(case, seed).map_err(|e| e.to_string())
    }
}

pub fn run(arguments: Arguments) -> Result<(), Failure> {
    let said = |e: std::io::Error| Failure::Said(e.to_string());
    let all = match &arguments.case {
        Some(text) => vec![serde_json::from_str(text).map_err(|e| Failure::Said(format!("--case: {e}")))?],
        None => {
            let counts = one(arguments.replica, None, arguments.seed).map_err(Failure::Said)?;
            let mut all = cases(&counts, arguments.most);
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
        out: arguments.out.as_ref().map(File::create).transpose().map_err(said)?.map(Mutex::new),
        failures: Mutex::default(),
        played: AtomicU64::default(),
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
    println!("{} cases played, {} failed", sweep.played.into_inner(), failures.len());
    if failures.is_empty() { Ok(()) } else { Err(Failure::Said(format!("failed:\n{}", failures.join("\n")))) }
}

impl Sweep {
    /// Plays one case after the other.
    fn work(&self) {
        while self.began.elapsed().as_secs() < self.seconds
            && let Some(case) = self.cases.lock().ok().and_then(|mut cases| cases.next())
        {
            let failure = one(self.replica, Some(&case), self.seed).err();
            self.note(&json!({"case": case, "passed": failure.is_none(), "failure": failure}));
            if let Some(failure) = failure {
                let written = serde_json::to_string(&case).unwrap_or_default();
                self.bar.suspend(|| println!("{case} failed\ncase {written}\n{failure}"));
                if let Ok(mut failures) = self.failures.lock() {
                    failures.push(case.to_string());
                    self.bar.set_message(format!("{} failed", failures.len()));
                }
            }
            self.played.fetch_add(1, Ordering::Relaxed);
            self.bar.inc(1);
        }
    }

    fn note(&self, line: &serde_json::Value) {
        if let Some(mut out) = self.out.as_ref().and_then(|out| out.lock().ok())
            && let Err(error) = writeln!(out, "{line}")
        {
            tracing::warn!("a result can't be written: {error}");
        }
    }
}
