//! `lotusmoor fleet`: simulations and experiments on them, and measurements and tests with real processes.

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
    /// Simulate a scenario once
    #[command(after_help = "Examples:
  lotusmoor fleet run herd
  lotusmoor fleet run my-scenario.toml --seed 7 --policy true_state --windows")]
    Run {
        /// A scenario file, or a built-in scenario: calm, herd, zone, join, split, roll, small, speed
        scenario: String,
        /// Random seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Balancing policy: module (the sidecars' balancer), no_breakers (the same without circuit breakers),
        /// round_robin, least_in_flight, true_state (knows the state of all servers), or adapter:PROGRAM
        #[arg(long, default_value = "module", value_parser = parse_policy)]
        policy: Policy,
        /// Number of sidecars, instead of the scenario's
        #[arg(long)]
        sidecars: Option<usize>,
        /// Number of servers, instead of the scenario's
        #[arg(long)]
        servers: Option<usize>,
        /// Print a line for each simulated second
        #[arg(long)]
        windows: bool,
        /// Print all figures as JSON
        #[arg(long)]
        json: bool,
        /// Print the simulation's speed, the share of time spent in balancing decisions, and memory use
        #[arg(long)]
        timed: bool,
    },
    /// Run an experiment, or resume one that was interrupted
    #[command(after_help = "Examples:
  lotusmoor fleet experiment breakers.toml --results breakers.jsonl")]
    Experiment {
        /// The experiment's file
        file: PathBuf,
        /// Path of the results: a line of JSON for each run; runs whose results it has are skipped
        #[arg(long)]
        results: PathBuf,
        /// Number of runs in parallel; 0 for the number of cores
        #[arg(long, default_value_t = 0)]
        cores: usize,
    },
    /// Compare two variants of an experiment, paired by seed
    #[command(after_help = "Examples:
  lotusmoor fleet compare breakers.jsonl --base module --other no_breakers --measure g")]
    Compare {
        /// Results of the experiment
        results: PathBuf,
        /// Baseline variant
        #[arg(long)]
        base: String,
        /// Variant that is compared with the baseline
        #[arg(long)]
        other: String,
        /// Measure by which they are compared: g (the score), whole, worst_window, worst_class, worst_tenant, late,
        /// refused, failed, tries, attempts, crossed, handshakes, wasted, tipped, p50_ms, p99_ms, p999_ms,
        /// staleness_p99_ms, told_after_p99_ms, told_last_p50_ms, told_last_p99_ms, told_last_most_ms or broken
        #[arg(long, default_value = "g")]
        measure: String,
    },
    /// Measure the overhead of a real sidecar, compared with direct requests to the same server
    #[command(after_help = "Examples:
  lotusmoor fleet load
  lotusmoor fleet load --rate 2000 --seconds 20")]
    Load {
        /// Requests per second of the latency run, half of them through the sidecar and half direct
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// Length of the latency run in seconds
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Number of rounds, each of which measures everything once
        #[arg(long = "plays", default_value_t = 3)]
        rounds: u64,
        /// Time that the server takes for a request, in microseconds
        #[arg(long, default_value_t = 0)]
        work_us: u64,
        /// Number of idle connections whose memory is measured
        #[arg(long, default_value_t = 800)]
        connections: usize,
    },
    /// Measure how soon changes in a registry of three real replicas reach real sidecars, without and with faults
    #[command(
        name = "roster",
        after_help = "Examples:
  lotusmoor fleet roster
  lotusmoor fleet roster --sidecars 10 --changes 200"
    )]
    RegistryPropagation {
        /// Number of sidecars
        #[arg(long, default_value_t = 10)]
        sidecars: usize,
        /// Number of changes under each fault
        #[arg(long, default_value_t = 200)]
        changes: usize,
        /// For how long the cost of an unchanged list is measured, in seconds
        #[arg(long, default_value_t = 30)]
        idle_s: u64,
    },
    /// Measure the cost of the endpoint list's length and rate of change for a real sidecar and the balancing module
    SidecarScale(crate::scale_sidecar::Arguments),
    /// Run clusters of real processes under randomized overlapping faults, and check their histories against the
    /// protocol's rules
    #[command(after_help = "Examples:
  lotusmoor fleet soak --seeds 40 --out soak.jsonl
  lotusmoor fleet soak --first 17 --seeds 1 --shrink
  lotusmoor fleet soak --plan failed.json")]
    Soak(crate::soak::Arguments),
    /// Run a scripted scenario of a sidecar again and again, each time with a fault at another of its system calls
    #[command(after_help = "Examples:
  lotusmoor fleet sweep --most 10
  lotusmoor fleet sweep --call write --out sweep.jsonl")]
    Sweep(crate::sweep::Arguments),
    /// Measure the registry and real sidecars beside thousands of hollow sidecars, which read the registry as real ones
    /// do but serve no requests
    #[command(after_help = "Examples:
  lotusmoor fleet scale experiments/scale/hollow.toml --out hollow.jsonl
  lotusmoor fleet scale experiments/scale/hollow.toml --out trial.jsonl --hollow 500 --seconds 3")]
    Scale(crate::scale::Arguments),
    /// Measure the simulation by fleet size: its speed, the share of time in balancing decisions, and its memory use
    #[command(after_help = "Examples:
  lotusmoor fleet speed
  lotusmoor fleet speed --sidecars 300,1000,3000 --servers 200")]
    Speed {
        /// Numbers of sidecars, each combined with each number of servers
        #[arg(long, value_delimiter = ',', default_value = "100,300,1000,3000")]
        sidecars: Vec<usize>,
        /// Numbers of servers
        #[arg(long, value_delimiter = ',', default_value = "50,200,500")]
        servers: Vec<usize>,
    },
    /// Estimate resource use at a plan's sizes, from lines fitted to recorded runs
    Capacity(crate::capacity::Arguments),
    /// Run a fake service; used by tests and measurements
    #[command(subcommand, name = "stand-in")]
    FakeService(FakeService),
    /// Kill the processes registered on standard input when it is closed; used by tests and measurements
    #[command(name = "reaper")]
    ProcessGuard,
    /// Write an HTML page with tables and plots of an experiment's results
    #[command(after_help = "Examples:
  lotusmoor fleet report breakers.jsonl --out breakers.html")]
    Report {
        /// Results of the experiment
        results: PathBuf,
        /// Path of the page
        #[arg(long)]
        out: PathBuf,
        /// Measures in the tables
        #[arg(long, value_delimiter = ',', default_value = "g,late,refused,failed,attempts,p99_ms")]
        measures: Vec<String>,
    },
}

