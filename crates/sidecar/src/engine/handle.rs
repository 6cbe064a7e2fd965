//! The handle through which client and operator connections use the engine.

use super::clock::Clock;
use crate::discovery::DiscoveryCommand;
use crate::engine_input::{Answer, Input, InputSender, Submission};
use crate::outgoing_request::OutgoingRequest;
use lotusmoor_balancer::{Micros, NewRequest, RequestId};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// A handle to the engine.
#[derive(Clone)]
pub struct EngineHandle {
    inputs: InputSender,
    clock: Clock,
    last_request: Rc<Cell<RequestId>>,
    discovery: mpsc::UnboundedSender<DiscoveryCommand>,
}

impl EngineHandle {
    /// A handle that sends to the engine through `inputs`, and to the task that polls discovery through `discovery`.
    pub(super) fn new(
        inputs: InputSender,
        clock: Clock,
        discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    ) -> Self {
        Self { inputs, clock, last_request: Rc::default(), discovery }
    }

    /// Converts an instant to time on the balancer's clock.
    pub fn time_of(&self, instant: Instant) -> Micros {
        self.clock.time_of(instant)
    }

    /// Converts a time on the balancer's clock to an instant.
    pub fn instant(&self, time: Micros) -> Instant {
        self.clock.instant(time)
    }

    /// Changes the address of discovery.
    pub fn set_discovery_address(&self, to: SocketAddr) {
        // The receiving task ends only with the process.
        let _ = self.discovery.send(DiscoveryCommand::SetAddress(to));
    }

    /// Cordons exactly the endpoints of these names. Returns once that is in effect.
    pub async fn set_cordoned(&self, names: BTreeSet<String>) {
        let (done, in_effect) = oneshot::channel();
        self.inputs.send(Input::SetCordoned { names, done });
        let _ = in_effect.await;
    }

    /// Whether an endpoint of that name is known to the engine.
    pub async fn is_known(&self, name: &str) -> bool {
        let (answer, known) = oneshot::channel();
        self.inputs.send(Input::IsKnown { name: name.to_owned(), answer });
        known.await.unwrap_or(false)
    }

    /// Submits a request under a new id.
    pub fn submit(&self, request: NewRequest, outgoing: OutgoingRequest) -> PendingResponse {
        let id = self.last_request.get() + 1;
        self.last_request.set(id);
        let (reply, answer) = oneshot::channel();
        let outgoing = Rc::new(outgoing);
        let request = NewRequest { id, ..request };
        let submission = Submission { request, outgoing: Rc::clone(&outgoing), reply };
        self.inputs.send(Input::Request(submission));
        PendingResponse { id, outgoing, answer, answered: false, inputs: self.inputs.clone() }
    }
}

/// The future answer to a submitted request. Dropping it before the answer arrives abandons the request.
pub struct PendingResponse {
    id: RequestId,
    outgoing: Rc<OutgoingRequest>,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    inputs: InputSender,
}

impl PendingResponse {
    /// Reports that the last byte of the request was received, and the deadline that follows from that.
    pub fn body_received(&self, deadline: Micros) {
        self.inputs.send(Input::BodyReceived { request: self.id, deadline });
    }

    /// Waits for the answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.answered = true;
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if !self.answered {
            // Set here rather than by the engine, as an attempt could begin to be written before the engine handles the
            // input.
            self.outgoing.lifecycle.complete();
            self.inputs.send(Input::Abandoned(self.id));
        }
    }
}
