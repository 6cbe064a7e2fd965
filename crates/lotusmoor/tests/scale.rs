//! `lotusmoor fleet scale` with real processes: its plans, a small run through each event, hollow readers beside real
//! sidecars, and a run that is killed.

use indicatif::ProgressBar;
use lotusmoor_fleet::harness::{process_guard, until};
use lotusmoor_fleet::scale::deployment::{Deployment, REPLICAS, START, name};
use lotusmoor_fleet::scale::lines::{Line, Lines, Role, Sweep};
use lotusmoor_fleet::scale::{Mode, Plan, play};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const SMALL: &str = r#"name = "small"
seed = 7
modes = ["whole", "services"]
hollow = 200
leases = 20
lease_ms = 3000
listed = 40
services = 6
calls = 2
zones = ["a1", "b1"]
regions = ["a", "b"]
sidecars = 2
rate = 40.0
changes_per_s = 2.0
seconds = 3.0

[[event]]
kind = "steady"

[[event]]
kind = "replica_killed"

[[event]]
kind = "watches_lost"

[[event]]
kind = "zone_away"
zone = "b1"
for_s = 1.0
"#;

fn small() -> Plan {
    Plan::parse(Path::new("small.toml"), SMALL).expect("it is a plan")
}

fn lotusmoor() -> Command {
    Command::new(env!("CARGO_BIN_EXE_lotusmoor"))
}

#[test]
fn every_plan_of_the_repository_is_read_and_a_wrong_one_told_by_file_line_and_key() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/scale");
    let files =
        std::fs::read_dir(source).expect("the directory is listed").filter_map(Result::ok).map(|e| e.path());
    let plans: Vec<PathBuf> = files.filter(|p| p.extension().is_some_and(|e| e == "toml")).collect();
    assert!(!plans.is_empty());
    for plan in plans {
        let output = lotusmoor().arg("check").arg(&plan).output().expect("the command runs");
        let said = String::from_utf8_lossy(&output.stdout);
        let fine = said.contains("plan ") && said.trim_end().ends_with(", fine");
        assert!(output.status.success() && fine, "{}: {output:?}", plan.display());
    }
    let folder = tempfile::tempdir().expect("a temporary directory");
    let (wrong, out) = (folder.path().join("wrong.toml"), folder.path().join("out.jsonl"));
    std::fs::write(&wrong, SMALL.replace("rate =", "rates =")).expect("the file is written");
    let mut commands = [lotusmoor(), lotusmoor()];
    commands[0].arg("check").arg(&wrong);
    commands[1].args(["fleet", "scale"]).arg(&wrong).arg("--out").arg(&out);
    for mut command in commands {
        let output = command.output().expect("the command runs");
        let said = String::from_utf8_lossy(&output.stderr);
        let wanted = ["wrong.toml", "line 13", "rates"];
        assert!(output.status.code() == Some(1) && wanted.iter().all(|w| said.contains(w)), "{said}");
    }
    assert!(!out.exists());
}

fn keys(line: &Line) -> Vec<&str> {
    line.measured.keys().map(String::as_str).collect()
}

/// What a role has in a step in which nothing happens.
fn wanted(role: Role) -> Vec<&'static str> {
    let replica = ["cpu_us_per_s", "rss_bytes", "wire_bytes_per_s", "answers_per_s", "whole_lists_per_s"];
    let more: &[&str] = match role {
        Role::Leader => &["watches", "entries", "writes_per_s", "renewals_per_s"],
        Role::Follower => &["watches", "entries"],
        Role::Hollow => &["entries"],
        Role::Sidecar => &[
            "cpu_us_per_s",
            "rss_bytes",
            "entries",
            "in_force_ms_p50",
            "in_force_ms_p99",
            "in_force_ms_max",
            "added_us_p50",
            "added_us_p99",
            "not_served",
        ],
        _ => &[
            "told_ms_p50",
            "told_ms_p99",
            "told_ms_max",
            "untold",
            "away",
            "answers_per_s",
            "whole_lists_per_s",
            "wire_bytes_per_s",
            "writes_per_s",
            "renewals_per_s",
            "watches",
        ],
    };
    let shared: &[&str] = if matches!(role, Role::Sidecar | Role::Fleet) { &[] } else { &replica };
    let mut all = [shared, more].concat();
    all.sort_unstable();
    all
}

