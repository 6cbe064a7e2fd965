//! What goes wrong, and when.

use crate::site::Range;
use serde::Deserialize;

/// One fault. What the figures mean depends on the kind; each kind says which it uses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts, or over how long its steps are spread.
    #[serde(default)]
    pub for_s: Range,
    /// Share of those that it can strike.
    #[serde(default = "default_part")]
    pub part: Range,
    /// Its strength.
    #[serde(default = "default_size")]
    pub size: Range,
    /// A further figure.
    #[serde(default)]
    pub extra: Range,
    /// The zone, by its place in the site's list; absent: one is drawn.
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
    /// `part` of the servers stand still for `size` ms, `extra` s apart, for `for_s`.
    Pauses,
    /// `part` of the servers' machines go silent for `for_s` and come back cold.
    Vanish,
    /// `part` of the servers run `size` times slower for `for_s`.
    Slow,
    /// `part` of the servers answer a share `size` of requests with an error for `for_s`.
    Errors,
    /// `part` of the servers turn the class at place `extra` of the site's list away for `for_s`.
    #[serde(rename = "turn_away_class")]
    RejectClass,
    /// `part` of the servers' processes die at once, connections reset, and start again cold after `for_s`.
    Crash,
    /// All servers of a zone go silent for `for_s` and come back cold.
    ZoneLost,
    /// The links between a zone and the others carry nothing for `for_s`.
    ZoneCut,
    /// The links out of a zone carry nothing; those into it do.
    ZoneCutOut,
    /// `size` times the traffic for `for_s`, rising and falling over `extra` s.
    Burst,
    /// The traffic of a zone's sidecars is `size` times as much for `for_s`.
    Shift,
    /// `part` of the servers are drained and replaced by new machines, evenly over `for_s`.
    Replace,
    /// `part` of the servers are drained and restarted, evenly over `for_s`.
    Restart,
    /// `part` of the servers are taken out at every sidecar by operators' calls, ended, started again `extra` s later,
    /// and given back once the list has them; evenly over `for_s`.
    RestartByHand,
    /// `part` of the sidecars are killed at once; each is back after `for_s`.
    SidecarsKilled,
    /// `part` of the sidecars are told to stop, evenly over `for_s`; each is back `extra` s after its end.
    SidecarsRestarted,
    /// `part` of the sidecars are upgraded with their listening socket passed on, evenly over `for_s`.
    SidecarsUpgraded,
    /// Discovery neither tells nor answers for `for_s`.
    DiscoveryDown,
    /// The replica of the roster `extra` places after its leader is killed, and back after `for_s`.
    #[serde(rename = "roster_killed")]
    RegistryKilled,
    /// The same, which stands still for so long.
    #[serde(rename = "roster_held")]
    RegistryPaused,
    /// A share `size` of the answers of all servers is lost with its connection for `for_s`.
    Resets,
    /// A share `size` of the answers of all servers can't be read, for `for_s`.
    #[serde(rename = "spoilt")]
    CorruptResponses,
    /// A share `size` of new connections comes up `extra` s late, for `for_s`.
    LateConnects,
    /// `part` of the sidecars get `size` messages a second that are no requests, for `for_s`.
    #[serde(rename = "bad_clients")]
    MalformedClients,
    /// Clients try `size` times as often, and a share `extra` of them leaves early, for `for_s`.
    #[serde(rename = "eager")]
    RetrySurge,
}

impl FaultKind {
    /// Its name in files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Pauses => "pauses",
            Self::Vanish => "vanish",
            Self::Slow => "slow",
            Self::Errors => "errors",
            Self::RejectClass => "turn_away_class",
            Self::Crash => "crash",
            Self::ZoneLost => "zone_lost",
            Self::ZoneCut => "zone_cut",
            Self::ZoneCutOut => "zone_cut_out",
            Self::Burst => "burst",
            Self::Shift => "shift",
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

    /// The site's troubles, whose names are the operators'.
    pub fn from_trouble(name: &str) -> Option<Self> {
        let all = [Self::Pauses, Self::Vanish, Self::Slow, Self::Burst, Self::ZoneCut];
        all.into_iter().find(|kind| kind.name() == name)
    }
}

impl Fault {
    /// The key that can't be meant, and why.
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
