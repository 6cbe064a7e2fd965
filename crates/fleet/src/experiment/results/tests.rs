use super::*;

fn line(seed: u64) -> RunResult {
    RunResult {
        experiment: "e".into(),
        commit: "abc".into(),
        scenario: "s".into(),
        variant: "v".into(),
        point: Point { load: Some(0.7), ..Point::default() },
        seed,
        figures: Figures { score: 0.123_456_789, ..Figures::default() },
    }
}

#[test]
fn continues_a_file_with_an_incomplete_last_line() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let path = folder.path().join("r.jsonl");
    let write = |n: u64| {
        let mut results = Results::open(&path, "abc").expect("result file opens");
        (1..=n).for_each(|seed| results.add(&line(seed)).expect("result is written"));
    };
    write(3);
    let complete = std::fs::read(&path).expect("file exists");
    let second_ends =
        complete.iter().enumerate().filter(|(_, b)| **b == b'\n').nth(1).expect("three lines").0 + 1;
    for cut in [second_ends, second_ends + 1, complete.len() - 20, complete.len() - 1] {
        std::fs::write(&path, &complete[..cut]).expect("truncated");
        let mut results = Results::open(&path, "abc").expect("result file opens");
        assert_eq!((results.lines.len(), results.torn), (2, cut != second_ends), "cut at {cut}");
        results.add(&line(9)).expect("result is written");
        let (lines, torn) = Results::read(&path).expect("result file is read");
        assert_eq!((lines.len(), torn, lines[2].seed), (3, false, 9));
    }
}

#[test]
fn rejects_invalid_earlier_lines_and_other_commits() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let path = folder.path().join("r.jsonl");
    Results::open(&path, "abc").and_then(|mut r| r.add(&line(1))).expect("result is written");
    let other = Results::open(&path, "def").err().map(|e| e.to_string());
    assert!(other.is_some_and(|e| e.contains("holds results of abc")));
    let complete = std::fs::read_to_string(&path).expect("file exists");
    std::fs::write(&path, format!("{{\"broken\n{complete}")).expect("result is written");
    let broken = Results::open(&path, "abc").err().map(|e| e.to_string());
    assert!(broken.is_some_and(|e| e.contains("line 1")));
}
