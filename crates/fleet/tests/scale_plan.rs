//! Plans of scale runs: invalid values are rejected with file and key, malformed text also with the line.

use lotusmoor_fleet::scale::{Mode, Plan, SweepVariable};
use std::path::Path;

const SMALL: &str = r#"name = "small"
modes = ["whole"]
hollow = 20
listed = 10
services = 4
calls = 2
zones = ["a1", "a2"]
regions = ["a"]
sidecars = 1
rate = 10.0
changes_per_s = 1.0
seconds = 3.0
"#;
const SWEEP: &str = "\n[sweep]\nover = \"hollow\"\nsteps = [10, 20]\n";
const ZONE_AWAY: &str = "\n[[event]]\nkind = \"zone_away\"\nzone = \"a2\"\nfor_s = 1.0\n";

fn assert_rejected(text: &str, expected: &[&str]) {
    let error = Plan::parse(Path::new("plans/small.toml"), text).expect_err(text).to_string();
    assert!(error.starts_with("plans/small.toml: "), "{error}");
    assert!(expected.iter().all(|part| error.contains(part)), "{error}: {expected:?}");
}

#[test]
fn missing_keys_get_defaults() {
    let plan = Plan::parse(Path::new("small.toml"), &format!("{SMALL}{SWEEP}")).expect("the plan is read");
    assert_eq!((plan.modes.as_slice(), plan.seed, plan.leases), (&[Mode::Whole][..], 1, 0));
    assert_eq!(plan.sweep.as_ref().map(|s| s.over), Some(SweepVariable::Hollow));
    assert_eq!(plan.sizes().iter().map(|s| s.hollow).collect::<Vec<_>>(), [10, 20]);
    let events =
        Plan::parse(Path::new("small.toml"), &format!("{SMALL}{ZONE_AWAY}")).expect("the plan is read");
    assert_eq!(events.event.iter().map(|e| e.name()).collect::<Vec<_>>(), ["zone_away"]);
}

#[test]
fn malformed_text_is_rejected_with_file_line_and_key() {
    let with = |from: &str, to: &str| {
        let text = format!("{SMALL}{SWEEP}");
        assert_eq!(text.matches(from).count(), 1, "{from}");
        text.replace(from, to)
    };
    assert_rejected(&with("calls = 2", "called = 2"), &["line 6", "called"]);
    assert_rejected(&with("hollow = 20", "hollow = \"many\""), &["line 3", "hollow", "string"]);
    assert_rejected(&with("listed = 10", "listed = -10"), &["line 4", "listed"]);
    assert_rejected(&with("[\"whole\"]", "[\"some\"]"), &["line 2", "modes", "some"]);
    assert_rejected(&with("\"hollow\"\n", "\"hollows\"\n"), &["line 15", "hollows"]);
    assert_rejected(&with("steps =", "step ="), &["line 16", "step"]);
    assert_rejected(&with("seconds = 3.0\n", ""), &["seconds"]);
    assert_rejected(&format!("{SMALL}{}", ZONE_AWAY.replace("zone_away", "zone_lost")), &["zone_lost"]);
    assert_rejected(&format!("{SMALL}{}", ZONE_AWAY.replace("zone =", "zones =")), &["zones"]);
}

#[test]
fn invalid_value_is_rejected_with_file_and_key() {
    for (line, replacement, key) in [
        ("modes = [\"whole\"]", "modes = []", "modes"),
        ("modes = [\"whole\"]", "modes = [\"whole\", \"whole\"]", "modes"),
        ("hollow = 20", "hollow = 0", "hollow"),
        ("hollow = 20", "hollow = 30001", "hollow"),
        ("listed = 10", "listed = 100001", "listed"),
        ("listed = 10", "listed = 10\nleases = 11", "leases"),
        ("listed = 10", "listed = 10\nlease_ms = 499", "lease_ms"),
        ("services = 4", "services = 0", "services"),
        ("services = 4", "services = 4\nskew = nan", "skew"),
        ("calls = 2", "calls = 5", "calls"),
        ("zones = [\"a1\", \"a2\"]", "zones = [\"a1\", \"a1\"]", "zones"),
        ("zones = [\"a1\", \"a2\"]", "zones = []", "zones"),
        ("regions = [\"a\"]", "regions = [\"a\", \"b\", \"c\"]", "regions"),
        ("sidecars = 1", "sidecars = 51", "sidecars"),
        ("rate = 10.0", "rate = 0.0", "rate"),
        ("rate = 10.0", "rate = inf", "rate"),
        ("changes_per_s = 1.0", "changes_per_s = -1.0", "changes_per_s"),
        ("seconds = 3.0", "seconds = nan", "seconds"),
        ("seconds = 3.0", "seconds = 3.0\nper_process = 0", "per_process"),
        ("seconds = 3.0", "seconds = 3.0\nwhole_lists_per_s = 0.0", "whole_lists_per_s"),
        ("steps = [10, 20]", "steps = []", "sweep.steps"),
        ("steps = [10, 20]", "steps = [10, 20.5]", "sweep.steps"),
    ] {
        let text = format!("{SMALL}{SWEEP}");
        assert_eq!(text.matches(&format!("\n{line}\n")).count(), 1, "{line}");
        assert_rejected(
            &text.replace(&format!("\n{line}\n"), &format!("\n{replacement}\n")),
            &[&format!(": {key}: ")],
        );
    }
}

#[test]
fn plan_has_either_a_sweep_or_events_of_known_zones_and_regions() {
    let sweep_or_events = ": sweep: either a sweep or events";
    assert_rejected(SMALL, &[sweep_or_events]);
    assert_rejected(&format!("{SMALL}{ZONE_AWAY}{SWEEP}"), &[sweep_or_events]);
    let zone = "event 0 (zone_away): zone: is not listed in `zones`";
    assert_rejected(&format!("{SMALL}{}", ZONE_AWAY.replace("\"a2\"", "\"a3\"")), &[zone]);
    let region = "\n[[event]]\nkind = \"region_cut\"\nregion = \"b\"\nfor_s = 1.0\n";
    assert_rejected(
        &format!("{SMALL}{ZONE_AWAY}{region}"),
        &["event 1 (region_cut): region: is not listed in `regions`"],
    );
    for for_s in ["0.0", "2.0", "nan"] {
        let zone_away = ZONE_AWAY.replace("for_s = 1.0", &format!("for_s = {for_s}"));
        assert_rejected(&format!("{SMALL}{zone_away}"), &["event 0 (zone_away): for_s: "]);
    }
}
