//! Which watchers a change wakes.

use super::*;
use crate::core::parse_services;
use crate::core::{Command, Registration};
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn register(name: &str, service: &str) -> Command {
    let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80","service":"{service}"}}"#);
    let entry = serde_json::from_str(&text).expect("it is read");
    Command::Register { servers: vec![Registration { entry, lease_ms: 0 }], expect: None, at_ms: 0 }
        .into_log_form()
}

fn services(names: &str) -> Arc<[String]> {
    parse_services(names).expect("services").into()
}

fn is_woken(waiter: &Waiter) -> bool {
    let future = pin!(waiter.notified());
    matches!(future.poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(()))
}

fn started_list() -> List {
    let mut list = List::default();
    list.apply(&Command::Bootstrap { epoch: 100, backup: None });
    list
}

#[test]
fn a_change_wakes_those_who_wait_for_its_service_and_nobody_else() {
    let (waiters, mut list) = (ServiceWaiters::default(), started_list());
    waiters.notify(&list);
    let now = list.version().index;
    let readers = ["a", "b", "a,b", "b,c"].map(|names| waiters.register(now, &services(names)));
    // One is ahead: it has heard of the next change from another replica.
    let ahead = waiters.register(now + 1, &services("a"));
    list.apply(&register("s1", "a"));
    waiters.notify(&list);
    assert_eq!(readers.each_ref().map(is_woken), [true, false, true, false]);
    assert!(!is_woken(&ahead));
    // One write that hands a server over concerns both of its services.
    let readers = ["a", "b", "c"].map(|names| waiters.register(list.version().index, &services(names)));
    list.apply(&register("s1", "b"));
    waiters.notify(&list);
    assert_eq!(readers.each_ref().map(is_woken), [true, true, false]);
    assert!(is_woken(&ahead));
}

#[test]
fn several_changes_that_are_told_at_once_wake_all_whom_they_concern() {
    let (waiters, mut list) = (ServiceWaiters::default(), started_list());
    let readers = ["a", "b", "c"].map(|names| waiters.register(list.version().index, &services(names)));
    for service in ["a", "b", "a", "d"] {
        list.apply(&register("s", service));
    }
    waiters.notify(&list);
    assert_eq!(readers.each_ref().map(is_woken), [true, true, false]);
}

#[test]
fn an_epoch_that_begins_wakes_all() {
    let (waiters, mut list) = (ServiceWaiters::default(), started_list());
    list.apply(&register("s1", "a"));
    waiters.notify(&list);
    let readers = ["a", "never"].map(|names| waiters.register(list.version().index, &services(names)));
    list.apply(&Command::Bootstrap { epoch: 200, backup: None });
    waiters.notify(&list);
    assert_eq!(readers.each_ref().map(is_woken), [true, true]);
}

#[test]
fn of_those_who_have_gone_nothing_stays() {
    let waiters = ServiceWaiters::default();
    let one = waiters.register(0, &services("a,b"));
    drop(waiters.register(0, &services("b,c")));
    assert_eq!(waiters.registrations().ids_by_service.len(), 2);
    drop(one);
    let registrations = waiters.registrations();
    assert!(registrations.by_id.is_empty() && registrations.ids_by_service.is_empty());
}