#[test]
fn all_readers_are_told_of_all_changes_through_each_event() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let (plan, out) = (small(), folder.path().join("small.jsonl"));
    let steps = play(&plan, Some(&out), "abc1234", &ProgressBar::hidden()).expect("it is played");
    let events = ["steady", "replica_killed", "watches_lost", "zone_away"];
    let is: Vec<_> = steps.iter().map(|s| (s.mode, s.event.unwrap_or_default())).collect();
    let of = |mode| events.map(|event| (mode, event));
    assert_eq!(is, [of(Mode::Whole), of(Mode::Services)].concat());
    for step in &steps {
        let said = format!("{} {:?}: {step:?}", step.mode.name(), step.event);
        assert_eq!((step.untold, step.away, step.went_back), (0, 0, 0), "{said}");
        assert!(step.changes > 0, "{said}");
        match step.event {
            // Without a leader, the writer may not come to all of them.
            Some("replica_killed") => {}
            _ => assert_eq!(step.changes, 6, "{said}"),
        }
        if step.event == Some("watches_lost") {
            assert!(step.back >= plan.hollow, "{said}");
        }
    }
    let lines = Lines::read(&out).expect("the results are read");
    // As text: a figure that is read back may be off in its last digit.
    let text = std::fs::read_to_string(&out).expect("the file is read");
    let all = steps
        .iter()
        .flat_map(|s| &s.lines)
        .map(|l| serde_json::to_string(l).expect("the line is serialized"));
    assert_eq!(text.lines().collect::<Vec<_>>(), all.collect::<Vec<_>>());
    let roles = [Role::Leader, Role::Follower, Role::Hollow, Role::Sidecar, Role::Fleet];
    assert_eq!(lines.len(), steps.len() * roles.len());
    for (at, line) in lines.iter().enumerate() {
        let (step, role) = (&steps[at / roles.len()], roles[at % roles.len()]);
        let place = (at / roles.len() % events.len()) as u32 + 1;
        let services = if step.mode == Mode::Services { 2 } else { 0 };
        assert_eq!((line.sweep, line.mode, line.step, line.role), (Sweep::Events, step.mode, place, role));
        assert_eq!((line.at.hollow, line.at.listed, line.at.services), (200, 40, services));
        assert_eq!((line.event.as_deref(), &line.failed), (step.event, &None));
        assert_eq!((line.seed, line.commit.as_str()), (7, "abc1234"));
        let (mut has, mut all) = (keys(line), wanted(role));
        if role == Role::Fleet && step.event != Some("steady") {
            all.push("back_ms");
            all.sort_unstable();
        }
        // The one that was killed counts as the step's leader; what grows in it, and its watches, are not measured.
        if step.event == Some("replica_killed") && role == Role::Leader {
            let gone = ["cpu_us_per_s", "whole_lists_per_s", "watches"];
            all.retain(|key| !gone.contains(key));
        }
        has.sort_unstable();
        assert_eq!(has, all, "{line:?}");
        if role == Role::Fleet && step.event == Some("steady") {
            // All readers, and the real sidecars, ask for what comes next; some may just be asking anew.
            assert!(line.measured["answers_per_s"] > 0.0 && line.measured["watches"] > 0.0, "{line:?}");
        }
    }
}

/// The list of a sidecar's file.
fn of_file(path: &Path) -> Option<Value> {
    let written: Value = serde_json::from_slice(&std::fs::read(path).ok()?).ok()?;
    serde_json::from_str(written["list"].as_str()?).ok()
}

