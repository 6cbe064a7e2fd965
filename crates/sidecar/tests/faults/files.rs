//! Files that can't be read or written for a while: what was acknowledged, or asked for, holds all the same.

use super::served;
use crate::operation::{folder, shared_listener};
use crate::stubs::*;
use lotusmoor_faults::{Call, FaultTable, Rule, errno};
use std::time::{Duration, Instant};

/// Faults under which a file can't be read for a while.
const UNREADABLE: [(Call, i32); 3] =
    [(Call::Read, errno::EIO), (Call::Open, errno::EMFILE), (Call::Open, errno::ENFILE)];
/// For so long, in microseconds.
const WHILE: u64 = 400_000;

fn fails_for_a_while(faults: &FaultTable, (call, errno): (Call, i32)) {
    faults.arm(Rule::lasting(WHILE, call, errno)).expect("a rule");
}

#[test]
fn operators_call_keeps_state_of_other_process_when_file_is_unreadable() {
    for fault in UNREADABLE {
        let (discovery, one, two) = (Discovery::start(), Endpoint::start(served), Endpoint::start(served));
        let (listener, faults) = (shared_listener(), fault_table());
        let folder = folder(&listener);
        let endpoints = [("s-1", &one), ("s-2", &two)];
        let old = Sidecar::start_passed(&discovery, &endpoints, &listener, &folder);
        let new = Sidecar::start_passed_with(&discovery, &endpoints, &listener, &folder, Some(&faults));
        fails_for_a_while(&faults, fault);
        assert_eq!(old.call("cordon s-1"), "OK");
        // It may be refused meanwhile; it is not to undo what the other process has acknowledged.
        let answer = new.call("cordon s-2");
        let file = folder.join(format!("tinflow-{}.json", listener.local_addr().expect("an address")));
        let state = std::fs::read_to_string(file).expect("a state");
        assert!(state.contains("s-1"), "{fault:?}: {state}, after {answer}");
        assert!(answer.starts_with("ERR ") || state.contains("s-2"), "{fault:?}: {state}, after {answer}");
    }
}

#[test]
fn follows_operator_state_that_was_unreadable_at_start() {
    let (discovery, cordoned, other) = (Discovery::start(), Endpoint::start(served), Endpoint::start(served));
    let (listener, faults) = (shared_listener(), fault_table());
    let folder = folder(&listener);
    let endpoints = [("s-1", &cordoned), ("s-2", &other)];
    let start = || Sidecar::start_passed_with(&discovery, &endpoints, &listener, &folder, Some(&faults));
    let first = start();
    // Its configuration, as nothing has been said yet.
    let before = faults.calls(Call::Read).expect("a count");
    assert_eq!(first.call("cordon s-1"), "OK");
    drop(first);
    let rule = Rule { skip: before, ..Rule::lasting(WHILE, Call::Read, errno::EIO) };
    let rule = faults.arm(rule).expect("a rule");
    let next = start();
    assert!(faults.hits(rule).expect("hits") > 0);
    for _ in 0..20 {
        assert_eq!(next.exchange(&request("look", "", "")).map(|m| m.status()), Some(200));
    }
    assert_eq!(cordoned.requests(), 0, "sent to a server that operators have taken out");
}

#[test]
fn retries_reload_while_file_is_unreadable() {
    for fault in UNREADABLE {
        let (discovery, moved) = (Discovery::start(), Discovery::start());
        let endpoint = Endpoint::start(served);
        let faults = fault_table();
        let sidecar = Sidecar::start_with_faults(&discovery, &[("s-1", &endpoint)], &faults, |c| c);
        fails_for_a_while(&faults, fault);
        sidecar.reload(&config(sidecar.address, moved.address, &list(1, true, &[])));
        wait_until("discovery is asked at its new address", || !moved.calls().is_empty());
    }
}

/// An operator's call has to be answered within this.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Requests to a sidecar whose files hang.
const REQUESTS: usize = 40;

fn assert_serves(sidecar: &Sidecar) {
    for turn in 0..REQUESTS {
        let answer = sidecar.exchange(&request("look", "", "")).map(|m| m.status());
        assert_eq!(answer, Some(200), "request {turn}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// The read of a pipe that nobody writes to lasts for good, as on a disk that hangs.
#[test]
fn hanging_configuration_file_costs_no_answer() {
    let (discovery, moved) = (Discovery::start(), Discovery::start());
    let endpoint = Endpoint::start(served);
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for _ in 0..3 {
        sidecar.reload_from_pipe();
        assert_serves(&sidecar);
    }
    // What was asked for holds in the end.
    sidecar.reload_from_new_file(&config(sidecar.address, moved.address, &list(1, true, &[])));
    wait_until("discovery is asked at its new address", || !moved.calls().is_empty());
    sidecar.reload_from_pipe();
    sidecar.signal("-TERM");
    let status = sidecar.process.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

#[test]
fn hanging_operator_state_costs_no_answer() {
    for suffix in ["json", "lock", "new"] {
        let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
        let listener = shared_listener();
        let folder = folder(&listener);
        let address = listener.local_addr().expect("an address");
        let path = folder.join(format!("tinflow-{address}.{suffix}"));
        make_named_pipe(&path);
        let mut sidecar = Sidecar::start_passed(&discovery, &[("s-1", &endpoint)], &listener, &folder);
        assert_serves(&sidecar);
        for call in ["cordon s-1", "health"] {
            let called = Instant::now();
            let answer = sidecar.call(call);
            assert!(
                called.elapsed() < CALL_TIME,
                "{call} of {suffix}: {answer} after {:?}",
                called.elapsed()
            );
            assert_eq!(answer == "OK", call == "health", "{call} of {suffix}: {answer}");
        }
        // What was refused did not take effect.
        assert_serves(&sidecar);
        std::fs::remove_file(&path).expect("it is there");
        wait_until("calls are taken again", || sidecar.call("cordon s-1") == "OK");
        sidecar.signal("-TERM");
        let status = sidecar.process.wait().expect("it ends");
        assert!(status.success(), "{suffix}: {status}");
    }
}
