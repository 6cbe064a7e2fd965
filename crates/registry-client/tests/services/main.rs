//! Watching only some services, with replicas that support services and replicas of earlier releases that don't.

mod driver;
mod registry_model;
mod simulation;
mod support;

use driver::TestDriver;
use lotusmoor_registry_client::{
    Action, EndpointList, Event, ListUpdate, Micros, RegistryWatcher, Report, Settings, Status, StatusReason,
    Version,
};
use registry_model::RegistryModel;
use support::{applied, names, poll_errors, reports, three_services};

const SECOND: Micros = 1_000_000;

#[test]
fn polls_services_sorted_and_without_duplicates() {
    let settings = Settings { services: names(&["b", "a.x", "b", "a"]), ..Settings::new(1) };
    let watcher = RegistryWatcher::new(settings, 1);
    let after = Some(Version { epoch: 2, index: 9 });
    assert_eq!(
        watcher.poll_path(after, 4_000_000),
        "/v1/watch?wait_ms=4000&epoch=2&after=9&services=a,a.x,b"
    );
    assert_eq!(watcher.poll_path(None, 0), "/v1/watch?wait_ms=0&services=a,a.x,b");
    assert_eq!(RegistryWatcher::new(Settings::new(1), 1).poll_path(None, 0), "/v1/watch?wait_ms=0");
}

#[test]
fn reports_service_without_servers_once_and_follows_it_when_it_gets_one() {
    let mut list = three_services();
    let mut driver = TestDriver::start(3, &["a", "z"]);
    let out = driver.respond(&list);
    assert_eq!(reports(&out), [&Report::NoServers("z".into())]);
    assert_eq!(driver.names_in_use(), ["a-0", "a-1", "a-2", "a-3"]);
    // A change of another service reports nothing again.
    list.register("b-4", "b");
    let out = driver.respond(&list);
    assert!(reports(&out).is_empty(), "{out:?}");
    assert_eq!(driver.watcher.list().map(|k| k.version), Some(list.version));
    list.register("z-0", "z");
    let out = driver.respond(&list);
    assert_eq!(applied(&out).map(|a| (a.full, a.entries.len())), Some((false, 1)));
    assert!(driver.names_in_use().contains(&"z-0"));
    list.remove("z-0", StatusReason::Removed);
    assert_eq!(reports(&driver.respond(&list)), [&Report::NoServers("z".into())]);
}

#[test]
fn list_of_unknown_service_is_empty_and_has_a_version() {
    let list = three_services();
    let driver = TestDriver::with_list(&list, 3, &["z"]);
    assert_eq!(driver.watcher.list().map(|k| (k.version, k.entries.len())), Some((list.version, 0)));
    assert!(!driver.watcher.withholds_list());
}

// A third of all known servers is removed. A watcher of all servers uses that list without confirmation.
#[test]
fn withholds_list_that_empties_one_of_three_services_until_confirmed() {
    let mut list = three_services();
    let mut driver = TestDriver::with_list(&list, 3, &["a", "b", "c"]);
    for i in 0..4 {
        list.remove(&format!("b-{i}"), StatusReason::Expired);
    }
    let poll = driver.next_poll();
    let withheld_from = poll.replica;
    let out = driver.respond(&list);
    let withheld =
        Report::Withheld { replica: withheld_from, version: list.version, removed: 4, active_before: 4 };
    assert_eq!(reports(&out), [&withheld]);
    assert!(applied(&out).is_none() && driver.watcher.withholds_list() && driver.names_in_use().len() == 12);
    let poll = driver.next_poll();
    assert!(poll.replica != withheld_from && poll.after.is_none());
    let out = driver.respond(&list);
    assert_eq!(reports(&out), [&Report::Confirmed(poll.replica), &Report::NoServers("b".into())]);
    assert_eq!(driver.names_in_use().len(), 8);
    let mut all = three_services();
    let mut driver = TestDriver::with_list(&all, 3, &[]);
    for i in 0..4 {
        all.remove(&format!("b-{i}"), StatusReason::Expired);
    }
    assert!(reports(&driver.respond(&all)).is_empty());
    assert_eq!(driver.names_in_use().len(), 8);
}

