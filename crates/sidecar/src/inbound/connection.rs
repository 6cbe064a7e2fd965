//! Serves one client's connection, request after request.

use super::arrival_time::ArrivalTime;
use super::await_request::WaitOutcome;
use super::client::{Client, RequestError};
use super::reply::Reply;
use super::serve_request::ServedRequest;
use super::shared::InboundContext;
use super::timing::REQUEST_READ_TIMEOUT;
use crate::connection_limiter::ConnectionPermit;
use crate::metrics::{ConnectionEnd, RequestOutcome};
use crate::service_state::ServiceState;
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::Instant;

/// How long a connection that has carried a request may be idle.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Serves a connection on which no data arrived before `not_before`.
pub(super) async fn serve_connection(
    stream: TcpStream,
    not_before: Instant,
    permit: ConnectionPermit,
    context: Rc<InboundContext>,
) {
    // Without `TCP_NODELAY` a response may be delayed until an acknowledgement arrives. A failure to set it is no
    // reason to reject the client.
    let _ = stream.set_nodelay(true);
    let mut client = Client::new(stream, permit, not_before);
    let mut until = Instant::now() + REQUEST_READ_TIMEOUT;
    let mut is_new = true;
    let is_serving = || *context.service.borrow() == ServiceState::Serving;
    loop {
        match client.await_request(is_new, until, &context).await {
            WaitOutcome::RequestBegun => {}
            WaitOutcome::ClientClosed => return ConnectionEnd::ClientClosed.count(),
            // Holding `_evictable` during the close keeps the limiter from evicting another connection as well.
            WaitOutcome::Close(_evictable) => {
                let end = if is_serving() { ConnectionEnd::Idle } else { ConnectionEnd::OutOfService };
                end.count();
                return client.close_idle().await;
            }
        }
        if !is_new {
            until = Instant::now() + REQUEST_READ_TIMEOUT;
        }
        is_new = false;
        let (keep_alive, reply) = match client.serve_request(until, &context).await {
            Ok(ServedRequest { keep_alive, reply }) => {
                (keep_alive && !client.body_unfinished && is_serving(), reply)
            }
            Err(RequestError::Rejected(status)) => {
                RequestOutcome::Rejected.count();
                client.trace(format_args!("request rejected with {status}"));
                (false, Reply::without_body(status))
            }
            Err(RequestError::DeadlineExceeded) => {
                RequestOutcome::DeadlineExceeded.count();
                client.trace(format_args!(
                    "its time was over before an endpoint had accepted all of its request"
                ));
                (false, Reply::without_body(StatusCode::GATEWAY_TIMEOUT))
            }
            Err(RequestError::NoMemory) => {
                RequestOutcome::NoMemory.count();
                client.trace(format_args!("no memory for its request"));
                (false, Reply::without_body(StatusCode::SERVICE_UNAVAILABLE))
            }
            Err(RequestError::ShutDown) => {
                RequestOutcome::ShutDown.count();
                (false, Reply::without_body(StatusCode::SERVICE_UNAVAILABLE))
            }
            Err(RequestError::ClientClosed) => return ConnectionEnd::ClientClosed.count(),
        };
        if !client.write_reply(reply, keep_alive, &context.service).await {
            return ConnectionEnd::AnswerIncomplete.count();
        }
        if !keep_alive {
            ConnectionEnd::AfterAnswer.count();
            return client.close_after_response().await;
        }
        // Clients send the next request only after they have received this response.
        let now = Instant::now();
        client.arrival = ArrivalTime::new(now);
        client.liveness.last_seen().record_response_sent(now);
        until = now + IDLE_TIME;
        // The next request may be in the buffer already: without a pause, one client could keep all others waiting.
        yield_now().await;
    }
}
