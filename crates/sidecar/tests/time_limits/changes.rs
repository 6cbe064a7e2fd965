//! Changes of the list are followed in time, whatever discovery does.

use super::*;
use crate::stubs::*;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread::{self};
use std::time::Duration;

/// Plays all ways of being told of changes beside each other.
fn in_all_ways(
    what: &str,
    play: impl Fn(&str, u32, &dyn Fn(String) -> String) -> Result<Duration, String> + Sync,
) {
    let play = &play;
    let result: Vec<_> = thread::scope(|scope| {
        let plays = POLL_MODES.map(|(mode, within)| {
            scope.spawn(move || {
                let change = |config: String| {
                    let config = config.replace("\"on_request\"", &format!("\"{mode}\""));
                    config.replace("\"AskWithinUs\":2000000", &format!("\"AskWithinUs\":{within}"))
                };
                (mode, within, play(mode, within, &change))
            })
        });
        plays.map(|play| play.join().expect("no panic")).into()
    });
    for (mode, within, result) in &result {
        println!("{what}, {mode} within {within} us: {result:?}");
    }
    assert!(result.iter().all(|(_, _, result)| result.is_ok()), "{what}: {result:?}");
}

/// Discovery meets so many calls like this, is well again, and tells a change.
fn follows_after_fault(calls: usize, reported: Duration, fault: Fault) {
    in_all_ways(&format!("{:?}", String::from_utf8_lossy(&fault.0)), |_, _, change| {
        let discovery = Discovery::start();
        *discovery.fault.lock().expect("no stub panics") = Some(fault.clone());
        let old = noting();
        let sidecar = Sidecar::start_as(&discovery, &[("s-old", &old.0)], 1024, change);
        wait_until("calls fail", || discovery.calls().len() >= calls);
        follows_after(&sidecar, &old, &discovery, reported, || {
            *discovery.fault.lock().expect("no stub panics") = None;
        })
    });
}

// The hint is one for other callers: what is told meanwhile counts.
#[test]
fn follows_change_after_rejections_with_long_retry_after() {
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        let refusal = format!("HTTP/1.1 {status}\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n");
        follows_after_fault(3, NOTIFICATION_TIME, raw_fault(&refusal, Then::NextCall));
    }
}

#[test]
fn follows_change_after_truncated_answers() {
    let half = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"index\":2,\"snapshot\":true,\"endpoints\":[";
    follows_after_fault(3, NOTIFICATION_TIME, raw_fault(half, Then::Close));
}

#[test]
fn follows_change_after_endless_answers() {
    let endless = "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{\"index\":2,";
    follows_after_fault(1, NOTIFICATION_TIME, raw_fault(endless, Then::Drip));
}

// It looks like one without news, and is given up as long after it was opened as what it misses counts as told.
#[test]
fn follows_change_after_silent_watches() {
    follows_after_fault(2, NOTIFICATION_TIME + GRACE, raw_fault("", Then::NextCall));
}

#[test]
fn follows_change_after_watches_that_end_at_once() {
    follows_after_fault(3, NOTIFICATION_TIME, raw_fault("", Then::Close));
    let nothing = r#"{"index":1,"snapshot":false,"endpoints":[]}"#;
    let nothing = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{nothing}", nothing.len());
    follows_after_fault(20, NOTIFICATION_TIME, raw_fault(&nothing, Then::NextCall));
}

#[test]
fn follows_change_after_hanging_dials() {
    in_all_ways("dials that hang", |_, _, change| {
        let (listener, filler) = full_queue();
        let address = listener.local_addr().expect("an address");
        let discovery = Discovery::not_serving(address);
        let old = noting();
        let sidecar = Sidecar::start_as(&discovery, &[("s-old", &old.0)], 1024, change);
        // Each has a port of its own.
        let seen = Mutex::new(BTreeSet::new());
        wait_until("it is dialled three times", || {
            let mut seen = seen.lock().expect("no panic");
            seen.extend(diallers(address));
            seen.len() >= 3
        });
        follows_after(&sidecar, &old, &discovery, NOTIFICATION_TIME, || {
            drop(filler);
            discovery.serve(listener);
        })
    });
}
