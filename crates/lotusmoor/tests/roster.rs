//! Three replicas of the registry as real processes with faults between them: acknowledged writes are never lost,
//! served versions never decrease, and a replica that may be out of date says so.

use lotusmoor_fleet::harness::registry_replicas::{Answer, RegistryReplicas, call, voter_count};
use lotusmoor_fleet::harness::{Link, Programs, Timeline, process_guard::ProcessGuard, until};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The replicas of a registry, with the runtime and the folder that they use.
struct TestRegistry {
    replicas: RegistryReplicas,
    _runtime: tokio::runtime::Runtime,
    folder: tempfile::TempDir,
}

fn start(count: usize, arguments: &[&str]) -> TestRegistry {
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
    replicas.start(count, arguments).unwrap_or_else(|e| panic!("{e}"));
    if count > 1 {
        replicas.restart_with_proxies().unwrap_or_else(|e| panic!("{e}"));
    }
    for replica in 0..count {
        let serves_list = || replicas.call(replica, "GET", "/v1/list", "").is_ok_and(|a| a.status == 200);
        assert!(until(serves_list), "replica {replica} serves no list\n{}", replicas.logs());
    }
    TestRegistry { replicas, _runtime: runtime, folder }
}

/// Writes a configuration file of the registry and returns its path.
fn write_config(folder: &std::path::Path, text: &str) -> String {
    let path = folder.join(format!("settings-{}.toml", text.len()));
    std::fs::write(&path, text).expect("the file is written");
    path.display().to_string()
}

impl TestRegistry {
    fn check(&self, condition: bool, what: &str) {
        assert!(condition, "{what}\n{}{}", self.replicas.timeline, self.replicas.logs());
    }

    fn wait(&self, what: &str, condition: impl FnMut() -> bool) {
        let is_met = until(condition);
        self.check(is_met, &format!("timed out waiting until {what}"));
    }

    fn register(&self, replica: usize, name: &str, since_ms: u64) -> Option<u64> {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": since_ms, "lease_ms": 0}).to_string();
        let answer = self.replicas.call(replica, "PUT", &format!("/v1/servers/{name}"), &body).ok()?;
        (answer.status == 200).then(|| answer.body["index"].as_u64())?
    }

    /// Registers a server through any replica that accepts the write.
    fn register_at_any(&self, name: &str, since_ms: u64) -> u64 {
        let mut index = None;
        self.wait(&format!("{name} is registered"), || {
            index = (0..self.replicas.count()).find_map(|replica| self.register(replica, name, since_ms));
            index.is_some()
        });
        index.unwrap_or(0)
    }

    fn names(&self, replica: usize) -> Option<Vec<String>> {
        let answer = self.replicas.call(replica, "GET", "/v1/list?consistent=true", "").ok()?;
        let list = answer.body["endpoints"].as_array()?.clone();
        (answer.status == 200)
            .then(|| list.iter().filter_map(|e| Some(e["name"].as_str()?.to_owned())).collect())
    }

    /// Waits until these replicas have the same version with the same digest.
    fn wait_converged(&self, which: &[usize]) {
        self.wait("all replicas have the same list", || {
            let statuses: Vec<_> = which.iter().map(|replica| self.replicas.status(*replica)).collect();
            let version = |s: &Option<Value>| s.as_ref().map(|s| (s["index"].clone(), s["digest"].clone()));
            statuses.iter().all(|s| s.is_some() && version(s) == version(&statuses[0]))
        });
    }

    fn wait_leader(&self) -> usize {
        let mut leader = None;
        self.wait("there is a leader", || {
            leader = self.replicas.leader();
            leader.is_some()
        });
        leader.unwrap_or(0)
    }
}

/// The versions that were received, with their digests; each version must have a single digest.
#[derive(Default)]
struct DigestsByVersion(BTreeMap<u64, u64>);

impl DigestsByVersion {
    fn record(&mut self, answer: &Answer) {
        if let (200, Some(index), Some(digest)) =
            (answer.status, answer.body["index"].as_u64(), answer.body["digest"].as_u64())
        {
            let known = *self.0.entry(index).or_insert(digest);
            assert_eq!(known, digest, "two digests for version {index}");
        }
    }
}

