use super::*;

fn world(text: &str, seed: u64) -> World {
    let (scenario, site) = Scenario::parse(std::path::Path::new("t"), text).expect("valid scenario");
    World::draw(&scenario, &site, seed)
}

const SMALL: &str = "name = \"t\"\nlength_s = 20\nsidecars = 9\nservers = 30\nload = 0.5\n";

#[test]
fn world_depends_on_its_seed_and_spreads_servers_over_zones() {
    let (a, b, c) = (world(SMALL, 1), world(SMALL, 1), world(SMALL, 2));
    assert_eq!(format!("{a:?}"), format!("{b:?}"));
    assert_ne!(format!("{:?}", a.servers), format!("{:?}", c.servers));
    for zone in 0..3 {
        assert_eq!(a.servers.iter().filter(|s| s.zone == zone).count(), 10);
    }
}

#[test]
fn settings_are_accepted_by_the_balancer() {
    let world = world(SMALL, 3);
    let decoded =
        lotusmoor_balancer::settings::decode(&world.settings_for(4).to_string()).expect("valid scenario");
    assert_eq!((decoded.settings.index, decoded.settings.instances), (4, 9));
    assert_eq!(decoded.settings.check(), Ok(()));
}

#[test]
fn replacements_start_when_the_replaced_servers_drain() {
    let text = format!("{SMALL}[[fault]]\nkind = \"replace\"\nat_s = 5\nfor_s = 4\npart = 0.2\n");
    let world = world(&text, 1);
    assert_eq!(world.servers.iter().filter(|s| s.starts_later).count(), 6);
    let starts = world.plan.iter().filter(|p| matches!(p.what, PlannedEvent::Start(s) if s >= 30));
    assert!(starts.clone().all(|p| (5 * SECOND..9 * SECOND).contains(&p.at)));
    assert_eq!(starts.count(), 6);
}
