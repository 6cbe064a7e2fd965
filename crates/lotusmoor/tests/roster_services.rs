//! Lists by service, told by replicas that are real processes: readers of a service get all of it and nothing else,
//! whoever leads, whoever else reads, and whichever version a replica had before.

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

/// Longer than any wait of a reader.
const PATIENCE: Duration = Duration::from_secs(60);
/// A wait that does not run out before the test has done what ends it.
const WAIT_MS: u64 = 50_000;

/// Replicas, with what they need.
struct Play {
    rosters: RegistryReplicas,
    programs: Programs,
    _runtime: tokio::runtime::Runtime,
    folder: tempfile::TempDir,
}

fn start(count: usize, arguments: &[&str]) -> Play {
    let programs = Programs::find().expect("the programs are built");
    let reaper = ProcessGuard::start(&programs.lotusmoor).expect("the process guard starts");
    let folder = tempfile::tempdir().expect("a temporary directory");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let handle = runtime.handle().clone();
    let mut rosters =
        RegistryReplicas::new(programs.clone(), folder.path(), handle, reaper, Timeline::default());
    rosters.start(count, arguments).unwrap_or_else(|e| panic!("{e}"));
    let play = Play { rosters, programs, _runtime: runtime, folder };
    for at in 0..count {
        // One that has only just come in touch with the others still answers for a moment without waiting.
        play.wait("all tell a list, and wait when there is nothing new", || {
            let list = get(play.rosters.address(at), "/v1/list").filter(|a| a.status == 200);
            let Some(index) = list.and_then(|a| a.body["index"].as_u64()) else { return false };
            let path = format!("/v1/watch?after={index}&wait_ms=20");
            get(play.rosters.address(at), &path).is_some_and(|a| a.body["waited_ms"].as_u64() >= Some(20))
        });
    }
    play
}

fn get(at: SocketAddr, path: &str) -> Option<Answer> {
    call(at, "GET", path, "", PATIENCE).ok()
}

/// The names of an answer's endpoints with their services, or what became of them where they left.
fn endpoints(answer: &Answer) -> BTreeMap<String, String> {
    let all = answer.body["endpoints"].as_array().cloned().unwrap_or_default();
    let count = all.len();
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    let shown = |e: &Value| match text(&e["status"]).as_str() {
        "left" => format!("left, {}", text(&e["why"])),
        _ => text(&e["service"]),
    };
    let named: BTreeMap<_, _> = all.iter().map(|e| (text(&e["name"]), shown(e))).collect();
    assert_eq!(named.len(), count, "no name is told twice: {}", answer.body);
    named
}

fn names(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|n| (*n).to_owned()).collect()
}

impl Play {
    fn check(&self, holds: bool, what: &str) {
        assert!(holds, "{what}\n{}{}", self.rosters.timeline, self.rosters.logs());
    }

    fn wait(&self, what: &str, holds: impl FnMut() -> bool) {
        let came = until(holds);
        self.check(came, &format!("timed out waiting until {what}"));
    }

