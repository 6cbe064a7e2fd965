//! Operators' calls, drains, and upgrades under load.

mod upgrade_limits;

use crate::stubs::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A listening socket like the one that the platform running the sidecars holds open, and passes to each process.
pub fn shared_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// A new folder for state that is kept from one sidecar process to the next, one for each listening socket.
pub fn state_folder(listener: &TcpListener) -> PathBuf {
    let port = listener.local_addr().expect("an address").port();
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
    let answer_to = |bytes: &[u8], closes: bool| {
        let mut stream = TcpStream::connect(sidecar.management).expect("the management address accepts");
        for piece in bytes.chunks(3) {
            stream.write_all(piece).expect("the write succeeds");
            thread::sleep(Duration::from_millis(5));
        }
        if closes {
            stream.shutdown(std::net::Shutdown::Write).expect("the socket shuts down");
        }
        read_answer(&mut stream)
    };
    assert_eq!(answer_to(b"health\n", false), "OK");
    assert!(answer_to(b"health \xff\n", false).starts_with("ERR "));
    // A truncated line may be another call than the operator meant.
    assert!(answer_to(b"quiesce", true).starts_with("ERR "));
    assert!(answer_to(b"quiesce", false).starts_with("ERR "));
    assert_eq!(sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("a response").status(), 200);
}

// There are more such callers than the sidecar serves at a time, and each stays for as long as the sidecar allows.
#[test]
fn callers_with_incomplete_lines_do_not_block_operators() {
    let discovery = Discovery::start();
    let sidecar = Sidecar::start_with_descriptors(&discovery, &[], 64, 64);
    let mut callers: Vec<_> = (0..40)
        .map(|_| TcpStream::connect(sidecar.management).expect("the management address accepts"))
        .collect();
    for stream in &mut callers {
        // The sidecar may have closed this connection in favour of a newer one.
        let _ = stream.write_all(b"quies");
    }
    let called = Instant::now();
    assert_eq!(sidecar.call("health"), "OK");
    // Each caller that is being served has 2.5 s to complete its line.
    assert!(called.elapsed() < Duration::from_secs(2), "{:?}", called.elapsed());
    drop(callers);
    assert_eq!(sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("a response").status(), 200);
}

#[test]
fn unusable_management_address_fails_start_with_one_line() {
    let taken_listener = shared_listener();
    let address = unused_address();
    let path = config_file(&config(address, address, "null"));
    for invalid_address in
        [taken_listener.local_addr().expect("an address").to_string(), "nowhere".to_owned()]
    {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
        command.env("LB_CONFIG", &path).env("LB_MANAGEMENT", &invalid_address).stdin(Stdio::null());
        let output = command.output().expect("the process starts");
        let stderr = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.starts_with("lotusmoor-sidecar: ") && stderr.lines().count() == 1, "{stderr}");
    }
}

#[test]
fn drained_sidecar_empties_without_loss_and_resumes() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::DelayedResponse(Duration::from_millis(700), b"late".to_vec()));
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let status_of_up = |sidecar: &Sidecar| {
        sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("a response").status()
    };
    for _ in 0..2 {
        let (mut busy_client, mut idle_client) = (sidecar.connect(), sidecar.connect());
        idle_client.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("the write succeeds");
        assert_eq!(read_message(&mut idle_client).expect("a response").status(), 200);
        let before = endpoint.requests_handled();
        busy_client.write_all(request("book", "", "").as_bytes()).expect("the write succeeds");
        wait_until("the endpoint has received the request", || endpoint.requests_handled() > before);
        assert_eq!([sidecar.call("quiesce"), sidecar.call("quiesce")], ["OK", "OK"]);
        assert_eq!(status_of_up(&sidecar), 503);
        assert_eq!(sidecar.call("health"), "OK");
        assert!(await_close(&mut idle_client), "an idle connection stays open");
        let response = read_message(&mut busy_client).expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        assert!(await_close(&mut busy_client));
        // A client that connects during the drain is served, and its connection closed.
        let mut late_client = sidecar.connect();
        late_client.write_all(request("look", "", "").as_bytes()).expect("the write succeeds");
        let response = read_message(&mut late_client).expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        assert_eq!([sidecar.call("resume"), sidecar.call("resume")], ["OK", "OK"]);
        assert_eq!(status_of_up(&sidecar), 200);
        let response = sidecar.exchange(&request("look", "", "")).expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, None));
    }
    // After SIGTERM the sidecar shuts down, and ending the drain does not change that.
    assert_eq!(sidecar.call("quiesce"), "OK");
    let (mut busy_client, before) = (sidecar.connect(), endpoint.requests_handled());
    busy_client.write_all(request("book", "", "").as_bytes()).expect("the write succeeds");
    wait_until("the endpoint has received the request", || endpoint.requests_handled() > before);
    sidecar.signal("-TERM");
    wait_until("the sidecar is shutting down", || sidecar.call("health").starts_with("ERR "));
    assert!(sidecar.call("resume").starts_with("ERR "));
    assert_eq!(read_message(&mut busy_client).expect("a response").status(), 200);
    assert_eq!(sidecar.process.wait().expect("the process exits").code(), Some(0));
}

