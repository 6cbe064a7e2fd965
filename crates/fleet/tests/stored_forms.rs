//! The stored formats of results and plans, and the messages between the harness's processes. The fixtures were written
//! by the program at commit 3f326ce. Names in the code may change; the names and values in these files may not.
//!
//! Reading a float may change its last digit (serde_json without `float_roundtrip`). Result lines with floats were
//! therefore read and written once more by that program before they became fixtures, so that their text is stable.

use lotusmoor_faults::{Call, errno};
use lotusmoor_fleet::capacity::Runs;
use lotusmoor_fleet::experiment::{Point, Results, RunResult, measure, measures};
use lotusmoor_fleet::harness::backend::{BackendEvent, Conduct, EndedRequest, ReceivedRequest};
use lotusmoor_fleet::harness::discovery::{DeliveredVersion, ServerEntry};
use lotusmoor_fleet::model::Figures;
use lotusmoor_fleet::scale::hollow::{
    Activity, Assignment, ControlRequest, HollowSidecar, LeasedServer, Status,
};
use lotusmoor_fleet::scale::results::{Mode, Record as ScaleRecord, ResultFile, Role, StepSizes, Sweep};
use lotusmoor_fleet::soak::{Fault, FaultWindow, LinkKind, Plan};
use lotusmoor_fleet::sweep::Case;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const SCALE_LINES: &str = "scale-lines.jsonl";
const EXPERIMENT_LINES: &str = "experiment-lines.jsonl";
const SOAK_PLAN: &str = "soak-plan.json";
const SOAK_LINE: &str = "soak-line.jsonl";
const SWEEP_LINES: &str = "sweep-lines.jsonl";
const BACKEND_EVENTS: &str = "server-notes.jsonl";
const DELIVERED_VERSIONS: &str = "discovery-notes.jsonl";
const BACKEND_CONDUCT: &str = "server-conduct.json";
const DISCOVERY_LIST: &str = "discovery-list.json";
const HOLLOW_ASSIGNMENT: &str = "hollow-assignment.json";
const HOLLOW_REQUESTS: &str = "hollow-calls.jsonl";
const HOLLOW_STATUS: &str = "hollow-standing.json";
const HOLLOW_ACTIVITY: &str = "hollow-taken.json";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn text(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).expect("a fixture")
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the value can be written")
}

fn read<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).expect("the JSON can be read")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Reads one value per line, and checks that each is written as the same text.
fn read_lines<T: DeserializeOwned + Serialize>(name: &str) -> Vec<T> {
    let text = text(name);
    let values: Vec<T> = text.lines().map(read).collect();
    for (value, line) in values.iter().zip(text.lines()) {
        assert_eq!(json(value), line, "{name}");
    }
    values
}

// ---- Scale runs ----

#[test]
fn scale_lines_of_every_kind_round_trip_to_the_same_text() {
    let stored = text(SCALE_LINES);
    let lines = ResultFile::read(&fixture(SCALE_LINES)).expect("the lines can be read");
    let folder = tempfile::tempdir().expect("a folder");
    let copy = folder.path().join("lines.jsonl");
    let mut written = ResultFile::create(&copy).expect("the file is new");
    for line in &lines {
        written.add(line).expect("the line can be written");
    }
    assert_eq!(std::fs::read_to_string(&copy).expect("the file can be read"), stored);
    let sweeps: BTreeSet<_> = lines.iter().map(|line| line.sweep).collect();
    let roles: BTreeSet<_> = lines.iter().map(|line| line.role).collect();
    let modes: BTreeSet<_> = lines.iter().map(|line| line.mode).collect();
    let all_sweeps = [
        Sweep::Hollow,
        Sweep::Listed,
        Sweep::Changes,
        Sweep::Events,
        Sweep::SidecarListed,
        Sweep::SidecarChanges,
        Sweep::ModuleListed,
    ];
    let all_roles = [Role::Leader, Role::Follower, Role::Hollow, Role::Sidecar, Role::Module, Role::Fleet];
    assert_eq!(sweeps, BTreeSet::from(all_sweeps));
    assert_eq!(roles, BTreeSet::from(all_roles));
    assert_eq!(modes, BTreeSet::from([Mode::Whole, Mode::Services]));
}

/// Maximum relative error of a float that is read.
const MAX_READ_ERROR: f64 = 1e-15;