#[test]
fn withholds_list_if_service_loses_more_than_half_of_its_servers() {
    for (removed, withheld) in [(2, false), (3, true)] {
        let mut list = three_services();
        let mut driver = TestDriver::with_list(&list, 3, &["a", "b", "c"]);
        for i in 0..removed {
            list.remove(&format!("c-{i}"), StatusReason::Expired);
        }
        driver.respond(&list);
        assert_eq!(driver.watcher.withholds_list(), withheld, "{removed}");
    }
}

#[test]
fn applies_explicit_drains_and_removals_of_all_servers_of_a_service_at_once() {
    for drains in [true, false] {
        let mut list = three_services();
        let mut driver = TestDriver::with_list(&list, 3, &["a", "b", "c"]);
        for i in 0..4 {
            let name = format!("b-{i}");
            assert!(if drains {
                list.drain(&name, StatusReason::Drained)
            } else {
                list.remove(&name, StatusReason::Removed)
            });
        }
        let out = driver.respond(&list);
        assert!(applied(&out).is_some() && !driver.watcher.withholds_list(), "{out:?}");
        let active = driver.in_use.values().filter(|e| e.status == Status::Active).count();
        assert_eq!(active, 8);
    }
}

// The only server of `a` moves to `b`. For a watcher of `a` that is an explicit removal, which is not withheld.
#[test]
fn follows_server_that_moves_between_services() {
    let mut list = RegistryModel::bootstrapped(1);
    list.register("s", "a");
    list.register("t", "b");
    let watch = |services: &[&str]| TestDriver::with_list(&list, 3, services);
    let mut drivers = [watch(&["a", "b"]), watch(&["a"]), watch(&["b"]), watch(&[])];
    list.register("s", "b");
    for (driver, (left, changed)) in drivers.iter_mut().zip([(2, 1), (0, 1), (2, 1), (2, 1)]) {
        let out = driver.respond(&list);
        let changes = applied(&out).unwrap_or_else(|| panic!("{:?}: {out:?}", driver.services));
        assert_eq!((changes.entries.len(), driver.in_use.len()), (changed, left), "{:?}", driver.services);
        assert!(!driver.watcher.withholds_list());
        assert!(driver.in_use.values().all(|e| e.service.as_deref() == Some("b")));
    }
}

#[test]
fn polls_complete_list_on_change_of_services_and_keeps_common_ones_in_use() {
    let mut list = three_services();
    let mut driver = TestDriver::with_list(&list, 3, &["a", "b"]);
    let before = driver.next_poll();
    let out = driver.change_services(&["c", "b"]);
    // Servers of the service that is no longer watched are dropped at once.
    let reduced = applied(&out).expect("the list in use is reduced");
    assert!(reduced.full && reduced.version == list.version && reduced.entries.len() == 4);
    assert_eq!(driver.names_in_use(), ["b-0", "b-1", "b-2", "b-3"]);
    assert!(out.contains(&Action::CancelPoll(before.id)));
    let now = driver.in_flight.first().cloned().expect("it polls immediately");
    assert_eq!((now.after, now.services.as_slice()), (None, names(&["b", "c"]).as_slice()));
    // The response to the earlier poll is ignored.
    let mut newer = list.clone();
    newer.register("a-9", "a");
    let late = driver.respond_with(&before, newer.update(&before.services, before.after));
    assert!(late.is_empty(), "{late:?}");
    list.register("c-4", "c");
    let out = driver.respond(&list);
    assert!(applied(&out).is_some_and(|a| a.full) && reports(&out).is_empty(), "{out:?}");
    assert_eq!(driver.names_in_use().len(), 9);
    assert_eq!(driver.watcher.list().map(|k| k.services.clone()), Some(names(&["b", "c"])));
    // Watching the same services again changes nothing.
    assert!(driver.change_services(&["b", "c", "b"]).is_empty());
}

#[test]
fn rejects_older_version_after_change_of_services() {
    let old = three_services();
    let mut list = old.clone();
    list.register("a-4", "a");
    let mut driver = TestDriver::with_list(&list, 3, &["a"]);
    driver.change_services(&["b"]);
    let replica = driver.next_poll().replica;
    let out = driver.respond(&old);
    assert_eq!(reports(&out), [&Report::OlderVersion { replica, version: old.version }]);
    assert!(driver.names_in_use().is_empty());
    let poll = driver.next_poll();
    assert!(poll.replica != replica && poll.after.is_none());
    assert!(applied(&driver.respond(&list)).is_some());
    assert_eq!(driver.names_in_use().len(), 4);
}

