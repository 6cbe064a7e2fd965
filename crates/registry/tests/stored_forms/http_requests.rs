//! The requests of the fixtures of [`crate::http_responses`].

use crate::samples::{self, EPOCH, FIRST_INDEX, LEASE_MS};
use serde_json::{Value, json};

/// Scenario: a leader that is the only replica.
pub const LEADER: &str = "leader";
/// Scenario: such a leader with its limits exhausted.
pub const OVERLOADED: &str = "busy";
/// Scenario: a follower whose leader can't be reached.
pub const FOLLOWER: &str = "follower";
/// Scenario: a replica that is not yet a member of a cluster.
pub const UNINITIALIZED: &str = "new";
/// Scenario: a replica whose store has failed.
pub const STORE_FAILED: &str = "store-failed";
/// All scenarios.
pub const SCENARIOS: [&str; 5] = [LEADER, OVERLOADED, FOLLOWER, UNINITIALIZED, STORE_FAILED];

/// Name of a request that changes nothing and is repeated until it is rejected by the rate limit.
pub const RATE_LIMITED: &str = "too-often";

/// The index of the list in the database fixture.
pub const LAST_INDEX: u64 = FIRST_INDEX + 10;

/// A request: its name, method, path and body.
pub type Call = (&'static str, &'static str, String, String);

fn get(name: &'static str, path: impl Into<String>) -> Call {
    (name, "GET", path.into(), String::new())
}

fn with_body(name: &'static str, method: &'static str, path: &str, body: Value) -> Call {
    (name, method, path.into(), body.to_string())
}

fn without_body(name: &'static str, method: &'static str, path: &str) -> Call {
    (name, method, path.into(), String::new())
}

fn reads() -> Vec<Call> {
    let known = FIRST_INDEX + 4;
    vec![
        get("up", "/up"),
        get("list", "/v1/list"),
        get("list-consistent", "/v1/list?consistent=true"),
        get("list-services", "/v1/list?services=web,mail"),
        get("list-services-consistent", "/v1/list?consistent=true&services=web"),
        get("list-delta", format!("/v1/list?epoch={EPOCH}&after={known}")),
        get("list-delta-other-epoch", format!("/v1/list?epoch=999&after={known}")),
        get("list-delta-services", format!("/v1/list?epoch={EPOCH}&after={}&services=web", FIRST_INDEX + 7)),
        get("watch-nothing", format!("/v1/watch?epoch={EPOCH}&after={LAST_INDEX}&wait_ms=1")),
        get("watch-news", format!("/v1/watch?epoch={EPOCH}&after={}&wait_ms=60000", LAST_INDEX - 1)),
        get("watch-services", format!("/v1/watch?epoch={EPOCH}&after={LAST_INDEX}&wait_ms=1&services=mail")),
        get("services-unreadable", "/v1/list?services=a/b"),
        get("hosts", "/discovery/hosts"),
        get("hosts-delta", format!("/discovery/hosts?after={known}&wait_ms=1")),
        get("history", "/v1/history"),
        get("history-part", format!("/v1/history?after={known}&limit=2")),
        get("show", "/v1/servers/m"),
        get("show-unknown", "/v1/servers/nobody"),
        get("status", "/v1/status"),
        get("backup", "/v1/backup"),
        get("metrics", "/metrics"),
        get("no-such-path", "/v1/nothing"),
    ]
}

