//! The interface of the balancer: its [`Settings`], the [`Event`]s that it takes and the [`Action`]s that it
//! returns. Times are whole microseconds on one monotonic clock. Ids are small numbers that the caller
//! assigns and that carry no meaning of their own.

/// Microseconds: an instant on the caller's clock, or a duration.
pub type Micros = i64;
/// A client request, unique for the life of an instance.
pub type RequestId = u64;
/// Number of an attempt within its request, from 0, in the order in which [`Action::Send`] was issued.
pub type AttemptNumber = u32;
/// An endpoint, numbered densely from 0 by the caller. The number of a removed endpoint with nothing in
/// flight may be assigned again.
pub type EndpointId = usize;
/// Position of a class in [`Settings::classes`].
pub type ClassId = usize;
/// Position of a tenant in [`Settings::tenants`].
pub type TenantId = usize;
/// A zone, numbered by the caller.
pub type ZoneId = usize;
/// A machine type, numbered by the caller; endpoints of one type are expected to perform alike.
pub type MachineTypeId = usize;

/// Which endpoints deduplicate a retry with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint.
    All,
    /// Those in the zone of the endpoint that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

/// Whether a request that may have been executed may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated at any time.
    Idempotent,
    /// It carries an idempotency key: endpoints in `scope` deduplicate it for `ttl` after the earliest
    /// attempt that may have been executed.
    WithKey {
        /// Which endpoints deduplicate.
        scope: DedupScope,
        /// For how long.
        ttl: Micros,
    },
    /// It must never be executed twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency objective: an answer within this time has its full value.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// How long a client waits, over all its retries.
    pub deadline: Micros,
    /// Share of its value that an answer after the latency objective still has.
    pub late_value_share: f64,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Whether it may be executed twice.
    pub idempotency: Idempotency,
    /// Responses are streamed.
    pub streaming: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its quota, over all sidecars.
    pub quota_per_s: f64,
    /// Its share of the service's capacity.
    pub capacity_share: f64,
}

/// How the list of endpoints reaches an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed.
    Pushed,
    /// Only after [`Action::Subscribe`] or [`Action::FetchList`].
    Polled,
}

/// What the `size` of an [`EndpointEntry`] means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Always 1.
    Unweighted,
    /// The size as registered, or an estimate of it.
    Nominal,
    /// Size over load, as measured some time ago.
    Live,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With the ends of attempts and of health checks.
    Piggybacked,
    /// With health checks only.
    HealthCheck,
    /// There are none.
    Unavailable,
}

/// What a balancer may do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Longest `Retry-After` that clients honour.
    pub max_retry_after: Micros,
    /// Whether rejected clients get a `Retry-After`.
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

/// Parameters of the protocol's rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the deadline a final answer still counts.
    pub answer_grace: Micros,
    /// Longest time between two polls of discovery without a subscription.
    pub max_poll_interval: Micros,
    /// Least share of its capacity that an endpoint has at its start.
    pub initial_capacity_share: f64,
    /// Longest time from its start until an endpoint has its full capacity (slow start).
    pub slow_start_duration: Micros,
    /// An endpoint in slow start collapses under more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this time.
    pub overload_collapse_after: Micros,
}

/// Prices, in points of the result.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// For attempts that cross zones.
    pub cross_zone: f64,
    /// For work that served no answer.
    pub waste: f64,
    /// For value not served within its latency objective.
    pub late_fail: f64,
    /// For health checks.
    pub health_check: f64,
    /// For new connections.
    pub handshake: f64,
}

/// Weights of the parts of the result.
#[derive(Clone, Debug, Default)]
pub struct Goal {
    /// All of the time.
    pub overall: f64,
    /// The class served worst.
    pub worst_class: f64,
    /// The tenant served worst.
    pub worst_tenant: f64,
    /// The worst interval of time.
    pub worst_window: f64,
}

/// Settings of a balancer, fixed at its start.
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
    /// What may be done.
    pub limits: Limits,
    /// Parameters of the protocol's rules.
    pub rules: Rules,
    /// Prices.
    pub prices: Prices,
    /// Goal weights.
    pub goal: Goal,
    /// Factor on the priority weight of traffic over a tenant's quota.
    pub over_quota_weight: f64,
    /// Priority weights count per unit of work, not per request.
    pub priority_by_work: bool,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Least time between two calls with events.
    pub tick: Micros,
}

impl Settings {
    /// The longest latency objective of any class.
    pub fn longest_latency_objective(&self) -> Micros {
        self.classes.iter().map(|c| c.latency_objective).max().unwrap_or(1)
    }

    /// The longest that a client of any class waits, held to an hour.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or(1).clamp(1, 3_600_000_000)
    }

    /// Whether requests can be decided under these settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        let r = &self.rules;
        let figure = |x: f64| (0.0..1e9).contains(&x);
        let time = |t: Micros| (0..1 << 50).contains(&t);
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let all = |f: &dyn Fn(&RequestClass) -> bool| self.classes.iter().all(f);
        for (fine, what) in [
            (!self.classes.is_empty(), "classes: no request classes"),
            (
                all(&|c| c.latency_objective > 0 && time(c.latency_objective)),
                "classes: aim must be above 0 and under 2^50 us",
            ),
            (
                all(&|c| c.deadline > 0 && time(c.deadline)),
                "classes: deadline must be above 0 and under 2^50 us",
            ),
            (all(&|c| figure(c.objective_per_work)), "classes: aim_stretch must be finite and not negative"),
            (self.limits.max_attempts > 0, "limits: max_attempts must be above 0"),
            (share(r.initial_capacity_share), "rules: cold_share must lie in 0 to 1"),
            (figure(r.overload_factor), "rules: overload_factor must be finite and not negative"),
            (time(r.slow_start_duration), "rules: warm_within must lie in 0 to 2^50 us"),
            (time(r.overload_collapse_after), "rules: tip_after must lie in 0 to 2^50 us"),
            (time(r.max_poll_interval), "rules: ask_within must lie in 0 to 2^50 us"),
            (time(self.tick), "tick must lie in 0 to 2^50 us"),
        ] {
            if !fine {
                return Err(SettingsError(what));
            }
        }
        Ok(())
    }
}

