//! Three replicas of a roster as real processes with faults between them: what was acknowledged stays, what is told
//! only goes forward, and a replica that can't know says so.

use lotusmoor_fleet::harness::registry_replicas::{Answer, RegistryReplicas, call, voter_count};
use lotusmoor_fleet::harness::{Link, Programs, Timeline, process_guard::ProcessGuard, until};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Replicas, with what they need.
struct Play {
    rosters: RegistryReplicas,
    _runtime: tokio::runtime::Runtime,
    folder: tempfile::TempDir,
}

fn start(count: usize, arguments: &[&str]) -> Play {
    let programs = Programs::find().expect("the programs are built");
    let reaper = ProcessGuard::start(&programs.lotusmoor).expect("the process guard starts");
    let folder = tempfile::tempdir().expect("a temporary directory");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let mut rosters =
        RegistryReplicas::new(programs, folder.path(), runtime.handle().clone(), reaper, Timeline::default());
    rosters.start(count, arguments).unwrap_or_else(|e| panic!("{e}"));
    if count > 1 {
        rosters.restart_with_proxies().unwrap_or_else(|e| panic!("{e}"));
    }
    for at in 0..count {
        let tells = || rosters.call(at, "GET", "/v1/list", "").is_ok_and(|a| a.status == 200);
        assert!(until(tells), "replica {at} tells no list\n{}", rosters.logs());
    }
    Play { rosters, _runtime: runtime, folder }
}

/// A file of settings, for replicas that are to be quick to doubt themselves.
fn config(folder: &std::path::Path, text: &str) -> String {
    let path = folder.join(format!("settings-{}.toml", text.len()));
    std::fs::write(&path, text).expect("the file is written");
    path.display().to_string()
}

impl Play {
    fn check(&self, holds: bool, what: &str) {
        assert!(holds, "{what}\n{}{}", self.rosters.timeline, self.rosters.logs());
    }

    fn wait(&self, what: &str, holds: impl FnMut() -> bool) {
        let came = until(holds);
        self.check(came, &format!("timed out waiting until {what}"));
    }

    fn register(&self, at: usize, name: &str, since_ms: u64) -> Option<u64> {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": since_ms, "lease_ms": 0}).to_string();
        let answer = self.rosters.call(at, "PUT", &format!("/v1/servers/{name}"), &body).ok()?;
        (answer.status == 200).then(|| answer.body["index"].as_u64())?
    }

    /// Registers at any replica that takes it.
    fn must_register(&self, name: &str, since_ms: u64) -> u64 {
        let mut index = None;
        self.wait(&format!("{name} is registered"), || {
            index = (0..self.rosters.count()).find_map(|at| self.register(at, name, since_ms));
            index.is_some()
        });
        index.unwrap_or(0)
    }

    fn names(&self, at: usize) -> Option<Vec<String>> {
        let answer = self.rosters.call(at, "GET", "/v1/list?consistent=true", "").ok()?;
        let list = answer.body["endpoints"].as_array()?.clone();
        (answer.status == 200)
            .then(|| list.iter().filter_map(|e| Some(e["name"].as_str()?.to_owned())).collect())
    }

    /// Waits until all that run have one version and one digest of it.
    fn wait_alike(&self, which: &[usize]) {
        self.wait("all replicas have the same list", || {
            let views: Vec<_> = which.iter().map(|at| self.rosters.status(*at)).collect();
            let view = |s: &Option<Value>| s.as_ref().map(|s| (s["index"].clone(), s["digest"].clone()));
            views.iter().all(|s| s.is_some() && view(s) == view(&views[0]))
        });
    }

    fn wait_leader(&self) -> usize {
        let mut leader = None;
        self.wait("there is a leader", || {
            leader = self.rosters.leader();
            leader.is_some()
        });
        leader.unwrap_or(0)
    }
}

/// Versions that were seen, with their digests: none has two.
#[derive(Default)]
struct Seen(BTreeMap<u64, u64>);

impl Seen {
    fn note(&mut self, answer: &Answer) {
        if let (200, Some(index), Some(digest)) =
            (answer.status, answer.body["index"].as_u64(), answer.body["digest"].as_u64())
        {
            let known = *self.0.entry(index).or_insert(digest);
            assert_eq!(known, digest, "two contents of {index}");
        }
    }
}

