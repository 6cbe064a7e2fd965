//! `lotusmoor fleet scale` with real processes: its plans, a small run through each event, simulated sidecars ("hollow"
//! in plans and results) compared with real ones, and a run that is killed.

use indicatif::ProgressBar;
use lotusmoor_fleet::harness::{process_guard, until};
use lotusmoor_fleet::scale::deployment::{Deployment, REPLICAS, START_TIMEOUT, server_name};
use lotusmoor_fleet::scale::results::{Record, ResultFile, Role, Sweep};
use lotusmoor_fleet::scale::{Mode, Plan, run_plan};
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
    Plan::parse(Path::new("small.toml"), SMALL).expect("the plan is valid")
}

fn lotusmoor() -> Command {
    Command::new(env!("CARGO_BIN_EXE_lotusmoor"))
}

#[test]
fn plans_in_the_repository_are_valid_and_an_invalid_one_is_reported_with_file_line_and_key() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/scale");
    let files =
        std::fs::read_dir(source).expect("the directory is listed").filter_map(Result::ok).map(|e| e.path());
    let plans: Vec<PathBuf> = files.filter(|p| p.extension().is_some_and(|e| e == "toml")).collect();
    assert!(!plans.is_empty());
    for plan in plans {
        let output = lotusmoor().arg("check").arg(&plan).output().expect("the command runs");
        let stdout = String::from_utf8_lossy(&output.stdout);
        let is_valid = stdout.contains("plan ") && stdout.trim_end().ends_with(", fine");
        assert!(output.status.success() && is_valid, "{}: {output:?}", plan.display());
    }
    let folder = tempfile::tempdir().expect("a temporary directory");
    let (wrong, out) = (folder.path().join("wrong.toml"), folder.path().join("out.jsonl"));
    std::fs::write(&wrong, SMALL.replace("rate =", "rates =")).expect("the file is written");
    let mut commands = [lotusmoor(), lotusmoor()];
    commands[0].arg("check").arg(&wrong);
    commands[1].args(["fleet", "scale"]).arg(&wrong).arg("--out").arg(&out);
    for mut command in commands {
        let output = command.output().expect("the command runs");
        let stderr = String::from_utf8_lossy(&output.stderr);
        let expected = ["wrong.toml", "line 13", "rates"];
        assert!(
            output.status.code() == Some(1) && expected.iter().all(|part| stderr.contains(part)),
            "{stderr}"
        );
    }
    assert!(!out.exists());
}

fn keys(line: &Record) -> Vec<&str> {
    line.measured.keys().map(String::as_str).collect()
}

/// The measurements of a role in a step without a fault.
fn expected_keys(role: Role) -> Vec<&'static str> {
    let of_process = ["cpu_us_per_s", "rss_bytes", "wire_bytes_per_s", "answers_per_s", "whole_lists_per_s"];
    let own: &[&str] = match role {
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
    let shared: &[&str] = if matches!(role, Role::Sidecar | Role::Fleet) { &[] } else { &of_process };
    let mut all = [shared, own].concat();
    all.sort_unstable();
    all
}

