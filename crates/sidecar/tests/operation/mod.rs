//! Daily operation: operators' calls, drains and new versions under load.

use crate::stubs::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A listening socket as the platform holds it for clients.
pub fn shared_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// An empty folder that outlives a process of a sidecar.
pub fn folder(of: &TcpListener) -> PathBuf {
    let port = of.local_addr().expect("an address").port();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{port}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir(&path).expect("a folder");
    path
}

#[test]
fn operators_call_and_answer_are_one_line_each() {
    let discovery = Discovery::start();
    let sidecar = Sidecar::start(&discovery, &[]);
    assert_eq!(sidecar.call("health"), "OK");
    assert_eq!(sidecar.call("health\r"), "OK");
    let long = "x".repeat(70_000);
    for bad in ["", " ", "heal", "health now", "quiesce s-1", "resume s-1", "x\0y", "GET /up HTTP/1.1", &long]
    {
        let answer = sidecar.call(bad);
        assert!(answer.starts_with("ERR "), "{bad:.40}: {answer}");
    }
    let answer_to = |bytes: &[u8], ends: bool| {
        let mut stream = TcpStream::connect(sidecar.management).expect("it listens");
        for piece in bytes.chunks(3) {
            stream.write_all(piece).expect("the sidecar takes it");
            thread::sleep(Duration::from_millis(5));
        }
        if ends {
            stream.shutdown(std::net::Shutdown::Write).expect("it closes");
        }
        read_line(&mut stream)
    };
    assert_eq!(answer_to(b"health\n", false), "OK");
    assert!(answer_to(b"health \xff\n", false).starts_with("ERR "));
    // What is cut off may be another call than was meant.
    assert!(answer_to(b"quiesce", true).starts_with("ERR "));
    assert!(answer_to(b"quiesce", false).starts_with("ERR "));
    assert_eq!(sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("an answer").status(), 200);
}

// More than there are places for, and each for as long as the sidecar lets them.
#[test]
fn callers_with_unfinished_lines_block_no_operator() {
    let discovery = Discovery::start();
    let sidecar = Sidecar::start_with(&discovery, &[], 64, 64);
    let mut busy_client: Vec<_> =
        (0..40).map(|_| TcpStream::connect(sidecar.management).expect("it listens")).collect();
    for stream in &mut busy_client {
        // One that had to make way by now is closed.
        let _ = stream.write_all(b"quies");
    }
    let called = Instant::now();
    assert_eq!(sidecar.call("health"), "OK");
    // Those that hold places would have them for 2.5 s each.
    assert!(called.elapsed() < Duration::from_secs(2), "{:?}", called.elapsed());
    drop(busy_client);
    assert_eq!(sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("an answer").status(), 200);
}

#[test]
fn unusable_management_address_fails_start_with_one_line() {
    let taken = shared_listener();
    let address = unused_address();
    let path = config_file(&config(address, address, "null"));
    for bad in [taken.local_addr().expect("an address").to_string(), "nowhere".to_owned()] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
        command.env("LB_CONFIG", &path).env("LB_MANAGEMENT", &bad).stdin(Stdio::null());
        let output = command.output().expect("it starts");
        let stderr = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.starts_with("lotusmoor-sidecar: ") && stderr.lines().count() == 1, "{stderr}");
    }
}

