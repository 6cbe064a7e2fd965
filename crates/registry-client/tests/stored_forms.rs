//! The forms in which lists are stored and sent: fixtures that were written by the program at commit 3f326ce. Names in
//! the code may change; what is read from these files and written again may not.

use lotusmoor_registry_client::cache_file::{load, save};
use lotusmoor_registry_client::{EndpointList, Entry, ListUpdate, Status, StatusReason, Version};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const WHOLE_LIST: &str = "list-whole.json";
const LIST_OF_SERVICES: &str = "list-of-services.json";
const WHOLE_ANSWER: &str = "answer-whole.json";
const ANSWER_OF_CHANGES: &str = "answer-changes.json";
const ANSWER_OF_SERVICES: &str = "answer-of-services.json";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn text(path: &Path) -> String {
    std::fs::read_to_string(path).expect("it can be read")
}

fn address(of: &str) -> SocketAddr {
    of.parse().expect("an address")
}

/// An entry with every field filled, none with its default.
fn full_entry() -> Entry {
    Entry {
        name: "ledger-1".to_owned(),
        address: address("127.4.0.1:8443"),
        service: Some("ledger".to_owned()),
        zone: Some("zone-a".to_owned()),
        region: Some("north".to_owned()),
        machine_type: Some("m5.large".to_owned()),
        cell: 7,
        status: Status::Draining,
        weight: 2.5,
        started_ms: 1_790_000_000_123,
        status_reason: StatusReason::Drained,
    }
}

/// An entry with nothing but what it must have.
fn bare_entry() -> Entry {
    Entry {
        name: "plain-1".to_owned(),
        address: address("[::1]:9000"),
        service: None,
        zone: None,
        region: None,
        machine_type: None,
        cell: 0,
        status: Status::Active,
        weight: 1.0,
        started_ms: 0,
        status_reason: StatusReason::Registered,
    }
}

fn by_name(entries: Vec<Entry>) -> BTreeMap<String, Entry> {
    entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect()
}

fn whole_list() -> EndpointList {
    EndpointList {
        version: Version { epoch: 3, index: 70 },
        digest: 18_446_744_073_709_551_557,
        services: Vec::new(),
        entries: by_name(vec![full_entry(), bare_entry()]),
    }
}

fn list_of_services() -> EndpointList {
    let second = Entry { name: "mail-1".to_owned(), service: Some("mail".to_owned()), ..bare_entry() };
    EndpointList {
        version: Version { epoch: 4, index: 71 },
        digest: 9,
        services: vec!["ledger".to_owned(), "mail".to_owned()],
        entries: by_name(vec![full_entry(), second]),
    }
}

fn whole_answer() -> ListUpdate {
    ListUpdate {
        version: Version { epoch: 3, index: 70 },
        snapshot: true,
        digest: 18_446_744_073_709_551_557,
        replica: 2,
        age_ms: 14,
        waited_ms: 3_999,
        services: None,
        endpoints: vec![full_entry(), bare_entry()],
        unreadable: Vec::new(),
    }
}

/// Changes with an entry for each way in which one can come to its state.
fn answer_of_changes() -> ListUpdate {
    let left = |name: &str, why| Entry {
        name: name.to_owned(),
        status: Status::Removed,
        status_reason: why,
        ..bare_entry()
    };
    let endpoints = vec![
        bare_entry(),
        full_entry(),
        left("removed-1", StatusReason::Removed),
        left("expired-1", StatusReason::Expired),
    ];
    ListUpdate { version: Version { epoch: 3, index: 74 }, snapshot: false, endpoints, ..whole_answer() }
}

fn answer_of_services() -> ListUpdate {
    let services = Some(vec!["ledger".to_owned(), "mail".to_owned()]);
    ListUpdate { services, endpoints: vec![full_entry()], ..whole_answer() }
}

