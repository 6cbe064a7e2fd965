//! Slow start.

mod common;
use common::*;
use lotusmoor_balancer::*;

/// Attempts at one of two endpoints in 4 s of traffic, after its first attempts had these outcomes.
fn attempts_after(outcomes: &[Outcome]) -> usize {
    let mut harness = Harness::new(settings(), 2, 1);
    serve_requests(&mut harness, 100);
    let mut outcomes = outcomes.iter();
    let mut count = 0;
    for _ in 0..200 {
        harness.request(IDEMPOTENT);
        harness.advance(20 * MS);
        for (key, sent) in harness.in_flight.iter().map(|(k, a)| (*k, *a)).collect::<Vec<_>>() {
            let outcome = if sent.endpoint == 0 { outcomes.next() } else { None };
            count += usize::from(sent.endpoint == 0 && outcome.is_none());
            harness.end_attempt(key.0, key.1, outcome.copied().unwrap_or(Outcome::Ok));
        }
    }
    assert_eq!(outcomes.next(), None, "some outcomes were not used");
    count
}

// Neither connections reset by the network nor a single failed connection indicate a restart; several failed
// connections without an answer do. A mistaken slow start leaves an endpoint nearly idle for seconds.
#[test]
fn broken_connections_alone_do_not_begin_slow_start() {
    use Outcome::{ConnectFailed, Reset};
    let in_slow_start = attempts_after(&[ConnectFailed; 3]);
    for outcomes in [[Reset; 3], [Reset, ConnectFailed, Reset], [Reset, Reset, ConnectFailed]] {
        let attempts = attempts_after(&outcomes);
        assert!(2 * attempts > 3 * in_slow_start, "{outcomes:?}: {attempts} {in_slow_start}");
    }
}

// Whatever broke the connections, a process that answers an earlier attempt was not restarted.
#[test]
fn answer_to_earlier_attempt_proves_that_process_did_not_restart() {
    for answers_earlier in [false, true] {
        let mut harness = Harness::new(settings(), 1, 1);
        serve_requests(&mut harness, 100);
        let (earlier, _) = harness.request(IDEMPOTENT);
        for _ in 0..3 {
            let (id, _) = harness.request(NON_IDEMPOTENT);
            harness.end_attempt(id, 0, Outcome::ConnectFailed);
            harness.handle(Event::RequestAbandoned(id));
        }
        if answers_earlier {
            harness.end_attempt(earlier, 0, Outcome::Ok);
        } else {
            harness.handle(Event::RequestAbandoned(earlier));
            harness.advance(4000 * MS);
            let (trial, _) = harness.request(IDEMPOTENT);
            harness.end_attempt(trial, 0, Outcome::Ok);
        }
        let sent: usize = (0..10).map(|_| targets(&harness.request(IDEMPOTENT).1).len()).sum();
        assert_eq!(sent > 2, answers_earlier, "{sent}");
    }
}

#[test]
fn endpoint_in_slow_start_gets_small_share_that_grows() {
    let mut harness = Harness::new(settings(), 4, 1);
    serve_requests(&mut harness, 200);
    let now = harness.now;
    update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(3) });
    let attempts = |harness: &mut Harness| serve_requests(harness, 60).iter().filter(|e| **e == 3).count();
    let at_start = attempts(&mut harness);
    harness.advance(3000 * MS);
    serve_requests(&mut harness, 60);
    let later = attempts(&mut harness);
    harness.advance(9000 * MS);
    let warm = attempts(&mut harness);
    assert!(at_start <= 6 && at_start < later && later <= warm && warm >= 13, "{at_start} {later} {warm}");
}

#[test]
fn burst_does_not_overload_sole_endpoint_in_slow_start() {
    let mut harness = Harness::new(settings(), 4, 1);
    serve_requests(&mut harness, 60);
    for _ in 0..12 {
        (0..100).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.answer_all(20 * MS);
    }
    harness.advance(9000 * MS);
    let now = harness.now;
    let only = EndpointEntry { started_at: Some(now), ..ready_entry(0) };
    harness.handle(Event::EndpointList(EndpointListUpdate::Full(vec![only])));
    let burst: usize = (0..50).map(|_| targets(&harness.request(IDEMPOTENT).1).len()).sum();
    assert!(burst <= 2, "{burst}");
}