#[test]
fn drained_sidecar_empties_without_loss_and_resumes() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Later(Duration::from_millis(700), b"late".to_vec()));
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let up = |sidecar: &Sidecar| {
        sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("an answer").status()
    };
    for _ in 0..2 {
        let (mut busy_client, mut idle) = (sidecar.connect(), sidecar.connect());
        idle.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("the sidecar takes it");
        assert_eq!(read_message(&mut idle).expect("an answer").status(), 200);
        let before = endpoint.requests();
        busy_client.write_all(request("book", "", "").as_bytes()).expect("the sidecar takes it");
        wait_until("the request is out", || endpoint.requests() > before);
        assert_eq!([sidecar.call("quiesce"), sidecar.call("quiesce")], ["OK", "OK"]);
        assert_eq!(up(&sidecar), 503);
        assert_eq!(sidecar.call("health"), "OK");
        assert!(await_close(&mut idle), "an idle connection stays open");
        let answer = read_message(&mut busy_client).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(await_close(&mut busy_client));
        // Who still comes is served, and not kept.
        let mut late = sidecar.connect();
        late.write_all(request("look", "", "").as_bytes()).expect("the sidecar takes it");
        let answer = read_message(&mut late).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert_eq!([sidecar.call("resume"), sidecar.call("resume")], ["OK", "OK"]);
        assert_eq!(up(&sidecar), 200);
        let answer = sidecar.exchange(&request("look", "", "")).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    // Told to stop it can't serve any more, and no end of a drain changes that.
    assert_eq!(sidecar.call("quiesce"), "OK");
    let (mut busy_client, before) = (sidecar.connect(), endpoint.requests());
    busy_client.write_all(request("book", "", "").as_bytes()).expect("the sidecar takes it");
    wait_until("the request is out", || endpoint.requests() > before);
    sidecar.signal("-TERM");
    wait_until("it stops", || sidecar.call("health").starts_with("ERR "));
    assert!(sidecar.call("resume").starts_with("ERR "));
    assert_eq!(read_message(&mut busy_client).expect("an answer").status(), 200);
    assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
}

// Each client asks again and again on a connection that it keeps for as long as it may; one that is closed between
// two requests, as the protocol has it, is made anew.
#[test]
fn upgrade_over_inherited_socket_loses_no_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Later(Duration::from_millis(20), b"served".to_vec()));
    let (listener, over) = (shared_listener(), AtomicBool::new(false));
    let address = listener.local_addr().expect("an address");
    let folder = folder(&listener);
    let start = || Sidecar::start_passed(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    let client = || {
        let mut stream = TcpStream::connect(address).expect("it is never closed");
        let mut served = 0;
        while !over.load(Ordering::SeqCst) {
            let submitted = request("look", "", "");
            let sent = stream.write_all(submitted.as_bytes());
            let mut answer = sent.ok().and_then(|()| read_message(&mut stream));
            if answer.is_none() {
                stream = TcpStream::connect(address).expect("it is never closed");
                stream.write_all(submitted.as_bytes()).expect("the sidecar takes it");
                answer = read_message(&mut stream);
            }
            let answer = answer.expect("an answer");
            assert_eq!(answer.status(), 200);
            served += 1;
            if answer.header("connection") == Some("close") {
                stream = TcpStream::connect(address).expect("it is never closed");
            }
        }
        served
    };
    let mut old = start();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..8).map(|_| scope.spawn(client)).collect();
        for _ in 0..3 {
            let new = start();
            old.signal("-TERM");
            assert_eq!(old.process.wait().expect("it ends").code(), Some(0));
            old = new;
        }
        over.store(true, Ordering::SeqCst);
        for client in clients {
            assert!(client.join().expect("no request is lost") > 0);
        }
    });
}

// Whoever ends first, the socket is the platform's: what waits in its queue is answered by the other, or by the next.
#[test]
fn shutdown_during_upgrade_leaves_clients_to_other_process() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Answer(200, "", b"served".to_vec()));
    let listener = shared_listener();
    let address = listener.local_addr().expect("an address");
    let folder = folder(&listener);
    let start = || Sidecar::start_passed(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    let exchange = || {
        let mut client = TcpStream::connect(address).expect("it is never closed");
        client.write_all(request("look", "", "").as_bytes()).expect("the system takes it");
        client
    };
    let stop = |mut sidecar: Sidecar| {
        sidecar.signal("-TERM");
        assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    };
    let served = |mut client: TcpStream| read_message(&mut client).expect("an answer").status() == 200;
    let old = start();
    // The new one is told to stop as soon as it has said yes, with requests under way at both.
    let new = start();
    let submitted: Vec<_> = (0..20).map(|_| exchange()).collect();
    stop(new);
    assert!(submitted.into_iter().all(served));
    assert!((0..20).map(|_| exchange()).all(served), "the old one goes on alone");
    // Both are told at once, and nobody is there for a while.
    let new = start();
    old.signal("-TERM");
    stop(new);
    stop(old);
    let waiting: Vec<_> = (0..20).map(|_| exchange()).collect();
    let next = start();
    assert!(waiting.into_iter().all(served));
    stop(next);
}

