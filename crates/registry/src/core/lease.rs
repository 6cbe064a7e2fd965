//! Leases, as the leader keeps them: who has not been heard of for too long, and how many of those may go at once.
//!
//! Renewals are not in the log. Whoever becomes the leader gives every entry its full lease, and takes it that the
//! whole room of a window was used up just then. Its clock is monotonic, and a step that is far longer than a tick is
//! taken for one in which this process, and not the servers, was away.

use super::list::{Due, Kept};
use super::{Micros, SECOND};
use lotusmoor_registry_client::{Status, StatusReason};
use std::collections::{BTreeMap, VecDeque};

/// How leases run out.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest step of the clock that counts.
    pub longest_step: Micros,
    /// In so long a time ...
    pub window: Micros,
    /// ... no more than this share of the list goes by expiry, and one server at least.
    pub share: f64,
    /// An entry whose lease ran out is leaving for so long, then gone.
    pub leaving_for: Micros,
    /// What was proposed and has not come to hold is proposed again after this.
    pub again: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            longest_step: 2 * SECOND,
            window: 10 * SECOND,
            share: 0.1,
            leaving_for: 10 * SECOND,
            again: 5 * SECOND,
        }
    }
}

struct Lease {
    registered: u64,
    length: Micros,
    /// When it runs out, on this keeper's own clock.
    due: Micros,
    /// It ran out before, and its server is leaving.
    expired: bool,
    /// Its server takes requests; one that does not is gone once its lease runs out.
    active: bool,
    /// Its end was proposed then.
    proposed: Option<Micros>,
}

/// What a renewal comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// It holds.
    Held,
    /// Its server is not listed, or listed as leaving since its lease ran out: it has to register again.
    Unknown,
}

/// The leases of a list.
pub struct Leases {
    set: Settings,
    leases: BTreeMap<String, Lease>,
    /// The clock, which stands still while this process does.
    clock: Micros,
    read: Option<Micros>,
    /// Expiries of late.
    spent: VecDeque<(Micros, usize)>,
    /// Servers whose lease ran out and that wait for room.
    waiting: usize,
}

impl Leases {
    /// For nobody yet.
    pub fn new(set: Settings) -> Self {
        Self { set, leases: BTreeMap::new(), clock: 0, read: None, spent: VecDeque::new(), waiting: 0 }
    }

