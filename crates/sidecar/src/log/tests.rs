use super::*;

#[test]
fn lines_beyond_the_rate_are_left_out_and_counted_with_the_next_one() {
    let (mut rate, now) = (RateLimit::default(), Instant::now());
    for _ in 0..MAX_LINES {
        assert_eq!(rate.admit(now), Some(0));
    }
    assert_eq!(rate.admit(now), None);
    assert_eq!(rate.admit(now), None);
    assert_eq!(rate.admit(now + WINDOW), Some(2));
    assert_eq!(rate.admit(now + WINDOW), Some(0));
}
