//! Exact encoding of single values.

use crate::{fixtures, samples};
use lotusmoor_registry::core::{Command, List, Outcome};
use lotusmoor_registry::node::WriteError;
use lotusmoor_registry::raft::{LogEntry, Membership, Rpc, Vote};
use lotusmoor_registry::store::{Format, StateMachineData};
use openraft::raft::AppendEntriesResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const COMMANDS: &str = "commands.jsonl";
const OUTCOMES: &str = "outcomes.jsonl";
const ENTRIES: &str = "entries.jsonl";
const VOTES: &str = "votes.jsonl";
const APPEND_RESPONSES: &str = "append-answers.jsonl";
const RPC_NAMES: &str = "calls.jsonl";

/// Files with a snapshot in each format.
const SNAPSHOTS: [(&str, Format); 3] = [
    ("snapshot.form1", Format::PlainJson),
    ("snapshot.form2", Format::Checksummed),
    ("snapshot.form3", Format::Services),
];

fn votes() -> Vec<Vote> {
    vec![Vote::new(3, 1), Vote::new_committed(3, 1)]
}

fn append_responses() -> Vec<AppendEntriesResponse<u64>> {
    vec![
        AppendEntriesResponse::Success,
        AppendEntriesResponse::PartialSuccess(Some(samples::log_id(1, 7))),
        AppendEntriesResponse::Conflict,
        AppendEntriesResponse::HigherVote(Vote::new(4, 2)),
    ]
}

fn snapshot(format: Format) -> StateMachineData {
    let services = format.has_services();
    let commands = if services { samples::commands() } else { samples::commands_without_services() };
    let last = commands.len() as u64 + 2;
    let membership = Membership::new(Some(samples::log_id(1, 1)), samples::membership(true));
    StateMachineData { applied: Some(samples::log_id(1, last)), membership, list: samples::list(&commands) }
}

fn encoded<V: Serialize>(values: &[V]) -> Vec<String> {
    values.iter().map(|v| serde_json::to_string(v).expect("the value is encoded")).collect()
}

/// Checks that the values are encoded as in the fixture, and that the fixture is decoded to the values.
fn check<V: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, values: &[V]) {
    let lines = fixtures::read_lines(name);
    assert_eq!(encoded(values), lines, "{name}");
    for (line, value) in lines.iter().zip(values) {
        let decoded: V = serde_json::from_str(line).unwrap_or_else(|e| panic!("{name}: {e}: {line}"));
        assert_eq!(decoded, *value, "{name}");
    }
}

pub fn write_fixtures() {
    fixtures::write_lines(COMMANDS, &encoded(&samples::every_command()));
    fixtures::write_lines(OUTCOMES, &encoded(&samples::every_outcome()));
    fixtures::write_lines(ENTRIES, &encoded(&samples::every_entry()));
    fixtures::write_lines(VOTES, &encoded(&votes()));
    fixtures::write_lines(APPEND_RESPONSES, &encoded(&append_responses()));
    fixtures::write_lines(RPC_NAMES, &encoded(&Rpc::ALL));
    for (name, format) in SNAPSHOTS {
        let plain = serde_json::to_vec(&snapshot(format)).expect("the snapshot is encoded");
        fixtures::write(name, &format.encode(&plain));
    }
}

#[test]
fn commands_match_fixture() {
    check::<Command>(COMMANDS, &samples::every_command());
}

#[test]
fn outcomes_match_fixture() {
    check::<Result<Outcome, WriteError>>(OUTCOMES, &samples::every_outcome());
}

#[test]
fn log_entries_match_fixture() {
    check::<LogEntry>(ENTRIES, &samples::every_entry());
}

#[test]
fn votes_match_fixture() {
    check::<Vote>(VOTES, &votes());
}

#[test]
fn append_responses_match_fixture() {
    check::<AppendEntriesResponse<u64>>(APPEND_RESPONSES, &append_responses());
}

#[test]
fn rpc_names_match_fixture() {
    check::<Rpc>(RPC_NAMES, &Rpc::ALL);
    let names: Vec<String> = Rpc::ALL.iter().map(|rpc| format!("\"{}\"", rpc.name())).collect();
    assert_eq!(names, fixtures::read_lines(RPC_NAMES));
}

#[test]
fn snapshots_of_all_formats_match_fixtures() {
    for (name, format) in SNAPSHOTS {
        let bytes = fixtures::read(name);
        let read = StateMachineData::decode(&bytes).expect("a valid snapshot");
        assert_eq!(read, snapshot(format), "{name}");
        let plain = serde_json::to_vec(&read).expect("the snapshot is encoded");
        assert_eq!(format.encode(&plain), bytes, "{name}");
    }
}

#[test]
fn reads_backup_fixture() {
    for (name, format) in SNAPSHOTS {
        let list: List =
            lotusmoor_registry::process::read_backup(&fixtures::path(name)).expect("a valid backup");
        assert_eq!(list, snapshot(format).list, "{name}");
    }
}
