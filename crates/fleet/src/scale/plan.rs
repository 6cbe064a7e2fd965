//! The plan file of a scale run.

use super::results::{self, Mode};
use crate::site::{FileError, read_text};
use serde::Deserialize;
use std::path::Path;

/// The variable of a sweep.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SweepVariable {
    /// The number of hollow sidecars.
    Hollow,
    /// The number of listed servers.
    Listed,
    /// Changes per second.
    Changes,
}

impl From<SweepVariable> for results::Sweep {
    fn from(over: SweepVariable) -> Self {
        match over {
            SweepVariable::Hollow => Self::Hollow,
            SweepVariable::Listed => Self::Listed,
            SweepVariable::Changes => Self::Changes,
        }
    }
}

/// A sweep: one variable takes a series of values, the others are constant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The variable.
    pub over: SweepVariable,
    /// Its values, in order.
    pub steps: Vec<f64>,
}

/// The replica that is killed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KilledReplica {
    /// The leader.
    #[default]
    Leader,
    /// A follower.
    Follower,
}

/// An event, which begins one second after the start of its step.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum EventSpec {
    /// No event.
    Steady {},
    /// A replica is killed, and restarted after the step.
    ReplicaKilled {
        /// The replica.
        #[serde(default)]
        which: KilledReplica,
    },
    /// The hollow sidecars of a zone are paused, or killed and restarted.
    #[serde(rename = "zone_away")]
    ZoneOutage {
        /// The zone; the first if absent.
        zone: Option<String>,
        /// The duration in seconds.
        #[serde(default = "default_outage_s")]
        for_s: f64,
        /// Whether they are killed rather than paused.
        #[serde(default)]
        killed: bool,
    },
    /// All connections of the hollow sidecars to the replicas are reset at once.
    WatchesLost {},
    /// The hollow sidecars of a region are cut off from the replicas.
    RegionCut {
        /// The region; the first if absent.
        region: Option<String>,
        /// The duration in seconds.
        #[serde(default = "default_outage_s")]
        for_s: f64,
    },
}

impl EventSpec {
    /// The name in files.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Steady {} => "steady",
            Self::ReplicaKilled { .. } => "replica_killed",
            Self::ZoneOutage { .. } => "zone_away",
            Self::WatchesLost {} => "watches_lost",
            Self::RegionCut { .. } => "region_cut",
        }
    }
}

fn default_outage_s() -> f64 {
    4.0
}

/// The plan of a scale run. Unknown keys are rejected.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The name of the plan.
    pub name: String,
    /// The random seed.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The parts of the list that sidecars watch. With several, each step runs in each mode in turn.
    pub modes: Vec<Mode>,
    /// The number of hollow sidecars.
    pub hollow: usize,
    /// The number of hollow sidecars that hold the lease of a server.
    #[serde(default)]
    pub leases: usize,
    /// The duration of a lease, which is renewed three times in that time.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// The number of listed servers.
    pub listed: usize,
    /// The number of services of these servers; at most one for each server.
    pub services: usize,
    /// The Zipf exponent of the sizes of the services: a size is proportional to `1 / rank^skew`. 0 means equal sizes.
    #[serde(default = "default_skew")]
    pub skew: f64,
    /// The number of services that a sidecar calls.
    pub calls: usize,
    /// Whether the called services are drawn with weights by their sizes, rather than uniformly.
    #[serde(default)]
    pub by_size: bool,
    /// Zones, to which the servers and the real sidecars are assigned in turn and the hollow sidecars in equal parts.
    pub zones: Vec<String>,
    /// Regions, to which the zones are assigned in turn.
    pub regions: Vec<String>,
    /// The number of real sidecars.
    pub sidecars: usize,
    /// Requests per second through all real sidecars together. As many go directly to the same servers.
    pub rate: f64,
    /// Changes of the list per second.
    pub changes_per_s: f64,
    /// How long each step is measured.
    pub seconds: f64,
    /// The number of hollow sidecars per process.
    #[serde(default = "default_per_process")]
    pub per_process: usize,
    /// The limit of full lists per second that a replica sends.
    #[serde(default = "default_whole_lists_per_s")]
    pub whole_lists_per_s: f64,
    /// The sweep; absent if there are events.
    pub sweep: Option<Sweep>,
    /// The events, in order, with one step each.
    #[serde(default)]
    pub event: Vec<EventSpec>,
}

