//! Two events that cross, each forced in both orders: `docs/crossings.md` lists them.

mod discovery;

use crate::stubs::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn served(_: &Message) -> Reply {
    Reply::Answer(200, "", b"served".to_vec())
}

/// A connection that has carried a request.
fn resting(sidecar: &Sidecar) -> TcpStream {
    let mut client = send_request(sidecar, "look");
    assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
    client
}

/// How often a request with this text has reached the endpoint.
pub fn times(endpoint: &Endpoint, request: &str) -> usize {
    let (_, behind) = request.split_once("X-Correlation-Id: ").expect("an id");
    let id = behind.lines().next();
    let seen = endpoint.seen.lock().expect("no stub panics");
    seen.iter().filter(|m| m.header("x-correlation-id") == id).count()
}

/// Whether it has at all.
fn reached(endpoint: &Endpoint, request: &str) -> bool {
    times(endpoint, request) > 0
}

/// What the other side does from now on: the end of what it sends, a reset, or a message.
#[derive(Debug, PartialEq)]
pub enum Next {
    End,
    Reset,
    Status(u16),
}

pub fn next(client: &mut TcpStream) -> Next {
    client.set_read_timeout(Some(LONG)).expect("a time-out can be set");
    loop {
        return match client.peek(&mut [0]) {
            Ok(0) => Next::End,
            Ok(_) => read_message(client).map_or(Next::Reset, |m| Next::Status(m.status())),
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(_) => Next::Reset,
        };
    }
}

/// Plays something that has to happen within a time of the sidecar's from the instant that it tells: a play that took
/// longer tells nothing, and is played again.
fn within<T>(bound: Duration, mut play: impl FnMut() -> (Instant, T)) -> T {
    for _ in 0..20 {
        let (began, result) = play();
        if began.elapsed() < bound {
            return result;
        }
    }
    panic!("the machine is too slow to tell");
}

/// Holds back what an endpoint answers until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn pass(&self) {
        let open = self.0.0.lock().expect("no stub panics");
        drop(self.0.1.wait_while(open, |open| !*open).expect("no stub panics"));
    }

    fn open(&self) {
        *self.0.0.lock().expect("no stub panics") = true;
        self.0.1.notify_all();
    }
}

/// An endpoint that answers once the gate is open.
fn gated_endpoint() -> (Gate, Endpoint) {
    let gate = Gate::default();
    let endpoint_gate = gate.clone();
    let endpoint = Endpoint::start(move |message| {
        endpoint_gate.pass();
        served(message)
    });
    (gate, endpoint)
}

/// A client that has asked.
fn send_request(sidecar: &Sidecar, class: &str) -> TcpStream {
    let mut client = sidecar.connect();
    client.write_all(request(class, "", "").as_bytes()).expect("the sidecar takes it");
    client
}

/// Clients that take both of the places that an endpoint has at first.
fn take_places(sidecar: &Sidecar, endpoint: &Endpoint) -> Vec<TcpStream> {
    let first = (0..2).map(|_| send_request(sidecar, "look")).collect();
    wait_until("both places are taken", || endpoint.requests_begun() == 2);
    first
}

/// The ways in which a client leaves: it closes, it resets, and both after bytes that nobody has asked for.
pub const WAYS: [(bool, &[u8]); 4] = [(false, b""), (true, b""), (false, b"more"), (true, b"more")];

pub fn close_client(mut client: TcpStream, (resets, last): (bool, &[u8])) {
    // The sidecar may have turned it away by now.
    let _ = client.write_all(last);
    if resets {
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("it can");
    }
}

// Stopped by the system, the process meets both at once, in the order in which they came.
#[test]
fn serves_request_that_crosses_close_of_idle_connection() {
    for request_first in [true, false] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(served);
        let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut client = resting(&sidecar);
        let submitted = request("book", "", "");
        sidecar.signal("-STOP");
        if !request_first {
            sidecar.signal("-TERM");
        }
        client.write_all(submitted.as_bytes()).expect("the system takes it");
        // In the system's queue, accepted by nobody yet.
        let mut queued = send_request(&sidecar, "book");
        if request_first {
            sidecar.signal("-TERM");
        }
        sidecar.signal("-CONT");
        assert_eq!(next(&mut queued), Next::Status(200));
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(reached(&endpoint, &submitted) && await_close(&mut client));
        assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0));
    }
}

