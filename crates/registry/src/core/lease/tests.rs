//! Expiry of leases, against a real list.

use super::*;
use crate::core::{Command, List, Outcome, Registration};

/// A list of endpoints with leases of 3 s, and its leader's lease tracker. Time advances in ticks of half a second.
struct SimulatedLeader {
    list: List,
    leases: LeaseTracker,
    now: Micros,
}

impl SimulatedLeader {
    fn new(endpoint_count: usize) -> Self {
        let mut list = List::default();
        list.apply(&Command::Bootstrap { epoch: 1, backup: None });
        let servers = (0..endpoint_count).map(|i| {
            let text = format!(r#"{{"name":"s{i:03}","address":"127.0.0.1:80"}}"#);
            Registration { entry: serde_json::from_str(&text).expect("valid entry JSON"), lease_ms: 3000 }
        });
        list.apply(&Command::Register { servers: servers.collect(), expect: None, at_ms: 0 });
        let mut leader = Self { list, leases: LeaseTracker::new(Settings::default()), now: 7 };
        leader.leases.start_leading(leader.now, leader.list.entries().values());
        leader
    }

    fn active(&self) -> usize {
        self.list.entries().values().filter(|record| record.entry.status == Status::Active).count()
    }

    /// Advances time, renews the endpoints that `renews` selects, and applies expiries.
    fn tick(&mut self, step: Micros, renews: impl Fn(&str) -> bool) {
        self.now += step;
        let names: Vec<String> = self.list.entries().keys().cloned().collect();
        for name in names.iter().filter(|name| renews(name)) {
            self.leases.renew(self.now, name);
        }
        let expired = self.leases.take_expired(self.now, self.active());
        if expired.is_empty() {
            return;
        }
        let names: Vec<String> = expired.iter().map(|lease| lease.name.clone()).collect();
        let outcome = self.list.apply(&Command::Expire { leases: expired, at_ms: 0 });
        assert!(matches!(outcome, Outcome::Applied { .. }));
        for name in names {
            match self.list.entries().get(&name) {
                Some(record) => self.leases.update(self.now, record),
                None => self.leases.remove(&name),
            }
        }
    }
}

#[test]
fn endpoint_that_stops_renewing_drains_after_its_lease_and_is_removed_later() {
    let mut leader = SimulatedLeader::new(20);
    let renews = |name: &str| name != "s004";
    for _ in 0..30 {
        leader.tick(SECOND / 2, renews);
    }
    assert_eq!((leader.active(), leader.list.entries().len()), (19, 20));
    for _ in 0..20 {
        leader.tick(SECOND / 2, renews);
    }
    assert_eq!((leader.active(), leader.list.entries().len()), (19, 19));
}

#[test]
fn partition_from_all_endpoints_does_not_empty_the_list() {
    let mut leader = SimulatedLeader::new(100);
    let mut active = vec![100];
    for _ in 0..200 {
        leader.tick(SECOND / 2, |_| false);
        active.push(leader.active());
    }
    // A window has 20 ticks.
    for (i, before) in active.iter().enumerate() {
        let after = active[(i + 19).min(active.len() - 1)];
        assert!(before - after <= before / 10 + 1, "from {before} to {after} active endpoints in a window");
    }
    assert!(leader.active() > 30 && leader.leases.deferred_expiries() > 0, "{}", leader.active());
}

#[test]
fn clock_jump_or_suspension_expires_no_lease() {
    let mut leader = SimulatedLeader::new(100);
    for _ in 0..40 {
        leader.tick(SECOND / 2, |_| true);
    }
    for jump in [3600 * SECOND, -3600 * SECOND, 30 * SECOND] {
        leader.tick(jump, |_| false);
        leader.tick(SECOND / 2, |_| true);
    }
    assert_eq!(leader.active(), 100);
}

#[test]
fn new_leader_expires_nothing_within_the_first_window() {
    let mut leader = SimulatedLeader::new(50);
    for _ in 0..200 {
        // Another replica becomes the leader every 5 s.
        leader.leases.stop_leading();
        leader.leases.start_leading(leader.now, leader.list.entries().values());
        for _ in 0..10 {
            leader.tick(SECOND / 2, |_| false);
        }
    }
    assert_eq!(leader.active(), 50);
}

#[test]
fn drained_endpoint_is_removed_on_expiry_without_using_the_expiry_limit() {
    let mut leader = SimulatedLeader::new(10);
    for _ in 0..30 {
        leader.tick(SECOND / 2, |_| true);
    }
    for name in ["s001", "s002", "s003"] {
        leader.list.apply(&Command::Drain { name: name.into(), expect: None, at_ms: 0 });
        leader.leases.update(leader.now, &leader.list.entries()[name]);
    }
    // They renew while they finish their requests.
    for _ in 0..20 {
        leader.tick(SECOND / 2, |_| true);
    }
    assert_eq!((leader.active(), leader.list.entries().len()), (7, 10));
    for _ in 0..8 {
        leader.tick(SECOND / 2, |name| !["s001", "s002", "s003"].contains(&name));
    }
    assert_eq!((leader.active(), leader.list.entries().len()), (7, 7));
}

#[test]
fn late_renewal_is_rejected() {
    let mut leader = SimulatedLeader::new(2);
    for _ in 0..30 {
        leader.tick(SECOND / 2, |name| name == "s000");
    }
    assert_eq!(leader.leases.renew(leader.now, "s000"), Renewal::Renewed);
    assert_eq!(leader.leases.renew(leader.now, "s001"), Renewal::Unknown);
    assert_eq!(leader.leases.renew(leader.now, "other"), Renewal::Unknown);
}
