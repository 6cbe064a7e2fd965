//! Updates that readers of services get.

use super::*;
use crate::core::{
    Command, EPOCH_SHIFT, ExpiredLease, List, MAX_LABEL_BYTES, MAX_SERVICES_PER_QUERY, Outcome, Refusal,
    Registration, parse_services,
};
use lotusmoor_registry_client::{EndpointList, ListUpdate};
use proptest::prelude::*;

fn entry(name: &str, service: Option<&str>) -> Entry {
    let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80"}}"#);
    Entry { service: service.map(str::to_owned), ..serde_json::from_str(&text).expect("valid entry JSON") }
}

fn register(servers: &[(&str, &str)]) -> Command {
    let one = |(name, service): &(&str, &str)| {
        let service = Some(*service).filter(|s| !s.is_empty());
        Registration { entry: entry(name, service), lease_ms: 5000 }
    };
    Command::Register { servers: servers.iter().map(one).collect(), expect: None, at_ms: 0 }.into_log_form()
}

fn remove(name: &str) -> Command {
    Command::Remove { name: name.into(), expect: None, at_ms: 0 }
}

fn bootstrap(epoch: u64, backup: Option<&List>) -> Command {
    Command::Bootstrap { epoch, backup: backup.cloned().map(Box::new) }.into_log_form()
}

fn apply_ok(list: &mut List, command: &Command) {
    let outcome = list.apply(command);
    assert!(matches!(outcome, Outcome::Applied { .. }), "{outcome:?}");
}

fn bootstrapped() -> List {
    let mut list = List::default();
    apply_ok(&mut list, &bootstrap(100, None));
    list
}

fn parse(names: &str) -> Vec<String> {
    parse_services(names).expect("valid service names")
}

/// A reader of a set of services.
#[derive(Clone)]
struct Reader {
    services: Vec<String>,
    known: EndpointList,
}

impl Reader {
    fn of(names: &str, list: &List) -> Self {
        let mut reader = Self { services: parse(names), known: EndpointList::default() };
        assert!(reader.poll(list).snapshot);
        reader
    }

    fn poll(&mut self, list: &List) -> ListUpdate {
        let before = self.known.version;
        let after = (before.epoch == list.version().epoch && before.epoch > 0).then_some(before.index);
        let update = list.update_for_services(after, &self.services);
        assert_eq!((update.version, update.services.as_ref()), (list.version(), Some(&self.services)));
        // Readers that lack the same changes get the same update.
        assert_eq!(
            list.update_for_services(list.equivalent_index(after, &self.services), &self.services),
            update
        );
        self.known = self.known.updated(&update, Some(before)).expect("the update applies");
        assert_eq!(self.known.entries, entries_of(list, &self.services), "{update:?}");
        update
    }

    fn names(&self) -> Vec<&str> {
        self.known.entries.keys().map(String::as_str).collect()
    }
}

/// The entries of some services.
fn entries_of(list: &List, services: &[String]) -> BTreeMap<String, Entry> {
    let entries = list.entries().values().map(|record| record.entry.clone());
    let in_services = entries.filter(|e| e.service.as_ref().is_some_and(|s| services.contains(s)));
    in_services.map(|e| (e.name.clone(), e)).collect()
}

fn statuses(update: &ListUpdate) -> Vec<(&str, Status, StatusReason)> {
    update.endpoints.iter().map(|e| (e.name.as_str(), e.status, e.status_reason)).collect()
}

#[test]
fn unknown_service_is_an_empty_versioned_list_until_an_endpoint_registers() {
    let mut list = bootstrapped();
    let mut reader = Reader::of("a", &list);
    let first = list.version().index;
    assert_eq!((reader.names(), list.services_changed_index(&parse("a"))), (vec![], first));
    apply_ok(&mut list, &register(&[("s1", "b"), ("s2", "")]));
    assert_eq!(
        (list.services_changed_index(&parse("a")), list.services_changed_index(&parse("b"))),
        (first, first + 1)
    );
    assert_eq!(reader.poll(&list).endpoints, []);
    assert_eq!(list.services_digest(&parse("a")), bootstrapped().services_digest(&parse("a")));
    apply_ok(&mut list, &register(&[("s3", "a")]));
    assert_eq!(list.services_changed_index(&parse("a")), first + 2);
    let update = reader.poll(&list);
    assert!(!update.snapshot, "no service state was dropped");
    assert_eq!(reader.names(), ["s3"]);
}

