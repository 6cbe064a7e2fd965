//! What has a budget, and at which size of the fleet that is reached.

use super::{NOT_MEASURED, number, table, told};
use crate::capacity::{Capacity, Demand, Estimate, Mode, Plan, Role};

/// How a figure is found.
pub enum Of {
    /// By slopes of this role and y.
    Slopes(Role, &'static str),
    /// By the demand alone.
    Demand(fn(&Plan, &Demand) -> f64),
}

/// What has a budget.
pub struct Budgeted {
    /// Who spends it.
    pub role: &'static str,
    /// What is spent.
    pub what: &'static str,
    /// How it is found.
    pub of: Of,
    /// The budget, in the measured unit.
    budget: f64,
    /// The same where readers ask for services.
    budget_by_service: f64,
    /// The measured unit as a part of the one that is told.
    pub scale: f64,
    /// The mechanism that carries it today.
    pub mechanism: &'static str,
    /// The mechanism that is missing where the budget is not met.
    pub missing: &'static str,
}

const BY_SERVICE: &str = "lists by service";
const BY_ZONE: &str = "a replica in each zone that reads without a vote";
const LONGER: &str = "a list for each region, or a higher bound";

/// All that has one.
pub fn all(plan: &Plan) -> Vec<Budgeted> {
    let b = &plan.budgets;
    let of = |role, what, of, budget, scale, mechanism, missing| Budgeted {
        role,
        what,
        of,
        budget,
        budget_by_service: budget,
        scale,
        mechanism,
        missing,
    };
    let (core, replica) = (b.sidecar_core_percent.value * 1e4, b.replica_core_percent.value * 1e4);
    let memory = b.replica_memory_mb.value * 1e6;
    let (data, control) = ("sidecar's data path", "sidecar's control");
    let (leads, follows) = ("replica that leads", "replica that follows");
    let answered = "answers written once for all who are at one version";
    vec![
        of(
            data,
            "added to a call, p99, ms",
            Of::Slopes(Role::Sidecar, "added_us_p99"),
            b.added_ms.value * 1e3,
            1e-3,
            "reach: a pick goes round few servers",
            BY_SERVICE,
        ),
        of(
            control,
            "processor, % of a core",
            Of::Slopes(Role::Sidecar, "cpu_us_per_s"),
            core,
            1e-4,
            "watches that tell what changed",
            BY_SERVICE,
        ),
        of(
            control,
            "memory, MB, its data path's included",
            Of::Slopes(Role::Sidecar, "rss_bytes"),
            b.sidecar_memory_mb.value * 1e6,
            1e-6,
            "one list in memory and one in a file",
            BY_SERVICE,
        ),
        of(
            control,
            "bytes a second",
            Of::Slopes(Role::Sidecar, "wire_bytes_per_s"),
            b.sidecar_bytes_per_s.value,
            1.0,
            "watches that tell what changed",
            BY_SERVICE,
        ),
        of(
            "all sidecars",
            "a change in force in the last one, s",
            Of::Slopes(Role::Fleet, "told_ms_max"),
            b.in_force_s.value * 1e3,
            1e-3,
            "watches at every replica",
            BY_ZONE,
        ),
        of(
            "all sidecars",
            "all ask at once: the last has a list after, s",
            Of::Demand(|plan, d| d.servers / (d.replicas * plan.assumptions.whole_lists_per_s.value)),
            b.storm_s.value,
            1.0,
            "admission: those beyond the rate come later, each at a time of its own",
            BY_ZONE,
        ),
        Budgeted {
            budget_by_service: b.list_entries_by_service.value,
            ..of(
                "the list",
                "entries",
                Of::Demand(|_, d| d.servers),
                b.list_entries.value,
                1.0,
                "one list for all",
                LONGER,
            )
        },
        of(
            leads,
            "processor, % of a core",
            Of::Slopes(Role::Leader, "cpu_us_per_s"),
            replica,
            1e-4,
            answered,
            BY_ZONE,
        ),
        of(
            leads,
            "memory, MB",
            Of::Slopes(Role::Leader, "rss_bytes"),
            memory,
            1e-6,
            "snapshots cut the log",
            BY_ZONE,
        ),
        of(
            follows,
            "processor, % of a core",
            Of::Slopes(Role::Follower, "cpu_us_per_s"),
            replica,
            1e-4,
            answered,
            BY_ZONE,
        ),
        of(
            follows,
            "memory, MB",
            Of::Slopes(Role::Follower, "rss_bytes"),
            memory,
            1e-6,
            "snapshots cut the log",
            BY_ZONE,
        ),
        of(
            "each replica",
            "watches",
            Of::Demand(|_, d| d.watches),
            b.replica_watches.value,
            1.0,
            "readers spread over the replicas",
            BY_ZONE,
        ),
        of(
            "each replica",
            "watches while one replica is away",
            Of::Demand(|_, d| d.servers / (d.replicas - 1.0)),
            b.replica_watches.value,
            1.0,
            "readers go to another replica",
            BY_ZONE,
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

    /// The budget for a person, of both modes where they differ.
    pub fn budget_told(&self) -> String {
        let [whole, services] = [self.budget, self.budget_by_service].map(|b| number(b * self.scale));
        if whole == services { whole } else { format!("{whole}; {services} with services") }
    }

    /// The figure under a demand.
    pub fn estimate(&self, capacity: &Capacity, mode: Mode, demand: &Demand) -> Estimate {
        match self.of {
            Of::Slopes(role, y) => capacity.estimate(mode, role, y, demand),
            Of::Demand(figure) => {
                let value = figure(&capacity.plan, demand);
                Estimate::Worked { value, without: Vec::new(), by: Vec::new() }
            }
        }
    }

    /// The figure for a person.
    pub fn told(&self, estimate: &Estimate) -> String {
        told(estimate, self.scale)
    }

    /// How often it goes into the budget, or by how much it is beyond, with the mechanism that is missing.
    pub fn margin(&self, estimate: &Estimate, mode: Mode) -> String {
        let budget = self.budget(mode);
        match estimate.value() {
            None => "-".into(),
            Some(value) if value <= budget => {
                format!("{} times", number(budget / value.max(1e-12)))
            }
            Some(value) => {
                let beyond = number(value / budget);
                format!("**{beyond} times the budget, missing: {}**", self.missing)
            }
        }
    }

    /// Slopes that the figure comes from.
    pub fn from(&self, estimate: &Estimate) -> String {
        match (estimate, &self.of) {
            (_, Of::Demand(_)) => "the sizes".into(),
            (Estimate::Worked { by, .. }, _) => by.join(", "),
            (Estimate::NoLine { name, .. }, _) => name.clone(),
            (Estimate::NotMeasured, _) => NOT_MEASURED.into(),
        }
    }

    /// The number of servers at which the budget is reached.
    fn reached(&self, capacity: &Capacity, mode: Mode, replicas: f64) -> Reached {
        let figure = |servers| {
            let demand = Demand::with(&capacity.plan, mode, servers, replicas, 0.0);
            self.estimate(capacity, mode, &demand)
        };
        let beyond = |servers: f64| figure(servers).value().map(|v| v > self.budget(mode));
        let (mut low, mut high) = (1.0f64, MOST);
        match (beyond(low), beyond(high)) {
            (Some(false), Some(true)) => {}
            (Some(true), _) => return Reached::Always,
            (Some(false), _) => return Reached::Never,
            (None, _) => return Reached::Unknown(self.told(&figure(low))),
        }
        // Demands only grow with the fleet, so there is one such size where no slope falls.
        while high / low > 1.0 + 1e-9 {
            let middle = (low * high).sqrt();
            if beyond(middle) == Some(true) { high = middle } else { low = middle }
        }
        Reached::At(low)
    }
}

/// Sizes beyond this are not looked at.
const MOST: f64 = 1e9;

enum Reached {
    At(f64),
    Always,
    Never,
    Unknown(String),
}

impl Reached {
    fn size(&self) -> f64 {
        match self {
            Self::Always => 0.0,
            Self::At(size) => *size,
            Self::Never => f64::INFINITY,
            Self::Unknown(_) => f64::NAN,
        }
    }

    fn told(&self, letter: f64) -> String {
        match self {
            // Where the letter's size is just what is allowed, nothing is broken.
            Self::At(size) if *size < letter * (1.0 - 1e-6) => format!("**{}**", number(*size)),
            Self::At(size) => number(*size),
            Self::Always => "**at any**".into(),
            Self::Never => "at none".into(),
            Self::Unknown(why) => why.clone(),
        }
    }

    fn gain(&self, from: &Self) -> String {
        let (now, then) = (from.size(), self.size());
        if now.is_nan() || then.is_nan() || now == 0.0 {
            "-".into()
        } else if then.is_infinite() {
            if now.is_infinite() { "-".into() } else { "all".into() }
        } else {
            format!("{} times", number(then / now))
        }
    }
}

/// What breaks its budget soonest as the fleet grows, and what the candidates gain.
pub fn breaks(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let (letter, now) = (plan.sizes.servers.value, plan.assumptions.replicas.value);
    let mut found: Vec<_> = all(plan)
        .into_iter()
        .map(|b| {
            let today = b.reached(capacity, Mode::Whole, now);
            let by_service = b.reached(capacity, Mode::Services, now);
            let by_zone = b.reached(capacity, Mode::Whole, plan.sizes.zones.value);
            (b, today, by_service, by_zone)
        })
        .collect();
    // What is not known comes last, in the order of the list.
    let place = |r: &Reached| if r.size().is_nan() { (1, 0.0) } else { (0, r.size()) };
    found.sort_by(|a, b| place(&a.1).partial_cmp(&place(&b.1)).unwrap_or(std::cmp::Ordering::Equal));
    let rows: Vec<Vec<String>> = found
        .iter()
        .map(|(b, today, by_service, by_zone)| {
            let demand = Demand::ordinary(plan, Mode::Whole, letter);
            let estimate = b.estimate(capacity, Mode::Whole, &demand);
            let of_budget =
                estimate.value().map_or_else(|| "-".into(), |v| number(v / b.budget(Mode::Whole)));
            vec![
                format!("{}: {}", b.role, b.what),
                b.budget_told(),
                today.told(letter),
                of_budget,
                by_service.told(letter),
                by_service.gain(today),
                by_zone.told(letter),
                by_zone.gain(today),
                b.missing.to_owned(),
            ]
        })
        .collect();
    let zones = format!("{} replicas", number(plan.sizes.zones.value));
    let heads = [
        "what",
        "budget",
        "reached at servers",
        "part of the budget at the letter's size",
        "reached with lists by service",
        "gain",
        &format!("reached with {zones}"),
        "gain",
        "mechanism that is missing beyond it",
    ];
    table(&heads, &rows)
}
