//! Tests of the discovery service.

use super::*;

#[test]
fn answers_only_the_fetches_that_start_within_the_timeout() {
    let mut discovery = Discovery::default();
    let calls: Vec<_> = (0..100).map(|_| discovery.fetch(0, 50_000, 2_000_000)).collect();
    assert_eq!(calls.iter().filter(|c| c.is_ok()).count(), 41);
    assert_eq!((calls[0], calls[99]), (Ok(50_000), Err(2_000_000)));
}

#[test]
fn returns_published_changes_after_a_version() {
    let mut discovery = Discovery::default();
    let entry = Entry { status: EndpointStatus::Ready, started: None };
    discovery.record(Change { server: 1, entry, since: 5 });
    assert_eq!(discovery.changes_after(0).len(), 0);
    assert!(discovery.publish(10) && !discovery.publish(20));
    assert_eq!(
        (discovery.version(), discovery.changes_after(0).len(), discovery.changes_after(1).len()),
        (1, 1, 0)
    );
}

#[test]
fn version_is_reachable_from_its_round_or_the_end_of_an_outage() {
    let mut discovery = Discovery::default();
    let entry = Entry { status: EndpointStatus::Ready, started: None };
    let change = Change { server: 1, entry, since: 5 };
    discovery.record(change);
    discovery.publish(100);
    discovery.set_down(200, true);
    discovery.record(change);
    discovery.publish(300);
    assert_eq!([0, 1, 2].map(|v| discovery.reachable_since(v)), [None, Some(100), None]);
    discovery.record(change);
    discovery.set_down(400, false);
    assert_eq!([1, 2, 3].map(|v| discovery.reachable_since(v)), [Some(100), Some(400), None]);
    discovery.publish(500);
    assert_eq!(discovery.reachable_since(3), Some(500));
}
