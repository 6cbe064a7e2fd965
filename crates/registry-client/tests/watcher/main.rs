//! The watcher with replicas that fail, lag, diverge or lose their data.

mod driver;

use driver::{TestDriver, applied, complete, entry, no_changes, poll_in, reports, v};
use lotusmoor_registry_client::{
    Action, EndpointList, Event, ListUpdate, Micros, RegistryWatcher, Report, Settings, Status, StatusReason,
    Version,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

#[test]
fn applies_changes_of_successive_watches() {
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, _, after, _) = driver.next_poll();
    assert_eq!(after, Some(v(1, 10)));
    let change = ListUpdate {
        endpoints: vec![entry(0, Status::Draining, StatusReason::Drained)],
        ..no_changes(v(1, 11))
    };
    assert!(applied(&driver.respond(poll, change)));
    assert_eq!(driver.watcher.list().map(|k| (k.version, k.active_count())), Some((v(1, 11), 3)));
    let (poll, ..) = driver.next_poll();
    let out = driver.respond(poll, no_changes(v(1, 11)));
    assert!(!applied(&out), "a response without changes is not applied: {out:?}");
}

#[test]
fn rejects_older_version_or_epoch() {
    for old in [v(2, 9), v(1, 99), v(2, 0)] {
        let mut driver = TestDriver::with_list(3, v(2, 10), 4);
        let (poll, replica, ..) = driver.next_poll();
        let out = driver.respond(poll, complete(old, 4));
        assert_eq!(reports(&out), [&Report::OlderVersion { replica, version: old }]);
        assert!(!applied(&out));
        let (_, next, ..) = driver.next_poll();
        assert_ne!(next, replica, "the next replica is polled");
    }
}

// A registry that is restored from a backup has a new epoch, which clients follow even if they had later changes.
#[test]
fn polls_complete_list_of_newer_epoch() {
    let mut driver = TestDriver::with_list(3, v(1, 5_000_000), 4);
    let (poll, ..) = driver.next_poll();
    // Changes of that epoch can't be applied to the known list.
    let out = driver.respond(poll, no_changes(v(2, 5_100_000)));
    let (poll, _, after) = poll_in(&out).expect("it polls for the complete list immediately");
    assert_eq!(after, None);
    assert!(applied(&driver.respond(poll, complete(v(2, 5_100_000), 3))));
    assert_eq!(driver.watcher.list().map(|k| k.version), Some(v(2, 5_100_000)));
}

#[test]
fn reports_digest_mismatch_and_keeps_known_list() {
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, replica, ..) = driver.next_poll();
    let out = driver.respond(poll, ListUpdate { digest: 77, ..complete(v(1, 10), 2) });
    assert_eq!(reports(&out), [&Report::DigestMismatch { replica, version: v(1, 10) }]);
    assert!(!applied(&out));
}

#[test]
fn withholds_list_that_removes_most_servers_until_another_replica_confirms() {
    for left in [0, 1] {
        let mut driver = TestDriver::with_list(3, v(1, 10), 4);
        let (poll, withheld_from, ..) = driver.next_poll();
        let out = driver.respond(poll, complete(v(1, 11), left));
        let lost = 4 - left;
        assert!(
            reports(&out).contains(&&Report::Withheld {
                replica: withheld_from,
                version: v(1, 11),
                removed: lost,
                active_before: 4
            }),
            "{out:?}"
        );
        assert!(!applied(&out) && driver.watcher.withholds_list());
        let (poll, replica, after) = poll_in(&out).unwrap_or_else(|| {
            let (poll, replica, after, _) = driver.next_poll();
            (poll, replica, after)
        });
        assert!(
            replica != withheld_from && after.is_none(),
            "another replica is polled for the complete list"
        );
        let out = driver.respond(poll, complete(v(1, 11), left));
        assert!(reports(&out).contains(&&Report::Confirmed(replica)) && applied(&out), "{out:?}");
        assert_eq!(driver.watcher.list().map(|k| k.active_count()), Some(left));
    }
}

#[test]
fn drops_withheld_list_that_another_replica_does_not_confirm() {
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, withheld_from, ..) = driver.next_poll();
    driver.respond(poll, complete(v(1, 11), 0));
    let (poll, replica, ..) = driver.next_poll();
    assert_ne!(replica, withheld_from);
    let out = driver.respond(poll, complete(v(1, 12), 4));
    assert!(reports(&out).contains(&&Report::Unconfirmed(replica)), "{out:?}");
    assert_eq!(driver.watcher.list().map(|k| (k.version, k.active_count())), Some((v(1, 12), 4)));
}

