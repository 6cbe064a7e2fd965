//! What a run is measured by.

use super::world::{GoalSpec, PriceSpec};
use crate::{Micros, SECOND};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What became of a client's request, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered within its aim.
    InTime,
    /// Answered later.
    Late,
    /// Refused to the last.
    Refused,
    /// Failed, or never answered.
    Failed,
}

/// A second of the day. Requests count in the second of their first try.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Window {
    /// First tries.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Answered within their aim.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused to the last.
    pub refused: u64,
    /// Failed, or never answered.
    pub failed: u64,
    /// Worth asked for, and served in time.
    pub worth: f64,
    /// Worth served in time.
    pub served: f64,
    /// Tries of clients that came in this second.
    pub tries: u64,
    /// Refusals in this second.
    pub refusals: u64,
    /// Attempts sent in this second.
    pub attempts: u64,
    /// Of them, ones that crossed zones.
    #[serde(rename = "crossed")]
    pub cross_zone: u64,
    /// New connections.
    pub handshakes: u64,
    /// Connections held at its end.
    pub connections: u64,
    /// Median and 99th percentile of the latency of requests answered in this second, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// Age of the oldest change that a sidecar was told in this second, in milliseconds.
    pub staleness_ms: f64,
}

/// A class over the day.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// First tries.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Share answered in time.
    pub in_time: f64,
    /// Latency from the first try, in milliseconds: median, 99th percentile, 99.9th.
    pub latency_ms: [f64; 3],
}

/// What a run is judged by.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Figures {
    /// Worth served in time over worth asked for, mixed and with prices off, as the site's goal has it.
    #[serde(rename = "g")]
    pub score: f64,
    /// Over the whole day.
    #[serde(rename = "whole")]
    pub whole_run: f64,
    /// Over the worst 10 s.
    pub worst_window: f64,
    /// Of the worst class.
    pub worst_class: f64,
    /// Of the worst tenant, within its share; 1 without tenants.
    pub worst_tenant: f64,
    /// First tries.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Share of them answered late, refused, failed.
    pub late: f64,
    /// Share refused to the last.
    pub refused: f64,
    /// Share failed or never answered.
    pub failed: f64,
    /// Tries of clients for each first try.
    pub tries: f64,
    /// Attempts for each try.
    pub attempts: f64,
    /// Attempts across zones, as a share of all.
    #[serde(rename = "crossed")]
    pub cross_zone: f64,
    /// New connections for each first try.
    pub handshakes: f64,
    /// Work done that served nobody, as a share of the work asked for.
    pub wasted: f64,
    /// Servers that fell over.
    #[serde(rename = "tipped")]
    pub overload_crashes: u64,
    /// Latency from the first try, in milliseconds: median, 99th percentile, 99.9th.
    pub latency_ms: [f64; 3],
    /// Time from a change to its being told a sidecar, in milliseconds: median, 99th percentile, most.
    pub staleness_ms: [f64; 3],
    /// Time from a change's acknowledgement by a roster to a sidecar's being told, in milliseconds: median, 99th
    /// percentile, most.
    #[serde(default)]
    #[serde(rename = "told_after_ms")]
    pub notified_after_ms: [f64; 3],
    /// The same to the last sidecar's being told, over changes.
    #[serde(default)]
    #[serde(rename = "told_last_ms")]
    pub last_notified_ms: [f64; 3],
    /// Calls for lists at a roster.
    #[serde(default)]
    #[serde(rename = "list_calls")]
    pub list_polls: u64,
    /// Of them, those that were told to come again.
    #[serde(default)]
    #[serde(rename = "turned_away")]
    pub throttled_polls: u64,
    /// Lists that sidecars held back.
    #[serde(default)]
    #[serde(rename = "held_back")]
    pub withheld_lists: u64,
    /// Broken rules by name.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<String, u64>,
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// By second.
    pub windows: Vec<Window>,
    /// Events played.
    pub events: u64,
    /// Equal for runs that went alike.
    pub digest: u64,
}

impl Figures {
    /// Requests answered in time.
    pub fn in_time(&self) -> u64 {
        self.windows.iter().map(|w| w.in_time).sum()
    }
}

/// What a client's request is worth.
#[derive(Clone, Copy, Debug)]
pub struct Worth {
    /// Its class.
    pub class: u8,
    /// Its tenant, where it is within its share.
    pub tenant: Option<u8>,
    /// Worth in time.
    pub full: f64,
    /// Worth late.
    pub late: f64,
}

