//! Values of which the fixtures were written, and replicas to try them on.

use lotusmoor_registry::core::SECOND;
use lotusmoor_registry::core::{Command, ExpiredLease, List, Outcome, Refusal, Registration};
use lotusmoor_registry::node::{Node, Settings, WriteError};
use lotusmoor_registry::raft::{CallError, LogEntry, LogId, Replica, Rpc, Target, Transport};
use lotusmoor_registry::store::{Format, Store};
use lotusmoor_registry_client::{Entry, Status, StatusReason, Version};
use openraft::{CommittedLeaderId, EntryPayload, Membership};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The epoch of the list.
pub const EPOCH: u64 = 1000;
/// The index at which it begins.
pub const FIRST: u64 = EPOCH << 20;
/// Unix time of all changes, in milliseconds.
pub const AT_MS: u64 = 1_700_000_000_000;
/// Long enough that no lease runs out in a test.
pub const LEASE_MS: u64 = 3_600_000;
/// Longer than any test.
const HOUR: Duration = Duration::from_secs(3600);

/// A call as it is sent.
pub type Sent = (Rpc, Vec<u8>);

/// Keeps what is sent and reaches nobody.
#[derive(Clone, Default)]
pub struct Recorder(pub Arc<Mutex<Vec<Sent>>>);

impl Transport for Recorder {
    async fn call(&self, _: &Target, rpc: Rpc, body: Vec<u8>, _: Duration) -> Result<Vec<u8>, CallError> {
        self.0.lock().expect("nobody panicked").push((rpc, body));
        Err(CallError::NotSent("nobody is there".into()))
    }
}

/// The replica of that number.
pub fn replica(id: u64) -> Replica {
    Replica { address: address(id), identity: 70 + id }
}

/// Its address.
pub fn address(id: u64) -> String {
    format!("127.0.0.1:740{id}")
}

/// Starts the replica of that number over the file in that folder. It holds no election of its own accord.
pub async fn start(id: u64, folder: &Path) -> Node<Recorder> {
    start_over(id, folder, Recorder::default()).await
}

/// The same with calls that are kept there.
pub async fn start_over(id: u64, folder: &Path, recorder: Recorder) -> Node<Recorder> {
    let store = Store::open(folder, Format::NEWEST).expect("the store opens");
    let mut settings = Settings::new(id, address(id));
    settings.heartbeat_interval = HOUR / 4;
    settings.election_timeout_min = HOUR;
    settings.election_timeout_max = 2 * HOUR;
    settings.leases.draining_time = 3600 * SECOND;
    Node::start(settings, store, recorder, replica(id).identity).await.expect("the replica starts")
}

/// A server with nothing but what it must have.
pub fn plain(name: &str) -> Registration {
    let entry = Entry {
        name: name.into(),
        address: "10.0.0.1:8080".parse().expect("an address"),
        service: None,
        zone: None,
        region: None,
        machine_type: None,
        cell: 0,
        status: Status::Active,
        weight: 1.0,
        started_ms: 0,
        status_reason: StatusReason::Registered,
    };
    Registration { entry, lease_ms: 0 }
}

/// A server with everything but a service.
pub fn full(name: &str) -> Registration {
    let entry = Entry {
        address: "[2001:db8::1]:443".parse().expect("an address"),
        zone: Some("zone-a".into()),
        region: Some("north".into()),
        machine_type: Some("large".into()),
        cell: 3,
        weight: 2.5,
        started_ms: 1_600_000_000_123,
        ..plain(name).entry
    };
    Registration { entry, lease_ms: LEASE_MS }
}

/// A server of a service.
pub fn of_service(name: &str, service: &str) -> Registration {
    let mut registration = full(name);
    registration.entry.service = Some(service.into());
    registration
}

/// Registers servers.
pub fn put(servers: Vec<Registration>) -> Command {
    Command::Register { servers, expect: None, at_ms: AT_MS }.into_log_form()
}

/// Drains a server.
pub fn drain(name: &str) -> Command {
    Command::Drain { name: name.into(), expect: None, at_ms: AT_MS }
}

/// Removes a server.
pub fn remove(name: &str) -> Command {
    Command::Remove { name: name.into(), expect: None, at_ms: AT_MS }
}

