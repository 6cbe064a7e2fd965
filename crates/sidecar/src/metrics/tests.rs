use super::*;

#[test]
fn reports_counters_by_label() {
    SendDenial::Completed.count();
    SendDenial::Completed.count();
    RuleViolation::Unanswered.count();
    let text = to_prometheus_text();
    assert!(
        text.contains("lotusmoor_sidecar_sends_denied_total{reason=\"request_completed\"} 2\n"),
        "{text}"
    );
    assert!(
        text.contains("lotusmoor_sidecar_sends_denied_total{reason=\"deadline_exceeded\"} 0\n"),
        "{text}"
    );
    assert!(text.contains("lotusmoor_sidecar_rule_violations_total{rule=\"unanswered\"} 1\n"), "{text}");
    assert_eq!((SendDenial::Completed.total(), RuleViolation::Deadline.total()), (2, 0));
}
