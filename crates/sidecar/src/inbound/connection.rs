//! Serves one client's connection, request after request.

use super::await_request::Awaited;
use super::client::{Client, RequestError};
use super::reply::Reply;
use super::serve_request::ServedRequest;
use super::shared::InboundContext;
use super::timing::REQUEST_TIME;
use crate::connection_limiter::ConnectionPermit;
use crate::metrics::{ConnectionEnd, RequestOutcome};
use crate::service_state::ServiceState;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long a connection that has carried a request may be idle.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Serves a connection on which nothing came before `not_before`.
pub(super) async fn serve_connection(
    stream: TcpStream,
    not_before: Instant,
    permit: ConnectionPermit,
    context: Rc<InboundContext>,
) {
    // Without it an answer may wait for an acknowledgement; a failure is no reason to reject the client.
    let _ = stream.set_nodelay(true);
    let mut client = Client::new(stream, not_before);
    let mut until = Instant::now() + REQUEST_TIME;
    let mut new = true;
    let is_serving = || *context.service.borrow() == ServiceState::Serving;
    loop {
        match client.await_request(&permit, new, until, &context).await {
            Awaited::Begun => {}
            Awaited::ClientClosed => return ConnectionEnd::ClientClosed.count(),
            // The permit is as good as free, so no other connection has to be evicted for it.
            Awaited::Close(_evictable) => {
                let end = if is_serving() { ConnectionEnd::Idle } else { ConnectionEnd::OutOfService };
                end.count();
                return client.close_unread().await;
            }
        }
        if !new {
            until = Instant::now() + REQUEST_TIME;
        }
        new = false;
        let (keep_alive, reply) = match client.serve_request(&permit, until, &context).await {
            Ok(ServedRequest { keep_alive, reply }) => {
                (keep_alive && !client.body_unfinished && is_serving(), reply)
            }
            Err(RequestError::Rejected(status)) => {
                RequestOutcome::Rejected.count();
                (false, Reply::without_body(status))
            }
            Err(RequestError::ClientClosed) => return ConnectionEnd::ClientClosed.count(),
        };
        if !client.write_reply(reply, keep_alive, &mut context.service.clone()).await {
            return ConnectionEnd::AnswerIncomplete.count();
        }
        if !keep_alive {
            ConnectionEnd::AfterAnswer.count();
            return client.close_answered().await;
        }
        // Clients send the next request once they have this answer.
        client.arrived = Instant::now();
        client.liveness.last_seen().request_begins(client.arrived);
        until = client.arrived + IDLE_TIME;
    }
}