// The leader stands still for longer than an election, and goes on in the belief that it leads.
#[test]
fn a_leader_that_was_paused_loses_nothing_and_tells_nothing_old_as_new() {
    let play = start(3, &[]);
    let old = play.wait_leader();
    let first = play.must_register("before", 1);
    play.wait_alike(&[0, 1, 2]);
    play.rosters.pause(old).expect("the replica is paused");
    let others: Vec<usize> = (0..3).filter(|at| *at != old).collect();
    let mut last = first;
    for i in 0..20 {
        let mut index = None;
        play.wait("the others go on", || {
            index = others.iter().find_map(|at| play.register(*at, &format!("during-{i}"), 1));
            index.is_some()
        });
        play.check(index > Some(last), "versions go forward");
        last = index.unwrap_or(last);
    }
    play.rosters.resume(old).expect("the replica is resumed");
    let mut seen = Seen::default();
    let mut newest = 0;
    play.wait("the old leader has come up to date", || {
        let Ok(answer) = play.rosters.call(old, "GET", "/v1/list", "") else { return false };
        seen.note(&answer);
        let index = answer.body["index"].as_u64().unwrap_or(0);
        if answer.status == 200 {
            play.check(index >= newest, "what it tells goes forward");
            newest = index;
            // Whatever it lacks was acknowledged while it stood still, at least this long ago.
            let age = answer.body["age_ms"].as_u64().unwrap_or(0);
            play.check(index >= last || age > 0, "it does not say that its list is new");
        }
        answer.status == 200 && index >= last
    });
    // A write through it holds for all.
    let through = play.must_register("after", 1);
    play.check(through > last, "versions go forward");
    play.wait_alike(&[0, 1, 2]);
    for at in 0..3 {
        let names = play.names(at).expect("a response");
        play.check(names.len() == 22, &format!("nothing acknowledged is lost: {names:?}"));
    }
}

#[test]
fn a_minority_goes_on_answering_marks_what_it_tells_as_old_and_then_refuses() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let quick = config(folder.path(), "[ages]\nmark_s = 1.5\nrefuse_s = 4\n");
    let play = start(3, &["--config", &quick]);
    let leader = play.wait_leader();
    let alone = (leader + 1) % 3;
    let before = play.must_register("before", 1);
    play.wait_alike(&[0, 1, 2]);
    play.rosters.set_isolated(alone, true);
    let cut = Instant::now();
    play.must_register("after", 1);
    let (mut marked, mut plain) = (0, 0);
    play.wait("the minority refuses", || {
        let asked = cut.elapsed();
        let answer = play.rosters.call(alone, "GET", "/v1/list", "").expect("a response");
        if answer.status == 200 {
            // It lacks what was acknowledged after the cut, and may not say that it is younger than the cut.
            play.check(answer.body["index"].as_u64() == Some(before), "it tells what it had");
            let age = Duration::from_millis(answer.body["age_ms"].as_u64().unwrap_or(0));
            play.check(
                age + Duration::from_millis(20) >= asked.saturating_sub(Duration::from_millis(50)),
                "it is no younger than it says",
            );
            play.check(age < Duration::from_secs(5), "it refuses past its bound");
            if answer.body["stale"] == true { marked += 1 } else { plain += 1 }
        }
        answer.status == 503 && answer.retry_after().is_some()
    });
    play.check(marked > 0 && plain > 0, "first it tells plainly, then marked");
    // Neither is a write taken there, nor a consistent read.
    let list = play.rosters.call(alone, "GET", "/v1/list?consistent=true", "").expect("a response");
    play.check(list.status == 503 && play.register(alone, "never", 1).is_none(), "a minority takes nothing");
    play.rosters.set_isolated(alone, false);
    play.wait_alike(&[0, 1, 2]);
    play.check(
        play.names(alone).is_some_and(|n| !n.contains(&"never".to_owned())),
        "what was refused is not there",
    );
}

