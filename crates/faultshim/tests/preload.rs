//! The library as a process sees it: preloaded, it fails calls and steps the clock as its table says.

use lotusmoor_faults::{Call, FaultTable, Rule, TABLE_VARIABLE, errno};
use std::path::PathBuf;
use std::process::Command;

fn library() -> PathBuf {
    let own = std::env::current_exe().expect("this test has a path");
    let mut folders = own.ancestors().skip(1).take(2);
    folders.find_map(|f| Some(f.join("libfaultshim.so")).filter(|p| p.is_file())).expect("it is built")
}

fn preloaded(program: &str, arguments: &[&str], table: &FaultTable) -> std::process::Output {
    let mut command = Command::new(program);
    command.args(arguments).env("LD_PRELOAD", library()).env(TABLE_VARIABLE, table.path());
    command.output().expect("the program runs")
}

#[test]
fn a_call_fails_as_often_as_its_rule_says() {
    let folder = tempfile::tempdir().expect("a folder");
    let table = FaultTable::create(&folder.path().join("table")).expect("a table");
    let file = folder.path().join("text");
    std::fs::write(&file, "text").expect("a file");
    let name = file.to_str().expect("a plain name");
    let rule = table.arm(Rule::once(Call::Read, errno::EIO)).expect("a rule");
    let failed = preloaded("cat", &[name], &table);
    assert!(!failed.status.success(), "{failed:?}");
    assert_eq!(table.hits(rule).expect("hits"), 1);
    let fine = preloaded("cat", &[name], &table);
    assert!(fine.status.success() && fine.stdout == b"text", "{fine:?}");
    assert!(table.calls(Call::Read).expect("a count") >= 2);
}

#[test]
fn the_wall_clock_is_off_by_as_much_as_the_table_says() {
    let folder = tempfile::tempdir().expect("a folder");
    let table = FaultTable::create(&folder.path().join("table")).expect("a table");
    let now = || -> i64 {
        let said = preloaded("date", &["+%s"], &table).stdout;
        String::from_utf8_lossy(&said).trim().parse().expect("a number")
    };
    let before = now();
    table.step_wall_clock(-3_600_000_000).expect("a step");
    let after = now();
    assert!((3590..=3601).contains(&(before - after)), "{before} {after}");
}
