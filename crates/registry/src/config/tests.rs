use super::*;

fn read(text: &str) -> Result<Config, ConfigError> {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("roster.toml");
    std::fs::write(&path, text).expect("it is written");
    Config::read(&path)
}

#[test]
fn an_empty_file_is_all_defaults_and_a_wrong_one_names_file_line_and_key() {
    assert_eq!(read("").expect("defaults").id, 1);
    let unknown = read("id = 2\n[leases]\nwindows_s = 3\n").expect_err("unknown").to_string();
    assert!(["roster.toml", "line 3", "windows_s"].iter().all(|w| unknown.contains(w)), "{unknown}");
    let wrong = read("[ages]\nmark_s = 5\nrefuse_s = 2\n").expect_err("wrong").to_string();
    assert!(wrong.ends_with("roster.toml: ages.refuse_s: must not be below mark_s"), "{wrong}");
    assert!(read("[timing]\nheartbeat_ms = 900\n").is_err());
}
