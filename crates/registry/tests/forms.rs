//! What the version before makes of services: it turns them down, and misreads none.

use lotusmoor_registry::core::{Command, ExpiredLease, List, Outcome, Registration};
use lotusmoor_registry::store::{Format, Snapshot, Store, StoreError};
use serde::Deserialize;
use serde_json::json;

/// The commands as the version before had them.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "it is read, and nothing is done with it")]
enum Before {
    Found { epoch: u64, from: Option<serde_json::Value> },
    Put { servers: Vec<RegistrationBefore>, expect: Option<u64>, at_ms: u64 },
    Drain { name: String, expect: Option<u64>, at_ms: u64 },
    Resume { name: String, expect: Option<u64>, at_ms: u64 },
    Remove { name: String, expect: Option<u64>, at_ms: u64 },
    Expire { due: Vec<ExpiredLease>, at_ms: u64 },
}

/// A server as the version before had it: what it did not know it passed over.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "it is read, and nothing is done with it")]
struct RegistrationBefore {
    entry: EntryBefore,
    lease_ms: u64,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "it is read, and nothing is done with it")]
struct EntryBefore {
    name: String,
    address: std::net::SocketAddr,
}

fn put(name: &str, service: Option<&str>) -> Command {
    let mut entry = json!({"name": name, "address": "127.0.0.1:80"});
    if let Some(service) = service {
        entry["service"] = json!(service);
    }
    let entry = serde_json::from_value(entry).expect("it is read");
    let servers = vec![Registration { entry, lease_ms: 0 }];
    Command::Register { servers, expect: None, at_ms: 0 }.into_log_form()
}

fn list(service: Option<&str>) -> List {
    let mut list = List::default();
    for command in [Command::Bootstrap { epoch: 100, backup: None }, put("a", service)] {
        assert!(matches!(list.apply(&command), Outcome::Applied { changed: true, .. }));
    }
    list
}

fn before(command: &Command) -> Result<Before, serde_json::Error> {
    serde_json::from_str(&serde_json::to_string(command).expect("it is written"))
}

#[test]
fn earlier_version_rejects_commands_with_services_and_reads_others() {
    for plain in [
        put("a", None),
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
        let read = before(&plain);
        assert!(read.is_ok(), "{plain:?}: {read:?}");
    }
    for newer in [
        put("a", Some("s")),
        Command::Bootstrap { epoch: 101, backup: Some(Box::new(list(Some("s")))) }.into_log_form(),
    ] {
        let error = before(&newer).expect_err("it is turned down").to_string();
        assert!(error.contains("unknown variant `Services`"), "{error}");
        // Not in its form it would have been read, without the services.
        assert!(before(newer.unwrapped()).is_ok());
    }
}

#[test]
fn store_of_older_format_rejects_services() {
    let with = Snapshot { list: list(Some("s")), ..Snapshot::default() };
    let without = Snapshot { list: list(None), ..Snapshot::default() };
    for older in [Format::PlainJson, Format::Checksummed] {
        let folder = tempfile::tempdir().expect("a folder");
        let store = Store::open(folder.path(), older).expect("it opens");
        for refused in [store.save_snapshot(&with).err(), store.encode_snapshot(&with).err()] {
            let number = older.number();
            assert!(
                matches!(refused, Some(StoreError::ServicesUnsupported { format, .. }) if format == number),
                "{refused:?}"
            );
        }
        assert!(store.load_snapshot().expect("it is read").is_none());
        store.save_snapshot(&without).expect("it is kept");
        drop(store);
        // The newer format takes it over and keeps services in it. Then there is no way back.
        let store = Store::open(folder.path(), Format::Services).expect("it opens");
        assert_eq!(store.load_snapshot().expect("it is read").as_ref(), Some(&without));
        store.save_snapshot(&with).expect("it is kept");
        drop(store);
        let refused = Store::open(folder.path(), older).err();
        assert!(matches!(&refused, Some(StoreError::ServicesUnsupported { .. })), "{refused:?}");
        // And what was refused is as it was.
        let store = Store::open(folder.path(), Format::Services).expect("it opens");
        assert_eq!(store.load_snapshot().expect("it is read").as_ref(), Some(&with));
    }
}

#[test]
fn store_without_services_converts_to_older_formats() {
    let folder = tempfile::tempdir().expect("a folder");
    let without = Snapshot { list: list(None), ..Snapshot::default() };
    for format in [Format::Services, Format::Checksummed, Format::PlainJson, Format::Services] {
        let store = Store::open(folder.path(), format).expect("it opens");
        store.save_snapshot(&without).expect("it is kept");
    }
}

#[test]
fn format_with_services_has_a_tag_unknown_to_earlier_version() {
    // It knew bare JSON, and this mark.
    const MARK_BEFORE: u8 = 2;
    let plain = br#"{"a":1}"#;
    assert_eq!(Format::Checksummed.encode(plain)[0], MARK_BEFORE);
    let mark = Format::Services.encode(plain)[0];
    assert_ne!(mark, MARK_BEFORE);
    assert!(!b"{[\"n0123456789".contains(&mark));
}
