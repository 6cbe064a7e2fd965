//! Clients that close their connection while their request waits and its body is partly received. The receive window is
//! full, so the rest of the body and the end of the connection stay in the client's socket, and the sidecar's socket
//! shows unread bytes and no end.

use super::*;
use crate::operation::{shared_listener, state_folder};
use crate::races::reply_ok;
use std::net::{SocketAddr, TcpStream};

/// Lengths of bodies: two that fit into the receive window, and longer ones.
const BODY_LENGTHS: [usize; 6] = [100_000, 150_000, 200_000, 400_000, 1_000_000, 4_000_000];
/// Length of a chunk.
const CHUNK_BYTES: usize = 10_000;
/// How long the sidecar process is stopped (SIGSTOP), as in the operators' continuous test.
const STOP_TIME: Duration = Duration::from_millis(150);
/// Number of clients whose partly sent bodies reserve the memory for bodies of a sidecar with 16 MB.
const MEMORY_HOLDERS: usize = 90;
/// Number of connections with an incomplete head that hold all permits of a sidecar with 64 descriptors.
const PERMIT_HOLDERS: usize = 30;
/// Number of requests that an endpoint is sent at a time at first.
const CONCURRENCY_LIMIT: usize = 2;
/// Time in which a request that a closed client has left would be forwarded.
const FORWARD_TIME: Duration = Duration::from_millis(600);

/// A request of each length and framing.
fn requests_with_bodies() -> Vec<Vec<u8>> {
    let framings = BODY_LENGTHS.into_iter().flat_map(|length| [sized(length), chunked(length)]);
    framings.collect()
}

fn sized(length: usize) -> Vec<u8> {
    request("book", "", &"b".repeat(length)).into_bytes()
}

fn chunked(length: usize) -> Vec<u8> {
    let head = request("book", "", "").replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
    format!("{head}{}0\r\n\r\n", chunk.repeat(length / CHUNK_BYTES)).into_bytes()
}

/// Writes as much as the socket buffers take, and closes.
fn write_and_close(address: SocketAddr, request: &[u8]) {
    let mut client = TcpStream::connect(address).expect("the system accepts");
    client.set_nonblocking(true).expect("the mode can be set");
    let mut written = 0;
    while let Ok(length @ 1..) = client.write(&request[written..]) {
        written += length;
    }
}

/// Calls [`write_and_close`] with requests of all lengths and framings.
fn all_write_and_close(address: SocketAddr) {
    requests_with_bodies().iter().for_each(|request| write_and_close(address, request));
}

/// Asserts that no request of a closed client reaches the endpoint, after time enough to be forwarded.
fn assert_not_forwarded(endpoint: &Endpoint) {
    thread::sleep(FORWARD_TIME);
    assert_eq!(endpoint.request_heads(), 0, "requests of closed clients were forwarded");
}

fn assert_serves(sidecar: &Sidecar, request: &[u8]) {
    let mut client = sidecar.connect();
    let mut writer = client.try_clone().expect("a descriptor");
    let response = thread::scope(|scope| {
        // The write fails if the sidecar sheds the request and reads no more of it.
        scope.spawn(move || writer.write_all(request));
        read_message(&mut client)
    });
    assert_eq!(response.map(|m| m.status()), Some(200));
}

#[test]
fn does_not_forward_bodies_of_clients_closed_before_process_start() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let listener = shared_listener();
    let folder = state_folder(&listener);
    all_write_and_close(listener.local_addr().expect("an address"));
    thread::sleep(Duration::from_millis(350));
    let _sidecar = Sidecar::start_on_inherited_socket(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    assert_not_forwarded(&endpoint);
}

#[test]
fn does_not_forward_bodies_of_clients_closed_while_process_is_stopped() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    sidecar.signal("-STOP");
    all_write_and_close(sidecar.address);
    thread::sleep(STOP_TIME);
    sidecar.signal("-CONT");
    assert_not_forwarded(&endpoint);
    assert_serves(&sidecar, &sized(0));
}

#[test]
fn does_not_forward_bodies_of_clients_closed_while_waiting_for_memory() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let with_little_memory = |config: String| config.replace("\"memory_mb\":192", "\"memory_mb\":16");
    let sidecar = Sidecar::start_with_config(&discovery, &[("s-1", &endpoint)], 1024, with_little_memory);
    let head = request("book", "", "").replace("Content-Length: 0", "Content-Length: 70000");
    let mut holders: Vec<_> = (0..MEMORY_HOLDERS).map(|_| sidecar.connect()).collect();
    for holder in &mut holders {
        holder.write_all(head.as_bytes()).expect("the write succeeds");
    }
    thread::sleep(Duration::from_millis(200));
    all_write_and_close(sidecar.address);
    thread::sleep(Duration::from_millis(800));
    drop(holders);
    assert_not_forwarded(&endpoint);
    assert_serves(&sidecar, &sized(0));
}

#[test]
fn does_not_forward_bodies_of_clients_closed_while_waiting_for_a_permit() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let sidecar = Sidecar::start_with_descriptors(&discovery, &[("s-1", &endpoint)], 1024, 64);
    let mut holders: Vec<_> = (0..PERMIT_HOLDERS).map(|_| sidecar.connect()).collect();
    for holder in &mut holders {
        holder.write_all(b"POST /api HTTP/1.1\r\nHost: ").expect("the write succeeds");
    }
    thread::sleep(Duration::from_millis(50));
    all_write_and_close(sidecar.address);
    thread::sleep(Duration::from_millis(400));
    drop(holders);
    assert_not_forwarded(&endpoint);
    assert_serves(&sidecar, &sized(0));
}

// A request that has not waited is forwarded as usual. Of one that has waited, the sidecar reads on until the socket shows
// whether the client is still connected.
#[test]
fn forwards_bodies_of_clients_that_stay_connected_while_process_is_stopped() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for request in requests_with_bodies() {
        assert_serves(&sidecar, &request);
    }
    for request in requests_with_bodies() {
        sidecar.signal("-STOP");
        thread::scope(|scope| {
            let exchange = scope.spawn(|| assert_serves(&sidecar, &request));
            thread::sleep(STOP_TIME);
            sidecar.signal("-CONT");
            exchange.join().expect("the thread does not panic");
        });
    }
}

// Their attempts wait for the endpoint, which is at its concurrency limit, with most of the bodies unread.
#[test]
fn does_not_forward_bodies_of_clients_closed_while_waiting_for_an_endpoint() {
    let discovery = Discovery::start();
    let endpoint =
        Endpoint::start(|_| Reply::DelayedResponse(Duration::from_millis(800), b"served".to_vec()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut occupying_clients: Vec<_> = (0..CONCURRENCY_LIMIT).map(|_| sidecar.connect()).collect();
    for client in &mut occupying_clients {
        client.write_all(&sized(0)).expect("the write succeeds");
    }
    wait_until("the concurrency limit is reached", || endpoint.requests_received() == CONCURRENCY_LIMIT);
    all_write_and_close(sidecar.address);
    for client in &mut occupying_clients {
        assert_eq!(read_message(client).map(|m| m.status()), Some(200));
    }
    thread::sleep(FORWARD_TIME);
    assert_eq!(endpoint.request_heads(), CONCURRENCY_LIMIT, "requests of closed clients were forwarded");
}
