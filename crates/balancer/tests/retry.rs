//! Retries, and final answers after failed attempts.

mod common;
use common::*;
use lotusmoor_balancer::*;

// Without `Retry-After`, all rejected clients retry at once and repeatedly.
#[test]
fn rejection_carries_retry_after_where_allowed() {
    for allowed in [false, true] {
        let mut settings = settings();
        settings.limits.sends_retry_after = allowed;
        let mut harness = Harness::new(settings, 1, 1);
        let retry_after_values = |actions: Vec<Action>| {
            let retry_after = |a: &Action| {
                if let Action::Reject { retry_after, .. } = a { Some(*retry_after) } else { None }
            };
            actions.iter().filter_map(retry_after).collect::<Vec<_>>()
        };
        let at_limits: Vec<_> =
            (0..9).flat_map(|_| retry_after_values(harness.request(NON_IDEMPOTENT).1)).collect();
        let at_limits = [at_limits, retry_after_values(harness.advance(500 * MS))].concat();
        for (id, attempt) in harness.in_flight.keys().copied().collect::<Vec<_>>() {
            harness.end_attempt(id, attempt, Outcome::ConnectFailed);
        }
        harness.request(NON_IDEMPOTENT);
        let circuits_open = retry_after_values(harness.advance(500 * MS));
        assert!(!at_limits.is_empty() && !circuits_open.is_empty());
        let is_valid = |h: &Micros| if allowed { *h > 0 && *h <= 2000 * MS } else { *h == 0 };
        assert!(at_limits.iter().chain(&circuits_open).all(is_valid), "{at_limits:?} {circuits_open:?}");
    }
}

#[test]
fn retry_budget_bounds_retries() {
    let mut harness = Harness::new(settings(), 12, 1);
    serve_requests(&mut harness, 20);
    let before: AttemptNumber = harness.attempts_sent.values().sum();
    for _ in 0..30 {
        harness.request(IDEMPOTENT);
        while let Some(&(id, attempt)) = harness.in_flight.keys().next() {
            harness.end_attempt(id, attempt, Outcome::Rejected);
        }
        harness.advance(300 * MS);
        while let Some(&(id, attempt)) = harness.in_flight.keys().next() {
            harness.end_attempt(id, attempt, Outcome::Rejected);
            harness.advance(300 * MS);
        }
    }
    let attempts = harness.attempts_sent.values().sum::<AttemptNumber>() - before;
    assert!((15..=37).contains(&attempts), "{attempts} attempts for 30 requests");
}

// The connection for a retry may be established long after the retry was decided on, when endpoints no longer
// deduplicate its key.
#[test]
fn retry_with_key_carries_idempotency_window() {
    let windows = |actions: &[Action]| -> Vec<_> {
        let window = |a: &Action| {
            if let Action::Send { idempotency_window, .. } = a { Some(*idempotency_window) } else { None }
        };
        actions.iter().filter_map(window).collect()
    };
    for class in [IDEMPOTENT, WITH_KEY, NON_IDEMPOTENT] {
        // Two endpoints in one cell, which deduplicate each other's keys.
        let mut harness = Harness::new(settings(), 2, 7);
        let (id, actions) = harness.request(class);
        assert_eq!(windows(&actions), [None], "nothing has been executed");
        let started_at = harness.now;
        harness.advance(300 * MS);
        harness.end_attempt(id, 0, Outcome::ConnectFailed);
        assert_eq!(windows(&harness.advance(200 * MS)), [None], "nothing has been executed yet");
        let sent_at = harness.in_flight[&(id, 1)].sent_at;
        harness.advance(300 * MS);
        harness.end_attempt(id, 1, Outcome::Reset);
        let retries = windows(&harness.advance(200 * MS));
        match class {
            WITH_KEY => {
                // Counted from the attempt that may have been executed; the one before it was not.
                let left = sent_at + 1200 * MS - harness.settings.tick - harness.in_flight[&(id, 2)].sent_at;
                assert!(sent_at > started_at && left > 0);
                assert_eq!(retries, [Some(left)]);
            }
            IDEMPOTENT => assert_eq!(retries, [None]),
            _ => assert_eq!(retries, []),
        }
    }
}

#[test]
fn backoff_grows_between_bounds_and_is_jittered() {
    let mut backoffs = [Vec::new(), Vec::new()];
    for seed in 0..40 {
        let mut settings = settings();
        settings.limits.max_attempts = 5;
        let mut harness = Harness::new(settings, 8, seed);
        let (id, _) = harness.request(IDEMPOTENT);
        for (n, backoffs) in backoffs.iter_mut().enumerate() {
            let failed_at = harness.now;
            harness.end_attempt(id, n as AttemptNumber, Outcome::Error);
            harness.advance(200 * MS);
            let backoff = harness.in_flight[&(id, n as AttemptNumber + 1)].sent_at - failed_at;
            assert!((1000 * MS / 64..=1000 * MS / 8 + 5 * MS).contains(&backoff), "{backoff}");
            backoffs.push(backoff);
        }
    }
    let mean = |b: &[Micros]| b.iter().sum::<Micros>() / b.len() as Micros;
    assert!(mean(&backoffs[1]) > mean(&backoffs[0]) * 5 / 4);
    let distinct: std::collections::BTreeSet<_> = backoffs[1].iter().collect();
    assert!(distinct.len() > 20);
}