/// Settings that cannot be used; the text says why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}
impl std::error::Error for SettingsError {}

/// State of an endpoint as discovery sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes requests.
    Ready,
    /// Finishes what it has in flight and gets no new attempts.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell: endpoints of one cell share the idempotency keys that they have seen.
    pub cell: u64,
    /// Its machine type: the latency of one endpoint is the estimate for others of its type.
    pub machine_type: Option<MachineTypeId>,
    /// Its state.
    pub status: EndpointStatus,
    /// Its size; see [`WeightSource`].
    pub size: f64,
    /// When it last started; `None` is long ago.
    pub started_at: Option<Micros>,
}

/// What a list event holds.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// Entries that changed.
    Delta(Vec<EndpointEntry>),
    /// The complete list; endpoints that are missing are removed.
    Full(Vec<EndpointEntry>),
    /// The complete list as cached before a restart, possibly old.
    Cached(Vec<EndpointEntry>),
    /// A call to discovery failed or the subscription broke; the present list stays in force.
    Failed,
}

/// A new request.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Its partition key, if any.
    pub partition_key: Option<u64>,
    /// When the client gives up on this request.
    pub deadline: Micros,
    /// Expected work on a standard core, where known.
    pub expected_work: Option<Micros>,
    /// The client marks it as a retry of its own.
    pub is_client_retry: bool,
    /// Its body is still being received; no endpoint begins to execute it before it is complete.
    pub body_incomplete: bool,
}

/// How an attempt or health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have been executed.
    Error,
    /// Rejected by the endpoint before execution.
    Rejected,
    /// No answer in time; it may have been executed.
    TimedOut,
    /// No connection in time; it was never executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// A reused connection broke before any byte of the answer. It may have been executed. The connection may
    /// have been dead for long, so this says nothing about the endpoint's health.
    ReusedConnectionReset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Answered that the request itself is invalid: the answer goes to the client and says nothing about the
    /// endpoint's health.
    BadRequest,
    /// Never sent: the request had completed, its deadline had passed, its attempts were used up, or the
    /// sidecar had no capacity for a connection.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was never executed.
    pub fn was_never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// A load report of an endpoint; absent values were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress.
    pub active: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Share of its processors in use.
    pub cpu: Option<f64>,
    /// Recent service time in milliseconds.
    pub avg_ms: Option<f64>,
    /// Requests served a second.
    pub rps: Option<f64>,
    /// Errors a second.
    pub err_rps: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub duration: Micros,
    /// The request has its final answer already.
    pub request_completed: bool,
    /// The request can't be sent again: its body was forwarded while it was being received.
    pub body_consumed: bool,
    /// Load report of the endpoint, piggybacked on the answer.
    pub load_report: LoadReport,
}

/// What happens to a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed.
    EndpointList(EndpointListUpdate),
    /// The endpoint was removed and has nothing in flight; its number may be assigned to another from now on.
    EndpointReleased(EndpointId),
    /// Operators cordon the endpoint: whatever the list says, it counts as draining.
    Cordoned(EndpointId),
    /// Operators uncordon the endpoint: it gets attempts again, in slow start, once it is listed ready.
    Uncordoned(EndpointId),
    /// A client's request; it gets exactly one final answer.
    RequestReceived(NewRequest),
    /// The answer to an attempt has begun to stream to the client; the request can't be retried any more.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// The body of a request that was forwarded while being received is complete: its latency counts from
    /// now.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// When the client gives up on this request.
        deadline: Micros,
    },
    /// An attempt ended; one for each [`Action::Send`].
    AttemptEnded(AttemptEnd),
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the health check was sent.
        duration: Micros,
        /// Load report of the endpoint.
        load_report: LoadReport,
    },
    /// The client disconnected, or its answer is overdue: no final answer is wanted any more.
    RequestAbandoned(RequestId),
    /// A message from another instance.
    PeerMessage {
        /// The sender's index.
        from: u32,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// A timer set with [`Action::SetTimer`] fired.
    Timer(u64),
}

/// What a balancer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out.
        timeout: Micros,
        /// A retry of what may have been executed must begin to be written within this time, however long its
        /// connection takes: endpoints deduplicate its idempotency key no longer than that.
        idempotency_window: Option<Micros>,
    },
    /// Final answer: rejected, and the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// `Retry-After` for the client; 0 sends none.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have been executed.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Call back in `after` with `token`.
    SetTimer {
        /// Time from now.
        after: Micros,
        /// Returned in [`Event::Timer`].
        token: u64,
    },
    /// Subscribe to list changes, or end that.
    Subscribe(bool),
    /// Poll discovery once for the complete list.
    FetchEndpointList,
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send a message of at most 256 bytes to a peer, or to all.
    SendPeerMessage {
        /// The peer's index; `None` is everyone.
        to: Option<u32>,
        /// The content.
        bytes: Vec<u8>,
    },
    /// A log line.
    Log(String),
}
