//! The UDP socket over which the sidecars of a tier gossip. A tier is all sidecars of one service's clients.

use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Pause after a failed receive.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 256;

/// A datagram from a peer.
pub struct Datagram {
    /// The number of the peer.
    pub from: u32,
    /// Its contents.
    pub bytes: Vec<u8>,
}

/// The socket to the other sidecars of the tier.
#[derive(Clone)]
pub struct GossipSocket {
    socket: Rc<UdpSocket>,
    peers: Rc<[SocketAddr]>,
    broadcast: Option<SocketAddr>,
}

impl GossipSocket {
    /// Binds the socket. `peers` holds the peers' addresses, indexed by number; `broadcast` reaches all of them.
    pub fn bind(listen: SocketAddr, peers: &[SocketAddr], broadcast: Option<SocketAddr>) -> io::Result<Self> {
        let socket = StdSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket: Rc::new(UdpSocket::from_std(socket)?), peers: peers.into(), broadcast })
    }

    /// Sends a datagram to one peer, or to all. It is dropped if it can't be sent now, as datagrams may be lost anyway.
    pub fn send(&self, peer: Option<u32>, bytes: &[u8]) {
        let address = match peer {
            Some(number) => self.peers.get(number as usize).copied(),
            None => self.broadcast,
        };
        if let Some(address) = address.filter(|_| bytes.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.try_send_to(bytes, address);
        }
    }

    /// Receives the next datagram from a known peer. Other datagrams are dropped.
    pub async fn receive(&self) -> Datagram {
        // The extra byte shows whether a datagram is too long.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                // The rejection of an earlier send is reported here; the socket itself is still usable.
                sleep(RECEIVE_RETRY_PAUSE).await;
                continue;
            };
            let number = self.peers.iter().position(|address| *address == from);
            if let Some(number) = number.filter(|_| length <= MAX_DATAGRAM_BYTES) {
                return Datagram { from: number as u32, bytes: bytes[..length].to_vec() };
            }
        }
    }
}
