//! Endpoint leases, as the leader tracks them.
//!
//! Renewals are not replicated. A new leader grants every endpoint its full lease, and assumes that the expiry limit of
//! the current window is used up. Time is monotonic; a step of the clock far longer than a tick means that this
//! process was suspended rather than that the endpoints did not renew, so it counts only up to a maximum.

use super::command::ExpiredLease;
use super::record::EndpointRecord;
use super::{Micros, SECOND};
use lotusmoor_registry_client::{Status, StatusReason};
use std::collections::{BTreeMap, VecDeque};

/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1000;
/// Lease duration in milliseconds for a record whose own does not fit in [`Micros`].
const FALLBACK_LEASE_MS: Micros = 3_600_000;

/// How leases expire.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The longest step of the clock that counts as elapsed time.
    pub max_clock_step: Micros,
    /// The window in which expiries count towards `max_expiring_share`.
    pub window: Micros,
    /// The share of the list that may expire in a window; one endpoint always may.
    pub max_expiring_share: f64,
    /// How long an endpoint drains after its lease expired, before it is removed.
    pub draining_time: Micros,
    /// An expiry that was proposed without effect is proposed again after this time.
    pub propose_again_after: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_clock_step: 2 * SECOND,
            window: 10 * SECOND,
            max_expiring_share: 0.1,
            draining_time: 10 * SECOND,
            propose_again_after: 5 * SECOND,
        }
    }
}

struct Lease {
    registered_index: u64,
    duration: Micros,
    /// When it expires, on the tracker's own clock.
    expires_at: Micros,
    /// Whether it has expired already, and the endpoint has been draining since.
    expired: bool,
    /// Whether the endpoint accepts requests. One that does not is removed when its lease expires.
    active: bool,
    /// When its expiry was proposed.
    proposed_at: Option<Micros>,
}

/// The result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease is renewed.
    Renewed,
    /// The endpoint is not listed, or its lease has expired: it has to register again.
    Unknown,
}

/// The leases of all endpoints.
pub struct LeaseTracker {
    settings: Settings,
    leases: BTreeMap<String, Lease>,
    /// Time as it counts for leases: it stands still while this process is suspended.
    clock: Micros,
    /// The last reading of the process's clock; `None` unless this replica leads.
    last_reading: Option<Micros>,
    /// Expiries in the current window: the time and the number of leases.
    recent_expiries: VecDeque<(Micros, usize)>,
    deferred_expiries: usize,
}

