//! Weighted round robin over a subset.

mod common;
use common::*;
use lotusmoor_balancer::*;

#[test]
fn failing_endpoints_do_not_extend_subset_to_whole_fleet() {
    let mut harness = Harness::new(Settings { instances: 1000, ..settings() }, 64, 5);
    let mut met = std::collections::BTreeSet::new();
    for _ in 0..200 {
        harness.request(NON_IDEMPOTENT);
        for ((id, attempt), out) in harness.in_flight.clone() {
            met.insert(out.endpoint);
            harness.end_attempt(id, attempt, if out.endpoint % 4 > 0 { Outcome::Error } else { Outcome::Ok });
        }
        harness.advance(500 * MS);
    }
    assert!(met.len() <= 32, "{} of 64 tried with three in four sick", met.len());
}

// A sidecar that used the whole fleet would meet each endpoint once in seconds: it would learn that one fails
// only by losing a request, and hold a connection to each.
#[test]
fn subset_is_as_large_as_traffic_can_learn_of() {
    for mut to in targets_of_many_sidecars(0) {
        to.sort_unstable();
        to.dedup();
        assert!((6..=10).contains(&to.len()), "{to:?}");
    }
}

#[test]
fn turns_go_round_all_endpoints() {
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
fn replaces_lost_endpoint_of_subset() {
    let mut harness = Harness::new(settings(), 64, 1);
    let mut first = None;
    for _ in 0..40 {
        let (_, actions) = harness.request(IDEMPOTENT);
        first = first.or(targets(&actions).first().copied());
        harness.answer_all(20 * MS);
        harness.advance(480 * MS);
    }
    let gone = EndpointEntry { status: EndpointStatus::Removed, ..ready_entry(first.expect("a pick")) };
    harness.handle(Event::EndpointList(EndpointListUpdate::Delta(vec![gone])));
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
