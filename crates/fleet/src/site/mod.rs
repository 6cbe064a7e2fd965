//! A site file, in the format of the operators (the company that runs the sidecars): ranges from which a run's
//! parameters are drawn. Key suffixes give the units: `_s` seconds, `_ms` milliseconds, `_us` microseconds; shares are
//! between 0 and 1.
//!
//! Unknown keys are reported but are no error, because the operators add keys that the simulation does not use yet.

mod range;

pub use range::Range;

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Why a site, scenario or plan file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file could not be parsed; the message has line and key.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: Box<toml::de::Error>,
    },
    /// A value is invalid.
    #[error("{path}: {key}: {what}")]
    InvalidValue {
        /// The file.
        path: PathBuf,
        /// The key with the tables that contain it.
        key: String,
        /// What is wrong with it.
        what: String,
    },
}

/// Reads a text file.
pub(crate) fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|source| FileError::Read { path: path.to_owned(), source })
}

/// A site.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// The run: its length and the sidecars' ticks.
    #[serde(default)]
    #[serde(rename = "day")]
    pub run: RunParameters,
    /// Size of the fleet.
    pub scale: Scale,
    /// Traffic.
    pub load: Load,
    /// Links.
    pub net: Net,
    /// Behaviour of the clients.
    #[serde(default)]
    pub clients: Clients,
    /// The platform's discovery service.
    #[serde(default)]
    pub discovery: Discovery,
    /// What a sidecar may do.
    pub allow: Allow,
    /// Parameters of the rules.
    pub rules: Rules,
    /// Weights of the score's components.
    #[serde(default)]
    pub goal: Goal,
    /// Prices, subtracted from the score.
    #[serde(default)]
    pub prices: Prices,
    /// Tiers of servers; only the first is simulated.
    pub tier: Vec<Tier>,
    /// Classes of requests.
    pub class: Vec<Class>,
    /// Faults that may happen.
    #[serde(default)]
    #[serde(rename = "trouble")]
    pub faults: Vec<SiteFault>,
    /// Tenants. The operators' format for them is not published; this one is the project's own.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// Key affinity of the service.
    #[serde(default)]
    #[serde(rename = "fam")]
    pub key_affinity: KeyAffinity,
    /// Keys of the file that the simulation does not use.
    #[serde(skip)]
    pub unused: Vec<String>,
}

/// The run: its length and the sidecars' ticks.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct RunParameters {
    /// Length of the run.
    pub length_s: Range,
    /// Interval between the ticks at which a sidecar handles events; 0 for immediately.
    pub tick_ms: f64,
    /// Whether all sidecars' ticks are at the same time.
    pub in_step: bool,
    /// Time over which the sidecars' starts are spread.
    pub start_spread_ms: f64,
}

impl Default for RunParameters {
    fn default() -> Self {
        Self { length_s: Range::new(45.0, 60.0), tick_ms: 5.0, in_step: true, start_spread_ms: 0.0 }
    }
}

/// Size of the fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct Scale {
    /// Number of servers.
    pub servers: Range,
    /// Number of sidecars.
    pub balancers: Range,
}

/// Traffic, as shares of the servers' capacity.
#[derive(Clone, Debug, Deserialize)]
pub struct Load {
    /// In a run without faults.
    pub quiet: Range,
    /// In a run with faults.
    #[serde(default)]
    pub trouble: Range,
    /// In a run with overload.
    #[serde(default)]
    pub overload: Range,
    /// `steady` or `wave`; one is drawn.
    #[serde(default)]
    pub shape: Vec<String>,
    /// Amplitude of the wave, as a share of the mean.
    #[serde(default)]
    pub swing: Range,
    /// Coefficient of variation of the traffic between zones.
    #[serde(default)]
    pub zone_skew: Range,
    /// Coefficient of variation of the traffic between sidecars.
    #[serde(default)]
    pub stream_cv: Range,
    /// `none`, or else requests carry an estimate of their work.
    #[serde(default)]
    pub hints: String,
    /// `request`, or `work`: a request is worth its class's worth times its work over the class's mean.
    #[serde(default)]
    pub worth_by: String,
    /// Worth of a request beyond its tenant's quota, as a share of its class's worth.
    #[serde(default)]
    pub over_share_worth: f64,
    /// Number of distinct partition keys.
    #[serde(default = "default_keys")]
    pub keys: Range,
    /// Exponent of the Zipf distribution of their popularity.
    #[serde(default)]
    pub key_zipf: Range,
}

fn default_keys() -> Range {
    Range::new(200.0, 330.0)
}

