//! Invalid responses and broken connections of endpoints.

use crate::stubs::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn too_long_or_truncated_response_is_a_failure() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.header("x-long") {
        Some(_) => Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nx".to_vec(), None),
        None => Reply::ResponseThenClose(200, "Transfer-Encoding: chunked\r\nX-Not-", b"5\r\nhel".to_vec()),
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for headers in ["X-Long: 1\r\n", ""] {
        assert_eq!(
            sidecar.exchange(&request("book", headers, "")).expect("a response").status(),
            502,
            "{headers}"
        );
    }
}

// A truncated response counts as that of an endpoint that has run the request, whatever its head says.
#[test]
fn does_not_retry_after_truncated_rejection() {
    let discovery = Discovery::start();
    let truncated =
        || Reply::ResponseThenClose(503, "X-Unprocessed: 1\r\nContent-Length: 9\r\nX-Not-", b"half".to_vec());
    let [one, two] = [(); 2].map(|()| Endpoint::start(move |_| truncated()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &one), ("s-2", &two)]);
    assert_eq!(sidecar.exchange(&request("book", "", "{}")).expect("a response").status(), 502);
    assert_eq!(one.requests_handled() + two.requests_handled(), 1);
}

// The endpoint keeps the connection open and sends no more, so that only the head shows that the response is invalid.
#[test]
fn response_without_valid_framing_fails_immediately() {
    let heads = [
        "200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        "200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "200 OK\r\nTransfer-Encoding: odd\r\n\r\n",
        "200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "200 OK\r\n\r\n",
        "101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "2x0 OK\r\nContent-Length: 5\r\n\r\n",
        "200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\n",
    ];
    for head in heads {
        let discovery = Discovery::start();
        let response = format!("HTTP/1.1 {head}");
        let endpoint = Endpoint::start(move |_| Reply::Raw([response.as_bytes(), b"hello"].concat(), None));
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let sent_at = Instant::now();
        assert_eq!(sidecar.exchange(&request("book", "", "{}")).expect("a response").status(), 502, "{head}");
        // The client's deadline is 19 s.
        assert!(sent_at.elapsed() < Duration::from_millis(9500), "{head}");
        wait_until("the connection is closed", || endpoint.closed() == 1);
    }
}

