//! Calls of servers, sidecars and operators over HTTP, and the answers to them, byte for byte.
//!
//! `http/SCENE/NN-name.request` is what a caller sends, and `.response` what it is answered: in it, numbers that
//! depend on the time stand as `#`, and the line with the date is left out.

use crate::http_calls::{BUSY, FOLLOWER, LAST, LEADER, NEW, SCENES, STORE_FAILED, TOO_OFTEN, calls, request};
use crate::samples::{self, EPOCH, FIRST, LEASE_MS};
use crate::{database, fixtures, raft_calls};
use lotusmoor_registry::core::EndpointRecord;
use lotusmoor_registry::http::{Limits, serve, unavailable};
use lotusmoor_registry::store::Snapshot;
use lotusmoor_registry_client::ListUpdate;
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Puts `#` for the number after each place where that key stands.
fn blank(bytes: &[u8], key: &str) -> Vec<u8> {
    let (mut blanked, mut rest) = (Vec::new(), bytes);
    while let Some(at) = rest.windows(key.len()).position(|w| w == key.as_bytes()) {
        let (before, after) = rest.split_at(at + key.len());
        blanked.extend_from_slice(before);
        let digits = after.iter().take_while(|b| b.is_ascii_digit() || **b == b'.').count();
        if digits > 0 {
            blanked.push(b'#');
        }
        rest = &after[digits..];
    }
    [blanked, rest.to_vec()].concat()
}

/// Sorts the lines of the one metric that has several: their order is that of a hash map.
fn sort_servers(text: &str) -> String {
    let is_of_servers = |line: &&str| line.starts_with("roster_servers{");
    let mut lines: Vec<&str> = text.split_inclusive('\n').collect();
    if let Some(first) = lines.iter().position(is_of_servers) {
        let count = lines[first..].iter().take_while(|line| is_of_servers(line)).count();
        lines[first..first + count].sort_unstable();
    }
    lines.concat()
}

/// An answer without what depends on the time or on the order of a hash map.
fn timeless(response: &[u8]) -> Vec<u8> {
    let head = response.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    let (head, body) = response.split_at(head);
    let head = String::from_utf8(head.to_vec()).expect("a head is text");
    let head: String = head.split_inclusive("\r\n").filter(|line| !line.starts_with("date:")).collect();
    let mut response = [blank(head.as_bytes(), "content-length: "), body.to_vec()].concat();
    for key in ["\"age_ms\":", "\"waited_ms\":", "\nroster_age_ms "] {
        response = blank(&response, key);
    }
    if response.starts_with(b"HTTP/1.1 429") {
        response = blank(&response, "retry-after: ");
    }
    match std::str::from_utf8(&response) {
        Ok(text) => sort_servers(text).into_bytes(),
        Err(_) => response,
    }
}

async fn call(address: std::net::SocketAddr, request: &[u8]) -> Vec<u8> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.expect("it connects");
        stream.write_all(request).await.expect("the call goes out");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.expect("it is answered");
        response
    };
    timeless(&tokio::time::timeout(Duration::from_secs(30), exchange).await.expect("it is answered in time"))
}

/// Makes a call of that name.
async fn answer(address: std::net::SocketAddr, name: &str, request: &[u8]) -> Vec<u8> {
    let mut response = call(address, request).await;
    while name.ends_with(TOO_OFTEN) && response.starts_with(b"HTTP/1.1 200") {
        response = call(address, request).await;
    }
    response
}

