//! Drawn schedules of faults over three replicas, in simulated time; thousands by `lotusmoor roster explore`.

use lotusmoor_registry::explore::{Wrong, explore, play};

fn threads() -> usize {
    std::thread::available_parallelism().map_or(2, usize::from)
}

#[test]
fn two_hundred_schedules_of_faults_break_no_rule() {
    let explored = explore(1, 200, threads(), None);
    assert!(explored.broken.is_empty(), "{:#?}", explored.broken);
    assert_eq!(explored.schedules, 200);
    // It is worth something only where a good part of the calls got through and faults were many.
    assert!(explored.calls.0 > 200 * 60 && explored.faults > 200 * 10, "{explored:?}");
    assert!(explored.told.0 > 200 * 60 && explored.told.1 > 200 * 10, "{explored:?}");
}

#[test]
fn each_wrong_behaviour_is_noticed() {
    for wrong in [
        Wrong::DisksLie,
        Wrong::ReadsAreLocal,
        Wrong::AgesLie,
        Wrong::AcknowledgedEarly,
        Wrong::HandOversLeaveNoTombstone,
        Wrong::FloorsAreIgnored,
        Wrong::AllAreTold,
        Wrong::WakesAreLost,
        Wrong::DigestsDiffer,
    ] {
        let explored = explore(1, 40, threads(), Some(wrong));
        assert!(!explored.broken.is_empty(), "{wrong:?} goes unseen");
    }
}

#[test]
fn a_seed_plays_the_same_schedule_again() {
    for seed in 1..=4 {
        let (one, two) = (play(seed, None), play(seed, None));
        assert_eq!(one.timeline, two.timeline);
        assert_eq!((one.answered, one.unanswered), (two.answered, two.unanswered), "seed {seed}");
    }
}
