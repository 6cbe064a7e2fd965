//! Network links: message delays and network partitions between zones.

use crate::Micros;
use crate::chance;

/// The network of a world.
#[derive(Clone, Debug)]
pub struct Links {
    /// Mean one-way delay within a zone.
    pub same_zone: f64,
    /// Mean one-way delay between two zones.
    pub cross_zone: f64,
    /// One-way delay between a client and its sidecar.
    pub client: f64,
    /// Coefficient of variation of the delay.
    pub jitter: f64,
    /// Number of active cuts from a zone (first index) to another (second).
    cuts: Vec<Vec<u32>>,
    seed: u64,
    messages: u64,
}

impl Links {
    /// Intact links between this number of zones; delays in microseconds.
    pub fn new(zones: usize, same_zone: f64, cross_zone: f64, client: f64, jitter: f64, seed: u64) -> Self {
        Self { same_zone, cross_zone, client, jitter, cuts: vec![vec![0; zones]; zones], seed, messages: 0 }
    }

    /// Draws the delay of a message between zones; `latency_factor` is the receiving server's own factor on it.
    pub fn delay(&mut self, from: usize, to: usize, latency_factor: f64) -> Micros {
        self.messages += 1;
        let mean = if from == to { self.same_zone } else { self.cross_zone };
        let time = mean * latency_factor * chance::log_normal_factor(self.seed ^ self.messages, self.jitter);
        (time as Micros).max(1)
    }

    /// The mean delay between zones.
    pub fn mean_delay(&self, from: usize, to: usize) -> f64 {
        if from == to { self.same_zone } else { self.cross_zone }
    }

    /// Whether messages from one zone reach the other.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        self.cuts[from][to] == 0
    }

    /// Whether messages pass in both directions, which a new connection needs.
    pub fn bidirectional(&self, one: usize, other: usize) -> bool {
        self.is_open(one, other) && self.is_open(other, one)
    }

    /// Begins or ends a cut of a zone's outgoing links to the others; with `inbound_too`, of the incoming links as
    /// well.
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
mod tests;
