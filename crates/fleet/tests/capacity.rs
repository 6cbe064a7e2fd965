//! Capacity plans: validation, estimates from synthetic runs, and the tables and plot in the repository.

use lotusmoor_fleet::capacity::{
    Capacity, Demand, Estimate, Mode, PageError, Plan, Role, plot, rewrite, tables,
};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

const REQUIREMENTS_PLAN: &str = include_str!("../../../experiments/scale/letter.toml");

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Result lines of one role over a sweep. Each step has its sizes and its measured values, as JSON members.
fn lines(sweep: &str, mode: &str, role: &str, steps: &[(&str, &str)]) -> String {
    let mut text = String::new();
    for (step, (sizes, measured)) in steps.iter().enumerate() {
        writeln!(
            text,
            "{{\"sweep\":\"{sweep}\",\"mode\":\"{mode}\",\"step\":{step},\"at\":{{{sizes}}},\"role\":\"{role}\",\
             \"seconds\":10,\"measured\":{{{measured}}},\"seed\":1,\"commit\":\"abc\"}}"
        )
        .expect("writing to a string can't fail");
    }
    text
}

/// The sizes and measured values of each step, as functions of what varies.
fn steps(xs: &[f64], step: impl Fn(f64) -> (String, String)) -> Vec<(String, String)> {
    xs.iter().map(|x| step(*x)).collect()
}

fn sweep(name: &str, mode: &str, role: &str, steps: &[(String, String)]) -> String {
    lines(name, mode, role, &steps.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect::<Vec<_>>())
}

/// Synthetic runs with known costs: an idle leader uses 1,000 us of CPU time per second, each watch adds 5 us per
/// second, and each response 20 us. A sidecar uses 5 MB plus 4,000 bytes per entry that it watches, of which there are
/// 30 with per-service lists.
fn synthetic_runs() -> Vec<(&'static str, String)> {
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
    // The time in ms is the square of the number of sidecars in thousands, which no line fits.
    let notification = steps(&[1000.0, 2000.0, 4000.0, 8000.0], |n| {
        (format!("\"hollow\":{n},\"listed\":5000"), format!("\"told_ms_max\":{}", n * n / 1e6))
    });
    let sidecar = |watched_entries: fn(f64) -> f64| {
        steps(&[100.0, 2500.0, 5000.0, 10_000.0, 20_000.0], move |n| {
            let bytes = 5e6 + 4000.0 * watched_entries(n);
            (format!("\"listed\":{n},\"changes_per_s\":1"), format!("\"rss_bytes\":{bytes}"))
        })
    };
    let fleet = [
        sweep("hollow", "whole", "leader", &hollow),
        sweep("changes", "whole", "leader", &changes),
        sweep("hollow", "whole", "fleet", &notification),
    ];
    vec![
        ("fleet-whole.jsonl", fleet.concat()),
        ("sidecar-whole.jsonl", sweep("sidecar_listed", "whole", "sidecar", &sidecar(|n| n))),
        ("sidecar-services.jsonl", sweep("sidecar_listed", "services", "sidecar", &sidecar(|_| 30.0))),
    ]
}

/// The plan for the operators' requirements, with these files as its recorded runs.
fn capacity_from(files: &[(&str, String)]) -> Result<Capacity, String> {
    let folder = tempfile::tempdir().expect("a folder");
    let results = folder.path().join("results");
    std::fs::create_dir(&results).expect("the folder is created");
    for (name, text) in files {
        std::fs::write(results.join(name), text).expect("the file is written");
    }
    let plan = folder.path().join("plan.toml");
    std::fs::write(&plan, REQUIREMENTS_PLAN).expect("the file is written");
    Capacity::read(&plan).map_err(|e| e.to_string())
}

fn table(capacity: &Capacity, name: &str) -> String {
    let found = tables(capacity).into_iter().find(|(n, _)| *n == name);
    found.map(|(_, table)| table).unwrap_or_else(|| panic!("there is no table {name}"))
}

