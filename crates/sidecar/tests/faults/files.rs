//! Files that cannot be read or written for a while: acknowledged operators' calls and requested reloads still take
//! effect.

use super::reply_ok;
use crate::operation::{shared_listener, state_folder};
use crate::stubs::*;
use lotusmoor_faults::{Call, FaultTable, Rule, errno};
use std::time::{Duration, Instant};

/// Faults that prevent a file from being read.
const UNREADABLE: [(Call, i32); 3] =
    [(Call::Read, errno::EIO), (Call::Open, errno::EMFILE), (Call::Open, errno::ENFILE)];
const FAULT_DURATION_US: u64 = 400_000;

fn fail_for_a_while(faults: &FaultTable, (call, errno): (Call, i32)) {
    faults.arm(Rule::lasting(FAULT_DURATION_US, call, errno)).expect("a rule");
}

#[test]
fn operators_call_keeps_state_of_other_process_when_file_is_unreadable() {
    for fault in UNREADABLE {
        let (discovery, one, two) =
            (Discovery::start(), Endpoint::start(reply_ok), Endpoint::start(reply_ok));
        let (listener, faults) = (shared_listener(), fault_table());
        let folder = state_folder(&listener);
        let endpoints = [("s-1", &one), ("s-2", &two)];
        let old = Sidecar::start_on_inherited_socket(&discovery, &endpoints, &listener, &folder);
        let new = Sidecar::start_on_inherited_socket_with_faults(
            &discovery,
            &endpoints,
            &listener,
            &folder,
            Some(&faults),
        );
        fail_for_a_while(&faults, fault);
        assert_eq!(old.call("cordon s-1"), "OK");
        // The call may be rejected during the fault, but must not undo what the other process has acknowledged.
        let answer = new.call("cordon s-2");
        let file = folder.join(format!("tinflow-{}.json", listener.local_addr().expect("an address")));
        let state = std::fs::read_to_string(file).expect("a state");
        assert!(state.contains("s-1"), "{fault:?}: {state}, after {answer}");
        assert!(answer.starts_with("ERR ") || state.contains("s-2"), "{fault:?}: {state}, after {answer}");
    }
}

#[test]
fn follows_operator_state_that_was_unreadable_at_start() {
    let (discovery, cordoned, other) =
        (Discovery::start(), Endpoint::start(reply_ok), Endpoint::start(reply_ok));
    let (listener, faults) = (shared_listener(), fault_table());
    let folder = state_folder(&listener);
    let endpoints = [("s-1", &cordoned), ("s-2", &other)];
    let start = || {
        Sidecar::start_on_inherited_socket_with_faults(
            &discovery,
            &endpoints,
            &listener,
            &folder,
            Some(&faults),
        )
    };
    let first = start();
    // So far the process has read only its configuration, as there is no operators' state yet.
    let reads_before = faults.calls(Call::Read).expect("a count");
    assert_eq!(first.call("cordon s-1"), "OK");
    drop(first);
    let rule = Rule { skip: reads_before, ..Rule::lasting(FAULT_DURATION_US, Call::Read, errno::EIO) };
    let rule = faults.arm(rule).expect("a rule");
    let next = start();
    assert!(faults.hits(rule).expect("hits") > 0);
    for _ in 0..20 {
        assert_eq!(next.exchange(&request("look", "", "")).map(|m| m.status()), Some(200));
    }
    assert_eq!(cordoned.requests_handled(), 0, "the cordoned endpoint got requests");
}

#[test]
fn retries_reload_while_file_is_unreadable() {
    for fault in UNREADABLE {
        let (discovery, moved) = (Discovery::start(), Discovery::start());
        let endpoint = Endpoint::start(reply_ok);
        let faults = fault_table();
        let sidecar = Sidecar::start_with_faults(&discovery, &[("s-1", &endpoint)], &faults, |c| c);
        fail_for_a_while(&faults, fault);
        sidecar.reload(&config(sidecar.address, moved.address, &list(1, true, &[])));
        wait_until("discovery is polled at its new address", || !moved.polls().is_empty());
    }
}

/// An operator's call has to be answered within this time.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);
/// Number of requests to a sidecar whose files hang.
const REQUESTS: usize = 40;

fn assert_serves(sidecar: &Sidecar) {
    for number in 0..REQUESTS {
        let status = sidecar.exchange(&request("look", "", "")).map(|m| m.status());
        assert_eq!(status, Some(200), "request {number}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// A read from a named pipe without a writer blocks forever, like a read from a disk that hangs.
#[test]
fn hanging_configuration_file_does_not_fail_requests() {
    let (discovery, moved) = (Discovery::start(), Discovery::start());
    let endpoint = Endpoint::start(reply_ok);
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for _ in 0..3 {
        sidecar.reload_from_pipe();
        assert_serves(&sidecar);
    }
    // A reload from a readable file still takes effect in the end.
    sidecar.reload_from_new_file(&config(sidecar.address, moved.address, &list(1, true, &[])));
    wait_until("discovery is polled at its new address", || !moved.polls().is_empty());
    sidecar.reload_from_pipe();
    sidecar.signal("-TERM");
    let status = sidecar.process.wait().expect("the process exits");
    assert!(status.success(), "{status}");
}

#[test]
fn hanging_operator_state_does_not_fail_requests() {
    for suffix in ["json", "lock", "new"] {
        let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
        let listener = shared_listener();
        let folder = state_folder(&listener);
        let address = listener.local_addr().expect("an address");
        let path = folder.join(format!("tinflow-{address}.{suffix}"));
        make_named_pipe(&path);
        let mut sidecar =
            Sidecar::start_on_inherited_socket(&discovery, &[("s-1", &endpoint)], &listener, &folder);
        assert_serves(&sidecar);
        for call in ["cordon s-1", "health"] {
            let called_at = Instant::now();
            let answer = sidecar.call(call);
            assert!(
                called_at.elapsed() < MAX_CALL_TIME,
                "{call} with a hanging {suffix} file: {answer} after {:?}",
                called_at.elapsed()
            );
            assert_eq!(answer == "OK", call == "health", "{call} with a hanging {suffix} file: {answer}");
        }
        // The rejected call did not take effect.
        assert_serves(&sidecar);
        std::fs::remove_file(&path).expect("the file exists");
        wait_until("calls succeed again", || sidecar.call("cordon s-1") == "OK");
        sidecar.signal("-TERM");
        let status = sidecar.process.wait().expect("the process exits");
        assert!(status.success(), "{suffix}: {status}");
    }
}
