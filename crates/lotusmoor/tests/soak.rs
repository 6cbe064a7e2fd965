//! A few short seeds of the fault soak, and the plans that it draws.

use lotusmoor_fleet::soak::{Fault, Plan, RunSummary, run_plan};

/// Runs the plans of these seeds, two at a time, and panics at the first that fails.
fn run_plans(seeds: &[u64], draw: fn(u64) -> Plan) -> Vec<RunSummary> {
    let run = |seed: &u64| run_plan(&draw(*seed)).unwrap_or_else(|failure| panic!("{failure}"));
    let mut summaries = Vec::new();
    for pair in seeds.chunks(2) {
        std::thread::scope(|scope| {
            let runs: Vec<_> = pair.iter().map(|seed| scope.spawn(move || run(seed))).collect();
            summaries.extend(runs.into_iter().map(|run| run.join().expect("the run has passed")));
        });
    }
    summaries
}

/// Seeds whose plans together contain rolling restarts, reloads, failing system calls, a discovery server that does
/// not answer, drains, long bodies, hand-overs and operator commands; in 6005 and 6021 sidecars with passed sockets
/// are killed.
const SEEDS: [u64; 6] = [3, 126, 404, 538, 6005, 6021];

#[test]
fn no_rule_is_violated_under_overlapping_faults() {
    for summary in run_plans(&SEEDS, Plan::draw) {
        assert!(summary.served * 2 > summary.requests, "{summary:?}");
    }
}

// In seed 8450 clients close their connections in the queue of a passed socket while its sidecar is killed: no attempt
// may begin for them.
#[test]
fn no_attempt_begins_for_client_that_closed_in_queue_of_passed_socket() {
    if let Err(failure) = run_plan(&Plan::draw(8450)) {
        panic!("{failure}");
    }
}

#[test]
fn plans_are_deterministic_and_their_faults_overlap() {
    let mut plans_with_overlaps = 0;
    for seed in 0..200 {
        let plan = Plan::draw(seed);
        assert_eq!(plan, Plan::draw(seed));
        let text = serde_json::to_string(&plan).expect("the plan is serialized");
        assert_eq!(serde_json::from_str::<Plan>(&text).expect("the plan is parsed"), plan);
        // At most three groups of three faults, and two operator commands; with passed sockets, a fault that stops
        // three sidecars becomes three hand-overs.
        let max_windows = if plan.socket_passing { 3 * 3 * 3 + 2 } else { 3 * 3 + 2 };
        assert!((10..=40).contains(&plan.sidecars) && plan.windows.len() <= max_windows);
        let stops_sidecar = |w: &lotusmoor_fleet::soak::FaultWindow| {
            matches!(w.fault, Fault::StopSidecar(_) | Fault::StopSidecars(_))
        };
        assert!(!plan.socket_passing || !plan.windows.iter().any(stops_sidecar));
        let windows = plan.windows.iter();
        let overlapping = windows.filter(|w| {
            let overlaps = |o: &&lotusmoor_fleet::soak::FaultWindow| {
                *o != *w && o.at_ms <= w.at_ms && w.at_ms <= o.at_ms + o.lasts_ms
            };
            plan.windows.iter().any(|o| overlaps(&o))
        });
        plans_with_overlaps += usize::from(overlapping.count() >= 2);
        let is_long_pause = |w: &lotusmoor_fleet::soak::FaultWindow| {
            matches!(w.fault, Fault::PauseSidecar(_)) && w.lasts_ms > 150
        };
        assert!(!plan.windows.iter().any(is_long_pause));
    }
    assert!(plans_with_overlaps > 150, "{plans_with_overlaps}");
}

/// Seeds with clients that disconnect mid-body while their sidecar is down or paused, series of signals, and logs that
/// nobody reads.
const EXTRA_FAULT_SEEDS: [u64; 4] = [8501, 8502, 8503, 8504];

#[test]
fn no_rule_is_violated_under_aborted_uploads_signal_series_and_unread_logs() {
    let summaries = run_plans(&EXTRA_FAULT_SEEDS, Plan::draw_with_extra_faults);
    let aborted: usize = summaries.iter().map(|summary| summary.aborted_uploads).sum();
    let signals: usize = summaries.iter().map(|summary| summary.series_signals).sum();
    let dropped: u64 = summaries.iter().map(|summary| summary.dropped_log_lines).sum();
    assert!(
        aborted > 0 && signals > 0 && dropped > 0,
        "{aborted} aborted uploads, {signals} signals, {dropped} dropped log lines"
    );
}

/// Seeds with crowds, passed sockets and series of signals around planned stops.
const STOP_SEEDS: [u64; 4] = [48000, 48001, 48005, 48011];

#[test]
fn no_request_is_lost_at_planned_stops() {
    let summaries = run_plans(&STOP_SEEDS, Plan::draw_with_stops);
    let slow_clients: usize = summaries.iter().map(|summary| summary.slow_clients).sum();
    let signals: usize = summaries.iter().map(|summary| summary.series_signals).sum();
    assert!(slow_clients > 0 && signals > 0, "{slow_clients} slow clients, {signals} signals");
}

/// Seeds with busy connections, slow and stopped servers under long uploads, crowds, and requests that come again.
const OVERLOAD_SEEDS: [u64; 4] = [51000, 51001, 51003, 51004];

#[test]
fn no_rule_is_violated_under_overload() {
    let summaries = run_plans(&OVERLOAD_SEEDS, Plan::draw_with_overload);
    let requests: usize = summaries.iter().map(|summary| summary.overload_requests).sum();
    assert!(requests > 500, "{requests} requests of clients that take more than their share");
    assert!(summaries.iter().all(|summary| summary.peak_memory_kb > 0), "memory was not measured");
}
