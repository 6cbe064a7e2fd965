//! Calls between replicas: what is sent, byte for byte, and what a replica answers.

use crate::fixtures;
use crate::samples::{self, Recorder, Sent, replica};
use lotusmoor_registry::core::{Command, Outcome};
use lotusmoor_registry::node::{Node, WriteError};
use lotusmoor_registry::raft::transport::Envelope;
use lotusmoor_registry::raft::{CallError, Membership, Peers, Rpc, Target, TypeConfig, Vote};
use lotusmoor_registry::store::{Format, Snapshot};
use openraft::SnapshotMeta;
use openraft::error::{InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Calls to a replica that follows, and to one that leads: the name of a call, its body and the answer, on lines of
/// their own.
pub const TO_FOLLOWER: &str = "calls-to-follower.txt";
const TO_LEADER: &str = "calls-to-leader.txt";

/// What replica 1 sends for a call.
async fn sent<B: Serialize>(to: u64, rpc: Rpc, body: B) -> Sent {
    let transport = Recorder::default();
    let peers = Peers { transport: transport.clone(), id: 1, own: replica(1) };
    let target = Target { id: to, address: samples::address(to) };
    let answer: Result<(), CallError> = peers.call(&target, rpc, body, Duration::from_secs(1)).await;
    assert!(matches!(answer, Err(CallError::NotSent(_))), "{answer:?}");
    let mut calls = transport.0.lock().expect("nobody panicked");
    calls.pop().expect("it was sent")
}

/// The vote of a replica that wants to lead.
pub fn candidate() -> Vote {
    Vote::new(1, 1)
}

/// The vote of a replica that leads.
pub fn leader() -> Vote {
    Vote::new_committed(1, 1)
}

/// Entries of that range, after the previous one.
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

/// A snapshot in one part, which begins at that offset.
pub fn snapshot_request(offset: u64) -> InstallSnapshotRequest<TypeConfig> {
    let (last, members) = (samples::log_id(1, 40), samples::membership(false));
    let membership = Membership::new(Some(samples::log_id(0, 0)), members);
    let list = samples::list(&samples::commands());
    let snapshot = Snapshot { applied: Some(last), membership: membership.clone(), list };
    let plain = serde_json::to_vec(&snapshot).expect("it is encoded");
    let snapshot_id = format!("1-1-40-{offset}");
    let meta = SnapshotMeta { last_log_id: Some(last), last_membership: membership, snapshot_id };
    let data = Format::Services.encode(&plain);
    InstallSnapshotRequest { vote: leader(), meta, offset, data, done: true }
}

/// Calls to a replica that was just made, in their order.
async fn calls_to_follower() -> Vec<Sent> {
    let (candidate, leader) = (candidate(), leader());
    let all = samples::every_entry().len();
    vec![
        sent(2, Rpc::Vote, VoteRequest::new(candidate, Some(samples::log_id(1, 1)))).await,
        sent(2, Rpc::Append, append(leader, None, 0..5)).await,
        sent(2, Rpc::Append, append(leader, Some(4), 0..0)).await,
        sent(2, Rpc::Append, append(leader, Some(4), 5..all)).await,
        sent(2, Rpc::Append, append(leader, Some(39), 0..0)).await,
        sent(2, Rpc::Append, append(Vote::new_committed(0, 1), None, 0..0)).await,
        sent(2, Rpc::Vote, VoteRequest::new(Vote::new(0, 1), None)).await,
        sent(2, Rpc::Snapshot, snapshot_request(5)).await,
        sent(2, Rpc::Snapshot, snapshot_request(0)).await,
        sent(2, Rpc::ReadIndex, ()).await,
        sent(2, Rpc::Write, samples::drain("c")).await,
        sent(2, Rpc::Renew, "a").await,
    ]
}

/// Calls to a replica that leads alone.
async fn calls_to_leader() -> Vec<Sent> {
    let mut calls = Vec::new();
    for command in samples::commands().into_iter().skip(1) {
        calls.push(sent(1, Rpc::Write, command).await);
    }
    let late = Command::Drain { name: "a".into(), expect: Some(1), at_ms: samples::AT_MS };
    for command in [late, samples::drain("a"), samples::drain("a"), samples::drain("nobody")] {
        calls.push(sent(1, Rpc::Write, command).await);
    }
    calls.push(sent(1, Rpc::ReadIndex, ()).await);
    calls.push(sent(1, Rpc::Renew, "m").await);
    calls.push(sent(1, Rpc::Renew, "nobody").await);
    calls
}

/// A runtime on a paused clock.
pub fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().expect("a runtime")
}

