//! The command line as an operator meets it: exit codes, messages, files that are torn, and runs that are interrupted.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn lotusmoor(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    command.args(args).env_remove("LOTUSMOOR_LOG").output().expect("it starts")
}

fn said(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

fn file(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::File::create(&path).and_then(|mut f| f.write_all(text.as_bytes())).expect("it is written");
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
fn wrong_use_is_told_from_failure() {
    let (code, _, error) = said(&lotusmoor(&["fleet", "fly"]));
    assert!(code == Some(2) && error.contains("fly"), "{error}");
    let (code, _, error) = said(&lotusmoor(&["fleet", "run", "no-such-scenario.toml"]));
    assert!(code == Some(1) && error.contains("no-such-scenario.toml"), "{error}");
    let (code, _, error) = said(&lotusmoor(&["--log", "][", "fleet", "run", "small"]));
    assert!(code == Some(2) && error.contains("--log"), "{error}");
    let (code, out, _) = said(&lotusmoor(&["--version"]));
    assert!(code == Some(0) && out.starts_with("lotusmoor "));
    for command in [&["--help"][..], &["fleet", "run", "--help"], &["fleet", "compare", "--help"]] {
        let (code, out, _) = said(&lotusmoor(command));
        assert!(code == Some(0) && out.contains("Examples"), "{out}");
    }
    let (code, out, _) = said(&lotusmoor(&["completions", "bash"]));
    assert!(code == Some(0) && out.contains("_lotusmoor"));
}

#[test]
fn a_wrong_file_is_told_by_file_line_and_key() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, text, wanted) in [
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
        let path = file(folder.path(), name, text);
        let (code, _, error) = said(&lotusmoor(&["check", &path.to_string_lossy()]));
        assert_eq!(code, Some(1), "{name}");
        assert!(wanted.iter().all(|w| error.contains(w)), "{name}: {error}");
    }
    let fine = file(folder.path(), "fine.toml", EXPERIMENT);
    assert_eq!(said(&lotusmoor(&["check", &fine.to_string_lossy()])).0, Some(0));
}

#[test]
fn a_run_is_the_same_on_any_machine_with_that_seed() {
    let run = |seed: &str| {
        let (code, out, error) = said(&lotusmoor(&["fleet", "run", "small", "--seed", seed, "--json"]));
        assert_eq!(code, Some(0), "{error}");
        out
    };
    assert_eq!(run("5"), run("5"));
    assert_ne!(run("5"), run("6"));
}

#[test]
fn an_experiment_that_is_killed_goes_on_where_it_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let experiment = file(folder.path(), "e.toml", EXPERIMENT);
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
    let lines = || std::fs::read_to_string(&results).map(|t| t.lines().count()).unwrap_or(0);
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    let mut child =
        command.args(args).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts");
    let end = Instant::now() + Duration::from_secs(60);
    while lines() < 3 {
        assert!(Instant::now() < end, "it writes no results");
        std::thread::sleep(Duration::from_millis(1));
    }
    child.kill().expect("it is killed");
    child.wait().expect("it ends");
    let whole = std::fs::read(&results).expect("it is there");
    let had = whole.iter().filter(|b| **b == b'\n').count();
    // What it was writing last is torn.
    std::fs::write(&results, &whole[..whole.len() - 7]).expect("it is cut");
    let (code, out, error) = said(&lotusmoor(&args));
    assert_eq!(code, Some(0), "{error}");
    let cut = if whole.ends_with(b"\n") { had - 1 } else { had };
    assert!(out.contains(&format!("{} runs played, {cut} had results", 48 - cut)), "{out}");
    assert_eq!(lines(), 48);
    let compare = ["fleet", "compare", &results.to_string_lossy(), "--base", "m", "--other", "t"];
    let (code, out, _) = said(&lotusmoor(&compare));
    assert!(code == Some(0) && out.contains("small load 0.5") && out.contains("12 pairs"), "{out}");
    let page = folder.path().join("r.html");
    let report = ["fleet", "report", &results.to_string_lossy(), "--out", &page.to_string_lossy()];
    assert_eq!(said(&lotusmoor(&report)).0, Some(0));
    assert!(std::fs::read_to_string(&page).is_ok_and(|p| p.contains("<svg")));
}

// The adapter is the project's own, so what it decides behind the wire is what the module decides in the model.
#[test]
fn the_module_decides_alike_in_the_model_and_behind_the_wire() {
    let beside = Path::new(env!("CARGO_BIN_EXE_lotusmoor")).with_file_name("lotusmoor-simulator-adapter");
    assert!(beside.is_file(), "{} is not built: build the whole workspace", beside.display());
    let digest = |policy: &str| {
        let (code, out, error) =
            said(&lotusmoor(&["fleet", "run", "small", "--seed", "2", "--policy", policy]));
        assert_eq!(code, Some(0), "{error}");
        out.split("digest ").nth(1).expect("a digest").trim().to_owned()
    };
    assert_eq!(digest("module"), digest(&format!("adapter:{}", beside.display())));
}

/// Processes whose parent is this one.
fn children(of: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").expect("the system's list of processes");
    let ids = all.filter_map(|e| e.ok()?.file_name().to_str()?.parse::<u32>().ok());
    let parent = |id: &u32| {
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        text.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    ids.filter(|id| parent(id) == Some(of)).collect()
}

#[test]
fn a_load_run_that_is_killed_leaves_no_child() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    command.args(["fleet", "load", "--seconds", "30", "--rate", "20", "--connections", "5"]);
    let mut child = command.stdout(Stdio::null()).spawn().expect("it starts");
    let wait = |holds: &dyn Fn() -> bool| {
        let end = Instant::now() + Duration::from_secs(20);
        while !holds() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    // A child is the same program until it has begun as its own.
    let named = |id: &u32| std::fs::read_to_string(format!("/proc/{id}/comm")).unwrap_or_default();
    let has_sidecar = || children(child.id()).iter().any(|id| named(id).trim() == "lotusmoor-sidec");
    wait(&has_sidecar);
    let (began, started) = (has_sidecar(), children(child.id()));
    child.kill().expect("it is killed");
    child.wait().expect("it ends");
    let left = || -> Vec<u32> {
        started.iter().copied().filter(|id| Path::new(&format!("/proc/{id}")).exists()).collect()
    };
    wait(&|| left().is_empty());
    let left = left();
    for id in &left {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
    assert!(began, "it starts no sidecar");
    assert_eq!(left, Vec::<u32>::new(), "children are left");
}
