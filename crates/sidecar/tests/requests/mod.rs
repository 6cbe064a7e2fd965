//! Forwarding, rejection, retries and cancellation of requests.

mod body_lengths;

use crate::stubs::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn forwards_request_and_response_unchanged() {
    let (discovery, body) = (Discovery::start(), vec![0xA5; 40_000]);
    let response_body = body.clone();
    let endpoint =
        Endpoint::start(move |_| Reply::Response(200, "Content-Type: x/y\r\n", response_body.clone()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let request_text = request("pay", "", &"b".repeat(60_000));
    let response = sidecar.exchange(&request_text).expect("a response");
    assert_eq!((response.status(), response.header("content-type")), (200, Some("x/y")));
    assert!(response.body == body);
    let received = endpoint.handled.lock().expect("the lock is not poisoned");
    assert_eq!(received[0].start, "POST /api?site=4 HTTP/1.1");
    let id = received[0].header("x-correlation-id").expect("an id");
    assert!(request_text.contains(&format!("X-Correlation-Id: {id}\r\n")));
    assert_eq!(received[0].header("idempotency-key"), Some("5c0f6e1a"));
    assert!(received[0].body == "b".repeat(60_000).as_bytes());
    let time_left = received[0].header("x-time-left").and_then(|v| v.strip_suffix('u')?.parse::<u64>().ok());
    assert!(time_left.is_some_and(|us| us > 0 && us <= 19_000_000), "{time_left:?}");
}

#[test]
fn rejects_invalid_requests_without_forwarding_them() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let valid = request("book", "", "");
    for (invalid, status) in [
        ("NONSENSE\r\n\r\n".to_owned(), 400),
        (request("nothing-known", "", ""), 400),
        (valid.replace("19000m", "19000s"), 400),
        (valid.replace("19000m", "-5m"), 400),
        (valid.replace("19000m", "m"), 400),
        (valid.replace("X-Time-Left: 19000m\r\n", ""), 400),
        (valid.replace("X-Correlation-Id", "X-Other"), 400),
        (valid.replace("Content-Length: 0", "Content-Length: -1"), 400),
        (valid.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 0"), 400),
        (valid.replace("Content-Length: 0", "Content-Length: 99999999999999999999"), 413),
        (valid.replace("Content-Length: 0", "Content-Length: 0\r\nTransfer-Encoding: chunked"), 400),
        (valid.replace("Content-Length: 0", "Transfer-Encoding: chunked\r\nContent-Length: 0"), 400),
        (valid.replace("Content-Length: 0", "Transfer-Encoding: gzip, chunked") + "0\r\n\r\n", 400),
        (valid.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "0x\r\n\r\n", 400),
        (valid.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "2000001\r\n", 413),
        (format!("{valid}{valid}"), 400),
        (format!("{valid}GET / HTTP/1.1"), 400),
        (request("pay", "", "").replace("Idempotency-Key: 5c0f6e1a\r\n", ""), 400),
        (valid.replace("Content-Length: 0", "Content-Length: 33554433"), 413),
        (valid.replace("/api?site=4", "/other"), 404),
    ] {
        let mut client = sidecar.connect();
        client.write_all(invalid.as_bytes()).expect("the write succeeds");
        let response = read_message(&mut client).expect("a response");
        assert_eq!(response.status(), status, "{invalid}");
        assert!(status == 404 || await_close(&mut client), "the connection stays open after {invalid}");
    }
    assert_eq!(endpoint.requests_handled(), 0);
    assert_eq!(sidecar.exchange(&valid).expect("a response").status(), 200);
}

// Endpoints identify a request by its ID: with two requests of one ID, one client could get the other's response.
#[test]
fn rejects_id_of_open_or_recent_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::DelayedResponse(Duration::from_millis(500), b"late".to_vec()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let (request_text, mut client) = (request("book", "", ""), sidecar.connect());
    client.write_all(request_text.as_bytes()).expect("the write succeeds");
    wait_until("the endpoint has received the request", || endpoint.requests_handled() == 1);
    assert_eq!(sidecar.exchange(&request_text).expect("a response").status(), 409);
    assert_eq!(read_message(&mut client).expect("a response").status(), 200);
    assert_eq!(sidecar.exchange(&request_text).expect("a response").status(), 409);
    assert_eq!(endpoint.requests_handled(), 1);
}

// A request that is itself at fault would otherwise be retried at all endpoints, and each would appear to be failing.
#[test]
fn does_not_retry_after_client_error() {
    let discovery = Discovery::start();
    let reply =
        |message: &Message| Reply::Response(message.header("x-bad").map_or(200, |_| 400), "", Vec::new());
    let [one, two] = [(); 2].map(|()| Endpoint::start(reply));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &one), ("s-2", &two)]);
    for sent in 1..=20 {
        assert_eq!(sidecar.exchange(&request("look", "X-Bad: 1\r\n", "")).expect("a response").status(), 400);
        assert_eq!(one.requests_handled() + two.requests_handled(), sent);
    }
    assert_eq!(sidecar.exchange(&request("look", "", "")).expect("a response").status(), 200);
}

