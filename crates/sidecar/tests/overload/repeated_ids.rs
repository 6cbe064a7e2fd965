//! Requests whose id comes again: each runs once, whatever other clients do, and whichever process of an upgrade is asked.

use super::*;
use crate::operation::{shared_listener, state_folder};

/// Clients that send other requests, and how many each sends: more than 8,192 in all.
const OTHERS: usize = 8;
const REQUESTS_OF_EACH: usize = 1_200;

/// Sends a request, then many of other clients with this time left, and asserts that the first one's id is still known.
fn assert_id_outlasts_others(wait: &str) {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let first = request("book", "", "");
    assert_eq!(sidecar.exchange(&first).expect("an answer").status(), 200);
    thread::scope(|scope| {
        for _ in 0..OTHERS {
            scope.spawn(|| {
                let mut client = sidecar.connect();
                for _ in 0..REQUESTS_OF_EACH {
                    let other = request("look", "", "").replace("19000m", wait);
                    client.write_all(other.as_bytes()).expect("the write succeeds");
                    read_message(&mut client).expect("an answer");
                }
            });
        }
    });
    let run_before = endpoint.requests_received();
    assert_eq!(sidecar.exchange(&first).expect("an answer").status(), 409, "time left of the others: {wait}");
    assert_eq!(endpoint.requests_received(), run_before);
}

// A limited number of ids was kept, so that others drove them out.
#[test]
fn id_outlasts_many_requests_of_other_clients() {
    assert_id_outlasts_others("19000m");
}

// Ids of requests that were never sent anywhere took the place of others.
#[test]
fn id_outlasts_many_shed_requests_of_other_clients() {
    assert_id_outlasts_others("0m");
}

// Each process of an upgrade knew the ids of its own requests alone.
#[test]
fn id_of_client_that_left_is_known_to_next_process() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::DelayedResponse(Duration::from_secs(1), b"late".to_vec()));
    let listener = shared_listener();
    let folder = state_folder(&listener);
    let endpoints = [("s-1", &endpoint)];
    let old = Sidecar::start_on_inherited_socket(&discovery, &endpoints, &listener, &folder);
    let mut client = old.connect();
    client.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("the write succeeds");
    assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    let next = Sidecar::start_on_inherited_socket(&discovery, &endpoints, &listener, &folder);
    let text = request("book", "", "");
    client.write_all(text.as_bytes()).expect("the write succeeds");
    wait_until("the endpoint has received the request", || endpoint.requests_received() == 1);
    old.signal("-TERM");
    drop(client);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(next.exchange(&text).expect("an answer").status(), 409);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(next.exchange(&text).expect("an answer").status(), 409);
    assert_eq!(endpoint.requests_received(), 1);
}
