//! The rider against replicas that fail, lie, lag and forget.

use lotusmoor_registry_client::{
    Action, EndpointList, Entry, Event, ListUpdate, Micros, PollError, RegistryWatcher, Report, Settings,
    Status, StatusReason, Version,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn entry(i: usize, status: Status, why: StatusReason) -> Entry {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16));
    Entry {
        name: format!("s-{i}"),
        address,
        service: None,
        zone: None,
        region: None,
        machine_type: None,
        cell: 0,
        status,
        weight: 1.0,
        started_ms: 0,
        status_reason: why,
    }
}

fn v(epoch: u64, index: u64) -> Version {
    Version { epoch, index }
}

/// The whole list of version `at`, with so many active servers.
fn whole(at: Version, servers: usize) -> ListUpdate {
    let endpoints = (0..servers).map(|i| entry(i, Status::Active, StatusReason::Registered)).collect();
    ListUpdate { version: at, snapshot: true, digest: at.index, endpoints, ..ListUpdate::default() }
}

fn nothing_new(at: Version) -> ListUpdate {
    ListUpdate { version: at, digest: at.index, ..ListUpdate::default() }
}

struct Played {
    rider: RegistryWatcher,
    now: Micros,
    out: Vec<Action>,
}

impl Played {
    fn start(rosters: usize, seed: u64) -> Self {
        let mut played =
            Self { rider: RegistryWatcher::new(Settings::new(rosters), seed), now: 0, out: Vec::new() };
        played.give(Event::Start(None));
        played
    }

    fn give(&mut self, event: Event) -> Vec<Action> {
        self.rider.handle(self.now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// Goes on to the next instant at which the rider wants to be woken.
    fn wake(&mut self) -> Vec<Action> {
        self.now = self.now.max(self.rider.next_timer().expect("there is always something to come"));
        self.give(Event::Timer)
    }

    /// Wakes until a call goes out.
    fn asked(&mut self) -> (u64, usize, Option<Version>, Vec<Action>) {
        let mut all = Vec::new();
        for _ in 0..100 {
            all.extend(self.wake());
            if let Some(asked) = asked_in(&all) {
                return (asked.0, asked.1, asked.2, all);
            }
        }
        panic!("no call went out: {all:?}");
    }

    fn answer(&mut self, ask: u64, update: ListUpdate) -> Vec<Action> {
        self.now += 1000;
        self.give(Event::Response { poll: ask, update })
    }

    fn fail(&mut self, ask: u64, retry_after: Option<Micros>) -> Vec<Action> {
        self.now += 1000;
        self.give(Event::PollFailed { poll: ask, retry_after, error: PollError::connection("refused") })
    }

    /// Starts and takes a first whole list.
    fn with_list(rosters: usize, at: Version, servers: usize) -> Self {
        let mut played = Self { out: Vec::new(), ..Self::start(rosters, 7) };
        let (ask, ..) = (1, ());
        let out = played.answer(ask, whole(at, servers));
        assert!(out.iter().any(|a| matches!(a, Action::Apply(applied) if applied.full)), "{out:?}");
        played
    }
}

fn asked_in(out: &[Action]) -> Option<(u64, usize, Option<Version>)> {
    out.iter().find_map(|a| match a {
        Action::Poll { poll: ask, replica: roster, after, .. } => Some((*ask, *roster, *after)),
        _ => None,
    })
}

fn reports(out: &[Action]) -> Vec<&Report> {
    out.iter().filter_map(|a| if let Action::Report(r) = a { Some(r) } else { None }).collect()
}

fn applied(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Apply(_)))
}

#[test]
fn a_watch_follows_a_watch_and_changes_are_applied() {
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, _, after, _) = p.asked();
    assert_eq!(after, Some(v(1, 10)));
    let change = ListUpdate {
        endpoints: vec![entry(0, Status::Draining, StatusReason::Drained)],
        ..nothing_new(v(1, 11))
    };
    assert!(applied(&p.answer(ask, change)));
    assert_eq!(p.rider.list().map(|k| (k.version, k.active_count())), Some((v(1, 11), 3)));
    let (ask, ..) = p.asked();
    let out = p.answer(ask, nothing_new(v(1, 11)));
    assert!(!applied(&out), "nothing new is not applied: {out:?}");
}

