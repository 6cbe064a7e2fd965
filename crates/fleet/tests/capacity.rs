//! Capacity plans: which are refused, what made-up runs come to at a plan's sizes, and the repository's own page.

use lotusmoor_fleet::capacity::{
    Capacity, Demand, Estimate, Mode, PageError, Plan, Role, plot, rewrite, tables,
};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

const LETTER: &str = include_str!("../../../experiments/scale/letter.toml");

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Lines of one role over a sweep, each of what it is at and what is measured there.
fn lines(sweep: &str, mode: &str, role: &str, steps: &[(&str, &str)]) -> String {
    let mut text = String::new();
    for (step, (at, measured)) in steps.iter().enumerate() {
        writeln!(
            text,
            "{{\"sweep\":\"{sweep}\",\"mode\":\"{mode}\",\"step\":{step},\"at\":{{{at}}},\"role\":\"{role}\",\
             \"seconds\":10,\"measured\":{{{measured}}},\"seed\":1,\"commit\":\"abc\"}}"
        )
        .expect("a string takes it");
    }
    text
}

/// Steps at which one size of `at` and what follows from it vary.
fn steps(xs: &[f64], of: impl Fn(f64) -> (String, String)) -> Vec<(String, String)> {
    xs.iter().map(|x| of(*x)).collect()
}

fn sweep(name: &str, mode: &str, role: &str, at: &[(String, String)]) -> String {
    lines(name, mode, role, &at.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect::<Vec<_>>())
}

/// Runs of parts whose costs are known: an idle leader takes 1,000 us a second, a watch 5 and an answer 20; a sidecar has
/// 5 MB and 4,000 bytes for an entry that it is told, of which there are 30 with lists by service.
fn made_up() -> Vec<(&'static str, String)> {
    let leader = |watches: f64, answers: f64| 1000.0 + 5.0 * watches + 20.0 * answers;
    let hollow = steps(&[300.0, 600.0, 900.0, 1500.0], |w| {
        let measured = format!("\"watches\":{w},\"answers_per_s\":{w},\"cpu_us_per_s\":{}", leader(w, w));
        (format!("\"hollow\":{},\"listed\":5000,\"changes_per_s\":1", 3.0 * w), measured)
    });
    let changes = steps(&[1.0, 2.0, 4.0, 8.0], |c| {
        let answers = 1000.0 * c;
        let measured = format!(
            "\"watches\":1000,\"answers_per_s\":{answers},\"cpu_us_per_s\":{}",
            leader(1000.0, answers)
        );
        (format!("\"hollow\":3000,\"listed\":5000,\"changes_per_s\":{c}"), measured)
    });
    // As many milliseconds as the square of thousands of readers: no line.
    let told = steps(&[1000.0, 2000.0, 4000.0, 8000.0], |n| {
        (format!("\"hollow\":{n},\"listed\":5000"), format!("\"told_ms_max\":{}", n * n / 1e6))
    });
    let sidecar = |told: fn(f64) -> f64| {
        steps(&[100.0, 2500.0, 5000.0, 10_000.0, 20_000.0], move |n| {
            let bytes = 5e6 + 4000.0 * told(n);
            (format!("\"listed\":{n},\"changes_per_s\":1"), format!("\"rss_bytes\":{bytes}"))
        })
    };
    let fleet = [
        sweep("hollow", "whole", "leader", &hollow),
        sweep("changes", "whole", "leader", &changes),
        sweep("hollow", "whole", "fleet", &told),
    ];
    vec![
        ("fleet-whole.jsonl", fleet.concat()),
        ("sidecar-whole.jsonl", sweep("sidecar_listed", "whole", "sidecar", &sidecar(|n| n))),
        ("sidecar-services.jsonl", sweep("sidecar_listed", "services", "sidecar", &sidecar(|_| 30.0))),
    ]
}

/// The letter's plan over these files.
fn worked(files: &[(&str, String)]) -> Result<Capacity, String> {
    let folder = tempfile::tempdir().expect("a folder");
    let results = folder.path().join("results");
    std::fs::create_dir(&results).expect("it is made");
    for (name, text) in files {
        std::fs::write(results.join(name), text).expect("it is written");
    }
    let plan = folder.path().join("plan.toml");
    std::fs::write(&plan, LETTER).expect("it is written");
    Capacity::read(&plan).map_err(|e| e.to_string())
}