#[test]
fn emptied_service_is_reported_by_tombstones_and_can_return() {
    let mut list = bootstrapped();
    apply_ok(&mut list, &register(&[("s1", "a"), ("s2", "a"), ("s3", "b")]));
    let (mut a, mut b) = (Reader::of("a", &list), Reader::of("b", &list));
    apply_ok(&mut list, &remove("s1"));
    apply_ok(&mut list, &remove("s2"));
    let update = a.poll(&list);
    assert_eq!(
        statuses(&update),
        [("s1", Status::Removed, StatusReason::Removed), ("s2", Status::Removed, StatusReason::Removed)]
    );
    assert_eq!(b.poll(&list).endpoints, []);
    apply_ok(&mut list, &register(&[("s1", "a")]));
    let update = a.poll(&list);
    assert!(!update.snapshot);
    assert_eq!(statuses(&update), [("s1", Status::Active, StatusReason::Registered)]);
}

#[test]
fn draining_keeps_the_service() {
    let mut list = bootstrapped();
    apply_ok(&mut list, &register(&[("s1", "a")]));
    let mut a = Reader::of("a", &list);
    apply_ok(&mut list, &Command::Drain { name: "s1".into(), expect: None, at_ms: 0 });
    assert_eq!(statuses(&a.poll(&list)), [("s1", Status::Draining, StatusReason::Drained)]);
    assert_eq!(list.entries()["s1"].entry.service.as_deref(), Some("a"));
}

#[test]
fn endpoint_that_moves_in_one_write_is_always_in_exactly_one_service() {
    let mut list = bootstrapped();
    apply_ok(&mut list, &register(&[("s1", "a"), ("s2", "a"), ("s3", "b"), ("s4", "c")]));
    let mut readers = ["a", "b", "a,b", "c", "a,c"].map(|names| Reader::of(names, &list));
    let before = list.version().index;
    // Two endpoints swap services at once.
    apply_ok(&mut list, &register(&[("s1", "b"), ("s3", "a")]));
    assert_eq!(list.version().index, before + 1);
    let updates = readers.each_mut().map(|r| r.poll(&list));
    let (removed, active) =
        ((Status::Removed, StatusReason::Removed), (Status::Active, StatusReason::Registered));
    let with_status = |name, (status, reason)| (name, status, reason);
    assert_eq!(statuses(&updates[0]), [with_status("s3", active), with_status("s1", removed)]);
    assert_eq!(statuses(&updates[1]), [with_status("s1", active), with_status("s3", removed)]);
    assert_eq!(statuses(&updates[2]), [with_status("s3", active), with_status("s1", active)]);
    assert_eq!(statuses(&updates[3]), []);
    assert_eq!(statuses(&updates[4]), [with_status("s3", active), with_status("s1", removed)]);
    assert_eq!(readers[2].names(), ["s1", "s2", "s3"]);
    // A registration without a service needs no wrapper, although it takes the endpoint out of its service.
    apply_ok(&mut list, &register(&[("s1", "")]));
    readers.iter_mut().for_each(|r| drop(r.poll(&list)));
    assert_eq!((readers[1].names(), readers[2].names()), (vec![], vec!["s2", "s3"]));
    // Readers of the full list get the moves as changed entries.
    let update = list.update(Some(before));
    assert!(update.services.is_none() && update.endpoints.iter().all(|e| e.status == Status::Active));
}

