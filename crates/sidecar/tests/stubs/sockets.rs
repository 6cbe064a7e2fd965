//! Addresses and listeners for tests, and the state of sockets according to `/proc/net/tcp`.

use super::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A loopback address at which nothing listens, different on each call. It is computed, and not found by binding a
/// socket: other tests' sockets, bound to port 0 of 127.0.0.1, can't get it, and no probe socket can stay open in a child
/// process that is being started at the same time.
pub fn unused_address() -> SocketAddr {
    let (number, process) = (NEXT_ID.fetch_add(1, Ordering::SeqCst), std::process::id());
    let host = [127, 1 + number % 250, u64::from(process / 250 % 250), u64::from(1 + process % 250)];
    let port = 10_000 + number % 50_000;
    SocketAddr::from((host.map(|byte| byte as u8), port as u16))
}

/// The local addresses of sockets that are connecting to this port (state 2 of the table, `SYN_SENT`).
pub fn dialling_sockets(address: SocketAddr) -> Vec<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let dialling = format!(":{:04X} 02 ", address.port());
    let local_address = |line: &str| line.split_whitespace().nth(1).map(str::to_owned);
    table.lines().filter(|line| line.contains(&dialling)).filter_map(local_address).collect()
}

/// Whether a socket on this machine is connecting to this port.
pub fn is_being_dialled(address: SocketAddr) -> bool {
    !dialling_sockets(address).is_empty()
}

/// A listener whose accept queue is full, and the connection that fills it. The kernel drops further SYNs, which the
/// connecting side retransmits later.
pub fn listener_with_full_queue() -> (TcpListener, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any_port.into()).and_then(|()| socket.listen(0)).expect("a free port");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let filler = TcpStream::connect(address).expect("one connection fits");
    let full = TcpStream::connect_timeout(&address, Duration::from_millis(300)).is_err();
    assert!(full, "the accept queue takes more than one connection");
    (listener, filler)
}

/// The sums of unsent and of unread bytes of the sockets that `selects` picks by local and remote address.
fn queued(selects: impl Fn(&str, &str) -> bool) -> (usize, usize) {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let queues = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote, _) = (fields.next()?, fields.next()?, fields.next()?);
        let (unsent, unread) = fields.next()?.split_once(':')?;
        let bytes = |digits| usize::from_str_radix(digits, 16).ok();
        Some((bytes(unsent)?, bytes(unread)?)).filter(|_| selects(local, remote))
    };
    table.lines().filter_map(queues).fold((0, 0), |sum, (unsent, unread)| (sum.0 + unsent, sum.1 + unread))
}

/// A port as `/proc/net/tcp` writes it at the end of an address.
fn port(port: u16) -> String {
    format!(":{port:04X}")
}

/// Bytes written at this local port that are not sent or not acknowledged yet.
pub fn unsent(local_port: u16) -> usize {
    queued(|local, _| local.ends_with(&port(local_port))).0
}

/// Bytes from the client at this port that the sidecar has received and not read yet.
pub fn unread(sidecar: SocketAddr, client: u16) -> usize {
    queued(|local, remote| local.ends_with(&port(sidecar.port())) && remote.ends_with(&port(client))).1
}

/// Bytes sent from this port that the receiver has not read yet.
pub fn unread_from(remote_port: u16) -> usize {
    queued(|_, remote| remote.ends_with(&port(remote_port))).1
}
