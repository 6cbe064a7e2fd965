//! The endpoint list, and operators' cordons.

mod common;
use common::*;
use lotusmoor_balancer::*;

#[test]
fn sends_nothing_to_draining_or_removed_endpoints() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut rig = Rig::new(settings(), 3, 1);
        delta(&mut rig, EndpointEntry { status, ..listing(1) });
        assert!(!used(&mut rig, 12).contains(&1));
        delta(&mut rig, listing(1));
        assert!(used(&mut rig, 12).contains(&1));
    }
}

// Its number may be another endpoint's next, which must not be held for what the last one did.
#[test]
fn forgets_endpoint_when_its_number_is_released() {
    for released in [false, true] {
        let mut rig = Rig::new(settings(), 1, 1);
        for _ in 0..6 {
            rig.request(UNSAFE);
            for (id, attempt) in rig.out.keys().copied().collect::<Vec<_>>() {
                rig.end(id, attempt, Outcome::Error);
            }
        }
        delta(&mut rig, EndpointEntry { status: EndpointStatus::Removed, ..listing(0) });
        if released {
            rig.event(Event::EndpointReleased(0));
        }
        delta(&mut rig, listing(0));
        // Some requests are shed after so many failures, whatever is known of endpoints.
        let went = (0..50).any(|_| !sent(&rig.request(SAFE).1).is_empty());
        assert_eq!(went, released);
    }
}

#[test]
fn removes_endpoints_missing_from_full_list() {
    let mut rig = Rig::new(settings(), 3, 1);
    rig.event(Event::EndpointList(EndpointListUpdate::Full(vec![listing(0), listing(2)])));
    assert!(!used(&mut rig, 12).contains(&1));
}

#[test]
fn rejects_at_once_without_endpoints() {
    let mut rig = Rig::new(settings(), 1, 1);
    rig.event(Event::EndpointList(EndpointListUpdate::Full(Vec::new())));
    let (id, actions) = rig.request(UNSAFE);
    assert!(refused(&actions, id));
}

#[test]
fn does_not_send_queued_request_to_draining_endpoint() {
    let mut rig = Rig::new(settings(), 1, 1);
    (0..5).for_each(|_| drop(rig.request(SAFE)));
    delta(&mut rig, EndpointEntry { status: EndpointStatus::Draining, ..listing(0) });
    rig.wait(10 * MS);
    assert!(sent(&rig.end(1, 0, Outcome::Ok)).is_empty());
}

#[test]
fn subscribes_at_start_and_after_failures_with_backoff() {
    let mut set = settings();
    set.discovery = DiscoveryMode::Polled;
    let mut balancer = Balancer::new(set.clone(), 1).expect("usable settings");
    let mut actions = Vec::new();
    balancer.handle(START, Event::EndpointList(EndpointListUpdate::Cached(vec![listing(0)])), &mut actions);
    assert!(actions.contains(&Action::Subscribe(true)));
    let mut rig = Rig::new(set, 1, 1);
    let mut waits = Vec::new();
    for _ in 0..12 {
        rig.event(Event::EndpointList(EndpointListUpdate::Failed));
        let failed = rig.now;
        while rig.wait(10 * MS).iter().all(|a| *a != Action::Subscribe(true)) {
            assert!(rig.now - failed < rig.set.rules.max_poll_interval, "asks inside the interval");
        }
        waits.push(rig.now - failed);
    }
    assert!(waits[3] > waits[0], "{waits:?}");
    rig.event(Event::EndpointList(EndpointListUpdate::Delta(Vec::new())));
    rig.event(Event::EndpointList(EndpointListUpdate::Failed));
    assert!(rig.wait(1500 * MS).contains(&Action::Subscribe(true)), "a success starts the waits anew");
}

#[test]
fn ignores_out_of_range_endpoint_number() {
    let mut rig = Rig::new(settings(), 2, 1);
    delta(&mut rig, listing(EndpointId::MAX));
    assert!(used(&mut rig, 8).iter().all(|e| *e < 2));
}

#[test]
fn sends_nothing_to_cordoned_endpoint_whatever_the_list_says() {
    let mut rig = Rig::new(settings(), 2, 1);
    rig.event(Event::Cordoned(0));
    rig.event(Event::Cordoned(0));
    let again = EndpointEntry { started_at: Some(rig.now), ..listing(0) };
    for list in
        [EndpointListUpdate::Delta(vec![listing(0)]), EndpointListUpdate::Full(vec![again, listing(1)])]
    {
        rig.event(Event::EndpointList(list));
        for outcome in [Outcome::Ok, Outcome::Rejected, Outcome::Ok] {
            let (id, actions) = rig.request(SAFE);
            assert_eq!(sent(&actions), [1]);
            rig.wait(100 * MS);
            rig.end(id, 0, outcome);
            assert!(!sent(&rig.wait(300 * MS)).contains(&0), "a retry went there");
            rig.serve(100 * MS);
        }
    }
    // The number is another endpoint's.
    rig.event(Event::EndpointReleased(0));
    rig.event(Event::EndpointList(EndpointListUpdate::Delta(vec![listing(0)])));
    assert!((0..4).any(|_| sent(&rig.request(SAFE).1) == [0]));
}

#[test]
fn rejects_at_once_when_all_endpoints_are_cordoned() {
    let mut rig = Rig::new(settings(), 2, 1);
    let (out, _) = rig.request(SAFE);
    let waits = rig.out[&(out, 0)].endpoint;
    rig.event(Event::Cordoned(1 - waits));
    rig.event(Event::Cordoned(waits));
    let (id, actions) = rig.request(UNSAFE);
    assert!(refused(&actions, id) && sent(&actions).is_empty());
    // What is out may finish.
    assert!(rig.out.contains_key(&(out, 0)));
    let actions = rig.end(out, 0, Outcome::Error);
    assert!(refused(&actions, out), "{actions:?}");
}

// Given back, it was restarted: a new process that is used again soon, and may not be sent much.
#[test]
fn uses_uncordoned_endpoint_at_once_within_its_slow_start_budget() {
    let mut rig = Rig::new(settings(), 4, 1);
    let serve = |rig: &mut Rig, requests: usize| {
        let mut to = [0; 4];
        for _ in 0..requests {
            let (_, actions) = rig.request(SAFE);
            sent(&actions).iter().for_each(|e| to[*e] += 1);
            rig.serve(100 * MS);
        }
        to
    };
    assert!(serve(&mut rig, 40)[0] > 5);
    // Its circuit opens before it is taken out.
    for _ in 0..40 {
        let (id, actions) = rig.request(UNSAFE);
        let outcome = if sent(&actions) == [0] { Outcome::ConnectFailed } else { Outcome::Ok };
        rig.end(id, 0, outcome);
        rig.wait(100 * MS);
        rig.serve(100 * MS);
    }
    rig.event(Event::Cordoned(0));
    assert_eq!(serve(&mut rig, 40)[0], 0);
    rig.event(Event::Uncordoned(0));
    assert_eq!(serve(&mut rig, 1), [1, 0, 0, 0]);
    let rest = serve(&mut rig, 20);
    assert!(rest[0] < rest[1] && rest[0] < 5, "{rest:?}");
}
