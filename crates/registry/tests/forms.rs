//! Compatibility with the previous release, which does not support services: it must reject data with services, and not
//! decode it and lose the services.

use lotusmoor_registry::core::{Command, ExpiredLease, List, Outcome, Registration};
use lotusmoor_registry::store::{Format, StateMachineData, Store, StoreError};
use serde::Deserialize;
use serde_json::json;

/// The commands of the previous release. `Found` is the wire name of `Bootstrap`, `Put` that of `Register`.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields are only deserialized")]
enum PreviousCommand {
    Found { epoch: u64, from: Option<serde_json::Value> },
    Put { servers: Vec<PreviousRegistration>, expect: Option<u64>, at_ms: u64 },
    Drain { name: String, expect: Option<u64>, at_ms: u64 },
    Resume { name: String, expect: Option<u64>, at_ms: u64 },
    Remove { name: String, expect: Option<u64>, at_ms: u64 },
    Expire { due: Vec<ExpiredLease>, at_ms: u64 },
}

/// A registration in the previous release, which ignores unknown fields.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields are only deserialized")]
struct PreviousRegistration {
    entry: PreviousEntry,
    lease_ms: u64,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields are only deserialized")]
struct PreviousEntry {
    name: String,
    address: std::net::SocketAddr,
}

fn register(name: &str, service: Option<&str>) -> Command {
    let mut entry = json!({"name": name, "address": "127.0.0.1:80"});
    if let Some(service) = service {
        entry["service"] = json!(service);
    }
    let entry = serde_json::from_value(entry).expect("a valid entry");
    let servers = vec![Registration { entry, lease_ms: 0 }];
    Command::Register { servers, expect: None, at_ms: 0 }.into_log_form()
}

fn list(service: Option<&str>) -> List {
    let mut list = List::default();
    for command in [Command::Bootstrap { epoch: 100, backup: None }, register("a", service)] {
        assert!(matches!(list.apply(&command), Outcome::Applied { changed: true, .. }));
    }
    list
}

fn decode_with_previous_release(command: &Command) -> Result<PreviousCommand, serde_json::Error> {
    serde_json::from_str(&serde_json::to_string(command).expect("the command is encoded"))
}

#[test]
fn previous_release_rejects_commands_with_services_and_decodes_others() {
    for plain in [
        register("a", None),
        Command::Bootstrap { epoch: 100, backup: None },
        Command::Bootstrap { epoch: 101, backup: Some(Box::new(list(None))) }.into_log_form(),
        Command::Drain { name: "a".into(), expect: None, at_ms: 0 },
        Command::Resume { name: "a".into(), expect: None, at_ms: 0 },
        Command::Remove { name: "a".into(), expect: Some(1), at_ms: 0 },
        Command::Expire {
            leases: vec![ExpiredLease { name: "a".into(), registered_index: 1, remove: false }],
            at_ms: 0,
        },
    ] {
        let decoded = decode_with_previous_release(&plain);
        assert!(decoded.is_ok(), "{plain:?}: {decoded:?}");
    }
    for newer in [
        register("a", Some("s")),
        Command::Bootstrap { epoch: 101, backup: Some(Box::new(list(Some("s")))) }.into_log_form(),
    ] {
        let error = decode_with_previous_release(&newer).expect_err("it is rejected").to_string();
        assert!(error.contains("unknown variant `Services`"), "{error}");
        // Unwrapped, it would be accepted, and its services would be lost.
        assert!(decode_with_previous_release(newer.unwrapped()).is_ok());
    }
}

#[test]
fn store_of_older_format_rejects_services() {
    let with_services = StateMachineData { list: list(Some("s")), ..StateMachineData::default() };
    let without_services = StateMachineData { list: list(None), ..StateMachineData::default() };
    for older_format in [Format::PlainJson, Format::Checksummed] {
        let folder = tempfile::tempdir().expect("a temporary directory");
        let store = Store::open(folder.path(), older_format).expect("the store opens");
        for rejected in
            [store.save_snapshot(&with_services).err(), store.encode_snapshot(&with_services).err()]
        {
            let number = older_format.number();
            assert!(
                matches!(rejected, Some(StoreError::ServicesUnsupported { format, .. }) if format == number),
                "{rejected:?}"
            );
        }
        assert!(store.load_snapshot().expect("the store is readable").is_none());
        store.save_snapshot(&without_services).expect("the snapshot is saved");
        drop(store);
        // Opened with the newer format, the store is converted. Once it holds services, it can't be downgraded.
        let store = Store::open(folder.path(), Format::Services).expect("the store opens");
        assert_eq!(store.load_snapshot().expect("the store is readable").as_ref(), Some(&without_services));
        store.save_snapshot(&with_services).expect("the snapshot is saved");
        drop(store);
        let rejected = Store::open(folder.path(), older_format).err();
        assert!(matches!(&rejected, Some(StoreError::ServicesUnsupported { .. })), "{rejected:?}");
        // The rejected downgrade has not changed the store.
        let store = Store::open(folder.path(), Format::Services).expect("the store opens");
        assert_eq!(store.load_snapshot().expect("the store is readable").as_ref(), Some(&with_services));
    }
}

#[test]
fn store_without_services_converts_to_older_formats() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let without_services = StateMachineData { list: list(None), ..StateMachineData::default() };
    for format in [Format::Services, Format::Checksummed, Format::PlainJson, Format::Services] {
        let store = Store::open(folder.path(), format).expect("the store opens");
        store.save_snapshot(&without_services).expect("the snapshot is saved");
    }
}

#[test]
fn format_with_services_has_a_tag_unknown_to_previous_release() {
    // The previous release knows plain JSON, and data that begins with this tag.
    const PREVIOUS_TAG: u8 = 2;
    let plain = br#"{"a":1}"#;
    assert_eq!(Format::Checksummed.encode(plain)[0], PREVIOUS_TAG);
    let tag = Format::Services.encode(plain)[0];
    assert_ne!(tag, PREVIOUS_TAG);
    assert!(!b"{[\"n0123456789".contains(&tag));
}
