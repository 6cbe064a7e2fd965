//! Clients that write at full speed: others are answered beside them.

use super::*;
use std::io::Read;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// For how long a busy client writes.
const BUSY_TIME: Duration = Duration::from_secs(2);
/// Number of other clients, how long each waits for an answer, and its pause between two requests.
const OTHERS: usize = 10;
const WAIT: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(20);

/// What the other clients were answered.
#[derive(Debug, Default)]
struct OtherAnswers {
    served: usize,
    others: Vec<Option<u16>>,
    slowest: Duration,
}

/// Lets `busy` run with a connection to the sidecar until it is told to stop, and asserts that all other clients are served
/// in time meanwhile.
fn assert_others_served(sidecar: &Sidecar, what: &str, busy: impl Fn(TcpStream, &AtomicBool) + Sync) {
    let (stop, answers) = (AtomicBool::new(false), Mutex::new(OtherAnswers::default()));
    let until = Instant::now() + BUSY_TIME;
    thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::SeqCst) {
                busy(sidecar.connect(), &stop);
            }
        });
        let others: Vec<_> = (0..OTHERS)
            .map(|_| {
                scope.spawn(|| {
                    while Instant::now() < until {
                        let began = Instant::now();
                        let answer = sidecar.exchange(&timed_request("look", "", "", WAIT));
                        let mut answers = answers.lock().expect("the lock is not poisoned");
                        answers.slowest = answers.slowest.max(began.elapsed());
                        match answer.map(|answer| answer.status()) {
                            Some(200) => answers.served += 1,
                            other => answers.others.push(other),
                        }
                        drop(answers);
                        thread::sleep(PAUSE);
                    }
                })
            })
            .collect();
        others.into_iter().for_each(|other| other.join().expect("the thread does not panic"));
        stop.store(true, Ordering::SeqCst);
    });
    let answers = answers.into_inner().expect("the lock is not poisoned");
    println!("{what}: {answers:?}");
    assert!(answers.others.is_empty() && answers.served > OTHERS, "{what}: {answers:?}");
    assert!(answers.slowest <= WAIT + MAX_DELAY, "{what}: {answers:?}");
}

fn start(discovery: &Discovery) -> (Endpoint, Sidecar) {
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(discovery, &[("s-1", &endpoint)]);
    (endpoint, sidecar)
}

/// Writes `bytes` and reads what comes back, again and again, until the connection ends.
fn repeat(mut client: TcpStream, stop: &AtomicBool, bytes: &[u8]) {
    let mut answers = client.try_clone().expect("a descriptor");
    thread::scope(|scope| {
        scope.spawn(move || {
            let mut buffer = [0; 64 << 10];
            while answers.read(&mut buffer).is_ok_and(|length| length > 0) {}
        });
        while !stop.load(Ordering::SeqCst) && client.write_all(bytes).is_ok() {}
        let _ = client.shutdown(std::net::Shutdown::Both);
    });
}

// Requests that lay in the buffer already, with answers that the socket took at once, never gave the thread back.
#[test]
fn serves_others_beside_stream_of_health_checks() {
    let discovery = Discovery::start();
    let (_endpoint, sidecar) = start(&discovery);
    let checks = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".repeat(50);
    assert_others_served(&sidecar, "health checks", |client, stop| repeat(client, stop, checks.as_bytes()));
}

// The client is never waited for, as more of its bytes are always there.
#[test]
fn serves_others_beside_chunks_with_long_extensions() {
    let discovery = Discovery::start();
    let (_endpoint, sidecar) = start(&discovery);
    let chunk = format!("1;{}\r\nx\r\n", "e".repeat(4_000)).repeat(16);
    assert_others_served(&sidecar, "chunks", |mut client, stop| {
        let head = timed_request("pay", "", "", WAIT);
        let head = head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
        if client.write_all(head.as_bytes()).is_ok() {
            repeat(client, stop, chunk.as_bytes());
        }
    });
}

// What is discarded before a close is read as fast as it comes.
#[test]
fn serves_others_beside_bytes_after_rejected_request() {
    let discovery = Discovery::start();
    let (_endpoint, sidecar) = start(&discovery);
    let rest = vec![b'r'; 256 << 10];
    assert_others_served(&sidecar, "discarded bytes", |mut client, stop| {
        if client.write_all(b"POST /other HTTP/1.1\r\nContent-Length: 30000000\r\n\r\n").is_ok() {
            repeat(client, stop, &rest);
        }
    });
}
