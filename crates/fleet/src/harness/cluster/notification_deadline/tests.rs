use super::*;

const SECOND: i64 = 1_000_000;

/// What stands between discovery and the only sidecar; times are seconds.
fn interruptions(pushed: bool, all: &[(InterruptionCause, i64, i64)]) -> Interruptions {
    let of = |(why, from, to): &(InterruptionCause, i64, i64)| Interruption {
        sidecar: 0,
        why: *why,
        span: (from * SECOND, to * SECOND),
    };
    Interruptions { pushed, all: all.iter().map(of).collect() }
}

fn told(interruptions: &Interruptions, at: i64) -> i64 {
    interruptions.notified_by(0, at * SECOND) / SECOND
}

#[test]
fn what_is_asked_for_counts_as_told_after_6_s_and_what_is_pushed_at_once() {
    assert_eq!(told(&interruptions(false, &[]), 10), 16);
    assert_eq!(told(&interruptions(true, &[]), 10), 10);
}

#[test]
fn a_process_that_was_away_is_told_from_its_first_moment_on() {
    let away = [(InterruptionCause::ProcessDown, 9, 12)];
    assert_eq!(told(&interruptions(true, &away), 10), 12);
    assert_eq!(told(&interruptions(false, &away), 10), 18);
    assert_eq!(told(&interruptions(true, &away), 13), 13);
    assert_eq!(told(&interruptions(true, &away), 8), 8);
}

#[test]
fn after_a_silence_watches_have_their_time_to_be_opened_anew() {
    let silence = [(InterruptionCause::DiscoverySilent, 9, 20)];
    assert_eq!(told(&interruptions(true, &silence), 10), 26);
    assert_eq!(told(&interruptions(false, &silence), 10), 26);
    // One obstacle leads into the next.
    let then_away = [(InterruptionCause::DiscoverySilent, 9, 20), (InterruptionCause::ProcessDown, 25, 30)];
    assert_eq!(told(&interruptions(false, &then_away), 10), 36);
}

#[test]
fn after_a_reload_all_counts_as_told_within_4_s() {
    let reload = [(InterruptionCause::Reload, 11, 11)];
    assert_eq!(told(&interruptions(false, &reload), 10), 15);
    assert_eq!(told(&interruptions(false, &[(InterruptionCause::Reload, 13, 13)]), 10), 16);
    // What was pushed before it was told; what comes as it asks anew has that time.
    assert_eq!(told(&interruptions(true, &reload), 10), 10);
    assert_eq!(told(&interruptions(true, &reload), 11), 15);
    // A silence that it meets holds it up.
    assert_eq!(
        told(
            &interruptions(
                false,
                &[(InterruptionCause::Reload, 11, 11), (InterruptionCause::DiscoverySilent, 12, 20)]
            ),
            10
        ),
        26
    );
}

#[test]
fn what_befell_another_sidecar_says_nothing() {
    let mut others = interruptions(true, &[(InterruptionCause::DiscoverySilent, 9, 20)]);
    others.all[0].sidecar = 1;
    assert_eq!(told(&others, 10), 10);
}