/// Whether both have the same keys, texts and integers, and the same floats except for the last digit.
fn is_same(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Number(a), Value::Number(b)) if a.is_f64() && b.is_f64() => {
            let (a, b) = (a.as_f64().expect("a float"), b.as_f64().expect("a float"));
            (a - b).abs() <= MAX_READ_ERROR * a.abs()
        }
        (Value::Object(a), Value::Object(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|((k, v), (l, w))| k == l && is_same(v, w))
        }
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(v, w)| is_same(v, w))
        }
        (one, other) => one == other,
    }
}

#[test]
fn recorded_scale_runs_round_trip_with_the_same_keys_and_values() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/scale/results");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("recorded runs") {
        let path = entry.expect("an entry").path();
        let recorded = std::fs::read_to_string(&path).expect("the file can be read");
        let lines = ResultFile::read(&path).expect("the lines can be read");
        assert_eq!(lines.len(), recorded.lines().count(), "{}", path.display());
        for (line, text) in lines.iter().zip(recorded.lines()) {
            let written = serde_json::to_value(line).expect("the line can be written");
            assert!(is_same(&written, &read(text)), "{}: {text}", path.display());
        }
        count += lines.len();
    }
    assert!(count >= 198, "{count} lines");
}

#[test]
fn scale_line_is_read_into_the_expected_fields() {
    let lines = ResultFile::read(&fixture(SCALE_LINES)).expect("the lines can be read");
    let found =
        lines.iter().find(|line| line.sweep == Sweep::ModuleListed).expect("a line of the decision module");
    let mut expected = ScaleRecord {
        sweep: Sweep::ModuleListed,
        mode: Mode::Whole,
        step: 1,
        at: StepSizes { hollow: 0, listed: 100, changes_per_s: 0.0, services: 0 },
        role: Role::Module,
        event: None,
        seconds: 3.0,
        measured: Default::default(),
        failed: None,
        seed: 1,
        commit: "17ca7cd5e1d1".to_owned(),
    };
    for (name, value) in [
        ("change_ns", 130.19543010752687),
        ("decision_ns", 14880.139132868337),
        ("decision_ns_p99", 29295.0),
        ("decisions", 185808.0),
        ("end_ns", 672.1651756913681),
        ("list_ns", 8292.0),
    ] {
        expected.set(name, value);
    }
    assert_eq!(*found, expected);
    let event = lines.iter().find(|line| line.sweep == Sweep::Events && line.role == Role::Leader);
    let event = event.expect("a line of an event");
    assert_eq!(event.event.as_deref(), Some("steady"));
    assert_eq!(event.at, StepSizes { hollow: 20_000, listed: 21_000, changes_per_s: 1.0, services: 3 });
    assert_eq!(event.measured["watches"], 6117.0);
}

#[test]
fn failed_scale_line_keeps_its_keys() {
    let lines = ResultFile::read(&fixture(SCALE_LINES)).expect("the lines can be read");
    let failed = ScaleRecord {
        event: Some("roll".to_owned()),
        failed: Some("no leader".to_owned()),
        measured: Default::default(),
        ..lines[0].clone()
    };
    let written = json(&failed);
    assert!(
        written.contains(r#""event":"roll""#) && written.contains(r#""failed":"no leader""#),
        "{written}"
    );
    assert_eq!(read::<ScaleRecord>(&written), failed);
}

#[test]
fn capacity_plan_reads_scale_lines() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::copy(fixture(SCALE_LINES), folder.path().join("runs.jsonl")).expect("the file can be copied");
    let runs = Runs::read(folder.path()).expect("the runs can be read");
    let events: Vec<_> = runs.events().collect();
    assert_eq!(events.len(), 5);
    for (file, step) in events {
        assert_eq!((file, step.event.as_deref()), ("runs.jsonl", Some("steady")));
        assert_eq!((step.value("hollow"), step.failed.as_deref()), (Some(20_000.0), None));
    }
}

// ---- Experiments ----

#[test]
fn experiment_lines_round_trip_to_the_same_text() {
    let (lines, truncated) = Results::read(&fixture(EXPERIMENT_LINES)).expect("the lines can be read");
    assert!(!truncated);
    let folder = tempfile::tempdir().expect("a folder");
    let copy = folder.path().join("results.jsonl");
    let mut results = Results::open(&copy, &lines[0].commit).expect("the file is new");
    for line in &lines {
        results.add(line).expect("the line can be written");
    }
    assert_eq!(std::fs::read_to_string(&copy).expect("the file can be read"), text(EXPERIMENT_LINES));
}

