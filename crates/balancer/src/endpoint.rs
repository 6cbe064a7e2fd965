//! State of an endpoint.

use crate::attempt::{Attempt, InFlightAttempts};
use crate::circuit::{Circuit, Health};

use crate::{ClassId, DedupScope, MachineTypeId, Micros, Outcome, Rules, ZoneId};
use std::collections::BTreeMap;

/// Failed connections in a row that indicate a restart of the process.
const RESTART_CONNECT_FAILURES: u32 = 2;
const MIN_CAPACITY_SHARE: f64 = 0.01;

#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) zone: Option<ZoneId>,
    pub(crate) cell: u64,
    pub(crate) machine_type: Option<MachineTypeId>,
    pub(crate) listed_ready: bool,
    pub(crate) cordoned: bool,
    pub(crate) size: f64,
    /// When its process started, as listed or as inferred.
    pub(crate) started_at: Option<Micros>,
    /// Virtual time of its next turn in the weighted round robin.
    pub(crate) next_turn: f64,
    pub(crate) last_sent_at: Micros,
    pub(crate) in_flight: InFlightAttempts,
    pub(crate) health: Health,
    /// Failed connections since its last answer, and when the first of them failed.
    pub(crate) connect_failures: u32,
    pub(crate) first_connect_failure_at: Micros,
    pub(crate) class_health: BTreeMap<ClassId, Health>,
    pub(crate) latency_per_work: f64,
    /// Latency per unit of work without queueing; 0 before any answer.
    pub(crate) unloaded_latency: f64,
    pub(crate) concurrency_limit: f64,
    /// Work that it may be sent in slow start, as of `budget_updated_at`.
    pub(crate) slow_start_budget: f64,
    pub(crate) budget_updated_at: Micros,
    /// 0 to 1: evidence of more than the guaranteed capacity, from answers in time while requests waited.
    pub(crate) spare_capacity_score: f64,
}

impl Endpoint {
    pub(crate) fn is_ready(&self) -> bool {
        self.listed_ready && !self.cordoned
    }

    pub(crate) fn is_available(&self) -> bool {
        self.is_ready() && self.health.circuit == Circuit::Closed
    }

    /// The circuit that applies to requests of the class: the endpoint's own unless that is closed.
    pub(crate) fn circuit_for(&self, class: ClassId) -> Circuit {
        match self.health.circuit {
            Circuit::Closed => self.class_health.get(&class).map_or(Circuit::Closed, |h| h.circuit),
            open => open,
        }
    }

    pub(crate) fn serves(&self, class: ClassId) -> bool {
        self.is_ready() && self.circuit_for(class) == Circuit::Closed
    }

    pub(crate) fn health_mut(&mut self, now: Micros, class: Option<ClassId>) -> &mut Health {
        match class {
            None => &mut self.health,
            Some(class) => self.class_health.entry(class).or_insert(Health::unknown(now)),
        }
    }

    pub(crate) fn has_trial_in_flight(&self, class: ClassId) -> bool {
        match self.health.circuit {
            Circuit::Closed => self.in_flight.any_of_class(class),
            Circuit::Open(_) => !self.in_flight.is_empty(),
        }
    }

    /// Guaranteed share of its full capacity, which grows linearly to 1 during slow start.
    pub(crate) fn capacity_share(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at).max(0) as f64 / (rules.slow_start_duration as f64).max(1.0);
        let initial = rules.initial_capacity_share;
        (initial + (1.0 - initial) * age).clamp(MIN_CAPACITY_SHARE, 1.0)
    }

    pub(crate) fn deduplicates(&self, attempt: &Attempt, scope: DedupScope) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == attempt.zone,
            DedupScope::Cell => self.cell == attempt.cell,
        }
    }

    /// Discards what was learnt about a process that has been replaced, except an open circuit.
    pub(crate) fn reset_for_new_process(&mut self, latency_per_work: f64) {
        self.health.error_rate = 0.0;
        self.class_health.clear();
        self.connect_failures = 0;
        self.latency_per_work = latency_per_work;
    }

    /// Counts failed connections since the last answer. Only several in a row indicate a restart, which an
    /// answer to an earlier attempt disproves: a mistaken slow start costs capacity for seconds.
    pub(crate) fn count_connect_failure(&mut self, now: Micros, outcome: Outcome, duration: f64) {
        if outcome == Outcome::ConnectFailed {
            let is_first = self.connect_failures == 0;
            self.first_connect_failure_at = if is_first { now } else { self.first_connect_failure_at };
            self.connect_failures += 1;
            return;
        }
        let sent_before = now - (duration as Micros) < self.first_connect_failure_at;
        if outcome == Outcome::Ok && (self.is_available() || sent_before) {
            self.connect_failures = 0;
        }
    }

    /// Whether failed connections indicate a restart since the last answer; resets their count.
    pub(crate) fn take_inferred_restart(&mut self) -> bool {
        std::mem::take(&mut self.connect_failures) >= RESTART_CONNECT_FAILURES
    }
}

/// Attempts in flight at available endpoints, plus the next one, and the sum of their concurrency limits.
pub(crate) fn load_and_limits(endpoints: &[Endpoint]) -> (f64, f64) {
    let available = endpoints.iter().filter(|e| e.is_available());
    available.fold((1.0, 0.0), |(load, limits), e| (load + e.in_flight.load(), limits + e.concurrency_limit))
}

/// When the first trial is due, if the circuits of all ready endpoints are open.
pub(crate) fn first_trial_at(endpoints: &[Endpoint]) -> Option<Micros> {
    let trial = |e: &Endpoint| if let Circuit::Open(until) = e.health.circuit { until } else { Micros::MIN };
    let first = endpoints.iter().filter(|e| e.is_ready()).map(trial).min();
    first.filter(|until| *until != Micros::MIN)
}
