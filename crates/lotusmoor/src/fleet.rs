//! `lotusmoor fleet`: the model and experiments on it.

use crate::Failure;
use lotusmoor_fleet::experiment::{self, Experiment, Results};
use lotusmoor_fleet::harness::backend::{self, Conduct};
use lotusmoor_fleet::harness::{discovery, process_guard};
use lotusmoor_fleet::load;
use lotusmoor_fleet::model::{Figures, Policy, Run, World};
use lotusmoor_fleet::scenario::Scenario;
use lotusmoor_fleet::site::Site;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

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
        /// Print speed, the share of time in decisions, and memory
        #[arg(long)]
        timed: bool,
    },
    /// Play an experiment, or go on with one that was interrupted
    #[command(after_help = "Examples:
  lotusmoor fleet experiment breakers.toml --results breakers.jsonl")]
    Experiment {
        /// The experiment's file
        file: PathBuf,
        /// Where results go, a line of JSON for each run; runs that have one there are not played again
        #[arg(long)]
        results: PathBuf,
        /// How many runs are played at a time; 0 for as many as there are cores
        #[arg(long, default_value_t = 0)]
        cores: usize,
    },
    /// Compare two variants of an experiment, day by day
    #[command(after_help = "Examples:
  lotusmoor fleet compare breakers.jsonl --base module --other no_breakers --measure g")]
    Compare {
        /// Results
        results: PathBuf,
        /// What is compared to
        #[arg(long)]
        base: String,
        /// What is compared
        #[arg(long)]
        other: String,
        /// By what
        #[arg(long, default_value = "g")]
        measure: String,
    },
    /// Measure what a real sidecar costs, against going past it to the same server
    #[command(after_help = "Examples:
  lotusmoor fleet load
  lotusmoor fleet load --rate 2000 --seconds 20")]
    Load {
        /// Requests a second for the latency, half of them each way
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// Length of that run
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// How often all of it is measured
        #[arg(long, default_value_t = 3)]
        plays: u64,
        /// Time that the server takes for a request
        #[arg(long, default_value_t = 0)]
        work_us: u64,
        /// Idle connections of which the memory is measured
        #[arg(long, default_value_t = 800)]
        connections: usize,
    },
    /// Measure how soon real sidecars are told of changes by a roster of three real replicas, calm and under faults
    #[command(after_help = "Examples:
  lotusmoor fleet roster
  lotusmoor fleet roster --sidecars 10 --changes 200")]
    Roster {
        /// Sidecars
        #[arg(long, default_value_t = 10)]
        sidecars: usize,
        /// Changes under each fault
        #[arg(long, default_value_t = 200)]
        changes: usize,
        /// For how long the cost is taken of a list that does not change
        #[arg(long, default_value_t = 30)]
        idle_s: u64,
    },
    /// Measure what the list's length and changes cost a real sidecar and the decision module
    SidecarScale(crate::scale_sidecar::Arguments),
    /// Play real processes with troubles that meet in time, and check the protocol's rules over all that was seen
    #[command(after_help = "Examples:
  lotusmoor fleet soak --seeds 40 --out soak.jsonl
  lotusmoor fleet soak --first 17 --seeds 1 --shrink
  lotusmoor fleet soak --plan failed.json")]
    Soak(crate::soak::Arguments),
    /// Play a sidecar's life again and again, with one system call after the other failing
    #[command(after_help = "Examples:
  lotusmoor fleet sweep --most 10
  lotusmoor fleet sweep --call write --out sweep.jsonl")]
    Sweep(crate::sweep::Arguments),
    /// Measure how far a fleet goes: hollow sidecars by the thousand beside real ones
    #[command(after_help = "Examples:
  lotusmoor fleet scale experiments/scale/hollow.toml --out hollow.jsonl
  lotusmoor fleet scale experiments/scale/hollow.toml --out trial.jsonl --hollow 500 --seconds 3")]
    Scale(crate::scale::Arguments),
    /// Measure the model: its speed, where its time goes, and its memory
    #[command(after_help = "Examples:
  lotusmoor fleet speed
  lotusmoor fleet speed --sidecars 300,1000,3000 --servers 200")]
    Speed {
        /// Numbers of sidecars
        #[arg(long, value_delimiter = ',', default_value = "100,300,1000,3000")]
        sidecars: Vec<usize>,
        /// Numbers of servers
        #[arg(long, value_delimiter = ',', default_value = "50,200,500")]
        servers: Vec<usize>,
    },
    /// Work out a capacity plan from the slopes of recorded runs
    Capacity(crate::capacity::Arguments),
    /// Play a part in a cluster of real processes: used by tests
    #[command(subcommand)]
    StandIn(StandIn),
    /// End the processes named on standard input once that ends: used by tests
    Reaper,
    /// Write a page with tables and plots
    #[command(after_help = "Examples:
  lotusmoor fleet report breakers.jsonl --out breakers.html")]
    Report {
        /// Results
        results: PathBuf,
        /// The page
        #[arg(long)]
        out: PathBuf,
        /// What the tables show
        #[arg(long, value_delimiter = ',', default_value = "g,late,refused,failed,attempts,p99_ms")]
        measures: Vec<String>,
    },
}

