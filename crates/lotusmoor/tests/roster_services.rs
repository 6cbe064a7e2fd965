//! Endpoint lists filtered by service, served by replicas that are real processes: readers of a service get all of its
//! endpoints and no others, across changes of leader, with other readers present, and during an upgrade from the
//! previous storage format.

use lotusmoor_fleet::harness::registry_replicas::{Answer, RegistryReplicas, call};
use lotusmoor_fleet::harness::{
    Process, Programs, Timeline, process_guard::ProcessGuard, until, unused_address,
};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longer than any watch of a reader.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// The time limit of a watch that the test ends earlier by a change.
const WAIT_MS: u64 = 50_000;

/// The replicas of a registry, with the runtime and the folder that they use.
struct TestRegistry {
    replicas: RegistryReplicas,
    programs: Programs,
    _runtime: tokio::runtime::Runtime,
    folder: tempfile::TempDir,
}

fn start(count: usize, arguments: &[&str]) -> TestRegistry {
    let programs = Programs::find().expect("the programs are built");
    let process_guard = ProcessGuard::start(&programs.lotusmoor).expect("the process guard starts");
    let folder = tempfile::tempdir().expect("a temporary directory");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let handle = runtime.handle().clone();
    let mut replicas =
        RegistryReplicas::new(programs.clone(), folder.path(), handle, process_guard, Timeline::default());
    replicas.start(count, arguments).unwrap_or_else(|e| panic!("{e}"));
    let registry = TestRegistry { replicas, programs, _runtime: runtime, folder };
    for replica in 0..count {
        // For a moment after it has reached the other replicas, a replica still answers watches at once.
        registry.wait("the replica serves its list, and watches wait for changes", || {
            let list = get(registry.replicas.address(replica), "/v1/list").filter(|a| a.status == 200);
            let Some(index) = list.and_then(|a| a.body["index"].as_u64()) else { return false };
            let path = format!("/v1/watch?after={index}&wait_ms=20");
            get(registry.replicas.address(replica), &path)
                .is_some_and(|a| a.body["waited_ms"].as_u64() >= Some(20))
        });
    }
    registry
}

fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    call(address, "GET", path, "", CALL_TIMEOUT).ok()
}

/// The names of the endpoints in a response with their services, or for those that left, with the reason.
fn endpoints(answer: &Answer) -> BTreeMap<String, String> {
    let endpoints = answer.body["endpoints"].as_array().cloned().unwrap_or_default();
    let count = endpoints.len();
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    let service_or_reason = |e: &Value| match text(&e["status"]).as_str() {
        "left" => format!("left, {}", text(&e["why"])),
        _ => text(&e["service"]),
    };
    let by_name: BTreeMap<_, _> =
        endpoints.iter().map(|e| (text(&e["name"]), service_or_reason(e))).collect();
    assert_eq!(by_name.len(), count, "no name occurs twice: {}", answer.body);
    by_name
}

fn names(list: &[&str]) -> BTreeSet<String> {
    list.iter().map(|n| (*n).to_owned()).collect()
}

impl TestRegistry {
    fn check(&self, condition: bool, what: &str) {
        assert!(condition, "{what}\n{}{}", self.replicas.timeline, self.replicas.logs());
    }

    fn wait(&self, what: &str, condition: impl FnMut() -> bool) {
        let is_met = until(condition);
        self.check(is_met, &format!("timed out waiting until {what}"));
    }