fn table(capacity: &Capacity, name: &str) -> String {
    let found = tables(capacity).into_iter().find(|(n, _)| *n == name);
    found.map(|(_, table)| table).unwrap_or_else(|| panic!("there is no table {name}"))
}

/// Cells of the row that begins so.
fn row(table: &str, begins: &str) -> Vec<String> {
    let line = table.lines().find(|l| l.starts_with(&format!("| {begins}")));
    let line = line.unwrap_or_else(|| panic!("no row {begins} in\n{table}"));
    line.trim_matches('|').split(" | ").map(|c| c.trim().to_owned()).collect()
}

#[test]
fn a_wrong_plan_is_refused_by_file_line_and_key() {
    let refused = |from: &str, to: &str| {
        assert!(LETTER.contains(from), "{from}");
        let text = LETTER.replacen(from, to, 1);
        let line =
            text.lines().position(|l| l.contains(to.lines().last().unwrap_or(to))).map_or(0, |i| i + 1);
        (Plan::parse(Path::new("plan.toml"), &text).expect_err(to).to_string(), format!("line {line}"))
    };
    for (from, to, key) in [
        ("depth = {", "deepness = {", "deepness"),
        ("zones = { value = 11", "zones = { value = 0", "zones"),
        ("zones = { value = 11", "zones = { value = \"many\"", "zones"),
        ("source = \"measured\", note", "source = \"measured\", not", "failover_s"),
        (
            "source = \"measured\", note = \"docs/roster.md, the leader killed\"",
            "source = \"published\"",
            "failover_s",
        ),
        ("depth = { value = 9, source = \"letter\" }", "depth = { value = 9, source = \"dream\" }", "dream"),
        ("role = \"leader\"", "role = \"king\"", "king"),
    ] {
        let (said, line) = refused(from, to);
        assert!(
            said.starts_with("plan.toml: ") && said.contains(&line) && said.contains(key),
            "{to}: {said}"
        );
    }
    for (from, to, key) in [
        ("depth = { value = 9,", "depth = { value = 9.5,", "sizes.depth"),
        ("zones = { value = 11,", "zones = { value = 4,", "sizes.zones"),
        ("config_share = { value = 1,", "config_share = { value = 1.5,", "assumptions.config_share"),
        ("x = \"watches\"", "x = \"moods\"", "slope leader cpu by watches: x"),
        ("file = \"fleet-whole.jsonl\"", "file = \"../x.jsonl\"", "slope leader cpu by watches: file"),
        (
            "name = \"leader cpu by list\"",
            "name = \"leader cpu by watches\"",
            "slope leader cpu by watches: name",
        ),
    ] {
        let (said, _) = refused(from, to);
        assert!(said.starts_with(&format!("plan.toml: {key}: ")), "{to}: {said}");
    }
    let missing =
        Plan::parse(Path::new("plan.toml"), "name = \"x\"\nresults = \"r\"\n").expect_err("no sizes");
    assert!(missing.to_string().contains("sizes"), "{missing}");
}

#[test]
fn costs_that_are_known_come_out_at_the_plans_sizes() {
    let capacity = worked(&made_up()).expect("it is read");
    let demand = Demand::ordinary(&capacity.plan, Mode::Whole, 21_000.0);
    assert_eq!(demand.watches, 7000.0);
    // 72,000 changes of configuration, and three writes for each of 1,310 servers, in a day.
    assert!((demand.writes_per_s - (72_000.0 + 3.0 * 1310.0) / 86_400.0).abs() < 1e-12);
    let answers = 7000.0 * demand.answers_per_s;
    let Estimate::Worked { value, without, by } =
        capacity.estimate(Mode::Whole, Role::Leader, "cpu_us_per_s", &demand)
    else {
        panic!("it is worked out")
    };
    assert!((value - (1000.0 + 5.0 * 7000.0 + 20.0 * answers)).abs() < 1.0, "{value}");
    assert_eq!(by, ["leader cpu by watches", "leader cpu by answers"]);
    // No run has varied the list's length.
    assert_eq!(without, ["leader cpu by list"]);
    let leader = row(&table(&capacity, "ordinary"), "replica that leads | processor");
    assert!(leader[2].ends_with("without leader cpu by list") && leader[8].contains("leader cpu by answers"));
    assert!(leader[4] == "not measured" && leader[5] == "-", "{leader:?}");
}

