//! The list as a state machine.

use super::*;
use crate::core::{Command, ExpiredLease, MAX_ENTRIES, Outcome, Refusal, Registration};
use lotusmoor_registry_client::{EndpointList, StatusReason};
use proptest::prelude::*;

fn entry(name: &str, since_ms: i64) -> Entry {
    let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80","since_ms":{since_ms}}}"#);
    serde_json::from_str(&text).expect("valid entry JSON")
}

fn register(name: &str, since_ms: i64) -> Command {
    let servers = vec![Registration { entry: entry(name, since_ms), lease_ms: 5000 }];
    Command::Register { servers, expect: None, at_ms: 0 }
}

fn bootstrapped() -> List {
    let mut list = List::default();
    assert_eq!(list.apply(&register("a", 0)), Outcome::Refused(Refusal::StaleEpoch(0)));
    assert!(matches!(list.apply(&Command::Bootstrap { epoch: 100, backup: None }), Outcome::Applied { .. }));
    list
}

fn drain(name: &str, expect: Option<u64>) -> Command {
    Command::Drain { name: name.into(), expect, at_ms: 0 }
}

fn remove(name: &str) -> Command {
    Command::Remove { name: name.into(), expect: None, at_ms: 0 }
}

#[test]
fn only_effective_commands_raise_the_index_and_by_one() {
    let mut list = bootstrapped();
    let first = list.version().index;
    assert_eq!(first, 100 << EPOCH_SHIFT);
    list.apply(&register("a", 1));
    list.apply(&register("a", 1));
    assert_eq!(list.version().index, first + 1);
    list.apply(&drain("a", None));
    list.apply(&drain("a", None));
    assert_eq!(list.version().index, first + 2);
    assert_eq!(list.apply(&drain("b", None)), Outcome::Refused(Refusal::UnknownEndpoint("b".into())));
}

#[test]
fn conditional_command_is_refused_with_the_actual_index() {
    let mut list = bootstrapped();
    list.apply(&register("a", 1));
    let changed = list.entries()["a"].changed_index;
    let refused = Outcome::Refused(Refusal::IndexMismatch { name: "a".into(), found: changed });
    assert_eq!(list.apply(&drain("a", Some(changed - 1))), refused);
    let Command::Register { servers, .. } = register("a", 2) else { unreachable!() };
    let only_new = Command::Register { servers, expect: Some(0), at_ms: 0 };
    assert_eq!(list.apply(&only_new), refused);
    assert!(matches!(list.apply(&drain("a", Some(changed))), Outcome::Applied { changed: true, .. }));
}

#[test]
fn drain_survives_re_registration_but_not_a_restart() {
    let mut list = bootstrapped();
    list.apply(&register("a", 5));
    list.apply(&drain("a", None));
    list.apply(&register("a", 5));
    assert_eq!(list.entries()["a"].entry.status, Status::Draining);
    list.apply(&register("a", 6));
    assert_eq!(list.entries()["a"].entry.status, Status::Active);
}

#[test]
fn expiry_of_an_earlier_registration_changes_nothing() {
    let mut list = bootstrapped();
    list.apply(&register("a", 5));
    let registered = list.entries()["a"].registered_index;
    let expire = |registered, removes| Command::Expire {
        leases: vec![ExpiredLease { name: "a".into(), registered_index: registered, remove: removes }],
        at_ms: 0,
    };
    list.apply(&register("a", 6));
    let before = list.clone();
    assert!(matches!(list.apply(&expire(registered, false)), Outcome::Applied { changed: false, .. }));
    assert_eq!(list, before);
    let registered = list.entries()["a"].registered_index;
    list.apply(&expire(registered, false));
    assert_eq!(
        (list.entries()["a"].entry.status, list.entries()["a"].entry.status_reason),
        (Status::Draining, StatusReason::Expired)
    );
    // It registers again before it is removed.
    list.apply(&register("a", 6));
    assert_eq!(list.entries()["a"].entry.status, Status::Active);
}

#[test]
fn batch_with_an_invalid_endpoint_changes_nothing() {
    let mut list = bootstrapped();
    let valid = Registration { entry: entry("a", 0), lease_ms: 5000 };
    let invalid = |change: fn(&mut Registration)| {
        let mut registration = Registration { entry: entry("b", 0), lease_ms: 5000 };
        change(&mut registration);
        registration
    };
    let invalid_changes: [fn(&mut Registration); 7] = [
        |r| r.entry.name = "x".repeat(129),
        |r| r.entry.name = "a b".into(),
        |r| r.entry.name = String::new(),
        |r| r.entry.weight = f64::NAN,
        |r| r.entry.zone = Some("z".repeat(65)),
        |r| r.lease_ms = 10,
        |r| r.entry.name = "a".into(),
    ];
    for change in invalid_changes {
        let servers = vec![valid.clone(), invalid(change)];
        let before = list.clone();
        let outcome = list.apply(&Command::Register { servers, expect: None, at_ms: 0 });
        assert!(matches!(outcome, Outcome::Refused(Refusal::Invalid(_))), "{outcome:?}");
        assert_eq!(list, before);
    }
    let too_many = (0..=MAX_ENTRIES).map(|i| Registration { entry: entry(&format!("s{i}"), 0), lease_ms: 0 });
    let command = Command::Register { servers: too_many.collect(), expect: None, at_ms: 0 };
    assert_eq!(list.apply(&command), Outcome::Refused(Refusal::ListFull));
    // The limit holds for a wrapped command, too: this one names a service.
    let Command::Register { mut servers, .. } = command else { unreachable!() };
    servers[0].entry.service = Some("a".into());
    let command = Command::Register { servers, expect: None, at_ms: 0 }.into_log_form();
    assert_eq!(list.apply(&command), Outcome::Refused(Refusal::ListFull));
    assert!(list.entries().is_empty());
}