// After a release most of the fleet is in slow start. Slow-start budgets follow the throughput per warm
// endpoint: if it were divided among all endpoints, most would be idle while the warm ones are overloaded.
#[test]
fn many_endpoints_in_slow_start_each_get_their_capacity() {
    let mut harness = Harness::new(settings(), 12, 1);
    let mut attempts = [0; 12];
    for step in 0..80 {
        for _ in 0..6 {
            targets(&harness.request(NON_IDEMPOTENT).1)
                .into_iter()
                .for_each(|e| attempts[e] += u32::from(step >= 40));
        }
        harness.answer_all(50 * MS);
        harness.advance(50 * MS);
        if step == 20 {
            let started_at = Some(harness.now);
            (2..12).for_each(|e| {
                drop(update_entry(&mut harness, EndpointEntry { started_at, ..ready_entry(e) }))
            });
        }
    }
    let (warm, in_slow_start) = (attempts[..2].iter().sum::<u32>(), attempts[2..].iter().sum::<u32>());
    // Ten endpoints at 0.4 to 0.8 of their capacity.
    assert!(2 * in_slow_start > 5 * warm, "{attempts:?}");
}

// Endpoints that fail all their attempts must not lower the throughput that slow-start budgets follow.
#[test]
fn slow_start_budget_follows_endpoints_that_serve() {
    let mut harness = Harness::new(settings(), 6, 1);
    let mut to_slow_start = 0;
    for step in 0..200 {
        if step == 100 {
            let now = harness.now;
            update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(5) });
        }
        (0..4).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.advance(20 * MS);
        for ((id, n), sent) in harness.in_flight.clone() {
            to_slow_start += usize::from(sent.endpoint == 5 && step >= 100);
            let outcome = if (1..5).contains(&sent.endpoint) { Outcome::Error } else { Outcome::Ok };
            harness.end_attempt(id, n, outcome);
        }
        harness.advance(10 * MS);
    }
    assert!(to_slow_start >= 75, "{to_slow_start} of 400");
}

// The throughput of endpoints in slow start follows from their budgets. If budgets were derived from it, a
// sidecar that starts while most endpoints are in slow start would take seconds to learn their capacity.
#[test]
fn slow_start_budget_follows_warm_endpoints_only() {
    let mut harness = Harness::new(settings(), 10, 1);
    let started_at = Some(harness.now);
    (1..10).for_each(|e| drop(update_entry(&mut harness, EndpointEntry { started_at, ..ready_entry(e) })));
    let mut attempts = [0; 10];
    // Twice the time in which an overloaded endpoint collapses.
    for _ in 0..100 {
        (0..20)
            .for_each(|_| targets(&harness.request(IDEMPOTENT).1).into_iter().for_each(|e| attempts[e] += 1));
        harness.answer_all(20 * MS);
        harness.advance(10 * MS);
    }
    // Nine endpoints at 0.3 to 0.5 of their capacity.
    assert!(2 * attempts[1..].iter().sum::<u32>() > 5 * attempts[0], "{attempts:?}");
}

// The throughput of slow endpoints, though they are warm, says nothing about the capacity of others.
#[test]
fn slow_start_budget_is_not_lowered_by_slow_endpoints() {
    let mut harness = Harness::new(settings(), 5, 1);
    let mut to_slow_start = 0;
    for step in 0..300 {
        if step == 100 {
            let now = harness.now;
            update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(4) });
        }
        (0..4).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.advance(20 * MS);
        for ((id, n), sent) in harness.in_flight.clone() {
            let slow = (1..4).contains(&sent.endpoint);
            if !slow || harness.now - sent.sent_at >= 400 * MS {
                to_slow_start += usize::from(sent.endpoint == 4 && step >= 100);
                harness.end_attempt(id, n, Outcome::Ok);
            }
        }
    }
    assert!(to_slow_start >= 150, "{to_slow_start} of 800");
}

/// Attempts in a second at an endpoint in slow start beside a warm one, with answers that take `time` and
/// more requests than both endpoints can serve.
fn attempts_at_endpoint_in_slow_start(time: Micros) -> usize {
    let mut harness = Harness::new(settings(), 2, 1);
    let mut to_slow_start = 0;
    for step in 0..160 {
        if step == 60 {
            let now = harness.now;
            update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(1) });
        }
        (0..8).for_each(|_| drop(harness.request(IDEMPOTENT)));
        harness.advance(10 * MS);
        for ((id, n), sent) in harness.in_flight.clone() {
            if harness.now - sent.sent_at >= time {
                to_slow_start += usize::from(sent.endpoint == 1 && step >= 60);
                harness.end_attempt(id, n, Outcome::Ok);
            }
        }
    }
    to_slow_start
}

