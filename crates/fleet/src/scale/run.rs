//! Runs a plan: the steps of its sweep or its events one after the other, and measures each.

use super::deployment::{Deployment, REPLICAS, START_TIMEOUT, server_name, wait_until};
use super::hollow::Activity;
use super::monotonic;
use super::plan::{EventSpec, KilledReplica, Plan, Sizes};
use super::propagation::{Change, insert_quantiles, latency_histogram, propagation_latencies};
use super::results::{Mode, Record, ResultFile, Role, StepSizes, Sweep};
use super::topology::Topology;
use crate::harness::Link;
use crate::load::{Route, open_loop, resident_kb, used_cpu};
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// The result of a step.
#[derive(Clone, Debug)]
pub struct StepResult {
    /// The part of the list that sidecars watched.
    pub mode: Mode,
    /// The sizes of the step.
    pub sizes: Sizes,
    /// The event, if any.
    pub event: Option<&'static str>,
    /// The figures, with one line for each role.
    pub lines: Vec<Record>,
    /// Acknowledged changes.
    pub changes: usize,
    /// Deliveries that were missing at the end: hollow sidecars that had not applied a change that concerns them,
    /// summed over the changes.
    pub undelivered: u64,
    /// Hollow sidecars whose last poll had failed at the end.
    pub failing: usize,
    /// Applied lists that were older than the one before, which must never happen.
    pub regressions: u64,
    /// Outages of hollow sidecars that ended.
    pub recovered: usize,
}

/// Time limit after a step for all hollow sidecars to recover and to apply all changes.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the start of a step to its event.
const EVENT_DELAY: Duration = Duration::from_secs(1);
/// Time limit of a change, including retries at other replicas.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of the wait until a real sidecar has applied a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a plan. The records of each step are appended to the new file `out` when the step ends; `commit` is the source
/// version.
pub fn run_plan(
    plan: &Plan,
    out: Option<&Path>,
    commit: &str,
    bar: &ProgressBar,
) -> io::Result<Vec<StepResult>> {
    for sizes in plan.sizes() {
        plan.modes.iter().try_for_each(|mode| check_memory(&Topology::new(plan, &sizes), *mode, &sizes))?;
    }
    let mut out = match out {
        Some(path) => Some(ResultFile::create(path).map_err(io::Error::other)?),
        None => None,
    };
    bar.set_length((plan.sizes().len() * plan.event.len().max(1) * plan.modes.len()) as u64);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} {bar:30} {pos}/{len} {msg}") {
        bar.set_style(style);
    }
    let mut steps: Vec<StepResult> = Vec::new();
    for (number, sizes) in plan.sizes().iter().enumerate() {
        for mode in &plan.modes {
            let title = format!("{}: {} hollow, {} listed", mode.name(), sizes.hollow, sizes.listed);
            bar.set_message(format!("{title}, starting"));
            let mut run = Run::start(plan, *sizes, *mode, commit)?;
            let events: Vec<Option<&EventSpec>> =
                if plan.event.is_empty() { vec![None] } else { plan.event.iter().map(Some).collect() };
            for (index, event) in events.into_iter().enumerate() {
                bar.set_message(format!("{title}, {}", event.map_or("steady", EventSpec::name)));
                let step = run.step(if event.is_some() { index } else { number } as u32 + 1, event)?;
                if let Some(out) = &mut out {
                    step.lines.iter().try_for_each(|line| out.add(line)).map_err(io::Error::other)?;
                }
                steps.push(step);
                bar.inc(1);
            }
        }
    }
    bar.finish_and_clear();
    Ok(steps)
}

