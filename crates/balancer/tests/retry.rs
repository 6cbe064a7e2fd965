//! Retries and final answers.

mod common;
use common::*;
use lotusmoor_balancer::*;

// Without `Retry-After` all clients come back at once, and several times.
#[test]
fn rejection_carries_retry_after_where_allowed() {
    for allowed in [false, true] {
        let mut set = settings();
        set.limits.sends_retry_after = allowed;
        let mut harness = Harness::new(set, 1, 1);
        let all_refused = |actions: Vec<Action>| {
            let retry_after = |a: &Action| {
                if let Action::Reject { retry_after, .. } = a { Some(*retry_after) } else { None }
            };
            actions.iter().filter_map(retry_after).collect::<Vec<_>>()
        };
        let waited: Vec<_> = (0..9).flat_map(|_| all_refused(harness.request(NON_IDEMPOTENT).1)).collect();
        let waited = [waited, all_refused(harness.advance(500 * MS))].concat();
        for (id, attempt) in harness.in_flight.keys().copied().collect::<Vec<_>>() {
            harness.end_attempt(id, attempt, Outcome::ConnectFailed);
        }
        harness.request(NON_IDEMPOTENT);
        let opened = all_refused(harness.advance(500 * MS));
        assert!(!waited.is_empty() && !opened.is_empty());
        let fits = |h: &Micros| if allowed { *h > 0 && *h <= 2000 * MS } else { *h == 0 };
        assert!(waited.iter().chain(&opened).all(fits), "{waited:?} {opened:?}");
    }
}

#[test]
fn retry_budget_bounds_retries() {
    let mut harness = Harness::new(settings(), 12, 1);
    serve_requests(&mut harness, 20);
    let before: AttemptNumber = harness.attempts_sent.values().sum();
    for _ in 0..30 {
        harness.request(IDEMPOTENT);
        while let Some(&(id, n)) = harness.in_flight.keys().next() {
            harness.end_attempt(id, n, Outcome::Rejected);
        }
        harness.advance(300 * MS);
        while let Some(&(id, n)) = harness.in_flight.keys().next() {
            harness.end_attempt(id, n, Outcome::Rejected);
            harness.advance(300 * MS);
        }
    }
    let all = harness.attempts_sent.values().sum::<AttemptNumber>() - before;
    assert!((15..=37).contains(&all), "{all} attempts for 30 requests");
}

// A connection may be established long after the send was decided, when endpoints deduplicate the key no
// more.
#[test]
fn retry_with_key_carries_its_idempotency_window() {
    let windows = |actions: &[Action]| -> Vec<_> {
        let of = |a: &Action| {
            if let Action::Send { idempotency_window: window, .. } = a { Some(*window) } else { None }
        };
        actions.iter().filter_map(of).collect()
    };
    for class in [IDEMPOTENT, WITH_KEY, NON_IDEMPOTENT] {
        // One cell, whose endpoints share their keys.
        let mut harness = Harness::new(settings(), 2, 7);
        let (id, actions) = harness.request(class);
        assert_eq!(windows(&actions), [None], "nothing has run");
        let began = harness.now;
        harness.advance(300 * MS);
        harness.end_attempt(id, 0, Outcome::ConnectFailed);
        assert_eq!(windows(&harness.advance(200 * MS)), [None], "nothing has run yet");
        let sent = harness.in_flight[&(id, 1)].sent_at;
        harness.advance(300 * MS);
        harness.end_attempt(id, 1, Outcome::Reset);
        let repeats = windows(&harness.advance(200 * MS));
        match class {
            WITH_KEY => {
                // From the attempt that may have run; the one before it did not.
                let left = sent + 1200 * MS - harness.settings.tick - harness.in_flight[&(id, 2)].sent_at;
                assert!(sent > began && left > 0);
                assert_eq!(repeats, [Some(left)]);
            }
            IDEMPOTENT => assert_eq!(repeats, [None]),
            _ => assert_eq!(repeats, []),
        }
    }
}

#[test]
fn backoff_grows_between_bounds_and_is_jittered() {
    let mut waits = [Vec::new(), Vec::new()];
    for seed in 0..40 {
        let mut set = settings();
        set.limits.max_attempts = 5;
        let mut harness = Harness::new(set, 8, seed);
        let (id, _) = harness.request(IDEMPOTENT);
        for (n, seen) in waits.iter_mut().enumerate() {
            let failed = harness.now;
            harness.end_attempt(id, n as AttemptNumber, Outcome::Error);
            harness.advance(200 * MS);
            let wait = harness.in_flight[&(id, n as AttemptNumber + 1)].sent_at - failed;
            assert!((1000 * MS / 64..=1000 * MS / 8 + 5 * MS).contains(&wait), "{wait}");
            seen.push(wait);
        }
    }
    let mean = |w: &[Micros]| w.iter().sum::<Micros>() / w.len() as Micros;
    assert!(mean(&waits[1]) > mean(&waits[0]) * 5 / 4);
    let different: std::collections::BTreeSet<_> = waits[1].iter().collect();
    assert!(different.len() > 20);
}

