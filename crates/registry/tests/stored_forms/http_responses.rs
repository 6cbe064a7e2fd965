//! HTTP requests of servers, sidecars and operators, and the responses to them, byte for byte.
//!
//! The fixtures are `http/SCENARIO/NN-name.request` and `.response`. In a response, numbers that depend on the time are
//! replaced by `#`, and the `date` header is omitted.

use crate::http_requests::{
    FOLLOWER, LAST_INDEX, LEADER, OVERLOADED, RATE_LIMITED, SCENARIOS, STORE_FAILED, UNINITIALIZED, calls,
    request,
};
use crate::samples::{self, EPOCH, FIRST_INDEX, LEASE_MS};
use crate::{database, fixtures, raft_calls};
use lotusmoor_registry::core::EndpointRecord;
use lotusmoor_registry::http::{Limits, serve, serve_unavailable};
use lotusmoor_registry::store::StateMachineData;
use lotusmoor_registry_client::ListUpdate;
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Replaces the number after each occurrence of `key` by `#`.
fn mask_numbers(bytes: &[u8], key: &str) -> Vec<u8> {
    let (mut masked, mut rest) = (Vec::new(), bytes);
    while let Some(at) = rest.windows(key.len()).position(|w| w == key.as_bytes()) {
        let (before, after) = rest.split_at(at + key.len());
        masked.extend_from_slice(before);
        let digits = after.iter().take_while(|b| b.is_ascii_digit() || **b == b'.').count();
        if digits > 0 {
            masked.push(b'#');
        }
        rest = &after[digits..];
    }
    [masked, rest.to_vec()].concat()
}

/// Sorts the lines of the only metric with several lines, as their order is that of a hash map.
fn sort_servers(text: &str) -> String {
    let is_of_servers = |line: &&str| line.starts_with("roster_servers{");
    let mut lines: Vec<&str> = text.split_inclusive('\n').collect();
    if let Some(first) = lines.iter().position(is_of_servers) {
        let count = lines[first..].iter().take_while(|line| is_of_servers(line)).count();
        lines[first..first + count].sort_unstable();
    }
    lines.concat()
}

/// A response without the parts that depend on the time or on the order of a hash map.
fn normalize(response: &[u8]) -> Vec<u8> {
    let head = response.windows(4).position(|w| w == b"\r\n\r\n").expect("the end of the head") + 4;
    let (head, body) = response.split_at(head);
    let head = String::from_utf8(head.to_vec()).expect("the head is UTF-8");
    let head: String = head.split_inclusive("\r\n").filter(|line| !line.starts_with("date:")).collect();
    let mut response = [mask_numbers(head.as_bytes(), "content-length: "), body.to_vec()].concat();
    for key in ["\"age_ms\":", "\"waited_ms\":", "\nroster_age_ms "] {
        response = mask_numbers(&response, key);
    }
    if response.starts_with(b"HTTP/1.1 429") {
        response = mask_numbers(&response, "retry-after: ");
    }
    match std::str::from_utf8(&response) {
        Ok(text) => sort_servers(text).into_bytes(),
        Err(_) => response,
    }
}

async fn call(address: std::net::SocketAddr, request: &[u8]) -> Vec<u8> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.expect("it connects");
        stream.write_all(request).await.expect("the request is sent");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.expect("the response is received");
        response
    };
    normalize(&tokio::time::timeout(Duration::from_secs(30), exchange).await.expect("a response in time"))
}

/// Sends the request of that name and returns the response.
async fn response_to(address: std::net::SocketAddr, name: &str, request: &[u8]) -> Vec<u8> {
    let mut response = call(address, request).await;
    while name.ends_with(RATE_LIMITED) && response.starts_with(b"HTTP/1.1 200") {
        response = call(address, request).await;
    }
    response
}

