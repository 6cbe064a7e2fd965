//! Figures with a budget, and the size of the fleet at which each exceeds it.

use super::{NOT_MEASURED, format_estimate, number, table};
use crate::capacity::{Capacity, Demand, Estimate, Mode, Plan, Role};

/// How a figure is computed.
pub enum Basis {
    /// From the slopes of this role and y.
    Slopes(Role, &'static str),
    /// From the demand alone.
    Demand(fn(&Plan, &Demand) -> f64),
}

/// A figure with a budget.
pub struct Budgeted {
    /// The component that uses the budget.
    pub role: &'static str,
    /// What is used, with its unit.
    pub what: &'static str,
    /// How it is computed.
    pub basis: Basis,
    /// The budget, in the measured unit.
    budget: f64,
    /// The budget if sidecars watch the services that they call, in the measured unit.
    budget_by_service: f64,
    /// Factor from the measured unit to the displayed one.
    pub scale: f64,
    /// The mechanism that limits the figure today.
    pub mechanism: &'static str,
    /// The mechanism that would be needed if the budget is exceeded.
    pub missing_mechanism: &'static str,
}

const PER_SERVICE_LISTS: &str = "per-service lists";
const REPLICA_PER_ZONE: &str = "a non-voting replica in each zone";
const LARGER_LIST: &str = "a list per region, or a higher limit";

/// All figures with a budget.
pub fn all(plan: &Plan) -> Vec<Budgeted> {
    let b = &plan.budgets;
    let budgeted = |role, what, basis, budget, scale, mechanism, missing_mechanism| Budgeted {
        role,
        what,
        basis,
        budget,
        budget_by_service: budget,
        scale,
        mechanism,
        missing_mechanism,
    };
    let (core, replica) = (b.sidecar_core_percent.value * 1e4, b.replica_core_percent.value * 1e4);
    let memory = b.replica_memory_mb.value * 1e6;
    let (data_plane, control_plane) = ("sidecar data plane", "sidecar control plane");
    let (leader, follower) = ("leader", "follower");
    let shared_responses = "one rendered response for all watches at the same version";
    vec![
        budgeted(
            data_plane,
            "added to a call, p99, ms",
            Basis::Slopes(Role::Sidecar, "added_us_p99"),
            b.added_ms.value * 1e3,
            1e-3,
            "subsetting: a sidecar balances over a few servers",
            PER_SERVICE_LISTS,
        ),
        budgeted(
            control_plane,
            "CPU, % of a core",
            Basis::Slopes(Role::Sidecar, "cpu_us_per_s"),
            core,
            1e-4,
            "incremental watches",
            PER_SERVICE_LISTS,
        ),
        budgeted(
            control_plane,
            "memory, MB, including the data plane",
            Basis::Slopes(Role::Sidecar, "rss_bytes"),
            b.sidecar_memory_mb.value * 1e6,
            1e-6,
            "one list in memory and one in a file",
            PER_SERVICE_LISTS,
        ),
        budgeted(
            control_plane,
            "bytes per second",
            Basis::Slopes(Role::Sidecar, "wire_bytes_per_s"),
            b.sidecar_bytes_per_s.value,
            1.0,
            "incremental watches",
            PER_SERVICE_LISTS,
        ),
        budgeted(
            "all sidecars",
            "change applied by the last one after, s",
            Basis::Slopes(Role::Fleet, "told_ms_max"),
            b.in_force_s.value * 1e3,
            1e-3,
            "watches at every replica",
            REPLICA_PER_ZONE,
        ),
        budgeted(
            "all sidecars",
            "all request the list at once, the last has it after, s",
            Basis::Demand(|plan, d| d.servers / (d.replicas * plan.assumptions.whole_lists_per_s.value)),
            b.storm_s.value,
            1.0,
            "admission control: excess requests retry later, each at a different time",
            REPLICA_PER_ZONE,
        ),
        Budgeted {
            budget_by_service: b.list_entries_by_service.value,
            ..budgeted(
                "the list",
                "entries",
                Basis::Demand(|_, d| d.servers),
                b.list_entries.value,
                1.0,
                "one list for the whole fleet",
                LARGER_LIST,
            )
        },
        budgeted(
            leader,
            "CPU, % of a core",
            Basis::Slopes(Role::Leader, "cpu_us_per_s"),
            replica,
            1e-4,
            shared_responses,
            REPLICA_PER_ZONE,
        ),
        budgeted(
            leader,
            "memory, MB",
            Basis::Slopes(Role::Leader, "rss_bytes"),
            memory,
            1e-6,
            "snapshots truncate the log",
            REPLICA_PER_ZONE,
        ),
        budgeted(
            follower,
            "CPU, % of a core",
            Basis::Slopes(Role::Follower, "cpu_us_per_s"),
            replica,
            1e-4,
            shared_responses,
            REPLICA_PER_ZONE,
        ),
        budgeted(
            follower,
            "memory, MB",
            Basis::Slopes(Role::Follower, "rss_bytes"),
            memory,
            1e-6,
            "snapshots truncate the log",
            REPLICA_PER_ZONE,
        ),
        budgeted(
            "each replica",
            "watches",
            Basis::Demand(|_, d| d.watches),
            b.replica_watches.value,
            1.0,
            "sidecars spread over the replicas",
            REPLICA_PER_ZONE,
        ),
        budgeted(
            "each replica",
            "watches while one replica is unavailable",
            Basis::Demand(|_, d| d.servers / (d.replicas - 1.0)),
            b.replica_watches.value,
            1.0,
            "sidecars switch to another replica",
            REPLICA_PER_ZONE,
        ),
    ]
}

impl Budgeted {
    /// The budget, in the measured unit.
    pub fn budget(&self, mode: Mode) -> f64 {
        match mode {
            Mode::Whole => self.budget,
            Mode::Services => self.budget_by_service,
        }
    }

