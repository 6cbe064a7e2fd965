//! Where the machines for control stand, and what is left when some are lost.

use super::{number, table};
use crate::capacity::Plan;

/// A zone and what is in it.
struct Zone {
    name: String,
    region: usize,
    machines: usize,
    votes: bool,
}

/// Zones go round the regions; each of the first regions has a replica that votes, in its first zone.
fn zones(plan: &Plan) -> Vec<Zone> {
    let [regions, zones, machines] =
        [&plan.sizes.regions, &plan.sizes.zones, &plan.sizes.control_machines].map(|f| f.value as usize);
    let replicas = plan.assumptions.replicas.value as usize;
    let zone = |i: usize| Zone {
        name: format!("{}.{}", i % regions + 1, i / regions + 1),
        region: i % regions,
        machines: machines / zones + usize::from(i < machines % zones),
        votes: i < replicas,
    };
    let mut all: Vec<Zone> = (0..zones).map(zone).collect();
    all.sort_by_key(|z| z.region);
    all
}

/// What stands where: the placing is chosen.
pub fn placed(plan: &Plan) -> String {
    let rows: Vec<Vec<String>> = zones(plan)
        .iter()
        .map(|z| {
            let list = if z.votes { "list, votes" } else { "free; to come: list, reads without a vote" };
            let place = |nth: usize, what: &str| if z.machines >= nth { what.to_owned() } else { "-".into() };
            vec![
                z.name.clone(),
                (z.region + 1).to_string(),
                z.machines.to_string(),
                place(1, list),
                place(2, "free; to come: shared state"),
                place(3, "free; to come: releases, and a place for what is lost"),
            ]
        })
        .collect();
    table(&["zone", "region", "machines", "first", "second", "third"], &rows)
}

/// What is lost or cut off.
enum Lost {
    Nothing,
    /// The machine of the first replica.
    Machine,
    /// The zone of the first replica.
    Zone,
    Region(usize),
}

/// What is left when some of it is lost or cut off.
pub fn lost(plan: &Plan) -> String {
    let zones = zones(plan);
    let limit = plan.budgets.replica_watches.value;
    let each = plan.sizes.servers.value / zones.len() as f64;
    let all = zones.iter().filter(|z| z.votes).count();
    let cases = [
        ("nothing", Lost::Nothing),
        ("a replica's machine", Lost::Machine),
        ("a zone with a replica", Lost::Zone),
        ("the first region", Lost::Region(0)),
        ("the last region", Lost::Region(plan.sizes.regions.value as usize - 1)),
    ];
    let mut rows = Vec::new();
    for (what, lost) in cases {
        let gone = |(i, z): &(usize, &Zone)| match lost {
            Lost::Nothing => false,
            Lost::Machine | Lost::Zone => *i == 0,
            Lost::Region(region) => z.region == region,
        };
        let left: Vec<&Zone> = zones.iter().enumerate().filter(|z| !gone(z)).map(|(_, z)| z).collect();
        let votes = left.iter().filter(|z| z.votes).count();
        // Where a machine goes, its zone's sidecars and other machines stay.
        let stay: Vec<&Zone> =
            if matches!(lost, Lost::Machine) { zones.iter().collect() } else { left.clone() };
        let machines = stay.iter().map(|z| z.machines).sum::<usize>() - usize::from(stay.len() > left.len());
        let sidecars = each * stay.len() as f64;
        let watches = |replicas: usize| match replicas {
            0 => "none serves".to_owned(),
            n if sidecars / n as f64 > limit => {
                format!("**{}, of {} taken**", number(sidecars / n as f64), number(limit))
            }
            n => number(sidecars / n as f64),
        };
        let writes = if 2 * votes > all { "go on" } else { "**stand still**" };
        rows.push(vec![
            what.to_owned(),
            machines.to_string(),
            format!("{votes} of {all}"),
            writes.to_owned(),
            number(sidecars),
            watches(votes),
            watches(left.len()),
        ]);
    }
    let heads = [
        "lost or cut off",
        "machines left",
        "votes left",
        "writes",
        "sidecars left",
        "watches a replica, today",
        "watches a replica, one a zone",
    ];
    table(&heads, &rows)
}
