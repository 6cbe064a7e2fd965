//! A registry with replicas of both builds.

use crate::process::{PATIENCE, Sidecar, sidecar_config};
use crate::stage::{Build, Stage};
use lotusmoor_fleet::harness::registry_replicas::{Answer, RegistryReplicas, call, voter_count};
use lotusmoor_fleet::harness::{Timeline, until};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

/// Changes of leader after which each build has led.
const MAX_LEADER_CHANGES: usize = 30;

/// Watches until there is a change after that index. A watch may end without one before its time: a replica that was
/// out of touch with the others, as for a moment after its start, lets its watches go.
fn watch_change(at: SocketAddr, epoch: &Value, index: u64) -> Answer {
    let began = Instant::now();
    loop {
        let path = format!("/v1/watch?wait_ms=8000&epoch={epoch}&after={index}");
        let answer = call(at, "GET", &path, "", PATIENCE).expect("a response");
        if answer.status != 200 || answer.body["index"] != index || began.elapsed() > PATIENCE {
            return answer;
        }
    }
}

/// A registry of replicas of both builds, with a sidecar of each build that watches it.
struct MixedRegistry {
    stage: Stage,
    rosters: RegistryReplicas,
    builds: Vec<Build>,
    sidecars: Vec<Sidecar>,
    written: BTreeSet<String>,
    // Last, as the replicas' ways run on it.
    _runtime: tokio::runtime::Runtime,
}

impl MixedRegistry {
    fn start(builds: &[Build]) -> Self {
        let stage = Stage::new();
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let mut rosters = RegistryReplicas::new(
            stage.programs.clone(),
            stage.folder.path(),
            runtime.handle().clone(),
            stage.reaper.clone(),
            Timeline::default(),
        );
        for build in builds {
            rosters.add_with_program(stage.registry_program(*build), &[]).unwrap_or_else(|e| panic!("{e}"));
        }
        let mut mixed = Self {
            stage,
            rosters,
            builds: builds.to_vec(),
            sidecars: Vec::new(),
            written: BTreeSet::new(),
            _runtime: runtime,
        };
        mixed.wait("all vote", |m| m.rosters.status(0).is_some_and(|s| voter_count(&s) == m.builds.len()));
        mixed.sidecars = vec![mixed.start_sidecar(Build::Earlier), mixed.start_sidecar(Build::Present)];
        mixed
    }

    fn start_sidecar(&self, build: Build) -> Sidecar {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut config = sidecar_config(listener.local_addr().expect("an address"), &[]);
        let addresses: Vec<SocketAddr> = (0..self.builds.len()).map(|at| self.rosters.address(at)).collect();
        let file = self.stage.folder.path().join(format!("{build:?}.list"));
        // The earlier build knows this key alone.
        config["roster"] = json!({"addresses": addresses, "file": file});
        let path = self.stage.write_config(&format!("{build:?}.json"), &config);
        Sidecar::start(&self.stage, build, &listener, &path)
    }

    fn wait(&self, what: &str, mut holds: impl FnMut(&Self) -> bool) {
        let came = until(|| holds(self));
        assert!(came, "timed out waiting until {what}\n{}{}", self.rosters.timeline, self.rosters.logs());
    }

    /// Registers a server at that replica, or a request through it to the leader.
    fn register(&mut self, at: usize, name: &str) {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string();
        let path = format!("/v1/servers/{name}");
        self.wait(&format!("replica {at} takes {name}"), |m| {
            m.rosters.call(at, "PUT", &path, &body).is_ok_and(|answer| answer.status == 200)
        });
        self.written.insert(name.to_owned());
    }