/// Links.
#[derive(Clone, Debug, Deserialize)]
pub struct Net {
    /// Zones.
    pub zones: Vec<String>,
    /// One-way delay within a zone.
    pub same_ms: Range,
    /// One-way delay between two zones.
    pub cross_ms: Range,
    /// One-way delay between a client and its sidecar.
    #[serde(default)]
    pub client_ms: Range,
    /// Coefficient of variation of a message's delay.
    #[serde(default)]
    pub jitter: Range,
    /// Largest additional delay of a server's links, as a share of the mean.
    #[serde(default)]
    pub server_skew: Range,
}

/// Behaviour of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Clients {
    /// Retries of a request; a fraction is the probability of one more.
    pub retries: Range,
    /// Timeout of a try, as a share of the deadline.
    pub try_share: Range,
    /// `exp` or `fixed`.
    pub backoff: String,
    /// Share of clients that honour `Retry-After`.
    pub honour: Range,
    /// Initial backoff before a retry.
    pub backoff_ms: Range,
    /// Longest `Retry-After` that they honour.
    pub max_retry_after_ms: f64,
    /// Share of requests whose client disconnects early.
    pub impatient: Range,
    /// Whether clients mark retries as such.
    pub marks_retry: bool,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: Range::new(1.0, 2.99),
            try_share: Range::new(0.4, 0.8),
            backoff: "exp".into(),
            honour: Range::new(0.7, 1.0),
            backoff_ms: Range::new(22.0, 180.0),
            max_retry_after_ms: 2500.0,
            impatient: Range::new(0.0, 0.02),
            marks_retry: true,
        }
    }
}

/// The platform's discovery service.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Discovery {
    /// `push`, or `ask` if sidecars must fetch the list.
    pub mode: String,
    /// Delay from a process's end, on a machine that still responds, until the list shows it.
    pub notice_s: Range,
    /// The same for a machine that does not respond.
    pub silent_notice_s: Range,
    /// Delay from a process's start until the list shows it.
    pub add_s: Range,
    /// Interval between two published versions of the list.
    pub period_ms: Range,
    /// Delay from a published version to the sidecars.
    pub spread_ms: Range,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            mode: "push".into(),
            notice_s: Range::new(0.83, 4.8),
            silent_notice_s: Range::new(4.0, 9.8),
            add_s: Range::new(1.1, 2.4),
            period_ms: Range::new(210.0, 1200.0),
            spread_ms: Range::new(24.0, 84.0),
        }
    }
}

/// What a sidecar may do.
#[derive(Clone, Debug, Deserialize)]
pub struct Allow {
    /// Send health checks.
    #[serde(default)]
    pub probes: bool,
    /// Send messages to other sidecars.
    #[serde(default)]
    pub peers: bool,
    /// Cancel attempts.
    #[serde(default)]
    pub cancel: bool,
    /// Send hedged requests: have two attempts of a request in flight.
    #[serde(default)]
    pub second_copies: bool,
    /// Send `Retry-After` to clients.
    #[serde(default)]
    pub retry_after: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Processor time of a sidecar in a second above which its responses count as late; 0 for no limit.
    #[serde(default)]
    pub cpu_ms_per_s: f64,
    /// Maximum number of open requests of a sidecar; connections above it are refused. 0 for no limit.
    #[serde(default)]
    #[serde(rename = "most_held")]
    pub max_open_requests: u32,
}

/// Parameters of the rules.
#[derive(Clone, Debug, Deserialize)]
pub struct Rules {
    /// How long sends to a draining server may go on.
    pub drain_grace_ms: f64,
    /// A server that is warming up crashes when it is sent more than this multiple of its capacity within
    /// `overload_window_ms`.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The time window of `overload_multiple`.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
}

/// Weights of the score's components.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Goal {
    /// The whole run.
    pub whole: f64,
    /// The worst 10 s.
    pub worst_window: f64,
    /// The worst class.
    pub worst_class: f64,
    /// The worst tenant, for requests within its quota.
    pub worst_tenant: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Self { whole: 0.7, worst_window: 0.1, worst_class: 0.2, worst_tenant: 0.0 }
    }
}

/// Prices, subtracted from the score.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Prices {
    /// For cross-zone attempts, for each request.
    pub cross_zone: f64,
    /// For wasted work (of responses that no client received), as a share of the requests' work.
    pub waste: f64,
    /// For health checks, for each request.
    pub probe: f64,
    /// For the worth of requests that failed after their latency objective.
    pub late_fail: f64,
    /// For new connections, for each request.
    pub handshake: f64,
    /// For the mean number of open connections, in hundreds for each server.
    pub connection: f64,
    /// For list entries sent to sidecars, in hundreds for each request.
    pub discovery: f64,
}