/// Fails if the lists of the hollow sidecars would take more than half of the machine's memory.
fn check_memory(topology: &Topology, mode: Mode, sizes: &Sizes) -> io::Result<()> {
    let meminfo = std::fs::read_to_string("/proc/meminfo")?;
    let kb = meminfo
        .lines()
        .find_map(|l| l.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    let half = kb.ok_or(io::ErrorKind::InvalidData)? * 1024 / 2;
    let needed = topology.list_bytes(mode);
    if needed > half {
        return Err(io::Error::other(format!(
            "the lists of {} hollow sidecars ({} servers, mode {}) need {:.1} GB, over half of memory ({:.1} GB)",
            sizes.hollow,
            sizes.listed,
            mode.name(),
            needed as f64 / 1e9,
            half as f64 / 1e9
        )));
    }
    Ok(())
}

/// The counters at one point in time.
struct Sample {
    at: Instant,
    replica_cpu: Vec<Option<Duration>>,
    full_lists: Vec<Option<f64>>,
    sidecar_cpu: Vec<Option<Duration>>,
    hollow_cpu: Vec<Option<Duration>>,
    activity: Vec<Activity>,
}

/// A run in one mode, at the sizes of one step of the sweep.
struct Run<'p> {
    plan: &'p Plan,
    sizes: Sizes,
    mode: Mode,
    commit: &'p str,
    deployment: Deployment,
    /// The number of changes so far, including those that were not acknowledged.
    changes_tried: usize,
    /// The index and time of each list that a hollow sidecar applied, by its number.
    applied: BTreeMap<usize, Vec<(u64, i64)>>,
    /// Applied lists that were older than the one before, since the end of the previous step.
    regressions: u64,
}

/// What the threads of a step measured.
struct WindowResults {
    changes: Vec<Change>,
    apply_delays: Histogram<u64>,
    direct: Histogram<u64>,
    through: Histogram<u64>,
    not_served: u64,
    /// The time of the end of the fault, from which on all sidecars can recover.
    fault_end: i64,
}

/// A measured step.
struct Measurement {
    leader: usize,
    before: Sample,
    after: Sample,
    watches: Vec<Option<f64>>,
    results: WindowResults,
}

impl<'p> Run<'p> {
    fn start(plan: &'p Plan, sizes: Sizes, mode: Mode, commit: &'p str) -> io::Result<Self> {
        let cut = |event: &EventSpec| match event {
            EventSpec::RegionCut { region, .. } => index_of(region.as_ref(), &plan.regions),
            _ => None,
        };
        let cut: Vec<usize> = plan.event.iter().filter_map(cut).collect();
        let mut deployment = Deployment::start(plan, &sizes, mode, &cut)?;
        deployment.start_hollow_sidecars(plan)?;
        let ready = |deployment: &Deployment| {
            let hollow_ready =
                deployment.hollow_status().is_ok_and(|s| s.with_list == sizes.hollow && s.failing == 0);
            hollow_ready && deployment.sidecars.iter().all(|s| s.index().is_some_and(|index| index > 0))
        };
        let started = wait_until(START_TIMEOUT, "all sidecars have a list", || ready(&deployment));
        started.map_err(|e| match deployment.unexpected_exit() {
            Some(exit) => io::Error::other(exit),
            None => io::Error::other(format!("{e}: {:?}", deployment.hollow_status())),
        })?;
        Ok(Self {
            plan,
            sizes,
            mode,
            commit,
            deployment,
            changes_tried: 0,
            applied: BTreeMap::new(),
            regressions: 0,
        })
    }

    fn sample(&mut self) -> io::Result<Sample> {
        let deployment = &self.deployment;
        let cpu = |ids: Vec<u32>| ids.into_iter().map(used_cpu).collect();
        let sample = Sample {
            at: Instant::now(),
            replica_cpu: (0..REPLICAS)
                .map(|replica| deployment.registry.pid(replica).and_then(used_cpu))
                .collect(),
            full_lists: (0..REPLICAS)
                .map(|replica| deployment.metric(replica, "roster_whole_lists_total"))
                .collect(),
            sidecar_cpu: cpu(deployment.sidecar_pids()),
            hollow_cpu: cpu(deployment.hollow_pids()),
            activity: deployment.take_activity()?,
        };
        self.record_activity(&sample.activity);
        Ok(sample)
    }

    fn record_activity(&mut self, activity: &[Activity]) {
        self.regressions += activity.iter().map(|a| a.regressions).sum::<u64>();
        for (sidecar, index, at) in activity.iter().flat_map(|a| &a.applied) {
            self.applied.entry(*sidecar as usize).or_default().push((*index, *at));
        }
    }