    /// All replicas have all that was written, at one version with one digest; both sidecars follow.
    fn check_alike(&self) {
        self.wait("all replicas and sidecars have the same list", |m| {
            let views: Vec<_> = (0..m.builds.len()).filter_map(|at| m.rosters.status(at)).collect();
            let view = |s: &Value| (s["epoch"].clone(), s["index"].clone(), s["digest"].clone());
            let is_alike = views.len() == m.builds.len() && views.iter().all(|s| view(s) == view(&views[0]));
            let version = || format!("version={}/{} ", views[0]["epoch"], views[0]["index"]);
            is_alike && m.sidecars.iter().all(|s| s.operator("list").contains(&version()))
        });
        for at in 0..self.builds.len() {
            let answer = self.rosters.call(at, "GET", "/v1/list?consistent=true", "").expect("a response");
            let entries = answer.body["endpoints"].as_array().cloned().unwrap_or_default();
            let names = entries.iter().filter_map(|e| Some(e["name"].as_str()?.to_owned()));
            assert_eq!(names.collect::<BTreeSet<_>>(), self.written, "replica {at}\n{}", self.rosters.logs());
        }
    }

    /// A watch at each replica is answered with what is written at another.
    fn check_watches(&mut self) {
        let count = self.builds.len();
        for at in 0..count {
            self.check_alike();
            let status = self.rosters.status(at).expect("its status");
            let (address, epoch) = (self.rosters.address(at), status["epoch"].clone());
            let index = status["index"].as_u64().expect("an index");
            let watch = std::thread::spawn(move || watch_change(address, &epoch, index));
            let name = format!("watched-{}", self.written.len());
            self.register((at + 1) % count, &name);
            let answer = watch.join().expect("the thread does not panic");
            let entries = answer.body["endpoints"].as_array().cloned().unwrap_or_default();
            let names: Vec<&str> = entries.iter().filter_map(|e| e["name"].as_str()).collect();
            assert_eq!((answer.status, names), (200, vec![name.as_str()]), "replica {at}: {answer:?}");
            assert_eq!(answer.body["snapshot"], false, "replica {at}: {answer:?}");
        }
    }

    /// Kills leaders until a replica of that build leads; writes go on all the while.
    fn change_leader_to(&mut self, build: Build) {
        for _ in 0..MAX_LEADER_CHANGES {
            self.wait("there is a leader", |m| m.rosters.leader().is_some());
            let Some(leader) = self.rosters.leader() else { continue };
            if self.builds[leader] == build {
                println!("{:?}: replica {leader} leads, which is {build:?}", self.builds);
                return self.register(leader, &format!("led-{}", self.written.len()));
            }
            self.rosters.kill(leader).expect("the replica is killed");
            let other = (leader + 1) % self.builds.len();
            self.register(other, &format!("without-{}", self.written.len()));
            self.rosters.start_replica(leader).expect("the replica starts");
            self.check_alike();
        }
        panic!("no {build:?} replica came to lead\n{}", self.rosters.logs());
    }

    /// All are killed and started again with what is on their disks.
    fn restart_all(&self) {
        (0..self.builds.len()).for_each(|at| self.rosters.kill(at).expect("the replica is killed"));
        (0..self.builds.len()).for_each(|at| self.rosters.start_replica(at).expect("the replica starts"));
        self.wait("there is a leader", |m| m.rosters.leader().is_some());
    }

    /// Each replica goes on with the other build, on the disk that it has.
    fn exchange_builds(&mut self) {
        for at in 0..self.builds.len() {
            let build = if self.builds[at] == Build::Earlier { Build::Present } else { Build::Earlier };
            self.builds[at] = build;
            self.rosters.set_program(at, self.stage.registry_program(build));
            self.rosters.kill(at).expect("the replica is killed");
            self.rosters.start_replica(at).expect("the replica starts");
            self.check_alike();
        }
    }
}

pub fn holds_with_replicas_of(builds: [Build; 3]) {
    let mut mixed = MixedRegistry::start(&builds);
    for at in 0..builds.len() {
        mixed.register(at, &format!("first-{at}"));
    }
    mixed.check_watches();
    for build in [Build::Earlier, Build::Present, Build::Earlier] {
        mixed.change_leader_to(build);
        mixed.check_watches();
    }
    mixed.restart_all();
    mixed.check_watches();
    mixed.exchange_builds();
    mixed.check_watches();
}
