//! A wall clock that is wrong when the sidecar starts, or is stepped later.

use super::reply_ok;
use crate::stubs::*;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_US: i64 = 3_600_000_000;
/// How long a server is in slow start, according to the settings of the stubs.
const SLOW_START_TIME: Duration = Duration::from_millis(8_900);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

fn unix_ms(ago: Duration) -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time");
    i64::try_from((since - ago).as_millis()).expect("the value fits")
}

/// A list in which the named server started at the given time, and all others long ago.
fn list_with_start_time(version: u64, servers: &[(&str, &Endpoint)], name: &str, since_ms: i64) -> String {
    let entries: Vec<_> = servers.iter().map(|(n, e)| (*n, e.address, "active")).collect();
    let text = list(version, true, &entries);
    let at = text.find(&format!("\"{name}\"")).expect("the server is listed");
    let (before, after) = text.split_at(at);
    before.to_owned() + &after.replacen("\"since_ms\":0", &format!("\"since_ms\":{since_ms}"), 1)
}

/// Sends 100 requests, and returns the share of them that this server gets.
fn request_share(sidecar: &Sidecar, endpoint: &Endpoint) -> f64 {
    let before = endpoint.requests_handled();
    for _ in 0..100 {
        assert_eq!(sidecar.exchange(&request("look", "", "")).map(|m| m.status()), Some(200));
        std::thread::sleep(REQUEST_INTERVAL);
    }
    (endpoint.requests_handled() - before) as f64 / 100.0
}

#[test]
fn restarted_server_gets_slow_start_under_any_wall_clock() {
    let shares: Vec<(f64, f64)> = std::thread::scope(|scope| {
        let threads: Vec<_> = [0, HOUR_US, -HOUR_US, 5_000_000]
            .into_iter()
            .map(|clock_offset_us| {
                scope.spawn(move || {
                    let (discovery, restarted, warm) =
                        (Discovery::start(), Endpoint::start(reply_ok), Endpoint::start(reply_ok));
                    let faults = fault_table();
                    faults.step_wall_clock(clock_offset_us).expect("a table");
                    let servers = [("s-cold", &restarted), ("s-warm", &warm)];
                    discovery
                        .publish(2, list_with_start_time(2, &servers, "s-cold", unix_ms(Duration::ZERO)));
                    let sidecar = Sidecar::start_with_faults(&discovery, &servers, &faults, |config| {
                        let known = list(1, true, &[("s-warm", warm.address, "active")]);
                        let from = config.find("\"known\":").expect("a list") + 8;
                        let to = config.find(",\"settings\"").expect("settings");
                        format!("{}{known}{}", &config[..from], &config[to..])
                    });
                    discovery.await_watch(2);
                    let initial_share = request_share(&sidecar, &restarted);
                    std::thread::sleep(SLOW_START_TIME);
                    (initial_share, (0..3).map(|_| request_share(&sidecar, &restarted)).fold(0.0, f64::max))
                })
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("the thread does not panic")).collect()
    });
    for (initial_share, later_share) in &shares {
        assert!(*initial_share < 0.4 && *later_share > 0.4, "{shares:?}");
    }
}