    /// Formats the budget, for both modes if they differ.
    pub fn format_budget(&self) -> String {
        let [whole, services] = [self.budget, self.budget_by_service].map(|b| number(b * self.scale));
        if whole == services { whole } else { format!("{whole}; {services} with services") }
    }

    /// Estimates the figure under a demand.
    pub fn estimate(&self, capacity: &Capacity, mode: Mode, demand: &Demand) -> Estimate {
        match self.basis {
            Basis::Slopes(role, y) => capacity.estimate(mode, role, y, demand),
            Basis::Demand(figure) => {
                let value = figure(&capacity.plan, demand);
                Estimate::Computed { value, missing_slopes: Vec::new(), used_slopes: Vec::new() }
            }
        }
    }

    /// Formats an estimate of the figure.
    pub fn format_estimate(&self, estimate: &Estimate) -> String {
        format_estimate(estimate, self.scale)
    }

    /// The ratio of the budget to the estimate; if the budget is exceeded, the inverse and the missing mechanism.
    pub fn margin(&self, estimate: &Estimate, mode: Mode) -> String {
        let budget = self.budget(mode);
        match estimate.value() {
            None => "-".into(),
            Some(value) if value <= budget => {
                format!("{} times", number(budget / value.max(1e-12)))
            }
            Some(value) => {
                let excess = number(value / budget);
                format!("**{excess} times the budget, missing: {}**", self.missing_mechanism)
            }
        }
    }

    /// The slopes from which the estimate was computed.
    pub fn computed_from(&self, estimate: &Estimate) -> String {
        match (estimate, &self.basis) {
            (_, Basis::Demand(_)) => "the sizes".into(),
            (Estimate::Computed { used_slopes, .. }, _) => used_slopes.join(", "),
            (Estimate::NoUsableLine { slope, .. }, _) => slope.clone(),
            (Estimate::NotMeasured, _) => NOT_MEASURED.into(),
        }
    }

