//! The last moments of a shutdown: whatever a request waits for, its client has an answer before the process ends.

use crate::operation::{shared_listener, state_folder};
use crate::streaming::in_chunks;
use crate::stubs::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The longest deadline in the settings of these tests.
const DEADLINE: Duration = Duration::from_millis(400);
/// How long after the longest deadline SIGKILL may come.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// When the last clients connect after SIGTERM.
const LAST_CONNECT: Duration = Duration::from_millis(350);
/// When they have sent all of their requests.
const LAST_BYTE: Duration = Duration::from_millis(600);

/// Sets [`DEADLINE`] for all classes, and these limits.
fn with_limits(memory_mb: usize, descriptors: usize) -> impl Fn(String) -> String {
    move |config| {
        config
            .replace("\"AimUs\":8000000", "\"AimUs\":200000")
            .replace("\"DeadlineUs\":20000000", &format!("\"DeadlineUs\":{}", DEADLINE.as_micros()))
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
            .replace("\"sockets\":1024", &format!("\"sockets\":{descriptors}"))
    }
}

/// A request whose client waits for [`DEADLINE`].
fn short_request(class: &str, headers: &str, body: &str) -> String {
    let time_left = format!("X-Time-Left: {}m", DEADLINE.as_millis());
    request(class, headers, body).replace("X-Time-Left: 19000m", &time_left)
}

/// Connects that many clients that send the head of an upload and only the start of its body.
fn begin_uploads(sidecar: &Sidecar, clients: usize, length: usize, sent: usize) -> Vec<TcpStream> {
    let upload = short_request("pay", "", &"x".repeat(length));
    let body = upload.find("\r\n\r\n").expect("a head") + 4;
    let mut uploads: Vec<_> = (0..clients).map(|_| sidecar.connect()).collect();
    for (number, client) in uploads.iter_mut().enumerate() {
        let own_id = format!("X-Correlation-Id: upload-{number}-");
        let start = upload[..body + sent].replace("X-Correlation-Id: ", &own_id);
        client.write_all(start.as_bytes()).expect("the write succeeds");
    }
    uploads
}

/// A client that connects and sends the start of its request.
fn begin_request(sidecar: &Sidecar, start: &str) -> TcpStream {
    let mut client = sidecar.connect();
    client.write_all(start.as_bytes()).expect("the write succeeds");
    client
}

/// Sends SIGTERM; returns when.
fn terminate(sidecar: &Sidecar) -> Instant {
    sidecar.signal("-TERM");
    Instant::now()
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Asserts that each of these clients has an answer before SIGKILL may come.
fn assert_answered(terminated: Instant, clients: Vec<(String, TcpStream)>) {
    for (name, mut client) in clients {
        let answer = read_message(&mut client);
        assert!(answer.is_some(), "{name}: no answer {:?} after SIGTERM", terminated.elapsed());
        let after = terminated.elapsed();
        assert!(after < DEADLINE + KILL_GRACE, "{name}: answered {after:?} after SIGTERM");
    }
}

/// Clients that begin to send these requests at [`LAST_CONNECT`] and send the rest at `last_byte`.
fn assert_late_requests_answered(sidecar: &Sidecar, last_byte: Duration, requests: &[(String, String)]) {
    let terminated = terminate(sidecar);
    sleep_until(terminated + LAST_CONNECT);
    let mut clients: Vec<_> =
        requests.iter().map(|(name, text)| (name.clone(), begin_request(sidecar, &text[..20]))).collect();
    sleep_until(terminated + last_byte);
    for ((_, client), (_, text)) in clients.iter_mut().zip(requests) {
        client.write_all(&text.as_bytes()[20..]).expect("the write succeeds");
    }
    assert_answered(terminated, clients);
}

/// Enough clients that have begun an upload to take the memory for requests at 32 MB.
const MEMORY_HOLDERS: usize = 140;

// The wait for memory lasted as long as the client's time, and outlived the process.
#[test]
fn request_that_waits_for_memory_is_answered_before_process_ends() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with_config(&discovery, &[("s-1", &endpoint)], 1024, with_limits(32, 1024));
    let _uploads = begin_uploads(&sidecar, MEMORY_HOLDERS, 65_000, 200);
    let requests: Vec<_> = (0..8)
        .map(|n| {
            let class = if n % 2 == 0 { "look" } else { "pay" };
            (format!("{class} {n}"), short_request(class, "", ""))
        })
        .collect();
    assert_late_requests_answered(&sidecar, LAST_BYTE, &requests);
}

