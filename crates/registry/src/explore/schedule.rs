//! One schedule: three replicas, calls, and faults, drawn from a seed.

use super::check::{Broken, Call, Changed, Done, History, Op, check};
use super::disk::Disk;
use super::net::{Answered, Arrives, Net, Sim, Step};
use super::readers::Readers;
use crate::core::freshness::Reading;
use crate::core::list::{Command, Outcome, Refusal, Registration};
use crate::node::{Node, Settings, WriteError};
use crate::raft::{CallError, runtime};
use crate::store::{Format, Store};
use lotusmoor_registry_client::{Entry, Status, StatusReason};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Runtime;

/// A step of the explorer's clock.
pub(super) const STEP: Duration = Duration::from_millis(10);
/// Steps with faults, and steps after them in which all must come to itself.
const FAULTS: Step = 1500;
const REST: Step = 1200;
const EPOCH: u64 = 1000;

/// Something that is done wrongly, to see that it is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Disks say that they have synced, and have not.
    DisksLie,
    /// A read that is to have all acknowledged is answered from what a replica has.
    ReadsAreLocal,
    /// Replicas say of their lists that they are new.
    AgesLie,
    /// Writes are acknowledged that are not at a majority.
    AcknowledgedEarly,
    /// A server that goes over to another service stays with the readers of the one before.
    HandOversLeaveNoTombstone,
    /// Tombstones are forgotten, and readers who would need them are told changes all the same.
    FloorsAreIgnored,
    /// Readers of services are told of all servers.
    AllAreTold,
    /// Readers of services who wait are not woken.
    WakesAreLost,
    /// Replicas have digests of their own for readers of services.
    DigestsDiffer,
}

/// What a schedule came to.
#[derive(Debug)]
pub struct Played {
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that were not, or with nothing certain.
    pub unanswered: u64,
    /// Faults.
    pub faults: u64,
    /// Answers to readers of services, and how many of these woke a reader.
    pub told: (u64, u64),
    /// What broke.
    pub broken: Vec<Broken>,
    /// What was done, for who looks for the cause.
    pub timeline: Vec<String>,
}

struct Place {
    disk: Disk,
    /// A replica that runs, with its runtime.
    up: Option<(Runtime, Node<Sim>)>,
    /// It is held, and how long so far.
    held: Option<Step>,
    back_at: Option<Step>,
}

type Calls = Arc<Mutex<Vec<Call>>>;

struct Schedule {
    rng: ChaCha8Rng,
    net: Net,
    places: BTreeMap<u64, Place>,
    now: Step,
    /// The step, for those who note the end of a call.
    clock: Arc<std::sync::atomic::AtomicU64>,
    calls: Calls,
    history: History,
    wrong: Option<Wrong>,
    timeline: Vec<String>,
    faults: u64,
    broken: Vec<Broken>,
    since: i64,
    readers: Readers,
}

