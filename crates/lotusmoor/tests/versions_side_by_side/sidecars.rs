//! Two processes of a sidecar, one of each build, on one socket and one folder.

use crate::process::{PATIENCE, Sidecar, sidecar_config};
use crate::stage::{Build, Stage};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

/// Requests after which each server that is not cordoned has had one.
const REQUESTS_PER_LOOK: usize = 60;

/// Sends a request over a connection of its own; status and body.
fn request(at: SocketAddr, text: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(at).expect("the socket listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a read timeout can be set");
    stream.write_all(text.as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, answer.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned()))
}

fn look(at: SocketAddr) -> (u16, String) {
    static SENT: AtomicU64 = AtomicU64::new(0);
    let id = SENT.fetch_add(1, Ordering::Relaxed);
    request(
        at,
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

/// Runs something while only one of two processes accepts connections.
fn alone<T>(other: &Sidecar, run: impl FnOnce() -> T) -> T {
    other.process.pause().expect("the process is paused");
    let result = run();
    other.process.resume().expect("the process is resumed");
    result
}

/// The servers that a process uses, and whether it says that it is up.
fn observe(sidecar: &Sidecar, other: &Sidecar) -> (BTreeSet<String>, bool) {
    alone(other, || {
        let servers =
            (0..REQUESTS_PER_LOOK).map(|_| look(sidecar.listen)).filter(|(status, _)| *status == 200);
        let servers = servers.map(|(_, body)| body).collect();
        let up = request(sidecar.listen, "GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").0 == 200;
        (servers, up)
    })
}

/// Waits until both processes use exactly these servers and are up, or are not.
fn wait_both(pair: [&Sidecar; 2], servers: &[&str], up: bool) {
    let expected: BTreeSet<String> = servers.iter().map(|s| (*s).to_owned()).collect();
    for (sidecar, other) in [(pair[0], pair[1]), (pair[1], pair[0])] {
        let what = format!("uses {servers:?} and is up: {up}");
        sidecar.wait(&what, || observe(sidecar, other) == (expected.clone(), up));
    }
}

/// Two builds on one socket and one folder; then the first is stopped, and its build comes back beside the second.
pub fn follows_operators_of_both(first: Build, second: Build) {
    let stage = Stage::new();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listen = listener.local_addr().expect("an address");
    let servers = [("s-1", start_server("s-1")), ("s-2", start_server("s-2"))];
    let config = stage.write_config("sidecar.json", &sidecar_config(listen, &servers));
    let one = Sidecar::start(&stage, first, &listener, &config);
    one.must("cordon s-1");
    let two = Sidecar::start(&stage, second, &listener, &config);
    wait_both([&one, &two], &["s-2"], true);
    two.must("uncordon s-1");
    wait_both([&one, &two], &["s-1", "s-2"], true);
    one.must("cordon s-2");
    wait_both([&one, &two], &["s-1"], true);
    one.must("uncordon s-2");
    two.must("cordon s-1");
    wait_both([&one, &two], &["s-2"], true);
    two.must("quiesce");
    wait_both([&one, &two], &["s-2"], false);
    one.must("resume");
    wait_both([&one, &two], &["s-2"], true);
    one.stop();
    // The second serves alone, with what either was told; a process of the first build starts with it.
    let three = Sidecar::start(&stage, first, &listener, &config);
    wait_both([&two, &three], &["s-2"], true);
    two.stop();
    let used: BTreeSet<String> = (0..REQUESTS_PER_LOOK).map(|_| look(listen).1).collect();
    assert_eq!(used, BTreeSet::from(["s-2".to_owned()]));
}
