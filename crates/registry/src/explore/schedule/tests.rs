//! Membership changes that a crash interrupts.

use super::*;

fn is_joint(schedule: &Schedule, id: u64) -> bool {
    schedule.running(id).is_some_and(|running| {
        let metrics = running.node.raft().metrics();
        let metrics = metrics.borrow();
        metrics.membership_config.membership().get_joint_config().len() > 1
    })
}

// A membership change that nobody completes leaves the joint configuration in place for good, in which every decision
// needs a majority of the old members and one of the new ones.
#[test]
fn new_leader_completes_an_interrupted_membership_change() {
    let mut schedule = Schedule::new(5, None);
    (1..=3).for_each(|id| assert!(schedule.start(id), "{:?}", schedule.violations));
    schedule.bootstrap();
    let mut crashed_at = 0;
    for _ in 0..3000 {
        schedule.step();
        // The joint configuration has reached another replica: crash the leader.
        if crashed_at == 0 && is_joint(&schedule, 1) && is_joint(&schedule, 2) {
            schedule.crash(1);
            crashed_at = schedule.now;
            schedule.schedule_return(1, 300);
        }
        if crashed_at > 0 && schedule.now >= crashed_at + 300 {
            schedule.bring_back(1);
            break;
        }
    }
    assert!(crashed_at > 0, "no joint configuration was seen on both replicas");
    (0..1500).for_each(|_| schedule.step());
    let joint_views: Vec<_> = (1..=2).map(|id| is_joint(&schedule, id)).collect();
    assert_eq!(joint_views, [false, false], "{:?}", schedule.timeline);
}