#[test]
fn all_readers_receive_all_changes_through_each_event() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let (plan, out) = (small(), folder.path().join("small.jsonl"));
    let steps = run_plan(&plan, Some(&out), "abc1234", &ProgressBar::hidden()).expect("the plan runs");
    let events = ["steady", "replica_killed", "watches_lost", "zone_away"];
    let actual: Vec<_> = steps.iter().map(|s| (s.mode, s.event.unwrap_or_default())).collect();
    let steps_of = |mode| events.map(|event| (mode, event));
    assert_eq!(actual, [steps_of(Mode::Whole), steps_of(Mode::Services)].concat());
    for step in &steps {
        let details = format!("{} {:?}: {step:?}", step.mode.name(), step.event);
        assert_eq!((step.undelivered, step.failing, step.regressions), (0, 0, 0), "{details}");
        assert!(step.changes > 0, "{details}");
        match step.event {
            // Without a leader, the writer may not complete all of its changes.
            Some("replica_killed") => {}
            _ => assert_eq!(step.changes, 6, "{details}"),
        }
        if step.event == Some("watches_lost") {
            assert!(step.recovered >= plan.hollow, "{details}");
        }
    }
    let lines = ResultFile::read(&out).expect("the results are read");
    // Compares text, as a number that is parsed may differ in its last digit.
    let text = std::fs::read_to_string(&out).expect("the file is read");
    let expected = steps
        .iter()
        .flat_map(|s| &s.lines)
        .map(|l| serde_json::to_string(l).expect("the line is serialized"));
    assert_eq!(text.lines().collect::<Vec<_>>(), expected.collect::<Vec<_>>());
    let roles = [Role::Leader, Role::Follower, Role::Hollow, Role::Sidecar, Role::Fleet];
    assert_eq!(lines.len(), steps.len() * roles.len());
    for (position, line) in lines.iter().enumerate() {
        let (step, role) = (&steps[position / roles.len()], roles[position % roles.len()]);
        let number = (position / roles.len() % events.len()) as u32 + 1;
        let services = if step.mode == Mode::Services { 2 } else { 0 };
        assert_eq!((line.sweep, line.mode, line.step, line.role), (Sweep::Events, step.mode, number, role));
        assert_eq!((line.at.hollow, line.at.listed, line.at.services), (200, 40, services));
        assert_eq!((line.event.as_deref(), &line.failed), (step.event, &None));
        assert_eq!((line.seed, line.commit.as_str()), (7, "abc1234"));
        let (mut actual, mut expected) = (keys(line), expected_keys(role));
        if role == Role::Fleet && step.event != Some("steady") {
            expected.push("back_ms");
            expected.sort_unstable();
        }
        // The killed replica counts as the leader of the step; its counters and its watches are not measured.
        if step.event == Some("replica_killed") && role == Role::Leader {
            let unmeasured = ["cpu_us_per_s", "whole_lists_per_s", "watches"];
            expected.retain(|key| !unmeasured.contains(key));
        }
        actual.sort_unstable();
        assert_eq!(actual, expected, "{line:?}");
        if role == Role::Fleet && step.event == Some("steady") {
            // All simulated and real sidecars watch the list; some may be between two watches.
            assert!(line.measured["answers_per_s"] > 0.0 && line.measured["watches"] > 0.0, "{line:?}");
        }
    }
}

/// The list in the cache file of a sidecar.
fn cached_list(path: &Path) -> Option<Value> {
    let file: Value = serde_json::from_slice(&std::fs::read(path).ok()?).ok()?;
    serde_json::from_str(file["list"].as_str()?).ok()
}

