//! Races between starts, reloads, endpoint lists and watches.

use super::*;
use crate::stubs::*;
use std::io::Write;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

// Requests are served by the configured endpoints, whether discovery refuses connections, never accepts them, or never
// answers.
#[test]
fn starts_without_discovery() {
    let (not_accepting, _filler) = listener_with_full_queue();
    let unresponsive = Discovery::start();
    unresponsive.unresponsive.store(true, std::sync::atomic::Ordering::SeqCst);
    let addresses = [unused_address(), not_accepting.local_addr().expect("an address"), unresponsive.address];
    for (address, mode) in
        addresses.into_iter().flat_map(|address| [(address, "pushed"), (address, "on_request")])
    {
        let endpoint = Endpoint::start(reply_ok);
        let mut discovery = Discovery::start();
        discovery.address = address;
        let began = Instant::now();
        let sidecar = Sidecar::start_with_config(&discovery, &[("s-1", &endpoint)], 1024, |config| {
            config.replace("\"on_request\"", &format!("\"{mode}\""))
        });
        assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
    }
}

// Only the discovery address of the last reload counts: what the other services still publish is ignored, and versions of
// the list start again.
#[test]
fn follows_last_of_two_reloads() {
    let [first, second, third] = [(); 3].map(|()| Discovery::start());
    let [old, middle, new] =
        ["old", "middle", "new"].map(|body| Endpoint::start(move |_| Reply::Response(200, "", body.into())));
    let sidecar = Sidecar::start(&first, &[("s-old", &old)]);
    first.publish(90, list(90, true, &[("s-old", old.address, "active")]));
    first.await_watch(90);
    // The second service does not answer, whatever it publishes.
    second.unresponsive.store(true, std::sync::atomic::Ordering::SeqCst);
    sidecar.reload(&config(sidecar.address, second.address, "null"));
    wait_until("the second service is polled", || second.polls().len() == 1);
    sidecar.reload(&config(sidecar.address, third.address, "null"));
    third.publish(2, list(2, true, &[("s-new", new.address, "active")]));
    third.await_watch(2);
    second.unresponsive.store(false, std::sync::atomic::Ordering::SeqCst);
    second.publish(95, list(95, true, &[("s-middle", middle.address, "active")]));
    first.publish(96, list(96, true, &[("s-old", old.address, "active")]));
    third.publish(3, list(3, false, &[]));
    third.await_watch(3);
    for _ in 0..4 {
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").body, b"new");
    }
    assert_eq!((old.requests_handled(), middle.requests_handled(), second.polls().len()), (0, 0, 1));
}

/// After a reload, the sidecar has to know all that discovery lists within 4 s, and 2 s later a server that is no longer
/// listed must get no new requests.
const RELOAD_EFFECT_TIME: Duration = Duration::from_secs(6);

#[test]
fn reload_takes_effect_despite_slow_discovery() {
    let requests_after_reload = |delay: Duration| {
        let (first, slow) = (Discovery::start(), Discovery::start());
        let [old, new] = [(); 2].map(|()| Endpoint::start(reply_ok));
        let sidecar = Sidecar::start(&first, &[("s-old", &old)]);
        first.publish(7, list(7, true, &[("s-old", old.address, "active")]));
        first.await_watch(7);
        *slow.delay.lock().expect("the lock is not poisoned") = delay;
        slow.publish(2, list(2, true, &[("s-new", new.address, "active")]));
        sidecar.reload(&config(sidecar.address, slow.address, "null"));
        thread::sleep(RELOAD_EFFECT_TIME);
        for _ in 0..4 {
            assert_eq!(sidecar.exchange(&request("look", "", "")).expect("a response").status(), 200);
        }
        (old.requests_handled(), new.requests_handled())
    };
    let delays = [1_500, 2_500, 3_500].map(Duration::from_millis);
    let sent = thread::scope(|scope| {
        let threads = delays.map(|delay| scope.spawn(move || requests_after_reload(delay)));
        threads.map(|thread| thread.join().expect("the thread does not panic"))
    });
    assert_eq!(sent, [(0, 4); 3], "requests to the old server and to the new one");
}

#[test]
fn accepts_indented_list() {
    let discovery = Discovery::start();
    let [old, new] = [(); 2].map(|()| Endpoint::start(reply_ok));
    let sidecar = Sidecar::start(&discovery, &[("s-old", &old)]);
    let text = list(2, true, &[("s-new", new.address, "active")]);
    let indented =
        serde_json::from_str::<serde_json::Value>(&text).and_then(|v| serde_json::to_string_pretty(&v));
    let indented = indented.expect("a list").replace('\n', "\r\n\t");
    discovery.publish(2, indented);
    discovery.await_watch(2);
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
    assert_eq!((old.requests_handled(), new.requests_handled()), (0, 1));
}

