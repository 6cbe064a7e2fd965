//! The time that an attempt advertises to its endpoint (`X-Time-Left`) is at most what remains of the client's deadline,
//! whatever the request has waited for.

use crate::operation::{shared_listener, state_folder};
use crate::stubs::*;
use lotusmoor_faults::{Call, Rule, errno};
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much the advertised time may exceed the remaining time.
const TOLERANCE: Duration = Duration::from_millis(150);
/// How long a client waits for its response.
const CLIENT_DEADLINE: Duration = Duration::from_millis(3000);

/// For each request ID, when the endpoint received the request and the time that it advertised.
type AdvertisedTimes = Arc<Mutex<HashMap<String, (Instant, Duration)>>>;

/// An endpoint that records the advertised times, and responds after `duration`.
fn slow_endpoint(advertised: &AdvertisedTimes, duration: Duration) -> Endpoint {
    let advertised = Arc::clone(advertised);
    Endpoint::start(move |message| {
        let now = Instant::now();
        let id = message.header("x-correlation-id").expect("an id").to_owned();
        let time_left = message.header("x-time-left").and_then(|v| v.strip_suffix('u')?.parse().ok());
        let time_left = Duration::from_micros(time_left.expect("a time"));
        advertised.lock().expect("the lock is not poisoned").insert(id, (now, time_left));
        Reply::DelayedResponse(duration, b"served".to_vec())
    })
}

fn id_of(request: &str) -> String {
    let (_, after) = request.split_once("X-Correlation-Id: ").expect("an id");
    after.lines().next().expect("a line").to_owned()
}

/// Sends these requests at once, each on its own connection. None may advertise more than its remaining time, and at
/// least one must have waited.
fn assert_advertised_times(sidecar: &Sidecar, advertised: &AdvertisedTimes, requests: Vec<String>) {
    let mut clients = Vec::new();
    for request in requests {
        let mut client = sidecar.connect();
        client.write_all(request.as_bytes()).expect("the write succeeds");
        clients.push((id_of(&request), Instant::now(), client));
    }
    for (_, _, client) in &mut clients {
        read_message(client).expect("a response");
    }
    let advertised = advertised.lock().expect("the lock is not poisoned");
    let mut waited = 0;
    for (id, sent_at, _) in clients {
        let Some((received_at, advertised_time)) = advertised.get(&id) else { continue };
        let remaining = CLIENT_DEADLINE.saturating_sub(received_at.duration_since(sent_at));
        assert!(
            *advertised_time <= remaining + TOLERANCE,
            "advertised {advertised_time:?}, but {remaining:?} remain"
        );
        waited += usize::from(remaining < CLIENT_DEADLINE.mul_f64(0.8));
    }
    assert!(waited > 0, "no request waited");
}

fn with_client_deadline(request: &str) -> String {
    request.replace("19000m", &format!("{}m", CLIENT_DEADLINE.as_millis()))
}

#[test]
fn waiting_for_permit_counts_against_deadline() {
    let advertised = AdvertisedTimes::default();
    let (discovery, endpoint) = (Discovery::start(), slow_endpoint(&advertised, Duration::from_millis(800)));
    let sidecar = Sidecar::start_with_descriptors(&discovery, &[("s-1", &endpoint)], 1024, 64);
    let requests = (0..50).map(|_| with_client_deadline(&request("look", "", ""))).collect();
    assert_advertised_times(&sidecar, &advertised, requests);
}

#[test]
fn waiting_for_memory_counts_against_deadline() {
    let advertised = AdvertisedTimes::default();
    let discovery = Discovery::start();
    let names: Vec<String> = (0..12).map(|n| format!("s-{n}")).collect();
    let endpoints: Vec<Endpoint> =
        names.iter().map(|_| slow_endpoint(&advertised, Duration::from_millis(800))).collect();
    let named_endpoints: Vec<_> = names.iter().map(String::as_str).zip(&endpoints).collect();
    let with_little_memory = |config: String| config.replace("\"memory_mb\":192", "\"memory_mb\":16");
    let sidecar = Sidecar::start_with_config(&discovery, &named_endpoints, 1024, with_little_memory);
    // Chunked bodies that take most of the memory for a body that is buffered, also once they are read.
    let body = format!("Transfer-Encoding: chunked\r\n\r\nEA60\r\n{}\r\n0\r\n\r\n", "b".repeat(60_000));
    let chunked = |request: String| request.replace("Content-Length: 0\r\n\r\n", &body);
    let requests = (0..80).map(|_| chunked(with_client_deadline(&request("pay", "", "")))).collect();
    assert_advertised_times(&sidecar, &advertised, requests);
}

