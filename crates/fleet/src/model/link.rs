//! Links: how long a message takes, and which zones hear of each other.

use crate::Micros;
use crate::chance;

/// The network of a world.
#[derive(Clone, Debug)]
pub struct Links {
    /// One way within a zone, and between two.
    pub same_zone: f64,
    /// One way between two zones.
    pub cross_zone: f64,
    /// Between a client and its sidecar.
    pub client: f64,
    /// Variation of a message's time.
    pub jitter: f64,
    /// How many cuts there are now from a zone (first) to another.
    cuts: Vec<Vec<u32>>,
    seed: u64,
    messages: u64,
}

impl Links {
    /// Whole links between so many zones; times in microseconds.
    pub fn new(zones: usize, same_zone: f64, cross_zone: f64, client: f64, jitter: f64, seed: u64) -> Self {
        Self { same_zone, cross_zone, client, jitter, cuts: vec![vec![0; zones]; zones], seed, messages: 0 }
    }

    /// How long a message takes from zone to zone; `stretch` is the receiver's own share of it.
    pub fn delay(&mut self, from: usize, to: usize, latency_factor: f64) -> Micros {
        self.messages += 1;
        let mean = if from == to { self.same_zone } else { self.cross_zone };
        let time = mean * latency_factor * chance::log_normal_factor(self.seed ^ self.messages, self.jitter);
        (time as Micros).max(1)
    }

    /// How long it takes on the mean.
    pub fn mean_delay(&self, from: usize, to: usize) -> f64 {
        if from == to { self.same_zone } else { self.cross_zone }
    }

    /// Whether messages from the one zone come to the other.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        self.cuts[from][to] == 0
    }

    /// Whether both hear of each other, as a new connection wants.
    pub fn bidirectional(&self, one: usize, other: usize) -> bool {
        self.is_open(one, other) && self.is_open(other, one)
    }

    /// Cuts a zone off from the others, or joins it again; `in_too` cuts what comes in as well.
    pub fn cut(&mut self, zone: usize, inbound_too: bool, begin: bool) {
        for other in (0..self.cuts.len()).filter(|other| *other != zone) {
            let both = [Some((zone, other)), inbound_too.then_some((other, zone))];
            for (from, to) in both.into_iter().flatten() {
                let cuts = &mut self.cuts[from][to];
                *cuts = if begin { *cuts + 1 } else { cuts.saturating_sub(1) };
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cuts_that_overlap_last_until_the_last_one_ends() {
        let mut links = Links::new(3, 100.0, 3000.0, 50.0, 0.0, 1);
        links.cut(0, true, true);
        links.cut(0, false, true);
        links.cut(0, true, false);
        assert_eq!((links.is_open(0, 1), links.is_open(1, 0), links.is_open(1, 2)), (false, true, true));
        links.cut(0, false, false);
        assert!(links.bidirectional(0, 1));
    }
}
