//! Endpoints that respond before they have received the whole request.

use super::{bytes, head};
use crate::stubs::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The bytes that the sidecar buffers before it makes the first attempt.
const START_BYTES: usize = 64 << 10;
/// The client sends the rest in pieces of this size, with a pause after each, so that it arrives after the response.
const PIECE_BYTES: usize = 16_000;
const PIECE_PAUSE: Duration = Duration::from_millis(100);
const BODY_BYTES: usize = START_BYTES + 8 * PIECE_BYTES;

/// An endpoint that responds to some requests as soon as it has their heads, and reads and discards their bodies.
struct EarlyResponder {
    address: SocketAddr,
    /// The requests that were received completely, and run.
    run: Arc<Mutex<Vec<Message>>>,
    early_responses: Arc<Mutex<usize>>,
}

impl EarlyResponder {
    /// Responds early to the first `count` requests.
    fn start(count: usize, response: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (run, early_responses) = (Arc::default(), Arc::default());
        let endpoint = Self { address, run: Arc::clone(&run), early_responses: Arc::clone(&early_responses) };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (run, early_responses) = (Arc::clone(&run), Arc::clone(&early_responses));
                thread::spawn(move || serve(stream, (count, response), &early_responses, &run));
            }
        });
        endpoint
    }

    fn early_responses(&self) -> usize {
        *self.early_responses.lock().expect("the lock is not poisoned")
    }

    /// The bodies of the requests with this id that were run.
    fn bodies_run(&self, id: &str) -> Vec<Vec<u8>> {
        let run = self.run.lock().expect("the lock is not poisoned");
        let with_id = run.iter().filter(|message| message.header("x-correlation-id") == Some(id));
        with_id.map(|message| message.body.clone()).collect()
    }
}

fn serve(
    mut stream: TcpStream,
    (count, response): (usize, &[u8]),
    early_responses: &Mutex<usize>,
    run: &Mutex<Vec<Message>>,
) {
    stream.set_nodelay(true).expect("the option can be set");
    while let Some(head) = read_head(&mut stream) {
        let is_early = {
            let mut so_far = early_responses.lock().expect("the lock is not poisoned");
            *so_far += 1;
            *so_far <= count
        };
        if is_early {
            stream.write_all(response).expect("the write succeeds");
        }
        let Some(message) = read_body(head, &mut stream) else { return };
        if !is_early {
            write_response(&mut stream, 200, "", message.body.len().to_string().as_bytes());
            run.lock().expect("the lock is not poisoned").push(message);
        }
    }
}

const TURNED_AWAY: &[u8] = b"HTTP/1.1 503 stub\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
const FAILED: &[u8] = b"HTTP/1.1 500 stub\r\nContent-Length: 4\r\n\r\nfail";
const FAILED_IN_CHUNKS: &[u8] =
    b"HTTP/1.1 500 stub\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\n\r\n";

/// Starts a sidecar with one endpoint. It waits between 1/64 and 1/8 of `aim_us`, the latency objective, before it makes
/// a further attempt.
fn start_sidecar(discovery: &Discovery, endpoint: SocketAddr, aim_us: u32) -> Sidecar {
    let sidecar = Sidecar::start_with_config(discovery, &[], 1024, |config| {
        config.replace("\"AimUs\":8000000", &format!("\"AimUs\":{aim_us}"))
    });
    discovery.publish(2, list(2, true, &[("s-1", endpoint, "active")]));
    discovery.await_watch(2);
    sidecar
}

/// The id in the head of a request.
fn id_of(head: &[u8]) -> String {
    let head = String::from_utf8_lossy(head);
    let line = head.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: "));
    line.expect("an id").to_owned()
}

/// Posts `body` so slowly that the endpoint responds, and is tried again, while it is sent; returns id and response.
fn post_slowly(sidecar: &Sidecar, body: &[u8], chunked: bool) -> (String, Message) {
    let request_head = match chunked {
        true => head("Transfer-Encoding: chunked\r\n"),
        false => head(&format!("Content-Length: {}\r\n", body.len())),
    };
    let mut client = sidecar.connect();
    client.write_all(&request_head).expect("the write succeeds");
    let (start, rest) = body.split_at(START_BYTES);
    for piece in std::iter::once(start).chain(rest.chunks(PIECE_BYTES)) {
        let written = match chunked {
            true => client
                .write_all(format!("{:x}\r\n", piece.len()).as_bytes())
                .and_then(|()| client.write_all(piece))
                .and_then(|()| client.write_all(b"\r\n")),
            false => client.write_all(piece),
        };
        written.expect("the write succeeds");
        thread::sleep(PIECE_PAUSE);
    }
    if chunked {
        client.write_all(b"0\r\n\r\n").expect("the write succeeds");
    }
    (id_of(&request_head), read_message(&mut client).expect("a response"))
}

// The rest of the first attempt's body went ahead of the second attempt on the same connection, which then sent the
// buffered start as if it were the whole body.
#[test]
fn sends_whole_body_again_after_early_response() {
    for response in [TURNED_AWAY, FAILED, FAILED_IN_CHUNKS] {
        for chunked in [true, false] {
            let discovery = Discovery::start();
            let endpoint = EarlyResponder::start(1, response);
            let sidecar = start_sidecar(&discovery, endpoint.address, 800_000);
            let body = bytes(BODY_BYTES);
            let (id, answer) = post_slowly(&sidecar, &body, chunked);
            let run = endpoint.bodies_run(&id);
            let lengths: Vec<_> = run.iter().map(Vec::len).collect();
            let case = format!("{:?}, chunked: {chunked}", String::from_utf8_lossy(response));
            assert!(run.iter().all(|run| *run == body), "{case}: bodies of {lengths:?} bytes were run");
            assert_eq!((answer.status(), run.len()), (200, 1), "{case}");
        }
    }
}

// Another request on the connection of an unfinished one would wait for that one's client, and take its body from the
// next attempt.
#[test]
fn sends_no_other_request_behind_unfinished_body() {
    for chunked in [true, false] {
        let discovery = Discovery::start();
        let endpoint = EarlyResponder::start(1, TURNED_AWAY);
        let sidecar = start_sidecar(&discovery, endpoint.address, 4_000_000);
        let body = bytes(BODY_BYTES);
        thread::scope(|scope| {
            let posting = scope.spawn(|| post_slowly(&sidecar, &body, chunked));
            wait_until("the endpoint has responded", || endpoint.early_responses() == 1);
            // Until the connection could be used again.
            thread::sleep(Duration::from_millis(10));
            let other = sidecar.exchange(&request("look", "", "")).expect("a response");
            assert_eq!(other.status(), 200);
            assert!(!posting.is_finished(), "the other request waited for the body, chunked: {chunked}");
            let (id, answer) = posting.join().expect("the thread does not panic");
            let run = endpoint.bodies_run(&id);
            assert!(run.iter().all(|run| *run == body), "a part was run, chunked: {chunked}");
            assert_eq!((answer.status(), run.len()), (200, 1), "chunked: {chunked}");
        });
    }
}
