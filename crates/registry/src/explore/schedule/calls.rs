//! Calls of simulated clients: writes and reads at random replicas.

use super::{REPLICAS, Schedule};
use crate::core::freshness::ReadConsistency;
use crate::core::{Command, Outcome, Refusal, Registration};
use crate::explore::clock::STEP;
use crate::explore::defect::Defect;
use crate::explore::history::{Call, CallResult, Completion, Operation};
use crate::explore::network::SimulatedTransport;
use crate::node::{Node, WriteError};
use lotusmoor_registry_client::{Entry, ListUpdate, Status, StatusReason};
use rand::RngExt;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

/// Endpoints that clients write.
const ENDPOINTS: i32 = 4;
/// One write in four expects the index of the endpoint's last change. Another one in four expects, with this
/// probability, that the endpoint is new.
const EXPECT_NEW_PROBABILITY: f64 = 0.3;

/// What a registering endpoint reports about itself.
struct EndpointInfo {
    started_ms: i64,
    service: Option<String>,
}

/// A client at a replica.
struct Client {
    node: Node<SimulatedTransport>,
    defect: Option<Defect>,
}

impl Schedule {
    /// Starts a random call at a random replica.
    pub(super) fn start_call(&mut self) {
        let id = self.rng.random_range(REPLICAS);
        let name = format!("s{}", self.rng.random_range(0..ENDPOINTS));
        let operation = self.draw_operation(id, name);
        let Some(running) = self.running(id) else { return };
        let runtime = running.runtime.handle().clone();
        let client = Client { node: running.node.clone(), defect: self.defect };
        self.last_started_ms += 1;
        let calls = Arc::clone(&self.calls);
        let clock = Arc::clone(&self.clock);
        let number = {
            let mut calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
            calls.push(Call { operation: operation.clone(), started_at: self.now + 1, completion: None });
            calls.len() - 1
        };
        let service = self.readers.draw_endpoint_service();
        let endpoint = EndpointInfo { started_ms: self.last_started_ms, service };
        runtime.spawn(async move {
            let result = client.execute(operation, endpoint).await;
            let at = clock.load(Ordering::Relaxed);
            let mut calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
            calls[number].completion = Some(Completion { at, result });
        });
    }

    fn draw_operation(&mut self, replica: u64, name: String) -> Operation {
        let expect = match self.rng.random_range(0..4) {
            0 => Some(self.changed_index(replica, &name)),
            1 if self.rng.random_bool(EXPECT_NEW_PROBABILITY) => Some(0),
            _ => None,
        };
        match self.rng.random_range(0..10) {
            0..=3 => Operation::Write { name, status: Status::Active, expect },
            4 => Operation::Write { name, status: Status::Draining, expect },
            5 => Operation::Write { name, status: Status::Removed, expect },
            6 | 7 => Operation::LinearizableRead,
            _ => Operation::LocalRead { replica },
        }
    }

    /// The index of an endpoint's last change in a replica's list; 0 if there is none.
    fn changed_index(&self, replica: u64, name: &str) -> u64 {
        let Some(running) = self.running(replica) else { return 0 };
        let state = running.node.applied_state().state();
        state.list.entries().get(name).map_or(0, |record| record.changed_index)
    }

    /// Starts the call of a reader of services, if one is drawn.
    pub(super) fn start_reader_call(&mut self) {
        let Some(id) = self.readers.draw_replica() else { return };
        let Some(replica) = self.replicas.get(&id) else { return };
        let Some(running) = replica.running.as_ref().filter(|_| !replica.is_suspended()) else { return };
        if let Some(call) = self.readers.start_call(&running.node, self.now, self.defect) {
            running.runtime.spawn(call);
        }
    }
}

impl Client {
    async fn execute(&self, operation: Operation, endpoint: EndpointInfo) -> CallResult {
        match operation {
            Operation::Write { name, status, expect } => {
                self.write(command(name, status, expect, endpoint)).await
            }
            Operation::LinearizableRead if self.defect == Some(Defect::LinearizableReadsAreLocal) => {
                read_result(&self.node.read(None).update, 0)
            }
            Operation::LinearizableRead => match self.node.read_latest().await {
                Ok(update) => read_result(&update, 0),
                Err(_) => CallResult::Failed,
            },
            Operation::LocalRead { .. } => self.read_local(),
        }
    }

    async fn write(&self, command: Command) -> CallResult {
        match self.node.write(command).await {
            Ok(Outcome::Applied { version, changed }) => CallResult::Written { version, changed },
            Ok(Outcome::Refused(Refusal::IndexMismatch { found, .. })) => CallResult::IndexMismatch(found),
            Ok(Outcome::Refused(Refusal::UnknownEndpoint(_))) => CallResult::NotListed,
            Err(WriteError::OutcomeUnknown(_)) if self.defect == Some(Defect::EarlyAcknowledgement) => {
                let mut version = self.node.applied_state().state().list.version();
                version.index += 1;
                CallResult::Written { version, changed: true }
            }
            Err(WriteError::OutcomeUnknown(_) | WriteError::Stopped(_)) => CallResult::Unknown,
            Ok(_) | Err(WriteError::NoLeader | WriteError::RateLimited(_)) => CallResult::Failed,
        }
    }

    fn read_local(&self) -> CallResult {
        let read = self.node.read(None);
        let age = match read.consistency {
            ReadConsistency::Fresh(age) | ReadConsistency::Stale(age) => age,
            ReadConsistency::Unavailable => return CallResult::Failed,
        };
        let age = if self.defect == Some(Defect::AgesAreZero) { 0 } else { age };
        let step = STEP.as_micros() as i64;
        let age_steps = u64::try_from((age + step - 1) / step).unwrap_or(0);
        read_result(&read.update, age_steps)
    }
}

fn read_result(update: &ListUpdate, age: u64) -> CallResult {
    CallResult::Read { version: update.version, digest: update.digest, age }
}

/// The command that gives an endpoint a status.
fn command(name: String, status: Status, expect: Option<u64>, endpoint: EndpointInfo) -> Command {
    match status {
        Status::Active => {
            let entry = Entry {
                name,
                address: ([127, 0, 0, 1], 80).into(),
                service: endpoint.service,
                zone: None,
                region: None,
                machine_type: None,
                cell: 0,
                status,
                weight: 1.0,
                started_ms: endpoint.started_ms,
                status_reason: StatusReason::Registered,
            };
            let servers = vec![Registration { entry, lease_ms: 0 }];
            Command::Register { servers, expect, at_ms: 0 }
        }
        Status::Draining => Command::Drain { name, expect, at_ms: 0 },
        Status::Removed => Command::Remove { name, expect, at_ms: 0 },
    }
}