impl LeaseTracker {
    /// A tracker for a replica that does not lead yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            leases: BTreeMap::new(),
            clock: 0,
            last_reading: None,
            recent_expiries: VecDeque::new(),
            deferred_expiries: 0,
        }
    }

    /// The number of endpoints with an expired lease that stay active because the expiry limit is reached.
    pub fn deferred_expiries(&self) -> usize {
        self.deferred_expiries
    }

    /// Starts tracking, as this replica becomes the leader.
    pub fn start_leading<'a>(&mut self, now: Micros, records: impl Iterator<Item = &'a EndpointRecord>) {
        self.leases.clear();
        self.last_reading = Some(now);
        self.deferred_expiries = 0;
        self.recent_expiries = [(self.clock, usize::MAX)].into();
        for record in records {
            self.track(record);
        }
    }

    /// Stops tracking, as this replica no longer leads.
    pub fn stop_leading(&mut self) {
        self.leases.clear();
        self.last_reading = None;
        self.deferred_expiries = 0;
    }

    /// Tracks the changed record of an endpoint.
    pub fn update(&mut self, now: Micros, record: &EndpointRecord) {
        if self.last_reading.is_some() {
            self.advance_clock(now);
            self.track(record);
        }
    }

    /// Stops tracking an endpoint that was removed.
    pub fn remove(&mut self, name: &str) {
        self.leases.remove(name);
    }

    /// Renews an endpoint's lease.
    pub fn renew(&mut self, now: Micros, name: &str) -> Renewal {
        self.advance_clock(now);
        match self.leases.get_mut(name) {
            Some(lease) if !lease.expired => {
                lease.expires_at = self.clock + lease.duration;
                lease.proposed_at = None;
                Renewal::Renewed
            }
            _ => Renewal::Unknown,
        }
    }

    /// The leases whose expiry is to be proposed now, for a list with `active` active endpoints.
    pub fn take_expired(&mut self, now: Micros, active: usize) -> Vec<ExpiredLease> {
        self.advance_clock(now);
        if self.last_reading.is_none() {
            return Vec::new();
        }
        let mut allowed = self.allowed_expiries(active);
        let mut expired = Vec::new();
        let mut newly_expired = 0;
        let mut deferred_expiries = 0;
        for name in self.names_to_propose() {
            let Some(lease) = self.leases.get_mut(&name) else { continue };
            if lease.active && lease.proposed_at.is_none() {
                if allowed == 0 {
                    deferred_expiries += 1;
                    continue;
                }
                allowed -= 1;
                newly_expired += 1;
            }
            lease.proposed_at = Some(self.clock);
            let registered_index = lease.registered_index;
            expired.push(ExpiredLease { name, registered_index, remove: !lease.active });
        }
        if newly_expired > 0 {
            self.recent_expiries.push_back((self.clock, newly_expired));
        }
        self.deferred_expiries = deferred_expiries;
        expired
    }

    /// How many more active endpoints may expire in the current window.
    fn allowed_expiries(&mut self, active: usize) -> usize {
        let window_start = self.clock - self.settings.window;
        while self.recent_expiries.front().is_some_and(|(at, _)| *at <= window_start) {
            self.recent_expiries.pop_front();
        }
        let limit = ((active as f64 * self.settings.max_expiring_share) as usize).max(1);
        let used = self.recent_expiries.iter().fold(0usize, |sum, (_, count)| sum.saturating_add(*count));
        limit.saturating_sub(used)
    }

    /// Names of endpoints whose lease has expired and was not proposed recently, the earliest first.
    fn names_to_propose(&self) -> Vec<String> {
        let propose_before = self.clock - self.settings.propose_again_after;
        let is_due = |lease: &Lease| {
            lease.expires_at <= self.clock && lease.proposed_at.is_none_or(|at| at <= propose_before)
        };
        let due = self.leases.iter().filter(|(_, lease)| is_due(lease));
        let mut by_expiry: Vec<_> = due.map(|(name, lease)| (lease.expires_at, name.clone())).collect();
        by_expiry.sort_unstable();
        by_expiry.into_iter().map(|(_, name)| name).collect()
    }

    fn advance_clock(&mut self, now: Micros) {
        if let Some(last_reading) = self.last_reading.replace(now) {
            self.clock += (now - last_reading).clamp(0, self.settings.max_clock_step);
        }
    }

    fn track(&mut self, record: &EndpointRecord) {
        let name = &record.entry.name;
        if record.lease_ms == 0 {
            self.leases.remove(name);
            return;
        }
        let duration = Micros::try_from(record.lease_ms).unwrap_or(FALLBACK_LEASE_MS) * MICROS_PER_MS;
        let active = record.entry.status == Status::Active;
        let expired = !active && record.entry.status_reason == StatusReason::Expired;
        let time_left = if expired { self.settings.draining_time } else { duration };
        let registered_index = record.registered_index;
        if let Some(lease) = self.leases.get_mut(name)
            && lease.registered_index == registered_index
            && lease.expired == expired
        {
            // A change by an operator, such as a drain, does not renew the lease.
            lease.active = active;
            return;
        }
        let expires_at = self.clock + time_left;
        let lease = Lease { registered_index, duration, expires_at, expired, active, proposed_at: None };
        self.leases.insert(name.clone(), lease);
    }
}

#[cfg(test)]
mod tests;
