//! The time that an attempt tells its endpoint is at most what is left to the client, whatever its request waited for.

use crate::operation::{folder, shared_listener};
use crate::stubs::*;
use lotusmoor_faults::{Call, Rule, errno};
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much more than what is left may be told.
const SLACK: Duration = Duration::from_millis(150);
/// How long a client waits.
const WAIT: Duration = Duration::from_millis(3000);

/// What was told of each request, and when.
type AdvertisedTimes = Arc<Mutex<HashMap<String, (Instant, Duration)>>>;

/// An endpoint that takes a while over each request.
fn slow(advertised: &AdvertisedTimes, duration: Duration) -> Endpoint {
    let advertised = Arc::clone(advertised);
    Endpoint::start(move |message| {
        let now = Instant::now();
        let id = message.header("x-correlation-id").expect("an id").to_owned();
        let left = message.header("x-time-left").and_then(|v| v.strip_suffix('u')?.parse().ok());
        let left = Duration::from_micros(left.expect("a time"));
        advertised.lock().expect("no stub panics").insert(id, (now, left));
        Reply::Later(duration, b"served".to_vec())
    })
}

fn id_of(request: &str) -> String {
    let (_, behind) = request.split_once("X-Correlation-Id: ").expect("an id");
    behind.lines().next().expect("a line").to_owned()
}

/// Sends so many requests at once, each on a connection of its own; none may be told more than it has left.
fn assert_advertised_times(sidecar: &Sidecar, advertised: &AdvertisedTimes, requests: Vec<String>) {
    let mut clients = Vec::new();
    for request in requests {
        let mut client = sidecar.connect();
        client.write_all(request.as_bytes()).expect("the system takes it");
        clients.push((id_of(&request), Instant::now(), client));
    }
    for (_, _, client) in &mut clients {
        read_message(client).expect("an answer");
    }
    let advertised = advertised.lock().expect("no stub panics");
    let mut waited = 0;
    for (id, sent, _) in clients {
        let Some((seen, left)) = advertised.get(&id) else { continue };
        let has = WAIT.saturating_sub(seen.duration_since(sent));
        assert!(*left <= has + SLACK, "told {left:?} where {has:?} are left");
        waited += usize::from(has < WAIT.mul_f64(0.8));
    }
    assert!(waited > 0, "none waited");
}

fn with_wait(request: &str) -> String {
    request.replace("19000m", &format!("{}m", WAIT.as_millis()))
}

#[test]
fn waiting_for_permit_counts_against_deadline() {
    let advertised = AdvertisedTimes::default();
    let (discovery, endpoint) = (Discovery::start(), slow(&advertised, Duration::from_millis(800)));
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, 64);
    let requests = (0..50).map(|_| with_wait(&request("look", "", ""))).collect();
    assert_advertised_times(&sidecar, &advertised, requests);
}

#[test]
fn waiting_for_memory_counts_against_deadline() {
    let advertised = AdvertisedTimes::default();
    let discovery = Discovery::start();
    let names: Vec<String> = (0..12).map(|n| format!("s-{n}")).collect();
    let endpoints: Vec<Endpoint> =
        names.iter().map(|_| slow(&advertised, Duration::from_millis(800))).collect();
    let all: Vec<_> = names.iter().map(String::as_str).zip(&endpoints).collect();
    let little = |config: String| config.replace("\"memory_mb\":192", "\"memory_mb\":16");
    let sidecar = Sidecar::start_as(&discovery, &all, 1024, little);
    // A body in chunks takes as much memory as the longest that is kept.
    let chunked = |request: String| {
        request.replace("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n")
    };
    let requests = (0..80).map(|_| chunked(with_wait(&request("pay", "", "")))).collect();
    assert_advertised_times(&sidecar, &advertised, requests);
}

/// A request is written to a socket that the platform holds, whose process has ended or can't accept; the next one comes
/// when half of its time is over.
fn assert_wait_for_process_counts(request: &str) {
    let advertised = AdvertisedTimes::default();
    let (discovery, endpoint) = (Discovery::start(), slow(&advertised, Duration::ZERO));
    let listener = shared_listener();
    let folder = folder(&listener);
    let mut client =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("a queue");
    let submitted = with_wait(request);
    for piece in submitted.as_bytes().chunks(submitted.len().div_ceil(3)) {
        client.write_all(piece).expect("the system takes it");
        std::thread::sleep(Duration::from_millis(3));
    }
    let sent = Instant::now();
    std::thread::sleep(WAIT / 2);
    let _sidecar = Sidecar::start_passed(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    assert_eq!(read_message(&mut client).map(|m| m.status()), Some(200));
    let (seen, left) = advertised.lock().expect("no stub panics")[&id_of(&submitted)];
    let has = WAIT.saturating_sub(seen.duration_since(sent));
    assert!(left <= has + SLACK, "told {left:?} where {has:?} are left");
}

#[test]
fn waiting_for_accepting_process_counts_against_deadline() {
    assert_wait_for_process_counts(&request("look", "", ""));
}

// What the system's buffer has no room for reaches this machine later than its client has written it.
#[test]
fn waiting_for_process_counts_against_deadline_of_full_buffers() {
    assert_wait_for_process_counts(&request("book", "", &"b".repeat(200_000)));
}

#[test]
fn streamed_body_advertises_no_more_than_client_waits_after_last_byte() {
    let advertised = AdvertisedTimes::default();
    let (discovery, endpoint) = (Discovery::start(), slow(&advertised, Duration::ZERO));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    // Too long to be kept: it goes on while it comes.
    let submitted = with_wait(&request("book", "", &"b".repeat(400_000)));
    assert_eq!(sidecar.exchange(&submitted).map(|m| m.status()), Some(200));
    let (_, left) = advertised.lock().expect("no stub panics")[&id_of(&submitted)];
    assert!(left <= WAIT + SLACK, "told {left:?} by a client that waits {WAIT:?}");
}

/// No connection is accepted for a second; a request that waits for that is told no more than it has left.
fn assert_wait_for_accept_counts(request: &str) {
    let advertised = AdvertisedTimes::default();
    let (discovery, endpoint) = (Discovery::start(), slow(&advertised, Duration::ZERO));
    let faults = fault_table();
    let sidecar = Sidecar::start_with_faults(&discovery, &[("s-1", &endpoint)], &faults, |c| c);
    faults.arm(Rule::lasting(1_000_000, Call::Accept, errno::ENFILE)).expect("a rule");
    let mut client = sidecar.connect();
    let submitted = with_wait(request);
    client.write_all(submitted.as_bytes()).expect("the system takes all of it");
    let sent = Instant::now();
    assert_eq!(read_message(&mut client).map(|m| m.status()), Some(200));
    let (seen, left) = advertised.lock().expect("no stub panics")[&id_of(&submitted)];
    let has = WAIT.saturating_sub(seen.duration_since(sent));
    assert!(has < WAIT.mul_f64(0.8), "it did not wait");
    assert!(left <= has + SLACK, "told {left:?} where {has:?} are left");
}

#[test]
fn waiting_to_be_accepted_counts_against_deadline() {
    assert_wait_for_accept_counts(&request("look", "", ""));
}

// All of it may lie in the system's queue already as its head is read.
#[test]
fn long_body_queued_before_accept_advertises_no_more_than_time_left() {
    assert_wait_for_accept_counts(&request("book", "", &"b".repeat(200_000)));
}
