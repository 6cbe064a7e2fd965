//! What events ask of the parts.

use super::{NOT_MEASURED, number, table, told};
use crate::capacity::{Capacity, Demand, Mode, Role};

/// What an event brings.
struct Event {
    name: &'static str,
    /// Servers that are not heard of any more.
    leave: f64,
    /// Servers that register.
    come: f64,
    /// Sidecars that ask for a whole list.
    ask: f64,
    /// Replicas that go with it.
    replicas: f64,
    /// How long it takes where it is no matter of leases, s.
    over_s: f64,
}

/// The events of the letter at its sizes.
pub fn worked(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let (s, a) = (&plan.sizes, &plan.assumptions);
    let servers = s.servers.value;
    let (rack, zone) = (a.servers_per_rack.value, servers / s.zones.value);
    let region = zone * (s.zones.value / s.regions.value).ceil();
    let (day, back) = (crate::capacity::DAY_S, a.registration_s.value);
    let event = |name, leave, come, ask, replicas, over_s| Event { name, leave, come, ask, replicas, over_s };
    let restarts = s.restarts_per_day.value;
    let events = [
        event("a rack fails", rack, 0.0, 0.0, 0.0, 0.0),
        event("a rack's servers come up elsewhere", 0.0, rack, rack, 0.0, back),
        event("a zone fails, with a replica", zone, 0.0, 0.0, 1.0, 0.0),
        event("a zone's servers come back", 0.0, zone, zone, 0.0, back),
        event("the largest region is cut off for an hour, with a replica", region, 0.0, 0.0, 1.0, 0.0),
        event("that region's return", 0.0, region, region, 0.0, back),
        event("the restarts of a day, evenly", 0.0, restarts, restarts, 0.0, day),
        event("all sidecars ask at once", 0.0, 0.0, servers, 0.0, 0.0),
    ];
    let rows: Vec<Vec<String>> = events.iter().map(|e| row(capacity, e)).collect();
    let heads = [
        "event",
        "servers that leave",
        "servers that register",
        "writes of the list",
        "in s",
        "writes a second",
        "no writes for, s, where the leader goes",
        "leader's processor meanwhile, % of a core: whole",
        "services",
        "sidecars that ask for a whole list",
        "the last has it after, s",
        "against the budget",
    ];
    table(&heads, &rows)
}

fn row(capacity: &Capacity, e: &Event) -> Vec<String> {
    let plan = &capacity.plan;
    let a = &plan.assumptions;
    let servers = plan.sizes.servers.value;
    // The first window's share goes as soon as leases are over, each further share a window later.
    let windows = (e.leave / (a.expiry_share.value * servers)).ceil().max(1.0);
    let expired_s = a.lease_s.value + (windows - 1.0) * a.expiry_window_s.value;
    let over_s = if e.leave > 0.0 { expired_s } else { e.over_s };
    let evenly = e.over_s >= crate::capacity::DAY_S;
    let writes = match evenly {
        true => e.come * a.writes_per_restart.value,
        // A server that fails is first leaving, then gone; it registers later.
        false => e.leave * (a.writes_per_failure.value - 1.0).max(1.0) + e.come,
    };
    let replicas = a.replicas.value - e.replicas;
    let per_s = if over_s > 0.0 { writes / over_s } else { 0.0 };
    // An ordinary second holds the restarts of a day already.
    let more = if evenly { 0.0 } else { per_s };
    let leader = |mode| {
        let demand = Demand::with(plan, mode, servers, replicas.max(1.0), more);
        told(&capacity.estimate(mode, Role::Leader, "cpu_us_per_s", &demand), 1e-4)
    };
    let at_once = e.ask / (replicas.max(1.0) * a.whole_lists_per_s.value);
    let budget = plan.budgets.storm_s.value;
    let storm = match (evenly, e.ask > 0.0) {
        (_, false) => ["-".to_owned(), "-".to_owned()],
        (true, _) => [format!("{} a second", number(e.ask / e.over_s)), "-".to_owned()],
        (false, _) if at_once <= budget => [number(at_once), format!("{} times", number(budget / at_once))],
        _ => {
            let beyond = number(at_once / budget);
            [
                number(at_once),
                format!(
                    "**{beyond} times the budget, missing: a replica in each zone that reads without a vote**"
                ),
            ]
        }
    };
    let none_or = |v: f64| if v > 0.0 { number(v) } else { "-".to_owned() };
    let mut cells = vec![
        e.name.to_owned(),
        none_or(e.leave),
        none_or(e.come),
        none_or(writes),
        none_or(over_s),
        none_or(per_s),
        if e.replicas > 0.0 { number(a.failover_s.value) } else { "-".to_owned() },
        leader(Mode::Whole),
        leader(Mode::Services),
        none_or(e.ask),
    ];
    cells.extend(storm);
    cells
}

/// Events as they were played, at the sizes of the runs.
pub fn played(capacity: &Capacity) -> String {
    let mut rows = Vec::new();
    for (file, step) in capacity.runs.events().filter(|(_, s)| s.role == Role::Fleet) {
        let at = |key: &str| step.at.get(key).map_or_else(|| "-".into(), |v| number(*v));
        let of = |key: &str| step.measured.get(key).map_or_else(|| "-".into(), |v| number(*v));
        let failed = step.failed.as_ref().map(|why| format!("failed: {why}"));
        rows.push(vec![
            step.event.clone().unwrap_or_default(),
            step.mode.name().to_owned(),
            at("hollow"),
            at("listed"),
            of("told_ms_p99"),
            of("told_ms_max"),
            of("back_ms"),
            failed.unwrap_or_else(|| file.to_owned()),
        ]);
    }
    if rows.is_empty() {
        rows.push([NOT_MEASURED, "-", "-", "-", "-", "-", "-", "-"].map(str::to_owned).to_vec());
    }
    let heads =
        ["event", "mode", "readers", "listed", "told p99, ms", "told most, ms", "all back after, ms", "run"];
    table(&heads, &rows)
}
