//! The files that a sidecar process stores for the next one, compared with fixtures that the program wrote at commit
//! 3f326ce. During a hand-over two versions of the sidecar use these files at the same time, so neither their names nor
//! their text may change.

use crate::operation::{shared_listener, state_folder};
use crate::stubs::*;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

const STATE_EMPTY: &str = "operators-state-empty.json";
const STATE_CORDONED: &str = "operators-state-cordoned.json";
const STATE_DRAINED: &str = "operators-state-drained.json";
const STATE_CORDONED_AND_DRAINED: &str = "operators-state-cordoned-and-drained.json";

/// A stored state, the operators' calls after which the program wrote it, and its meaning.
struct StoredState {
    fixture: &'static str,
    calls: &'static [&'static str],
    cordoned: &'static [&'static str],
    drained: bool,
}

const STORED_STATES: [StoredState; 4] = [
    StoredState {
        fixture: STATE_EMPTY,
        calls: &["cordon s-1", "quiesce", "resume", "uncordon s-1"],
        cordoned: &[],
        drained: false,
    },
    StoredState { fixture: STATE_CORDONED, calls: &["cordon s-1"], cordoned: &["s-1"], drained: false },
    StoredState { fixture: STATE_DRAINED, calls: &["quiesce"], cordoned: &[], drained: true },
    StoredState {
        fixture: STATE_CORDONED_AND_DRAINED,
        calls: &["quiesce", "cordon s-2", "cordon s-1"],
        cordoned: &["s-1", "s-2"],
        drained: true,
    },
];

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(path).expect("a fixture")
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// The file with the state of the sidecar that listens at this address.
fn state_file(folder: &Path, listen: SocketAddr) -> PathBuf {
    folder.join(format!("tinflow-{listen}.json"))
}

/// The file that each process locks to change the state file.
fn lock_file(folder: &Path, listen: SocketAddr) -> PathBuf {
    folder.join(format!("tinflow-{listen}.lock"))
}

fn names_in(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry"));
    let mut names: Vec<_> =
        entries.map(|entry| entry.file_name().into_string().expect("a name in UTF-8")).collect();
    names.sort();
    names
}

fn ok_endpoint() -> Endpoint {
    Endpoint::start(|_| Reply::Response(200, "", Vec::new()))
}

fn status_of_look(sidecar: &Sidecar) -> u16 {
    sidecar.exchange(&request("look", "", "")).expect("a response").status()
}

fn status_of_up(sidecar: &Sidecar) -> u16 {
    sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("a response").status()
}

#[test]
fn operators_calls_write_state_file_with_stored_name_and_text() {
    for stored in STORED_STATES {
        let discovery = Discovery::start();
        let [one, two] = [(); 2].map(|()| ok_endpoint());
        let listener = shared_listener();
        let folder = state_folder(&listener);
        let endpoints = [("s-1", &one), ("s-2", &two)];
        let sidecar = Sidecar::start_on_inherited_socket(&discovery, &endpoints, &listener, &folder);
        let listen = address(&listener);
        let ids = format!("tinflow-{listen}.ids");
        let shares = format!("tinflow-{listen}.shares");
        assert_eq!(names_in(&folder), [&*ids, &*shares], "no state is stored before the first call");
        for call in stored.calls {
            assert_eq!(sidecar.call(call), "OK", "{}: {call}", stored.fixture);
        }
        let written = std::fs::read(state_file(&folder, listen)).expect("a state");
        assert_eq!(
            String::from_utf8_lossy(&written),
            String::from_utf8_lossy(&fixture(stored.fixture)),
            "{}",
            stored.fixture
        );
        let state = [format!("tinflow-{listen}.json"), format!("tinflow-{listen}.lock")];
        assert_eq!(names_in(&folder), [&[ids][..], &state[..], &[shares][..]].concat());
        assert_eq!(std::fs::read(lock_file(&folder, listen)).expect("a lock"), b"", "the lock file is empty");
    }
}

