//! The checker by itself.

use super::*;
use crate::harness::ledger::{Over, Seen};
use crate::harness::sends::Sent;

fn attempt(id: &str, server: usize, came: i64, over: i64, status: Option<u16>) -> Attempt {
    let (number, ran) = (came.unsigned_abs(), status != Some(503));
    let body = (status == Some(200)).then(|| format!("{id} by {server}"));
    let seen = Seen {
        number,
        id: id.into(),
        method: "GET".into(),
        key: None,
        came: (came - 10, came),
        stale: false,
        told: None,
    };
    Attempt { server, seen, over: Some(Over { number, at: over, ran, status, body }) }
}

fn ask(id: &str, kind: Kind, server: usize) -> Ask {
    let came = Came::Answer { status: 200, at: 30_000, body: format!("{id} by {server}") };
    Ask { id: id.into(), sidecar: 0, kind, wait: 100_000, sent: 0, came }
}

fn good() -> History {
    let keyed = Kind::Keyed { window: 50_000 };
    History {
        asks: vec![ask("a", Kind::Safe, 1), ask("b", Kind::Unsafe, 0), ask("c", keyed, 2)],
        attempts: vec![
            // Given up by its sidecar, then served elsewhere; turned away, then served; dropped, then served.
            attempt("a", 0, 1_000, 9_000, None),
            attempt("a", 1, 9_500, 20_000, Some(200)),
            attempt("b", 2, 1_000, 1_100, Some(503)),
            attempt("b", 0, 2_000, 20_000, Some(200)),
            attempt("c", 1, 1_000, 5_000, Some(500)),
            attempt("c", 2, 6_000, 20_000, Some(200)),
        ],
        slack: 1_000,
        grace: 2_000_000,
        // Of 10 a second a cold one bears 3 x 0.1 x 3 s, so 9 at first, and 9 + 3 x 3 + 3 with the slack.
        cold: Some(Cold { per_s: 10.0, factor: 3.0, window: 3_000_000, share: 0.1, warm: 30_000_000 }),
        ..History::default()
    }
}

/// What is broken where servers' own reads alone tell when something was sent.
fn broken(history: &History) -> Vec<Broken> {
    check(&read(history))
}

fn read(history: &History) -> History {
    let mut history = history.clone();
    history.take_reads_for_sends();
    history
}

fn rules(history: &History) -> Vec<Rule> {
    names(&broken(history))
}

fn names(broken: &[Broken]) -> Vec<Rule> {
    broken.iter().map(|b| b.rule).collect()
}

#[test]
fn retries_as_the_rules_allow_them_break_none() {
    assert_eq!(broken(&good()), []);
}

#[test]
fn each_rule_is_seen_broken_and_no_other_with_it() {
    let mut history = good();
    history.asks.extend([ask("d", Kind::Safe, 0), ask("e", Kind::Unsafe, 1)]);
    history.attempts.push(attempt("d", 0, 1_000, 20_000, Some(200)));
    history.attempts.push(attempt("e", 1, 1_000, 20_000, Some(200)));
    assert_eq!(broken(&history), []);
    for rule in Rule::ALL {
        for seed in 0..4 {
            let spoilt = spoil(&read(&history), rule, seed).expect("it has such requests");
            let seen = names(&check(&spoilt));
            assert!(seen.contains(&rule), "{rule:?}: {seen:?}");
            // A second attempt at what may not be repeated breaks two, and a lost id leaves its answer unmade.
            let with = |r: &Rule| {
                *r == rule
                    || (rule == Rule::OneAtATime && *r == Rule::NoRepeat)
                    || (rule == Rule::Asked && *r == Rule::Genuine)
            };
            assert!(seen.iter().all(with), "{rule:?}: {seen:?}");
        }
    }
}