    fn step(&mut self, number: u32, event: Option<&EventSpec>) -> io::Result<StepResult> {
        self.applied.clear();
        let leader = (0..200).find_map(|_| {
            let leader = self.deployment.registry.leader();
            if leader.is_none() {
                std::thread::sleep(Duration::from_millis(50));
            }
            leader
        });
        let leader = leader.ok_or_else(|| io::Error::other("the registry has no leader"))?;
        let before = self.sample()?;
        self.applied.clear();
        let results = self.run_window(event, leader)?;
        let after = self.sample()?;
        let watches: Vec<Option<f64>> =
            (0..REPLICAS).map(|replica| self.deployment.metric(replica, "roster_watchers")).collect();
        let mut recoveries: Vec<(i64, i64)> =
            after.activity.iter().flat_map(|a| a.recoveries.iter().copied()).collect();
        if let Some(EventSpec::ReplicaKilled { which }) = event {
            self.deployment.registry.start_replica(killed_replica(*which, leader))?;
        }
        // Waits until all hollow sidecars have recovered and have applied all changes.
        let started = Instant::now();
        let (propagation, undelivered, failing) = loop {
            let activity = self.deployment.take_activity()?;
            self.record_activity(&activity);
            recoveries.extend(activity.iter().flat_map(|a| a.recoveries.iter().copied()));
            let (propagation, undelivered) =
                propagation_latencies(&results.changes, &self.deployment.topology, self.mode, &self.applied)?;
            let status = self.deployment.hollow_status()?;
            let settled =
                undelivered == 0 && status.failing == 0 && status.oldest_outcome >= results.fault_end;
            if settled || started.elapsed() > SETTLE_TIMEOUT {
                break (propagation, undelivered, status.failing);
            }
            std::thread::sleep(Duration::from_millis(100));
        };
        if let Some(EventSpec::ReplicaKilled { .. }) = event {
            let caught_up = || {
                let status: Vec<_> =
                    (0..REPLICAS).map(|replica| self.deployment.registry.status(replica)).collect();
                let index = |replica: usize| status[replica].as_ref().map(|s| s["index"].clone());
                index(0).is_some() && (1..REPLICAS).all(|replica| index(replica) == index(0))
            };
            wait_until(START_TIMEOUT, "all replicas have the same index", caught_up)?;
        }
        if let Some(exit) = self.deployment.unexpected_exit() {
            return Err(io::Error::other(exit));
        }
        recoveries.retain(|(_, until)| *until >= results.fault_end);
        let mut fleet = BTreeMap::new();
        insert_quantiles("told", &propagation, &mut fleet);
        if event.is_some_and(|e| !matches!(e, EventSpec::Steady {})) {
            let slowest = recoveries.iter().map(|(_, until)| until - results.fault_end).max().unwrap_or(0);
            fleet.insert("back_ms".into(), slowest as f64 / 1000.0);
        }
        fleet.insert("untold".into(), undelivered as f64);
        fleet.insert("away".into(), failing as f64);
        let measurement = Measurement { leader, before, after, watches, results };
        let lines = self.lines(number, event, &measurement, fleet);
        let results = measurement.results;
        Ok(StepResult {
            mode: self.mode,
            sizes: self.sizes,
            event: event.map(EventSpec::name),
            lines,
            changes: results.changes.len(),
            undelivered,
            failing,
            regressions: std::mem::take(&mut self.regressions),
            recovered: recoveries.len(),
        })
    }

    /// Runs the load, the changes and the event for the duration of a step.
    fn run_window(&mut self, event: Option<&EventSpec>, leader: usize) -> io::Result<WindowResults> {
        let (plan, deployment, mode) = (self.plan, &self.deployment, self.mode);
        let duration = Duration::from_secs_f64(plan.seconds);
        // Alternates requests to a backend directly and requests through each sidecar.
        let routes: Vec<Route> = deployment
            .sidecars
            .iter()
            .zip(deployment.backends.iter().cycle())
            .flat_map(|(sidecar, backend)| [Route { to: *backend }, Route { to: sidecar.address }])
            .collect();
        let first = self.changes_tried;
        let (load, writes, apply_delays, fault_end) = std::thread::scope(|scope| {
            let (rate, seed) = (2.0 * plan.rate, plan.seed);
            let load = scope.spawn(move || open_loop(&routes, rate, duration, seed));
            let (mut senders, mut pollers) = (Vec::new(), Vec::new());
            for sidecar in &deployment.sidecars {
                let (sender, receiver) = channel();
                senders.push(sender);
                pollers.push(scope.spawn(move || measure_apply_delays(|| sidecar.index(), &receiver)));
            }
            let changes_per_s = self.sizes.changes_per_s;
            let writer = scope
                .spawn(move || write_changes(deployment, mode, changes_per_s, duration, first, &senders));
            let fault_end = inject_event(deployment, plan, event, leader, duration);
            let thread_failed = || io::Error::other("a thread panicked");
            let load = load.join().unwrap_or_else(|_| Err(thread_failed()));
            let writes = writer.join().map_err(|_| thread_failed());
            let apply_delays: Vec<_> =
                pollers.into_iter().map(|p| p.join().unwrap_or_else(|_| Err(thread_failed()))).collect();
            (load, writes, apply_delays, fault_end)
        });
        let (changes, tried) = writes?;
        self.changes_tried += tried;
        let mut results = WindowResults {
            changes,
            apply_delays: latency_histogram()?,
            direct: latency_histogram()?,
            through: latency_histogram()?,
            not_served: 0,
            fault_end: fault_end?,
        };
        for (route, result) in load?.into_iter().enumerate() {
            let sum = if route % 2 == 0 { &mut results.direct } else { &mut results.through };
            sum.add(&result.latencies).map_err(io::Error::other)?;
            results.not_served += if route % 2 == 0 { 0 } else { result.not_served };
        }
        for delays in apply_delays {
            results.apply_delays.add(&delays?).map_err(io::Error::other)?;
        }
        Ok(results)
    }