#[test]
fn experiment_line_is_read_into_the_expected_fields() {
    let (lines, _) = Results::read(&fixture(EXPERIMENT_LINES)).expect("the lines can be read");
    let line = &lines[0];
    let point = Point { load: Some(0.7), sidecars: Some(4), servers: Some(6) };
    assert_eq!((line.experiment.as_str(), line.scenario.as_str()), ("stored", "stored-day"));
    assert_eq!((line.variant.as_str(), line.point, line.seed), ("registry", point, 1));
    let figures = &line.figures;
    let stored: Value = read(text(EXPERIMENT_LINES).lines().next().expect("a line"));
    let value = |path: &str| stored.pointer(path).unwrap_or_else(|| panic!("{path} is missing")).clone();
    for (path, measured) in [
        ("/figures/g", figures.score),
        ("/figures/whole", figures.whole_run),
        ("/figures/worst_window", figures.worst_window),
        ("/figures/worst_class", figures.worst_class),
        ("/figures/worst_tenant", figures.worst_tenant),
        ("/figures/late", figures.late),
        ("/figures/refused", figures.refused),
        ("/figures/failed", figures.failed),
        ("/figures/tries", figures.tries),
        ("/figures/attempts", figures.attempts),
        ("/figures/crossed", figures.cross_zone),
        ("/figures/handshakes", figures.handshakes),
        ("/figures/wasted", figures.wasted),
        ("/figures/latency_ms/1", figures.latency_ms[1]),
        ("/figures/staleness_ms/2", figures.staleness_ms[2]),
        ("/figures/told_after_ms/0", figures.notified_after_ms[0]),
        ("/figures/told_last_ms/2", figures.last_notified_ms[2]),
        ("/figures/classes/0/in_time", figures.classes[0].in_time),
        ("/figures/classes/0/latency_ms/0", figures.classes[0].latency_ms[0]),
        ("/figures/windows/0/worth", figures.windows[0].worth),
        ("/figures/windows/0/served", figures.windows[0].worth_earned),
        ("/figures/windows/0/p50_ms", figures.windows[0].p50_ms),
        ("/figures/windows/0/p99_ms", figures.windows[0].p99_ms),
        ("/figures/windows/0/p999_ms", figures.windows[0].p999_ms),
        ("/figures/windows/0/staleness_ms", figures.windows[0].staleness_ms),
    ] {
        assert_eq!(value(path).as_f64(), Some(measured), "{path}");
    }
    for (path, counted) in [
        ("/figures/asked", figures.requests),
        ("/figures/tipped", figures.overload_crashes),
        ("/figures/list_calls", figures.list_polls),
        ("/figures/turned_away", figures.throttled_polls),
        ("/figures/held_back", figures.withheld_lists),
        ("/figures/events", figures.events),
        ("/figures/digest", figures.digest),
        ("/figures/classes/0/asked", figures.classes[0].requests),
        ("/figures/windows/0/asked", figures.windows[0].requests),
        ("/figures/windows/0/in_time", figures.windows[0].in_time),
        ("/figures/windows/0/late", figures.windows[0].late),
        ("/figures/windows/0/refused", figures.windows[0].refused),
        ("/figures/windows/0/failed", figures.windows[0].failed),
        ("/figures/windows/0/tries", figures.windows[0].tries),
        ("/figures/windows/0/refusals", figures.windows[0].refusals),
        ("/figures/windows/0/attempts", figures.windows[0].attempts),
        ("/figures/windows/0/crossed", figures.windows[0].cross_zone),
        ("/figures/windows/0/handshakes", figures.windows[0].handshakes),
        ("/figures/windows/0/connections", figures.windows[0].connections),
    ] {
        assert_eq!(value(path).as_u64(), Some(counted), "{path}");
    }
    assert_eq!(value("/figures/classes/0/name").as_str(), Some(figures.classes[0].name.as_str()));
    assert_eq!(value("/figures/broken"), serde_json::to_value(&figures.violations).expect("counts"));
}