fn default_seed() -> u64 {
    1
}

fn default_lease_ms() -> u64 {
    6000
}

fn default_skew() -> f64 {
    1.0
}

fn default_per_process() -> usize {
    2500
}

fn default_whole_lists_per_s() -> f64 {
    500.0
}

/// The sizes of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// The number of hollow sidecars.
    pub hollow: usize,
    /// The number of listed servers.
    pub listed: usize,
    /// Changes of the list per second.
    pub changes_per_s: f64,
}

/// Maximum number of hollow sidecars. It bounds the open files that a process may need.
const MAX_HOLLOW: usize = 30_000;
/// Maximum number of listed servers.
const MAX_LISTED: usize = 100_000;
/// Maximum number of processes of hollow sidecars.
const MAX_PROCESSES: usize = 200;

impl Plan {
    /// Reads and validates a plan file.
    pub fn load(path: &Path) -> Result<Self, FileError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Parses and validates the text of a plan file; `path` is for error messages.
    pub fn parse(path: &Path, text: &str) -> Result<Self, FileError> {
        let plan: Self = toml::from_str(text)
            .map_err(|source| FileError::Parse { path: path.to_owned(), source: Box::new(source) })?;
        plan.check(path)?;
        Ok(plan)
    }

    /// Validates the values; `path` is for error messages.
    pub fn check(&self, path: &Path) -> Result<(), FileError> {
        let unique_names = |all: &[String]| {
            let valid =
                |n: &String| !n.is_empty() && n.len() <= 64 && n.bytes().all(|b| b.is_ascii_graphic());
            let unique = |(i, n): (usize, &String)| !all[..i].contains(n);
            !all.is_empty() && all.iter().all(valid) && all.iter().enumerate().all(unique)
        };
        let processes = self.hollow.div_ceil(self.per_process.max(1)) + self.zones.len();
        let valid_steps = |sweep: &Sweep| {
            let count = |s: &f64, max: usize| s.fract() == 0.0 && (1.0..=max as f64).contains(s);
            let valid = |s: &f64| match sweep.over {
                SweepVariable::Hollow => count(s, MAX_HOLLOW),
                SweepVariable::Listed => count(s, MAX_LISTED),
                SweepVariable::Changes => (0.0..=100.0).contains(s),
            };
            !sweep.steps.is_empty() && sweep.steps.iter().all(valid)
        };
        let unique_modes = self.modes.iter().enumerate().all(|(i, m)| !self.modes[..i].contains(m));
        for (key, valid, what) in [
            (
                "modes",
                !self.modes.is_empty() && unique_modes,
                "must be whole, services or both, each at most once",
            ),
            ("hollow", (1..=MAX_HOLLOW).contains(&self.hollow), "must lie in 1 to 30000"),
            ("listed", (1..=MAX_LISTED).contains(&self.listed), "must lie in 1 to 100000"),
            (
                "leases",
                self.leases <= self.hollow && self.leases <= self.listed,
                "must not be above hollow or listed",
            ),
            ("lease_ms", (500..=3_600_000).contains(&self.lease_ms), "must lie in 500 to 3600000"),
            ("services", (1..=50_000).contains(&self.services), "must lie in 1 to 50000"),
            ("skew", (0.0..=4.0).contains(&self.skew), "must lie in 0 to 4"),
            (
                "calls",
                (1..=256).contains(&self.calls) && self.calls <= self.services,
                "must lie in 1 to 256 and not be above services",
            ),
            ("zones", unique_names(&self.zones), "must be unique names of 1 to 64 visible ASCII characters"),
            (
                "regions",
                unique_names(&self.regions) && self.regions.len() <= self.zones.len(),
                "must be unique names of 1 to 64 visible ASCII characters, no more than zones",
            ),
            ("sidecars", (1..=50).contains(&self.sidecars), "must lie in 1 to 50"),
            ("rate", self.rate > 0.0 && self.rate <= 20_000.0, "must be above 0 and at most 20000"),
            ("changes_per_s", (0.0..=100.0).contains(&self.changes_per_s), "must lie in 0 to 100"),
            ("seconds", self.seconds >= 1.0 && self.seconds <= 600.0, "must lie in 1 to 600"),
            (
                "per_process",
                self.per_process > 0 && processes <= MAX_PROCESSES,
                "must be above 0 and large enough for at most 200 processes",
            ),
            (
                "whole_lists_per_s",
                self.whole_lists_per_s > 0.0 && self.whole_lists_per_s < 1e6,
                "must be above 0",
            ),
            (
                "sweep.steps",
                self.sweep.as_ref().is_none_or(valid_steps),
                "must be valid values of the key that the sweep varies",
            ),
            (
                "sweep",
                self.sweep.is_some() == self.event.is_empty(),
                "either a sweep or events must be given, not both",
            ),
        ] {
            if !valid {
                let (path, key, what) = (path.to_owned(), key.to_owned(), what.to_owned());
                return Err(FileError::InvalidValue { path, key, what });
            }
        }
        for (i, event) in self.event.iter().enumerate() {
            let exists =
                |name: &Option<String>, all: &[String]| name.as_ref().is_none_or(|n| all.contains(n));
            let (key, valid, what) = match event {
                EventSpec::ZoneOutage { zone, .. } if !exists(zone, &self.zones) => {
                    ("zone", false, "is not listed in `zones`")
                }
                EventSpec::RegionCut { region, .. } if !exists(region, &self.regions) => {
                    ("region", false, "is not listed in `regions`")
                }
                EventSpec::ZoneOutage { for_s, .. } | EventSpec::RegionCut { for_s, .. } => (
                    "for_s",
                    *for_s > 0.0 && for_s + 1.0 < self.seconds,
                    "must be above 0 and less than `seconds` minus 1",
                ),
                _ => continue,
            };
            if !valid {
                let key = format!("event {i} ({}): {key}", event.name());
                return Err(FileError::InvalidValue { path: path.to_owned(), key, what: what.to_owned() });
            }
        }
        Ok(())
    }

