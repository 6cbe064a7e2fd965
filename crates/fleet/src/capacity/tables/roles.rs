//! What each role takes in an ordinary second.

use super::budgets::{self, Of};
use super::{NOT_MEASURED, number, table, told};
use crate::capacity::{Capacity, Demand, Estimate, Mode, Role};

/// Each role in an ordinary second of the letter's fleet.
pub fn ordinary(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let servers = plan.sizes.servers.value;
    let [whole, services] = Mode::ALL.map(|mode| Demand::ordinary(plan, mode, servers));
    let mut rows = Vec::new();
    let mut plain = |role: &str, what: &str, of: &dyn Fn(&Demand) -> f64, mechanism: &str| {
        let (a, b) = (number(of(&whole)), number(of(&services)));
        let cells = [role, what, &a, "-", &b, "-", "-", mechanism, "the sizes"];
        rows.push(cells.map(str::to_owned).to_vec());
    };
    let calls = plan.sizes.calls_per_s.value / servers;
    let (data, control) = ("sidecar's data path", "sidecar's control");
    let (leads, follows) = ("replica that leads", "replica that follows");
    plain(data, "calls a second", &|_| calls, "one sidecar for each server");
    plain(data, "state: servers to choose among", &|d| d.told, "the list that its control keeps");
    plain(control, "state: entries", &|d| d.told, "the list, in memory and in a file");
    plain(control, "messages: answers a second", &|d| d.answers_per_s, "a watch at one replica");
    plain(leads, "state: entries", &|d| d.servers, "a replicated log and its snapshots");
    plain(leads, "state: watches", &|d| d.watches, "readers spread over the replicas");
    plain(leads, "messages: answers a second", &|d| d.watches * d.answers_per_s, "watches");
    plain(leads, "messages: renewals a second", &|d| d.renewals_per_s, "leases in the leader's memory");
    plain(leads, "messages: writes a second", &|d| d.writes_per_s, "a replicated log");
    plain(follows, "state: entries", &|d| d.servers, "the same log");
    plain(follows, "state: watches", &|d| d.watches, "readers spread over the replicas");
    plain(follows, "messages: answers a second", &|d| d.watches * d.answers_per_s, "watches");
    plain(
        "what fans out",
        "messages: answers a second of all",
        &|d| d.servers * d.answers_per_s,
        "nothing does: replicas tell each sidecar themselves",
    );
    let estimates = |role, y| {
        [(Mode::Whole, &whole), (Mode::Services, &services)]
            .map(|(mode, demand)| capacity.estimate(mode, role, y, demand))
    };
    let decision = estimates(Role::Module, "decision_ns").map(|e| match e {
        Estimate::Worked { value, without, by } => Estimate::Worked { value: value * calls, without, by },
        other => other,
    });
    let named = |e: &Estimate| match e {
        Estimate::Worked { by, .. } => by.join(", "),
        Estimate::NoLine { name, .. } => name.clone(),
        Estimate::NotMeasured => NOT_MEASURED.into(),
    };
    // Without a line the estimate is of one decision.
    let of_a_core = |e: &Estimate| match e {
        Estimate::NoLine { name, most: (x, y) } => {
            format!("no line ({name}); {} at {}", number(y * calls * 1e-7), number(*x))
        }
        other => told(other, 1e-7),
    };
    let [a, b] = &decision;
    let cells = [
        data.into(),
        "processor: first picks, % of a core".into(),
        of_a_core(a),
        "-".into(),
        of_a_core(b),
        "-".into(),
        "-".into(),
        "reach: a pick goes round few servers".into(),
        named(a),
    ];
    rows.push(cells.to_vec());
    for b in budgets::all(plan) {
        let [a, c] = match b.of {
            Of::Slopes(role, y) => estimates(role, y),
            Of::Demand(_) => {
                [b.estimate(capacity, Mode::Whole, &whole), b.estimate(capacity, Mode::Services, &services)]
            }
        };
        rows.push(vec![
            b.role.to_owned(),
            b.what.to_owned(),
            b.told(&a),
            b.margin(&a, Mode::Whole),
            b.told(&c),
            b.margin(&c, Mode::Services),
            b.budget_told(),
            b.mechanism.to_owned(),
            b.from(&a),
        ]);
    }
    // A role's rows stand together, in the order in which it first comes.
    let order: Vec<String> = rows.iter().map(|r| r[0].clone()).collect();
    rows.sort_by_key(|r| order.iter().position(|role| *role == r[0]));
    let heads =
        ["role", "what", "whole", "margin", "services", "margin", "budget", "mechanism", "worked out from"];
    table(&heads, &rows)
}

/// The parts still to come, by what those that stand cost.
pub fn to_come(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let (s, a) = (&plan.sizes, &plan.assumptions);
    let servers = s.servers.value;
    let core = |per_s: f64, x: &str| {
        let cost = capacity.cost(Mode::Whole, Role::Leader, "cpu_us_per_s", x);
        cost.map_or_else(|| NOT_MEASURED.into(), |us| number(us * per_s * 1e-4))
    };
    let zoned = Demand::with(plan, Mode::Whole, servers, s.zones.value, 0.0);
    let follower = |y, scale| told(&capacity.estimate(Mode::Whole, Role::Follower, y, &zoned), scale);
    let shared = servers * a.shared_messages_per_s.value;
    let released = s.config_changes_per_day.value / crate::capacity::DAY_S * servers * a.config_share.value;
    let memory = |bytes: f64| number(bytes * 1e-6);
    let state = |count: f64, bytes: f64| (format!("{} bytes", number(count * bytes)), memory(count * bytes));
    let (shared_state, shared_memory) = state(s.services.value * s.zones.value, a.shared_bytes.value);
    let (releases, release_memory) = state(s.services.value, a.release_bytes.value);
    let rows = [
        [
            "shared state".into(),
            shared_state,
            number(shared),
            core(shared, "renewals_per_s"),
            shared_memory,
            "guessed messages, each taken to cost what a renewal costs the leader".into(),
        ],
        [
            "zones: each replica of one a zone".into(),
            format!("{} entries", number(servers)),
            number(zoned.watches * zoned.answers_per_s),
            follower("cpu_us_per_s", 1e-4),
            follower("rss_bytes", 1e-6),
            "a follower of today with the watches of one zone".into(),
        ],
        [
            "releases".into(),
            releases,
            number(released),
            core(released, "answers_per_s"),
            release_memory,
            "each change told to each sidecar that it concerns, at the cost of an answer of the list".into(),
        ],
    ];
    let rows = rows.map(|r: [String; 6]| r.to_vec());
    let heads = [
        "part",
        "state",
        "messages a second",
        "processor, % of a core, of all",
        "memory, MB",
        "worked out as",
    ];
    table(&heads, &rows)
}
