//! Damping of flapping endpoints.

use super::*;

#[test]
fn flapping_endpoint_is_damped_without_affecting_others() {
    let mut damping = FlapDamping::default();
    let accepted = (0..600).filter(|i| damping.try_change(i * SECOND / 10, "flaps").is_ok()).count();
    // 60 s at 0.5 changes a second, plus the burst of 5.
    assert!((34..=36).contains(&accepted), "{accepted}");
    assert_eq!(damping.try_change(60 * SECOND, "other"), Ok(()));
    while damping.try_change(60 * SECOND, "flaps").is_ok() {}
    let retry_after = damping.try_change(60 * SECOND, "flaps").expect_err("its bucket is empty");
    assert!(retry_after > 0 && retry_after <= 2 * SECOND + 1);
    assert_eq!(damping.try_change(60 * SECOND + retry_after, "flaps"), Ok(()));
}

#[test]
fn tracked_endpoints_are_bounded() {
    let mut damping = FlapDamping::default();
    for i in 0..3 * MAX_TRACKED {
        let _ = damping.try_change(i as Micros, &format!("s{i}"));
    }
    assert!(damping.buckets.len() <= MAX_TRACKED);
}
