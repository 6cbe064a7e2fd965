//! Sample values, from which the fixtures were written, and replicas for the tests.

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
/// The first index of that epoch.
pub const FIRST_INDEX: u64 = EPOCH << 20;
/// Unix time of all changes, in milliseconds.
pub const AT_MS: u64 = 1_700_000_000_000;
/// Long enough that no lease expires during a test.
pub const LEASE_MS: u64 = 3_600_000;
/// Longer than any test.
const HOUR: Duration = Duration::from_secs(3600);

/// A recorded call: the RPC and its body.
pub type RecordedCall = (Rpc, Vec<u8>);

/// A transport that records calls and delivers none.
#[derive(Clone, Default)]
pub struct Recorder(pub Arc<Mutex<Vec<RecordedCall>>>);

impl Transport for Recorder {
    async fn call(&self, _: &Target, rpc: Rpc, body: Vec<u8>, _: Duration) -> Result<Vec<u8>, CallError> {
        self.0.lock().expect("the lock is not poisoned").push((rpc, body));
        Err(CallError::NotSent("nobody is there".into()))
    }
}

/// The replica with that ID.
pub fn replica(id: u64) -> Replica {
    Replica { address: address(id), identity: 70 + id }
}

/// The address of the replica with that ID.
pub fn address(id: u64) -> String {
    format!("127.0.0.1:740{id}")
}

/// Starts the replica with that ID and the store in that folder. Its election timeout is longer than any test, so that
/// it starts no election by itself.
pub async fn start(id: u64, folder: &Path) -> Node<Recorder> {
    start_with_recorder(id, folder, Recorder::default()).await
}

/// Like [`start`], with a recorder for its outgoing calls.
pub async fn start_with_recorder(id: u64, folder: &Path, recorder: Recorder) -> Node<Recorder> {
    let store = Store::open(folder, Format::NEWEST).expect("the store opens");
    let mut settings = Settings::new(id, address(id));
    settings.heartbeat_interval = HOUR / 4;
    settings.election_timeout_min = HOUR;
    settings.election_timeout_max = 2 * HOUR;
    settings.leases.draining_time = 3600 * SECOND;
    Node::start(settings, store, recorder, replica(id).identity).await.expect("the replica starts")
}

/// A registration with required fields only.
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

/// A registration with every field except the service.
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

/// A registration with every field.
pub fn of_service(name: &str, service: &str) -> Registration {
    let mut registration = full(name);
    registration.entry.service = Some(service.into());
    registration
}

/// A command that registers servers.
pub fn register(servers: Vec<Registration>) -> Command {
    Command::Register { servers, expect: None, at_ms: AT_MS }.into_log_form()
}

/// A command that drains a server.
pub fn drain(name: &str) -> Command {
    Command::Drain { name: name.into(), expect: None, at_ms: AT_MS }
}

/// A command that removes a server.
pub fn remove(name: &str) -> Command {
    Command::Remove { name: name.into(), expect: None, at_ms: AT_MS }
}

/// Commands without services. They leave a drained server, one that is draining as its lease expired, and one that was
/// removed as its lease expired.
pub fn commands_without_services() -> Vec<Command> {
    let draining = ExpiredLease { name: "c".into(), registered_index: FIRST_INDEX + 1, remove: false };
    let removed = ExpiredLease { name: "d".into(), registered_index: FIRST_INDEX + 1, remove: true };
    vec![
        Command::Bootstrap { epoch: EPOCH, backup: None },
        register(vec![plain("a"), full("b"), full("c"), full("d"), plain("e")]),
        Command::Expire { leases: vec![draining, removed], at_ms: AT_MS },
        Command::Drain { name: "a".into(), expect: Some(FIRST_INDEX + 1), at_ms: AT_MS },
        Command::Drain { name: "b".into(), expect: None, at_ms: AT_MS },
        Command::Resume { name: "a".into(), expect: Some(FIRST_INDEX + 3), at_ms: AT_MS },
        Command::Remove { name: "e".into(), expect: Some(FIRST_INDEX + 1), at_ms: AT_MS },
    ]
}

/// The same commands, followed by some with services: one server moves to another service, one is drained, and one is
/// removed.
pub fn commands() -> Vec<Command> {
    let services = [
        register(vec![of_service("w1", "web"), of_service("w2", "web"), of_service("m", "mail")]),
        register(vec![of_service("m", "web")]),
        drain("w2"),
        remove("w1"),
    ];
    commands_without_services().into_iter().chain(services).collect()
}

/// The list that results from commands.
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

/// Every kind of outcome of a command, as a replica sends it to another.
pub fn every_outcome() -> Vec<Result<Outcome, WriteError>> {
    let applied =
        |changed| Outcome::Applied { version: Version { epoch: EPOCH, index: FIRST_INDEX + 2 }, changed };
    let refused = |refusal| Ok(Outcome::Refused(refusal));
    vec![
        Ok(Outcome::NoCommand),
        Ok(applied(true)),
        Ok(applied(false)),
        refused(Refusal::IndexMismatch { name: "a".into(), found: FIRST_INDEX }),
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

/// A log ID with replica 1 as the leader.
pub fn log_id(term: u64, index: u64) -> LogId {
    LogId::new(CommittedLeaderId::new(term, 1), index)
}

/// Two replicas, of which only the first is a voter; if `joint`, a change that makes the second a voter is in progress.
pub fn membership(joint: bool) -> Membership<u64, Replica> {
    let mut voters = vec![BTreeSet::from([1])];
    if joint {
        voters.push(BTreeSet::from([1, 2]));
    }
    Membership::new(voters, BTreeMap::from([(1, replica(1)), (2, replica(2))]))
}

/// Log entries with every kind of payload, from index 0 on.
pub fn every_entry() -> Vec<LogEntry> {
    let members = [false, true].map(|joint| EntryPayload::Membership(membership(joint)));
    let commands = every_command().into_iter().map(EntryPayload::Normal);
    let payloads = members.into_iter().chain([EntryPayload::Blank]).chain(commands);
    let entry = |(index, payload)| LogEntry { log_id: log_id(u64::from(index > 0), index), payload };
    (0..).zip(payloads).map(entry).collect()
}