    /// Servers whose lease ran out, and that stay as too many others go.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// This replica leads from now on.
    pub fn lead<'a>(&mut self, now: Micros, entries: impl Iterator<Item = &'a Kept>) {
        self.leases.clear();
        (self.read, self.waiting) = (Some(now), 0);
        self.spent = [(self.clock, usize::MAX)].into();
        for kept in entries {
            self.keep(kept);
        }
    }

    /// It no longer does.
    pub fn follow(&mut self) {
        self.leases.clear();
        (self.read, self.waiting) = (None, 0);
    }

    fn advance(&mut self, now: Micros) {
        if let Some(read) = self.read.replace(now) {
            self.clock += (now - read).clamp(0, self.set.longest_step);
        }
    }

    fn keep(&mut self, kept: &Kept) {
        if kept.lease_ms == 0 {
            self.leases.remove(&kept.entry.name);
            return;
        }
        let length = Micros::try_from(kept.lease_ms).unwrap_or(3_600_000) * 1000;
        let active = kept.entry.status == Status::Active;
        let expired = !active && kept.entry.status_reason == StatusReason::Expired;
        let due = self.clock + if expired { self.set.leaving_for } else { length };
        let lease = Lease { registered: kept.registered, length, due, expired, active, proposed: None };
        match self.leases.get_mut(&kept.entry.name) {
            // A drain, say, is no word from the server.
            Some(old) if (old.registered, old.expired) == (lease.registered, expired) => old.active = active,
            _ => drop(self.leases.insert(kept.entry.name.clone(), lease)),
        }
    }

    /// An entry has changed.
    pub fn changed(&mut self, now: Micros, kept: &Kept) {
        if self.read.is_some() {
            self.advance(now);
            self.keep(kept);
        }
    }

    /// An entry is gone.
    pub fn gone(&mut self, name: &str) {
        self.leases.remove(name);
    }

    /// A server says that it is there, or has registered once more with nothing new.
    pub fn renew(&mut self, now: Micros, name: &str) -> Renewal {
        self.advance(now);
        match self.leases.get_mut(name) {
            Some(lease) if !lease.expired => {
                (lease.due, lease.proposed) = (self.clock + lease.length, None);
                Renewal::Held
            }
            _ => Renewal::Unknown,
        }
    }

    /// Leases whose end is to be proposed now, of a list with so many servers that take requests.
    pub fn due(&mut self, now: Micros, active: usize) -> Vec<Due> {
        self.advance(now);
        if self.read.is_none() {
            return Vec::new();
        }
        let (clock, again) = (self.clock, self.set.again);
        while self.spent.front().is_some_and(|(at, _)| *at <= clock - self.set.window) {
            self.spent.pop_front();
        }
        let most = ((active as f64 * self.set.share) as usize).max(1);
        let spent = self.spent.iter().fold(0usize, |sum, (_, n)| sum.saturating_add(*n));
        let mut room = most.saturating_sub(spent);
        let ran_out = |l: &Lease| l.due <= clock && l.proposed.is_none_or(|at| at <= clock - again);
        let mut over: Vec<(Micros, String)> =
            self.leases.iter().filter(|(_, l)| ran_out(l)).map(|(n, l)| (l.due, n.clone())).collect();
        over.sort_unstable();
        let (mut due, mut going, mut waiting) = (Vec::new(), 0, 0);
        for (_, name) in over {
            let Some(lease) = self.leases.get_mut(&name) else { continue };
            if lease.active && lease.proposed.is_none() {
                if room == 0 {
                    waiting += 1;
                    continue;
                }
                (room, going) = (room - 1, going + 1);
            }
            lease.proposed = Some(clock);
            due.push(Due { name, registered: lease.registered, left: !lease.active });
        }
        if going > 0 {
            self.spent.push_back((clock, going));
        }
        self.waiting = waiting;
        due
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::list::{Command, List, Outcome, Registration};

    /// A list of so many servers with leases of 3 s, and its leader's keeper. Time goes in ticks of half a second.
    struct Kept3 {
        list: List,
        leases: Leases,
        now: Micros,
    }

    impl Kept3 {
        fn new(servers: usize) -> Self {
            let mut list = List::default();
            list.apply(&Command::Found { epoch: 1, from: None });
            let servers = (0..servers).map(|i| {
                let text = format!(r#"{{"name":"s{i:03}","address":"127.0.0.1:80"}}"#);
                Registration { entry: serde_json::from_str(&text).expect("it is read"), lease_ms: 3000 }
            });
            list.apply(&Command::Put { servers: servers.collect(), expect: None, at_ms: 0 });
            let mut kept = Self { list, leases: Leases::new(Settings::default()), now: 7 };
            kept.leases.lead(kept.now, kept.list.entries().values());
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
            let due = self.leases.due(self.now, self.active());
            if due.is_empty() {
                return;
            }
            let names: Vec<String> = due.iter().map(|d| d.name.clone()).collect();
            let outcome = self.list.apply(&Command::Expire { due, at_ms: 0 });
            assert!(matches!(outcome, Outcome::Done { .. }));
            for name in names {
                match self.list.entries().get(&name) {
                    Some(kept) => self.leases.changed(self.now, kept),
                    None => self.leases.gone(&name),
                }
            }
        }
    }

    #[test]
    fn one_that_falls_silent_is_leaving_after_its_lease_and_gone_later() {
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
    fn a_service_that_is_cut_off_from_all_servers_does_not_empty_its_list() {
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
        assert!(kept.active() > 30 && kept.leases.waiting() > 0, "{}", kept.active());
    }

    #[test]
    fn a_clock_that_jumps_or_a_process_that_was_held_ends_no_lease() {
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
    fn a_new_leader_lets_nothing_expire_before_a_window_has_passed() {
        let mut kept = Kept3::new(50);
        for _ in 0..200 {
            // The lead changes hands every 5 s.
            kept.leases.follow();
            kept.leases.lead(kept.now, kept.list.entries().values());
            for _ in 0..10 {
                kept.tick(SECOND / 2, |_| false);
            }
        }
        assert_eq!(kept.active(), 50);
    }

    #[test]
    fn one_that_was_drained_is_gone_once_its_lease_runs_out_and_takes_no_room_of_others() {
        let mut kept = Kept3::new(10);
        for _ in 0..30 {
            kept.tick(SECOND / 2, |_| true);
        }
        for name in ["s001", "s002", "s003"] {
            kept.list.apply(&Command::Drain { name: name.into(), expect: None, at_ms: 0 });
            kept.leases.changed(kept.now, &kept.list.entries()[name]);
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
    fn a_renewal_that_comes_too_late_is_told_so() {
        let mut kept = Kept3::new(2);
        for _ in 0..30 {
            kept.tick(SECOND / 2, |name| name == "s000");
        }
        assert_eq!(kept.leases.renew(kept.now, "s000"), Renewal::Held);
        assert_eq!(kept.leases.renew(kept.now, "s001"), Renewal::Unknown);
        assert_eq!(kept.leases.renew(kept.now, "other"), Renewal::Unknown);
    }
}