    /// Finds the number of servers above which the budget is exceeded.
    fn breaking_point(&self, capacity: &Capacity, mode: Mode, replicas: f64) -> BreakingPoint {
        let estimate = |servers| {
            let demand = Demand::new(&capacity.plan, mode, servers, replicas, 0.0);
            self.estimate(capacity, mode, &demand)
        };
        let exceeds = |servers: f64| estimate(servers).value().map(|v| v > self.budget(mode));
        let (mut low, mut high) = (1.0f64, MAX_SERVERS);
        match (exceeds(low), exceeds(high)) {
            (Some(false), Some(true)) => {}
            (Some(true), _) => return BreakingPoint::Always,
            (Some(false), _) => return BreakingPoint::Never,
            (None, _) => return BreakingPoint::Unknown(self.format_estimate(&estimate(low))),
        }
        // Demand only grows with the fleet, so the breaking point is unique unless a slope is negative.
        while high / low > 1.0 + 1e-9 {
            let middle = (low * high).sqrt();
            if exceeds(middle) == Some(true) { high = middle } else { low = middle }
        }
        BreakingPoint::At(low)
    }
}

/// Upper bound of the fleet sizes that are searched.
const MAX_SERVERS: f64 = 1e9;

/// The number of servers above which a budget is exceeded.
enum BreakingPoint {
    At(f64),
    Always,
    Never,
    /// There is no estimate; the text says why.
    Unknown(String),
}

impl BreakingPoint {
    fn size(&self) -> f64 {
        match self {
            Self::Always => 0.0,
            Self::At(size) => *size,
            Self::Never => f64::INFINITY,
            Self::Unknown(_) => f64::NAN,
        }
    }

    fn format(&self, required_servers: f64) -> String {
        match self {
            // A budget that is met exactly at the required size is not exceeded; the tolerance covers rounding errors.
            Self::At(size) if *size < required_servers * (1.0 - 1e-6) => format!("**{}**", number(*size)),
            Self::At(size) => number(*size),
            Self::Always => "**always**".into(),
            Self::Never => "never".into(),
            Self::Unknown(why) => why.clone(),
        }
    }

    /// The factor by which this breaking point lies above another one.
    fn gain(&self, current: &Self) -> String {
        let (before, after) = (current.size(), self.size());
        if before.is_nan() || after.is_nan() || before == 0.0 {
            "-".into()
        } else if after.is_infinite() {
            if before.is_infinite() { "-".into() } else { "unlimited".into() }
        } else {
            format!("{} times", number(after / before))
        }
    }
}

/// The breaking points of all budgets, lowest first, and by how much per-service lists and a replica in each zone would
/// raise them.
pub fn breaking_points(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let (required_servers, replicas) = (plan.sizes.servers.value, plan.assumptions.replicas.value);
    let mut budgets: Vec<_> = all(plan)
        .into_iter()
        .map(|b| {
            let today = b.breaking_point(capacity, Mode::Whole, replicas);
            let by_service = b.breaking_point(capacity, Mode::Services, replicas);
            let by_zone = b.breaking_point(capacity, Mode::Whole, plan.sizes.zones.value);
            (b, today, by_service, by_zone)
        })
        .collect();
    // Unknown breaking points come last, in the order of the budgets.
    let sort_key = |r: &BreakingPoint| if r.size().is_nan() { (1, 0.0) } else { (0, r.size()) };
    budgets.sort_by(|a, b| sort_key(&a.1).partial_cmp(&sort_key(&b.1)).unwrap_or(std::cmp::Ordering::Equal));
    let rows: Vec<Vec<String>> = budgets
        .iter()
        .map(|(b, today, by_service, by_zone)| {
            let demand = Demand::steady_state(plan, Mode::Whole, required_servers);
            let estimate = b.estimate(capacity, Mode::Whole, &demand);
            let share_of_budget =
                estimate.value().map_or_else(|| "-".into(), |v| number(v / b.budget(Mode::Whole)));
            vec![
                format!("{}: {}", b.role, b.what),
                b.format_budget(),
                today.format(required_servers),
                share_of_budget,
                by_service.format(required_servers),
                by_service.gain(today),
                by_zone.format(required_servers),
                by_zone.gain(today),
                b.missing_mechanism.to_owned(),
            ]
        })
        .collect();
    let zones = format!("{} replicas", number(plan.sizes.zones.value));
    let heads = [
        "what",
        "budget",
        "exceeded above, servers",
        "share of the budget at the required size",
        "exceeded above, with per-service lists",
        "gain",
        &format!("exceeded above, with {zones}"),
        "gain",
        "mechanism missing above it",
    ];
    table(&heads, &rows)
}
