//! Terms of the operators' standing test, each forced on sockets: news from a discovery that was not well, clients that
//! leave a busy sidecar, and idle clients that take all the room there is.

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

/// A change counts as told so long after discovery had it and could be reached.
const NOTIFICATION_TIME: Duration = Duration::from_secs(6);
/// For so long a sidecar may still send to an endpoint that it was told leaves.
const GRACE: Duration = Duration::from_secs(2);
/// No attempt may begin so long after its client closed.
const CLOSE_REACTION_TIME: Duration = Duration::from_millis(100);
/// What each bound on sockets is longer.
const SLACK: Duration = Duration::from_millis(50);
/// How changes come, and how long the settings let a sidecar go without asking, in microseconds.
const POLL_MODES: [(&str, u32); 3] =
    [("pushed", 2_000_000), ("on_request", 2_000_000), ("on_request", 60_000_000)];

/// Tells those that go on until they are told to stop, also when what they go on for fails: a scope waits for them.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// An endpoint that notes when each request came.
fn noting() -> (Endpoint, Arc<Mutex<Vec<Instant>>>) {
    let times = Arc::new(Mutex::new(Vec::new()));
    let noted = Arc::clone(&times);
    let endpoint = Endpoint::start(move |_| {
        noted.lock().expect("no stub panics").push(Instant::now());
        Reply::Answer(200, "", b"served".to_vec())
    });
    (endpoint, times)
}

/// Asks all the time, until told to stop; how often it got each status, or none, and the longest that it waited for it.
fn send_continuously(sidecar: &Sidecar, stop: &AtomicBool) -> (BTreeMap<Option<u16>, usize>, Duration) {
    let (mut result, mut longest, mut client) = (BTreeMap::new(), Duration::ZERO, sidecar.connect());
    while !stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        let sent = client.write_all(request("look", "", "").as_bytes());
        let answer = sent.ok().and_then(|()| read_message(&mut client));
        longest = longest.max(began.elapsed());
        // Closed to make way for others.
        if answer.is_none() {
            client = sidecar.connect();
        }
        *result.entry(answer.map(|answer| answer.status())).or_default() += 1;
        thread::sleep(Duration::from_millis(5));
    }
    (result, longest)
}

/// An endpoint leaves and another joins at the moment in which `heal` lets a discovery that was not well tell so. From
/// `told` after that on nothing may go to the one that left.
fn follows_after(
    sidecar: &Sidecar,
    (old, old_times): &(Endpoint, Arc<Mutex<Vec<Instant>>>),
    discovery: &Discovery,
    reported: Duration,
    heal: impl FnOnce(),
) -> Result<Duration, String> {
    let (new, new_times) = noting();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let stops = Stop(&stop);
        let client_thread = scope.spawn(|| send_continuously(sidecar, &stop));
        if !becomes_true(|| !old_times.lock().expect("no stub panics").is_empty()) {
            drop(stops);
            let result = client_thread.join().expect("no panic");
            return Err(format!(
                "the old one was not asked in {LONG:?}: {result:?} came of asking; discovery was called {} times",
                discovery.calls().len(),
            ));
        }
        let changes = [("s-old", old.address, "leaving"), ("s-new", new.address, "active")];
        discovery.publish(2, list(2, false, &changes));
        let calls = discovery.calls().len();
        heal();
        let healed = Instant::now();
        thread::sleep(reported + SLACK + Duration::from_secs(1));
        drop(stops);
        let result = client_thread.join().expect("no panic");
        let after = |times: &Mutex<Vec<Instant>>| {
            let times = times.lock().expect("no stub panics");
            times.iter().filter(|at| **at > healed + reported + SLACK).count()
        };
        let last = *old_times.lock().expect("no stub panics").last().expect("it was asked");
        let last = last.saturating_duration_since(healed);
        match (after(old_times), after(&new_times)) {
            (0, 1..) => Ok(last),
            (late, of) => Err(format!(
                "{late} went to the old one, {of} to the new one; discovery was called {} times, {result:?} came of asking",
                discovery.calls().len() - calls,
            )),
        }
    })
}

fn raw_fault(text: &str, then: Then) -> Fault {
    Fault(text.as_bytes().to_vec(), then)
}
