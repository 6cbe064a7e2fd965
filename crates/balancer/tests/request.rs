//! Life cycle of a request: deadline, streaming, events out of order, abandonment.

mod common;
use common::*;
use lotusmoor_balancer::*;

#[test]
fn every_request_is_answered_before_its_deadline() {
    for class in [IDEMPOTENT, WITH_KEY, NON_IDEMPOTENT] {
        let mut harness = Harness::new(settings(), 2, 1);
        let (id, _) = harness.request_with(class, 700 * MS, None, None);
        let deadline = START + 700 * MS;
        let mut actions = Vec::new();
        while harness.now < deadline {
            actions.extend(harness.advance(5 * MS));
        }
        assert!(is_rejected(&actions, id) || is_failed(&actions, id), "class {class}");
        assert!(targets(&harness.advance(3000 * MS)).is_empty());
    }
}

#[test]
fn rejects_request_past_its_deadline_without_sending_it() {
    for time_left in [0, -5, 1, 10] {
        let mut harness = Harness::new(settings(), 2, 1);
        let (id, actions) = harness.request_with(NON_IDEMPOTENT, time_left * MS, None, None);
        assert!(is_rejected(&actions, id) && targets(&actions).is_empty(), "{time_left} ms left");
    }
}

#[test]
fn started_stream_has_no_deadline_and_gets_no_final_answer() {
    let mut harness = Harness::new(settings(), 2, 1);
    let (id, _) = harness.request_with(IDEMPOTENT, 500 * MS, None, None);
    harness.handle(Event::StreamStarted { request: id, attempt: 0 });
    let sent = harness.in_flight.remove(&(id, 0)).expect("sent");
    assert!(!harness.advance(5000 * MS).iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))));
    let end = AttemptEnd {
        request: id,
        attempt: 0,
        endpoint: sent.endpoint,
        outcome: Outcome::Reset,
        duration: 5000 * MS,
        request_completed: true,
        body_consumed: false,
        load_report: LoadReport::default(),
    };
    assert!(
        !harness
            .handle(Event::AttemptEnded(end))
            .iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)))
    );
}

#[test]
fn unknown_and_repeated_events_change_nothing() {
    let mut harness = Harness::new(settings(), 2, 1);
    let (id, _) = harness.request(IDEMPOTENT);
    let end = AttemptEnd {
        request: id,
        attempt: 0,
        endpoint: harness.in_flight[&(id, 0)].endpoint,
        outcome: Outcome::Error,
        duration: 1,
        request_completed: false,
        body_consumed: false,
        load_report: LoadReport::default(),
    };
    for event in [
        Event::Timer(99),
        Event::RequestAbandoned(77),
        Event::StreamStarted { request: 77, attempt: 3 },
        Event::AttemptEnded(AttemptEnd { request: 77, ..end }),
        Event::AttemptEnded(AttemptEnd { attempt: 5, ..end }),
        Event::AttemptEnded(AttemptEnd { endpoint: 50, ..end }),
        Event::HealthCheckEnded {
            endpoint: 9,
            outcome: Outcome::Ok,
            duration: 1,
            load_report: LoadReport::default(),
        },
        Event::PeerMessage { from: 3, bytes: vec![1, 2] },
    ] {
        let description = format!("{event:?}");
        assert!(harness.handle(event).is_empty(), "{description}");
    }
    harness.handle(Event::AttemptEnded(end));
    assert!(harness.handle(Event::AttemptEnded(end)).is_empty());
}

#[test]
fn abandoned_request_cancels_its_attempt() {
    let mut harness = Harness::new(settings(), 2, 1);
    let (id, _) = harness.request(IDEMPOTENT);
    assert_eq!(harness.handle(Event::RequestAbandoned(id)), [Action::Cancel { request: id, attempt: 0 }]);
    assert!(harness.end_attempt(id, 0, Outcome::Cancelled).is_empty());
}