#[test]
fn experiment_line_without_the_registry_keys_is_read() {
    let stored = text(EXPERIMENT_LINES);
    let mut older: Value = read(stored.lines().next().expect("a line"));
    let figures = older["figures"].as_object_mut().expect("figures");
    for added_later in ["told_after_ms", "told_last_ms", "list_calls", "turned_away", "held_back"] {
        assert!(figures.remove(added_later).is_some(), "{added_later}");
    }
    older["point"] = read("{}");
    let line: RunResult = serde_json::from_value(older).expect("the older form can be read");
    let newer: RunResult = read(stored.lines().next().expect("a line"));
    let expected = Figures {
        notified_after_ms: [0.0; 3],
        last_notified_ms: [0.0; 3],
        list_polls: 0,
        throttled_polls: 0,
        withheld_lists: 0,
        ..newer.figures
    };
    assert_eq!((line.point, line.figures), (Point::default(), expected));
}

/// The names of figures in `--measure` and in experiment files.
#[test]
fn names_of_measures_are_stable() {
    let (lines, _) = Results::read(&fixture(EXPERIMENT_LINES)).expect("the lines can be read");
    let figures = &lines[0].figures;
    let named = [
        ("g", figures.score),
        ("whole", figures.whole_run),
        ("worst_window", figures.worst_window),
        ("worst_class", figures.worst_class),
        ("worst_tenant", figures.worst_tenant),
        ("late", figures.late),
        ("refused", figures.refused),
        ("failed", figures.failed),
        ("tries", figures.tries),
        ("attempts", figures.attempts),
        ("crossed", figures.cross_zone),
        ("handshakes", figures.handshakes),
        ("wasted", figures.wasted),
        ("tipped", figures.overload_crashes as f64),
        ("p50_ms", figures.latency_ms[0]),
        ("p99_ms", figures.latency_ms[1]),
        ("p999_ms", figures.latency_ms[2]),
        ("staleness_p99_ms", figures.staleness_ms[1]),
        ("told_after_p99_ms", figures.notified_after_ms[1]),
        ("told_last_p50_ms", figures.last_notified_ms[0]),
        ("told_last_p99_ms", figures.last_notified_ms[1]),
        ("told_last_most_ms", figures.last_notified_ms[2]),
        ("broken", figures.violations.values().sum::<u64>() as f64),
    ];
    for (name, value) in named {
        assert_eq!(measure(name, figures), Some(value), "{name}");
    }
    assert_eq!(measures().collect::<Vec<_>>(), named.map(|(name, _)| name));
}

// ---- Soak and sweep ----

/// The behaviour of a test server, with no field at its default.
fn full_conduct() -> Conduct {
    Conduct {
        work_us: 30_000,
        first_byte_us: 400_000,
        errors: 0.7,
        turns_away: true,
        silent: true,
        resets: 0.6,
        halves: 0.25,
        idle_us: 150_000,
    }
}

/// A plan with every kind of fault and every kind of faulty link.
fn plan_with_all_faults() -> Plan {
    let link = |kind| Fault::Link { sidecar: 2, server: 3, kind };
    let faults = [
        Fault::KillSidecar(1),
        Fault::StopSidecar(2),
        Fault::StopSidecars(vec![3, 4, 5]),
        Fault::ReloadSidecar { sidecar: 6, twice: true, unreadable_ms: 300 },
        Fault::PauseSidecar(7),
        Fault::FailSystemCalls { sidecar: 8, call: 3, errno: errno::EINTR, every: 4 },
        Fault::StepWallClock { sidecar: 9, ahead_us: -3_600_000_000 },
        Fault::DrainServer(1),
        Fault::KillServer(2),
        Fault::PauseServer(3),
        Fault::Misbehaves { server: 4, conduct: full_conduct() },
        Fault::DiscoveryOutage,
        link(LinkKind::Cut),
        link(LinkKind::CutResponses),
        link(LinkKind::Slow),
        link(LinkKind::Narrow),
        link(LinkKind::HalfOpen),
        link(LinkKind::Stalls),
        Fault::ResetConnections(5),
        Fault::HandOver(6),
        Fault::Cordon { sidecar: 7, server: 0 },
        Fault::DrainSidecar(8),
        Fault::MalformedClients { sidecar: 9, count: 29 },
    ];
    let window = |(number, fault): (usize, Fault)| {
        let number = number as u64;
        FaultWindow { at_ms: 500 + 15 * number, lasts_ms: 200 + number, fault }
    };
    Plan {
        seed: 17,
        sidecars: 12,
        servers: 7,
        registry_replicas: 3,
        zones: 2,
        pushed_lists: true,
        client_timeout_ms: 1_500,
        dedup_window_ms: 7_500,
        rate: 12.0,
        early_close_share: 0.3,
        body_share: 0.8,
        work_us: 10_000,
        idle_us: 30_000,
        cores: 2,
        socket_passing: true,
        memory_mb: 64,
        small_buffers: false,
        windows: faults.into_iter().enumerate().map(window).collect(),
    }
}

