//! The formats in which lists are stored and sent. The fixtures were written at commit 3f326ce; they must still be
//! decoded to the same values, and the values encoded to the same text.

use lotusmoor_registry_client::cache_file::{load, save};
use lotusmoor_registry_client::{EndpointList, Entry, ListUpdate, Status, StatusReason, Version};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const COMPLETE_LIST: &str = "list-whole.json";
const LIST_OF_SERVICES: &str = "list-of-services.json";
const COMPLETE_UPDATE: &str = "answer-whole.json";
const CHANGES_UPDATE: &str = "answer-changes.json";
const SERVICES_UPDATE: &str = "answer-of-services.json";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn read_text(path: &Path) -> String {
    std::fs::read_to_string(path).expect("the file is readable")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// An entry with no field at its default.
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

/// An entry with required fields only.
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

fn complete_list() -> EndpointList {
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

fn complete_update() -> ListUpdate {
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

/// Changes with an entry for each status reason.
fn changes_update() -> ListUpdate {
    let removed = |name: &str, reason| Entry {
        name: name.to_owned(),
        status: Status::Removed,
        status_reason: reason,
        ..bare_entry()
    };
    let endpoints = vec![
        bare_entry(),
        full_entry(),
        removed("removed-1", StatusReason::Removed),
        removed("expired-1", StatusReason::Expired),
    ];
    ListUpdate { version: Version { epoch: 3, index: 74 }, snapshot: false, endpoints, ..complete_update() }
}

fn services_update() -> ListUpdate {
    let services = Some(vec!["ledger".to_owned(), "mail".to_owned()]);
    ListUpdate { services, endpoints: vec![full_entry()], ..complete_update() }
}

/// The text of a cache file without the value of `saved_ms`.
fn without_saved_ms(text: &str) -> String {
    let (before, rest) = text.split_once(r#""saved_ms":"#).expect("a `saved_ms` field");
    let end = rest.find(|c: char| !c.is_ascii_digit()).expect("text after the number");
    assert!(end > 0, "{text}");
    format!("{before}{}", &rest[end..])
}

#[test]
fn stored_list_round_trips() {
    for (name, list) in [(COMPLETE_LIST, complete_list()), (LIST_OF_SERVICES, list_of_services())] {
        let stored = fixture(name);
        let (loaded, _) = load(&stored).expect("the list loads").expect("there is a file");
        assert_eq!(loaded, list, "{name}");
        let directory = tempfile::tempdir().expect("a directory");
        let saved = directory.path().join("list.json");
        save(&saved, &loaded).expect("the list is saved");
        assert_eq!(without_saved_ms(&read_text(&saved)), without_saved_ms(&read_text(&stored)), "{name}");
    }
}

#[test]
fn age_of_loaded_list_is_computed_from_saved_ms() {
    const LONG_AGO: &str = r#""saved_ms":5,"#;
    let stored = read_text(&fixture(COMPLETE_LIST));
    let (before, rest) = stored.split_once(r#""saved_ms":"#).expect("a `saved_ms` field");
    let (_, after) = rest.split_once(',').expect("text after the field");
    let directory = tempfile::tempdir().expect("a directory");
    let old = directory.path().join("list.json");
    std::fs::write(&old, format!("{before}{LONG_AGO}{after}")).expect("the file is written");
    let (loaded, age) = load(&old).expect("the list loads").expect("there is a file");
    let years = age.as_secs() / (365 * 24 * 3600);
    assert_eq!(loaded, complete_list());
    assert!(years >= 50, "{years} years");
}

#[test]
fn responses_round_trip() {
    for (name, update) in [
        (COMPLETE_UPDATE, complete_update()),
        (CHANGES_UPDATE, changes_update()),
        (SERVICES_UPDATE, services_update()),
    ] {
        let sent = read_text(&fixture(name));
        let read = ListUpdate::from_json(sent.as_bytes()).expect("a valid response");
        assert_eq!(read, update, "{name}");
        assert_eq!(serde_json::to_string(&read).expect("the update is encoded"), sent, "{name}");
    }
}

#[test]
fn response_with_required_fields_only_is_decoded_with_defaults() {
    let sent = r#"{"epoch":1,"index":2,"snapshot":true,"digest":3,"endpoints":[
        {"name":"plain-1","address":"[::1]:9000"}]}"#;
    let read = ListUpdate::from_json(sent.as_bytes()).expect("a valid response");
    let version = Version { epoch: 1, index: 2 };
    let expected = ListUpdate {
        version,
        snapshot: true,
        digest: 3,
        endpoints: vec![bare_entry()],
        ..ListUpdate::default()
    };
    assert_eq!(read, expected);
}

#[test]
fn statuses_and_status_reasons_keep_their_wire_names() {
    for (status, wire_name) in
        [(Status::Active, "active"), (Status::Draining, "leaving"), (Status::Removed, "left")]
    {
        assert_eq!(serde_json::to_string(&status).expect("the value is encoded"), format!("\"{wire_name}\""));
        assert_eq!(serde_json::from_str::<Status>(&format!("\"{wire_name}\"")).expect("a status"), status);
    }
    for (reason, wire_name) in [
        (StatusReason::Registered, "registered"),
        (StatusReason::Drained, "drained"),
        (StatusReason::Removed, "removed"),
        (StatusReason::Expired, "expired"),
    ] {
        assert_eq!(serde_json::to_string(&reason).expect("the value is encoded"), format!("\"{wire_name}\""));
        assert_eq!(
            serde_json::from_str::<StatusReason>(&format!("\"{wire_name}\"")).expect("a status reason"),
            reason
        );
    }
}