// Each client sends one request after another on a connection that it keeps open as long as it can, and connects again
// if the connection is closed between two requests, as HTTP allows.
#[test]
fn upgrade_over_inherited_socket_loses_no_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::DelayedResponse(Duration::from_millis(20), b"served".to_vec()));
    let (listener, stop) = (shared_listener(), AtomicBool::new(false));
    let address = listener.local_addr().expect("an address");
    let folder = state_folder(&listener);
    let start = || Sidecar::start_on_inherited_socket(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    let client = || {
        let mut stream = TcpStream::connect(address).expect("the listening socket stays open");
        let mut served_requests = 0;
        while !stop.load(Ordering::SeqCst) {
            let request_text = request("look", "", "");
            let sent = stream.write_all(request_text.as_bytes());
            let mut response = sent.ok().and_then(|()| read_message(&mut stream));
            if response.is_none() {
                stream = TcpStream::connect(address).expect("the listening socket stays open");
                stream.write_all(request_text.as_bytes()).expect("the write succeeds");
                response = read_message(&mut stream);
            }
            let response = response.expect("a response");
            assert_eq!(response.status(), 200);
            served_requests += 1;
            if response.header("connection") == Some("close") {
                stream = TcpStream::connect(address).expect("the listening socket stays open");
            }
        }
        served_requests
    };
    let mut old = start();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..8).map(|_| scope.spawn(client)).collect();
        for _ in 0..3 {
            let new = start();
            old.signal("-TERM");
            assert_eq!(old.process.wait().expect("the process exits").code(), Some(0));
            old = new;
        }
        stop.store(true, Ordering::SeqCst);
        for client in clients {
            assert!(client.join().expect("no request is lost") > 0);
        }
    });
}

// Whichever process ends first, the platform keeps the socket open: connections in its accept queue are served by the
// other process or by the next one.
#[test]
fn shutdown_during_upgrade_leaves_clients_to_other_process() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Response(200, "", b"served".to_vec()));
    let listener = shared_listener();
    let address = listener.local_addr().expect("an address");
    let folder = state_folder(&listener);
    let start = || Sidecar::start_on_inherited_socket(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    let send_request = || {
        let mut client = TcpStream::connect(address).expect("the listening socket stays open");
        client.write_all(request("look", "", "").as_bytes()).expect("the write succeeds");
        client
    };
    let stop = |mut sidecar: Sidecar| {
        sidecar.signal("-TERM");
        assert_eq!(sidecar.process.wait().expect("the process exits").code(), Some(0));
    };
    let is_served = |mut client: TcpStream| read_message(&mut client).expect("a response").status() == 200;
    let old = start();
    // The new process gets SIGTERM as soon as it is ready, with requests in flight at both processes.
    let new = start();
    let clients: Vec<_> = (0..20).map(|_| send_request()).collect();
    stop(new);
    assert!(clients.into_iter().all(is_served));
    assert!((0..20).map(|_| send_request()).all(is_served), "the old process serves alone");
    // Both get SIGTERM, and for a while no process accepts connections.
    let new = start();
    old.signal("-TERM");
    stop(new);
    stop(old);
    let waiting: Vec<_> = (0..20).map(|_| send_request()).collect();
    let next = start();
    assert!(waiting.into_iter().all(is_served));
    stop(next);
}