    fn lines(
        &self,
        number: u32,
        event: Option<&EventSpec>,
        measurement: &Measurement,
        mut fleet: BTreeMap<String, f64>,
    ) -> Vec<Record> {
        let Measurement { leader, before, after, watches, results } = measurement;
        let leader = *leader;
        let (deployment, plan) = (&self.deployment, self.plan);
        let seconds = (after.at - before.at).as_secs_f64();
        let rate = |n: f64| n / seconds;
        let cpu = |a: &Option<Duration>, b: &Option<Duration>| {
            Some(rate(b.as_ref()?.checked_sub(*a.as_ref()?)?.as_secs_f64() * 1e6))
        };
        // The counters of a restarted process begin at 0.
        let increase = |a: u64, b: u64| if b >= a { b - a } else { b } as f64;
        let by_replica = |counter: fn(&Activity) -> &Vec<u64>, replica: usize| -> f64 {
            let pairs = before.activity.iter().zip(&after.activity);
            pairs.map(|(a, b)| increase(counter(a)[replica], counter(b)[replica])).sum()
        };
        let total = |counter: fn(&Activity) -> &Vec<u64>| {
            (0..REPLICAS).map(|replica| by_replica(counter, replica)).sum::<f64>()
        };
        let renewals: f64 =
            before.activity.iter().zip(&after.activity).map(|(a, b)| increase(a.renewals, b.renewals)).sum();
        let (writes, renewals) = (rate(results.changes.len() as f64), rate(renewals));

        let replica_figures = |replica: usize| -> BTreeMap<String, f64> {
            let mut figures = BTreeMap::new();
            let mut put =
                |name: &str, value: Option<f64>| figures.extend(value.map(|v| (name.to_owned(), v)));
            put("cpu_us_per_s", cpu(&before.replica_cpu[replica], &after.replica_cpu[replica]));
            put(
                "rss_bytes",
                deployment.registry.pid(replica).and_then(resident_kb).map(|kb| kb as f64 * 1024.0),
            );
            put("wire_bytes_per_s", Some(rate(by_replica(|a| &a.bytes, replica))));
            put("answers_per_s", Some(rate(by_replica(|a| &a.responses, replica))));
            let full_lists =
                before.full_lists[replica].zip(after.full_lists[replica]).filter(|(a, b)| b >= a);
            put("whole_lists_per_s", full_lists.map(|(a, b)| rate(b - a)));
            put("watches", watches[replica]);
            put("entries", Some(self.sizes.listed as f64));
            figures
        };
        let mut leader_figures = replica_figures(leader);
        leader_figures.insert("writes_per_s".into(), writes);
        leader_figures.insert("renewals_per_s".into(), renewals);
        let followers: Vec<_> =
            (0..REPLICAS).filter(|replica| *replica != leader).map(replica_figures).collect();

        let hollow_count = self.sizes.hollow as f64;
        let sum = |a: &[Option<Duration>], b: &[Option<Duration>]| -> Option<f64> {
            a.iter().zip(b).map(|(a, b)| cpu(a, b)).sum()
        };
        let rss = |ids: Vec<u32>| -> Option<f64> {
            ids.into_iter().map(|id| Some(resident_kb(id)? as f64 * 1024.0)).sum()
        };
        let entries = |calls: &Vec<Vec<usize>>| {
            let listed = |c: &Vec<usize>| match self.mode {
                Mode::Whole => deployment.topology.service_of_server.len(),
                Mode::Services => c.iter().map(|s| deployment.topology.servers_per_service[*s]).sum(),
            };
            calls.iter().map(listed).sum::<usize>() as f64 / calls.len().max(1) as f64
        };
        let mut hollow = BTreeMap::new();
        hollow.extend(
            sum(&before.hollow_cpu, &after.hollow_cpu).map(|v| ("cpu_us_per_s".to_owned(), v / hollow_count)),
        );
        hollow.extend(rss(deployment.hollow_pids()).map(|v| ("rss_bytes".to_owned(), v / hollow_count)));
        hollow.insert("wire_bytes_per_s".into(), rate(total(|a| &a.bytes)) / hollow_count);
        hollow.insert("answers_per_s".into(), rate(total(|a| &a.responses)) / hollow_count);
        hollow.insert("whole_lists_per_s".into(), rate(total(|a| &a.snapshots)) / hollow_count);
        hollow.insert("entries".into(), entries(&deployment.topology.hollow_calls));

        let sidecar_count = deployment.sidecars.len() as f64;
        let mut sidecar = BTreeMap::new();
        sidecar.extend(
            sum(&before.sidecar_cpu, &after.sidecar_cpu)
                .map(|v| ("cpu_us_per_s".to_owned(), v / sidecar_count)),
        );
        sidecar.extend(rss(deployment.sidecar_pids()).map(|v| ("rss_bytes".to_owned(), v / sidecar_count)));
        sidecar.insert("entries".into(), entries(&deployment.topology.sidecar_calls));
        insert_quantiles("in_force", &results.apply_delays, &mut sidecar);
        if !results.direct.is_empty() && !results.through.is_empty() {
            for (key, q) in [("added_us_p50", 0.5), ("added_us_p99", 0.99)] {
                let added =
                    results.through.value_at_quantile(q) as f64 - results.direct.value_at_quantile(q) as f64;
                sidecar.insert(key.into(), added);
            }
        }
        sidecar.insert("not_served".into(), results.not_served as f64);

        fleet.insert("answers_per_s".into(), rate(total(|a| &a.responses)));
        fleet.insert("whole_lists_per_s".into(), rate(total(|a| &a.snapshots)));
        fleet.insert("wire_bytes_per_s".into(), rate(total(|a| &a.bytes)));
        fleet.insert("writes_per_s".into(), writes);
        fleet.insert("renewals_per_s".into(), renewals);
        fleet.insert("watches".into(), watches.iter().flatten().sum());

        let services = if self.mode == Mode::Services { plan.calls } else { 0 };
        let at = StepSizes {
            hollow: self.sizes.hollow as u32,
            listed: self.sizes.listed as u32,
            changes_per_s: self.sizes.changes_per_s,
            services: services as u32,
        };
        let roles = [
            (Role::Leader, leader_figures),
            (Role::Follower, mean(&followers)),
            (Role::Hollow, hollow),
            (Role::Sidecar, sidecar),
            (Role::Fleet, fleet),
        ];
        let line = |(role, measured)| Record {
            sweep: plan.sweep.as_ref().map_or(Sweep::Events, |s| s.over.into()),
            mode: self.mode,
            step: number,
            event: event.map(|e| e.name().to_owned()),
            at,
            role,
            seconds,
            measured,
            failed: None,
            seed: plan.seed,
            commit: self.commit.to_owned(),
        };
        roles.into_iter().map(line).collect()
    }
}

