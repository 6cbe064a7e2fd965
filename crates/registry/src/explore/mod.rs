//! Replicas in drawn schedules of faults, on clocks that the explorer moves: what is proved of the service's own code,
//! log, store and all, is proved here.
//!
//! Each replica has a runtime and a paused clock of its own, stepped in turn on one thread. One that is held is not
//! stepped, and its clock jumps when it goes on, as a process's does that was stopped. Disks lose what was not
//! synced, in any part, when a replica crashes. A seed fixes faults, calls, delays and elections.

mod check;
mod disk;
mod net;
mod readers;
mod schedule;

pub use check::{Broken, Call, Done, History, Op, Told};
pub use schedule::{Played, Wrong, play};

use std::sync::atomic::{AtomicU64, Ordering};

/// What many schedules came to.
#[derive(Debug, Default)]
pub struct Explored {
    /// Schedules played.
    pub schedules: u64,
    /// Calls that were answered, and that were not.
    pub calls: (u64, u64),
    /// Faults that were played.
    pub faults: u64,
    /// Answers to readers of services, and how many of these woke a reader.
    pub told: (u64, u64),
    /// What broke, with the seed of its schedule.
    pub broken: Vec<(u64, String)>,
}

/// Plays so many schedules, from that seed on, over so many threads.
pub fn explore(first: u64, schedules: u64, threads: usize, wrong: Option<Wrong>) -> Explored {
    let next = AtomicU64::new(first);
    let play_some = || {
        let mut all = Explored::default();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + schedules {
                return all;
            }
            let played = play(seed, wrong);
            all.schedules += 1;
            all.calls.0 += played.answered;
            all.calls.1 += played.unanswered;
            all.faults += played.faults;
            all.told.0 += played.told.0;
            all.told.1 += played.told.1;
            all.broken.extend(played.broken.into_iter().map(|b| (seed, b.to_string())));
        }
    };
    let mut sum = Explored::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(play_some)).collect();
        for thread in threads {
            match thread.join() {
                Ok(all) => {
                    sum.schedules += all.schedules;
                    sum.calls.0 += all.calls.0;
                    sum.calls.1 += all.calls.1;
                    sum.faults += all.faults;
                    sum.told.0 += all.told.0;
                    sum.told.1 += all.told.1;
                    sum.broken.extend(all.broken);
                }
                Err(_) => sum.broken.push((first, "a schedule panicked".into())),
            }
        }
    });
    sum.broken.sort();
    sum
}
