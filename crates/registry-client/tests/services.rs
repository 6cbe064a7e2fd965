//! Readers of some services against replicas that tell by service, and against some that don't.

use lotusmoor_registry_client::{
    Action, EndpointList, Entry, Event, ListUpdate, Micros, PollError, RegistryWatcher, Report, Settings,
    Status, StatusReason, Version,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SECOND: Micros = 1_000_000;

fn entry(name: &str, service: &str) -> Entry {
    let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80"}}"#);
    let service = (!service.is_empty()).then(|| service.to_owned());
    Entry { service, ..serde_json::from_str(&text).expect("an entry") }
}

fn names(services: &[&str]) -> Vec<String> {
    services.iter().map(|s| (*s).to_owned()).collect()
}

/// Whether an entry is for a reader of these services; of all where there are none.
fn wanted(entry: &Entry, services: &[String]) -> bool {
    services.is_empty() || entry.service.as_ref().is_some_and(|s| services.contains(s))
}

/// One change: the entry before it and after it, and why it came.
#[derive(Clone)]
struct Change {
    index: u64,
    name: String,
    before: Option<Entry>,
    after: Option<Entry>,
    why: StatusReason,
}

/// The list as a replica has it, that answers as the design says.
#[derive(Clone, Default)]
struct Listed {
    version: Version,
    floor: u64,
    entries: BTreeMap<String, Entry>,
    changes: Vec<Change>,
    digests: BTreeMap<String, u64>,
    digest: u64,
}

fn mix(digest: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(digest ^ 0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

impl Listed {
    fn founded(epoch: u64) -> Self {
        let index = epoch << 20;
        Self { version: Version { epoch, index }, floor: index, ..Self::default() }
    }

    /// Makes a change that is one, and tells whether it was.
    fn change(&mut self, name: &str, after: Option<Entry>, why: StatusReason) -> bool {
        let before = self.entries.get(name).cloned();
        if before == after {
            return false;
        }
        self.version.index += 1;
        let index = self.version.index;
        match &after {
            Some(entry) => drop(self.entries.insert(name.to_owned(), entry.clone())),
            None => drop(self.entries.remove(name)),
        }
        let text = format!("{index} {name} {after:?}");
        self.digest = mix(self.digest, text.as_bytes());
        let touched: BTreeSet<String> =
            [&before, &after].into_iter().flatten().filter_map(|e| e.service.clone()).collect();
        for service in touched {
            let digest = self.digests.entry(service).or_default();
            *digest = mix(*digest, text.as_bytes());
        }
        self.changes.push(Change { index, name: name.to_owned(), before, after, why });
        true
    }

    fn put(&mut self, name: &str, service: &str) -> bool {
        self.change(name, Some(entry(name, service)), StatusReason::Registered)
    }

    fn leaves(&mut self, name: &str, why: StatusReason) -> bool {
        let Some(entry) = self.entries.get(name).cloned() else { return false };
        self.change(name, Some(Entry { status: Status::Draining, status_reason: why, ..entry }), why)
    }

    fn gone(&mut self, name: &str, why: StatusReason) -> bool {
        self.change(name, None, why)
    }

    fn update(&self, services: &[String], after: Option<Version>) -> ListUpdate {
        let digest = if services.is_empty() {
            self.digest
        } else {
            services.iter().fold(0, |sum, name| {
                let of = self.digests.get(name).copied().unwrap_or_default();
                mix(mix(sum, name.as_bytes()), &of.to_le_bytes())
            })
        };
        let fits = |v: &Version| {
            v.epoch == self.version.epoch && v.index >= self.floor && v.index <= self.version.index
        };
        let after = after.filter(fits);
        let endpoints = match after {
            None => self.entries.values().filter(|e| wanted(e, services)).cloned().collect(),
            Some(after) => self.told_since(services, after.index),
        };
        let services = (!services.is_empty()).then(|| services.to_vec());
        let (version, snapshot) = (self.version, after.is_none());
        ListUpdate { version, snapshot, digest, services, endpoints, ..ListUpdate::default() }
    }

    fn told_since(&self, services: &[String], index: u64) -> Vec<Entry> {
        // How each name that was touched went out of what is wanted, if it did.
        let mut touched: BTreeMap<&str, Option<Entry>> = BTreeMap::new();
        for change in self.changes.iter().filter(|c| c.index > index) {
            let out = touched.entry(&change.name).or_default();
            if let Some(before) = change.before.as_ref().filter(|e| wanted(e, services)) {
                let why = if change.after.is_some() { StatusReason::Removed } else { change.why };
                *out = Some(Entry { status: Status::Removed, status_reason: why, ..before.clone() });
            }
        }
        let now = |name: &str| self.entries.get(name).filter(|e| wanted(e, services)).cloned();
        touched.into_iter().filter_map(|(name, out)| now(name).or(out)).collect()
    }
}

/// A reader, with what its driver uses.
struct Reader {
    rider: RegistryWatcher,
    now: Micros,
    /// Calls that are out: what was asked for, and after which version.
    open: Vec<Asked>,
    /// Calls that were forgotten, whose answers may still come.
    forgotten: Vec<Asked>,
    used: BTreeMap<String, Entry>,
    newest: Version,
    saved: Option<EndpointList>,
    services: Vec<String>,
}

#[derive(Clone)]
struct Asked {
    ask: u64,
    roster: usize,
    after: Option<Version>,
    services: Vec<String>,
}

impl Reader {
    fn new(rosters: usize, services: &[&str], seed: u64) -> Self {
        let set = Settings { services: names(services), ..Settings::new(rosters) };
        Self {
            rider: RegistryWatcher::new(set, seed),
            now: 0,
            open: Vec::new(),
            forgotten: Vec::new(),
            used: BTreeMap::new(),
            newest: Version::default(),
            saved: None,
            services: names(services),
        }
    }

    fn start(rosters: usize, services: &[&str]) -> Self {
        let mut reader = Self::new(rosters, services, 7);
        reader.give(Event::Start(None));
        reader
    }

    /// Starts, and has the list of this replica.
    fn with(list: &Listed, rosters: usize, services: &[&str]) -> Self {
        let mut reader = Self::start(rosters, services);
        reader.answer(list);
        reader
    }

    fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.rider.handle(self.now, event, &mut out);
        for action in &out {
            match action {
                Action::Poll { poll: ask, replica: roster, after, wait } => {
                    let path = self.rider.poll_path(*after, *wait);
                    let services = path
                        .split_once("&services=")
                        .map_or(Vec::new(), |(_, s)| s.split(',').map(str::to_owned).collect());
                    assert_eq!(services, self.services, "{path}");
                    self.open.push(Asked { ask: *ask, roster: *roster, after: *after, services });
                }
                Action::CancelPoll(ask) => {
                    let at = self.open.iter().position(|o| o.ask == *ask).expect("a call that is out");
                    self.forgotten.push(self.open.remove(at));
                }
                Action::Apply(applied) => {
                    assert!(applied.version >= self.newest, "{} after {}", applied.version, self.newest);
                    self.newest = applied.version;
                    if applied.full {
                        self.used.clear();
                    }
                    for entry in &applied.entries {
                        match entry.status {
                            Status::Removed => drop(self.used.remove(&entry.name)),
                            _ => drop(self.used.insert(entry.name.clone(), entry.clone())),
                        }
                    }
                }
                Action::Save => self.saved = self.rider.list().cloned(),
                Action::Report(_) => {}
            }
        }
        out
    }

    fn wake(&mut self) -> Vec<Action> {
        self.now = self.now.max(self.rider.next_timer().expect("there is always something to come"));
        self.give(Event::Timer)
    }

    /// The next call that is out; it wakes until there is one.
    fn asked(&mut self) -> Asked {
        for _ in 0..100 {
            if let Some(asked) = self.open.first() {
                return asked.clone();
            }
            self.wake();
        }
        panic!("no call went out");
    }

    /// The next call is answered by this list.
    fn answer(&mut self, list: &Listed) -> Vec<Action> {
        let asked = self.asked();
        self.answer_with(&asked, list.update(&asked.services, asked.after))
    }

    fn answer_with(&mut self, asked: &Asked, update: ListUpdate) -> Vec<Action> {
        self.now += 1000;
        self.open.retain(|o| o.ask != asked.ask);
        self.give(Event::Response { poll: asked.ask, update })
    }

    fn reload(&mut self, services: &[&str]) -> Vec<Action> {
        self.now += 1000;
        self.services = names(services);
        self.services.sort_unstable();
        self.services.dedup();
        self.give(Event::ServicesChanged(names(services)))
    }

    fn used(&self) -> Vec<&str> {
        self.used.keys().map(String::as_str).collect()
    }
}

fn reports(out: &[Action]) -> Vec<&Report> {
    out.iter().filter_map(|a| if let Action::Report(r) = a { Some(r) } else { None }).collect()
}

fn applied(out: &[Action]) -> Option<&lotusmoor_registry_client::AppliedList> {
    out.iter().find_map(|a| if let Action::Apply(applied) = a { Some(applied) } else { None })
}

fn poll_errors(out: &[Action]) -> Vec<String> {
    let error = |report: &Report| match report {
        Report::PollFailed { error, .. } => Some(error.to_string()),
        _ => None,
    };
    reports(out).into_iter().filter_map(error).collect()
}

/// Three services of four servers each: `a-0` to `c-3`.
fn three() -> Listed {
    let mut list = Listed::founded(1);
    for service in ["a", "b", "c"] {
        for i in 0..4 {
            assert!(list.put(&format!("{service}-{i}"), service));
        }
    }
    list
}

#[test]
fn services_are_asked_for_in_order_and_each_once() {
    let set = Settings { services: names(&["b", "a.x", "b", "a"]), ..Settings::new(1) };
    let rider = RegistryWatcher::new(set, 1);
    let after = Some(Version { epoch: 2, index: 9 });
    assert_eq!(rider.poll_path(after, 4_000_000), "/v1/watch?wait_ms=4000&epoch=2&after=9&services=a,a.x,b");
    assert_eq!(rider.poll_path(None, 0), "/v1/watch?wait_ms=0&services=a,a.x,b");
    assert_eq!(RegistryWatcher::new(Settings::new(1), 1).poll_path(None, 0), "/v1/watch?wait_ms=0");
}

#[test]
fn a_service_that_does_not_exist_is_told_once_and_followed_when_it_comes() {
    let mut list = three();
    let mut reader = Reader::start(3, &["a", "z"]);
    let out = reader.answer(&list);
    assert_eq!(reports(&out), [&Report::NoServers("z".into())]);
    assert_eq!(reader.used(), ["a-0", "a-1", "a-2", "a-3"]);
    // Elsewhere the list goes on: nothing of that is told again.
    list.put("b-4", "b");
    let out = reader.answer(&list);
    assert!(reports(&out).is_empty(), "{out:?}");
    assert_eq!(reader.rider.list().map(|k| k.version), Some(list.version));
    list.put("z-0", "z");
    let out = reader.answer(&list);
    assert_eq!(applied(&out).map(|a| (a.full, a.entries.len())), Some((false, 1)));
    assert!(reader.used().contains(&"z-0"));
    list.gone("z-0", StatusReason::Removed);
    assert_eq!(reports(&reader.answer(&list)), [&Report::NoServers("z".into())]);
}

#[test]
fn a_reader_of_one_service_that_is_not_there_has_an_empty_list_with_a_version() {
    let list = three();
    let reader = Reader::with(&list, 3, &["z"]);
    assert_eq!(reader.rider.list().map(|k| (k.version, k.entries.len())), Some((list.version, 0)));
    assert!(!reader.rider.withholds_list());
}

// Of all that this reader has a third goes, which a reader of everything would believe.
#[test]
fn one_emptied_service_among_three_is_held_back_until_another_replica_says_so() {
    let mut list = three();
    let mut reader = Reader::with(&list, 3, &["a", "b", "c"]);
    for i in 0..4 {
        list.gone(&format!("b-{i}"), StatusReason::Expired);
    }
    let asked = reader.asked();
    let doubted = asked.roster;
    let out = reader.answer(&list);
    let held = Report::Withheld { replica: doubted, version: list.version, removed: 4, of: 4 };
    assert_eq!(reports(&out), [&held]);
    assert!(applied(&out).is_none() && reader.rider.withholds_list() && reader.used().len() == 12);
    let asked = reader.asked();
    assert!(asked.roster != doubted && asked.after.is_none());
    let out = reader.answer(&list);
    assert_eq!(reports(&out), [&Report::Confirmed(asked.roster), &Report::NoServers("b".into())]);
    assert_eq!(reader.used().len(), 8);
    let mut all = three();
    let mut reader = Reader::with(&all, 3, &[]);
    for i in 0..4 {
        all.gone(&format!("b-{i}"), StatusReason::Expired);
    }
    assert!(reports(&reader.answer(&all)).is_empty());
    assert_eq!(reader.used().len(), 8);
}

#[test]
fn a_service_that_loses_most_is_held_back_and_one_that_loses_half_is_not() {
    for (gone, doubt) in [(2, false), (3, true)] {
        let mut list = three();
        let mut reader = Reader::with(&list, 3, &["a", "b", "c"]);
        for i in 0..gone {
            list.gone(&format!("c-{i}"), StatusReason::Expired);
        }
        reader.answer(&list);
        assert_eq!(reader.rider.withholds_list(), doubt, "{gone}");
    }
}

#[test]
fn a_service_emptied_by_names_is_followed_at_once() {
    for leave in [true, false] {
        let mut list = three();
        let mut reader = Reader::with(&list, 3, &["a", "b", "c"]);
        for i in 0..4 {
            let name = format!("b-{i}");
            assert!(if leave {
                list.leaves(&name, StatusReason::Drained)
            } else {
                list.gone(&name, StatusReason::Removed)
            });
        }
        let out = reader.answer(&list);
        assert!(applied(&out).is_some() && !reader.rider.withholds_list(), "{out:?}");
        let active = reader.used.values().filter(|e| e.status == Status::Active).count();
        assert_eq!(active, 8);
    }
}

// `a` has one server, which goes over: for a reader of `a` it is emptied, by name.
#[test]
fn a_server_that_is_handed_over_is_always_in_one_service() {
    let mut list = Listed::founded(1);
    list.put("s", "a");
    list.put("t", "b");
    let read = |services: &[&str]| Reader::with(&list, 3, services);
    let mut readers = [read(&["a", "b"]), read(&["a"]), read(&["b"]), read(&[])];
    list.put("s", "b");
    for (reader, (left, told)) in readers.iter_mut().zip([(2, 1), (0, 1), (2, 1), (2, 1)]) {
        let out = reader.answer(&list);
        let changes = applied(&out).unwrap_or_else(|| panic!("{:?}: {out:?}", reader.services));
        assert_eq!((changes.entries.len(), reader.used.len()), (told, left), "{:?}", reader.services);
        assert!(!reader.rider.withholds_list());
        assert!(reader.used.values().all(|e| e.service.as_deref() == Some("b")));
    }
}

#[test]
fn a_set_that_changes_is_asked_for_whole_at_once_and_what_stays_is_used_meanwhile() {
    let mut list = three();
    let mut reader = Reader::with(&list, 3, &["a", "b"]);
    let before = reader.asked();
    let out = reader.reload(&["c", "b"]);
    // The dropped service goes at once, the other stays.
    let cut = applied(&out).expect("the list is cut");
    assert!(cut.full && cut.version == list.version && cut.entries.len() == 4);
    assert_eq!(reader.used(), ["b-0", "b-1", "b-2", "b-3"]);
    assert!(out.contains(&Action::CancelPoll(before.ask)));
    let now = reader.open.first().cloned().expect("it asks at once");
    assert_eq!((now.after, now.services.as_slice()), (None, names(&["b", "c"]).as_slice()));
    // What comes for the older set is ignored.
    let mut newer = list.clone();
    newer.put("a-9", "a");
    let late = reader.answer_with(&before, newer.update(&before.services, before.after));
    assert!(late.is_empty(), "{late:?}");
    list.put("c-4", "c");
    let out = reader.answer(&list);
    assert!(applied(&out).is_some_and(|a| a.full) && reports(&out).is_empty(), "{out:?}");
    assert_eq!(reader.used().len(), 9);
    assert_eq!(reader.rider.list().map(|k| k.services.clone()), Some(names(&["b", "c"])));
    // The same once more is nothing new.
    assert!(reader.reload(&["b", "c", "b"]).is_empty());
}

#[test]
fn over_a_change_of_services_the_version_does_not_go_back() {
    let old = three();
    let mut list = old.clone();
    list.put("a-4", "a");
    let mut reader = Reader::with(&list, 3, &["a"]);
    reader.reload(&["b"]);
    let roster = reader.asked().roster;
    let out = reader.answer(&old);
    assert_eq!(reports(&out), [&Report::OlderVersion { replica: roster, version: old.version }]);
    assert!(reader.used().is_empty());
    let asked = reader.asked();
    assert!(asked.roster != roster && asked.after.is_none());
    assert!(applied(&reader.answer(&list)).is_some());
    assert_eq!(reader.used().len(), 4);
}

#[test]
fn what_is_held_back_is_dropped_with_the_services_that_it_was_of() {
    let mut list = three();
    let mut reader = Reader::with(&list, 3, &["a", "b"]);
    for i in 0..4 {
        list.gone(&format!("a-{i}"), StatusReason::Expired);
    }
    reader.answer(&list);
    assert!(reader.rider.withholds_list());
    reader.reload(&["b", "c"]);
    assert!(!reader.rider.withholds_list());
    assert!(reports(&reader.answer(&list)).is_empty());
    assert_eq!(reader.used().len(), 8);
}

#[test]
fn a_list_cut_by_a_change_of_services_is_not_written_to_the_file() {
    let mut list = three();
    let mut reader = Reader::with(&list, 3, &["a", "b"]);
    reader.wake();
    list.put("b-4", "b");
    reader.answer(&list);
    reader.saved = None;
    reader.reload(&["b", "c"]);
    for _ in 0..50 {
        if reader.now > 5 * SECOND {
            break;
        }
        reader.wake();
    }
    assert_eq!(reader.saved, None);
    reader.answer(&list);
    for _ in 0..50 {
        if reader.saved.is_some() {
            break;
        }
        reader.wake();
    }
    assert!(reader.saved.is_some() && reader.saved.as_ref() == reader.rider.list());
}

#[test]
fn a_reader_of_everything_and_one_of_services_go_over_into_each_other() {
    let list = three();
    let mut reader = Reader::with(&list, 3, &[]);
    reader.reload(&["c"]);
    assert_eq!(reader.used().len(), 4);
    assert!(reports(&reader.answer(&list)).is_empty());
    assert!(reader.reload(&[]).iter().all(|a| !matches!(a, Action::Apply(_))), "nothing goes");
    let asked = reader.asked();
    assert!(asked.after.is_none() && asked.services.is_empty());
    assert!(reports(&reader.answer(&list)).is_empty());
    assert_eq!(reader.used().len(), 12);
}

#[test]
fn two_contents_of_one_service_are_told_to_its_readers_alone() {
    let list = three();
    let mut other = list.clone();
    *other.digests.get_mut("b").expect("it is there") ^= 1;
    for (services, differs) in [(["a", "b"], true), (["b", "c"], true), (["a", "c"], false)] {
        let mut reader = Reader::with(&list, 3, &services);
        let roster = reader.asked().roster;
        let out = reader.answer(&other);
        let told = Report::DigestMismatch { replica: roster, version: list.version };
        assert_eq!(reports(&out).contains(&&told), differs, "{services:?}");
        assert_eq!(reader.used().len(), 8);
    }
}

// It has not been asked for those before, so its digest says nothing of them.
#[test]
fn a_digest_of_other_services_is_compared_with_none() {
    let list = three();
    let mut reader = Reader::with(&list, 1, &["a"]);
    reader.reload(&["a", "b"]);
    assert!(reports(&reader.answer(&list)).is_empty());
    assert_eq!(reader.used().len(), 8);
}

#[test]
fn a_replica_that_does_not_know_services_is_never_used_and_a_new_one_is_settled_on() {
    let mut list = three();
    for (rosters, new) in [(3, 1), (3, 2), (2, 1)] {
        let mut reader = Reader::start(rosters, &["a"]);
        let mut turned = 0;
        for _ in 0..30 {
            let asked = reader.asked();
            if asked.roster == new {
                reader.answer(&list);
                list.put("b-0", if turned % 2 == 0 { "b" } else { "c" });
                continue;
            }
            // Those of the form before heed no services and say so by not saying anything of them.
            let out = reader.answer_with(&asked, list.update(&[], asked.after));
            assert_eq!(poll_errors(&out), ["does not know services"]);
            assert!(applied(&out).is_none());
            turned += 1;
        }
        assert!(turned <= 2 * rosters, "{turned} calls to replicas of the form before");
        assert_eq!((reader.used().len(), reader.asked().roster), (4, new));
    }
}

#[test]
fn an_answer_of_other_services_than_were_asked_for_is_never_used() {
    let list = three();
    let of = |services: &[&str], told: &[&str]| {
        let mut reader = Reader::start(3, services);
        let asked = reader.asked();
        let out = reader.answer_with(&asked, list.update(&names(told), None));
        assert!(applied(&out).is_none() && reader.rider.list().is_none());
        assert_eq!(poll_errors(&out), ["told of other services"], "{services:?} {told:?}");
    };
    of(&["a", "b"], &["a"]);
    of(&["a"], &["a", "b"]);
    of(&["a"], &["b"]);
    of(&[], &["a"]);
    // It says that it tells of `a`, and does not.
    let mut reader = Reader::start(3, &["a"]);
    let asked = reader.asked();
    let whole = ListUpdate { services: Some(names(&["a"])), ..list.update(&[], None) };
    assert_eq!(poll_errors(&reader.answer_with(&asked, whole)), ["told of other services"]);
}

#[test]
fn of_a_file_of_other_services_those_still_asked_for_are_used_and_the_whole_is_asked_for() {
    let list = three();
    let file = |services: &[&str]| Reader::with(&list, 3, services).rider.list().cloned();
    let start = |services: &[&str], known: Option<EndpointList>| {
        let mut reader = Reader::new(3, services, 1);
        let out = reader.give(Event::Start(known));
        (reader, out)
    };
    // Of everything, of an overlapping set, of fewer: only what is wanted is used.
    for (of, services, used) in [
        (&[][..], &["a"][..], 4),
        (&["a", "b"], &["b", "c"], 4),
        (&["a"], &["a", "b"], 4),
        (&["a"], &[], 4),
        (&["a", "b"], &["a", "b"], 8),
    ] {
        let (mut reader, out) = start(services, file(of));
        assert_eq!(
            applied(&out).map(|a| (a.full, a.entries.len())),
            Some((true, used)),
            "{of:?} {services:?}"
        );
        let after = (of == services).then_some(list.version);
        assert_eq!(reader.asked().after, after, "{of:?} {services:?}");
        let out = reader.answer(&list);
        assert!(reports(&out).is_empty(), "{out:?}");
        let all = if services.is_empty() { 12 } else { 4 * services.len() };
        assert_eq!(reader.used().len(), all);
    }
    // Where nothing of it is wanted, what the driver knows by itself stays; the version still counts.
    let (mut reader, out) = start(&["c"], file(&["a"]));
    assert!(applied(&out).is_none() && reader.asked().after.is_none());
    let old = Listed::founded(1);
    assert!(matches!(reports(&reader.answer(&old))[..], [Report::OlderVersion { .. }]));
}

/// What happens to the service, its replicas and a reader.
#[derive(Clone, Debug)]
enum Step {
    Put(u8, u8),
    Drain(u8),
    Remove(u8),
    Expire(u8),
    /// Restored from an earlier state, under a new epoch.
    Restore(u8),
    /// What has left is forgotten.
    Forget,
    /// That replica gets so much nearer to the newest list.
    Follow(u8, u8),
    Answer,
    /// The answer to a call that was forgotten comes after all, of that replica's list of now.
    Late,
    Fail,
    Wake,
    Reload(u8),
    /// The reader is started anew with its file, for these services.
    Restart(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        4 => (0u8..6, 0u8..4).prop_map(|(name, service)| Step::Put(name, service)),
        2 => (0u8..6).prop_map(Step::Drain),
        2 => (0u8..6).prop_map(Step::Remove),
        2 => (0u8..6).prop_map(Step::Expire),
        1 => any::<u8>().prop_map(Step::Restore),
        1 => Just(Step::Forget),
        6 => (0u8..3, 1u8..6).prop_map(|(replica, by)| Step::Follow(replica, by)),
        10 => Just(Step::Answer),
        2 => Just(Step::Late),
        2 => Just(Step::Fail),
        3 => Just(Step::Wake),
        2 => (0u8..8).prop_map(Step::Reload),
        1 => (0u8..8).prop_map(Step::Restart),
    ];
    prop::collection::vec(one, 1..150)
}

/// The subset of three services with these bits; all servers where there are none.
fn subset(bits: u8) -> Vec<&'static str> {
    let all = ["a", "b", "c"];
    (0..3).filter(|i| bits & (1 << i) != 0).map(|i| all[i]).collect()
}

/// A reader with the service that it reads, which keeps all the versions that there ever were.
struct World {
    history: Vec<Listed>,
    /// Which of them each replica has.
    at: Vec<usize>,
    /// The last replica is of the form before.
    old: bool,
    reader: Reader,
    /// The services of which the reader has all the servers of its version; `None` for all.
    whole_of: Option<BTreeSet<String>>,
}

impl World {
    fn new(replicas: usize, old: bool, services: u8, seed: u64) -> Self {
        let mut reader = Reader::new(replicas, &subset(services), seed);
        reader.give(Event::Start(None));
        let (history, at) = (vec![Listed::founded(1)], vec![0; replicas]);
        Self { history, at, old: old && replicas > 1, reader, whole_of: Some(BTreeSet::new()) }
    }

    fn change(&mut self, change: impl FnOnce(&mut Listed) -> bool) {
        let mut next = self.history.last().expect("it was founded").clone();
        if change(&mut next) {
            self.history.push(next);
        }
    }

    fn update(&self, asked: &Asked) -> ListUpdate {
        let list = &self.history[self.at[asked.roster]];
        let knows = !self.old || asked.roster + 1 < self.at.len();
        list.update(if knows { &asked.services } else { &[] }, asked.after)
    }

    fn answer(&mut self) {
        let Some(asked) = self.reader.open.first().cloned() else { return drop(self.reader.wake()) };
        let update = self.update(&asked);
        let out = self.reader.answer_with(&asked, update);
        if applied(&out).is_some() && !self.reader.rider.withholds_list() {
            let services = &self.reader.services;
            self.whole_of = (!services.is_empty()).then(|| services.iter().cloned().collect());
        }
    }

    /// The reader has only these from now on.
    fn cut(&mut self, services: &[&str]) {
        if !services.is_empty() {
            let of = |s: &&&str| self.whole_of.as_ref().is_none_or(|whole| whole.contains(**s));
            self.whole_of = Some(services.iter().filter(of).map(|s| (*s).to_owned()).collect());
        }
    }

    fn step(&mut self, step: Step) {
        let name = |i: u8| format!("s-{i}");
        match step {
            Step::Put(i, service) => {
                let service = ["", "a", "b", "c"][usize::from(service)];
                self.change(|l| l.put(&name(i), service));
            }
            Step::Drain(i) => self.change(|l| l.leaves(&name(i), StatusReason::Drained)),
            Step::Remove(i) => self.change(|l| l.gone(&name(i), StatusReason::Removed)),
            Step::Expire(i) => self.change(|l| l.gone(&name(i), StatusReason::Expired)),
            Step::Restore(i) => {
                let from = &self.history[usize::from(i) % self.history.len()];
                let newest = self.history.last().expect("it was founded").version.epoch;
                let restored = Listed { entries: from.entries.clone(), ..Listed::founded(newest + 1) };
                self.history.push(restored);
            }
            Step::Forget => {
                let newest = self.history.last_mut().expect("it was founded");
                newest.floor = newest.version.index;
            }
            Step::Follow(replica, by) => {
                let last = self.history.len() - 1;
                let replica = usize::from(replica) % self.at.len();
                self.at[replica] = (self.at[replica] + usize::from(by)).min(last);
            }
            Step::Answer => self.answer(),
            Step::Late => {
                if let Some(asked) = self.reader.forgotten.pop() {
                    let update = self.update(&asked);
                    let out = self.reader.answer_with(&asked, update);
                    assert!(out.iter().all(|a| !matches!(a, Action::Apply(_))), "{out:?}");
                }
            }
            Step::Fail => {
                if let Some(asked) = self.reader.open.pop() {
                    self.reader.now += 1000;
                    let (ask, what) = (asked.ask, PollError::connection("refused"));
                    self.reader.give(Event::PollFailed { poll: ask, retry_after: None, error: what });
                }
            }
            Step::Wake => drop(self.reader.wake()),
            Step::Reload(bits) => {
                let services = subset(bits);
                self.reader.reload(&services);
                self.cut(&services);
            }
            Step::Restart(bits) => {
                let (services, known) = (subset(bits), self.reader.saved.take());
                self.whole_of = known.as_ref().map_or(Some(BTreeSet::new()), |known| {
                    (!known.services.is_empty()).then(|| known.services.iter().cloned().collect())
                });
                self.reader = Reader::new(self.at.len(), &services, self.reader.now as u64);
                self.reader.give(Event::Start(known));
                self.cut(&services);
            }
        }
    }

    /// What the reader uses is a version of the list, cut to its services; but for servers that were named since,
    /// which it heeds before the rest of a list that it doubts.
    fn check(&self) -> Result<(), TestCaseError> {
        let reader = &self.reader;
        prop_assert!(reader.open.len() <= 2);
        prop_assert!(reader.rider.next_timer().is_some());
        prop_assert!(reader.used.values().all(|e| wanted(e, &reader.services)), "{:?}", reader.used);
        let Some(known) = reader.rider.list() else {
            prop_assert!(reader.used.is_empty());
            return Ok(());
        };
        prop_assert_eq!(&known.entries, &reader.used);
        let at = self.history.iter().position(|l| l.version == known.version).expect("a version of the list");
        let has = |e: &Entry| {
            let of = |whole: &BTreeSet<String>| e.service.as_ref().is_some_and(|s| whole.contains(s));
            wanted(e, &reader.services) && self.whole_of.as_ref().is_none_or(of)
        };
        let told = self.history[at].entries.iter().filter(|(_, e)| has(e));
        let told: BTreeMap<&String, &Entry> = told.collect();
        let names: BTreeSet<&String> = told.keys().copied().chain(reader.used.keys()).collect();
        for name in names {
            let (used, told) = (reader.used.get(name), told.get(name).copied());
            let named_since = || {
                self.history[at..].iter().any(|l| match (used, l.entries.get(name)) {
                    (Some(used), now) => used.status_reason == StatusReason::Drained && now == Some(used),
                    // Drained in another service, for which the reader has stopped to ask meanwhile.
                    (None, Some(now))
                        if now.status_reason == StatusReason::Drained && !wanted(now, &reader.services) =>
                    {
                        true
                    }
                    (None, _) => l.changes.iter().any(|c| {
                        let over = c
                            .after
                            .as_ref()
                            .is_some_and(|a| c.before.as_ref().is_some_and(|b| b.service != a.service));
                        let at = Version { epoch: l.version.epoch, index: c.index };
                        at > known.version
                            && c.name == *name
                            && (over || c.after.is_none() && c.why == StatusReason::Removed)
                    }),
                })
            };
            prop_assert!(used == told || named_since(), "{name}: {used:?} for {told:?} at {}", known.version);
        }
        Ok(())
    }
}

proptest! {
    // Changes at the service, replicas that lag, answers in any order, reloads and restarts: versions never go back
    // (`Reader::give`), and what is used is always a version of the list cut to what is asked for. Once all replicas
    // know services and have the newest list, so has the reader.
    #[test]
    fn whatever_changes_at_either_side(
        script in steps(), replicas in 1usize..4, old: bool, services in 0u8..8, seed: u64,
    ) {
        let mut world = World::new(replicas, old, services, seed);
        for step in script {
            let text = format!("{step:?}");
            world.step(step);
            world.check().map_err(|e| TestCaseError::fail(format!("after {text}: {e}")))?;
        }
        let newest = world.history.len() - 1;
        world.at.fill(newest);
        // With one of two replicas of the form before nobody could confirm a list that is doubted.
        world.old = false;
        let list = world.history[newest].clone();
        let has_all = |world: &World| world.reader.rider.list().is_some_and(|known| {
            let wants = |(_, e): &(&String, &Entry)| wanted(e, &world.reader.services);
            known.version == list.version && list.entries.iter().filter(wants).eq(&known.entries)
        });
        for _ in 0..3000 {
            if has_all(&world) {
                break;
            }
            world.answer();
            world.check()?;
        }
        prop_assert!(has_all(&world), "{:?} is not {:?}", world.reader.rider.list(), list.entries);
    }
}