#[test]
fn an_older_version_or_epoch_is_never_gone_back_to() {
    for old in [v(2, 9), v(1, 99), v(2, 0)] {
        let mut p = Played::with_list(3, v(2, 10), 4);
        let (ask, roster, ..) = p.asked();
        let out = p.answer(ask, whole(old, 4));
        assert_eq!(reports(&out), [&Report::OlderVersion { replica: roster, version: old }]);
        assert!(!applied(&out));
        let (_, next, ..) = p.asked();
        assert_ne!(next, roster, "the next replica is asked");
    }
}

// A service that was restored from an old backup has a new epoch: readers that were ahead of it follow.
#[test]
fn a_newer_epoch_with_fewer_changes_is_followed_whole() {
    let mut p = Played::with_list(3, v(1, 5_000_000), 4);
    let (ask, ..) = p.asked();
    // Changes alone can't be: this reader is not at a version of that epoch.
    let out = p.answer(ask, nothing_new(v(2, 5_100_000)));
    let (ask, _, after) = asked_in(&out).expect("it asks for the whole list at once");
    assert_eq!(after, None);
    assert!(applied(&p.answer(ask, whole(v(2, 5_100_000), 3))));
    assert_eq!(p.rider.list().map(|k| k.version), Some(v(2, 5_100_000)));
}

#[test]
fn two_contents_of_one_version_are_told_and_the_new_one_is_not_used() {
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, roster, ..) = p.asked();
    let out = p.answer(ask, ListUpdate { digest: 77, ..whole(v(1, 10), 2) });
    assert_eq!(reports(&out), [&Report::DigestMismatch { replica: roster, version: v(1, 10) }]);
    assert!(!applied(&out));
}

#[test]
fn an_empty_list_or_one_that_loses_most_is_held_back_until_another_replica_says_so() {
    for left in [0, 1] {
        let mut p = Played::with_list(3, v(1, 10), 4);
        let (ask, doubted, ..) = p.asked();
        let out = p.answer(ask, whole(v(1, 11), left));
        let lost = 4 - left;
        assert!(
            reports(&out).contains(&&Report::Withheld {
                replica: doubted,
                version: v(1, 11),
                removed: lost,
                of: 4
            }),
            "{out:?}"
        );
        assert!(!applied(&out) && p.rider.withholds_list());
        let (ask, roster, after) = asked_in(&out).unwrap_or_else(|| {
            let (ask, roster, after, _) = p.asked();
            (ask, roster, after)
        });
        assert!(roster != doubted && after.is_none(), "another is asked for the whole list");
        let out = p.answer(ask, whole(v(1, 11), left));
        assert!(reports(&out).contains(&&Report::Confirmed(roster)) && applied(&out), "{out:?}");
        assert_eq!(p.rider.list().map(|k| k.active_count()), Some(left));
    }
}

#[test]
fn what_is_held_back_is_dropped_where_another_replica_knows_better() {
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, doubted, ..) = p.asked();
    p.answer(ask, whole(v(1, 11), 0));
    let (ask, roster, ..) = p.asked();
    assert_ne!(roster, doubted);
    let out = p.answer(ask, whole(v(1, 12), 4));
    assert!(reports(&out).contains(&&Report::Unconfirmed(roster)), "{out:?}");
    assert_eq!(p.rider.list().map(|k| (k.version, k.active_count())), Some((v(1, 12), 4)));
}

// A replica that lost its folder and founded a list anew has the newest epoch of all, and an empty list.
#[test]
fn a_replica_that_founded_a_list_anew_by_mistake_stops_no_reader() {
    let mut p = Played::with_list(3, v(1, 10), 4);
    let mut index = 10;
    let (_, rogue, ..) = p.asked();
    let mut asks = vec![(2, rogue)];
    for _ in 0..40 {
        let (ask, roster) = asks.pop().unwrap_or_else(|| {
            let (ask, roster, ..) = p.asked();
            (ask, roster)
        });
        if roster == rogue {
            p.answer(ask, whole(v(2, 9_000_000), 0));
        } else {
            // The others go on.
            index += 1;
            p.answer(ask, whole(v(1, index), 4));
            assert_eq!(p.rider.list().map(|k| (k.version, k.active_count())), Some((v(1, index), 4)));
            assert!(!p.rider.withholds_list());
        }
        assert_eq!(p.rider.list().map(|k| k.active_count()), Some(4));
    }
    assert!(index > 20, "{index}");
}