// The client learns that by the end of the stream, and asks anew elsewhere: a reset would take along what it has not
// read yet, and sent on as well its request would run twice.
// What was read would be owed an answer. A close over what is unread resets the connection at once, and so says that it
// was not read; what is read and dropped is taken by the system for 200 ms.
#[test]
fn leaves_request_after_close_of_idle_connection_unread() {
    for ends in ["quiesce", "-TERM"] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(served);
        let submitted = within(Duration::from_millis(150), || {
            let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
            let (mut client, submitted) = (resting(&sidecar), request("book", "", ""));
            if ends == "quiesce" {
                assert_eq!(sidecar.call(ends), "OK")
            } else {
                sidecar.signal(ends)
            }
            assert_eq!(next(&mut client), Next::End);
            let began = Instant::now();
            client.write_all(submitted.as_bytes()).expect("the system takes it");
            wait_until("the connection is reset", || (&client).write_all(b"x").is_err());
            (began, submitted)
        });
        assert!(!reached(&endpoint, &submitted), "{ends}");
    }
}

// A reset could take the answer with it, which its client may not have read yet.
#[test]
fn bytes_after_final_answer_do_not_reset_connection() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(served);
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    // The sidecar reads on for 200 ms.
    let result = within(Duration::from_millis(150), || {
        let mut client = sidecar.connect();
        let submitted = request("book", "Connection: close\r\n", "");
        let began = Instant::now();
        client.write_all(submitted.as_bytes()).expect("the system takes it");
        let answer = next(&mut client);
        let written = client.write_all(b"x").is_ok();
        (began, (answer, next(&mut client), written, next(&mut client)))
    });
    assert_eq!(result, (Next::Status(200), Next::End, true, Next::End));
}

// It has just come to ask something, and has nowhere else to go: new connections are still taken after it.
#[test]
fn answers_client_that_connects_at_shutdown() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(served);
    // It is waited for no longer than 500 ms.
    let answer = within(Duration::from_millis(400), || {
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        // Accepted in turn: the one that rests tells that the one before it has been.
        let (mut new, mut rests) = (sidecar.connect(), resting(&sidecar));
        let began = Instant::now();
        sidecar.signal("-TERM");
        assert_eq!(next(&mut rests), Next::End, "it has been told");
        let sent = new.write_all(request("book", "", "").as_bytes());
        (began, sent.ok().map(|()| next(&mut new)))
    });
    assert_eq!(answer, Some(Next::Status(200)));
}

// Each is either answered or not sent on, whichever comes first; there is no third way.
#[test]
fn request_during_drain_is_answered_or_never_forwarded() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(served);
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut seen = [0, 0];
    for round in 0..60 {
        let (mut client, submitted) = (resting(&sidecar), request("book", "", ""));
        thread::scope(|scope| {
            scope.spawn(|| assert_eq!(sidecar.call("quiesce"), "OK"));
            // From before the call to well behind it.
            thread::sleep(Duration::from_micros(50 * round));
            let result = client.write_all(submitted.as_bytes()).map_or(Next::End, |()| next(&mut client));
            assert_ne!(result, Next::Reset, "round {round}");
            assert_eq!(
                reached(&endpoint, &submitted),
                result == Next::Status(200),
                "round {round}: {result:?}"
            );
            seen[usize::from(result == Next::End)] += 1;
        });
        assert_eq!(sidecar.call("resume"), "OK");
    }
    println!("{} answered, {} not taken", seen[0], seen[1]);
}

#[test]
fn does_not_forward_queued_request_of_closed_client() {
    let discovery = Discovery::start();
    let (gate, endpoint) = gated_endpoint();
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut first = take_places(&sidecar, &endpoint);
    for way in WAYS {
        (0..5)
            .map(|_| send_request(&sidecar, "book"))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|client| close_client(client, way));
    }
    gate.open();
    for client in &mut first {
        assert_eq!(next(client), Next::Status(200));
    }
    // Behind all that left.
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("an answer").status(), 200);
    assert_eq!(endpoint.requests(), 3);
}

