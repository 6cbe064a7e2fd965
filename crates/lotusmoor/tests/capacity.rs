//! End-to-end tests of `lotusmoor fleet capacity`.

use std::path::Path;
use std::process::{Command, Output};

const PLAN: &str = "../../experiments/scale/letter.toml";

fn lotusmoor(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).args(args).env_remove("LOTUSMOOR_LOG");
    command.output().expect("the command runs")
}

fn exit_code_and_output(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn checked_in_page_and_plot_equal_the_output() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let path = |name: &str| folder.path().join(name).to_string_lossy().into_owned();
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let (page, plot) = (path("page.md"), path("plot.svg"));
    std::fs::copy(source.join("CAPACITY.md"), &page).expect("the file is copied");
    let result =
        exit_code_and_output(&lotusmoor(&["fleet", "capacity", PLAN, "--page", &page, "--plot", &plot]));
    assert_eq!((result.0, result.1.as_str()), (Some(0), ""), "{}", result.2);
    for (written, checked_in) in [(&page, "CAPACITY.md"), (&plot, "capacity.svg")] {
        let [written, checked_in] = [Path::new(written), &source.join(checked_in)]
            .map(|p| std::fs::read_to_string(p).expect("the file is read"));
        assert!(
            written == checked_in,
            "docs/CAPACITY.md or its plot is out of date: the head of the page names the command that writes them"
        );
    }
    // The page contains each printed table verbatim.
    let (code, printed, _) = exit_code_and_output(&lotusmoor(&["fleet", "capacity", PLAN]));
    let page = std::fs::read_to_string(&page).expect("the file is read");
    let tables: Vec<&str> =
        printed.split("## ").skip(1).filter_map(|t| t.split_once("\n\n")).map(|t| t.1).collect();
    assert!(code == Some(0) && tables.len() >= 10);
    for table in tables {
        assert!(page.contains(table.trim_end()), "{table}");
    }
}

#[test]
fn errors_name_file_and_line() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let path = |name: &str| folder.path().join(name).to_string_lossy().into_owned();
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(PLAN)).expect("the plan is read");
    let (plan, wrong, page) = (path("plan.toml"), path("wrong.toml"), path("page.md"));
    std::fs::write(&plan, &text).expect("the file is written");
    std::fs::write(&wrong, text.replacen("zones = {", "zoned = {", 1)).expect("the file is written");
    let (code, out, _) = exit_code_and_output(&lotusmoor(&["check", &plan]));
    assert!(code == Some(0) && out.contains("capacity plan letter, fine"), "{out}");
    for command in [&["check", &wrong][..], &["fleet", "capacity", &wrong]] {
        let (code, _, error) = exit_code_and_output(&lotusmoor(command));
        let expected = ["wrong.toml", "line", "zoned"];
        assert!(code == Some(1) && expected.iter().all(|part| error.contains(part)), "{error}");
    }
    std::fs::write(&page, "\n<!-- tables: moods -->\n<!-- end -->\n").expect("the file is written");
    let (code, _, error) = exit_code_and_output(&lotusmoor(&["fleet", "capacity", &plan, "--page", &page]));
    assert!(code == Some(1) && error.contains("page.md: line 2: there is no table moods"), "{error}");
    std::fs::create_dir(folder.path().join("results")).expect("the directory is created");
    std::fs::write(folder.path().join("results/a.jsonl"), "{}\n").expect("the file is written");
    for command in [&["check", &plan][..], &["fleet", "capacity", &plan]] {
        let (code, _, error) = exit_code_and_output(&lotusmoor(command));
        assert!(code == Some(1) && error.contains("a.jsonl: line 1"), "{error}");
    }
}

#[test]
fn help_contains_examples() {
    let (code, out, _) = exit_code_and_output(&lotusmoor(&["fleet", "capacity", "--help"]));
    assert!(code == Some(0) && out.contains("Examples") && out.contains("--plot"), "{out}");
}
