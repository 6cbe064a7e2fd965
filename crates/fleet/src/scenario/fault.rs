//! The scheduled faults of a scenario.

use crate::site::Range;
use serde::Deserialize;

/// A fault. The meaning of its parameters depends on the kind; each kind documents those that it uses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, or the time over which its steps are spread, in seconds.
    #[serde(default)]
    pub for_s: Range,
    /// Share of the servers or sidecars that it affects.
    #[serde(default = "default_part")]
    pub part: Range,
    /// Its magnitude.
    #[serde(default = "default_size")]
    pub size: Range,
    /// A further parameter, specific to the kind.
    #[serde(default)]
    pub extra: Range,
    /// Index of the zone in the site's list; a random one if absent.
    #[serde(default)]
    pub zone: Option<usize>,
}

fn default_part() -> Range {
    Range::new(1.0, 1.0)
}

fn default_size() -> Range {
    Range::new(1.0, 1.0)
}

/// The kinds of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `part` of the servers pause for `size` ms every `extra` s, for `for_s`.
    Pauses,
    /// `part` of the servers' machines stop responding for `for_s` and come back with a slow start.
    #[serde(rename = "vanish")]
    MachinesUnresponsive,
    /// `part` of the servers run `size` times slower for `for_s`.
    Slow,
    /// `part` of the servers answer a share `size` of requests with an error for `for_s`.
    Errors,
    /// `part` of the servers reject the class with index `extra` in the site's list for `for_s`.
    #[serde(rename = "turn_away_class")]
    RejectClass,
    /// `part` of the servers' processes crash at the same time, resetting their connections, and restart with a slow
    /// start after `for_s`.
    Crash,
    /// All servers of a zone stop responding for `for_s` and come back with a slow start.
    ZoneLost,
    /// The links between a zone and the others carry nothing for `for_s`.
    ZoneCut,
    /// The links out of a zone carry nothing; those into it do.
    ZoneCutOut,
    /// `size` times the traffic for `for_s`, rising and falling over `extra` s.
    Burst,
    /// The traffic of a zone's sidecars is `size` times as much for `for_s`.
    #[serde(rename = "shift")]
    ZoneTraffic,
    /// `part` of the servers are drained and replaced by new machines, evenly over `for_s`.
    Replace,
    /// `part` of the servers are drained and restarted, evenly over `for_s`.
    Restart,
    /// `part` of the servers are cordoned on every sidecar by operators, stopped, restarted `extra` s later, and
    /// uncordoned once they are listed again; evenly over `for_s`.
    RestartByHand,
    /// `part` of the sidecars are killed at the same time; each is back after `for_s`.
    SidecarsKilled,
    /// `part` of the sidecars are stopped gracefully, evenly over `for_s`; each restarts `extra` s after it has
    /// exited.
    SidecarsRestarted,
    /// `part` of the sidecars are upgraded with a hand-over of their listening socket, evenly over `for_s`.
    SidecarsUpgraded,
    /// Discovery is down for `for_s`: it neither pushes updates nor answers fetches.
    DiscoveryDown,
    /// The registry replica `extra` positions after the leader is killed, and back after `for_s`.
    #[serde(rename = "roster_killed")]
    RegistryKilled,
    /// The registry replica `extra` positions after the leader is paused for `for_s`.
    #[serde(rename = "roster_held")]
    RegistryPaused,
    /// A share `size` of all servers' responses is lost to connection resets for `for_s`.
    Resets,
    /// A share `size` of all servers' responses is corrupt for `for_s`.
    #[serde(rename = "spoilt")]
    CorruptResponses,
    /// A share `size` of new connections takes `extra` s longer to establish, for `for_s`.
    LateConnects,
    /// `part` of the sidecars receive `size` malformed messages a second for `for_s`.
    #[serde(rename = "bad_clients")]
    MalformedClients,
    /// Clients make `size` times as many retries, and an additional share `extra` of them disconnects early, for
    /// `for_s`.
    #[serde(rename = "eager")]
    RetrySurge,
}

impl FaultKind {
    /// Its name in scenario files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Pauses => "pauses",
            Self::MachinesUnresponsive => "vanish",
            Self::Slow => "slow",
            Self::Errors => "errors",
            Self::RejectClass => "turn_away_class",
            Self::Crash => "crash",
            Self::ZoneLost => "zone_lost",
            Self::ZoneCut => "zone_cut",
            Self::ZoneCutOut => "zone_cut_out",
            Self::Burst => "burst",
            Self::ZoneTraffic => "shift",
            Self::Replace => "replace",
            Self::Restart => "restart",
            Self::RestartByHand => "restart_by_hand",
            Self::SidecarsKilled => "sidecars_killed",
            Self::SidecarsRestarted => "sidecars_restarted",
            Self::SidecarsUpgraded => "sidecars_upgraded",
            Self::DiscoveryDown => "discovery_down",
            Self::RegistryKilled => "roster_killed",
            Self::RegistryPaused => "roster_held",
            Self::Resets => "resets",
            Self::CorruptResponses => "spoilt",
            Self::LateConnects => "late_connects",
            Self::MalformedClients => "bad_clients",
            Self::RetrySurge => "eager",
        }
    }

    /// The kind for a fault of a site file (`trouble`), whose names the operators define; `None` for those that are
    /// not simulated.
    pub fn from_site_fault(name: &str) -> Option<Self> {
        let all = [Self::Pauses, Self::MachinesUnresponsive, Self::Slow, Self::Burst, Self::ZoneCut];
        all.into_iter().find(|kind| kind.name() == name)
    }
}

impl Fault {
    /// The first key with an invalid value, and what is wrong with it.
    pub(super) fn invalid_key(&self) -> Option<(&'static str, &'static str)> {
        let share = |r: Range| r.low() >= 0.0 && r.high() <= 1.0;
        use FaultKind::{CorruptResponses, Errors, LateConnects, Resets};
        let of_answers = matches!(self.kind, Errors | Resets | CorruptResponses | LateConnects);
        [
            (self.at_s >= 0.0, "at_s", "must not be negative"),
            (self.for_s.low() >= 0.0, "for_s", "must not be negative"),
            (share(self.part), "part", "must lie in 0 to 1"),
            (self.size.low() > 0.0 && self.size.high() < 1e6, "size", "must be above 0"),
            (!of_answers || share(self.size), "size", "is a share, and must lie in 0 to 1"),
        ]
        .into_iter()
        .find(|(fine, ..)| !fine)
        .map(|(_, key, what)| (key, what))
    }
}