fn new(seed: u64, wrong: Option<Wrong>) -> Schedule {
    runtime::seed(seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let longest = if rng.random_bool(0.2) { rng.random_range(3..15) } else { 2 };
    let net = Net::new(ChaCha8Rng::seed_from_u64(seed ^ 0x6e65_7477), longest);
    Schedule {
        rng,
        net,
        places: BTreeMap::new(),
        now: 0,
        clock: Arc::default(),
        calls: Calls::default(),
        history: History::default(),
        wrong,
        timeline: Vec::new(),
        faults: 0,
        broken: Vec::new(),
        since: 0,
        readers: Readers::new(seed),
    }
}

/// Plays a schedule.
pub fn play(seed: u64, wrong: Option<Wrong>) -> Played {
    let mut s = new(seed, wrong);
    s.begin();
    while s.broken.is_empty() && s.now < FAULTS {
        s.draw();
        s.step();
    }
    s.end();
    let mut history = std::mem::take(&mut s.history);
    history.calls = std::mem::take(&mut *s.calls.lock().unwrap_or_else(PoisonError::into_inner));
    history.told = s.readers.told();
    let woken = history.told.iter().filter(|t| t.woken == Some(true)).count() as u64;
    let told = (history.told.len() as u64, woken);
    let certain = |c: &&Call| c.done.as_ref().is_some_and(|d| !matches!(d.1, Done::Unknown | Done::Failed));
    let answered = history.calls.iter().filter(certain).count() as u64;
    let mut broken = std::mem::take(&mut s.broken);
    // Without a list at the end there is nothing to compare with.
    if broken.is_empty() {
        broken = check(&history);
    }
    Played {
        answered,
        unanswered: history.calls.len() as u64 - answered,
        faults: s.faults,
        told,
        broken,
        timeline: std::mem::take(&mut s.timeline),
    }
}

impl Schedule {
    fn note(&mut self, what: String) {
        self.timeline.push(format!("{:.2} s: {what}", self.now as f64 * STEP.as_secs_f64()));
    }

    fn settings(id: u64) -> Settings {
        let mut settings = Settings::new(id, format!("replica-{id}"));
        // Snapshots come often, so that they are part of what is explored.
        (settings.snapshot_every, settings.retained_log_entries) = (20, 5);
        settings
    }

    fn start(&mut self, id: u64) -> bool {
        let disk = self.places.entry(id).or_insert_with(|| Place {
            disk: Disk::default(),
            up: None,
            held: None,
            back_at: None,
        });
        disk.disk.set(false, self.wrong == Some(Wrong::DisksLie));
        let open = disk.disk.open();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(error) => {
                self.broken.push(Broken::Stuck(format!("no runtime: {error}")));
                return false;
            }
        };
        let transport = Sim { net: self.net.clone(), id };
        let started = runtime.block_on(async {
            let database = redb::Database::builder().set_cache_size(1 << 20).create_with_backend(open);
            let database = database.map_err(|e| e.to_string())?;
            let store = Store::from_database(database, Format::NEWEST).map_err(|e| e.to_string())?;
            let node = Node::start(Self::settings(id), store, transport, id + 100).await;
            node.map_err(|e| e.to_string())
        });
        match started {
            Ok(node) => {
                if let Some(place) = self.places.get_mut(&id) {
                    place.up = Some((runtime, node));
                }
                true
            }
            Err(what) => {
                self.broken.push(Broken::Stuck(format!("replica {id} does not start: {what}")));
                false
            }
        }
    }

    /// The list is founded by one replica, which takes the others in.
    fn begin(&mut self) {
        for id in 1..=3 {
            if !self.start(id) {
                return;
            }
        }
        let done = self.found_and_take_in();
        for _ in 0..3000 {
            self.step();
            let result = done.lock().unwrap_or_else(PoisonError::into_inner).take();
            match result {
                Some(Ok(())) => {
                    self.history.founded = EPOCH << crate::core::list::EPOCH_SHIFT;
                    return;
                }
                Some(Err(what)) => return self.broken.push(Broken::Stuck(format!("not founded: {what}"))),
                None => {}
            }
        }
        self.broken.push(Broken::Stuck("not founded".into()));
    }

    /// The first founds, and takes the others in; what that comes to is told later.
    fn found_and_take_in(&self) -> Arc<Mutex<Option<Result<(), String>>>> {
        let done = Arc::new(Mutex::new(None));
        if let Some((runtime, node)) = self.places.get(&1).and_then(|p| p.up.as_ref()) {
            let (node, others) = (node.clone(), [2, 3].map(|id| (id, self.own(id))));
            let done = Arc::clone(&done);
            runtime.spawn(async move {
                let mut result =
                    node.bootstrap_cluster(EPOCH, None).await.map(drop).map_err(|e| e.to_string());
                for (id, replica) in others {
                    if result.is_ok() {
                        result = node.add_member(id, replica).await.map_err(|e| e.to_string());
                    }
                }
                *done.lock().unwrap_or_else(PoisonError::into_inner) = Some(result);
            });
        }
        done
    }

    fn own(&self, id: u64) -> crate::raft::Replica {
        let up = self.places.get(&id).and_then(|p| p.up.as_ref());
        up.map(|(_, node)| node.own().clone()).unwrap_or_default()
    }

    /// One step of every replica that is up and not held.
    fn step(&mut self) {
        self.now += 1;
        self.clock.store(self.now, std::sync::atomic::Ordering::Relaxed);
        for arrives in self.net.arrivals(self.now) {
            match arrives {
                Arrives::Call(call) => {
                    let place = self.places.get(&call.to);
                    let Some((runtime, node)) = place.and_then(|p| p.up.as_ref()) else {
                        // Nobody is there: the connection is refused.
                        let answer = Err(CallError::NotSent("refused".into()));
                        let _ = call.reply.send(answer);
                        continue;
                    };
                    let (node, net) = (node.clone(), self.net.clone());
                    runtime.spawn(async move {
                        let answer = node.handle_peer_call(call.rpc, &call.body).await;
                        let answer = answer.map_err(|e| CallError::Rejected(e.into()));
                        let back = Answered { from: call.to, to: call.from, answer, reply: call.reply };
                        net.send(back.from, back.to, Arrives::Answer(back));
                    });
                }
                Arrives::Answer(answered) => drop(answered.reply.send(answered.answer)),
            }
        }
        let ids: Vec<u64> = self.places.keys().copied().collect();
        for id in ids {
            let Some(place) = self.places.get_mut(&id) else { continue };
            if let Some(held) = &mut place.held {
                *held += 1;
                continue;
            }
            let Some((runtime, _)) = &place.up else { continue };
            runtime.block_on(async {
                tokio::time::advance(STEP).await;
                for _ in 0..30 {
                    tokio::task::yield_now().await;
                }
            });
        }
        if self.now.is_multiple_of(20) {
            self.look();
        }
    }

    /// What every replica has.
    fn look(&mut self) {
        for (id, place) in &self.places {
            if let Some((_, node)) = &place.up {
                let state = node.applied_state().state();
                let version = state.list.version();
                if version.epoch > 0 {
                    self.history.seen.push((*id, self.now, version, state.list.digest()));
                }
            }
        }
    }

    // ---- Faults ----

    fn draw(&mut self) {
        let due: Vec<u64> = self
            .places
            .iter()
            .filter(|(_, p)| p.back_at.is_some_and(|at| at <= self.now))
            .map(|p| *p.0)
            .collect();
        for id in due {
            self.bring_back(id);
        }
        if self.rng.random_bool(0.1) {
            self.call();
        }
        self.readers_call();
        if self.rng.random_bool(0.012) {
            self.fault();
        }
    }

    fn bring_back(&mut self, id: u64) {
        let Some(place) = self.places.get_mut(&id) else { return };
        place.back_at = None;
        if let Some(held) = place.held.take() {
            if let Some((runtime, _)) = &place.up {
                // Its clock has gone on without it.
                runtime.block_on(tokio::time::advance(STEP * u32::try_from(held).unwrap_or(u32::MAX)));
            }
            self.note(format!("replica {id} goes on after {held} steps"));
        } else if place.up.is_none() {
            self.note(format!("replica {id} starts again"));
            self.start(id);
        }
    }

    fn crash(&mut self, id: u64) {
        let Some(place) = self.places.get_mut(&id) else { return };
        place.held = None;
        if let Some((runtime, node)) = place.up.take() {
            // What it still does is void, on disk as well.
            place.disk.crash(&mut self.rng);
            runtime.shutdown_background();
            drop(node);
        }
    }

    fn fault(&mut self) {
        self.faults += 1;
        let id = self.rng.random_range(1..=3u64);
        let other = 1 + (id + self.rng.random_range(0..2u64)) % 3;
        let steps = self.rng.random_range(20..600);
        match self.rng.random_range(0..9) {
            0 => {
                self.note(format!("cut {id} to {other}, one way"));
                self.net.state().cuts.insert((id, other));
            }
            1 => {
                self.note(format!("replica {id} is cut off"));
                for o in (1..=3).filter(|o| *o != id) {
                    self.net.state().cuts.extend([(id, o), (o, id)]);
                }
            }
            2 | 3 => {
                self.note("all links are whole".into());
                let mut net = self.net.state();
                net.cuts.clear();
                net.loss = 0.0;
            }
            4 => {
                let loss = self.rng.random_range(0.0..0.4);
                self.note(format!("a share of {loss:.2} is lost"));
                self.net.state().loss = loss;
            }
            5 | 6 => {
                self.note(format!("replica {id} crashes, for {steps} steps"));
                self.crash(id);
                self.back(id, steps);
            }
            7 => {
                let up = self.places.get_mut(&id).filter(|p| p.up.is_some() && p.held.is_none());
                if let Some(place) = up {
                    place.held = Some(0);
                    self.note(format!("replica {id} is held for {steps} steps"));
                    self.back(id, steps);
                }
            }
            _ if self.rng.random_bool(0.4) => {
                self.note("all replicas crash".into());
                for id in 1..=3 {
                    self.crash(id);
                    let steps = self.rng.random_range(1..100);
                    self.back(id, steps);
                }
            }
            _ => {
                self.note(format!("the disk of {id} is full for {steps} steps"));
                if let Some(place) = self.places.get(&id) {
                    place.disk.set(true, self.wrong == Some(Wrong::DisksLie));
                }
                // A replica whose disk fails ends, and is started again once there is room.
                self.back(id, steps);
                let node = self.places.get(&id).and_then(|p| p.up.as_ref()).map(|(_, n)| n.clone());
                if node.is_some() {
                    for _ in 0..50 {
                        self.step();
                    }
                    self.crash(id);
                }
            }
        }
    }

    fn back(&mut self, id: u64, steps: Step) {
        let at = self.now + steps;
        if let Some(place) = self.places.get_mut(&id) {
            place.back_at = Some(place.back_at.map_or(at, |b| b.max(at)));
        }
    }

    // ---- Calls ----

    fn call(&mut self) {
        let id = self.rng.random_range(1..=3u64);
        let name = format!("s{}", self.rng.random_range(0..4));
        let known = |s: &Self| {
            let place = s.places.get(&id).and_then(|p| p.up.as_ref());
            place
                .and_then(|(_, n)| n.applied_state().state().list.entries().get(&name).map(|k| k.changed))
                .unwrap_or(0)
        };
        let expect = match self.rng.random_range(0..4) {
            0 => Some(known(self)),
            1 if self.rng.random_bool(0.3) => Some(0),
            _ => None,
        };
        let what = self.rng.random_range(0..10);
        let op = match what {
            0..=3 => Op::Write { name: name.clone(), status: Status::Active, expect },
            4 => Op::Write { name: name.clone(), status: Status::Draining, expect },
            5 => Op::Write { name: name.clone(), status: Status::Removed, expect },
            6 | 7 => Op::ReadLatest,
            _ => Op::Read { replica: id },
        };
        let Some((runtime, node)) = self.places.get(&id).and_then(|p| p.up.as_ref()) else { return };
        self.since += 1;
        let node = node.clone();
        let (calls, clock, wrong) = (Arc::clone(&self.calls), Arc::clone(&self.clock), self.wrong);
        let number = {
            let mut calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
            calls.push(Call { op: op.clone(), asked: self.now + 1, done: None });
            calls.len() - 1
        };
        let server = (self.since, self.readers.service());
        runtime.spawn(async move {
            let done = carry_out(&node, op, server, wrong).await;
            let at = clock.load(std::sync::atomic::Ordering::Relaxed);
            calls.lock().unwrap_or_else(PoisonError::into_inner)[number].done = Some((at, done));
        });
    }

    fn readers_call(&mut self) {
        let Some(id) = self.readers.draw() else { return };
        let up = self.places.get(&id).filter(|p| p.held.is_none()).and_then(|p| p.up.as_ref());
        let Some((runtime, node)) = up else { return };
        if let Some(call) = self.readers.call(node, self.now, self.wrong) {
            runtime.spawn(call);
        }
    }

    // ---- The end ----

    /// All faults end; then all must be well.
    fn end(&mut self) {
        if !self.broken.is_empty() {
            return;
        }
        self.note("all faults end".into());
        {
            let mut net = self.net.state();
            net.cuts.clear();
            net.loss = 0.0;
        }
        for id in 1..=3 {
            if let Some(place) = self.places.get(&id) {
                place.disk.set(false, self.wrong == Some(Wrong::DisksLie));
            }
            self.bring_back(id);
            let stopped = self
                .places
                .get(&id)
                .and_then(|p| p.up.as_ref())
                .is_some_and(|(_, n)| n.raft().metrics().borrow().running_state.is_err());
            if stopped {
                self.crash(id);
                self.bring_back(id);
            }
        }
        for _ in 0..REST {
            if self.now.is_multiple_of(40) {
                self.call();
            }
            self.readers_call();
            self.step();
        }
        let tail = self.now;
        // Nothing more is asked; what is under way ends.
        for _ in 0..600 {
            self.step();
        }
        let ended = |s: &Self| {
            let calls = s.calls.lock().unwrap_or_else(PoisonError::into_inner);
            let late = calls.iter().filter(|c| c.asked + 100 > tail - 400);
            late.filter(|c| {
                matches!(c.done, Some((_, Done::Wrote { .. } | Done::Expected(_) | Done::Absent)))
            })
            .count()
        };
        if ended(self) == 0 {
            self.broken.push(Broken::Stuck("no write is answered".into()));
        }
        let mut last = Vec::new();
        for (id, place) in &self.places {
            let Some((_, node)) = &place.up else { continue };
            let state = node.applied_state().state();
            last.push((*id, state.list.version(), state.list.digest()));
            if self.history.changes.is_empty() {
                let changed = |c: &crate::core::list::Change| Changed {
                    index: c.index,
                    name: c.name.clone(),
                    status: c.status,
                    expired: c.why == StatusReason::Expired,
                };
                self.history.changes = state.list.history(0).map(changed).collect();
            }
        }
        if last.iter().any(|l| (l.1, l.2) != (last[0].1, last[0].2)) || last.len() != 3 {
            self.broken.push(Broken::Stuck(format!("replicas differ: {last:?}")));
        }
        if let Some((runtime, node)) = self.places.get(&1).and_then(|p| p.up.as_ref()) {
            let _clock = runtime.enter();
            self.readers.end(node, self.wrong);
        }
        self.look();
    }
}