#[test]
fn reader_of_two_services_gets_only_the_last_tombstone_of_a_moved_endpoint() {
    let mut list = bootstrapped();
    apply_ok(&mut list, &register(&[("s1", "a")]));
    let (mut both, mut a) = (Reader::of("a,b", &list), Reader::of("a", &list));
    apply_ok(&mut list, &register(&[("s1", "b")]));
    let registered = list.entries()["s1"].registered_index;
    let expired = vec![ExpiredLease { name: "s1".into(), registered_index: registered, remove: true }];
    apply_ok(&mut list, &Command::Expire { leases: expired, at_ms: 0 });
    assert_eq!(statuses(&both.poll(&list)), [("s1", Status::Removed, StatusReason::Expired)]);
    assert_eq!(statuses(&a.poll(&list)), [("s1", Status::Removed, StatusReason::Removed)]);
}

#[test]
fn dropped_tombstones_of_other_services_do_not_force_a_snapshot() {
    let mut list = bootstrapped();
    apply_ok(&mut list, &register(&[("s1", "a"), ("s2", "b"), ("s3", "")]));
    let (mut a, mut unknown) = (Reader::of("a", &list), Reader::of("never", &list));
    let (mut b, mut both) = (Reader::of("b", &list), Reader::of("a,b", &list));
    let before = list.version().index;
    for i in 0..MAX_TOMBSTONES + 10 {
        let name = format!("x{i}");
        apply_ok(&mut list, &register(&[(&name, "b")]));
        apply_ok(&mut list, &remove(&name));
    }
    assert!(list.update(Some(before)).snapshot);
    assert!(!a.poll(&list).snapshot && !unknown.poll(&list).snapshot);
    assert!(b.poll(&list).snapshot && both.poll(&list).snapshot);
    // A deserialized list has exactly the same tombstones.
    let read: List =
        serde_json::from_str(&serde_json::to_string(&list).expect("serializes")).expect("deserializes");
    assert_eq!(read, list);
    assert!(
        !read.update_for_services(Some(before), &parse("a")).snapshot
            && read.update_for_services(Some(before), &parse("b")).snapshot
    );
}

#[test]
fn empty_services_take_bounded_memory_and_their_readers_get_a_snapshot() {
    let mut list = bootstrapped();
    apply_ok(&mut list, &register(&[("s1", "a"), ("s2", "b")]));
    apply_ok(&mut list, &remove("s2"));
    let (mut a, mut b) = (Reader::of("a", &list), Reader::of("b", &list));
    let (digest, never) = (list.services_digest(&parse("b")), list.services_digest(&parse("never")));
    for i in 0..MAX_EMPTY_SERVICES + 10 {
        apply_ok(&mut list, &register(&[("x", &format!("made-up-{i}"))]));
    }
    assert_eq!(list.services_changed_after(0).count(), MAX_EMPTY_SERVICES + 2);
    assert!(list.services_dropped_index() > b.known.version.index);
    assert!(!a.poll(&list).snapshot);
    assert!(b.poll(&list).snapshot, "the state of service b was dropped");
    assert_ne!(list.services_digest(&parse("b")), digest);
    assert_eq!(list.services_digest(&parse("never")), never);
    // A service that returns starts at the index at which its state was dropped.
    let before = b.known.version.index;
    apply_ok(&mut list, &register(&[("s2", "b")]));
    assert!(!b.poll(&list).snapshot && before < b.known.version.index);
    let read: List =
        serde_json::from_str(&serde_json::to_string(&list).expect("serializes")).expect("deserializes");
    assert_eq!(read, list);
}

#[test]
fn digest_differs_only_for_services_with_different_history() {
    let list = |service| {
        let mut list = bootstrapped();
        apply_ok(&mut list, &register(&[("s1", "a"), ("s2", "b"), ("s3", "c")]));
        apply_ok(&mut list, &register(&[("s1", service)]));
        apply_ok(&mut list, &register(&[("s2", "b2")]));
        list
    };
    let (one, other) = (list("a1"), list("a2"));
    assert_eq!(one.version(), other.version());
    for (names, equal) in [("b", true), ("b,b2,c", true), ("a1", false), ("a1,c", false), ("a", false)] {
        assert_eq!(
            one.services_digest(&parse(names)) == other.services_digest(&parse(names)),
            equal,
            "{names}"
        );
    }
    // Services without state differ by name.
    assert_ne!(one.services_digest(&parse("never")), one.services_digest(&parse("neither")));
}

