//! The machine's wall clock is off as the sidecar starts, or is stepped later.

use super::served;
use crate::stubs::*;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_US: i64 = 3_600_000_000;
/// From its start, a server of the stubs' settings is warm after this.
const WARM_AFTER: Duration = Duration::from_millis(8_900);

/// From one request to the next.
const BETWEEN: Duration = Duration::from_millis(10);

fn unix_ms(ago: Duration) -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time");
    i64::try_from((since - ago).as_millis()).expect("it fits")
}

/// A list with a server that started at that time among ones that did so long ago.
fn stamped(version: u64, servers: &[(&str, &Endpoint)], name: &str, since_ms: i64) -> String {
    let entries: Vec<_> = servers.iter().map(|(n, e)| (*n, e.address, "active")).collect();
    let text = list(version, true, &entries);
    let at = text.find(&format!("\"{name}\"")).expect("it is named");
    let (before, behind) = text.split_at(at);
    before.to_owned() + &behind.replacen("\"since_ms\":0", &format!("\"since_ms\":{since_ms}"), 1)
}

/// The share of a hundred requests that a server gets.
fn share(sidecar: &Sidecar, of: &Endpoint) -> f64 {
    let before = of.requests();
    for _ in 0..100 {
        assert_eq!(sidecar.exchange(&request("look", "", "")).map(|m| m.status()), Some(200));
        std::thread::sleep(BETWEEN);
    }
    (of.requests() - before) as f64 / 100.0
}

#[test]
fn restarted_server_gets_slow_start_under_any_wall_clock() {
    let shares: Vec<(f64, f64)> = std::thread::scope(|scope| {
        let plays: Vec<_> = [0, HOUR_US, -HOUR_US, 5_000_000]
            .into_iter()
            .map(|ahead_us| {
                scope.spawn(move || {
                    let (discovery, cold, warm) =
                        (Discovery::start(), Endpoint::start(served), Endpoint::start(served));
                    let faults = fault_table();
                    faults.step_wall_clock(ahead_us).expect("a table");
                    let servers = [("s-cold", &cold), ("s-warm", &warm)];
                    discovery.publish(2, stamped(2, &servers, "s-cold", unix_ms(Duration::ZERO)));
                    let sidecar = Sidecar::start_with_faults(&discovery, &servers, &faults, |config| {
                        let known = list(1, true, &[("s-warm", warm.address, "active")]);
                        let from = config.find("\"known\":").expect("a list") + 8;
                        let to = config.find(",\"settings\"").expect("settings");
                        format!("{}{known}{}", &config[..from], &config[to..])
                    });
                    discovery.await_watch(2);
                    let at_first = share(&sidecar, &cold);
                    std::thread::sleep(WARM_AFTER);
                    (at_first, (0..3).map(|_| share(&sidecar, &cold)).fold(0.0, f64::max))
                })
            })
            .collect();
        plays.into_iter().map(|play| play.join().expect("it is played")).collect()
    });
    for (at_first, later) in &shares {
        assert!(*at_first < 0.4 && *later > 0.4, "{shares:?}");
    }
}