/// Cells of the first row that starts with `start`.
fn row(table: &str, start: &str) -> Vec<String> {
    let line = table.lines().find(|l| l.starts_with(&format!("| {start}")));
    let line = line.unwrap_or_else(|| panic!("no row {start} in\n{table}"));
    line.trim_matches('|').split(" | ").map(|c| c.trim().to_owned()).collect()
}

#[test]
fn invalid_plan_is_rejected_with_file_line_and_key() {
    let rejection = |from: &str, to: &str| {
        assert!(REQUIREMENTS_PLAN.contains(from), "{from}");
        let text = REQUIREMENTS_PLAN.replacen(from, to, 1);
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
        let (error, line) = rejection(from, to);
        assert!(
            error.starts_with("plan.toml: ") && error.contains(&line) && error.contains(key),
            "{to}: {error}"
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
        let (error, _) = rejection(from, to);
        assert!(error.starts_with(&format!("plan.toml: {key}: ")), "{to}: {error}");
    }
    let missing =
        Plan::parse(Path::new("plan.toml"), "name = \"x\"\nresults = \"r\"\n").expect_err("no sizes");
    assert!(missing.to_string().contains("sizes"), "{missing}");
}

#[test]
fn estimates_reproduce_known_costs_at_the_plans_sizes() {
    let capacity = capacity_from(&synthetic_runs()).expect("the plan and its runs are read");
    let demand = Demand::steady_state(&capacity.plan, Mode::Whole, 21_000.0);
    assert_eq!(demand.watches, 7000.0);
    // 72,000 configuration changes and three writes for each of 1,310 servers per day.
    assert!((demand.writes_per_s - (72_000.0 + 3.0 * 1310.0) / 86_400.0).abs() < 1e-12);
    let answers = 7000.0 * demand.answers_per_s;
    let Estimate::Computed { value, missing_slopes, used_slopes } =
        capacity.estimate(Mode::Whole, Role::Leader, "cpu_us_per_s", &demand)
    else {
        panic!("there is no estimate")
    };
    assert!((value - (1000.0 + 5.0 * 7000.0 + 20.0 * answers)).abs() < 1.0, "{value}");
    assert_eq!(used_slopes, ["leader cpu by watches", "leader cpu by answers"]);
    // No run varies the length of the list.
    assert_eq!(missing_slopes, ["leader cpu by list"]);
    let leader = row(&table(&capacity, "ordinary"), "leader | CPU");
    assert!(leader[2].ends_with("without leader cpu by list") && leader[8].contains("leader cpu by answers"));
    assert!(leader[4] == "not measured" && leader[5] == "-", "{leader:?}");
}

#[test]
fn breaking_point_follows_from_the_slope_and_is_bold_below_the_required_size() {
    let capacity = capacity_from(&synthetic_runs()).expect("the plan and its runs are read");
    let breaks = table(&capacity, "breaks");
    let memory = row(&breaks, "sidecar control plane: memory");
    // Watching the whole list, the budget is reached at (64 MB - 5 MB) / 4,000 bytes = 14,750 servers, and 21,000
    // servers need 89 MB, 1.39 times the budget. With per-service lists the 30 watched entries fit at any fleet size.
    assert_eq!(memory[1..6], ["64", "**14,750**", "1.39", "never", "unlimited"]);
    let ordinary = row(&table(&capacity, "ordinary"), "sidecar control plane | memory");
    assert_eq!(
        ordinary[2..6],
        ["89", "**1.39 times the budget, missing: per-service lists**", "5.12", "12.5 times"]
    );
    // The lowest breaking point is first, unknown ones are last.
    let first: Vec<&str> = breaks.lines().skip(2).map(|l| l.split(" | ").next().unwrap_or(l)).collect();
    let position =
        |what: &str| first.iter().position(|l| l.contains(what)).unwrap_or_else(|| panic!("no {what}"));
    assert!(position("all request the list at once") < position("one replica is unavailable"));
    assert!(position("one replica is unavailable") < position("sidecar control plane: memory"));
    assert!(position("sidecar control plane: memory") < position("the list: entries"));
    assert!(position("the list: entries") < position("bytes per second"));
}

#[test]
fn non_predictive_slope_is_not_extrapolated_and_gets_no_line() {
    let capacity = capacity_from(&synthetic_runs()).expect("the plan and its runs are read");
    let slope = row(&table(&capacity, "slopes"), "told by readers | whole");
    assert_eq!(slope[2..6], ["-", "-", "-", "-"]);
    // The line through (1, 1), (2, 4) and (4, 16) has slope 24 / (14/3) = 36/7 around the means 7/3 and 7. At 8 it
    // predicts 7 + 36/7 x 17/3 = 36.1.
    assert_eq!(slope[7..9], ["36.1 and 64 at 8,000", "**not predictive: no usable line**"]);
    let load = row(&table(&capacity, "ordinary"), "all sidecars | change applied");
    assert_eq!(load[2], "no usable line (told by readers); 0.064 at 8,000");
    let breaks = row(&table(&capacity, "breaks"), "all sidecars: change applied");
    assert_eq!(breaks[2], "no usable line (told by readers); 0.064 at 8,000");
    let svg = plot(&capacity).expect("the plot is drawn");
    // Points of all measured slopes. Each measured slope has a panel, each usable one a line.
    let measured = capacity.fits.iter().filter(|f| f.steps > 0).count();
    let points: usize = capacity.fits.iter().map(|f| f.steps).sum();
    let usable = capacity.fits.iter().filter(|f| f.usable_line().is_some()).count();
    assert_eq!((measured, usable), (5, 4));
    assert_eq!(svg.matches("<circle").count(), points);
    assert!(svg.contains("told by readers (whole)") && !svg.contains("told by list"));
}

#[test]
fn failed_step_gives_no_point_and_is_counted() {
    let mut files = synthetic_runs();
    files[1].1 = files[1].1.replacen("\"seed\":1", "\"failed\":\"no room\",\"seed\":1", 1);
    let capacity = capacity_from(&files).expect("the plan and its runs are read");
    assert_eq!(row(&table(&capacity, "slopes"), "sidecar memory by list | whole")[6], "4, 1 failed");
}

#[test]
fn missing_runs_are_allowed_but_malformed_lines_are_rejected_with_file_and_line() {
    let no_runs = capacity_from(&[]).expect("the plan and its runs are read");
    assert_eq!(row(&table(&no_runs, "slopes"), "leader cpu by watches | whole")[8], "not measured");
    assert_eq!(
        row(&table(&no_runs, "ordinary"), "sidecar control plane | memory")[2..4],
        ["not measured", "-"]
    );
    assert!(plot(&no_runs).expect("the plot is drawn").contains("<svg"));
    let mut files = synthetic_runs();
    files[0].1 = files[0].1.replacen("\"role\":\"fleet\"", "\"role\":\"flea\"", 1);
    let error = capacity_from(&files).expect_err("the role is unknown");
    assert!(error.contains("fleet-whole.jsonl: line 9: ") && error.contains("flea"), "{error}");
    let error = capacity_from(&[("x.jsonl", "{\"sweep\":".to_owned())]).expect_err("the line is truncated");
    assert!(error.contains("x.jsonl: line 1: "), "{error}");
}

#[test]
fn event_estimates_follow_the_plans_sizes() {
    let mut files = synthetic_runs();
    let recorded =
        lines("events", "whole", "fleet", &[("\"hollow\":2000,\"listed\":3000", "\"back_ms\":4321")]);
    files.push(("events.jsonl", recorded.replace("\"seconds\"", "\"event\":\"zone_away\",\"seconds\"")));
    let capacity = capacity_from(&files).expect("the plan and its runs are read");
    let events = table(&capacity, "events");
    // Three of eleven zones fail. No more than a tenth of the list expires per window of 10 s, so that their servers
    // expire in three windows, the first after a lease of 6 s.
    assert_eq!(row(&events, "the largest region is cut off")[1..5], ["5,727", "-", "11,455", "26"]);
    assert_eq!(row(&events, "a zone fails")[1..5], ["1,909", "-", "3,818", "6"]);
    assert_eq!(row(&events, "the restarts of a day")[2..5], ["1,200", "3,600", "86,400"]);
    let full_sync = row(&events, "all sidecars request the list at once");
    assert!(
        full_sync[9..11] == ["21,000", "14"] && full_sync[11].starts_with("**2 times the budget"),
        "{full_sync:?}"
    );
    assert_eq!(
        row(&table(&capacity, "played"), "zone_away")[1..],
        ["whole", "2,000", "3,000", "-", "-", "4,321", "events.jsonl"]
    );
}

#[test]
fn call_chain_figures_follow_from_the_plans_depth() {
    let call_chain = table(&capacity_from(&[]).expect("the plan and its runs are read"), "deep");
    for (start, figure) in [
        ("added by a chain of 9", "7.92"),
        ("calls of that depth in which", "8.65"),
        ("share of calls within budget", "99.888"),
        ("attempts at the lowest level", "19,683"),
        ("the same limited by the retry budgets", "2.36"),
        ("lowest level at which", "5"),
    ] {
        assert_eq!(row(&call_chain, start)[1], figure, "{start}");
    }
}

#[test]
fn control_machines_are_spread_over_all_zones_and_losses_are_tabulated() {
    let capacity = capacity_from(&[]).expect("the plan and its runs are read");
    let placement = table(&capacity, "machines");
    let machines: Vec<usize> = placement
        .lines()
        .skip(2)
        .map(|l| l.split(" | ").nth(2).and_then(|c| c.parse().ok()).expect("a number"))
        .collect();
    assert_eq!((machines.len(), machines.iter().sum::<usize>()), (11, 33));
    assert_eq!(placement.matches("registry, voting").count(), 3);
    let losses = table(&capacity, "lost");
    assert_eq!(row(&losses, "a zone with a replica")[1..5], ["30", "2 of 3", "possible", "19,091"]);
    assert_eq!(
        row(&losses, "a replica's machine")[1..6],
        ["32", "2 of 3", "possible", "21,000", "**10,500, limit 7,000**"]
    );
    assert_eq!(row(&losses, "the last region")[1..3], ["27", "3 of 3"]);
}

#[test]
fn only_the_text_between_the_markers_of_a_page_changes() {
    let page = "a\n<!-- tables: t -->\nold\nolder\n<!-- end -->\nb\n<!-- tables: u -->\n<!-- end -->";
    let all = [("t", "| new |\n".to_owned()), ("u", "| u |\n".to_owned())];
    let new = rewrite(page, &all).expect("the tables are replaced");
    let wanted =
        "a\n<!-- tables: t -->\n\n| new |\n\n<!-- end -->\nb\n<!-- tables: u -->\n\n| u |\n\n<!-- end -->";
    assert_eq!(new, wanted);
    assert_eq!(rewrite(&new, &all).expect("the tables are replaced"), new);
    let unknown = rewrite("\n<!-- tables: v -->\n<!-- end -->\n", &all).expect_err("no such table");
    assert_eq!(unknown.to_string(), "line 2: there is no table v; the tables are t, u");
    let unclosed = rewrite("<!-- tables: t -->\n<!-- tables: u -->\n<!-- end -->\n", &all);
    assert_eq!(unclosed, Err(PageError::Unclosed { line: 1 }));
    assert_eq!(rewrite("<!-- tables: t -->\nrest", &all), Err(PageError::Unclosed { line: 1 }));
}

/// Fails if the page or the plot is out of date. To update them, run
/// `lotusmoor fleet capacity experiments/scale/letter.toml --page docs/CAPACITY.md --plot docs/capacity.svg`.
#[test]
fn page_and_plot_in_the_repository_match_the_recorded_runs() {
    let read = |path: &str| std::fs::read_to_string(repository().join(path)).expect(path);
    let capacity =
        Capacity::read(&repository().join("experiments/scale/letter.toml")).expect("the plan is read");
    let page = read("docs/CAPACITY.md");
    let all = tables(&capacity);
    for (name, _) in &all {
        assert!(page.contains(&format!("<!-- tables: {name} -->")), "the page has no place for {name}");
    }
    assert_eq!(rewrite(&page, &all).expect("the tables are replaced"), page);
    assert_eq!(plot(&capacity).expect("the plot is drawn"), read("docs/capacity.svg"));
}