async fn carry_out(
    node: &Node<Sim>,
    op: Op,
    (since_ms, service): (i64, Option<String>),
    wrong: Option<Wrong>,
) -> Done {
    match op {
        Op::Write { name, status, expect } => {
            let command = match status {
                Status::Active => {
                    let entry = Entry {
                        name,
                        address: ([127, 0, 0, 1], 80).into(),
                        service,
                        zone: None,
                        region: None,
                        machine_type: None,
                        cell: 0,
                        status,
                        weight: 1.0,
                        started_ms: since_ms,
                        status_reason: StatusReason::Registered,
                    };
                    Command::Put { servers: vec![Registration { entry, lease_ms: 0 }], expect, at_ms: 0 }
                }
                Status::Draining => Command::Drain { name, expect, at_ms: 0 },
                Status::Removed => Command::Remove { name, expect, at_ms: 0 },
            };
            match node.write(command).await {
                Ok(Outcome::Done { version, changed }) => Done::Wrote { version, changed },
                Ok(Outcome::Refused(Refusal::Expected { found, .. })) => Done::Expected(found),
                Ok(Outcome::Refused(Refusal::Unknown(_))) => Done::Absent,
                Err(WriteError::OutcomeUnknown(_)) if wrong == Some(Wrong::AcknowledgedEarly) => {
                    let mut version = node.applied_state().state().list.version();
                    version.index += 1;
                    Done::Wrote { version, changed: true }
                }
                Err(WriteError::OutcomeUnknown(_) | WriteError::Stopped(_)) => Done::Unknown,
                Ok(_) | Err(WriteError::NoLeader | WriteError::RateLimited(_)) => Done::Failed,
            }
        }
        Op::ReadLatest if wrong == Some(Wrong::ReadsAreLocal) => {
            let update = node.read(None).update;
            Done::Saw { version: update.version, digest: update.digest, age: 0 }
        }
        Op::ReadLatest => match node.read_latest().await {
            Ok(update) => Done::Saw { version: update.version, digest: update.digest, age: 0 },
            Err(_) => Done::Failed,
        },
        Op::Read { .. } => {
            let read = node.read(None);
            let step = STEP.as_micros() as i64;
            match read.reading {
                Reading::Plain(age) | Reading::Marked(age) => {
                    let age = if wrong == Some(Wrong::AgesLie) { 0 } else { age };
                    let age = u64::try_from((age + step - 1) / step).unwrap_or(0);
                    Done::Saw { version: read.update.version, digest: read.update.digest, age }
                }
                Reading::Refused => Done::Failed,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn joint(s: &Schedule, id: u64) -> bool {
        let up = s.places.get(&id).and_then(|p| p.up.as_ref());
        up.is_some_and(|(_, n)| {
            let metrics = n.raft().metrics();
            let metrics = metrics.borrow();
            metrics.membership_config.membership().get_joint_config().len() > 1
        })
    }

    // Until it is ended, a majority of those before is wanted as well as one of those after, for good.
    #[test]
    fn a_change_of_who_belongs_that_its_leader_left_half_done_is_ended_by_the_next() {
        let mut s = new(5, None);
        (1..=3).for_each(|id| assert!(s.start(id), "{:?}", s.broken));
        s.found_and_take_in();
        let mut left = 0;
        for _ in 0..3000 {
            s.step();
            // It has come to another, and the leader ends.
            if left == 0 && joint(&s, 1) && joint(&s, 2) {
                s.crash(1);
                left = s.now;
                s.back(1, 300);
            }
            if left > 0 && s.now >= left + 300 {
                s.bring_back(1);
                break;
            }
        }
        assert!(left > 0, "who belongs was never half changed");
        (0..1500).for_each(|_| s.step());
        let views: Vec<_> = (1..=2).map(|id| joint(&s, id)).collect();
        assert_eq!(views, [false, false], "{:?}", s.timeline);
    }
}
