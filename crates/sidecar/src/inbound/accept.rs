//! Accepting of clients' connections, up to its end.

use super::{LAST_LOOK, Shared, connection};
use crate::connection_age::age_of_unanswered;
use crate::connection_limiter::ConnectionLimiter;
use crate::io_failure::{IoFailure, RESOURCE_PAUSE};
use crate::log::log_line;
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

/// Connections that the system may hold until they are accepted.
const BACKLOG: u32 = 1024;
/// As accepting ends, how long accepts may go on failing before what is left of the queue is given up.
const LONGEST_SHORTAGE: Duration = Duration::from_secs(1);
/// Least time from one log line about failed accepts to the next.
const COMPLAINT_SPACING: Duration = Duration::from_secs(60);

/// Binds the address that clients connect to.
pub fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restart must not wait for the connections of the process before it.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Accepts connections, so many at a time, until told that no more are to come. What is left in the queue of a
/// socket that others hold as well is theirs.
pub async fn accept(listener: TcpListener, others: bool, clients: usize, shared: Rc<Shared>) {
    let limiter = ConnectionLimiter::new(clients);
    spawn_local(Rc::clone(&limiter).evict_when_crowded());
    let mut closed = shared.service.clone();
    let mut closed =
        pin!(async move { closed.wait_for(|s| *s >= ServiceState::NotAccepting).await.map(drop) });
    let mut last_failure = None;
    if others {
        // The runtime has not looked at the socket yet, and would take it for empty.
        sleep(LAST_LOOK).await;
    }
    let mut queue = Queue { listener, empty_at: Instant::now(), may_hold_older: others };
    loop {
        let accepted = tokio::select! {
            biased;
            _ = &mut closed => break,
            accepted = queue.accept() => accepted,
        };
        match accepted {
            Ok(stream) => {
                let not_before = queue.not_before(&stream);
                // Whoever comes next waits in the system's queue, with no descriptor of this process.
                let permit = limiter.acquire().await;
                spawn_local(connection(stream, not_before, permit, Rc::clone(&shared)));
            }
            Err(e) => {
                if last_failure.is_none_or(|at: Instant| at.elapsed() > COMPLAINT_SPACING) {
                    last_failure = Some(Instant::now());
                    log_line!("cannot accept: {e}");
                }
                if IoFailure::of_accept(&e) == IoFailure::Shortage {
                    sleep(RESOURCE_PAUSE).await;
                }
            }
        }
    }
    if !others {
        queue.empty(&limiter, &shared).await;
    }
}

/// The system's queue of connections that are not accepted yet.
struct Queue {
    listener: TcpListener,
    /// When it was last seen to be empty: no connection accepted since came before that.
    empty_at: Instant,
    /// It may hold what came before this process was there: the socket was passed on, and was not seen to be empty yet.
    may_hold_older: bool,
}

impl Queue {
    /// Nothing came on a connection that was just accepted before that.
    fn not_before(&self, stream: &TcpStream) -> Instant {
        let age = Some(stream).filter(|_| self.may_hold_older).and_then(age_of_unanswered);
        let made = age.and_then(|age| Instant::now().checked_sub(age));
        made.map_or(self.empty_at, |made| made.min(self.empty_at))
    }

    /// The next connection.
    async fn accept(&mut self) -> io::Result<TcpStream> {
        let mut empty = false;
        let accepted = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            // Out of its turn's budget, the task is not told what the queue holds.
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

    /// Accepts what the system holds already as accepting ends: it counts as taken, and is still served. A failed
    /// accept says nothing of what is behind it in the queue.
    async fn empty(&mut self, limiter: &Rc<ConnectionLimiter>, shared: &Rc<Shared>) {
        let mut failing_since = None;
        while let Ok(accepted) = timeout(LAST_LOOK, self.accept()).await {
            match accepted {
                Ok(stream) => {
                    failing_since = None;
                    let not_before = self.not_before(&stream);
                    let permit = limiter.acquire().await;
                    spawn_local(connection(stream, not_before, permit, Rc::clone(shared)));
                }
                Err(e) => {
                    let since = *failing_since.get_or_insert_with(Instant::now);
                    if since.elapsed() > LONGEST_SHORTAGE {
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
