//! End-to-end tests of the command line: exit codes, messages, truncated files and interrupted runs.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn lotusmoor(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    command.args(args).env_remove("LOTUSMOOR_LOG").output().expect("the command runs")
}

fn exit_code_and_output(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

fn write_file(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::File::create(&path).and_then(|mut f| f.write_all(text.as_bytes())).expect("the file is written");
    path
}

const EXPERIMENT: &str = "
name = \"e\"
scenarios = [\"small\"]
seeds = 12
[[variant]]
name = \"m\"
policy = \"module\"
[[variant]]
name = \"t\"
policy = \"true_state\"
[sweep]
load = [0.5, 0.9]
";

#[test]
fn usage_errors_and_failures_have_different_exit_codes() {
    let (code, _, error) = exit_code_and_output(&lotusmoor(&["fleet", "fly"]));
    assert!(code == Some(2) && error.contains("fly"), "{error}");
    let (code, _, error) = exit_code_and_output(&lotusmoor(&["fleet", "run", "no-such-scenario.toml"]));
    assert!(code == Some(1) && error.contains("no-such-scenario.toml"), "{error}");
    let (code, _, error) = exit_code_and_output(&lotusmoor(&["--log", "][", "fleet", "run", "small"]));
    assert!(code == Some(2) && error.contains("--log"), "{error}");
    let (code, out, _) = exit_code_and_output(&lotusmoor(&["--version"]));
    assert!(code == Some(0) && out.starts_with("lotusmoor "));
    for command in [&["--help"][..], &["fleet", "run", "--help"], &["fleet", "compare", "--help"]] {
        let (code, out, _) = exit_code_and_output(&lotusmoor(command));
        assert!(code == Some(0) && out.contains("Examples"), "{out}");
    }
    let (code, out, _) = exit_code_and_output(&lotusmoor(&["completions", "bash"]));
    assert!(code == Some(0) && out.contains("_lotusmoor"));
}

#[test]
fn invalid_file_is_reported_with_file_line_and_key() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    for (name, text, expected) in [
        ("a.toml", "name = \"a\"\nlength = 3\n", &["a.toml", "line 2", "length"][..]),
        (
            "b.toml",
            "name = \"b\"\nlength_s = 3\nsidecars = 1\nservers = 0\nload = 1\n",
            &["b.toml", "servers"],
        ),
        ("c.toml", &EXPERIMENT.replace("true_state", "psychic"), &["c.toml", "variant t: policy", "psychic"]),
        (
            "d.toml",
            &EXPERIMENT.replace("seeds = 12", "seeds = 12\nmeasures = [\"beauty\"]"),
            &["beauty", "refused"],
        ),
        ("e.toml", &EXPERIMENT.replace("load = [0.5", "load = [-0.5"), &["e.toml", "sweep.load"]),
    ] {
        let path = write_file(folder.path(), name, text);
        let (code, _, error) = exit_code_and_output(&lotusmoor(&["check", &path.to_string_lossy()]));
        assert_eq!(code, Some(1), "{name}");
        assert!(expected.iter().all(|part| error.contains(part)), "{name}: {error}");
    }
    let valid = write_file(folder.path(), "fine.toml", EXPERIMENT);
    assert_eq!(exit_code_and_output(&lotusmoor(&["check", &valid.to_string_lossy()])).0, Some(0));
}

#[test]
fn same_seed_gives_same_output() {
    let run = |seed: &str| {
        let (code, out, error) =
            exit_code_and_output(&lotusmoor(&["fleet", "run", "small", "--seed", seed, "--json"]));
        assert_eq!(code, Some(0), "{error}");
        out
    };
    assert_eq!(run("5"), run("5"));
    assert_ne!(run("5"), run("6"));
}

#[test]
fn killed_experiment_resumes_from_its_results() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let experiment = write_file(folder.path(), "e.toml", EXPERIMENT);
    let results = folder.path().join("r.jsonl");
    let args = [
        "fleet",
        "experiment",
        &experiment.to_string_lossy(),
        "--results",
        &results.to_string_lossy(),
        "--cores",
        "1",
    ];
    let line_count = || std::fs::read_to_string(&results).map(|t| t.lines().count()).unwrap_or(0);
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    let mut child =
        command.args(args).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the process starts");
    let deadline = Instant::now() + Duration::from_secs(60);
    while line_count() < 3 {
        assert!(Instant::now() < deadline, "no results were written within 60 s");
        std::thread::sleep(Duration::from_millis(1));
    }
    child.kill().expect("the process is killed");
    child.wait().expect("the process exits");
    let content = std::fs::read(&results).expect("the file is read");
    let complete_lines = content.iter().filter(|b| **b == b'\n').count();
    // Truncates the last line.
    std::fs::write(&results, &content[..content.len() - 7]).expect("the file is written");
    let (code, out, error) = exit_code_and_output(&lotusmoor(&args));
    assert_eq!(code, Some(0), "{error}");
    let remaining = if content.ends_with(b"\n") { complete_lines - 1 } else { complete_lines };
    assert!(out.contains(&format!("{} runs played, {remaining} had results", 48 - remaining)), "{out}");
    assert_eq!(line_count(), 48);
    let compare = ["fleet", "compare", &results.to_string_lossy(), "--base", "m", "--other", "t"];
    let (code, out, _) = exit_code_and_output(&lotusmoor(&compare));
    assert!(code == Some(0) && out.contains("small load 0.5") && out.contains("12 pairs"), "{out}");
    let page = folder.path().join("r.html");
    let report = ["fleet", "report", &results.to_string_lossy(), "--out", &page.to_string_lossy()];
    assert_eq!(exit_code_and_output(&lotusmoor(&report)).0, Some(0));
    assert!(std::fs::read_to_string(&page).is_ok_and(|p| p.contains("<svg")));
}