// The rules state the guaranteed capacity of an endpoint in slow start, and most have more: while requests
// wait it is sent more, as long as its answers are in time.
#[test]
fn endpoint_in_slow_start_that_answers_in_time_gets_more_while_requests_wait() {
    let (in_time, late) =
        (attempts_at_endpoint_in_slow_start(50 * MS), attempts_at_endpoint_in_slow_start(400 * MS));
    assert!(in_time >= 125 && late <= 6, "{in_time} {late}");
}

#[test]
fn many_quiet_sidecars_do_not_overload_endpoint_in_slow_start() {
    let mut to_slow_start = 0;
    for index in 0..200 {
        let settings = Settings { instances: 200, index, ..settings() };
        let mut harness = Harness::new(settings, 4, u64::from(index));
        serve_requests(&mut harness, 8);
        let now = harness.now;
        update_entry(&mut harness, EndpointEntry { started_at: Some(now), ..ready_entry(3) });
        harness.advance(50 * MS);
        to_slow_start += serve_requests(&mut harness, 4).iter().filter(|e| **e == 3).count();
    }
    assert!(to_slow_start <= 20, "{to_slow_start} of 800 requests to an endpoint that has just started");
}

#[test]
fn fleet_in_slow_start_gets_little_and_is_fully_used_once_warm() {
    let mut harness = Harness::new(Settings { instances: 200, ..settings() }, 0, 3);
    let entry = |endpoint| EndpointEntry { started_at: Some(START), ..ready_entry(endpoint) };
    harness.handle(Event::EndpointList(EndpointListUpdate::Full((0..50).map(entry).collect())));
    let serve = |harness: &mut Harness, until: Micros| {
        let before = harness.attempts_sent.len();
        let mut requests = 0;
        while harness.now < until {
            harness.request(IDEMPOTENT);
            harness.answer_all(20 * MS);
            harness.advance(80 * MS);
            requests += 1;
        }
        (harness.attempts_sent.len() - before, requests)
    };
    let (in_slow_start, _) = serve(&mut harness, START + 8000 * MS);
    assert!((1..=45).contains(&in_slow_start), "{in_slow_start}");
    let (warm, requests) = {
        harness.advance(1500 * MS);
        let until = harness.now + 2000 * MS;
        serve(&mut harness, until)
    };
    assert_eq!(warm, requests);
}

#[test]
fn endpoint_back_after_failed_connections_begins_slow_start_before_list_reports_restart() {
    let mut harness = Harness::new(settings(), 4, 1);
    for _ in 0..40 {
        let (id, actions) = harness.request(IDEMPOTENT);
        let is_down = targets(&actions)[0] == 2;
        harness.advance(10 * MS);
        harness.end_attempt(id, 0, if is_down { Outcome::ConnectFailed } else { Outcome::Ok });
        harness.answer_all(20 * MS);
    }
    harness.advance(9000 * MS);
    let attempts = serve_requests(&mut harness, 60).iter().filter(|e| **e == 2).count();
    assert!((1..=8).contains(&attempts), "{attempts}");
}

// An endpoint in slow start is in the subsets of a few sidecars only, which must use its full capacity.
#[test]
fn sidecars_with_subsets_send_endpoints_in_slow_start_their_full_share() {
    let targets: Vec<_> = targets_of_many_sidecars(32).concat();
    let in_slow_start = targets.iter().filter(|e| **e < 32).count();
    // Half of the endpoints at about half of their capacity make up a third of the whole fleet's.
    assert!(
        4 * in_slow_start > targets.len() && 2 * in_slow_start < targets.len(),
        "{in_slow_start} of {}",
        targets.len()
    );
}

