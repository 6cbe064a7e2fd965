//! Races between two events, each forced in both orders. The file `docs/crossings.md` lists the races.

mod discovery;

use crate::stubs::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn reply_ok(_: &Message) -> Reply {
    Reply::Response(200, "", b"served".to_vec())
}

/// A connection that has carried a request and is idle.
fn idle_connection(sidecar: &Sidecar) -> TcpStream {
    let mut client = send_request(sidecar, "look");
    assert_eq!(read_message(&mut client).expect("a response").status(), 200);
    client
}

/// How often the endpoint has received this request.
pub fn times_received(endpoint: &Endpoint, request: &str) -> usize {
    let (_, after) = request.split_once("X-Correlation-Id: ").expect("an id");
    let id = after.lines().next();
    let received = endpoint.handled.lock().expect("the lock is not poisoned");
    received.iter().filter(|m| m.header("x-correlation-id") == id).count()
}

/// Whether the endpoint has received this request.
fn has_received(endpoint: &Endpoint, request: &str) -> bool {
    times_received(endpoint, request) > 0
}

/// What happens next on a client's connection: the sidecar closes or resets it, or sends a response with this status.
#[derive(Debug, PartialEq)]
pub enum ConnectionEvent {
    Closed,
    Reset,
    Status(u16),
}

/// Waits for the next event on a client's connection; anything else than a close or a response counts as a reset.
pub fn next_event(client: &mut TcpStream) -> ConnectionEvent {
    client.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout can be set");
    loop {
        return match client.peek(&mut [0]) {
            Ok(0) => ConnectionEvent::Closed,
            Ok(_) => {
                read_message(client).map_or(ConnectionEvent::Reset, |m| ConnectionEvent::Status(m.status()))
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(_) => ConnectionEvent::Reset,
        };
    }
}

/// Runs a step that has to end before one of the sidecar's time limits: within `bound` of the instant that it returns. A
/// run that took longer proves nothing, and is repeated.
fn retry_until_within<T>(bound: Duration, mut step: impl FnMut() -> (Instant, T)) -> T {
    for _ in 0..20 {
        let (began, result) = step();
        if began.elapsed() < bound {
            return result;
        }
    }
    panic!("no run ended within {bound:?}");
}

/// Holds back the responses of an endpoint until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn wait_until_open(&self) {
        let open = self.0.0.lock().expect("the lock is not poisoned");
        drop(self.0.1.wait_while(open, |open| !*open).expect("the lock is not poisoned"));
    }

    fn open(&self) {
        *self.0.0.lock().expect("the lock is not poisoned") = true;
        self.0.1.notify_all();
    }
}

/// An endpoint that responds once the gate is open.
fn gated_endpoint() -> (Gate, Endpoint) {
    let gate = Gate::default();
    let endpoint_gate = gate.clone();
    let endpoint = Endpoint::start(move |message| {
        endpoint_gate.wait_until_open();
        reply_ok(message)
    });
    (gate, endpoint)
}

/// Sends a request of this class on a new connection.
fn send_request(sidecar: &Sidecar, class: &str) -> TcpStream {
    let mut client = sidecar.connect();
    client.write_all(request(class, "", "").as_bytes()).expect("the write succeeds");
    client
}

/// Sends two requests to an endpoint, which at first is sent no more than two at a time; returns their clients.
fn occupy_endpoint(sidecar: &Sidecar, endpoint: &Endpoint) -> Vec<TcpStream> {
    let clients = (0..2).map(|_| send_request(sidecar, "look")).collect();
    wait_until("both requests are in flight", || endpoint.requests_received() == 2);
    clients
}

/// How a client ends its connection: whether it resets it, and the unexpected bytes that it sends before that.
pub const CLIENT_CLOSE_MODES: [(bool, &[u8]); 4] =
    [(false, b""), (true, b""), (false, b"more"), (true, b"more")];

pub fn close_client(mut client: TcpStream, (resets, extra_bytes): (bool, &[u8])) {
    // The sidecar may have closed the connection by now.
    let _ = client.write_all(extra_bytes);
    if resets {
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("the option can be set");
    }
}

// While the process is stopped, the request and the shutdown signal arrive, in either order. When it continues, it finds
// both at once.
#[test]
fn serves_request_that_races_with_close_of_idle_connection() {
    for request_first in [true, false] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(reply_ok);
        let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut client = idle_connection(&sidecar);
        let request_text = request("book", "", "");
        sidecar.signal("-STOP");
        if !request_first {
            sidecar.signal("-TERM");
        }
        client.write_all(request_text.as_bytes()).expect("the write succeeds");
        // This connection waits in the accept queue.
        let mut queued = send_request(&sidecar, "book");
        if request_first {
            sidecar.signal("-TERM");
        }
        sidecar.signal("-CONT");
        assert_eq!(next_event(&mut queued), ConnectionEvent::Status(200));
        let response = read_message(&mut client).expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        assert!(has_received(&endpoint, &request_text) && await_close(&mut client));
        assert_eq!(sidecar.process.wait().expect("the process exits").code(), Some(0));
    }
}

