//! Admission of calls under overload.

use super::*;

#[test]
fn burst_of_callers_is_answered_at_the_configured_rate() {
    let mut admission = Admission::new(500.0, 500.0, 30 * SECOND);
    let mut coming: Vec<Micros> = vec![0; 3000];
    let (mut answered, mut calls, mut last) = (Vec::new(), 0, 0);
    while !coming.is_empty() {
        coming.sort_unstable();
        let now = coming.remove(0);
        calls += 1;
        last = now;
        match admission.admit(now) {
            AdmissionDecision::Admit => answered.push(now),
            AdmissionDecision::RetryAfter(wait) => coming.push(now + wait),
        }
    }
    assert_eq!(answered.len(), 3000);
    assert!(last < 6 * SECOND, "{last}");
    assert!(calls < 6600, "hardly anyone comes a third time: {calls}");
    for at in &answered {
        let second = answered.iter().filter(|a| (*at..*at + SECOND).contains(*a)).count();
        assert!(second <= 1001, "{second} in a second");
    }
}

#[test]
fn retry_after_is_bounded() {
    let mut admission = Admission::new(1.0, 1.0, 5 * SECOND);
    for _ in 0..1000 {
        if let AdmissionDecision::RetryAfter(wait) = admission.admit(0) {
            assert!((1000..=5 * SECOND).contains(&wait));
        }
    }
}
