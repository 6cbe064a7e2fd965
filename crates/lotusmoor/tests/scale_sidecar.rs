//! `lotusmoor fleet sidecar-scale` with real processes: the result lines that it writes, a step that fails, and runs
//! that are interrupted.

use lotusmoor_fleet::harness::{process_guard, until};
use lotusmoor_fleet::scale::results::{Mode, Record, ResultFile, Role, Sweep};
use std::path::Path;
use std::process::{Command, Stdio};

const SMALL: [&str; 10] =
    ["--listed", "20,40", "--at-listed", "40", "--changes", "2,4", "--seconds", "1", "--rate", "50"];

fn command(out: &Path, more: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor"));
    command.args(["fleet", "sidecar-scale", "--out"]).arg(out).args(more);
    command
}

fn keys(line: &Record) -> Vec<&str> {
    line.measured.keys().map(String::as_str).collect()
}

#[test]
fn small_run_writes_a_line_with_all_measurements_for_each_step() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let out = folder.path().join("small.jsonl");
    let status = command(&out, &SMALL).status().expect("the command runs");
    assert!(status.success());
    let lines = ResultFile::read(&out).expect("the results are read");
    let step = |line: &Record| (line.sweep, line.role, line.step, line.at.listed, line.at.changes_per_s);
    let steps: Vec<_> = lines.iter().map(step).collect();
    let (module, sidecar) = (Role::Module, Role::Sidecar);
    assert_eq!(
        steps,
        [
            (Sweep::ModuleListed, module, 1, 20, 0.0),
            (Sweep::ModuleListed, module, 2, 40, 0.0),
            (Sweep::SidecarListed, sidecar, 1, 20, 1.0),
            (Sweep::SidecarListed, sidecar, 2, 40, 1.0),
            (Sweep::SidecarChanges, sidecar, 1, 40, 2.0),
            (Sweep::SidecarChanges, sidecar, 2, 40, 4.0),
        ]
    );
    for line in &lines {
        assert_eq!((&line.failed, line.mode, line.at.services, line.at.hollow), (&None, Mode::Whole, 0, 0));
        let common = ["cpu_us_per_s", "file_bytes_per_s", "wire_bytes_per_s", "writes_per_s"];
        let expected: &[&str] = match line.sweep {
            Sweep::ModuleListed => {
                &["change_ns", "decision_ns", "decision_ns_p99", "decisions", "end_ns", "list_ns"]
            }
            Sweep::SidecarListed => &[
                "added_us_p50",
                "added_us_p99",
                "entries",
                "idle_cpu_us_per_s",
                "not_served",
                "rss_bytes",
                "rss_bytes_max",
                "served",
            ],
            _ => &["entries", "in_force_ms_max", "in_force_ms_p50", "in_force_ms_p99"],
        };
        let mut expected = expected.to_vec();
        if line.role == Role::Sidecar {
            expected.extend(common);
            assert_eq!(line.measured["entries"], f64::from(line.at.listed));
            // The sidecar has received the list over the network and written it to its file.
            assert!(line.measured["wire_bytes_per_s"] > 0.0 && line.measured["file_bytes_per_s"] > 0.0);
        }
        expected.sort_unstable();
        assert_eq!(keys(line), expected);
        if line.sweep == Sweep::SidecarListed {
            assert!(line.measured["rss_bytes"] > 1e6 && line.measured["served"] > 0.0, "{line:?}");
        }
    }
    // Existing results are not overwritten.
    let before = std::fs::read(&out).expect("the file is read");
    assert_eq!(command(&out, &SMALL).status().expect("the command runs").code(), Some(1));
    assert_eq!(std::fs::read(&out).expect("the file is read"), before);
}

#[test]
fn failed_step_is_recorded_and_the_run_continues() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let out = folder.path().join("failed.jsonl");
    let mut command = command(&out, &SMALL);
    command.args(["--sweeps", "sidecar_listed,module_listed"]);
    // A sidecar that exits at once.
    assert!(command.env("LOTUSMOOR_SIDECAR", "/bin/false").status().expect("the command runs").success());
    let lines = ResultFile::read(&out).expect("the results are read");
    let failed: Vec<_> = lines.iter().map(|l| (l.sweep, l.failed.is_some())).collect();
    let (sidecar, module) = (Sweep::SidecarListed, Sweep::ModuleListed);
    assert_eq!(failed, [(sidecar, true), (sidecar, true), (module, false), (module, false)]);
    let reason = lines[0].failed.as_deref().unwrap_or_default();
    assert!(reason.contains("the sidecar has ended"), "{reason}");
    assert!(lines[0].measured.is_empty());
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
    let mut command = command(&folder.path().join("killed.jsonl"), &["--sweeps", "sidecar_listed"]);
    command.args(["--listed", "20", "--seconds", "300"]).stderr(Stdio::null()).env("TMPDIR", folder.path());
    let mut run = command.spawn().expect("the process starts");
    let has_list = || {
        let entries =
            std::fs::read_dir(folder.path()).expect("the directory is listed").filter_map(Result::ok);
        entries.map(|e| e.path().join("sidecar.list")).any(|file| file.is_file())
    };
    // Three replicas, the server, the sidecar, and the process guard.
    let all_started = until(|| has_list() && children(run.id()).len() == 6);
    let children_before_kill = children(run.id());
    run.kill().expect("the process is killed");
    run.wait().expect("the process exits");
    assert!(all_started, "{children_before_kill:?}");
    for (id, started) in children_before_kill {
        assert!(until(|| process_guard::start_ticks(id) != Some(started)), "child {id} still runs");
    }
}
