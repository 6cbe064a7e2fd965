//! The cost of the decision module alone, by the length of the endpoint list: one thread, a simulated clock, and
//! servers that all respond alike. Only the calls into the module are timed.

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

/// Simulated service time of a request.
const SERVICE_TIME: Micros = 5_000;
/// Warm-up requests, which are not timed.
const WARMUP_REQUESTS: u64 = 200;
/// Maximum number of requests of a run.
const MAX_REQUESTS: u64 = 1_000_000;
/// Deadline of a request. The run ends when it has passed since the last request.
const REQUEST_TIMEOUT: Micros = 3 * SECOND;
/// Number of requests from one change of the list to the next.
const REQUESTS_PER_CHANGE: u64 = 50;

/// The calls into the module, and how long they took.
pub struct Cost {
    /// Requests that the module received.
    pub requests: u64,
    /// Requests that it sent to a server in the same call.
    pub sent: u64,
    /// Attempts that it sent and that a server answered.
    pub answered: u64,
    /// Time of the calls for a new request, in nanoseconds, without the warm-up requests.
    pub decision: Histogram<u64>,
    /// Mean time of a call for the end of an attempt, in nanoseconds.
    pub end_ns: f64,
    /// Mean time of a call for a full list, in nanoseconds.
    pub list_ns: f64,
    /// Mean time of a call for a change of one server, in nanoseconds.
    pub change_ns: f64,
}

/// A scheduled event of the simulation.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Request,
    AttemptEnd { request: RequestId, endpoint: usize },
    Timer(u64),
}

/// The sum and number of some durations.
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
    schedule: BinaryHeap<Reverse<(Micros, Scheduled)>>,
    actions: Vec<Action>,
    cost: Cost,
}

impl Driver {
    /// Passes an event to the module and schedules the results of its actions. Returns the time of the call in
    /// nanoseconds.
    fn handle(&mut self, event: Event) -> u64 {
        let new_request = if let Event::RequestReceived(new) = &event { Some(new.id) } else { None };
        let started = Instant::now();
        self.module.handle(self.now, event, &mut self.actions);
        let ns = started.elapsed().as_nanos() as u64;
        for action in self.actions.drain(..) {
            match action {
                Action::Send { request, endpoint, .. } => {
                    self.cost.sent += u64::from(new_request == Some(request));
                    self.schedule.push(Reverse((
                        self.now + SERVICE_TIME,
                        Scheduled::AttemptEnd { request, endpoint },
                    )));
                }
                Action::SetTimer { after, token } => {
                    self.schedule.push(Reverse((self.now + after, Scheduled::Timer(token))));
                }
                _ => {}
            }
        }
        ns
    }
}

/// A server that is ready and past its slow start.
fn entry(endpoint: usize, size: f64) -> EndpointEntry {
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

/// Measures a module with `listed` servers on its list, for `duration` of real time. Requests arrive at `rate` per
/// second of simulated time.
pub fn measure(listed: usize, rate: f64, duration: Duration, seed: u64) -> io::Result<Cost> {
    let settings = load::settings().to_string();
    let settings = decode(&settings).map_err(io::Error::other)?.settings;
    let module = Balancer::new(settings, seed).map_err(io::Error::other)?;
    let decision = Histogram::new_with_bounds(1, 60 * 1_000_000_000, 3).map_err(io::Error::other)?;
    let cost =
        Cost { requests: 0, sent: 0, answered: 0, decision, end_ns: 0.0, list_ns: 0.0, change_ns: 0.0 };
    let mut driver = Driver { module, now: SECOND, schedule: BinaryHeap::new(), actions: Vec::new(), cost };
    let (mut full_lists, mut changes, mut attempt_ends) = (Mean::default(), Mean::default(), Mean::default());
    for _ in 0..3 {
        let entries: Vec<EndpointEntry> = (0..listed).map(|i| entry(i, 1.0)).collect();
        full_lists.add(driver.handle(Event::EndpointList(EndpointListUpdate::Full(entries))));
    }
    let spacing = ((SECOND as f64 / rate) as Micros).max(1);
    let (mut change, end) = (0, Instant::now() + duration);
    driver.schedule.push(Reverse((driver.now, Scheduled::Request)));
    let mut last_request = driver.now;
    while let Some(Reverse((at, event))) =
        driver.schedule.pop().filter(|scheduled| scheduled.0.0 <= last_request + REQUEST_TIMEOUT)
    {
        driver.now = driver.now.max(at);
        match event {
            Scheduled::Request => {
                last_request = driver.now;
                driver.cost.requests += 1;
                let id = driver.cost.requests;
                let ns = driver.handle(Event::RequestReceived(NewRequest {
                    id,
                    class: 0,
                    tenant: None,
                    partition_key: None,
                    deadline: driver.now + REQUEST_TIMEOUT,
                    expected_work: None,
                    is_client_retry: false,
                    body_incomplete: false,
                }));
                if id > WARMUP_REQUESTS {
                    driver.cost.decision.saturating_record(ns);
                }
                if listed > 0 && id.is_multiple_of(REQUESTS_PER_CHANGE) {
                    // Changes the size: a restarted server would be in slow start, and on a short list soon all
                    // servers would be.
                    let size = if (change / listed).is_multiple_of(2) { 1.1 } else { 1.0 };
                    let changed = vec![entry(change % listed, size)];
                    changes.add(driver.handle(Event::EndpointList(EndpointListUpdate::Delta(changed))));
                    change += 1;
                }
                // At least as many requests are timed as are not, so that there is a 99th percentile.
                if id < 2 * WARMUP_REQUESTS || (Instant::now() < end && id < MAX_REQUESTS) {
                    driver.schedule.push(Reverse((driver.now + spacing, Scheduled::Request)));
                }
            }
            Scheduled::AttemptEnd { request, endpoint } => {
                driver.cost.answered += 1;
                attempt_ends.add(driver.handle(Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt: 0,
                    endpoint,
                    outcome: Outcome::Ok,
                    duration: SERVICE_TIME,
                    request_completed: true,
                    body_consumed: false,
                    load_report: LoadReport::default(),
                })));
            }
            Scheduled::Timer(token) => drop(driver.handle(Event::Timer(token))),
        }
    }
    Ok(Cost {
        end_ns: attempt_ends.get(),
        list_ns: full_lists.get(),
        change_ns: changes.get(),
        ..driver.cost
    })
}