#[test]
fn soak_plan_round_trips_to_the_same_text() {
    let stored = text(SOAK_PLAN);
    let plan: Plan = read(&stored);
    assert_eq!(plan, plan_with_all_faults());
    assert_eq!(json(&plan), stored);
}

#[test]
fn soak_plan_without_newer_keys_is_read_with_their_defaults() {
    let mut older: Value = read(&text(SOAK_PLAN));
    let keys = older.as_object_mut().expect("a plan");
    for added_later in ["bodies", "idle_us", "cores", "passed"] {
        assert!(keys.remove(added_later).is_some(), "{added_later}");
    }
    let plan: Plan = serde_json::from_value(older).expect("the older form can be read");
    let expected =
        Plan { body_share: 0.0, idle_us: 0, cores: 64, socket_passing: false, ..plan_with_all_faults() };
    assert_eq!(plan, expected);
}

#[test]
fn soak_line_has_the_plan_generated_from_its_seed() {
    let line: Value = read(text(SOAK_LINE).trim_end());
    let keys: Vec<_> = line.as_object().expect("a line").keys().map(String::as_str).collect();
    assert_eq!(keys, ["attempts", "cold_load", "passed", "plan", "requests", "seed", "served", "strangers"]);
    let seed = line["seed"].as_u64().expect("a seed");
    let plan: Plan = serde_json::from_value(line["plan"].clone()).expect("a plan");
    assert_eq!(plan, Plan::draw(seed));
    assert_eq!(serde_json::to_value(&plan).expect("the value can be written"), line["plan"]);
}

#[test]
fn cases_in_sweep_lines_round_trip() {
    let lines: Vec<Value> = text(SWEEP_LINES).lines().map(read).collect();
    let cases: Vec<Case> = lines
        .iter()
        .map(|line| {
            let keys: Vec<_> = line.as_object().expect("a line").keys().map(String::as_str).collect();
            assert_eq!(keys, ["case", "failure", "passed"]);
            let case: Case = serde_json::from_value(line["case"].clone()).expect("a case");
            assert_eq!(serde_json::to_value(case).expect("the value can be written"), line["case"]);
            case
        })
        .collect();
    let displayed: Vec<_> = cases.iter().map(ToString::to_string).collect();
    assert!(
        displayed.iter().any(|case| case.ends_with(&format!(": error {}", errno_of(&lines[0])))),
        "{displayed:?}"
    );
    assert!(displayed.iter().any(|case| case.contains("and all after it for 500 ms")), "{displayed:?}");
    assert!(displayed.iter().any(|case| !case.contains("and all after it")), "{displayed:?}");
}

fn errno_of(line: &Value) -> i64 {
    line["case"]["errno"].as_i64().expect("an error")
}

