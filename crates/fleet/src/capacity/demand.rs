//! The demand that a fleet of a given size places on each component: the x at which fitted lines are evaluated.

use super::{Mode, Plan, Role};

/// Names of the variables (`x` of a slope) whose value can be derived from a fleet's size.
pub const X_NAMES: [&str; 9] = [
    "watches",
    "connections",
    "hollow",
    "listed",
    "entries",
    "changes_per_s",
    "writes_per_s",
    "answers_per_s",
    "renewals_per_s",
];

/// The demand that a fleet of a given size places on its components per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Servers, each with its sidecar.
    pub servers: f64,
    /// Entries of the part of the endpoint list that one sidecar watches.
    pub entries_per_sidecar: f64,
    /// Writes to the endpoint list per second, including configuration changes.
    pub writes_per_s: f64,
    /// Writes per second of which one sidecar is notified.
    pub updates_per_s: f64,
    /// Responses that one sidecar receives per second, including those without an update.
    pub answers_per_s: f64,
    /// Lease renewals that the leader handles per second.
    pub renewals_per_s: f64,
    /// Replicas that serve sidecars.
    pub replicas: f64,
    /// Watches per replica.
    pub watches: f64,
}

impl Demand {
    /// The steady-state demand of a fleet of that many servers. The number of daily changes grows with the fleet, the
    /// number of services does not.
    pub fn steady_state(plan: &Plan, mode: Mode, servers: f64) -> Self {
        Self::new(plan, mode, servers, plan.assumptions.replicas.value, 0.0)
    }

    /// The demand while that many replicas serve sidecars, with additional writes for servers per second.
    pub fn new(plan: &Plan, mode: Mode, servers: f64, replicas: f64, extra_writes_per_s: f64) -> Self {
        let (s, a) = (&plan.sizes, &plan.assumptions);
        let growth = servers / s.servers.value;
        let failures = s.machine_failures_per_day.value * a.servers_per_machine.value;
        let server_writes_per_day =
            s.restarts_per_day.value * a.writes_per_restart.value + failures * a.writes_per_failure.value;
        let server_writes_per_s = growth * server_writes_per_day / DAY_S + extra_writes_per_s;
        let config_writes_per_s = growth * s.config_changes_per_day.value / DAY_S;
        let watched_share = match mode {
            Mode::Whole => 1.0,
            Mode::Services => a.services_called.value / s.services.value,
        };
        let updates_per_s = server_writes_per_s * watched_share + config_writes_per_s * a.config_share.value;
        // A watch is answered at the next update or after `watch_wait_s`, whichever is first; then the sidecar pauses.
        // This is the mean duration of a watch if updates are a Poisson process.
        let mean_watch_s = (1.0 - (-updates_per_s * a.watch_wait_s.value).exp()) / updates_per_s;
        Self {
            servers,
            entries_per_sidecar: servers * watched_share,
            writes_per_s: server_writes_per_s + config_writes_per_s,
            updates_per_s,
            answers_per_s: 1.0 / (mean_watch_s + a.watch_spacing_s.value),
            renewals_per_s: servers * a.renewals_per_lease.value / a.lease_s.value,
            replicas,
            watches: servers / replicas,
        }
    }

    /// The value of the variable named `x` for a role; `None` if it can't be derived.
    pub fn value(&self, role: Role, x: &str) -> Option<f64> {
        let is_replica = matches!(role, Role::Leader | Role::Follower);
        Some(match x {
            "watches" | "connections" => self.watches,
            "hollow" => self.servers,
            // The decision module processes the entries that its sidecar watches, in every mode.
            "listed" | "entries" if role == Role::Module => self.entries_per_sidecar,
            "listed" => self.servers,
            "entries" => {
                if is_replica {
                    self.servers
                } else {
                    self.entries_per_sidecar
                }
            }
            "changes_per_s" | "writes_per_s" => self.writes_per_s,
            "answers_per_s" => self.answers_per_s * if is_replica { self.watches } else { 1.0 },
            "renewals_per_s" => self.renewals_per_s,
            _ => return None,
        })
    }
}

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;
