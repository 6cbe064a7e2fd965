//! Simulation of a watcher of some services against random changes of the registry's list and faults of its replicas.

use crate::driver::{SentPoll, TestDriver};
use crate::registry_model::RegistryModel;
use crate::support::{applied, is_watched};
use lotusmoor_registry_client::{Action, Entry, Event, ListUpdate, PollError, Status, StatusReason, Version};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// One step of the simulation.
#[derive(Clone, Debug)]
enum Step {
    Register(u8, u8),
    Drain(u8),
    Remove(u8),
    Expire(u8),
    /// The registry is restored from an earlier state, with a new epoch.
    Restore(u8),
    /// The history of changes is compacted.
    Compact,
    /// A replica receives the next changes: its index, and how many.
    CatchUp(u8, u8),
    Respond,
    /// A response to a cancelled poll arrives.
    LateResponse,
    Fail,
    Advance,
    ChangeServices(u8),
    /// The watcher is restarted with its cache file, for these services.
    Restart(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        4 => (0u8..6, 0u8..4).prop_map(|(name, service)| Step::Register(name, service)),
        2 => (0u8..6).prop_map(Step::Drain),
        2 => (0u8..6).prop_map(Step::Remove),
        2 => (0u8..6).prop_map(Step::Expire),
        1 => any::<u8>().prop_map(Step::Restore),
        1 => Just(Step::Compact),
        6 => (0u8..3, 1u8..6).prop_map(|(replica, by)| Step::CatchUp(replica, by)),
        10 => Just(Step::Respond),
        2 => Just(Step::LateResponse),
        2 => Just(Step::Fail),
        3 => Just(Step::Advance),
        2 => (0u8..8).prop_map(Step::ChangeServices),
        1 => (0u8..8).prop_map(Step::Restart),
    ];
    prop::collection::vec(one, 1..150)
}

/// The services whose bits are set.
fn subset(bits: u8) -> Vec<&'static str> {
    let all = ["a", "b", "c"];
    (0..3).filter(|i| bits & (1 << i) != 0).map(|i| all[i]).collect()
}

/// A watcher, and a registry with all versions that its list has had.
struct Simulation {
    history: Vec<RegistryModel>,
    /// For each replica, the position of its list in the history.
    replica_versions: Vec<usize>,
    /// The last replica runs a release without support for services.
    last_replica_lacks_services: bool,
    driver: TestDriver,
    /// The services whose complete list the driver has; `None` if it has the list of all servers.
    complete_for: Option<BTreeSet<String>>,
    /// Servers whose explicit drain was applied while the list that has it is withheld; cleared when a list is used.
    drained_while_withheld: BTreeSet<String>,
}

impl Simulation {
    fn new(replicas: usize, has_old_replica: bool, services: u8, seed: u64) -> Self {
        let mut driver = TestDriver::new(replicas, &subset(services), seed);
        driver.handle(Event::Start(None));
        let (history, replica_versions) = (vec![RegistryModel::bootstrapped(1)], vec![0; replicas]);
        Self {
            history,
            replica_versions,
            last_replica_lacks_services: has_old_replica && replicas > 1,
            driver,
            complete_for: Some(BTreeSet::new()),
            drained_while_withheld: BTreeSet::new(),
        }
    }

    fn change(&mut self, change: impl FnOnce(&mut RegistryModel) -> bool) {
        let mut next = self.history.last().expect("it is bootstrapped").clone();
        if change(&mut next) {
            self.history.push(next);
        }
    }

    fn update(&self, poll: &SentPoll) -> ListUpdate {
        let list = &self.history[self.replica_versions[poll.replica]];
        let supports_services =
            !self.last_replica_lacks_services || poll.replica + 1 < self.replica_versions.len();
        list.update(if supports_services { &poll.services } else { &[] }, poll.after)
    }

    fn respond(&mut self) {
        let Some(poll) = self.driver.in_flight.first().cloned() else { return drop(self.driver.advance()) };
        let update = self.update(&poll);
        let out = self.driver.respond_with(&poll, update);
        if self.driver.watcher.withholds_list() {
            let drained = |e: &&Entry| e.status_reason == StatusReason::Drained;
            let drained = self.driver.in_use.values().filter(drained).map(|e| e.name.clone());
            self.drained_while_withheld.extend(drained);
        } else if applied(&out).is_some() {
            self.drained_while_withheld.clear();
            let services = &self.driver.services;
            self.complete_for = (!services.is_empty()).then(|| services.iter().cloned().collect());
        }
    }