/// Gathers figures while a run goes on.
pub struct Gauge {
    windows: Vec<Window>,
    latencies: Vec<Histogram<u64>>,
    seconds: Vec<Histogram<u32>>,
    staleness: Histogram<u64>,
    requests: Vec<u64>,
    in_time: Vec<u64>,
    /// Worth asked for and served, by class and by tenant.
    worths: [Vec<(f64, f64)>; 2],
    names: Vec<String>,
    late_worth_lost: f64,
    /// Work asked for, and work that served somebody.
    pub work: (f64, f64),
    /// Servers that fell over.
    pub overload_crashes: u64,
    /// Probes sent.
    pub probes: u64,
    /// Lines of lists told.
    pub lines: u64,
    /// Calls for lists, those that were told to come again, and lists that were held back.
    pub list_polls: u64,
    /// See there.
    pub throttled_polls: u64,
    /// See there.
    pub withheld_lists: u64,
    /// From each change's acknowledgement to the last sidecar that was told of it.
    pub told_last: Vec<Micros>,
    told_after: Histogram<u64>,
}

/// Three figures of a value that need no more than 1% of it; a minute is the most.
fn histogram<T: hdrhistogram::Counter>() -> Histogram<T> {
    Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("the bounds are fixed and fine")
}

fn quantiles(h: &Histogram<u64>, last: f64) -> [f64; 3] {
    [0.5, 0.99, last].map(|q| h.value_at_quantile(q) as f64 / 1000.0)
}

impl Gauge {
    /// For classes of these names, and so many tenants.
    pub fn new(names: Vec<String>, tenants: usize) -> Self {
        let n = names.len();
        Self {
            windows: Vec::new(),
            latencies: (0..n).map(|_| histogram()).collect(),
            seconds: Vec::new(),
            staleness: histogram(),
            requests: vec![0; n],
            in_time: vec![0; n],
            worths: [vec![(0.0, 0.0); n], vec![(0.0, 0.0); tenants]],
            names,
            late_worth_lost: 0.0,
            work: (0.0, 0.0),
            overload_crashes: 0,
            probes: 0,
            lines: 0,
            list_polls: 0,
            throttled_polls: 0,
            withheld_lists: 0,
            told_last: Vec::new(),
            told_after: histogram(),
        }
    }

    /// The second of that instant.
    pub fn at(&mut self, now: Micros) -> &mut Window {
        let second = (now / SECOND).max(0) as usize;
        if self.windows.len() <= second {
            self.windows.resize_with(second + 1, Window::default);
            self.seconds.resize_with(second + 1, histogram);
        }
        &mut self.windows[second]
    }

    /// A client's first try.
    pub fn ask(&mut self, now: Micros, worth: Worth, work: f64) {
        let window = self.at(now);
        window.requests += 1;
        window.worth += worth.full;
        self.requests[usize::from(worth.class)] += 1;
        self.book(worth, |booked| booked.0 += worth.full);
        self.work.0 += work;
    }

    /// Books something to a request's class, and to its tenant.
    fn book(&mut self, worth: Worth, what: impl Fn(&mut (f64, f64))) {
        what(&mut self.worths[0][usize::from(worth.class)]);
        if let Some(tenant) = worth.tenant {
            what(&mut self.worths[1][usize::from(tenant)]);
        }
    }

    /// What became of a request that was first tried at `first`.
    pub fn end(&mut self, now: Micros, first: Micros, worth: Worth, aim: Micros, end: End) {
        let class = usize::from(worth.class);
        let window = self.at(first);
        match end {
            End::InTime => {
                window.in_time += 1;
                window.served += worth.full;
                self.in_time[class] += 1;
                self.book(worth, |booked| booked.1 += worth.full);
            }
            End::Late => {
                window.late += 1;
                window.served += worth.late;
                self.book(worth, |booked| booked.1 += worth.late);
            }
            End::Refused => window.refused += 1,
            End::Failed => window.failed += 1,
        }
        if matches!(end, End::InTime | End::Late) {
            let took = (now - first).max(1) as u64;
            self.latencies[class].saturating_record(took);
            self.at(now);
            self.seconds[(now / SECOND) as usize].saturating_record(took);
        }
        if end != End::InTime && now - first > aim {
            self.late_worth_lost += worth.full;
        }
    }

    /// A sidecar was told of a change that old.
    pub fn told(&mut self, now: Micros, age: Micros) {
        let window = self.at(now);
        window.staleness_ms = window.staleness_ms.max(age as f64 / 1000.0);
        self.staleness.saturating_record(age.max(1) as u64);
    }