// A sidecar that has just started may find most of its endpoints in slow start. Its throughput so far is low,
// which must not be taken as a low capacity of the endpoints.
#[test]
fn new_sidecar_sends_endpoint_in_slow_start_its_share_from_the_start() {
    let to_slow_start: usize = (1..=10)
        .map(|seed| {
            let mut harness = Harness::new(settings(), 4, seed);
            let restarted = EndpointEntry { started_at: Some(harness.now), ..ready_entry(0) };
            harness.handle(Event::EndpointList(EndpointListUpdate::Delta(vec![restarted])));
            let mut to_slow_start = 0;
            // A third of the window over which throughput is measured.
            for _ in 0..10 {
                let sends: Vec<_> = (0..4).flat_map(|_| targets(&harness.request(IDEMPOTENT).1)).collect();
                to_slow_start += sends.iter().filter(|e| **e == 0).count();
                harness.answer_all(100 * MS);
            }
            to_slow_start
        })
        .sum();
    assert!(to_slow_start >= 15, "{to_slow_start} of 400");
}

/// What gives all sidecars of a fleet a cold endpoint back at the same time.
#[derive(Clone, Copy, Debug)]
enum BackBy {
    /// Operators give it back.
    Uncordon,
    /// The endpoint list has it as ready again.
    List,
    /// Connections to it had failed; it answers again, and its restart is listed.
    Trial,
    /// The sidecars are restarted, after the endpoint.
    RestartOfSidecars,
}

/// A fleet of sidecars that each send little, and one endpoint that was restarted.
struct Failback {
    back_by: BackBy,
    sidecars: u32,
    /// Requests a second that all sidecars send, and that one of the endpoints can do when it is warm.
    fleet_rate: f64,
    capacity: f64,
}

impl Failback {
    const ENDPOINTS: usize = 8;
    const COLLAPSE_AFTER: Micros = 2000 * MS;
    /// How long requests are sent before the endpoint goes down, how long it is down, and how long after its restart the
    /// sidecars are notified.
    const BEFORE: Micros = 10_000 * MS;
    const DOWN: Micros = 3_000 * MS;
    const NOTIFIED_AFTER: Micros = 1500 * MS;
    /// How long requests are sent after that.
    const PLAYED: Micros = 57_000 * MS;
    /// The endpoint is warm then. What follows is several rounds over all endpoints.
    const WARM_AFTER: Micros = 25_000 * MS;

    fn settings(&self, index: u32) -> Settings {
        let rules = Rules {
            initial_capacity_share: 0.12,
            slow_start_duration: 23_000 * MS,
            overload_factor: 2.5,
            overload_collapse_after: Self::COLLAPSE_AFTER,
            ..settings().rules
        };
        Settings { instances: self.sidecars, index, rules, ..settings() }
    }

    /// How many requests within the collapse time the endpoint bears at that age, by the operators' page.
    fn bears(&self, age: Micros) -> f64 {
        let rules = self.settings(0).rules;
        let warmed = age as f64 / rules.slow_start_duration as f64;
        let initial = rules.initial_capacity_share;
        let share = (initial + (1.0 - initial) * warmed).min(1.0);
        let window = Self::COLLAPSE_AFTER as f64 / 1e6;
        let n = rules.overload_factor * share * self.capacity * window;
        if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 }
    }

    /// When one sidecar sends requests to the endpoint once it is notified of its restart, counted from the restart.
    fn sends_of(&self, index: u32, seed: u64) -> Vec<Micros> {
        let mut harness = Harness::new(self.settings(index), Self::ENDPOINTS, seed);
        harness.advance(self.spacing() * Micros::from(index) / Micros::from(self.sidecars));
        self.send_until(&mut harness, START + Self::BEFORE, Outcome::Ok);
        let down_until = START + Self::BEFORE + Self::DOWN;
        let notified_at = down_until + Self::NOTIFIED_AFTER;
        let restarted = EndpointEntry { started_at: Some(down_until), ..ready_entry(0) };
        match self.back_by {
            BackBy::Uncordon => {
                harness.handle(Event::Cordoned(0));
                assert!(self.send_until(&mut harness, notified_at, Outcome::Ok).is_empty());
                update_entry(&mut harness, restarted);
                harness.handle(Event::Uncordoned(0));
            }
            BackBy::List => {
                update_entry(
                    &mut harness,
                    EndpointEntry { status: EndpointStatus::Draining, ..ready_entry(0) },
                );
                assert!(self.send_until(&mut harness, notified_at, Outcome::Ok).is_empty());
                update_entry(&mut harness, restarted);
            }
            BackBy::Trial => {
                self.send_until(&mut harness, down_until, Outcome::ConnectFailed);
                self.send_until(&mut harness, notified_at, Outcome::Ok);
                update_entry(&mut harness, restarted);
            }
            BackBy::RestartOfSidecars => {
                harness = Harness::new(self.settings(index), 0, seed);
                harness.now =
                    notified_at + self.spacing() * Micros::from(index) / Micros::from(self.sidecars);
                let entries = (1..Self::ENDPOINTS).map(ready_entry).chain([restarted]).collect();
                harness.handle(Event::EndpointList(EndpointListUpdate::Full(entries)));
            }
        }
        let sent_at = self.send_until(&mut harness, notified_at + Self::PLAYED, Outcome::Ok);
        sent_at.into_iter().map(|at| at - down_until).collect()
    }

    /// The time between two requests of a sidecar.
    fn spacing(&self) -> Micros {
        (f64::from(self.sidecars) / self.fleet_rate * 1e6) as Micros
    }

    /// Sends requests until then, where attempts at the endpoint have that outcome; returns when they were sent.
    fn send_until(&self, harness: &mut Harness, until: Micros, outcome: Outcome) -> Vec<Micros> {
        let mut sent_at = Vec::new();
        while harness.now < until {
            let began = harness.now;
            harness.request(IDEMPOTENT);
            harness.advance(80 * MS);
            while let Some(((id, number), sent)) = harness.in_flight.pop_first() {
                harness.in_flight.insert((id, number), sent);
                sent_at.extend((sent.endpoint == 0).then_some(sent.sent_at));
                harness.end_attempt(id, number, if sent.endpoint == 0 { outcome } else { Outcome::Ok });
            }
            harness.advance((began + self.spacing() - harness.now).max(0));
        }
        sent_at
    }
}