/// A tier of servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Number of servers in a cell, which share the record of seen idempotency keys.
    #[serde(default)]
    pub cell_size: Range,
    /// What listed weights contain: `none`, `size`, `rough` (size with an error) or `live` (size divided by load).
    #[serde(default)]
    pub weights: String,
    /// Connections.
    pub conn: Conn,
    /// Load reports.
    #[serde(default)]
    pub report: Option<Report>,
    /// Health checks.
    #[serde(default)]
    pub probe: Probe,
    /// Kinds of machine.
    pub kind: Vec<Kind>,
}

/// Connections to servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Conn {
    /// Round trips before the first request on a new connection.
    #[serde(default)]
    pub handshake_rtts: Range,
    /// Work that a new connection costs the server.
    #[serde(default)]
    pub handshake_us: Range,
    /// Idle timeout.
    pub idle_s: f64,
    /// Connect timeout.
    pub connect_timeout_ms: f64,
    /// Concurrent attempts on one connection.
    #[serde(default = "one_stream")]
    pub streams: u32,
    /// Size of a server's connection table, for each core.
    pub cap_per_core: Range,
    /// Share of a server's capacity that a full connection table takes.
    #[serde(default)]
    #[serde(rename = "full_tax")]
    pub connection_overhead: Range,
}

fn one_stream() -> u32 {
    1
}

/// Load reports.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Where they come from: `answers` for responses and health checks, `ask` for health checks alone, or `none`.
    pub how: String,
    /// Reported values: `queue`, `inflight` or `util`; others are errors.
    #[serde(default)]
    pub fields: Vec<String>,
    /// Interval between two readings.
    #[serde(default)]
    pub period_ms: Range,
    /// Age of a reading when it is reported.
    #[serde(default)]
    pub delay_ms: Range,
    /// Coefficient of variation of a reading's error.
    #[serde(default)]
    pub noise: Range,
}

/// Health checks of a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Probe {
    /// Work that one costs the server.
    pub work_us: Range,
    /// How many a server handles at a time, for each core.
    pub cap_per_core: Range,
    /// Whether one queues like a request.
    pub deep: bool,
    /// Timeout of a health check.
    pub timeout_ms: f64,
}

impl Default for Probe {
    fn default() -> Self {
        let (work_us, cap_per_core) = (Range::new(48.0, 96.0), Range::new(3.6, 9.8));
        Self { work_us, cap_per_core, deep: true, timeout_ms: 200.0 }
    }
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its share of the servers.
    pub share: Range,
    /// Its cores.
    pub cores: f64,
    /// Speed of a core, relative to the standard core.
    pub speed: Range,
    /// Coefficient of variation of the speed between machines of the kind.
    #[serde(default)]
    pub speed_cv: Range,
    /// Requests that it executes at a time, for each core.
    pub slots_per_core: Range,
    /// Requests that it queues, for each core.
    pub queue_per_core: Range,
    /// Share of its capacity lost while it is thrashing; 0 for none.
    #[serde(default)]
    pub thrash: f64,
    /// Queued and running requests for each core above which it is thrashing.
    #[serde(default)]
    pub thrash_at: Range,
    /// Share of its capacity when its process has just started.
    pub cold_from: Range,
    /// Time from the start of its process until it has its full capacity.
    pub cold_s: Range,
    /// `time`, or `work` if the slow start also advances with the work done.
    #[serde(default)]
    pub warm_by: String,
    /// Mean interval between two pauses; 0 for none.
    #[serde(default)]
    pub pause_every_s: Range,
    /// Length of a pause.
    #[serde(default)]
    pub pause_ms: Range,
    /// Relative growth of a pause at full utilization.
    #[serde(default)]
    pub pause_grow: Range,
    /// Share of requests answered with an error.
    #[serde(default)]
    pub error_rate: Range,
    /// What a cancellation ends: `queued` for queued requests alone, `all` for running ones as well; one is drawn.
    #[serde(default)]
    pub cancel: Vec<String>,
    /// Whether queued requests whose sidecar has timed out are dropped.
    #[serde(default)]
    pub drops_expired: bool,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: Range,
    /// Mean work on a standard core.
    pub work_ms: Range,
    /// `exp` or `lognormal`; one is drawn.
    #[serde(default)]
    pub dist: Vec<String>,
    /// Coefficient of variation of the work, if it is log-normal.
    #[serde(default)]
    pub cv: Range,
    /// Coefficient of variation of the work between attempts at one request.
    #[serde(default)]
    pub attempt_noise: Range,
    /// Latency objective: responses within this time earn the full worth.
    pub aim_ms: f64,
    /// Deadline of a request over all its tries.
    pub deadline_ms: f64,
    /// Worth of a request.
    pub worth: f64,
    /// Share of the worth that a late response earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Idempotency: `safe` (idempotent), `keyed` (with an idempotency key) or `unsafe`.
    pub effect: String,
    /// How long a response streams after its first byte; 0 for responses that are not streamed.
    #[serde(default)]
    pub stream_ms: Range,
    /// If keyed: which servers share seen keys and so drop duplicates, `all`, `zone` or `cell`.
    #[serde(default)]
    pub group: Option<String>,
    /// If keyed: how long servers remember seen keys.
    #[serde(default)]
    pub window_ms: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the servers' capacity.
    pub share: Range,
    /// Its share of the traffic.
    pub traffic: Range,
}

