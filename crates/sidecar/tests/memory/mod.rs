//! The process stays within its memory limit, whatever its clients and endpoints do, and every request is answered.

use crate::operation::{shared_listener, state_folder};
use crate::streaming::in_chunks;
use crate::stubs::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Limits at the corners of what the operators give a sidecar: memory in MB, and descriptors.
const LIMITS: [(usize, usize); 4] = [(32, 256), (32, 1024), (192, 256), (192, 1024)];
/// Number of endpoints.
const ENDPOINTS: usize = 14;
/// How long an endpoint takes for a request.
const WORK_TIME: Duration = Duration::from_millis(50);
/// For how long the clients repeat their requests.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// How long clients wait for a response, and by how much it may be later.
const TIME_LEFT: Duration = Duration::from_secs(5);
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Clients that carry requests hold at most a third of the descriptors.
fn clients(descriptors: usize) -> usize {
    descriptors / 3
}

fn start_endpoints(reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static) -> Vec<Endpoint> {
    (0..ENDPOINTS).map(|_| Endpoint::start(reply.clone())).collect()
}

const NAMES: [&str; ENDPOINTS] =
    ["s-0", "s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8", "s-9", "s-10", "s-11", "s-12", "s-13"];

fn named(endpoints: &[Endpoint]) -> Vec<(&'static str, &Endpoint)> {
    NAMES.into_iter().zip(endpoints).collect()
}

/// Sets the limits in a configuration.
fn with_limits((memory_mb, descriptors): (usize, usize)) -> impl Fn(String) -> String {
    move |config| {
        config
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
            .replace("\"sockets\":1024", &format!("\"sockets\":{descriptors}"))
    }
}

/// Starts endpoints and a sidecar with these limits.
fn start(
    discovery: &Discovery,
    limits: (usize, usize),
    reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static,
) -> (Vec<Endpoint>, Sidecar) {
    let endpoints = start_endpoints(reply);
    let change = with_limits(limits);
    let sidecar = Sidecar::start_with_config(discovery, &named(&endpoints), limits.1 as u32, change);
    (endpoints, sidecar)
}