#[test]
fn invalid_inherited_descriptor_fails_start_with_one_line() {
    let address = unused_address();
    let path = config_file(&config(address, address, "null"));
    for (shell, descriptor) in [
        ("exec \"$0\"", "5"),
        ("exec 5</dev/null; exec \"$0\"", "5"),
        ("exec \"$0\"", "0"),
        ("exec \"$0\"", "five"),
        ("exec \"$0\"", ""),
    ] {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", shell, env!("CARGO_BIN_EXE_lotusmoor-sidecar")]).stdin(Stdio::null());
        let output = command
            .env("LB_CONFIG", &path)
            .env("LB_PASSED_SOCKET", descriptor)
            .output()
            .expect("the process starts");
        let stderr = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.starts_with("lotusmoor-sidecar: ") && stderr.lines().count() == 1, "{stderr}");
    }
}

#[test]
fn cordoned_endpoint_gets_nothing_until_uncordoned() {
    let discovery = Discovery::start();
    let [one, two] = [(); 2].map(|()| Endpoint::start(|_| Reply::Response(200, "", Vec::new())));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &one), ("s-2", &two)]);
    let exchange = || sidecar.exchange(&request("look", "", "")).expect("a response").status();
    assert!((0..20).all(|_| exchange() == 200) && one.requests_handled() > 0);
    for invalid in ["cordon s-3", "uncordon s-3", "cordon", "uncordon", "cordon s-1 s-2", "cordon S-1"] {
        assert!(sidecar.call(invalid).starts_with("ERR "), "{invalid}");
    }
    assert_eq!(sidecar.call("uncordon s-1"), "OK", "uncordoning an endpoint that is not cordoned succeeds");
    assert_eq!([sidecar.call("cordon s-1"), sidecar.call("cordon s-1")], ["OK", "OK"]);
    // The stub sees the close a moment later.
    wait_until("idle connections to the endpoint are closed", || {
        one.closed() > 0 || one.accepted.load(Ordering::SeqCst) == 0
    });
    let before = one.requests_handled();
    // The endpoint is listed again, removed, and listed again, perhaps with another internal ID: a cordon applies to the
    // name.
    let entries = [("s-1", one.address, "active"), ("s-2", two.address, "active")];
    for (version, listed) in [(2, &entries[..]), (3, &entries[1..]), (4, &entries[..])] {
        discovery.publish(version, list(version, true, listed));
        discovery.await_watch(version);
        assert!((0..20).all(|_| exchange() == 200));
        let answer = sidecar.call("cordon s-1");
        assert_eq!(answer, "OK", "a cordoned name is known, listed or not");
    }
    sidecar.reload(&config(sidecar.address, discovery.address, "null"));
    discovery.await_watch(4);
    assert!((0..20).all(|_| exchange() == 200));
    assert_eq!(one.requests_handled(), before);
    assert_eq!(sidecar.call("cordon s-2"), "OK");
    assert_eq!(exchange(), 503);
    assert_eq!([sidecar.call("uncordon s-2"), sidecar.call("uncordon s-1")], ["OK", "OK"]);
    wait_until("the endpoint gets requests again", || exchange() == 200 && one.requests_handled() > before);
}

