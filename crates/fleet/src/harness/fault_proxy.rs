//! A relay of our own on a link: delays, holds back, cuts in one direction or both, resets, leaves half open.
//!
//! A cut is what TCP makes of one: bytes are held back and come once the link is whole again, and a new connection
//! does not come up. For the latter the relay fills the queue of its own listening socket, beyond which the system
//! answers nobody.

use super::now_micros;
use super::sent_requests::{SentRequest, SentRequestParser};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Connections that may wait to be accepted while the link is whole.
const QUEUE: i32 = 1024;

/// How a link is. The side that dials is the client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Link {
    /// Added to each byte's way, each way.
    pub delay: Duration,
    /// Bytes a second each way; 0 for no bound.
    pub bandwidth: u64,
    /// Nothing comes to the server, and no new connection comes up.
    pub cut_up: bool,
    /// Nothing comes to the client, and no new connection comes up.
    pub cut_down: bool,
    /// Each connection stands still after so many bytes from the server; 0 for never.
    pub stall_after: u64,
    /// The server's ends are not passed on: the client's connections stay open and silent.
    pub half_open: bool,
}

impl Link {
    /// Cut in both directions.
    pub fn cut() -> Self {
        Self { cut_up: true, cut_down: true, ..Self::default() }
    }
}

/// A relay. It ends when this is dropped.
pub struct FaultProxy {
    /// Where clients dial.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    resets: watch::Sender<u64>,
    seen: Arc<Traffic>,
    task: tokio::task::AbortHandle,
}

/// What a relay has seen.
#[derive(Default)]
struct Traffic {
    /// Bytes passed on, both ways together.
    bytes: AtomicU64,
    /// Requests that clients have sent, also those that came no further.
    sent: Mutex<Vec<SentRequest>>,
}