// The leader is paused (SIGSTOP) for longer than an election takes, and is still in the leader state when it resumes.
#[test]
fn paused_leader_loses_no_write_and_serves_no_stale_list_as_current() {
    let registry = start(3, &[]);
    let paused = registry.wait_leader();
    let first = registry.register_at_any("before", 1);
    registry.wait_converged(&[0, 1, 2]);
    registry.replicas.pause(paused).expect("the replica is paused");
    let others: Vec<usize> = (0..3).filter(|replica| *replica != paused).collect();
    let mut last = first;
    for i in 0..20 {
        let mut index = None;
        registry.wait("the other replicas accept a write", || {
            index = others.iter().find_map(|replica| registry.register(*replica, &format!("during-{i}"), 1));
            index.is_some()
        });
        registry.check(index > Some(last), "the version increases");
        last = index.unwrap_or(last);
    }
    registry.replicas.resume(paused).expect("the replica is resumed");
    let mut digests = DigestsByVersion::default();
    let mut newest = 0;
    registry.wait("the former leader is up to date", || {
        let Ok(answer) = registry.replicas.call(paused, "GET", "/v1/list", "") else { return false };
        digests.record(&answer);
        let index = answer.body["index"].as_u64().unwrap_or(0);
        if answer.status == 200 {
            registry.check(index >= newest, "the served version does not decrease");
            newest = index;
            // The writes that it lacks were acknowledged while it was paused, so the age of a list without them must be
            // above 0.
            let age = answer.body["age_ms"].as_u64().unwrap_or(0);
            registry
                .check(index >= last || age > 0, "a list that lacks acknowledged writes has an age above 0");
        }
        answer.status == 200 && index >= last
    });
    // A write through any replica reaches all.
    let index = registry.register_at_any("after", 1);
    registry.check(index > last, "the version increases");
    registry.wait_converged(&[0, 1, 2]);
    for replica in 0..3 {
        let names = registry.names(replica).expect("a response");
        registry.check(names.len() == 22, &format!("no acknowledged write is lost: {names:?}"));
    }
}

#[test]
fn isolated_replica_serves_its_list_then_marks_it_stale_then_refuses() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let config = write_config(folder.path(), "[ages]\nmark_s = 1.5\nrefuse_s = 4\n");
    let registry = start(3, &["--config", &config]);
    let leader = registry.wait_leader();
    let isolated = (leader + 1) % 3;
    let before = registry.register_at_any("before", 1);
    registry.wait_converged(&[0, 1, 2]);
    registry.replicas.set_isolated(isolated, true);
    let isolated_at = Instant::now();
    registry.register_at_any("after", 1);
    let (mut stale, mut current) = (0, 0);
    registry.wait("the isolated replica refuses reads", || {
        let since_isolation = isolated_at.elapsed();
        let answer = registry.replicas.call(isolated, "GET", "/v1/list", "").expect("a response");
        if answer.status == 200 {
            // It lacks the writes acknowledged after its isolation, so the age that it reports must be at least the
            // time since then.
            registry
                .check(answer.body["index"].as_u64() == Some(before), "it serves the version that it had");
            let age = Duration::from_millis(answer.body["age_ms"].as_u64().unwrap_or(0));
            registry.check(
                age + Duration::from_millis(20) >= since_isolation.saturating_sub(Duration::from_millis(50)),
                "the reported age is not below the time since the isolation",
            );
            registry.check(age < Duration::from_secs(5), "no list is served past refuse_s");
            if answer.body["stale"] == true { stale += 1 } else { current += 1 }
        }
        answer.status == 503 && answer.retry_after().is_some()
    });
    registry.check(stale > 0 && current > 0, "it serves unmarked lists first, then lists marked as stale");
    // It rejects writes and consistent reads as well.
    let list = registry.replicas.call(isolated, "GET", "/v1/list?consistent=true", "").expect("a response");
    registry.check(
        list.status == 503 && registry.register(isolated, "never", 1).is_none(),
        "the isolated replica rejects consistent reads and writes",
    );
    registry.replicas.set_isolated(isolated, false);
    registry.wait_converged(&[0, 1, 2]);
    registry.check(
        registry.names(isolated).is_some_and(|n| !n.contains(&"never".to_owned())),
        "the rejected write has no effect",
    );
}

