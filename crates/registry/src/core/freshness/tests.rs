//! The age of a replica's list.

use super::*;

#[test]
fn age_counts_from_the_request_once_the_committed_index_is_applied() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.consistency(0), ReadConsistency::Unavailable);
    freshness.record_applied(10);
    freshness.record_committed(5 * SECOND, 12);
    assert_eq!(freshness.age(6 * SECOND), None);
    freshness.record_applied(11);
    assert_eq!(freshness.age(6 * SECOND), None);
    freshness.record_applied(12);
    assert_eq!(freshness.consistency(6 * SECOND), ReadConsistency::Fresh(SECOND));
    // A response to an earlier request changes nothing.
    freshness.record_committed(4 * SECOND, 12);
    assert_eq!(freshness.age(6 * SECOND), Some(SECOND));
    assert_eq!(freshness.consistency(9 * SECOND), ReadConsistency::Stale(4 * SECOND));
    assert_eq!(freshness.consistency(36 * SECOND), ReadConsistency::Unavailable);
}

#[test]
fn permanently_lagging_replica_knows_its_age() {
    let mut freshness = Freshness::default();
    for second in 1..20 {
        freshness.record_committed(second * SECOND, 10 * second as u64);
        // It is 25 entries behind.
        freshness.record_applied((10 * second as u64).saturating_sub(25));
    }
    let age = freshness.age(20 * SECOND).expect("the age is known");
    assert!((3 * SECOND..=8 * SECOND).contains(&age), "{age}");
}
