//! Damping of flapping endpoints.

use super::*;

#[test]
fn flapping_endpoint_is_damped_without_affecting_others() {
    let mut flaps = FlapDamping::default();
    let taken = (0..600).filter(|i| flaps.try_change(i * SECOND / 10, "flaps").is_ok()).count();
    // A minute at one in two seconds, and the burst.
    assert!((34..=36).contains(&taken), "{taken}");
    assert_eq!(flaps.try_change(60 * SECOND, "other"), Ok(()));
    while flaps.try_change(60 * SECOND, "flaps").is_ok() {}
    let wait = flaps.try_change(60 * SECOND, "flaps").expect_err("it has no room");
    assert!(wait > 0 && wait <= 2 * SECOND + 1);
    assert_eq!(flaps.try_change(60 * SECOND + wait, "flaps"), Ok(()));
}

#[test]
fn tracked_endpoints_are_bounded() {
    let mut flaps = FlapDamping::default();
    for i in 0..3 * MAX_TRACKED {
        let _ = flaps.try_change(i as Micros, &format!("s{i}"));
    }
    assert!(flaps.buckets.len() <= MAX_TRACKED);
}