// The call may reach either process, before, during or after the upgrade.
#[test]
fn operators_calls_apply_to_both_processes_and_the_next() {
    let discovery = Discovery::start();
    let [one, two] = [(); 2].map(|()| Endpoint::start(|_| Reply::Response(200, "", Vec::new())));
    let listener = shared_listener();
    let folder = state_folder(&listener);
    let endpoints = [("s-1", &one), ("s-2", &two)];
    let start = || Sidecar::start_on_inherited_socket(&discovery, &endpoints, &listener, &folder);
    let stop = |mut sidecar: Sidecar| {
        sidecar.signal("-TERM");
        assert_eq!(sidecar.process.wait().expect("the process exits").code(), Some(0));
    };
    let exchange =
        |sidecar: &Sidecar| sidecar.exchange(&request("look", "", "")).expect("a response").status();
    let status_of_up = |sidecar: &Sidecar| {
        sidecar.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("a response").status()
    };
    // For a moment after the call, the other process may still respond according to the state before it.
    let wait_for_propagation = || thread::sleep(Duration::from_millis(500));
    let old = start();
    assert_eq!(old.call("cordon s-1"), "OK");
    let new = start();
    assert_eq!([old.call("cordon s-1"), old.call("quiesce")], ["OK", "OK"]);
    wait_for_propagation();
    assert!((0..10).all(|_| status_of_up(&new) == 503));
    assert_eq!([new.call("health"), new.call("resume")], ["OK", "OK"]);
    wait_for_propagation();
    assert!((0..20).all(|_| status_of_up(&old) == 200 && exchange(&old) == 200));
    assert_eq!(one.requests_handled(), 0);
    stop(old);
    assert!((0..10).all(|_| exchange(&new) == 200));
    assert_eq!((one.requests_handled(), new.call("quiesce")), (0, "OK".to_owned()));
    let newer = start();
    stop(new);
    assert_eq!((status_of_up(&newer), newer.call("health")), (503, "OK".to_owned()));
    assert_eq!([newer.call("uncordon s-1"), newer.call("resume")], ["OK", "OK"]);
    wait_until("the endpoint gets requests again", || exchange(&newer) == 200 && one.requests_handled() > 0);
}

#[test]
fn invalid_state_file_is_logged_once_and_ignored() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Response(200, "", Vec::new()));
    for text in ["", "{}", "\0", r#"{"version":99,"cordoned":["s-1"],"drained":true}"#] {
        let listener = shared_listener();
        let folder = state_folder(&listener);
        let start =
            || Sidecar::start_on_inherited_socket(&discovery, &[("s-1", &endpoint)], &listener, &folder);
        let file = format!("tinflow-{}.json", listener.local_addr().expect("an address"));
        std::fs::write(folder.join(file), text).expect("the file can be written");
        let sidecar = start();
        assert_eq!(sidecar.exchange(&request("look", "", "")).expect("a response").status(), 200, "{text}");
        // The next call replaces it.
        assert_eq!(sidecar.call("cordon s-1"), "OK");
        let next = start();
        drop(sidecar);
        assert_eq!(next.exchange(&request("look", "", "")).expect("a response").status(), 503, "{text}");
    }
}

#[test]
fn metrics_call_reports_counters_by_label() {
    let (discovery, endpoint) =
        (Discovery::start(), Endpoint::start(|_| Reply::Response(200, "", b"ok".to_vec())));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for _ in 0..3 {
        assert_eq!(
            sidecar.exchange(&request("look", "Connection: close\r\n", "")).map(|m| m.status()),
            Some(200)
        );
    }
    assert_eq!(sidecar.exchange("NONSENSE\r\n\r\n").map(|m| m.status()), Some(400));
    let metrics = sidecar.call("metrics");
    for line in [
        "# TYPE lotusmoor_sidecar_requests_answered counter",
        "lotusmoor_sidecar_requests_answered_total{outcome=\"served\"} 3",
        "lotusmoor_sidecar_requests_answered_total{outcome=\"rejected\"} 1",
        "lotusmoor_sidecar_attempts_ended_total{outcome=\"ok\"} 3",
        "lotusmoor_sidecar_rule_violations_total{rule=\"unanswered\"} 0",
        "lotusmoor_sidecar_rule_violations_total{rule=\"duplicate\"} 0",
    ] {
        assert!(metrics.lines().any(|l| l == line), "{line} is not in\n{metrics}");
    }
    assert!(sidecar.call("metrics now").starts_with("ERR "));
}