/// Changes servers, some through a replica that is away, and looks after each change at both lists.
fn same(mode: Mode) {
    let plan = small();
    let sizes = plan.sizes()[0];
    let mut deployment = Deployment::start(&plan, &sizes, mode, &[]).expect("the deployment starts");
    deployment.start_hollows(&plan).expect("they start");
    let up = || deployment.standing().is_ok_and(|s| s.listed == sizes.hollow && s.away == 0);
    assert!(until(up), "{:?}", deployment.standing());
    let calls = &deployment.draw.sidecars[0];
    let reader = deployment.draw.hollow.iter().position(|c| c == calls).expect("one calls the same");
    let own = &deployment.sidecars[0];
    let known = || serde_json::to_value(deployment.known(reader).ok()??).ok();
    let index = |list: &Option<Value>| list.as_ref().and_then(|l| l["version"]["index"].as_u64());
    // Both have that index, or a later one, and the same list.
    let both = |wanted: u64| {
        let mut lists = (None, None);
        let same = until(|| {
            lists = (known(), of_file(&own.file));
            lists.0 == lists.1 && index(&lists.0).is_some_and(|index| index >= wanted)
        });
        assert!(same, "{} of {wanted}: hollow {:?}, sidecar {:?}", mode.name(), lists.0, lists.1);
        lists.0
    };
    let first = both(1);
    assert!(until(|| own.index() == index(&first)), "{:?} of {first:?}", own.index());
    deployment.take().expect("it is taken");
    // Servers without a lease: a hollow holder registers its own anew when it is taken off.
    let free = |s: &usize| *s >= plan.leases && deployment.draw.concerns(mode, calls, *s);
    let concerned: Vec<usize> = deployment.draw.turns.iter().copied().filter(free).collect();
    let leader = || deployment.rosters.leader();
    assert!(until(|| leader().is_some()));
    let killed = leader().expect("there is a leader");
    let (mut at, mut versions) = (0, Vec::new());
    for (turn, server) in concerned.iter().cycle().take(9).enumerate() {
        match turn {
            3 => deployment.rosters.kill(killed).expect("the replica is killed"),
            6 => deployment.rosters.start_replica(killed).expect("the replica starts"),
            _ => {}
        }
        let path = format!("/v1/servers/{}", name(*server));
        let (method, body) = match turn % 3 {
            2 => ("DELETE", String::new()),
            _ => ("PUT", deployment.registration(*server, turn + 1).to_string()),
        };
        let wanted = deployment.write(method, &path, &body, &mut at, START).expect("it is taken");
        let list = both(wanted);
        // One that was taken off is not listed, or not as active.
        let status = list.as_ref().and_then(|l| l["entries"][name(*server)]["status"].as_str());
        assert_eq!(status == Some("active"), method == "PUT", "{path}: {status:?}");
        versions.extend(index(&list));
    }
    // Each version that the sidecar had was told to the hollow one, once and in order.
    let taken = deployment.take().expect("it is taken");
    let told = taken.iter().flat_map(|t| &t.told).filter(|(r, ..)| *r as usize == reader);
    assert_eq!(told.map(|(_, index, _)| *index).collect::<Vec<_>>(), versions);
    assert!(versions.is_sorted() && versions.len() == 9 && (0..REPLICAS).contains(&killed), "{versions:?}");
    assert_eq!(taken.iter().map(|t| t.went_back).sum::<u64>(), 0);
}

#[test]
fn a_hollow_reader_of_the_whole_list_has_what_a_real_sidecar_has() {
    same(Mode::Whole);
}

#[test]
fn a_hollow_reader_of_services_has_what_a_real_sidecar_has() {
    same(Mode::Services);
}

/// Children of a process, each with the time of its start.
fn children(of: u32) -> Vec<(u32, u64)> {
    let all = std::fs::read_dir("/proc").expect("the directory is listed").filter_map(Result::ok);
    let ids = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    let parent = |id: u32| -> Option<u32> {
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        text.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
    };
    ids.filter(|id| parent(*id) == Some(of))
        .filter_map(|id| Some((id, process_guard::start_ticks(id)?)))
        .collect()
}

#[test]
fn a_run_that_is_killed_leaves_no_child() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let plan = folder.path().join("small.toml");
    std::fs::write(&plan, SMALL).expect("the file is written");
    let mut command = lotusmoor();
    command.args(["fleet", "scale"]).arg(&plan).args(["--seconds", "300", "--modes", "services", "--out"]);
    command.arg(folder.path().join("killed.jsonl")).env("TMPDIR", folder.path());
    let mut run = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the process starts");
    let has_list = || {
        let own = std::fs::read_dir(folder.path()).expect("the directory is listed").filter_map(Result::ok);
        own.map(|e| e.path().join("sidecar-1.list")).any(|file| file.is_file())
    };
    // Three replicas, four servers, two sidecars, two processes of hollow ones, and the reaper.
    let all = until(|| has_list() && children(run.id()).len() == 12);
    let left = children(run.id());
    run.kill().expect("the process is killed");
    run.wait().expect("the process exits");
    assert!(all, "{left:?}");
    for (id, started) in left {
        assert!(until(|| process_guard::start_ticks(id) != Some(started)), "child {id} is left");
    }
}