#[test]
fn a_keyed_request_outside_its_window_and_a_refusal_after_it_are_seen() {
    let mut history = good();
    history.attempts[5].seen.came = (60_000, 60_010);
    assert_eq!(rules(&history), [Rule::NoRepeat]);
    // Read late by a server that stood still, it may have been sent in time; unsafe, it was not to be sent at all.
    history.servers_away = vec![Away { number: 2, span: (8_000, 60_500) }];
    assert_eq!(broken(&history), []);
    history.asks[2].kind = Kind::Unsafe;
    assert_eq!(rules(&history), [Rule::NoRepeat]);
    let mut history = good();
    history.asks[2].came = Came::Answer { status: 429, at: 70_000, body: String::new() };
    assert_eq!(rules(&history), [Rule::Harmless]);
}

#[test]
fn what_a_killed_sidecar_had_and_what_a_held_server_wrote_down_late_is_excused() {
    let mut history = good();
    history.asks[0].came = Came::Closed { at: 5_000 };
    assert_eq!(rules(&history), [Rule::Answered]);
    history.sidecars_away = vec![Away { number: 0, span: (4_000, 6_000) }];
    assert_eq!(broken(&history), []);
    let mut history = good();
    history.attempts[0].over.iter_mut().for_each(|o| o.at = 50_000);
    assert_eq!(rules(&history), [Rule::OneAtATime]);
    history.servers_away = vec![Away { number: 0, span: (2_000, 49_000) }];
    assert_eq!(broken(&history), []);
}

#[test]
fn an_attempt_that_begins_after_its_client_closed_is_seen() {
    let left = |n: usize, begun: i64| {
        let mut history = good();
        for i in 0..n {
            let id = format!("l{i}");
            history.asks.push(Ask { came: Came::Left { at: 2_000 }, ..ask(&id, Kind::Safe, 1) });
            // It may begin and end as it likes before, and so may one that was read late.
            history.attempts.push(attempt(&id, 0, 1_500, 9_000, None));
            history.attempts.push(attempt(&id, 1, begun, begun + 5_000, None));
        }
        history
    };
    // 100 ms after the close, and its first byte comes 10 us before its last.
    assert_eq!(broken(&left(5, 102_010)), []);
    assert_eq!(rules(&left(1, 102_011)), [Rule::Left]);
    assert_eq!(rules(&left(5, 102_011)), [Rule::Left; 5]);
    let mut held = left(5, 102_011);
    held.servers_away = vec![Away { number: 1, span: (2_000, 102_001) }];
    assert_eq!(broken(&held), []);
    held.servers_away[0].span.1 = 102_000;
    assert_eq!(rules(&held), [Rule::Left; 5]);
    // What a link adds is no fault of the sidecar's.
    held.links = 1;
    assert_eq!(broken(&held), []);
}

// A cut link holds it back, and its server reads it when its client has long been answered.
#[test]
fn what_was_held_back_on_its_way_counts_from_when_it_left_its_sidecar() {
    let (wait, told, sent) = (100_000, 40_000, 1_000);
    let mut history = good();
    history.attempts[0].seen.told = Some(told);
    history.attempts[4].seen.told = Some(told);
    history = read(&history);
    assert_eq!(check(&history), []);
    let late = |attempt: &mut Attempt| {
        attempt.seen.came = (5 * wait, 5 * wait + 10);
        attempt.over.iter_mut().for_each(|o| o.at = 5 * wait + 60);
    };
    late(&mut history.attempts[0]);
    // In servers' reads it would be told far more than is left.
    assert_eq!(rules(&history), [Rule::Deadline]);
    assert_eq!(check(&history), []);
    // Its client had closed by then, and its server drained.
    history.asks[0].came = Came::Left { at: sent + 10 };
    history.told_gone = vec![(0, 0, 2 * wait)];
    assert_eq!(check(&history), []);
    // The window for its repeat was over by then.
    late(&mut history.attempts[5]);
    assert_eq!(check(&history), []);
    assert!(rules(&history).contains(&Rule::NoRepeat));
}

// Nobody but the relay has seen it.
#[test]
fn what_no_server_ever_read_counts_as_well() {
    let mut history = read(&good());
    history.asks[0].came = Came::Left { at: 2_000 };
    let mut send = history.sends[0].clone();
    send.sent.at = 102_000;
    history.sends.push(send.clone());
    assert_eq!(check(&history), []);
    history.sends.last_mut().expect("one").sent.at = 102_001;
    assert_eq!(names(&check(&history)), [Rule::Left]);
    history.sends.last_mut().expect("one").sent = Sent { told: Some(249_001), at: 1_000, ..send.sent };
    assert_eq!(names(&check(&history)), [Rule::Deadline]);
}

