//! Files that can't be read or written for a while: what was acknowledged, or asked for, holds all the same.

use super::served;
use crate::operation::{folder, shared_listener};
use crate::stubs::*;
use lotusmoor_faults::{Call, FaultTable, Rule, errno};

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
