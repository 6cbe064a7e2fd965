//! What a run at scale is to be, as its file has it.

use super::lines::{self, Mode};
use crate::site::{FileError, read_text};
use serde::Deserialize;
use std::path::Path;

/// What a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SweepVariable {
    /// Hollow sidecars.
    Hollow,
    /// Servers listed.
    Listed,
    /// Changes a second.
    Changes,
}

impl From<SweepVariable> for lines::Sweep {
    fn from(over: SweepVariable) -> Self {
        match over {
            SweepVariable::Hollow => Self::Hollow,
            SweepVariable::Listed => Self::Listed,
            SweepVariable::Changes => Self::Changes,
        }
    }
}

/// One size goes through steps, the others stay.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Which.
    pub over: SweepVariable,
    /// Its values in order.
    pub steps: Vec<f64>,
}

/// Which replica is killed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KilledReplica {
    /// The one that leads.
    #[default]
    Leader,
    /// One that does not.
    Follower,
}

/// Something that happens a second into its step.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum EventSpec {
    /// Nothing.
    Steady {},
    /// A replica is killed; it starts again after the step.
    ReplicaKilled {
        /// Which.
        #[serde(default)]
        which: KilledReplica,
    },
    /// The hollow ones of a zone stand still, or are killed and started anew.
    ZoneAway {
        /// The zone; absent: the first.
        zone: Option<String>,
        /// For so long.
        #[serde(default = "while_away")]
        for_s: f64,
        /// They are killed.
        #[serde(default)]
        killed: bool,
    },
    /// All connections of hollow ones to the replicas are reset at once.
    WatchesLost {},
    /// Nothing passes between the hollow ones of a region and the replicas.
    RegionCut {
        /// The region; absent: the first.
        region: Option<String>,
        /// For so long.
        #[serde(default = "while_away")]
        for_s: f64,
    },
}

impl EventSpec {
    /// As files have it.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Steady {} => "steady",
            Self::ReplicaKilled { .. } => "replica_killed",
            Self::ZoneAway { .. } => "zone_away",
            Self::WatchesLost {} => "watches_lost",
            Self::RegionCut { .. } => "region_cut",
        }
    }
}

fn while_away() -> f64 {
    4.0
}

/// A run at scale; unknown keys are refused.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What is drawn is drawn from this.
    #[serde(default = "one")]
    pub seed: u64,
    /// What readers are told; with several, each step is played in each of them in turn.
    pub modes: Vec<Mode>,
    /// Hollow sidecars.
    pub hollow: usize,
    /// How many of them hold the lease of a server.
    #[serde(default)]
    pub leases: usize,
    /// Length of a lease; it is renewed three times as often.
    #[serde(default = "lease")]
    pub lease_ms: u64,
    /// Servers listed.
    pub listed: usize,
    /// Services that they are servers of; no more than there are servers.
    pub services: usize,
    /// Sizes of services go by one over the power of their rank; 0: all alike.
    #[serde(default = "skew")]
    pub skew: f64,
    /// Services that a sidecar calls.
    pub calls: usize,
    /// Those are drawn by their sizes, or all alike.
    #[serde(default)]
    pub by_size: bool,
    /// Zones, dealt out in turn.
    pub zones: Vec<String>,
    /// Regions, over which the zones are dealt out in turn.
    pub regions: Vec<String>,
    /// Real sidecars.
    pub sidecars: usize,
    /// Requests a second to all real sidecars together; as many go past them to the same servers.
    pub rate: f64,
    /// Changes of the list in a second.
    pub changes_per_s: f64,
    /// How long a step is measured.
    pub seconds: f64,
    /// Hollow ones in a process.
    #[serde(default = "per_process")]
    pub per_process: usize,
    /// Whole lists a second that a replica tells.
    #[serde(default = "whole_lists")]
    pub whole_lists_per_s: f64,
    /// What varies; absent where there are events.
    pub sweep: Option<Sweep>,
    /// What happens, in order.
    #[serde(default)]
    pub event: Vec<EventSpec>,
}

fn one() -> u64 {
    1
}

fn lease() -> u64 {
    6000
}

fn skew() -> f64 {
    1.0
}

fn per_process() -> usize {
    2500
}

fn whole_lists() -> f64 {
    500.0
}

/// The sizes of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// Hollow sidecars.
    pub hollow: usize,
    /// Servers listed.
    pub listed: usize,
    /// Changes in a second.
    pub changes_per_s: f64,
}

/// More files than a process of these could need open are not asked for.
const MOST_HOLLOW: usize = 30_000;
const MOST_LISTED: usize = 100_000;
/// Hollow processes.
const MOST_PROCESSES: usize = 200;

