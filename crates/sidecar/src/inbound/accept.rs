//! Accepts client connections until the sidecar stops accepting.

use super::connection::serve_connection;
use super::shared::InboundContext;
use super::timing::SOCKET_POLL_TIME;
use super::turn_away::{announced_wait, turn_away};
use crate::connection_age::age_before_first_send;
use crate::connection_limiter::ConnectionLimiter;
use crate::io_failure::{IoFailure, RESOURCE_PAUSE};
use crate::log::{ThrottledLog, log_line};
use crate::service_state::{ServiceState, aborting};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::coop::has_budget_remaining;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Length of the kernel's queue of connections that have not been accepted yet.
const BACKLOG: u32 = 1024;
/// How long accepts may keep failing while the queue is drained, before the rest of the queue is abandoned.
const MAX_DRAIN_FAILURE_TIME: Duration = Duration::from_secs(1);
/// How long a connection without the head of a request may wait for a permit, from when it was made.
const MAX_WAIT_WITHOUT_REQUEST: Duration = Duration::from_millis(400);
/// The kernel's clock, by which it reports the age of a connection, has ticks of this length at most.
const MAX_TICK: Duration = Duration::from_millis(10);
/// A connection that has waited for longer in a queue that seemed empty did so while this process was held up.
const MIN_HOLD_UP: Duration = Duration::from_millis(50);
/// How long a connection of a shared socket is left to the other process while this one has no permit for it.
const OTHER_PROCESS_TIME: Duration = Duration::from_millis(20);
/// Minimum time between two log lines about failed accepts.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Binds the address that clients connect to.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Allows a restarted process to bind while connections of its predecessor are still closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves as many at a time as `limiter` permits, until the sidecar stops accepting. Connections
/// that are still queued then are served as well, unless the socket is shared: then other processes accept them.
pub async fn accept(
    listener: TcpListener,
    shared_socket: bool,
    limiter: Rc<ConnectionLimiter>,
    context: Rc<InboundContext>,
) {
    spawn_local(Rc::clone(&limiter).evict_above_threshold());
    let mut service = context.service.clone();
    let stopped =
        async move { service.wait_for(|state| *state >= ServiceState::NotAccepting).await.map(drop) };
    let mut stopped = pin!(stopped);
    let mut failure_log = ThrottledLog::new(FAILURE_LOG_INTERVAL);
    if shared_socket {
        // Until the runtime has polled the socket, it reports the queue as empty.
        sleep(SOCKET_POLL_TIME).await;
    }
    let empty_at = Instant::now();
    let seen_empty_at = empty_at;
    let may_hold_older = shared_socket;
    let mut queue = AcceptQueue { listener, shared_socket, seen_empty_at, empty_at, may_hold_older };
    loop {
        let accepted = tokio::select! {
            biased;
            _ = &mut stopped => break,
            accepted = queue.next(&limiter) => accepted,
        };
        match accepted {
            Ok(stream) => queue.serve(stream, &limiter, &context).await,
            Err(e) => {
                failure_log.line(format_args!("cannot accept: {e}"));
                if IoFailure::of_accept(&e) == IoFailure::Shortage {
                    sleep(RESOURCE_PAUSE).await;
                }
            }
        }
    }
    if !shared_socket {
        queue.drain(&limiter, &context).await;
    }
}

/// Waits until a connection of that age has to be turned away.
async fn permit_wait(stream: &TcpStream, age: Duration, context: &InboundContext) {
    let accepted_at = Instant::now();
    sleep(MAX_WAIT_WITHOUT_REQUEST.saturating_sub(age)).await;
    if let Some(wait) = announced_wait(stream, &context.traffic_classes).await {
        sleep_until(accepted_at + wait.saturating_sub(age)).await;
    }
}

/// The kernel's queue of connections that have not been accepted yet.
struct AcceptQueue {
    listener: TcpListener,
    /// Other processes accept from this queue as well.
    shared_socket: bool,
    /// When the queue was last looked at and seen empty: connections accepted since then were established after this time.
    seen_empty_at: Instant,
    /// When the next connection was accepted after that, at once unless this process was held up.
    empty_at: Instant,
    /// The queue may hold connections older than this process: the socket was inherited and has not been empty since.
    may_hold_older: bool,
}

impl AcceptQueue {
    /// The earliest time at which a connection of that age can have been established. Without its age, that is when the
    /// queue was last seen empty.
    fn earliest_connect_time(&self, age: Option<Duration>) -> Instant {
        let connected_at = age.and_then(|age| Instant::now().checked_sub(age + MAX_TICK));
        match connected_at {
            Some(connected_at) if self.may_hold_older => connected_at,
            Some(connected_at) if age > Some(MIN_HOLD_UP) => connected_at.max(self.seen_empty_at),
            Some(connected_at) => connected_at.max(self.empty_at),
            None => self.empty_at,
        }
    }

    /// Accepts the next connection. Of a shared socket, it is the other process's at first if only that may have a permit.
    async fn next(&mut self, limiter: &ConnectionLimiter) -> io::Result<TcpStream> {
        while self.shared_socket && timeout(OTHER_PROCESS_TIME, limiter.wait_for_free()).await.is_err() {
            if let Ok(left) = timeout(Duration::ZERO, self.accept()).await {
                return left;
            }
        }
        self.accept().await
    }

    /// Accepts the next connection.
    async fn accept(&mut self) -> io::Result<TcpStream> {
        let mut seen_empty_at = None;
        let accepted = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            // A task that has used up its cooperative budget gets `Pending`, whatever the queue holds.
            if accepted.is_pending() && has_budget_remaining() {
                seen_empty_at = Some(Instant::now());
            }
            accepted
        })
        .await;
        if let Some(seen_empty_at) = seen_empty_at {
            self.seen_empty_at = seen_empty_at;
            self.empty_at = Instant::now();
            self.may_hold_older = false;
        }
        accepted.map(|(stream, _)| stream)
    }

    /// Serves an accepted connection once there is a permit for it, or turns it away if that takes too long. Until then
    /// further connections wait in the kernel's queue, where they take no descriptor of this process.
    async fn serve(&self, stream: TcpStream, limiter: &Rc<ConnectionLimiter>, context: &Rc<InboundContext>) {
        let age = age_before_first_send(&stream);
        let not_before = self.earliest_connect_time(age);
        let permit = tokio::select! {
            biased;
            permit = limiter.acquire() => permit,
            // Each connection gets no more than a short answer from now on.
            () = aborting(&context.service) => limiter.exceed(),
            () = permit_wait(&stream, age.unwrap_or_default(), context) => return turn_away(&stream),
        };
        spawn_local(serve_connection(stream, not_before, permit, Rc::clone(context)));
    }

    /// Accepts the connections left in the queue when the sidecar stops accepting, as for their clients they are
    /// already established. A failed accept says nothing about the connections behind it in the queue.
    async fn drain(&mut self, limiter: &Rc<ConnectionLimiter>, context: &Rc<InboundContext>) {
        let mut failing_since = None;
        while let Ok(accepted) = timeout(SOCKET_POLL_TIME, self.accept()).await {
            match accepted {
                Ok(stream) => {
                    failing_since = None;
                    self.serve(stream, limiter, context).await;
                }
                Err(e) => {
                    let since = *failing_since.get_or_insert_with(Instant::now);
                    if since.elapsed() > MAX_DRAIN_FAILURE_TIME {
                        log_line!("giving up on the connections left in the accept queue: {e}");
                        return;
                    }
                    if IoFailure::of_accept(&e) == IoFailure::Shortage {
                        sleep(RESOURCE_PAUSE).await;
                    }
                }
            }
        }
    }
}