#[test]
fn time_outs_and_backoffs_fit_time_left() {
    for time_left in [200, 700, 2000, 3500] {
        let mut harness = Harness::new(settings(), 4, 3);
        let (id, _) = harness.request_with(IDEMPOTENT, time_left * MS, None, Some(20 * MS));
        let first = harness.in_flight[&(id, 0)].timeout;
        let usable = time_left * MS - 10 * MS;
        let fits = (0..3)
            .any(|r| (r + 1) * first + r * 125 * MS <= usable && (r + 2) * first > usable - 125 * 3 * MS);
        assert!(first > 0 && fits, "{time_left}: {first}");
    }
    let mut harness = Harness::new(settings(), 4, 3);
    let (id, _) = harness.request_with(NON_IDEMPOTENT, 3000 * MS, None, Some(20 * MS));
    assert_eq!(
        harness.in_flight[&(id, 0)].timeout,
        2990 * MS,
        "the only attempt of a non-idempotent request has all of the time left"
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

// Every class with every outcome of its first attempt.
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
            let mut actions = harness.end_attempt(id, 0, outcome);
            actions.extend(harness.advance(200 * MS));
            if class == NON_IDEMPOTENT && !outcome.was_never_executed() {
                assert!(is_failed(&actions, id) && targets(&actions).is_empty(), "{outcome:?}");
                continue;
            }
            let next = targets(&actions);
            assert_eq!(next.len(), 1, "{class} {outcome:?}");
            if class == WITH_KEY && !outcome.was_never_executed() {
                assert_eq!(next[0] / 2, targets(&first)[0] / 2, "stays in its cell after {outcome:?}");
            }
        }
    }
}

#[test]
fn retries_with_key_end_when_deduplication_ends() {
    let mut settings = settings();
    settings.classes[WITH_KEY].late_value_share = 0.5;
    let mut harness = Harness::new(settings, 1, 5);
    let (id, _) = harness.request(WITH_KEY);
    harness.advance(1190 * MS);
    let mut actions = harness.end_attempt(id, 0, Outcome::Error);
    actions.extend(harness.advance(1500 * MS));
    assert!(targets(&actions).is_empty());
    assert!(is_failed(&actions, id), "it may have been executed, so it cannot be rejected");
}

// A rejected client retries at `Retry-After` or later, so its key must still be deduplicated then.
#[test]
fn rejects_possibly_executed_request_only_while_its_key_is_deduplicated() {
    for (ttl, rejects) in [(1200, true), (810, false), (500, false)] {
        let mut settings = settings();
        settings.classes[WITH_KEY].idempotency =
            Idempotency::WithKey { scope: DedupScope::All, ttl: ttl * MS };
        settings.limits.max_attempts = 1;
        let mut harness = Harness::new(settings, 2, 1);
        let (id, _) = harness.request(WITH_KEY);
        harness.advance(800 * MS);
        let actions = harness.end_attempt(id, 0, Outcome::Error);
        assert_eq!((is_rejected(&actions, id), is_failed(&actions, id)), (rejects, !rejects), "{ttl}");
    }
}

#[test]
fn attempts_of_request_are_limited() {
    let mut harness = Harness::new(settings(), 8, 2);
    let (id, _) = harness.request(IDEMPOTENT);
    let mut actions = Vec::new();
    for attempt in 0..3 {
        actions.extend(harness.end_attempt(id, attempt, Outcome::Error));
        actions.extend(harness.advance(200 * MS));
    }
    assert_eq!(harness.attempts_sent[&id], 3);
    assert!(is_rejected(&actions, id));
}

#[test]
fn answers_at_once_when_body_is_consumed() {
    for (outcome, rejects) in [(Outcome::ConnectFailed, true), (Outcome::Reset, false)] {
        let mut harness = Harness::new(settings(), 2, 1);
        let (request, actions) = harness.request(NON_IDEMPOTENT);
        let endpoint = targets(&actions)[0];
        let (duration, request_completed, body_consumed, load_report) =
            (1, false, true, LoadReport::default());
        let end = AttemptEnd {
            request,
            attempt: 0,
            endpoint,
            outcome,
            duration,
            request_completed,
            body_consumed,
            load_report,
        };
        let actions = harness.handle(Event::AttemptEnded(end));
        assert_eq!((is_rejected(&actions, request), is_failed(&actions, request)), (rejects, !rejects));
    }
}
