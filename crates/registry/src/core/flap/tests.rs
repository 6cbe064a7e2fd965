//! Damping of flapping endpoints.

use super::*;

#[test]
fn a_server_that_flaps_ten_times_a_second_changes_the_list_now_and_then_and_others_are_not_held_up() {
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
fn names_that_are_made_up_take_no_more_than_a_bounded_memory() {
    let mut flaps = FlapDamping::default();
    for i in 0..3 * MAX_TRACKED {
        let _ = flaps.try_change(i as Micros, &format!("s{i}"));
    }
    assert!(flaps.buckets.len() <= MAX_TRACKED);
}
