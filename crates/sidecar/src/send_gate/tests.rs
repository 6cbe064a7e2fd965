use super::*;

/// A send of that request which the endpoint permits, with other bounds as given.
fn send(life: &Rc<RequestLife>, until: Option<Instant>, write_by: Option<Instant>) -> Rc<GatedSend> {
    GatedSend::new(SendPermit { life: Rc::clone(life), endpoint: Box::new(|| true), until, write_by })
}

fn life() -> Rc<RequestLife> {
    RequestLife::new(b"1", None, false)
}

#[tokio::test]
async fn a_send_is_denied_with_its_reason_and_only_until_it_has_begun() {
    let (now, hour) = (Instant::now(), Duration::from_secs(3600));
    assert!(send(&life(), Some(now + hour), Some(now + hour)).may_write());
    let over = send(&life(), Some(now), None);
    assert!(!over.may_write());
    assert_eq!(over.denied(), Some(Denied::TimeOver));
    let window = send(&life(), Some(now + hour), Some(now));
    assert!(!window.may_write());
    assert_eq!(window.denied(), Some(Denied::RepeatWindowOver));
    let settled = life();
    let late = send(&settled, None, None);
    settled.settle();
    assert!(!late.may_write());
    assert_eq!(late.denied(), Some(Denied::Settled));
    let ended = send(&life(), None, None);
    ended.end();
    assert!(!ended.may_write(), "nothing of it is out, and it is over");
    let endpoint = Rc::new(Cell::new(false));
    let permits = Rc::clone(&endpoint);
    let permit =
        SendPermit { life: life(), endpoint: Box::new(move || permits.get()), until: None, write_by: None };
    let revoked = GatedSend::new(permit);
    assert!(!revoked.may_write());
    assert_eq!(revoked.denied(), Some(Denied::Revoked));
    endpoint.set(true);
    assert!(revoked.may_write() && revoked.denied().is_none());
    revoked.begin();
    endpoint.set(false);
    assert!(revoked.may_write());
}

#[tokio::test]
async fn each_rule_that_is_broken_as_a_send_begins_is_counted() {
    let before = || {
        [Violation::Withdrawn, Violation::Drain, Violation::Duplicate, Violation::Deadline]
            .map(Violation::total)
    };
    assert_eq!(before(), [0; 4]);
    let settled = life();
    settled.settle();
    send(&settled, None, None).begin();
    assert_eq!(before(), [1, 0, 0, 0]);
    let permit = SendPermit { life: life(), endpoint: Box::new(|| false), until: None, write_by: None };
    GatedSend::new(permit).begin();
    assert_eq!(before(), [1, 1, 0, 0]);
    let twice = life();
    let (one, two) = (send(&twice, None, None), send(&twice, None, None));
    one.begin();
    two.begin();
    assert_eq!(before(), [1, 1, 1, 0]);
    one.end();
    two.end();
    let again = send(&twice, None, None);
    again.begin();
    assert_eq!(before(), [1, 1, 1, 0], "the one before is over");
    let due = life();
    due.set_soonest_due(Instant::now() + Duration::from_secs(1));
    let told = send(&due, None, None);
    told.promise(Duration::from_millis(1100));
    told.begin();
    assert_eq!(before(), [1, 1, 1, 0], "within the slack");
    let told = send(&due, None, None);
    told.promise(Duration::from_millis(1300));
    told.begin();
    assert_eq!(before()[3], 1);
    // Its body flows on, and an attempt may last until long after it has come; its client waits no longer for that.
    let flows = RequestLife::new(b"1", None, true);
    let (now, wait, body) = (Instant::now(), Duration::from_secs(1), Duration::from_secs(9));
    flows.set_soonest_due(now + wait);
    let left = flows.time_to_tell(now + body);
    assert!(left <= wait && left > wait / 2, "{left:?}");
    let told = send(&flows, None, None);
    told.promise(Duration::from_secs(2));
    told.begin();
    assert_eq!(before()[3], 2);
}

// The rest of its body may lie in the system's queue; as far as is known its client has stopped waiting.
#[tokio::test]
async fn a_flowing_request_whose_client_may_wait_no_more_is_not_sent() {
    let flows = RequestLife::new(b"1", None, true);
    flows.set_soonest_due(Instant::now() - Duration::from_millis(1));
    let late = send(&flows, Some(Instant::now() + Duration::from_secs(9)), None);
    assert!(!late.may_write());
    assert_eq!(late.denied(), Some(Denied::TimeOver));
    flows.set_soonest_due(Instant::now() + Duration::from_secs(9));
    assert!(late.may_write(), "its last byte has come since");
}