/// The largest resident memory of the sidecar so far, in kB.
fn peak_kb(sidecar: &Sidecar) -> usize {
    let path = format!("/proc/{}/status", sidecar.process.id());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    peak.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// What the clients of one play were answered.
#[derive(Debug, Default)]
struct Answers {
    served: usize,
    shed: usize,
    others: Vec<String>,
    slowest: Duration,
}

impl Answers {
    fn record(&mut self, response: Option<&Message>, time: Duration) {
        self.slowest = self.slowest.max(time);
        match response.map(Message::status) {
            Some(200) => self.served += 1,
            Some(503) => self.shed += 1,
            other => self.others.push(format!("{other:?}")),
        }
    }
}

/// Lets as many clients as may carry requests send one after the other for [`LOAD_TIME`], each on a connection that it
/// keeps. `request` makes the bytes of the next one, and `receive` reads its response.
fn play(
    sidecar: &Sidecar,
    clients: usize,
    request: impl Fn() -> Vec<u8> + Sync,
    receive: impl Fn(&mut TcpStream) -> Option<Message> + Sync,
) -> Answers {
    let (answers, until) = (Mutex::new(Answers::default()), Instant::now() + LOAD_TIME);
    let exchange = |client: &mut TcpStream, bytes: &[u8]| {
        let written = client.write_all(bytes);
        (Instant::now(), written.ok().and_then(|()| receive(client)))
    };
    thread::scope(|scope| {
        for _ in 0..clients {
            scope.spawn(|| {
                let mut kept: Option<TcpStream> = None;
                while Instant::now() < until {
                    let bytes = request();
                    let first = kept.take().map(|mut client| (exchange(&mut client, &bytes), client));
                    let ((written, response), client) = match first {
                        Some(answered @ ((_, Some(_)), _)) => answered,
                        // The request crossed the end of a connection at rest, or there was no connection.
                        _ => {
                            let mut client = sidecar.connect();
                            (exchange(&mut client, &bytes), client)
                        }
                    };
                    let mut answers = answers.lock().expect("the lock is not poisoned");
                    answers.record(response.as_ref(), written.elapsed());
                    kept = response.filter(|r| r.header("connection") != Some("close")).map(|_| client);
                }
            });
        }
    });
    answers.into_inner().expect("the lock is not poisoned")
}

fn check(what: &str, limits: (usize, usize), sidecars: &[&Sidecar], answers: &Answers) {
    let peak: usize = sidecars.iter().map(|sidecar| peak_kb(sidecar)).sum();
    println!("{what} {limits:?}: peak {peak} kB, {answers:?}");
    assert!(peak < limits.0 << 10, "{what} {limits:?}: {peak} kB");
    assert!(answers.others.is_empty(), "{what} {limits:?}: {:?}", answers.others);
    assert!(answers.slowest < TIME_LEFT + MAX_DELAY, "{what} {limits:?}: {:?}", answers.slowest);
    assert!(answers.served > 0, "{what} {limits:?}: none was served");
}

/// A request whose client waits for [`TIME_LEFT`].
fn timed_request(class: &str, headers: &str, body: &str) -> String {
    let time_left = format!("X-Time-Left: {}m", TIME_LEFT.as_millis());
    request(class, headers, body).replace("X-Time-Left: 19000m", &time_left)
}

/// The same request with its body in chunked encoding.
fn with_chunks(request: &str) -> Vec<u8> {
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    let head: Vec<_> = head.lines().filter(|line| !line.starts_with("Content-Length")).collect();
    let head = format!("{}\r\nTransfer-Encoding: chunked\r\n\r\n", head.join("\r\n"));
    [head.into_bytes(), in_chunks(body.as_bytes(), 10_000)].concat()
}

// The HTTP client on each connection to an endpoint kept a copy of the last body, for as long as the connection was at
// rest, and each client's connection a buffer to read the next one.
#[test]
fn bodies_of_all_clients_stay_within_memory_limit() {
    for limits in LIMITS {
        for chunked in [false, true] {
            let discovery = Discovery::start();
            let reply = |_: &Message| Reply::DelayedResponse(WORK_TIME, b"posted".to_vec());
            let (_endpoints, sidecar) = start(&discovery, limits, reply);
            let body = "x".repeat(64_000);
            let request = || match timed_request("pay", "", &body) {
                request if chunked => with_chunks(&request),
                request => request.into_bytes(),
            };
            let answers = play(&sidecar, clients(limits.1), request, read_message);
            check(if chunked { "chunked bodies" } else { "bodies" }, limits, &[&sidecar], &answers);
        }
    }
}

// During an upgrade two processes share the limits.
#[test]
fn bodies_stay_within_memory_limit_of_two_processes() {
    for limits in LIMITS {
        let discovery = Discovery::start();
        let endpoints = start_endpoints(|_: &Message| Reply::DelayedResponse(WORK_TIME, b"posted".to_vec()));
        let listener = shared_listener();
        let folder = state_folder(&listener);
        let [first, second] = [(); 2].map(|()| {
            let (socket, change) = ((&listener, folder.as_path()), with_limits(limits));
            Sidecar::start_on_inherited_socket_with_config(
                &discovery,
                &named(&endpoints),
                socket,
                None,
                change,
            )
        });
        let body = "x".repeat(64_000);
        let request = || timed_request("pay", "", &body).into_bytes();
        let answers = play(&first, clients(limits.1), request, read_message);
        check("bodies at two processes", limits, &[&first, &second], &answers);
    }
}

// Answers that clients read slowly are held until they are written.
#[test]
fn answers_to_slow_readers_stay_within_memory_limit() {
    for limits in LIMITS {
        let discovery = Discovery::start();
        let reply = |_: &Message| Reply::DelayedResponse(WORK_TIME, vec![b'x'; 64_000]);
        let (_endpoints, sidecar) = start(&discovery, limits, reply);
        let request = || timed_request("look", "", "").into_bytes();
        let answers = play(&sidecar, clients(limits.1), request, |client| {
            thread::sleep(Duration::from_millis(200));
            read_message(client)
        });
        check("answers", limits, &[&sidecar], &answers);
    }
}

// A head is kept as received until it is complete, then in parsed form, and written once more for each attempt.
#[test]
fn heads_of_all_clients_stay_within_memory_limit() {
    for limits in LIMITS {
        let discovery = Discovery::start();
        let reply = |_: &Message| Reply::DelayedResponse(WORK_TIME, b"ok".to_vec());
        let (_endpoints, sidecar) = start(&discovery, limits, reply);
        let headers: String = (0..15).map(|n| format!("X-Note-{n}: {}\r\n", "n".repeat(1_000))).collect();
        let request = || timed_request("look", &headers, "").into_bytes();
        let answers = play(&sidecar, clients(limits.1), request, read_message);
        check("heads", limits, &[&sidecar], &answers);
    }
}

// What was received of a head is kept until its end comes.
#[test]
fn unfinished_heads_stay_within_memory_limit() {
    for limits in LIMITS {
        let discovery = Discovery::start();
        let (_endpoints, sidecar) = start(&discovery, limits, |_| ok("ok"));
        let unfinished = format!("GET /api HTTP/1.1\r\nX-Note: {}", "n".repeat(15_000));
        let mut crowd: Vec<_> = (0..clients(limits.1)).map(|_| sidecar.connect()).collect();
        for client in &mut crowd {
            // The sidecar may have closed the connection by now.
            let _ = client.write_all(unfinished.as_bytes());
        }
        let mut answers = Answers::default();
        let bytes = timed_request("look", "", "").into_bytes();
        let mut client = sidecar.connect();
        client.write_all(&bytes).expect("the write succeeds");
        let written = Instant::now();
        answers.record(read_message(&mut client).as_ref(), written.elapsed());
        assert!(crowd.iter_mut().all(await_close), "a connection was left open");
        check("unfinished heads", limits, &[&sidecar], &answers);
    }
}

/// Reads the body that follows a head, 64 KiB at a time.
fn read_slowly(head: Message, client: &mut TcpStream) -> Option<Message> {
    let mut left: usize = head.header("content-length").map_or(Some(0), |length| length.parse().ok())?;
    while left > 0 {
        thread::sleep(Duration::from_millis(20));
        let piece = left.min(64 << 10);
        client.read_exact(&mut vec![0; piece]).ok()?;
        left -= piece;
    }
    Some(head)
}

/// Starts an endpoint that reads bodies slowly, and responds to requests without a body with [`STREAM_BYTES`].
fn start_slow_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                while let Some(message) =
                    read_head(&mut stream).and_then(|head| read_slowly(head, &mut stream))
                {
                    let is_upload = message.header("content-length").is_some_and(|length| length != "0");
                    let length = if is_upload { 0 } else { STREAM_BYTES };
                    write_response(&mut stream, 200, "", &vec![b'x'; length]);
                }
            });
        }
    });
    address
}