/// A fault that may happen; the meaning of its parameters depends on its name.
#[derive(Clone, Debug, Deserialize)]
pub struct SiteFault {
    /// Its name.
    pub name: String,
    /// How long it lasts.
    pub len_s: Range,
    /// Share of the servers that it affects.
    #[serde(default)]
    pub part: Range,
    /// Its magnitude.
    #[serde(default)]
    pub size: Range,
    /// A further parameter.
    #[serde(default)]
    pub extra: Range,
}

/// Key affinity: a request costs less at a server that remembers its partition key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyAffinity {
    /// Share of the work saved at a server that remembers the key.
    pub affinity_gain: Range,
    /// How long a server remembers a key.
    pub affinity_s: Range,
    /// How many keys a server remembers, for each core.
    pub affinity_keys_per_core: Range,
}

impl Site {
    /// The built-in site.
    pub fn builtin() -> Self {
        let text = include_str!("../../scenarios/site.toml");
        Self::parse(Path::new("builtin"), text).expect("the built-in site is valid")
    }

    /// Reads a site file.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Parses a site; `path` is for error messages.
    pub fn parse(path: &Path, text: &str) -> Result<Self, FileError> {
        let parse_error = |source| FileError::Parse { path: path.to_owned(), source: Box::new(source) };
        let mut unused = Vec::new();
        let de = toml::Deserializer::parse(text).map_err(parse_error)?;
        let mut site: Site = serde_ignored::deserialize(de, |key| unused.push(key.to_string()))
            .map_err(|e: toml::de::Error| parse_error(with_location(e, text)))?;
        site.unused = unused;
        site.check(path)?;
        Ok(site)
    }

    fn check(&self, path: &Path) -> Result<(), FileError> {
        let invalid = |key: &str, what: &str| {
            Err(FileError::InvalidValue { path: path.to_owned(), key: key.to_owned(), what: what.to_owned() })
        };
        if self.net.zones.is_empty() {
            return invalid("net.zones", "at least one zone is required");
        }
        let Some(tier) = self.tier.first() else { return invalid("tier", "at least one tier is required") };
        if tier.kind.is_empty() || self.class.is_empty() {
            return invalid("tier.kind, class", "at least one kind of machine and one class are required");
        }
        for kind in &tier.kind {
            let key = format!("tier.kind {}", kind.name);
            if !(kind.cores > 0.0 && kind.speed.low() > 0.0 && kind.slots_per_core.low() > 0.0) {
                return invalid(&key, "cores, speed and slots_per_core must be above 0");
            }
            if !(kind.cold_from.low() > 0.0 && kind.cold_from.high() <= 1.0) {
                return invalid(&key, "cold_from must lie above 0 and up to 1");
            }
        }
        for class in &self.class {
            let key = format!("class {}", class.name);
            if !(class.work_ms.low() > 0.0 && class.aim_ms > 0.0 && class.deadline_ms >= class.aim_ms) {
                return invalid(
                    &key,
                    "work_ms and aim_ms must be above 0, and deadline_ms no less than aim_ms",
                );
            }
            if class.stream_ms.low() < 0.0 {
                return invalid(&format!("{key}: stream_ms"), "must not be negative");
            }
            if !["safe", "keyed", "unsafe"].contains(&class.effect.as_str()) {
                return invalid(&format!("{key}: effect"), "is none of safe, keyed, unsafe");
            }
        }
        for tenant in &self.tenant {
            if !(tenant.share.low() > 0.0 && tenant.traffic.low() > 0.0) {
                return invalid(&format!("tenant {}", tenant.name), "share and traffic must be above 0");
            }
        }
        if !["", "request", "work"].contains(&self.load.worth_by.as_str()) {
            return invalid("load.worth_by", "is neither request nor work");
        }
        if tier.conn.streams == 0 {
            return invalid("tier.conn.streams", "must be above 0");
        }
        let known = ["queue", "inflight", "util"];
        let fields = tier.report.iter().flat_map(|r| &r.fields);
        if let Some(other) = fields.into_iter().find(|f| !known.contains(&f.as_str())) {
            return invalid("tier.report.fields", &format!("{other} is none of {}", known.join(", ")));
        }
        Ok(())
    }
}

/// Restores the error's location in the text, which deserializing through `serde_ignored` loses.
fn with_location(mut error: toml::de::Error, text: &str) -> toml::de::Error {
    error.set_input(Some(text));
    error
}

#[cfg(test)]
mod tests;