#[test]
fn drops_withheld_list_on_change_of_services() {
    let mut list = three_services();
    let mut driver = TestDriver::with_list(&list, 3, &["a", "b"]);
    for i in 0..4 {
        list.remove(&format!("a-{i}"), StatusReason::Expired);
    }
    driver.respond(&list);
    assert!(driver.watcher.withholds_list());
    driver.change_services(&["b", "c"]);
    assert!(!driver.watcher.withholds_list());
    assert!(reports(&driver.respond(&list)).is_empty());
    assert_eq!(driver.names_in_use().len(), 8);
}

// In the withheld list, a server has moved to another service and was drained there. The watcher stops watching that
// service and then watches it again.
#[test]
fn server_drained_in_dropped_service_is_in_use_again_only_after_complete_list() {
    let list = three_services();
    let mut driver = TestDriver::with_list(&list, 3, &[]);
    let mut moved = list.clone();
    moved.register("a-0", "c");
    moved.drain("a-0", StatusReason::Drained);
    for lost in ["a-1", "a-2", "a-3", "b-0", "b-1", "b-2", "b-3"] {
        moved.remove(lost, StatusReason::Expired);
    }
    driver.respond(&moved);
    assert!(driver.watcher.withholds_list());
    assert_eq!(driver.in_use["a-0"].status, Status::Draining);
    driver.change_services(&["a"]);
    assert!(!driver.in_use.contains_key("a-0"), "it belongs to another service");
    driver.change_services(&["a", "c"]);
    // Neither its state before the drain nor a list of the earlier services puts it back into use.
    assert!(!driver.in_use.contains_key("a-0"), "it was drained");
    let poll = driver.next_poll();
    assert_eq!((poll.after, poll.services.as_slice()), (None, names(&["a", "c"]).as_slice()));
    moved.register("a-0", "c");
    driver.respond(&moved);
    driver.respond(&moved);
    assert!(!driver.watcher.withholds_list());
    assert_eq!(driver.in_use["a-0"].status, Status::Active);
}

#[test]
fn does_not_save_list_reduced_by_change_of_services() {
    let mut list = three_services();
    let mut driver = TestDriver::with_list(&list, 3, &["a", "b"]);
    driver.advance();
    list.register("b-4", "b");
    driver.respond(&list);
    driver.saved = None;
    driver.change_services(&["b", "c"]);
    for _ in 0..50 {
        if driver.now > 5 * SECOND {
            break;
        }
        driver.advance();
    }
    assert_eq!(driver.saved, None);
    driver.respond(&list);
    for _ in 0..50 {
        if driver.saved.is_some() {
            break;
        }
        driver.advance();
    }
    assert!(driver.saved.is_some() && driver.saved.as_ref() == driver.watcher.list());
}

#[test]
fn changes_between_all_servers_and_some_services() {
    let list = three_services();
    let mut driver = TestDriver::with_list(&list, 3, &[]);
    driver.change_services(&["c"]);
    assert_eq!(driver.names_in_use().len(), 4);
    assert!(reports(&driver.respond(&list)).is_empty());
    assert!(driver.change_services(&[]).iter().all(|a| !matches!(a, Action::Apply(_))), "nothing is dropped");
    let poll = driver.next_poll();
    assert!(poll.after.is_none() && poll.services.is_empty());
    assert!(reports(&driver.respond(&list)).is_empty());
    assert_eq!(driver.names_in_use().len(), 12);
}

#[test]
fn reports_digest_mismatch_only_for_watched_services() {
    let list = three_services();
    let mut other = list.clone();
    *other.service_digests.get_mut("b").expect("service `b` has a digest") ^= 1;
    for (services, differs) in [(["a", "b"], true), (["b", "c"], true), (["a", "c"], false)] {
        let mut driver = TestDriver::with_list(&list, 3, &services);
        let replica = driver.next_poll().replica;
        let out = driver.respond(&other);
        let mismatch = Report::DigestMismatch { replica, version: list.version };
        assert_eq!(reports(&out).contains(&&mismatch), differs, "{services:?}");
        assert_eq!(driver.names_in_use().len(), 8);
    }
}