#[test]
fn links_cut_one_way_stop_no_majority() {
    let play = start(3, &[]);
    let leader = play.wait_leader();
    let other = (leader + 1) % 3;
    // The leader hears of nobody who asks it, then nobody hears of it.
    for (from, to) in [(other, leader), (leader, other)] {
        play.rosters.set_link(from, to, Link { cut_up: true, ..Link::default() });
        for i in 0..5 {
            play.must_register(&format!("cut-{from}-{i}"), 1);
        }
        play.rosters.set_link(from, to, Link::default());
    }
    play.wait_alike(&[0, 1, 2]);
    play.check(play.names(0).is_some_and(|n| n.len() == 10), "all are there");
}

#[test]
fn a_replica_whose_disk_fills_up_says_so_loses_nothing_and_comes_back_once_there_is_room() {
    let play = start(3, &[]);
    let leader = play.wait_leader();
    play.must_register("before", 1);
    let pid = play.rosters.pid(leader).and_then(|p| rustix::process::Pid::from_raw(p as i32));
    let room = |current| {
        let limit = rustix::process::Rlimit { current, maximum: None };
        rustix::process::prlimit(pid, rustix::process::Resource::Fsize, limit).expect("it can be set");
    };
    // Its log is a file as well, and has room.
    room(Some(65536));
    let mut acknowledged = vec!["before".to_owned()];
    play.wait("the leader is of no use for want of room", || {
        let name = format!("s-{}", acknowledged.len());
        if (0..3).any(|at| play.register(at, &name, 1).is_some()) {
            acknowledged.push(name);
        }
        let up = play.rosters.call(leader, "GET", "/up", "");
        acknowledged.len() > 5 && up.is_ok_and(|a| a.status == 503 && a.retry_after().is_some())
    });
    let said = play.rosters.log_text(leader);
    play.check(said.contains("the replica has stopped"), "it says why");
    play.check(said.contains("the store is opened anew in"), "it says what it does about it");
    play.check(!said.contains("panicked"), "it does not panic");
    play.wait_leader();
    play.must_register("without", 1);
    acknowledged.push("without".into());
    play.check(!play.rosters.has_exited(leader), "it waits for room");
    // With room again it comes back to itself, with no operator.
    room(None);
    play.wait_alike(&[0, 1, 2]);
    let names = play.names(leader).expect("a response");
    play.check(acknowledged.iter().all(|n| names.contains(n)), "nothing acknowledged is lost");
    let metrics = play.rosters.call(leader, "GET", "/metrics", "").expect("a response");
    play.check(metrics.status == 200, "it counts again");
}