/// The mean of each figure that all have.
fn mean(figures: &[BTreeMap<String, f64>]) -> BTreeMap<String, f64> {
    let Some((first, others)) = figures.split_first() else { return BTreeMap::new() };
    let sum = |key: &String, value: f64| others.iter().try_fold(value, |sum, o| Some(sum + o.get(key)?));
    first
        .iter()
        .filter_map(|(key, value)| Some((key.clone(), sum(key, *value)? / figures.len() as f64)))
        .collect()
}

/// The index of a name; 0 if no name is given.
fn index_of(name: Option<&String>, names: &[String]) -> Option<usize> {
    name.map_or(Some(0), |name| names.iter().position(|n| n == name))
}

fn killed_replica(which: KilledReplica, leader: usize) -> usize {
    match which {
        KilledReplica::Leader => leader,
        KilledReplica::Follower => (leader + 1) % REPLICAS,
    }
}

/// Injects the event, and waits for the end of the step. Returns the time at which the fault ended, from which on all
/// sidecars can recover.
fn inject_event(
    deployment: &Deployment,
    plan: &Plan,
    event: Option<&EventSpec>,
    leader: usize,
    duration: Duration,
) -> io::Result<i64> {
    let end = Instant::now() + duration;
    std::thread::sleep(EVENT_DELAY.min(duration));
    let mut fault_end = monotonic();
    match event {
        None | Some(EventSpec::Steady {}) => {}
        Some(EventSpec::ReplicaKilled { which }) => {
            deployment.registry.kill(killed_replica(*which, leader))?
        }
        Some(EventSpec::WatchesLost {}) => deployment.reset_connections()?,
        Some(EventSpec::ZoneOutage { zone, for_s, killed }) => {
            let zone = index_of(zone.as_ref(), &plan.zones).unwrap_or(0);
            let outage = Duration::from_secs_f64(*for_s);
            if *killed {
                deployment.kill_zone(zone)?;
                std::thread::sleep(outage);
                fault_end = monotonic();
                deployment.start_zone(zone)?;
            } else {
                deployment.pause_zone(zone)?;
                std::thread::sleep(outage);
                fault_end = monotonic();
                deployment.resume_zone(zone)?;
            }
        }
        Some(EventSpec::RegionCut { region, for_s }) => {
            let proxies = deployment.region_proxies(index_of(region.as_ref(), &plan.regions).unwrap_or(0));
            proxies.iter().for_each(|proxy| proxy.set_link(Link::cut()));
            std::thread::sleep(Duration::from_secs_f64(*for_s));
            fault_end = monotonic();
            proxies.iter().for_each(|proxy| proxy.set_link(Link::default()));
        }
    }
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    Ok(fault_end)
}