// An occasional invalid response must neither eject an endpoint nor make it pass for a restarted process, which in slow
// start would be sent almost no requests.
#[test]
fn two_invalid_responses_do_not_eject_endpoint() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.header("x-invalid") {
        Some(_) => Reply::Raw(b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n".to_vec(), None),
        None => ok("served"),
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let exchange = |headers| sidecar.exchange(&request("book", headers, "")).expect("a response").status();
    // Successes first, as the very first outcome has more weight.
    for status in [exchange(""), exchange("")] {
        assert_eq!(status, 200);
    }
    assert_eq!([exchange("X-Invalid: 1\r\n"), exchange("X-Invalid: 1\r\n")], [502, 502]);
    assert_eq!([(); 5].map(|()| exchange("")), [200; 5]);
}

// A network that silently drops idle connections drops all of them, and each failure shows only when that connection is
// reused. Counted as failures of the endpoint, they would open its circuit breaker although it can serve requests.
#[test]
fn broken_reused_connections_do_not_eject_endpoint() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.header("x-stale") {
        Some(_) => Reply::Close,
        None => Reply::DelayedResponse(Duration::from_millis(300), b"served".to_vec()),
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let exchange_all = |headers: &str| {
        let mut clients: Vec<_> = (0..4).map(|_| sidecar.connect()).collect();
        for client in &mut clients {
            client.write_all(request("book", headers, "").as_bytes()).expect("the write succeeds");
        }
        clients.iter_mut().map(|c| read_message(c).expect("a response").status()).collect::<Vec<_>>()
    };
    // The endpoint's concurrency limit grows with successful responses.
    for _ in 0..4 {
        assert_eq!(exchange_all(""), [200; 4]);
    }
    let accepted = endpoint.accepted.load(Ordering::SeqCst);
    thread::sleep(Duration::from_millis(50));
    // These requests may have run, so they fail. Each is the first to find its connection broken.
    assert_eq!(exchange_all("X-Stale: 1\r\n"), [502; 4]);
    assert_eq!(endpoint.accepted.load(Ordering::SeqCst), accepted);
    assert_eq!(exchange_all(""), [200; 4]);
}

// Endpoints, or devices on the path to them, may silently drop idle connections sooner than agreed. Every request after
// a pause would then be reset, and a non-idempotent one would fail.
#[test]
fn learns_idle_age_at_which_connections_are_dropped() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.idle {
        Some(idle) if idle > Duration::from_millis(100) => Reply::Close,
        _ => ok("served"),
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut successes_in_a_row = 0;
    // Without a learned limit every second request would fail.
    for _ in 0..60 {
        let response = sidecar.exchange(&request("book", "", "")).expect("a response");
        successes_in_a_row = if response.status() == 200 { successes_in_a_row + 1 } else { 0 };
        if successes_in_a_row == 6 {
            return;
        }
        thread::sleep(Duration::from_millis(200));
    }
    panic!("requests after a pause still fail");
}

// New connections to a process that has ended fail, and these failures do open its circuit breaker.
#[test]
fn stops_sending_to_endpoint_whose_process_has_ended() {
    let discovery = Discovery::start();
    let [failed, healthy] = [(); 2].map(|()| Endpoint::start(|_| ok("served")));
    let refusing_address = unused_address();
    let sidecar = Sidecar::start(&discovery, &[("s-1", &failed), ("s-2", &healthy)]);
    discovery.publish(2, list(2, false, &[("s-1", refusing_address, "active")]));
    discovery.await_watch(2);
    // All are served, and at their first attempt once the circuit is open.
    for _ in 0..20 {
        assert_eq!(sidecar.exchange(&request("look", "", "")).expect("a response").status(), 200);
    }
    assert_eq!(healthy.requests_handled(), 20);
}

// Extra bytes after a response must not be taken for the response to the next request, whether they arrive with it or
// while the next request is being sent. Interim 1xx responses before it are not its response either.
#[test]
fn forwards_response_and_drops_bytes_after_it() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| {
        let body = message.header("x-number").expect("a number");
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let (early, extra) = match message.header("x-extra").expect("a kind") {
            "early" => {
                ("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", String::new())
            }
            "noise" => ("", "noise".to_owned()),
            "copy" => ("", response.clone()),
            // Written separately and without a pause: a sleep might outlast the time for which the sidecar does not
            // reuse a connection after a response.
            _ => return Reply::Raw(response.clone().into(), Some((Duration::ZERO, response.into()))),
        };
        Reply::Raw(format!("{early}{response}{extra}").into(), None)
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    for number in 0..40 {
        let extra = ["early", "noise", "copy", "later"][number % 4];
        let request_text = request("book", &format!("X-Number: {number:04}\r\nX-Extra: {extra}\r\n"), "");
        client.write_all(request_text.as_bytes()).expect("the write succeeds");
        let response = read_message(&mut client).expect("a response");
        assert_eq!((response.status(), response.body), (200, format!("{number:04}").into_bytes()), "{extra}");
    }
}

// A connection rested for less time than a second response may take.
#[test]
fn second_response_some_milliseconds_late_is_not_served_to_another_request() {
    const SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(9);
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| {
        let number = message.header("x-number").expect("the number");
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{number}", number.len());
        let response = response.into_bytes();
        Reply::Raw(response.clone(), Some((SECOND_RESPONSE_DELAY, response)))
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    for number in 0..60 {
        let text = request("look", &format!("X-Number: {number}\r\n"), "");
        client.write_all(text.as_bytes()).expect("the write succeeds");
        let response = read_message(&mut client).expect("a response");
        assert_eq!(response.body, number.to_string().into_bytes());
        // The next request comes 0 to 9 ms after the response.
        thread::sleep(Duration::from_millis(number % 10));
    }
}