    /// Limits `complete_for` to these services, which are watched from now on.
    fn restrict_to(&mut self, services: &[&str]) {
        if !services.is_empty() {
            let is_complete =
                |s: &&&str| self.complete_for.as_ref().is_none_or(|complete| complete.contains(**s));
            self.complete_for = Some(services.iter().filter(is_complete).map(|s| (*s).to_owned()).collect());
        }
    }

    fn step(&mut self, step: Step) {
        let name = |i: u8| format!("s-{i}");
        match step {
            Step::Register(i, service) => {
                let service = ["", "a", "b", "c"][usize::from(service)];
                self.change(|l| l.register(&name(i), service));
            }
            Step::Drain(i) => self.change(|l| l.drain(&name(i), StatusReason::Drained)),
            Step::Remove(i) => self.change(|l| l.remove(&name(i), StatusReason::Removed)),
            Step::Expire(i) => self.change(|l| l.remove(&name(i), StatusReason::Expired)),
            Step::Restore(i) => {
                let from = &self.history[usize::from(i) % self.history.len()];
                let newest = self.history.last().expect("it is bootstrapped").version.epoch;
                let restored = RegistryModel {
                    entries: from.entries.clone(),
                    ..RegistryModel::bootstrapped(newest + 1)
                };
                self.history.push(restored);
            }
            Step::Compact => {
                let newest = self.history.last_mut().expect("it is bootstrapped");
                newest.compacted_index = newest.version.index;
            }
            Step::CatchUp(replica, by) => {
                let last = self.history.len() - 1;
                let replica = usize::from(replica) % self.replica_versions.len();
                self.replica_versions[replica] = (self.replica_versions[replica] + usize::from(by)).min(last);
            }
            Step::Respond => self.respond(),
            Step::LateResponse => {
                if let Some(poll) = self.driver.cancelled.pop() {
                    let update = self.update(&poll);
                    let out = self.driver.respond_with(&poll, update);
                    assert!(out.iter().all(|a| !matches!(a, Action::Apply(_))), "{out:?}");
                }
            }
            Step::Fail => {
                if let Some(poll) = self.driver.in_flight.pop() {
                    self.driver.now += 1000;
                    let error = PollError::connection("refused");
                    self.driver.handle(Event::PollFailed { poll: poll.id, retry_after: None, error });
                }
            }
            Step::Advance => drop(self.driver.advance()),
            Step::ChangeServices(bits) => {
                let services = subset(bits);
                self.driver.change_services(&services);
                self.restrict_to(&services);
            }
            Step::Restart(bits) => {
                let (services, known) = (subset(bits), self.driver.saved.take());
                self.complete_for = known.as_ref().map_or(Some(BTreeSet::new()), |known| {
                    (!known.services.is_empty()).then(|| known.services.iter().cloned().collect())
                });
                self.drained_while_withheld.clear();
                self.driver = TestDriver::new(self.replica_versions.len(), &services, self.driver.now as u64);
                self.driver.handle(Event::Start(known));
                self.restrict_to(&services);
            }
        }
    }

    /// Checks that the list in use is the registry's list at some version, limited to the watched services, except for
    /// servers that were explicitly drained or removed since: that is applied ahead of the rest of a withheld list.
    fn check(&self) -> Result<(), TestCaseError> {
        let driver = &self.driver;
        prop_assert!(driver.in_flight.len() <= 2);
        prop_assert!(driver.watcher.next_timer().is_some());
        prop_assert!(driver.in_use.values().all(|e| is_watched(e, &driver.services)), "{:?}", driver.in_use);
        for name in &self.drained_while_withheld {
            let is_active = driver.in_use.get(name).is_some_and(|e| e.status == Status::Active);
            prop_assert!(!is_active, "{name} was explicitly drained, but is active");
        }
        let Some(list) = driver.watcher.list() else {
            prop_assert!(driver.in_use.is_empty());
            return Ok(());
        };
        prop_assert_eq!(&list.entries, &driver.in_use);
        let at = self.history.iter().position(|l| l.version == list.version).expect("a version of the list");
        let expected: BTreeMap<&String, &Entry> =
            self.history[at].entries.iter().filter(|(_, e)| self.has_entry(e)).collect();
        let names: BTreeSet<&String> = expected.keys().copied().chain(driver.in_use.keys()).collect();
        for name in names {
            let (used, expected) = (driver.in_use.get(name), expected.get(name).copied());
            let as_expected = used == expected || self.was_explicitly_removed_since(at, name, used);
            prop_assert!(as_expected, "{name}: {used:?} for {expected:?} at {}", list.version);
        }
        Ok(())
    }

