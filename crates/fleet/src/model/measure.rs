//! Metrics of a run.

use super::world::{PriceSpec, ScoreWeights};
use crate::{Micros, SECOND};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The outcome of a client's request over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered within its latency objective.
    InTime,
    /// Answered after its latency objective.
    Late,
    /// The last try was rejected.
    Rejected,
    /// Failed or never answered.
    Failed,
}

/// One second of the run. Requests count in the second of their first try.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Window {
    /// Requests, each counted at its first try.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Answered within their latency objective.
    pub in_time: u64,
    /// Answered after its latency objective.
    pub late: u64,
    /// The last try was rejected.
    pub refused: u64,
    /// Failed or never answered.
    pub failed: u64,
    /// Worth of the requests.
    pub worth: f64,
    /// Worth earned by responses: in full in time, in part when late.
    #[serde(rename = "served")]
    pub worth_earned: f64,
    /// Clients' tries in this second.
    pub tries: u64,
    /// Rejections in this second.
    pub refusals: u64,
    /// Attempts sent in this second.
    pub attempts: u64,
    /// Attempts of these that went to another zone.
    #[serde(rename = "crossed")]
    pub cross_zone: u64,
    /// New connections.
    pub handshakes: u64,
    /// Open connections at the end of the second.
    pub connections: u64,
    /// Median latency of the requests answered in this second, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that latency.
    pub p99_ms: f64,
    /// 99.9th percentile of that latency.
    pub p999_ms: f64,
    /// Age of the oldest change that a sidecar was notified of in this second, in milliseconds.
    pub staleness_ms: f64,
}

/// A request class over the whole run.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// Requests, each counted at its first try.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Share answered in time.
    pub in_time: f64,
    /// Latency from the first try, in milliseconds: median, 99th percentile, 99.9th.
    pub latency_ms: [f64; 3],
}

/// The results of a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Figures {
    /// Share of the worth that was earned, weighted as the site's goal says, less the site's prices.
    #[serde(rename = "g")]
    pub score: f64,
    /// Share of the worth earned over the whole run.
    #[serde(rename = "whole")]
    pub whole_run: f64,
    /// The same share in the worst 10 s.
    pub worst_window: f64,
    /// The same share for the worst class.
    pub worst_class: f64,
    /// The same share for the worst tenant, for requests within its quota; 1 without tenants.
    pub worst_tenant: f64,
    /// Requests, each counted at its first try.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Share of requests answered late.
    pub late: f64,
    /// Share of requests whose last try was rejected.
    pub refused: f64,
    /// Share of requests that failed or were never answered.
    pub failed: f64,
    /// Client tries for each request.
    pub tries: f64,
    /// Attempts for each try.
    pub attempts: f64,
    /// Share of attempts that went to another zone.
    #[serde(rename = "crossed")]
    pub cross_zone: f64,
    /// New connections for each request.
    pub handshakes: f64,
    /// Wasted work (of responses that no client received), as a share of the requests' work.
    pub wasted: f64,
    /// Servers that crashed from overload while warming up.
    #[serde(rename = "tipped")]
    pub overload_crashes: u64,
    /// Latency from the first try, in milliseconds: median, 99th percentile, 99.9th.
    pub latency_ms: [f64; 3],
    /// Time from a change to the notification of a sidecar, in milliseconds: median, 99th percentile, maximum.
    pub staleness_ms: [f64; 3],
    /// Time from a change's acknowledgement by the registry to the notification of a sidecar, in milliseconds:
    /// median, 99th percentile, maximum.
    #[serde(default)]
    #[serde(rename = "told_after_ms")]
    pub notified_after_ms: [f64; 3],
    /// The same to the notification of the last sidecar, over changes.
    #[serde(default)]
    #[serde(rename = "told_last_ms")]
    pub last_notified_ms: [f64; 3],
    /// Polls for the list at the registry.
    #[serde(default)]
    #[serde(rename = "list_calls")]
    pub list_polls: u64,
    /// Polls of these that the registry rejected with a retry time.
    #[serde(default)]
    #[serde(rename = "turned_away")]
    pub throttled_polls: u64,
    /// List updates that sidecars withheld from the balancer.
    #[serde(default)]
    #[serde(rename = "held_back")]
    pub withheld_lists: u64,
    /// Number of violations of each rule.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<String, u64>,
    /// Results of each class.
    pub classes: Vec<ClassFigures>,
    /// Results of each second.
    pub windows: Vec<Window>,
    /// Events processed.
    pub events: u64,
    /// Digest of the run; identical runs have equal digests.
    pub digest: u64,
}

