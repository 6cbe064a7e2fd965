//! Sends one request to an endpoint and receives its response.

use super::Upstream;
use super::exchange_result::{ExchangeResult, ExchangeTarget};
use crate::body::BodyStream;
use crate::connection::Connection;
use crate::log;
use crate::metrics::SendDenial;
use crate::outgoing_request::OutgoingRequest;
use crate::write_progress::WriteProgress;
use lotusmoor_balancer::Outcome;
use std::time::Duration;
use tokio::time::Instant;

impl Upstream {
    /// Sends a request and receives its response, over an idle connection if there is one.
    pub(super) async fn exchange(
        &self,
        target: ExchangeTarget<'_>,
        outgoing: &OutgoingRequest,
        progress: &WriteProgress,
    ) -> ExchangeResult {
        let endpoint = target.endpoint;
        let Some(permission) = target.permission else {
            return ExchangeResult::without_answer(Outcome::NotSent);
        };
        loop {
            // Wait for the verification before a connection is taken from the pool: what is known of a pooled
            // connection could be out of date after the wait.
            outgoing.lifecycle.client_verified().await;
            let (mut pooled, idle) = match self.connection(endpoint, permission).await {
                Ok(connection) => connection,
                Err(outcome) => return ExchangeResult::without_answer(outcome),
            };
            if idle.is_none() {
                outgoing.lifecycle.client_verified().await;
            }
            // The send may have become forbidden while the connection was established; the new connection can still
            // serve another request. A reused connection is written to at once.
            if idle.is_none() && !progress.may_write() {
                self.return_to_pool(endpoint, permission, pooled).await;
                return ExchangeResult::without_answer(Outcome::NotSent);
            }
            // Only then is the head made, which says how long the client waits: beside many other tasks this one may get
            // its next turn much later.
            pooled.connection.ready().await;
            let Some(request) = outgoing.to_http_request(target.until, progress) else {
                return ExchangeResult::without_answer(Outcome::NotSent);
            };
            let sent = Instant::now();
            trace_connection(outgoing, &pooled.connection, idle);
            let response = pooled.connection.request(request, progress.clone()).await;
            let lost = response.is_err() && pooled.connection.is_broken() && !progress.received_any();
            self.record_use(idle, lost);
            if let Ok(response) = response {
                let until = outgoing.lifecycle.response_deadline(target.until);
                return self.receive(target.endpoint, permission, pooled, response, (sent, until)).await;
            }
            // Retries on another connection if the endpoint closed the idle one just as it was reused, before anything
            // was written.
            let unwritten = !progress.has_begun() && !outgoing.body_consumed();
            let lost_idle = progress.denial().is_none() && idle.is_some();
            // The next head is made anew.
            let out_of_date = progress.denial() == Some(SendDenial::WaitOutOfDate);
            if unwritten && (lost_idle || out_of_date) {
                progress.advertise_wait(Duration::ZERO);
                continue;
            }
            // The endpoint is not at fault for a body that its client gave up.
            if outgoing.rest.as_ref().is_some_and(BodyStream::is_abandoned) {
                return ExchangeResult::without_answer(Outcome::NotSent);
            }
            return ExchangeResult::without_answer(failure(&pooled.connection, progress, idle.is_some()));
        }
    }
}

/// Traces which connection an attempt uses, and for how long that had been idle if it is reused.
fn trace_connection(outgoing: &OutgoingRequest, connection: &Connection, idle: Option<Duration>) {
    if !log::traces_requests() {
        return;
    }
    let port = connection.local_port();
    match idle {
        Some(idle) => outgoing
            .lifecycle
            .trace(format_args!("to be written to connection {port}, idle for {} ms", idle.as_millis())),
        None => outgoing.lifecycle.trace(format_args!("to be written to connection {port}, new")),
    }
}

/// The outcome of a request that got no response.
fn failure(connection: &Connection, progress: &WriteProgress, reused: bool) -> Outcome {
    if progress.denial().is_some() {
        return Outcome::NotSent;
    }
    if !progress.is_complete() {
        return Outcome::ConnectFailed;
    }
    match connection.failure() {
        Outcome::Reset if reused && !progress.received_any() => Outcome::ReusedConnectionReset,
        failure => failure,
    }
}
