//! Calls that a replica makes of its own accord: openraft's over its network, and those of a follower to its leader.

use crate::samples::{self, Recorder, Sent, replica};
use crate::{fixtures, raft_calls};
use lotusmoor_registry::node::WriteError;
use lotusmoor_registry::raft::{Peers, Rpc};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::VoteRequest;
use std::time::Duration;

/// What a follower sends its leader: the name of a call and its body, on lines of their own.
const FORWARDED: &str = "calls-forwarded.txt";

/// The first call of that kind.
fn first(recorder: &Recorder, rpc: Rpc) -> Sent {
    let calls = recorder.0.lock().expect("nobody panicked");
    calls.iter().find(|(kind, _)| *kind == rpc).cloned().expect("it was made")
}

/// What a follower sends where it is written to, told of a renewal and read with all that was acknowledged.
fn forwarded() -> Vec<String> {
    let folder = tempfile::tempdir().expect("a folder");
    let calls = raft_calls::runtime().block_on(async {
        let recorder = Recorder::default();
        let node = samples::start_over(2, folder.path(), recorder.clone()).await;
        raft_calls::follow(&node).await;
        let of_service = samples::put(vec![samples::of_service("w3", "web")]);
        assert_eq!(node.write(of_service).await.err(), Some(WriteError::NoLeader));
        assert!(matches!(node.renew("a").await, Err(WriteError::OutcomeUnknown(_))));
        assert_eq!(node.read_latest().await.err(), Some(WriteError::NoLeader));
        node.stop().await;
        [Rpc::Write, Rpc::Renew, Rpc::ReadIndex].map(|rpc| first(&recorder, rpc))
    });
    let text = |(rpc, body): Sent| [rpc.name().to_owned(), String::from_utf8(body).expect("it is JSON")];
    calls.into_iter().flat_map(text).collect()
}

pub fn write_fixtures() {
    fixtures::write_lines(FORWARDED, &forwarded());
}

#[test]
fn calls_forwarded_to_leader_match_fixture() {
    assert_eq!(forwarded(), fixtures::read_lines(FORWARDED));
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
        let body = String::from_utf8(body).expect("it is JSON");
        assert!(lines.chunks(3).any(|call| call[0] == rpc.name() && call[1] == body), "{rpc:?}: {body}");
    }
}
