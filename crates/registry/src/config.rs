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

/// Upper bound of every number of seconds and of rates, far beyond sensible ones.
const MAX_VALUE: f64 = 1e6;

/// Why a configuration file can't be used; the text names file, line and key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// It is no TOML, or has an unknown key or a value of the wrong type.
    #[error("{}: {source}", path.display())]
    Form {
        /// The file.
        path: PathBuf,
        /// The parser's error, with the line.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{}: {key}: {reason}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// What is wrong with the value.
        reason: &'static str,
    },
}

/// A replica's configuration. Serde's names of keys and tables are those of the file, which its errors quote.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The replica's number, which no other member has or had.
    pub id: u64,
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The address at which other replicas reach it, where that is another.
    pub address: Option<String>,
    /// The folder of its store.
    pub folder: PathBuf,
    /// Members of the cluster that it joins. Without any, it bootstraps a cluster.
    pub join: Vec<String>,
    /// Addresses of replicas that are reached elsewhere than at the address in the membership, by number.
    #[serde(rename = "via")]
    pub address_overrides: BTreeMap<String, String>,
    /// The form in which the store is written: 3, or 2 and 1, which older programs read and which have no services.
    pub format: u32,
    /// Leases.
    pub leases: Leases,
    /// Bounds on the age of the list.
    pub ages: Ages,
    /// Limits on clients.
    pub limits: LimitsTable,
    /// Timing of Raft.
    pub timing: Timing,
    /// Snapshots of the log.
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
            ages: Ages::default(),
            limits: LimitsTable::default(),
            timing: Timing::default(),
            log: Log::default(),
        }
    }
}

/// Expiry of leases. Within a time window, no more than a share of the list expires.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Leases {
    /// The window.
    pub window_s: f64,
    /// The share.
    pub share: f64,
    /// How long a server whose lease ran out is draining before it is removed.
    #[serde(rename = "leaving_s")]
    pub draining_s: f64,
}

impl Default for Leases {
    fn default() -> Self {
        Self { window_s: 10.0, share: 0.1, draining_s: 10.0 }
    }
}

/// Bounds on the age of the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ages {
    /// Age above which the list is served as stale.
    #[serde(rename = "mark_s")]
    pub stale_after_s: f64,
    /// Age above which the list is not served.
    #[serde(rename = "refuse_s")]
    pub refuse_after_s: f64,
}

impl Default for Ages {
    fn default() -> Self {
        Self { stale_after_s: 3.0, refuse_after_s: 30.0 }
    }
}

/// Limits on clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default, rename = "LimitsPart")]
pub struct LimitsTable {
    /// Concurrent connections.
    pub connections: usize,
    /// Concurrent watches.
    pub watchers: usize,
    /// Full lists per second.
    #[serde(rename = "whole_lists_per_s")]
    pub full_lists_per_s: f64,
}

impl Default for LimitsTable {
    fn default() -> Self {
        let Limits { connections, watchers, full_lists_per_s, .. } = Limits::default();
        Self { connections, watchers, full_lists_per_s }
    }
}

/// Timing of Raft.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Bounds of the randomized election timeout.
    pub election_ms: [u64; 2],
    /// Time between two requests for the leader's read index.
    #[serde(rename = "refresh_ms")]
    pub read_index_interval_ms: u64,
    /// Timeout of a write or of a call to the leader.
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

/// Snapshots of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Log entries between two snapshots.
    pub snapshot_every: u64,
    /// Log entries retained before a snapshot.
    #[serde(rename = "keep")]
    pub retained_entries: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self { snapshot_every: 4000, retained_entries: 1000 }
    }
}

impl Config {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
        let config: Self = toml::from_str(&text)
            .map_err(|source| ConfigError::Form { path: path.to_owned(), source: Box::new(source) })?;
        config.check(path)?;
        Ok(config)
    }

    /// Checks the values; `path` is for the message.
    pub fn check(&self, path: &Path) -> Result<(), ConfigError> {
        let Timing { heartbeat_ms, election_ms: [min_election_ms, max_election_ms], .. } = self.timing;
        let is_positive = |value: f64| value > 0.0 && value < MAX_VALUE;
        for (key, is_valid, reason) in [
            ("id", self.id > 0, "must be above 0"),
            (
                "via",
                self.address_overrides.keys().all(|id| id.parse::<u64>().is_ok()),
                "must have numbers of replicas as keys",
            ),
            ("format", Format::from_number(self.format).is_some(), "must be 1, 2 or 3"),
            ("leases.window_s", is_positive(self.leases.window_s), "must be above 0"),
            ("leases.share", (0.0..=1.0).contains(&self.leases.share), "must lie in 0 to 1"),
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
                "must be two figures, the smaller first",
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

    /// The address at which other replicas reach it.
    pub fn own_address(&self) -> String {
        self.address.clone().unwrap_or_else(|| self.listen.to_string())
    }

    /// The addresses of replicas that are reached elsewhere than at the address in the membership.
    pub fn address_overrides(&self) -> BTreeMap<u64, String> {
        self.address_overrides
            .iter()
            .filter_map(|(id, address)| Some((id.parse().ok()?, address.clone())))
            .collect()
    }

    /// A replica's settings.
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

    /// The limits on clients.
    pub fn limits(&self) -> Limits {
        let LimitsTable { connections, watchers, full_lists_per_s } = self.limits.clone();
        Limits { connections, watchers, full_lists_per_s, ..Limits::default() }
    }
}

#[cfg(test)]
mod tests;
