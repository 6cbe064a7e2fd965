//! A replica's configuration, as its file has it. All keys have a default; one that is not known is refused.

use crate::core::SECOND;
use crate::http::Limits;
use crate::node::Settings;
use crate::store::Format;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a file can't be used; the text has file, line and key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is not of the form.
    #[error("{}: {source}", path.display())]
    Form {
        /// The file.
        path: PathBuf,
        /// Where and what.
        source: Box<toml::de::Error>,
    },
    /// A value can't be meant.
    #[error("{}: {key}: {what}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// What is wrong.
        what: &'static str,
    },
}

/// A replica's configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Its number: each replica that ever belonged has one of its own.
    pub id: u64,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where other replicas reach it; absent: where it listens.
    pub address: Option<String>,
    /// Where its file lies.
    pub folder: PathBuf,
    /// Replicas of the list that it belongs to, or is to be taken into. Absent: it founds a list where it has none.
    pub join: Vec<String>,
    /// Where this replica reaches others, by number, where that is not the address that they give.
    pub via: BTreeMap<String, String>,
    /// How its file is written: 3, or 2 for what the version before wrote, which has no services; 1 is older still.
    pub format: u32,
    /// Leases.
    pub leases: Leases,
    /// Ages of what is read.
    pub ages: Ages,
    /// What callers may take.
    pub limits: LimitsPart,
    /// Times of the log.
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
            via: BTreeMap::new(),
            format: Format::NEWEST.number(),
            leases: Leases::default(),
            ages: Ages::default(),
            limits: LimitsPart::default(),
            timing: Timing::default(),
            log: Log::default(),
        }
    }
}

/// How leases run out.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Leases {
    /// In so long a time ...
    pub window_s: f64,
    /// ... no more than this share of the list goes by expiry.
    pub share: f64,
    /// A server whose lease ran out is leaving for so long, then gone.
    pub leaving_s: f64,
}

impl Default for Leases {
    fn default() -> Self {
        Self { window_s: 10.0, share: 0.1, leaving_s: 10.0 }
    }
}

/// Ages of what is read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ages {
    /// A list that can be older is marked as stale.
    pub mark_s: f64,
    /// One that can be older is not told.
    pub refuse_s: f64,
}

impl Default for Ages {
    fn default() -> Self {
        Self { mark_s: 3.0, refuse_s: 30.0 }
    }
}

/// What callers may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsPart {
    /// Connections.
    pub connections: usize,
    /// Watches that wait.
    pub watchers: usize,
    /// Whole lists a second.
    pub whole_lists_per_s: f64,
}

impl Default for LimitsPart {
    fn default() -> Self {
        let Limits { connections, watchers, whole_lists_per_s, .. } = Limits::default();
        Self { connections, watchers, whole_lists_per_s }
    }
}

/// Times of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// A replica that has heard nothing for so long, drawn between the two, wants to lead.
    pub election_ms: [u64; 2],
    /// How often the leader is asked how far the log is committed.
    pub refresh_ms: u64,
    /// A write that takes longer has failed.
    pub patience_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { heartbeat_ms: 200, election_ms: [700, 1400], refresh_ms: 500, patience_ms: 2000 }
    }
}

/// Snapshots of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// A snapshot is made after so many entries.
    pub snapshot_every: u64,
    /// So many entries before it are kept.
    pub keep: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self { snapshot_every: 4000, keep: 1000 }
    }
}

impl Config {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
        let config: Self = toml::from_str(&text)
            .map_err(|source| ConfigError::Form { path: path.to_owned(), source: Box::new(source) })?;
        config.check(path)?;
        Ok(config)
    }

    /// Whether all of it can be meant; `path` is for the message.
    pub fn check(&self, path: &Path) -> Result<(), ConfigError> {
        let Timing { heartbeat_ms, election_ms: [least, most], refresh_ms, patience_ms } = self.timing;
        let above = |v: f64| v > 0.0 && v < 1e6;
        for (key, fine, what) in [
            ("id", self.id > 0, "must be above 0"),
            (
                "via",
                self.via.keys().all(|id| id.parse::<u64>().is_ok()),
                "must have numbers of replicas as keys",
            ),
            ("format", Format::of(self.format).is_some(), "must be 1, 2 or 3"),
            ("leases.window_s", above(self.leases.window_s), "must be above 0"),
            ("leases.share", (0.0..=1.0).contains(&self.leases.share), "must lie in 0 to 1"),
            ("leases.leaving_s", above(self.leases.leaving_s), "must be above 0"),
            ("ages.mark_s", above(self.ages.mark_s), "must be above 0"),
            ("ages.refuse_s", self.ages.refuse_s >= self.ages.mark_s, "must not be below mark_s"),
            ("limits.connections", self.limits.connections > 0, "must be above 0"),
            ("limits.watchers", self.limits.watchers > 0, "must be above 0"),
            ("limits.whole_lists_per_s", above(self.limits.whole_lists_per_s), "must be above 0"),
            (
                "timing.heartbeat_ms",
                heartbeat_ms > 0 && heartbeat_ms * 2 < least,
                "must be under half of election_ms",
            ),
            ("timing.election_ms", least < most, "must be two figures, the smaller first"),
            ("timing.refresh_ms", refresh_ms > 0, "must be above 0"),
            ("timing.patience_ms", patience_ms > 0, "must be above 0"),
            ("log.snapshot_every", self.log.snapshot_every > 0, "must be above 0"),
        ] {
            if !fine {
                return Err(ConfigError::Value { path: path.to_owned(), key, what });
            }
        }
        Ok(())
    }

    /// Where other replicas reach it.
    pub fn own_address(&self) -> String {
        self.address.clone().unwrap_or_else(|| self.listen.to_string())
    }

    /// Where this replica reaches others, by number.
    pub fn ways(&self) -> BTreeMap<u64, String> {
        self.via.iter().filter_map(|(id, at)| Some((id.parse().ok()?, at.clone()))).collect()
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
        settings.read_index_interval = ms(self.timing.refresh_ms);
        settings.request_timeout = ms(self.timing.patience_ms);
        settings.leases.window = micros(self.leases.window_s);
        settings.leases.max_expiring_share = self.leases.share;
        settings.leases.draining_time = micros(self.leases.leaving_s);
        settings.stale_after = micros(self.ages.mark_s);
        settings.refuse_after = micros(self.ages.refuse_s);
        settings.snapshot_every = self.log.snapshot_every;
        settings.retained_log_entries = self.log.keep;
        settings
    }

    /// What callers may take.
    pub fn limits(&self) -> Limits {
        let LimitsPart { connections, watchers, whole_lists_per_s } = self.limits.clone();
        Limits { connections, watchers, whole_lists_per_s, ..Limits::default() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Config, ConfigError> {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("roster.toml");
        std::fs::write(&path, text).expect("it is written");
        Config::read(&path)
    }

    #[test]
    fn an_empty_file_is_all_defaults_and_a_wrong_one_names_file_line_and_key() {
        assert_eq!(read("").expect("defaults").id, 1);
        let unknown = read("id = 2\n[leases]\nwindows_s = 3\n").expect_err("unknown").to_string();
        assert!(["roster.toml", "line 3", "windows_s"].iter().all(|w| unknown.contains(w)), "{unknown}");
        let wrong = read("[ages]\nmark_s = 5\nrefuse_s = 2\n").expect_err("wrong").to_string();
        assert!(wrong.ends_with("roster.toml: ages.refuse_s: must not be below mark_s"), "{wrong}");
        assert!(read("[timing]\nheartbeat_ms = 900\n").is_err());
    }
}