// The new digest covers other services than the previous one.
#[test]
fn compares_no_digest_right_after_change_of_services() {
    let list = three_services();
    let mut driver = TestDriver::with_list(&list, 1, &["a"]);
    driver.change_services(&["a", "b"]);
    assert!(reports(&driver.respond(&list)).is_empty());
    assert_eq!(driver.names_in_use().len(), 8);
}

#[test]
fn uses_only_replica_that_supports_services() {
    let mut list = three_services();
    for (replicas, supporting) in [(3, 1), (3, 2), (2, 1)] {
        let mut driver = TestDriver::start(replicas, &["a"]);
        let mut polls_without_services = 0;
        for _ in 0..30 {
            let poll = driver.next_poll();
            if poll.replica == supporting {
                driver.respond(&list);
                list.register("b-0", if polls_without_services % 2 == 0 { "b" } else { "c" });
                continue;
            }
            // A replica without support for services ignores the parameter, and its response has no `services`.
            let out = driver.respond_with(&poll, list.update(&[], poll.after));
            assert_eq!(poll_errors(&out), ["does not know services"]);
            assert!(applied(&out).is_none());
            polls_without_services += 1;
        }
        assert!(
            polls_without_services <= 2 * replicas,
            "{polls_without_services} polls of replicas without support for services"
        );
        assert_eq!((driver.names_in_use().len(), driver.next_poll().replica), (4, supporting));
    }
}

#[test]
fn rejects_response_of_other_services() {
    let list = three_services();
    let rejects = |services: &[&str], response: &[&str]| {
        let mut driver = TestDriver::start(3, services);
        let poll = driver.next_poll();
        let out = driver.respond_with(&poll, list.update(&names(response), None));
        assert!(applied(&out).is_none() && driver.watcher.list().is_none());
        assert_eq!(
            poll_errors(&out),
            ["response is for other services than polled"],
            "{services:?} {response:?}"
        );
    };
    rejects(&["a", "b"], &["a"]);
    rejects(&["a"], &["a", "b"]);
    rejects(&["a"], &["b"]);
    rejects(&[], &["a"]);
    // The response claims to be for `a` but has entries of other services.
    let mut driver = TestDriver::start(3, &["a"]);
    let poll = driver.next_poll();
    let mislabelled = ListUpdate { services: Some(names(&["a"])), ..list.update(&[], None) };
    assert_eq!(
        poll_errors(&driver.respond_with(&poll, mislabelled)),
        ["response is for other services than polled"]
    );
}

#[test]
fn uses_watched_part_of_cached_list_of_other_services() {
    let list = three_services();
    let file = |services: &[&str]| TestDriver::with_list(&list, 3, services).watcher.list().cloned();
    let start = |services: &[&str], known: Option<EndpointList>| {
        let mut driver = TestDriver::new(3, services, 1);
        let out = driver.handle(Event::Start(known));
        (driver, out)
    };
    // A cached list of all servers, of overlapping, of fewer or of more services: only watched entries are used.
    for (of, services, used) in [
        (&[][..], &["a"][..], 4),
        (&["a", "b"], &["b", "c"], 4),
        (&["a"], &["a", "b"], 4),
        (&["a"], &[], 4),
        (&["a", "b"], &["a", "b"], 8),
    ] {
        let (mut driver, out) = start(services, file(of));
        assert_eq!(
            applied(&out).map(|a| (a.full, a.entries.len())),
            Some((true, used)),
            "{of:?} {services:?}"
        );
        let after = (of == services).then_some(list.version);
        assert_eq!(driver.next_poll().after, after, "{of:?} {services:?}");
        let out = driver.respond(&list);
        assert!(reports(&out).is_empty(), "{out:?}");
        let all = if services.is_empty() { 12 } else { 4 * services.len() };
        assert_eq!(driver.names_in_use().len(), all);
    }
    // If none of its entries is watched, it is not applied, but its version still counts.
    let (mut driver, out) = start(&["c"], file(&["a"]));
    assert!(applied(&out).is_none() && driver.next_poll().after.is_none());
    let old = RegistryModel::bootstrapped(1);
    assert!(matches!(reports(&driver.respond(&old))[..], [Report::OlderVersion { .. }]));
}
