//! How often one server may change the list. One that comes and goes ten times a second would have every sidecar told
//! of it each time.

use super::{Micros, SECOND};
use std::collections::BTreeMap;

/// Changes that a server may make at once.
const BURST: f64 = 5.0;
/// Changes a second after that.
const RATE: f64 = 0.5;
/// Servers that are remembered; those that have been quiet for longest are forgotten first.
const MOST: usize = 8192;

/// Changes of late by server.
#[derive(Default)]
pub struct Flaps {
    servers: BTreeMap<String, (f64, Micros)>,
}

impl Flaps {
    /// A server wants to change the list; how long it has to wait where it may not.
    pub fn ask(&mut self, now: Micros, name: &str) -> Result<(), Micros> {
        if self.servers.len() >= MOST {
            // Those whose room is whole again are as good as new.
            self.servers.retain(|_, (room, at)| *room + gained(now - *at) < BURST);
            if self.servers.len() >= MOST {
                self.servers.clear();
            }
        }
        let (room, at) = self.servers.entry(name.to_owned()).or_insert((BURST, now));
        *room = (*room + gained(now - *at)).min(BURST);
        *at = now;
        if *room >= 1.0 {
            *room -= 1.0;
            return Ok(());
        }
        Err(((1.0 - *room) / RATE * SECOND as f64).ceil() as Micros + 1)
    }
}

fn gained(passed: Micros) -> f64 {
    passed.max(0) as f64 / SECOND as f64 * RATE
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_server_that_flaps_ten_times_a_second_changes_the_list_now_and_then_and_others_are_not_held_up() {
        let mut flaps = Flaps::default();
        let taken = (0..600).filter(|i| flaps.ask(i * SECOND / 10, "flaps").is_ok()).count();
        // A minute at one in two seconds, and the burst.
        assert!((34..=36).contains(&taken), "{taken}");
        assert_eq!(flaps.ask(60 * SECOND, "other"), Ok(()));
        while flaps.ask(60 * SECOND, "flaps").is_ok() {}
        let wait = flaps.ask(60 * SECOND, "flaps").expect_err("it has no room");
        assert!(wait > 0 && wait <= 2 * SECOND + 1);
        assert_eq!(flaps.ask(60 * SECOND + wait, "flaps"), Ok(()));
    }

    #[test]
    fn names_that_are_made_up_take_no_more_than_a_bounded_memory() {
        let mut flaps = Flaps::default();
        for i in 0..3 * MOST {
            let _ = flaps.ask(i as Micros, &format!("s{i}"));
        }
        assert!(flaps.servers.len() <= MOST);
    }
}
