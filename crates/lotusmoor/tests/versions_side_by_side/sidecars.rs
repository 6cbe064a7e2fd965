//! Two processes of a sidecar, one of each build, that share a socket and a folder.

use crate::process::{RESPONSE_TIMEOUT, Sidecar, sidecar_config};
use crate::stage::{Build, BuildFixture};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of requests after which each server that is not cordoned has received one.
const REQUESTS_PER_OBSERVATION: usize = 60;

/// Sends a request over a connection of its own; returns the status and the body.
fn request(address: SocketAddr, text: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("the connection is established");
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("a read timeout can be set");
    stream.write_all(text.as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, answer.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned()))
}

/// Sends a request of the class `look`.
fn send_look_request(address: SocketAddr) -> (u16, String) {
    static SENT: AtomicU64 = AtomicU64::new(0);
    let id = SENT.fetch_add(1, Ordering::Relaxed);
    request(
        address,
        &format!(
            "GET /api HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Correlation-Id: {id}\r\nX-Service-Class: look\r\n\
             X-Account: acme\r\nX-Time-Left: 19000m\r\n\r\n"
        ),
    )
}

/// A server that answers each request with its name.
fn start_server(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = move |mut stream: TcpStream| {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while stream.read(&mut byte).is_ok_and(|n| n == 1) {
            head.push(byte[0]);
            if head.ends_with(b"\r\n\r\n") {
                head.clear();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{name}", name.len());
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        }
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Runs `run` while the other of two processes is paused, so that only one accepts connections.
fn with_other_paused<T>(other: &Sidecar, run: impl FnOnce() -> T) -> T {
    other.process.pause().expect("the process is paused");
    let result = run();
    other.process.resume().expect("the process is resumed");
    result
}

/// The servers that a process uses, and whether it answers `/up` with 200.
fn observe(sidecar: &Sidecar, other: &Sidecar) -> (BTreeSet<String>, bool) {
    with_other_paused(other, || {
        let servers = (0..REQUESTS_PER_OBSERVATION)
            .map(|_| send_look_request(sidecar.listen))
            .filter(|(status, _)| *status == 200);
        let servers = servers.map(|(_, body)| body).collect();
        let up = request(sidecar.listen, "GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").0 == 200;
        (servers, up)
    })
}

/// Waits until both processes use exactly these servers and their answers to `/up` are as expected.
fn wait_both(pair: [&Sidecar; 2], servers: &[&str], up: bool) {
    let expected: BTreeSet<String> = servers.iter().map(|s| (*s).to_owned()).collect();
    for (sidecar, other) in [(pair[0], pair[1]), (pair[1], pair[0])] {
        let what = format!("uses {servers:?} and answers /up with 200: {up}");
        sidecar.wait(&what, || observe(sidecar, other) == (expected.clone(), up));
    }
}

/// Checks that a command to either of two builds on one socket and one folder applies to both, also once the first is
/// stopped and a new process of its build has started next to the second.
pub fn check_command_to_either_process_applies_to_both(first: Build, second: Build) {
    let fixture = BuildFixture::new();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listen = listener.local_addr().expect("an address");
    let servers = [("s-1", start_server("s-1")), ("s-2", start_server("s-2"))];
    let config = fixture.write_config("sidecar.json", &sidecar_config(listen, &servers));
    let one = Sidecar::start(&fixture, first, &listener, &config);
    one.expect_ok("cordon s-1");
    let two = Sidecar::start(&fixture, second, &listener, &config);
    wait_both([&one, &two], &["s-2"], true);
    two.expect_ok("uncordon s-1");
    wait_both([&one, &two], &["s-1", "s-2"], true);
    one.expect_ok("cordon s-2");
    wait_both([&one, &two], &["s-1"], true);
    one.expect_ok("uncordon s-2");
    two.expect_ok("cordon s-1");
    wait_both([&one, &two], &["s-2"], true);
    two.expect_ok("quiesce");
    wait_both([&one, &two], &["s-2"], false);
    one.expect_ok("resume");
    wait_both([&one, &two], &["s-2"], true);
    one.stop();
    // The second process keeps the commands that were given to either; so does a new process of the first build.
    let three = Sidecar::start(&fixture, first, &listener, &config);
    wait_both([&two, &three], &["s-2"], true);
    two.stop();
    let used: BTreeSet<String> = (0..REQUESTS_PER_OBSERVATION).map(|_| send_look_request(listen).1).collect();
    assert_eq!(used, BTreeSet::from(["s-2".to_owned()]));
}