#[derive(clap::Subcommand)]
pub enum StandIn {
    /// A ledger server
    Ledger {
        /// Its name, which its answers tell
        #[arg(long)]
        name: String,
        /// Where it listens
        #[arg(long)]
        listen: SocketAddr,
        /// Where it writes down what it sees
        #[arg(long)]
        notes: Option<PathBuf>,
        /// How it behaves, as JSON: work_us, first_byte_us, errors, turns_away, silent, resets, halves
        #[arg(long, default_value = "{}", value_parser = conduct)]
        conduct: Conduct,
        /// Requests that it works on at a time
        #[arg(long, default_value_t = 1000)]
        cores: usize,
    },
    /// Hollow sidecars
    Hollow {
        /// What they are, as a file of the run
        #[arg(long)]
        assignment: PathBuf,
    },
    /// Discovery
    Discovery {
        /// Where each sidecar calls, in the order of their numbers
        #[arg(long)]
        sidecar: Vec<SocketAddr>,
        /// Where it is told what to list
        #[arg(long)]
        control: SocketAddr,
        /// Where it writes down what it told
        #[arg(long)]
        notes: PathBuf,
    },
}

fn conduct(text: &str) -> Result<Conduct, String> {
    serde_json::from_str(text).map_err(|e| e.to_string())
}

fn stand_in(part: StandIn) -> std::io::Result<()> {
    // They have a runtime of their own.
    if let StandIn::Hollow { assignment } = &part {
        return lotusmoor_fleet::scale::hollow::serve(assignment);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match part {
        StandIn::Ledger { name, listen, notes, conduct, cores } => {
            runtime.block_on(backend::serve(name, listen, notes.as_deref(), conduct, cores))
        }
        StandIn::Discovery { sidecar, control, notes } => {
            runtime.block_on(discovery::serve(sidecar, control, &notes))
        }
        StandIn::Hollow { .. } => Ok(()),
    }
}

fn policy(name: &str) -> Result<Policy, String> {
    Policy::from_name(name).ok_or_else(|| {
        let names: Vec<_> = Policy::ALL.iter().map(|p| p.name()).collect();
        format!("one of {}", names.join(", "))
    })
}

pub fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Run { scenario, seed, policy, sidecars, servers, windows, json, timed } => {
            let (mut scenario, site) = Scenario::load(&scenario)?;
            note_unused(&site);
            scenario.sidecars = sidecars.unwrap_or(scenario.sidecars).max(1);
            scenario.servers = servers.unwrap_or(scenario.servers).max(1);
            let world = World::draw(&scenario, &site, seed);
            let (rate, length) = (world.rate(), scenario.length_s);
            let name = policy.name();
            let begun = Instant::now();
            let mut run = Run::new(world, policy).map_err(said)?;
            let spent = timed.then(|| run.time_decisions());
            let figures = run.execute().map_err(said)?;
            let took = begun.elapsed().as_secs_f64();
            if json {
                println!("{}", serde_json::to_string(&figures).map_err(said)?);
                return Ok(());
            }
            println!("{} seed {seed} {}: {rate:.0} first tries a second", scenario.name, name);
            print(&figures, windows);
            let (speed, pace) = (length / took, figures.events as f64 / took);
            println!(
                "{took:.2} s, {speed:.1} simulated a second, {pace:.0} events a second, digest {:016x}",
                figures.digest
            );
            if let Some(spent) = spent {
                let share = 100.0 * spent.get().as_secs_f64() / took;
                let memory = load::peak_kb(std::process::id()).unwrap_or(0) / 1024;
                println!("speed={speed:.1} events={pace:.0} decisions={share:.0} memory={memory}");
            }
            Ok(())
        }
        Command::Experiment { file, results, cores } => {
            let loaded = Experiment::load(&file)?;
            loaded.scenarios.iter().for_each(|(_, site)| note_unused(site));
            let (played, had) = experiment::run_experiment(&loaded, &results, cores).map_err(said)?;
            println!("{played} runs played, {had} had results: {}", results.display());
            Ok(())
        }
        Command::Compare { results, base, other, measure } => {
            let (lines, _) = Results::read(&results).map_err(said)?;
            let compared = experiment::compare(&lines, &measure, &base, &other)
                .ok_or_else(|| Failure::Said(format!("there is no measure {measure}")))?;
            if compared.is_empty() {
                return Err(Failure::Said(format!("no day was played by both {base} and {other}")));
            }
            println!("{measure}: {other} against {base}, pairs by seed, median (95% of bootstrap medians)");
            for c in compared {
                let (low, high) = c.interval;
                let (a, b) = c.medians;
                println!(
                    "{:<32} {:>3} pairs  {a:.4} to {b:.4}  {:+.4} ({low:+.4} to {high:+.4})",
                    c.label, c.pairs, c.difference
                );
            }
            Ok(())
        }
        Command::Load { rate, seconds, plays, work_us, connections } => {
            load(rate, Duration::from_secs(seconds), plays, work_us, connections).map_err(said)
        }
        Command::Scale(arguments) => crate::scale::run(arguments),
        Command::Soak(arguments) => crate::soak::run(arguments),
        Command::Sweep(arguments) => crate::sweep::run(arguments),
        Command::Speed { sidecars, servers } => speed(&sidecars, &servers).map_err(said),
        Command::SidecarScale(arguments) => crate::scale_sidecar::run(arguments),
        Command::Capacity(arguments) => crate::capacity::run(&arguments),
        Command::StandIn(part) => stand_in(part).map_err(said),
        Command::Roster { sidecars, changes, idle_s } => {
            let mut cluster = load::registry::start(sidecars, 1).map_err(said)?;
            let idle = load::registry::measure_idle(&cluster, Duration::from_secs(idle_s)).map_err(said)?;
            println!(
                "a list that does not change, for each of {sidecars} sidecars in a minute: {:.0} bytes, {:.1} ms of its \
                 processor, {:.1} ms of the replicas'",
                idle.bytes, idle.sidecar_cpu_ms, idle.replicas_cpu_ms
            );
            println!(
                "fault                     changes  acknowledged ms p50 p99 most   last told ms p50 p99 most   no writes ms"
            );
            let pause = Some(Duration::from_millis(150));
            let plays = load::registry::Fault::ALL.map(|f| (f, pause));
            for (fault, pause) in [(load::registry::Fault::None, None)].into_iter().chain(plays) {
                let t =
                    load::registry::measure_propagation(&mut cluster, fault, changes, pause).map_err(said)?;
                let three = |q: [f64; 3]| format!("{:8.1}{:8.1}{:8.1}", q[0], q[1], q[2]);
                println!(
                    "{:25} {:7}     {}     {} {:10.0}",
                    if pause.is_none() { "none, without a pause" } else { t.fault },
                    t.changes,
                    three(t.acknowledged_ms),
                    three(t.propagation_ms),
                    t.write_outage_ms
                );
            }
            Ok(())
        }
        Command::Reaper => {
            process_guard::run(std::io::stdin().lock());
            Ok(())
        }
        Command::Report { results, out, measures } => {
            let (lines, _) = Results::read(&results).map_err(said)?;
            let page = experiment::report(&lines, &measures).map_err(said)?;
            std::fs::write(&out, page).map_err(|e| Failure::Said(format!("{}: {e}", out.display())))
        }
    }
}