#[test]
fn one_way_partitions_do_not_stop_writes() {
    let registry = start(3, &[]);
    let leader = registry.wait_leader();
    let other = (leader + 1) % 3;
    // First, requests from another replica do not reach the leader; then the leader's requests do not reach that
    // replica.
    for (from, to) in [(other, leader), (leader, other)] {
        registry.replicas.set_link(from, to, Link { cut_up: true, ..Link::default() });
        for i in 0..5 {
            registry.register_at_any(&format!("cut-{from}-{i}"), 1);
        }
        registry.replicas.set_link(from, to, Link::default());
    }
    registry.wait_converged(&[0, 1, 2]);
    registry.check(registry.names(0).is_some_and(|n| n.len() == 10), "all writes are present");
}

#[test]
fn replica_with_full_disk_reports_it_and_recovers_once_there_is_space() {
    let registry = start(3, &[]);
    let leader = registry.wait_leader();
    registry.register_at_any("before", 1);
    let pid = registry.replicas.pid(leader).and_then(|p| rustix::process::Pid::from_raw(p as i32));
    let set_max_file_size = |current| {
        let limit = rustix::process::Rlimit { current, maximum: None };
        rustix::process::prlimit(pid, rustix::process::Resource::Fsize, limit).expect("the limit can be set");
    };
    // The limit applies to its log file as well, which stays below it.
    set_max_file_size(Some(65536));
    let mut acknowledged = vec!["before".to_owned()];
    registry.wait("the leader is unavailable for lack of disk space", || {
        let name = format!("s-{}", acknowledged.len());
        if (0..3).any(|replica| registry.register(replica, &name, 1).is_some()) {
            acknowledged.push(name);
        }
        let up = registry.replicas.call(leader, "GET", "/up", "");
        acknowledged.len() > 5 && up.is_ok_and(|a| a.status == 503 && a.retry_after().is_some())
    });
    let log = registry.replicas.log_text(leader);
    registry.check(log.contains("the replica has stopped"), "the log has the reason");
    registry.check(log.contains("the store is opened anew in"), "the log announces the reopening");
    registry.check(!log.contains("panicked"), "it does not panic");
    registry.wait_leader();
    registry.register_at_any("without", 1);
    acknowledged.push("without".into());
    registry.check(!registry.replicas.has_exited(leader), "it keeps running until there is space");
    // Once there is space it recovers without an operator.
    set_max_file_size(None);
    registry.wait_converged(&[0, 1, 2]);
    let names = registry.names(leader).expect("a response");
    registry.check(acknowledged.iter().all(|n| names.contains(n)), "no acknowledged write is lost");
    let metrics = registry.replicas.call(leader, "GET", "/metrics", "").expect("a response");
    registry.check(metrics.status == 200, "it serves metrics again");
}

#[test]
fn killed_single_replica_keeps_each_acknowledged_write() {
    let registry = start(1, &[]);
    let mut acknowledged = Vec::new();
    for round in 0..4 {
        for i in 0..15 {
            registry.register_at_any(&format!("r{round}-{i}"), 1);
            acknowledged.push(format!("r{round}-{i}"));
        }
        // The kill comes in the middle of a write.
        let address = registry.replicas.address(0);
        let writer = std::thread::spawn(move || {
            for i in 0..50 {
                let body = json!({"address": "127.0.0.1:1", "lease_ms": 0}).to_string();
                let _ = call(
                    address,
                    "PUT",
                    &format!("/v1/servers/x-{round}-{i}"),
                    &body,
                    Duration::from_secs(1),
                );
            }
        });
        std::thread::sleep(Duration::from_millis(20 + 10 * round));
        registry.replicas.kill(0).expect("the replica is killed");
        let _ = writer.join();
        registry.replicas.start_replica(0).expect("the replica starts");
        registry.wait_leader();
    }
    let names = registry.names(0).expect("a response");
    registry.check(acknowledged.iter().all(|n| names.contains(n)), "no acknowledged write is lost");
}