#[test]
fn epoch_and_index_only_increase() {
    let mut list = bootstrapped();
    list.apply(&register("a", 0));
    let before = list.version();
    assert_eq!(
        list.apply(&Command::Bootstrap { epoch: 100, backup: None }),
        Outcome::Refused(Refusal::StaleEpoch(100))
    );
    list.apply(&Command::Bootstrap { epoch: 101, backup: None });
    assert!(list.version() > before && list.version().index > before.index);
    // A reader with a version of the previous epoch gets a snapshot.
    assert!(list.update(Some(before.index)).snapshot);
}

#[test]
fn restored_backup_starts_an_epoch_newer_than_any_reader_has() {
    let mut list = bootstrapped();
    list.apply(&register("a", 0));
    let backup = list.clone();
    list.apply(&register("b", 0));
    list.apply(&remove("a"));
    let reader = EndpointList::default().updated(&list.update(None), None).expect("a full snapshot applies");
    let mut restored = List::default();
    let from = Some(Box::new(backup.clone()));
    assert_eq!(
        restored.apply(&Command::Bootstrap { epoch: 100, backup: from.clone() }),
        Outcome::Refused(Refusal::StaleEpoch(100))
    );
    restored.apply(&Command::Bootstrap { epoch: 200, backup: from });
    assert_eq!(restored.entries().keys().collect::<Vec<_>>(), ["a"]);
    let update = restored.update(Some(reader.version.index));
    assert!(
        update.snapshot && update.version > reader.version && update.version.index > reader.version.index
    );
}

#[test]
fn reader_ahead_of_the_list_or_too_far_behind_gets_a_snapshot() {
    let mut list = bootstrapped();
    let first = list.version().index;
    for i in 0..MAX_TOMBSTONES + 10 {
        let name = format!("s{i}");
        list.apply(&register(&name, 0));
        list.apply(&remove(&name));
    }
    assert!(list.tombstone_count <= MAX_TOMBSTONES && list.history.len() <= MAX_HISTORY);
    assert!(list.update(Some(first)).snapshot);
    assert!(list.update(Some(list.version().index + 1)).snapshot);
    let update = list.update(Some(list.version().index - 1));
    assert!(!update.snapshot && update.endpoints.len() == 1);
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let name = (0..6u8).prop_map(|i| format!("s{i}"));
    let one = (name, 0..6u8, 0..3i64, any::<bool>()).prop_map(|(name, kind, since, removes)| match kind {
        0 | 1 => register(&name, since),
        2 => drain(&name, None),
        3 => remove(&name),
        4 => Command::Resume { name, expect: None, at_ms: 0 },
        _ => Command::Expire {
            leases: vec![ExpiredLease { name, registered_index: (100 << EPOCH_SHIFT) + 1, remove: removes }],
            at_ms: 0,
        },
    });
    prop::collection::vec(one, 0..60)
}

proptest! {
    // Incremental updates from any version lead to the same list as a snapshot.
    #[test]
    fn incremental_update_and_snapshot_agree(commands in commands(), at in 0usize..60) {
        let mut list = bootstrapped();
        let mut reader = EndpointList::default();
        for (i, command) in commands.iter().enumerate() {
            if i == at {
                reader = reader.updated(&list.update(None), None).expect("a full snapshot applies");
            }
            list.apply(command);
        }
        let after = (reader.version.epoch > 0).then_some(reader.version.index);
        let changes = list.update(after);
        let known = reader.updated(&changes, Some(reader.version)).expect("the incremental update applies");
        let full = EndpointList::default().updated(&list.update(None), None).expect("a full snapshot applies");
        prop_assert_eq!(known, full);
    }

    // A snapshot holds the complete state.
    #[test]
    fn snapshot_survives_serialization(commands in commands()) {
        let mut list = bootstrapped();
        commands.iter().for_each(|command| drop(list.apply(command)));
        let text = serde_json::to_string(&list).expect("the list serializes");
        let read: List = serde_json::from_str(&text).expect("the list deserializes");
        prop_assert_eq!(read, list);
    }
}
