//! Placement of the control plane's machines, and the capacity that remains if some are lost.

use super::{number, table};
use crate::capacity::Plan;

/// A zone with its control plane machines.
struct Zone {
    name: String,
    region: usize,
    machines: usize,
    has_voter: bool,
}

/// Assigns the zones to the regions in turn. Each of the first regions has a voting replica in its first zone.
fn zones(plan: &Plan) -> Vec<Zone> {
    let [regions, zones, machines] =
        [&plan.sizes.regions, &plan.sizes.zones, &plan.sizes.control_machines].map(|f| f.value as usize);
    let replicas = plan.assumptions.replicas.value as usize;
    let zone = |i: usize| Zone {
        name: format!("{}.{}", i % regions + 1, i / regions + 1),
        region: i % regions,
        machines: machines / zones + usize::from(i < machines % zones),
        has_voter: i < replicas,
    };
    let mut all: Vec<Zone> = (0..zones).map(zone).collect();
    all.sort_by_key(|z| z.region);
    all
}

/// Placement of components on the control plane's machines. It is a design choice of this project.
pub fn placement(plan: &Plan) -> String {
    let rows: Vec<Vec<String>> = zones(plan)
        .iter()
        .map(|z| {
            let registry =
                if z.has_voter { "registry, voting" } else { "free; planned: registry, non-voting" };
            let machine =
                |nth: usize, role: &str| if z.machines >= nth { role.to_owned() } else { "-".into() };
            vec![
                z.name.clone(),
                (z.region + 1).to_string(),
                z.machines.to_string(),
                machine(1, registry),
                machine(2, "free; planned: shared state"),
                machine(3, "free; planned: configuration releases, and a spare for a lost machine"),
            ]
        })
        .collect();
    table(&["zone", "region", "machines", "first", "second", "third"], &rows)
}

/// What is lost or cut off from the rest.
enum Loss {
    Nothing,
    /// The machine of the first replica.
    Machine,
    /// The zone of the first replica.
    Zone,
    Region(usize),
}

/// What remains if a part of the fleet is lost or cut off.
pub fn losses(plan: &Plan) -> String {
    let zones = zones(plan);
    let limit = plan.budgets.replica_watches.value;
    let sidecars_per_zone = plan.sizes.servers.value / zones.len() as f64;
    let voters = zones.iter().filter(|z| z.has_voter).count();
    let cases = [
        ("nothing", Loss::Nothing),
        ("a replica's machine", Loss::Machine),
        ("a zone with a replica", Loss::Zone),
        ("the first region", Loss::Region(0)),
        ("the last region", Loss::Region(plan.sizes.regions.value as usize - 1)),
    ];
    let mut rows = Vec::new();
    for (what, loss) in cases {
        let is_lost = |(i, z): &(usize, &Zone)| match loss {
            Loss::Nothing => false,
            Loss::Machine | Loss::Zone => *i == 0,
            Loss::Region(region) => z.region == region,
        };
        let replica_zones_left: Vec<&Zone> =
            zones.iter().enumerate().filter(|z| !is_lost(z)).map(|(_, z)| z).collect();
        let voters_left = replica_zones_left.iter().filter(|z| z.has_voter).count();
        // If only a machine is lost, its zone's sidecars and other machines remain.
        let sidecar_zones_left: Vec<&Zone> =
            if matches!(loss, Loss::Machine) { zones.iter().collect() } else { replica_zones_left.clone() };
        let machines = sidecar_zones_left.iter().map(|z| z.machines).sum::<usize>()
            - usize::from(sidecar_zones_left.len() > replica_zones_left.len());
        let sidecars = sidecars_per_zone * sidecar_zones_left.len() as f64;
        let watches = |replicas: usize| match replicas {
            0 => "no replica left".to_owned(),
            n if sidecars / n as f64 > limit => {
                format!("**{}, limit {}**", number(sidecars / n as f64), number(limit))
            }
            n => number(sidecars / n as f64),
        };
        let writes = if 2 * voters_left > voters { "possible" } else { "**blocked**" };
        rows.push(vec![
            what.to_owned(),
            machines.to_string(),
            format!("{voters_left} of {voters}"),
            writes.to_owned(),
            number(sidecars),
            watches(voters_left),
            watches(replica_zones_left.len()),
        ]);
    }
    let heads = [
        "lost or cut off",
        "machines left",
        "voters left",
        "writes",
        "sidecars left",
        "watches per replica, today",
        "watches per replica, one per zone",
    ];
    table(&heads, &rows)
}
