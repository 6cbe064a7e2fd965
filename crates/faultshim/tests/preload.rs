//! The library, preloaded into a process: it fails system calls and offsets the clock according to its table.

use lotusmoor_faults::{Call, FaultTable, Rule, TABLE_VARIABLE, errno};
use std::path::PathBuf;
use std::process::Command;

fn library() -> PathBuf {
    let test_binary = std::env::current_exe().expect("this test has a path");
    let mut folders = test_binary.ancestors().skip(1).take(2);
    folders
        .find_map(|folder| Some(folder.join("libfaultshim.so")).filter(|path| path.is_file()))
        .expect("the library is built")
}

fn preloaded(program: &str, arguments: &[&str], table: &FaultTable) -> std::process::Output {
    let mut command = Command::new(program);
    command.args(arguments).env("LD_PRELOAD", library()).env(TABLE_VARIABLE, table.path());
    command.output().expect("the program runs")
}

#[test]
fn system_call_fails_as_often_as_its_rule_says() {
    let folder = tempfile::tempdir().expect("a folder");
    let table = FaultTable::create(&folder.path().join("table")).expect("a table");
    let file = folder.path().join("text");
    std::fs::write(&file, "text").expect("a file");
    let name = file.to_str().expect("a plain name");
    let rule = table.arm(Rule::once(Call::Read, errno::EIO)).expect("a rule");
    let failed = preloaded("cat", &[name], &table);
    assert!(!failed.status.success(), "{failed:?}");
    assert_eq!(table.hits(rule).expect("hits"), 1);
    let succeeded = preloaded("cat", &[name], &table);
    assert!(succeeded.status.success() && succeeded.stdout == b"text", "{succeeded:?}");
    assert!(table.calls(Call::Read).expect("a count") >= 2);
}

#[test]
fn wall_clock_is_offset_as_the_table_says() {
    let folder = tempfile::tempdir().expect("a folder");
    let table = FaultTable::create(&folder.path().join("table")).expect("a table");
    let now = || -> i64 {
        let output = preloaded("date", &["+%s"], &table).stdout;
        String::from_utf8_lossy(&output).trim().parse().expect("a number")
    };
    let before = now();
    table.step_wall_clock(-3_600_000_000).expect("a step");
    let after = now();
    assert!((3590..=3601).contains(&(before - after)), "{before} {after}");
}