#[test]
fn readers_of_services_get_a_snapshot_after_a_restore() {
    let mut list = bootstrapped();
    apply_ok(&mut list, &register(&[("s1", "a"), ("s2", "b")]));
    let backup = list.clone();
    apply_ok(&mut list, &register(&[("s1", "b"), ("s3", "a")]));
    let mut reader = Reader::of("a", &list);
    assert_eq!(reader.names(), ["s3"]);
    let mut restored = List::default();
    apply_ok(&mut restored, &bootstrap(200, Some(&backup)));
    let update = reader.poll(&restored);
    assert!(update.snapshot);
    assert_eq!(reader.names(), ["s1"]);
    // Also a reader without an epoch, whose index is of an earlier list or ahead of this one.
    for index in [list.version().index, backup.version().index, restored.version().index + 1] {
        assert!(restored.update_for_services(Some(index), &parse("a")).snapshot);
    }
    assert!(
        restored.services_changed_index(&parse("a")) > list.version().index,
        "waiting readers are notified"
    );
    assert!(restored.services_changed_index(&parse("never")) > list.version().index);
    apply_ok(&mut restored, &register(&[("s4", "a")]));
    assert!(!reader.poll(&restored).snapshot);
}

#[test]
fn snapshot_without_services_is_as_in_versions_without_services() {
    let mut list = bootstrapped();
    apply_ok(&mut list, &register(&[("s1", "")]));
    let text = serde_json::to_string(&list).expect("the list serializes");
    assert!(!text.contains("service"), "{text}");
    let read: List = serde_json::from_str(&text).expect("the list deserializes");
    assert_eq!(read, list);
    assert!(!read.update_for_services(Some(read.version().index), &parse("a")).snapshot);
}

#[test]
fn service_names_and_their_number_are_validated() {
    assert_eq!(parse_services("b,a,b"), Ok(vec!["a".to_owned(), "b".to_owned()]));
    let names = |count: usize| (0..count).map(|i| format!("s{i}")).collect::<Vec<_>>().join(",");
    assert_eq!(parse_services(&names(MAX_SERVICES_PER_QUERY)).map(|s| s.len()), Ok(MAX_SERVICES_PER_QUERY));
    let longest = "x".repeat(MAX_LABEL_BYTES);
    assert!(parse_services(&longest).is_ok());
    for invalid in
        ["", ",", "a,", "a b", "a/b", "é", &format!("{longest}x"), &names(MAX_SERVICES_PER_QUERY + 1)]
    {
        assert!(
            parse_services(invalid).is_err_and(|e| e.to_string().starts_with("services: ")),
            "{invalid:?}"
        );
    }
    for invalid in ["", "a b", &format!("{longest}x")] {
        let registration =
            Registration { entry: Entry { service: Some(invalid.into()), ..entry("s", None) }, lease_ms: 0 };
        let command =
            Command::Register { servers: vec![registration], expect: None, at_ms: 0 }.into_log_form();
        let outcome = bootstrapped().apply(&command);
        assert!(
            matches!(&outcome, Outcome::Refused(Refusal::Invalid(error)) if error.contains("service")),
            "{outcome:?}"
        );
    }
}