/// Changes servers, some while the former leader is down, and after each change compares the lists of a simulated
/// sidecar and of a real one.
fn check_same_lists(mode: Mode) {
    let plan = small();
    let sizes = plan.sizes()[0];
    let mut deployment = Deployment::start(&plan, &sizes, mode, &[]).expect("the deployment starts");
    deployment.start_hollow_sidecars(&plan).expect("the simulated sidecars start");
    let all_have_list =
        || deployment.hollow_status().is_ok_and(|s| s.with_list == sizes.hollow && s.failing == 0);
    assert!(until(all_have_list), "{:?}", deployment.hollow_status());
    let services = &deployment.topology.sidecar_calls[0];
    let reader = deployment
        .topology
        .hollow_calls
        .iter()
        .position(|s| s == services)
        .expect("a simulated sidecar with the same services");
    let sidecar = &deployment.sidecars[0];
    let reader_list = || serde_json::to_value(deployment.hollow_list(reader).ok()??).ok();
    let index = |list: &Option<Value>| list.as_ref().and_then(|l| l["version"]["index"].as_u64());
    // Waits until both have the same list, with that index or a later one, and returns it.
    let wait_same = |min_index: u64| {
        let mut lists = (None, None);
        let is_same = until(|| {
            lists = (reader_list(), cached_list(&sidecar.file));
            lists.0 == lists.1 && index(&lists.0).is_some_and(|index| index >= min_index)
        });
        assert!(
            is_same,
            "{}, index {min_index} or later: simulated sidecar {:?}, real sidecar {:?}",
            mode.name(),
            lists.0,
            lists.1
        );
        lists.0
    };
    let first = wait_same(1);
    assert!(until(|| sidecar.index() == index(&first)), "{:?} of {first:?}", sidecar.index());
    deployment.take_activity().expect("the events are read");
    // Servers without a lease: the simulated sidecar that holds the lease of a server registers it again when it is
    // removed.
    let is_changeable = |s: &usize| *s >= plan.leases && deployment.topology.concerns(mode, services, *s);
    let servers: Vec<usize> =
        deployment.topology.change_order.iter().copied().filter(is_changeable).collect();
    let leader = || deployment.registry.leader();
    assert!(until(|| leader().is_some()));
    let killed = leader().expect("there is a leader");
    let (mut replica, mut versions) = (0, Vec::new());
    for (turn, server) in servers.iter().cycle().take(9).enumerate() {
        match turn {
            3 => deployment.registry.kill(killed).expect("the replica is killed"),
            6 => deployment.registry.start_replica(killed).expect("the replica starts"),
            _ => {}
        }
        let path = format!("/v1/servers/{}", server_name(*server));
        let (method, body) = match turn % 3 {
            2 => ("DELETE", String::new()),
            _ => ("PUT", deployment.registration(*server, turn + 1).to_string()),
        };
        let index_of_write = deployment
            .write(method, &path, &body, &mut replica, START_TIMEOUT)
            .expect("the write is accepted");
        let list = wait_same(index_of_write);
        // A removed server is not listed, or not as active.
        let status = list.as_ref().and_then(|l| l["entries"][server_name(*server)]["status"].as_str());
        assert_eq!(status == Some("active"), method == "PUT", "{path}: {status:?}");
        versions.extend(index(&list));
    }
    // The simulated sidecar received each version that the real one had, once and in order.
    let taken = deployment.take_activity().expect("the events are read");
    let received = taken.iter().flat_map(|t| &t.applied).filter(|(r, ..)| *r as usize == reader);
    assert_eq!(received.map(|(_, index, _)| *index).collect::<Vec<_>>(), versions);
    assert!(versions.is_sorted() && versions.len() == 9 && (0..REPLICAS).contains(&killed), "{versions:?}");
    assert_eq!(taken.iter().map(|t| t.regressions).sum::<u64>(), 0);
}

#[test]
fn simulated_sidecar_of_the_full_list_has_the_same_list_as_a_real_one() {
    check_same_lists(Mode::Whole);
}

#[test]
fn simulated_sidecar_of_services_has_the_same_list_as_a_real_one() {
    check_same_lists(Mode::Services);
}

/// Ids of the child processes of `pid`, each with its start time in clock ticks.
fn children(pid: u32) -> Vec<(u32, u64)> {
    let all = std::fs::read_dir("/proc").expect("the directory is listed").filter_map(Result::ok);
    let ids = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    let parent = |id: u32| -> Option<u32> {
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        text.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
    };
    ids.filter(|id| parent(*id) == Some(pid))
        .filter_map(|id| Some((id, process_guard::start_ticks(id)?)))
        .collect()
}

#[test]
fn killed_run_leaves_no_child_process() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let plan = folder.path().join("small.toml");
    std::fs::write(&plan, SMALL).expect("the file is written");
    let mut command = lotusmoor();
    command.args(["fleet", "scale"]).arg(&plan).args(["--seconds", "300", "--modes", "services", "--out"]);
    command.arg(folder.path().join("killed.jsonl")).env("TMPDIR", folder.path());
    let mut run = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the process starts");
    let has_list = || {
        let entries =
            std::fs::read_dir(folder.path()).expect("the directory is listed").filter_map(Result::ok);
        entries.map(|e| e.path().join("sidecar-1.list")).any(|file| file.is_file())
    };
    // Three replicas, four servers, two sidecars, two processes of simulated sidecars, and the process guard.
    let all_started = until(|| has_list() && children(run.id()).len() == 12);
    let children_before_kill = children(run.id());
    run.kill().expect("the process is killed");
    run.wait().expect("the process exits");
    assert!(all_started, "{children_before_kill:?}");
    for (id, started) in children_before_kill {
        assert!(until(|| process_guard::start_ticks(id) != Some(started)), "child {id} still runs");
    }
}