impl Figures {
    /// Number of requests answered within their latency objective.
    pub fn in_time(&self) -> u64 {
        self.windows.iter().map(|w| w.in_time).sum()
    }
}

/// The worth of a client's request.
#[derive(Clone, Copy, Debug)]
pub struct Worth {
    /// Its class.
    pub class: u8,
    /// Its tenant, if the request is within the tenant's quota.
    pub tenant: Option<u8>,
    /// Worth when answered in time.
    pub full: f64,
    /// Worth when answered late.
    pub late: f64,
}

/// Collects the metrics of a run.
pub struct MetricsRecorder {
    windows: Vec<Window>,
    latencies: Vec<Histogram<u64>>,
    latencies_by_second: Vec<Histogram<u32>>,
    staleness: Histogram<u64>,
    requests: Vec<u64>,
    in_time: Vec<u64>,
    /// Worth of the requests and worth earned: by class, and by tenant.
    worth_totals: [Vec<(f64, f64)>; 2],
    class_names: Vec<String>,
    late_worth_lost: f64,
    /// Work of the requests, and work of the responses that clients received.
    pub work: (f64, f64),
    /// Servers that crashed from overload while warming up.
    pub overload_crashes: u64,
    /// Health checks sent.
    pub probes: u64,
    /// List entries sent to sidecars.
    pub list_entries: u64,
    /// Polls for the list at the registry.
    pub list_polls: u64,
    /// Polls that the registry rejected with a retry time.
    pub throttled_polls: u64,
    /// List updates that sidecars withheld from the balancer.
    pub withheld_lists: u64,
    /// For each change, the time from its acknowledgement to the last sidecar's notification.
    pub last_notified: Vec<Micros>,
    notified_after: Histogram<u64>,
}

/// A histogram of microseconds with two significant digits, up to one hour.
fn histogram<T: hdrhistogram::Counter>() -> Histogram<T> {
    Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("constant bounds are valid")
}

fn quantiles(h: &Histogram<u64>, last: f64) -> [f64; 3] {
    [0.5, 0.99, last].map(|q| h.value_at_quantile(q) as f64 / 1000.0)
}

impl MetricsRecorder {
    /// Creates a recorder for these classes and this number of tenants.
    pub fn new(class_names: Vec<String>, tenants: usize) -> Self {
        let n = class_names.len();
        Self {
            windows: Vec::new(),
            latencies: (0..n).map(|_| histogram()).collect(),
            latencies_by_second: Vec::new(),
            staleness: histogram(),
            requests: vec![0; n],
            in_time: vec![0; n],
            worth_totals: [vec![(0.0, 0.0); n], vec![(0.0, 0.0); tenants]],
            class_names,
            late_worth_lost: 0.0,
            work: (0.0, 0.0),
            overload_crashes: 0,
            probes: 0,
            list_entries: 0,
            list_polls: 0,
            throttled_polls: 0,
            withheld_lists: 0,
            last_notified: Vec::new(),
            notified_after: histogram(),
        }
    }

    /// The window of the second that contains `now`.
    pub fn window(&mut self, now: Micros) -> &mut Window {
        let second = (now / SECOND).max(0) as usize;
        if self.windows.len() <= second {
            self.windows.resize_with(second + 1, Window::default);
            self.latencies_by_second.resize_with(second + 1, histogram);
        }
        &mut self.windows[second]
    }

    /// Records a client's first try.
    pub fn record_request(&mut self, now: Micros, worth: Worth, work: f64) {
        let window = self.window(now);
        window.requests += 1;
        window.worth += worth.full;
        self.requests[usize::from(worth.class)] += 1;
        self.add_worth(worth, |totals| totals.0 += worth.full);
        self.work.0 += work;
    }

    /// Applies an update to the worth totals of a request's class and tenant.
    fn add_worth(&mut self, worth: Worth, update: impl Fn(&mut (f64, f64))) {
        update(&mut self.worth_totals[0][usize::from(worth.class)]);
        if let Some(tenant) = worth.tenant {
            update(&mut self.worth_totals[1][usize::from(tenant)]);
        }
    }