#[test]
fn time_outs_and_backoffs_fit_the_time_left() {
    for left in [200, 700, 2000, 3500] {
        let mut harness = Harness::new(settings(), 4, 3);
        let (id, _) = harness.request_with(IDEMPOTENT, left * MS, None, Some(20 * MS));
        let first = harness.in_flight[&(id, 0)].timeout;
        let usable = left * MS - 10 * MS;
        let fits = (0..3)
            .any(|r| (r + 1) * first + r * 125 * MS <= usable && (r + 2) * first > usable - 125 * 3 * MS);
        assert!(first > 0 && fits, "{left}: {first}");
    }
    let mut harness = Harness::new(settings(), 4, 3);
    let (id, _) = harness.request_with(NON_IDEMPOTENT, 3000 * MS, None, Some(20 * MS));
    assert_eq!(
        harness.in_flight[&(id, 0)].timeout,
        2990 * MS,
        "an unsafe request gets no second try for a time-out"
    );
}

#[test]
fn retries_prefer_endpoint_not_yet_tried() {
    for seed in 0..20 {
        let mut harness = Harness::new(settings(), 3, seed);
        let (id, first) = harness.request(IDEMPOTENT);
        harness.end_attempt(id, 0, Outcome::Error);
        let second = targets(&harness.advance(200 * MS));
        harness.end_attempt(id, 1, Outcome::Error);
        let third = targets(&harness.advance(200 * MS));
        let mut all = [targets(&first)[0], second[0], third[0]];
        all.sort_unstable();
        assert_eq!(all, [0, 1, 2]);
    }
}

/// Each combination of filter, class and outcome: what follows a first attempt that ended so.
#[test]
fn filters_retries_by_class_and_outcome() {
    use Outcome::*;
    for outcome in
        [Error, Rejected, TimedOut, ConnectFailed, Reset, ReusedConnectionReset, Cancelled, NotSent]
    {
        for class in [IDEMPOTENT, WITH_KEY, NON_IDEMPOTENT] {
            let mut harness = Harness::new(settings(), 6, 5);
            let (id, first) = harness.request(class);
            harness.advance(10 * MS);
            let mut after = harness.end_attempt(id, 0, outcome);
            after.extend(harness.advance(200 * MS));
            if class == NON_IDEMPOTENT && !outcome.was_never_executed() {
                assert!(is_failed(&after, id) && targets(&after).is_empty(), "{outcome:?}");
                continue;
            }
            let next = targets(&after);
            assert_eq!(next.len(), 1, "{class} {outcome:?}");
            if class == WITH_KEY && !outcome.was_never_executed() {
                assert_eq!(next[0] / 2, targets(&first)[0] / 2, "stays in its cell after {outcome:?}");
            }
        }
    }
}

#[test]
fn retries_with_key_end_with_the_deduplication_time() {
    let mut set = settings();
    set.classes[WITH_KEY].late_value_share = 0.5;
    let mut harness = Harness::new(set, 1, 5);
    let (id, _) = harness.request(WITH_KEY);
    harness.advance(1190 * MS);
    let mut after = harness.end_attempt(id, 0, Outcome::Error);
    after.extend(harness.advance(1500 * MS));
    assert!(targets(&after).is_empty());
    assert!(is_failed(&after, id), "it may have run, so it cannot be rejected");
}

// A client that is told that a retry is harmless comes back at the time named, if not later.
#[test]
fn rejects_possible_execution_only_while_its_key_is_deduplicated() {
    for (ttl, harmless) in [(1200, true), (810, false), (500, false)] {
        let mut set = settings();
        set.classes[WITH_KEY].idempotency = Idempotency::WithKey { scope: DedupScope::All, ttl: ttl * MS };
        set.limits.max_attempts = 1;
        let mut harness = Harness::new(set, 2, 1);
        let (id, _) = harness.request(WITH_KEY);
        harness.advance(800 * MS);
        let actions = harness.end_attempt(id, 0, Outcome::Error);
        assert_eq!((is_rejected(&actions, id), is_failed(&actions, id)), (harmless, !harmless), "{ttl}");
    }
}

#[test]
fn attempts_are_bounded() {
    let mut harness = Harness::new(settings(), 8, 2);
    let (id, _) = harness.request(IDEMPOTENT);
    let mut actions = Vec::new();
    for n in 0..3 {
        actions.extend(harness.end_attempt(id, n, Outcome::Error));
        actions.extend(harness.advance(200 * MS));
    }
    assert_eq!(harness.attempts_sent[&id], 3);
    assert!(is_rejected(&actions, id));
}

#[test]
fn answers_at_once_when_body_is_consumed() {
    for (outcome, refuses) in [(Outcome::ConnectFailed, true), (Outcome::Reset, false)] {
        let mut harness = Harness::new(settings(), 2, 1);
        let (request, actions) = harness.request(NON_IDEMPOTENT);
        let endpoint = targets(&actions)[0];
        let (took, settled, spent, load) = (1, false, true, LoadReport::default());
        let end = AttemptEnd {
            request,
            attempt: 0,
            endpoint,
            outcome,
            duration: took,
            request_completed: settled,
            body_consumed: spent,
            load_report: load,
        };
        let actions = harness.handle(Event::AttemptEnded(end));
        assert_eq!((is_rejected(&actions, request), is_failed(&actions, request)), (refuses, !refuses));
    }
}