/// Starts the replica of a scenario, and runs `caller` with its address.
async fn run_scenario<F: Future<Output = ()>>(
    scenario: &str,
    caller: impl FnOnce(std::net::SocketAddr) -> F,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = listener.local_addr().expect("its address");
    if scenario == STORE_FAILED {
        serve_unavailable(listener.into(), &Limits::default(), 2, caller(address)).await;
        return;
    }
    let is_leader = matches!(scenario, LEADER | OVERLOADED);
    let folder =
        if is_leader { database::copy() } else { tempfile::tempdir().expect("a temporary directory") };
    let node = samples::start(if is_leader { 1 } else { 2 }, folder.path()).await;
    match scenario {
        LEADER | OVERLOADED => {
            while node.age().is_none() || node.applied_state().state().list.version().index < LAST_INDEX {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            // A leader tracks leases only from its first lease check on.
            while node.renew("m").await.is_err() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        FOLLOWER => raft_calls::make_follower(&node).await,
        _ => {}
    }
    let limits = if scenario == OVERLOADED {
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
    for scenario in SCENARIOS {
        runtime().block_on(run_scenario(scenario, |address| async move {
            for (number, call_to_make) in calls(scenario).iter().enumerate() {
                let (name, request) =
                    (format!("http/{scenario}/{number:02}-{}", call_to_make.0), request(call_to_make));
                fixtures::write(&format!("{name}.request"), &request);
                fixtures::write(&format!("{name}.response"), &response_to(address, &name, &request).await);
            }
        }));
    }
}

/// Names of the requests of a scenario, in order.
fn names(scenario: &str) -> Vec<String> {
    let folder =
        std::fs::read_dir(fixtures::path(&format!("http/{scenario}"))).expect("the scenario's folder");
    let files = folder.map(|f| f.expect("a file").file_name().into_string().expect("a name"));
    let mut names: Vec<String> =
        files.filter_map(|f| f.strip_suffix(".request").map(str::to_owned)).collect();
    names.sort();
    names
}

/// Sends the requests of a scenario, and compares the responses to the fixtures.
fn check(scenario: &str) {
    let names = names(scenario);
    assert_eq!(names.len(), calls(scenario).len(), "every request of the scenario has a fixture");
    runtime().block_on(run_scenario(scenario, |address| async move {
        for name in names {
            let path = format!("http/{scenario}/{name}");
            let response = response_to(address, &name, &fixtures::read(&format!("{path}.request"))).await;
            let expected = fixtures::read(&format!("{path}.response"));
            let text = String::from_utf8_lossy;
            assert_eq!(text(&response), text(&expected), "{path}");
            assert_eq!(response, expected, "{path}");
        }
    }));
}

#[test]
fn leader_responses_match_fixtures() {
    check(LEADER);
}

#[test]
fn overloaded_leader_responses_match_fixtures() {
    check(OVERLOADED);
}

#[test]
fn follower_responses_match_fixtures() {
    check(FOLLOWER);
}

#[test]
fn uninitialized_replica_responses_match_fixtures() {
    check(UNINITIALIZED);
}

#[test]
fn responses_after_store_failure_match_fixtures() {
    check(STORE_FAILED);
}

/// The body of a response of the leader, with 0 in place of numbers that depend on the time.
fn body(name: &str) -> Vec<u8> {
    let response = fixtures::read(&format!("http/{LEADER}/{name}.response"));
    let head = response.windows(4).position(|w| w == b"\r\n\r\n").expect("the end of the head") + 4;
    response[head..].iter().map(|b| if *b == b'#' { b'0' } else { *b }).collect()
}

#[test]
fn list_responses_round_trip_through_client_types() {
    let consistent = body("02-list-consistent");
    let update = ListUpdate::from_json(&consistent).expect("a valid response");
    assert_eq!((update.version.epoch, update.version.index, update.replica), (EPOCH, LAST_INDEX, 1));
    assert!(update.snapshot && update.services.is_none() && update.unreadable.is_empty());
    assert_eq!(update.endpoints.len(), 5);
    assert_eq!(serde_json::to_vec(&update).expect("the update is encoded"), consistent);
    let of_service = body("04-list-services-consistent");
    let update = ListUpdate::from_json(&of_service).expect("a valid response");
    assert_eq!(update.services.as_deref(), Some(["web".to_owned()].as_slice()));
    assert_eq!(serde_json::to_vec(&update).expect("the update is encoded"), of_service);
    for (name, snapshot, endpoints) in
        [("01-list", true, 5), ("05-list-delta", false, 5), ("08-watch-nothing", false, 0)]
    {
        let update = ListUpdate::from_json(&body(name)).expect("a valid response");
        assert_eq!((update.snapshot, update.endpoints.len()), (snapshot, endpoints), "{name}");
    }
}

#[test]
fn shown_server_round_trips() {
    let shown = body("16-show");
    let record: EndpointRecord = serde_json::from_slice(&shown).expect("a valid record");
    assert_eq!(
        (record.entry.name.as_str(), record.registered_index, record.lease_ms),
        ("m", FIRST_INDEX + 8, LEASE_MS)
    );
    assert_eq!(serde_json::to_vec(&record).expect("the record is encoded"), shown);
}

#[test]
fn backup_over_http_restores_the_list() {
    let response = fixtures::read(&format!("http/{LEADER}/19-backup.response"));
    let head = response.windows(4).position(|w| w == b"\r\n\r\n").expect("the end of the head") + 4;
    let snapshot = StateMachineData::decode(&response[head..]).expect("a valid snapshot");
    assert_eq!(snapshot.list, samples::list(&samples::commands()));
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), &response[head..]).expect("the file is written");
    let read = lotusmoor_registry::process::read_backup(file.path()).expect("a valid backup");
    assert_eq!(read, snapshot.list);
    let restored = raft_calls::runtime().block_on(async {
        let folder = tempfile::tempdir().expect("a temporary directory");
        let node = samples::start(1, folder.path()).await;
        assert!(
            node.bootstrap_cluster(EPOCH + 1, Some(Box::new(read)))
                .await
                .expect("the cluster is bootstrapped")
        );
        let list = node.applied_state().state().list.clone();
        node.stop().await;
        list
    });
    assert_eq!(restored.version().epoch, EPOCH + 1);
    assert_eq!(restored.entries(), snapshot.list.entries());
}
