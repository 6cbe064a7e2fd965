//! Stored results of scale runs, and the driver that times the decision module alone.

use lotusmoor_fleet::scale::decision_cost;
use lotusmoor_fleet::scale::results::{Mode, Record, ResultFile, ResultFileError, Role, StepSizes, Sweep};
use std::io::Write;
use std::time::Duration;

fn line(step: u32) -> Record {
    let mut line = Record {
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
fn lines_are_read_as_written_and_have_the_expected_text() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("lines.jsonl");
    let mut lines = ResultFile::create(&path).expect("the file is new");
    let failed = Record { failed: Some("as told".into()), event: Some("steady".into()), ..line(2) };
    for written in [&line(1), &failed] {
        lines.add(written).expect("the line is written");
    }
    assert_eq!(ResultFile::read(&path).expect("the lines are read"), [line(1), failed]);
    let text = std::fs::read_to_string(&path).expect("the file is read");
    let wanted = r#"{"sweep":"sidecar_listed","mode":"whole","step":1,"at":{"hollow":0,"listed":100,"changes_per_s":1.0,"services":0},"role":"sidecar","seconds":1.0,"measured":{"rss_bytes":10000000.0},"seed":1,"commit":"unknown"}"#;
    assert_eq!(text.lines().next(), Some(wanted));
}

#[test]
fn existing_file_is_not_overwritten_truncated_line_is_ignored_and_invalid_line_is_named() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("lines.jsonl");
    ResultFile::create(&path).and_then(|mut lines| lines.add(&line(1))).expect("the line is written");
    assert!(matches!(ResultFile::create(&path), Err(ResultFileError::Io { .. })));
    let append = |text: &str| {
        let mut file = std::fs::File::options().append(true).open(&path).expect("the file opens");
        file.write_all(text.as_bytes()).expect("the text is appended");
    };
    append("{\"sweep\":\"sidecar_li");
    assert_eq!(ResultFile::read(&path).expect("the truncated line is ignored"), [line(1)]);
    append("\n");
    let error = ResultFile::read(&path).expect_err("a complete line is invalid");
    assert!(matches!(error, ResultFileError::Line { line: 2, .. }), "{error}");
}

#[test]
fn decision_module_sends_each_request_immediately() {
    for listed in [1, 7, 50, 300] {
        let cost =
            decision_cost::measure(listed, 200.0, Duration::from_millis(20), 1).expect("the driver runs");
        assert!(cost.requests >= 400, "{listed} listed: {}", cost.requests);
        assert_eq!((cost.sent, cost.answered), (cost.requests, cost.requests), "{listed} listed");
        assert_eq!(cost.decision.len(), cost.requests - 200, "{listed} listed");
        assert!(cost.decision.min() > 0 && cost.list_ns > 0.0 && cost.change_ns > 0.0 && cost.end_ns > 0.0);
    }
}

#[test]
fn driver_ends_even_if_no_server_is_listed() {
    let cost = decision_cost::measure(0, 200.0, Duration::from_millis(20), 1).expect("the driver runs");
    assert!(cost.requests >= 400);
    assert_eq!((cost.sent, cost.answered), (0, 0));
}
