//! Settings of a balancer, and their decoding.

mod decode;
mod error;

pub use decode::{DecodedSettings, decode};
pub use error::{DecodeError, SettingsError, ValidRange};

use crate::ids::{Micros, ZoneId};

/// Which endpoints deduplicate a retry with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint.
    All,
    /// Those in the zone of the endpoint that may have executed it.
    Zone,
    /// Those in the cell of the endpoint that may have executed it.
    Cell,
}

/// Whether a request that may have been executed may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It carries an idempotency key: endpoints in `scope` deduplicate it for `ttl` after the earliest
    /// attempt that may have been executed.
    WithKey {
        /// Which endpoints deduplicate.
        scope: DedupScope,
        /// How long they deduplicate.
        ttl: Micros,
    },
    /// It must never be executed twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency objective: an answer within this time has its full value in the simulator's score.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// How long a client waits, over all its retries.
    pub deadline: Micros,
    /// Share of that value that an answer after the latency objective still has.
    pub late_value_share: f64,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Whether and how it may be executed twice.
    pub idempotency: Idempotency,
    /// Responses are streamed.
    pub streaming: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its quota in requests per second, over all sidecars.
    pub quota_per_s: f64,
    /// Its share of the service's capacity.
    pub capacity_share: f64,
}

/// How the endpoint list reaches a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed.
    Pushed,
    /// Only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpointList`](crate::Action::FetchEndpointList).
    Polled,
}

/// What the `size` of an [`EndpointEntry`](crate::EndpointEntry) means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Always 1.
    Unweighted,
    /// The size as registered, or an estimate of it.
    Nominal,
    /// Size divided by a load that was measured some time before.
    Live,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With the ends of attempts and health checks.
    Piggybacked,
    /// With health checks only.
    HealthCheck,
    /// There are none.
    Unavailable,
}

/// What the balancer may do, and bounds on it.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Longest `Retry-After` that clients honour.
    pub max_retry_after: Micros,
    /// Whether rejections carry a `Retry-After`.
    pub sends_retry_after: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub may_hedge: bool,
    /// Whether endpoints may be sent health checks.
    pub may_health_check: bool,
    /// Whether messages may be sent to peers.
    pub may_gossip: bool,
    /// A connection not established within this time has failed.
    pub connect_timeout: Micros,
}

/// Parameters of the rules of the sidecar protocol (retries, drains, slow start), which the operators define.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the deadline a final answer still counts.
    pub answer_grace: Micros,
    /// Longest time between two polls of discovery without a subscription.
    pub max_poll_interval: Micros,
    /// Guaranteed share of its full capacity that an endpoint has at its start.
    pub initial_capacity_share: f64,
    /// Longest time from its start until an endpoint has its full capacity (slow start).
    pub slow_start_duration: Micros,
    /// An endpoint in slow start collapses under more than this multiple of its current capacity, if that
    /// load lasts for `overload_collapse_after`.
    pub overload_factor: f64,
    /// How long a load of more than `overload_factor` has to last for an endpoint to collapse.
    pub overload_collapse_after: Micros,
}

/// Costs that the simulator deducts from its score, in points. The balancer only decodes them.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// For attempts that cross zones.
    pub cross_zone: f64,
    /// For work whose answer was not used.
    pub waste: f64,
    /// For the value of requests that were answered after their latency objective, or failed.
    pub late_or_failed: f64,
    /// For health checks.
    pub health_check: f64,
    /// For new connections.
    pub handshake: f64,
}

/// Weights of the components of the simulator's score. The balancer only decodes them.
#[derive(Clone, Debug, Default)]
pub struct ScoreWeights {
    /// Score over the whole run.
    pub overall: f64,
    /// Score of the worst-served class.
    pub worst_class: f64,
    /// Score of the worst-served tenant.
    pub worst_tenant: f64,
    /// Score of the worst time window.
    pub worst_window: f64,
}

/// Settings of a balancer, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of balancers in the fleet.
    pub instances: u32,
    /// This balancer's number among them.
    pub index: u32,
    /// This balancer's zone.
    pub zone: Option<ZoneId>,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// What listed sizes mean.
    pub weights: WeightSource,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// What the balancer may do.
    pub limits: Limits,
    /// Parameters of the protocol's rules.
    pub rules: Rules,
    /// Costs that the simulator deducts from its score.
    pub prices: Prices,
    /// Weights of the simulator's score.
    pub goal: ScoreWeights,
    /// Factor on the priority weight of traffic over a tenant's quota.
    pub over_quota_weight: f64,
    /// Priority weights count per unit of work, not per request.
    pub priority_by_work: bool,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Shortest time between two calls with events.
    pub tick: Micros,
}

impl Settings {
    /// The longest latency objective of any class.
    pub fn longest_latency_objective(&self) -> Micros {
        self.classes.iter().map(|c| c.latency_objective).max().unwrap_or(1)
    }

    /// The longest deadline of any class, at most an hour.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or(1).clamp(1, 3_600_000_000)
    }

    /// Checks that all values are in their valid ranges.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let classes = || self.classes.iter();
        classes()
            .try_for_each(|c| ValidRange::PositiveTime.check("classes: aim", c.latency_objective as f64))?;
        classes().try_for_each(|c| ValidRange::PositiveTime.check("classes: deadline", c.deadline as f64))?;
        classes().try_for_each(|c| ValidRange::Factor.check("classes: aim_stretch", c.objective_per_work))?;
        let rules = &self.rules;
        ValidRange::Positive.check("limits: max_attempts", f64::from(self.limits.max_attempts))?;
        ValidRange::Share.check("rules: cold_share", rules.initial_capacity_share)?;
        ValidRange::Factor.check("rules: overload_factor", rules.overload_factor)?;
        ValidRange::Time.check("rules: warm_within", rules.slow_start_duration as f64)?;
        ValidRange::Time.check("rules: tip_after", rules.overload_collapse_after as f64)?;
        ValidRange::Time.check("rules: ask_within", rules.max_poll_interval as f64)?;
        ValidRange::Time.check("tick", self.tick as f64)
    }
}
