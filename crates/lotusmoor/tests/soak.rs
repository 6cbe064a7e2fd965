//! A few short seeds of the fault soak, and what it is made of.

use lotusmoor_fleet::soak::{Fault, Plan, run_plan};

/// Seeds that meet rolls, reloads, failing calls, a silent discovery, drains, long bodies, hand-overs and operators' calls; 6005
/// and 6021 kill sidecars whose sockets are passed on.
const SEEDS: [u64; 6] = [3, 126, 404, 538, 6005, 6021];

#[test]
fn no_rule_is_broken_where_troubles_meet() {
    for pair in SEEDS.chunks(2) {
        std::thread::scope(|scope| {
            let plays: Vec<_> =
                pair.iter().map(|seed| scope.spawn(|| run_plan(&Plan::draw(*seed)))).collect();
            for played in plays {
                let seen = played
                    .join()
                    .expect("the thread does not panic")
                    .unwrap_or_else(|failure| panic!("{failure}"));
                assert!(seen.served * 2 > seen.requests, "{seen:?}");
            }
        });
    }
}

// No attempt may begin for a client that closed in the queue of a passed socket, while its sidecar was killed.
#[test]
fn soak_seed_8450() {
    if let Err(failure) = run_plan(&Plan::draw(8450)) {
        panic!("{failure}");
    }
}

#[test]
fn a_seed_draws_the_same_plan_and_troubles_of_it_overlap() {
    let mut meet = 0;
    for seed in 0..200 {
        let plan = Plan::draw(seed);
        assert_eq!(plan, Plan::draw(seed));
        let text = serde_json::to_string(&plan).expect("a plan is text");
        assert_eq!(serde_json::from_str::<Plan>(&text).expect("and is read again"), plan);
        // Three meetings of three troubles and two of operators; where sockets are passed on, a roll is three hand-overs.
        let most = if plan.socket_passing { 3 * 3 * 3 + 2 } else { 3 * 3 + 2 };
        assert!((10..=40).contains(&plan.sidecars) && plan.windows.len() <= most);
        let stops = |w: &lotusmoor_fleet::soak::FaultWindow| {
            matches!(w.fault, Fault::StopSidecar(_) | Fault::StopSidecars(_))
        };
        assert!(!plan.socket_passing || !plan.windows.iter().any(stops));
        let windows = plan.windows.iter();
        let overlaps = windows.filter(|w| {
            let other = |o: &&lotusmoor_fleet::soak::FaultWindow| {
                *o != *w && o.at_ms <= w.at_ms && w.at_ms <= o.at_ms + o.lasts_ms
            };
            plan.windows.iter().any(|o| other(&o))
        });
        meet += usize::from(overlaps.count() >= 2);
        let long = |w: &lotusmoor_fleet::soak::FaultWindow| {
            matches!(w.fault, Fault::PauseSidecar(_)) && w.lasts_ms > 150
        };
        assert!(!plan.windows.iter().any(long));
    }
    assert!(meet > 150, "{meet}");
}

/// Seeds with clients that leave bodies at an away or held sidecar, signals in series, and logs that nobody reads.
const FURTHER_SEEDS: [u64; 4] = [8501, 8502, 8503, 8504];

#[test]
fn no_rule_is_broken_by_leaving_bodies_signal_series_and_unread_logs() {
    let (mut left, mut signals, mut dropped) = (0, 0, 0);
    for pair in FURTHER_SEEDS.chunks(2) {
        std::thread::scope(|scope| {
            let plays: Vec<_> = pair
                .iter()
                .map(|seed| scope.spawn(|| run_plan(&Plan::draw_with_extra_faults(*seed))))
                .collect();
            for played in plays {
                let seen = played
                    .join()
                    .expect("the thread does not panic")
                    .unwrap_or_else(|failure| panic!("{failure}"));
                left += seen.aborted_uploads;
                signals += seen.series_signals;
                dropped += seen.dropped_log_lines;
            }
        });
    }
    assert!(left > 0 && signals > 0 && dropped > 0, "{left} left, {signals} signals, {dropped} lines");
}
