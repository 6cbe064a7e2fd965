//! The target of an exchange and its result.

use super::endpoint::{Endpoint, SendPermission};
use super::pooled_connection::PooledConnection;
use crate::engine_input::Answer;
use bytes::Bytes;
use hyper::body::Incoming;
use lotusmoor_balancer::{LoadReport, Outcome};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Where a request is sent, and until when its response is waited for.
#[derive(Clone, Copy)]
pub(super) struct ExchangeTarget<'a> {
    pub(super) endpoint: &'a Rc<Endpoint>,
    pub(super) permission: Option<SendPermission>,
    pub(super) until: Instant,
}

/// The result of an exchange.
pub(super) struct ExchangeResult {
    pub(super) outcome: Outcome,
    pub(super) answer: Option<Answer>,
    pub(super) load: LoadReport,
    /// The rest of a streamed response.
    pub(super) stream: Option<Box<ResponseStream>>,
}

impl ExchangeResult {
    /// An exchange without a response.
    pub(super) fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, answer: None, load: LoadReport::default(), stream: None }
    }
}

/// The rest of a response that is streamed to the client.
pub(super) struct ResponseStream {
    pub(super) pooled: PooledConnection,
    pub(super) permission: SendPermission,
    pub(super) body: Incoming,
    pub(super) received: usize,
    pub(super) client: mpsc::Sender<Bytes>,
}
