//! The calls of which the fixtures of [`crate::http_answers`] were written.

use crate::samples::{self, EPOCH, FIRST, LEASE_MS};
use serde_json::{Value, json};

/// A replica that leads a list alone.
pub const LEADER: &str = "leader";
/// The same with room for nobody.
pub const BUSY: &str = "busy";
/// One that follows a leader who can't be reached.
pub const FOLLOWER: &str = "follower";
/// One that was just made.
pub const NEW: &str = "new";
/// One whose store has failed.
pub const STORE_FAILED: &str = "store-failed";
/// All of them.
pub const SCENES: [&str; 5] = [LEADER, BUSY, FOLLOWER, NEW, STORE_FAILED];

/// A call that changes nothing, and is made until there are too many of it.
pub const TOO_OFTEN: &str = "too-often";

/// The index of the list in the database file.
pub const LAST: u64 = FIRST + 10;

/// A call: its name, method, path and body.
pub type Call = (&'static str, &'static str, String, String);

fn get(name: &'static str, path: impl Into<String>) -> Call {
    (name, "GET", path.into(), String::new())
}

fn with(name: &'static str, method: &'static str, path: &str, body: Value) -> Call {
    (name, method, path.into(), body.to_string())
}

fn without(name: &'static str, method: &'static str, path: &str) -> Call {
    (name, method, path.into(), String::new())
}

fn reads() -> Vec<Call> {
    let known = FIRST + 4;
    vec![
        get("up", "/up"),
        get("list", "/v1/list"),
        get("list-consistent", "/v1/list?consistent=true"),
        get("list-services", "/v1/list?services=web,mail"),
        get("list-services-consistent", "/v1/list?consistent=true&services=web"),
        get("list-delta", format!("/v1/list?epoch={EPOCH}&after={known}")),
        get("list-delta-other-epoch", format!("/v1/list?epoch=999&after={known}")),
        get("list-delta-services", format!("/v1/list?epoch={EPOCH}&after={}&services=web", FIRST + 7)),
        get("watch-nothing", format!("/v1/watch?epoch={EPOCH}&after={LAST}&wait_ms=1")),
        get("watch-news", format!("/v1/watch?epoch={EPOCH}&after={}&wait_ms=60000", LAST - 1)),
        get("watch-services", format!("/v1/watch?epoch={EPOCH}&after={LAST}&wait_ms=1&services=mail")),
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
        with("register", "PUT", "/v1/servers/n1", full.clone()),
        with("register-conflict", "PUT", "/v1/servers/n1", full),
        with("register-least", "PUT", "/v1/servers/n4", json!({"address": "10.0.0.9:83"})),
        with(
            "register-command-line",
            "PUT",
            "/v1/servers/n7",
            json!({"address": "10.0.0.9:84", "zone": null,
            "region": null, "type": null, "group": 0, "weight": 1.0, "since_ms": 0, "lease_ms": 0, "expect": null}),
        ),
        with("register-other-name", "PUT", "/v1/servers/n5", json!({"name": "n6", "address": "10.0.0.9:80"})),
        with("register-invalid", "PUT", "/v1/servers/n5", json!({"address": "10.0.0.9:80", "weight": -1.0})),
        with("register-unknown-key", "PUT", "/v1/servers/n5", json!({"address": "10.0.0.9:80", "colour": 1})),
        with("register-batch", "POST", "/v1/servers", batch),
        with(
            "batch-expect",
            "POST",
            "/v1/servers",
            json!({"servers": [{"address": "10.0.0.9:80", "expect": 1}]}),
        ),
        with("batch-no-name", "POST", "/v1/servers", json!({"servers": [{"address": "10.0.0.9:80"}]})),
        with("batch-empty", "POST", "/v1/servers", json!({"servers": []})),
        without("renew", "POST", "/v1/servers/m/renew"),
        without("renew-unknown", "POST", "/v1/servers/nobody/renew"),
        with("drain", "POST", "/v1/servers/n1/drain", json!({"expect": LAST + 1})),
        without("drain-again", "POST", "/v1/servers/n1/drain"),
        without("drain-unknown", "POST", "/v1/servers/nobody/drain"),
        without("resume", "POST", "/v1/servers/n1/resume"),
        with("resume-conflict", "POST", "/v1/servers/a/resume", json!({"expect": 7})),
        without(TOO_OFTEN, "POST", "/v1/servers/b/drain"),
        with("remove", "DELETE", "/v1/servers/n2", json!({"expect": LAST + 4})),
        without("remove-unknown", "DELETE", "/v1/servers/n2"),
        with(
            "replica-known",
            "POST",
            "/v1/replicas",
            json!({"id": 1, "address": samples::address(1), "identity": 71}),
        ),
        with(
            "replica-other",
            "POST",
            "/v1/replicas",
            json!({"id": 1, "address": "127.0.0.1:7409", "identity": 9}),
        ),
        without("replica-remove-last", "DELETE", "/v1/replicas/1"),
        without("replica-remove", "DELETE", "/v1/replicas/9"),
        without("peer-no-such-call", "POST", "/peer/nothing"),
        with("peer-for-another", "POST", "/peer/committed", envelope(1, 9)),
        with("peer-not-a-member", "POST", "/peer/committed", envelope(9, 1)),
        with(
            "peer-copy",
            "POST",
            "/peer/renew",
            json!({"from": 1, "identity": 9, "address": "x", "to": 1, "body": "a"}),
        ),
        with(
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

/// The calls of a scene, in their order.
pub fn calls(scene: &str) -> Vec<Call> {
    let newcomer = json!({"id": 3, "address": samples::address(3), "identity": 73});
    match scene {
        LEADER => reads().into_iter().chain(writes()).collect(),
        BUSY => vec![
            get("too-many-whole-lists", "/v1/list"),
            get("too-many-watches", format!("/v1/watch?epoch={EPOCH}&after={LAST}&wait_ms=1000")),
        ],
        FOLLOWER => vec![
            get("list", "/v1/list"),
            get("list-consistent", "/v1/list?consistent=true"),
            with("register", "PUT", "/v1/servers/n1", json!({"address": "10.0.0.9:80"})),
            without("renew", "POST", "/v1/servers/a/renew"),
            with("replica-elsewhere", "POST", "/v1/replicas", newcomer),
            without("replica-remove-elsewhere", "DELETE", "/v1/replicas/1"),
            get("status", "/v1/status"),
        ],
        NEW => vec![
            get("hosts", "/discovery/hosts"),
            with("register", "PUT", "/v1/servers/n1", json!({"address": "10.0.0.9:80"})),
            without("drain", "POST", "/v1/servers/n1/drain"),
            get("status", "/v1/status"),
            get("metrics", "/metrics"),
        ],
        _ => vec![
            get("list", "/v1/list"),
            get("metrics", "/metrics"),
            without("renew", "POST", "/v1/servers/a/renew"),
        ],
    }
}

/// What a caller sends.
pub fn request((_, method, path, body): &Call) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: registry\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
