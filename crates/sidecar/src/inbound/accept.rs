//! Accepts clients' connections, until the sidecar stops accepting.

use super::connection::serve_connection;
use super::shared::InboundContext;
use super::timing::SOCKET_POLL_TIME;
use crate::connection_age::age_of_unanswered;
use crate::connection_limiter::ConnectionLimiter;
use crate::io_failure::{IoFailure, RESOURCE_PAUSE};
use crate::log::{ThrottledLog, log_line};
use crate::service_state::ServiceState;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::coop::has_budget_remaining;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Connections that the system may queue until they are accepted.
const BACKLOG: u32 = 1024;
/// At the end of accepting, how long accepts may fail before the rest of the queue is given up.
const MAX_SHORTAGE: Duration = Duration::from_secs(1);
/// Least time between two log lines about failed accepts.
const FAILURE_LOG_SPACING: Duration = Duration::from_secs(60);

/// Binds the address that clients connect to.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restart must not wait for the connections of the process before it.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves up to `clients` connections at a time. Of a shared socket, other processes accept what is queued
/// at the end.
pub async fn accept(listener: TcpListener, shared_socket: bool, clients: usize, context: Rc<InboundContext>) {
    let limiter = ConnectionLimiter::new(clients);
    spawn_local(Rc::clone(&limiter).evict_when_crowded());
    let mut service = context.service.clone();
    let stopped =
        async move { service.wait_for(|state| *state >= ServiceState::NotAccepting).await.map(drop) };
    let mut stopped = pin!(stopped);
    let mut failure_log = ThrottledLog::new(FAILURE_LOG_SPACING);
    if shared_socket {
        // The runtime has not polled the socket yet, and would take it for empty.
        sleep(SOCKET_POLL_TIME).await;
    }
    let mut queue = Queue { listener, empty_at: Instant::now(), may_hold_older: shared_socket };
    loop {
        let accepted = tokio::select! {
            biased;
            _ = &mut stopped => break,
            accepted = queue.accept() => accepted,
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

/// The system's queue of connections that are not accepted yet.
struct Queue {
    listener: TcpListener,
    /// When it was last empty: no connection accepted since came before that.
    empty_at: Instant,
    /// It may hold connections older than this process: the socket was inherited, and was never empty since.
    may_hold_older: bool,
}

impl Queue {
    /// When an accepted connection was made at the earliest.
    fn not_before(&self, stream: &TcpStream) -> Instant {
        let age = Some(stream).filter(|_| self.may_hold_older).and_then(age_of_unanswered);
        let made = age.and_then(|age| Instant::now().checked_sub(age));
        made.map_or(self.empty_at, |made| made.min(self.empty_at))
    }

    /// Accepts the next connection.
    async fn accept(&mut self) -> io::Result<TcpStream> {
        let mut empty = false;
        let accepted = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            // A task that has used up its budget is not told what the queue holds.
            empty = empty || accepted.is_pending() && has_budget_remaining();
            accepted
        })
        .await;
        if empty {
            self.empty_at = Instant::now();
            self.may_hold_older = false;
        }
        accepted.map(|(stream, _)| stream)
    }

    /// Serves an accepted connection, once there is a permit for it. Further ones wait in the system's queue meanwhile,
    /// where they take no descriptor of this process.
    async fn serve(&self, stream: TcpStream, limiter: &Rc<ConnectionLimiter>, context: &Rc<InboundContext>) {
        let not_before = self.not_before(&stream);
        let permit = limiter.acquire().await;
        spawn_local(serve_connection(stream, not_before, permit, Rc::clone(context)));
    }

    /// Accepts what the queue holds at the end of accepting, as the clients take it for accepted. A failed accept says
    /// nothing of the connections behind it.
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
                    if since.elapsed() > MAX_SHORTAGE {
                        log_line!("cannot accept what still waits: {e}");
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