// A replica that lost its data and was bootstrapped again by mistake has the newest epoch of all, and an empty list.
#[test]
fn keeps_following_other_replicas_after_one_was_bootstrapped_again() {
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let mut index = 10;
    let (_, reset_replica, ..) = driver.next_poll();
    let mut polls = vec![(2, reset_replica)];
    for _ in 0..40 {
        let (poll, replica) = polls.pop().unwrap_or_else(|| {
            let (poll, replica, ..) = driver.next_poll();
            (poll, replica)
        });
        if replica == reset_replica {
            driver.respond(poll, complete(v(2, 9_000_000), 0));
        } else {
            // The other replicas' list changes.
            index += 1;
            driver.respond(poll, complete(v(1, index), 4));
            assert_eq!(driver.watcher.list().map(|k| (k.version, k.active_count())), Some((v(1, index), 4)));
            assert!(!driver.watcher.withholds_list());
        }
        assert_eq!(driver.watcher.list().map(|k| k.active_count()), Some(4));
    }
    assert!(index > 20, "{index}");
}

// A replica must not confirm its own list, no matter how often it responds with it.
#[test]
fn does_not_let_a_replica_confirm_its_own_list() {
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, withheld_from, ..) = driver.next_poll();
    driver.respond(poll, complete(v(1, 11), 0));
    for _ in 0..20 {
        let (poll, replica, ..) = driver.next_poll();
        if replica == withheld_from {
            driver.respond(poll, complete(v(1, 11), 0));
        } else {
            driver.fail(poll, None);
        }
        assert!(driver.watcher.withholds_list());
    }
    assert_eq!(driver.watcher.list().map(|k| k.active_count()), Some(4));
}

#[test]
fn applies_explicit_drains_at_once_and_withholds_expired_leases() {
    let change = |reason| {
        let endpoints = (0..4).map(|i| entry(i, Status::Draining, reason)).collect();
        ListUpdate { endpoints, ..no_changes(v(1, 11)) }
    };
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, ..) = driver.next_poll();
    driver.respond(poll, change(StatusReason::Drained));
    assert_eq!(driver.watcher.list().map(|k| k.active_count()), Some(0));
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, ..) = driver.next_poll();
    driver.respond(poll, change(StatusReason::Expired));
    assert_eq!(driver.watcher.list().map(|k| k.active_count()), Some(4));
    assert!(driver.watcher.withholds_list());
    // An explicit drain among expired leases is applied, while the expiries are withheld.
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, ..) = driver.next_poll();
    let mut mixed = change(StatusReason::Expired);
    mixed.endpoints[0].status_reason = StatusReason::Drained;
    assert!(applied(&driver.respond(poll, mixed)));
    assert_eq!(driver.watcher.list().map(|k| (k.version, k.active_count())), Some((v(1, 10), 3)));
}

#[test]
fn lets_a_single_replica_confirm_itself_after_a_while() {
    let mut driver = TestDriver::with_list(1, v(1, 10), 4);
    let (poll, ..) = driver.next_poll();
    driver.respond(poll, complete(v(1, 11), 0));
    let since = driver.now;
    while driver.watcher.withholds_list() {
        let (poll, ..) = driver.next_poll();
        driver.respond(poll, complete(v(1, 11), 0));
        assert!(driver.now < since + 120 * SECOND, "the list is never confirmed");
    }
    assert!(driver.now >= since + 30 * SECOND);
    assert_eq!(driver.watcher.list().map(|k| k.active_count()), Some(0));
}

#[test]
fn hedges_first_poll_after_a_failure_and_uses_first_response() {
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, failed, ..) = driver.next_poll();
    driver.fail(poll, None);
    let (first, one, ..) = driver.next_poll();
    let (second, other, ..) = driver.next_poll();
    assert!(one != failed && other != one, "{failed} {one} {other}");
    let out = driver.respond(second, no_changes(v(1, 10)));
    assert!(out.contains(&Action::CancelPoll(first)), "{out:?}");
    // The slower response is ignored.
    assert!(!applied(&driver.respond(first, complete(v(1, 12), 4))));
    let (_, replica, after, _) = driver.next_poll();
    assert_eq!((replica, after), (other, Some(v(1, 10))));
}

#[test]
fn backs_off_exponentially_with_jitter_and_honours_retry_after() {
    let mut all = Vec::new();
    for seed in 0..200 {
        let mut driver = TestDriver::start(3, seed);
        let mut pauses = Vec::new();
        let mut poll = 1;
        for _ in 0..8 {
            let from = driver.now;
            driver.fail(poll, None);
            (poll, ..) = driver.next_poll();
            pauses.push(driver.now - from);
        }
        assert!(pauses[7] > 8 * pauses[0], "{pauses:?}");
        assert!(pauses.iter().all(|p| *p <= 8 * SECOND + 2000));
        all.push(pauses[0]);
    }
    all.sort_unstable();
    all.dedup();
    assert!(all.len() > 150, "watchers poll again at different instants: {}", all.len());
    let mut driver = TestDriver::start(3, 1);
    let from = driver.now;
    driver.fail(1, Some(5 * SECOND));
    driver.next_poll();
    assert!((5 * SECOND..=6 * SECOND + 2000).contains(&(driver.now - from)), "{}", driver.now - from);
}