    /// A sidecar was told of a change so long after its acknowledgement.
    pub fn told_after(&mut self, age: Micros) {
        self.told_after.saturating_record(age.max(1) as u64);
    }

    /// All figures of a run of that length with so many servers, which did so much work.
    pub fn figures(
        mut self,
        length: Micros,
        goal: GoalSpec,
        prices: PriceSpec,
        servers: usize,
        done: f64,
    ) -> Figures {
        for (window, latencies) in self.windows.iter_mut().zip(&self.seconds) {
            let at = |q| latencies.value_at_quantile(q) as f64 / 1000.0;
            (window.p50_ms, window.p99_ms, window.p999_ms) = (at(0.5), at(0.99), at(0.999));
        }
        // The first second is for sidecars to come into their own.
        let day =
            &self.windows[1.min(self.windows.len())..((length / SECOND) as usize).min(self.windows.len())];
        let share = |of: &[Window]| {
            let worth: f64 = of.iter().map(|w| w.worth).sum();
            if worth > 0.0 { of.iter().map(|w| w.served).sum::<f64>() / worth } else { 1.0 }
        };
        let whole_run = share(day);
        let worst_window = day.windows(10.min(day.len().max(1))).map(share).fold(1.0, f64::min);
        let classes: Vec<_> = (0..self.names.len())
            .map(|c| ClassFigures {
                name: self.names[c].clone(),
                requests: self.requests[c],
                in_time: self.in_time[c] as f64 / self.requests[c].max(1) as f64,
                latency_ms: quantiles(&self.latencies[c], 0.999),
            })
            .collect();
        let worst =
            |of: &[(f64, f64)]| of.iter().filter(|w| w.0 > 0.0).map(|w| w.1 / w.0).fold(1.0, f64::min);
        let (worst_class, worst_tenant) = (worst(&self.worths[0]), worst(&self.worths[1]));
        let sum = |f: &dyn Fn(&Window) -> u64| self.windows.iter().map(f).sum::<u64>() as f64;
        let requests = sum(&|w| w.requests).max(1.0);
        let tries = sum(&|w| w.tries);
        let attempts = sum(&|w| w.attempts);
        let cross_zone = sum(&|w| w.cross_zone);
        let wasted = (done - self.work.1).max(0.0) / self.work.0.max(1.0);
        let worth: f64 = self.windows.iter().map(|w| w.worth).sum();
        let mut last = histogram::<u64>();
        self.told_last.iter().for_each(|t| last.saturating_record((*t).max(1) as u64));
        let mut all = histogram::<u64>();
        for latencies in &self.latencies {
            all.add(latencies).expect("all have the same bounds");
        }
        let late_lost = self.late_worth_lost / worth.max(1.0);
        let held = sum(&|w| w.connections) / self.windows.len().max(1) as f64;
        let charged = [
            cross_zone / requests,
            wasted,
            late_lost,
            self.probes as f64 / requests,
            sum(&|w| w.handshakes) / requests,
            held / (100.0 * servers as f64),
            self.lines as f64 / (100.0 * requests),
        ];
        let prices: f64 = prices.each.iter().zip(charged).map(|(price, share)| price * share).sum();
        Figures {
            score: goal.whole_run * whole_run
                + goal.worst_window * worst_window
                + goal.worst_class * worst_class
                + goal.worst_tenant * worst_tenant
                - prices,
            whole_run,
            worst_window,
            worst_class,
            worst_tenant,
            requests: requests as u64,
            late: sum(&|w| w.late) / requests,
            refused: sum(&|w| w.refused) / requests,
            failed: sum(&|w| w.failed) / requests,
            tries: tries / requests,
            attempts: attempts / tries.max(1.0),
            cross_zone: cross_zone / attempts.max(1.0),
            handshakes: sum(&|w| w.handshakes) / requests,
            wasted,
            overload_crashes: self.overload_crashes,
            latency_ms: quantiles(&all, 0.999),
            staleness_ms: quantiles(&self.staleness, 1.0),
            notified_after_ms: quantiles(&self.told_after, 1.0),
            last_notified_ms: quantiles(&last, 1.0),
            list_polls: self.list_polls,
            throttled_polls: self.throttled_polls,
            withheld_lists: self.withheld_lists,
            violations: BTreeMap::new(),
            classes,
            windows: self.windows,
            events: 0,
            digest: 0,
        }
    }
}