#[derive(clap::Subcommand)]
pub enum FakeService {
    /// A backend server
    #[command(name = "ledger")]
    Backend {
        /// Its name, which its responses contain
        #[arg(long)]
        name: String,
        /// Address on which it listens
        #[arg(long)]
        listen: SocketAddr,
        /// File in which it records the requests that it receives and how they end
        #[arg(long = "notes")]
        records: Option<PathBuf>,
        /// How it behaves, as a JSON object: work_us and first_byte_us (delays), turns_away and silent (all requests
        /// are rejected, or never answered), errors, resets and halves (shares of requests answered with 500, reset, or
        /// answered with a truncated body), idle_us (idle connections are closed after this time; 0: never)
        #[arg(long, default_value = "{}", value_parser = parse_conduct)]
        conduct: Conduct,
        /// Maximum number of requests that it works on at a time
        #[arg(long = "cores", value_name = "CORES", default_value_t = 1000)]
        max_concurrent: usize,
    },
    /// Hollow sidecars, which read the registry as real ones do but serve no requests
    #[command(name = "hollow")]
    HollowSidecars {
        /// File that describes them, written by the run that starts them
        #[arg(long)]
        assignment: PathBuf,
    },
    /// A discovery service
    Discovery {
        /// Address on which it listens for a sidecar; one for each sidecar, in the order of their numbers
        #[arg(long)]
        sidecar: Vec<SocketAddr>,
        /// Address on which it listens for the test's changes of the endpoint list
        #[arg(long)]
        control: SocketAddr,
        /// File in which it records which version it delivered to which sidecar
        #[arg(long = "notes")]
        records: PathBuf,
    },
}

fn parse_conduct(text: &str) -> Result<Conduct, String> {
    serde_json::from_str(text).map_err(|e| e.to_string())
}

