//! Endpoint lists from discovery, and configuration reloads.

use crate::stubs::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn sends_nothing_to_draining_or_unlisted_endpoint() {
    for empty_list in [list(2, false, &[]), list(2, true, &[])] {
        let discovery = Discovery::start();
        let (old, new) = (Endpoint::start(|_| ok("old")), Endpoint::start(|_| ok("new")));
        let sidecar = Sidecar::start(&discovery, &[("s-old", &old)]);
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").body, b"old");
        let snapshot = empty_list.contains("true");
        let leaving = [("s-old", old.address, "leaving"), ("s-new", new.address, "active")];
        discovery.publish(2, list(2, snapshot, &leaving[usize::from(snapshot)..]));
        discovery.await_watch(2);
        for _ in 0..5 {
            assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").body, b"new");
        }
        assert_eq!((old.requests_handled(), old.closed()), (1, 1));
    }
}

// A request counts as sent from its first byte on: if its connection is established only after the endpoint began to
// drain, the request must not be written.
#[test]
fn pending_dial_to_draining_endpoint_writes_nothing() {
    let discovery = Discovery::start();
    let (listener, filler) = listener_with_full_queue();
    let address = listener.local_addr().expect("an address");
    let sidecar = Sidecar::start(&discovery, &[]);
    discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
    discovery.await_watch(2);
    let mut client = sidecar.connect();
    client.write_all(request("book", "", "{}").as_bytes()).expect("the write succeeds");
    wait_until("the endpoint is dialled", || is_being_dialled(address));
    discovery.publish(3, list(3, false, &[("s-1", address, "leaving")]));
    discovery.await_watch(3);
    drop(filler);
    let endpoint = Endpoint::on(listener, |_| ok("too late"));
    let status = read_message(&mut client).expect("a response").status();
    assert_eq!(status, 503, "the request is known not to have run");
    // The sidecar may see the connection before the stub does.
    wait_until("the connection is accepted", || endpoint.accepted.load(Ordering::SeqCst) >= 2);
    assert_eq!(endpoint.requests_handled(), 0);
}

// The internal ID of a removed endpoint is reused for the next new one; neither may get the other's requests.
#[test]
fn replacing_endpoints_are_reached_at_their_own_addresses() {
    let discovery = Discovery::start();
    let bodies = ["a", "b", "c", "d"];
    let endpoints = bodies.map(|body| Endpoint::start(move |_| ok(body)));
    let sidecar = Sidecar::start(&discovery, &[("s-a", &endpoints[0])]);
    for (i, body) in bodies.iter().enumerate() {
        let version = 2 * i as u64 + 2;
        discovery.publish(
            version,
            list(version, false, &[(&format!("s-{body}"), endpoints[i].address, "active")]),
        );
        discovery.await_watch(version);
        for _ in 0..3 {
            assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").body, body.as_bytes());
        }
        let left = [(&*format!("s-{body}"), endpoints[i].address, "left")];
        discovery.publish(version + 1, list(version + 1, false, &left));
        discovery.await_watch(version + 1);
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 503);
    }
    assert_eq!(endpoints.map(|e| e.requests_handled()), [3; 4]);
}

#[test]
fn follows_changed_address_of_an_endpoint() {
    let discovery = Discovery::start();
    let (before, after) = (Endpoint::start(|_| ok("before")), Endpoint::start(|_| ok("after")));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &before)]);
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").body, b"before");
    discovery.publish(2, list(2, false, &[("s-1", after.address, "active")]));
    discovery.await_watch(2);
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").body, b"after");
}

#[test]
fn failed_or_invalid_discovery_responses_keep_the_list() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let served = || sidecar.exchange(&request("book", "", "")).is_some_and(|a| a.status() == 200);
    discovery.failing.store(true, Ordering::SeqCst);
    wait_until("the watch is retried", || discovery.polls().len() >= 3);
    assert!(served());
    discovery.failing.store(false, Ordering::SeqCst);
    let polls_before = discovery.polls().len();
    discovery.publish(2, r#"{"index":2,"endpoints":7}"#.to_owned());
    wait_until("the poll with the invalid response is retried", || {
        discovery.polls().len() >= polls_before + 3
    });
    assert!(served());
    // A later valid list is applied.
    discovery.publish(3, list(3, true, &[]));
    discovery.await_watch(3);
    assert!(!served());
}

// The other entries of the list stay valid: an endpoint that they report as leaving must get no more requests.
#[test]
fn applies_list_without_its_unreadable_entry() {
    let invalid = [
        r#"{"name":7}"#,
        r#"{"name":"s-bad","address":"nowhere","status":"active"}"#,
        r#"{"name":"s-bad","address":"127.0.0.1:9","status":"odd"}"#,
        "null",
    ];
    for (invalid, snapshot) in invalid.into_iter().zip([true, false, true, false]) {
        let discovery = Discovery::start();
        let [old, new] = [(); 2].map(|()| Endpoint::start(|_| ok("served")));
        let sidecar = Sidecar::start(&discovery, &[("s-old", &old)]);
        let valid = [("s-old", old.address, "leaving"), ("s-new", new.address, "active")];
        discovery.publish(2, list(2, snapshot, &valid).replace('[', &format!("[{invalid},")));
        discovery.await_watch(2);
        assert_eq!(
            sidecar.exchange(&request("book", "", "")).expect("a response").status(),
            200,
            "{invalid}"
        );
        assert_eq!((old.requests_handled(), new.requests_handled()), (0, 1), "{invalid}");
    }
}

