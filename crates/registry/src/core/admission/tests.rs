//! Admission of calls under overload.

use super::*;

#[test]
fn burst_of_callers_is_admitted_at_the_configured_rate() {
    let mut admission = Admission::new(500.0, 500.0, 30 * SECOND);
    let mut arrivals: Vec<Micros> = vec![0; 3000];
    let (mut admitted, mut calls, mut last_call) = (Vec::new(), 0, 0);
    while !arrivals.is_empty() {
        arrivals.sort_unstable();
        let now = arrivals.remove(0);
        calls += 1;
        last_call = now;
        match admission.admit(now) {
            AdmissionDecision::Admit => admitted.push(now),
            AdmissionDecision::RetryAfter(retry_after) => arrivals.push(now + retry_after),
        }
    }
    assert_eq!(admitted.len(), 3000);
    assert!(last_call < 6 * SECOND, "last call at {last_call} us");
    assert!(calls < 6600, "few callers need a third attempt: {calls} calls");
    for at in &admitted {
        let within_second = admitted.iter().filter(|a| (*at..*at + SECOND).contains(*a)).count();
        assert!(within_second <= 1001, "{within_second} calls admitted within a second");
    }
}

#[test]
fn retry_after_is_bounded() {
    let mut admission = Admission::new(1.0, 1.0, 5 * SECOND);
    for _ in 0..1000 {
        if let AdmissionDecision::RetryAfter(retry_after) = admission.admit(0) {
            assert!((1000..=5 * SECOND).contains(&retry_after));
        }
    }
}