const STREAM_BYTES: usize = 1 << 20;

// Half of the clients send long bodies to endpoints that take them slowly, the others read long answers slowly.
#[test]
fn streams_of_all_clients_stay_within_memory_limit() {
    for limits in LIMITS {
        let discovery = Discovery::start();
        let sidecar = Sidecar::start_with_config(&discovery, &[], limits.1 as u32, with_limits(limits));
        let endpoints = NAMES.map(|name| (name, start_slow_endpoint(), "active"));
        discovery.publish(2, list(2, true, &endpoints));
        discovery.await_watch(2);
        let body = "x".repeat(STREAM_BYTES);
        let number = AtomicUsize::new(0);
        let request = || match number.fetch_add(1, Ordering::Relaxed) % 2 {
            0 => timed_request("pay", "", &body).into_bytes(),
            _ => timed_request("look", "", "").into_bytes(),
        };
        let answers = play(&sidecar, clients(limits.1), request, |client| {
            read_head(client).and_then(|head| read_slowly(head, client))
        });
        check("streams", limits, &[&sidecar], &answers);
    }
}

/// Starts an endpoint that reads the heads of requests, and nothing after them.
fn start_stuck_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut kept = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = read_head(&mut stream);
            kept.push(stream);
        }
    });
    address
}

// What was read ahead of a body was counted by its length, and kept in one piece for each chunk.
#[test]
fn bodies_in_tiny_chunks_stay_within_memory_limit() {
    for limits in LIMITS {
        let discovery = Discovery::start();
        let sidecar = Sidecar::start_with_config(&discovery, &[], limits.1 as u32, |config| {
            with_limits(limits)(config).replace("\"DeadlineUs\":20000000", "\"DeadlineUs\":1000000")
        });
        let endpoints = NAMES.map(|name| (name, start_stuck_endpoint(), "active"));
        discovery.publish(2, list(2, true, &endpoints));
        discovery.await_watch(2);
        let body = [b"1\r\nx\r\n".repeat(100_000), b"0\r\n\r\n".to_vec()].concat();
        let request = || {
            let head = timed_request("book", "", "");
            let head = head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
            [head.into_bytes(), body.clone()].concat()
        };
        play(&sidecar, clients(limits.1), request, read_message);
        let peak = peak_kb(&sidecar);
        println!("tiny chunks {limits:?}: peak {peak} kB");
        assert!(peak < limits.0 << 10, "tiny chunks {limits:?}: {peak} kB");
    }
}