    /// Registers at any replica that takes it; returns the list's index.
    fn register(&self, name: &str, service: Option<&str>) -> u64 {
        let mut body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0});
        if let Some(service) = service {
            body["service"] = json!(service);
        }
        let (path, body) = (format!("/v1/servers/{name}"), body.to_string());
        let mut index = None;
        self.wait(&format!("{name} is registered"), || {
            let one = |at| {
                let answer = self.rosters.call(at, "PUT", &path, &body).ok()?;
                (answer.status == 200).then(|| answer.body["index"].as_u64())?
            };
            index = (0..self.rosters.count()).find_map(one);
            index.is_some()
        });
        index.unwrap_or(0)
    }

    /// Registers many in one write.
    fn register_all(&self, servers: &[(String, &str)]) {
        let one = |(name, service): &(String, &str)| json!({"name": name, "address": "127.0.0.1:9000", "lease_ms": 0, "service": service});
        let servers: Vec<Value> = servers.iter().map(one).collect();
        let body = json!({"servers": servers}).to_string();
        let answer = self.rosters.call(0, "POST", "/v1/servers", &body).expect("a response");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    fn wait_leader(&self) -> usize {
        let mut leader = None;
        self.wait("there is a leader", || {
            leader = self.rosters.leader();
            leader.is_some()
        });
        leader.unwrap_or(0)
    }

    fn wait_alike(&self) {
        self.wait("all replicas have the same list", || {
            let views = (0..self.rosters.count()).map(|at| self.rosters.status(at));
            let view = |s: Value| (s["index"].clone(), s["digest"].clone());
            let views: Option<Vec<_>> = views.map(|s| s.map(view)).collect();
            views.is_some_and(|v| v.iter().all(|other| *other == v[0]))
        });
    }

    /// A count of a replica's metrics.
    fn metric(&self, at: usize, name: &str) -> u64 {
        let mut stream = TcpStream::connect(self.rosters.address(at)).expect("the connection is established");
        stream
            .write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .expect("the request is sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("a response");
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|n| n.trim().parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
    }

    /// A call of a reader that waits in a thread of its own, from the list's version of now.
    fn waiting(&self, at: usize, services: &str) -> JoinHandle<Answer> {
        let address = self.rosters.address(at);
        let now = get(address, &format!("/v1/list?services={services}")).expect("a response").body;
        let (epoch, index) = (now["epoch"].clone(), now["index"].clone());
        let path = format!("/v1/watch?epoch={epoch}&after={index}&wait_ms={WAIT_MS}&services={services}");
        std::thread::spawn(move || get(address, &path).expect("a response"))
    }
}

/// A reader as a sidecar is one: it keeps what it was told, and takes nothing older.
#[derive(Default)]
struct Reader {
    /// The services that it asks for; all where it names none.
    services: Option<&'static str>,
    version: (u64, u64),
    known: BTreeMap<String, String>,
    wholes: usize,
    older: usize,
    /// Versions that it saw, with their digests: none has two.
    seen: BTreeMap<u64, u64>,
}

impl Reader {
    fn of(services: &'static str) -> Self {
        Self { services: Some(services), ..Self::default() }
    }

    /// Asks, waits if there is nothing new, and takes what it is told. Returns whether it was told something that it
    /// takes.
    fn ask(&mut self, at: SocketAddr, wait_ms: u64) -> bool {
        let mut path = format!("/v1/watch?wait_ms={wait_ms}");
        if self.version.0 > 0 {
            path.push_str(&format!("&epoch={}&after={}", self.version.0, self.version.1));
        }
        if let Some(services) = self.services {
            path.push_str(&format!("&services={services}"));
        }
        let Some(answer) = get(at, &path).filter(|a| a.status == 200) else { return false };
        let number = |key: &str| answer.body[key].as_u64().expect("a number");
        let echo = self.services.map(|s| json!(s.split(',').collect::<Vec<_>>()));
        assert_eq!(answer.body.get("services"), echo.as_ref(), "it is told which services it hears of");
        let version = (number("epoch"), number("index"));
        if version < self.version {
            // From a replica that is behind, and then it is the whole.
            assert_eq!(answer.body["snapshot"], true, "{}", answer.body);
            self.older += 1;
            return false;
        }
        let digest = *self.seen.entry(version.1).or_insert_with(|| number("digest"));
        assert_eq!(digest, number("digest"), "two contents of {version:?}");
        if answer.body["snapshot"] == true {
            self.wholes += 1;
            self.known.clear();
        }
        for (name, what) in endpoints(&answer) {
            match what.starts_with("left") {
                true => drop(self.known.remove(&name)),
                false => drop(self.known.insert(name, what)),
            }
        }
        if let Some(services) = self.services {
            let asked = |s: &String| services.split(',').any(|a| a == s);
            assert!(self.known.values().all(asked), "{:?}", self.known);
        }
        self.version = version;
        true
    }

    fn names(&self) -> BTreeSet<String> {
        self.known.keys().cloned().collect()
    }
}

#[test]
fn a_reader_of_a_service_has_the_whole_of_it_over_a_killed_leader_and_a_restore() {
    let play = start(3, &[]);
    let mut want = BTreeSet::new();
    let mut add = |name: String| {
        play.register(&name, Some("a"));
        play.register(&format!("other-{name}"), Some("b"));
        play.register(&format!("none-{name}"), None);
        want.insert(name);
        want.clone()
    };
    for i in 0..5 {
        add(format!("before-{i}"));
    }
    let leader = play.wait_leader();
    let address = |at: usize| play.rosters.address(at);
    let mut reader = Reader::of("a");
    play.wait("it has a list", || reader.ask(address(leader), 0) && reader.known.len() == 5);
    play.rosters.kill(leader).expect("the replica is killed");
    // It asks all in turn, the one that is gone among them.
    for i in 0..10 {
        let want = add(format!("during-{i}"));
        let mut turn = i;
        play.wait("it is told of a server", || {
            turn += 1;
            reader.ask(address(turn % 3), 200);
            reader.names() == want
        });
    }
    play.check(reader.wholes == 1, &format!("{} wholes, {} older", reader.wholes, reader.older));
    play.rosters.start_replica(leader).expect("the replica starts");
    let want = add("after".into());
    play.wait_alike();
    for at in 0..3 {
        let mut fresh = Reader::of("a");
        play.wait("a new reader has a list", || fresh.ask(address(at), 0));
        play.check(reader.ask(address(at), 0), "it is told no older list");
        assert_eq!((fresh.names(), reader.names()), (want.clone(), want.clone()), "replica {at}");
        assert_eq!(fresh.seen[&fresh.version.1], reader.seen[&reader.version.1], "their digests");
    }
    // A backup, then a change that it does not have, then a list that is founded from it.
    let out = play.folder.path().join("roster.backup").display().to_string();
    let roster = address(leader).to_string();
    let mut backup = std::process::Command::new(&play.programs.lotusmoor);
    backup.args(["roster", "backup", "--roster", &roster, "--out", &out]);
    assert!(backup.output().expect("the command runs").status.success());
    play.register("lost", Some("a"));
    play.wait("it is told of the change", || {
        reader.ask(address(leader), 0);
        reader.known.contains_key("lost")
    });
    let (before, wholes) = (reader.version, reader.wholes);
    let listen = unused_address();
    let folder = play.folder.path().join("restored").display().to_string();
    let mut command = std::process::Command::new(&play.programs.lotusmoor);
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
    let log = play.folder.path().join("restored.log");
    let _restored = Process::start(command, "restored", &log, None).expect("the process starts");
    play.wait("it is told of the restored list", || reader.ask(listen, 1000) && reader.version.0 > before.0);
    assert!(reader.version.1 > before.1, "the index has not gone back");
    assert_eq!((reader.names(), reader.wholes), (want, wholes + 1));
}

#[test]
fn a_reader_that_waits_is_woken_by_its_own_service_and_by_no_other() {
    let play = start(1, &[]);
    play.register("a-0", Some("a"));
    play.register("b-0", Some("b"));
    let reader = play.waiting(0, "a");
    play.wait("it waits", || play.metric(0, "roster_watchers") == 1);
    let woken = play.metric(0, "roster_woken_total");
    for i in 1..=20 {
        play.register(&format!("b-{i}"), Some("b"));
    }
    let counts = (play.metric(0, "roster_woken_total"), play.metric(0, "roster_watchers"));
    play.check(counts == (woken, 1) && !reader.is_finished(), &format!("it goes on waiting: {counts:?}"));
    let index = play.register("a-1", Some("a"));
    let answer = reader.join().expect("the thread does not panic");
    assert_eq!(endpoints(&answer), BTreeMap::from([("a-1".into(), "a".into())]));
    let (told, whole) = (answer.body["index"].as_u64(), &answer.body["snapshot"]);
    assert_eq!((told, whole), (Some(index), &json!(false)), "{}", answer.body);
    assert_eq!(play.metric(0, "roster_woken_total"), woken + 1);
}

#[test]
fn a_hand_over_is_one_write_for_readers_of_the_old_service_the_new_and_both() {
    let play = start(1, &[]);
    play.register("stays", Some("old"));
    play.register("there", Some("new"));
    let before = play.register("goes", Some("old"));
    let readers = ["old", "new", "new,old", "other"].map(|s| play.waiting(0, s));
    play.wait("all wait", || play.metric(0, "roster_watchers") == 4);
    let index = play.register("goes", Some("new"));
    assert_eq!(index, before + 1, "one write");
    let [old, new, both, other] = readers;
    for (reader, what) in [(old, "left, removed"), (new, "new"), (both, "new")] {
        let answer = reader.join().expect("the thread does not panic");
        assert_eq!(endpoints(&answer), BTreeMap::from([("goes".into(), what.into())]));
        assert_eq!(answer.body["index"], index, "{}", answer.body);
    }
    play.check(!other.is_finished() && play.metric(0, "roster_watchers") == 1, "nobody else is told");
    play.register("its", Some("other"));
    assert_eq!(
        endpoints(&other.join().expect("the thread does not panic")),
        BTreeMap::from([("its".into(), "other".into())])
    );
    for (services, want) in
        [("old", names(&["stays"])), ("new", names(&["goes", "there"])), ("none", names(&[]))]
    {
        let mut reader = Reader { services: Some(services), ..Reader::default() };
        assert!(reader.ask(play.rosters.address(0), 0));
        assert_eq!(reader.names(), want);
    }
}

#[test]
fn replicas_rolled_from_the_format_before_go_on_telling_whole_lists_and_then_know_services() {
    let play = start(3, &["--format", "2"]);
    let address = |at: usize| play.rosters.address(at);
    let mut want = BTreeSet::new();
    let mut plain = |name: String| {
        play.register(&name, None);
        want.insert(name);
        want.clone()
    };
    for i in 0..5 {
        plain(format!("before-{i}"));
    }
    play.wait_alike();
    // As the version before: no registration with a service, and no ear for who asks for some.
    let body = json!({"address": "127.0.0.1:1", "lease_ms": 0, "service": "a"}).to_string();
    for at in 0..3 {
        let refused = play.rosters.call(at, "PUT", "/v1/servers/with", &body).expect("a response");
        let said = refused.body["error"].as_str().unwrap_or_default();
        assert!(refused.status == 422 && said.contains("services"), "{} {said}", refused.status);
        for path in ["/v1/watch?services=a", "/v1/list?services=a", "/v1/watch?services=not%20one"] {
            let answer = get(address(at), path).expect("a response");
            assert_eq!((answer.status, answer.body.get("services")), (200, None), "{path}");
            assert_eq!(endpoints(&answer).len(), 5, "{path}");
        }
    }
    let mut reader = Reader::default();
    play.wait("it has a list", || reader.ask(address(0), 0) && reader.known.len() == 5);
    for rolled in 0..3 {
        play.rosters.kill(rolled).expect("the replica is killed");
        for i in 0..5 {
            let want = plain(format!("while-{rolled}-{i}"));
            let mut turn = i;
            play.wait("it is told of a server", || {
                turn += 1;
                reader.ask(address(turn % 3), 200);
                reader.names() == want
            });
        }
        play.rosters.set_arguments(rolled, &[]);
        play.rosters.start_replica(rolled).expect("the replica starts");
        play.wait_alike();
        let want = plain(format!("rolled-{rolled}"));
        play.wait_alike();
        // Old and new tell the same, with the same digests; the reader holds every two of a version to that.
        for at in 0..3 {
            // One that has just started turns readers away until it knows how old its list is. What it tells then is
            // not older than what all have.
            let older = reader.older;
            play.wait("it tells a list", || reader.ask(address(at), 0) || reader.older > older);
            play.check(reader.older == older && reader.names() == want, "all tell the whole list");
        }
    }
    play.check(reader.wholes == 1, &format!("{} wholes, {} older", reader.wholes, reader.older));
    play.register("with", Some("a"));
    play.wait_alike();
    for at in 0..3 {
        let mut of_a = Reader::of("a");
        assert!(of_a.ask(address(at), 0));
        assert_eq!(of_a.names(), names(&["with"]));
        assert!(reader.ask(address(at), 0));
        assert_eq!((reader.known.len(), &reader.known["with"]), (5 + 18 + 1, &"a".to_owned()));
    }
}

#[test]
fn all_readers_of_the_largest_service_come_back_at_once_and_the_others_are_told_their_changes() {
    const MANY: usize = 300;
    const OTHERS: [&str; 10] = ["o-0", "o-1", "o-2", "o-3", "o-4", "o-5", "o-6", "o-7", "o-8", "o-9"];
    let play = start(1, &[]);
    let large: Vec<_> = (0..500).map(|i| (format!("large-{i}"), "large")).collect();
    play.register_all(&large);
    let address = play.rosters.address(0);
    let open = |path: &str| {
        let mut stream = TcpStream::connect(address).expect("the connection is established");
        stream.set_read_timeout(Some(PATIENCE)).expect("a read timeout can be set");
        let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the request is sent");
        stream
    };
    let index = play.rosters.status(0).and_then(|s| s["index"].as_u64()).expect("a response");
    let watch = format!("/v1/watch?after={index}&wait_ms={WAIT_MS}&services=large");
    let watching: Vec<_> = (0..MANY).map(|_| open(&watch)).collect();
    let others = OTHERS.map(|s| play.waiting(0, s));
    let all = (MANY + OTHERS.len()) as u64;
    play.wait("all wait", || play.metric(0, "roster_watchers") == all);
    let woken = play.metric(0, "roster_woken_total");
    drop(watching);
    // They know nothing any more, and take their answers after the others have theirs.
    let back: Vec<_> = (0..MANY).map(|_| open("/v1/watch?services=large")).collect();
    let wrote = OTHERS.map(|s| play.register(&format!("of-{s}"), Some(s)));
    for ((reader, service), index) in others.into_iter().zip(OTHERS).zip(wrote) {
        let answer = reader.join().expect("the thread does not panic");
        assert_eq!(endpoints(&answer), BTreeMap::from([(format!("of-{service}"), service.to_owned())]));
        assert!(answer.body["index"].as_u64() >= Some(index), "{}", answer.body);
    }
    assert_eq!(play.metric(0, "roster_woken_total"), woken + OTHERS.len() as u64, "nobody else was woken");
    for mut stream in back {
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
fn services_that_can_not_be_meant_are_a_plain_400() {
    let play = start(1, &[]);
    play.register("one", Some("a"));
    let many = |count: usize| (0..count).map(|i| format!("s{i}")).collect::<Vec<_>>().join(",");
    let long = |length: usize| "x".repeat(length);
    for call in ["/v1/watch?", "/v1/list?", "/v1/list?consistent=true&", "/v1/watch?after=1&wait_ms=50000&"] {
        for wrong in ["", ",", "a,", "a,,b", "a%20b", "a/b", "%C3%A9", &long(65), &many(257)] {
            let answer =
                get(play.rosters.address(0), &format!("{call}services={wrong}")).expect("a response");
            let said = answer.body["error"].as_str().unwrap_or_default();
            assert!(
                answer.status == 400 && said.starts_with("services: "),
                "{call} {wrong}: {} {said}",
                answer.status
            );
        }
    }
    for right in [long(64), many(256), "b,a,b".into(), "a%2Cb".into()] {
        let answer =
            get(play.rosters.address(0), &format!("/v1/watch?services={right}")).expect("a response");
        let mut echo: Vec<_> = right.split(',').flat_map(|s| s.split("%2C")).collect();
        echo.sort_unstable();
        echo.dedup();
        assert_eq!((answer.status, &answer.body["services"]), (200, &json!(echo)), "{right}");
    }
}