#[test]
fn a_budget_is_reached_where_the_slope_says_and_told_in_bold_before_the_letters_size() {
    let capacity = worked(&made_up()).expect("it is read");
    let breaks = table(&capacity, "breaks");
    let memory = row(&breaks, "sidecar's control: memory");
    // (64 MB - 5 MB) / 4,000 bytes; 89 MB of 64 at 21,000; 30 entries fit at any size.
    assert_eq!(memory[1..6], ["64", "**14,750**", "1.39", "at none", "all"]);
    let ordinary = row(&table(&capacity, "ordinary"), "sidecar's control | memory");
    assert_eq!(
        ordinary[2..6],
        ["89", "**1.39 times the budget, missing: lists by service**", "5.12", "12.5 times"]
    );
    // Soonest first, and what is not known last.
    let first: Vec<&str> = breaks.lines().skip(2).map(|l| l.split(" | ").next().unwrap_or(l)).collect();
    let place =
        |what: &str| first.iter().position(|l| l.contains(what)).unwrap_or_else(|| panic!("no {what}"));
    assert!(place("all ask at once") < place("one replica is away"));
    assert!(place("one replica is away") < place("sidecar's control: memory"));
    assert!(place("sidecar's control: memory") < place("the list: entries"));
    assert!(place("the list: entries") < place("bytes a second"));
}

#[test]
fn what_does_not_foretell_is_not_used_beyond_its_steps_and_gets_no_line() {
    let capacity = worked(&made_up()).expect("it is read");
    let slope = row(&table(&capacity, "slopes"), "told by readers | whole");
    assert_eq!(slope[2..6], ["-", "-", "-", "-"]);
    // The line through 1, 4 and 16 at 1, 2 and 4 rises by 24 for 14/3: 7 + 36/7 x 17/3 at 8.
    assert_eq!(slope[7..9], ["36.1 and 64 at 8,000", "**does not foretell: no line**"]);
    let told = row(&table(&capacity, "ordinary"), "all sidecars | a change in force");
    assert_eq!(told[2], "no line (told by readers); 0.064 at 8,000");
    let breaks = row(&table(&capacity, "breaks"), "all sidecars: a change in force");
    assert_eq!(breaks[2], "no line (told by readers); 0.064 at 8,000");
    let svg = plot(&capacity).expect("it is drawn");
    // Points of four sweeps of replicas, readers and sidecars; a panel and a line for each slope that counts.
    let drawn = capacity.fits.iter().filter(|f| f.steps > 0).count();
    let points: usize = capacity.fits.iter().map(|f| f.steps).sum();
    let counted = capacity.fits.iter().filter(|f| f.counted().is_some()).count();
    assert_eq!((drawn, counted), (5, 4));
    assert_eq!(svg.matches("<circle").count(), points);
    assert!(svg.contains("told by readers (whole)") && !svg.contains("told by list"));
}

#[test]
fn a_step_that_failed_gives_no_point_and_is_counted() {
    let mut files = made_up();
    files[1].1 = files[1].1.replacen("\"seed\":1", "\"failed\":\"no room\",\"seed\":1", 1);
    let capacity = worked(&files).expect("it is read");
    assert_eq!(row(&table(&capacity, "slopes"), "sidecar memory by list | whole")[6], "4, 1 failed");
}

#[test]
fn parts_may_be_missing_but_a_malformed_line_is_told_by_file_and_line() {
    let nothing = worked(&[]).expect("it is read");
    assert_eq!(row(&table(&nothing, "slopes"), "leader cpu by watches | whole")[8], "not measured");
    assert_eq!(row(&table(&nothing, "ordinary"), "sidecar's control | memory")[2..4], ["not measured", "-"]);
    assert!(plot(&nothing).expect("it is drawn").contains("<svg"));
    let mut files = made_up();
    files[0].1 = files[0].1.replacen("\"role\":\"fleet\"", "\"role\":\"flea\"", 1);
    let said = worked(&files).expect_err("a role that is none");
    assert!(said.contains("fleet-whole.jsonl: line 9: ") && said.contains("flea"), "{said}");
    let said = worked(&[("x.jsonl", "{\"sweep\":".to_owned())]).expect_err("half a line");
    assert!(said.contains("x.jsonl: line 1: "), "{said}");
}

