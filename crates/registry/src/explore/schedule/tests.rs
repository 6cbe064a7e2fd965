//! Membership changes that a crash interrupts.

use super::*;

fn joint(s: &Schedule, id: u64) -> bool {
    s.running(id).is_some_and(|running| {
        let metrics = running.node.raft().metrics();
        let metrics = metrics.borrow();
        metrics.membership_config.membership().get_joint_config().len() > 1
    })
}

// Until it is ended, a majority of those before is wanted as well as one of those after, for good.
#[test]
fn new_leader_completes_an_interrupted_membership_change() {
    let mut s = Schedule::new(5, None);
    (1..=3).for_each(|id| assert!(s.start(id), "{:?}", s.violations));
    s.bootstrap();
    let mut left = 0;
    for _ in 0..3000 {
        s.step();
        // It has come to another, and the leader ends.
        if left == 0 && joint(&s, 1) && joint(&s, 2) {
            s.crash(1);
            left = s.now;
            s.schedule_return(1, 300);
        }
        if left > 0 && s.now >= left + 300 {
            s.bring_back(1);
            break;
        }
    }
    assert!(left > 0, "who belongs was never half changed");
    (0..1500).for_each(|_| s.step());
    let views: Vec<_> = (1..=2).map(|id| joint(&s, id)).collect();
    assert_eq!(views, [false, false], "{:?}", s.timeline);
}