#[test]
fn long_head_that_waits_for_memory_is_answered_before_process_ends() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with_config(&discovery, &[("s-1", &endpoint)], 1024, with_limits(32, 1024));
    let _uploads = begin_uploads(&sidecar, MEMORY_HOLDERS, 65_000, 200);
    let headers: String = (0..10).map(|n| format!("X-Note-{n}: {}\r\n", "n".repeat(1_000))).collect();
    let requests: Vec<_> =
        (0..4).map(|n| (format!("head {n}"), short_request("look", &headers, ""))).collect();
    assert_late_requests_answered(&sidecar, LAST_BYTE + Duration::from_millis(100), &requests);
}

/// Descriptors of a process, and the permits for clients that follow from them.
const FEW_DESCRIPTORS: usize = 64;
const FEW_PERMITS: usize = 20;
/// The same with twice as many descriptors, for a process that is alone on a shared socket: 60 of 64 shares.
const FEW_PERMITS_OF_SHARED_SOCKET: usize = 2 * FEW_PERMITS * 60 / 64;

// A connection was accepted, and waited for a permit until the process ended. Uploads keep their permits: after an early
// answer the rest of a body is read for up to 2.5 s.
#[test]
fn request_that_waits_for_permit_is_answered_before_process_ends() {
    for shared in [false, true] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| Reply::NoResponse);
        let endpoints = [("s-1", &endpoint)];
        let listener = shared_listener();
        let folder = state_folder(&listener);
        let sidecar = if shared {
            // Two processes share the limits.
            let (socket, change) = ((&listener, folder.as_path()), with_limits(192, 2 * FEW_DESCRIPTORS));
            Sidecar::start_on_inherited_socket_with_config(&discovery, &endpoints, socket, None, change)
        } else {
            let change = with_limits(192, FEW_DESCRIPTORS);
            Sidecar::start_with_config(&discovery, &endpoints, 1024, change)
        };
        let permits = if shared { FEW_PERMITS_OF_SHARED_SOCKET } else { FEW_PERMITS };
        let _uploads = begin_uploads(&sidecar, permits, 200_000, 100_000);
        wait_until("the uploads are forwarded", || endpoint.request_heads() == permits);
        let clients = ["look", "pay", "book"]
            .map(|class| (class.to_owned(), begin_request(&sidecar, &short_request(class, "", ""))));
        // Until the first is accepted and waits for a permit.
        sleep(Duration::from_millis(50));
        // What is left in the queue of a shared socket is the other process's.
        let taken = if shared { 1 } else { clients.len() };
        assert_answered(terminate(&sidecar), clients.into_iter().take(taken).collect());
    }
}

// The rest of such a request could come in the moment in which the process ended.
#[test]
fn unfinished_request_is_answered_before_process_ends() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with_config(&discovery, &[("s-1", &endpoint)], 1024, with_limits(192, 1024));
    let terminated = terminate(&sidecar);
    sleep_until(terminated + LAST_CONNECT);
    let buffered = short_request("pay", "", &"x".repeat(1_000));
    let streamed = short_request("pay", "", &"x".repeat(200_000));
    let chunked = short_request("pay", "", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let starts = [
        ("head", &buffered[..20]),
        ("buffered body", &buffered[..buffered.len() - 500]),
        ("streamed body", &streamed[..streamed.len() - 50_000]),
        ("chunked body", &format!("{chunked}5\r\nhel")),
    ];
    let clients = starts.map(|(name, start)| (name.to_owned(), begin_request(&sidecar, start)));
    assert_answered(terminated, clients.into());
}

/// Reads slowly until the connection ends; returns how.
fn read_slowly_to_end(client: &mut TcpStream) -> std::io::Result<()> {
    let mut piece = [0; 2_000];
    loop {
        match client.read(&mut piece) {
            Ok(0) => return Ok(()),
            Ok(_) => sleep(Duration::from_millis(10)),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

// Such an answer ended like a complete one if the process ended while a piece of it was being written.
#[test]
fn answer_without_length_that_is_cut_by_end_of_process_ends_with_reset() {
    for signal in ["-TERM", "-KILL"] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            Reply::Raw([head, in_chunks(&[b'x'; 3_000_000], 10_000)].concat(), None)
        });
        let sidecar =
            Sidecar::start_with_config(&discovery, &[("s-1", &endpoint)], 1024, with_limits(192, 1024));
        let text = short_request("look", "", "").replace("HTTP/1.1", "HTTP/1.0");
        let mut client = begin_request(&sidecar, &text);
        assert_eq!(read_head(&mut client).expect("a head").status(), 200);
        sidecar.signal(signal);
        let end = read_slowly_to_end(&mut client).map_err(|e| e.kind());
        assert_eq!(end, Err(ErrorKind::ConnectionReset), "{signal}");
    }
}
