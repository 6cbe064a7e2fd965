//! A replica's configuration file. Every key has a default; unknown keys are errors.

use crate::core::SECOND;
use crate::http::Limits;
use crate::node::Settings;
use crate::store::Format;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Upper bound of durations in seconds and of rates, far above any sensible value.
const MAX_VALUE: f64 = 1e6;

/// Why a configuration file can't be used. The message names the file, and the line or the key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{}: {source}", path.display())]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// The parser's error, with the line.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{}: {key}: {reason}", path.display())]
    Value {
        /// Path of the file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// Which requirement the value violates.
        reason: &'static str,
    },
}

/// A replica's configuration. Where a type or field is renamed for serde, that is the name which the file or serde's
/// error messages have.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The replica's ID, which no other member may have or have had.
    pub id: u64,
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The address at which other replicas reach it; `listen` by default.
    pub address: Option<String>,
    /// The folder of the store.
    pub folder: PathBuf,
    /// Addresses of members of the cluster to join. If empty, the replica bootstraps a new cluster.
    pub join: Vec<String>,
    /// Addresses of replicas that are not reached at their address in the membership, by ID.
    #[serde(rename = "via")]
    pub address_overrides: BTreeMap<String, String>,
    /// The format in which the store is written: 3, or for older releases 2 or 1, which do not support services.
    pub format: u32,
    /// Expiry of leases.
    pub leases: Leases,
    /// Limits on the age of the list.
    pub ages: AgeLimits,
    /// Limits on the resources that clients may use.
    pub limits: LimitsTable,
    /// Raft intervals and timeouts.
    pub timing: Timing,
    /// Raft log and snapshots.
    pub log: Log,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            id: 1,
            listen: SocketAddr::from(([127, 0, 0, 1], 7400)),
            address: None,
            folder: "roster".into(),
            join: Vec::new(),
            address_overrides: BTreeMap::new(),
            format: Format::NEWEST.number(),
            leases: Leases::default(),
            ages: AgeLimits::default(),
            limits: LimitsTable::default(),
            timing: Timing::default(),
            log: Log::default(),
        }
    }
}

/// Expiry of leases. No more than a share of the list expires within a time window.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Leases {
    /// Length of the window.
    pub window_s: f64,
    /// Maximum share of the list that expires within the window.
    pub share: f64,
    /// How long a server with an expired lease is draining before it is removed.
    #[serde(rename = "leaving_s")]
    pub draining_s: f64,
}

impl Default for Leases {
    fn default() -> Self {
        Self { window_s: 10.0, share: 0.1, draining_s: 10.0 }
    }
}

/// Limits on the age of the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default, rename = "Ages")]
pub struct AgeLimits {
    /// Age above which the list is served, but marked as stale.
    #[serde(rename = "mark_s")]
    pub stale_after_s: f64,
    /// Age above which the list is no longer served.
    #[serde(rename = "refuse_s")]
    pub refuse_after_s: f64,
}

impl Default for AgeLimits {
    fn default() -> Self {
        Self { stale_after_s: 3.0, refuse_after_s: 30.0 }
    }
}

/// Limits on the resources that clients may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default, rename = "LimitsPart")]
pub struct LimitsTable {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum number of concurrent watches.
    pub watchers: usize,
    /// Maximum number of full lists per second.
    #[serde(rename = "whole_lists_per_s")]
    pub full_lists_per_s: f64,
}

impl Default for LimitsTable {
    fn default() -> Self {
        let Limits { connections, watchers, full_lists_per_s, .. } = Limits::default();
        Self { connections, watchers, full_lists_per_s }
    }
}

/// Raft intervals and timeouts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval of the leader's heartbeats.
    pub heartbeat_ms: u64,
    /// Minimum and maximum of the randomized election timeout.
    pub election_ms: [u64; 2],
    /// Interval of the requests for the leader's read index.
    #[serde(rename = "refresh_ms")]
    pub read_index_interval_ms: u64,
    /// Timeout of writes and of calls to the leader.
    #[serde(rename = "patience_ms")]
    pub request_timeout_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 200,
            election_ms: [700, 1400],
            read_index_interval_ms: 500,
            request_timeout_ms: 2000,
        }
    }
}

/// Raft log and snapshots.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Number of log entries between two snapshots.
    pub snapshot_every: u64,
    /// Number of log entries that are retained before a snapshot.
    #[serde(rename = "keep")]
    pub retained_entries: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self { snapshot_every: 4000, retained_entries: 1000 }
    }
}