/// Changes the list at a constant rate. Returns the acknowledged changes, and the number of those that were tried.
fn write_changes(
    deployment: &Deployment,
    mode: Mode,
    per_s: f64,
    duration: Duration,
    first: usize,
    senders: &[Sender<(u64, i64)>],
) -> (Vec<Change>, usize) {
    let (started, mut replica, mut changes) = (Instant::now(), 0, Vec::new());
    let count = (duration.as_secs_f64() * per_s).floor() as usize;
    for i in 0..count {
        let due = started + Duration::from_secs_f64((i as f64 + 0.5) / per_s);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if started.elapsed() > duration {
            return (changes, i);
        }
        let server = deployment.topology.change_order[(first + i) % deployment.topology.change_order.len()];
        let body = deployment.registration(server, first + i + 1).to_string();
        let path = format!("/v1/servers/{}", server_name(server));
        match deployment.write("PUT", &path, &body, &mut replica, WRITE_TIMEOUT) {
            Ok(index) => {
                let change = Change { index, server, at: monotonic() };
                changes.push(change);
                for (sender, calls) in senders.iter().zip(&deployment.topology.sidecar_calls) {
                    if deployment.topology.concerns(mode, calls, server) {
                        // Fails only if the polling thread failed, which `run_window` reports.
                        let _ = sender.send((change.index, change.at));
                    }
                }
            }
            Err(error) => tracing::warn!("{error}"),
        }
    }
    (changes, count)
}

/// Polls a sidecar for the index of its list until it has applied each change. Returns the delays since the changes
/// were acknowledged.
fn measure_apply_delays(
    index: impl Fn() -> Option<u64>,
    changes: &Receiver<(u64, i64)>,
) -> io::Result<Histogram<u64>> {
    let mut delays = latency_histogram()?;
    for (change, acknowledged_at) in changes {
        let started = Instant::now();
        let applied = loop {
            if index().is_some_and(|index| index >= change) {
                break true;
            }
            if started.elapsed() > APPLY_TIMEOUT {
                break false;
            }
            // The longer it takes, the less often the sidecar is polled, as polls cost its processor time.
            let pause = started.elapsed() / 10;
            std::thread::sleep(pause.clamp(Duration::from_millis(1), Duration::from_millis(50)));
        };
        let delay = if applied { monotonic() - acknowledged_at } else { APPLY_TIMEOUT.as_micros() as i64 };
        delays.saturating_record(u64::try_from(delay).unwrap_or(0).max(1));
    }
    Ok(delays)
}
