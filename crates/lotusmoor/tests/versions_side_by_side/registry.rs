//! A registry with replicas of both builds.

use crate::process::{RESPONSE_TIMEOUT, Sidecar, sidecar_config};
use crate::stage::{Build, BuildFixture};
use lotusmoor_fleet::harness::registry_replicas::{Answer, RegistryReplicas, call, voter_count};
use lotusmoor_fleet::harness::{Timeline, until};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

/// The limit for changes of leader until a replica of the required build is the leader.
const MAX_LEADER_CHANGES: usize = 30;

/// Watches until there is a change after that index. A watch may end early without one: a replica that had no contact
/// with the others, as for a moment after its start, ends its watches.
fn watch_change(address: SocketAddr, epoch: &Value, index: u64) -> Answer {
    let started = Instant::now();
    loop {
        let path = format!("/v1/watch?wait_ms=8000&epoch={epoch}&after={index}");
        let answer = call(address, "GET", &path, "", RESPONSE_TIMEOUT).expect("a response");
        if answer.status != 200 || answer.body["index"] != index || started.elapsed() > RESPONSE_TIMEOUT {
            return answer;
        }
    }
}

/// A registry of replicas of both builds, with a sidecar of each build that watches it.
struct MixedRegistry {
    fixture: BuildFixture,
    replicas: RegistryReplicas,
    builds: Vec<Build>,
    sidecars: Vec<Sidecar>,
    written: BTreeSet<String>,
    // The last field, so that it is dropped last: the fault proxies between the replicas run on it.
    _runtime: tokio::runtime::Runtime,
}

impl MixedRegistry {
    fn start(builds: &[Build]) -> Self {
        let fixture = BuildFixture::new();
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let mut replicas = RegistryReplicas::new(
            fixture.programs.clone(),
            fixture.folder.path(),
            runtime.handle().clone(),
            fixture.process_guard.clone(),
            Timeline::default(),
        );
        for build in builds {
            replicas
                .add_with_program(fixture.registry_program(*build), &[])
                .unwrap_or_else(|e| panic!("{e}"));
        }
        let mut mixed = Self {
            fixture,
            replicas,
            builds: builds.to_vec(),
            sidecars: Vec::new(),
            written: BTreeSet::new(),
            _runtime: runtime,
        };
        mixed.wait("all replicas are voters", |m| {
            m.replicas.status(0).is_some_and(|s| voter_count(&s) == m.builds.len())
        });
        mixed.sidecars = vec![mixed.start_sidecar(Build::Earlier), mixed.start_sidecar(Build::Current)];
        mixed
    }

    fn start_sidecar(&self, build: Build) -> Sidecar {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut config = sidecar_config(listener.local_addr().expect("an address"), &[]);
        let addresses: Vec<SocketAddr> =
            (0..self.builds.len()).map(|replica| self.replicas.address(replica)).collect();
        let file = self.fixture.folder.path().join(format!("{build:?}.list"));
        // Of the two names of this key, the earlier build knows only `roster`.
        config["roster"] = json!({"addresses": addresses, "file": file});
        let path = self.fixture.write_config(&format!("{build:?}.json"), &config);
        Sidecar::start(&self.fixture, build, &listener, &path)
    }

    fn wait(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let is_met = until(|| condition(self));
        assert!(is_met, "timed out waiting until {what}\n{}{}", self.replicas.timeline, self.replicas.logs());
    }

    /// Registers a server through that replica, which forwards the write if it is not the leader.
    fn register(&mut self, replica: usize, name: &str) {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string();
        let path = format!("/v1/servers/{name}");
        self.wait(&format!("replica {replica} accepts {name}"), |m| {
            m.replicas.call(replica, "PUT", &path, &body).is_ok_and(|answer| answer.status == 200)
        });
        self.written.insert(name.to_owned());
    }