impl Config {
    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
        let config: Self = toml::from_str(&text)
            .map_err(|source| ConfigError::Parse { path: path.to_owned(), source: Box::new(source) })?;
        config.check(path)?;
        Ok(config)
    }

    /// Validates the values; `path` is for the error message.
    pub fn check(&self, path: &Path) -> Result<(), ConfigError> {
        let Timing { heartbeat_ms, election_ms: [min_election_ms, max_election_ms], .. } = self.timing;
        let is_positive = |value: f64| value > 0.0 && value < MAX_VALUE;
        for (key, is_valid, reason) in [
            ("id", self.id > 0, "must be above 0"),
            (
                "via",
                self.address_overrides.keys().all(|id| id.parse::<u64>().is_ok()),
                "must have replica IDs as keys",
            ),
            ("format", Format::from_number(self.format).is_some(), "must be 1, 2 or 3"),
            ("leases.window_s", is_positive(self.leases.window_s), "must be above 0"),
            ("leases.share", (0.0..=1.0).contains(&self.leases.share), "must be from 0 to 1"),
            ("leases.leaving_s", is_positive(self.leases.draining_s), "must be above 0"),
            ("ages.mark_s", is_positive(self.ages.stale_after_s), "must be above 0"),
            (
                "ages.refuse_s",
                self.ages.refuse_after_s >= self.ages.stale_after_s,
                "must not be below mark_s",
            ),
            ("limits.connections", self.limits.connections > 0, "must be above 0"),
            ("limits.watchers", self.limits.watchers > 0, "must be above 0"),
            ("limits.whole_lists_per_s", is_positive(self.limits.full_lists_per_s), "must be above 0"),
            (
                "timing.heartbeat_ms",
                heartbeat_ms > 0 && heartbeat_ms * 2 < min_election_ms,
                "must be under half of election_ms",
            ),
            (
                "timing.election_ms",
                min_election_ms < max_election_ms,
                "must be two numbers, the smaller one first",
            ),
            ("timing.refresh_ms", self.timing.read_index_interval_ms > 0, "must be above 0"),
            ("timing.patience_ms", self.timing.request_timeout_ms > 0, "must be above 0"),
            ("log.snapshot_every", self.log.snapshot_every > 0, "must be above 0"),
        ] {
            if !is_valid {
                return Err(ConfigError::Value { path: path.to_owned(), key, reason });
            }
        }
        Ok(())
    }

    /// The address at which other replicas reach this one.
    pub fn own_address(&self) -> String {
        self.address.clone().unwrap_or_else(|| self.listen.to_string())
    }

    /// Addresses of replicas that are not reached at their address in the membership, by ID.
    pub fn address_overrides(&self) -> BTreeMap<u64, String> {
        self.address_overrides
            .iter()
            .filter_map(|(id, address)| Some((id.parse().ok()?, address.clone())))
            .collect()
    }

    /// The settings of the node.
    pub fn settings(&self) -> Settings {
        let micros = |s: f64| (s * SECOND as f64) as i64;
        let ms = Duration::from_millis;
        let mut settings = Settings::new(self.id, self.own_address());
        let [election_timeout_min, election_timeout_max] = self.timing.election_ms.map(ms);
        settings.heartbeat_interval = ms(self.timing.heartbeat_ms);
        settings.election_timeout_min = election_timeout_min;
        settings.election_timeout_max = election_timeout_max;
        settings.read_index_interval = ms(self.timing.read_index_interval_ms);
        settings.request_timeout = ms(self.timing.request_timeout_ms);
        settings.leases.window = micros(self.leases.window_s);
        settings.leases.max_expiring_share = self.leases.share;
        settings.leases.draining_time = micros(self.leases.draining_s);
        settings.stale_after = micros(self.ages.stale_after_s);
        settings.refuse_after = micros(self.ages.refuse_after_s);
        settings.snapshot_every = self.log.snapshot_every;
        settings.retained_log_entries = self.log.retained_entries;
        settings
    }

    /// The limits of the HTTP interface.
    pub fn limits(&self) -> Limits {
        let LimitsTable { connections, watchers, full_lists_per_s } = self.limits.clone();
        Limits { connections, watchers, full_lists_per_s, ..Limits::default() }
    }
}

#[cfg(test)]
mod tests;
