//! `lotusmoor fleet capacity` as an operator meets it.

use std::path::Path;
use std::process::{Command, Output};

const PLAN: &str = "../../experiments/scale/letter.toml";

fn lotusmoor(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).args(args).env_remove("LOTUSMOOR_LOG");
    command.output().expect("it starts")
}

fn said(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn the_page_is_the_commands_output() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name).to_string_lossy().into_owned();
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let (page, plot) = (path("page.md"), path("plot.svg"));
    std::fs::copy(source.join("CAPACITY.md"), &page).expect("it is copied");
    let done = said(&lotusmoor(&["fleet", "capacity", PLAN, "--page", &page, "--plot", &plot]));
    assert_eq!((done.0, done.1.as_str()), (Some(0), ""), "{}", done.2);
    for (written, kept) in [(&page, "CAPACITY.md"), (&plot, "capacity.svg")] {
        let [written, kept] =
            [Path::new(written), &source.join(kept)].map(|p| std::fs::read_to_string(p).expect("a file"));
        assert!(
            written == kept,
            "the page is not what the command writes: see its beginning for the command"
        );
    }
    // Every table that is printed stands in the page as it is.
    let (code, printed, _) = said(&lotusmoor(&["fleet", "capacity", PLAN]));
    let kept = std::fs::read_to_string(&page).expect("a file");
    let tables: Vec<&str> =
        printed.split("## ").skip(1).filter_map(|t| t.split_once("\n\n")).map(|t| t.1).collect();
    assert!(code == Some(0) && tables.len() >= 10);
    for table in tables {
        assert!(kept.contains(table.trim_end()), "{table}");
    }
}

#[test]
fn what_is_wrong_is_told_by_file_and_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name).to_string_lossy().into_owned();
    let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(PLAN)).expect("the plan");
    let (plan, wrong, page) = (path("plan.toml"), path("wrong.toml"), path("page.md"));
    std::fs::write(&plan, &text).expect("it is written");
    std::fs::write(&wrong, text.replacen("zones = {", "zoned = {", 1)).expect("it is written");
    let (code, out, _) = said(&lotusmoor(&["check", &plan]));
    assert!(code == Some(0) && out.contains("capacity plan letter, fine"), "{out}");
    for command in [&["check", &wrong][..], &["fleet", "capacity", &wrong]] {
        let (code, _, error) = said(&lotusmoor(command));
        let wanted = ["wrong.toml", "line", "zoned"];
        assert!(code == Some(1) && wanted.iter().all(|w| error.contains(w)), "{error}");
    }
    std::fs::write(&page, "\n<!-- tables: moods -->\n<!-- end -->\n").expect("it is written");
    let (code, _, error) = said(&lotusmoor(&["fleet", "capacity", &plan, "--page", &page]));
    assert!(code == Some(1) && error.contains("page.md: line 2: there is no table moods"), "{error}");
    std::fs::create_dir(folder.path().join("results")).expect("it is made");
    std::fs::write(folder.path().join("results/a.jsonl"), "{}\n").expect("it is written");
    for command in [&["check", &plan][..], &["fleet", "capacity", &plan]] {
        let (code, _, error) = said(&lotusmoor(command));
        assert!(code == Some(1) && error.contains("a.jsonl: line 1"), "{error}");
    }
}

#[test]
fn help_has_examples() {
    let (code, out, _) = said(&lotusmoor(&["fleet", "capacity", "--help"]));
    assert!(code == Some(0) && out.contains("Examples") && out.contains("--plot"), "{out}");
}