// An incomplete request holds a connection permit as well, but must not keep complete ones from being served.
#[test]
fn evicts_slow_requests_for_complete_ones() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start_with_descriptors(&discovery, &[("s-1", &endpoint)], 1024, 64);
    let mut slow_clients: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
    for client in &mut slow_clients {
        client.write_all(b"GET /api HT").expect("the write succeeds");
    }
    let mut client = sidecar.connect();
    client.write_all(request("look", "", "").as_bytes()).expect("the write succeeds");
    assert_eq!(read_message(&mut client).expect("a response").status(), 200);
    let status = read_message(&mut slow_clients[0]).map(|m| m.status());
    assert_eq!(status, Some(408), "the oldest connection is evicted first");
}

// Clients that use each connection once and keep it open may be limited to fewer connections than the sidecar has
// permits. If all of theirs stayed open, they could send no further request, and no new connection would show the
// sidecar that a permit is needed.
#[test]
fn closes_oldest_of_many_idle_connections() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    // Gives 20 connection permits.
    let sidecar = Sidecar::start_with_descriptors(&discovery, &[("s-1", &endpoint)], 1024, 64);
    let exchange = |client: &mut TcpStream| {
        client.write_all(request("look", "", "").as_bytes()).expect("the write succeeds");
        read_message(client).map(|m| m.status())
    };
    let mut clients: Vec<_> = (0..15).map(|_| sidecar.connect()).collect();
    for client in &mut clients {
        // A connection that waited long for its first request may have been evicted.
        if exchange(client).is_none() {
            *client = sidecar.connect();
            assert_eq!(exchange(client), Some(200));
        }
    }
    assert!(await_close(&mut clients[0]), "the oldest idle connection stays open");
    // Idle connections are not evicted while they hold at most half of the permits.
    thread::sleep(Duration::from_millis(500));
    assert_eq!(exchange(clients.last_mut().expect("one is left")), Some(200));
}

// A client that sends nothing, an incomplete request or single bytes at intervals must not hold a connection permit for
// long. Each of these clients would go on for longer than the test waits.
#[test]
fn closes_connection_of_incomplete_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let request_text = request("book", "", "body").replace("19000m", "600000m");
    for partial in ["", &request_text[..20], &request_text[..request_text.len() - 1]] {
        let mut client = sidecar.connect();
        client.write_all(partial.as_bytes()).expect("the write succeeds");
        assert!(await_close(&mut client), "after {partial}");
    }
    let mut client = sidecar.connect();
    let until = Instant::now() + TEST_TIMEOUT;
    while client.write_all(b"A").is_ok() {
        assert!(Instant::now() < until, "a head that is sent byte by byte is never rejected");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(endpoint.requests_handled(), 0);
}

// A broken connection does not show whether the request has run. A non-idempotent one must then neither be retried nor
// be rejected with 503, which would invite the client to repeat it.
#[test]
fn does_not_retry_non_idempotent_request_that_may_have_run() {
    for reply in
        [|| Reply::Close, || Reply::Response(500, "", Vec::new()), || Reply::Response(503, "", Vec::new())]
    {
        let discovery = Discovery::start();
        let [one, two] = [(); 2].map(|()| Endpoint::start(move |_| reply()));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &one), ("s-2", &two)]);
        let status = sidecar.exchange(&request("book", "", "{}")).expect("a response").status();
        assert!(status >= 500 && status != 503, "{status}");
        assert_eq!(one.requests_handled() + two.requests_handled(), 1);
    }
}

