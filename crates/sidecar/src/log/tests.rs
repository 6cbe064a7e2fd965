use super::*;

#[test]
fn drops_lines_over_the_rate_and_reports_their_number_with_the_next() {
    let (mut rate, now) = (RateLimit::default(), Instant::now());
    for _ in 0..MAX_LINES {
        assert_eq!(rate.admit(now), Some(0));
    }
    assert_eq!(rate.admit(now), None);
    assert_eq!(rate.admit(now), None);
    assert_eq!(rate.admit(now + WINDOW), Some(2));
    assert_eq!(rate.admit(now + WINDOW), Some(0));
}