// A client that sees the end of the stream sends its request elsewhere. If the sidecar forwarded the request as well,
// the request would run twice, so the sidecar must not read it. The sidecar closes with a FIN: a reset could discard
// data that the client has not read yet.
//
// How the test tells: closing a connection with unread bytes resets it at once. If the sidecar read and dropped the
// request, which it would have to answer, the connection would accept bytes for another 200 ms.
#[test]
fn leaves_request_after_close_of_idle_connection_unread() {
    for trigger in ["quiesce", "-TERM"] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(reply_ok);
        let request_text = retry_until_within(Duration::from_millis(150), || {
            let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
            let (mut client, request_text) = (idle_connection(&sidecar), request("book", "", ""));
            if trigger == "quiesce" {
                assert_eq!(sidecar.call(trigger), "OK")
            } else {
                sidecar.signal(trigger)
            }
            assert_eq!(next_event(&mut client), ConnectionEvent::Closed);
            let began = Instant::now();
            client.write_all(request_text.as_bytes()).expect("the write succeeds");
            wait_until("the connection is reset", || (&client).write_all(b"x").is_err());
            (began, request_text)
        });
        assert!(!has_received(&endpoint, &request_text), "{trigger}");
    }
}

// A reset could discard the response before the client has read it.
#[test]
fn bytes_after_final_response_do_not_reset_connection() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(reply_ok);
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    // The sidecar continues to read for 200 ms.
    let result = retry_until_within(Duration::from_millis(150), || {
        let mut client = sidecar.connect();
        let request_text = request("book", "Connection: close\r\n", "");
        let began = Instant::now();
        client.write_all(request_text.as_bytes()).expect("the write succeeds");
        let response = next_event(&mut client);
        let written = client.write_all(b"x").is_ok();
        (began, (response, next_event(&mut client), written, next_event(&mut client)))
    });
    assert_eq!(
        result,
        (ConnectionEvent::Status(200), ConnectionEvent::Closed, true, ConnectionEvent::Closed)
    );
}

// A client that has just connected is about to send a request, and connecting again would not avoid the sidecar: new
// connections are still accepted after this one.
#[test]
fn answers_client_that_connects_at_shutdown() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(reply_ok);
    // The sidecar waits no longer than 500 ms for its request.
    let response = retry_until_within(Duration::from_millis(400), || {
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        // Connections are accepted in order: the response on the idle one shows that the new one has been accepted.
        let (mut new, mut idle) = (sidecar.connect(), idle_connection(&sidecar));
        let began = Instant::now();
        sidecar.signal("-TERM");
        assert_eq!(next_event(&mut idle), ConnectionEvent::Closed, "the shutdown has begun");
        let sent = new.write_all(request("book", "", "").as_bytes());
        (began, sent.ok().map(|()| next_event(&mut new)))
    });
    assert_eq!(response, Some(ConnectionEvent::Status(200)));
}

// Depending on which comes first, the request or the drain, the request is either answered or not forwarded at all.
#[test]
fn request_during_drain_is_answered_or_never_forwarded() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(reply_ok);
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut outcomes = [0, 0];
    for round in 0..60 {
        let (mut client, request_text) = (idle_connection(&sidecar), request("book", "", ""));
        thread::scope(|scope| {
            scope.spawn(|| assert_eq!(sidecar.call("quiesce"), "OK"));
            // Over the rounds, the request is sent from before the call to well after it.
            thread::sleep(Duration::from_micros(50 * round));
            let result = client
                .write_all(request_text.as_bytes())
                .map_or(ConnectionEvent::Closed, |()| next_event(&mut client));
            assert_ne!(result, ConnectionEvent::Reset, "round {round}");
            assert_eq!(
                has_received(&endpoint, &request_text),
                result == ConnectionEvent::Status(200),
                "round {round}: {result:?}"
            );
            outcomes[usize::from(result == ConnectionEvent::Closed)] += 1;
        });
        assert_eq!(sidecar.call("resume"), "OK");
    }
    println!("{} answered, {} not forwarded", outcomes[0], outcomes[1]);
}

#[test]
fn does_not_forward_queued_request_of_closed_client() {
    let discovery = Discovery::start();
    let (gate, endpoint) = gated_endpoint();
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut occupying_clients = occupy_endpoint(&sidecar, &endpoint);
    for close_mode in CLIENT_CLOSE_MODES {
        (0..5)
            .map(|_| send_request(&sidecar, "book"))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|client| close_client(client, close_mode));
    }
    gate.open();
    for client in &mut occupying_clients {
        assert_eq!(next_event(client), ConnectionEvent::Status(200));
    }
    // This request is queued after those of all clients that have closed.
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
    assert_eq!(endpoint.requests_handled(), 3);
}