fn load(rate: f64, length: Duration, plays: u64, work_us: u64, connections: usize) -> std::io::Result<()> {
    for play in 1..=plays {
        let bench = load::SidecarBench::start(work_us)?;
        // First, as memory that was once used is used again.
        let held = load::measure_connection_memory(&bench, connections)?;
        let added = load::measure_overhead(&bench, rate, length, play)?;
        let line = |name: &str, l: &load::Latency| {
            println!(
                "  {name:<8} p50 {:>6} us  p99 {:>6} us  p99.9 {:>6} us  served {}  others {}",
                l.p50_us, l.p99_us, l.p999_us, l.served, l.not_served
            );
        };
        println!("play {play}, {rate} requests a second:");
        line("direct", &added.direct);
        line("sidecar", &added.through);
        let ratio = |a: u64, b: u64| b as f64 / a.max(1) as f64;
        println!(
            "  ratio    p50 {:.2}  p99 {:.2}  p99.9 {:.2}; the sidecar's processor time {:.0} us a request",
            ratio(added.direct.p50_us, added.through.p50_us),
            ratio(added.direct.p99_us, added.through.p99_us),
            ratio(added.direct.p999_us, added.through.p999_us),
            added.cpu_us
        );
        let step = Duration::from_secs(1);
        let (direct, through) = (
            load::find_saturation(bench.direct, step, play)?,
            load::find_saturation(bench.through, step, play)?,
        );
        println!(
            "  saturation: direct {:.0} a second, sidecar on one core {:.0}, ratio {:.2}",
            direct.served_rate,
            through.served_rate,
            through.served_rate / direct.served_rate.max(1.0)
        );
        println!(
            "  memory of an idle connection: sidecar {:.0} bytes, server {:.0}, ratio {:.1}",
            held.sidecar_bytes,
            held.server_bytes,
            held.sidecar_bytes / held.server_bytes.max(1.0)
        );
    }
    Ok(())
}