/// Commands of a list without services; with an open drain, a lease that ran out, and one that left.
pub fn commands_without_services() -> Vec<Command> {
    let leaving = ExpiredLease { name: "c".into(), registered_index: FIRST + 1, remove: false };
    let left = ExpiredLease { name: "d".into(), registered_index: FIRST + 1, remove: true };
    vec![
        Command::Bootstrap { epoch: EPOCH, backup: None },
        put(vec![plain("a"), full("b"), full("c"), full("d"), plain("e")]),
        Command::Expire { leases: vec![leaving, left], at_ms: AT_MS },
        Command::Drain { name: "a".into(), expect: Some(FIRST + 1), at_ms: AT_MS },
        Command::Drain { name: "b".into(), expect: None, at_ms: AT_MS },
        Command::Resume { name: "a".into(), expect: Some(FIRST + 3), at_ms: AT_MS },
        Command::Remove { name: "e".into(), expect: Some(FIRST + 1), at_ms: AT_MS },
    ]
}

/// The same with services: one server goes over to another service, one leaves its service with the list.
pub fn commands() -> Vec<Command> {
    let services = [
        put(vec![of_service("w1", "web"), of_service("w2", "web"), of_service("m", "mail")]),
        put(vec![of_service("m", "web")]),
        drain("w2"),
        remove("w1"),
    ];
    commands_without_services().into_iter().chain(services).collect()
}

/// The list that commands make.
pub fn list(commands: &[Command]) -> List {
    let mut list = List::default();
    for command in commands {
        let outcome = list.apply(command);
        assert!(matches!(outcome, Outcome::Applied { changed: true, .. }), "{command:?}: {outcome:?}");
    }
    list
}

/// Every kind of command.
pub fn every_command() -> Vec<Command> {
    let from = |list| Command::Bootstrap { epoch: EPOCH + 1, backup: Some(Box::new(list)) }.into_log_form();
    let restored = [from(list(&commands_without_services())), from(list(&commands()))];
    commands().into_iter().chain(restored).collect()
}

/// Every kind of answer to a command, as one replica gives it to another.
pub fn every_outcome() -> Vec<Result<Outcome, WriteError>> {
    let done = |changed| Outcome::Applied { version: Version { epoch: EPOCH, index: FIRST + 2 }, changed };
    let refused = |refusal| Ok(Outcome::Refused(refusal));
    vec![
        Ok(Outcome::NoCommand),
        Ok(done(true)),
        Ok(done(false)),
        refused(Refusal::IndexMismatch { name: "a".into(), found: FIRST }),
        refused(Refusal::UnknownEndpoint("a".into())),
        refused(Refusal::ListFull),
        refused(Refusal::Invalid("a: weight must be above 0".into())),
        refused(Refusal::StaleEpoch(EPOCH)),
        Err(WriteError::NoLeader),
        Err(WriteError::OutcomeUnknown("not at a majority in time".into())),
        Err(WriteError::RateLimited(1_999_999)),
        Err(WriteError::Stopped("the disk failed".into())),
    ]
}

/// A place in the log, of the leader with number 1.
pub fn log_id(term: u64, index: u64) -> LogId {
    LogId::new(CommittedLeaderId::new(term, 1), index)
}

/// Two replicas, of which the first votes; `joint`: the second is about to.
pub fn membership(joint: bool) -> Membership<u64, Replica> {
    let mut voters = vec![BTreeSet::from([1])];
    if joint {
        voters.push(BTreeSet::from([1, 2]));
    }
    Membership::new(voters, BTreeMap::from([(1, replica(1)), (2, replica(2))]))
}

/// Entries of a log, with every kind of payload; from index 0 on.
pub fn every_entry() -> Vec<LogEntry> {
    let members = [false, true].map(|joint| EntryPayload::Membership(membership(joint)));
    let commands = every_command().into_iter().map(EntryPayload::Normal);
    let payloads = members.into_iter().chain([EntryPayload::Blank]).chain(commands);
    let entry = |(index, payload)| LogEntry { log_id: log_id(u64::from(index > 0), index), payload };
    (0..).zip(payloads).map(entry).collect()
}