fn writes() -> Vec<Call> {
    let full = json!({"name": "n1", "address": "10.0.0.9:80", "service": "web", "zone": "zone-a", "region": "north",
        "type": "large", "group": 3, "weight": 2.5, "since_ms": 1_600_000_000_123i64, "lease_ms": LEASE_MS,
        "expect": 0});
    let batch = json!({"servers": [{"name": "n2", "address": "10.0.0.9:81", "lease_ms": 0},
        {"name": "n3", "address": "10.0.0.9:82"}]});
    vec![
        with_body("register", "PUT", "/v1/servers/n1", full.clone()),
        with_body("register-conflict", "PUT", "/v1/servers/n1", full),
        with_body("register-least", "PUT", "/v1/servers/n4", json!({"address": "10.0.0.9:83"})),
        with_body(
            "register-command-line",
            "PUT",
            "/v1/servers/n7",
            json!({"address": "10.0.0.9:84", "zone": null,
            "region": null, "type": null, "group": 0, "weight": 1.0, "since_ms": 0, "lease_ms": 0, "expect": null}),
        ),
        with_body(
            "register-other-name",
            "PUT",
            "/v1/servers/n5",
            json!({"name": "n6", "address": "10.0.0.9:80"}),
        ),
        with_body(
            "register-invalid",
            "PUT",
            "/v1/servers/n5",
            json!({"address": "10.0.0.9:80", "weight": -1.0}),
        ),
        with_body(
            "register-unknown-key",
            "PUT",
            "/v1/servers/n5",
            json!({"address": "10.0.0.9:80", "colour": 1}),
        ),
        with_body("register-batch", "POST", "/v1/servers", batch),
        with_body(
            "batch-expect",
            "POST",
            "/v1/servers",
            json!({"servers": [{"address": "10.0.0.9:80", "expect": 1}]}),
        ),
        with_body("batch-no-name", "POST", "/v1/servers", json!({"servers": [{"address": "10.0.0.9:80"}]})),
        with_body("batch-empty", "POST", "/v1/servers", json!({"servers": []})),
        without_body("renew", "POST", "/v1/servers/m/renew"),
        without_body("renew-unknown", "POST", "/v1/servers/nobody/renew"),
        with_body("drain", "POST", "/v1/servers/n1/drain", json!({"expect": LAST_INDEX + 1})),
        without_body("drain-again", "POST", "/v1/servers/n1/drain"),
        without_body("drain-unknown", "POST", "/v1/servers/nobody/drain"),
        without_body("resume", "POST", "/v1/servers/n1/resume"),
        with_body("resume-conflict", "POST", "/v1/servers/a/resume", json!({"expect": 7})),
        without_body(RATE_LIMITED, "POST", "/v1/servers/b/drain"),
        with_body("remove", "DELETE", "/v1/servers/n2", json!({"expect": LAST_INDEX + 4})),
        without_body("remove-unknown", "DELETE", "/v1/servers/n2"),
        with_body(
            "replica-known",
            "POST",
            "/v1/replicas",
            json!({"id": 1, "address": samples::address(1), "identity": 71}),
        ),
        with_body(
            "replica-other",
            "POST",
            "/v1/replicas",
            json!({"id": 1, "address": "127.0.0.1:7409", "identity": 9}),
        ),
        without_body("replica-remove-last", "DELETE", "/v1/replicas/1"),
        without_body("replica-remove", "DELETE", "/v1/replicas/9"),
        without_body("peer-no-such-call", "POST", "/peer/nothing"),
        with_body("peer-for-another", "POST", "/peer/committed", envelope(1, 9)),
        with_body("peer-not-a-member", "POST", "/peer/committed", envelope(9, 1)),
        with_body(
            "peer-copy",
            "POST",
            "/peer/renew",
            json!({"from": 1, "identity": 9, "address": "x", "to": 1, "body": "a"}),
        ),
        with_body(
            "peer-renew",
            "POST",
            "/peer/renew",
            json!({"from": 1, "identity": 71, "address": samples::address(1),
            "to": 1, "body": "m"}),
        ),
        get("show-usual-lease", "/v1/servers/n4"),
        get("list-after", "/v1/list"),
    ]
}

fn envelope(from: u64, to: u64) -> Value {
    json!({"from": from, "identity": 70 + from, "address": samples::address(from), "to": to, "body": null})
}

/// The requests of a scenario, in order.
pub fn calls(scenario: &str) -> Vec<Call> {
    let new_replica = json!({"id": 3, "address": samples::address(3), "identity": 73});
    match scenario {
        LEADER => reads().into_iter().chain(writes()).collect(),
        OVERLOADED => vec![
            get("too-many-whole-lists", "/v1/list"),
            get("too-many-watches", format!("/v1/watch?epoch={EPOCH}&after={LAST_INDEX}&wait_ms=1000")),
        ],
        FOLLOWER => vec![
            get("list", "/v1/list"),
            get("list-consistent", "/v1/list?consistent=true"),
            with_body("register", "PUT", "/v1/servers/n1", json!({"address": "10.0.0.9:80"})),
            without_body("renew", "POST", "/v1/servers/a/renew"),
            with_body("replica-elsewhere", "POST", "/v1/replicas", new_replica),
            without_body("replica-remove-elsewhere", "DELETE", "/v1/replicas/1"),
            get("status", "/v1/status"),
        ],
        UNINITIALIZED => vec![
            get("hosts", "/discovery/hosts"),
            with_body("register", "PUT", "/v1/servers/n1", json!({"address": "10.0.0.9:80"})),
            without_body("drain", "POST", "/v1/servers/n1/drain"),
            get("status", "/v1/status"),
            get("metrics", "/metrics"),
        ],
        _ => vec![
            get("list", "/v1/list"),
            get("metrics", "/metrics"),
            without_body("renew", "POST", "/v1/servers/a/renew"),
        ],
    }
}

/// The bytes of a request.
pub fn request((_, method, path, body): &Call) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: registry\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
