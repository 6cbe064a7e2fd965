use super::*;

const SECOND: i64 = 1_000_000;

/// Interruptions of the only sidecar; times are in seconds.
fn interruptions(pushed: bool, all: &[(InterruptionCause, i64, i64)]) -> Interruptions {
    let interruption = |(cause, from, to): &(InterruptionCause, i64, i64)| Interruption {
        sidecar: 0,
        cause: *cause,
        span: (from * SECOND, to * SECOND),
    };
    Interruptions { pushed, all: all.iter().map(interruption).collect() }
}

fn deadline(interruptions: &Interruptions, at: i64) -> i64 {
    interruptions.notified_by(0, at * SECOND) / SECOND
}

#[test]
fn polled_changes_are_due_after_6_s_and_pushed_ones_at_once() {
    assert_eq!(deadline(&interruptions(false, &[]), 10), 16);
    assert_eq!(deadline(&interruptions(true, &[]), 10), 10);
}

#[test]
fn restarted_process_counts_as_notified_from_its_start_if_lists_are_pushed() {
    let down = [(InterruptionCause::ProcessDown, 9, 12)];
    assert_eq!(deadline(&interruptions(true, &down), 10), 12);
    assert_eq!(deadline(&interruptions(false, &down), 10), 18);
    assert_eq!(deadline(&interruptions(true, &down), 13), 13);
    assert_eq!(deadline(&interruptions(true, &down), 8), 8);
}

#[test]
fn silence_of_discovery_restarts_the_time_limit_for_new_watches() {
    let silence = [(InterruptionCause::DiscoverySilent, 9, 20)];
    assert_eq!(deadline(&interruptions(true, &silence), 10), 26);
    assert_eq!(deadline(&interruptions(false, &silence), 10), 26);
    // The deadline after one interruption falls into the next, which extends it again.
    let then_down = [(InterruptionCause::DiscoverySilent, 9, 20), (InterruptionCause::ProcessDown, 25, 30)];
    assert_eq!(deadline(&interruptions(false, &then_down), 10), 36);
}

#[test]
fn all_changes_are_due_4_s_after_a_reload() {
    let reload = [(InterruptionCause::Reload, 11, 11)];
    assert_eq!(deadline(&interruptions(false, &reload), 10), 15);
    assert_eq!(deadline(&interruptions(false, &[(InterruptionCause::Reload, 13, 13)]), 10), 16);
    // A change pushed before the reload is due at once; a change that comes during it has 4 s.
    assert_eq!(deadline(&interruptions(true, &reload), 10), 10);
    assert_eq!(deadline(&interruptions(true, &reload), 11), 15);
    // Silence of discovery during the 4 s extends the deadline.
    assert_eq!(
        deadline(
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
fn interruptions_of_other_sidecars_are_ignored() {
    let mut others = interruptions(true, &[(InterruptionCause::DiscoverySilent, 9, 20)]);
    others.all[0].sidecar = 1;
    assert_eq!(deadline(&others, 10), 10);
}