    /// Whether the driver must have this entry, if the entry is in the driver's version of the list.
    fn has_entry(&self, entry: &Entry) -> bool {
        let is_in =
            |services: &BTreeSet<String>| entry.service.as_ref().is_some_and(|s| services.contains(s));
        is_watched(entry, &self.driver.services) && self.complete_for.as_ref().is_none_or(is_in)
    }

    /// Whether that server was explicitly drained or removed at or after a position in the history, which is why `used`
    /// is in use instead of the entry at that position.
    fn was_explicitly_removed_since(&self, position: usize, name: &str, used: Option<&Entry>) -> bool {
        let known = self.history[position].version;
        self.history[position..].iter().any(|list| match (used, list.entries.get(name)) {
            (Some(used), now) => used.status_reason == StatusReason::Drained && now == Some(used),
            // Drained in another service whose complete list the driver does not have, as it stopped watching that
            // service. It may have started watching it again.
            (None, Some(now)) if now.status_reason == StatusReason::Drained && !self.has_entry(now) => true,
            (None, _) => list.changes.iter().any(|change| {
                let version = Version { epoch: list.version.epoch, index: change.index };
                version > known && change.name == *name && change.is_explicit_removal()
            }),
        })
    }
}

/// Runs the steps of a script. After each step it checks that the list in use is the registry's list at some version
/// (`Simulation::check`; `TestDriver::handle` checks that the version never decreases). Once all replicas support
/// services and have the newest list, the watcher must get that list.
fn run_steps(
    script: Vec<Step>,
    replicas: usize,
    last_replica_lacks_services: bool,
    services: u8,
    seed: u64,
) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(replicas, last_replica_lacks_services, services, seed);
    for step in script {
        let text = format!("{step:?}");
        simulation.step(step);
        simulation.check().map_err(|e| TestCaseError::fail(format!("after {text}: {e}")))?;
    }
    let newest = simulation.history.len() - 1;
    simulation.replica_versions.fill(newest);
    // If one of two replicas did not support services, no other replica could confirm a withheld list.
    simulation.last_replica_lacks_services = false;
    let list = simulation.history[newest].clone();
    let has_newest_list = |simulation: &Simulation| {
        simulation.driver.watcher.list().is_some_and(|known| {
            let wants = |(_, e): &(&String, &Entry)| is_watched(e, &simulation.driver.services);
            known.version == list.version && list.entries.iter().filter(wants).eq(&known.entries)
        })
    };
    for _ in 0..3000 {
        if has_newest_list(&simulation) {
            break;
        }
        simulation.respond();
        simulation.check()?;
    }
    prop_assert!(
        has_newest_list(&simulation),
        "{:?} does not become {:?}",
        simulation.driver.watcher.list(),
        list.entries
    );
    Ok(())
}

proptest! {
    #[test]
    fn converges_to_registry_under_random_changes_faults_and_restarts(
        script in steps(), replicas in 1usize..4, has_old_replica: bool, services in 0u8..8, seed: u64,
    ) {
        run_steps(script, replicas, has_old_replica, services, seed)?;
    }
}

// A failure that the test above found: a server moves to another watched service and is drained there, and the watched
// services change twice before there is a complete list.
#[test]
fn converges_after_move_and_drain_across_changes_of_services() {
    use Step::*;
    let script = vec![
        ChangeServices(4),
        Register(5, 0),
        Register(3, 0),
        Register(3, 1),
        CatchUp(2, 3),
        Register(0, 0),
        Respond,
        Respond,
        Register(0, 1),
        Register(0, 0),
        CatchUp(1, 2),
        Restore(0),
        LateResponse,
        Advance,
        Restore(1),
        Register(1, 1),
        Register(2, 0),
        Respond,
        Respond,
        Respond,
        Respond,
        Register(2, 0),
        Restart(0),
        Restore(11),
        Drain(0),
        CatchUp(2, 5),
        Respond,
        Drain(0),
        Drain(0),
        Compact,
        Respond,
        CatchUp(2, 1),
        Register(1, 3),
        Compact,
        Compact,
        Respond,
        Drain(1),
        Compact,
        Compact,
        Compact,
        CatchUp(2, 3),
        CatchUp(2, 1),
        Expire(0),
        Respond,
        Respond,
        ChangeServices(1),
        ChangeServices(5),
    ];
    if let Err(error) = run_steps(script, 1, false, 0, 0) {
        panic!("{error}");
    }
}
