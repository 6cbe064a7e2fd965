//! Start, shutdown, and shortages of connection permits and file descriptors.

use crate::stubs::*;
use std::io::Write;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

#[test]
fn graceful_shutdown_answers_open_and_new_requests() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::DelayedResponse(Duration::from_millis(700), b"late".to_vec()));
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let (mut busy_client, mut idle_client) = (sidecar.connect(), sidecar.connect());
    idle_client.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("the write succeeds");
    assert_eq!(read_message(&mut idle_client).expect("a response").status(), 200);
    busy_client.write_all(request("book", "", "").as_bytes()).expect("the write succeeds");
    wait_until("the endpoint has received the request", || endpoint.requests_handled() == 1);
    sidecar.signal("-TERM");
    assert!(await_close(&mut idle_client), "an idle connection stayed open");
    // The close of idle connections shows that the signal was handled; new connections are still accepted.
    assert_eq!(sidecar.exchange(&request("look", "", "")).expect("a response").body, b"late");
    let response = read_message(&mut busy_client).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(await_close(&mut busy_client));
    assert_eq!(sidecar.process.wait().expect("the process exits").code(), Some(0));
}

#[test]
fn shutdown_ends_in_time_despite_unresponsive_endpoint() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::NoResponse);
    let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut busy_client = sidecar.connect();
    busy_client.write_all(request("book", "", "").as_bytes()).expect("the write succeeds");
    wait_until("the endpoint has received the request", || endpoint.requests_handled() == 1);
    sidecar.signal("-TERM");
    assert_eq!(read_message(&mut busy_client).expect("a response").status(), 502);
    assert_eq!(sidecar.process.wait().expect("the process exits").code(), Some(0));
}

#[test]
fn silent_connections_do_not_block_requests() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with_descriptors(&discovery, &[("s-1", &endpoint)], 1024, 64);
    let idle_clients: Vec<_> = (0..100).map(|_| sidecar.connect()).collect();
    assert_eq!(sidecar.exchange(&request("look", "", "")).expect("a response").status(), 200);
    drop(idle_clients);
}

#[test]
fn survives_shortage_of_descriptors() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with_descriptors(&discovery, &[("s-1", &endpoint)], 24, 1024);
    let idle_clients: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
    thread::sleep(Duration::from_millis(200));
    drop(idle_clients);
    wait_until("the sidecar serves again", || {
        sidecar.exchange(&request("look", "", "")).is_some_and(|a| a.status() == 200)
    });
}

#[test]
fn invalid_configuration_fails_start_with_one_line() {
    let address = "127.0.0.1:9".parse().expect("an address");
    let valid = config(address, address, "null");
    let texts = ["", "{}", &valid.replace("\"side_effect\"", "\"odd\""), &valid.replace("1024", "3")];
    let paths: Vec<_> = texts.iter().map(|text| Some(config_file(text))).collect();
    for path in paths.into_iter().chain([None, Some("/nonexistent/config.json".into())]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
        match &path {
            Some(path) => command.env("LB_CONFIG", path),
            None => command.env_remove("LB_CONFIG"),
        };
        let output = command.stdin(Stdio::null()).output().expect("the process starts");
        let stderr = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.starts_with("lotusmoor-sidecar: ") && stderr.lines().count() == 1, "{stderr}");
    }
}