    /// Checks that all replicas have every write, in the same version with the same digest, and both sidecars that
    /// version.
    fn check_converged(&self) {
        self.wait("all replicas and sidecars have the same list", |m| {
            let statuses: Vec<_> =
                (0..m.builds.len()).filter_map(|replica| m.replicas.status(replica)).collect();
            let version_and_digest =
                |s: &Value| (s["epoch"].clone(), s["index"].clone(), s["digest"].clone());
            let is_same = statuses.len() == m.builds.len()
                && statuses.iter().all(|s| version_and_digest(s) == version_and_digest(&statuses[0]));
            let version = || format!("version={}/{} ", statuses[0]["epoch"], statuses[0]["index"]);
            is_same && m.sidecars.iter().all(|s| s.command("list").contains(&version()))
        });
        for replica in 0..self.builds.len() {
            let answer =
                self.replicas.call(replica, "GET", "/v1/list?consistent=true", "").expect("a response");
            let entries = answer.body["endpoints"].as_array().cloned().unwrap_or_default();
            let names = entries.iter().filter_map(|e| Some(e["name"].as_str()?.to_owned()));
            assert_eq!(
                names.collect::<BTreeSet<_>>(),
                self.written,
                "replica {replica}\n{}",
                self.replicas.logs()
            );
        }
    }

    /// Checks that a watch at each replica receives a write through another.
    fn check_watches(&mut self) {
        let count = self.builds.len();
        for replica in 0..count {
            self.check_converged();
            let status = self.replicas.status(replica).expect("a status");
            let (address, epoch) = (self.replicas.address(replica), status["epoch"].clone());
            let index = status["index"].as_u64().expect("an index");
            let watch = std::thread::spawn(move || watch_change(address, &epoch, index));
            let name = format!("watched-{}", self.written.len());
            self.register((replica + 1) % count, &name);
            let answer = watch.join().expect("the thread does not panic");
            let entries = answer.body["endpoints"].as_array().cloned().unwrap_or_default();
            let names: Vec<&str> = entries.iter().filter_map(|e| e["name"].as_str()).collect();
            assert_eq!((answer.status, names), (200, vec![name.as_str()]), "replica {replica}: {answer:?}");
            assert_eq!(answer.body["snapshot"], false, "replica {replica}: {answer:?}");
        }
    }

    /// Kills leaders until a replica of that build is the leader; writes continue throughout.
    fn change_leader_to(&mut self, build: Build) {
        for _ in 0..MAX_LEADER_CHANGES {
            self.wait("there is a leader", |m| m.replicas.leader().is_some());
            let Some(leader) = self.replicas.leader() else { continue };
            if self.builds[leader] == build {
                println!("{:?}: the leader is replica {leader}, of the build {build:?}", self.builds);
                return self.register(leader, &format!("led-{}", self.written.len()));
            }
            self.replicas.kill(leader).expect("the replica is killed");
            let other = (leader + 1) % self.builds.len();
            self.register(other, &format!("without-{}", self.written.len()));
            self.replicas.start_replica(leader).expect("the replica starts");
            self.check_converged();
        }
        panic!("no replica of the build {build:?} became the leader\n{}", self.replicas.logs());
    }

    /// Kills all replicas and starts them again with their data.
    fn restart_all(&self) {
        (0..self.builds.len())
            .for_each(|replica| self.replicas.kill(replica).expect("the replica is killed"));
        (0..self.builds.len())
            .for_each(|replica| self.replicas.start_replica(replica).expect("the replica starts"));
        self.wait("there is a leader", |m| m.replicas.leader().is_some());
    }

    /// Restarts each replica with the other build and its own data.
    fn swap_builds(&mut self) {
        for replica in 0..self.builds.len() {
            let build = if self.builds[replica] == Build::Earlier { Build::Current } else { Build::Earlier };
            self.builds[replica] = build;
            self.replicas.set_program(replica, self.fixture.registry_program(build));
            self.replicas.kill(replica).expect("the replica is killed");
            self.replicas.start_replica(replica).expect("the replica starts");
            self.check_converged();
        }
    }
}

/// Checks writes, watches, changes of leader and restarts of a registry with replicas of these builds.
pub fn check_registry_with_replicas_of(builds: [Build; 3]) {
    let mut mixed = MixedRegistry::start(&builds);
    for replica in 0..builds.len() {
        mixed.register(replica, &format!("first-{replica}"));
    }
    mixed.check_watches();
    for build in [Build::Earlier, Build::Current, Build::Earlier] {
        mixed.change_leader_to(build);
        mixed.check_watches();
    }
    mixed.restart_all();
    mixed.check_watches();
    mixed.swap_builds();
    mixed.check_watches();
}