// The simulation delivers changes in `pushed` mode to the balancer. A real discovery never connects to a sidecar, so
// the sidecar has to watch; without a watch the list would stay as it was at the start.
#[test]
fn watches_from_the_start_in_pushed_mode() {
    let discovery = Discovery::start();
    let [old, new] = [(); 2].map(|()| Endpoint::start(|_| ok("served")));
    let pushed = |config: String| config.replace("\"on_request\"", "\"pushed\"");
    let sidecar = Sidecar::start_with_config(&discovery, &[("s-old", &old)], 1024, pushed);
    let exchange = || sidecar.exchange(&request("book", "", "")).expect("a response").status();
    discovery.await_watch(1);
    let changes = [("s-old", old.address, "left"), ("s-new", new.address, "active")];
    discovery.publish(2, list(2, false, &changes));
    discovery.await_watch(2);
    assert_eq!([exchange(), exchange()], [200; 2]);
    assert_eq!((old.requests_handled(), new.requests_handled()), (0, 2));
    // A failure does not end the watch either.
    discovery.failing.store(true, Ordering::SeqCst);
    let polls_before = discovery.polls().len();
    wait_until("the watch is retried", || discovery.polls().len() >= polls_before + 2);
    discovery.failing.store(false, Ordering::SeqCst);
    discovery.publish(3, list(3, true, &[("s-old", old.address, "active")]));
    discovery.await_watch(3);
    assert_eq!(exchange(), 200);
    assert_eq!((old.requests_handled(), new.requests_handled()), (1, 2));
}

// An unanswered watch looks like one without changes. Without a timeout, a leaving endpoint would still be sent requests,
// and a new one would get none.
#[test]
fn restarts_watch_that_is_never_answered() {
    let discovery = Discovery::start();
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let [old, new] = [(); 2].map(|()| Endpoint::start(|_| ok("served")));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &old)]);
    wait_until("the watch is open", || discovery.polls().len() == 1);
    discovery.unresponsive.store(false, Ordering::SeqCst);
    let start = Instant::now();
    discovery.publish(2, list(2, true, &[("s-2", new.address, "active")]));
    discovery.await_watch(2);
    // This does not measure speed: the sidecar's own timers end the watch after 6 s.
    assert!(start.elapsed() < TEST_TIMEOUT / 2, "{:?}", start.elapsed());
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
    assert_eq!((old.requests_handled(), new.requests_handled()), (0, 1));
}

// SIGHUP must not end the process, as it does by default. Only the configuration file has the new address of discovery,
// and nothing that the old one still publishes may undo what the new one has published.
#[test]
fn reload_moves_discovery_to_its_new_address() {
    let (before, after) = (Discovery::start(), Discovery::start());
    let (old, new) = (Endpoint::start(|_| ok("old")), Endpoint::start(|_| ok("new")));
    let sidecar = Sidecar::start(&before, &[("s-old", &old)]);
    before.await_watch(1);
    after.publish(1, list(1, true, &[("s-new", new.address, "active")]));
    sidecar.reload(&config(sidecar.address, after.address, "null"));
    after.await_watch(1);
    assert_eq!(after.polls()[0], "GET /discovery/hosts HTTP/1.1", "the full list is polled first");
    before.publish(9, list(9, true, &[("s-old", old.address, "active")]));
    for _ in 0..3 {
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").body, b"new");
    }
    let polls_before = before.polls().len();
    after.publish(2, list(2, true, &[("s-old", old.address, "active")]));
    after.await_watch(2);
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").body, b"old");
    assert_eq!(before.polls().len(), polls_before, "the old address is still polled");
}

#[test]
fn invalid_reload_changes_nothing() {
    let (discovery, other) = (Discovery::start(), Discovery::start());
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let valid = config(sidecar.address, other.address, "null");
    for invalid in
        ["", "{}", &valid.replace("\"side_effect\"", "\"odd\""), &valid.replace("discovery", "other")]
    {
        sidecar.reload(invalid);
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
    }
    discovery.publish(2, list(2, true, &[]));
    discovery.await_watch(2);
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 503);
    assert!(other.polls().is_empty());
}

// A long list may take seconds over a slow link. A time limit of 2 s for the complete answer would end each poll early,
// and the list would never be applied.
#[test]
fn uses_list_received_over_several_seconds() {
    const TRANSFER_TIME: Duration = Duration::from_secs(5);
    const MAX_LIST_TIME: Duration = Duration::from_secs(10);
    for mode in ["pushed", "on_request"] {
        let (discovery, old, new) =
            (Discovery::start(), Endpoint::start(|_| ok("old")), Endpoint::start(|_| ok("new")));
        let body = list(2, true, &[("s-new", new.address, "active")]);
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        *discovery.fault.lock().expect("the lock is not poisoned") =
            Some(Fault(response.into_bytes(), Delivery::Slowly(TRANSFER_TIME)));
        let sidecar = Sidecar::start_with_config(&discovery, &[("s-old", &old)], 1024, |config| {
            config.replace("\"on_request\"", &format!("\"{mode}\""))
        });
        let began = Instant::now();
        while new.requests_handled() == 0 {
            assert!(began.elapsed() < MAX_LIST_TIME, "the list was not applied, {mode}");
            assert_eq!(sidecar.exchange(&request("look", "", "")).map(|m| m.status()), Some(200));
            thread::sleep(Duration::from_millis(20));
        }
    }
}
