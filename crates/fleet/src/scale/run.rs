//! Plays a plan: step after step, or event after event, and measures.

use super::deployment::{Deployment, REPLICAS, START_TIMEOUT, server_name, within};
use super::hollow::Activity;
use super::lines::{Line, Lines, Mode, Role, StepSizes, Sweep};
use super::monotonic;
use super::plan::{EventSpec, KilledReplica, Plan, Sizes};
use super::propagation::{Change, join, latencies, milliseconds};
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

/// What came of a step.
#[derive(Clone, Debug)]
pub struct StepResult {
    /// What readers were told.
    pub mode: Mode,
    /// Its sizes.
    pub sizes: Sizes,
    /// What happened.
    pub event: Option<&'static str>,
    /// The figures, role by role.
    pub lines: Vec<Line>,
    /// Changes that were acknowledged.
    pub changes: usize,
    /// Readers that had not been told of a change that concerns them at the end, summed over changes.
    pub undelivered: u64,
    /// Readers whose last call had failed at the end.
    pub failing: usize,
    /// Lists that were older than the one before. That never may be.
    pub regressions: u64,
    /// Readers that came back from a failure.
    pub recovered: usize,
}

/// After a step all readers come back within this, or count as away.
const SETTLE: Duration = Duration::from_secs(60);
/// An event begins so long after its step does.
const LEAD: Duration = Duration::from_secs(1);
/// A change that is not acknowledged within this is given up.
const WRITE: Duration = Duration::from_secs(10);
/// A sidecar is asked no longer whether it has a change.
const IN_FORCE: Duration = Duration::from_secs(20);