impl Traffic {
    fn note(&self, sent: Vec<SentRequest>) {
        if !sent.is_empty() {
            self.sent.lock().unwrap_or_else(PoisonError::into_inner).extend(sent);
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultProxy {
    /// Relays to a server from an address of its own.
    pub fn start(runtime: &Handle, server: SocketAddr) -> io::Result<Self> {
        let address = super::unused_address();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(QUEUE)?;
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(socket.into())?;
        let (link, resets) = (watch::Sender::new(Link::default()), watch::Sender::new(0));
        let seen: Arc<Traffic> = Arc::default();
        let noted = Arc::clone(&seen);
        let task = runtime.spawn(accept(listener, server, link.subscribe(), resets.subscribe(), noted));
        Ok(Self { address, link, resets, seen, task: task.abort_handle() })
    }

    /// From now on the link is like this.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Bytes that it has passed on, both ways together.
    pub fn bytes_forwarded(&self) -> u64 {
        self.seen.bytes.load(Ordering::Relaxed)
    }

    /// Requests that clients have sent over it so far.
    pub fn sent_requests(&self) -> Vec<SentRequest> {
        self.seen.sent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Resets all connections, on both sides.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|n| *n += 1);
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    mut link: watch::Receiver<Link>,
    resets: watch::Receiver<u64>,
    seen: Arc<Traffic>,
) {
    // Connections of the relay to itself, while the link is cut.
    let mut fill: Vec<TcpStream> = Vec::new();
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let cut = {
            let link = link.borrow_and_update();
            link.cut_up || link.cut_down
        };
        if cut && fill.is_empty() {
            fill = full(&listener).await;
        } else if !cut && !fill.is_empty() {
            fill.clear();
            let _ = SockRef::from(&listener).listen(QUEUE);
        }
        tokio::select! {
            changed = link.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = listener.accept(), if !cut => {
                // Its own ones have closed by now, and end by themselves.
                if let Ok((client, _)) = accepted {
                    let _ = client.set_nodelay(true);
                    let (link, resets, seen) = (link.clone(), resets.clone(), Arc::clone(&seen));
                    connections.spawn(connection(client, server, link, resets, seen));
                }
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Fills the queue of a listening socket, so that whoever dials next hears nothing.
async fn full(listener: &TcpListener) -> Vec<TcpStream> {
    let mut fill = Vec::new();
    let _ = SockRef::from(listener).listen(0);
    let Ok(address) = listener.local_addr() else { return fill };
    // A queue of 0 holds one; whatever dialled at this instant may have taken the place.
    for _ in 0..8 {
        let Ok(socket) = TcpSocket::new_v4() else { break };
        match tokio::time::timeout(Duration::from_millis(60), socket.connect(address)).await {
            Ok(Ok(stream)) => fill.push(stream),
            _ => break,
        }
    }
    fill
}

async fn connection(
    mut client: TcpStream,
    server: SocketAddr,
    link: watch::Receiver<Link>,
    mut resets: watch::Receiver<u64>,
    seen: Arc<Traffic>,
) {
    resets.mark_unchanged();
    let Ok(mut server) = TcpStream::connect(server).await else {
        // Nobody there: the client is to see that, as it would without a relay.
        let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
        return;
    };
    let _ = server.set_nodelay(true);
    let reset = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let mut up = pin!(pump(from_client, to_server, link.clone(), true, &seen));
        let mut down = pin!(pump(from_server, to_client, link, false, &seen));
        let (mut up_over, mut down_over) = (false, false);
        loop {
            let reset = tokio::select! {
                reset = &mut up, if !up_over => {
                    up_over = true;
                    reset
                }
                reset = &mut down, if !down_over => {
                    down_over = true;
                    reset
                }
                _ = resets.changed() => true,
            };
            if reset || up_over && down_over {
                break reset;
            }
        }
    };
    if reset {
        // What was reset on one side is reset on the other.
        for side in [&client, &server] {
            let _ = SockRef::from(side).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Passes bytes on in one direction until it ends; says whether it was reset.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut link: watch::Receiver<Link>,
    up: bool,
    seen: &Traffic,
) -> bool {
    // What is on its way, and when it arrives.
    let mut way: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let (mut passed, mut open, mut reset) = (0u64, true, false);
    let mut buffer = vec![0; 16 << 10];
    let mut requests = SentRequestParser::default();
    while open || !way.is_empty() {
        let (cut, delay, bandwidth, stalled) = {
            let link = link.borrow_and_update();
            let cut = if up { link.cut_up } else { link.cut_down };
            let stalled = !up && link.stall_after > 0 && passed >= link.stall_after;
            (cut, link.delay, link.bandwidth, stalled)
        };
        let next = way.front().map(|(at, _)| *at);
        tokio::select! {
            read = from.read(&mut buffer), if open && way.len() < 64 => match read {
                Ok(0) => open = false,
                Ok(n) => {
                    if up {
                        seen.note(requests.read(&buffer[..n], now_micros()));
                    }
                    way.push_back((Instant::now() + delay, buffer[..n].to_vec()));
                }
                Err(_) => (open, reset) = (false, true),
            },
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() && !cut && !stalled => {
                if let Some((_, bytes)) = way.pop_front() {
                    if let Some(us) = (bytes.len() as u64 * 1_000_000).checked_div(bandwidth) {
                        sleep(Duration::from_micros(us)).await;
                    }
                    if to.write_all(&bytes).await.is_err() {
                        return true;
                    }
                    passed += bytes.len() as u64;
                    seen.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                }
            }
            // The harness is gone.
            changed = link.changed() => if changed.is_err() { return true },
        }
    }
    // An end is news as well: it does not get through a cut, nor to a client that is left half open.
    let held = |l: &Link| if up { l.cut_up } else { l.cut_down || l.half_open };
    if link.wait_for(|l| !held(l)).await.is_err() {
        return true;
    }
    if !reset {
        // The other side may be gone already.
        let _ = to.shutdown().await;
    }
    reset
}

#[cfg(test)]
mod tests;
