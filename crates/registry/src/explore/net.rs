//! The network between replicas: calls wait here until the explorer delivers them.

use crate::raft::{CallError, Rpc, Target, Transport};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Steps of the explorer's clock.
pub type Step = u64;

/// A call on its way.
pub struct Carried {
    /// Who calls.
    pub from: u64,
    /// Who is called.
    pub to: u64,
    /// What.
    pub rpc: Rpc,
    /// The envelope.
    pub body: Vec<u8>,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Result<Vec<u8>, CallError>>,
}

/// An answer on its way.
pub struct Answered {
    /// Who answers.
    pub from: u64,
    /// Who called.
    pub to: u64,
    /// What.
    pub answer: Result<Vec<u8>, CallError>,
    /// Where it goes.
    pub reply: oneshot::Sender<Result<Vec<u8>, CallError>>,
}

/// Something that arrives.
pub enum Arrives {
    /// A call.
    Call(Carried),
    /// An answer.
    Answer(Answered),
}

pub struct State {
    now: Step,
    rng: ChaCha8Rng,
    /// Most steps that a message takes.
    longest: u64,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Links that carry nothing.
    pub cuts: BTreeSet<(u64, u64)>,
    way: BTreeMap<(Step, u64), Arrives>,
    sent: u64,
}

/// The network.
#[derive(Clone)]
pub struct Net(Arc<Mutex<State>>);

impl Net {
    /// Whole, with messages that take up to so many steps.
    pub fn new(rng: ChaCha8Rng, longest: u64) -> Self {
        let (cuts, way) = (BTreeSet::new(), BTreeMap::new());
        Self(Arc::new(Mutex::new(State { now: 0, rng, longest, loss: 0.0, cuts, way, sent: 0 })))
    }

    /// Its state, to be changed.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What arrives by that step.
    pub fn arrivals(&self, now: Step) -> Vec<Arrives> {
        let mut state = self.state();
        state.now = now;
        let later = state.way.split_off(&(now + 1, 0));
        std::mem::replace(&mut state.way, later).into_values().collect()
    }

    /// Sends something, which may be lost.
    pub fn send(&self, from: u64, to: u64, what: Arrives) {
        let mut state = self.state();
        let (lost, longest) = (state.loss, state.longest);
        if state.cuts.contains(&(from, to)) || state.rng.random_bool(lost) {
            return;
        }
        state.sent += 1;
        let at = state.now + state.rng.random_range(1..=longest);
        let number = state.sent;
        state.way.insert((at, number), what);
    }
}

/// The network as one replica has it.
#[derive(Clone)]
pub struct Sim {
    /// The network.
    pub net: Net,
    /// The replica.
    pub id: u64,
}

impl Transport for Sim {
    async fn call(
        &self,
        to: &Target,
        rpc: Rpc,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let (reply, answer) = oneshot::channel();
        let call = Carried { from: self.id, to: to.id, rpc, body, reply };
        self.net.send(self.id, to.id, Arrives::Call(call));
        match timeout(patience, answer).await {
            Ok(Ok(answer)) => answer,
            // What was lost is silence, not an error.
            Ok(Err(_)) => {
                tokio::time::sleep(patience).await;
                Err(CallError::NoAnswer("lost".into()))
            }
            Err(_) => Err(CallError::NoAnswer("no answer in time".into())),
        }
    }
}
