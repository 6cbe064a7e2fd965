//! Calls between replicas and the responses to them, byte for byte.

use crate::fixtures;
use crate::samples::{self, RecordedCall, Recorder, replica};
use lotusmoor_registry::core::{Command, Outcome};
use lotusmoor_registry::node::{Node, WriteError};
use lotusmoor_registry::raft::transport::Envelope;
use lotusmoor_registry::raft::{CallError, Membership, Peers, Rpc, Target, TypeConfig, Vote};
use lotusmoor_registry::store::{Format, StateMachineData};
use openraft::SnapshotMeta;
use openraft::error::{InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Calls to a follower and to a leader: the name of the RPC, the body and the response, each on its own line.
pub const TO_FOLLOWER: &str = "calls-to-follower.txt";
const TO_LEADER: &str = "calls-to-leader.txt";

/// Returns the call that replica 1 sends for this RPC and body.
async fn outgoing_call<B: Serialize>(to: u64, rpc: Rpc, body: B) -> RecordedCall {
    let transport = Recorder::default();
    let peers = Peers { transport: transport.clone(), id: 1, own: replica(1) };
    let target = Target { id: to, address: samples::address(to) };
    let response: Result<(), CallError> = peers.call(&target, rpc, body, Duration::from_secs(1)).await;
    assert!(matches!(response, Err(CallError::NotSent(_))), "{response:?}");
    let mut calls = transport.0.lock().expect("the lock is not poisoned");
    calls.pop().expect("the call was recorded")
}

/// The vote of a candidate.
pub fn candidate() -> Vote {
    Vote::new(1, 1)
}

/// The vote of a leader.
pub fn leader() -> Vote {
    Vote::new_committed(1, 1)
}

/// A request that appends entries of that range after the entry at index `previous`.
pub fn append(
    vote: Vote,
    previous: Option<u64>,
    entries: std::ops::Range<usize>,
) -> AppendEntriesRequest<TypeConfig> {
    AppendEntriesRequest {
        vote,
        prev_log_id: previous.map(|index| samples::log_id(1, index)),
        entries: samples::every_entry()[entries].to_vec(),
        leader_commit: Some(samples::log_id(1, 4)),
    }
}

/// A request that installs a snapshot, sent as a single chunk at that offset.
pub fn snapshot_request(offset: u64) -> InstallSnapshotRequest<TypeConfig> {
    let (last, members) = (samples::log_id(1, 40), samples::membership(false));
    let membership = Membership::new(Some(samples::log_id(0, 0)), members);
    let list = samples::list(&samples::commands());
    let snapshot = StateMachineData { applied: Some(last), membership: membership.clone(), list };
    let plain = serde_json::to_vec(&snapshot).expect("the snapshot is encoded");
    let snapshot_id = format!("1-1-40-{offset}");
    let meta = SnapshotMeta { last_log_id: Some(last), last_membership: membership, snapshot_id };
    let data = Format::Services.encode(&plain);
    InstallSnapshotRequest { vote: leader(), meta, offset, data, done: true }
}

/// Calls to a replica that is not yet a member of a cluster, in order.
async fn calls_to_follower() -> Vec<RecordedCall> {
    let (candidate, leader) = (candidate(), leader());
    let all = samples::every_entry().len();
    vec![
        outgoing_call(2, Rpc::Vote, VoteRequest::new(candidate, Some(samples::log_id(1, 1)))).await,
        outgoing_call(2, Rpc::Append, append(leader, None, 0..5)).await,
        outgoing_call(2, Rpc::Append, append(leader, Some(4), 0..0)).await,
        outgoing_call(2, Rpc::Append, append(leader, Some(4), 5..all)).await,
        outgoing_call(2, Rpc::Append, append(leader, Some(39), 0..0)).await,
        outgoing_call(2, Rpc::Append, append(Vote::new_committed(0, 1), None, 0..0)).await,
        outgoing_call(2, Rpc::Vote, VoteRequest::new(Vote::new(0, 1), None)).await,
        outgoing_call(2, Rpc::Snapshot, snapshot_request(5)).await,
        outgoing_call(2, Rpc::Snapshot, snapshot_request(0)).await,
        outgoing_call(2, Rpc::ReadIndex, ()).await,
        outgoing_call(2, Rpc::Write, samples::drain("c")).await,
        outgoing_call(2, Rpc::Renew, "a").await,
    ]
}

/// Calls to a leader that is the only replica, in order.
async fn calls_to_leader() -> Vec<RecordedCall> {
    let mut calls = Vec::new();
    for command in samples::commands().into_iter().skip(1) {
        calls.push(outgoing_call(1, Rpc::Write, command).await);
    }
    let mismatched = Command::Drain { name: "a".into(), expect: Some(1), at_ms: samples::AT_MS };
    for command in [mismatched, samples::drain("a"), samples::drain("a"), samples::drain("nobody")] {
        calls.push(outgoing_call(1, Rpc::Write, command).await);
    }
    calls.push(outgoing_call(1, Rpc::ReadIndex, ()).await);
    calls.push(outgoing_call(1, Rpc::Renew, "m").await);
    calls.push(outgoing_call(1, Rpc::Renew, "nobody").await);
    calls
}

/// A runtime with a paused clock.
pub fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().expect("a runtime")
}

