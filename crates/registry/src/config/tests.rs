use super::*;

fn read(text: &str) -> Result<Config, ConfigError> {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("roster.toml");
    std::fs::write(&path, text).expect("the file is written");
    Config::read(&path)
}

#[test]
fn empty_file_gives_defaults_and_errors_name_file_line_and_key() {
    assert_eq!(read("").expect("an empty file is valid").id, 1);
    let unknown = read("id = 2\n[leases]\nwindows_s = 3\n").expect_err("an unknown key").to_string();
    assert!(["roster.toml", "line 3", "windows_s"].iter().all(|w| unknown.contains(w)), "{unknown}");
    let invalid = read("[ages]\nmark_s = 5\nrefuse_s = 2\n").expect_err("a value out of range").to_string();
    assert!(invalid.ends_with("roster.toml: ages.refuse_s: must not be below mark_s"), "{invalid}");
    assert!(read("[timing]\nheartbeat_ms = 900\n").is_err());
}
