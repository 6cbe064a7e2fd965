use super::*;

fn entry(name: &str, status: Status) -> Entry {
    let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80"}}"#);
    Entry { status, ..serde_json::from_str(&text).expect("a valid entry") }
}

#[test]
fn keeps_known_entry_in_place_of_unreadable_one() {
    let text = r#"{"epoch":1,"index":9,"snapshot":true,"digest":5,"endpoints":[
        {"name":"a","address":"127.0.0.1:80","status":"active"},
        {"name":"b","address":"127.0.0.1:81","status":"resting"},{"address":7}]}"#;
    let update = ListUpdate::from_json(text.as_bytes()).expect("a valid response");
    assert_eq!((update.endpoints.len(), update.unreadable.len()), (1, 2));
    let mut known = EndpointList::default();
    known.entries.insert("b".into(), entry("b", Status::Active));
    known.entries.insert("c".into(), entry("c", Status::Active));
    let after = known.updated(&update, None).expect("a complete list");
    assert_eq!(after.entries.keys().collect::<Vec<_>>(), ["a", "b"]);
    assert!(ListUpdate::from_json(b"{\"epoch\":1").is_err());
}

#[test]
fn applies_changes_only_to_the_version_that_was_polled() {
    let known = EndpointList { version: Version { epoch: 1, index: 4 }, ..EndpointList::default() };
    let to = Version { epoch: 1, index: 5 };
    let update =
        ListUpdate { version: to, endpoints: vec![entry("a", Status::Active)], ..ListUpdate::default() };
    assert_eq!(known.updated(&update, Some(Version { epoch: 1, index: 3 })), None);
    let later = known.updated(&update, Some(known.version)).expect("the changes are to this list");
    assert_eq!((later.version, later.active_count()), (to, 1));
    let removal = ListUpdate { endpoints: vec![entry("a", Status::Removed)], ..update };
    assert_eq!(known.updated(&removal, Some(known.version)).map(|k| k.entries.len()), Some(0));
}

#[test]
fn compares_epochs_before_indexes() {
    let v = |epoch, index| Version { epoch, index };
    assert!(v(2, 1) > v(1, 9) && v(1, 2) > v(1, 1));
}
