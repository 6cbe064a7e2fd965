use super::*;

fn parse(text: &str) -> Result<Site, FileError> {
    Site::parse(Path::new("s.toml"), text)
}

#[test]
fn built_in_site_has_no_unknown_keys() {
    let site = Site::builtin();
    assert_eq!(site.unused, Vec::<String>::new());
    assert_eq!((site.tier[0].kind.len(), site.class.len(), site.net.zones.len()), (3, 3, 3));
}

#[test]
fn unknown_keys_are_reported_and_wrong_values_name_line_and_key() {
    let text = include_str!("../../scenarios/site.toml");
    let more = text.replace("[net]", "[net]\nmtu = 1500");
    assert_eq!(parse(&more).expect("valid site").unused, ["net.mtu"]);
    let wrong =
        parse(&text.replace("max_attempts = 5", "max_attempts = \"five\"")).expect_err("not a number");
    let message = wrong.to_string();
    assert!(
        message.contains("s.toml") && message.contains("max_attempts") && message.contains("line"),
        "{message}"
    );
    let cold = parse(&text.replace("cold_from = [0.12, 0.27]", "cold_from = 0")).expect_err("no capacity");
    assert!(cold.to_string().contains("tier.kind fast-single: cold_from"), "{cold}");
}
