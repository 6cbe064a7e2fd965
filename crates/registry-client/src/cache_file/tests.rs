use super::*;
use crate::list::Version;

fn known() -> EndpointList {
    EndpointList { version: Version { epoch: 3, index: 70 }, digest: 9, ..EndpointList::default() }
}

#[test]
fn what_was_saved_is_loaded_and_no_other_file_is_left() {
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
fn an_older_program_refuses_a_list_of_services_and_no_other() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("list.json");
    let format = || {
        let text = std::fs::read_to_string(&path).expect("it is read");
        serde_json::from_str::<Written>(&text).expect("it is text").format
    };
    save(&path, &known()).expect("it is written");
    assert_eq!(format(), 1);
    let of_services = EndpointList { services: vec!["a".into()], ..known() };
    save(&path, &of_services).expect("it is written");
    assert_eq!(format(), 2);
    assert_eq!(load(&path).expect("it is read").map(|(k, _)| k), Some(of_services));
}

// Word for word as a program wrote it that knew of no services.
#[test]
fn an_older_file_is_of_all_servers() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("list.json");
    let list = r#"{"version":{"epoch":3,"index":70},"digest":9,"entries":{}}"#;
    let written = Written { format: 1, checksum: checksum(list.as_bytes()), saved_ms: 5, list: list.into() };
    std::fs::write(&path, serde_json::to_vec(&written).expect("text")).expect("it is written");
    assert_eq!(load(&path).expect("it is read").map(|(k, _)| k), Some(known()));
    save(&path, &known()).expect("it is written");
    let text = std::fs::read_to_string(&path).expect("it is read");
    assert_eq!(serde_json::from_str::<Written>(&text).expect("it is text").list, list);
}

#[test]
fn one_flipped_byte_or_a_torn_end_is_seen() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("list.json");
    save(&path, &known()).expect("it is written");
    let whole = std::fs::read(&path).expect("it is read");
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 1;
        std::fs::write(&path, &flipped).expect("it is written");
        // A flip in the time of writing alone may pass: nothing is decided by it.
        if let Ok(loaded) = load(&path) {
            assert_eq!(loaded.map(|(k, _)| k), Some(known()), "byte {at}");
        }
        std::fs::write(&path, &whole[..at]).expect("it is written");
        assert!(load(&path).is_err(), "torn at {at}");
    }
}

#[test]
fn a_folder_that_is_not_there_is_an_error_that_names_the_file() {
    let error = save(Path::new("/nowhere/at/all/list.json"), &known()).expect_err("no folder");
    assert!(error.to_string().starts_with("/nowhere/at/all/list.json: "), "{error}");
}