#[test]
fn retries_non_idempotent_request_that_has_not_run() {
    let rejecting = Endpoint::start(|_| Reply::Response(503, "X-Unprocessed: 1\r\n", Vec::new()));
    let good = Endpoint::start(|_| ok("served"));
    let refusing_address = unused_address();
    for bad in [rejecting.address, refusing_address] {
        let discovery = Discovery::start();
        let sidecar = Sidecar::start(&discovery, &[("s-1", &good)]);
        discovery.publish(2, list(2, false, &[("s-2", bad, "active")]));
        discovery.await_watch(2);
        // Two requests reach both endpoints.
        for _ in 0..2 {
            assert_eq!(sidecar.exchange(&request("book", "", "{}")).expect("a response").status(), 200);
        }
    }
    assert_eq!(good.requests_handled(), 4);
    assert!(rejecting.requests_handled() > 0);
}

#[test]
fn sheds_at_once_without_endpoints() {
    let discovery = Discovery::start();
    let sidecar = Sidecar::start(&discovery, &[]);
    let sent_at = Instant::now();
    let response = sidecar.exchange(&request("book", "", "{}")).expect("a response");
    assert_eq!(response.status(), 503);
    // Retry-After is present, and no longer than the 2 s of `MaxRetryAfterUs`.
    let seconds: Option<f64> = response.header("retry-after").and_then(|v| v.parse().ok());
    assert!(seconds.is_some_and(|s| s > 0.0 && s <= 2.0), "{seconds:?}");
    // The client's deadline is 19 s. Half of it is a generous bound, and still excludes waiting until the deadline.
    assert!(sent_at.elapsed() < Duration::from_millis(9500));
}

// A machine that fails never closes its connections: only the sidecar's own timeouts end the attempts there.
#[test]
fn requests_to_unresponsive_endpoint_get_a_response() {
    for class in ["look", "book", "pay"] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| Reply::NoResponse);
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let request_text = request(class, "", "").replace("19000m", "400m");
        let status = sidecar.exchange(&request_text).expect("a response").status();
        assert!(status != 200 && (class != "book" || status != 503), "{class}: {status}");
        // An abandoned attempt closes its connection: its late response would be taken for that to the next request.
        wait_until("all connections are closed", || {
            let accepted = endpoint.accepted.load(Ordering::SeqCst);
            accepted >= 1 && endpoint.closed() == accepted
        });
    }
}

#[test]
fn cancels_attempt_when_client_closes() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::NoResponse);
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    // The deadline is longer than this test waits, so only the client's close can end the attempt.
    let request_text = request("book", "", "{}").replace("19000m", "600000m");
    client.write_all(request_text.as_bytes()).expect("the write succeeds");
    wait_until("the endpoint has received the request", || endpoint.requests_handled() == 1);
    client.shutdown(Shutdown::Both).expect("the socket shuts down");
    wait_until("the attempt is cancelled", || endpoint.closed() == 1);
}

#[test]
fn reuses_connections_until_closed_or_idle_too_long() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.header("x-last") {
        Some(_) => Reply::ResponseThenClose(200, "", b"last".to_vec()),
        None => ok("served"),
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let accepted = || endpoint.accepted.load(Ordering::SeqCst);
    // The last response on the first connection does not announce the close. The next request must not be written to
    // the closed connection, where it would be reset and, being non-idempotent, fail.
    for headers in ["", "", "X-Last: 1\r\n"] {
        assert_eq!(sidecar.exchange(&request("book", headers, "")).expect("a response").status(), 200);
        assert_eq!(accepted(), 1);
        // A connection is not reused until a short time after its last response.
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
    assert_eq!((accepted(), endpoint.closed()), (2, 0));
    // The sidecar closes an idle connection before the endpoint's idle timeout would; this endpoint has none.
    wait_until("the idle connection is closed", || endpoint.closed() == 1);
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
    assert_eq!(accepted(), 3);
}
