//! Which waiters a change wakes.

use super::*;
use crate::core::parse_services;
use crate::core::{Command, Registration};
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn register(name: &str, service: &str) -> Command {
    let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80","service":"{service}"}}"#);
    let entry = serde_json::from_str(&text).expect("valid entry JSON");
    Command::Register { servers: vec![Registration { entry, lease_ms: 0 }], expect: None, at_ms: 0 }
        .into_log_form()
}

fn services(names: &str) -> Arc<[String]> {
    parse_services(names).expect("valid service names").into()
}

fn is_woken(waiter: &Waiter) -> bool {
    let future = pin!(waiter.notified());
    matches!(future.poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(()))
}

fn bootstrapped() -> List {
    let mut list = List::default();
    list.apply(&Command::Bootstrap { epoch: 100, backup: None });
    list
}

#[test]
fn change_wakes_only_waiters_for_its_services() {
    let (waiters, mut list) = (ServiceWaiters::default(), bootstrapped());
    waiters.notify(&list);
    let now = list.version().index;
    let waiting = ["a", "b", "a,b", "b,c"].map(|names| waiters.register(now, &services(names)));
    // This waiter already has the next index, from another replica.
    let ahead = waiters.register(now + 1, &services("a"));
    list.apply(&register("s1", "a"));
    waiters.notify(&list);
    assert_eq!(waiting.each_ref().map(is_woken), [true, false, true, false]);
    assert!(!is_woken(&ahead));
    // A write that moves an endpoint between services wakes the waiters for both.
    let waiting = ["a", "b", "c"].map(|names| waiters.register(list.version().index, &services(names)));
    list.apply(&register("s1", "b"));
    waiters.notify(&list);
    assert_eq!(waiting.each_ref().map(is_woken), [true, true, false]);
    assert!(is_woken(&ahead));
}

#[test]
fn changes_in_one_notification_wake_the_waiters_for_all_their_services() {
    let (waiters, mut list) = (ServiceWaiters::default(), bootstrapped());
    let waiting = ["a", "b", "c"].map(|names| waiters.register(list.version().index, &services(names)));
    for service in ["a", "b", "a", "d"] {
        list.apply(&register("s", service));
    }
    waiters.notify(&list);
    assert_eq!(waiting.each_ref().map(is_woken), [true, true, false]);
}

#[test]
fn new_epoch_wakes_all_waiters() {
    let (waiters, mut list) = (ServiceWaiters::default(), bootstrapped());
    list.apply(&register("s1", "a"));
    waiters.notify(&list);
    let waiting = ["a", "never"].map(|names| waiters.register(list.version().index, &services(names)));
    list.apply(&Command::Bootstrap { epoch: 200, backup: None });
    waiters.notify(&list);
    assert_eq!(waiting.each_ref().map(is_woken), [true, true]);
}

#[test]
fn dropped_waiters_leave_nothing_in_the_table() {
    let waiters = ServiceWaiters::default();
    let remaining = waiters.register(0, &services("a,b"));
    drop(waiters.register(0, &services("b,c")));
    assert_eq!(waiters.table().ids_by_service.len(), 2);
    drop(remaining);
    let table = waiters.table();
    assert!(table.by_id.is_empty() && table.ids_by_service.is_empty());
}
