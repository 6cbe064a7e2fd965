//! Time limits that the operators check in their continuous test (which is not part of these sources), each reproduced
//! with real processes and TCP connections: changes of the list after faults of discovery, clients that close their
//! connections to a busy sidecar, and idle clients that take all descriptors.

mod changes;
mod client_close_during_body;
mod clients;

use crate::stubs::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self};
use std::time::{Duration, Instant};

/// A sidecar has to know a change this long after discovery had it and was reachable.
const NOTIFICATION_TIME: Duration = Duration::from_secs(6);
/// How long a sidecar may still send requests to an endpoint after it knows that the endpoint is leaving.
const LEAVING_GRACE_TIME: Duration = Duration::from_secs(2);
/// An attempt may begin at most this long after its client has closed the connection.
const CLOSE_REACTION_TIME: Duration = Duration::from_millis(100);
/// Tolerance for bounds measured on sockets.
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// How a sidecar learns of changes, and the longest time that its settings allow between two polls, in microseconds.
const POLL_MODES: [(&str, u32); 3] =
    [("pushed", 2_000_000), ("on_request", 2_000_000), ("on_request", 60_000_000)];

/// Sets a stop flag when dropped, also if the test panics: the scope waits for the threads that run until then.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// An endpoint that records when it received each request.
fn timestamping_endpoint() -> (Endpoint, Arc<Mutex<Vec<Instant>>>) {
    let times = Arc::new(Mutex::new(Vec::new()));
    let recorded_times = Arc::clone(&times);
    let endpoint = Endpoint::start(move |_| {
        recorded_times.lock().expect("the lock is not poisoned").push(Instant::now());
        Reply::Response(200, "", b"served".to_vec())
    });
    (endpoint, times)
}

/// Sends one request after another until stopped. Returns the number of responses of each status (`None` without a
/// response), and the longest wait for one.
fn send_continuously(sidecar: &Sidecar, stop: &AtomicBool) -> (BTreeMap<Option<u16>, usize>, Duration) {
    let (mut counts, mut longest, mut client) = (BTreeMap::new(), Duration::ZERO, sidecar.connect());
    while !stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        let sent = client.write_all(request("look", "", "").as_bytes());
        let response = sent.ok().and_then(|()| read_message(&mut client));
        longest = longest.max(began.elapsed());
        // The connection was evicted in favour of others.
        if response.is_none() {
            client = sidecar.connect();
        }
        *counts.entry(response.map(|response| response.status())).or_default() += 1;
        thread::sleep(Duration::from_millis(5));
    }
    (counts, longest)
}

/// One endpoint leaves and another joins; `recover` lets a faulty discovery service report it. More than
/// `notification_time` after that, no request may go to the endpoint that left. Returns when the last one did, counted
/// from the recovery.
fn follow_change(
    sidecar: &Sidecar,
    (old, old_times): &(Endpoint, Arc<Mutex<Vec<Instant>>>),
    discovery: &Discovery,
    notification_time: Duration,
    recover: impl FnOnce(),
) -> Result<Duration, String> {
    let (new, new_times) = timestamping_endpoint();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let stop_on_drop = StopOnDrop(&stop);
        let client_thread = scope.spawn(|| send_continuously(sidecar, &stop));
        if !holds_within_timeout(|| !old_times.lock().expect("the lock is not poisoned").is_empty()) {
            drop(stop_on_drop);
            let responses = client_thread.join().expect("the thread does not panic");
            return Err(format!(
                "the old endpoint got no request in {TEST_TIMEOUT:?}; responses: {responses:?}; discovery was polled {} times",
                discovery.polls().len(),
            ));
        }
        let changes = [("s-old", old.address, "leaving"), ("s-new", new.address, "active")];
        discovery.publish(2, list(2, false, &changes));
        let polls_before = discovery.polls().len();
        recover();
        let recovered_at = Instant::now();
        thread::sleep(notification_time + SOCKET_TOLERANCE + Duration::from_secs(1));
        drop(stop_on_drop);
        let responses = client_thread.join().expect("the thread does not panic");
        let after = |times: &Mutex<Vec<Instant>>| {
            let times = times.lock().expect("the lock is not poisoned");
            times.iter().filter(|at| **at > recovered_at + notification_time + SOCKET_TOLERANCE).count()
        };
        let last_request = *old_times.lock().expect("the lock is not poisoned").last().expect("a request");
        let last_request = last_request.saturating_duration_since(recovered_at);
        match (after(old_times), after(&new_times)) {
            (0, 1..) => Ok(last_request),
            (late, to_new) => Err(format!(
                "{late} late requests went to the old endpoint, {to_new} to the new one; discovery was polled {} times; responses: {responses:?}",
                discovery.polls().len() - polls_before,
            )),
        }
    })
}

fn raw_fault(text: &str, delivery: Delivery) -> Fault {
    Fault(text.as_bytes().to_vec(), delivery)
}