#[test]
fn events_go_by_the_plans_sizes() {
    let mut files = made_up();
    let played =
        lines("events", "whole", "fleet", &[("\"hollow\":2000,\"listed\":3000", "\"back_ms\":4321")]);
    files.push(("events.jsonl", played.replace("\"seconds\"", "\"event\":\"zone_away\",\"seconds\"")));
    let capacity = worked(&files).expect("it is read");
    let events = table(&capacity, "events");
    // Three of eleven zones, of which a tenth of the list goes in each window of 10 s after a lease of 6 s.
    assert_eq!(row(&events, "the largest region is cut off")[1..5], ["5,727", "-", "11,455", "26"]);
    assert_eq!(row(&events, "a zone fails")[1..5], ["1,909", "-", "3,818", "6"]);
    assert_eq!(row(&events, "the restarts of a day")[2..5], ["1,200", "3,600", "86,400"]);
    let storm = row(&events, "all sidecars ask at once");
    assert!(storm[9..11] == ["21,000", "14"] && storm[11].starts_with("**2 times the budget"), "{storm:?}");
    assert_eq!(
        row(&table(&capacity, "played"), "zone_away")[1..],
        ["whole", "2,000", "3,000", "-", "-", "4,321", "events.jsonl"]
    );
}

#[test]
fn depth_multiplies_what_each_level_does() {
    let deep = table(&worked(&[]).expect("it is read"), "deep");
    for (begins, figure) in [
        ("added to a path of 9", "7.92"),
        ("calls of that depth that meet", "8.65"),
        ("what each level would have to hold", "99.888"),
        ("attempts at the lowest level", "19,683"),
        ("the same held by the retry budgets", "2.36"),
        ("lowest level at which", "5"),
    ] {
        assert_eq!(row(&deep, begins)[1], figure, "{begins}");
    }
}

#[test]
fn machines_stand_in_all_zones_and_what_is_lost_with_them_is_told() {
    let capacity = worked(&[]).expect("it is read");
    let placed = table(&capacity, "machines");
    let machines: Vec<usize> = placed
        .lines()
        .skip(2)
        .map(|l| l.split(" | ").nth(2).and_then(|c| c.parse().ok()).expect("a number"))
        .collect();
    assert_eq!((machines.len(), machines.iter().sum::<usize>()), (11, 33));
    assert_eq!(placed.matches("list, votes").count(), 3);
    let lost = table(&capacity, "lost");
    assert_eq!(row(&lost, "a zone with a replica")[1..5], ["30", "2 of 3", "go on", "19,091"]);
    assert_eq!(
        row(&lost, "a replica's machine")[1..6],
        ["32", "2 of 3", "go on", "21,000", "**10,500, of 7,000 taken**"]
    );
    assert_eq!(row(&lost, "the last region")[1..3], ["27", "3 of 3"]);
}

#[test]
fn only_the_text_between_the_marks_of_a_page_changes() {
    let page = "a\n<!-- tables: t -->\nold\nolder\n<!-- end -->\nb\n<!-- tables: u -->\n<!-- end -->";
    let all = [("t", "| new |\n".to_owned()), ("u", "| u |\n".to_owned())];
    let new = rewrite(page, &all).expect("it is rewritten");
    let wanted =
        "a\n<!-- tables: t -->\n\n| new |\n\n<!-- end -->\nb\n<!-- tables: u -->\n\n| u |\n\n<!-- end -->";
    assert_eq!(new, wanted);
    assert_eq!(rewrite(&new, &all).expect("it is rewritten"), new);
    let unknown = rewrite("\n<!-- tables: v -->\n<!-- end -->\n", &all).expect_err("no such table");
    assert_eq!(unknown.to_string(), "line 2: there is no table v: one of t, u");
    let open = rewrite("<!-- tables: t -->\n<!-- tables: u -->\n<!-- end -->\n", &all);
    assert_eq!(open, Err(PageError::Open { line: 1 }));
    assert_eq!(rewrite("<!-- tables: t -->\nrest", &all), Err(PageError::Open { line: 1 }));
}

/// `lotusmoor fleet capacity experiments/scale/letter.toml --page docs/CAPACITY.md --plot docs/capacity.svg` mends it.
#[test]
fn the_repositorys_page_and_plot_are_what_the_recorded_runs_give() {
    let read = |path: &str| std::fs::read_to_string(repository().join(path)).expect(path);
    let capacity =
        Capacity::read(&repository().join("experiments/scale/letter.toml")).expect("the plan is read");
    let page = read("docs/CAPACITY.md");
    let all = tables(&capacity);
    for (name, _) in &all {
        assert!(page.contains(&format!("<!-- tables: {name} -->")), "the page has no place for {name}");
    }
    assert_eq!(rewrite(&page, &all).expect("it is rewritten"), page);
    assert_eq!(plot(&capacity).expect("it is drawn"), read("docs/capacity.svg"));
}