/// Plays a plan. Lines go to the new file `out` as they come; `commit` names the text that runs.
pub fn run_plan(
    plan: &Plan,
    out: Option<&Path>,
    commit: &str,
    bar: &ProgressBar,
) -> io::Result<Vec<StepResult>> {
    for sizes in plan.sizes() {
        plan.modes.iter().try_for_each(|mode| room(&Topology::new(plan, &sizes), *mode, &sizes))?;
    }
    let mut out = match out {
        Some(path) => Some(Lines::create(path).map_err(io::Error::other)?),
        None => None,
    };
    bar.set_length((plan.sizes().len() * plan.event.len().max(1) * plan.modes.len()) as u64);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} {bar:30} {pos}/{len} {msg}") {
        bar.set_style(style);
    }
    let mut steps: Vec<StepResult> = Vec::new();
    for (number, sizes) in plan.sizes().iter().enumerate() {
        for mode in &plan.modes {
            let said = format!("{}: {} hollow, {} listed", mode.name(), sizes.hollow, sizes.listed);
            bar.set_message(format!("{said}, starting"));
            let mut play = Play::start(plan, *sizes, *mode, commit)?;
            let events: Vec<Option<&EventSpec>> =
                if plan.event.is_empty() { vec![None] } else { plan.event.iter().map(Some).collect() };
            for (place, event) in events.into_iter().enumerate() {
                bar.set_message(format!("{said}, {}", event.map_or("steady", EventSpec::name)));
                let step = play.step(if event.is_some() { place } else { number } as u32 + 1, event)?;
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

/// Refuses what would take more than half of the machine's memory.
fn room(topology: &Topology, mode: Mode, sizes: &Sizes) -> io::Result<()> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let kb = text
        .lines()
        .find_map(|l| l.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    let half = kb.ok_or(io::ErrorKind::InvalidData)? * 1024 / 2;
    let wanted = topology.bytes(mode);
    if wanted > half {
        return Err(io::Error::other(format!(
            "{} hollow readers of {} listed servers, mode {}, would hold some {:.1} GB, and half of this machine's memory is {:.1} GB",
            sizes.hollow,
            sizes.listed,
            mode.name(),
            wanted as f64 / 1e9,
            half as f64 / 1e9
        )));
    }
    Ok(())
}

/// What has been counted until an instant.
struct Look {
    at: Instant,
    replicas: Vec<Option<Duration>>,
    whole_lists: Vec<Option<f64>>,
    sidecars: Vec<Option<Duration>>,
    hollows: Vec<Option<Duration>>,
    taken: Vec<Activity>,
}

struct Play<'p> {
    plan: &'p Plan,
    sizes: Sizes,
    mode: Mode,
    commit: &'p str,
    deployment: Deployment,
    /// Changes that were tried since the start.
    turn: usize,
    /// What each hollow reader put into use, and when.
    told: BTreeMap<usize, Vec<(u64, i64)>>,
    /// Lists that went back, since this was last asked.
    went_back: u64,
}

/// What a step's threads brought home.
struct Seen {
    changes: Vec<Change>,
    in_force: Histogram<u64>,
    direct: Histogram<u64>,
    through: Histogram<u64>,
    not_served: u64,
    /// All may be back from this instant on.
    mended: i64,
}

/// A step as it was measured.
struct Window {
    leader: usize,
    before: Look,
    after: Look,
    watches: Vec<Option<f64>>,
    seen: Seen,
}

impl<'p> Play<'p> {
    fn start(plan: &'p Plan, sizes: Sizes, mode: Mode, commit: &'p str) -> io::Result<Self> {
        let cut = |event: &EventSpec| match event {
            EventSpec::RegionCut { region, .. } => place(region.as_ref(), &plan.regions),
            _ => None,
        };
        let cut: Vec<usize> = plan.event.iter().filter_map(cut).collect();
        let mut deployment = Deployment::start(plan, &sizes, mode, &cut)?;
        deployment.start_hollow_sidecars(plan)?;
        let ready = |d: &Deployment| {
            let all = d.hollow_status().is_ok_and(|s| s.with_list == sizes.hollow && s.failing == 0);
            all && d.sidecars.iter().all(|s| s.index().is_some_and(|index| index > 0))
        };
        let up = within(START_TIMEOUT, "all sidecars have a list", || ready(&deployment));
        up.map_err(|e| match deployment.ended() {
            Some(ended) => io::Error::other(ended),
            None => io::Error::other(format!("{e}: {:?}", deployment.hollow_status())),
        })?;
        Ok(Self { plan, sizes, mode, commit, deployment, turn: 0, told: BTreeMap::new(), went_back: 0 })
    }

    fn look(&mut self) -> io::Result<Look> {
        let d = &self.deployment;
        let cpu = |ids: Vec<u32>| ids.into_iter().map(used_cpu).collect();
        let look = Look {
            at: Instant::now(),
            replicas: (0..REPLICAS).map(|at| d.registry.pid(at).and_then(used_cpu)).collect(),
            whole_lists: (0..REPLICAS).map(|at| d.metric(at, "roster_whole_lists_total")).collect(),
            sidecars: cpu(d.sidecar_pids()),
            hollows: cpu(d.hollow_pids()),
            taken: d.take_activity()?,
        };
        self.note(&look.taken);
        Ok(look)
    }

    fn note(&mut self, taken: &[Activity]) {
        self.went_back += taken.iter().map(|t| t.regressions).sum::<u64>();
        for (reader, index, at) in taken.iter().flat_map(|t| &t.applied) {
            self.told.entry(*reader as usize).or_default().push((*index, *at));
        }
    }

    fn step(&mut self, number: u32, event: Option<&EventSpec>) -> io::Result<StepResult> {
        self.told.clear();
        let leader = (0..200).find_map(|_| {
            let found = self.deployment.registry.leader();
            if found.is_none() {
                std::thread::sleep(Duration::from_millis(50));
            }
            found
        });
        let leader = leader.ok_or_else(|| io::Error::other("no replica leads"))?;
        let before = self.look()?;
        self.told.clear();
        let seen = self.window(event, leader)?;
        let after = self.look()?;
        let watches: Vec<Option<f64>> =
            (0..REPLICAS).map(|at| self.deployment.metric(at, "roster_watchers")).collect();
        let mut back: Vec<(i64, i64)> =
            after.taken.iter().flat_map(|t| t.recoveries.iter().copied()).collect();
        if let Some(EventSpec::ReplicaKilled { which }) = event {
            self.deployment.registry.start_replica(struck(*which, leader))?;
        }
        // Until all are back and have been told.
        let began = Instant::now();
        let (told, untold, away) = loop {
            let taken = self.deployment.take_activity()?;
            self.note(&taken);
            back.extend(taken.iter().flat_map(|t| t.recoveries.iter().copied()));
            let (told, untold) = join(&seen.changes, &self.deployment.topology, self.mode, &self.told)?;
            let status = self.deployment.hollow_status()?;
            let settled = untold == 0 && status.failing == 0 && status.oldest_outcome >= seen.mended;
            if settled || began.elapsed() > SETTLE {
                break (told, untold, status.failing);
            }
            std::thread::sleep(Duration::from_millis(100));
        };
        if let Some(EventSpec::ReplicaKilled { .. }) = event {
            let same = || {
                let all: Vec<_> = (0..REPLICAS).map(|at| self.deployment.registry.status(at)).collect();
                let index = |at: usize| all[at].as_ref().map(|s| s["index"].clone());
                index(0).is_some() && (1..REPLICAS).all(|at| index(at) == index(0))
            };
            within(START_TIMEOUT, "all replicas are well", same)?;
        }
        if let Some(ended) = self.deployment.ended() {
            return Err(io::Error::other(ended));
        }
        back.retain(|(_, until)| *until >= seen.mended);
        let mut fleet = BTreeMap::new();
        milliseconds("told", &told, &mut fleet);
        if event.is_some_and(|e| !matches!(e, EventSpec::Steady {})) {
            let last = back.iter().map(|(_, until)| until - seen.mended).max().unwrap_or(0);
            fleet.insert("back_ms".into(), last as f64 / 1000.0);
        }
        fleet.insert("untold".into(), untold as f64);
        fleet.insert("away".into(), away as f64);
        let window = Window { leader, before, after, watches, seen };
        let lines = self.lines(number, event, &window, fleet);
        let seen = window.seen;
        Ok(StepResult {
            mode: self.mode,
            sizes: self.sizes,
            event: event.map(EventSpec::name),
            lines,
            changes: seen.changes.len(),
            undelivered: untold,
            failing: away,
            regressions: std::mem::take(&mut self.went_back),
            recovered: back.len(),
        })
    }

    /// Load, changes and the event, for as long as a step is measured.
    fn window(&mut self, event: Option<&EventSpec>, leader: usize) -> io::Result<Seen> {
        let (plan, d, mode) = (self.plan, &self.deployment, self.mode);
        let length = Duration::from_secs_f64(plan.seconds);
        // One past each sidecar for each way through one, in turn.
        let routes: Vec<Route> = d
            .sidecars
            .iter()
            .zip(d.backends.iter().cycle())
            .flat_map(|(sidecar, ledger)| [Route { to: *ledger }, Route { to: sidecar.address }])
            .collect();
        let first = self.turn;
        let (answered, written, in_force, mended) = std::thread::scope(|scope| {
            let (rate, seed) = (2.0 * plan.rate, plan.seed);
            let load = scope.spawn(move || open_loop(&routes, rate, length, seed));
            let (mut news, mut pollers) = (Vec::new(), Vec::new());
            for sidecar in &d.sidecars {
                let (sender, receiver) = channel();
                news.push(sender);
                pollers.push(scope.spawn(move || in_force(|| sidecar.index(), &receiver)));
            }
            let changes_per_s = self.sizes.changes_per_s;
            let writer = scope.spawn(move || write(d, mode, changes_per_s, length, first, &news));
            let mended = happen(d, plan, event, leader, length);
            let gone = || io::Error::other("a thread failed");
            let answered = load.join().unwrap_or_else(|_| Err(gone()));
            let written = writer.join().map_err(|_| gone());
            let in_force: Vec<_> =
                pollers.into_iter().map(|p| p.join().unwrap_or_else(|_| Err(gone()))).collect();
            (answered, written, in_force, mended)
        });
        let (changes, tried) = written?;
        self.turn += tried;
        let mut seen = Seen {
            changes,
            in_force: latencies()?,
            direct: latencies()?,
            through: latencies()?,
            not_served: 0,
            mended: mended?,
        };
        for (at, one) in answered?.into_iter().enumerate() {
            let sum = if at % 2 == 0 { &mut seen.direct } else { &mut seen.through };
            sum.add(&one.latencies).map_err(io::Error::other)?;
            seen.not_served += if at % 2 == 0 { 0 } else { one.not_served };
        }
        for one in in_force {
            seen.in_force.add(&one?).map_err(io::Error::other)?;
        }
        Ok(seen)
    }

    fn lines(
        &self,
        number: u32,
        event: Option<&EventSpec>,
        window: &Window,
        mut fleet: BTreeMap<String, f64>,
    ) -> Vec<Line> {
        let Window { leader, before, after, watches, seen } = window;
        let leader = *leader;
        let (d, plan) = (&self.deployment, self.plan);
        let seconds = (after.at - before.at).as_secs_f64();
        let rate = |n: f64| n / seconds;
        let cpu = |a: &Option<Duration>, b: &Option<Duration>| {
            Some(rate(b.as_ref()?.checked_sub(*a.as_ref()?)?.as_secs_f64() * 1e6))
        };
        // A process that was started anew counts from its own start.
        let grown = |a: u64, b: u64| if b >= a { b - a } else { b } as f64;
        let by = |of: fn(&Activity) -> &Vec<u64>, at: usize| -> f64 {
            let pairs = before.taken.iter().zip(&after.taken);
            pairs.map(|(a, b)| grown(of(a)[at], of(b)[at])).sum()
        };
        let all = |of: fn(&Activity) -> &Vec<u64>| (0..REPLICAS).map(|at| by(of, at)).sum::<f64>();
        let renewals: f64 =
            before.taken.iter().zip(&after.taken).map(|(a, b)| grown(a.renewals, b.renewals)).sum();
        let (writes, renewals) = (rate(seen.changes.len() as f64), rate(renewals));

        let replica = |at: usize| -> BTreeMap<String, f64> {
            let mut m = BTreeMap::new();
            let mut put = |name: &str, value: Option<f64>| m.extend(value.map(|v| (name.to_owned(), v)));
            put("cpu_us_per_s", cpu(&before.replicas[at], &after.replicas[at]));
            put("rss_bytes", d.registry.pid(at).and_then(resident_kb).map(|kb| kb as f64 * 1024.0));
            put("wire_bytes_per_s", Some(rate(by(|t| &t.bytes, at))));
            put("answers_per_s", Some(rate(by(|t| &t.responses, at))));
            let whole = before.whole_lists[at].zip(after.whole_lists[at]).filter(|(a, b)| b >= a);
            put("whole_lists_per_s", whole.map(|(a, b)| rate(b - a)));
            put("watches", watches[at]);
            put("entries", Some(self.sizes.listed as f64));
            m
        };
        let mut of_leader = replica(leader);
        of_leader.insert("writes_per_s".into(), writes);
        of_leader.insert("renewals_per_s".into(), renewals);
        let followers: Vec<_> = (0..REPLICAS).filter(|at| *at != leader).map(replica).collect();

        let readers = self.sizes.hollow as f64;
        let sum = |a: &[Option<Duration>], b: &[Option<Duration>]| -> Option<f64> {
            a.iter().zip(b).map(|(a, b)| cpu(a, b)).sum()
        };
        let rss = |ids: Vec<u32>| -> Option<f64> {
            ids.into_iter().map(|id| Some(resident_kb(id)? as f64 * 1024.0)).sum()
        };
        let entries = |calls: &Vec<Vec<usize>>| {
            let one = |c: &Vec<usize>| match self.mode {
                Mode::Whole => d.topology.service_of_server.len(),
                Mode::Services => c.iter().map(|s| d.topology.servers_per_service[*s]).sum(),
            };
            calls.iter().map(one).sum::<usize>() as f64 / calls.len().max(1) as f64
        };
        let mut hollow = BTreeMap::new();
        hollow.extend(sum(&before.hollows, &after.hollows).map(|v| ("cpu_us_per_s".to_owned(), v / readers)));
        hollow.extend(rss(d.hollow_pids()).map(|v| ("rss_bytes".to_owned(), v / readers)));
        hollow.insert("wire_bytes_per_s".into(), rate(all(|t| &t.bytes)) / readers);
        hollow.insert("answers_per_s".into(), rate(all(|t| &t.responses)) / readers);
        hollow.insert("whole_lists_per_s".into(), rate(all(|t| &t.snapshots)) / readers);
        hollow.insert("entries".into(), entries(&d.topology.hollow_calls));

        let sidecars = d.sidecars.len() as f64;
        let mut sidecar = BTreeMap::new();
        sidecar.extend(
            sum(&before.sidecars, &after.sidecars).map(|v| ("cpu_us_per_s".to_owned(), v / sidecars)),
        );
        sidecar.extend(rss(d.sidecar_pids()).map(|v| ("rss_bytes".to_owned(), v / sidecars)));
        sidecar.insert("entries".into(), entries(&d.topology.sidecar_calls));
        milliseconds("in_force", &seen.in_force, &mut sidecar);
        if !seen.direct.is_empty() && !seen.through.is_empty() {
            for (key, q) in [("added_us_p50", 0.5), ("added_us_p99", 0.99)] {
                let added =
                    seen.through.value_at_quantile(q) as f64 - seen.direct.value_at_quantile(q) as f64;
                sidecar.insert(key.into(), added);
            }
        }
        sidecar.insert("not_served".into(), seen.not_served as f64);

        fleet.insert("answers_per_s".into(), rate(all(|t| &t.responses)));
        fleet.insert("whole_lists_per_s".into(), rate(all(|t| &t.snapshots)));
        fleet.insert("wire_bytes_per_s".into(), rate(all(|t| &t.bytes)));
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
            (Role::Leader, of_leader),
            (Role::Follower, mean(&followers)),
            (Role::Hollow, hollow),
            (Role::Sidecar, sidecar),
            (Role::Fleet, fleet),
        ];
        let line = |(role, measured)| Line {
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

/// The mean of what all have.
fn mean(of: &[BTreeMap<String, f64>]) -> BTreeMap<String, f64> {
    let Some((first, others)) = of.split_first() else { return BTreeMap::new() };
    let all = |key: &String, value: f64| others.iter().try_fold(value, |sum, o| Some(sum + o.get(key)?));
    first.iter().filter_map(|(key, value)| Some((key.clone(), all(key, *value)? / of.len() as f64))).collect()
}

fn place(name: Option<&String>, all: &[String]) -> Option<usize> {
    name.map_or(Some(0), |name| all.iter().position(|n| n == name))
}

fn struck(which: KilledReplica, leader: usize) -> usize {
    match which {
        KilledReplica::Leader => leader,
        KilledReplica::Follower => (leader + 1) % REPLICAS,
    }
}

/// Lets the event happen, and returns once the step's time is over: the instant from which on all may be back.
fn happen(
    d: &Deployment,
    plan: &Plan,
    event: Option<&EventSpec>,
    leader: usize,
    length: Duration,
) -> io::Result<i64> {
    let end = Instant::now() + length;
    std::thread::sleep(LEAD.min(length));
    let mut mended = monotonic();
    match event {
        None | Some(EventSpec::Steady {}) => {}
        Some(EventSpec::ReplicaKilled { which }) => d.registry.kill(struck(*which, leader))?,
        Some(EventSpec::WatchesLost {}) => d.reset()?,
        Some(EventSpec::ZoneAway { zone, for_s, killed }) => {
            let zone = place(zone.as_ref(), &plan.zones).unwrap_or(0);
            let away = Duration::from_secs_f64(*for_s);
            if *killed {
                d.kill_zone(zone)?;
                std::thread::sleep(away);
                mended = monotonic();
                d.start_zone(zone)?;
            } else {
                d.hold_zone(zone)?;
                std::thread::sleep(away);
                mended = monotonic();
                d.let_zone_go_on(zone)?;
            }
        }
        Some(EventSpec::RegionCut { region, for_s }) => {
            let ways = d.ways(place(region.as_ref(), &plan.regions).unwrap_or(0));
            ways.iter().for_each(|way| way.set_link(Link::cut()));
            std::thread::sleep(Duration::from_secs_f64(*for_s));
            mended = monotonic();
            ways.iter().for_each(|way| way.set_link(Link::default()));
        }
    }
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    Ok(mended)
}

/// Changes the list at an even pace; gives what was acknowledged, and how many changes were tried.
fn write(
    d: &Deployment,
    mode: Mode,
    per_s: f64,
    length: Duration,
    first: usize,
    news: &[Sender<(u64, i64)>],
) -> (Vec<Change>, usize) {
    let (began, mut at, mut changes) = (Instant::now(), 0, Vec::new());
    let count = (length.as_secs_f64() * per_s).floor() as usize;
    for i in 0..count {
        let due = began + Duration::from_secs_f64((i as f64 + 0.5) / per_s);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if began.elapsed() > length {
            return (changes, i);
        }
        let server = d.topology.change_order[(first + i) % d.topology.change_order.len()];
        let body = d.registration(server, first + i + 1).to_string();
        let path = format!("/v1/servers/{}", server_name(server));
        match d.write("PUT", &path, &body, &mut at, WRITE) {
            Ok(index) => {
                let change = Change { index, server, at: monotonic() };
                changes.push(change);
                for (sender, calls) in news.iter().zip(&d.topology.sidecar_calls) {
                    if d.topology.concerns(mode, calls, server) {
                        // Whoever asks sidecars has ended only where that failed, which is told there.
                        let _ = sender.send((change.index, change.at));
                    }
                }
            }
            Err(error) => tracing::warn!("{error}"),
        }
    }
    (changes, count)
}

/// Asks a sidecar for the index of its list until it has each change; gives how long after its acknowledgement that was.
fn in_force(index: impl Fn() -> Option<u64>, news: &Receiver<(u64, i64)>) -> io::Result<Histogram<u64>> {
    let mut all = latencies()?;
    for (wanted, at) in news {
        let began = Instant::now();
        let had = loop {
            if index().is_some_and(|index| index >= wanted) {
                break true;
            }
            if began.elapsed() > IN_FORCE {
                break false;
            }
            // Where it takes long, it is asked less often: what asks costs the sidecar as well.
            let pause = began.elapsed() / 10;
            std::thread::sleep(pause.clamp(Duration::from_millis(1), Duration::from_millis(50)));
        };
        let took = if had { monotonic() - at } else { IN_FORCE.as_micros() as i64 };
        all.saturating_record(u64::try_from(took).unwrap_or(0).max(1));
    }
    Ok(all)
}
