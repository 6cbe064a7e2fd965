//! Crossings of starts, reloads, lists and watches.

use super::*;
use crate::stubs::*;
use std::io::Write;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

// What is known from the start serves, whether discovery refuses, says nothing, or does not come up at all.
#[test]
fn starts_without_discovery() {
    let (silent, _filler) = full_queue();
    let mute = Discovery::start();
    mute.mute.store(true, std::sync::atomic::Ordering::SeqCst);
    let addresses = [unused_address(), silent.local_addr().expect("an address"), mute.address];
    for (at, mode) in addresses.into_iter().flat_map(|at| [(at, "pushed"), (at, "on_request")]) {
        let endpoint = Endpoint::start(served);
        let mut discovery = Discovery::start();
        discovery.address = at;
        let began = Instant::now();
        let sidecar = Sidecar::start_as(&discovery, &[("s-1", &endpoint)], 1024, |config| {
            config.replace("\"on_request\"", &format!("\"{mode}\""))
        });
        assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("an answer").status(), 200);
    }
}

// Whichever came last stands in the file; what the others still say is of no account, and versions start anew.
#[test]
fn follows_last_of_two_reloads() {
    let [first, second, third] = [(); 3].map(|()| Discovery::start());
    let [old, middle, new] =
        ["old", "middle", "new"].map(|body| Endpoint::start(move |_| Reply::Answer(200, "", body.into())));
    let sidecar = Sidecar::start(&first, &[("s-old", &old)]);
    first.publish(90, list(90, true, &[("s-old", old.address, "active")]));
    first.await_watch(90);
    // Its answer does not come, whatever is published there.
    second.mute.store(true, std::sync::atomic::Ordering::SeqCst);
    sidecar.reload(&config(sidecar.address, second.address, "null"));
    wait_until("the second is asked", || second.calls().len() == 1);
    sidecar.reload(&config(sidecar.address, third.address, "null"));
    third.publish(2, list(2, true, &[("s-new", new.address, "active")]));
    third.await_watch(2);
    second.mute.store(false, std::sync::atomic::Ordering::SeqCst);
    second.publish(95, list(95, true, &[("s-middle", middle.address, "active")]));
    first.publish(96, list(96, true, &[("s-old", old.address, "active")]));
    third.publish(3, list(3, false, &[]));
    third.await_watch(3);
    for _ in 0..4 {
        assert_eq!(sidecar.exchange(&request("book", "", "")).expect("an answer").body, b"new");
    }
    assert_eq!((old.requests(), middle.requests(), second.calls().len()), (0, 0, 1));
}

/// After a reload, all that discovery has to report counts as told within 4 s, and nothing new goes to a server that is
/// gone 2 s after that.
const FOLLOWED: Duration = Duration::from_secs(6);

#[test]
fn reload_takes_effect_despite_slow_discovery() {
    let follows = |takes: Duration| {
        let (first, slow) = (Discovery::start(), Discovery::start());
        let [old, new] = [(); 2].map(|()| Endpoint::start(served));
        let sidecar = Sidecar::start(&first, &[("s-old", &old)]);
        first.publish(7, list(7, true, &[("s-old", old.address, "active")]));
        first.await_watch(7);
        *slow.slow.lock().expect("no stub panics") = takes;
        slow.publish(2, list(2, true, &[("s-new", new.address, "active")]));
        sidecar.reload(&config(sidecar.address, slow.address, "null"));
        thread::sleep(FOLLOWED);
        for _ in 0..4 {
            assert_eq!(sidecar.exchange(&request("look", "", "")).expect("an answer").status(), 200);
        }
        (old.requests(), new.requests())
    };
    let all = [1_500, 2_500, 3_500].map(Duration::from_millis);
    let sent = thread::scope(|scope| {
        let plays = all.map(|takes| scope.spawn(move || follows(takes)));
        plays.map(|play| play.join().expect("it is played"))
    });
    assert_eq!(sent, [(0, 4); 3], "requests to the old server and to the new one");
}

#[test]
fn accepts_indented_list() {
    let discovery = Discovery::start();
    let [old, new] = [(); 2].map(|()| Endpoint::start(served));
    let sidecar = Sidecar::start(&discovery, &[("s-old", &old)]);
    let text = list(2, true, &[("s-new", new.address, "active")]);
    let indented =
        serde_json::from_str::<serde_json::Value>(&text).and_then(|v| serde_json::to_string_pretty(&v));
    let indented = indented.expect("a list").replace('\n', "\r\n\t");
    discovery.publish(2, indented);
    discovery.await_watch(2);
    assert_eq!(sidecar.exchange(&request("book", "", "")).expect("an answer").status(), 200);
    assert_eq!((old.requests(), new.requests()), (0, 1));
}