// The simulator adapter contains the same balancing module, so a run through its protocol must make the same decisions
// as the module that runs inside the simulator process.
#[test]
fn adapter_decides_as_the_in_process_module() {
    let adapter = Path::new(env!("CARGO_BIN_EXE_lotusmoor")).with_file_name("lotusmoor-simulator-adapter");
    assert!(adapter.is_file(), "{} is not built: build the whole workspace", adapter.display());
    let digest = |policy: &str| {
        let (code, out, error) =
            exit_code_and_output(&lotusmoor(&["fleet", "run", "small", "--seed", "2", "--policy", policy]));
        assert_eq!(code, Some(0), "{error}");
        out.split("digest ").nth(1).expect("a digest").trim().to_owned()
    };
    assert_eq!(digest("module"), digest(&format!("adapter:{}", adapter.display())));
}

/// Ids of the child processes of `pid`.
fn children(pid: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").expect("the directory is listed");
    let ids = all.filter_map(|e| e.ok()?.file_name().to_str()?.parse::<u32>().ok());
    let parent = |id: &u32| {
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        text.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    ids.filter(|id| parent(id) == Some(pid)).collect()
}

#[test]
fn killed_load_run_leaves_no_child_process() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    command.args(["fleet", "load", "--seconds", "30", "--rate", "20", "--connections", "5"]);
    let mut child = command.stdout(Stdio::null()).spawn().expect("the process starts");
    let wait = |condition: &dyn Fn() -> bool| {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !condition() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    // Between fork and exec, a child still has the parent's name.
    let program_name = |id: &u32| std::fs::read_to_string(format!("/proc/{id}/comm")).unwrap_or_default();
    let has_sidecar = || children(child.id()).iter().any(|id| program_name(id).trim() == "lotusmoor-sidec");
    wait(&has_sidecar);
    let (sidecar_started, started) = (has_sidecar(), children(child.id()));
    child.kill().expect("the process is killed");
    child.wait().expect("the process exits");
    let remaining = || -> Vec<u32> {
        started.iter().copied().filter(|id| Path::new(&format!("/proc/{id}")).exists()).collect()
    };
    wait(&|| remaining().is_empty());
    let remaining = remaining();
    for id in &remaining {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
    assert!(sidecar_started, "no sidecar was started");
    assert_eq!(remaining, Vec::<u32>::new(), "child processes remain");
}