// With a truncated file or one flipped bit, the replica either serves the acknowledged writes, or names the damaged
// file and exits.
#[test]
fn truncated_or_corrupted_database_is_never_served_as_other_data() {
    let mut registry = start(3, &[]);
    for i in 0..30 {
        registry.register_at_any(&format!("s-{i}"), 1);
    }
    registry.wait_converged(&[0, 1, 2]);
    let expected = registry.replicas.status(0).map(|s| (s["index"].clone(), s["digest"].clone()));
    let victim = (registry.wait_leader() + 1) % 3;
    registry.replicas.kill(victim).expect("the replica is killed");
    let file = registry.replicas.database_file(victim);
    let original = std::fs::read(&file).expect("the file is read");
    let commit_counter_file = file.with_file_name("roster.mark");
    let commit_counter = std::fs::read(&commit_counter_file).expect("the file is read");
    // A value that is in use, so that one of the flipped bits damages stored data.
    let text = b"\"name\":\"s-7\"";
    let in_value = original.windows(text.len()).position(|w| w == text).expect("the file contains the value");
    let (mut refused, mut served) = (0, 0);
    let flipped =
        [in_value + 10, 17, 4096 + 5, original.len() / 3, original.len() / 2].map(|offset| (offset, true));
    let truncated = [original.len() - 1, original.len() - 5000, 100].map(|offset| (offset, false));
    for (offset, flip) in flipped.into_iter().chain(truncated) {
        let mut damaged = original.clone();
        if flip {
            damaged[offset] ^= 0x10;
        } else {
            damaged.truncate(offset);
        }
        std::fs::write(&file, &damaged).expect("the file is written");
        std::fs::write(&commit_counter_file, &commit_counter).expect("the file is written");
        registry.replicas.start_replica(victim).expect("the replica starts");
        let mut has_exited = None;
        let is_decided = until(|| {
            let version = registry.replicas.status(victim).map(|s| (s["index"].clone(), s["digest"].clone()));
            has_exited = Some(registry.replicas.has_exited(victim));
            has_exited == Some(true) || version == expected
        });
        registry.check(is_decided, &format!("byte {offset}, flipped {flip}: it neither serves nor exits"));
        if has_exited == Some(true) {
            refused += 1;
            let log = registry.replicas.log_text(victim);
            let last = log.lines().last().unwrap_or_default();
            registry.check(!log.contains("panicked"), "it does not panic");
            registry.check(
                last.contains("roster.redb"),
                &format!("byte {offset}, flipped {flip}: the last log line names the file: {last}"),
            );
        } else {
            served += 1;
        }
        registry.replicas.kill(victim).expect("the replica is killed");
    }
    registry.check(refused >= 2, &format!("{refused} refused, {served} served"));
    // The other replicas still accept writes, and a new replica replaces the damaged one.
    registry.register_at_any("later", 1);
    let path = format!("/v1/replicas/{}", victim + 1);
    registry.wait("the damaged replica is removed", || {
        let leader = registry.replicas.leader().unwrap_or(0);
        registry.replicas.call(leader, "DELETE", &path, "").is_ok_and(|a| a.status == 200)
    });
    let new = registry.replicas.add(&[]).unwrap_or_else(|e| panic!("{e}"));
    registry.wait("the new replica is a voter", || {
        registry.replicas.status(new).is_some_and(|s| voter_count(&s) == 3 && s["servers"] == 31)
    });
}