/// The text of a list's file with its time of writing left out.
fn without_time(text: &str) -> String {
    let (before, rest) = text.split_once(r#""saved_ms":"#).expect("a time of writing");
    let end = rest.find(|c: char| !c.is_ascii_digit()).expect("what follows it");
    assert!(end > 0, "{text}");
    format!("{before}{}", &rest[end..])
}

#[test]
fn a_stored_list_is_loaded_and_saved_again_as_the_same_text() {
    for (name, list) in [(WHOLE_LIST, whole_list()), (LIST_OF_SERVICES, list_of_services())] {
        let stored = fixture(name);
        let (loaded, _) = load(&stored).expect("it can be loaded").expect("it is there");
        assert_eq!(loaded, list, "{name}");
        let folder = tempfile::tempdir().expect("a folder");
        let saved = folder.path().join("list.json");
        save(&saved, &loaded).expect("it can be saved");
        assert_eq!(without_time(&text(&saved)), without_time(&text(&stored)), "{name}");
    }
}

#[test]
fn the_stored_time_of_writing_gives_the_age_of_a_list() {
    const LONG_AGO: &str = r#""saved_ms":5,"#;
    let stored = text(&fixture(WHOLE_LIST));
    let (before, rest) = stored.split_once(r#""saved_ms":"#).expect("a time of writing");
    let (_, after) = rest.split_once(',').expect("what follows it");
    let folder = tempfile::tempdir().expect("a folder");
    let old = folder.path().join("list.json");
    std::fs::write(&old, format!("{before}{LONG_AGO}{after}")).expect("it can be written");
    let (loaded, age) = load(&old).expect("it can be loaded").expect("it is there");
    let years = age.as_secs() / (365 * 24 * 3600);
    assert_eq!(loaded, whole_list());
    assert!(years >= 50, "{years} years");
}

#[test]
fn a_replicas_answer_is_read_and_written_again_as_the_same_text() {
    for (name, answer) in [
        (WHOLE_ANSWER, whole_answer()),
        (ANSWER_OF_CHANGES, answer_of_changes()),
        (ANSWER_OF_SERVICES, answer_of_services()),
    ] {
        let sent = text(&fixture(name));
        let read = ListUpdate::from_json(sent.as_bytes()).expect("it can be read");
        assert_eq!(read, answer, "{name}");
        assert_eq!(serde_json::to_string(&read).expect("it can be written"), sent, "{name}");
    }
}

#[test]
fn an_answer_with_the_least_that_it_must_have_is_read_with_the_defaults() {
    let sent = r#"{"epoch":1,"index":2,"snapshot":true,"digest":3,"endpoints":[
        {"name":"plain-1","address":"[::1]:9000"}]}"#;
    let read = ListUpdate::from_json(sent.as_bytes()).expect("it can be read");
    let version = Version { epoch: 1, index: 2 };
    let wanted = ListUpdate {
        version,
        snapshot: true,
        digest: 3,
        endpoints: vec![bare_entry()],
        ..ListUpdate::default()
    };
    assert_eq!(read, wanted);
}

#[test]
fn every_state_and_every_cause_has_its_stored_word() {
    for (status, word) in
        [(Status::Active, "active"), (Status::Draining, "leaving"), (Status::Removed, "left")]
    {
        assert_eq!(serde_json::to_string(&status).expect("text"), format!("\"{word}\""));
        assert_eq!(serde_json::from_str::<Status>(&format!("\"{word}\"")).expect("a state"), status);
    }
    for (why, word) in [
        (StatusReason::Registered, "registered"),
        (StatusReason::Drained, "drained"),
        (StatusReason::Removed, "removed"),
        (StatusReason::Expired, "expired"),
    ] {
        assert_eq!(serde_json::to_string(&why).expect("text"), format!("\"{word}\""));
        assert_eq!(serde_json::from_str::<StatusReason>(&format!("\"{word}\"")).expect("a cause"), why);
    }
}
