use super::*;
use crate::list::Version;

fn known() -> EndpointList {
    EndpointList { version: Version { epoch: 3, index: 70 }, digest: 9, ..EndpointList::default() }
}

#[test]
fn loads_what_was_saved_and_leaves_no_temporary_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("list.json");
    assert!(load(&path).expect("it is not there").is_none());
    for index in 70..73 {
        let known = EndpointList { version: Version { epoch: 3, index }, ..known() };
        save(&path, &known).expect("it is written");
        assert_eq!(load(&path).expect("it is read").map(|(k, _)| k), Some(known));
    }
    assert_eq!(std::fs::read_dir(folder.path()).expect("it is listed").count(), 1);
}

#[test]
fn marks_only_lists_of_services_with_a_format_that_older_versions_refuse() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("list.json");
    let format = || {
        let text = std::fs::read_to_string(&path).expect("it is read");
        serde_json::from_str::<StoredList>(&text).expect("it is text").format
    };
    save(&path, &known()).expect("it is written");
    assert_eq!(format(), 1);
    let of_services = EndpointList { services: vec!["a".into()], ..known() };
    save(&path, &of_services).expect("it is written");
    assert_eq!(format(), 2);
    assert_eq!(load(&path).expect("it is read").map(|(k, _)| k), Some(of_services));
}

// The bytes that a version without services wrote.
#[test]
fn reads_and_writes_a_list_of_all_servers_as_older_versions_do() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("list.json");
    let list = r#"{"version":{"epoch":3,"index":70},"digest":9,"entries":{}}"#;
    let written =
        StoredList { format: 1, checksum: checksum(list.as_bytes()), saved_ms: 5, list: list.into() };
    std::fs::write(&path, serde_json::to_vec(&written).expect("text")).expect("it is written");
    assert_eq!(load(&path).expect("it is read").map(|(k, _)| k), Some(known()));
    save(&path, &known()).expect("it is written");
    let text = std::fs::read_to_string(&path).expect("it is read");
    assert_eq!(serde_json::from_str::<StoredList>(&text).expect("it is text").list, list);
}

#[test]
fn detects_a_flipped_bit_or_a_truncated_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("list.json");
    save(&path, &known()).expect("it is written");
    let bytes = std::fs::read(&path).expect("it is read");
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 1;
        std::fs::write(&path, &flipped).expect("it is written");
        // A flip in the time of writing alone may pass: nothing is decided by it.
        if let Ok(loaded) = load(&path) {
            assert_eq!(loaded.map(|(k, _)| k), Some(known()), "byte {at}");
        }
        std::fs::write(&path, &bytes[..at]).expect("it is written");
        assert!(load(&path).is_err(), "torn at {at}");
    }
}

#[test]
fn names_the_file_where_its_folder_does_not_exist() {
    let error = save(Path::new("/nowhere/at/all/list.json"), &known()).expect_err("no folder");
    assert!(error.to_string().starts_with("/nowhere/at/all/list.json: "), "{error}");
}
