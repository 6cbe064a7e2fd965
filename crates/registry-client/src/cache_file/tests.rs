use super::*;
use crate::list::Version;

fn known() -> EndpointList {
    EndpointList { version: Version { epoch: 3, index: 70 }, digest: 9, ..EndpointList::default() }
}

#[test]
fn loads_saved_list_and_leaves_no_temporary_file() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("list.json");
    assert!(load(&path).expect("a missing file is no error").is_none());
    for index in 70..73 {
        let known = EndpointList { version: Version { epoch: 3, index }, ..known() };
        save(&path, &known).expect("the list is saved");
        assert_eq!(load(&path).expect("the list loads").map(|(k, _)| k), Some(known));
    }
    assert_eq!(std::fs::read_dir(directory.path()).expect("the directory is readable").count(), 1);
}

#[test]
fn uses_format_rejected_by_older_releases_only_for_lists_of_services() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("list.json");
    let format = || {
        let text = std::fs::read_to_string(&path).expect("the file is readable");
        serde_json::from_str::<StoredList>(&text).expect("valid JSON").format
    };
    save(&path, &known()).expect("the list is saved");
    assert_eq!(format(), 1);
    let of_services = EndpointList { services: vec!["a".into()], ..known() };
    save(&path, &of_services).expect("the list is saved");
    assert_eq!(format(), 2);
    assert_eq!(load(&path).expect("the list loads").map(|(k, _)| k), Some(of_services));
}

// The list is stored as by a release without support for services.
#[test]
fn reads_and_writes_list_of_all_servers_like_older_releases() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("list.json");
    let list = r#"{"version":{"epoch":3,"index":70},"digest":9,"entries":{}}"#;
    let written =
        StoredList { format: 1, checksum: checksum(list.as_bytes()), saved_ms: 5, list: list.into() };
    std::fs::write(&path, serde_json::to_vec(&written).expect("valid JSON")).expect("the file is written");
    assert_eq!(load(&path).expect("the list loads").map(|(k, _)| k), Some(known()));
    save(&path, &known()).expect("the list is saved");
    let text = std::fs::read_to_string(&path).expect("the file is readable");
    assert_eq!(serde_json::from_str::<StoredList>(&text).expect("valid JSON").list, list);
}

#[test]
fn detects_a_flipped_bit_or_a_truncated_file() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("list.json");
    save(&path, &known()).expect("the list is saved");
    let bytes = std::fs::read(&path).expect("the file is readable");
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 1;
        std::fs::write(&path, &flipped).expect("the file is written");
        // A flipped bit in `saved_ms` may go undetected: no decision depends on that field.
        if let Ok(loaded) = load(&path) {
            assert_eq!(loaded.map(|(k, _)| k), Some(known()), "byte {at}");
        }
        std::fs::write(&path, &bytes[..at]).expect("the file is written");
        assert!(load(&path).is_err(), "truncated at {at}");
    }
}

#[test]
fn names_file_in_error_if_its_directory_does_not_exist() {
    let error = save(Path::new("/nowhere/at/all/list.json"), &known()).expect_err("no such directory");
    assert!(error.to_string().starts_with("/nowhere/at/all/list.json: "), "{error}");
}
