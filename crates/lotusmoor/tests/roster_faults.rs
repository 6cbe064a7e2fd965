//! Replicas of a roster whose disks fail for a while: what was acknowledged stays, and they come back by themselves.

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
struct Play {
    rosters: RegistryReplicas,
    tables: Vec<FaultTable>,
    _runtime: tokio::runtime::Runtime,
    _folder: tempfile::TempDir,
}

fn start() -> Play {
    let programs = Programs::find().expect("the programs are built");
    let reaper = ProcessGuard::start(&programs.lotusmoor).expect("the process guard starts");
    let folder = tempfile::tempdir().expect("a temporary directory");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let mut rosters =
        RegistryReplicas::new(programs, folder.path(), runtime.handle().clone(), reaper, Timeline::default());
    rosters.start(3, &[]).unwrap_or_else(|e| panic!("{e}"));
    let mut tables = Vec::new();
    for at in 0..3 {
        let table = FaultTable::create(&folder.path().join(format!("{at}.faults")))
            .expect("the fault table is created");
        rosters.set_faults(at, table.path());
        tables.push(table);
    }
    // They start anew, and then have them.
    rosters.restart_with_proxies().unwrap_or_else(|e| panic!("{e}"));
    Play { rosters, tables, _runtime: runtime, _folder: folder }
}

impl Play {
    fn wait(&self, what: &str, holds: impl FnMut() -> bool) {
        let came = until(holds);
        assert!(came, "timed out waiting until {what}\n{}{}", self.rosters.timeline, self.rosters.logs());
    }

    fn register(&self, at: usize, name: &str) -> bool {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string();
        let answer = self.rosters.call(at, "PUT", &format!("/v1/servers/{name}"), &body);
        answer.is_ok_and(|a| a.status == 200)
    }

    fn names(&self, at: usize) -> Option<Vec<String>> {
        let answer = self.rosters.call(at, "GET", "/v1/list?consistent=true", "").ok()?;
        let list = answer.body["endpoints"].as_array()?.clone();
        (answer.status == 200)
            .then(|| list.iter().filter_map(|e| Some(e["name"].as_str()?.to_owned())).collect())
    }

    /// Syncs of these replicas fail for a while, as writes go on; in the end all three are of use and have all that was
    /// acknowledged.
    fn fails_and_comes_back(&self, which: &[usize], call: Call, errno: i32, lasts_us: u64) {
        let rules: Vec<(usize, usize)> = which
            .iter()
            .map(|at| {
                (*at, self.tables[*at].arm(Rule::lasting(lasts_us, call, errno)).expect("the rule is armed"))
            })
            .collect();
        let mut acknowledged = Vec::new();
        let mut number = 0;
        self.wait("each has met its faults, and a write is taken after that", || {
            number += 1;
            let name = format!("{call}-{errno}-{}-{number}", which[0]);
            if self.register(number % 3, &name) {
                acknowledged.push(name);
            }
            let met = |(at, rule): &(usize, usize)| self.tables[*at].hits(*rule).is_ok_and(|hits| hits > 0);
            rules.iter().all(met) && acknowledged.len() > 20
        });
        for at in 0..3 {
            self.wait(&format!("replica {at} has all that was acknowledged"), || {
                self.names(at).is_some_and(|names| acknowledged.iter().all(|name| names.contains(name)))
            });
            assert!(!self.rosters.has_exited(at), "replica {at} ended\n{}", self.rosters.logs());
        }
        let views: Vec<Option<Value>> = (0..3).map(|at| self.rosters.status(at)).collect();
        assert!(views.iter().all(Option::is_some), "{views:?}");
        self.tables.iter().for_each(|table| table.disarm_all().expect("the rules are disarmed"));
    }
}

#[test]
fn a_replica_whose_syncs_fail_for_a_second_comes_back_by_itself() {
    let play = start();
    let leader = play.rosters.leader().expect("there is a leader");
    play.fails_and_comes_back(&[leader], Call::Sync, errno::EIO, 1_000_000);
    let leader = play.rosters.leader();
    let follower = (0..3).find(|at| Some(*at) != leader).expect("a follower");
    play.fails_and_comes_back(&[follower], Call::Sync, errno::ENOSPC, 1_000_000);
}

#[test]
fn replicas_whose_disks_all_fail_for_a_second_come_back_by_themselves() {
    let play = start();
    play.fails_and_comes_back(&[0, 1, 2], Call::Sync, errno::EIO, 1_000_000);
    play.fails_and_comes_back(&[0, 1, 2], Call::Write, errno::ENOSPC, 1_000_000);
}

#[test]
fn a_replica_whose_log_cannot_be_written_either_comes_back_all_the_same() {
    let programs = Programs::find().expect("the programs are built");
    let reaper = ProcessGuard::start(&programs.lotusmoor).expect("the process guard starts");
    let folder = tempfile::tempdir().expect("a temporary directory");
    let table = FaultTable::create(&folder.path().join("faults")).expect("the fault table is created");
    let listen = unused_address();
    let mut command = Command::new(&programs.lotusmoor);
    command.args(["roster", "serve", "--listen", &listen.to_string(), "--folder"]).arg(folder.path());
    programs.preload(&mut command, table.path()).expect("the library is built");
    let full = Path::new("/dev/full");
    let mut replica = Process::start(command, "roster", full, Some(&reaper)).expect("the process starts");
    let register = || {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string();
        let answer = call(listen, "PUT", "/v1/servers/s-1", &body, Duration::from_secs(2));
        answer.is_ok_and(|a| a.status == 200)
    };
    assert!(until(register), "it takes a write");
    let rule = table.arm(Rule::lasting(300_000, Call::Sync, errno::EIO)).expect("the rule is armed");
    let drain = || call(listen, "POST", "/v1/servers/s-1/drain", "", Duration::from_secs(2));
    assert!(until(|| drain().is_ok() && table.hits(rule).is_ok_and(|hits| hits > 0)), "it meets its faults");
    assert!(until(|| register() || replica.exit_status().is_some()), "it takes a write again");
    assert!(replica.exit_status().is_none(), "it goes on");
}
