//! Outgoing calls of a replica: those that openraft makes over its network, and those of a follower to its leader.

use crate::samples::{self, RecordedCall, Recorder, replica};
use crate::{fixtures, raft_calls};
use lotusmoor_registry::node::WriteError;
use lotusmoor_registry::raft::{Peers, Rpc};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::VoteRequest;
use std::time::Duration;

/// The calls that a follower sends to its leader: the name of the RPC and the body, each on its own line.
const FORWARDED: &str = "calls-forwarded.txt";

/// The first recorded call of that RPC.
fn first(recorder: &Recorder, rpc: Rpc) -> RecordedCall {
    let calls = recorder.0.lock().expect("the lock is not poisoned");
    calls.iter().find(|(kind, _)| *kind == rpc).cloned().expect("the call was made")
}

/// The calls that a follower sends for a write, a renewal and a linearizable read.
fn forwarded_calls() -> Vec<String> {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let calls = raft_calls::runtime().block_on(async {
        let recorder = Recorder::default();
        let node = samples::start_with_recorder(2, folder.path(), recorder.clone()).await;
        raft_calls::make_follower(&node).await;
        let of_service = samples::register(vec![samples::of_service("w3", "web")]);
        assert_eq!(node.write(of_service).await.err(), Some(WriteError::NoLeader));
        assert!(matches!(node.renew("a").await, Err(WriteError::OutcomeUnknown(_))));
        assert_eq!(node.read_latest().await.err(), Some(WriteError::NoLeader));
        node.stop().await;
        [Rpc::Write, Rpc::Renew, Rpc::ReadIndex].map(|rpc| first(&recorder, rpc))
    });
    let text = |(rpc, body): RecordedCall| {
        [rpc.name().to_owned(), String::from_utf8(body).expect("the body is UTF-8")]
    };
    calls.into_iter().flat_map(text).collect()
}

pub fn write_fixtures() {
    fixtures::write_lines(FORWARDED, &forwarded_calls());
}

#[test]
fn calls_forwarded_to_leader_match_fixture() {
    assert_eq!(forwarded_calls(), fixtures::read_lines(FORWARDED));
}

#[test]
fn openraft_calls_match_fixture() {
    let sent = raft_calls::runtime().block_on(async {
        let recorder = Recorder::default();
        let mut peers = Peers { transport: recorder.clone(), id: 1, own: replica(1) };
        let mut peer = peers.new_client(2, &replica(2)).await;
        let option = || RPCOption::new(Duration::from_secs(1));
        let vote = VoteRequest::new(raft_calls::candidate(), Some(samples::log_id(1, 1)));
        assert!(peer.vote(vote, option()).await.is_err());
        let append = raft_calls::append(raft_calls::leader(), None, 0..5);
        assert!(peer.append_entries(append, option()).await.is_err());
        let snapshot = raft_calls::snapshot_request(0);
        assert!(peer.install_snapshot(snapshot, option()).await.is_err());
        [Rpc::Vote, Rpc::Append, Rpc::Snapshot].map(|rpc| first(&recorder, rpc))
    });
    let lines = fixtures::read_lines(raft_calls::TO_FOLLOWER);
    for (rpc, body) in sent {
        let body = String::from_utf8(body).expect("the body is UTF-8");
        assert!(lines.chunks(3).any(|call| call[0] == rpc.name() && call[1] == body), "{rpc:?}: {body}");
    }
}
