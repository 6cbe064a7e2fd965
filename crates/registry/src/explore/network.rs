//! The simulated network between replicas. Messages wait here until the explorer delivers them.

use super::clock::Step;
use crate::raft::{CallError, Rpc, Target, Transport};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The result of a call between replicas.
type Answer = Result<Vec<u8>, CallError>;

/// A call in transit.
pub struct Request {
    /// The calling replica.
    pub from: u64,
    /// The called replica.
    pub to: u64,
    /// The kind of call.
    pub rpc: Rpc,
    /// The encoded envelope.
    pub body: Vec<u8>,
    /// Returns the answer to the caller.
    pub reply: oneshot::Sender<Answer>,
}

/// An answer in transit.
pub struct Response {
    /// The answer.
    pub answer: Answer,
    /// Returns the answer to the caller.
    pub reply: oneshot::Sender<Answer>,
}

/// A message in transit.
pub enum Message {
    /// A call.
    Request(Request),
    /// An answer.
    Response(Response),
}

/// The network's state.
pub struct NetworkState {
    now: Step,
    rng: ChaCha8Rng,
    max_delay: Step,
    loss: f64,
    /// Links, as sender and receiver, that lose everything.
    cut_links: BTreeSet<(u64, u64)>,
    /// Messages by delivery time and number.
    in_transit: BTreeMap<(Step, u64), Message>,
    sent: u64,
}

impl NetworkState {
    /// Cuts the link from one replica to another.
    pub fn cut(&mut self, from: u64, to: u64) {
        self.cut_links.insert((from, to));
    }

    /// Sets the share of messages that are lost.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// Restores all links and ends losses.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.loss = 0.0;
    }
}

/// The network.
#[derive(Clone)]
pub struct Network(Arc<Mutex<NetworkState>>);

impl Network {
    /// A network without faults, with delays of up to `max_delay`.
    pub fn new(rng: ChaCha8Rng, max_delay: Step) -> Self {
        Self(Arc::new(Mutex::new(NetworkState {
            now: 0,
            rng,
            max_delay,
            loss: 0.0,
            cut_links: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            sent: 0,
        })))
    }

    /// The network's state, for changes.
    pub fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Advances to a step and returns the messages that arrive by then.
    pub fn deliver(&self, now: Step) -> Vec<Message> {
        let mut state = self.state();
        state.now = now;
        let later = state.in_transit.split_off(&(now + 1, 0));
        std::mem::replace(&mut state.in_transit, later).into_values().collect()
    }

    /// Sends a message, which may be lost.
    pub fn send(&self, from: u64, to: u64, message: Message) {
        let mut state = self.state();
        let loss = state.loss;
        let max_delay = state.max_delay;
        if state.cut_links.contains(&(from, to)) || state.rng.random_bool(loss) {
            return;
        }
        state.sent += 1;
        let arrives_at = state.now + state.rng.random_range(1..=max_delay);
        let number = state.sent;
        state.in_transit.insert((arrives_at, number), message);
    }
}

/// A replica's transport over the network.
#[derive(Clone)]
pub struct SimulatedTransport {
    /// The network.
    pub network: Network,
    /// The replica's id.
    pub replica: u64,
}

impl Transport for SimulatedTransport {
    async fn call(
        &self,
        to: &Target,
        rpc: Rpc,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let (reply, answer) = oneshot::channel();
        let request = Request { from: self.replica, to: to.id, rpc, body, reply };
        self.network.send(self.replica, to.id, Message::Request(request));
        match timeout(call_timeout, answer).await {
            Ok(Ok(answer)) => answer,
            // The message was lost: the caller waits for its whole timeout, like over a real network.
            Ok(Err(_)) => {
                tokio::time::sleep(call_timeout).await;
                Err(CallError::NoValidResponse("lost".into()))
            }
            Err(_) => Err(CallError::NoValidResponse("no answer in time".into())),
        }
    }
}
