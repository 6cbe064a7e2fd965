//! The steady-state load of each role.

use super::budgets::{self, Basis};
use super::{NOT_MEASURED, format_estimate, number, table};
use crate::capacity::{Capacity, Demand, Estimate, Mode, Role};

/// The steady-state load of each role in a fleet of the plan's size.
pub fn steady_state(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let servers = plan.sizes.servers.value;
    let [whole, services] = Mode::ALL.map(|mode| Demand::steady_state(plan, mode, servers));
    let mut rows = Vec::new();
    let mut add_row = |role: &str, what: &str, value: &dyn Fn(&Demand) -> f64, mechanism: &str| {
        let (a, b) = (number(value(&whole)), number(value(&services)));
        let cells = [role, what, &a, "-", &b, "-", "-", mechanism, "the sizes"];
        rows.push(cells.map(str::to_owned).to_vec());
    };
    let calls = plan.sizes.calls_per_s.value / servers;
    let (data_plane, control_plane) = ("sidecar data plane", "sidecar control plane");
    let (leader, follower) = ("leader", "follower");
    add_row(data_plane, "calls per second", &|_| calls, "one sidecar for each server");
    add_row(
        data_plane,
        "state: servers to select from",
        &|d| d.entries_per_sidecar,
        "the list of the control plane",
    );
    add_row(control_plane, "state: entries", &|d| d.entries_per_sidecar, "the list, in memory and in a file");
    add_row(control_plane, "messages: responses per second", &|d| d.answers_per_s, "a watch at one replica");
    add_row(leader, "state: entries", &|d| d.servers, "a replicated log and its snapshots");
    add_row(leader, "state: watches", &|d| d.watches, "sidecars spread over the replicas");
    add_row(leader, "messages: responses per second", &|d| d.watches * d.answers_per_s, "watches");
    add_row(leader, "messages: renewals per second", &|d| d.renewals_per_s, "leases in the leader's memory");
    add_row(leader, "messages: writes per second", &|d| d.writes_per_s, "a replicated log");
    add_row(follower, "state: entries", &|d| d.servers, "the same log");
    add_row(follower, "state: watches", &|d| d.watches, "sidecars spread over the replicas");
    add_row(follower, "messages: responses per second", &|d| d.watches * d.answers_per_s, "watches");
    add_row(
        "fan-out tier",
        "messages: responses per second, all sidecars",
        &|d| d.servers * d.answers_per_s,
        "none: replicas respond to each sidecar directly",
    );
    let estimates = |role, y| {
        [(Mode::Whole, &whole), (Mode::Services, &services)]
            .map(|(mode, demand)| capacity.estimate(mode, role, y, demand))
    };
    let decision = estimates(Role::Module, "decision_ns").map(|e| match e {
        Estimate::Computed { value, missing_slopes, used_slopes } => {
            Estimate::Computed { value: value * calls, missing_slopes, used_slopes }
        }
        other => other,
    });
    let slope_names = |e: &Estimate| match e {
        Estimate::Computed { used_slopes, .. } => used_slopes.join(", "),
        Estimate::NoUsableLine { slope, .. } => slope.clone(),
        Estimate::NotMeasured => NOT_MEASURED.into(),
    };
    // Without a usable line, the measured value is per decision, not per second.
    let format_cpu = |e: &Estimate| match e {
        Estimate::NoUsableLine { slope, largest_measured: (x, y) } => {
            format!("no usable line ({slope}); {} at {}", number(y * calls * 1e-7), number(*x))
        }
        other => format_estimate(other, 1e-7),
    };
    let [whole_decision, services_decision] = &decision;
    let cells = [
        data_plane.into(),
        "CPU: selection for first attempts, % of a core".into(),
        format_cpu(whole_decision),
        "-".into(),
        format_cpu(services_decision),
        "-".into(),
        "-".into(),
        "subsetting: a sidecar balances over a few servers".into(),
        slope_names(whole_decision),
    ];
    rows.push(cells.to_vec());
    for budgeted in budgets::all(plan) {
        let [whole_estimate, services_estimate] = match budgeted.basis {
            Basis::Slopes(role, y) => estimates(role, y),
            Basis::Demand(_) => [
                budgeted.estimate(capacity, Mode::Whole, &whole),
                budgeted.estimate(capacity, Mode::Services, &services),
            ],
        };
        rows.push(vec![
            budgeted.role.to_owned(),
            budgeted.what.to_owned(),
            budgeted.format_estimate(&whole_estimate),
            budgeted.margin(&whole_estimate, Mode::Whole),
            budgeted.format_estimate(&services_estimate),
            budgeted.margin(&services_estimate, Mode::Services),
            budgeted.format_budget(),
            budgeted.mechanism.to_owned(),
            budgeted.computed_from(&whole_estimate),
        ]);
    }
    // Group the rows by role, in the order of each role's first row.
    let order: Vec<String> = rows.iter().map(|r| r[0].clone()).collect();
    rows.sort_by_key(|r| order.iter().position(|role| *role == r[0]));
    let heads =
        ["role", "what", "whole", "margin", "services", "margin", "budget", "mechanism", "computed from"];
    table(&heads, &rows)
}

/// Planned components, estimated from the measured costs of existing ones.
pub fn planned(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let (s, a) = (&plan.sizes, &plan.assumptions);
    let servers = s.servers.value;
    let cpu = |per_s: f64, x: &str| {
        let cost = capacity.marginal_cost(Mode::Whole, Role::Leader, "cpu_us_per_s", x);
        cost.map_or_else(|| NOT_MEASURED.into(), |us| number(us * per_s * 1e-4))
    };
    let replica_per_zone = Demand::new(plan, Mode::Whole, servers, s.zones.value, 0.0);
    let follower = |y, scale| {
        format_estimate(&capacity.estimate(Mode::Whole, Role::Follower, y, &replica_per_zone), scale)
    };
    let shared_state_messages = servers * a.shared_messages_per_s.value;
    let release_messages =
        s.config_changes_per_day.value / crate::capacity::DAY_S * servers * a.config_share.value;
    let memory = |bytes: f64| number(bytes * 1e-6);
    let state = |count: f64, bytes: f64| (format!("{} bytes", number(count * bytes)), memory(count * bytes));
    let (shared_state, shared_memory) = state(s.services.value * s.zones.value, a.shared_bytes.value);
    let (releases, release_memory) = state(s.services.value, a.release_bytes.value);
    let rows = [
        [
            "shared state".into(),
            shared_state,
            number(shared_state_messages),
            cpu(shared_state_messages, "renewals_per_s"),
            shared_memory,
            "guessed number of messages, each at the cost of a lease renewal at the leader".into(),
        ],
        [
            "one replica per zone, each".into(),
            format!("{} entries", number(servers)),
            number(replica_per_zone.watches * replica_per_zone.answers_per_s),
            follower("cpu_us_per_s", 1e-4),
            follower("rss_bytes", 1e-6),
            "an existing follower with the watches of one zone".into(),
        ],
        [
            "configuration releases".into(),
            releases,
            number(release_messages),
            cpu(release_messages, "answers_per_s"),
            release_memory,
            "one message per change and notified sidecar, at the cost of a response with a list update"
                .into(),
        ],
    ];
    let rows = rows.map(|r: [String; 6]| r.to_vec());
    let heads =
        ["component", "state", "messages per second", "CPU, % of a core, total", "memory, MB", "computed as"];
    table(&heads, &rows)
}
