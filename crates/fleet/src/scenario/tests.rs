use super::*;

#[test]
fn built_in_scenarios_are_valid() {
    for name in Scenario::names() {
        let (scenario, site) = Scenario::load(name).expect(name);
        assert_eq!((scenario.name.as_str(), site.name.as_str()), (name, "ledger"));
    }
}

#[test]
fn unknown_keys_and_values_out_of_range_are_reported_with_line_and_key() {
    let text = include_str!("../../scenarios/calm.toml");
    let parse =
        |text: &str| Scenario::parse(Path::new("x.toml"), text).expect_err("invalid scenario").to_string();
    let unknown = parse(&text.replace("sidecars =", "side_cars ="));
    assert!(
        unknown.contains("x.toml") && unknown.contains("line") && unknown.contains("side_cars"),
        "{unknown}"
    );
    let wrong = parse(&text.replace("length_s =", "length_s = -1 #"));
    assert_eq!(wrong, "x.toml: length_s: is out of range");
    let fault = parse(&format!("{text}\n[[fault]]\nkind = \"slow\"\nat_s = 1\nfor_s = 2\npart = 1.5\n"));
    assert!(fault.contains("(slow): part"), "{fault}");
}
