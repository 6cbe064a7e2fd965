//! The balancer: a state machine from [`Event`]s to [`Action`]s.
//!
//! The way of a request: `admit` (or shed), `dispatch` to the endpoint that `choose` picks (the next turn of
//! a weighted round robin, past open circuits and full endpoints) with `send`; when the attempt has ended,
//! `record_outcome` and `attempt_ended`. Then the request is answered and removed by `complete_request`, or
//! `schedule_retry` leads back to `dispatch` after a backoff, or `reject_or_fail` gives the final answer.

mod admission;
mod circuit_breaker;
mod concurrency_limit;
mod dispatch;
mod endpoint_list;
mod health;
mod idempotency;
mod retry;
mod selection;
mod slow_start;

use crate::attempt::{Attempt, InFlightAttempt};
use crate::circuit::{Circuit, Health};
use crate::decaying_sum::DecayingSum;
use crate::endpoint::{Endpoint, first_trial_at, load_and_limits};
use crate::latency::LatencyEstimates;
use crate::load_shedding::LoadShedding;
use crate::log::RateLimitedLog;
use crate::quota::QuotaUsage;
use crate::request::{Request, RequestState};
use crate::timers::{MAX_DURATION_US, Timer, Timers, after};
use crate::{
    Action, AttemptEnd, AttemptNumber, ClassId, DedupScope, DiscoveryMode, EndpointEntry, EndpointId,
    EndpointListUpdate, EndpointStatus, Event, Idempotency, Micros, NewRequest, Outcome, RequestId, Settings,
    SettingsError,
};
use circuit_breaker::{MAX_TRIAL_BUDGET, TRIALS_PER_REQUEST};
use dispatch::QUEUE_TIMEOUT_SHARE;
use retry::{MAX_RETRY_BUDGET, RETRIES_PER_REQUEST};
use selection::{Choice, RoundRobin};
use slow_start::Throughput;
use std::collections::{BTreeMap, BTreeSet};

/// Clock readings beyond this are taken as this.
const MAX_CLOCK_US: Micros = Micros::MAX / 4;

/// The decisions of one sidecar. Feed it events in order; it answers with actions.
pub struct Balancer {
    /// Time of the event being handled, and its actions so far.
    now: Micros,
    actions: Vec<Action>,
    settings: Settings,
    rng: fastrand::Rng,
    endpoints: Vec<Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for capacity, by [`Request::queue_key`].
    queue: BTreeSet<(bool, Micros, RequestId)>,
    timers: Timers,
    latency: LatencyEstimates,
    shedding: LoadShedding,
    quotas: QuotaUsage,
    round_robin: RoundRobin,
    throughput: Throughput,
    longest_deadline: f64,
    /// Retries that may be sent; each first attempt adds a part of one.
    retry_budget: f64,
    /// Trials of open circuits that may be sent; each request adds a part of one.
    trial_budget: f64,
    subscribed: bool,
    discovery_failures: u32,
    log: RateLimitedLog,
}

impl Balancer {
    /// A fresh instance; fails on settings under which no request could be decided.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            now: 0,
            actions: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            endpoints: Vec::new(),
            requests: BTreeMap::new(),
            queue: BTreeSet::new(),
            timers: Timers::default(),
            latency: LatencyEstimates::new(&settings),
            shedding: LoadShedding::new(&settings),
            quotas: QuotaUsage::new(settings.tenants.len()),
            round_robin: RoundRobin::default(),
            throughput: Throughput::default(),
            longest_deadline: settings.longest_deadline() as f64,
            retry_budget: MAX_RETRY_BUDGET,
            trial_budget: MAX_TRIAL_BUDGET,
            subscribed: false,
            discovery_failures: 0,
            log: RateLimitedLog::default(),
            settings,
        })
    }

    /// Takes one event that happens at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now.clamp(-MAX_CLOCK_US, MAX_CLOCK_US);
        if !self.subscribed && self.settings.discovery == DiscoveryMode::Polled {
            self.subscribed = true;
            self.actions.push(Action::Subscribe(true));
        }
        match event {
            Event::EndpointList(update) => self.apply_endpoint_list(update),
            Event::EndpointReleased(endpoint) => self.release_endpoint(endpoint),
            Event::Cordoned(endpoint) => self.set_cordoned(endpoint, true),
            Event::Uncordoned(endpoint) => self.set_cordoned(endpoint, false),
            Event::RequestReceived(new) => self.admit(new),
            Event::StreamStarted { request, attempt } => self.stream_started(request, attempt),
            Event::AttemptEnded(end) => self.attempt_ended(end),
            Event::BodyReceived { request, deadline } => self.body_received(request, deadline),
            Event::RequestAbandoned(id) => self.complete_request(id, Some(false)),
            Event::Timer(token) => self.on_timer(token),
            Event::HealthCheckEnded { .. } | Event::PeerMessage { .. } => {}
        }
        self.serve_queue();
        self.timers.arm(self.now, &mut self.actions);
        out.append(&mut self.actions);
    }

    fn on_timer(&mut self, token: u64) {
        while let Some(timer) = self.timers.pop_expired(self.now, token) {
            match timer {
                Timer::Deadline(id) | Timer::QueueTimeout(id) if self.has_expired(id) => {
                    self.reject_or_fail(id);
                }
                Timer::Retry(id) if self.is_in_backoff(id) => self.dispatch(id),
                Timer::Resubscribe => self.actions.push(Action::Subscribe(true)),
                _ => {}
            }
        }
    }
}