#[test]
fn sweep_case_round_trips_to_the_same_text_and_is_displayed_as_before() {
    for (stored, description) in [
        (r#"{"call":9,"errno":28,"number":7,"extent":"once"}"#, "number 7: error 28"),
        (
            r#"{"call":0,"errno":4,"number":1,"extent":"for_a_while"}"#,
            "number 1 and all after it for 500 ms: error 4",
        ),
    ] {
        let case: Case = read(stored);
        assert_eq!(json(&case), stored);
        assert_eq!(case.to_string(), format!("{} {description}", case.call()));
    }
    assert_eq!(read::<Case>(r#"{"call":9,"errno":28,"number":7,"extent":"once"}"#).call(), Call::Write);
    assert_eq!(read::<Case>(r#"{"call":0,"errno":4,"number":1,"extent":"once"}"#).call(), Call::Accept);
}

// ---- Processes of the harness ----

fn backend_events() -> Vec<BackendEvent> {
    let keyed = ReceivedRequest {
        number: 4,
        id: "r-17".to_owned(),
        method: "POST".to_owned(),
        key: Some("5c0f6e1a".to_owned()),
        received_at: (1_790_000_000_000_001, 1_790_000_000_000_250),
        stale: true,
        time_left: Some(19_000_000),
    };
    let plain = ReceivedRequest {
        key: None,
        stale: false,
        time_left: None,
        method: "GET".to_owned(),
        ..keyed.clone()
    };
    let served = EndedRequest {
        number: 4,
        at: 1_790_000_000_005_000,
        executed: true,
        status: Some(200),
        body: Some("ledger-1 r-17".to_owned()),
    };
    let lost = EndedRequest { executed: false, status: None, body: None, ..served.clone() };
    vec![
        BackendEvent::Received(keyed),
        BackendEvent::Received(plain),
        BackendEvent::Ended(served),
        BackendEvent::Ended(lost),
    ]
}

fn delivered_versions() -> Vec<DeliveredVersion> {
    vec![DeliveredVersion { sidecar: 11, index: 42, at: 1_790_000_000_000_003 }]
}

fn discovery_list() -> Vec<ServerEntry> {
    vec![ServerEntry {
        name: "ledger-1".to_owned(),
        zone: "a".to_owned(),
        status: "leaving".to_owned(),
        since_ms: 1_790_000_000_123,
        addresses: vec![address("127.0.0.1:8001"), address("[::1]:8002")],
    }]
}

#[test]
fn records_of_servers_and_discovery_round_trip_to_the_same_text() {
    assert_eq!(read_lines::<BackendEvent>(BACKEND_EVENTS), backend_events());
    assert_eq!(read_lines::<DeliveredVersion>(DELIVERED_VERSIONS), delivered_versions());
    let older = text(BACKEND_EVENTS).lines().nth(1).expect("a line").replace(r#","told":null"#, "");
    assert_eq!(read::<BackendEvent>(&older), backend_events()[1], "as written before `told` was added");
}

#[test]
fn input_of_servers_and_discovery_round_trips_to_the_same_text() {
    assert_eq!(read_lines::<Conduct>(BACKEND_CONDUCT), [full_conduct()]);
    assert_eq!(read_lines::<Vec<ServerEntry>>(DISCOVERY_LIST), [discovery_list()]);
    assert_eq!(read::<Conduct>("{}"), Conduct::default());
    assert!(serde_json::from_str::<Conduct>(r#"{"unknown":1}"#).is_err());
}

fn hollow_assignment() -> Assignment {
    let lease = LeasedServer {
        name: "ledger-1".to_owned(),
        lease_ms: 6_000,
        body: r#"{"address":"127.0.0.1:80"}"#.to_owned(),
    };
    Assignment {
        replicas: vec![address("127.0.0.1:7001"), address("127.0.0.1:7002")],
        sources: vec![[127, 0, 0, 2].into()],
        control: address("127.0.0.1:7100"),
        sidecars: vec![
            HollowSidecar { seed: 5, services: vec!["ledger".to_owned()], lease: Some(lease) },
            HollowSidecar { seed: 6, services: Vec::new(), lease: None },
        ],
    }
}

fn hollow_status() -> Status {
    Status { sidecars: 1, with_list: 2, failing: 3, oldest_outcome: 4, lowest_index: 5, polling: 6 }
}

fn hollow_activity() -> Activity {
    Activity {
        applied: vec![(1, 2, 3)],
        recoveries: vec![(4, 5)],
        responses: vec![6, 7],
        snapshots: vec![8, 9],
        bytes: vec![10, 11],
        failed_polls: 12,
        renewals: 13,
        regressions: 14,
    }
}

#[test]
fn messages_to_and_from_hollow_sidecars_round_trip_to_the_same_text() {
    assert_eq!(json(&read_lines::<Assignment>(HOLLOW_ASSIGNMENT)), json(&[hollow_assignment()]));
    let requests = json(&[
        ControlRequest::Status,
        ControlRequest::TakeActivity,
        ControlRequest::ResetConnections,
        ControlRequest::List(3),
    ]);
    assert_eq!(json(&read_lines::<ControlRequest>(HOLLOW_REQUESTS)), requests);
    assert_eq!(read_lines::<Status>(HOLLOW_STATUS), [hollow_status()]);
    assert_eq!(json(&read_lines::<Activity>(HOLLOW_ACTIVITY)), json(&[hollow_activity()]));
}
