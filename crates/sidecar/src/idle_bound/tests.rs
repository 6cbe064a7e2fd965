use super::*;

const AGREED: Duration = Duration::from_secs(8);
const MS: Duration = Duration::from_millis(1);

fn bound() -> (IdleBound, Instant) {
    let now = Instant::now();
    (IdleBound::new(AGREED, now), now)
}

#[test]
fn idle_bound_falls_to_the_age_of_losses_and_widens_again() {
    let (mut bound, now) = bound();
    for _ in 0..20 {
        bound.record_new(false);
        bound.record_reused(now, 40 * MS, false);
        bound.record_reused(now, 150 * MS, true);
    }
    let learnt = bound.get(now);
    assert!(learnt > 40 * MS && learnt <= 150 * MS, "{learnt:?}");
    let later = now + WIDEN_INTERVAL;
    let wider = bound.get(later);
    assert!(wider > learnt && wider < learnt * 2, "{wider:?}");
    // Further losses at this age lower the bound at once; without any it widens up to the agreed time.
    for _ in 0..MIN_LOST {
        bound.record_reused(later, 150 * MS, true);
    }
    assert!(bound.get(later) <= 150 * MS);
    for step in 2..100 {
        bound.get(now + WIDEN_INTERVAL * step);
    }
    assert_eq!(bound.get(now + WIDEN_INTERVAL * 100), AGREED);
}

// A network that breaks one connection in ten does so whatever their age.
#[test]
fn losses_unrelated_to_age_leave_idle_bound_unchanged() {
    let (mut bound, now) = bound();
    for n in 0..1000 {
        bound.record_reused(now, 20 * MS, n % 10 == 0);
        bound.record_reused(now, 200 * MS, n % 10 == 0);
    }
    assert_eq!(bound.get(now), AGREED);
    for n in 0..1000 {
        bound.record_new(n % 2 == 0);
        bound.record_reused(now, 20 * MS, n % 2 == 0);
        bound.record_reused(now, 200 * MS, n % 2 == 0);
    }
    assert_eq!(bound.get(now), AGREED);
}