// It can't confirm itself, however often it says so.
#[test]
fn a_doubted_replica_is_not_asked_to_confirm_itself() {
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, doubted, ..) = p.asked();
    p.answer(ask, whole(v(1, 11), 0));
    for _ in 0..20 {
        let (ask, roster, ..) = p.asked();
        if roster == doubted {
            p.answer(ask, whole(v(1, 11), 0));
        } else {
            p.fail(ask, None);
        }
        assert!(p.rider.withholds_list());
    }
    assert_eq!(p.rider.list().map(|k| k.active_count()), Some(4));
}

#[test]
fn drains_by_name_are_heeded_at_once_however_many_and_leases_that_ran_out_are_not() {
    let change = |why| {
        let endpoints = (0..4).map(|i| entry(i, Status::Draining, why)).collect();
        ListUpdate { endpoints, ..nothing_new(v(1, 11)) }
    };
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, ..) = p.asked();
    p.answer(ask, change(StatusReason::Drained));
    assert_eq!(p.rider.list().map(|k| k.active_count()), Some(0));
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, ..) = p.asked();
    p.answer(ask, change(StatusReason::Expired));
    assert_eq!(p.rider.list().map(|k| k.active_count()), Some(4));
    assert!(p.rider.withholds_list());
    // One that is drained beside those that ran out is heeded while the others are held back.
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, ..) = p.asked();
    let mut mixed = change(StatusReason::Expired);
    mixed.endpoints[0].status_reason = StatusReason::Drained;
    assert!(applied(&p.answer(ask, mixed)));
    assert_eq!(p.rider.list().map(|k| (k.version, k.active_count())), Some((v(1, 10), 3)));
}

#[test]
fn a_single_replica_is_believed_only_where_it_still_says_so_a_while_later() {
    let mut p = Played::with_list(1, v(1, 10), 4);
    let (ask, ..) = p.asked();
    p.answer(ask, whole(v(1, 11), 0));
    let since = p.now;
    while p.rider.withholds_list() {
        let (ask, ..) = p.asked();
        p.answer(ask, whole(v(1, 11), 0));
        assert!(p.now < since + 120 * SECOND, "it is believed in the end");
    }
    assert!(p.now >= since + 30 * SECOND);
    assert_eq!(p.rider.list().map(|k| k.active_count()), Some(0));
}

#[test]
fn the_first_call_after_a_failure_is_hedged_and_the_first_answer_wins() {
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, failed, ..) = p.asked();
    p.fail(ask, None);
    let (first, one, ..) = p.asked();
    let (second, other, ..) = p.asked();
    assert!(one != failed && other != one, "{failed} {one} {other}");
    let out = p.answer(second, nothing_new(v(1, 10)));
    assert!(out.contains(&Action::CancelPoll(first)), "{out:?}");
    // What the slower one brings is not heard any more.
    assert!(!applied(&p.answer(first, whole(v(1, 12), 4))));
    let (_, roster, after, _) = p.asked();
    assert_eq!((roster, after), (other, Some(v(1, 10))));
}

#[test]
fn pauses_grow_and_differ_between_readers_and_a_told_time_is_kept() {
    let mut all = Vec::new();
    for seed in 0..200 {
        let mut p = Played::start(3, seed);
        let mut pauses = Vec::new();
        let mut ask = 1;
        for _ in 0..8 {
            let from = p.now;
            p.fail(ask, None);
            (ask, ..) = p.asked();
            pauses.push(p.now - from);
            // The hedge, where it comes, fails as well.
        }
        assert!(pauses[7] > 8 * pauses[0], "{pauses:?}");
        assert!(pauses.iter().all(|p| *p <= 8 * SECOND + 2000));
        all.push(pauses[0]);
    }
    all.sort_unstable();
    all.dedup();
    assert!(all.len() > 150, "readers come back at different instants: {}", all.len());
    let mut p = Played::start(3, 1);
    let from = p.now;
    p.fail(1, Some(5 * SECOND));
    p.asked();
    assert!((5 * SECOND..=6 * SECOND + 2000).contains(&(p.now - from)), "{}", p.now - from);
}

