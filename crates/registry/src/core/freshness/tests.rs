//! The age of a replica's list.

use super::*;

#[test]
fn age_counts_from_the_request_once_the_committed_index_is_applied() {
    let mut f = Freshness::default();
    assert_eq!(f.consistency(0), ReadConsistency::Unavailable);
    f.record_applied(10);
    f.record_committed(5 * SECOND, 12);
    assert_eq!(f.age(6 * SECOND), None);
    f.record_applied(11);
    assert_eq!(f.age(6 * SECOND), None);
    f.record_applied(12);
    assert_eq!(f.consistency(6 * SECOND), ReadConsistency::Fresh(SECOND));
    // An answer to an earlier question changes nothing.
    f.record_committed(4 * SECOND, 12);
    assert_eq!(f.age(6 * SECOND), Some(SECOND));
    assert_eq!(f.consistency(9 * SECOND), ReadConsistency::Stale(4 * SECOND));
    assert_eq!(f.consistency(36 * SECOND), ReadConsistency::Unavailable);
}

#[test]
fn permanently_lagging_replica_knows_its_age() {
    let mut f = Freshness::default();
    for second in 1..20 {
        f.record_committed(second * SECOND, 10 * second as u64);
        // It is 25 entries behind.
        f.record_applied((10 * second as u64).saturating_sub(25));
    }
    let age = f.age(20 * SECOND).expect("it is known");
    assert!((3 * SECOND..=8 * SECOND).contains(&age), "{age}");
}
