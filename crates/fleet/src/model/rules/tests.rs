//! Tests of each rule.

use super::*;

const KEYED: Idempotency = Idempotency::WithKey { scope: DedupScope::Zone, ttl: 1000 };

fn sent(at: Micros, zone: usize, open: bool, may_have_run: bool) -> Sent {
    Sent { zone, cell: 0, at, open, may_have_run }
}

fn check(
    idempotency: Idempotency,
    earlier: &[Sent],
    change: impl Fn(&mut SendCheck),
) -> Option<&'static str> {
    let to = sent(500, 1, true, true);
    let mut check = SendCheck {
        idempotency,
        earlier,
        to,
        finished: false,
        listed: true,
        unavailable_since: None,
        drain_grace: 100,
        max_attempts: 3,
        may_hedge: false,
    };
    change(&mut check);
    check_send(&check)
}

#[test]
fn detects_violations_of_each_send_rule() {
    let (out, ran, never) = (sent(0, 1, true, true), sent(0, 1, false, true), sent(0, 1, false, false));
    assert_eq!(check(Idempotency::Idempotent, &[ran], |_| {}), None);
    assert_eq!(check(Idempotency::NonIdempotent, &[never], |_| {}), None);
    assert_eq!(check(KEYED, &[ran], |_| {}), None);
    assert_eq!(check(Idempotency::NonIdempotent, &[ran], |_| {}), Some("a repeat of what may have run"));
    assert_eq!(check(KEYED, &[sent(0, 2, false, true)], |_| {}), Some("a repeat of what may have run"));
    assert_eq!(check(KEYED, &[sent(-600, 1, false, true)], |_| {}), Some("a repeat of what may have run"));
    assert_eq!(check(Idempotency::Idempotent, &[out], |_| {}), Some("a second attempt while one is out"));
    assert_eq!(check(Idempotency::Idempotent, &[ran; 3], |_| {}), Some("more attempts than allowed"));
    assert_eq!(
        check(Idempotency::Idempotent, &[], |c| c.listed = false),
        Some("a send to a server that was never listed")
    );
    assert_eq!(
        check(Idempotency::Idempotent, &[], |c| c.finished = true),
        Some("a send for a request that is over")
    );
    assert_eq!(check(Idempotency::Idempotent, &[], |c| c.unavailable_since = Some(400)), None);
    let late = check(Idempotency::Idempotent, &[], |c| c.unavailable_since = Some(399));
    assert_eq!(late, Some("a send to a server that drains or is gone"));
}

#[test]
fn rejection_requires_that_a_retry_is_safe() {
    let all = Idempotency::WithKey { scope: DedupScope::All, ttl: 1000 };
    let (ran, never) = (sent(0, 1, false, true), sent(0, 1, false, false));
    assert_eq!(check_rejection(999, all, &[ran]), None);
    assert!(check_rejection(1000, all, &[ran]).is_some());
    assert!(check_rejection(1, KEYED, &[ran]).is_some());
    assert!(check_rejection(1, Idempotency::NonIdempotent, &[ran]).is_some());
    assert_eq!(check_rejection(1, Idempotency::NonIdempotent, &[never]), None);
}

#[test]
fn overload_is_a_violation_above_two_thirds_informed_work() {
    assert_eq!([0.0, 0.5, 2.0 / 3.0].map(check_overload), [None; 3]);
    assert_eq!([0.667, 1.0].map(check_overload), [Some("a cold server pushed over"); 2]);
}