    /// Replaces some values by those given; [`Plan::check`] is to be called afterwards.
    pub fn apply_overrides(
        &mut self,
        hollow: Option<usize>,
        seconds: Option<f64>,
        seed: Option<u64>,
        modes: &[String],
    ) {
        if let Some(hollow) = hollow {
            self.hollow = hollow;
            self.leases = self.leases.min(hollow);
            if let Some(sweep) = self.sweep.as_mut().filter(|s| s.over == SweepVariable::Hollow) {
                sweep.steps = vec![hollow as f64];
            }
        }
        self.seconds = seconds.unwrap_or(self.seconds);
        self.seed = seed.unwrap_or(self.seed);
        if !modes.is_empty() {
            let all = [Mode::Whole, Mode::Services];
            self.modes = all.into_iter().filter(|m| modes.iter().any(|n| n == m.name())).collect();
        }
    }

    /// The sizes of each step of the sweep, or the constant sizes if there are events.
    pub fn sizes(&self) -> Vec<Sizes> {
        let base = Sizes { hollow: self.hollow, listed: self.listed, changes_per_s: self.changes_per_s };
        let Some(sweep) = &self.sweep else { return vec![base] };
        let with = |s: &f64| match sweep.over {
            SweepVariable::Hollow => Sizes { hollow: *s as usize, ..base },
            SweepVariable::Listed => Sizes { listed: *s as usize, ..base },
            SweepVariable::Changes => Sizes { changes_per_s: *s, ..base },
        };
        sweep.steps.iter().map(with).collect()
    }
}
