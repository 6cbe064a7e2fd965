//! Changes of the endpoint list, and cordons of operators.

use crate::api::*;
use crate::choice::Balancer;
use crate::state::*;

impl Balancer {
    /// An endpoint of which nothing is known.
    pub(crate) fn fresh(&mut self, now: Micros) -> Endpoint {
        let (pass, limit) = (self.fleet.turn + self.rng.f64(), self.first_limit());
        Endpoint { slow: self.fleet.slow, heard: now, pass, limit, ..Endpoint::default() }
    }

    /// Endpoints come into being up to that number.
    pub(crate) fn grow(&mut self, now: Micros, i: EndpointId) {
        while self.endpoints.len() <= i {
            self.fleet.ring.insert(self.rng.usize(..=self.fleet.ring.len()), self.endpoints.len());
            let new = self.fresh(now);
            self.endpoints.push(new);
        }
    }

    /// Follows operators, whose word on one they give back is as good as an answer: its turn comes next, and
    /// it has credit for that. It was restarted meanwhile, so it is cold, and nothing known of it holds.
    pub(crate) fn cordon(&mut self, now: Micros, i: EndpointId, out: bool) {
        if i >= MOST_ENDPOINTS {
            return;
        }
        self.grow(now, i);
        if std::mem::replace(&mut self.endpoints[i].cordoned, out) && !out {
            self.chill(now, i, now);
            let (fleet, e) = (&self.fleet, &mut self.endpoints[i]);
            (e.circuit, e.openings, e.errors, e.lost) = (Circuit::Closed, 0, 0.0, 0);
            (e.slow, e.pass, e.cold_credit) = (fleet.slow, fleet.turn, 2.0 * fleet.mean_work);
            e.services.clear();
        }
    }

    /// Follows the list. Draining, gone and missing endpoints get nothing from now on.
    pub(crate) fn listed(&mut self, now: Micros, update: EndpointListUpdate) {
        let entries = match update {
            EndpointListUpdate::Failed => {
                self.fleet.ask_failures += 1;
                let most = self.set.rules.max_poll_interval as f64 / 2.0;
                let grown = (most / 16.0 * f64::from(1u32 << self.fleet.ask_failures.min(8))).min(most);
                let delay = grown * (0.5 + 0.5 * self.rng.f64());
                return self.timers.at(later(now, delay), Wake::Discover);
            }
            EndpointListUpdate::Delta(entries) => entries,
            EndpointListUpdate::Full(entries) | EndpointListUpdate::Cached(entries) => {
                self.endpoints.iter_mut().for_each(|e| e.listed = false);
                entries
            }
        };
        self.fleet.ask_failures = 0;
        for l in entries.into_iter().filter(|l| l.endpoint < MOST_ENDPOINTS) {
            self.grow(now, l.endpoint);
            let e = &mut self.endpoints[l.endpoint];
            e.listed = l.status == EndpointStatus::Ready;
            (e.zone, e.cell, e.kind) = (l.zone, l.cell, l.machine_type);
            e.size = if l.size > 0.0 { l.size.clamp(1e-3, 1e6) } else { 1.0 };
            if l.started_at > e.started {
                // A new process: what was known of the old one is void, but it is tried before it is trusted.
                (e.errors, e.slow, e.lost) = (0.0, self.fleet.slow, 0);
                e.services.clear();
                if e.circuit != Circuit::Closed {
                    e.circuit = Circuit::Open(now);
                }
                self.chill(now, l.endpoint, l.started_at.unwrap_or(now));
            }
        }
    }
}
