//! Sockets and what the system says of them.

use super::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// An address at which nobody listens. It is used once: other tests' sockets can't take it, nor does a socket to try it
/// out live on in a child that is just being started.
pub fn unused_address() -> SocketAddr {
    let (number, process) = (STARTED.fetch_add(1, Ordering::SeqCst), std::process::id());
    let host = [127, 1 + number % 250, u64::from(process / 250 % 250), u64::from(1 + process % 250)];
    let port = 10_000 + number % 50_000;
    SocketAddr::from((host.map(|byte| byte as u8), port as u16))
}

/// The ends of connections that some process here is trying to make to that port (state 2 of the system's table: SYN
/// sent).
pub fn diallers(address: SocketAddr) -> Vec<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let dialling = format!(":{:04X} 02 ", address.port());
    let of = |line: &str| line.split_whitespace().nth(1).map(str::to_owned);
    table.lines().filter(|line| line.contains(&dialling)).filter_map(of).collect()
}

/// Whether some process here is trying to connect to that port.
pub fn being_dialled(address: SocketAddr) -> bool {
    !diallers(address).is_empty()
}

/// A listener whose queue is full, and what fills it: the system drops further openings, and the client's system tries
/// again in a while.
pub fn full_queue() -> (TcpListener, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a free port");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let filler = TcpStream::connect(address).expect("one fits");
    let full = TcpStream::connect_timeout(&address, Duration::from_millis(300)).is_err();
    assert!(full, "the queue takes more than one");
    (listener, filler)
}

/// Bytes that lie unsent and unread at the ends of connections here, by the ports of this end and of the other.
fn queued(of: impl Fn(&str, &str) -> bool) -> (usize, usize) {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let queues = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (here, there, _) = (fields.next()?, fields.next()?, fields.next()?);
        let (unsent, unread) = fields.next()?.split_once(':')?;
        let bytes = |digits| usize::from_str_radix(digits, 16).ok();
        Some((bytes(unsent)?, bytes(unread)?)).filter(|_| of(here, there))
    };
    table.lines().filter_map(queues).fold((0, 0), |sum, (unsent, unread)| (sum.0 + unsent, sum.1 + unread))
}

fn port(port: u16) -> String {
    format!(":{port:04X}")
}

/// Bytes that have not left that port yet, or have not been acknowledged.
pub fn unsent(from: u16) -> usize {
    queued(|here, _| here.ends_with(&port(from))).0
}

/// Bytes that a sidecar has not read of what the client at that port has sent.
pub fn unread(sidecar: SocketAddr, client: u16) -> usize {
    queued(|here, there| here.ends_with(&port(sidecar.port())) && there.ends_with(&port(client))).1
}

/// Bytes that have not been read of what was sent from that port.
pub fn unread_from(from: u16) -> usize {
    queued(|_, there| there.ends_with(&port(from))).1
}
