//! A link with delay between clients and a sidecar. It passes on a window at a time, each some time after there is room for it,
//! so that what a client has written whole arrives over many windows. Answers pass without delay.

use socket2::SockRef;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Size of the send buffer towards the sidecar: what the sidecar does not read stays on the client's side of the link.
const SEND_BUFFER_BYTES: usize = 4 << 10;

/// How a link passes on what clients write.
#[derive(Clone, Copy, Debug)]
pub struct LinkDelay {
    /// The bytes that pass at once.
    pub window_bytes: usize,
    /// How long each window takes, from when there is room for it.
    pub delay: Duration,
}

/// A link to a sidecar. It ends when this is dropped.
pub struct ClientLink {
    /// The address that clients connect to.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for ClientLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ClientLink {
    /// Starts a link to a sidecar.
    pub fn start(runtime: &Handle, sidecar: SocketAddr, delay: LinkDelay) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let task = runtime.spawn(accept(listener, sidecar, delay)).abort_handle();
        Ok(Self { address, task })
    }
}

async fn accept(listener: TcpListener, sidecar: SocketAddr, delay: LinkDelay) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        connections.spawn(connect(client, sidecar, delay));
        while connections.try_join_next().is_some() {}
    }
}

/// Serves a connection until either side ends it.
async fn connect(mut client: TcpStream, sidecar: SocketAddr, delay: LinkDelay) -> io::Result<()> {
    let mut upstream = TcpStream::connect(sidecar).await?;
    SockRef::from(&upstream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
    upstream.set_nodelay(true)?;
    client.set_nodelay(true)?;
    let (mut from_client, mut to_client) = client.split();
    let (mut from_sidecar, mut to_sidecar) = upstream.split();
    tokio::select! {
        passed = pass_on(&mut from_client, &mut to_sidecar, delay) => passed,
        answered = copy(&mut from_sidecar, &mut to_client) => answered.map(drop),
    }
}

/// Passes on bytes, and the end of the stream behind them.
async fn pass_on(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    delay: LinkDelay,
) -> io::Result<()> {
    let mut window = vec![0; delay.window_bytes];
    loop {
        let length = from.read(&mut window).await?;
        sleep(delay.delay).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&window[..length]).await?;
    }
}