/// Each size in a process of its own, as memory that was once used is not given back.
fn speed(sidecars: &[usize], servers: &[usize]) -> std::io::Result<()> {
    println!("| sidecars | servers | simulated s a s | events a s | decisions | memory MB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for n in sidecars {
        for m in servers {
            let mut command = std::process::Command::new(std::env::current_exe()?);
            command.args(["fleet", "run", "speed", "--timed"]);
            let out = command.args(["--sidecars", &n.to_string(), "--servers", &m.to_string()]).output()?;
            let text = String::from_utf8_lossy(&out.stdout);
            let last = text.lines().last().unwrap_or_default();
            let figure = |name: &str| last.split(' ').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            let figure = |name| figure(name).unwrap_or("?");
            println!(
                "| {n} | {m} | {} | {} | {}% | {} |",
                figure("speed"),
                figure("events"),
                figure("decisions"),
                figure("memory")
            );
        }
    }
    Ok(())
}

/// An error as a line for the operator.
fn said(error: impl std::fmt::Display) -> Failure {
    Failure::Said(error.to_string())
}

fn print(f: &Figures, windows: bool) {
    println!(
        "G {:.4}  whole {:.4}  worst 10 s {:.4}  worst class {:.4}",
        f.score, f.whole_run, f.worst_window, f.worst_class
    );
    println!(
        "late {:.4}  refused {:.4}  failed {:.4}  tries {:.3}  attempts {:.3}  across zones {:.3}  handshakes {:.3}  wasted {:.3}  tipped {}",
        f.late,
        f.refused,
        f.failed,
        f.tries,
        f.attempts,
        f.cross_zone,
        f.handshakes,
        f.wasted,
        f.overload_crashes
    );
    let [p50, p99, p999] = f.latency_ms;
    println!("latency ms p50 {p50:.1}  p99 {p99:.1}  p99.9 {p999:.1}");
    let [p50, p99, most] = f.staleness_ms;
    println!("list staleness ms p50 {p50:.0}  p99 {p99:.0}  most {most:.0}");
    for class in &f.classes {
        println!("  {:<16} asked {:>8}  in time {:.4}", class.name, class.requests, class.in_time);
    }
    for (rule, times) in &f.violations {
        println!("RULE BROKEN {times} times: {rule}");
    }
    if windows {
        println!("  s   asked in-time%   late% refused%  fail%  tries attempts   conns   p50ms   p99ms");
        for (s, w) in f.windows.iter().enumerate().filter(|(_, w)| w.requests > 0) {
            let share = |n: u64| 100.0 * n as f64 / w.requests as f64;
            println!(
                "{s:>3} {:>7} {:>8.1} {:>7.1} {:>8.1} {:>6.1} {:>6} {:>8} {:>7} {:>7.1} {:>7.1}",
                w.requests,
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
    if !site.unused.is_empty() {
        tracing::warn!("site {}: the model has no use for {}", site.name, site.unused.join(", "));
    }
}

/// Reads a file as what it looks like, and says what it is.
pub fn check(file: &Path) -> Result<(), Failure> {
    let text =
        std::fs::read_to_string(file).map_err(|e| Failure::Said(format!("{}: {e}", file.display())))?;
    // Keys that no other kind of file has.
    let of_roster = ["folder", "listen", "join", "via", "[leases]", "[ages]", "[timing]"];
    if text.lines().any(|l| of_roster.iter().any(|key| l.trim_start().starts_with(key))) {
        let config = lotusmoor_registry::config::Config::read(file)?;
        println!("{}: roster, replica {}, fine", file.display(), config.id);
        return Ok(());
    }
    if text.lines().any(|l| l.trim_start().starts_with("[budgets]")) {
        return crate::capacity::check(file);
    }
    // Hollow sidecars are in no other kind of file.
    if text.lines().any(|l| l.trim_start().starts_with("hollow")) {
        let plan = lotusmoor_fleet::scale::Plan::load(file)?;
        println!("{}: plan at scale {}, fine", file.display(), plan.name);
        return Ok(());
    }
    let is_site = text.lines().any(|l| l.trim_start().starts_with("[[tier"));
    if is_site {
        let site = Site::read(file)?;
        note_unused(&site);
        println!("{}: site {}, fine", file.display(), site.name);
    } else {
        if text.lines().any(|l| l.trim_start().starts_with("[[variant")) {
            let loaded = Experiment::load(file)?;
            println!("{}: experiment {}, fine", file.display(), loaded.experiment.name);
            return Ok(());
        }
        let (scenario, _) = Scenario::load(&file.to_string_lossy())?;
        println!("{}: scenario {}, fine", file.display(), scenario.name);
    }
    Ok(())
}
