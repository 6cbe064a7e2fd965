use super::*;

const CONFIGURED: Duration = Duration::from_secs(8);
const MS: Duration = Duration::from_millis(1);

fn configured_timeout() -> (AdaptiveIdleTimeout, Instant) {
    let now = Instant::now();
    (AdaptiveIdleTimeout::new(CONFIGURED, now), now)
}

#[test]
fn idle_timeout_falls_to_the_age_of_losses_and_rises_again() {
    let (mut timeout, now) = configured_timeout();
    for _ in 0..20 {
        timeout.record_new(false);
        timeout.record_reused(now, 40 * MS, false);
        timeout.record_reused(now, 150 * MS, true);
    }
    let lowered = timeout.get(now);
    assert!(lowered > 40 * MS && lowered <= 150 * MS, "{lowered:?}");
    let later = now + RAISE_INTERVAL;
    let higher = timeout.get(later);
    assert!(higher > lowered && higher < lowered * 2, "{higher:?}");
    // Further losses at this age lower the timeout at once; without any it rises up to the configured time.
    for _ in 0..MIN_LOST {
        timeout.record_reused(later, 150 * MS, true);
    }
    assert!(timeout.get(later) <= 150 * MS);
    for step in 2..100 {
        timeout.get(now + RAISE_INTERVAL * step);
    }
    assert_eq!(timeout.get(now + RAISE_INTERVAL * 100), CONFIGURED);
}

// A network that breaks one connection in ten does so whatever their age.
#[test]
fn losses_unrelated_to_age_leave_idle_timeout_unchanged() {
    let (mut timeout, now) = configured_timeout();
    for n in 0..1000 {
        timeout.record_reused(now, 20 * MS, n % 10 == 0);
        timeout.record_reused(now, 200 * MS, n % 10 == 0);
    }
    assert_eq!(timeout.get(now), CONFIGURED);
    for n in 0..1000 {
        timeout.record_new(n % 2 == 0);
        timeout.record_reused(now, 20 * MS, n % 2 == 0);
        timeout.record_reused(now, 200 * MS, n % 2 == 0);
    }
    assert_eq!(timeout.get(now), CONFIGURED);
}
