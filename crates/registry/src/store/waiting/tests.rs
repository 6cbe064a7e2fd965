//! Who is woken by what.

use super::*;
use crate::core::parse_services;
use crate::core::{Command, Registration};
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn put(name: &str, service: &str) -> Command {
    let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80","service":"{service}"}}"#);
    let entry = serde_json::from_str(&text).expect("it is read");
    Command::Register { servers: vec![Registration { entry, lease_ms: 0 }], expect: None, at_ms: 0 }
        .into_log_form()
}

fn set(names: &str) -> Arc<[String]> {
    parse_services(names).expect("services").into()
}

fn woken(waiter: &Waiter) -> bool {
    let future = pin!(waiter.woken());
    matches!(future.poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(()))
}

fn founded() -> List {
    let mut list = List::default();
    list.apply(&Command::Bootstrap { epoch: 100, backup: None });
    list
}

#[test]
fn a_change_wakes_those_who_wait_for_its_service_and_nobody_else() {
    let (waiting, mut list) = (Waiting::default(), founded());
    waiting.tell(&list);
    let now = list.version().index;
    let readers = ["a", "b", "a,b", "b,c"].map(|names| waiting.wait(now, &set(names)));
    // One is ahead: it has heard of the next change from another replica.
    let ahead = waiting.wait(now + 1, &set("a"));
    list.apply(&put("s1", "a"));
    waiting.tell(&list);
    assert_eq!(readers.each_ref().map(woken), [true, false, true, false]);
    assert!(!woken(&ahead));
    // One write that hands a server over concerns both of its services.
    let readers = ["a", "b", "c"].map(|names| waiting.wait(list.version().index, &set(names)));
    list.apply(&put("s1", "b"));
    waiting.tell(&list);
    assert_eq!(readers.each_ref().map(woken), [true, true, false]);
    assert!(woken(&ahead));
}

#[test]
fn several_changes_that_are_told_at_once_wake_all_whom_they_concern() {
    let (waiting, mut list) = (Waiting::default(), founded());
    let readers = ["a", "b", "c"].map(|names| waiting.wait(list.version().index, &set(names)));
    for service in ["a", "b", "a", "d"] {
        list.apply(&put("s", service));
    }
    waiting.tell(&list);
    assert_eq!(readers.each_ref().map(woken), [true, true, false]);
}

#[test]
fn an_epoch_that_begins_wakes_all() {
    let (waiting, mut list) = (Waiting::default(), founded());
    list.apply(&put("s1", "a"));
    waiting.tell(&list);
    let readers = ["a", "never"].map(|names| waiting.wait(list.version().index, &set(names)));
    list.apply(&Command::Bootstrap { epoch: 200, backup: None });
    waiting.tell(&list);
    assert_eq!(readers.each_ref().map(woken), [true, true]);
}

#[test]
fn of_those_who_have_gone_nothing_stays() {
    let waiting = Waiting::default();
    let one = waiting.wait(0, &set("a,b"));
    drop(waiting.wait(0, &set("b,c")));
    assert_eq!(waiting.readers().by_service.len(), 2);
    drop(one);
    let readers = waiting.readers();
    assert!(readers.waiting.is_empty() && readers.by_service.is_empty());
}
