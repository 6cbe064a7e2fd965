//! Where a request is sent, and what the exchange ends with.

use super::endpoint::{Endpoint, SendPermission};
use super::pooled_connection::PooledConnection;
use crate::engine_input::Answer;
use bytes::Bytes;
use hyper::body::Incoming;
use lotusmoor_balancer::{LoadReport, Outcome};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Where a request is sent, and how long its answer is waited for.
#[derive(Clone, Copy)]
pub(super) struct Target<'a> {
    pub(super) endpoint: &'a Rc<Endpoint>,
    pub(super) permission: Option<SendPermission>,
    pub(super) until: Instant,
}

/// What an exchange ends with.
pub(super) struct Exchanged {
    pub(super) outcome: Outcome,
    pub(super) answer: Option<Answer>,
    pub(super) load: LoadReport,
    /// The rest of a streamed answer.
    pub(super) stream: Option<Box<AnswerStream>>,
}

impl Exchanged {
    /// An exchange that brought no answer.
    pub(super) fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, answer: None, load: LoadReport::default(), stream: None }
    }
}

/// The rest of an answer, on its way to the client.
pub(super) struct AnswerStream {
    pub(super) pooled: PooledConnection,
    pub(super) permission: SendPermission,
    pub(super) body: Incoming,
    pub(super) received: usize,
    pub(super) client: mpsc::Sender<Bytes>,
}
