//! Bodies and answers that are too large to be kept.

use crate::stubs::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const LARGE: usize = 9 << 20;

/// Bytes of which no two stretches are alike.
fn bytes(length: usize) -> Vec<u8> {
    let mut state = 7u32;
    let mut next = || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (state >> 24) as u8
    };
    (0..length).map(|_| next()).collect()
}

/// The head of a keyed request with these lines on its body, under an id of its own.
fn head(lines: &str) -> Vec<u8> {
    request("pay", "", "").replace("Content-Length: 0\r\n", lines).into_bytes()
}

fn in_chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut chunked = Vec::new();
    for piece in body.chunks(size) {
        chunked.extend(format!("{:X};ext=\"a b\"\r\n", piece.len()).bytes());
        chunked.extend(piece);
        chunked.extend(b"\r\n");
    }
    chunked.extend(b"0\r\nX-Sum: 7\r\n\r\n");
    chunked
}

#[test]
fn forwards_bodies_of_any_size_and_framing() {
    let discovery = Discovery::start();
    // What was asked comes back, framed as it came.
    let endpoint = Endpoint::start(|message| match message.header("transfer-encoding") {
        Some(_) => {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            let answer = [head, in_chunks(&message.body, 50_000)].concat();
            Reply::Raw([b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(), answer].concat(), None)
        }
        None => Reply::Answer(200, "", message.body.clone()),
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    for length in [0, 1, 65_535, 65_536, 65_537, 200_000, LARGE] {
        let body = bytes(length);
        let sized = [head(&format!("Content-Length: {length}\r\n")), body.clone()].concat();
        let chunked = [head("Transfer-Encoding: chunked\r\n"), in_chunks(&body, 9_999)].concat();
        let submitted = head(&format!("Expect: 100-continue\r\nContent-Length: {length}\r\n"));
        let expecting = [submitted, body.clone()].concat();
        for (form, submitted) in [("sized", sized), ("chunked", chunked), ("expecting", expecting)] {
            let mut writer = client.try_clone().expect("a descriptor");
            let mut answer = thread::scope(|scope| {
                scope.spawn(move || writer.write_all(&submitted).expect("the sidecar takes it"));
                read_message(&mut client).expect("an answer")
            });
            if answer.status() == 100 {
                answer = read_message(&mut client).expect("an answer");
            }
            assert_eq!((answer.status(), answer.body.len()), (200, length), "{form}");
            assert!(answer.body == body, "{form} {length}");
        }
    }
    let seen = endpoint.seen.lock().expect("no stub panics");
    assert!(seen.iter().all(|m| m.header("x-sum").is_none() && m.header("expect").is_none()));
}

// Clients may write in pieces of any size, and the end of the head in several.
#[test]
fn recognises_end_of_head_received_in_pieces() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Answer(200, "", b"ok".to_vec()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    for cut in 1..=4 {
        let head = request("look", "", "");
        let (first, last) = head.as_bytes().split_at(head.len() - cut);
        for piece in [first, last] {
            client.write_all(piece).expect("the sidecar takes it");
            thread::sleep(Duration::from_millis(50));
        }
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!(answer.status(), 200, "{cut}");
    }
}

// Each would take more than the sidecar may have, all of them 20 times as much.
#[test]
fn slow_readers_and_endpoints_use_bounded_memory() {
    let discovery = Discovery::start();
    let body = bytes(LARGE);
    let answer = body.clone();
    let endpoint = Endpoint::start(move |message| match message.body.len() {
        0 => Reply::Answer(200, "", answer.clone()),
        _ => Reply::Answer(200, "", Vec::new()),
    });
    let sidecar = Sidecar::start_as(&discovery, &[("s-1", &endpoint)], 1024, |config| {
        config.replace("\"memory_mb\":192", "\"memory_mb\":16")
    });
    let mut readers: Vec<_> = (0..16)
        .map(|_| {
            let mut client = sidecar.connect();
            client.write_all(request("look", "", "").as_bytes()).expect("the sidecar takes it");
            client
        })
        .collect();
    wait_until("all of them are asked", || endpoint.requests() == 16);
    thread::sleep(Duration::from_millis(500));
    thread::scope(|scope| {
        for client in &mut readers {
            scope.spawn(|| assert!(read_message(client).expect("an answer").body == body));
        }
        for _ in 0..8 {
            let submitted = [head(&format!("Content-Length: {LARGE}\r\n")), body.clone()].concat();
            let mut client = sidecar.connect();
            scope.spawn(move || {
                client.write_all(&submitted).expect("the sidecar takes it");
                assert_eq!(read_message(&mut client).expect("an answer").status(), 200);
            });
        }
    });
    let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.process.id())).expect("it runs");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    let peak_kb: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak_kb < 16 << 10, "{peak_kb} kB");
}

/// What comes up to the end of the connection; whether that was a reset.
fn read_to_end(client: &mut TcpStream) -> (Vec<u8>, bool) {
    client.set_read_timeout(Some(LONG)).expect("a time-out can be set");
    let (mut all, mut piece) = (Vec::new(), [0; 65_536]);
    loop {
        match client.read(&mut piece) {
            Ok(0) => return (all, false),
            Ok(length) => all.extend(&piece[..length]),
            Err(e) => return (all, e.kind() == std::io::ErrorKind::ConnectionReset),
        }
    }
}

