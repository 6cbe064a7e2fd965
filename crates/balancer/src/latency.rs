//! Estimates of latency per unit of work (endpoints, machine types, the fleet) and of work (classes).

use crate::decaying_sum::decay;
use crate::endpoint::Endpoint;
use crate::{ClassId, MachineTypeId, Micros, Settings};
use std::collections::BTreeMap;

/// Weight of the newest answer in moving averages.
const ENDPOINT_GAIN: f64 = 0.2;
const FLEET_GAIN: f64 = 0.02;
const CLASS_WORK_GAIN: f64 = 0.002;
/// Weight once the unloaded latency is known: overload must not be learnt as the normal latency.
const UNLOADED_GAIN: f64 = 0.00001;
/// Answers after which the unloaded latency is known.
const MIN_ANSWERS: f64 = 50.0;
/// Maximum growth factor of an endpoint's unloaded latency with each answer.
const UNLOADED_GROWTH: f64 = 1.0005;
/// Assumed work of a class before any answer, as a share of its latency objective.
const INITIAL_WORK_SHARE: f64 = 1.0 / 8.0;
/// An endpoint's estimates decay over this many deadlines without outcomes.
const STALE_AFTER_DEADLINES: f64 = 4.0 / 3.0;
/// Target mean latency as a share of the objective: in a queue, one answer in twenty takes 3 times the mean.
const TARGET_OBJECTIVE_SHARE: f64 = 0.35;
/// Maximum target latency, as a multiple of the unloaded latency.
const MAX_TARGET_FACTOR: f64 = 3.6;
/// Caps on samples, as multiples of the estimate that they update.
const MAX_FLEET_SAMPLE_FACTOR: f64 = 20.0;
const MAX_MACHINE_TYPE_SAMPLE_FACTOR: f64 = 4.0;
const MIN_WEIGHT_FACTOR: f64 = 0.1;
const MAX_WEIGHT_FACTOR: f64 = 2.0;

/// Estimates for the fleet. Latencies are per unit of expected work.
pub(crate) struct LatencyEstimates {
    pub(crate) stale_after: f64,
    pub(crate) class_work: Vec<f64>,
    pub(crate) mean_work: f64,
    /// Mean expected work of a request, as a share of its latency objective.
    objective_share: f64,
    pub(crate) per_work: f64,
    /// Latency of each machine type, and when it was last updated.
    by_machine_type: BTreeMap<Option<MachineTypeId>, (f64, Micros)>,
    answers: f64,
    /// Latency without queueing.
    unloaded: f64,
}

impl LatencyEstimates {
    pub(crate) fn new(settings: &Settings) -> Self {
        let initial_work = settings.classes.iter().map(|c| c.latency_objective as f64 * INITIAL_WORK_SHARE);
        let class_work: Vec<_> = initial_work.collect();
        Self {
            stale_after: STALE_AFTER_DEADLINES * settings.longest_deadline() as f64,
            mean_work: class_work.iter().sum::<f64>() / class_work.len().max(1) as f64,
            class_work,
            objective_share: INITIAL_WORK_SHARE,
            per_work: 1.0,
            by_machine_type: BTreeMap::new(),
            answers: 0.0,
            unloaded: 1.0,
        }
    }

    /// Expected work of a request, averaged with the mean, or endpoints would look slow for tiny requests.
    pub(crate) fn record_request(&mut self, own_work: f64, objective: f64) -> f64 {
        self.mean_work += FLEET_GAIN * (own_work - self.mean_work);
        let work = (own_work + self.mean_work) / 2.0;
        self.objective_share += FLEET_GAIN * (work / objective - self.objective_share);
        work
    }

    /// An endpoint's latency, which reverts to its type's as samples age: with many sidecars they are few.
    pub(crate) fn endpoint_latency(&self, now: Micros, endpoint: &Endpoint) -> f64 {
        let machine_type = self.by_machine_type.get(&endpoint.machine_type).map_or(self.per_work, |t| t.0);
        let known = decay(now, endpoint.health.last_outcome_at, self.stale_after);
        machine_type + (endpoint.latency_per_work - machine_type) * known
    }

    /// Factor on an endpoint's round-robin weight: 1 if it is as fast as the fleet.
    pub(crate) fn weight(&self, now: Micros, endpoint: &Endpoint) -> f64 {
        (self.per_work / self.endpoint_latency(now, endpoint)).clamp(MIN_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR)
    }

    /// The mean latency up to which concurrency limits grow.
    pub(crate) fn target(&self, endpoint: &Endpoint) -> f64 {
        let unloaded = self.unloaded.max(endpoint.unloaded_latency);
        (TARGET_OBJECTIVE_SHARE / self.objective_share).min(MAX_TARGET_FACTOR * unloaded)
    }

    pub(crate) fn sample(&self, duration: f64, work: f64) -> f64 {
        (duration / work.max(1.0)).min(MAX_FLEET_SAMPLE_FACTOR * self.per_work)
    }

    pub(crate) fn record_sample(&mut self, now: Micros, endpoint: &mut Endpoint, sample: f64) {
        let latency = self.endpoint_latency(now, endpoint);
        endpoint.latency_per_work = latency + ENDPOINT_GAIN * (sample - latency);
        let known = self.by_machine_type.entry(endpoint.machine_type).or_insert((self.per_work, now));
        let gain = (1.0 - decay(now, known.1, self.stale_after)).max(FLEET_GAIN);
        let sample = sample.min(MAX_MACHINE_TYPE_SAMPLE_FACTOR * known.0);
        *known = (known.0 + gain * (sample - known.0), now);
    }

    pub(crate) fn record_answer(&mut self, sample: f64, duration: f64, class: ClassId, objective: f64) {
        self.per_work += FLEET_GAIN * (sample - self.per_work);
        self.answers += 1.0;
        let is_known = self.per_work >= self.unloaded && self.answers >= MIN_ANSWERS;
        let gain = if is_known { UNLOADED_GAIN } else { ENDPOINT_GAIN };
        self.unloaded += gain * (self.per_work - self.unloaded);
        let work = &mut self.class_work[class];
        *work += CLASS_WORK_GAIN * ((duration / self.per_work).min(objective) - *work);
    }
}

impl Endpoint {
    /// Follows decreases of its latency at once and increases slowly. The fleet's unloaded latency is that of
    /// the fastest machine types, against which slower ones would look overloaded when idle.
    pub(crate) fn update_unloaded_latency(&mut self) {
        let first = self.unloaded_latency == 0.0;
        let increased = (self.unloaded_latency * UNLOADED_GROWTH).min(self.latency_per_work);
        self.unloaded_latency = if first { self.latency_per_work } else { increased };
    }
}
