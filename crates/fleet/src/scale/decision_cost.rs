//! What the length of the list costs the decision module, by itself: one thread, a simulated clock, servers that answer
//! all alike. Only the calls into the module are timed.

use crate::load;
use crate::{Micros, SECOND};
use hdrhistogram::Histogram;
use lotusmoor_balancer::settings::decode;
use lotusmoor_balancer::{
    Action, AttemptEnd, Balancer, EndpointEntry, EndpointListUpdate, EndpointStatus, Event, LoadReport,
    NewRequest, Outcome, RequestId,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::time::{Duration, Instant};

/// Simulated time that a server takes for a request.
const WORK: Micros = 5_000;
/// Requests before the first that is timed.
const FIRST: u64 = 200;
/// Most requests of a run.
const MOST: u64 = 1_000_000;
/// After the last request its answer is waited for, no longer than its client would.
const WAIT: Micros = 3 * SECOND;
/// A change of the list comes after so many requests.
const CHANGE_AFTER: u64 = 50;

/// What was asked of the module, and how long it took over it.
pub struct Cost {
    /// Requests that it was told of.
    pub requests: u64,
    /// Those that it sent to a server as it was told of them.
    pub sent: u64,
    /// Attempts that it sent, and that were answered.
    pub answered: u64,
    /// From a request to its attempt: nanoseconds of each call that was timed.
    pub decision: Histogram<u64>,
    /// Mean time in which it takes the end of an attempt, in nanoseconds.
    pub end_ns: f64,
    /// Mean time in which it takes a whole list.
    pub list_ns: f64,
    /// Mean time in which it takes one change.
    pub change_ns: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request,
    End { request: RequestId, endpoint: usize },
    Timer(u64),
}

/// Mean of some calls.
#[derive(Default)]
struct Mean(u64, u64);

impl Mean {
    fn add(&mut self, ns: u64) {
        self.0 += ns;
        self.1 += 1;
    }

    fn get(&self) -> f64 {
        self.0 as f64 / self.1 as f64
    }
}

struct Driver {
    module: Balancer,
    now: Micros,
    due: BinaryHeap<Reverse<(Micros, Due)>>,
    actions: Vec<Action>,
    cost: Cost,
}

impl Driver {
    /// Tells the module of an event now, and plans what it asks for; nanoseconds that it took.
    fn tell(&mut self, event: Event) -> u64 {
        let asked = if let Event::RequestReceived(new) = &event { Some(new.id) } else { None };
        let begun = Instant::now();
        self.module.handle(self.now, event, &mut self.actions);
        let ns = begun.elapsed().as_nanos() as u64;
        for action in self.actions.drain(..) {
            match action {
                Action::Send { request, endpoint, .. } => {
                    self.cost.sent += u64::from(asked == Some(request));
                    self.due.push(Reverse((self.now + WORK, Due::End { request, endpoint })));
                }
                Action::SetTimer { after, token } => {
                    self.due.push(Reverse((self.now + after, Due::Timer(token))));
                }
                _ => {}
            }
        }
        ns
    }
}

/// A warm server.
fn listing(endpoint: usize, size: f64) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        zone: Some(0),
        cell: 1,
        machine_type: Some(0),
        status: EndpointStatus::Ready,
        size,
        started_at: None,
    }
}

/// Runs requests through a module with so many servers listed, for so long by the real clock, at that rate by the
/// simulated one.
pub fn measure(listed: usize, rate: f64, length: Duration, seed: u64) -> io::Result<Cost> {
    let text = load::settings().to_string();
    let settings = decode(&text).map_err(io::Error::other)?.settings;
    let module = Balancer::new(settings, seed).map_err(io::Error::other)?;
    let decision = Histogram::new_with_bounds(1, 60 * 1_000_000_000, 3).map_err(io::Error::other)?;
    let cost =
        Cost { requests: 0, sent: 0, answered: 0, decision, end_ns: 0.0, list_ns: 0.0, change_ns: 0.0 };
    let mut driver = Driver { module, now: SECOND, due: BinaryHeap::new(), actions: Vec::new(), cost };
    let (mut lists, mut changes, mut ends) = (Mean::default(), Mean::default(), Mean::default());
    for _ in 0..3 {
        let all: Vec<EndpointEntry> = (0..listed).map(|i| listing(i, 1.0)).collect();
        lists.add(driver.tell(Event::EndpointList(EndpointListUpdate::Full(all))));
    }
    let spacing = ((SECOND as f64 / rate) as Micros).max(1);
    let (mut next, end) = (0, Instant::now() + length);
    driver.due.push(Reverse((driver.now, Due::Request)));
    let mut last = driver.now;
    while let Some(Reverse((at, due))) = driver.due.pop().filter(|d| d.0.0 <= last + WAIT) {
        driver.now = driver.now.max(at);
        match due {
            Due::Request => {
                last = driver.now;
                driver.cost.requests += 1;
                let id = driver.cost.requests;
                let ns = driver.tell(Event::RequestReceived(NewRequest {
                    id,
                    class: 0,
                    tenant: None,
                    partition_key: None,
                    deadline: driver.now + WAIT,
                    expected_work: None,
                    is_client_retry: false,
                    body_incomplete: false,
                }));
                if id > FIRST {
                    driver.cost.decision.saturating_record(ns);
                }
                if listed > 0 && id.is_multiple_of(CHANGE_AFTER) {
                    // Of its size: one that starts anew is cold, and a short list would soon be cold all of it.
                    let size = if (next / listed).is_multiple_of(2) { 1.1 } else { 1.0 };
                    let changed = vec![listing(next % listed, size)];
                    changes.add(driver.tell(Event::EndpointList(EndpointListUpdate::Delta(changed))));
                    next += 1;
                }
                // All are timed at the least that there may be a 99th percentile.
                if id < 2 * FIRST || (Instant::now() < end && id < MOST) {
                    driver.due.push(Reverse((driver.now + spacing, Due::Request)));
                }
            }
            Due::End { request, endpoint } => {
                driver.cost.answered += 1;
                ends.add(driver.tell(Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt: 0,
                    endpoint,
                    outcome: Outcome::Ok,
                    duration: WORK,
                    request_completed: true,
                    body_consumed: false,
                    load_report: LoadReport::default(),
                })));
            }
            Due::Timer(token) => drop(driver.tell(Event::Timer(token))),
        }
    }
    Ok(Cost { end_ns: ends.get(), list_ns: lists.get(), change_ns: changes.get(), ..driver.cost })
}
