//! Weighted round robin over a subset of the endpoints.

mod common;
use common::*;
use lotusmoor_balancer::*;

#[test]
fn failing_endpoints_do_not_extend_subset_to_whole_fleet() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 64, 5);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..200 {
        harness.request(NON_IDEMPOTENT);
        for ((id, n), sent) in harness.in_flight.clone() {
            used.insert(sent.endpoint);
            harness.end_attempt(id, n, if sent.endpoint % 4 > 0 { Outcome::Error } else { Outcome::Ok });
        }
        harness.advance(500 * MS);
    }
    assert!(used.len() <= 32, "{} of 64 used while three in four fail", used.len());
}

// A sidecar with little traffic that used the whole fleet would send to each endpoint only every few seconds:
// each failure would cost it a request, and it would hold a connection to every endpoint.
#[test]
fn subset_size_is_limited_by_traffic() {
    for mut endpoints in targets_of_many_sidecars(0) {
        endpoints.sort_unstable();
        endpoints.dedup();
        assert!((6..=10).contains(&endpoints.len()), "{endpoints:?}");
    }
}

#[test]
fn all_endpoints_get_equal_turns() {
    let mut harness = Harness::new(settings(), 4, 1);
    let mut counts = [0; 4];
    for _ in 0..40 {
        counts[targets(&harness.request(IDEMPOTENT).1)[0]] += 1;
        harness.answer_all(20 * MS);
    }
    assert!(counts.iter().all(|c| (9..=11).contains(c)), "{counts:?}");
}

#[test]
fn turns_follow_listed_sizes() {
    let mut harness = Harness::new(settings(), 2, 1);
    harness.handle(Event::EndpointList(EndpointListUpdate::Delta(vec![EndpointEntry {
        size: 3.0,
        ..ready_entry(1)
    }])));
    let mut counts = [0; 2];
    for _ in 0..80 {
        counts[targets(&harness.request(IDEMPOTENT).1)[0]] += 1;
        harness.answer_all(20 * MS);
    }
    assert!((55..=65).contains(&counts[1]), "{counts:?}");
}

#[test]
fn subset_grows_with_traffic() {
    for (pause, range) in [(500 * MS, 8..=24), (25 * MS, 60..=64)] {
        let mut harness = Harness::new(settings(), 64, 1);
        let mut used = std::collections::BTreeMap::new();
        for _ in 0..400 {
            let (_, actions) = harness.request(IDEMPOTENT);
            targets(&actions).iter().for_each(|e| *used.entry(*e).or_insert(0) += 1);
            harness.answer_all(20 * MS);
            harness.advance(pause - 20 * MS);
        }
        assert!(range.contains(&used.len()), "{} endpoints", used.len());
    }
}

#[test]
fn replaces_removed_endpoint_of_subset() {
    let mut harness = Harness::new(settings(), 64, 1);
    let mut first = None;
    for _ in 0..40 {
        let (_, actions) = harness.request(IDEMPOTENT);
        first = first.or(targets(&actions).first().copied());
        harness.answer_all(20 * MS);
        harness.advance(480 * MS);
    }
    let removed = EndpointEntry { status: EndpointStatus::Removed, ..ready_entry(first.expect("a target")) };
    harness.handle(Event::EndpointList(EndpointListUpdate::Delta(vec![removed])));
    for _ in 0..40 {
        let (_, actions) = harness.request(IDEMPOTENT);
        assert!(targets(&actions).len() == 1 && targets(&actions).first() != first.as_ref());
        harness.answer_all(20 * MS);
    }
}

#[test]
fn sidecars_start_their_turns_at_different_endpoints() {
    let first = |seed| targets(&Harness::new(settings(), 8, seed).request(IDEMPOTENT).1)[0];
    let firsts: std::collections::BTreeSet<_> = (0..20).map(first).collect();
    assert!(firsts.len() > 2, "{firsts:?}");
}
