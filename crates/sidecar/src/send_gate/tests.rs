use super::*;

/// A send of a request that the endpoint permits, with the given time limits.
fn send(
    lifecycle: &Rc<RequestLifecycle>,
    attempt_deadline: Option<Instant>,
    write_by: Option<Instant>,
) -> Rc<GatedSend> {
    GatedSend::new(SendPermit {
        lifecycle: Rc::clone(lifecycle),
        endpoint_permits: Box::new(|| true),
        attempt_deadline,
        write_by,
    })
}

fn lifecycle() -> Rc<RequestLifecycle> {
    RequestLifecycle::new(b"1", None, false)
}

#[tokio::test]
async fn denies_send_with_reason_until_it_has_begun() {
    let (now, hour) = (Instant::now(), Duration::from_secs(3600));
    assert!(send(&lifecycle(), Some(now + hour), Some(now + hour)).may_write());
    let past_deadline = send(&lifecycle(), Some(now), None);
    assert!(!past_deadline.may_write());
    assert_eq!(past_deadline.denial(), Some(SendDenial::DeadlineExceeded));
    let past_write_by = send(&lifecycle(), Some(now + hour), Some(now));
    assert!(!past_write_by.may_write());
    assert_eq!(past_write_by.denial(), Some(SendDenial::IdempotencyWindowExpired));
    let completed = lifecycle();
    let late = send(&completed, None, None);
    completed.complete();
    assert!(!late.may_write());
    assert_eq!(late.denial(), Some(SendDenial::Completed));
    let ended = send(&lifecycle(), None, None);
    ended.end();
    assert!(!ended.may_write(), "a send that ended before its first byte may not begin");
    let endpoint = Rc::new(Cell::new(false));
    let permits = Rc::clone(&endpoint);
    let permit = SendPermit {
        lifecycle: lifecycle(),
        endpoint_permits: Box::new(move || permits.get()),
        attempt_deadline: None,
        write_by: None,
    };
    let revoked = GatedSend::new(permit);
    assert!(!revoked.may_write());
    assert_eq!(revoked.denial(), Some(SendDenial::PermissionRevoked));
    endpoint.set(true);
    assert!(revoked.may_write() && revoked.denial().is_none());
    revoked.begin();
    endpoint.set(false);
    assert!(revoked.may_write());
}

#[tokio::test]
async fn counts_each_rule_violation_when_a_send_begins() {
    let violation_totals = || {
        [
            RuleViolation::AfterCompletion,
            RuleViolation::NotPermitted,
            RuleViolation::Duplicate,
            RuleViolation::Deadline,
        ]
        .map(RuleViolation::total)
    };
    assert_eq!(violation_totals(), [0; 4]);
    let completed = lifecycle();
    completed.complete();
    send(&completed, None, None).begin();
    assert_eq!(violation_totals(), [1, 0, 0, 0]);
    let permit = SendPermit {
        lifecycle: lifecycle(),
        endpoint_permits: Box::new(|| false),
        attempt_deadline: None,
        write_by: None,
    };
    GatedSend::new(permit).begin();
    assert_eq!(violation_totals(), [1, 1, 0, 0]);
    let twice = lifecycle();
    let (one, two) = (send(&twice, None, None), send(&twice, None, None));
    one.begin();
    two.begin();
    assert_eq!(violation_totals(), [1, 1, 1, 0]);
    one.end();
    two.end();
    let third = send(&twice, None, None);
    third.begin();
    assert_eq!(violation_totals(), [1, 1, 1, 0], "the earlier sends have ended");
    let with_deadline = lifecycle();
    with_deadline.set_earliest_deadline(Instant::now() + Duration::from_secs(1));
    let timed = send(&with_deadline, None, None);
    timed.advertise_wait(Duration::from_millis(1100));
    timed.begin();
    assert_eq!(violation_totals(), [1, 1, 1, 0], "within the slack");
    let timed = send(&with_deadline, None, None);
    timed.advertise_wait(Duration::from_millis(1300));
    timed.begin();
    assert_eq!(violation_totals()[3], 1);
    // An attempt with a streamed body may last long after its last byte, but the client does not wait longer for
    // that: the advertised wait follows the client's earliest deadline.
    let streamed = RequestLifecycle::new(b"1", None, true);
    let (now, wait, body) = (Instant::now(), Duration::from_secs(1), Duration::from_secs(9));
    streamed.set_earliest_deadline(now + wait);
    let left = streamed.advertised_wait(now + body);
    assert!(left <= wait && left > wait / 2, "{left:?}");
    let timed = send(&streamed, None, None);
    timed.advertise_wait(Duration::from_secs(2));
    timed.begin();
    assert_eq!(violation_totals()[3], 2);
}

// The rest of the body may already be in the kernel's receive queue, so the client may have stopped waiting.
#[tokio::test]
async fn does_not_send_streamed_request_after_earliest_deadline() {
    let streamed = RequestLifecycle::new(b"1", None, true);
    streamed.set_earliest_deadline(Instant::now() - Duration::from_millis(1));
    let late = send(&streamed, Some(Instant::now() + Duration::from_secs(9)), None);
    assert!(!late.may_write());
    assert_eq!(late.denial(), Some(SendDenial::DeadlineExceeded));
    streamed.set_earliest_deadline(Instant::now() + Duration::from_secs(9));
    assert!(late.may_write(), "the last byte has arrived and moved the deadline");
}

// The process may be held up between the head of an attempt, which says how long the client waits, and its first byte.
#[tokio::test]
async fn denies_send_whose_advertised_wait_is_out_of_date() {
    let lifecycle = lifecycle();
    lifecycle.set_earliest_deadline(Instant::now() + Duration::from_secs(1));
    let held_up = send(&lifecycle, None, None);
    held_up.advertise_wait(Duration::from_secs(1));
    assert!(held_up.may_write());
    std::thread::sleep(DEADLINE_SLACK + Duration::from_millis(1));
    assert!(!held_up.may_write(), "the endpoint would wait for longer than the client");
    held_up.advertise_wait(lifecycle.time_left().expect("a deadline"));
    assert!(held_up.may_write());
}
