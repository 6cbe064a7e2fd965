//! A scenario: a site, how many of each, how much traffic, and what goes wrong when. With a seed it makes a
//! [`World`](crate::model::World).

mod fault;

pub use fault::{Fault, FaultKind};

use crate::site::{FileError, Range, Site, read_text};
use serde::Deserialize;
use std::path::Path;

/// A scenario as its file has it; unknown keys are refused.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The site file, from the scenario's own folder; absent: the one that comes with the tool.
    #[serde(default)]
    pub site: Option<String>,
    /// How long clients ask.
    pub length_s: f64,
    /// Sidecars.
    pub sidecars: usize,
    /// Servers.
    pub servers: usize,
    /// Traffic as a share of what all servers, warm and whole, can do.
    pub load: Range,
    /// Work, aims, deadlines and clients' waits are this part of the site's: requests come so much faster.
    #[serde(default = "whole")]
    pub pace: f64,
    /// Discovery's own room.
    #[serde(default)]
    pub discovery: DiscoveryRoom,
    /// A roster of the project's own, in discovery's place.
    #[serde(default)]
    pub roster: Option<RosterRoom>,
    /// What a sidecar's own process adds to a request, each way.
    #[serde(default = "own_time")]
    pub sidecar_us: i64,
    /// What a sidecar's processor takes for each message, in or out; 0: it is never short.
    #[serde(default)]
    pub message_us: f64,
    /// Share of a core that a sidecar has.
    #[serde(default = "whole")]
    pub sidecar_cores: f64,
    /// Whether sidecars handle what has come once a tick, as the operators' simulator has it, or at once.
    #[serde(default)]
    pub ticked: bool,
    /// Troubles of the site's own, drawn from its list, on top of the faults.
    #[serde(default)]
    pub site_troubles: usize,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// What discovery can serve; a push costs nothing, a call to begin a watch does.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoveryRoom {
    /// Calls that it answers a second.
    pub calls_per_s: f64,
    /// A call that has waited so long fails.
    pub call_timeout_s: f64,
    /// A sidecar asks again after a failed call: the first wait.
    pub retry_ms: f64,
}

impl Default for DiscoveryRoom {
    fn default() -> Self {
        Self { calls_per_s: 20.0, call_timeout_s: 2.0, retry_ms: 250.0 }
    }
}

/// A roster of the project's own. The defaults of its times were chosen before real processes were measured, which took
/// 5 to 10 ms for a write and 2.2 to 2.5 s for a change of leader; an answer's cost was not measured (`docs/roster.md`).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RosterRoom {
    /// Replicas.
    pub replicas: usize,
    /// From a write to its being at a majority.
    pub commit_ms: Range,
    /// From the loss of a leader to the next one's first write.
    pub failover_s: Range,
    /// Leases of servers.
    pub lease_s: f64,
    /// Whole lists that a replica tells in a second.
    pub whole_lists_per_s: f64,
    /// Time that an answer takes its replica, and each line of it.
    pub answer_us: f64,
    /// See there.
    pub line_us: f64,
    /// Sidecars keep the last list over a restart.
    pub file: bool,
}

impl Default for RosterRoom {
    fn default() -> Self {
        Self {
            replicas: 3,
            commit_ms: Range::of(2.0, 6.0),
            failover_s: Range::of(1.0, 2.5),
            lease_s: 6.0,
            whole_lists_per_s: 500.0,
            answer_us: 60.0,
            line_us: 0.5,
            file: true,
        }
    }
}

fn whole() -> f64 {
    1.0
}

fn own_time() -> i64 {
    100
}

/// Scenarios that come with the tool, by name: the operators' days for large fleets as their page describes them.
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
    /// Names of the scenarios that come with the tool.
    pub fn names() -> impl Iterator<Item = &'static str> {
        BUILTIN.iter().map(|(name, _)| *name)
    }

    /// The scenario of that name, or else the file at that path, with its site.
    pub fn load(name: &str) -> Result<(Self, Site), FileError> {
        match BUILTIN.iter().find(|(n, _)| *n == name) {
            Some((_, text)) => Self::parse(Path::new(name), text),
            None => Self::parse(Path::new(name), &read_text(Path::new(name))?),
        }
    }

    /// Reads the text of one; the site is looked for beside `path`.
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
        let wrong = |key: String, what: &str| {
            Err(FileError::InvalidValue { path: path.to_owned(), key, what: what.to_owned() })
        };
        for (key, fine) in [
            ("length_s", self.length_s > 0.0 && self.length_s <= 86_400.0),
            ("sidecars", self.sidecars > 0),
            ("servers", self.servers > 0),
            ("load", self.load.low() > 0.0 && self.load.high() < 100.0),
            ("pace", self.pace > 0.0 && self.pace <= 1000.0),
            ("discovery.calls_per_s", self.discovery.calls_per_s > 0.0),
            ("roster.replicas", self.roster.as_ref().is_none_or(|r| (1..=9).contains(&r.replicas))),
            ("roster.lease_s", self.roster.as_ref().is_none_or(|r| r.lease_s >= 0.5 && r.lease_s <= 3600.0)),
            ("roster.whole_lists_per_s", self.roster.as_ref().is_none_or(|r| r.whole_lists_per_s > 0.0)),
            ("sidecar_us", (0..1_000_000).contains(&self.sidecar_us)),
            ("message_us", (0.0..1e6).contains(&self.message_us)),
            ("sidecar_cores", self.sidecar_cores > 0.0 && self.sidecar_cores <= 64.0),
        ] {
            if !fine {
                return wrong(key.into(), "is out of range");
            }
        }
        for (i, fault) in self.fault.iter().enumerate() {
            if let Some((key, what)) = fault.wrong() {
                return wrong(format!("fault {i} ({}): {key}", fault.kind.name()), what);
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_scenario_that_comes_with_the_tool_is_read() {
        for name in Scenario::names() {
            let (scenario, site) = Scenario::load(name).expect(name);
            assert_eq!((scenario.name.as_str(), site.name.as_str()), (name, "ledger"));
        }
    }

    #[test]
    fn an_unknown_key_and_a_value_out_of_range_are_told_by_line_and_key() {
        let text = include_str!("../../scenarios/calm.toml");
        let parse = |text: &str| {
            Scenario::parse(Path::new("x.toml"), text).expect_err("it can't be used").to_string()
        };
        let unknown = parse(&text.replace("sidecars =", "side_cars ="));
        assert!(
            unknown.contains("x.toml") && unknown.contains("line") && unknown.contains("side_cars"),
            "{unknown}"
        );
        let wrong = parse(&text.replace("length_s =", "length_s = -1 #"));
        assert_eq!(wrong, "x.toml: length_s: is out of range");
        let fault = parse(&format!("{text}\n[[fault]]\nkind = \"slow\"\nat_s = 1\nfor_s = 2\npart = 1.5\n"));
        assert!(fault.contains("(slow): part"), "{fault}");
    }
}
