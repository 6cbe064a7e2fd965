//! Replicas of the registry whose disks fail for a while: no acknowledged write is lost, and they recover by
//! themselves.

use lotusmoor_faults::{Call, FaultTable, Rule, errno};
use lotusmoor_fleet::harness::registry_replicas::{RegistryReplicas, call};
use lotusmoor_fleet::harness::{
    Process, Programs, Timeline, process_guard::ProcessGuard, until, unused_address,
};
use serde_json::{Value, json};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// Three replicas, each with a fault table of its own.
struct TestRegistry {
    replicas: RegistryReplicas,
    tables: Vec<FaultTable>,
    _runtime: tokio::runtime::Runtime,
    _folder: tempfile::TempDir,
}

fn start() -> TestRegistry {
    let programs = Programs::find().expect("the programs are built");
    let process_guard = ProcessGuard::start(&programs.lotusmoor).expect("the process guard starts");
    let folder = tempfile::tempdir().expect("a temporary directory");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let mut replicas = RegistryReplicas::new(
        programs,
        folder.path(),
        runtime.handle().clone(),
        process_guard,
        Timeline::default(),
    );
    replicas.start(3, &[]).unwrap_or_else(|e| panic!("{e}"));
    let mut tables = Vec::new();
    for replica in 0..3 {
        let table = FaultTable::create(&folder.path().join(format!("{replica}.faults")))
            .expect("the fault table is created");
        replicas.set_faults(replica, table.path());
        tables.push(table);
    }
    // The replicas load their fault tables when they restart.
    replicas.restart_with_proxies().unwrap_or_else(|e| panic!("{e}"));
    TestRegistry { replicas, tables, _runtime: runtime, _folder: folder }
}

impl TestRegistry {
    fn wait(&self, what: &str, condition: impl FnMut() -> bool) {
        let is_met = until(condition);
        assert!(is_met, "timed out waiting until {what}\n{}{}", self.replicas.timeline, self.replicas.logs());
    }

    fn register(&self, replica: usize, name: &str) -> bool {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string();
        let answer = self.replicas.call(replica, "PUT", &format!("/v1/servers/{name}"), &body);
        answer.is_ok_and(|a| a.status == 200)
    }

    fn names(&self, replica: usize) -> Option<Vec<String>> {
        let answer = self.replicas.call(replica, "GET", "/v1/list?consistent=true", "").ok()?;
        let list = answer.body["endpoints"].as_array()?.clone();
        (answer.status == 200)
            .then(|| list.iter().filter_map(|e| Some(e["name"].as_str()?.to_owned())).collect())
    }

    /// Lets a system call of these replicas fail for a while during writes; afterwards all three replicas must be
    /// running and have every acknowledged write.
    fn check_recovery(&self, which: &[usize], call: Call, errno: i32, lasts_us: u64) {
        let rules: Vec<(usize, usize)> = which
            .iter()
            .map(|replica| {
                (
                    *replica,
                    self.tables[*replica]
                        .arm(Rule::lasting(lasts_us, call, errno))
                        .expect("the rule is armed"),
                )
            })
            .collect();
        let mut acknowledged = Vec::new();
        let mut number = 0;
        self.wait("a fault was injected in each replica, and writes are accepted", || {
            number += 1;
            let name = format!("{call}-{errno}-{}-{number}", which[0]);
            if self.register(number % 3, &name) {
                acknowledged.push(name);
            }
            let was_hit = |(replica, rule): &(usize, usize)| {
                self.tables[*replica].hits(*rule).is_ok_and(|hits| hits > 0)
            };
            rules.iter().all(was_hit) && acknowledged.len() > 20
        });
        for replica in 0..3 {
            self.wait(&format!("replica {replica} has every acknowledged write"), || {
                self.names(replica).is_some_and(|names| acknowledged.iter().all(|name| names.contains(name)))
            });
            assert!(!self.replicas.has_exited(replica), "replica {replica} exited\n{}", self.replicas.logs());
        }
        let statuses: Vec<Option<Value>> = (0..3).map(|replica| self.replicas.status(replica)).collect();
        assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
        self.tables.iter().for_each(|table| table.disarm_all().expect("the rules are disarmed"));
    }
}

#[test]
fn replica_recovers_after_its_syncs_fail_for_a_second() {
    let registry = start();
    let leader = registry.replicas.leader().expect("there is a leader");
    registry.check_recovery(&[leader], Call::Sync, errno::EIO, 1_000_000);
    let leader = registry.replicas.leader();
    let follower = (0..3).find(|replica| Some(*replica) != leader).expect("a follower");
    registry.check_recovery(&[follower], Call::Sync, errno::ENOSPC, 1_000_000);
}

#[test]
fn replicas_recover_after_all_their_disks_fail_for_a_second() {
    let registry = start();
    registry.check_recovery(&[0, 1, 2], Call::Sync, errno::EIO, 1_000_000);
    registry.check_recovery(&[0, 1, 2], Call::Write, errno::ENOSPC, 1_000_000);
}

#[test]
fn replica_recovers_from_failed_syncs_even_if_its_log_cannot_be_written() {
    let programs = Programs::find().expect("the programs are built");
    let process_guard = ProcessGuard::start(&programs.lotusmoor).expect("the process guard starts");
    let folder = tempfile::tempdir().expect("a temporary directory");
    let table = FaultTable::create(&folder.path().join("faults")).expect("the fault table is created");
    let listen = unused_address();
    let mut command = Command::new(&programs.lotusmoor);
    command.args(["roster", "serve", "--listen", &listen.to_string(), "--folder"]).arg(folder.path());
    programs.preload(&mut command, table.path()).expect("the library is built");
    let full_device = Path::new("/dev/full");
    let mut replica =
        Process::start(command, "roster", full_device, Some(&process_guard)).expect("the process starts");
    let register = || {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string();
        let answer = call(listen, "PUT", "/v1/servers/s-1", &body, Duration::from_secs(2));
        answer.is_ok_and(|a| a.status == 200)
    };
    assert!(until(register), "the replica accepts no write");
    let rule = table.arm(Rule::lasting(300_000, Call::Sync, errno::EIO)).expect("the rule is armed");
    let drain = || call(listen, "POST", "/v1/servers/s-1/drain", "", Duration::from_secs(2));
    assert!(until(|| drain().is_ok() && table.hits(rule).is_ok_and(|hits| hits > 0)), "no sync failed");
    assert!(
        until(|| register() || replica.exit_status().is_some()),
        "the replica accepts no write after the faults"
    );
    assert!(replica.exit_status().is_none(), "the replica exited");
}