fn run_fake_service(service: FakeService) -> std::io::Result<()> {
    // Hollow sidecars create a runtime of their own.
    if let FakeService::HollowSidecars { assignment } = &service {
        return lotusmoor_fleet::scale::hollow::serve(assignment);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match service {
        FakeService::Backend { name, listen, records, conduct, max_concurrent } => {
            runtime.block_on(backend::serve(name, listen, records.as_deref(), conduct, max_concurrent))
        }
        FakeService::Discovery { sidecar, control, records } => {
            runtime.block_on(discovery::serve(sidecar, control, &records))
        }
        FakeService::HollowSidecars { .. } => Ok(()),
    }
}

fn parse_policy(name: &str) -> Result<Policy, String> {
    Policy::from_name(name).ok_or_else(|| {
        let names: Vec<_> = Policy::ALL.iter().map(|p| p.name()).collect();
        format!("must be one of {}", names.join(", "))
    })
}

pub fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Run { scenario, seed, policy, sidecars, servers, windows, json, timed } => {
            let (mut scenario, site) = Scenario::load(&scenario)?;
            warn_ignored_keys(&site);
            scenario.sidecars = sidecars.unwrap_or(scenario.sidecars).max(1);
            scenario.servers = servers.unwrap_or(scenario.servers).max(1);
            let world = World::draw(&scenario, &site, seed);
            let (rate, length) = (world.rate(), scenario.length_s);
            let policy_name = policy.name();
            let started = Instant::now();
            let mut run = Run::new(world, policy).map_err(to_failure)?;
            let decision_time = timed.then(|| run.time_decisions());
            let figures = run.execute().map_err(to_failure)?;
            let elapsed = started.elapsed().as_secs_f64();
            if json {
                println!("{}", serde_json::to_string(&figures).map_err(to_failure)?);
                return Ok(());
            }
            println!(
                "{} seed {seed} {}: {rate:.0} requests per second, client retries not included",
                scenario.name, policy_name
            );
            print_figures(&figures, windows);
            let (speed, event_rate) = (length / elapsed, figures.events as f64 / elapsed);
            println!(
                "{elapsed:.2} s, {speed:.1} simulated seconds per second, {event_rate:.0} events per second, digest {:016x}",
                figures.digest
            );
            if let Some(decision_time) = decision_time {
                let share = 100.0 * decision_time.get().as_secs_f64() / elapsed;
                let memory = load::peak_kb(std::process::id()).unwrap_or(0) / 1024;
                println!("speed={speed:.1} events={event_rate:.0} decisions={share:.0} memory={memory}");
            }
            Ok(())
        }
        Command::Experiment { file, results, cores } => {
            let loaded = Experiment::load(&file)?;
            loaded.scenarios.iter().for_each(|(_, site)| warn_ignored_keys(site));
            let (executed, existing) =
                experiment::run_experiment(&loaded, &results, cores).map_err(to_failure)?;
            println!("{executed} runs played, {existing} had results: {}", results.display());
            Ok(())
        }
        Command::Compare { results, base, other, measure } => {
            let (lines, _) = Results::read(&results).map_err(to_failure)?;
            let compared = experiment::compare(&lines, &measure, &base, &other)
                .ok_or_else(|| Failure::Message(format!("unknown measure: {measure}")))?;
            if compared.is_empty() {
                return Err(Failure::Message(format!("no seed has results of both {base} and {other}")));
            }
            println!(
                "{measure}: {base} to {other}, paired by seed: medians, median difference (95% bootstrap interval)"
            );
            for comparison in compared {
                let (low, high) = comparison.interval;
                let (base_median, other_median) = comparison.medians;
                println!(
                    "{:<32} {:>3} pairs  {base_median:.4} to {other_median:.4}  {:+.4} ({low:+.4} to {high:+.4})",
                    comparison.label, comparison.pairs, comparison.difference
                );
            }
            Ok(())
        }
        Command::Load { rate, seconds, rounds, work_us, connections } => {
            measure_overhead(rate, Duration::from_secs(seconds), rounds, work_us, connections)
                .map_err(to_failure)
        }
        Command::Scale(arguments) => crate::scale::run(arguments),
        Command::Soak(arguments) => crate::soak::run(arguments),
        Command::Sweep(arguments) => crate::sweep::run(arguments),
        Command::Speed { sidecars, servers } => measure_speed(&sidecars, &servers).map_err(to_failure),
        Command::SidecarScale(arguments) => crate::scale_sidecar::run(arguments),
        Command::Capacity(arguments) => crate::capacity::run(&arguments),
        Command::FakeService(service) => run_fake_service(service).map_err(to_failure),
        Command::RegistryPropagation { sidecars, changes, idle_s } => {
            let mut cluster = load::registry::start(sidecars, 1).map_err(to_failure)?;
            let idle =
                load::registry::measure_idle(&cluster, Duration::from_secs(idle_s)).map_err(to_failure)?;
            println!(
                "an unchanged list costs, for each of {sidecars} sidecars and per minute: {:.0} bytes, {:.1} ms of its CPU time, \
                 {:.1} ms of the replicas' CPU time",
                idle.bytes, idle.sidecar_cpu_ms, idle.replicas_cpu_ms
            );
            println!(
                "                                               acknowledged ms     last sidecar notified ms      write\n\
                 fault                     changes          p50     p99     max          p50     p99     max  outage ms"
            );
            let pause = Some(Duration::from_millis(150));
            let measurements = load::registry::Fault::ALL.map(|f| (f, pause));
            for (fault, pause) in [(load::registry::Fault::None, None)].into_iter().chain(measurements) {
                let measured = load::registry::measure_propagation(&mut cluster, fault, changes, pause)
                    .map_err(to_failure)?;
                let format_quantiles = |q: [f64; 3]| format!("{:8.1}{:8.1}{:8.1}", q[0], q[1], q[2]);
                println!(
                    "{:25} {:7}     {}     {} {:10.0}",
                    if pause.is_none() { "none, back to back" } else { measured.fault },
                    measured.changes,
                    format_quantiles(measured.acknowledged_ms),
                    format_quantiles(measured.propagation_ms),
                    measured.write_outage_ms
                );
            }
            Ok(())
        }
        Command::ProcessGuard => {
            process_guard::run(std::io::stdin().lock());
            Ok(())
        }
        Command::Report { results, out, measures } => {
            let (lines, _) = Results::read(&results).map_err(to_failure)?;
            let page = experiment::report(&lines, &measures).map_err(to_failure)?;
            std::fs::write(&out, page).map_err(|e| Failure::Message(format!("{}: {e}", out.display())))
        }
    }
}

