//! Bodies of all lengths, of requests and of responses.

use crate::stubs::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// The first read of a connection takes up to this many bytes, and a longer body is read in these and larger steps.
const FIRST_READ_BYTES: usize = 2 << 10;
const LARGER_READ_BYTES: [usize; 3] = [0, 16 << 10, 64 << 10];

/// A request whose head and body have that length together.
fn request_of_length(length: usize) -> String {
    let mut body = length;
    loop {
        let text = request("pay", "", &"b".repeat(body));
        if text.len() == length {
            return text;
        }
        body = body + length - text.len();
    }
}

fn body_of(text: &str) -> &[u8] {
    text.split_once("\r\n\r\n").expect("a head").1.as_bytes()
}

/// Sends a request, and checks that it was forwarded and answered with its own body.
fn exchange_echo(client: &mut TcpStream, text: &str) {
    client.write_all(text.as_bytes()).expect("the write succeeds");
    let response = read_message(client).unwrap_or_else(|| panic!("no response to {} bytes", text.len()));
    assert_eq!(response.status(), 200, "{} bytes", text.len());
    assert!(response.body == body_of(text), "{} bytes", text.len());
}

// A request whose last one to three bytes were read alone had its connection reset without an answer.
#[test]
fn answers_requests_whose_last_bytes_are_read_alone() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| Reply::Response(200, "", message.body.clone()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for larger in LARGER_READ_BYTES {
        for last in 0..=5 {
            let length = FIRST_READ_BYTES + larger + last;
            // First on its connection, and behind an answer.
            let mut client = sidecar.connect();
            exchange_echo(&mut client, &request_of_length(length));
            exchange_echo(&mut client, &request_of_length(length));
            // Its last bytes are sent alone.
            let text = request_of_length(length);
            let (start, end) = text.split_at(text.len() - last);
            client.write_all(start.as_bytes()).expect("the write succeeds");
            sleep(Duration::from_millis(10));
            client.write_all(end.as_bytes()).expect("the write succeeds");
            let response = read_message(&mut client);
            assert!(
                response.is_some_and(|r| r.status() == 200 && r.body == body_of(&text)),
                "{length} bytes, {last} of them alone"
            );
        }
    }
}

#[test]
fn forwards_bodies_of_many_lengths_unchanged() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| Reply::Response(200, "", message.body.clone()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut client = sidecar.connect();
    // A prime step meets every remainder of the sizes of reads.
    for length in (0..70_000).step_by(61) {
        exchange_echo(&mut client, &request("pay", "", &"b".repeat(length)));
    }
}