#[test]
fn second_replica_with_the_same_id_is_rejected() {
    let registry = start(3, &[]);
    let leader = registry.wait_leader();
    registry.register_at_any("a", 1);
    let programs = Programs::find().expect("the programs are built");
    // A new folder with an id that is in use.
    let fresh = registry.folder.path().join("fresh");
    let start_with = |id: usize, folder: &std::path::Path, log: &str| {
        let mut command = std::process::Command::new(&programs.lotusmoor);
        let join = registry.replicas.address(leader).to_string();
        let listen = lotusmoor_fleet::harness::unused_address().to_string();
        command.args([
            "roster",
            "serve",
            "--id",
            &id.to_string(),
            "--listen",
            &listen,
            "--join",
            &join,
            "--folder",
        ]);
        command.arg(folder);
        let log = registry.folder.path().join(log);
        lotusmoor_fleet::harness::Process::start(command, "copy", &log, None).expect("the process starts")
    };
    let taken = (leader + 1) % 3;
    let mut second = start_with(taken + 1, &fresh, "second.log");
    registry.wait("the second replica with the id exits", || second.exit_status().is_some());
    registry.check(second.log_text().contains("a number of its own"), &second.log_text());
    // A copy of the folder of a running replica: its different address reveals it.
    registry.replicas.kill(taken).expect("the replica is killed");
    let copy = registry.folder.path().join("copy");
    std::fs::create_dir(&copy).expect("the directory is created");
    std::fs::copy(registry.replicas.database_file(taken), copy.join("roster.redb"))
        .expect("the file is copied");
    registry.replicas.start_replica(taken).expect("the replica starts");
    registry.wait_converged(&[0, 1, 2]);
    let copied = start_with(taken + 1, &copy, "copy.log");
    let term = |s: Option<Value>| s.and_then(|s| s["term"].as_u64());
    registry.wait("the copy is reported", || {
        (0..3).any(|replica| registry.replicas.log_text(replica).contains("two replicas have the number"))
    });
    let before = term(registry.replicas.status(leader));
    for i in 0..10 {
        registry.register_at_any(&format!("b-{i}"), 1);
    }
    registry.wait_converged(&[0, 1, 2]);
    registry.check(term(registry.replicas.status(leader)) == before, "the copy causes no election");
    drop(copied);
}

#[test]
fn rolling_upgrade_and_downgrade_lose_no_write() {
    let registry = start(3, &["--format", "1"]);
    let mut acknowledged = Vec::new();
    let mut roll_to_format = |registry: &TestRegistry, format: &str| {
        for replica in 0..3 {
            for i in 0..10 {
                let name = format!("f{format}-{replica}-{i}-{}", acknowledged.len());
                registry.register_at_any(&name, 1);
                acknowledged.push(name);
            }
            registry.replicas.kill(replica).expect("the replica is killed");
            registry.replicas.set_arguments(replica, &["--format", format]);
            registry.replicas.start_replica(replica).expect("the replica starts");
            registry.wait_converged(&[0, 1, 2]);
        }
        acknowledged.len()
    };
    let in_format_1 = std::fs::read(registry.replicas.database_file(0)).expect("the file is read");
    roll_to_format(&registry, "2");
    let in_format_2 = std::fs::read(registry.replicas.database_file(0)).expect("the file is read");
    assert_ne!(in_format_1, in_format_2);
    let count = roll_to_format(&registry, "1");
    for replica in 0..3 {
        registry.check(
            registry.names(replica).is_some_and(|n| n.len() == count),
            "no acknowledged write is lost",
        );
    }
    // A format that this version does not know is rejected.
    registry.replicas.kill(0).expect("the replica is killed");
    let config = registry.replicas.database_file(0).with_file_name("newer.toml");
    std::fs::write(&config, "format = 4\n").expect("the file is written");
    registry.replicas.set_arguments(0, &["--config", &config.display().to_string()]);
    registry.replicas.start_replica(0).expect("the replica starts");
    registry.wait("the replica refuses to start", || registry.replicas.has_exited(0));
    registry
        .check(registry.replicas.log_text(0).contains("format: must be 1, 2 or 3"), "the log names the key");
}

