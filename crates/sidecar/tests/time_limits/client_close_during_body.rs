//! Clients that close with a body under way, while their request waits: the receive window is full, so the rest of the
//! body and the end stay in the client's system, and this one shows a connection with unread bytes and no end.

use super::*;
use crate::operation::{folder, shared_listener};
use crate::races::served;
use std::net::{SocketAddr, TcpStream};

/// Lengths of bodies: two that the window has room for, and some that it has not.
const LENGTHS: [usize; 6] = [100_000, 150_000, 200_000, 400_000, 1_000_000, 4_000_000];
/// Bytes of a chunk.
const CHUNK: usize = 10_000;
/// How long a process is held, by the operators' terms.
const HOLD: Duration = Duration::from_millis(150);
/// Clients whose half-sent bodies take the memory for bodies of a sidecar of 16 MB.
const MEMORY_HOLDERS: usize = 90;
/// Connections with half a head that take all permits of a sidecar of 64 descriptors.
const PERMIT_HOLDERS: usize = 30;
/// Requests that an endpoint is sent at a time at first.
const PLACES: usize = 2;
/// How long what a client left may take to be sent on.
const AFTERMATH: Duration = Duration::from_millis(600);

/// A request of each length and framing.
fn requests_with_bodies() -> Vec<Vec<u8>> {
    let framings = LENGTHS.into_iter().flat_map(|length| [sized(length), chunked(length)]);
    framings.collect()
}

fn sized(length: usize) -> Vec<u8> {
    request("book", "", &"b".repeat(length)).into_bytes()
}

fn chunked(length: usize) -> Vec<u8> {
    let head = request("book", "", "").replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
    let chunk = format!("{CHUNK:x}\r\n{}\r\n", "b".repeat(CHUNK));
    format!("{head}{}0\r\n\r\n", chunk.repeat(length / CHUNK)).into_bytes()
}

/// Writes as much as the system takes, and closes.
fn write_and_close(address: SocketAddr, request: &[u8]) {
    let mut client = TcpStream::connect(address).expect("the system accepts");
    client.set_nonblocking(true).expect("it can");
    let mut written = 0;
    while let Ok(length @ 1..) = client.write(&request[written..]) {
        written += length;
    }
}

/// Clients of all lengths and framings write and close.
fn all_leave(address: SocketAddr) {
    requests_with_bodies().iter().for_each(|request| write_and_close(address, request));
}

/// None of what clients left has reached the endpoint, though it has had the time.
fn assert_not_forwarded(endpoint: &Endpoint) {
    thread::sleep(AFTERMATH);
    assert_eq!(endpoint.heads(), 0, "requests of clients that had left were sent");
}

fn assert_serves(sidecar: &Sidecar, request: &[u8]) {
    let mut client = sidecar.connect();
    let mut writer = client.try_clone().expect("a descriptor");
    let answer = thread::scope(|scope| {
        // A sidecar that sheds the request reads no more of it.
        scope.spawn(move || writer.write_all(request));
        read_message(&mut client)
    });
    assert_eq!(answer.map(|m| m.status()), Some(200));
}

#[test]
fn does_not_forward_bodies_of_clients_that_left_a_passed_socket() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let listener = shared_listener();
    let folder = folder(&listener);
    all_leave(listener.local_addr().expect("an address"));
    thread::sleep(Duration::from_millis(350));
    let _sidecar = Sidecar::start_passed(&discovery, &[("s-1", &endpoint)], &listener, &folder);
    assert_not_forwarded(&endpoint);
}

#[test]
fn does_not_forward_bodies_of_clients_that_left_a_held_process() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    sidecar.signal("-STOP");
    all_leave(sidecar.address);
    thread::sleep(HOLD);
    sidecar.signal("-CONT");
    assert_not_forwarded(&endpoint);
    assert_serves(&sidecar, &sized(0));
}

#[test]
fn does_not_forward_bodies_of_clients_that_left_while_waiting_for_memory() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let little = |config: String| config.replace("\"memory_mb\":192", "\"memory_mb\":16");
    let sidecar = Sidecar::start_as(&discovery, &[("s-1", &endpoint)], 1024, little);
    let announced = request("book", "", "").replace("Content-Length: 0", "Content-Length: 70000");
    let mut holders: Vec<_> = (0..MEMORY_HOLDERS).map(|_| sidecar.connect()).collect();
    for holder in &mut holders {
        holder.write_all(announced.as_bytes()).expect("the system takes it");
    }
    thread::sleep(Duration::from_millis(200));
    all_leave(sidecar.address);
    thread::sleep(Duration::from_millis(800));
    drop(holders);
    assert_not_forwarded(&endpoint);
    assert_serves(&sidecar, &sized(0));
}

#[test]
fn does_not_forward_bodies_of_clients_that_left_while_waiting_for_a_permit() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let sidecar = Sidecar::start_with(&discovery, &[("s-1", &endpoint)], 1024, 64);
    let mut holders: Vec<_> = (0..PERMIT_HOLDERS).map(|_| sidecar.connect()).collect();
    for holder in &mut holders {
        holder.write_all(b"POST /api HTTP/1.1\r\nHost: ").expect("the system takes it");
    }
    thread::sleep(Duration::from_millis(50));
    all_leave(sidecar.address);
    thread::sleep(Duration::from_millis(400));
    drop(holders);
    assert_not_forwarded(&endpoint);
    assert_serves(&sidecar, &sized(0));
}

// A request that had not waited is sent as before, and one that had is read on until the socket shows its client.
#[test]
fn forwards_bodies_of_clients_that_stay_through_a_hold() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    for request in requests_with_bodies() {
        assert_serves(&sidecar, &request);
    }
    for request in requests_with_bodies() {
        sidecar.signal("-STOP");
        thread::scope(|scope| {
            let served = scope.spawn(|| assert_serves(&sidecar, &request));
            thread::sleep(HOLD);
            sidecar.signal("-CONT");
            served.join().expect("it is served");
        });
    }
}

// Their attempts wait for a place at the endpoint, with most of the bodies unread.
#[test]
fn does_not_forward_bodies_of_clients_that_left_while_waiting_for_an_endpoint() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| Reply::Later(Duration::from_millis(800), b"served".to_vec()));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let mut first: Vec<_> = (0..PLACES).map(|_| sidecar.connect()).collect();
    for client in &mut first {
        client.write_all(&sized(0)).expect("the system takes it");
    }
    wait_until("all places are taken", || endpoint.requests_begun() == PLACES);
    all_leave(sidecar.address);
    for client in &mut first {
        assert_eq!(read_message(client).map(|m| m.status()), Some(200));
    }
    thread::sleep(AFTERMATH);
    assert_eq!(endpoint.heads(), PLACES, "requests of clients that had left were sent");
}