fn measure_overhead(
    rate: f64,
    length: Duration,
    rounds: u64,
    work_us: u64,
    connections: usize,
) -> std::io::Result<()> {
    for round in 1..=rounds {
        let bench = load::SidecarBench::start(work_us)?;
        // Measured first, as connections would reuse memory that a load run has freed.
        let memory = load::measure_connection_memory(&bench, connections)?;
        let added = load::measure_overhead(&bench, rate, length, round)?;
        let print_latency = |name: &str, l: &load::Latency| {
            println!(
                "  {name:<8} p50 {:>6} us  p99 {:>6} us  p99.9 {:>6} us  served {}  not served {}",
                l.p50_us, l.p99_us, l.p999_us, l.served, l.not_served
            );
        };
        println!("round {round}, {rate} requests per second:");
        print_latency("direct", &added.direct);
        print_latency("sidecar", &added.through);
        let ratio = |a: u64, b: u64| b as f64 / a.max(1) as f64;
        println!(
            "  ratio    p50 {:.2}  p99 {:.2}  p99.9 {:.2}; sidecar CPU time {:.0} us per request",
            ratio(added.direct.p50_us, added.through.p50_us),
            ratio(added.direct.p99_us, added.through.p99_us),
            ratio(added.direct.p999_us, added.through.p999_us),
            added.cpu_us
        );
        let step = Duration::from_secs(1);
        let (direct, through) = (
            load::find_saturation(bench.direct, step, round)?,
            load::find_saturation(bench.through, step, round)?,
        );
        println!(
            "  saturation: direct {:.0} requests per second, sidecar on one core {:.0}, ratio {:.2}",
            direct.served_rate,
            through.served_rate,
            through.served_rate / direct.served_rate.max(1.0)
        );
        println!(
            "  memory per idle connection: sidecar {:.0} bytes, server {:.0}, ratio {:.1}",
            memory.sidecar_bytes,
            memory.server_bytes,
            memory.sidecar_bytes / memory.server_bytes.max(1.0)
        );
    }
    Ok(())
}

