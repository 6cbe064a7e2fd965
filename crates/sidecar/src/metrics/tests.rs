use super::*;

#[test]
fn what_is_counted_stands_in_the_text_by_its_reason() {
    Denied::Settled.count();
    Denied::Settled.count();
    Violation::Lost.count();
    let text = text();
    assert!(text.contains("lotusmoor_sidecar_sends_denied_total{reason=\"settled\"} 2\n"), "{text}");
    assert!(text.contains("lotusmoor_sidecar_sends_denied_total{reason=\"time_over\"} 0\n"), "{text}");
    assert!(text.contains("lotusmoor_sidecar_rule_violations_total{rule=\"lost\"} 1\n"), "{text}");
    assert_eq!((Denied::Settled.total(), Violation::Deadline.total()), (2, 0));
}