/// Makes a replica a follower of replica 1, with a list.
pub async fn follow(node: &Node<Recorder>) {
    for (rpc, body) in calls_to_follower().await.into_iter().take(2) {
        node.handle_peer_call(rpc, &body).await.expect("it is answered");
    }
}

/// Lines with calls and what a replica answers to them.
async fn played(node: &Node<Recorder>, calls: Vec<Sent>) -> Vec<String> {
    let mut lines = Vec::new();
    for (rpc, body) in calls {
        if rpc == Rpc::Renew {
            // The leader knows of the leases of what was written from its next look on.
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let answer = node.handle_peer_call(rpc, &body).await.expect("it is answered");
        let text = |bytes| String::from_utf8(bytes).expect("it is JSON");
        lines.extend([rpc.name().to_owned(), text(body), text(answer)]);
    }
    node.stop().await;
    lines
}

fn played_at_follower() -> Vec<String> {
    let folder = tempfile::tempdir().expect("a folder");
    runtime().block_on(async {
        let node = samples::start(2, folder.path()).await;
        played(&node, calls_to_follower().await).await
    })
}

fn played_at_leader() -> Vec<String> {
    let folder = tempfile::tempdir().expect("a folder");
    runtime().block_on(async {
        let node = samples::start(1, folder.path()).await;
        assert!(node.bootstrap_cluster(samples::EPOCH, None).await.expect("the list is founded"));
        played(&node, calls_to_leader().await).await
    })
}

pub fn write_fixtures() {
    fixtures::write_lines(TO_FOLLOWER, &played_at_follower());
    fixtures::write_lines(TO_LEADER, &played_at_leader());
}

#[test]
fn calls_to_follower_and_its_answers_match_fixture() {
    assert_eq!(played_at_follower(), fixtures::read_lines(TO_FOLLOWER));
}

#[test]
fn calls_to_leader_and_its_answers_match_fixture() {
    assert_eq!(played_at_leader(), fixtures::read_lines(TO_LEADER));
}

/// Decodes and encodes a call's body and its answer.
fn both<B, A>(body: &str, answer: &str) -> [String; 2]
where
    B: Serialize + DeserializeOwned,
    A: Serialize + DeserializeOwned,
{
    let envelope: Envelope<B> = serde_json::from_str(body).expect("the body is decoded");
    assert_eq!((envelope.from, envelope.identity, envelope.address.as_str()), (1, 71, "127.0.0.1:7401"));
    let answer: A = serde_json::from_str(answer).expect("the answer is decoded");
    [serde_json::to_string(&envelope), serde_json::to_string(&answer)]
        .map(|text| text.expect("it is encoded"))
}

#[test]
fn calls_and_answers_round_trip() {
    type Raft<A> = Result<A, RaftError<u64>>;
    type Install = Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>;
    for name in [TO_FOLLOWER, TO_LEADER] {
        let lines = fixtures::read_lines(name);
        assert!(lines.len().is_multiple_of(3) && !lines.is_empty());
        for call in lines.chunks(3) {
            let [rpc, body, answer] = call else { panic!("three lines a call") };
            let encoded = match rpc.as_str() {
                "append" => {
                    both::<AppendEntriesRequest<TypeConfig>, Raft<AppendEntriesResponse<u64>>>(body, answer)
                }
                "vote" => both::<VoteRequest<u64>, Raft<VoteResponse<u64>>>(body, answer),
                "snapshot" => both::<InstallSnapshotRequest<TypeConfig>, Install>(body, answer),
                "committed" => both::<(), Result<u64, WriteError>>(body, answer),
                "write" => both::<Command, Result<Outcome, WriteError>>(body, answer),
                "renew" => both::<String, Result<bool, WriteError>>(body, answer),
                other => panic!("no such call: {other}"),
            };
            assert_eq!(encoded, [body.clone(), answer.clone()], "{name}: {rpc}");
        }
    }
}