#[test]
fn sidecar_applies_stored_state_at_start() {
    for stored in STORED_STATES {
        let discovery = Discovery::start();
        let [one, two, three] = [(); 3].map(|()| ok_endpoint());
        let listener = shared_listener();
        let folder = state_folder(&listener);
        let file = state_file(&folder, address(&listener));
        std::fs::write(&file, fixture(stored.fixture)).expect("the file can be written");
        let endpoints = [("s-1", &one), ("s-2", &two), ("s-3", &three)];
        let sidecar = Sidecar::start_on_inherited_socket(&discovery, &endpoints, &listener, &folder);
        assert_eq!(status_of_up(&sidecar), if stored.drained { 503 } else { 200 }, "{}", stored.fixture);
        for _ in 0..60 {
            assert_eq!(status_of_look(&sidecar), 200, "{}", stored.fixture);
        }
        for (name, endpoint) in endpoints {
            let gets_requests = endpoint.requests_handled() > 0;
            assert_eq!(gets_requests, !stored.cordoned.contains(&name), "{}: {name}", stored.fixture);
        }
        // Cordoned names are known to operators' calls. Repeating a call leaves the text of the file as it was.
        for name in stored.cordoned {
            assert_eq!(sidecar.call(&format!("cordon {name}")), "OK", "{}", stored.fixture);
        }
        assert_eq!(sidecar.call(if stored.drained { "quiesce" } else { "resume" }), "OK");
        assert_eq!(std::fs::read(&file).expect("a state"), fixture(stored.fixture), "{}", stored.fixture);
        // The opposite calls undo the stored state.
        for name in stored.cordoned {
            assert_eq!(sidecar.call(&format!("uncordon {name}")), "OK", "{}", stored.fixture);
        }
        assert_eq!(sidecar.call("resume"), "OK");
        assert_eq!(std::fs::read(&file).expect("a state"), fixture(STATE_EMPTY), "{}", stored.fixture);
        assert_eq!(status_of_up(&sidecar), 200, "{}", stored.fixture);
    }
}

#[test]
fn running_sidecar_applies_state_that_another_version_writes() {
    let discovery = Discovery::start();
    let [one, two] = [(); 2].map(|()| ok_endpoint());
    let listener = shared_listener();
    let folder = state_folder(&listener);
    let file = state_file(&folder, address(&listener));
    let endpoints = [("s-1", &one), ("s-2", &two)];
    let sidecar = Sidecar::start_on_inherited_socket(&discovery, &endpoints, &listener, &folder);
    let replace_state = |name: &str| {
        let temporary_path = folder.join("other-version");
        std::fs::write(&temporary_path, fixture(name)).expect("the file can be written");
        std::fs::rename(&temporary_path, &file).expect("the file can be renamed");
    };
    replace_state(STATE_CORDONED_AND_DRAINED);
    wait_until("the sidecar is drained", || status_of_up(&sidecar) == 503);
    assert_eq!(status_of_look(&sidecar), 503, "both endpoints are cordoned");
    replace_state(STATE_DRAINED);
    wait_until("the endpoints are uncordoned", || status_of_look(&sidecar) == 200);
    replace_state(STATE_EMPTY);
    wait_until("the sidecar is in service", || status_of_up(&sidecar) == 200);
}

#[test]
fn state_is_not_changed_while_another_version_holds_the_lock_file() {
    let discovery = Discovery::start();
    let endpoint = ok_endpoint();
    let listener = shared_listener();
    let folder = state_folder(&listener);
    let listen = address(&listener);
    let sidecar = Sidecar::start_on_inherited_socket(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    let lock = File::create(lock_file(&folder, listen)).expect("a lock");
    lock.lock().expect("the lock is free");
    let answer = sidecar.call("cordon s-1");
    assert!(answer.starts_with("ERR "), "{answer}");
    assert!(!state_file(&folder, listen).exists(), "nothing is written without the lock");
    lock.unlock().expect("the lock is held");
    assert_eq!(sidecar.call("cordon s-1"), "OK");
    assert_eq!(std::fs::read(state_file(&folder, listen)).expect("a state"), fixture(STATE_CORDONED));
}

/// A configuration with an unreachable registry whose list is cached in this file.
fn with_registry(config: &str, list: &Path, services: &str) -> String {
    let (unreachable_address, list) = (unused_address(), list.display());
    let registry = format!(
        r#""roster":{{"addresses":["{unreachable_address}"],"file":"{list}","services":[{services}]}},"#
    );
    config.replacen(r#""settings":"#, &format!(r#"{registry}"settings":"#), 1)
}

#[test]
fn sidecar_with_unreachable_registry_starts_with_the_stored_list() {
    for (name, services, expected) in [
        ("list-whole.json", "", ["OK version=3/70 ", " servers=2 held=0"]),
        ("list-of-services.json", r#""ledger","mail""#, ["OK version=4/71 ", " servers=2 held=0 services=2"]),
    ] {
        let listener = shared_listener();
        let list = state_folder(&listener).join(name);
        let stored =
            Path::new(env!("CARGO_MANIFEST_DIR")).join("../registry-client/tests/fixtures").join(name);
        std::fs::copy(stored, &list).expect("the file can be copied");
        let discovery = Discovery::start();
        let sidecar = Sidecar::start_with_config(&discovery, &[], 1024, |config| {
            with_registry(&config, &list, services)
        });
        let [start, end] = expected;
        wait_until("the stored list is in use", || {
            let line = sidecar.call("list");
            line.starts_with(start) && line.ends_with(end)
        });
    }
}
