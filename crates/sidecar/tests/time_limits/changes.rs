//! Changes of the endpoint list take effect in time, whatever faults discovery had.

use super::*;
use crate::stubs::*;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread::{self};
use std::time::Duration;

/// Runs a case in all poll modes at the same time.
fn in_all_poll_modes(
    what: &str,
    run_case: impl Fn(&str, u32, &dyn Fn(String) -> String) -> Result<Duration, String> + Sync,
) {
    let run_case = &run_case;
    let result: Vec<_> = thread::scope(|scope| {
        let threads = POLL_MODES.map(|(mode, max_poll_interval_us)| {
            scope.spawn(move || {
                let change = |config: String| {
                    let config = config.replace("\"on_request\"", &format!("\"{mode}\""));
                    config.replace(
                        "\"AskWithinUs\":2000000",
                        &format!("\"AskWithinUs\":{max_poll_interval_us}"),
                    )
                };
                (mode, max_poll_interval_us, run_case(mode, max_poll_interval_us, &change))
            })
        });
        threads.map(|thread| thread.join().expect("the thread does not panic")).into()
    });
    for (mode, max_poll_interval_us, result) in &result {
        println!("{what}, {mode}, polls at least every {max_poll_interval_us} us: {result:?}");
    }
    assert!(result.iter().all(|(_, _, result)| result.is_ok()), "{what}: {result:?}");
}

/// Discovery answers this many polls with the fault, recovers, and publishes a change.
fn assert_follows_change_after_fault(faulty_polls: usize, notification_time: Duration, fault: Fault) {
    in_all_poll_modes(&format!("{:?}", String::from_utf8_lossy(&fault.0)), |_, _, change| {
        let discovery = Discovery::start();
        *discovery.fault.lock().expect("the lock is not poisoned") = Some(fault.clone());
        let old = timestamping_endpoint();
        let sidecar = Sidecar::start_with_config(&discovery, &[("s-old", &old.0)], 1024, change);
        wait_until("polls have failed", || discovery.polls().len() >= faulty_polls);
        follow_change(&sidecar, &old, &discovery, notification_time, || {
            *discovery.fault.lock().expect("the lock is not poisoned") = None;
        })
    });
}

// The Retry-After is meant for other callers. The sidecar must not wait for that long, as changes that are published in
// the meantime have to take effect in time.
#[test]
fn follows_change_after_rejections_with_long_retry_after() {
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        let rejection = format!("HTTP/1.1 {status}\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n");
        assert_follows_change_after_fault(3, NOTIFICATION_TIME, raw_fault(&rejection, Delivery::KeepOpen));
    }
}

#[test]
fn follows_change_after_truncated_responses() {
    let truncated =
        "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"index\":2,\"snapshot\":true,\"endpoints\":[";
    assert_follows_change_after_fault(3, NOTIFICATION_TIME, raw_fault(truncated, Delivery::ThenClose));
}

#[test]
fn follows_change_after_endless_responses() {
    let endless = "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{\"index\":2,";
    assert_follows_change_after_fault(1, NOTIFICATION_TIME, raw_fault(endless, Delivery::TrickleSpaces));
}

// An unanswered watch looks like one without changes, so it is abandoned only after `NOTIFICATION_TIME`, when a change
// that it missed has to be known already. Only the grace period remains to follow that change.
#[test]
fn follows_change_after_unanswered_watches() {
    assert_follows_change_after_fault(
        2,
        NOTIFICATION_TIME + LEAVING_GRACE_TIME,
        raw_fault("", Delivery::KeepOpen),
    );
}

#[test]
fn follows_change_after_watches_that_end_at_once() {
    assert_follows_change_after_fault(3, NOTIFICATION_TIME, raw_fault("", Delivery::ThenClose));
    let no_changes = r#"{"index":1,"snapshot":false,"endpoints":[]}"#;
    let no_changes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{no_changes}", no_changes.len());
    assert_follows_change_after_fault(20, NOTIFICATION_TIME, raw_fault(&no_changes, Delivery::KeepOpen));
}

#[test]
fn follows_change_after_hanging_dials() {
    in_all_poll_modes("dials that hang", |_, _, change| {
        let (listener, filler) = listener_with_full_queue();
        let address = listener.local_addr().expect("an address");
        let discovery = Discovery::not_serving(address);
        let old = timestamping_endpoint();
        let sidecar = Sidecar::start_with_config(&discovery, &[("s-old", &old.0)], 1024, change);
        // Each dial has its own local port.
        let sockets = Mutex::new(BTreeSet::new());
        wait_until("discovery is dialled three times", || {
            let mut sockets = sockets.lock().expect("the lock is not poisoned");
            sockets.extend(dialling_sockets(address));
            sockets.len() >= 3
        });
        follow_change(&sidecar, &old, &discovery, NOTIFICATION_TIME, || {
            drop(filler);
            discovery.serve(listener);
        })
    });
}
