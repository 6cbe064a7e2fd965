//! Results of scale runs on disk, and the driver that times the decision module alone.

use lotusmoor_fleet::scale::decision_cost;
use lotusmoor_fleet::scale::lines::{Line, Lines, LinesError, Mode, Role, StepSizes, Sweep};
use std::io::Write;
use std::time::Duration;

fn line(step: u32) -> Line {
    let mut line = Line {
        sweep: Sweep::SidecarListed,
        mode: Mode::Whole,
        step,
        at: StepSizes { hollow: 0, listed: 100, changes_per_s: 1.0, services: 0 },
        role: Role::Sidecar,
        event: None,
        seconds: 1.0,
        measured: Default::default(),
        failed: None,
        seed: 1,
        commit: "unknown".into(),
    };
    line.set("rss_bytes", 1e7);
    line.set("added_us_p50", f64::NAN);
    line
}

#[test]
fn lines_come_back_as_they_were_written_and_in_the_words_of_the_format() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("lines.jsonl");
    let mut lines = Lines::create(&path).expect("it is new");
    let failed = Line { failed: Some("as told".into()), event: Some("steady".into()), ..line(2) };
    for written in [&line(1), &failed] {
        lines.add(written).expect("it is written");
    }
    assert_eq!(Lines::read(&path).expect("it is read"), [line(1), failed]);
    let text = std::fs::read_to_string(&path).expect("it is read");
    let wanted = r#"{"sweep":"sidecar_listed","mode":"whole","step":1,"at":{"hollow":0,"listed":100,"changes_per_s":1.0,"services":0},"role":"sidecar","seconds":1.0,"measured":{"rss_bytes":10000000.0},"seed":1,"commit":"unknown"}"#;
    assert_eq!(text.lines().next(), Some(wanted));
}

#[test]
fn a_file_that_is_there_is_refused_a_torn_end_left_out_and_a_wrong_line_named() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("lines.jsonl");
    Lines::create(&path).and_then(|mut lines| lines.add(&line(1))).expect("it is written");
    assert!(matches!(Lines::create(&path), Err(LinesError::Io { .. })));
    let append = |text: &str| {
        let mut file = std::fs::File::options().append(true).open(&path).expect("it opens");
        file.write_all(text.as_bytes()).expect("it is written");
    };
    append("{\"sweep\":\"sidecar_li");
    assert_eq!(Lines::read(&path).expect("it is read up to the tear"), [line(1)]);
    append("\n");
    let error = Lines::read(&path).expect_err("a whole line is wrong");
    assert!(matches!(error, LinesError::Line { line: 2, .. }), "{error}");
}

#[test]
fn each_request_gets_its_attempt_from_the_module_at_once() {
    for listed in [1, 7, 50, 300] {
        let cost = decision_cost::measure(listed, 200.0, Duration::from_millis(20), 1).expect("it runs");
        assert!(cost.requests >= 400, "{listed} listed: {}", cost.requests);
        assert_eq!((cost.sent, cost.answered), (cost.requests, cost.requests), "{listed} listed");
        assert_eq!(cost.decision.len(), cost.requests - 200, "{listed} listed");
        assert!(cost.decision.min() > 0 && cost.list_ns > 0.0 && cost.change_ns > 0.0 && cost.end_ns > 0.0);
    }
}

#[test]
fn the_driver_ends_also_where_no_server_is_listed() {
    let cost = decision_cost::measure(0, 200.0, Duration::from_millis(20), 1).expect("it runs");
    assert!(cost.requests >= 400);
    assert_eq!((cost.sent, cost.answered), (0, 0));
}