    /// Registers a server through any replica that accepts the write; returns the index of the list.
    fn register(&self, name: &str, service: Option<&str>) -> u64 {
        let mut body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0});
        if let Some(service) = service {
            body["service"] = json!(service);
        }
        let (path, body) = (format!("/v1/servers/{name}"), body.to_string());
        let mut index = None;
        self.wait(&format!("{name} is registered"), || {
            let put = |replica| {
                let answer = self.replicas.call(replica, "PUT", &path, &body).ok()?;
                (answer.status == 200).then(|| answer.body["index"].as_u64())?
            };
            index = (0..self.replicas.count()).find_map(put);
            index.is_some()
        });
        index.unwrap_or(0)
    }

    /// Registers many servers in one write.
    fn register_all(&self, servers: &[(String, &str)]) {
        let server = |(name, service): &(String, &str)| json!({"name": name, "address": "127.0.0.1:9000", "lease_ms": 0, "service": service});
        let servers: Vec<Value> = servers.iter().map(server).collect();
        let body = json!({"servers": servers}).to_string();
        let answer = self.replicas.call(0, "POST", "/v1/servers", &body).expect("a response");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    fn wait_leader(&self) -> usize {
        let mut leader = None;
        self.wait("there is a leader", || {
            leader = self.replicas.leader();
            leader.is_some()
        });
        leader.unwrap_or(0)
    }

    fn wait_converged(&self) {
        self.wait("all replicas have the same list", || {
            let statuses = (0..self.replicas.count()).map(|replica| self.replicas.status(replica));
            let version = |s: Value| (s["index"].clone(), s["digest"].clone());
            let versions: Option<Vec<_>> = statuses.map(|s| s.map(version)).collect();
            versions.is_some_and(|v| v.iter().all(|other| *other == v[0]))
        });
    }

    /// The value of a metric of a replica.
    fn metric(&self, replica: usize, name: &str) -> u64 {
        let mut stream =
            TcpStream::connect(self.replicas.address(replica)).expect("the connection is established");
        stream
            .write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .expect("the request is sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("a response");
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|n| n.trim().parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
    }

    /// Starts a watch from the current version of the list, in a thread of its own.
    fn start_watch(&self, replica: usize, services: &str) -> JoinHandle<Answer> {
        let address = self.replicas.address(replica);
        let current = get(address, &format!("/v1/list?services={services}")).expect("a response").body;
        let (epoch, index) = (current["epoch"].clone(), current["index"].clone());
        let path = format!("/v1/watch?epoch={epoch}&after={index}&wait_ms={WAIT_MS}&services={services}");
        std::thread::spawn(move || get(address, &path).expect("a response"))
    }
}

/// A reader that follows the list like the registry client of a sidecar: it keeps the list and ignores older versions.
#[derive(Default)]
struct Reader {
    /// The services that it requests, separated by commas; `None` for all.
    services: Option<&'static str>,
    version: (u64, u64),
    /// The services of the endpoints, by name.
    endpoints: BTreeMap<String, String>,
    /// The number of full snapshots received.
    snapshots: usize,
    /// The number of ignored responses with an older version.
    outdated: usize,
    /// The indexes of the versions that it received, with their digests; each must have a single digest.
    digests: BTreeMap<u64, u64>,
}

impl Reader {
    fn of(services: &'static str) -> Self {
        Self { services: Some(services), ..Self::default() }
    }

    /// Watches for up to `wait_ms` and applies the response. Returns whether there was a response that is not outdated.
    fn poll(&mut self, address: SocketAddr, wait_ms: u64) -> bool {
        let mut path = format!("/v1/watch?wait_ms={wait_ms}");
        if self.version.0 > 0 {
            path.push_str(&format!("&epoch={}&after={}", self.version.0, self.version.1));
        }
        if let Some(services) = self.services {
            path.push_str(&format!("&services={services}"));
        }
        let Some(answer) = get(address, &path).filter(|a| a.status == 200) else { return false };
        let number = |key: &str| answer.body[key].as_u64().expect("a number");
        let echo = self.services.map(|s| json!(s.split(',').collect::<Vec<_>>()));
        assert_eq!(answer.body.get("services"), echo.as_ref(), "the response names the requested services");
        let version = (number("epoch"), number("index"));
        if version < self.version {
            // A replica that is behind answers with a full snapshot.
            assert_eq!(answer.body["snapshot"], true, "{}", answer.body);
            self.outdated += 1;
            return false;
        }
        let digest = *self.digests.entry(version.1).or_insert_with(|| number("digest"));
        assert_eq!(digest, number("digest"), "two digests for version {version:?}");
        if answer.body["snapshot"] == true {
            self.snapshots += 1;
            self.endpoints.clear();
        }
        for (name, service_or_reason) in endpoints(&answer) {
            match service_or_reason.starts_with("left") {
                true => drop(self.endpoints.remove(&name)),
                false => drop(self.endpoints.insert(name, service_or_reason)),
            }
        }
        if let Some(services) = self.services {
            let is_requested = |s: &String| services.split(',').any(|a| a == s);
            assert!(self.endpoints.values().all(is_requested), "{:?}", self.endpoints);
        }
        self.version = version;
        true
    }

    fn names(&self) -> BTreeSet<String> {
        self.endpoints.keys().cloned().collect()
    }
}

#[test]
fn reader_of_a_service_has_its_full_list_across_loss_of_the_leader_and_restore() {
    let registry = start(3, &[]);
    let mut expected = BTreeSet::new();
    let mut add = |name: String| {
        registry.register(&name, Some("a"));
        registry.register(&format!("other-{name}"), Some("b"));
        registry.register(&format!("none-{name}"), None);
        expected.insert(name);
        expected.clone()
    };
    for i in 0..5 {
        add(format!("before-{i}"));
    }
    let leader = registry.wait_leader();
    let address = |replica: usize| registry.replicas.address(replica);
    let mut reader = Reader::of("a");
    registry
        .wait("the reader has the list", || reader.poll(address(leader), 0) && reader.endpoints.len() == 5);
    registry.replicas.kill(leader).expect("the replica is killed");
    // It polls all replicas in turn, the killed one included.
    for i in 0..10 {
        let expected = add(format!("during-{i}"));
        let mut turn = i;
        registry.wait("the reader receives the registered servers", || {
            turn += 1;
            reader.poll(address(turn % 3), 200);
            reader.names() == expected
        });
    }
    registry.check(
        reader.snapshots == 1,
        &format!("{} snapshots, {} outdated", reader.snapshots, reader.outdated),
    );
    registry.replicas.start_replica(leader).expect("the replica starts");
    let expected = add("after".into());
    registry.wait_converged();
    for replica in 0..3 {
        let mut fresh = Reader::of("a");
        registry.wait("a new reader has the list", || fresh.poll(address(replica), 0));
        registry.check(reader.poll(address(replica), 0), "the reader receives no older list");
        assert_eq!(
            (fresh.names(), reader.names()),
            (expected.clone(), expected.clone()),
            "replica {replica}"
        );
        assert_eq!(
            fresh.digests[&fresh.version.1], reader.digests[&reader.version.1],
            "the digests of both readers"
        );
    }
    // Makes a backup, then a change that the backup does not contain, then a registry that is restored from the backup.
    let out = registry.folder.path().join("roster.backup").display().to_string();
    let roster = address(leader).to_string();
    let mut backup = std::process::Command::new(&registry.programs.lotusmoor);
    backup.args(["roster", "backup", "--roster", &roster, "--out", &out]);
    assert!(backup.output().expect("the command runs").status.success());
    registry.register("lost", Some("a"));
    registry.wait("the reader receives the change", || {
        reader.poll(address(leader), 0);
        reader.endpoints.contains_key("lost")
    });
    let (before, snapshots) = (reader.version, reader.snapshots);
    let listen = unused_address();
    let folder = registry.folder.path().join("restored").display().to_string();
    let mut command = std::process::Command::new(&registry.programs.lotusmoor);
    command.args([
        "roster",
        "serve",
        "--listen",
        &listen.to_string(),
        "--folder",
        &folder,
        "--restore",
        &out,
    ]);
    let log = registry.folder.path().join("restored.log");
    let _restored = Process::start(command, "restored", &log, None).expect("the process starts");
    registry.wait("the reader receives the restored list", || {
        reader.poll(listen, 1000) && reader.version.0 > before.0
    });
    assert!(reader.version.1 > before.1, "the index has increased");
    assert_eq!((reader.names(), reader.snapshots), (expected, snapshots + 1));
}

#[test]
fn watch_is_woken_by_changes_of_its_service_only() {
    let registry = start(1, &[]);
    registry.register("a-0", Some("a"));
    registry.register("b-0", Some("b"));
    let reader = registry.start_watch(0, "a");
    registry.wait("the watch is open", || registry.metric(0, "roster_watchers") == 1);
    let woken = registry.metric(0, "roster_woken_total");
    for i in 1..=20 {
        registry.register(&format!("b-{i}"), Some("b"));
    }
    let counts = (registry.metric(0, "roster_woken_total"), registry.metric(0, "roster_watchers"));
    registry
        .check(counts == (woken, 1) && !reader.is_finished(), &format!("the watch stays open: {counts:?}"));
    let index = registry.register("a-1", Some("a"));
    let answer = reader.join().expect("the thread does not panic");
    assert_eq!(endpoints(&answer), BTreeMap::from([("a-1".into(), "a".into())]));
    let (received, is_snapshot) = (answer.body["index"].as_u64(), &answer.body["snapshot"]);
    assert_eq!((received, is_snapshot), (Some(index), &json!(false)), "{}", answer.body);
    assert_eq!(registry.metric(0, "roster_woken_total"), woken + 1);
}

#[test]
fn move_to_another_service_is_one_write_for_readers_of_either_and_both() {
    let registry = start(1, &[]);
    registry.register("old-0", Some("old"));
    registry.register("new-0", Some("new"));
    // The server `moved` moves from the service `old` to `new`.
    let before = registry.register("moved", Some("old"));
    let readers = ["old", "new", "new,old", "other"].map(|s| registry.start_watch(0, s));
    registry.wait("all watches are open", || registry.metric(0, "roster_watchers") == 4);
    let index = registry.register("moved", Some("new"));
    assert_eq!(index, before + 1, "one write");
    let [old, new, both, other] = readers;
    for (reader, expected) in [(old, "left, removed"), (new, "new"), (both, "new")] {
        let answer = reader.join().expect("the thread does not panic");
        assert_eq!(endpoints(&answer), BTreeMap::from([("moved".into(), expected.into())]));
        assert_eq!(answer.body["index"], index, "{}", answer.body);
    }
    registry.check(
        !other.is_finished() && registry.metric(0, "roster_watchers") == 1,
        "the watch of another service stays open",
    );
    registry.register("other-0", Some("other"));
    assert_eq!(
        endpoints(&other.join().expect("the thread does not panic")),
        BTreeMap::from([("other-0".into(), "other".into())])
    );
    for (services, expected) in
        [("old", names(&["old-0"])), ("new", names(&["moved", "new-0"])), ("none", names(&[]))]
    {
        let mut reader = Reader { services: Some(services), ..Reader::default() };
        assert!(reader.poll(registry.replicas.address(0), 0));
        assert_eq!(reader.names(), expected);
    }
}

#[test]
fn rolling_upgrade_from_format_2_keeps_full_lists_and_then_enables_services() {
    let registry = start(3, &["--format", "2"]);
    let address = |replica: usize| registry.replicas.address(replica);
    let mut expected = BTreeSet::new();
    let mut register_without_service = |name: String| {
        registry.register(&name, None);
        expected.insert(name);
        expected.clone()
    };
    for i in 0..5 {
        register_without_service(format!("before-{i}"));
    }
    registry.wait_converged();
    // In format 2, registrations with a service are rejected, and the services that a reader requests are ignored.
    let body = json!({"address": "127.0.0.1:1", "lease_ms": 0, "service": "a"}).to_string();
    for replica in 0..3 {
        let answer =
            registry.replicas.call(replica, "PUT", "/v1/servers/with-service", &body).expect("a response");
        let error = answer.body["error"].as_str().unwrap_or_default();
        assert!(answer.status == 422 && error.contains("services"), "{} {error}", answer.status);
        for path in ["/v1/watch?services=a", "/v1/list?services=a", "/v1/watch?services=not%20one"] {
            let answer = get(address(replica), path).expect("a response");
            assert_eq!((answer.status, answer.body.get("services")), (200, None), "{path}");
            assert_eq!(endpoints(&answer).len(), 5, "{path}");
        }
    }
    let mut reader = Reader::default();
    registry.wait("the reader has the list", || reader.poll(address(0), 0) && reader.endpoints.len() == 5);
    for rolled in 0..3 {
        registry.replicas.kill(rolled).expect("the replica is killed");
        for i in 0..5 {
            let expected = register_without_service(format!("while-{rolled}-{i}"));
            let mut turn = i;
            registry.wait("the reader receives the registered servers", || {
                turn += 1;
                reader.poll(address(turn % 3), 200);
                reader.names() == expected
            });
        }
        registry.replicas.set_arguments(rolled, &[]);
        registry.replicas.start_replica(rolled).expect("the replica starts");
        registry.wait_converged();
        let expected = register_without_service(format!("rolled-{rolled}"));
        registry.wait_converged();
        // Upgraded replicas and others serve the same list with the same digest; the reader verifies the digest of each
        // version.
        for replica in 0..3 {
            // A replica that has just started rejects reads until it knows how old its list is. The list that it then
            // serves is not older than the one that all have.
            let outdated = reader.outdated;
            registry.wait("the replica serves its list", || {
                reader.poll(address(replica), 0) || reader.outdated > outdated
            });
            registry.check(
                reader.outdated == outdated && reader.names() == expected,
                "the replica serves the full list",
            );
        }
    }
    registry.check(
        reader.snapshots == 1,
        &format!("{} snapshots, {} outdated", reader.snapshots, reader.outdated),
    );
    registry.register("with-service", Some("a"));
    registry.wait_converged();
    for replica in 0..3 {
        let mut service_a_reader = Reader::of("a");
        assert!(service_a_reader.poll(address(replica), 0));
        assert_eq!(service_a_reader.names(), names(&["with-service"]));
        assert!(reader.poll(address(replica), 0));
        assert_eq!(
            (reader.endpoints.len(), &reader.endpoints["with-service"]),
            (5 + 18 + 1, &"a".to_owned())
        );
    }
}

#[test]
fn reconnect_of_all_readers_of_the_largest_service_does_not_delay_others() {
    const READERS: usize = 300;
    const OTHER_SERVICES: [&str; 10] = ["o-0", "o-1", "o-2", "o-3", "o-4", "o-5", "o-6", "o-7", "o-8", "o-9"];
    let registry = start(1, &[]);
    let large: Vec<_> = (0..500).map(|i| (format!("large-{i}"), "large")).collect();
    registry.register_all(&large);
    let address = registry.replicas.address(0);
    let open = |path: &str| {
        let mut stream = TcpStream::connect(address).expect("the connection is established");
        stream.set_read_timeout(Some(CALL_TIMEOUT)).expect("a read timeout can be set");
        let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the request is sent");
        stream
    };
    let index = registry.replicas.status(0).and_then(|s| s["index"].as_u64()).expect("a response");
    let watch = format!("/v1/watch?after={index}&wait_ms={WAIT_MS}&services=large");
    let watches: Vec<_> = (0..READERS).map(|_| open(&watch)).collect();
    let others = OTHER_SERVICES.map(|s| registry.start_watch(0, s));
    let watch_count = (READERS + OTHER_SERVICES.len()) as u64;
    registry.wait("all watches are open", || registry.metric(0, "roster_watchers") == watch_count);
    let woken = registry.metric(0, "roster_woken_total");
    drop(watches);
    // They reconnect without a version, and read their responses after the other readers have theirs.
    let reconnected: Vec<_> = (0..READERS).map(|_| open("/v1/watch?services=large")).collect();
    let indexes = OTHER_SERVICES.map(|s| registry.register(&format!("of-{s}"), Some(s)));
    for ((reader, service), index) in others.into_iter().zip(OTHER_SERVICES).zip(indexes) {
        let answer = reader.join().expect("the thread does not panic");
        assert_eq!(endpoints(&answer), BTreeMap::from([(format!("of-{service}"), service.to_owned())]));
        assert!(answer.body["index"].as_u64() >= Some(index), "{}", answer.body);
    }
    assert_eq!(
        registry.metric(0, "roster_woken_total"),
        woken + OTHER_SERVICES.len() as u64,
        "no other watch was woken"
    );
    for mut stream in reconnected {
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("a response");
        let (head, body) = text.split_once("\r\n\r\n").expect("a response");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        let body: Value = serde_json::from_str(body).expect("the body is JSON");
        let count = body["endpoints"].as_array().map(Vec::len);
        assert_eq!((&body["snapshot"], count), (&json!(true), Some(large.len())));
    }
}

#[test]
fn invalid_services_get_a_400() {
    let registry = start(1, &[]);
    registry.register("one", Some("a"));
    let many = |count: usize| (0..count).map(|i| format!("s{i}")).collect::<Vec<_>>().join(",");
    let long = |length: usize| "x".repeat(length);
    for path in ["/v1/watch?", "/v1/list?", "/v1/list?consistent=true&", "/v1/watch?after=1&wait_ms=50000&"] {
        for invalid in ["", ",", "a,", "a,,b", "a%20b", "a/b", "%C3%A9", &long(65), &many(257)] {
            let answer =
                get(registry.replicas.address(0), &format!("{path}services={invalid}")).expect("a response");
            let error = answer.body["error"].as_str().unwrap_or_default();
            assert!(
                answer.status == 400 && error.starts_with("services: "),
                "{path} {invalid}: {} {error}",
                answer.status
            );
        }
    }
    for valid in [long(64), many(256), "b,a,b".into(), "a%2Cb".into()] {
        let answer =
            get(registry.replicas.address(0), &format!("/v1/watch?services={valid}")).expect("a response");
        let mut echo: Vec<_> = valid.split(',').flat_map(|s| s.split("%2C")).collect();
        echo.sort_unstable();
        echo.dedup();
        assert_eq!((answer.status, &answer.body["services"]), (200, &json!(echo)), "{valid}");
    }
}