/// Makes a replica a follower of replica 1, with log entries from that leader.
pub async fn make_follower(node: &Node<Recorder>) {
    for (rpc, body) in calls_to_follower().await.into_iter().take(2) {
        node.handle_peer_call(rpc, &body).await.expect("a response");
    }
}

/// Makes the calls, and returns lines with each call and its response.
async fn run_calls(node: &Node<Recorder>, calls: Vec<RecordedCall>) -> Vec<String> {
    let mut lines = Vec::new();
    for (rpc, body) in calls {
        if rpc == Rpc::Renew {
            // The leader tracks the leases of new registrations only from its next lease check on.
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let response = node.handle_peer_call(rpc, &body).await.expect("a response");
        let text = |bytes| String::from_utf8(bytes).expect("the text is UTF-8");
        lines.extend([rpc.name().to_owned(), text(body), text(response)]);
    }
    node.stop().await;
    lines
}

fn run_calls_on_follower() -> Vec<String> {
    let folder = tempfile::tempdir().expect("a temporary directory");
    runtime().block_on(async {
        let node = samples::start(2, folder.path()).await;
        run_calls(&node, calls_to_follower().await).await
    })
}

fn run_calls_on_leader() -> Vec<String> {
    let folder = tempfile::tempdir().expect("a temporary directory");
    runtime().block_on(async {
        let node = samples::start(1, folder.path()).await;
        assert!(node.bootstrap_cluster(samples::EPOCH, None).await.expect("the cluster is bootstrapped"));
        run_calls(&node, calls_to_leader().await).await
    })
}

pub fn write_fixtures() {
    fixtures::write_lines(TO_FOLLOWER, &run_calls_on_follower());
    fixtures::write_lines(TO_LEADER, &run_calls_on_leader());
}

#[test]
fn calls_to_follower_and_its_responses_match_fixture() {
    assert_eq!(run_calls_on_follower(), fixtures::read_lines(TO_FOLLOWER));
}

#[test]
fn calls_to_leader_and_its_responses_match_fixture() {
    assert_eq!(run_calls_on_leader(), fixtures::read_lines(TO_LEADER));
}

/// Decodes the body of a call and its response, and encodes them again.
fn round_trip<B, R>(body: &str, response: &str) -> [String; 2]
where
    B: Serialize + DeserializeOwned,
    R: Serialize + DeserializeOwned,
{
    let envelope: Envelope<B> = serde_json::from_str(body).expect("the body is decoded");
    assert_eq!((envelope.from, envelope.identity, envelope.address.as_str()), (1, 71, "127.0.0.1:7401"));
    let response: R = serde_json::from_str(response).expect("the response is decoded");
    [serde_json::to_string(&envelope), serde_json::to_string(&response)]
        .map(|text| text.expect("the value is encoded"))
}

#[test]
fn calls_and_responses_round_trip() {
    type Raft<R> = Result<R, RaftError<u64>>;
    type Install = Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>;
    for name in [TO_FOLLOWER, TO_LEADER] {
        let lines = fixtures::read_lines(name);
        assert!(lines.len().is_multiple_of(3) && !lines.is_empty());
        for call in lines.chunks(3) {
            let [rpc, body, response] = call else { panic!("each call has three lines") };
            let encoded = match rpc.as_str() {
                "append" => round_trip::<AppendEntriesRequest<TypeConfig>, Raft<AppendEntriesResponse<u64>>>(
                    body, response,
                ),
                "vote" => round_trip::<VoteRequest<u64>, Raft<VoteResponse<u64>>>(body, response),
                "snapshot" => round_trip::<InstallSnapshotRequest<TypeConfig>, Install>(body, response),
                "committed" => round_trip::<(), Result<u64, WriteError>>(body, response),
                "write" => round_trip::<Command, Result<Outcome, WriteError>>(body, response),
                "renew" => round_trip::<String, Result<bool, WriteError>>(body, response),
                other => panic!("no such call: {other}"),
            };
            assert_eq!(encoded, [body.clone(), response.clone()], "{name}: {rpc}");
        }
    }
}
