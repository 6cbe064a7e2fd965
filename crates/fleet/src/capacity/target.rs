//! What a fleet of a size asks of each part: the values of x at which slopes are read.

use super::{Mode, Plan, Role};

/// Values of x that have one at a fleet's size.
pub const KNOWN: [&str; 9] = [
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

/// What a fleet of a size asks of its parts in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Servers, each with its sidecar.
    pub servers: f64,
    /// Entries that a sidecar is told.
    pub told: f64,
    /// Writes of the list a second, changes of configuration among them.
    pub writes_per_s: f64,
    /// Of those, what one reader is told of.
    pub news_per_s: f64,
    /// Answers that one reader gets in a second, those without news among them.
    pub answers_per_s: f64,
    /// Renewals of leases that the leader takes.
    pub renewals_per_s: f64,
    /// Replicas that serve.
    pub replicas: f64,
    /// Watches of one replica.
    pub watches: f64,
}

impl Demand {
    /// Of an ordinary second of a fleet of so many servers. What happens in a day grows with the fleet, the number of
    /// services does not.
    pub fn ordinary(plan: &Plan, mode: Mode, servers: f64) -> Self {
        Self::with(plan, mode, servers, plan.assumptions.replicas.value, 0.0)
    }

    /// Of a second in which so many replicas serve, and the list changes so often besides.
    pub fn with(plan: &Plan, mode: Mode, servers: f64, replicas: f64, more_per_s: f64) -> Self {
        let (s, a) = (&plan.sizes, &plan.assumptions);
        let grown = servers / s.servers.value;
        let failures = s.machine_failures_per_day.value * a.servers_per_machine.value;
        let of_servers =
            s.restarts_per_day.value * a.writes_per_restart.value + failures * a.writes_per_failure.value;
        let listing = grown * of_servers / DAY_S + more_per_s;
        let configuration = grown * s.config_changes_per_day.value / DAY_S;
        let part = match mode {
            Mode::Whole => 1.0,
            Mode::Services => a.services_called.value / s.services.value,
        };
        let news_per_s = listing * part + configuration * a.config_share.value;
        // A watch is answered by the next news or, where none come, at the end of its wait; then comes the spacing.
        let waited = (1.0 - (-news_per_s * a.watch_wait_s.value).exp()) / news_per_s;
        Self {
            servers,
            told: servers * part,
            writes_per_s: listing + configuration,
            news_per_s,
            answers_per_s: 1.0 / (waited + a.watch_spacing_s.value),
            renewals_per_s: servers * a.renewals_per_lease.value / a.lease_s.value,
            replicas,
            watches: servers / replicas,
        }
    }

    /// The x of a role's slope.
    pub fn of(&self, role: Role, x: &str) -> Option<f64> {
        let replica = matches!(role, Role::Leader | Role::Follower);
        Some(match x {
            "watches" | "connections" => self.watches,
            "hollow" => self.servers,
            // The module has no modes: it goes through what its sidecar was told.
            "listed" | "entries" if role == Role::Module => self.told,
            "listed" => self.servers,
            "entries" => {
                if replica {
                    self.servers
                } else {
                    self.told
                }
            }
            "changes_per_s" | "writes_per_s" => self.writes_per_s,
            "answers_per_s" => self.answers_per_s * if replica { self.watches } else { 1.0 },
            "renewals_per_s" => self.renewals_per_s,
            _ => return None,
        })
    }
}

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;