// A response that ends with its connection is complete only if the connection is closed in order, and not if it is reset.
#[test]
fn response_ended_by_close_is_complete_only_without_reset() {
    let response = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello";
    for ending in ["close", "reset", "none", "close in head"] {
        let discovery = Discovery::start();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let sidecar = Sidecar::start(&discovery, &[]);
        discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
        discovery.await_watch(2);
        let mut client = sidecar.connect();
        let request_text = request("book", "", "").replace("19000m", "900m");
        client.write_all(request_text.as_bytes()).expect("the write succeeds");
        let (mut stream, _) = listener.accept().expect("a connection");
        read_message(&mut stream).expect("a request");
        stream
            .write_all(if ending == "close in head" { &response[..9] } else { response })
            .expect("the write succeeds");
        // A reset would overtake bytes that have not been read yet.
        let port = stream.local_addr().expect("an address").port();
        wait_until("the sidecar has read all bytes", || unread_from(port) == 0);
        if ending == "reset" {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("the option can be set");
        }
        let open_stream = Some(stream).filter(|_| ending == "none");
        let result = next_event(&mut client);
        match ending {
            "close" => assert_eq!(result, ConnectionEvent::Status(200)),
            // If a part of the response has been forwarded already, the client's connection is reset as well.
            _ => assert!(
                matches!(result, ConnectionEvent::Status(502) | ConnectionEvent::Reset),
                "{ending}: {result:?}"
            ),
        }
        drop(open_stream);
    }
}

// SYNs that were lost while discovery was unreachable may be retransmitted only 4 s later. Until then, leaving endpoints
// would still be sent requests, although discovery is back and could report them.
#[test]
fn redials_discovery_soon_when_connection_does_not_come_up() {
    let (listener, _filler) = listener_with_full_queue();
    let mut discovery = Discovery::start();
    discovery.address = listener.local_addr().expect("an address");
    let endpoint = Endpoint::start(reply_ok);
    let pushed = |config: String| config.replace("\"on_request\"", "\"pushed\"");
    let _sidecar = Sidecar::start_with_config(&discovery, &[("s-1", &endpoint)], 1024, pushed);
    // Each dial has its own local port. With only the time limit of a poll, the second dial would come after 6 s.
    let (began, sockets) = (Instant::now(), Mutex::new(std::collections::BTreeSet::new()));
    wait_until("discovery is dialled three times", || {
        let mut sockets = sockets.lock().expect("the lock is not poisoned");
        sockets.extend(dialling_sockets(discovery.address));
        sockets.len() >= 3
    });
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

// The change may be published before or after the watch is open again.
#[test]
fn follows_changes_around_reset_of_watch() {
    for (mode, published_before_watch) in
        [("pushed", true), ("pushed", false), ("on_request", true), ("on_request", false)]
    {
        let discovery = Discovery::start();
        let [old, new] = [(); 2].map(|()| Endpoint::start(reply_ok));
        let sidecar = Sidecar::start_with_config(&discovery, &[("s-old", &old)], 1024, |config| {
            config.replace("\"on_request\"", &format!("\"{mode}\""))
        });
        discovery.await_watch(1);
        let polls_before = discovery.polls().len();
        let changes = [("s-old", old.address, "leaving"), ("s-new", new.address, "active")];
        discovery.reset();
        if !published_before_watch {
            wait_until("the watch is open again", || discovery.polls().len() > polls_before);
        }
        discovery.publish(2, list(2, false, &changes));
        discovery.await_watch(2);
        for _ in 0..4 {
            assert_eq!(sidecar.exchange(&request("book", "", "")).expect("a response").status(), 200);
        }
        assert_eq!((old.requests_handled(), new.requests_handled()), (0, 4), "{mode}");
    }
}

// Before the handler of SIGTERM is installed the signal kills the process; after that the process shuts down gracefully.
#[test]
fn signal_at_any_moment_of_start_ends_process() {
    let discovery = Discovery::start();
    for wait in 0..12 {
        let address = unused_address();
        let path = config_file(&config(address, discovery.address, "null"));
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
        command.env("LB_CONFIG", &path).env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        let mut process = command.stdin(std::process::Stdio::null()).spawn().expect("the process starts");
        thread::sleep(Duration::from_micros(500 * wait));
        let kill = std::process::Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
        let status = process.wait().expect("the process exits");
        let signal = std::os::unix::process::ExitStatusExt::signal(&status);
        assert!(status.code() == Some(0) || signal == Some(15), "{status:?}");
        let _ = std::fs::remove_file(path);
    }
}