#[test]
fn computes_age_from_replicas_age_and_wait_and_reports_stale_once() {
    let mut driver = TestDriver::with_list(3, v(1, 10), 4);
    let (poll, ..) = driver.next_poll();
    driver.now += 3 * SECOND;
    driver.respond(poll, ListUpdate { age_ms: 700, waited_ms: 3000, ..no_changes(v(1, 10)) });
    // The replica responded 3 s after the poll was sent, with a list that was 0.7 s old.
    assert!(
        (700_000..=720_000).contains(&driver.watcher.age(driver.now)),
        "{}",
        driver.watcher.age(driver.now)
    );
    let mut stale = 0;
    for _ in 0..200 {
        let out = driver.advance();
        stale += reports(&out).iter().filter(|r| matches!(r, Report::Stale(_))).count();
        if driver.now > 60 * SECOND {
            break;
        }
    }
    assert_eq!(stale, 1);
    assert_eq!(driver.watcher.list().map(|k| k.active_count()), Some(4), "a stale list stays in use");
}

#[test]
fn applies_cached_list_before_any_response() {
    let mut driver =
        TestDriver { watcher: RegistryWatcher::new(Settings::new(3), 1), now: 0, out: Vec::new() };
    let mut known = EndpointList { version: v(4, 44), digest: 44, ..EndpointList::default() };
    known.entries.insert("s-0".into(), entry(0, Status::Active, StatusReason::Registered));
    let out = driver.handle(Event::Start(Some(known)));
    assert!(applied(&out));
    let (poll, _, after) = poll_in(&out).expect("it polls immediately");
    assert_eq!(after, Some(v(4, 44)));
    assert!(
        !applied(&driver.respond(poll, complete(v(4, 43), 9))),
        "the cached list is newer than that replica's"
    );
}

/// How a replica reacts to a poll.
#[derive(Clone, Debug)]
enum Reaction {
    /// With an error; whether it has a `Retry-After`.
    Fails(bool),
    Silent,
    Responds {
        epoch: u64,
        index: u64,
        servers: usize,
        snapshot: bool,
    },
}

fn reaction_scripts() -> impl Strategy<Value = Vec<Reaction>> {
    let one = prop_oneof![
        any::<bool>().prop_map(Reaction::Fails),
        Just(Reaction::Silent),
        (1u64..4, 0u64..30, 0usize..12, any::<bool>()).prop_map(|(epoch, index, servers, snapshot)| {
            Reaction::Responds { epoch, index, servers, snapshot }
        }),
    ];
    prop::collection::vec(one, 1..80)
}

proptest! {
    // Versions never decrease, a timer is always set, at most two polls are in flight, and no list that removes most
    // servers is used without confirmation.
    #[test]
    fn keeps_invariants_whatever_replicas_respond(script in reaction_scripts(), replicas in 1usize..4, seed: u64) {
        let mut driver = TestDriver { watcher: RegistryWatcher::new(Settings::new(replicas), seed), now: 0, out: Vec::new() };
        let mut out = driver.handle(Event::Start(None));
        let mut open: Vec<(u64, usize)> = Vec::new();
        let mut newest = Version::default();
        let mut active = 0;
        let mut script = script.into_iter();
        for _ in 0..600 {
            let confirmed = reports(&out).iter().any(|r| matches!(r, Report::Confirmed(_)));
            for action in std::mem::take(&mut out) {
                match action {
                    Action::Poll { poll, replica, .. } => open.push((poll, replica)),
                    Action::CancelPoll(poll) => open.retain(|(number, _)| *number != poll),
                    Action::Apply(applied) => {
                        prop_assert!(applied.version >= newest, "{} after {newest}", applied.version);
                        newest = applied.version;
                        let now = driver.watcher.list().map_or(0, |k| k.active_count());
                        let lost_most = active > 0 && (now == 0 || (now as f64) < 0.5 * active as f64 - 1e-9);
                        prop_assert!(!lost_most || confirmed, "{active} to {now}");
                        active = now;
                    }
                    Action::Save | Action::Report(_) => {}
                }
            }
            prop_assert!(open.len() <= 2, "{open:?}");
            prop_assert!(driver.watcher.next_timer().is_some_and(|at| at < driver.now + 40 * SECOND));
            let Some(reaction) = script.next() else { break };
            out = match (reaction, open.pop()) {
                (Reaction::Responds { epoch, index, servers, snapshot }, Some((poll, _))) => {
                    let update = ListUpdate { snapshot, ..complete(v(epoch, index), servers) };
                    driver.respond(poll, update)
                }
                (Reaction::Fails(retry_after), Some((poll, _))) => driver.fail(poll, retry_after.then_some(SECOND)),
                (_, poll) => {
                    open.extend(poll);
                    driver.advance()
                }
            };
        }
    }
}
