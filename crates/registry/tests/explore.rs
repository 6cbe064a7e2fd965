//! Random fault schedules with three replicas, in simulated time. `lotusmoor registry explore` runs thousands of them.

use lotusmoor_registry::explore::{Defect, explore, run_schedule};

fn threads() -> usize {
    std::thread::available_parallelism().map_or(2, usize::from)
}

#[test]
fn two_hundred_fault_schedules_violate_no_invariant() {
    let explored = explore(1, 200, threads(), None);
    assert!(explored.violations.is_empty(), "{:#?}", explored.violations);
    assert_eq!(explored.schedules, 200);
    // The result is meaningful only if enough calls were answered and enough faults were injected.
    let totals = explored.totals;
    assert!(totals.answered_calls > 200 * 60 && totals.faults > 200 * 10, "{explored:?}");
    assert!(totals.reader_updates > 200 * 60 && totals.woken_readers > 200 * 10, "{explored:?}");
}

#[test]
fn each_injected_defect_is_detected() {
    for defect in [
        Defect::SyncsAreIgnored,
        Defect::LinearizableReadsAreLocal,
        Defect::AgesAreZero,
        Defect::EarlyAcknowledgement,
        Defect::MovesLeaveNoTombstone,
        Defect::UpdateFloorIsIgnored,
        Defect::ServicesAreNotFiltered,
        Defect::WakeupsAreLost,
        Defect::DigestsDifferByReplica,
    ] {
        let explored = explore(1, 40, threads(), Some(defect));
        assert!(!explored.violations.is_empty(), "{defect:?} was not detected");
    }
}

#[test]
fn schedule_is_determined_by_its_seed() {
    for seed in 1..=4 {
        let (one, two) = (run_schedule(seed, None), run_schedule(seed, None));
        assert_eq!(one.timeline, two.timeline);
        assert_eq!(
            (one.totals.answered_calls, one.totals.unanswered_calls),
            (two.totals.answered_calls, two.totals.unanswered_calls),
            "seed {seed}"
        );
    }
}