/// A request is written to a shared listening socket whose process has ended or cannot accept; the next process starts
/// when half of the client's deadline has passed.
fn assert_wait_for_process_counts(request: &str) {
    let advertised = AdvertisedTimes::default();
    let (discovery, endpoint) = (Discovery::start(), slow_endpoint(&advertised, Duration::ZERO));
    let listener = shared_listener();
    let folder = state_folder(&listener);
    let mut client =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("a queue");
    let request_text = with_client_deadline(request);
    for piece in request_text.as_bytes().chunks(request_text.len().div_ceil(3)) {
        client.write_all(piece).expect("the write succeeds");
        std::thread::sleep(Duration::from_millis(3));
    }
    let sent_at = Instant::now();
    std::thread::sleep(CLIENT_DEADLINE / 2);
    let _sidecar = Sidecar::start_on_inherited_socket(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    assert_eq!(read_message(&mut client).map(|m| m.status()), Some(200));
    let (received_at, advertised_time) =
        advertised.lock().expect("the lock is not poisoned")[&id_of(&request_text)];
    let remaining = CLIENT_DEADLINE.saturating_sub(received_at.duration_since(sent_at));
    assert!(
        advertised_time <= remaining + TOLERANCE,
        "advertised {advertised_time:?}, but {remaining:?} remain"
    );
}

#[test]
fn waiting_for_accepting_process_counts_against_deadline() {
    assert_wait_for_process_counts(&request("look", "", ""));
}

// The request is larger than the socket buffers, so its rest arrives only once the sidecar reads, although the client
// has written it earlier.
#[test]
fn waiting_for_process_counts_against_deadline_with_full_buffers() {
    assert_wait_for_process_counts(&request("book", "", &"b".repeat(200_000)));
}

#[test]
fn streamed_body_advertises_no_more_than_client_waits_after_last_byte() {
    let advertised = AdvertisedTimes::default();
    let (discovery, endpoint) = (Discovery::start(), slow_endpoint(&advertised, Duration::ZERO));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    // The body is too long to be buffered, so it is forwarded while it is being received.
    let request_text = with_client_deadline(&request("book", "", &"b".repeat(400_000)));
    assert_eq!(sidecar.exchange(&request_text).map(|m| m.status()), Some(200));
    let (_, advertised_time) = advertised.lock().expect("the lock is not poisoned")[&id_of(&request_text)];
    assert!(
        advertised_time <= CLIENT_DEADLINE + TOLERANCE,
        "advertised {advertised_time:?}, but the client waits {CLIENT_DEADLINE:?}"
    );
}

/// No connection is accepted for a second; a request that waits for that advertises no more than its remaining time.
fn assert_wait_for_accept_counts(request: &str) {
    let advertised = AdvertisedTimes::default();
    let (discovery, endpoint) = (Discovery::start(), slow_endpoint(&advertised, Duration::ZERO));
    let faults = fault_table();
    let sidecar = Sidecar::start_with_faults(&discovery, &[("s-1", &endpoint)], &faults, |c| c);
    faults.arm(Rule::lasting(1_000_000, Call::Accept, errno::ENFILE)).expect("a rule");
    let mut client = sidecar.connect();
    let request_text = with_client_deadline(request);
    client.write_all(request_text.as_bytes()).expect("the write succeeds");
    let sent_at = Instant::now();
    assert_eq!(read_message(&mut client).map(|m| m.status()), Some(200));
    let (received_at, advertised_time) =
        advertised.lock().expect("the lock is not poisoned")[&id_of(&request_text)];
    let remaining = CLIENT_DEADLINE.saturating_sub(received_at.duration_since(sent_at));
    assert!(remaining < CLIENT_DEADLINE.mul_f64(0.8), "the request did not wait");
    assert!(
        advertised_time <= remaining + TOLERANCE,
        "advertised {advertised_time:?}, but {remaining:?} remain"
    );
}

#[test]
fn waiting_to_be_accepted_counts_against_deadline() {
    assert_wait_for_accept_counts(&request("look", "", ""));
}

// The whole body may already be in the socket's receive buffer when the head is read.
#[test]
fn long_body_queued_before_accept_advertises_no_more_than_time_left() {
    assert_wait_for_accept_counts(&request("book", "", &"b".repeat(200_000)));
}