#[test]
fn expired_server_is_removed_and_flapping_one_is_rate_limited() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let config = write_config(folder.path(), "[leases]\nwindow_s = 1\nshare = 0.5\nleaving_s = 2\n");
    let registry = start(3, &["--config", &config]);
    let programs = Programs::find().expect("the programs are built");
    let addresses: Vec<String> =
        (0..3).map(|replica| registry.replicas.address(replica).to_string()).collect();
    let start_lease_renewer = |name: &str| {
        let mut command = std::process::Command::new(&programs.lotusmoor);
        command.args(["roster", "keep", name, "127.0.0.1:9001", "--lease-ms", "900", "--drain-ms", "100"]);
        command.args(["--roster", &addresses.join(",")]);
        let log = registry.folder.path().join(format!("{name}.log"));
        lotusmoor_fleet::harness::Process::start(command, name, &log, None).expect("the process starts")
    };
    let mut renewers: Vec<_> = (0..4).map(|i| start_lease_renewer(&format!("k-{i}"))).collect();
    let status = |name: &str| {
        let answer = registry.replicas.call(0, "GET", &format!("/v1/servers/{name}"), "").ok()?;
        match answer.status {
            200 => Some(format!("{} {}", answer.body["entry"]["status"], answer.body["entry"]["why"])),
            _ => Some(answer.status.to_string()),
        }
    };
    let active = "\"active\" \"registered\"";
    registry.wait("all are listed", || (0..4).all(|i| status(&format!("k-{i}")).as_deref() == Some(active)));
    renewers[1].kill().expect("the process is killed");
    registry
        .wait("the killed server is leaving", || status("k-1").as_deref() == Some("\"leaving\" \"expired\""));
    registry.wait("the killed server is removed", || status("k-1").as_deref() == Some("404"));
    // Servers whose lease is renewed stay listed, across a change of leader as well.
    let leader = registry.wait_leader();
    registry.replicas.kill(leader).expect("the replica is killed");
    registry.replicas.start_replica(leader).expect("the replica starts");
    registry.wait_leader();
    std::thread::sleep(Duration::from_secs(3));
    for name in ["k-0", "k-2", "k-3"] {
        registry.wait("the other servers are active", || status(name).as_deref() == Some(active));
    }
    renewers[2].terminate().expect("the signal is sent");
    registry.wait("a stopped server deregisters itself", || status("k-2").as_deref() == Some("404"));
    // Up to twenty changes a second.
    let mut accepted = 0;
    for i in 0..40 {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": i, "lease_ms": 0}).to_string();
        let answer = registry.replicas.call(0, "PUT", "/v1/servers/flaps", &body).expect("a response");
        match answer.status {
            200 => accepted += 1,
            429 => assert!(answer.retry_after().is_some_and(|s| s > 0.0 && s <= 2.001), "{}", answer.head),
            other => panic!("{other} {}", answer.body),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    registry.check((3..=9).contains(&accepted), &format!("{accepted} of 40 changes were accepted"));
    registry.register_at_any("other", 1);
}

#[test]
fn restored_backup_starts_a_newer_epoch() {
    let registry = start(1, &[]);
    registry.register_at_any("kept", 1);
    let programs = Programs::find().expect("the programs are built");
    let backup = registry.folder.path().join("roster.backup");
    let lotusmoor = |arguments: &[&str]| {
        let output = std::process::Command::new(&programs.lotusmoor)
            .args(arguments)
            .output()
            .expect("the command runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let address = registry.replicas.address(0).to_string();
    let out = backup.display().to_string();
    assert_eq!(lotusmoor(&["roster", "backup", "--roster", &address, "--out", &out]).0, Some(0));
    registry.register_at_any("lost", 1);
    let before = registry.replicas.call(0, "GET", "/v1/list", "").expect("a response").body;
    // A corrupted backup is rejected.
    let mut corrupted = std::fs::read(&backup).expect("the file is read");
    let middle = corrupted.len() / 2;
    corrupted[middle] ^= 1;
    let corrupted_file = registry.folder.path().join("corrupted.backup");
    std::fs::write(&corrupted_file, corrupted).expect("the file is written");
    let listen = lotusmoor_fleet::harness::unused_address().to_string();
    let fresh = registry.folder.path().join("fresh").display().to_string();
    let (code, error) = lotusmoor(&[
        "roster",
        "serve",
        "--listen",
        &listen,
        "--folder",
        &fresh,
        "--restore",
        &corrupted_file.display().to_string(),
    ]);
    assert!(code == Some(1) && error.contains("corrupted.backup"), "{error}");
    let restored = registry.folder.path().join("restored").display().to_string();
    let mut command = std::process::Command::new(&programs.lotusmoor);
    command.args(["roster", "serve", "--listen", &listen, "--folder", &restored, "--restore", &out]);
    let log = registry.folder.path().join("restored.log");
    let _new = lotusmoor_fleet::harness::Process::start(command, "restored", &log, None)
        .expect("the process starts");
    let address = listen.parse().expect("an address");
    let list = |path: &str| call(address, "GET", path, "", Duration::from_secs(5)).ok();
    registry.wait("the restored registry serves", || list("/v1/list").is_some_and(|a| a.status == 200));
    let after = list("/v1/list").expect("a response").body;
    registry.check(after["epoch"].as_u64() > before["epoch"].as_u64(), "the epoch is newer");
    registry.check(after["index"].as_u64() > before["index"].as_u64(), "the index has not decreased");
    // A reader with a newer index than the backup gets a full snapshot, from the watch and from the discovery endpoint.
    let (epoch, index) = (before["epoch"].clone(), before["index"].clone());
    let watch =
        list(&format!("/v1/watch?epoch={epoch}&after={index}&wait_ms=1000")).expect("a response").body;
    let hosts = list(&format!("/discovery/hosts?after={index}&wait_ms=1000")).expect("a response").body;
    for body in [&watch, &hosts] {
        assert_eq!(
            (&body["snapshot"], body["endpoints"].as_array().map(Vec::len)),
            (&json!(true), Some(1)),
            "{body}"
        );
    }
}

#[test]
fn invalid_requests_get_a_4xx_and_have_no_effect() {
    let registry = start(1, &[]);
    let before = registry.register_at_any("good", 1);
    let put = |path: &str, body: &str| registry.replicas.call(0, "PUT", path, body).expect("a response");
    let good = r#"{"address":"127.0.0.1:1"}"#;
    let long = "n".repeat(129);
    for (path, body, status, word) in [
        (format!("/v1/servers/{long}"), good, 422, "name"),
        ("/v1/servers/a%20b".into(), good, 422, "name"),
        ("/v1/servers/a".into(), r#"{"address":"nowhere"}"#, 400, "address"),
        ("/v1/servers/a".into(), r#"{"address":"127.0.0.1:1","status":"resting"}"#, 400, "status"),
        ("/v1/servers/a".into(), r#"{"address":"127.0.0.1:1","weight":-1}"#, 422, "weight"),
        ("/v1/servers/a".into(), r#"{"address":"127.0.0.1:1","lease_ms":1}"#, 422, "lease_ms"),
        ("/v1/servers/a".into(), r#"{"address":"127.0."#, 400, "body"),
        ("/v1/servers/a".into(), "", 400, "body"),
        ("/v1/servers/good".into(), r#"{"address":"127.0.0.1:1","expect":0}"#, 409, "expected"),
    ] {
        let answer = put(&path, body);
        let error = answer.body["error"].as_str().unwrap_or_default().to_owned();
        assert!(answer.status == status && error.contains(word), "{path} {body}: {} {error}", answer.status);
    }
    let post = |body: &str| registry.replicas.call(0, "POST", "/v1/servers", body);
    let servers = |n: usize| -> Vec<Value> {
        (0..n).map(|i| json!({"name": format!("m-{i}"), "address": "127.0.0.1:1"})).collect()
    };
    // One invalid server among many, and too many servers.
    let mut one_invalid = servers(100);
    one_invalid[57]["name"] = json!("not a name");
    let answer = post(&json!({"servers": one_invalid}).to_string()).expect("a response");
    assert!(answer.status == 422 && answer.body["error"].as_str().is_some_and(|e| e.contains("not a name")));
    let answer = post(&json!({"servers": servers(20_001)}).to_string()).expect("a response");
    assert_eq!(answer.status, 422, "{}", answer.body);
    // The body with 100,000 servers exceeds the size limit: it is rejected before it is read to its end.
    match post(&json!({"servers": servers(100_000)}).to_string()) {
        Ok(answer) => assert_eq!(answer.status, 413),
        Err(error) => assert!(
            matches!(error.kind(), std::io::ErrorKind::ConnectionReset | std::io::ErrorKind::BrokenPipe),
            "{error}"
        ),
    }
    for (method, path, status) in [
        ("GET", "/v1/servers/unknown", 404),
        ("DELETE", "/v1/servers/unknown", 404),
        ("POST", "/v1/servers/unknown/renew", 404),
        ("GET", "/discovery/hosts?after=x", 400),
        ("GET", "/v1/watch?after=-1", 400),
        ("GET", "/nowhere", 404),
        ("POST", "/peer/append", 409),
        ("POST", "/peer/unknown", 404),
    ] {
        assert_eq!(registry.replicas.call(0, method, path, "").expect("a response").status, status, "{path}");
    }
    let list = registry.replicas.call(0, "GET", "/v1/list", "").expect("a response");
    let list = list.body;
    assert_eq!((list["index"].as_u64(), list["endpoints"].as_array().map(Vec::len)), (Some(before), Some(1)));
    // A connection whose client sends nothing, or part of a request head, is closed in time; a request with a truncated
    // body has no effect.
    let open = |text: &str| {
        let mut stream =
            TcpStream::connect(registry.replicas.address(0)).expect("the connection is established");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a read timeout can be set");
        stream.write_all(text.as_bytes()).expect("the request is sent");
        stream
    };
    for text in ["", "PUT /v1/servers/a HTT"] {
        let started = Instant::now();
        let read = open(text).read_to_end(&mut Vec::new());
        assert!(
            started.elapsed() < Duration::from_secs(8),
            "{text:?}: {read:?} after {:?}",
            started.elapsed()
        );
    }
    drop(open("PUT /v1/servers/a HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n{\"addr"));
    assert_eq!(registry.replicas.call(0, "GET", "/v1/servers/a", "").expect("a response").status, 404);
}

#[test]
fn excess_readers_get_retry_after_and_a_slow_reader_blocks_nobody() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let config = write_config(folder.path(), "[limits]\nwhole_lists_per_s = 50\nconnections = 1000\n");
    let registry = start(1, &["--config", &config]);
    for part in 0..4 {
        let servers: Vec<Value> = (0..500)
            .map(|i| json!({"name": format!("m-{part}-{i}"), "address": "127.0.0.1:1", "lease_ms": 0, "zone": "porto"}))
            .collect();
        let answer =
            registry.replicas.call(0, "POST", "/v1/servers", &json!({"servers": servers}).to_string());
        assert_eq!(answer.expect("a response").status, 200);
    }
    let address = registry.replicas.address(0);
    // A client that requests full lists and reads none of the responses.
    let mut slow = TcpStream::connect(address).expect("the connection is established");
    for _ in 0..20 {
        let _ = slow.write_all(b"GET /v1/list HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    std::thread::sleep(Duration::from_secs(1));
    let started = Instant::now();
    let threads: Vec<_> = (0..200)
        .map(|_| {
            std::thread::spawn(move || {
                let mut rejected = 0;
                loop {
                    let answer = call(address, "GET", "/discovery/hosts", "", Duration::from_secs(20))
                        .expect("a response");
                    match answer.status {
                        200 => return (rejected, answer.body["endpoints"].as_array().map_or(0, Vec::len)),
                        503 => {
                            rejected += 1;
                            let wait = answer.retry_after().expect("the response has Retry-After");
                            assert!(wait > 0.0 && wait < 31.0);
                            std::thread::sleep(Duration::from_secs_f64(wait));
                        }
                        other => panic!("{other}"),
                    }
                }
            })
        })
        .collect();
    let outcomes: Vec<(i32, usize)> =
        threads.into_iter().map(|t| t.join().expect("the thread does not panic")).collect();
    let took = started.elapsed();
    let rejections: i32 = outcomes.iter().map(|a| a.0).sum();
    assert!(outcomes.iter().all(|a| a.1 == 2000));
    registry.check(rejections > 50, &format!("{rejections} requests were rejected"));
    registry.check(took < Duration::from_secs(20), &format!("all readers have the list after {took:?}"));
    // A watch is notified of a change while the slow client still holds its connection.
    let index = registry.replicas.status(0).and_then(|s| s["index"].as_u64()).expect("a response");
    let watch = std::thread::spawn(move || {
        call(
            address,
            "GET",
            &format!("/discovery/hosts?after={index}&wait_ms=20000"),
            "",
            Duration::from_secs(30),
        )
    });
    std::thread::sleep(Duration::from_millis(200));
    registry.register_at_any("new", 1);
    let update = watch.join().expect("the thread does not panic").expect("a response");
    assert_eq!(update.body["endpoints"][0]["name"], "new");
    drop(slow);
}
