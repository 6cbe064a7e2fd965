//! Load shedding.

mod common;
use common::*;
use lotusmoor_balancer::*;

// A process that has just started, in an upgrade say, knows of no open circuit yet. What it sends to endpoints that fail
// is all that it has seen: it must not pass for an overload in which nearly all are turned away at once.
#[test]
fn new_sidecar_does_not_take_first_errors_for_overload() {
    let mut turned_away = 0;
    for seed in 1..=10 {
        let mut rig = Rig::new(settings(), 4, seed);
        for _ in 0..40 {
            for _ in 0..4 {
                let (id, actions) = rig.request(UNSAFE);
                turned_away += usize::from(refused(&actions, id));
            }
            rig.wait(10 * MS);
            for ((id, n), out) in rig.out.clone() {
                rig.end(id, n, if out.endpoint < 3 { Outcome::Error } else { Outcome::Ok });
            }
        }
    }
    assert!(turned_away <= 40, "{turned_away} of 1600");
}

/// Sends of so many requests, each answered after `time`.
fn taken(rig: &mut Rig, requests: usize, time: Micros) -> usize {
    let before = rig.sends.len();
    for _ in 0..requests {
        rig.request(UNSAFE);
        rig.wait(500 * MS);
        for ((id, n), out) in rig.out.clone() {
            if rig.now - out.sent >= time {
                rig.end(id, n, Outcome::Ok);
            }
        }
    }
    rig.sends.len() - before
}

#[test]
fn sheds_most_late_work_but_not_all_and_recovers() {
    let mut rig = Rig::new(Settings { instances: 1000, ..settings() }, 12, 1);
    assert_eq!(taken(&mut rig, 40, 500 * MS), 40);
    taken(&mut rig, 40, 1500 * MS);
    let late = taken(&mut rig, 60, 1500 * MS);
    assert!((6..=40).contains(&late), "{late} of 60 taken while all come late");
    taken(&mut rig, 60, 500 * MS);
    let well = taken(&mut rig, 40, 500 * MS);
    assert_eq!(well, 40, "taken once all come in time again");
}

// Clients that wait a second are turned away for what went wrong ten of their deadlines ago, else.
#[test]
fn shedding_window_follows_deadlines() {
    let mut set = Settings { instances: 1000, ..settings() };
    set.classes.iter_mut().for_each(|c| (c.latency_objective, c.deadline) = (250 * MS, 1000 * MS));
    let mut rig = Rig::new(set, 12, 1);
    let mut taken = |requests: usize, time: Micros| {
        let before = rig.sends.len();
        for _ in 0..requests {
            rig.request_for(UNSAFE, 750 * MS, None, None);
            rig.serve(time);
            rig.wait(125 * MS - time % (125 * MS));
        }
        rig.sends.len() - before
    };
    taken(40, 50 * MS);
    assert!(taken(80, 300 * MS) < 60, "all come late");
    taken(16, 50 * MS);
    assert_eq!(taken(24, 50 * MS), 24, "two deadlines after all came in time again");
}