// A reset is no end: only a whole stop of the stream is, where an answer says that it ends so.
#[test]
fn answer_ended_by_close_is_complete_only_without_reset() {
    let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello";
    for ends in ["well", "reset", "never", "in its head"] {
        let discovery = Discovery::start();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let sidecar = Sidecar::start(&discovery, &[]);
        discovery.publish(2, list(2, false, &[("s-1", address, "active")]));
        discovery.await_watch(2);
        let mut client = sidecar.connect();
        let submitted = request("book", "", "").replace("19000m", "900m");
        client.write_all(submitted.as_bytes()).expect("the sidecar takes it");
        let (mut stream, _) = listener.accept().expect("a connection");
        read_message(&mut stream).expect("a request");
        stream.write_all(if ends == "in its head" { &head[..9] } else { head }).expect("it is taken");
        // What was written is there before the reset, which would else overtake it.
        let port = stream.local_addr().expect("an address").port();
        wait_until("it has been read", || unread_from(port) == 0);
        if ends == "reset" {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("it can");
        }
        let open_stream = Some(stream).filter(|_| ends == "never");
        let result = next(&mut client);
        match ends {
            "well" => assert_eq!(result, Next::Status(200)),
            // Passed on while it came, it breaks off for the client as well.
            _ => assert!(matches!(result, Next::Status(502) | Next::Reset), "{ends}: {result:?}"),
        }
        drop(open_stream);
    }
}

// Its openings were lost while it was away, and the system's own next try may be 4 s off: what leaves would be sent to
// until then, and is told as soon as discovery is back.
#[test]
fn redials_discovery_soon_when_connection_does_not_come_up() {
    let (listener, _filler) = full_queue();
    let mut discovery = Discovery::start();
    discovery.address = listener.local_addr().expect("an address");
    let endpoint = Endpoint::start(served);
    let pushed = |config: String| config.replace("\"on_request\"", "\"pushed\"");
    let _sidecar = Sidecar::start_as(&discovery, &[("s-1", &endpoint)], 1024, pushed);
    // Each dial has a port of its own. By the time that a call may take, the second would come after 6 s.
    let (began, seen) = (Instant::now(), Mutex::new(std::collections::BTreeSet::new()));
    wait_until("it is dialled three times", || {
        let mut seen = seen.lock().expect("no panic");
        seen.extend(diallers(discovery.address));
        seen.len() >= 3
    });
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

// Whether what leaves is told before the watch is open again or after that.
#[test]
fn follows_changes_around_reset_of_watch() {
    for (mode, before) in [("pushed", true), ("pushed", false), ("on_request", true), ("on_request", false)] {
        let discovery = Discovery::start();
        let [old, new] = [(); 2].map(|()| Endpoint::start(served));
        let sidecar = Sidecar::start_as(&discovery, &[("s-old", &old)], 1024, |config| {
            config.replace("\"on_request\"", &format!("\"{mode}\""))
        });
        discovery.await_watch(1);
        let calls = discovery.calls().len();
        let changes = [("s-old", old.address, "leaving"), ("s-new", new.address, "active")];
        discovery.reset();
        if !before {
            wait_until("the watch is open again", || discovery.calls().len() > calls);
        }
        discovery.publish(2, list(2, false, &changes));
        discovery.await_watch(2);
        for _ in 0..4 {
            assert_eq!(sidecar.exchange(&request("book", "", "")).expect("an answer").status(), 200);
        }
        assert_eq!((old.requests(), new.requests()), (0, 4), "{mode}");
    }
}

// Before its handler stands the system ends it; from then on it stops as it always does.
#[test]
fn signal_at_any_moment_of_start_ends_process() {
    let discovery = Discovery::start();
    for wait in 0..12 {
        let address = unused_address();
        let path = config_file(&config(address, discovery.address, "null"));
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
        command.env("LB_CONFIG", &path).env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        let mut process = command.stdin(std::process::Stdio::null()).spawn().expect("it starts");
        thread::sleep(Duration::from_micros(500 * wait));
        let kill = std::process::Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
        let status = process.wait().expect("it ends");
        let signal = std::os::unix::process::ExitStatusExt::signal(&status);
        assert!(status.code() == Some(0) || signal == Some(15), "{status:?}");
        let _ = std::fs::remove_file(path);
    }
}
