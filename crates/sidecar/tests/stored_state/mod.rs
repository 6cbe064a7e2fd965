//! What a sidecar keeps for the process after it, against fixtures that the program wrote at commit 3f326ce. Two versions
//! of the sidecar read these files side by side during a hand-over, so neither their names nor their text may change.

use crate::operation::{folder, shared_listener};
use crate::stubs::*;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

const STATE_EMPTY: &str = "operators-state-empty.json";
const STATE_CORDONED: &str = "operators-state-cordoned.json";
const STATE_DRAINED: &str = "operators-state-drained.json";
const STATE_CORDONED_AND_DRAINED: &str = "operators-state-cordoned-and-drained.json";

/// A stored state, the calls after which the program had written it, and what it means.
struct Stored {
    fixture: &'static str,
    calls: &'static [&'static str],
    cordoned: &'static [&'static str],
    drained: bool,
}

const ALL_STORED: [Stored; 4] = [
    Stored {
        fixture: STATE_EMPTY,
        calls: &["cordon s-1", "quiesce", "resume", "uncordon s-1"],
        cordoned: &[],
        drained: false,
    },
    Stored { fixture: STATE_CORDONED, calls: &["cordon s-1"], cordoned: &["s-1"], drained: false },
    Stored { fixture: STATE_DRAINED, calls: &["quiesce"], cordoned: &[], drained: true },
    Stored {
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

fn address(of: &TcpListener) -> SocketAddr {
    of.local_addr().expect("an address")
}

/// Where the state of the sidecar that listens there is kept.
fn state_file(folder: &Path, listen: SocketAddr) -> PathBuf {
    folder.join(format!("tinflow-{listen}.json"))
}

/// The lock that each process takes for a change of that file.
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

fn served() -> Endpoint {
    Endpoint::start(|_| Reply::Answer(200, "", Vec::new()))
}

fn status_of_look(sidecar: &Sidecar) -> u16 {
    sidecar.exchange(&request("look", "", "")).expect("an answer").status()
}

fn status_of_up(sidecar: &Sidecar) -> u16 {
    sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("an answer").status()
}

#[test]
fn operators_calls_write_the_stored_state_under_its_stored_name() {
    for stored in ALL_STORED {
        let discovery = Discovery::start();
        let [one, two] = [(); 2].map(|()| served());
        let listener = shared_listener();
        let folder = folder(&listener);
        let endpoints = [("s-1", &one), ("s-2", &two)];
        let sidecar = Sidecar::start_passed(&discovery, &endpoints, &listener, &folder);
        assert_eq!(names_in(&folder), [""; 0], "nothing is kept before the first call");
        for call in stored.calls {
            assert_eq!(sidecar.call(call), "OK", "{}: {call}", stored.fixture);
        }
        let listen = address(&listener);
        let written = std::fs::read(state_file(&folder, listen)).expect("a state");
        assert_eq!(
            String::from_utf8_lossy(&written),
            String::from_utf8_lossy(&fixture(stored.fixture)),
            "{}",
            stored.fixture
        );
        assert_eq!(names_in(&folder), [format!("tinflow-{listen}.json"), format!("tinflow-{listen}.lock")]);
        assert_eq!(std::fs::read(lock_file(&folder, listen)).expect("a lock"), b"", "the lock holds no text");
    }
}

#[test]
fn a_sidecar_that_starts_over_a_stored_state_follows_it() {
    for stored in ALL_STORED {
        let discovery = Discovery::start();
        let [one, two, three] = [(); 3].map(|()| served());
        let listener = shared_listener();
        let folder = folder(&listener);
        let file = state_file(&folder, address(&listener));
        std::fs::write(&file, fixture(stored.fixture)).expect("it can be written");
        let endpoints = [("s-1", &one), ("s-2", &two), ("s-3", &three)];
        let sidecar = Sidecar::start_passed(&discovery, &endpoints, &listener, &folder);
        assert_eq!(status_of_up(&sidecar), if stored.drained { 503 } else { 200 }, "{}", stored.fixture);
        for _ in 0..60 {
            assert_eq!(status_of_look(&sidecar), 200, "{}", stored.fixture);
        }
        for (name, endpoint) in endpoints {
            let gets_requests = endpoint.requests() > 0;
            assert_eq!(gets_requests, !stored.cordoned.contains(&name), "{}: {name}", stored.fixture);
        }
        // Names that are out are known to the calls; the same call again leaves the text as it was.
        for name in stored.cordoned {
            assert_eq!(sidecar.call(&format!("cordon {name}")), "OK", "{}", stored.fixture);
        }
        assert_eq!(sidecar.call(if stored.drained { "quiesce" } else { "resume" }), "OK");
        assert_eq!(std::fs::read(&file).expect("a state"), fixture(stored.fixture), "{}", stored.fixture);
        // Its opposite ends what the state said.
        for name in stored.cordoned {
            assert_eq!(sidecar.call(&format!("uncordon {name}")), "OK", "{}", stored.fixture);
        }
        assert_eq!(sidecar.call("resume"), "OK");
        assert_eq!(std::fs::read(&file).expect("a state"), fixture(STATE_EMPTY), "{}", stored.fixture);
        assert_eq!(status_of_up(&sidecar), 200, "{}", stored.fixture);
    }
}

#[test]
fn a_stored_state_that_another_version_writes_is_followed_while_the_sidecar_runs() {
    let discovery = Discovery::start();
    let [one, two] = [(); 2].map(|()| served());
    let listener = shared_listener();
    let folder = folder(&listener);
    let file = state_file(&folder, address(&listener));
    let endpoints = [("s-1", &one), ("s-2", &two)];
    let sidecar = Sidecar::start_passed(&discovery, &endpoints, &listener, &folder);
    let puts = |name: &str| {
        let beside = folder.join("other-version");
        std::fs::write(&beside, fixture(name)).expect("it can be written");
        std::fs::rename(&beside, &file).expect("it can be put in place");
    };
    puts(STATE_CORDONED_AND_DRAINED);
    wait_until("it is drained", || status_of_up(&sidecar) == 503);
    assert_eq!(status_of_look(&sidecar), 503, "both endpoints are out");
    puts(STATE_DRAINED);
    wait_until("endpoints are given back", || status_of_look(&sidecar) == 200);
    puts(STATE_EMPTY);
    wait_until("it is in service", || status_of_up(&sidecar) == 200);
}

#[test]
fn the_lock_of_another_version_is_respected_under_its_stored_name() {
    let discovery = Discovery::start();
    let endpoint = served();
    let listener = shared_listener();
    let folder = folder(&listener);
    let listen = address(&listener);
    let sidecar = Sidecar::start_passed(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    let lock = File::create(lock_file(&folder, listen)).expect("a lock");
    lock.lock().expect("nobody holds it");
    let answer = sidecar.call("cordon s-1");
    assert!(answer.starts_with("ERR "), "{answer}");
    assert!(!state_file(&folder, listen).exists(), "nothing is written without the lock");
    lock.unlock().expect("it is held");
    assert_eq!(sidecar.call("cordon s-1"), "OK");
    assert_eq!(std::fs::read(state_file(&folder, listen)).expect("a state"), fixture(STATE_CORDONED));
}

/// A configuration with a registry that nobody can reach, whose list is kept in that file.
fn with_registry(config: &str, list: &Path, services: &str) -> String {
    let (nobody, list) = (unused_address(), list.display());
    let registry =
        format!(r#""roster":{{"addresses":["{nobody}"],"file":"{list}","services":[{services}]}},"#);
    config.replacen(r#""settings":"#, &format!(r#"{registry}"settings":"#), 1)
}

#[test]
fn a_sidecar_whose_registry_is_away_starts_with_the_stored_list() {
    for (name, services, wanted) in [
        ("list-whole.json", "", ["OK version=3/70 ", " servers=2 held=0"]),
        ("list-of-services.json", r#""ledger","mail""#, ["OK version=4/71 ", " servers=2 held=0 services=2"]),
    ] {
        let listener = shared_listener();
        let list = folder(&listener).join(name);
        let stored =
            Path::new(env!("CARGO_MANIFEST_DIR")).join("../registry-client/tests/fixtures").join(name);
        std::fs::copy(stored, &list).expect("it can be copied");
        let discovery = Discovery::start();
        let sidecar =
            Sidecar::start_as(&discovery, &[], 1024, |config| with_registry(&config, &list, services));
        let [start, end] = wanted;
        wait_until("the stored list is in use", || {
            let line = sidecar.call("list");
            line.starts_with(start) && line.ends_with(end)
        });
    }
}