fn check_failback(back_by: BackBy) {
    for (sidecars, fleet_rate, capacity) in [
        (10, 75.0, 12.0),
        (25, 75.0, 12.0),
        (30, 75.0, 12.0),
        (60, 75.0, 12.0),
        (60, 300.0, 48.0),
        (300, 300.0, 48.0),
    ] {
        let fleet = Failback { back_by, sidecars, fleet_rate, capacity };
        for seed in 0..5 {
            let seed_of = |index: u32| seed * 1000 + u64::from(index);
            let mut sends: Vec<_> = (0..sidecars).flat_map(|i| fleet.sends_of(i, seed_of(i))).collect();
            sends.sort_unstable();
            let what = format!("{sidecars} sidecars that send {fleet_rate} requests a second, seed {seed}");
            for (number, at) in sends.iter().enumerate() {
                let since = sends.partition_point(|earlier| at - earlier >= Failback::COLLAPSE_AFTER);
                let (count, bears) = (number + 1 - since, fleet.bears(*at));
                let age = at / MS;
                assert!(count as f64 <= bears, "{what}: {count} at an age of {age} ms, {bears:.1} borne");
            }
            // It warms up: some requests at once, and its full share once it is warm.
            let within = |from: Micros, to: Micros| {
                let range = Failback::NOTIFIED_AFTER + from..Failback::NOTIFIED_AFTER + to;
                sends.iter().filter(|at| range.contains(*at)).count()
            };
            assert!(within(0, 5000 * MS) >= 5, "{what}");
            let warm = within(Failback::WARM_AFTER, Failback::PLAYED);
            let warm_seconds = (Failback::PLAYED - Failback::WARM_AFTER) as f64 / 1e6;
            let full_share = warm_seconds * fleet_rate / Failback::ENDPOINTS as f64;
            assert!(warm as f64 > 0.9 * full_share, "{what}: {warm} of {full_share}");
        }
    }
}

// Each sidecar sent its next request to an endpoint that operators had given back, whatever the number of sidecars: 30 of
// them sent 30 requests within 0.4 s, where it bears fewer than 25 in 2 s.
#[test]
fn all_sidecars_together_do_not_overload_an_uncordoned_endpoint() {
    check_failback(BackBy::Uncordon);
}

#[test]
fn all_sidecars_together_do_not_overload_an_endpoint_that_is_listed_again() {
    check_failback(BackBy::List);
}

#[test]
fn all_sidecars_together_do_not_overload_an_endpoint_that_answers_again() {
    check_failback(BackBy::Trial);
}

#[test]
fn sidecars_that_start_together_do_not_overload_an_endpoint_in_slow_start() {
    check_failback(BackBy::RestartOfSidecars);
}
