//! A scenario: a site, the size of the fleet, the load, and scheduled faults. Together with a seed it determines a
//! [`World`](crate::model::World).

mod fault;

pub use fault::{Fault, FaultKind};

use crate::site::{FileError, Range, Site, read_text};
use serde::Deserialize;
use std::path::Path;

/// A scenario file; unknown keys are errors.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The site file, relative to the scenario's folder; the built-in site if absent.
    #[serde(default)]
    pub site: Option<String>,
    /// How long clients send requests, in seconds.
    pub length_s: f64,
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of servers.
    pub servers: usize,
    /// Load as a share of the capacity of all servers, with none warming up or faulty.
    pub load: Range,
    /// Factor on the site's work, latency objectives, deadlines and client backoff. Below 1 requests are shorter and
    /// arrive at a higher rate.
    #[serde(default = "default_factor")]
    pub pace: f64,
    /// Capacity of the platform's discovery.
    #[serde(default)]
    pub discovery: DiscoveryOptions,
    /// The project's own registry, in place of discovery.
    #[serde(default)]
    #[serde(rename = "roster")]
    pub registry: Option<RegistryOptions>,
    /// Latency that a sidecar adds to a request in each direction, in microseconds.
    #[serde(default = "default_sidecar_us")]
    pub sidecar_us: i64,
    /// Processor time of a sidecar for each message, in or out, in microseconds; 0 for unlimited capacity.
    #[serde(default)]
    pub message_us: f64,
    /// Share of a core that each sidecar has.
    #[serde(default = "default_factor")]
    pub sidecar_cores: f64,
    /// Whether sidecars handle events once a tick, as in the operators' simulator, or immediately.
    #[serde(default)]
    pub ticked: bool,
    /// Number of faults drawn from the site's list (`trouble`), in addition to `fault`.
    #[serde(default)]
    pub site_troubles: usize,
    /// Scheduled faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// Capacity of the platform's discovery. Pushing updates costs nothing; the fetch with which a sidecar subscribes
/// does.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoveryOptions {
    /// Fetches that it answers a second.
    pub calls_per_s: f64,
    /// A fetch that has waited this long fails.
    pub call_timeout_s: f64,
    /// Delay before a sidecar retries a failed fetch.
    pub retry_ms: f64,
}

impl Default for DiscoveryOptions {
    fn default() -> Self {
        Self { calls_per_s: 20.0, call_timeout_s: 2.0, retry_ms: 250.0 }
    }
}

/// Parameters of the project's own registry. The default times tend to be shorter than those of real processes, which
/// take 5 to 10 ms for a write and 2.2 to 2.5 s for a change of leader; the cost of a response is an assumption
/// (`docs/roster.md`).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegistryOptions {
    /// Number of replicas.
    pub replicas: usize,
    /// Commit latency of a write.
    pub commit_ms: Range,
    /// Failover time, from the loss of a leader to the next one's first write.
    pub failover_s: Range,
    /// Lease duration of servers.
    pub lease_s: f64,
    /// Full lists that a replica sends in a second.
    pub whole_lists_per_s: f64,
    /// Time that a replica takes for a response.
    pub answer_us: f64,
    /// Additional time for each entry of a response.
    pub line_us: f64,
    /// Sidecars save their last list over a restart.
    pub file: bool,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        Self {
            replicas: 3,
            commit_ms: Range::new(2.0, 6.0),
            failover_s: Range::new(1.0, 2.5),
            lease_s: 6.0,
            whole_lists_per_s: 500.0,
            answer_us: 60.0,
            line_us: 0.5,
            file: true,
        }
    }
}

fn default_factor() -> f64 {
    1.0
}

fn default_sidecar_us() -> i64 {
    100
}

/// The built-in scenarios by name. They follow the scenarios of the operators' acceptance tests for large fleets; the
/// comment at the head of each file says what it tests.
const BUILTIN: [(&str, &str); 8] = [
    ("calm", include_str!("../../scenarios/calm.toml")),
    ("herd", include_str!("../../scenarios/herd.toml")),
    ("zone", include_str!("../../scenarios/zone.toml")),
    ("join", include_str!("../../scenarios/join.toml")),
    ("split", include_str!("../../scenarios/split.toml")),
    ("roll", include_str!("../../scenarios/roll.toml")),
    ("small", include_str!("../../scenarios/small.toml")),
    ("speed", include_str!("../../scenarios/speed.toml")),
];

impl Scenario {
    /// Names of the built-in scenarios.
    pub fn names() -> impl Iterator<Item = &'static str> {
        BUILTIN.iter().map(|(name, _)| *name)
    }

    /// Loads the built-in scenario of that name, or else the file at that path, with its site.
    pub fn load(name: &str) -> Result<(Self, Site), FileError> {
        match BUILTIN.iter().find(|(n, _)| *n == name) {
            Some((_, text)) => Self::parse(Path::new(name), text),
            None => Self::parse(Path::new(name), &read_text(Path::new(name))?),
        }
    }

    /// Parses a scenario; its site file is relative to the folder of `path`.
    pub fn parse(path: &Path, text: &str) -> Result<(Self, Site), FileError> {
        let scenario: Self = toml::from_str(text)
            .map_err(|source| FileError::Parse { path: path.to_owned(), source: Box::new(source) })?;
        scenario.check(path)?;
        let site = match &scenario.site {
            None => Site::builtin(),
            Some(site) => Site::read(&path.parent().unwrap_or(Path::new(".")).join(site))?,
        };
        Ok((scenario, site))
    }

    fn check(&self, path: &Path) -> Result<(), FileError> {
        let invalid = |key: String, what: &str| {
            Err(FileError::InvalidValue { path: path.to_owned(), key, what: what.to_owned() })
        };
        for (key, valid) in [
            ("length_s", self.length_s > 0.0 && self.length_s <= 86_400.0),
            ("sidecars", self.sidecars > 0),
            ("servers", self.servers > 0),
            ("load", self.load.low() > 0.0 && self.load.high() < 100.0),
            ("pace", self.pace > 0.0 && self.pace <= 1000.0),
            ("discovery.calls_per_s", self.discovery.calls_per_s > 0.0),
            ("roster.replicas", self.registry.as_ref().is_none_or(|r| (1..=9).contains(&r.replicas))),
            (
                "roster.lease_s",
                self.registry.as_ref().is_none_or(|r| r.lease_s >= 0.5 && r.lease_s <= 3600.0),
            ),
            ("roster.whole_lists_per_s", self.registry.as_ref().is_none_or(|r| r.whole_lists_per_s > 0.0)),
            ("sidecar_us", (0..1_000_000).contains(&self.sidecar_us)),
            ("message_us", (0.0..1e6).contains(&self.message_us)),
            ("sidecar_cores", self.sidecar_cores > 0.0 && self.sidecar_cores <= 64.0),
        ] {
            if !valid {
                return invalid(key.into(), "is out of range");
            }
        }
        for (i, fault) in self.fault.iter().enumerate() {
            if let Some((key, what)) = fault.invalid_key() {
                return invalid(format!("fault {i} ({}): {key}", fault.kind.name()), what);
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