#[test]
fn a_single_replica_acknowledges_what_is_on_its_disk_and_nothing_else() {
    let play = start(1, &[]);
    let mut acknowledged = Vec::new();
    for round in 0..4 {
        for i in 0..15 {
            play.must_register(&format!("r{round}-{i}"), 1);
            acknowledged.push(format!("r{round}-{i}"));
        }
        // In the middle of a write.
        let address = play.rosters.address(0);
        let writing = std::thread::spawn(move || {
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
        play.rosters.kill(0).expect("the replica is killed");
        let _ = writing.join();
        play.rosters.start_replica(0).expect("the replica starts");
        play.wait_leader();
    }
    let names = play.names(0).expect("a response");
    play.check(acknowledged.iter().all(|n| names.contains(n)), "nothing acknowledged is lost");
}

// A torn end, or one flipped byte: the replica serves what was acknowledged, or it says what is wrong and ends.
#[test]
fn a_file_that_was_torn_or_changed_is_never_served_as_something_else() {
    let mut play = start(3, &[]);
    for i in 0..30 {
        play.must_register(&format!("s-{i}"), 1);
    }
    play.wait_alike(&[0, 1, 2]);
    let want = play.rosters.status(0).map(|s| (s["index"].clone(), s["digest"].clone()));
    let victim = (play.wait_leader() + 1) % 3;
    play.rosters.kill(victim).expect("the replica is killed");
    let file = play.rosters.database_file(victim);
    let whole = std::fs::read(&file).expect("the file is read");
    let mark = file.with_file_name("roster.mark");
    let marked = std::fs::read(&mark).expect("the file is read");
    // Bytes of values that hold something.
    let text = b"\"name\":\"s-7\"";
    let inside = whole.windows(text.len()).position(|w| w == text).expect("the log has it");
    let (mut refused, mut served) = (0, 0);
    let spoils = [inside + 10, 17, 4096 + 5, whole.len() / 3, whole.len() / 2].map(|at| (at, true));
    let torn = [whole.len() - 1, whole.len() - 5000, 100].map(|at| (at, false));
    for (at, flip) in spoils.into_iter().chain(torn) {
        let mut spoilt = whole.clone();
        if flip {
            spoilt[at] ^= 0x10;
        } else {
            spoilt.truncate(at);
        }
        std::fs::write(&file, &spoilt).expect("the file is written");
        std::fs::write(&mark, &marked).expect("the file is written");
        play.rosters.start_replica(victim).expect("the replica starts");
        let mut state = None;
        let came = until(|| {
            let view = play.rosters.status(victim).map(|s| (s["index"].clone(), s["digest"].clone()));
            state = Some(play.rosters.has_exited(victim));
            state == Some(true) || view == want
        });
        play.check(came, &format!("byte {at}, flipped {flip}: it neither serves nor ends"));
        if state == Some(true) {
            refused += 1;
            let said = play.rosters.log_text(victim);
            let last = said.lines().last().unwrap_or_default();
            play.check(!said.contains("panicked"), "it does not panic");
            play.check(
                last.contains("roster.redb"),
                &format!("byte {at}, flipped {flip}: it names its file: {last}"),
            );
        } else {
            served += 1;
        }
        play.rosters.kill(victim).expect("the replica is killed");
    }
    play.check(refused >= 2, &format!("{refused} refused, {served} served"));
    // The others have gone on, and a new replica takes its place.
    play.must_register("later", 1);
    let out = format!("/v1/replicas/{}", victim + 1);
    play.wait("it is put out", || {
        let leader = play.rosters.leader().unwrap_or(0);
        play.rosters.call(leader, "DELETE", &out, "").is_ok_and(|a| a.status == 200)
    });
    let new = play.rosters.add(&[]).unwrap_or_else(|e| panic!("{e}"));
    play.wait("the new one votes", || {
        play.rosters.status(new).is_some_and(|s| voter_count(&s) == 3 && s["servers"] == 31)
    });
}

#[test]
fn two_replicas_with_the_same_number_are_not_both_taken() {
    let play = start(3, &[]);
    let leader = play.wait_leader();
    play.must_register("a", 1);
    let programs = Programs::find().expect("the programs are built");
    // A new folder with a number that is taken.
    let fresh = play.folder.path().join("fresh");
    let run = |id: usize, folder: &std::path::Path, log: &str| {
        let mut command = std::process::Command::new(&programs.lotusmoor);
        let join = play.rosters.address(leader).to_string();
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
        let log = play.folder.path().join(log);
        lotusmoor_fleet::harness::Process::start(command, "copy", &log, None).expect("the process starts")
    };
    let taken = (leader + 1) % 3;
    let mut second = run(taken + 1, &fresh, "second.log");
    play.wait("the second one ends", || second.exit_status().is_some());
    play.check(second.log_text().contains("a number of its own"), &second.log_text());
    // A copy of the folder of one that runs: it is told apart by its address.
    play.rosters.kill(taken).expect("the replica is killed");
    let copy = play.folder.path().join("copy");
    std::fs::create_dir(&copy).expect("the directory is created");
    std::fs::copy(play.rosters.database_file(taken), copy.join("roster.redb")).expect("the file is copied");
    play.rosters.start_replica(taken).expect("the replica starts");
    play.wait_alike(&[0, 1, 2]);
    let copied = run(taken + 1, &copy, "copy.log");
    let term = |s: Option<Value>| s.and_then(|s| s["term"].as_u64());
    play.wait("the copy is noticed", || {
        (0..3).any(|at| play.rosters.log_text(at).contains("two replicas have the number"))
    });
    let before = term(play.rosters.status(leader));
    for i in 0..10 {
        play.must_register(&format!("b-{i}"), 1);
    }
    play.wait_alike(&[0, 1, 2]);
    play.check(term(play.rosters.status(leader)) == before, "the copy unseats nobody");
    drop(copied);
}

#[test]
fn three_replicas_are_upgraded_one_after_the_other_and_back_while_servers_register() {
    let play = start(3, &["--format", "1"]);
    let mut acknowledged = Vec::new();
    let mut round = |play: &Play, format: &str| {
        for at in 0..3 {
            for i in 0..10 {
                let name = format!("f{format}-{at}-{i}-{}", acknowledged.len());
                play.must_register(&name, 1);
                acknowledged.push(name);
            }
            play.rosters.kill(at).expect("the replica is killed");
            play.rosters.set_arguments(at, &["--format", format]);
            play.rosters.start_replica(at).expect("the replica starts");
            play.wait_alike(&[0, 1, 2]);
        }
        acknowledged.len()
    };
    let bare = std::fs::read(play.rosters.database_file(0)).expect("the file is read");
    round(&play, "2");
    let sealed = std::fs::read(play.rosters.database_file(0)).expect("the file is read");
    assert_ne!(bare, sealed);
    let all = round(&play, "1");
    for at in 0..3 {
        play.check(play.names(at).is_some_and(|n| n.len() == all), "nothing acknowledged is lost");
    }
    // A file of a form that is not known yet is left alone.
    play.rosters.kill(0).expect("the replica is killed");
    let config = play.rosters.database_file(0).with_file_name("newer.toml");
    std::fs::write(&config, "format = 4\n").expect("the file is written");
    play.rosters.set_arguments(0, &["--config", &config.display().to_string()]);
    play.rosters.start_replica(0).expect("the replica starts");
    play.wait("it refuses", || play.rosters.has_exited(0));
    play.check(play.rosters.log_text(0).contains("format: must be 1, 2 or 3"), "it names the key");
}

#[test]
fn a_server_that_falls_silent_leaves_and_one_that_flaps_changes_the_list_seldom() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let quick = config(folder.path(), "[leases]\nwindow_s = 1\nshare = 0.5\nleaving_s = 2\n");
    let play = start(3, &["--config", &quick]);
    let programs = Programs::find().expect("the programs are built");
    let rosters: Vec<String> = (0..3).map(|at| play.rosters.address(at).to_string()).collect();
    let keep = |name: &str| {
        let mut command = std::process::Command::new(&programs.lotusmoor);
        command.args(["roster", "keep", name, "127.0.0.1:9001", "--lease-ms", "900", "--drain-ms", "100"]);
        command.args(["--roster", &rosters.join(",")]);
        let log = play.folder.path().join(format!("{name}.log"));
        lotusmoor_fleet::harness::Process::start(command, name, &log, None).expect("the process starts")
    };
    let mut kept: Vec<_> = (0..4).map(|i| keep(&format!("k-{i}"))).collect();
    let status = |name: &str| {
        let answer = play.rosters.call(0, "GET", &format!("/v1/servers/{name}"), "").ok()?;
        match answer.status {
            200 => Some(format!("{} {}", answer.body["entry"]["status"], answer.body["entry"]["why"])),
            _ => Some(answer.status.to_string()),
        }
    };
    let active = "\"active\" \"registered\"";
    play.wait("all are listed", || (0..4).all(|i| status(&format!("k-{i}")).as_deref() == Some(active)));
    kept[1].kill().expect("the process is killed");
    play.wait("it is leaving", || status("k-1").as_deref() == Some("\"leaving\" \"expired\""));
    play.wait("it is gone", || status("k-1").as_deref() == Some("404"));
    // Those that are heard of stay, over a change of leader as well.
    let leader = play.wait_leader();
    play.rosters.kill(leader).expect("the replica is killed");
    play.rosters.start_replica(leader).expect("the replica starts");
    play.wait_leader();
    std::thread::sleep(Duration::from_secs(3));
    for name in ["k-0", "k-2", "k-3"] {
        play.wait("the others stay", || status(name).as_deref() == Some(active));
    }
    kept[2].terminate().expect("the signal is sent");
    play.wait("one that is told to stop takes itself off", || status("k-2").as_deref() == Some("404"));
    // Ten times a second.
    let mut taken = 0;
    for i in 0..40 {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": i, "lease_ms": 0}).to_string();
        let answer = play.rosters.call(0, "PUT", "/v1/servers/flaps", &body).expect("a response");
        match answer.status {
            200 => taken += 1,
            429 => assert!(answer.retry_after().is_some_and(|s| s > 0.0 && s <= 2.001), "{}", answer.head),
            other => panic!("{other} {}", answer.body),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    play.check((3..=9).contains(&taken), &format!("{taken} of 40 changes were taken"));
    play.must_register("other", 1);
}

#[test]
fn a_list_is_restored_from_a_backup_in_an_epoch_that_is_newer_than_all_before() {
    let play = start(1, &[]);
    play.must_register("kept", 1);
    let programs = Programs::find().expect("the programs are built");
    let backup = play.folder.path().join("roster.backup");
    let lotusmoor = |arguments: &[&str]| {
        let output = std::process::Command::new(&programs.lotusmoor)
            .args(arguments)
            .output()
            .expect("the command runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let address = play.rosters.address(0).to_string();
    let out = backup.display().to_string();
    assert_eq!(lotusmoor(&["roster", "backup", "--roster", &address, "--out", &out]).0, Some(0));
    play.must_register("lost", 1);
    let before = play.rosters.call(0, "GET", "/v1/list", "").expect("a response").body;
    // A backup that was changed is not taken.
    let mut spoilt = std::fs::read(&backup).expect("the file is read");
    let middle = spoilt.len() / 2;
    spoilt[middle] ^= 1;
    let wrong = play.folder.path().join("spoilt.backup");
    std::fs::write(&wrong, spoilt).expect("the file is written");
    let listen = lotusmoor_fleet::harness::unused_address().to_string();
    let fresh = play.folder.path().join("fresh").display().to_string();
    let (code, said) = lotusmoor(&[
        "roster",
        "serve",
        "--listen",
        &listen,
        "--folder",
        &fresh,
        "--restore",
        &wrong.display().to_string(),
    ]);
    assert!(code == Some(1) && said.contains("spoilt.backup"), "{said}");
    let restored = play.folder.path().join("restored").display().to_string();
    let mut command = std::process::Command::new(&programs.lotusmoor);
    command.args(["roster", "serve", "--listen", &listen, "--folder", &restored, "--restore", &out]);
    let log = play.folder.path().join("restored.log");
    let _new = lotusmoor_fleet::harness::Process::start(command, "restored", &log, None)
        .expect("the process starts");
    let at = listen.parse().expect("an address");
    let list = |path: &str| call(at, "GET", path, "", Duration::from_secs(5)).ok();
    play.wait("it serves", || list("/v1/list").is_some_and(|a| a.status == 200));
    let after = list("/v1/list").expect("a response").body;
    play.check(after["epoch"].as_u64() > before["epoch"].as_u64(), "the epoch is newer");
    play.check(after["index"].as_u64() > before["index"].as_u64(), "the index has not gone back");
    // A reader that is ahead of the backup gets the whole list, in both protocols.
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
fn what_can_not_be_meant_is_a_clear_4xx_and_nothing_half_applied() {
    let play = start(1, &[]);
    let before = play.must_register("good", 1);
    let put = |path: &str, body: &str| play.rosters.call(0, "PUT", path, body).expect("a response");
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
        let said = answer.body["error"].as_str().unwrap_or_default().to_owned();
        assert!(answer.status == status && said.contains(word), "{path} {body}: {} {said}", answer.status);
    }
    let post = |body: &str| play.rosters.call(0, "POST", "/v1/servers", body);
    let servers = |n: usize| -> Vec<Value> {
        (0..n).map(|i| json!({"name": format!("m-{i}"), "address": "127.0.0.1:1"})).collect()
    };
    // One bad one among many, and far too many.
    let mut some = servers(100);
    some[57]["name"] = json!("not a name");
    let answer = post(&json!({"servers": some}).to_string()).expect("a response");
    assert!(answer.status == 422 && answer.body["error"].as_str().is_some_and(|e| e.contains("not a name")));
    let answer = post(&json!({"servers": servers(20_001)}).to_string()).expect("a response");
    assert_eq!(answer.status, 422, "{}", answer.body);
    // 100,000 are more than a body may hold: it is turned away before it is read to its end.
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
        assert_eq!(play.rosters.call(0, method, path, "").expect("a response").status, status, "{path}");
    }
    let list = play.rosters.call(0, "GET", "/v1/list", "").expect("a response");
    let list = list.body;
    assert_eq!((list["index"].as_u64(), list["endpoints"].as_array().map(Vec::len)), (Some(before), Some(1)));
    // A body that is cut off, and a peer that says nothing: closed within its time.
    let open = |text: &str| {
        let mut stream = TcpStream::connect(play.rosters.address(0)).expect("the connection is established");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a read timeout can be set");
        stream.write_all(text.as_bytes()).expect("the request is sent");
        stream
    };
    for text in ["", "PUT /v1/servers/a HTT"] {
        let begun = Instant::now();
        let read = open(text).read_to_end(&mut Vec::new());
        assert!(begun.elapsed() < Duration::from_secs(8), "{text:?}: {read:?} after {:?}", begun.elapsed());
    }
    drop(open("PUT /v1/servers/a HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n{\"addr"));
    assert_eq!(play.rosters.call(0, "GET", "/v1/servers/a", "").expect("a response").status, 404);
}

#[test]
fn watchers_that_come_at_once_are_told_when_to_come_again_and_a_slow_one_holds_up_nobody() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let narrow = config(folder.path(), "[limits]\nwhole_lists_per_s = 50\nconnections = 1000\n");
    let play = start(1, &["--config", &narrow]);
    for part in 0..4 {
        let servers: Vec<Value> = (0..500)
            .map(|i| json!({"name": format!("m-{part}-{i}"), "address": "127.0.0.1:1", "lease_ms": 0, "zone": "porto"}))
            .collect();
        let answer = play.rosters.call(0, "POST", "/v1/servers", &json!({"servers": servers}).to_string());
        assert_eq!(answer.expect("a response").status, 200);
    }
    let at = play.rosters.address(0);
    // One that asks for whole lists and reads nothing of them.
    let mut slow = TcpStream::connect(at).expect("the connection is established");
    for _ in 0..20 {
        let _ = slow.write_all(b"GET /v1/list HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    std::thread::sleep(Duration::from_secs(1));
    let began = Instant::now();
    let threads: Vec<_> = (0..200)
        .map(|_| {
            std::thread::spawn(move || {
                let mut turned_away = 0;
                loop {
                    let answer =
                        call(at, "GET", "/discovery/hosts", "", Duration::from_secs(20)).expect("a response");
                    match answer.status {
                        200 => return (turned_away, answer.body["endpoints"].as_array().map_or(0, Vec::len)),
                        503 => {
                            turned_away += 1;
                            let wait = answer.retry_after().expect("it says when");
                            assert!(wait > 0.0 && wait < 31.0);
                            std::thread::sleep(Duration::from_secs_f64(wait));
                        }
                        other => panic!("{other}"),
                    }
                }
            })
        })
        .collect();
    let all: Vec<(i32, usize)> = threads.into_iter().map(|t| t.join().expect("it is answered")).collect();
    let took = began.elapsed();
    let again: i32 = all.iter().map(|a| a.0).sum();
    assert!(all.iter().all(|a| a.1 == 2000));
    play.check(again > 50, &format!("{again} were told to come again"));
    play.check(took < Duration::from_secs(20), &format!("all have it after {took:?}"));
    // A watch is told of a change while the slow one still has its place.
    let index = play.rosters.status(0).and_then(|s| s["index"].as_u64()).expect("a response");
    let watch = std::thread::spawn(move || {
        call(at, "GET", &format!("/discovery/hosts?after={index}&wait_ms=20000"), "", Duration::from_secs(30))
    });
    std::thread::sleep(Duration::from_millis(200));
    play.must_register("new", 1);
    let told = watch.join().expect("the thread does not panic").expect("a response");
    assert_eq!(told.body["endpoints"][0]["name"], "new");
    drop(slow);
}