#[test]
fn staleness_counts_from_when_a_replica_knew_and_is_reported_once() {
    let mut p = Played::with_list(3, v(1, 10), 4);
    let (ask, ..) = p.asked();
    p.now += 3 * SECOND;
    p.answer(ask, ListUpdate { age_ms: 700, waited_ms: 3000, ..nothing_new(v(1, 10)) });
    // The answer was made 3 s after the call went out, by a replica that was 0.7 s behind.
    assert!((700_000..=720_000).contains(&p.rider.age(p.now)), "{}", p.rider.age(p.now));
    let mut stale = 0;
    for _ in 0..200 {
        let out = p.wake();
        stale += reports(&out).iter().filter(|r| matches!(r, Report::Stale(_))).count();
        if p.now > 60 * SECOND {
            break;
        }
    }
    assert_eq!(stale, 1);
    assert_eq!(p.rider.list().map(|k| k.active_count()), Some(4), "a stale list stays in use");
}

#[test]
fn a_reader_that_starts_with_its_file_has_its_list_before_any_answer() {
    let mut p = Played { rider: RegistryWatcher::new(Settings::new(3), 1), now: 0, out: Vec::new() };
    let mut known = EndpointList { version: v(4, 44), digest: 44, ..EndpointList::default() };
    known.entries.insert("s-0".into(), entry(0, Status::Active, StatusReason::Registered));
    let out = p.give(Event::Start(Some(known)));
    assert!(applied(&out));
    let (ask, _, after) = asked_in(&out).expect("it asks at once");
    assert_eq!(after, Some(v(4, 44)));
    assert!(!applied(&p.answer(ask, whole(v(4, 43), 9))), "the file is newer than that replica");
}

#[derive(Clone, Debug)]
enum Replica {
    Fails(bool),
    Silent,
    Says { epoch: u64, index: u64, servers: usize, snapshot: bool },
}

fn replicas() -> impl Strategy<Value = Vec<Replica>> {
    let one = prop_oneof![
        any::<bool>().prop_map(Replica::Fails),
        Just(Replica::Silent),
        (1u64..4, 0u64..30, 0usize..12, any::<bool>())
            .prop_map(|(epoch, index, servers, snapshot)| Replica::Says { epoch, index, servers, snapshot }),
    ];
    prop::collection::vec(one, 1..80)
}

proptest! {
    // Whatever replicas say: versions never go back, something is always to come, at most two calls are out, and
    // a list is never emptied without a second replica's word.
    #[test]
    fn whatever_replicas_say(script in replicas(), rosters in 1usize..4, seed: u64) {
        let mut p = Played { rider: RegistryWatcher::new(Settings::new(rosters), seed), now: 0, out: Vec::new() };
        let mut out = p.give(Event::Start(None));
        let mut open: Vec<(u64, usize)> = Vec::new();
        let mut newest = Version::default();
        let mut active = 0;
        let mut script = script.into_iter();
        for _ in 0..600 {
            let confirmed = reports(&out).iter().any(|r| matches!(r, Report::Confirmed(_)));
            for action in std::mem::take(&mut out) {
                match action {
                    Action::Poll { poll: ask, replica: roster, .. } => open.push((ask, roster)),
                    Action::CancelPoll(ask) => open.retain(|o| o.0 != ask),
                    Action::Apply(applied) => {
                        prop_assert!(applied.version >= newest, "{} after {newest}", applied.version);
                        newest = applied.version;
                        let now = p.rider.list().map_or(0, |k| k.active_count());
                        let expired_most = active > 0 && (now == 0 || (now as f64) < 0.5 * active as f64 - 1e-9);
                        prop_assert!(!expired_most || confirmed, "{active} to {now}");
                        active = now;
                    }
                    Action::Save | Action::Report(_) => {}
                }
            }
            prop_assert!(open.len() <= 2, "{open:?}");
            prop_assert!(p.rider.next_timer().is_some_and(|at| at < p.now + 40 * SECOND));
            let Some(replica) = script.next() else { break };
            out = match (replica, open.pop()) {
                (Replica::Says { epoch, index, servers, snapshot }, Some((ask, _))) => {
                    let update = ListUpdate { snapshot, ..whole(v(epoch, index), servers) };
                    p.answer(ask, update)
                }
                (Replica::Fails(told), Some((ask, _))) => p.fail(ask, told.then_some(SECOND)),
                (_, call) => {
                    open.extend(call);
                    p.wake()
                }
            };
        }
    }
}
