//! The load that failures and recoveries place on the registry.

use super::{NOT_MEASURED, format_estimate, number, table};
use crate::capacity::{Capacity, Demand, Mode, Role};

/// An event and its immediate effects.
struct Event {
    name: &'static str,
    /// Servers that fail or become unreachable.
    lost_servers: f64,
    /// Servers that register.
    registering_servers: f64,
    /// Sidecars that request the complete list.
    requesting_sidecars: f64,
    /// Replicas that fail or become unreachable.
    lost_replicas: f64,
    /// Duration of the registrations, s; lost servers are removed as their leases expire.
    duration_s: f64,
}

/// Estimated effects of events in a fleet of the plan's size.
pub fn estimated(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let (s, a) = (&plan.sizes, &plan.assumptions);
    let servers = s.servers.value;
    let (rack, zone) = (a.servers_per_rack.value, servers / s.zones.value);
    let region = zone * (s.zones.value / s.regions.value).ceil();
    let (day_s, registration_s) = (crate::capacity::DAY_S, a.registration_s.value);
    let event = |name, lost_servers, registering_servers, requesting_sidecars, lost_replicas, duration_s| {
        Event { name, lost_servers, registering_servers, requesting_sidecars, lost_replicas, duration_s }
    };
    let restarts = s.restarts_per_day.value;
    let events = [
        event("a rack fails", rack, 0.0, 0.0, 0.0, 0.0),
        event("a rack's servers restart elsewhere", 0.0, rack, rack, 0.0, registration_s),
        event("a zone fails, with a replica", zone, 0.0, 0.0, 1.0, 0.0),
        event("a zone's servers return", 0.0, zone, zone, 0.0, registration_s),
        event("the largest region is cut off for an hour, with a replica", region, 0.0, 0.0, 1.0, 0.0),
        event("that region is reachable again", 0.0, region, region, 0.0, registration_s),
        event("the restarts of a day, spread evenly", 0.0, restarts, restarts, 0.0, day_s),
        event("all sidecars request the list at once", 0.0, 0.0, servers, 0.0, 0.0),
    ];
    let rows: Vec<Vec<String>> = events.iter().map(|e| row(capacity, e)).collect();
    let heads = [
        "event",
        "servers lost",
        "servers that register",
        "writes to the list",
        "within, s",
        "writes per second",
        "no writes for, s, if the leader is lost",
        "leader's CPU meanwhile, % of a core: whole",
        "services",
        "sidecars that request the complete list",
        "the last one has it after, s",
        "margin to the budget",
    ];
    table(&heads, &rows)
}

fn row(capacity: &Capacity, e: &Event) -> Vec<String> {
    let plan = &capacity.plan;
    let a = &plan.assumptions;
    let servers = plan.sizes.servers.value;
    // The registry limits the share of the list that expires within a window: the first share expires after the length
    // of a lease, each further share a window later.
    let windows = (e.lost_servers / (a.expiry_share.value * servers)).ceil().max(1.0);
    let expired_s = a.lease_s.value + (windows - 1.0) * a.expiry_window_s.value;
    let duration_s = if e.lost_servers > 0.0 { expired_s } else { e.duration_s };
    let spread_over_day = e.duration_s >= crate::capacity::DAY_S;
    let writes = match spread_over_day {
        true => e.registering_servers * a.writes_per_restart.value,
        // A failed server is first marked as draining, then removed; its later registration belongs to another event.
        false => e.lost_servers * (a.writes_per_failure.value - 1.0).max(1.0) + e.registering_servers,
    };
    let replicas = a.replicas.value - e.lost_replicas;
    let writes_per_s = if duration_s > 0.0 { writes / duration_s } else { 0.0 };
    // The steady-state demand includes the restarts of a day.
    let extra_writes_per_s = if spread_over_day { 0.0 } else { writes_per_s };
    let leader = |mode| {
        let demand = Demand::new(plan, mode, servers, replicas.max(1.0), extra_writes_per_s);
        format_estimate(&capacity.estimate(mode, Role::Leader, "cpu_us_per_s", &demand), 1e-4)
    };
    let last_served_s = e.requesting_sidecars / (replicas.max(1.0) * a.whole_lists_per_s.value);
    let budget = plan.budgets.storm_s.value;
    let request_cells = match (spread_over_day, e.requesting_sidecars > 0.0) {
        (_, false) => ["-".to_owned(), "-".to_owned()],
        (true, _) => [format!("{} per second", number(e.requesting_sidecars / e.duration_s)), "-".to_owned()],
        (false, _) if last_served_s <= budget => {
            [number(last_served_s), format!("{} times", number(budget / last_served_s))]
        }
        _ => {
            let excess = number(last_served_s / budget);
            [
                number(last_served_s),
                format!("**{excess} times the budget, missing: a non-voting replica in each zone**"),
            ]
        }
    };
    let or_dash = |v: f64| if v > 0.0 { number(v) } else { "-".to_owned() };
    let mut cells = vec![
        e.name.to_owned(),
        or_dash(e.lost_servers),
        or_dash(e.registering_servers),
        or_dash(writes),
        or_dash(duration_s),
        or_dash(writes_per_s),
        if e.lost_replicas > 0.0 { number(a.failover_s.value) } else { "-".to_owned() },
        leader(Mode::Whole),
        leader(Mode::Services),
        or_dash(e.requesting_sidecars),
    ];
    cells.extend(request_cells);
    cells
}

/// Events in recorded runs, at the sizes of those runs.
pub fn recorded(capacity: &Capacity) -> String {
    let mut rows = Vec::new();
    for (file, step) in capacity.runs.events().filter(|(_, s)| s.role == Role::Fleet) {
        let size = |key: &str| step.sizes.get(key).map_or_else(|| "-".into(), |v| number(*v));
        let measured = |key: &str| step.measured.get(key).map_or_else(|| "-".into(), |v| number(*v));
        let failed = step.failed.as_ref().map(|why| format!("failed: {why}"));
        rows.push(vec![
            step.event.clone().unwrap_or_default(),
            step.mode.name().to_owned(),
            size("hollow"),
            size("listed"),
            measured("told_ms_p99"),
            measured("told_ms_max"),
            measured("back_ms"),
            failed.unwrap_or_else(|| file.to_owned()),
        ]);
    }
    if rows.is_empty() {
        rows.push([NOT_MEASURED, "-", "-", "-", "-", "-", "-", "-"].map(str::to_owned).to_vec());
    }
    let heads = [
        "event",
        "mode",
        "hollow sidecars",
        "listed",
        "notified p99, ms",
        "notified max, ms",
        "all reconnected after, ms",
        "run",
    ];
    table(&heads, &rows)
}