    /// Records the outcome of a request that was first tried at `first`.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        first: Micros,
        worth: Worth,
        latency_objective: Micros,
        outcome: RequestOutcome,
    ) {
        let class = usize::from(worth.class);
        let window = self.window(first);
        match outcome {
            RequestOutcome::InTime => {
                window.in_time += 1;
                window.worth_earned += worth.full;
                self.in_time[class] += 1;
                self.add_worth(worth, |totals| totals.1 += worth.full);
            }
            RequestOutcome::Late => {
                window.late += 1;
                window.worth_earned += worth.late;
                self.add_worth(worth, |totals| totals.1 += worth.late);
            }
            RequestOutcome::Rejected => window.refused += 1,
            RequestOutcome::Failed => window.failed += 1,
        }
        if matches!(outcome, RequestOutcome::InTime | RequestOutcome::Late) {
            let took = (now - first).max(1) as u64;
            self.latencies[class].saturating_record(took);
            self.window(now);
            self.latencies_by_second[(now / SECOND) as usize].saturating_record(took);
        }
        if outcome != RequestOutcome::InTime && now - first > latency_objective {
            self.late_worth_lost += worth.full;
        }
    }

    /// Records that a sidecar was notified of a change of this age.
    pub fn record_staleness(&mut self, now: Micros, age: Micros) {
        let window = self.window(now);
        window.staleness_ms = window.staleness_ms.max(age as f64 / 1000.0);
        self.staleness.saturating_record(age.max(1) as u64);
    }

    /// Records that a sidecar was notified of a change this long after its acknowledgement.
    pub fn record_notification(&mut self, age: Micros) {
        self.notified_after.saturating_record(age.max(1) as u64);
    }

    /// The results of a run of that length; `servers` is the number of servers, and `done` the work that they did.
    pub fn figures(
        mut self,
        length: Micros,
        weights: ScoreWeights,
        prices: PriceSpec,
        servers: usize,
        done: f64,
    ) -> Figures {
        for (window, latencies) in self.windows.iter_mut().zip(&self.latencies_by_second) {
            let at = |q| latencies.value_at_quantile(q) as f64 / 1000.0;
            (window.p50_ms, window.p99_ms, window.p999_ms) = (at(0.5), at(0.99), at(0.999));
        }
        // The first second is excluded as warm-up.
        let measured =
            &self.windows[1.min(self.windows.len())..((length / SECOND) as usize).min(self.windows.len())];
        let share = |selected: &[Window]| {
            let worth: f64 = selected.iter().map(|w| w.worth).sum();
            if worth > 0.0 { selected.iter().map(|w| w.worth_earned).sum::<f64>() / worth } else { 1.0 }
        };
        let whole_run = share(measured);
        let worst_window = measured.windows(10.min(measured.len().max(1))).map(share).fold(1.0, f64::min);
        let classes: Vec<_> = (0..self.class_names.len())
            .map(|c| ClassFigures {
                name: self.class_names[c].clone(),
                requests: self.requests[c],
                in_time: self.in_time[c] as f64 / self.requests[c].max(1) as f64,
                latency_ms: quantiles(&self.latencies[c], 0.999),
            })
            .collect();
        let worst = |selected: &[(f64, f64)]| {
            selected.iter().filter(|w| w.0 > 0.0).map(|w| w.1 / w.0).fold(1.0, f64::min)
        };
        let (worst_class, worst_tenant) = (worst(&self.worth_totals[0]), worst(&self.worth_totals[1]));
        let sum = |f: &dyn Fn(&Window) -> u64| self.windows.iter().map(f).sum::<u64>() as f64;
        let requests = sum(&|w| w.requests).max(1.0);
        let tries = sum(&|w| w.tries);
        let attempts = sum(&|w| w.attempts);
        let cross_zone = sum(&|w| w.cross_zone);
        let wasted = (done - self.work.1).max(0.0) / self.work.0.max(1.0);
        let worth: f64 = self.windows.iter().map(|w| w.worth).sum();
        let mut last = histogram::<u64>();
        self.last_notified.iter().for_each(|t| last.saturating_record((*t).max(1) as u64));
        let mut all = histogram::<u64>();
        for latencies in &self.latencies {
            all.add(latencies).expect("all histograms have the same bounds");
        }
        let late_lost = self.late_worth_lost / worth.max(1.0);
        let open_connections = sum(&|w| w.connections) / self.windows.len().max(1) as f64;
        let charged = [
            cross_zone / requests,
            wasted,
            late_lost,
            self.probes as f64 / requests,
            sum(&|w| w.handshakes) / requests,
            open_connections / (100.0 * servers as f64),
            self.list_entries as f64 / (100.0 * requests),
        ];
        let prices: f64 = prices.per_unit.iter().zip(charged).map(|(price, share)| price * share).sum();
        Figures {
            score: weights.whole_run * whole_run
                + weights.worst_window * worst_window
                + weights.worst_class * worst_class
                + weights.worst_tenant * worst_tenant
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
            notified_after_ms: quantiles(&self.notified_after, 1.0),
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