/// Measures each size in a process of its own, as freed memory is not returned to the system.
fn measure_speed(sidecars: &[usize], servers: &[usize]) -> std::io::Result<()> {
    println!("| sidecars | servers | simulated s per s | events per s | decisions | memory MB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for sidecar_count in sidecars {
        for server_count in servers {
            let mut command = std::process::Command::new(std::env::current_exe()?);
            command.args(["fleet", "run", "speed", "--timed"]);
            let out = command
                .args(["--sidecars", &sidecar_count.to_string(), "--servers", &server_count.to_string()])
                .output()?;
            let text = String::from_utf8_lossy(&out.stdout);
            let last = text.lines().last().unwrap_or_default();
            let figure = |name: &str| last.split(' ').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            let figure = |name| figure(name).unwrap_or("?");
            println!(
                "| {sidecar_count} | {server_count} | {} | {} | {}% | {} |",
                figure("speed"),
                figure("events"),
                figure("decisions"),
                figure("memory")
            );
        }
    }
    Ok(())
}

/// Converts an error to a message for the operator.
fn to_failure(error: impl std::fmt::Display) -> Failure {
    Failure::Message(error.to_string())
}

fn print_figures(figures: &Figures, windows: bool) {
    println!(
        "score g {:.4}  whole run {:.4}  worst 10 s {:.4}  worst class {:.4}",
        figures.score, figures.whole_run, figures.worst_window, figures.worst_class
    );
    println!(
        "late {:.4}  refused {:.4}  failed {:.4}  client tries per request {:.3}  attempts per try {:.3}  across zones {:.3}  handshakes {:.3}  wasted work {:.3}  servers crashed by overload {}",
        figures.late,
        figures.refused,
        figures.failed,
        figures.tries,
        figures.attempts,
        figures.cross_zone,
        figures.handshakes,
        figures.wasted,
        figures.overload_crashes
    );
    let [p50, p99, p999] = figures.latency_ms;
    println!("latency ms p50 {p50:.1}  p99 {p99:.1}  p99.9 {p999:.1}");
    let [p50, p99, max] = figures.staleness_ms;
    println!("list staleness ms p50 {p50:.0}  p99 {p99:.0}  max {max:.0}");
    for class in &figures.classes {
        println!("  {:<16} requests {:>8}  in time {:.4}", class.name, class.requests, class.in_time);
    }
    for (rule, times) in &figures.violations {
        println!("RULE VIOLATED {times} times: {rule}");
    }
    if windows {
        println!("  s    reqs in-time%   late% refused%  fail%  tries attempts   conns   p50ms   p99ms");
        for (second, window) in figures.windows.iter().enumerate().filter(|(_, w)| w.requests > 0) {
            let share = |n: u64| 100.0 * n as f64 / window.requests as f64;
            println!(
                "{second:>3} {:>7} {:>8.1} {:>7.1} {:>8.1} {:>6.1} {:>6} {:>8} {:>7} {:>7.1} {:>7.1}",
                window.requests,
                share(window.in_time),
                share(window.late),
                share(window.refused),
                share(window.failed),
                window.tries,
                window.attempts,
                window.connections,
                window.p50_ms,
                window.p99_ms
            );
        }
    }
}

fn warn_ignored_keys(site: &Site) {
    if !site.unused.is_empty() {
        tracing::warn!("site {}: keys that the simulation ignores: {}", site.name, site.unused.join(", "));
    }
}

/// Validates a file, whose kind is determined by its keys, and prints its kind and name.
pub fn check(file: &Path) -> Result<(), Failure> {
    let text =
        std::fs::read_to_string(file).map_err(|e| Failure::Message(format!("{}: {e}", file.display())))?;
    // Keys that no other kind of file has.
    let registry_keys = ["folder", "listen", "join", "via", "[leases]", "[ages]", "[timing]"];
    if text.lines().any(|l| registry_keys.iter().any(|key| l.trim_start().starts_with(key))) {
        let config = lotusmoor_registry::config::Config::read(file)?;
        println!("{}: registry configuration, replica {}, fine", file.display(), config.id);
        return Ok(());
    }
    if text.lines().any(|l| l.trim_start().starts_with("[budgets]")) {
        return crate::capacity::check(file);
    }
    // Only scale plans have keys that begin with `hollow`.
    if text.lines().any(|l| l.trim_start().starts_with("hollow")) {
        let plan = lotusmoor_fleet::scale::Plan::load(file)?;
        println!("{}: scale plan {}, fine", file.display(), plan.name);
        return Ok(());
    }
    let is_site = text.lines().any(|l| l.trim_start().starts_with("[[tier"));
    if is_site {
        let site = Site::read(file)?;
        warn_ignored_keys(&site);
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
