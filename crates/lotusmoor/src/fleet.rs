//! `lotusmoor fleet`: the model and experiments on it.

use crate::Failure;
use lotusmoor_fleet::model::{Figures, Policy, Run, World};
use lotusmoor_fleet::scenario::Scenario;
use lotusmoor_fleet::site::Site;
use std::path::Path;
use std::time::Instant;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Play one day of a scenario in simulated time
    #[command(after_help = "Examples:
  lotusmoor fleet run herd
  lotusmoor fleet run my-scenario.toml --seed 7 --policy true_state --windows")]
    Run {
        /// A scenario file, or one that comes with the tool: calm, herd, zone, join, split, roll, small, speed
        scenario: String,
        /// What the day is drawn from
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// What decides: module, no_breakers, round_robin, least_in_flight, true_state
        #[arg(long, default_value = "module", value_parser = policy)]
        policy: Policy,
        /// How many sidecars, instead of the scenario's
        #[arg(long)]
        sidecars: Option<usize>,
        /// How many servers, instead of the scenario's
        #[arg(long)]
        servers: Option<usize>,
        /// Print a line for each second
        #[arg(long)]
        windows: bool,
        /// Print all figures as JSON
        #[arg(long)]
        json: bool,
    },
}

fn policy(name: &str) -> Result<Policy, String> {
    Policy::of(name).ok_or_else(|| {
        let names: Vec<_> = Policy::ALL.iter().map(|p| p.name()).collect();
        format!("one of {}", names.join(", "))
    })
}

pub fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Run { scenario, seed, policy, sidecars, servers, windows, json } => {
            let (mut scenario, site) = Scenario::load(&scenario)?;
            note_unused(&site);
            scenario.sidecars = sidecars.unwrap_or(scenario.sidecars).max(1);
            scenario.servers = servers.unwrap_or(scenario.servers).max(1);
            let world = World::draw(&scenario, &site, seed);
            let (rate, length) = (world.rate(), scenario.length_s);
            let begun = Instant::now();
            let run = Run::new(world, policy).map_err(|e| Failure::Said(e.to_string()))?;
            let figures = run.play().map_err(|e| Failure::Said(e.to_string()))?;
            let took = begun.elapsed().as_secs_f64();
            if json {
                println!("{}", serde_json::to_string(&figures).map_err(|e| Failure::Said(e.to_string()))?);
                return Ok(());
            }
            println!("{} seed {seed} {}: {rate:.0} first tries a second", scenario.name, policy.name());
            print(&figures, windows);
            let (speed, pace) = (length / took, figures.events as f64 / took);
            println!(
                "{took:.2} s, {speed:.1} simulated a second, {pace:.0} events a second, digest {:016x}",
                figures.digest
            );
            Ok(())
        }
    }
}

fn print(f: &Figures, windows: bool) {
    println!(
        "G {:.4}  whole {:.4}  worst 10 s {:.4}  worst class {:.4}",
        f.g, f.whole, f.worst_window, f.worst_class
    );
    println!(
        "late {:.4}  refused {:.4}  failed {:.4}  tries {:.3}  attempts {:.3}  across zones {:.3}  handshakes {:.3}  wasted {:.3}  tipped {}",
        f.late, f.refused, f.failed, f.tries, f.attempts, f.crossed, f.handshakes, f.wasted, f.tipped
    );
    let [p50, p99, p999] = f.latency_ms;
    println!("latency ms p50 {p50:.1}  p99 {p99:.1}  p99.9 {p999:.1}");
    let [p50, p99, most] = f.staleness_ms;
    println!("list staleness ms p50 {p50:.0}  p99 {p99:.0}  most {most:.0}");
    for class in &f.classes {
        println!("  {:<16} asked {:>8}  in time {:.4}", class.name, class.asked, class.in_time);
    }
    for (rule, times) in &f.broken {
        println!("RULE BROKEN {times} times: {rule}");
    }
    if windows {
        println!("  s   asked in-time%   late% refused%  fail%  tries attempts   conns   p50ms   p99ms");
        for (s, w) in f.windows.iter().enumerate().filter(|(_, w)| w.asked > 0) {
            let share = |n: u64| 100.0 * n as f64 / w.asked as f64;
            println!(
                "{s:>3} {:>7} {:>8.1} {:>7.1} {:>8.1} {:>6.1} {:>6} {:>8} {:>7} {:>7.1} {:>7.1}",
                w.asked,
                share(w.in_time),
                share(w.late),
                share(w.refused),
                share(w.failed),
                w.tries,
                w.attempts,
                w.connections,
                w.p50_ms,
                w.p99_ms
            );
        }
    }
}

fn note_unused(site: &Site) {
    for key in &site.unused {
        tracing::warn!("site {}: {key} is of no use to the model", site.name);
    }
}

/// Reads a file as what it looks like, and says what it is.
pub fn check(file: &Path) -> Result<(), Failure> {
    let text =
        std::fs::read_to_string(file).map_err(|e| Failure::Said(format!("{}: {e}", file.display())))?;
    let is_site = text.lines().any(|l| l.trim_start().starts_with("[[tier"));
    if is_site {
        let site = Site::read(file)?;
        note_unused(&site);
        println!("{}: site {}, fine", file.display(), site.name);
    } else {
        let (scenario, _) = Scenario::load(&file.to_string_lossy())?;
        println!("{}: scenario {}, fine", file.display(), scenario.name);
    }
    Ok(())
}
