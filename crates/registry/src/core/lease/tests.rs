//! Expiry of leases, against a real list.

use super::*;
use crate::core::{Command, List, Outcome, Registration};

/// A list of so many servers with leases of 3 s, and its leader's keeper. Time goes in ticks of half a second.
struct Kept3 {
    list: List,
    leases: LeaseTracker,
    now: Micros,
}

impl Kept3 {
    fn new(servers: usize) -> Self {
        let mut list = List::default();
        list.apply(&Command::Bootstrap { epoch: 1, backup: None });
        let servers = (0..servers).map(|i| {
            let text = format!(r#"{{"name":"s{i:03}","address":"127.0.0.1:80"}}"#);
            Registration { entry: serde_json::from_str(&text).expect("it is read"), lease_ms: 3000 }
        });
        list.apply(&Command::Register { servers: servers.collect(), expect: None, at_ms: 0 });
        let mut kept = Self { list, leases: LeaseTracker::new(Settings::default()), now: 7 };
        kept.leases.start_leading(kept.now, kept.list.entries().values());
        kept
    }

    fn active(&self) -> usize {
        self.list.entries().values().filter(|k| k.entry.status == Status::Active).count()
    }

    /// A tick, before which the servers are renewed that are heard of.
    fn tick(&mut self, step: Micros, heard: impl Fn(&str) -> bool) {
        self.now += step;
        let names: Vec<String> = self.list.entries().keys().cloned().collect();
        for name in names.iter().filter(|n| heard(n)) {
            self.leases.renew(self.now, name);
        }
        let due = self.leases.take_expired(self.now, self.active());
        if due.is_empty() {
            return;
        }
        let names: Vec<String> = due.iter().map(|d| d.name.clone()).collect();
        let outcome = self.list.apply(&Command::Expire { leases: due, at_ms: 0 });
        assert!(matches!(outcome, Outcome::Applied { .. }));
        for name in names {
            match self.list.entries().get(&name) {
                Some(kept) => self.leases.update(self.now, kept),
                None => self.leases.remove(&name),
            }
        }
    }
}

#[test]
fn silent_endpoint_drains_after_its_lease_and_is_removed_later() {
    let mut kept = Kept3::new(20);
    let heard = |name: &str| name != "s004";
    for _ in 0..30 {
        kept.tick(SECOND / 2, heard);
    }
    assert_eq!((kept.active(), kept.list.entries().len()), (19, 20));
    for _ in 0..20 {
        kept.tick(SECOND / 2, heard);
    }
    assert_eq!((kept.active(), kept.list.entries().len()), (19, 19));
}

#[test]
fn partition_from_all_endpoints_does_not_empty_the_list() {
    let mut kept = Kept3::new(100);
    let mut active = vec![100];
    for _ in 0..200 {
        kept.tick(SECOND / 2, |_| false);
        active.push(kept.active());
    }
    // 20 ticks are a window.
    for (i, before) in active.iter().enumerate() {
        let after = active[(i + 19).min(active.len() - 1)];
        assert!(before - after <= before / 10 + 1, "{before} to {after} in a window");
    }
    assert!(kept.active() > 30 && kept.leases.deferred() > 0, "{}", kept.active());
}

#[test]
fn clock_jump_or_suspension_expires_no_lease() {
    let mut kept = Kept3::new(100);
    for _ in 0..40 {
        kept.tick(SECOND / 2, |_| true);
    }
    for jump in [3600 * SECOND, -3600 * SECOND, 30 * SECOND] {
        kept.tick(jump, |_| false);
        kept.tick(SECOND / 2, |_| true);
    }
    assert_eq!(kept.active(), 100);
}

#[test]
fn new_leader_expires_nothing_within_the_first_window() {
    let mut kept = Kept3::new(50);
    for _ in 0..200 {
        // The lead changes hands every 5 s.
        kept.leases.stop_leading();
        kept.leases.start_leading(kept.now, kept.list.entries().values());
        for _ in 0..10 {
            kept.tick(SECOND / 2, |_| false);
        }
    }
    assert_eq!(kept.active(), 50);
}

#[test]
fn drained_endpoint_is_removed_on_expiry_without_using_the_expiry_limit() {
    let mut kept = Kept3::new(10);
    for _ in 0..30 {
        kept.tick(SECOND / 2, |_| true);
    }
    for name in ["s001", "s002", "s003"] {
        kept.list.apply(&Command::Drain { name: name.into(), expect: None, at_ms: 0 });
        kept.leases.update(kept.now, &kept.list.entries()[name]);
    }
    // It renews while it ends what it has.
    for _ in 0..20 {
        kept.tick(SECOND / 2, |_| true);
    }
    assert_eq!((kept.active(), kept.list.entries().len()), (7, 10));
    for _ in 0..8 {
        kept.tick(SECOND / 2, |name| !["s001", "s002", "s003"].contains(&name));
    }
    assert_eq!((kept.active(), kept.list.entries().len()), (7, 7));
}

#[test]
fn late_renewal_is_rejected() {
    let mut kept = Kept3::new(2);
    for _ in 0..30 {
        kept.tick(SECOND / 2, |name| name == "s000");
    }
    assert_eq!(kept.leases.renew(kept.now, "s000"), Renewal::Renewed);
    assert_eq!(kept.leases.renew(kept.now, "s001"), Renewal::Unknown);
    assert_eq!(kept.leases.renew(kept.now, "other"), Renewal::Unknown);
}
