//! One schedule: three replicas, calls and faults, all drawn from a seed.

mod calls;
mod faults;
mod recovery;
mod replica;
mod setup;

use super::Totals;
use super::check::check;
use super::clock::{STEP, Step};
use super::defect::Defect;
use super::history::{Call, CallResult, History, Observation};
use super::network::{Message, Network, Request, Response};
use super::readers::Readers;
use super::violation::Violation;
use crate::raft::{CallError, runtime};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replica::{RunningReplica, SimulatedReplica};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// The replicas' ids.
const REPLICAS: RangeInclusive<u64> = 1..=3;
/// The number of steps in which faults are injected.
const FAULT_STEPS: Step = 1500;
/// Steps from one observation of the replicas to the next.
const OBSERVATION_STEPS: Step = 20;
/// The probability of a call in a step.
const CALL_PROBABILITY: f64 = 0.1;
/// The probability of a fault in a step.
const FAULT_PROBABILITY: f64 = 0.012;
/// The probability that a schedule's network is slow.
const SLOW_NETWORK_PROBABILITY: f64 = 0.2;
/// The longest delay in a fast network.
const FAST_NETWORK_DELAY: Step = 2;
/// Makes the network's random numbers independent of those of the schedule.
const NETWORK_SEED_MASK: u64 = 0x6e65_7477;

/// The result of a schedule.
#[derive(Debug)]
pub struct ScheduleResult {
    /// What happened.
    pub totals: Totals,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// A log of faults, to find the cause of a violation.
    pub timeline: Vec<String>,
}

type SharedCalls = Arc<Mutex<Vec<Call>>>;

struct Schedule {
    rng: ChaCha8Rng,
    network: Network,
    replicas: BTreeMap<u64, SimulatedReplica>,
    now: Step,
    /// The current step, for tasks that record the end of a call.
    clock: Arc<AtomicU64>,
    calls: SharedCalls,
    history: History,
    defect: Option<Defect>,
    timeline: Vec<String>,
    faults: u64,
    violations: Vec<Violation>,
    /// The start time of the endpoint that registered last.
    last_started_ms: i64,
    readers: Readers,
}

/// Runs the schedule of a seed.
pub fn run_schedule(seed: u64, defect: Option<Defect>) -> ScheduleResult {
    let mut schedule = Schedule::new(seed, defect);
    schedule.set_up();
    while schedule.violations.is_empty() && schedule.now < FAULT_STEPS {
        schedule.draw_events();
        schedule.step();
    }
    schedule.recover();
    schedule.into_result()
}

impl Schedule {
    fn new(seed: u64, defect: Option<Defect>) -> Self {
        runtime::seed(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_slow = rng.random_bool(SLOW_NETWORK_PROBABILITY);
        let max_delay = if is_slow { rng.random_range(3..15) } else { FAST_NETWORK_DELAY };
        let network = Network::new(ChaCha8Rng::seed_from_u64(seed ^ NETWORK_SEED_MASK), max_delay);
        Self {
            rng,
            network,
            replicas: BTreeMap::new(),
            now: 0,
            clock: Arc::default(),
            calls: SharedCalls::default(),
            history: History::default(),
            defect,
            timeline: Vec::new(),
            faults: 0,
            violations: Vec::new(),
            last_started_ms: 0,
            readers: Readers::new(seed),
        }
    }

    /// Checks the history and counts its events.
    fn into_result(mut self) -> ScheduleResult {
        let mut history = std::mem::take(&mut self.history);
        history.calls = std::mem::take(&mut *self.calls.lock().unwrap_or_else(PoisonError::into_inner));
        history.reader_updates = self.readers.take_updates();
        // After a failed setup or recovery the history lacks the changes to compare with.
        if self.violations.is_empty() {
            self.violations = check(&history);
        }
        ScheduleResult {
            totals: totals(&history, self.faults),
            violations: self.violations,
            timeline: self.timeline,
        }
    }

    fn note(&mut self, event: String) {
        self.timeline.push(format!("{:.2} s: {event}", self.now as f64 * STEP.as_secs_f64()));
    }

    fn running(&self, id: u64) -> Option<&RunningReplica> {
        self.replicas.get(&id).and_then(|replica| replica.running.as_ref())
    }

    /// Draws what happens in this step: replicas that return, calls and faults.
    fn draw_events(&mut self) {
        let now = self.now;
        let due = self.replicas.iter().filter(|(_, r)| r.returns_at.is_some_and(|at| at <= now));
        let returning: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in returning {
            self.bring_back(id);
        }
        if self.rng.random_bool(CALL_PROBABILITY) {
            self.start_call();
        }
        self.start_reader_call();
        if self.rng.random_bool(FAULT_PROBABILITY) {
            self.inject_fault();
        }
    }

    /// Advances the network and all replicas by one step.
    fn step(&mut self) {
        self.now += 1;
        self.clock.store(self.now, Ordering::Relaxed);
        for message in self.network.deliver(self.now) {
            match message {
                Message::Request(request) => self.deliver_request(request),
                Message::Response(response) => drop(response.reply.send(response.answer)),
            }
        }
        for replica in self.replicas.values_mut() {
            replica.step();
        }
        if self.now.is_multiple_of(OBSERVATION_STEPS) {
            self.observe();
        }
    }

    fn deliver_request(&self, request: Request) {
        let Some(running) = self.running(request.to) else {
            // The replica is down: the connection is refused.
            let _ = request.reply.send(Err(CallError::NotSent("refused".into())));
            return;
        };
        let node = running.node.clone();
        let network = self.network.clone();
        running.runtime.spawn(async move {
            let answer = node.handle_peer_call(request.rpc, &request.body).await;
            let answer = answer.map_err(|e| CallError::Rejected(e.into()));
            let Request { from, to, reply, .. } = request;
            let response = Response { answer, reply };
            network.send(to, from, Message::Response(response));
        });
    }

    /// Records the version and digest of every running replica.
    fn observe(&mut self) {
        for (id, replica) in &self.replicas {
            let Some(running) = &replica.running else { continue };
            let state = running.node.applied_state().state();
            let version = state.list.version();
            if version.epoch > 0 {
                let digest = state.list.digest();
                self.history.observations.push(Observation { replica: *id, at: self.now, version, digest });
            }
        }
    }
}

fn totals(history: &History, faults: u64) -> Totals {
    let is_answered = |call: &&Call| {
        call.result().is_some_and(|result| !matches!(result, CallResult::Unknown | CallResult::Failed))
    };
    let answered_calls = history.calls.iter().filter(is_answered).count() as u64;
    let woken = history.reader_updates.iter().filter(|update| update.woken == Some(true));
    Totals {
        answered_calls,
        unanswered_calls: history.calls.len() as u64 - answered_calls,
        faults,
        reader_updates: history.reader_updates.len() as u64,
        woken_readers: woken.count() as u64,
    }
}

#[cfg(test)]
mod tests;