impl Plan {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, FileError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Reads the text of one; `path` is for messages.
    pub fn parse(path: &Path, text: &str) -> Result<Self, FileError> {
        let plan: Self = toml::from_str(text)
            .map_err(|source| FileError::Parse { path: path.to_owned(), source: Box::new(source) })?;
        plan.check(path)?;
        Ok(plan)
    }

    /// Whether all of it can be meant; `path` is for the message.
    pub fn check(&self, path: &Path) -> Result<(), FileError> {
        let names = |all: &[String]| {
            let plain =
                |n: &String| !n.is_empty() && n.len() <= 64 && n.bytes().all(|b| b.is_ascii_graphic());
            let once = |(i, n): (usize, &String)| !all[..i].contains(n);
            !all.is_empty() && all.iter().all(plain) && all.iter().enumerate().all(once)
        };
        let processes = self.hollow.div_ceil(self.per_process.max(1)) + self.zones.len();
        let steps = |sweep: &Sweep| {
            let whole = |s: &f64, most: usize| s.fract() == 0.0 && (1.0..=most as f64).contains(s);
            let fine = |s: &f64| match sweep.over {
                SweepVariable::Hollow => whole(s, MOST_HOLLOW),
                SweepVariable::Listed => whole(s, MOST_LISTED),
                SweepVariable::Changes => (0.0..=100.0).contains(s),
            };
            !sweep.steps.is_empty() && sweep.steps.iter().all(fine)
        };
        let once = self.modes.iter().enumerate().all(|(i, m)| !self.modes[..i].contains(m));
        for (key, fine, what) in [
            ("modes", !self.modes.is_empty() && once, "must name whole, services or both"),
            ("hollow", (1..=MOST_HOLLOW).contains(&self.hollow), "must lie in 1 to 30000"),
            ("listed", (1..=MOST_LISTED).contains(&self.listed), "must lie in 1 to 100000"),
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
            ("zones", names(&self.zones), "must be words that differ"),
            (
                "regions",
                names(&self.regions) && self.regions.len() <= self.zones.len(),
                "must be words that differ, no more than zones",
            ),
            ("sidecars", (1..=50).contains(&self.sidecars), "must lie in 1 to 50"),
            ("rate", self.rate > 0.0 && self.rate <= 20_000.0, "must lie above 0 and up to 20000"),
            ("changes_per_s", (0.0..=100.0).contains(&self.changes_per_s), "must lie in 0 to 100"),
            ("seconds", self.seconds >= 1.0 && self.seconds <= 600.0, "must lie in 1 to 600"),
            (
                "per_process",
                self.per_process > 0 && processes <= MOST_PROCESSES,
                "must be above 0 and make up to 200 processes",
            ),
            (
                "whole_lists_per_s",
                self.whole_lists_per_s > 0.0 && self.whole_lists_per_s < 1e6,
                "must be above 0",
            ),
            (
                "sweep.steps",
                self.sweep.as_ref().is_none_or(steps),
                "must be sizes that could stand in the sweep's place",
            ),
            ("sweep", self.sweep.is_some() == self.event.is_empty(), "either a sweep or events are wanted"),
        ] {
            if !fine {
                let (path, key, what) = (path.to_owned(), key.to_owned(), what.to_owned());
                return Err(FileError::InvalidValue { path, key, what });
            }
        }
        for (i, event) in self.event.iter().enumerate() {
            let known = |name: &Option<String>, all: &[String]| name.as_ref().is_none_or(|n| all.contains(n));
            let (key, fine, what) = match event {
                EventSpec::ZoneAway { zone, .. } if !known(zone, &self.zones) => {
                    ("zone", false, "is none of zones")
                }
                EventSpec::RegionCut { region, .. } if !known(region, &self.regions) => {
                    ("region", false, "is none of regions")
                }
                EventSpec::ZoneAway { for_s, .. } | EventSpec::RegionCut { for_s, .. } => (
                    "for_s",
                    *for_s > 0.0 && for_s + 1.0 < self.seconds,
                    "must be above 0, and a second shorter than seconds",
                ),
                _ => continue,
            };
            if !fine {
                let key = format!("event {i} ({}): {key}", event.name());
                return Err(FileError::InvalidValue { path: path.to_owned(), key, what: what.to_owned() });
            }
        }
        Ok(())
    }

    /// Takes some figures from elsewhere; to be checked after.
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

    /// The sizes of each step; one for all events.
    pub fn sizes(&self) -> Vec<Sizes> {
        let own = Sizes { hollow: self.hollow, listed: self.listed, changes_per_s: self.changes_per_s };
        let Some(sweep) = &self.sweep else { return vec![own] };
        let with = |s: &f64| match sweep.over {
            SweepVariable::Hollow => Sizes { hollow: *s as usize, ..own },
            SweepVariable::Listed => Sizes { listed: *s as usize, ..own },
            SweepVariable::Changes => Sizes { changes_per_s: *s, ..own },
        };
        sweep.steps.iter().map(with).collect()
    }
}