#[test]
fn truncated_streamed_answer_is_recognisable_to_client() {
    let half = bytes(300_000);
    for (lines, close, old) in [
        ("Content-Length: 600000\r\n", false, false),
        ("Content-Length: 600000\r\n", false, true),
        ("Transfer-Encoding: chunked\r\n", true, false),
        ("Transfer-Encoding: chunked\r\n", true, true),
    ] {
        let discovery = Discovery::start();
        let body = half.clone();
        let endpoint = Endpoint::start(move |_| {
            let head = format!("HTTP/1.1 200 OK\r\n{lines}\r\n").into_bytes();
            let body = match lines.contains("chunked") {
                true => [b"927C0\r\n".to_vec(), body.clone()].concat(),
                false => body.clone(),
            };
            Reply::Raw([head, body].concat(), None)
        });
        let sidecar = Sidecar::start_as(&discovery, &[("s-1", &endpoint)], 1024, |config| {
            // What stands still is given up after the longest of these.
            config.replace("\"DeadlineUs\":20000000", "\"DeadlineUs\":1000000").replace("8000000", "800000")
        });
        let submitted = request("look", "", "");
        let submitted = if old { submitted.replace("HTTP/1.1", "HTTP/1.0") } else { submitted };
        let mut client = sidecar.connect();
        client.write_all(submitted.as_bytes()).expect("the sidecar takes it");
        let (all, reset) = read_to_end(&mut client);
        let end = all.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
        let head = String::from_utf8_lossy(&all[..end]).to_ascii_lowercase();
        assert!(head.starts_with("http/1.1 200"), "{head}");
        let complete = match (head.contains("content-length: 600000"), head.contains("chunked")) {
            (true, false) => all.len() - end == 600_000,
            (false, true) => all.ends_with(b"0\r\n\r\n"),
            _ => !reset,
        };
        assert!(!complete && (close || head.contains("content-length")), "{head}");
        assert!(!(old && head.contains("chunked")), "{head}");
        assert_eq!(endpoint.requests(), 1, "once a byte is out there is no other try");
    }
}

// Beyond what is kept it is gone, and what is gone can't go out again. It has surely not run.
#[test]
fn retries_large_body_only_while_completely_buffered() {
    let discovery = Discovery::start();
    let (refusing, good) = (unused_address(), Endpoint::start(|_| Reply::Answer(200, "", Vec::new())));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &good)]);
    discovery.publish(2, list(2, false, &[("s-2", refusing, "active")]));
    discovery.await_watch(2);
    let exchange = || {
        let submitted = [head(&format!("Content-Length: {LARGE}\r\n")), bytes(LARGE)].concat();
        let mut client = sidecar.connect();
        client.write_all(&submitted).expect("the sidecar takes it");
        read_message(&mut client).expect("an answer").status()
    };
    // Two turns go round both.
    assert_eq!([exchange(), exchange()], [200, 200]);
    let closing = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let entry = [("s-3", closing.local_addr().expect("an address"), "active")];
    discovery.publish(3, list(3, true, &entry));
    discovery.await_watch(3);
    let breaking = thread::spawn(move || {
        let (mut stream, _) = closing.accept().expect("a connection");
        stream.read_exact(&mut vec![0; 1 << 20]).expect("some of it");
        drop(stream);
        closing.set_nonblocking(true).expect("it can");
        thread::sleep(Duration::from_millis(500));
        closing.accept().is_ok()
    });
    assert_eq!(exchange(), 503, "it has not run");
    assert!(!breaking.join().expect("no stub panics"), "it was sent again");
}

// For longer than the time of a whole head, and its own time counts from its end.
#[test]
fn accepts_slow_body_but_rejects_stalled_one() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| Reply::Answer(200, "", message.body.len().to_string().into()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let body = bytes(230_000);
    let mut client = sidecar.connect();
    let submitted = String::from_utf8(head(&format!("Content-Length: {}\r\n", body.len()))).expect("text");
    client.write_all(submitted.replace("19000m", "1000m").as_bytes()).expect("the sidecar takes it");
    for piece in body.chunks(8_000) {
        thread::sleep(Duration::from_millis(125));
        client.write_all(piece).expect("the sidecar takes it");
    }
    let answer = read_message(&mut client).expect("an answer");
    assert_eq!((answer.status(), answer.body), (200, b"230000".to_vec()));

    let before = endpoint.requests();
    for sent in [100, 30_000, 200_000] {
        let mut client = sidecar.connect();
        let submitted =
            [head(&format!("Content-Length: {}\r\n", body.len())), body[..sent].to_vec()].concat();
        client.write_all(&submitted).expect("the sidecar takes it");
        let fell_silent = Instant::now();
        assert_eq!(read_message(&mut client).expect("an answer").status(), 408);
        assert!(await_close(&mut client) && fell_silent.elapsed() < LONG / 3);
    }
    assert_eq!(endpoint.requests(), before);
}

// One that may go on for long. The rest comes when the client has the first of it.
#[test]
fn streams_slow_answer_of_unknown_length() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| {
        let first = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n".to_vec();
        Reply::Raw(first, Some((Duration::from_secs(2), b"4\r\nrest\r\n0\r\n\r\n".to_vec())))
    });
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    client.write_all(request("look", "", "").as_bytes()).expect("the sidecar takes it");
    let (submitted, mut begun) = (Instant::now(), Vec::new());
    while !begun.ends_with(b"first\r\n") {
        let mut byte = [0];
        client.read_exact(&mut byte).expect("it begins");
        begun.push(byte[0]);
    }
    assert!(submitted.elapsed() < Duration::from_millis(1500), "{:?}", submitted.elapsed());
    let mut rest = vec![0; b"4\r\nrest\r\n0\r\n\r\n".len()];
    client.read_exact(&mut rest).expect("it goes on");
    assert_eq!(rest, b"4\r\nrest\r\n0\r\n\r\n");
}