#[test]
fn invalid_inherited_descriptor_fails_start_with_one_line() {
    let address = unused_address();
    let path = config_file(&config(address, address, "null"));
    for (shell, named) in [
        ("exec \"$0\"", "5"),
        ("exec 5</dev/null; exec \"$0\"", "5"),
        ("exec \"$0\"", "0"),
        ("exec \"$0\"", "five"),
        ("exec \"$0\"", ""),
    ] {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", shell, env!("CARGO_BIN_EXE_lotusmoor-sidecar")]).stdin(Stdio::null());
        let output =
            command.env("LB_CONFIG", &path).env("LB_PASSED_SOCKET", named).output().expect("it starts");
        let stderr = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.starts_with("lotusmoor-sidecar: ") && stderr.lines().count() == 1, "{stderr}");
    }
}

#[test]
fn cordoned_endpoint_gets_nothing_until_uncordoned() {
    let discovery = Discovery::start();
    let [one, two] = [(); 2].map(|()| Endpoint::start(|_| Reply::Answer(200, "", Vec::new())));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &one), ("s-2", &two)]);
    let exchange = || sidecar.exchange(&request("look", "", "")).expect("an answer").status();
    assert!((0..20).all(|_| exchange() == 200) && one.requests() > 0);
    for unknown in ["cordon s-3", "uncordon s-3", "cordon", "uncordon", "cordon s-1 s-2", "cordon S-1"] {
        assert!(sidecar.call(unknown).starts_with("ERR "), "{unknown}");
    }
    assert_eq!(sidecar.call("uncordon s-1"), "OK", "it is not out, as was asked for");
    assert_eq!([sidecar.call("cordon s-1"), sidecar.call("cordon s-1")], ["OK", "OK"]);
    // The stub sees it a moment later.
    wait_until("what was kept to it is closed", || one.closed() > 0 || one.made.load(Ordering::SeqCst) == 0);
    let before = one.requests();
    // Listed anew, gone, and back under a number that may be another: the name is what counts.
    let entries = [("s-1", one.address, "active"), ("s-2", two.address, "active")];
    for (version, listed) in [(2, &entries[..]), (3, &entries[1..]), (4, &entries[..])] {
        discovery.publish(version, list(version, true, listed));
        discovery.await_watch(version);
        assert!((0..20).all(|_| exchange() == 200));
        let known = sidecar.call("cordon s-1");
        assert_eq!(known, "OK", "it is out, listed or not");
    }
    sidecar.reload(&config(sidecar.address, discovery.address, "null"));
    discovery.await_watch(4);
    assert!((0..20).all(|_| exchange() == 200));
    assert_eq!(one.requests(), before);
    assert_eq!(sidecar.call("cordon s-2"), "OK");
    assert_eq!(exchange(), 503);
    assert_eq!([sidecar.call("uncordon s-2"), sidecar.call("uncordon s-1")], ["OK", "OK"]);
    wait_until("it is used again", || exchange() == 200 && one.requests() > before);
}