#[test]
fn services_need_exactly_one_wrapper_and_have_a_higher_endpoint_limit() {
    let mut list = bootstrapped();
    let Command::WithServices(bare) = register(&[("s1", "a")]) else { unreachable!() };
    assert!(matches!(list.apply(&bare), Outcome::Refused(Refusal::Invalid(_))));
    let nested = Command::WithServices(Box::new(Command::WithServices(bare)));
    assert!(matches!(list.apply(&nested), Outcome::Refused(Refusal::Invalid(_))));
    let many = |from: usize, to: usize, service: Option<&str>| {
        let one = |i| Registration { entry: entry(&format!("s{i}"), service), lease_ms: 0 };
        Command::Register { servers: (from..to).map(one).collect(), expect: None, at_ms: 0 }.into_log_form()
    };
    apply_ok(&mut list, &many(0, 20_000, None));
    assert_eq!(list.apply(&many(20_000, 20_001, None)), Outcome::Refused(Refusal::ListFull));
    apply_ok(&mut list, &many(20_000, 25_000, Some("a")));
    assert_eq!(list.apply(&many(25_000, 25_001, Some("a"))), Outcome::Refused(Refusal::ListFull));
    // Endpoints that are listed already do not count.
    apply_ok(&mut list, &register(&[("s7", "b")]));
    apply_ok(&mut list, &register(&[("s24999", "")]));
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    const SERVICES: [&str; 4] = ["", "a", "b", "c"];
    let name = |i: u8| format!("s{i}");
    let batch = prop::collection::btree_map(0..8u8, 0..SERVICES.len(), 1..5);
    let one = prop_oneof![
        4 => batch.prop_map(move |b| {
            let servers: Vec<_> = b.iter().map(|(i, s)| (name(*i), SERVICES[*s])).collect();
            register(&servers.iter().map(|(n, s)| (n.as_str(), *s)).collect::<Vec<_>>())
        }),
        1 => (0..8u8).prop_map(move |i| Command::Drain { name: name(i), expect: None, at_ms: 0 }),
        1 => (0..8u8).prop_map(move |i| Command::Resume { name: name(i), expect: None, at_ms: 0 }),
        2 => (0..8u8).prop_map(move |i| remove(&name(i))),
        1 => (0..8u8, 1..20u64, any::<bool>()).prop_map(move |(i, n, removes)| {
            let due = vec![ExpiredLease { name: name(i), registered_index: (100 << EPOCH_SHIFT) + n, remove: removes }];
            Command::Expire { leases: due, at_ms: 0 }
        }),
    ];
    prop::collection::vec(one, 0..50)
}

proptest! {
    // Whenever a reader starts and however often it polls, it has exactly the endpoints of its services; also from a
    // replica that restored the list from a snapshot.
    #[test]
    fn reader_of_services_has_exactly_their_endpoints(
        commands in commands(),
        names in prop::collection::btree_set("[a-d]", 1..4),
        at in 0usize..50,
        poll_interval in 1usize..8,
    ) {
        let names = names.into_iter().collect::<Vec<_>>().join(",");
        let mut list = bootstrapped();
        let mut reader = None;
        for (i, command) in commands.iter().enumerate() {
            if i == at {
                reader = Some(Reader::of(&names, &list));
            }
            let (before, digest) = (list.services_changed_index(&parse(&names)), list.services_digest(&parse(&names)));
            let (previous, version) = (entries_of(&list, &parse(&names)), list.version());
            list.apply(command);
            // Index and digest change exactly if the services do.
            let affected = list.services_changed_index(&parse(&names)) > before;
            prop_assert!(!affected || list.services_changed_index(&parse(&names)) == list.version().index);
            prop_assert_eq!(list.services_digest(&parse(&names)) != digest, affected);
            prop_assert_eq!(entries_of(&list, &parse(&names)) != previous, affected, "{:?} after {}", command, version);
            if let Some(reader) = &mut reader
                && i % poll_interval == 0
            {
                let update = reader.poll(&list);
                prop_assert!(!update.snapshot);
                prop_assert!(affected || poll_interval > 1 || update.endpoints.is_empty());
                for entry in &update.endpoints {
                    let is_in_services = entry.service.as_ref().is_some_and(|s| reader.services.contains(s));
                    prop_assert!(is_in_services, "{:?}", entry);
                }
            }
        }
        let mut reader = reader.unwrap_or_else(|| Reader::of(&names, &list));
        let text = serde_json::to_string(&list).expect("the list serializes");
        let read: List = serde_json::from_str(&text).expect("the list deserializes");
        prop_assert_eq!(&read, &list);
        reader.poll(&read);
    }

    #[test]
    fn command_survives_serialization(commands in commands()) {
        for command in commands {
            let text = serde_json::to_string(&command).expect("the command serializes");
            let read: Command = serde_json::from_str(&text).expect("the command deserializes");
            prop_assert_eq!(read, command);
        }
    }
}
