//! The balancer: a state machine from [`Event`]s to [`Action`]s.
//!
//! Life cycle of a request: `admit` sheds it or calls `dispatch`, which calls `send` for the endpoint that
//! `choose` picks: the next one in a weighted round robin that is not full and has no open circuit. When the
//! attempt ends, `attempt_ended` updates the endpoint (`record_outcome`) and calls `complete_request`,
//! `schedule_retry` (back to `dispatch` after a backoff) or `reject_or_fail`, which gives the final answer.

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

/// Clock readings are clamped to plus or minus this value.
const MAX_CLOCK_US: Micros = Micros::MAX / 4;

/// The decision logic of one sidecar: takes events in order and returns actions.
pub struct Balancer {
    /// Time of the event being handled, and the actions that it has caused so far.
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
    /// Retries that may be sent (token bucket); each request adds a fraction of one.
    retry_budget: f64,
    /// Trials of open circuits that may be sent (token bucket); each request adds a fraction of one.
    trial_budget: f64,
    subscribed: bool,
    discovery_failures: u32,
    log: RateLimitedLog,
}

impl Balancer {
    /// Creates a balancer; fails if the settings are invalid.
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

    /// Handles an event that occurred at `now` and appends the resulting actions to `out`.
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
            Event::RequestAbandoned(id) => self.abandon(id),
            Event::Timer(token) => self.on_timer(token),
            Event::HealthCheckEnded { .. } | Event::PeerMessage { .. } => {}
        }
        self.serve_queue();
        self.timers.discard_completed(|id| self.requests.contains_key(&id));
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