// Whichever process is told, before the upgrade, during it or after.
#[test]
fn operators_calls_hold_for_both_processes_and_the_next() {
    let discovery = Discovery::start();
    let [one, two] = [(); 2].map(|()| Endpoint::start(|_| Reply::Answer(200, "", Vec::new())));
    let listener = shared_listener();
    let folder = folder(&listener);
    let endpoints = [("s-1", &one), ("s-2", &two)];
    let start = || Sidecar::start_passed(&discovery, &endpoints, &listener, &folder);
    let stop = |mut sidecar: Sidecar| {
        sidecar.signal("-TERM");
        assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    };
    let exchange =
        |sidecar: &Sidecar| sidecar.exchange(&request("look", "", "")).expect("an answer").status();
    let up = |sidecar: &Sidecar| {
        sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("an answer").status()
    };
    // An answer may still be the other process's for a moment after the call.
    let settled = || thread::sleep(Duration::from_millis(500));
    let old = start();
    assert_eq!(old.call("cordon s-1"), "OK");
    let new = start();
    assert_eq!([old.call("cordon s-1"), old.call("quiesce")], ["OK", "OK"]);
    settled();
    assert!((0..10).all(|_| up(&new) == 503));
    assert_eq!([new.call("health"), new.call("resume")], ["OK", "OK"]);
    settled();
    assert!((0..20).all(|_| up(&old) == 200 && exchange(&old) == 200));
    assert_eq!(one.requests(), 0);
    stop(old);
    assert!((0..10).all(|_| exchange(&new) == 200));
    assert_eq!((one.requests(), new.call("quiesce")), (0, "OK".to_owned()));
    let newer = start();
    stop(new);
    assert_eq!((up(&newer), newer.call("health")), (503, "OK".to_owned()));
    assert_eq!([newer.call("uncordon s-1"), newer.call("resume")], ["OK", "OK"]);
    wait_until("it is used again", || exchange(&newer) == 200 && one.requests() > 0);
}

#[test]
fn invalid_state_file_is_logged_once_and_ignored() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Answer(200, "", Vec::new()));
    for text in ["", "{}", "\0", r#"{"version":99,"cordoned":["s-1"],"drained":true}"#] {
        let listener = shared_listener();
        let folder = folder(&listener);
        let start = || Sidecar::start_passed(&discovery, &[("s-1", &endpoint)], &listener, &folder);
        let file = format!("tinflow-{}.json", listener.local_addr().expect("an address"));
        std::fs::write(folder.join(file), text).expect("it can be written");
        let sidecar = start();
        assert_eq!(sidecar.exchange(&request("look", "", "")).expect("an answer").status(), 200, "{text}");
        // The next call replaces it.
        assert_eq!(sidecar.call("cordon s-1"), "OK");
        let next = start();
        drop(sidecar);
        assert_eq!(next.exchange(&request("look", "", "")).expect("an answer").status(), 503, "{text}");
    }
}

#[test]
fn metrics_call_reports_counters_by_label() {
    let (discovery, endpoint) =
        (Discovery::start(), Endpoint::start(|_| Reply::Answer(200, "", b"ok".to_vec())));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for _ in 0..3 {
        assert_eq!(
            sidecar.exchange(&request("look", "Connection: close\r\n", "")).map(|m| m.status()),
            Some(200)
        );
    }
    assert_eq!(sidecar.exchange("NONSENSE\r\n\r\n").map(|m| m.status()), Some(400));
    let reported = sidecar.call("metrics");
    for line in [
        "# TYPE lotusmoor_sidecar_requests_answered counter",
        "lotusmoor_sidecar_requests_answered_total{outcome=\"served\"} 3",
        "lotusmoor_sidecar_requests_answered_total{outcome=\"rejected\"} 1",
        "lotusmoor_sidecar_attempts_ended_total{outcome=\"ok\"} 3",
        "lotusmoor_sidecar_rule_violations_total{rule=\"unanswered\"} 0",
        "lotusmoor_sidecar_rule_violations_total{rule=\"duplicate\"} 0",
    ] {
        assert!(reported.lines().any(|l| l == line), "{line} is not in\n{reported}");
    }
    assert!(sidecar.call("metrics now").starts_with("ERR "));
}