#[test]
fn does_not_forward_request_of_client_closed_during_dial() {
    for close_mode in CLIENT_CLOSE_MODES {
        let discovery = Discovery::start();
        let sidecar = Sidecar::start(&discovery, &[]);
        let (listener, filler) = listener_with_full_queue();
        let address = listener.local_addr().expect("an address");
        discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
        discovery.await_watch(2);
        let (mut client, request_text) = (sidecar.connect(), request("book", "", ""));
        client.write_all(request_text.as_bytes()).expect("the write succeeds");
        wait_until("the endpoint is dialled", || is_being_dialled(address));
        close_client(client, close_mode);
        drop(filler);
        let endpoint = Endpoint::on(listener, reply_ok);
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
        assert!(!has_received(&endpoint, &request_text), "{close_mode:?}");
        assert_eq!(endpoint.requests_handled(), 1);
    }
}

// While no endpoint can be sent the request, a body that is longer than the buffer is not read to its end, and neither
// is the end of the connection behind it.
#[test]
fn does_not_forward_request_of_client_closed_within_body() {
    for resets in [false, true] {
        let discovery = Discovery::start();
        let (gate, endpoint) = gated_endpoint();
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut occupying_clients = occupy_endpoint(&sidecar, &endpoint);
        let (mut client, request_text) = (sidecar.connect(), request("book", "", ""));
        let head = request_text.replace("Content-Length: 0", "Content-Length: 1000000");
        client.write_all(head.as_bytes()).expect("the write succeeds");
        client.write_all(&[b'x'; 120_000]).expect("the write succeeds");
        // The end of the connection would wait in the client's socket for bytes that are not sent yet.
        let port = client.local_addr().expect("an address").port();
        wait_until("all bytes are sent", || unsent(port) == 0);
        wait_until("the sidecar has read what it buffers", || unread(sidecar.address, port) < 50_000);
        close_client(client, (resets, b""));
        gate.open();
        for client in &mut occupying_clients {
            assert_eq!(next_event(client), ConnectionEvent::Status(200));
        }
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
        // If the request were forwarded, its head would be sent first.
        assert_eq!(endpoint.request_heads(), 3, "resets: {resets}");
    }
}

// The endpoint rejects each attempt, so that the request waits for a retry.
#[test]
fn does_not_retry_request_of_closed_client() {
    for close_mode in CLIENT_CLOSE_MODES {
        // The first retry comes after 125 ms at the earliest.
        let (_discovery, endpoint, sidecar) = retry_until_within(Duration::from_millis(100), || {
            let discovery = Discovery::start();
            let endpoint = Endpoint::start(|_| Reply::Response(503, "X-Unprocessed: 1\r\n", Vec::new()));
            let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
            let (mut client, began) = (sidecar.connect(), Instant::now());
            client.write_all(request("book", "", "").as_bytes()).expect("the write succeeds");
            wait_until("the first attempt is rejected", || endpoint.requests_handled() == 1);
            close_client(client, close_mode);
            (began, (discovery, endpoint, sidecar))
        });
        // The request of a client that stays is retried until no attempts are left, by when the first request would have
        // been retried too.
        let request_text = request("book", "", "");
        let status = sidecar.exchange(&request_text).expect("a response").status();
        assert_eq!((status, has_received(&endpoint, &request_text)), (503, true));
        assert_eq!(
            endpoint.requests_handled(),
            1 + times_received(&endpoint, &request_text),
            "{close_mode:?}"
        );
    }
}

#[test]
fn concurrent_signals_shut_down_once_and_fail_no_request() {
    for signals in [["-TERM", "-TERM"], ["-TERM", "-HUP"], ["-HUP", "-TERM"], ["-TERM", "-INT"]] {
        let discovery = Discovery::start();
        let (gate, endpoint) = gated_endpoint();
        let mut sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let mut client = send_request(&sidecar, "book");
        wait_until("the endpoint has received the request", || endpoint.requests_received() == 1);
        sidecar.signal("-STOP");
        signals.iter().for_each(|signal| sidecar.signal(signal));
        sidecar.signal("-CONT");
        wait_until("the sidecar is shutting down", || sidecar.call("health").starts_with("ERR "));
        signals.iter().for_each(|signal| sidecar.signal(signal));
        gate.open();
        assert_eq!(next_event(&mut client), ConnectionEvent::Status(200), "{signals:?}");
        assert_eq!(sidecar.process.wait().expect("the process exits").code(), Some(0), "{signals:?}");
    }
}