/// Runs a scene: `caller` gets the address of the replica that is to be called.
async fn in_scene<F: Future<Output = ()>>(scene: &str, caller: impl FnOnce(std::net::SocketAddr) -> F) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = listener.local_addr().expect("its address");
    if scene == STORE_FAILED {
        unavailable(listener.into(), &Limits::default(), 2, caller(address)).await;
        return;
    }
    let leads = matches!(scene, LEADER | BUSY);
    let folder = if leads { database::copy() } else { tempfile::tempdir().expect("a folder") };
    let node = samples::start(if leads { 1 } else { 2 }, folder.path()).await;
    match scene {
        LEADER | BUSY => {
            while node.age().is_none() || node.applied_state().state().list.version().index < LAST {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            // It looks after the leases from the first tick on at which it leads.
            while node.renew("m").await.is_err() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        FOLLOWER => raft_calls::follow(&node).await,
        _ => {}
    }
    let limits = if scene == BUSY {
        Limits { watchers: 0, full_lists_per_s: 1e-4, ..Limits::default() }
    } else {
        Limits::default()
    };
    let service = serve(listener, node.clone(), limits);
    caller(address).await;
    service.close().await;
    node.stop().await;
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

pub fn write_fixtures() {
    for scene in SCENES {
        runtime().block_on(in_scene(scene, |address| async move {
            for (number, made) in calls(scene).iter().enumerate() {
                let (name, request) = (format!("http/{scene}/{number:02}-{}", made.0), request(made));
                fixtures::write(&format!("{name}.request"), &request);
                fixtures::write(&format!("{name}.response"), &answer(address, &name, &request).await);
            }
        }));
    }
}

/// Names of the calls of a scene, in their order.
fn names(scene: &str) -> Vec<String> {
    let folder = std::fs::read_dir(fixtures::path(&format!("http/{scene}"))).expect("the scene's folder");
    let files = folder.map(|f| f.expect("a file").file_name().into_string().expect("a name"));
    let mut names: Vec<String> =
        files.filter_map(|f| f.strip_suffix(".request").map(str::to_owned)).collect();
    names.sort();
    names
}

/// Makes the calls of a scene, and compares the answers to what they were.
fn check(scene: &str) {
    let names = names(scene);
    assert_eq!(names.len(), calls(scene).len(), "all calls of the scene have a fixture");
    runtime().block_on(in_scene(scene, |address| async move {
        for name in names {
            let path = format!("http/{scene}/{name}");
            let answer = answer(address, &name, &fixtures::read(&format!("{path}.request"))).await;
            let expected = fixtures::read(&format!("{path}.response"));
            let text = String::from_utf8_lossy;
            assert_eq!(text(&answer), text(&expected), "{path}");
            assert_eq!(answer, expected, "{path}");
        }
    }));
}

#[test]
fn leader_responses_match_fixtures() {
    check(LEADER);
}

#[test]
fn overloaded_leader_responses_match_fixtures() {
    check(BUSY);
}

#[test]
fn follower_responses_match_fixtures() {
    check(FOLLOWER);
}

#[test]
fn uninitialized_replica_responses_match_fixtures() {
    check(NEW);
}

#[test]
fn responses_after_store_failure_match_fixtures() {
    check(STORE_FAILED);
}

/// The body of an answer of the leader, with 0 for what depends on the time.
fn body(name: &str) -> Vec<u8> {
    let response = fixtures::read(&format!("http/{LEADER}/{name}.response"));
    let head = response.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    response[head..].iter().map(|b| if *b == b'#' { b'0' } else { *b }).collect()
}

#[test]
fn list_responses_round_trip_through_client_types() {
    let consistent = body("02-list-consistent");
    let update = ListUpdate::from_json(&consistent).expect("it is read");
    assert_eq!((update.version.epoch, update.version.index, update.replica), (EPOCH, LAST, 1));
    assert!(update.snapshot && update.services.is_none() && update.unreadable.is_empty());
    assert_eq!(update.endpoints.len(), 5);
    assert_eq!(serde_json::to_vec(&update).expect("it is encoded"), consistent);
    let of_service = body("04-list-services-consistent");
    let update = ListUpdate::from_json(&of_service).expect("it is read");
    assert_eq!(update.services.as_deref(), Some(["web".to_owned()].as_slice()));
    assert_eq!(serde_json::to_vec(&update).expect("it is encoded"), of_service);
    for (name, snapshot, endpoints) in
        [("01-list", true, 5), ("05-list-delta", false, 5), ("08-watch-nothing", false, 0)]
    {
        let update = ListUpdate::from_json(&body(name)).expect("it is read");
        assert_eq!((update.snapshot, update.endpoints.len()), (snapshot, endpoints), "{name}");
    }
}

#[test]
fn shown_server_round_trips() {
    let shown = body("16-show");
    let kept: EndpointRecord = serde_json::from_slice(&shown).expect("it is read");
    assert_eq!((kept.entry.name.as_str(), kept.registered_index, kept.lease_ms), ("m", FIRST + 8, LEASE_MS));
    assert_eq!(serde_json::to_vec(&kept).expect("it is encoded"), shown);
}

#[test]
fn backup_over_http_restores_the_list() {
    let response = fixtures::read(&format!("http/{LEADER}/19-backup.response"));
    let head = response.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    let snapshot = Snapshot::decode(&response[head..]).expect("it is read");
    assert_eq!(snapshot.list, samples::list(&samples::commands()));
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), &response[head..]).expect("it is written");
    let read = lotusmoor_registry::process::read_backup(file.path()).expect("the backup is read");
    assert_eq!(read, snapshot.list);
    let restored = raft_calls::runtime().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let node = samples::start(1, folder.path()).await;
        assert!(node.bootstrap_cluster(EPOCH + 1, Some(Box::new(read))).await.expect("the list is founded"));
        let list = node.applied_state().state().list.clone();
        node.stop().await;
        list
    });
    assert_eq!(restored.version().epoch, EPOCH + 1);
    assert_eq!(restored.entries(), snapshot.list.entries());
}