// Its client saw its connection end and sent it once more, to the next process on the same socket.
#[test]
fn what_a_killed_process_has_sent_is_no_attempt_of_the_next_one() {
    let mut history = good();
    history.attempts.push(attempt("b", 1, 1_000, 5_000, None));
    assert!(rules(&history).contains(&Rule::NoRepeat));
    history.asks[1].sent = 1_500;
    assert!(rules(&history).contains(&Rule::NoRepeat), "no process was killed");
    history.sidecars_away = vec![Away { number: 0, span: (1_200, 1_400) }];
    assert_eq!(broken(&history), []);
    // What the next one sends twice is its own.
    history.attempts.push(attempt("b", 1, 30_000, 40_000, Some(200)));
    assert_eq!(rules(&history), [Rule::NoRepeat]);
}

#[test]
fn a_server_that_is_told_more_time_than_is_left_is_seen() {
    let told = |us: i64| {
        let mut history = good();
        history.attempts[0].seen.told = Some(us);
        history
    };
    // 100 ms, less 990 us, and 150 ms of slack.
    assert_eq!(broken(&told(249_010)), []);
    assert_eq!(rules(&told(249_011)), [Rule::Deadline]);
}

#[test]
fn a_stranger_that_is_kept_or_served_is_seen() {
    let with = |turned_away: Option<i64>, served: bool| {
        let mut history = good();
        history.strangers = vec![Stranger { sidecar: 0, came: 500, turned_away, served }];
        history
    };
    assert_eq!(broken(&with(Some(3_001_500), false)), []);
    assert_eq!(rules(&with(Some(3_001_501), false)), [Rule::TurnedAway]);
    assert_eq!(rules(&with(None, false)), [Rule::TurnedAway]);
    assert_eq!(rules(&with(Some(1_000), true)), [Rule::TurnedAway]);
    let mut killed = with(None, false);
    killed.sidecars_away = vec![Away { number: 0, span: (2_000_000, 2_100_000) }];
    assert_eq!(broken(&killed), []);
}

/// A start of server 3, and so many requests right after it, each of a client of its own.
fn started(requests: i64, told: i64) -> History {
    let mut history = good();
    history.starts = vec![(3, 0)];
    for n in 0..requests {
        let id = format!("c{n}");
        history.asks.push(ask(&id, Kind::Safe, 3));
        history.attempts.push(attempt(&id, 3, 1_000 + n, 20_000, Some(200)));
    }
    history.told_back = vec![(0, 3, told)];
    history
}

#[test]
fn a_cold_server_bears_what_the_settings_allow_it_and_the_slack() {
    assert_eq!(broken(&started(21, 500)), []);
    assert_eq!(rules(&started(22, 500)), [Rule::Cold]);
    // One that had not been told of the start doesn't count, and one that was told in the midst does from then on.
    assert_eq!(broken(&started(22, 2_000)), []);
    // 14 of 22 are under two thirds, 15 are more.
    assert_eq!(broken(&started(22, 1_008)), []);
    assert_eq!(rules(&started(22, 1_007)), [Rule::Cold]);
    // Warm, it may have any number.
    let mut warm = started(100, 500);
    warm.starts = vec![(3, -30_000_000)];
    assert_eq!(broken(&warm), []);
    // Halfway it bears 49.5, and 14 and two more: 65 in all.
    warm.starts = vec![(3, -15_000_000)];
    assert_eq!(rules(&warm), [Rule::Cold]);
    assert_eq!(broken(&History { starts: vec![(3, -15_000_000)], ..started(65, 500) }), []);
    assert_eq!(cold_peaks(&started(17, 500)), [(3, 17, 17)]);
    let load = cold_load(&started(17, 500)).expect("one was cold");
    assert!((load - 17.0 / 21.0).abs() < 0.001, "{load}");
    assert_eq!(cold_load(&good()), None);
}