#[test]
fn does_not_forward_request_of_client_closed_during_dial() {
    for way in WAYS {
        let discovery = Discovery::start();
        let sidecar = Sidecar::start(&discovery, &[]);
        let (listener, filler) = full_queue();
        let address = listener.local_addr().expect("an address");
        discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
        discovery.await_watch(2);
        let (mut client, submitted) = (sidecar.connect(), request("book", "", ""));
        client.write_all(submitted.as_bytes()).expect("the sidecar takes it");
        wait_until("the endpoint is dialled", || being_dialled(address));
        close_client(client, way);
        drop(filler);
        let endpoint = Endpoint::on(listener, served);
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("an answer").status(), 200);
        assert!(!reached(&endpoint, &submitted), "{way:?}");
        assert_eq!(endpoint.requests(), 1);
    }
}

// With a body that is longer than is kept nothing is read while it has nowhere to go, and the end lies behind it.
#[test]
fn does_not_forward_request_of_client_closed_within_body() {
    for resets in [false, true] {
        let discovery = Discovery::start();
        let (gate, endpoint) = gated_endpoint();
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut first = take_places(&sidecar, &endpoint);
        let (mut client, submitted) = (sidecar.connect(), request("book", "", ""));
        let head = submitted.replace("Content-Length: 0", "Content-Length: 1000000");
        client.write_all(head.as_bytes()).expect("the sidecar takes it");
        client.write_all(&[b'x'; 120_000]).expect("the system takes it");
        // All of it has left here, or its end would wait for it.
        let port = client.local_addr().expect("an address").port();
        wait_until("it has come", || unsent(port) == 0);
        wait_until("what is kept of it has been read", || unread(sidecar.address, port) < 50_000);
        close_client(client, (resets, b""));
        gate.open();
        for client in &mut first {
            assert_eq!(next(client), Next::Status(200));
        }
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("an answer").status(), 200);
        // Of itself, its head would have gone out first.
        assert_eq!(endpoint.heads(), 3, "resets: {resets}");
    }
}

// The endpoint turns each attempt away, so that the request waits to be tried again.
#[test]
fn does_not_retry_request_of_closed_client() {
    for way in WAYS {
        // It is tried again after 125 ms at the earliest.
        let (_discovery, endpoint, sidecar) = within(Duration::from_millis(100), || {
            let discovery = Discovery::start();
            let endpoint = Endpoint::start(|_| Reply::Answer(503, "X-Unprocessed: 1\r\n", Vec::new()));
            let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
            let (mut client, began) = (sidecar.connect(), Instant::now());
            client.write_all(request("book", "", "").as_bytes()).expect("the sidecar takes it");
            wait_until("it was turned away", || endpoint.requests() == 1);
            close_client(client, way);
            (began, (discovery, endpoint, sidecar))
        });
        // One that stays is tried until it may not be any more, and takes longer over it.
        let submitted = request("book", "", "");
        let status = sidecar.exchange(&submitted).expect("an answer").status();
        assert_eq!((status, reached(&endpoint, &submitted)), (503, true));
        assert_eq!(endpoint.requests(), 1 + times(&endpoint, &submitted), "{way:?}");
    }
}

#[test]
fn crossing_signals_shut_down_once_and_cost_no_answer() {
    for signals in [["-TERM", "-TERM"], ["-TERM", "-HUP"], ["-HUP", "-TERM"], ["-TERM", "-INT"]] {
        let discovery = Discovery::start();
        let (gate, endpoint) = gated_endpoint();
        let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut client = send_request(&sidecar, "book");
        wait_until("the request is out", || endpoint.requests_begun() == 1);
        sidecar.signal("-STOP");
        signals.iter().for_each(|signal| sidecar.signal(signal));
        sidecar.signal("-CONT");
        wait_until("it stops", || sidecar.call("health").starts_with("ERR "));
        signals.iter().for_each(|signal| sidecar.signal(signal));
        gate.open();
        assert_eq!(next(&mut client), Next::Status(200), "{signals:?}");
        assert_eq!(sidecar.process.wait().expect("it ends").code(), Some(0), "{signals:?}");
    }
}
